package rattanscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// LateStartBound bounds the time until the end of a run whose start request was
// not answered: the delay with which the target may still start it, plus its lease.
// A later incarnation of the target, which knows of no fencing token, no stop and no
// attempt of before, may start it too.
const LateStartBound = 15 * time.Second

// OutstandingStart is a start request without an answer that its target, or a later
// incarnation of it, may still carry out. Until then the task starts on no other
// target.
type OutstandingStart struct {
	Task    string
	Target  string
	Attempt int
	// Remaining is how long the run of the request may still be active.
	Remaining time.Duration
}

// outstandingStart is an OutstandingStart whose run has been given up, or was requested
// by an earlier home.
type outstandingStart struct {
	target    string
	attempt   int
	expiresAt time.Time
	// earlierHome is set if an earlier home requested it. Its job may still be
	// submitted to this home.
	earlierHome bool
}

// StartChange is a change in what is known of a start request without an answer.
type StartChange int

// Changes of a start request without an answer.
const (
	// StartUnanswered means that the time for the answer is over.
	StartUnanswered StartChange = iota
	// StartGivenUp means that the present incarnation of the target will not carry
	// out the request any more. A later one may.
	StartGivenUp
	// StartCarriedOut means that the target lists the run of a request that was given
	// up.
	StartCarriedOut
	// StartExpired means that the request cannot be carried out any more.
	StartExpired
)

// StartEvent reports a change of one start request without an answer.
type StartEvent struct {
	Task    string
	Target  string
	Attempt int
	Change  StartChange
}

// recordStartChange adds an event of a start request to the output.
func (s *Scheduler) recordStartChange(taskName, targetID string, attempt int, change StartChange) {
	s.output.StartChanges = append(s.output.StartChanges, StartEvent{Task: taskName, Target: targetID, Attempt: attempt, Change: change})
}

// answered reports whether the target has told that it carried out the start request
// of the run.
func (r *run) answered() bool {
	return r.orphan || !r.confirmedAt.IsZero()
}

// recordUnanswered records that the time for the answer to a start request is over.
func (s *Scheduler) recordUnanswered(r *run, now time.Time) {
	r.unansweredAt = now
	s.unanswered[r] = struct{}{}
	s.recordStartChange(r.taskName, r.target.info.ID, r.attempt, StartUnanswered)
}

// mayRunUntil returns until when the run of a start request without an answer may be
// active. The request was sent before the time for its answer was over, but perhaps
// long after the decision, if the home was paused in between.
func (r *run) mayRunUntil(now time.Time) time.Time {
	if r.unansweredAt.IsZero() {
		return now.Add(LateStartBound)
	}
	return r.unansweredAt.Add(LateStartBound)
}

// giveUp removes a run that is over, or that the present incarnation of its target
// will not start any more.
func (s *Scheduler) giveUp(r *run, now time.Time) {
	expiresAt := r.mayRunUntil(now)
	if !r.answered() && now.Before(expiresAt) {
		s.addOutstanding(r.taskName, outstandingStart{target: r.target.info.ID, attempt: r.attempt, expiresAt: expiresAt})
		s.recordStartChange(r.taskName, r.target.info.ID, r.attempt, StartGivenUp)
	}
	s.removeRun(r)
	s.requeue(r, now)
}

// addOutstanding adds a start request to those that may still be carried out.
func (s *Scheduler) addOutstanding(taskName string, start outstandingStart) {
	for i, known := range s.outstanding[taskName] {
		if known.target == start.target && known.attempt == start.attempt {
			s.outstanding[taskName][i].expiresAt = later(known.expiresAt, start.expiresAt)
			s.outstanding[taskName][i].earlierHome = known.earlierHome && start.earlierHome
			return
		}
	}
	s.outstanding[taskName] = append(s.outstanding[taskName], start)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateAnswer handles the answer to a start request that was given up. Only a refusal
// settles the request. One that was accepted may run at a later incarnation.
func (s *Scheduler) lateAnswer(taskName, targetID string, attempt int, result rattanwork.StartResult, now time.Time) {
	if result.NotStarted() {
		s.settleStart(taskName, targetID, attempt)
		return
	}
	for i, start := range s.outstanding[taskName] {
		if start.target == targetID && start.attempt == attempt {
			s.outstanding[taskName][i].expiresAt = now.Add(LateStartBound)
		}
	}
}

// settleStart records that a start request will not be carried out later, and
// reports whether it was outstanding.
func (s *Scheduler) settleStart(taskName, targetID string, attempt int) bool {
	return s.removeOutstanding(taskName, func(start outstandingStart) bool {
		return start.target == targetID && start.attempt == attempt
	})
}

// carriedOutLate settles the start request of a run that a target lists, and reports
// whether this home has given it up.
func (s *Scheduler) carriedOutLate(key runKey, target *target) bool {
	givenUp := slices.ContainsFunc(s.outstanding[key.taskName], func(start outstandingStart) bool {
		return start.target == target.info.ID && start.attempt == key.attempt && !start.earlierHome
	})
	if s.settleStart(key.taskName, target.info.ID, key.attempt) {
		s.recordStartChange(key.taskName, target.info.ID, key.attempt, StartCarriedOut)
	}
	return givenUp
}

// removeOutstanding removes the start requests of a task that match, and reports
// whether there were any.
func (s *Scheduler) removeOutstanding(taskName string, matches func(outstandingStart) bool) bool {
	starts := s.outstanding[taskName]
	if !slices.ContainsFunc(starts, matches) {
		return false
	}
	kept := slices.DeleteFunc(slices.Clone(starts), matches)
	if len(kept) == 0 {
		delete(s.outstanding, taskName)
	} else {
		s.outstanding[taskName] = kept
	}
	return true
}

// releaseTarget settles all start requests to a target whose place another one has
// taken.
func (s *Scheduler) releaseTarget(targetID string) {
	released := func(start outstandingStart) bool { return start.target == targetID }
	for taskName, starts := range s.outstanding {
		if slices.ContainsFunc(starts, released) {
			s.removeOutstanding(taskName, released)
		}
	}
}

// boundElsewhere reports whether a start request of the task may still be carried
// out at another target than this one.
func (s *Scheduler) boundElsewhere(t *task, target *target) bool {
	return slices.ContainsFunc(s.outstanding[t.name], func(start outstandingStart) bool { return start.target != target.info.ID })
}

// bound reports whether the task may start on one target only.
func (s *Scheduler) bound(t *task) bool {
	return len(s.outstanding[t.name]) > 0
}

// boundTarget returns the only target on which a bound task may start, or nil if it
// cannot take the task now.
func (s *Scheduler) boundTarget(t *task) *target {
	target, known := s.targets[s.outstanding[t.name][0].target]
	if !known || !target.pooled.indexed || !s.suits(t, target) {
		return nil
	}
	return target
}

// lastOutstandingAttempt returns the highest attempt of a task that may still be
// carried out, 0 if there is none. The target accepts only higher ones.
func (s *Scheduler) lastOutstandingAttempt(taskName string) int {
	last := 0
	for _, start := range s.outstanding[taskName] {
		last = max(last, start.attempt)
	}
	return last
}

// outstandingCheckInterval is the interval at which start requests expire. There may
// be thousands.
const outstandingCheckInterval = 100 * time.Millisecond

// expireOutstanding forgets the start requests that cannot be carried out any more.
func (s *Scheduler) expireOutstanding(now time.Time) {
	if now.Sub(s.outstandingCheckedAt) < outstandingCheckInterval {
		return
	}
	s.outstandingCheckedAt = now
	for r := range s.unanswered {
		if !now.Before(r.mayRunUntil(now)) {
			s.recordStartChange(r.taskName, r.target.info.ID, r.attempt, StartExpired)
			s.giveUp(r, now)
		}
	}
	expired := func(start outstandingStart) bool { return !now.Before(start.expiresAt) }
	for taskName, starts := range s.outstanding {
		if !slices.ContainsFunc(starts, expired) {
			continue
		}
		for _, start := range starts {
			if expired(start) {
				s.recordStartChange(taskName, start.target, start.attempt, StartExpired)
			}
		}
		s.removeOutstanding(taskName, expired)
	}
}

// AbandonStarts records that the answers to the start requests under way will not be
// handled any more.
func (s *Scheduler) AbandonStarts(now time.Time) {
	for _, target := range s.targets {
		for _, r := range target.runs {
			if !r.answered() && r.unansweredAt.IsZero() {
				s.recordUnanswered(r, now)
			}
		}
	}
}

// OutstandingStarts returns the start requests that may still be carried out, for
// the next home and other zones. Those of jobs that callers have no reason to submit
// again are left out; of the jobs of earlier homes this is not known.
func (s *Scheduler) OutstandingStarts(now time.Time) []OutstandingStart {
	var list []OutstandingStart
	for r := range s.unanswered {
		if s.mayReturn(r.taskName) {
			list = append(list, OutstandingStart{r.taskName, r.target.info.ID, r.attempt, r.mayRunUntil(now).Sub(now)})
		}
	}
	for taskName, starts := range s.outstanding {
		mayReturn := s.mayReturn(taskName)
		for _, start := range starts {
			if !mayReturn && !start.earlierHome {
				continue
			}
			list = append(list, OutstandingStart{taskName, start.target, start.attempt, start.expiresAt.Sub(now)})
		}
	}
	slices.SortFunc(list, func(a, b OutstandingStart) int { return cmp.Compare(b.Remaining, a.Remaining) })
	return list
}

// mayReturn reports whether the job of a task may be submitted again: it has not
// ended, or it has without a result.
func (s *Scheduler) mayReturn(taskName string) bool {
	jobID := jobIDOf(taskName)
	_, returning := s.returningJobs[jobID]
	return returning || s.HasJob(jobID)
}

// AddOutstandingStarts adds the start requests of an earlier home that may still be
// carried out. Their jobs may have been submitted to this home already.
func (s *Scheduler) AddOutstandingStarts(starts []OutstandingStart, now time.Time) {
	for _, start := range starts {
		remaining := min(start.Remaining, LateStartBound)
		if remaining <= 0 || s.hasOrphan(start) {
			continue
		}
		s.addOutstanding(start.Task, outstandingStart{target: start.Target, attempt: start.Attempt, expiresAt: now.Add(remaining), earlierHome: true})
		if t := s.task(start.Task); t != nil {
			t.attempt = max(t.attempt, start.Attempt)
			t.job.maybeStarted = true
			t.job.unansweredUntil = later(t.job.unansweredUntil, now.Add(remaining))
		}
	}
}

// hasOrphan reports whether the target of an earlier home's start request lists its run.
func (s *Scheduler) hasOrphan(start OutstandingStart) bool {
	target, ok := s.targets[start.Target]
	if !ok {
		return false
	}
	r, ok := target.runs[runKey{start.Task, start.Attempt}]
	return ok && r.orphan
}

// AddRemoteStarts makes jobs that may have a start request under way in another zone
// go on there: they are redirected if they are submitted here, or wait here.
func (s *Scheduler) AddRemoteStarts(zone string, starts []OutstandingStart, now time.Time) {
	for _, start := range starts {
		jobID := jobIDOf(start.Task)
		remaining := min(start.Remaining, LateStartBound)
		if remaining <= 0 || s.HasJob(jobID) && !s.leaveToZone(jobID, zone, now) {
			continue
		}
		entry, known := s.redirectedJobs[jobID]
		if !known || entry.zone == zone {
			s.redirectedJobs[jobID] = redirection{zone: zone, until: later(entry.until, now.Add(remaining)), startedThere: true}
		}
	}
}
