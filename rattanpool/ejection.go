package rattanpool

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// ejectFailures is the decayed number of failures that an ejection takes:
	// three in a row, or more among successes.
	ejectFailures = 2.5
	// ejectFactor is how far the failure rate must be above the mean of the
	// other targets. With 3, none would be ejected when a third of them is broken.
	ejectFactor = 2
	// repeatedFailure is the weight of a further failure of the same job, since
	// a job that fails everywhere says little about a target.
	repeatedFailure = 0.25

	leastProbeBackoff = time.Second
	mostProbeBackoff  = time.Minute
	// ejectionMemory is how long after its reinstatement a target's earlier
	// ejections lengthen the next back-off.
	ejectionMemory = time.Minute
	// suspectTime is how long a target ranks last after a failure that makes its
	// failure rate suspectRate or more, or that follows another one.
	suspectTime = 5 * time.Second
	suspectRate = 0.3
)

// succeeded notes that the target completed a task.
func (s *Scheduler) succeeded(now time.Duration, t *target) {
	if t.removed {
		return
	}
	t.consecutive = 0
	t.suspectUntil = 0
	t.backoff = 0
	if t.good < 9.9 || t.bad > 0 {
		s.noteOutcome(t, 1, 0)
	}
	switch t.health {
	case healthProbing:
		s.reinstate(now, t, 1)
	case healthReinstating:
		s.reinstate(now, t, 2*t.limit)
	}
}

// failed notes that a task of the job failed on the target, or that it could
// not be reached.
func (s *Scheduler) failed(now time.Duration, t *target, id JobID) {
	if t.removed {
		return
	}
	weight := 1.0
	if t.lastFailed == id {
		weight = repeatedFailure
	}
	t.lastFailed = id
	t.consecutive++
	s.noteOutcome(t, 0, weight)
	s.suspect(now, t)
	v := t.service
	switch {
	case t.health == healthEjected:
	case t.health == healthProbing:
		s.eject(now, t)
	case s.mostLookBroken(v):
		s.releaseEjected(now, v)
	case t.health == healthReinstating || s.farAboveOthers(t):
		if float64(v.ejected+1) <= s.config.EjectionCap*float64(v.count) {
			s.eject(now, t)
		}
	}
}

// noteOutcome updates the decayed counts of the target and their sums.
func (s *Scheduler) noteOutcome(t *target, good, bad float64) {
	before := t.failureRate()
	t.good = t.good*outcomeDecay + good
	t.bad = t.bad*outcomeDecay + bad
	if t.bad < 0.01 {
		t.bad = 0
	}
	s.sumRates(t, before)
}

// sumRates brings the sums of the service in line with the target's rate.
func (s *Scheduler) sumRates(t *target, before float64) {
	v := t.service
	v.rateSum += t.failureRate() - before
	broken := t.bad >= 1.5 && t.failureRate() > 0.5
	if broken == t.looksBroken {
		return
	}
	t.looksBroken = broken
	if broken {
		v.broken++
	} else {
		v.broken--
	}
}

// mostLookBroken says that the observer is the likely cause of the failures.
func (s *Scheduler) mostLookBroken(v *service) bool {
	return 2*v.broken > v.count
}

// farAboveOthers says that the target fails more often than it succeeds, and
// far more often than the others. The others' mean is taken over targets, not
// over outcomes, because a fail-fast target has most of the outcomes.
func (s *Scheduler) farAboveOthers(t *target) bool {
	v := t.service
	others := (v.rateSum - t.failureRate()) / math.Max(1, float64(v.count-1))
	return t.bad >= ejectFailures && t.failureRate() > 0.5 && t.failureRate() > ejectFactor*others
}

// eject takes the target out of use until its back-off has ended.
func (s *Scheduler) eject(now time.Duration, t *target) {
	if t.health == healthReinstating || t.health == healthGood {
		if now-t.reinstated > ejectionMemory {
			t.ejections = 0
		}
		t.service.ejected++
	}
	s.setHealth(now, t, healthEjected)
	backoff := min(leastProbeBackoff<<min(t.ejections, 6), mostProbeBackoff)
	backoff = time.Duration(float64(backoff) * (0.75 + s.config.Random.Float64()/2))
	t.ejections++
	t.probeAt = now + backoff
	heap.Push(&s.timers, timer{at: t.probeAt, kind: timerProbe, target: t})
}

// startProbing lets an ejected target get one probe task.
func (s *Scheduler) startProbing(now time.Duration, t *target) {
	if t.removed || t.health != healthEjected || t.probeAt > now {
		return
	}
	s.setHealth(now, t, healthProbing)
	t.service.probes = append(t.service.probes, t)
}

// reinstate raises the number of slots that the target may use.
func (s *Scheduler) reinstate(now time.Duration, t *target, limit int) {
	v := t.service
	if t.health == healthProbing {
		v.ejected--
		s.dropProbe(t)
		s.clearOutcomes(t)
	}
	t.limit = limit
	if limit < t.Slots {
		s.setHealth(now, t, healthReinstating)
		return
	}
	t.reinstated = now
	s.setHealth(now, t, healthGood)
}

// releaseEjected puts all ejected targets of a service back into use.
func (s *Scheduler) releaseEjected(now time.Duration, v *service) {
	if v.ejected == 0 {
		return
	}
	for _, t := range v.targets {
		if t == nil || t.health != healthEjected && t.health != healthProbing {
			continue
		}
		s.setHealth(now, t, healthGood)
	}
	v.ejected = 0
	v.probes = v.probes[:0]
}

// suspect puts a target with recent failures last for some time. It gets little
// work meanwhile, so the time must end without a success.
func (s *Scheduler) suspect(now time.Duration, t *target) {
	if t.consecutive < 2 && (t.bad < 0.9 || t.failureRate() < suspectRate) {
		return
	}
	if !t.suspectTimer {
		t.suspectTimer = true
		heap.Push(&s.timers, timer{at: now + suspectTime, kind: timerSuspect, target: t})
	}
	t.suspectUntil = now + suspectTime
}

func (s *Scheduler) clearOutcomes(t *target) {
	before := t.failureRate()
	t.good, t.bad, t.consecutive, t.suspectUntil = 0, 0, 0, 0
	s.sumRates(t, before)
}

func (s *Scheduler) setHealth(now time.Duration, t *target, value health) {
	s.account(t, -1)
	t.health = value
	s.account(t, 1)
	s.refile(now, t)
}

func (s *Scheduler) dropProbe(t *target) {
	v := t.service
	if at := slices.Index(v.probes, t); at >= 0 {
		v.probes = slices.Delete(v.probes, at, at+1)
	}
}

// refused backs off from a target that did not start a task although a slot
// looked free.
func (s *Scheduler) refused(now time.Duration, t *target, least, most time.Duration) {
	t.backoff = min(max(2*t.backoff, least), most)
	t.until = now + t.backoff
	heap.Push(&s.timers, timer{at: t.until, kind: timerBackoff, target: t})
}
