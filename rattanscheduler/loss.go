package rattanscheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanlever/rattanlever/rattancrash"
)

const (
	// maxCrashes is the number of targets that may crash under a task before its
	// job fails. One crash may have another cause.
	maxCrashes = 2
	// maxLosses is the number of targets that may be lost under a task before it
	// waits until it is known which of them have crashed. A target that was only
	// silent does not count in the end.
	maxLosses = 3
	// maxUnnoticedLosses replaces maxLosses if each earlier home of the job is
	// counted as a further target, which that home had no time to record.
	maxUnnoticedLosses = 5
)

// RunLoss reports a run that was lost with its target.
type RunLoss struct {
	JobID   string
	Task    string
	Target  string
	Attempt int
	// Proof is what is known of the target's end, Losses the number of targets
	// lost under the task so far.
	Proof  rattancrash.Proof
	Losses rattancrash.Losses
}

// currentIncarnation returns the incarnation of the target that its runs belong to.
func (t *target) currentIncarnation() rattancrash.Incarnation {
	return rattancrash.Incarnation{Target: t.info.ID, StartMillis: t.incarnation}
}

// recordLoss records that an incarnation of a target was lost while the run was,
// or may have been, active on it. A target that was about to leave does not
// count.
func (s *Scheduler) recordLoss(r *run, incarnation rattancrash.Incarnation, proof rattancrash.Proof, now time.Time) {
	if r.target.leaving || !s.crashes.Add(r.taskName, incarnation, proof, now) {
		return
	}
	r.target.lossesOpen = true
	if j, ok := s.jobs[jobIDOf(r.taskName)]; ok {
		j.hasLosses = true
	}
	s.output.Losses = append(s.output.Losses, RunLoss{
		JobID:   jobIDOf(r.taskName),
		Task:    r.taskName,
		Target:  incarnation.Target,
		Attempt: r.attempt,
		Proof:   proof,
		Losses:  s.crashes.Of(r.taskName),
	})
}

// TargetReplaced records that another incarnation answers at the address of a
// target: all runs of the target are over, and unanswered start requests are
// refused there.
func (s *Scheduler) TargetReplaced(targetID, address string, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok || target.info.Address != address {
		return
	}
	target.unresponsive = true
	s.touch(target)
	for _, r := range target.snapshot() {
		s.recordLoss(r, target.currentIncarnation(), rattancrash.Crashed, now)
		s.removeRun(r)
		s.requeue(r, now)
	}
	if target.lossesOpen && !target.leaving {
		s.recordChange(target, TargetRestarted)
		s.crashes.Replaced(targetID)
		s.reviewLosses(now)
	}
	target.lossesOpen = false
	s.schedule(now)
}

// targetAnswered settles the losses recorded for a target that has listed its
// runs.
func (s *Scheduler) targetAnswered(target *target, now time.Time) {
	if !target.lossesOpen {
		return
	}
	target.lossesOpen = false
	s.crashes.Answered(target.currentIncarnation())
	s.reviewLosses(now)
}

// maxReviewedLosses bounds the number of changes that one review applies.
const maxReviewedLosses = 1000

// reviewLosses applies changes of the history of losses, which other instances
// change too, to the jobs concerned. Another home may have taken a target for
// lost that answers this one: its next listing settles that.
func (s *Scheduler) reviewLosses(now time.Time) {
	losses, last := s.crashes.Changes(s.crashesReviewed, maxReviewedLosses, now)
	s.crashesReviewed = last
	for _, loss := range losses {
		if target, ok := s.targets[loss.Incarnation.Target]; ok && loss.Proof == rattancrash.Silent {
			target.lossesOpen = true
		}
		if j, ok := s.jobs[jobIDOf(loss.Task)]; ok {
			j.hasLosses = true
			s.advanceJob(j, now)
		}
	}
}

// crashesTargets reports whether a task of the job has crashed so many targets
// that the job is given up.
func (s *Scheduler) crashesTargets(j *job) bool {
	return j.hasLosses && slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.state != taskDone && s.crashes.Of(t.name).Crashed >= maxCrashes
	})
}

// awaitsProof reports whether a task must not start before it is known which of
// the targets lost under it have crashed.
func (s *Scheduler) awaitsProof(t *task) bool {
	if !t.job.hasLosses {
		return false
	}
	losses := s.crashes.Of(t.name)
	lost := losses.Silent + losses.Crashed
	return lost >= maxLosses || (lost > 0 && lost+t.job.submission.EarlierHomes >= maxUnnoticedLosses)
}

// heldTooLong reports whether a job has a task that awaits proof although the
// answer has no value any more.
func (s *Scheduler) heldTooLong(j *job, now time.Time) bool {
	if !j.hasLosses {
		return false
	}
	_, lateUntil := s.adjustedDeadlines(j)
	return now.After(lateUntil) && slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.state == taskWaiting && s.awaitsProof(t)
	})
}

// hasLosses reports whether a target was lost under the task.
func (s *Scheduler) hasLosses(name string) bool {
	return s.crashes.Of(name) != rattancrash.Losses{}
}

// jobIDOf returns the ID of a task's job.
func jobIDOf(taskName string) string {
	jobID, _, _ := strings.Cut(taskName, ".")
	return jobID
}
