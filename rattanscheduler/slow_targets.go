package rattanscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxSlowTargets bounds the number of targets that a home tells its zone of.
	MaxSlowTargets = 32
	// maxSlowTargetAge is the age from which on the speed of a target is not taken
	// over from an earlier home.
	maxSlowTargetAge = time.Minute
)

// SlowTarget is a target whose runs take longer than usual.
type SlowTarget struct {
	Target      string
	Incarnation int64 `json:"Born,omitempty"`
	// Slowness is the logarithm of its run times relative to the usual ones.
	Slowness float64
	// Age is the time since a run of the target was last observed.
	Age time.Duration
}

// slowTargetsInterval is the interval at which the list of slow targets is made anew:
// heartbeats ask for it far more often.
const slowTargetsInterval = 500 * time.Millisecond

// SlowTargets returns the slowest targets, at most MaxSlowTargets. The caller must not
// change the list.
func (s *Scheduler) SlowTargets(now time.Time) []SlowTarget {
	if now.Sub(s.slowTargetsAt) >= slowTargetsInterval {
		s.slowTargetsAt = now
		s.slowTargets = s.listSlowTargets(now)
	}
	return s.slowTargets
}

func (s *Scheduler) listSlowTargets(now time.Time) []SlowTarget {
	var list []SlowTarget
	for _, t := range s.slow {
		if t.speed.warmClass > 0 {
			list = append(list, SlowTarget{Target: t.info.ID, Incarnation: t.incarnation, Slowness: math.Round(100*t.speed.slowness) / 100, Age: now.Sub(t.speed.observedAt).Round(time.Millisecond)})
		}
	}
	slices.SortFunc(list, func(a, b SlowTarget) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), MaxSlowTargets)]
}

// SlowTargetCount returns the number of slow and cold targets.
func (s *Scheduler) SlowTargetCount() int {
	count := 0
	for _, t := range s.slow {
		if t.speed.warmClass > 0 {
			count++
		}
	}
	for _, t := range s.cold {
		if t.speed.cold && t.speed.warmClass == 0 && t.speed.class > 0 {
			count++
		}
	}
	return count
}

// AddSlowTargets adds what an earlier home has learned of slow targets. It does not
// apply to other incarnations, nor to targets of which runs were observed here.
func (s *Scheduler) AddSlowTargets(list []SlowTarget, now time.Time) {
	for i := range list {
		t, ok := s.targets[list[i].Target]
		if !ok || list[i].Age > maxSlowTargetAge || !t.speed.observedAt.IsZero() {
			continue
		}
		if t.reconciled && t.incarnation != list[i].Incarnation {
			continue
		}
		t.speed.slowness = min(max(list[i].Slowness, 0), maxSlowClass*slowClassStep)
		t.speed.observedAt = now.Add(-list[i].Age)
		t.speed.inherited, t.speed.incarnation = true, list[i].Incarnation
		s.classifySpeed(t)
	}
}

// confirmIncarnation forgets what an earlier home has learned of another incarnation.
func (s *Scheduler) confirmIncarnation(t *target) {
	if t.speed.inherited && t.speed.incarnation != t.incarnation {
		t.speed = t.speed.restarted()
		s.classifySpeed(t)
	}
	t.speed.inherited = false
}
