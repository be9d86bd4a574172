package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattancrash"
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
	r := &run{target: target, taskName: t.name, attempt: t.attempt, resources: t.resources(), task: t, knownSince: now}
	t.run = r
	s.addRun(r)
	target.reserve(r.resources)
	s.service(target.info.Service).pool.refresh(target, now)
	j := t.job
	if j.runCount == 0 {
		j.firstStart = now.Sub(j.submittedAt)
	}
	j.runCount++
	j.maybeStarted = true
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
	if !ok || (r.state != runRequested && r.state != runStopping) {
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
// are lost and their tasks may start elsewhere.
func (s *Scheduler) TargetUnresponsive(targetID string, leasesExpired bool, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	target.unresponsive = true
	s.touch(target)
	if !leasesExpired {
		return
	}
	for _, r := range target.snapshot() {
		if r.state == runConfirmed || (r.state == runStopping && !r.confirmedAt.IsZero()) || r.orphan {
			s.recordLoss(r, target.currentIncarnation(), rattancrash.Silent, now)
			s.removeRun(r)
			s.requeue(r, now)
			continue
		}
		if !r.absent {
			s.recordLoss(r, target.currentIncarnation(), rattancrash.Silent, now)
		}
		// A run whose request was not answered keeps its resources, but its
		// task may restart because the lease in the request has expired too.
		s.detachTask(r, now)
	}
	s.schedule(now)
}

// RunsListed processes a target's listing, which was requested at sentAt.
// Requests from before voidBefore that the target has not executed yet are
// void, since the target has seen a higher fencing token.
func (s *Scheduler) RunsListed(targetID string, listing *rattanwork.Listing, sentAt, voidBefore, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	if target.incarnation != listing.Incarnation {
		s.targetRestarted(target, sentAt, now)
		target.incarnation = listing.Incarnation
	}
	s.targetAnswered(target, now)
	target.unresponsive = false
	s.touch(target)
	for _, end := range listing.Ended {
		if end.Sequence > target.lastSequence {
			target.lastSequence = end.Sequence
			s.handleEndedRun(target, listing, end, now)
		}
	}
	running := make(map[runKey]bool, len(listing.Running))
	for _, listed := range listing.Running {
		key := runKey{listed.Task, listed.Attempt}
		running[key] = true
		s.handleListedRun(target, key, listed, now)
	}
	for _, r := range target.snapshot() {
		if running[runKey{r.taskName, r.attempt}] {
			continue
		}
		if r.provenGone(sentAt, voidBefore) {
			if r.restarted {
				s.recordLoss(r, r.lostWith, rattancrash.Crashed, now)
			}
			s.removeRun(r)
			s.requeue(r, now)
		}
	}
	target.reconciled = true
	target.listedAt = now
	target.listedClock = listing.ClockMillis
	target.listFailed = false
	s.schedule(now)
}

// provenGone reports whether a run that is missing in a listing requested at
// sentAt has ended or will never start.
func (r *run) provenGone(sentAt, voidBefore time.Time) bool {
	switch {
	case r.orphan:
		return true
	case !r.confirmedAt.IsZero():
		return r.confirmedAt.Before(sentAt)
	case !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(sentAt):
		return true
	default:
		return r.knownSince.Before(voidBefore)
	}
}

// targetRestarted removes the runs of the target's previous incarnation, which
// a listing requested at sentAt has shown to be over. Start requests without an
// answer may still arrive at the new one, and a start that was accepted after
// sentAt may have been accepted by it, so their runs are kept. The next listing
// tells whether they are there.
func (s *Scheduler) targetRestarted(target *target, sentAt, now time.Time) {
	first := target.incarnation == 0 && target.lastSequence == 0
	target.lastSequence = 0
	if first {
		return
	}
	s.recordChange(target, TargetRestarted)
	lost := target.currentIncarnation()
	target.lossesOpen = true
	for _, r := range target.snapshot() {
		if !r.orphan && (r.confirmedAt.IsZero() || !r.confirmedAt.Before(sentAt)) {
			r.stopAckedAt = time.Time{}
			r.lostWith, r.restarted = lost, true
			if !r.stopSentAt.IsZero() {
				s.unansweredStops[r] = struct{}{}
			}
			continue
		}
		s.recordLoss(r, lost, rattancrash.Crashed, now)
		s.removeRun(r)
		s.requeue(r, now)
	}
}

// handleListedRun processes a run that a target lists as active. A run that
// this home did not request is adopted by its task if the task waits for a run;
// otherwise it is kept as an orphan until its job is resubmitted.
func (s *Scheduler) handleListedRun(target *target, key runKey, listed rattanwork.Run, now time.Time) {
	r, ok := target.runs[key]
	if !ok {
		r = &run{target: target, taskName: key.taskName, attempt: key.attempt, state: runConfirmed, knownSince: now, confirmedAt: now, orphan: true}
		s.addRun(r)
		target.orphanCount++
		s.touch(target)
		if t := s.waitingTask(key.taskName); t != nil {
			s.bindRun(r, t)
			s.advanceJob(t.job, now)
			return
		}
		s.orphans[key.taskName] = r
		return
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if r.state == runRequested || r.state == runUncertain {
		r.state = runConfirmed
	}
	r.restarted = false
	if r.task == nil {
		return
	}
	if listed.Checkpoint != "" {
		r.task.saveCheckpoint(listed.Checkpoint)
	}
	s.updateProgress(r, listed.Percent, now)
}

// handleEndedRun processes a run that a target lists as ended. If this home has
// neither requested nor adopted the run, only a successful end counts.
func (s *Scheduler) handleEndedRun(target *target, listing *rattanwork.Listing, end rattanwork.End, now time.Time) {
	r, ok := target.runs[runKey{end.Task, end.Attempt}]
	if !ok || (r.orphan && r.task == nil) {
		if end.Kind == rattanwork.EndDone {
			s.recordEarlierDone(end.Task, now)
		}
		if ok {
			s.removeRun(r)
			s.advanceWaitingTask(r.taskName, now)
		}
		return
	}
	s.removeRun(r)
	t := r.task
	if t == nil || !t.hasRun(r) {
		s.advanceWaitingTask(r.taskName, now)
		return
	}
	t.job.recordEnd(r, end.Kind.String(), now)
	if end.Checkpoint != "" && t.step().SavesProgress {
		t.saveCheckpoint(end.Checkpoint)
	}
	switch end.Kind {
	case rattanwork.EndDone:
		s.handleTaskDone(t, r, listing, now)
	case rattanwork.EndFailed:
		s.handleTaskFailed(t, r, now)
	default:
		s.requeue(r, now)
	}
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

// saveCheckpoint stores a checkpoint, which applies to all tasks of a gang.
func (t *task) saveCheckpoint(checkpoint string) {
	for _, member := range t.group {
		member.checkpoint = checkpoint
	}
}

// handleTaskDone completes a task after one of its runs has succeeded.
func (s *Scheduler) handleTaskDone(t *task, r *run, listing *rattanwork.Listing, now time.Time) {
	runTime, exact := r.runTime(listing, now)
	if s.tooSlow(r, runTime) {
		s.recordSlowRun(r, now)
	} else {
		r.target.health.recordSuccess()
	}
	if exact {
		s.estimator.observe(t.job, t.stepIndex, r, runTime)
	}
	s.stopOtherRuns(t, r, now)
	s.markDone(t)
	s.advanceJob(t.job, now)
}

// handleTaskFailed counts a failed run. It requeues the task, or ends the job
// if the task has failed MaxAttempts times.
func (s *Scheduler) handleTaskFailed(t *task, r *run, now time.Time) {
	t.recordFailure(r.attempt)
	t.lastFailedTarget = r.target
	t.job.failureCount++
	s.suspend(r.target, r.target.health.recordFailure(t.job), "failing", now)
	if t.failures >= t.job.submission.MaxAttempts {
		t.clearRun(r)
		s.endJob(t.job, Failed, "a task failed too often", 0, now)
		return
	}
	s.requeue(r, now)
}

// recordFailure counts a failed attempt once for all tasks of a gang.
func (t *task) recordFailure(attempt int) {
	for _, member := range t.group {
		if member.failedAttempt != attempt {
			member.failedAttempt = attempt
			member.failures++
		}
	}
}

// runTime returns the minimum run time of a run that has ended, and whether it
// is exact. It is measured by the target's clock, because a busy home handles
// answers late. It is not exact if the run may have ended right after the
// previous listing: when a listing was lost, or the home asked for it late.
func (r *run) runTime(listing *rattanwork.Listing, now time.Time) (runTime time.Duration, exact bool) {
	if r.startClock == 0 || listing.ClockMillis == 0 {
		if !r.target.listFailed {
			return now.Sub(r.knownSince), true
		}
		return max(0, r.target.listedAt.Sub(r.knownSince)), false
	}
	endClock := listing.ClockMillis
	if !listing.Prompt || r.target.listFailed {
		endClock = max(r.startClock, r.target.listedClock)
	}
	return time.Duration(endClock-r.startClock) * time.Millisecond, endClock == listing.ClockMillis
}

// addRun adds a run that may be active.
func (s *Scheduler) addRun(r *run) {
	r.target.runs[runKey{r.taskName, r.attempt}] = r
	s.activeRuns[r.taskName]++
}

// markAbsent records that a run is not active any more.
func (s *Scheduler) markAbsent(r *run) {
	if r.absent {
		return
	}
	r.absent = true
	s.activeRuns[r.taskName]--
	if s.activeRuns[r.taskName] <= 0 {
		delete(s.activeRuns, r.taskName)
	}
}

// removeRun removes a run and releases its resources.
func (s *Scheduler) removeRun(r *run) {
	delete(r.target.runs, runKey{r.taskName, r.attempt})
	delete(s.unansweredStops, r)
	s.markAbsent(r)
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

// advanceWaitingTask advances the job of a task that may have waited for the
// end of an earlier run.
func (s *Scheduler) advanceWaitingTask(name string, now time.Time) {
	if t := s.waitingTask(name); t != nil {
		s.advanceJob(t.job, now)
	}
}

// detachTask lets the task of an uncertain run start elsewhere. The run keeps
// its resources until it is proven gone.
func (s *Scheduler) detachTask(r *run, now time.Time) {
	s.markAbsent(r)
	s.requeue(r, now)
	r.task = nil
	r.state = runStopping
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

// stopOrphans stops runs of an earlier home whose job was not resubmitted
// within the grace period.
func (s *Scheduler) stopOrphans(now time.Time) {
	for _, r := range s.orphans {
		if r.state != runStopping && now.Sub(r.knownSince) > orphanGracePeriod {
			r.state = runStopping
			s.requestStop(r, now)
		}
	}
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
