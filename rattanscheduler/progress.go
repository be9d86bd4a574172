package rattanscheduler

import "time"

const (
	// progressLeast is the age of a run below which its progress tells nothing:
	// runs take a moment to begin, and progress is rounded down to whole
	// percents.
	progressLeast = 100 * time.Millisecond
	// slowFactor and slowSlack say when a run is slower than its estimate can
	// be off: estimates are off by up to half, and an order is under way for a
	// moment.
	slowFactor = 3
	slowSlack  = 60 * time.Millisecond
	// maxRestarts bounds how often a task is moved away from slow targets.
	maxRestarts = 2
)

// progressed takes in the progress of a run. A run that is much slower than
// expected speaks against its target; if it cannot end before the caller
// leaves, or the target is slow with others as well, the task starts anew
// elsewhere as long as that is worth something. A job that cannot be complete
// in time is ended, so that its caller learns it early and its room serves
// others.
func (s *Scheduler) progressed(r *run, percent int, now time.Time) {
	elapsed := now.Sub(r.known)
	if r.orphan || r.state != runConfirmed || elapsed < progressLeast {
		return
	}
	shortest := time.Duration(float64(elapsed) * 100 / float64(percent+1))
	lost := r.task.slowRun == nil && r.known.Add(shortest).After(r.task.job.submission.Deadline)
	slow := s.tooSlow(r, shortest)
	if slow && !r.suspected {
		r.suspected = true
		s.suspectSlow(r, now)
	}
	switch {
	case slow && s.startCopy(r, now):
	case slow && (lost || now.Before(r.target.suspendedUntil)) && s.worthRestart(r, now):
		r.task.restarts++
		r.state = runStopping
		s.orderStop(r, now)
	case lost:
		s.end(r.task.job, Expired, "a task is too slow to end in time", 0, now)
	}
}

// tooSlow reports whether a run of the length is slower than its task explains.
func (s *Scheduler) tooSlow(r *run, length time.Duration) bool {
	expected := s.rates.expected(r.task.job, r.task.step)
	return !r.orphan && expected > 0 && length > slowFactor*expected+slowSlack
}

// suspectSlow counts a slow run against its target.
func (s *Scheduler) suspectSlow(r *run, now time.Time) {
	s.suspend(r.target, r.target.health.failed(r.task.job), "slow", now)
}

// worthRestart reports whether a new run on another target can still be worth
// something.
func (s *Scheduler) worthRestart(r *run, now time.Time) bool {
	expected := s.rates.expected(r.task.job, r.task.step)
	_, lateUntil := s.times(r.task.job)
	return r.task.restarts < maxRestarts && now.Add(expected).Before(lateUntil)
}
