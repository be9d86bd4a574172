package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// stopRetryInterval is how long a stop request may stay unanswered before
	// it is repeated.
	stopRetryInterval = 70 * time.Millisecond
	// refusalSuspension is how long a target is suspended after it refused a
	// start request.
	refusalSuspension = 250 * time.Millisecond
)

// startRun requests the start of a run of the task.
func (s *Scheduler) startRun(t *task, target *target, now time.Time) {
	t.attempt++
	t.state = taskActive
	r := &run{target: target, taskName: t.name, attempt: t.attempt, resources: t.resources(), task: t, knownSince: now, suspect: s.isSuspect(t), cold: target.cold}
	t.run = r
	s.addRun(r)
	target.reserve(r.resources)
	state := s.service(target.info.Service)
	state.pool.refresh(target, now)
	j := t.job
	if state.queue.mixed {
		expected := s.expectedRunTime(r)
		r.release = state.releases.add(r.resources.MilliCPU, expected, now)
		state.recordShare(j.submission.Priority, float64(expected)*float64(r.resources.MilliCPU), now)
	}
	if len(j.ready) == 0 {
		state.observeWait(j, now)
	}
	if j.runCount == 0 {
		j.firstStart = now.Sub(j.submittedAt)
	}
	j.runCount++
	j.recordStart(r, now)
	s.output.Starts = append(s.output.Starts, StartRequest{
		Target:     &target.info,
		Task:       t.name,
		Attempt:    t.attempt,
		Spec:       j.submission.Job.Spec,
		Checkpoint: t.checkpoint,
	})
}

// StartAnswered handles a target's answer to a start request. A request that
// was fenced does not suspend the target, since a later request of the same
// home with a higher token arrived there first.
func (s *Scheduler) StartAnswered(targetID, taskName string, attempt int, answer rattanwork.StartAnswer, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	r, ok := target.runs[runKey{taskName, attempt}]
	if !ok {
		s.lateAnswer(taskName, targetID, attempt, answer.Result, now)
		if t := s.task(taskName); t != nil {
			t.job.recordAnswer(answer.Result, now)
		}
		return
	}
	if r.task != nil {
		r.task.job.recordAnswer(answer.Result, now)
	}
	if r.state != runRequested && r.state != runStopping {
		return
	}
	switch result := answer.Result; {
	case result == rattanwork.StartAccepted:
		r.confirmedAt = now
		r.startClock = answer.ClockMillis
		if r.state == runRequested {
			r.state = runConfirmed
		}
	case result == rattanwork.StartUnknown:
		if r.state == runRequested {
			r.state = runUncertain
		}
		s.recordUnanswered(r, now)
	default:
		s.removeRun(r)
		if r.task != nil {
			r.task.job.recordEnd(r, result.String(), now)
		}
		if result != rattanwork.StartFenced {
			s.suspend(target, refusalSuspension, result.String(), now)
		}
		s.requeue(r, now)
	}
	s.schedule(now)
}

// StopAnswered records that a target accepted the request to stop a run.
func (s *Scheduler) StopAnswered(targetID, taskName string, attempt int, now time.Time) {
	if target, ok := s.targets[targetID]; ok {
		if r, ok := target.runs[runKey{taskName, attempt}]; ok {
			r.stopAckedAt = now
			delete(s.unansweredStops, r)
		}
	}
}

// HasUnresolvedRuns reports whether a new listing is needed to tell whether
// some run on the target is still active.
func (s *Scheduler) HasUnresolvedRuns(targetID string) bool {
	target, ok := s.targets[targetID]
	if !ok {
		return false
	}
	for _, r := range target.runs {
		if !r.stopAckedAt.IsZero() || r.state == runUncertain {
			return true
		}
	}
	return false
}

// ListFailed records that the target did not answer a listing request.
func (s *Scheduler) ListFailed(targetID string) {
	if target, ok := s.targets[targetID]; ok {
		target.listFailed = true
	}
}

// TargetUnresponsive marks a target that does not answer. It gets no new work
// until it has listed its runs again. With leasesExpired, its confirmed runs
// are lost and their tasks may start elsewhere. A start request without an answer
// may still be carried out: the clock of the next incarnation starts anew, so that
// the lease in the request is not over there.
func (s *Scheduler) TargetUnresponsive(targetID string, leasesExpired bool, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	target.unresponsive = true
	if target.silentSince.IsZero() {
		target.silentSince = now
	}
	s.touch(target)
	if !leasesExpired {
		return
	}
	for _, r := range target.snapshot() {
		s.recordLoss(r, target.loss(r, now), now)
		if r.answered() {
			s.removeRun(r)
			s.requeue(r, now)
		}
	}
	s.schedule(now)
}

// addRun adds a run that may be active.
func (s *Scheduler) addRun(r *run) {
	r.target.runs[runKey{r.taskName, r.attempt}] = r
	if r.suspect {
		r.target.suspects++
	}
	s.activeRuns[r.taskName]++
}

// removeRun removes a run and releases its resources.
func (s *Scheduler) removeRun(r *run) {
	delete(r.target.runs, runKey{r.taskName, r.attempt})
	delete(s.unansweredStops, r)
	delete(s.unanswered, r)
	r.release.remove()
	if r.suspect {
		r.target.suspects--
	}
	s.activeRuns[r.taskName]--
	if s.activeRuns[r.taskName] <= 0 {
		delete(s.activeRuns, r.taskName)
	}
	s.touch(r.target)
	if !r.orphan || r.task != nil {
		r.target.release(r.resources)
		return
	}
	r.target.orphanCount--
	if s.orphans[r.taskName] == r {
		delete(s.orphans, r.taskName)
	}
}

// requeue returns the task of a run that ended without completing it to the
// waiting state, unless the task has a second run.
func (s *Scheduler) requeue(r *run, now time.Time) {
	t := r.task
	if t == nil || !t.hasRun(r) {
		s.advanceWaitingTask(r.taskName, now)
		return
	}
	t.job.recordEnd(r, "Lost", now)
	t.clearRun(r)
	t.avoidTarget = r.target
	if t.run != nil {
		return
	}
	t.state = taskWaiting
	s.advanceJob(t.job, now)
}

// stopRuns stops all runs of a task.
func (s *Scheduler) stopRuns(t *task, now time.Time) {
	s.stopOtherRuns(t, nil, now)
}

// stopOtherRuns stops all runs of a task except keep.
func (s *Scheduler) stopOtherRuns(t *task, keep *run, now time.Time) {
	for _, r := range [...]*run{t.run, t.slowRun} {
		if r == nil || r == keep {
			continue
		}
		s.unbindRun(r)
		r.state = runStopping
		s.requestStop(r, now)
	}
}

// unbindRun separates a run from its task without stopping it.
func (s *Scheduler) unbindRun(r *run) {
	r.task.clearRun(r)
	r.task = nil
	r.orphan = false
}

// clearRun removes a run from the task. If the task has a second run, that one
// takes its place.
func (t *task) clearRun(r *run) {
	switch r {
	case t.run:
		t.run = t.slowRun
		t.slowRun = nil
	case t.slowRun:
		t.slowRun = nil
	}
}

func (s *Scheduler) requestStop(r *run, now time.Time) {
	r.stopSentAt = now
	s.unansweredStops[r] = struct{}{}
	s.output.Stops = append(s.output.Stops, StopRequest{Target: &r.target.info, Task: r.taskName, Attempt: r.attempt})
}

// retryStops repeats stop requests that were not answered.
func (s *Scheduler) retryStops(now time.Time) {
	for r := range s.unansweredStops {
		if !r.target.unresponsive && now.Sub(r.stopSentAt) > stopRetryInterval {
			s.requestStop(r, now)
		}
	}
}

// snapshot returns the target's runs as a list, so that runs can be removed
// while iterating over it.
func (t *target) snapshot() []*run {
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, r)
	}
	return runs
}
