package rattanwork

// Member describes an instance of the cluster.
type Member struct {
	Name string
	Zone string
	// Address is where the instance accepts calls from other instances.
	Address string
	// Incarnation is the start time of the instance in Unix nanoseconds.
	Incarnation int64
	// MilliCPU is the processor share of the instance's machine, in thousandths
	// of a core.
	MilliCPU int `json:"Power"`
}

// Precedes reports whether the member is preferred to the other as home, the
// instance that schedules the tasks of an availability zone. The member with
// more processor share is preferred, and among equals the one with the lower
// name.
func (m *Member) Precedes(other *Member) bool {
	if m.MilliCPU != other.MilliCPU {
		return m.MilliCPU > other.MilliCPU
	}
	return m.Name < other.Name
}
