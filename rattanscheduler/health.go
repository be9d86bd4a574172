package rattanscheduler

import "time"

const (
	// failuresToSuspend is the number of jobs that must fail on a target in a
	// row before it is suspended. One is not enough, since a task may also fail
	// by its own fault.
	failuresToSuspend = 2
	// minSuspension is the duration of the first suspension. It doubles with
	// each further failure, up to maxSuspension.
	minSuspension = 1 * time.Second
	maxSuspension = 4 * time.Second
)

// health tracks the failures on a target since its last success.
type health struct {
	failedJobs    int
	lastFailedJob *job
	suspension    time.Duration
}

func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failure and returns how long to suspend the target, 0
// for not at all. Repeated failures of one job count once, because the job may
// be the cause.
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
