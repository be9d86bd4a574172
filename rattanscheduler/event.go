package rattanscheduler

import "time"

// TargetChange is a change in the home's view of a target.
type TargetChange int

// Changes of a target.
const (
	// TargetAppeared means that the target is new in the inventory, or in it
	// again after it had vanished.
	TargetAppeared TargetChange = iota
	// TargetDraining means that the target accepts no new work and is about to
	// leave.
	TargetDraining
	// TargetVanished means that the target is no longer in the inventory.
	TargetVanished
	// TargetOutdated means that the inventory has had no heartbeat of the target
	// for long.
	TargetOutdated
	// TargetRestarted means that the target has a new incarnation.
	TargetRestarted
	// TargetSuspended means that the target gets no new work for some time.
	TargetSuspended
	// TargetRemoved means that a vanished target was removed because nothing
	// can run on it any more.
	TargetRemoved // TargetForgotten
	// TargetCold means that the target has started lately and is slow for some time.
	TargetCold
	// TargetWarm means that this time is over.
	TargetWarm
	// TargetSlow means that runs on the target take longer than on others.
	TargetSlow
	// TargetNormal means that a slow target is of usual speed again.
	TargetNormal
)

// TargetEvent reports a change of one target.
type TargetEvent struct {
	Target string
	Change TargetChange
	// Reason is a short reason for a suspension, Suspension its duration.
	Reason     string
	Suspension time.Duration
	// ColdLeft is how long a cold target remains so.
	ColdLeft time.Duration
	// RunTimeFactor is the factor by which runs on a slow target take longer.
	RunTimeFactor float64
	// Runs is the number of runs that are or may be active on the target.
	Runs int
}

// recordChange adds a target event to the output.
func (s *Scheduler) recordChange(t *target, change TargetChange) {
	s.output.Targets = append(s.output.Targets, TargetEvent{Target: t.info.ID, Change: change, Runs: len(t.runs)})
}

// suspend assigns no new work to the target for the duration. A duration of 0
// has no effect.
func (s *Scheduler) suspend(t *target, duration time.Duration, reason string, now time.Time) {
	if duration == 0 {
		return
	}
	s.deferStarts(t, duration, now)
	s.output.Targets = append(s.output.Targets, TargetEvent{Target: t.info.ID, Change: TargetSuspended, Reason: reason, Suspension: duration, Runs: len(t.runs)})
}

// deferStarts assigns no new work to the target for the duration.
func (s *Scheduler) deferStarts(t *target, duration time.Duration, now time.Time) {
	t.suspendedUntil = now.Add(duration)
	s.touch(t)
	if !t.suspensionPending {
		t.suspensionPending = true
		s.suspended = append(s.suspended, t)
	}
}
