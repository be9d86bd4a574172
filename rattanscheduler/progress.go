package rattanscheduler

import "time"

const (
	// minProgressAge is the age of a run below which its progress tells nothing:
	// runs take a moment to begin, and progress is rounded down to whole
	// percents.
	minProgressAge = 100 * time.Millisecond
	// slowFactor and slowTolerance say when a run is slower than its estimate can
	// be off: estimates are off by up to half, and an order is under way for a
	// moment.
	slowFactor    = 3
	slowTolerance = 60 * time.Millisecond
	// maxRestarts bounds how often a task is moved away from slow targets.
	maxRestarts = 2
)

// updateProgress takes in the progress of a run. A run that is much slower than
// expected speaks against its target; if it cannot end before the caller
// leaves, or the target is slow with others as well, the task starts anew
// elsewhere as long as that is worth something. A job that cannot be complete
// in time is ended, so that its caller learns it early and its room serves
// others.
func (s *Scheduler) updateProgress(r *run, percent int, now time.Time) {
	elapsed := now.Sub(r.knownSince)
	if r.orphan || r.state != runConfirmed || elapsed < minProgressAge {
		return
	}
	minRunTime := time.Duration(float64(elapsed) * 100 / float64(percent+1))
	missesDeadline := r.task.slowRun == nil && r.knownSince.Add(minRunTime).After(r.task.job.submission.Deadline)
	slow := s.tooSlow(r, minRunTime)
	if slow && !r.countedSlow {
		r.countedSlow = true
		s.recordSlowRun(r, now)
	}
	switch {
	case slow && s.startSpeculativeRun(r, now):
	case slow && (missesDeadline || now.Before(r.target.suspendedUntil)) && s.canRestart(r, now):
		r.task.restarts++
		r.state = runStopping
		s.requestStop(r, now)
	case missesDeadline:
		s.endJob(r.task.job, Expired, "a task is too slow to end in time", 0, now)
	}
}

// tooSlow reports whether a run of the length is slower than its task explains.
func (s *Scheduler) tooSlow(r *run, runTime time.Duration) bool {
	expected := s.estimator.expectedRunTime(r.task.job, r.task.stepIndex)
	return !r.orphan && expected > 0 && runTime > slowFactor*expected+slowTolerance
}

// recordSlowRun counts a slow run against its target.
func (s *Scheduler) recordSlowRun(r *run, now time.Time) {
	s.suspend(r.target, r.target.health.recordFailure(r.task.job), "slow", now)
}

// canRestart reports whether a new run on another target can still be worth
// something.
func (s *Scheduler) canRestart(r *run, now time.Time) bool {
	expected := s.estimator.expectedRunTime(r.task.job, r.task.stepIndex)
	_, lateUntil := s.adjustedDeadlines(r.task.job)
	return r.task.restarts < maxRestarts && now.Add(expected).Before(lateUntil)
}
