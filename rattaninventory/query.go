package rattaninventory

// Query asks the platform for the instance list.
type Query struct {
	// AvailabilityZone limits the answer to one availability zone; empty means
	// all.
	AvailabilityZone string
	// ETag is that of the last reply to the same query; while it still holds,
	// the reply is NotModified. Empty means none.
	ETag string
}

// Reply is the platform's answer to a Query.
type Reply struct {
	// ETag identifies the contents; empty means that the platform gave none.
	ETag string
	// NotModified says that the contents are those of the query's ETag;
	// Instances is then empty.
	NotModified bool
	Instances   []Instance
}
