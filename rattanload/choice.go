package rattanload

import "time"

// LoadLifetime is how long an observed load is used for choosing a pool.
const LoadLifetime = 2 * time.Second

// observedLoad is a load with the time of its observation.
type observedLoad struct {
	load float64
	at   time.Time
}

// noSlotsLoad is the load of a pool without slots, higher than that of any
// other pool.
const noSlotsLoad = 1e9

// PoolLoad returns the load of a pool: the share of its slots that is busy plus
// the waiting work in seconds per slot. The busy share distinguishes pools of
// different sizes while no tasks wait.
func PoolLoad(slots, busy int, backlog time.Duration) float64 {
	if slots < 1 {
		return noSlotsLoad
	}
	return (float64(busy) + backlog.Seconds()) / float64(slots)
}

// PoolChooser chooses the pool of a new key by the power of two random choices.
// It is not safe for concurrent use.
type PoolChooser struct {
	loads map[string]observedLoad
}

// NewPoolChooser returns a PoolChooser without any observed loads.
func NewPoolChooser() *PoolChooser {
	return &PoolChooser{loads: map[string]observedLoad{}}
}

// Observe records the load of a home as computed by PoolLoad.
func (p *PoolChooser) Observe(now time.Time, home string, load float64) {
	p.loads[home] = observedLoad{load: load, at: now}
}

// Choose returns the index of one of the homes. The random function returns a
// random integer in [0, n). If the load of one of the two drawn homes is
// unknown, the choice between them is uniform.
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
