package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// runState tells what is known of a run.
type runState int

const (
	// runRequested says that the order has no answer yet.
	runRequested runState = iota // runOrdered
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
	target    *target
	name      string
	attempt   int
	resources rattanwork.Room
	state     runState
	// task is nil for runs of an earlier home and of ended jobs.
	task *task
	// knownSince is when the run was ordered or first listed, confirmed when the
	// target told that it runs.
	knownSince  time.Time
	confirmedAt time.Time
	// stopSentAt is when the last stop was ordered, stopAckedAt when the target
	// accepted one; zero if not.
	stopSentAt  time.Time
	stopAckedAt time.Time
	// orphan says that an earlier home started the run.
	orphan bool
	// countedSlow says that the run has been counted as slow.
	countedSlow bool
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
	free    rattanwork.Room
	orphans int
	runs    map[runKey]*run
	// reconciled says that the target has listed its runs to this home.
	reconciled bool
	// incarnation is the life that the lists are from, sequence the highest processed
	// end of that life.
	incarnation  int64
	lastSequence int64
	// listedAt is when the last list arrived, unanswered says that an order to
	// list got no answer since: what the next list tells may be as old as the
	// last one.
	listedAt   time.Time
	listFailed bool
	// unresponsive says that the target has not answered since the last list.
	unresponsive bool
	// vanishedAt is since when the inventory does not list the target, zero if it
	// does.
	vanishedAt time.Time
	// suspendedUntil is when a target that failed work is tried again.
	suspendedUntil time.Time
	health         health
}

func (t *target) reserve(resources rattanwork.Room) {
	t.free = t.free.Sub(resources)
}

func (t *target) release(resources rattanwork.Room) {
	t.free = t.free.Add(resources)
}

// usable reports whether the target may take new work.
func (t *target) usable(now time.Time) bool {
	return t.reconciled && !t.unresponsive && !t.info.Draining && t.orphans == 0 && !now.Before(t.suspendedUntil)
}

// canHostTasks reports whether the target could run a task of the step when empty.
func (t *target) canHost(j *job, step *rattanwork.Step) bool {
	return !t.info.Draining && t.info.Service == j.submission.Service && t.info.HasLabel(step.Label) && step.Need.FitsIn(t.info.Room)
}

// UpdateTargets takes in the targets of the zone. Targets that are not listed
// take no new work; they are forgotten once nothing runs there. A list is
// current if it was read from the inventory after authority over the targets was
// claimed.
func (s *Scheduler) UpdateTargets(listed []rattanwork.Target, current bool, now time.Time) {
	s.targetsCurrent = s.targetsCurrent || current
	s.targetsKnown = s.targetsKnown || len(listed) > 0
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
		if t.vanishedAt.IsZero() {
			t.vanishedAt = now
			s.recordChange(t, TargetVanished)
		}
		if len(t.runs) == 0 {
			delete(s.targets, id)
		}
	}
	s.schedule(now)
}

// lateStartBound is how long after its order a run may begin on a target that left
// the order unanswered, and the lease that it then has.
const lateStartBound = 15 * time.Second

// removeVanished forgets targets that neither the inventory lists nor answer,
// when no order to them can be carried out any more.
func (s *Scheduler) removeVanished(now time.Time) {
	for id, t := range s.targets {
		if !t.unresponsive || t.vanishedAt.IsZero() || now.Sub(t.vanishedAt) < lateStartBound {
			continue
		}
		s.recordChange(t, TargetRemoved)
		for _, r := range t.snapshot() {
			s.removeRun(r)
			s.requeue(r, now)
		}
		delete(s.targets, id)
	}
}

func (s *Scheduler) updateTarget(info rattanwork.Target) {
	t, ok := s.targets[info.ID]
	if !ok {
		t = &target{info: info, free: info.Room, runs: map[runKey]*run{}}
		s.targets[info.ID] = t
		s.recordChange(t, TargetAppeared)
		return
	}
	if !t.vanishedAt.IsZero() {
		t.vanishedAt = time.Time{}
		s.recordChange(t, TargetAppeared)
	}
	if info.Draining && !t.info.Draining {
		s.recordChange(t, TargetDraining)
	}
	t.free = t.free.Add(info.Room.Sub(t.info.Room))
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

// HasRuns reports whether a target has, or may have, runs.
func (s *Scheduler) HasRuns(id string) bool {
	t, ok := s.targets[id]
	return ok && len(t.runs) > 0
}

// LastSequence returns the highest processed end of a target's present life.
func (s *Scheduler) LastSequence(id string) int64 {
	if t, ok := s.targets[id]; ok {
		return t.lastSequence
	}
	return 0
}
