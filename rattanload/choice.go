package rattanload

import "time"

// LoadLifetime is how long the load of a home counts for the choice of a pool.
const LoadLifetime = 2 * time.Second

// observed is a load with the time at which it was learned.
type observed struct {
	load float64
	at   time.Time
}

// noSlots is the load of a pool without slots, above that of any other.
const noSlots = 1e9

// PoolLoad returns the load of a pool: the share of its slots that is in use,
// and the waiting work in seconds per slot. The share in use tells pools of
// different sizes apart while no task waits.
func PoolLoad(slots, busy int, backlog time.Duration) float64 {
	if slots < 1 {
		return noSlots
	}
	return (float64(busy) + backlog.Seconds()) / float64(slots)
}

// PoolChooser chooses the pools of new keys by the power of two random choices.
// It is not safe for concurrent use.
type PoolChooser struct {
	loads map[string]observed
}

// NewPoolChooser returns a choice that knows no loads.
func NewPoolChooser() *PoolChooser {
	return &PoolChooser{loads: map[string]observed{}}
}

// Observe takes in the load of a home, as PoolLoad returns it.
func (p *PoolChooser) Observe(now time.Time, home string, load float64) {
	p.loads[home] = observed{load: load, at: now}
}

// Choose returns the index of one of the homes. The random function returns a
// number from 0 to below its argument. The choice between two homes is uniform
// while the load of one of them is unknown.
func (p *PoolChooser) Choose(now time.Time, homes []string, random func(n int) int) int {
	first := random(len(homes))
	if len(homes) == 1 {
		return first
	}
	second := random(len(homes) - 1)
	if second >= first {
		second++
	}
	a, known := p.load(now, homes[first])
	b, alsoKnown := p.load(now, homes[second])
	if known && alsoKnown && b < a {
		return second
	}
	return first
}

func (p *PoolChooser) load(now time.Time, home string) (float64, bool) {
	last, known := p.loads[home]
	return last.load, known && now.Sub(last.at) < LoadLifetime
}
