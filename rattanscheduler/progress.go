package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// minProgressAge is the age of a run below which its progress is ignored:
	// runs need some time to start, and progress is rounded down to whole
	// percents.
	minProgressAge = 100 * time.Millisecond
	// slowFactor and slowTolerance bound the run time that errors of the
	// estimate can explain: estimates are off by up to half, and a request
	// takes some time to arrive.
	slowFactor    = 3
	slowTolerance = 60 * time.Millisecond
	// maxRestarts is how often a task may be moved away from a slow target.
	maxRestarts = 2
)

// updateProgress handles the reported progress of a run. A run that is much
// slower than expected counts against its target. If it cannot end before the
// caller's deadline, or if the target is slow for other jobs too, the task is
// restarted elsewhere while the answer still has value. If the job cannot
// complete in time, it is ended early, so that the caller learns it at once and
// the resources become free.
func (s *Scheduler) updateProgress(r *run, percent int, clockMillis int64, now time.Time) {
	elapsed := now.Sub(r.knownSince)
	if r.orphan || r.state != runConfirmed || elapsed < minProgressAge {
		return
	}
	expected := s.expectedRunTime(r)
	s.observeProgress(r, percent, expected, clockMillis, now)
	minRunTime := time.Duration(float64(elapsed) * 100 / float64(percent+1))
	missesDeadline := r.task.slowRun == nil && r.knownSince.Add(minRunTime).After(r.task.job.submission.Deadline)
	slow := r.tooSlow(minRunTime, expected)
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
	case missesDeadline && s.evacuation != rattanwork.EvacuationUnknown:
		s.endJob(r.task.job, Expired, "a task is too slow to end in time", 0, now)
	}
}

// tooSlow reports whether a run time is longer than errors of the estimate can
// explain.
func (r *run) tooSlow(runTime, expected time.Duration) bool {
	return !r.orphan && expected > 0 && runTime > slowFactor*expected+slowTolerance
}

// recordSlowRun counts a slow run as a failure of its target.
func (s *Scheduler) recordSlowRun(r *run, now time.Time) {
	s.suspend(r.target, r.target.health.recordFailure(r.task.job), "slow", now)
}

// canRestart reports whether a new run on another target is possible and could still
// complete while the answer has value.
func (s *Scheduler) canRestart(r *run, now time.Time) bool {
	if s.evacuation != rattanwork.EvacuationNone {
		return false
	}
	expected := s.estimator.expectedRunTime(r.task.job, r.task.stepIndex)
	_, lateUntil := s.adjustedDeadlines(r.task.job)
	return r.task.restarts < maxRestarts && !s.bound(r.task) && now.Add(expected).Before(lateUntil)
}
