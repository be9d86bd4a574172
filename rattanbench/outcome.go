package rattanbench

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// System accepts the jobs of an experiment.
type System interface {
	// Submit submits the job once and waits for its answer or the end of ctx. It
	// is called concurrently.
	Submit(ctx context.Context, job Job) Outcome
}

// Outcome is the answer that a caller received for its job.
type Outcome struct {
	State     rattanjob.State
	Execution rattanjob.Execution
	Reason    rattanjob.Reason
	// Response is the time from the scheduled arrival to the answer. It is set by
	// the code that runs the experiment, not by System.
	Response time.Duration
	// Results is the number of results in the answer.
	Results int
	// Mismatched is the number of results that belong to another task.
	Mismatched int
	// Detail is a one-line explanation for humans.
	Detail string
}

// TaskStart is the start of a task on a target.
type TaskStart struct {
	// Job and Task are the index of the job and of the task in it.
	Job, Task int
	// Begin and End are measured from the start of the run; End is 0 for a task
	// that had not ended.
	Begin, End time.Duration
}

// Traffic counts the messages of a system during a run.
type Traffic struct {
	// Waste counts the wasted messages. A request and its response count as two
	// messages.
	Waste Waste
	// PlatformWrites and PlatformReads are the numbers of calls to the platform.
	PlatformWrites, PlatformReads int
	// Starts is the number of tasks that were started.
	Starts int
	// LinkBytes is the number of payload bytes sent between instances.
	LinkBytes int
	// Elapsed is the time during which the messages were counted.
	Elapsed time.Duration
}

// Waste counts wasted messages by kind. These are all messages except the first
// submission of each job, dispatches that start a task, and the answers to both.
type Waste struct {
	// Links counts heartbeats and all other messages between instances, except
	// forwarded submissions and their answers.
	Links int
	// Platform counts calls to the platform and their responses.
	Platform int
	// Targets counts refused dispatches, requests that resolve the outcome of a
	// task, requests that stop a task, and their responses.
	Targets int
	// Callers counts requests for keys, repeated requests for an answer, and their
	// responses.
	Callers int
}

// Total returns the number of wasted messages.
func (w Waste) Total() int {
	return w.Links + w.Platform + w.Targets + w.Callers
}

// Observation holds the raw results of an experiment.
type Observation struct {
	// Outcomes has one element for each job, by index.
	Outcomes []Outcome
	// Starts are in no particular order.
	Starts  []TaskStart
	Traffic Traffic
}
