package rattanscheduler

import "time"

// startCopy starts a second run of a speculative task beside a slow one, as
// long as no other task waits for the room.
func (s *Scheduler) startCopy(slow *run, now time.Time) bool {
	t := slow.task
	if !t.definition().Speculative || t.definition().Gang || t.run != slow || t.slowRun != nil || len(s.waiting) > 0 {
		return false
	}
	t.avoid = slow.target
	on := s.place(t, s.usableTargets(now))
	if on == nil || on == slow.target {
		return false
	}
	s.start(t, on, now)
	t.slowRun = slow
	return true
}
