package rattanscheduler

import "time"

// TargetChange is what a home came to believe of a target.
type TargetChange int

// Changes of a target.
const (
	// TargetAppeared says that the target is new in the inventory, or back.
	TargetAppeared TargetChange = iota
	// TargetDraining says that the target takes no new work and leaves.
	TargetDraining
	// TargetVanished says that the inventory does not list the target any more.
	TargetVanished
	// TargetRestarted says that the target has begun a new life.
	TargetRestarted
	// TargetSuspended says that the target gets no work for a while.
	TargetSuspended
	// TargetForgotten says that nothing can run on a vanished target any more.
	TargetForgotten
)

// TargetEvent is a change of one target.
type TargetEvent struct {
	Target string
	Change TargetChange
	// Reason tells in a word why a target is suspended, Pause for how long.
	Reason     string
	Suspension time.Duration
	// Runs is the number of runs that are, or may be, under way there.
	Runs int
}

// changed records a change of a target.
func (s *Scheduler) changed(t *target, change TargetChange) {
	s.output.Targets = append(s.output.Targets, TargetEvent{Target: t.info.ID, Change: change, Runs: len(t.runs)})
}

// suspend keeps work away from a target for a while, if the pause is not 0.
func (s *Scheduler) suspend(t *target, pause time.Duration, reason string, now time.Time) {
	if pause == 0 {
		return
	}
	t.suspendedUntil = now.Add(pause)
	s.output.Targets = append(s.output.Targets, TargetEvent{Target: t.info.ID, Change: TargetSuspended, Reason: reason, Suspension: pause, Runs: len(t.runs)})
}
