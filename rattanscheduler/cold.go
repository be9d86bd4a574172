package rattanscheduler

import (
	"math"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// initialColdFactor is the factor by which run times on cold targets are longer
	// until some were observed: half of the usual speed.
	initialColdFactor = 2.0
	// maxColdFactor bounds what is learned from cold targets.
	maxColdFactor = 8.0
	// coldGain is the weight of a run on a cold target. All cold targets of a service
	// share one factor, since each is cold for a few runs only.
	coldGain = 0.05
	// coldWeight is the penalty of a cold target in multiples of the most by which the
	// remaining share and the remote penalty differ between targets.
	coldWeight = 4
	// coldCheckInterval is the interval at which cold targets are checked for those
	// that have become warm.
	coldCheckInterval = 20 * time.Millisecond
)

// recordCold applies how much longer a target remains slow after its start.
func (s *Scheduler) recordCold(t *target, left time.Duration, now time.Time) {
	if left <= 0 {
		// A cold target whose entry says that it is warm becomes so at the next check.
		t.coldUntil = time.Time{}
		return
	}
	left = min(left, rattanwork.MaxColdLeft)
	t.coldUntil = now.Add(left)
	if t.cold {
		return
	}
	t.cold = true
	s.touch(t)
	s.cold = append(s.cold, t)
	s.output.Targets = append(s.output.Targets, TargetEvent{Target: t.info.ID, Change: TargetCold, ColdLeft: left, Runs: len(t.runs)})
}

// warmTargets ends the cold time of the targets for which it is over.
func (s *Scheduler) warmTargets(now time.Time) {
	if len(s.cold) == 0 || now.Sub(s.coldCheckedAt) < coldCheckInterval {
		return
	}
	s.coldCheckedAt = now
	remaining := s.cold[:0]
	for _, t := range s.cold {
		switch {
		case s.targets[t.info.ID] != t:
			// The target was removed.
		case now.Before(t.coldUntil):
			remaining = append(remaining, t)
		default:
			t.cold = false
			s.touch(t)
			s.recordChange(t, TargetWarm)
		}
	}
	clear(s.cold[len(remaining):])
	s.cold = remaining
}

// ColdTargets returns the number of cold targets.
func (s *Scheduler) ColdTargets() int {
	return len(s.cold)
}

// coldPenalty returns the term of a cold target in its score, 0 for a warm one.
func (s *Scheduler) coldPenalty(cold bool) float64 {
	if !cold {
		return 0
	}
	return coldWeight * (1 + s.config.RemotePenalty)
}

// expectedRunTime returns the expected run time of a run of a task.
func (s *Scheduler) expectedRunTime(r *run) time.Duration {
	expected := s.estimator.expectedRunTime(r.task.job, r.task.stepIndex)
	if r.cold {
		expected = time.Duration(float64(expected) * s.service(r.target.info.Service).coldFactor)
	}
	return expected
}

// observeCold learns from a run on a cold target how slow these are. Runs that end
// after the cold time tell nothing, since a part of them was fast.
func (s *Scheduler) observeCold(r *run, runTime time.Duration) {
	expected := s.estimator.expectedRunTime(r.task.job, r.task.stepIndex)
	if r.orphan || expected <= 0 || r.knownSince.Add(runTime).After(r.target.coldUntil) {
		return
	}
	state := s.service(r.target.info.Service)
	ratio := min(float64(runTime)/float64(expected), maxColdFactor)
	state.coldFactor = max(1, state.coldFactor+coldGain*(ratio-state.coldFactor))
}

// coldDelay returns by how much later a task ends that starts on a cold target. Its
// run is slow for no longer than the target is cold.
func (s *Scheduler) coldDelay(t *target, expected time.Duration, now time.Time) time.Duration {
	factor := s.service(t.info.Service).coldFactor
	left := float64(t.coldUntil.Sub(now))
	return time.Duration(math.Max(0, min((factor-1)*float64(expected), (1-1/factor)*left)))
}

// reasonOnlyCold is the reason for redirecting a job instead of starting it on cold
// targets.
const reasonOnlyCold = "only cold targets have room"

// leaveCold redirects a job that has not started, and may be late on a cold target, to a
// zone where it ends clearly earlier, and reports whether it has.
func (s *Scheduler) leaveCold(j *job, t *target, now time.Time) bool {
	zone := s.zoneBesideCold(j, t, now)
	if zone >= 0 {
		s.finishJob(j, ending{outcome: Redirected, reason: reasonOnlyCold, zone: s.reserveZone(j, zone, now)}, now)
	}
	return zone >= 0
}

// zoneBesideCold returns the index of the zone to which leaveCold redirects a job, or
// -1 if there is none. The longest of several tasks often takes twice the expected time:
// without room for that, twice as many jobs of a cold zone were late.
func (s *Scheduler) zoneBesideCold(j *job, t *target, now time.Time) int {
	expected := s.longestReadyTask(j)
	delay := s.coldDelay(t, expected, now)
	if j.timing.slack(now) >= delay+expected {
		return -1
	}
	return s.earlierZone(j, delay, now)
}
