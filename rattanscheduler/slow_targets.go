package rattanscheduler

import (
	"cmp"
	"slices"
	"time"
)

// maxSlowTargets bounds the number of targets that a home tells its zone of.
const maxSlowTargets = 64

// SlowTarget is a target whose runs take longer than usual.
type SlowTarget struct {
	Target      string
	Incarnation int64 `json:"Born,omitempty"`
	// Slowness is the logarithm of its run times relative to the usual ones.
	Slowness float64
	// Age is the time since a run of the target was last observed.
	Age time.Duration
}

// SlowTargets returns the slowest targets, at most maxSlowTargets.
func (s *Scheduler) SlowTargets(now time.Time) []SlowTarget {
	var list []SlowTarget
	for _, t := range s.slow {
		if t.speed.warmClass > 0 {
			list = append(list, SlowTarget{Target: t.info.ID, Incarnation: t.incarnation, Slowness: t.speed.slowness, Age: now.Sub(t.speed.observedAt)})
		}
	}
	slices.SortFunc(list, func(a, b SlowTarget) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxSlowTargets)]
}
