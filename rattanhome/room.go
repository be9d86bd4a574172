package rattanhome

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// noRoomRetryAfter is the suggested retry delay of a job for which the home has no
// memory.
const noRoomRetryAfter = time.Second

// noRoomKey is the context key of WithoutRoom.
type noRoomKey struct{}

// WithoutRoom returns the context of a request for whose job this instance has no
// memory. The home refuses the job, unless it is known here or may have started.
func WithoutRoom(ctx context.Context) context.Context {
	return context.WithValue(ctx, noRoomKey{}, true)
}

// smallJobTasks is the number of tasks up to which a job may use the reserved part of
// Config.MaxTasks. reservedTaskShare is the reciprocal share that is reserved.
const (
	smallJobTasks     = 16
	reservedTaskShare = 4
)

// hasRoom reports whether there is room for the tasks of a further job. A job has up to
// 1,000 tasks, each of which takes several times the bytes of the whole body. The caller
// holds the mutex.
func (h *Home) hasRoom(job *rattanwork.Job) bool {
	limit := h.config.MaxTasks
	if limit == 0 {
		return true
	}
	tasks := job.Tasks()
	if tasks > smallJobTasks {
		limit -= limit / reservedTaskShare
	}
	return h.scheduler.Tasks()+tasks <= limit
}

// rejectWithoutRoom ends the submission of a job for which there is no memory, and
// reports whether it has. A new job is refused. One that may have started goes on,
// unless it has too many tasks for the home: its outcome stays unknown then. The tasks
// of such a job are neither created nor looked up. The caller holds the mutex.
func (h *Home) rejectWithoutRoom(ctx context.Context, submission rattanscheduler.Submission, now time.Time) bool {
	id := submission.Job.ID
	if h.scheduler.HasJob(id) {
		return false
	}
	outcome := rattanscheduler.Refused
	switch {
	case !h.hasRoom(submission.Job):
		if submission.Resumed || h.presence(id, now) != JobAbsent {
			outcome = rattanscheduler.Expired
		}
	case ctx.Value(noRoomKey{}) == nil || !h.scheduler.IsNew(submission, now):
		return false
	}
	result := noRoomResult(id, outcome)
	result.Tasks = submission.Job.Tasks()
	result.Estimate = submission.Job.CriticalPath()
	h.handleResult(result, now)
	return true
}

// noRoomResult returns the result of a job for which there is no memory.
func noRoomResult(jobID string, outcome rattanscheduler.Outcome) rattanscheduler.JobResult {
	return rattanscheduler.JobResult{JobID: jobID, Outcome: outcome, Reason: "home lacks memory", RetryAfter: noRoomRetryAfter}
}

// RejectSubmission answers a request for which there is not even the memory to decode its
// job: the job is refused if it is absent, and its outcome stays unknown otherwise.
func (s *Service) RejectSubmission(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request struct {
		Job     struct{ ID string }
		Resumed bool
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Annotate(err, "request")
	}
	outcome := rattanscheduler.Refused
	if request.Resumed || s.Presence(request.Job.ID) != JobAbsent {
		outcome = rattanscheduler.Expired
	}
	data, err := json.Marshal(Reply{Result: noRoomResult(request.Job.ID, outcome)})
	return data, errors.Trace(err)
}
