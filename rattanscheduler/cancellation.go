package rattanscheduler

// Remembers reports whether a job is in progress, ended without a result a short
// time ago, or was started by an earlier home.
func (s *Scheduler) Remembers(jobID string) bool {
	if _, begun := s.begunJobs[jobID]; begun || s.HasJob(jobID) {
		return true
	}
	for name := range s.orphans {
		if jobIDOf(name) == jobID {
			return true
		}
	}
	return false
}
