package rattanscheduler

import (
	"math"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// initialColdness is the logarithm of the factor by which cold targets are
	// slower until some were observed: half of the usual speed.
	initialColdness = math.Ln2
	// maxColdness bounds what is learned from cold targets.
	maxColdness = 3 * math.Ln2
	// coldGain is the weight of a run on a cold target. All cold targets share one
	// factor, since each is cold for a few runs only.
	coldGain = 0.05
	// coldCheckInterval is the interval at which cold targets are checked for those
	// that have become warm.
	coldCheckInterval = 20 * time.Millisecond
)

// recordCold applies how much longer a target remains slow after its start.
func (s *Scheduler) recordCold(t *target, info *rattanwork.Target, now time.Time) {
	if info.ColdLeft <= 0 && !t.speed.cold {
		return
	}
	t.speed.coldUntil = now.Add(max(info.ColdLeft, 0))
	if info.ColdLeft > 0 && !t.speed.coldListed {
		t.speed.coldListed = true
		s.cold = append(s.cold, t)
	}
	t.speed.cold = info.ColdLeft > 0
	s.classifySpeed(t)
}

// warmTargets returns targets to their own speed whose cold time is over.
func (s *Scheduler) warmTargets(now time.Time) {
	if len(s.cold) == 0 || now.Before(s.coldCheckAt) {
		return
	}
	s.coldCheckAt = now.Add(coldCheckInterval)
	remaining := s.cold[:0]
	for _, t := range s.cold {
		t.speed.cold = t.speed.cold && s.targets[t.info.ID] == t && now.Before(t.speed.coldUntil)
		t.speed.coldListed = t.speed.cold
		s.classifySpeed(t)
		if t.speed.cold {
			remaining = append(remaining, t)
		}
	}
	clear(s.cold[len(remaining):])
	s.cold = remaining
}

// observeCold learns from a run on a cold target how slow these are. It tells
// nothing about the speed of the target after that.
func (c *speedComparison) observeCold(ratio, weight float64) {
	deviation := min(max(ratio-c.level-c.coldness, -maxDeviation), maxDeviation)
	c.coldness = min(max(c.coldness+coldGain*weight*deviation, 0), maxColdness)
	c.coldClass = nextClass(c.coldClass, c.coldness)
}

// totalSlowness returns the logarithm of the run times on a target relative to the
// usual ones at present.
func (s *Scheduler) totalSlowness(t *target) float64 {
	if t.speed.cold {
		return t.speed.slowness + s.service(t.info.Service).speeds.coldness
	}
	return t.speed.slowness
}
