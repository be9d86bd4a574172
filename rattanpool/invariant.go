package rattanpool

// require counts a violated invariant.
func (s *Scheduler) require(holds bool, invariant string) bool {
	if holds {
		return true
	}
	s.Violations++
	if s.config.PanicOnViolation {
		panic("rattanpool: " + invariant)
	}
	return false
}

// checkEmpty checks that the accounts are at zero when there is no job.
func (s *Scheduler) checkEmpty() {
	if len(s.jobs) > 0 {
		return
	}
	empty := s.waiting == 0 && len(s.parked) == 0 && len(s.lanes) == 0 && len(s.lapses) == 0 && s.busy == s.holds
	s.require(empty, "accounts not at zero without jobs")
}
