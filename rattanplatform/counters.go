package rattanplatform

import "sync/atomic"

// Counters count the calls of a client since its creation. Each call is counted
// once, when it is made; a watch that waits counts as one call.
type Counters struct {
	Gets      atomic.Uint64
	Puts      atomic.Uint64
	Deletes   atomic.Uint64
	Watches   atomic.Uint64
	Leases    atomic.Uint64
	Instances atomic.Uint64
	// InvalidInstances counts the entries of instance lists that were left out.
	InvalidInstances atomic.Uint64
	// Conflicts, Unavailable and Uncertain count the calls that returned
	// ErrConflict, ErrUnavailable and ErrUncertain.
	Conflicts   atomic.Uint64
	Unavailable atomic.Uint64
	Uncertain   atomic.Uint64
}

// Reads returns the number of calls that the platform counts as reads.
func (c *Counters) Reads() uint64 {
	return c.Gets.Load() + c.Watches.Load() + c.Instances.Load()
}

// Writes returns the number of calls that the platform counts as writes.
func (c *Counters) Writes() uint64 {
	return c.Puts.Load() + c.Deletes.Load() + c.Leases.Load()
}
