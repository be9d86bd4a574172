package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// RunsListed processes a target's listing, which was requested at sentAt.
// Requests from before voidBefore that the target has not executed yet are
// void, since the target has seen a higher fencing token.
func (s *Scheduler) RunsListed(targetID string, listing *rattanwork.Listing, sentAt, voidBefore, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	if target.incarnation != listing.Incarnation {
		if sentAt.Before(target.incarnationSince) {
			// The former incarnation has sent it; it was overtaken.
			return
		}
		s.targetRestarted(target, sentAt, now)
		if target.reconciled {
			// The new incarnation may have carried out a late request before this one.
			s.SetLeaseEnd(targetID, now.Add(s.longestLease()))
		}
		target.incarnation = listing.Incarnation
		target.incarnationSince = sentAt
	}
	s.targetAnswered(target, now)
	target.recordAnswer(now)
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
		s.handleListedRun(target, key, listed, listing.ClockMillis, now)
	}
	for _, r := range target.snapshot() {
		if running[runKey{r.taskName, r.attempt}] {
			continue
		}
		if r.provenGone(sentAt, voidBefore) {
			if r.lost != nil {
				s.recordLoss(r, *r.lost, now)
			}
			s.giveUp(r, now)
		}
	}
	target.reconciled = true
	target.listedAt = now
	target.listedClock = listing.ClockMillis
	target.listFailed = false
	s.schedule(now)
}

// provenGone reports whether a run that is missing in a listing requested at
// sentAt has ended, or will not be started by the incarnation that has listed it.
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
	s.forgetSpeed(target)
	target.lossesOpen = true
	for _, r := range target.snapshot() {
		loss := target.lossByRestart(r, now)
		if !r.orphan && (r.confirmedAt.IsZero() || !r.confirmedAt.Before(sentAt)) {
			r.stopAckedAt = time.Time{}
			r.lost = &loss
			if !r.stopSentAt.IsZero() {
				s.unansweredStops[r] = struct{}{}
			}
			continue
		}
		s.recordLoss(r, loss, now)
		s.removeRun(r)
		s.requeue(r, now)
	}
}

// handleListedRun processes a run that a target lists as active. A run that
// this home did not request is adopted by its task if the task waits for a run;
// otherwise it is kept as an orphan until its job is resubmitted.
func (s *Scheduler) handleListedRun(target *target, key runKey, listed rattanwork.Run, clockMillis int64, now time.Time) {
	r, ok := target.runs[key]
	if !ok {
		late := s.carriedOutLate(key, target)
		r = &run{target: target, taskName: key.taskName, attempt: key.attempt, state: runConfirmed, knownSince: now, confirmedAt: now, orphan: true}
		s.addRun(r)
		target.orphanCount++
		s.touch(target)
		if t := s.waitingTask(key.taskName); t != nil && t.joins(key.attempt) {
			s.bindRun(r, t)
			s.advanceJob(t.job, now)
			return
		}
		s.orphans[key.taskName] = r
		s.advanceWaitingTask(key.taskName, now)
		if late || s.cancelled(key.taskName) || s.runsElsewhere(key.taskName) {
			s.stopOrphan(r, now)
		}
		return
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
		if r.task != nil {
			r.task.job.listUntil(now.Add(listedStartTime))
		}
		delete(s.unanswered, r)
	}
	if r.state == runRequested || r.state == runUncertain {
		r.state = runConfirmed
	}
	r.lost = nil
	if r.task == nil {
		return
	}
	if listed.Checkpoint != "" {
		r.task.saveCheckpoint(listed.Checkpoint)
	}
	s.updateProgress(r, listed.Percent, clockMillis, now)
}

// handleEndedRun processes a run that a target lists as ended. If this home has
// neither requested nor adopted the run, only a successful end counts.
func (s *Scheduler) handleEndedRun(target *target, listing *rattanwork.Listing, end rattanwork.End, now time.Time) {
	r, ok := target.runs[runKey{end.Task, end.Attempt}]
	if !ok || (r.orphan && r.task == nil) {
		s.carriedOutLate(runKey{end.Task, end.Attempt}, target)
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
	if r.confirmedAt.IsZero() {
		t.job.listUntil(now.Add(listedStartTime))
	}
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

// saveCheckpoint stores a checkpoint, which applies to all tasks of a gang.
func (t *task) saveCheckpoint(checkpoint string) {
	for _, member := range t.group {
		member.checkpoint = checkpoint
	}
}

// handleTaskDone completes a task after one of its runs has succeeded.
func (s *Scheduler) handleTaskDone(t *task, r *run, listing *rattanwork.Listing, now time.Time) {
	runTime, exact := r.runTime(listing, now)
	expected := s.expectedRunTime(r)
	if r.tooSlow(runTime, expected) {
		s.recordSlowRun(r, now)
	} else {
		r.target.health.recordSuccess()
	}
	switch {
	case !exact:
	case r.cold:
		s.observeCold(r, runTime)
	default:
		s.estimator.observe(t.job, t.stepIndex, r, runTime)
		s.observeEnd(r, runTime, expected, now)
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
