package rattanscheduler

import (
	"maps"
	"slices"
	"time"
)

// redirection is a job that may run in another zone.
type redirection struct {
	zone string
	// until is when the leases of the job's runs in the zone have ended after its
	// caller stopped waiting, or the starts in the zone are over.
	until time.Time
	// startedThere is set if that zone has told of a start.
	startedThere bool
	// moved is set if the job had started here before it was redirected.
	moved bool
	// followed is set if more than one submission of the job may have followed the
	// redirect.
	followed bool
}

// redirectAgain redirects a job that was redirected before to the same zone,
// where it may still run: its caller submits it again if the answer was lost or
// its instance was. It reports whether the job was redirected.
func (s *Scheduler) redirectAgain(submission Submission, now time.Time) bool {
	if !s.Redirects(submission, now) || s.refusedThere(submission) {
		delete(s.redirectedJobs, submission.Job.ID)
		return false
	}
	earlier := s.redirectedJobs[submission.Job.ID]
	earlier.followed = true
	s.redirectedJobs[submission.Job.ID] = earlier
	s.output.Results = append(s.output.Results, JobResult{
		JobID:          submission.Job.ID,
		Outcome:        Redirected,
		Zone:           earlier.zone,
		MayHaveStarted: true,
		Reason:         "redirected before",
		Tasks:          submission.Job.Tasks(),
		Estimate:       submission.Job.CriticalPath(),
	})
	return true
}

// refusedThere reports whether the zone to which a job was redirected has refused it, so
// that it certainly runs in no zone: that zone has not told of a start, and no other
// submission was redirected there.
func (s *Scheduler) refusedThere(submission Submission) bool {
	earlier := s.redirectedJobs[submission.Job.ID]
	return !submission.Resumed && !earlier.followed && !earlier.startedThere && !earlier.moved &&
		slices.Contains(submission.Tried, earlier.zone)
}

// leaveToZone redirects a job that has not started here to a zone that has told of a
// start, and reports whether it has.
func (s *Scheduler) leaveToZone(jobID, zone string, now time.Time) bool {
	j := s.jobs[jobID]
	if j.runCount > 0 || slices.ContainsFunc(j.tasks, s.mayHaveRun) {
		return false
	}
	s.finishJob(j, ending{outcome: Redirected, zone: zone, mayHaveStarted: true, reason: "started elsewhere"}, now)
	return true
}

// mayHaveRun reports whether a task has a run here, or may have had one.
func (s *Scheduler) mayHaveRun(t *task) bool {
	return t.state != taskWaiting || s.mayHaveStarted(t.name)
}

// Redirects reports whether a job is redirected to the zone where it may run. One that
// may have started and was redirected here is not sent back, unless that zone has told
// of a start or the job had started here: each of two zones may have redirected it to
// the other one.
func (s *Scheduler) Redirects(submission Submission, now time.Time) bool {
	earlier, ok := s.redirectedJobs[submission.Job.ID]
	return ok && now.Before(earlier.until) && (earlier.startedThere || earlier.moved || !submission.Resumed || !submission.Redirected)
}

// removeRedirections forgets the jobs whose callers no longer wait.
func (s *Scheduler) removeRedirections(now time.Time) {
	maps.DeleteFunc(s.redirectedJobs, func(_ string, entry redirection) bool { return now.After(entry.until) })
}
