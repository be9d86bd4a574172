package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// stopRetryInterval is how long a stop may stay unanswered before it is sent
	// again.
	stopRetryInterval = 70 * time.Millisecond
	// refusalSuspension keeps a target that refused an order from the next ones.
	refusalSuspension = 250 * time.Millisecond
)

// startRun orders a run of a task.
func (s *Scheduler) startRun(t *task, target *target, now time.Time) {
	t.attempt++
	t.state = taskActive
	r := &run{target: target, name: t.name, attempt: t.attempt, resources: t.resources(), task: t, knownSince: now}
	t.run = r
	s.addRun(r)
	target.reserve(r.resources)
	j := t.job
	if j.runCount == 0 {
		j.firstStart = now.Sub(j.submitted)
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

// StartAnswered takes in a target's answer to the order to start a run. An
// order that was refused for its token was overtaken by a later one of the same
// home.
func (s *Scheduler) StartAnswered(targetID, name string, attempt int, result rattanwork.StartResult, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	r, ok := target.runs[runKey{name, attempt}]
	if !ok || (r.state != runRequested && r.state != runStopping) {
		return
	}
	switch {
	case result == rattanwork.StartAccepted:
		r.confirmedAt = now
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

// StopAnswered takes in that a target accepted the order to stop a run.
func (s *Scheduler) StopAnswered(targetID, name string, attempt int, now time.Time) {
	if target, ok := s.targets[targetID]; ok {
		if r, ok := target.runs[runKey{name, attempt}]; ok {
			r.stopAckedAt = now
		}
	}
}

// HasUnresolvedRuns reports whether a run waits for a list that tells whether it is
// there.
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

// ListFailed takes in that an order to list runs got no answer.
func (s *Scheduler) ListFailed(targetID string) {
	if target, ok := s.targets[targetID]; ok {
		target.listFailed = true
	}
}

// TargetUnresponsive takes in that a target does not answer. It takes no new work until it
// has listed its runs again. When its leases have certainly expired, its
// confirmed runs are lost and their tasks may start elsewhere.
func (s *Scheduler) TargetUnresponsive(targetID string, leasesExpired bool, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	target.unresponsive = true
	if !leasesExpired {
		return
	}
	for _, r := range target.snapshot() {
		if r.state == runConfirmed || (r.state == runStopping && !r.confirmedAt.IsZero()) || r.orphan {
			s.removeRun(r)
			s.requeue(r, now)
			continue
		}
		// An order without an answer keeps its room, but its task need not
		// wait: the order's lease has expired too.
		s.detachTask(r, now)
	}
	s.schedule(now)
}

// RunsListed takes in a target's list of runs, asked for at sent. The target does
// nothing any more for orders from before void that it has not carried out.
func (s *Scheduler) RunsListed(targetID string, listing *rattanwork.Listing, sentAt, voidBefore, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	if target.incarnation != listing.Born {
		s.targetRestarted(target, now)
		target.incarnation = listing.Born
	}
	target.unresponsive = false
	for _, end := range listing.Ended {
		if end.Sequence > target.lastSequence {
			target.lastSequence = end.Sequence
			s.handleEndedRun(target, end, now)
		}
	}
	running := make(map[runKey]bool, len(listing.Running))
	for _, listed := range listing.Running {
		key := runKey{listed.Task, listed.Attempt}
		running[key] = true
		s.handleListedRun(target, key, listed, now)
	}
	for _, r := range target.snapshot() {
		if running[runKey{r.name, r.attempt}] {
			continue
		}
		if r.provenGone(sentAt, voidBefore) {
			s.removeRun(r)
			s.requeue(r, now)
		}
	}
	target.reconciled = true
	target.listedAt = now
	target.listFailed = false
	s.schedule(now)
}

// provenGone reports whether a run is gone for good that a list asked for at sent
// does not contain.
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

// targetRestarted drops what ran in the former life of a target. Orders without an
// answer may still arrive in the new one.
func (s *Scheduler) targetRestarted(target *target, now time.Time) {
	first := target.incarnation == 0 && target.lastSequence == 0
	target.lastSequence = 0
	if first {
		return
	}
	s.recordChange(target, TargetRestarted)
	for _, r := range target.snapshot() {
		if r.confirmedAt.IsZero() && !r.orphan {
			r.stopAckedAt = time.Time{}
			continue
		}
		s.removeRun(r)
		s.requeue(r, now)
	}
}

func (s *Scheduler) handleListedRun(target *target, key runKey, listed rattanwork.Run, now time.Time) {
	r, ok := target.runs[key]
	if !ok {
		r = &run{target: target, name: key.name, attempt: key.attempt, state: runConfirmed, knownSince: now, confirmedAt: now, orphan: true}
		s.addRun(r)
		target.orphans++
		if t := s.waitingTask(key.name); t != nil {
			s.bindRun(r, t)
			s.advanceJob(t.job, now)
			return
		}
		s.orphans[key.name] = r
		return
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if r.state == runRequested || r.state == runUncertain {
		r.state = runConfirmed
	}
	if r.task == nil {
		return
	}
	if listed.Checkpoint != "" {
		r.task.saveCheckpoint(listed.Checkpoint)
	}
	s.updateProgress(r, listed.Percent, now)
}

func (s *Scheduler) handleEndedRun(target *target, end rattanwork.End, now time.Time) {
	r, ok := target.runs[runKey{end.Task, end.Attempt}]
	if !ok || (r.orphan && r.task == nil) {
		if end.Kind == rattanwork.EndDone {
			s.recordEarlierDone(end.Task, now)
		}
		if ok {
			s.removeRun(r)
			s.advanceWaitingTask(r.name, now)
		}
		return
	}
	s.removeRun(r)
	t := r.task
	if t == nil || !t.hasRun(r) {
		s.advanceWaitingTask(r.name, now)
		return
	}
	t.job.recordEnd(r, end.Kind.String(), now)
	if end.Checkpoint != "" && t.step().SavesProgress {
		t.saveCheckpoint(end.Checkpoint)
	}
	switch end.Kind {
	case rattanwork.EndDone:
		s.handleTaskDone(t, r, now)
	case rattanwork.EndFailed:
		s.handleTaskFailed(t, r, now)
	default:
		s.requeue(r, now)
	}
}

// recordEarlierDone takes in that a task ended under an earlier home.
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

// saveCheckpoint takes in a checkpoint, which holds for all tasks of a gang.
func (t *task) saveCheckpoint(checkpoint string) {
	for _, member := range t.group {
		member.checkpoint = checkpoint
	}
}

func (s *Scheduler) handleTaskDone(t *task, r *run, now time.Time) {
	runTime, exact := r.runTime(now)
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

// recordFailure counts a failed attempt; the members of a gang fail together.
func (t *task) recordFailure(attempt int) {
	for _, member := range t.group {
		if member.failedAttempt != attempt {
			member.failedAttempt = attempt
			member.failures++
		}
	}
}

// runTime returns how long a run that has ended took at least, and whether that
// is exact: when a list was lost, the run may have ended right after the one
// before it.
func (r *run) runTime(now time.Time) (runTime time.Duration, exact bool) {
	if !r.target.listFailed {
		return now.Sub(r.knownSince), true
	}
	return max(0, r.target.listedAt.Sub(r.knownSince)), false
}

// addRun takes in a run that may be under way.
func (s *Scheduler) addRun(r *run) {
	r.target.runs[runKey{r.name, r.attempt}] = r
	s.activeRuns[r.name]++
}

// markAbsent takes in that a run is not under way any more.
func (s *Scheduler) markAbsent(r *run) {
	if r.absent {
		return
	}
	r.absent = true
	s.activeRuns[r.name]--
	if s.activeRuns[r.name] <= 0 {
		delete(s.activeRuns, r.name)
	}
}

// removeRun forgets a run and frees its room.
func (s *Scheduler) removeRun(r *run) {
	delete(r.target.runs, runKey{r.name, r.attempt})
	s.markAbsent(r)
	if !r.orphan || r.task != nil {
		r.target.release(r.resources)
		return
	}
	r.target.orphans--
	if s.orphans[r.name] == r {
		delete(s.orphans, r.name)
	}
}

// requeue makes the task of a run that is gone wait again.
func (s *Scheduler) requeue(r *run, now time.Time) {
	t := r.task
	if t == nil || !t.hasRun(r) {
		s.advanceWaitingTask(r.name, now)
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

// advanceWaitingTask lets a task start that waited for the end of an earlier run.
func (s *Scheduler) advanceWaitingTask(name string, now time.Time) {
	if t := s.waitingTask(name); t != nil {
		s.advanceJob(t.job, now)
	}
}

// detachTask lets the task of an uncertain run start elsewhere; the run keeps its
// room until it is settled.
func (s *Scheduler) detachTask(r *run, now time.Time) {
	s.markAbsent(r)
	s.requeue(r, now)
	r.task = nil
	r.state = runStopping
}

// stopRuns ends the runs of a task that nobody needs any more.
func (s *Scheduler) stopRuns(t *task, now time.Time) {
	s.stopOtherRuns(t, nil, now)
}

// stopOtherRuns ends the runs of a task but the one.
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

// unbindRun separates a run that goes on from its task.
func (s *Scheduler) unbindRun(r *run) {
	r.task.clearRun(r)
	r.task = nil
	r.orphan = false
}

// clearRun takes a run off the task; one beside it becomes the task's run.
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
	s.output.Stops = append(s.output.Stops, StopRequest{Target: &r.target.info, Task: r.name, Attempt: r.attempt})
}

// stopOrphans ends runs of an earlier home whose job nobody presents.
func (s *Scheduler) stopOrphans(now time.Time) {
	for _, r := range s.orphans {
		if r.state != runStopping && now.Sub(r.knownSince) > orphanGracePeriod {
			r.state = runStopping
			s.requestStop(r, now)
		}
	}
}

// retryStops sends stops again that were not answered.
func (s *Scheduler) retryStops(now time.Time) {
	for _, t := range s.targets {
		if t.unresponsive {
			continue
		}
		for _, r := range t.runs {
			if !r.stopSentAt.IsZero() && r.stopAckedAt.IsZero() && now.Sub(r.stopSentAt) > stopRetryInterval {
				s.requestStop(r, now)
			}
		}
	}
}

func (t *target) snapshot() []*run {
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, r)
	}
	return runs
}
