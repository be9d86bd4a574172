package rattanscheduler

import "time"

// startSpeculativeRun starts a second run of a speculative task in parallel to
// a slow one, provided that no other task is waiting for resources. It reports
// whether it has started one.
func (s *Scheduler) startSpeculativeRun(slow *run, now time.Time) bool {
	t := slow.task
	if s.held || !t.step().Speculative || t.step().Gang || t.run != slow || t.slowRun != nil || s.hasLosses(t.name) || s.WaitingTasks() > 0 {
		return false
	}
	t.avoidTarget = slow.target
	s.refreshTargets(now)
	pool := s.service(t.job.submission.Service).pool
	target := s.searchPool(t, pool, s.slowestClass(t, pool, 0, now))
	if target == nil || target == slow.target {
		return false
	}
	s.startRun(t, target, now)
	t.slowRun = slow
	return true
}
