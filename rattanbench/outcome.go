package rattanbench

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// System is what an experiment submits jobs to.
type System interface {
	// Submit submits the job once and returns when its answer is known or ctx
	// ends. It is called concurrently.
	Submit(ctx context.Context, job Job) Outcome
}

// Outcome is what a caller was told about its job.
type Outcome struct {
	State     rattanjob.State
	Execution rattanjob.Execution
	Reason    rattanjob.Reason
	// Response is the time from the scheduled arrival to the answer; the runner
	// sets it.
	Response time.Duration
	// Results is the number of results in the answer.
	Results int
	// Misplaced is the number of results that belong to another task.
	Misplaced int
	// Detail is one line for people.
	Detail string
}

// Start is one start of a task as its target saw it.
type Start struct {
	// Job and Task are the indexes of the task.
	Job, Task int
	// Begin and End are measured from the start of the run; End is 0 for a task
	// that had not ended.
	Begin, End time.Duration
}

// Traffic counts the messages of a system during a run.
type Traffic struct {
	// Waste has the messages that are not a submission, a dispatch or an answer
	// that was used. Requests and responses count one each.
	Waste Waste
	// PlatformWrites and PlatformReads are the calls of the platform.
	PlatformWrites, PlatformReads int
	// Starts is the number of tasks that were started.
	Starts int
	// LinkBytes is the payload sent between instances.
	LinkBytes int
	// Elapsed is the time over which the messages were counted.
	Elapsed time.Duration
}

// Waste splits the wasted messages by their cause.
type Waste struct {
	// Links are heartbeats and everything else between instances but forwarded
	// submissions and their answers.
	Links int
	// Platform are calls of the platform and their responses.
	Platform int
	// Targets are dispatches that were refused, and requests to settle or stop
	// a task.
	Targets int
	// Callers are requests for keys and repeated requests for an answer.
	Callers int
}

// Total returns the number of wasted messages.
func (w Waste) Total() int {
	return w.Links + w.Platform + w.Targets + w.Callers
}

// Observation is everything that one run showed.
type Observation struct {
	// Outcomes has one element a job, by index.
	Outcomes []Outcome
	// Starts is in no particular order.
	Starts  []Start
	Traffic Traffic
}
