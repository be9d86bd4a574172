package rattanscheduler

import "time"

const (
	// failuresToSuspend is how many jobs must fail on a target in a row:
	// tasks fail by their own fault as well.
	failuresToSuspend = 2
	suspensionFirst   = 1 * time.Second
	suspensionLongest = 4 * time.Second
)

// health counts failures on a target since its last success.
type health struct {
	jobs       int
	last       *job
	suspension time.Duration
}

func (h *health) succeeded() {
	*h = health{}
}

// failed counts a failure and returns how long to keep work away, 0 for not at
// all. Failures of one job count once: the job may be the one at fault.
func (h *health) failed(j *job) time.Duration {
	if h.last != j {
		h.last = j
		h.jobs++
	}
	if h.jobs < failuresToSuspend {
		return 0
	}
	h.suspension = min(max(suspensionFirst, 2*h.suspension), suspensionLongest)
	return h.suspension
}
