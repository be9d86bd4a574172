package rattanscheduler

import "time"

// speedClass tells how fast the runs on a target are. Tasks start on targets of a
// slower class only if those of faster ones have no room.
type speedClass int

const (
	// classUsual is for targets of usual speed and faster ones.
	classUsual speedClass = 0
	// classCold is for targets that have started lately. They come last: they are slow
	// for a known time only, and others need not wait for that.
	classCold speedClass = 4
)

// targetSpeed is what is known of the speed of a target.
type targetSpeed struct {
	class speedClass
	// coldUntil is until when the target is cold, if it is.
	coldUntil time.Time
}

// classPenalty returns the term of a target's speed class in its score. Classes differ
// by more than the other terms that depend on the task can.
func (s *Scheduler) classPenalty(class speedClass) float64 {
	return float64(class) * (1 + s.config.RemotePenalty)
}
