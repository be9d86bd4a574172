package rattanpool

// checkInvariant counts a violation unless the invariant holds, and returns
// whether it holds.
func (s *Scheduler) checkInvariant(holds bool, invariant string) bool {
	if holds {
		return true
	}
	s.Violations++
	if s.config.PanicOnViolation {
		panic("rattanpool: " + invariant)
	}
	return false
}

// checkIdleCounters checks that all counters are back at zero when there are no
// jobs.
func (s *Scheduler) checkIdleCounters() {
	if len(s.jobs) > 0 {
		return
	}
	empty := s.waiting == 0 && len(s.pendingRetries) == 0 && len(s.nonEmptyQueues) == 0 && len(s.expiries) == 0 && s.busySlots == s.unresolvedSlots
	s.checkInvariant(empty, "counters are not zero without jobs")
}
