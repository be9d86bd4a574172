package rattanwork

// Member is an instance of the system.
type Member struct {
	Name string
	Zone string
	// Address is where it takes calls of other instances.
	Address string
	// Incarnation is the Unix time in nanoseconds of its start.
	Incarnation int64
	// MilliCPU is the processor share of its machine, in thousandths of a core.
	MilliCPU int
}

// Precedes reports whether the member is the better home of the two: the more
// powerful one, and of equal ones the one with the lower name.
func (m *Member) Precedes(other *Member) bool {
	if m.MilliCPU != other.MilliCPU {
		return m.MilliCPU > other.MilliCPU
	}
	return m.Name < other.Name
}
