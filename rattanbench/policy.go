package rattanbench

import "github.com/rattanlever/rattanlever/rattanpool"

// Policy is a scheduling policy under test.
type Policy struct {
	Name string
	// New returns a new scheduler; seed is the seed of its random choices.
	New func(seed uint64) Scheduler
}

// ProductPolicy is the name of the product's policy.
const ProductPolicy = "Product"

// Policies returns the product's policy, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: ProductPolicy, New: func(uint64) Scheduler { return rattanpool.New(rattanpool.Config{}) }},
		{Name: "RandomFIFO", New: func(seed uint64) Scheduler { return NewRandomFIFO(seed) }},
		{Name: "RoundRobin", New: func(uint64) Scheduler { return NewRoundRobin() }},
		{Name: "LeastOutstanding", New: func(seed uint64) Scheduler { return NewLeastOutstanding(seed) }},
		{Name: "ProportionalDelay", New: func(seed uint64) Scheduler { return NewProportionalDelay(seed) }},
	}
}
