package rattanscheduler

import "time"

const (
	// failuresToSuspend is how many jobs must fail on a target in a row:
	// tasks fail by their own fault as well.
	failuresToSuspend = 2
	minSuspension     = 1 * time.Second
	maxSuspension     = 4 * time.Second
)

// health counts failures on a target since its last success.
type health struct {
	failedJobs    int
	lastFailedJob *job
	suspension    time.Duration
}

func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failure and returns how long to keep work away, 0 for not at
// all. Failures of one job count once: the job may be the one at fault.
func (h *health) recordFailure(j *job) time.Duration {
	if h.lastFailedJob != j {
		h.lastFailedJob = j
		h.failedJobs++
	}
	if h.failedJobs < failuresToSuspend {
		return 0
	}
	h.suspension = min(max(minSuspension, 2*h.suspension), maxSuspension)
	return h.suspension
}
