package rattanscheduler

import "time"

const (
	// doneTaskRetention is how long a completed task is kept for callers that
	// resubmit its job after a takeover.
	doneTaskRetention = 5 * time.Second
	// begunJobRetention is how long a job that ended without a result is kept
	// for callers that submit it again, which they do within seconds.
	begunJobRetention = 5 * time.Second
	// orphanGracePeriod is how long runs of an earlier home may continue without
	// a resubmission of their job. Instances whose callers wait resubmit within
	// two heartbeats; the callers of lost ones may submit to another zone soon.
	orphanGracePeriod = 300 * time.Millisecond
)

// IsNew reports whether the job is not known and certainly has not run, also not
// in an earlier submission.
func (s *Scheduler) IsNew(submission Submission, now time.Time) bool {
	return !s.HasJob(submission.Job.ID) && !submission.Resumed && !s.awaitsListings(now) && !s.MayHaveStarted(submission, now)
}

// HasJob reports whether a job is in progress.
func (s *Scheduler) HasJob(id string) bool {
	_, ok := s.jobs[id]
	return ok
}

// MayHaveStarted reports whether a task of the job may have started in an earlier
// submission: here, under an earlier home as far as targets have listed it, or in
// the zone to which the job was redirected. A resumed job may have started as long
// as some target has not listed its runs.
func (s *Scheduler) MayHaveStarted(submission Submission, now time.Time) bool {
	_, begun := s.begunJobs[submission.Job.ID]
	_, redirected := s.redirectedJobs[submission.Job.ID]
	if begun || redirected || submission.Resumed && s.awaitsListings(now) {
		return true
	}
	for name := range submission.Job.TaskNames() {
		if s.mayHaveStarted(name) {
			return true
		}
	}
	return false
}

// mayHaveStarted reports whether a task may have started in an earlier
// submission of its job: it has completed, a run may be active or may still be
// started, or a target was lost under it.
func (s *Scheduler) mayHaveStarted(name string) bool {
	_, done := s.doneTasks[name]
	return done || s.activeRuns[name] > 0 || len(s.outstanding[name]) > 0 || s.hasLosses(name)
}

// adoptRuns binds the runs that an earlier home started and the tasks that
// completed under it to a newly submitted job. If runs of an earlier submission
// may still be active, the job counts as started and can be neither refused nor
// redirected.
func (s *Scheduler) adoptRuns(j *job) {
	if _, begun := s.begunJobs[j.submission.Job.ID]; begun {
		j.maybeStarted = true
	}
	j.unansweredUntil = s.unansweredJobs[j.submission.Job.ID]
	for _, t := range j.tasks {
		if s.mayHaveStarted(t.name) {
			j.maybeStarted = true
		}
		if s.hasLosses(t.name) {
			j.hasLosses = true
		}
		t.attempt = max(t.attempt, s.lastOutstandingAttempt(t.name))
		for _, start := range s.outstanding[t.name] {
			j.unansweredUntil = later(j.unansweredUntil, start.expiresAt)
		}
		if _, ok := s.doneTasks[t.name]; ok {
			delete(s.doneTasks, t.name)
			s.markDone(t)
			continue
		}
		if t.state != taskWaiting {
			continue
		}
		r, ok := s.orphans[t.name]
		if !ok || r.state == runStopping || !t.joins(r.attempt) {
			continue
		}
		delete(s.orphans, t.name)
		s.bindRun(r, t)
	}
}

// task returns the named task if its job is known, otherwise nil.
func (s *Scheduler) task(name string) *task {
	j, ok := s.jobs[jobIDOf(name)]
	if !ok {
		return nil
	}
	return j.task(name)
}

// waitingTask returns the named task if its job is known and it has no run,
// otherwise nil.
func (s *Scheduler) waitingTask(name string) *task {
	t := s.task(name)
	if t == nil || t.state != taskWaiting {
		return nil
	}
	return t
}

// bindRun makes a run of an earlier home the current run of its task and
// reserves the resources of the run.
func (s *Scheduler) bindRun(r *run, t *task) {
	r.task = t
	t.run = r
	t.state = taskActive
	t.attempt = max(t.attempt, r.attempt)
	t.job.maybeStarted = true
	r.resources = t.resources()
	r.target.orphanCount--
	r.target.reserve(r.resources)
	s.touch(r.target)
}

// recordEarlierDone records that a task completed in a run that this scheduler
// did not start. If its job is not known yet, the result is kept for a
// resubmission.
func (s *Scheduler) recordEarlierDone(name string, now time.Time) {
	t := s.waitingTask(name)
	if t == nil {
		s.doneTasks[name] = now.Add(doneTaskRetention)
		return
	}
	s.markDone(t)
	t.job.maybeStarted = true
	s.advanceJob(t.job, now)
}

// advanceWaitingTask advances the job of a task that may have waited for the
// end of an earlier run.
func (s *Scheduler) advanceWaitingTask(name string, now time.Time) {
	if t := s.waitingTask(name); t != nil {
		s.advanceJob(t.job, now)
	}
}

// stopOrphans stops runs of an earlier home whose job was not resubmitted
// within the grace period.
func (s *Scheduler) stopOrphans(now time.Time) {
	for _, r := range s.orphans {
		if now.Sub(r.knownSince) > orphanGracePeriod {
			s.stopOrphan(r, now)
		}
	}
}

// stopOrphan stops a run of an earlier home unless it is being stopped.
func (s *Scheduler) stopOrphan(r *run, now time.Time) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	s.requestStop(r, now)
}

// recordBegun records that a job has ended without a result although a task of it may
// have started.
func (s *Scheduler) recordBegun(jobID string, now time.Time) {
	s.begunJobs[jobID] = now.Add(begunJobRetention)
	s.returningJobs[jobID] = now.Add(LateStartBound)
}

// cancelOrphans stops the runs of a job that an earlier home started, also those
// that are listed later.
func (s *Scheduler) cancelOrphans(jobID string, now time.Time) {
	if s.reconciling(now) {
		s.recordBegun(jobID, now)
	}
	for _, r := range s.orphans {
		if jobIDOf(r.taskName) == jobID {
			s.recordBegun(jobID, now)
			s.stopOrphan(r, now)
		}
	}
}

// cancelled reports whether no caller waits for the job of a task that an
// earlier home started.
func (s *Scheduler) cancelled(taskName string) bool {
	jobID := jobIDOf(taskName)
	_, known := s.jobs[jobID]
	_, begun := s.begunJobs[jobID]
	return begun && !known
}

// runsElsewhere reports whether a task has a run of this home already and may not
// have two, or is done. A run of it that a target lists besides was started late, by
// an incarnation that has not seen the fencing token.
func (s *Scheduler) runsElsewhere(taskName string) bool {
	t := s.task(taskName)
	return t != nil && t.state != taskWaiting && !t.step().Speculative
}
