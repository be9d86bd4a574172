package rattanscheduler

import "time"

// Callers tells how long the callers of jobs certainly wait.
type Callers interface {
	// WaitUntil returns the time before which no caller of the job submits it to
	// another zone, whatever has happened to the instance through which it waits.
	WaitUntil(jobID string, now time.Time) time.Time
}

// minStartLease is the shortest lease with which a run starts. A shorter one
// could expire before its first renewal.
const minStartLease = 300 * time.Millisecond

// LeaseLimit returns the time by which all leases on a target must end, so that
// no run is active once a caller may have submitted its job elsewhere, even if
// this home gives no further orders. The runs of a target share one lease, so the
// earliest time counts. It is not after now if leases must not be extended: no
// caller is known to wait for a run that an earlier home has started, or for the
// run of an ended job.
func (s *Scheduler) LeaseLimit(targetID string, now time.Time) time.Time {
	limit := now.Add(s.config.MaxLease)
	t, ok := s.targets[targetID]
	if !ok {
		return limit
	}
	for _, r := range t.runs {
		if until := s.waitUntil(r, now); until.Before(limit) {
			limit = until
		}
	}
	return limit
}

// leaseRetryInterval is how long a target gets no new work after it could not
// grant a lease for a start.
const leaseRetryInterval = 20 * time.Millisecond

// grantsLease reports whether a run that starts on the target gets a lease. If the
// callers of another run there may be gone, the target would refuse the start, and
// it gets no new work until leaseRetryInterval is over.
func (s *Scheduler) grantsLease(t *target, now time.Time) bool {
	if s.config.Callers == nil || s.LeaseLimit(t.info.ID, now).Sub(now) >= minStartLease {
		return true
	}
	s.deferStarts(t, leaseRetryInterval, now)
	s.service(t.info.Service).pool.refresh(t, now)
	return false
}

// waitUntil returns the time until which the callers of a run's job certainly
// wait.
func (s *Scheduler) waitUntil(r *run, now time.Time) time.Time {
	switch {
	case r.task == nil:
		return now
	case s.config.Callers == nil:
		return now.Add(s.config.MaxLease)
	default:
		return s.config.Callers.WaitUntil(r.task.job.submission.Job.ID, now)
	}
}

// callersWait reports whether the callers of a job certainly wait for long enough
// to start a run, and records until when they wait.
func (s *Scheduler) callersWait(j *job, now time.Time) bool {
	if s.config.Callers == nil {
		return true
	}
	j.callersUntil = s.config.Callers.WaitUntil(j.submission.Job.ID, now)
	return j.callersUntil.Sub(now) >= minStartLease
}

// leaseOutlastsCallers reports whether the leases that a target may hold until leaseEnd
// outlast the wait of the job's callers. A target does not shorten its leases, and
// they apply to whatever starts there.
func (j *job) leaseOutlastsCallers(leaseEnd time.Time) bool {
	return !j.callersUntil.IsZero() && leaseEnd.After(j.callersUntil)
}
