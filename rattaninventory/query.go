package rattaninventory

// Query requests the instance list from the platform.
type Query struct {
	// AvailabilityZone limits the reply to one availability zone; empty means
	// all.
	AvailabilityZone string
	// ETag is the ETag of the last reply to the same query, or empty. If it is
	// still current, the reply is NotModified.
	ETag string
}

// Reply is the platform's answer to a Query.
type Reply struct {
	// ETag identifies the contents; it is empty if the platform returned none.
	ETag string
	// NotModified means that the contents are those of the query's ETag;
	// Instances is then empty.
	NotModified bool
	Instances   []Instance
}
