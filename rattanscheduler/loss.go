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
	// maxUnprovenLosses is the number of targets that may be lost under a task,
	// if those count for which no proof is expected any more. The task is not
	// started again unless one of them answers.
	maxUnprovenLosses = 4
	// contactTimeout is longer than the time between two answers of a target that
	// can be reached.
	contactTimeout = 500 * time.Millisecond
)

// RunLoss reports a run that was lost with its target.
type RunLoss struct {
	JobID   string
	Task    string
	Target  string
	Attempt int
	// Proof is what is known of the target's end, Losses the number of targets
	// lost under the task so far.
	Proof rattancrash.Proof
	// Refused is set if the target refused connections while the run held its
	// lease, Unreachable if it had stopped answering before anything showed that it
	// was down, and Unanswered if it never confirmed the run.
	Refused     bool
	Unreachable bool
	Unanswered  bool
	Losses      rattancrash.Losses
}

// currentIncarnation returns the incarnation of the target that its runs belong to.
func (t *target) currentIncarnation() rattancrash.Incarnation {
	return rattancrash.Incarnation{Target: t.info.ID, StartMillis: t.incarnation}
}

// SetLeaseEnd records when the leases of the target's runs will certainly have
// expired.
func (s *Scheduler) SetLeaseEnd(targetID string, end time.Time) {
	if target, ok := s.targets[targetID]; ok {
		target.leaseEnd = end
		if end.After(s.latestLeaseEnd) {
			s.latestLeaseEnd = end
		}
	}
}

// TargetRefused records that the target's machine refuses connections: the target
// is down.
func (s *Scheduler) TargetRefused(targetID string, now time.Time) {
	if target, ok := s.targets[targetID]; ok && target.refusedAt.IsZero() {
		target.refusedAt = now
	}
}

// leasesExpired reports whether the leases of the target's runs have certainly
// expired.
func (t *target) leasesExpired(now time.Time) bool {
	return !t.leaseEnd.IsZero() && now.After(t.leaseEnd)
}

// loss describes the loss of the target's current incarnation under a run, as it
// is known before the target or another incarnation answers.
func (t *target) loss(r *run, now time.Time) rattancrash.Loss {
	end := now
	if t.leasesExpired(now) {
		end = t.leaseEnd
	}
	return rattancrash.Loss{
		Task:        r.taskName,
		Incarnation: t.currentIncarnation(),
		Proof:       rattancrash.Silent,
		Age:         now.Sub(end),
		Silence:     end.Sub(t.listedAt),
		Refused:     t.refusedAt.After(r.knownSince) && !t.refusedAt.After(end),
		Unreachable: t.unreachableBefore(r, now),
		Unanswered:  r.confirmedAt.IsZero(),
	}
}

// unreachableBefore reports whether the target had stopped answering before it was
// seen to be down, as it does behind a cut. The machine of a process that crashes
// refuses connections at once. A busy home may notice the silence only by the time
// since the last answer, which was sent after its request and may be read late.
func (t *target) unreachableBefore(r *run, now time.Time) bool {
	down := now
	if !t.refusedAt.IsZero() {
		down = t.refusedAt
	}
	answered := t.listedAt
	if !r.confirmedAt.IsZero() && r.knownSince.After(answered) {
		answered = r.knownSince
	}
	noticed := !t.silentSince.IsZero() && t.silentSince.Before(down)
	return noticed || down.Sub(answered) > contactTimeout
}

// lossByRestart describes the loss of the target's current incarnation under a
// run if another incarnation answers now. If the run still held its lease, the
// restart has ended it.
func (t *target) lossByRestart(r *run, now time.Time) rattancrash.Loss {
	loss := t.loss(r, now)
	if !t.leasesExpired(now) {
		loss.Proof = rattancrash.Crashed
	}
	return loss
}

// recordLoss records that a target was lost while the run was, or may have been,
// active on it. A target that was about to leave does not count.
func (s *Scheduler) recordLoss(r *run, loss rattancrash.Loss, now time.Time) {
	if r.target.leaving || !s.crashes.Add(loss, now) {
		return
	}
	r.target.lossesOpen = true
	if j, ok := s.jobs[jobIDOf(r.taskName)]; ok {
		j.hasLosses = true
	}
	s.output.Losses = append(s.output.Losses, RunLoss{
		JobID:       jobIDOf(r.taskName),
		Task:        r.taskName,
		Target:      loss.Incarnation.Target,
		Attempt:     r.attempt,
		Proof:       loss.Proof,
		Refused:     loss.Refused,
		Unreachable: loss.Unreachable,
		Unanswered:  loss.Unanswered,
		Losses:      s.crashes.Of(r.taskName),
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
		if !r.absent {
			s.recordLoss(r, target.lossByRestart(r, now), now)
		}
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
		if target, ok := s.targets[loss.Incarnation.Target]; ok && (loss.Proof == rattancrash.Silent || loss.Proof == rattancrash.Unproven) {
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
	open := losses.Silent + losses.Crashed
	lost := open + losses.Unproven
	return open >= maxLosses || lost >= maxUnprovenLosses || (lost > 0 && lost+t.job.submission.EarlierHomes >= maxUnnoticedLosses)
}

// isSuspect reports whether targets were lost under the task, and perhaps by it.
func (s *Scheduler) isSuspect(t *task) bool {
	return t.job.hasLosses && s.hasLosses(t.name)
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
