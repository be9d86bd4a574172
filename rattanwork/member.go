package rattanwork

// Member is an instance of the system.
type Member struct {
	Name string
	Zone string
	// Address is where it takes calls of other instances.
	Address string
	// Incarnation is the Unix time in nanoseconds of its start.
	Incarnation int64
}
