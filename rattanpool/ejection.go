package rattanpool

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// minEjectFailures is the decayed number of failures required for an
	// ejection: three in a row, or more if interleaved with successes.
	minEjectFailures = 2.5
	// outlierFactor is how many times the mean failure rate of the other
	// targets a target must exceed. With 3, no target would be ejected when a
	// third of them is broken.
	outlierFactor = 2
	// repeatedFailureWeight is the weight of further failures of the same job,
	// because a job that fails everywhere says little about the target.
	repeatedFailureWeight = 0.25

	// minProbeBackoff and maxProbeBackoff bound the time from an ejection to
	// the first probe before jitter is applied. The time doubles with each
	// further ejection.
	minProbeBackoff = time.Second
	maxProbeBackoff = time.Minute
	// ejectionResetTime is how long after a reinstatement earlier ejections
	// still lengthen the next back-off.
	ejectionResetTime = time.Minute
	// suspectPeriod is how long a target is ranked last after a failure that
	// raises its failure rate to suspectFailureRate or that follows another
	// failure.
	suspectPeriod      = 5 * time.Second
	suspectFailureRate = 0.3
)

// recordSuccess updates the health of a target that completed a task.
func (s *Scheduler) recordSuccess(now time.Duration, t *target) {
	if t.removed {
		return
	}
	t.consecutiveFailures = 0
	t.suspectUntil = 0
	t.backoff = 0
	// With outcomeDecay, the count of successes approaches 10. Close to that,
	// another success hardly changes a target without failures.
	if t.successes < 9.9 || t.failures > 0 {
		s.recordOutcome(t, 1, 0)
	}
	switch t.health {
	case healthProbing:
		s.reinstate(now, t, 1)
	case healthReinstating:
		s.reinstate(now, t, 2*t.slotLimit)
	}
}

// recordFailure updates the health of a target on which a task of the job
// failed or that was unreachable.
func (s *Scheduler) recordFailure(now time.Duration, t *target, id JobID) {
	if t.removed {
		return
	}
	weight := 1.0
	if t.lastFailedJob == id {
		weight = repeatedFailureWeight
	}
	t.lastFailedJob = id
	t.consecutiveFailures++
	s.recordOutcome(t, 0, weight)
	s.markSuspect(now, t)
	svc := t.service
	switch {
	case t.health == healthEjected:
	case t.health == healthProbing:
		s.eject(now, t)
	case s.mostTargetsFailing(svc):
		s.releaseAllEjected(now, svc)
	case t.health == healthReinstating || s.isOutlier(t):
		if float64(svc.ejectedTargets+1) <= s.config.MaxEjectedShare*float64(svc.listedTargets) {
			s.eject(now, t)
		}
	}
}

// recordOutcome updates the decayed outcome counts of the target and the totals
// of its service.
func (s *Scheduler) recordOutcome(t *target, successes, failures float64) {
	previousRate := t.failureRate()
	t.successes = t.successes*outcomeDecay + successes
	t.failures = t.failures*outcomeDecay + failures
	if t.failures < 0.01 {
		t.failures = 0
	}
	s.updateFailureSums(t, previousRate)
}

// updateFailureSums updates the failure totals of the service after the
// target's failure rate has changed.
func (s *Scheduler) updateFailureSums(t *target, previousRate float64) {
	svc := t.service
	svc.failureRateSum += t.failureRate() - previousRate
	failing := t.failures >= 1.5 && t.failureRate() > 0.5
	if failing == t.failing {
		return
	}
	t.failing = failing
	if failing {
		svc.failingTargets++
	} else {
		svc.failingTargets--
	}
}

// mostTargetsFailing reports whether more than half of the targets fail. The
// cause is then probably not on the targets but on this instance, which
// observes the failures.
func (s *Scheduler) mostTargetsFailing(svc *service) bool {
	return 2*svc.failingTargets > svc.listedTargets
}

// isOutlier reports whether the target fails more often than it succeeds and
// much more often than the others. The mean of the others is taken over targets
// and not over outcomes, because a target that fails fast produces most of the
// outcomes.
func (s *Scheduler) isOutlier(t *target) bool {
	svc := t.service
	othersRate := (svc.failureRateSum - t.failureRate()) / math.Max(1, float64(svc.listedTargets-1))
	return t.failures >= minEjectFailures && t.failureRate() > 0.5 && t.failureRate() > outlierFactor*othersRate
}

// eject takes the target out of use until its back-off has ended.
func (s *Scheduler) eject(now time.Duration, t *target) {
	if t.health == healthReinstating || t.health == healthGood {
		if now-t.reinstatedAt > ejectionResetTime {
			t.ejections = 0
		}
		t.service.ejectedTargets++
	}
	s.setHealth(now, t, healthEjected)
	backoff := min(minProbeBackoff<<min(t.ejections, 6), maxProbeBackoff)
	backoff = time.Duration(float64(backoff) * (0.75 + s.config.Random.Float64()/2))
	t.ejections++
	t.probeAt = now + backoff
	heap.Push(&s.timers, timer{at: t.probeAt, kind: timerProbe, target: t})
}

// startProbing allows one probe task on an ejected target.
func (s *Scheduler) startProbing(now time.Duration, t *target) {
	if t.removed || t.health != healthEjected || t.probeAt > now {
		return
	}
	s.setHealth(now, t, healthProbing)
	t.service.probeCandidates = append(t.service.probeCandidates, t)
}

// reinstate raises the number of slots that a recovering target may use.
func (s *Scheduler) reinstate(now time.Duration, t *target, slotLimit int) {
	svc := t.service
	if t.health == healthProbing {
		svc.ejectedTargets--
		s.removeProbe(t)
		s.clearOutcomes(t)
	}
	t.slotLimit = slotLimit
	if slotLimit < t.Slots {
		s.setHealth(now, t, healthReinstating)
		return
	}
	t.reinstatedAt = now
	s.setHealth(now, t, healthGood)
}

// releaseAllEjected puts all ejected targets of a service back into use.
func (s *Scheduler) releaseAllEjected(now time.Duration, svc *service) {
	if svc.ejectedTargets == 0 {
		return
	}
	for _, t := range svc.targets {
		if t == nil || t.health != healthEjected && t.health != healthProbing {
			continue
		}
		s.setHealth(now, t, healthGood)
	}
	svc.ejectedTargets = 0
	svc.probeCandidates = svc.probeCandidates[:0]
}

// markSuspect ranks a target with recent failures last for suspectPeriod. The
// period ends even without a success, because a target that is ranked last gets
// few tasks that could succeed.
func (s *Scheduler) markSuspect(now time.Duration, t *target) {
	if t.consecutiveFailures < 2 && (t.failures < 0.9 || t.failureRate() < suspectFailureRate) {
		return
	}
	if !t.suspectTimerSet {
		t.suspectTimerSet = true
		heap.Push(&s.timers, timer{at: now + suspectPeriod, kind: timerSuspect, target: t})
	}
	t.suspectUntil = now + suspectPeriod
}

// clearOutcomes resets the outcome counts of a target.
func (s *Scheduler) clearOutcomes(t *target) {
	previousRate := t.failureRate()
	t.successes, t.failures, t.consecutiveFailures, t.suspectUntil = 0, 0, 0, 0
	s.updateFailureSums(t, previousRate)
}

// setHealth changes the health of a target and updates the capacity and the
// ranks that depend on it.
func (s *Scheduler) setHealth(now time.Duration, t *target, value health) {
	s.adjustCapacity(t, -1)
	t.health = value
	s.adjustCapacity(t, 1)
	s.updateRanks(now, t)
}

// removeProbe removes a target from those that wait for a probe task.
func (s *Scheduler) removeProbe(t *target) {
	svc := t.service
	if index := slices.Index(svc.probeCandidates, t); index >= 0 {
		svc.probeCandidates = slices.Delete(svc.probeCandidates, index, index+1)
	}
}

// backOff starts an exponential back-off for a target that did not start a task
// although it appeared to have a free slot.
func (s *Scheduler) backOff(now time.Duration, t *target, minBackoff, maxBackoff time.Duration) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now + t.backoff
	heap.Push(&s.timers, timer{at: t.backoffUntil, kind: timerBackoff, target: t})
}
