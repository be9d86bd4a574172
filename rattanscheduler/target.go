package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// runState tells what is known of a run.
type runState int

const (
	// runOrdered says that the order has no answer yet.
	runOrdered runState = iota
	runConfirmed
	// runUncertain says that the order's answer did not come: the run may be
	// there, may come later, or may never come.
	runUncertain
	// runStopping says that the run is to end; its room is taken until it is
	// proved to be gone.
	runStopping
)

// run is one run that takes room, or may, on a target.
type run struct {
	target  *target
	name    string
	attempt int
	need    rattanwork.Resources
	state   runState
	// task is nil for runs of an earlier home and of ended jobs.
	task *task
	// known is when the run was ordered or first listed, confirmed when the
	// target told that it runs.
	known     time.Time
	confirmed time.Time
	// stopSent is when the last stop was ordered, stopAcked when the target
	// accepted one; zero if not.
	stopSent  time.Time
	stopAcked time.Time
	// orphan says that an earlier home started the run.
	orphan bool
	// suspected says that the run has been counted as slow.
	suspected bool
	// absent says that the run cannot be under way any more, though its order
	// may still arrive.
	absent bool
}

type runKey struct {
	name    string
	attempt int
}

// target is one worker and what takes room on it.
type target struct {
	info rattanwork.Target
	// free is the room that no run takes; runs of unknown need are counted in
	// orphans instead and keep the target from taking work.
	free    rattanwork.Resources
	orphans int
	runs    map[runKey]*run
	// reconciled says that the target has listed its runs to this home.
	reconciled bool
	// born is the life that the lists are from, sequence the highest processed
	// end of that life.
	born     int64
	sequence int64
	// listed is when the last list arrived, unanswered says that an order to
	// list got no answer since: what the next list tells may be as old as the
	// last one.
	listed     time.Time
	unanswered bool
	// silent says that the target has not answered since the last list.
	silent bool
	// vanished is since when the inventory does not list the target, zero if it
	// does.
	vanished time.Time
	// suspendedUntil is when a target that failed work is tried again.
	suspendedUntil time.Time
	health         health
}

func (t *target) take(need rattanwork.Resources) {
	t.free = t.free.Sub(need)
}

func (t *target) release(need rattanwork.Resources) {
	t.free = t.free.Add(need)
}

// usable reports whether the target may take new work.
func (t *target) usable(now time.Time) bool {
	return t.reconciled && !t.silent && !t.info.Draining && t.orphans == 0 && !now.Before(t.suspendedUntil)
}

// canHost reports whether the target could run a task of the step when empty.
func (t *target) canHost(j *job, step *rattanwork.Step) bool {
	return !t.info.Draining && t.info.Service == j.submission.Service && t.info.HasLabel(step.Label) && step.Resources.Fits(t.info.Capacity)
}

// UpdateTargets takes in the targets of the zone. Targets that are not listed
// take no new work; they are forgotten once nothing runs there. A list is
// current if it was read from the inventory after authority over the targets was
// claimed.
func (s *Scheduler) UpdateTargets(listed []rattanwork.Target, current bool, now time.Time) {
	s.current = s.current || current
	s.informed = s.informed || len(listed) > 0
	seen := make(map[string]bool, len(listed))
	for i := range listed {
		seen[listed[i].ID] = true
		s.updateTarget(listed[i])
	}
	for id, t := range s.targets {
		if seen[id] {
			continue
		}
		t.info.Draining = true
		if t.vanished.IsZero() {
			t.vanished = now
			s.changed(t, TargetVanished)
		}
		if len(t.runs) == 0 {
			delete(s.targets, id)
		}
	}
	s.schedule(now)
}

// lateOrders is how long after its order a run may begin on a target that left
// the order unanswered, and the lease that it then has.
const lateOrders = 15 * time.Second

// forgetVanished forgets targets that neither the inventory lists nor answer,
// when no order to them can be carried out any more.
func (s *Scheduler) forgetVanished(now time.Time) {
	for id, t := range s.targets {
		if !t.silent || t.vanished.IsZero() || now.Sub(t.vanished) < lateOrders {
			continue
		}
		s.changed(t, TargetForgotten)
		for _, r := range t.snapshot() {
			s.drop(r)
			s.requeue(r, now)
		}
		delete(s.targets, id)
	}
}

func (s *Scheduler) updateTarget(info rattanwork.Target) {
	t, ok := s.targets[info.ID]
	if !ok {
		t = &target{info: info, free: info.Capacity, runs: map[runKey]*run{}}
		s.targets[info.ID] = t
		s.changed(t, TargetAppeared)
		return
	}
	if !t.vanished.IsZero() {
		t.vanished = time.Time{}
		s.changed(t, TargetAppeared)
	}
	if info.Draining && !t.info.Draining {
		s.changed(t, TargetDraining)
	}
	t.free = t.free.Add(info.Capacity.Sub(t.info.Capacity))
	t.info = info
}

// Target returns the description of a known target.
func (s *Scheduler) Target(id string) (rattanwork.Target, bool) {
	t, ok := s.targets[id]
	if !ok {
		return rattanwork.Target{}, false
	}
	return t.info, true
}

// Reconciled reports whether a target has listed its runs.
func (s *Scheduler) Reconciled(id string) bool {
	t, ok := s.targets[id]
	return ok && t.reconciled
}

// Busy reports whether a target has, or may have, runs.
func (s *Scheduler) Busy(id string) bool {
	t, ok := s.targets[id]
	return ok && len(t.runs) > 0
}

// Sequence returns the highest processed end of a target's present life.
func (s *Scheduler) Sequence(id string) int64 {
	if t, ok := s.targets[id]; ok {
		return t.sequence
	}
	return 0
}
