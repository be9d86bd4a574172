package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// runState is what the home knows about a run.
type runState int

const (
	// runRequested means that the start request has not been answered yet.
	runRequested runState = iota // runOrdered
	// runConfirmed means that the target has accepted the start request or has
	// listed the run.
	runConfirmed
	// runUncertain means that the answer to the start request was lost: the run
	// may be active, may start later, or may never start.
	runUncertain
	// runStopping means that the run is to be stopped. It keeps its resources
	// until it is proven gone.
	runStopping
)

// run is one attempt to execute a task. It uses, or may use, resources of its
// target.
type run struct {
	target    *target
	taskName  string
	attempt   int
	resources rattanwork.Resources
	// release is what the run adds to the expected releases of capacity.
	release release
	state   runState
	// task is nil for runs of an earlier home that are not adopted, and for
	// runs of ended jobs.
	task *task
	// knownSince is when the run was requested or first listed, confirmedAt
	// when the target confirmed that it runs.
	knownSince  time.Time
	confirmedAt time.Time
	// unansweredAt is when the time for the answer to the start request was over,
	// zero before that.
	unansweredAt time.Time
	// startClock is the time of the start by the target's clock in
	// milliseconds, 0 if unknown.
	startClock int64
	// stopSentAt is when the last stop request was made, stopAckedAt when the
	// target accepted one; both may be zero.
	stopSentAt  time.Time
	stopAckedAt time.Time
	// orphan is set if an earlier home started the run.
	orphan bool
	// suspect is set if targets were lost under the task before this run.
	suspect bool
	// cold is set if the target was cold at the start of the run.
	cold bool
	// countedSlow is set if the run was counted against its target as slow.
	countedSlow bool
	// lost describes the loss of the incarnation that the run was requested of,
	// if the target has restarted since. Unless the run is listed again, it was
	// lost with that one.
	lost *rattancrash.Loss
}

type runKey struct {
	taskName string
	attempt  int
}

// target is the home's view of a target and of the runs there.
type target struct {
	info rattanwork.Target
	// free is the amount of resources not used by runs. Orphaned runs, whose
	// demand is unknown, are counted in orphanCount instead and make the target
	// unusable for new work.
	free        rattanwork.Resources
	orphanCount int
	// suspects is the number of runs of tasks under which targets were lost.
	suspects int
	runs     map[runKey]*run
	// reconciled is set once the target has listed its runs to this home.
	reconciled bool
	// incarnation is the target's incarnation as of the last listing,
	// incarnationSince when the first listing of it was requested and
	// lastSequence the highest processed sequence number of its ended runs.
	incarnation      int64
	incarnationSince time.Time
	lastSequence     int64
	// listedAt is when the last listing arrived, listedClock its time by the
	// target's clock in milliseconds. listFailed is set if a later
	// listing request was not answered; ends in the next listing may then date
	// back to the last one.
	listedAt    time.Time
	listedClock int64
	listFailed  bool
	// unresponsive is set if the target has stopped answering since its last
	// listing.
	unresponsive bool
	// silentSince is when the target stopped answering, zero while it answers.
	// returnedAt is when it answered again after a long silence, zero once the
	// inventory has a heartbeat from after that: its capacity may have changed.
	// unheard is set while the target gets no new work for that reason.
	// inventoryAt is when the inventory was last followed and showed heartbeats.
	silentSince time.Time
	returnedAt  time.Time
	unheard     bool
	inventoryAt time.Time
	// leaseEnd is when the leases of the runs will certainly have expired, zero if
	// unknown. refusedAt is when connections were refused first, zero while the
	// target answers.
	leaseEnd  time.Time
	refusedAt time.Time
	// outdated is set if the inventory is followed but has had no heartbeat of
	// the target for long.
	outdated bool
	// vanishedAt is when the target disappeared from the inventory, zero while
	// the inventory contains it.
	vanishedAt time.Time
	// suspendedUntil is until when the target gets no new work because of
	// failures.
	suspendedUntil time.Time
	health         health
	// leaving is set if the inventory shows that the target drains. lossesOpen
	// is set until the next listing tells what has become of the incarnations
	// that were lost.
	leaving    bool
	lossesOpen bool
	// cold is set while the target is slow because it has started lately, at least until
	// coldUntil. Tasks start on cold targets only if no warm one has room.
	cold      bool
	coldUntil time.Time
	// pooled is the state of the target in the indexes of its pool. touched is
	// set if the target has changed since, suspensionPending while the end of
	// its suspension is awaited.
	pooled            poolEntry
	touched           bool
	suspensionPending bool
}

func (t *target) reserve(resources rattanwork.Resources) {
	t.free = t.free.Sub(resources)
}

func (t *target) release(resources rattanwork.Resources) {
	t.free = t.free.Add(resources)
}

// described reports whether the inventory describes the incarnation that has
// listed its runs, as far as both state it. Another one may have another
// capacity, service or labels.
func (t *target) described() bool {
	return t.info.Incarnation == 0 || t.incarnation == 0 || t.info.Incarnation == t.incarnation
}

// awaited reports whether the target, which has not listed its runs yet, is
// expected to do so and to take new work then.
func (t *target) awaited() bool {
	return !t.reconciled && !t.unresponsive && !t.info.Draining
}

// usable reports whether the target can take new work.
func (t *target) usable(now time.Time) bool {
	return t.reconciled && t.described() && !t.unheard && !t.outdated && !t.unresponsive && !t.info.Draining && t.orphanCount == 0 && !now.Before(t.suspendedUntil)
}

// canHost reports whether the target, if idle, could run a task of the step.
func (t *target) canHost(j *job, step *rattanwork.Step) bool {
	return !t.info.Draining && t.info.Service == j.submission.Service && t.info.HasLabel(step.Label) && step.Resources.FitsIn(t.info.Capacity)
}

// UpdateTargets replaces the list of the zone's targets. Targets that are not in
// the list get no new work and are removed once they have no runs. The list is
// current if it was read from the inventory after this home took over the
// targets.
func (s *Scheduler) UpdateTargets(targets []rattanwork.Target, current bool, now time.Time) {
	s.targetsCurrent = s.targetsCurrent || current
	s.targetsKnown = s.targetsKnown || len(targets) > 0
	seen := make(map[string]bool, len(targets))
	for i := range targets {
		seen[targets[i].ID] = true
		s.updateTarget(targets[i], now)
	}
	for id, t := range s.targets {
		if seen[id] {
			continue
		}
		t.info.Draining = true
		s.touch(t)
		if t.vanishedAt.IsZero() {
			t.vanishedAt = now
			s.recordChange(t, TargetVanished)
		}
		if len(t.runs) == 0 {
			s.removeTarget(t)
		}
	}
	s.schedule(now)
}

// removeVanished removes unresponsive targets that are no longer in the
// inventory, once none of their pending requests can be executed any more.
func (s *Scheduler) removeVanished(now time.Time) {
	for _, t := range s.targets {
		if !t.unresponsive || t.vanishedAt.IsZero() || now.Sub(t.vanishedAt) < LateStartBound {
			continue
		}
		s.recordChange(t, TargetRemoved)
		for _, r := range t.snapshot() {
			s.giveUp(r, now)
		}
		s.removeTarget(t)
	}
}

// addTarget makes a target known.
func (s *Scheduler) addTarget(t *target) {
	s.targets[t.info.ID] = t
	s.service(t.info.Service).pool.add(t)
	s.touch(t)
}

// removeTarget makes a target unknown.
func (s *Scheduler) removeTarget(t *target) {
	delete(s.targets, t.info.ID)
	s.service(t.info.Service).pool.remove(t)
}

func (s *Scheduler) updateTarget(info rattanwork.Target, now time.Time) {
	t, ok := s.targets[info.ID]
	if !ok {
		t = &target{info: info, free: info.Capacity, runs: map[runKey]*run{}, leaving: info.Draining, lossesOpen: true}
		s.addTarget(t)
		s.awaitListings(now)
		s.recordChange(t, TargetAppeared)
		s.recordCold(t, info.ColdLeft, now)
		return
	}
	if !t.vanishedAt.IsZero() {
		t.vanishedAt = time.Time{}
		s.recordChange(t, TargetAppeared)
	}
	if info.Draining && !t.info.Draining {
		s.recordChange(t, TargetDraining)
	}
	s.recordHeartbeat(t, &info, now)
	s.recordCold(t, info.ColdLeft, now)
	if t.info.Equal(&info) {
		return
	}
	s.removeTarget(t)
	t.free = t.free.Add(info.Capacity.Sub(t.info.Capacity))
	t.info = info
	t.leaving = info.Draining
	s.addTarget(t)
}

const (
	// longSilence is the silence of a target after which it gets no new work
	// until the inventory has heard of it again.
	longSilence = time.Second
	// heartbeatTimeout is the age of the last heartbeat in the inventory from
	// which on a target gets no new work: two heartbeats of targets and the time
	// between two readings.
	heartbeatTimeout = 3600 * time.Millisecond
	// inventoryOutage is how long the inventory is not followed, or shows no
	// heartbeats, before targets are used without them. One failed reading is
	// shorter.
	inventoryOutage = 2 * time.Second
)

// recordHeartbeat applies the times of the heartbeats of a target in the
// inventory, which are zero if the inventory is not followed or shows no
// heartbeats. A target that nobody hears cannot tell that its capacity has shrunk.
func (s *Scheduler) recordHeartbeat(t *target, info *rattanwork.Target, now time.Time) {
	if !info.AwaitedSince.IsZero() {
		t.inventoryAt = now
	}
	if info.HeardAt.After(t.returnedAt) {
		t.returnedAt = time.Time{}
	}
	unheard := t.awaitsHeartbeat(now)
	outdated := !info.AwaitedSince.IsZero() && now.Sub(info.AwaitedSince) > heartbeatTimeout
	if unheard == t.unheard && outdated == t.outdated {
		return
	}
	if outdated && !t.outdated {
		s.recordChange(t, TargetOutdated)
	}
	t.unheard, t.outdated = unheard, outdated
	s.touch(t)
}

// awaitsHeartbeat reports whether the target has returned after a long silence and
// its next heartbeat can be expected to appear in the inventory.
func (t *target) awaitsHeartbeat(now time.Time) bool {
	return !t.returnedAt.IsZero() && !t.inventoryAt.IsZero() && now.Sub(t.inventoryAt) <= inventoryOutage
}

// recordAnswer records that a target has listed its runs.
func (t *target) recordAnswer(now time.Time) {
	if !t.silentSince.IsZero() && now.Sub(t.silentSince) >= longSilence {
		t.returnedAt = now
		t.unheard = t.awaitsHeartbeat(now)
	}
	t.silentSince = time.Time{}
	t.refusedAt = time.Time{}
	t.unresponsive = false
}

// Target returns the description of a known target.
func (s *Scheduler) Target(id string) (rattanwork.Target, bool) {
	t, ok := s.targets[id]
	if !ok {
		return rattanwork.Target{}, false
	}
	return t.info, true
}

// Reconciled reports whether a target has listed its runs to this home.
func (s *Scheduler) Reconciled(id string) bool {
	t, ok := s.targets[id]
	return ok && t.reconciled
}

// HasRuns reports whether a target has runs that are or may be active.
func (s *Scheduler) HasRuns(id string) bool {
	t, ok := s.targets[id]
	return ok && len(t.runs) > 0
}

// TargetsInUse returns the targets on which runs may be active.
func (s *Scheduler) TargetsInUse() map[string]bool {
	inUse := map[string]bool{}
	for id, t := range s.targets {
		if len(t.runs) > 0 {
			inUse[id] = true
		}
	}
	return inUse
}

// Acknowledged returns the highest processed sequence number of ended runs for the
// target's current incarnation. It is 0 if a listing has failed since the last one:
// another incarnation may have taken its place, and would forget ends that were never
// listed.
func (s *Scheduler) Acknowledged(id string) int64 {
	if t, ok := s.targets[id]; ok && !t.listFailed {
		return t.lastSequence
	}
	return 0
}

// IncarnationSince returns when the first listing of the target's current
// incarnation was requested, zero if the target states no incarnation.
func (s *Scheduler) IncarnationSince(id string) time.Time {
	if t, ok := s.targets[id]; ok {
		return t.incarnationSince
	}
	return time.Time{}
}
