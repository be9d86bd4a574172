// Package rattanpool schedules tasks on the slots of one pool of targets. It
// covers admission control, fair queueing between callers, placement, ejection
// of unhealthy targets and quotas. It does no I/O, never blocks and does not
// read the clock: callers pass the current time.
package rattanpool

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Outcome -trimprefix=Outcome
//go:generate go tool stringer -type=Choice -trimprefix=Choice

// JobID identifies a job within one scheduler.
type JobID uint64

// Target is a worker instance as described by the instance list.
type Target struct {
	// Name is unique in the pool.
	Name    string
	Rack    string
	Service string
	// Slots is the number of tasks that the target runs concurrently, at least
	// 1.
	Slots        int
	Cores        int
	MemoryMB     int
	Accelerators int
	// Leaving targets are not assigned new tasks.
	Leaving bool
}

// Caller is a client that submits jobs.
type Caller struct {
	Name string
	// Weight is the fair share relative to other callers, greater than 0.
	Weight float64
	// Quota is the maximum number of slots that the caller may occupy in this
	// pool; 0 means unlimited.
	Quota int
}

// Job is a request to run a number of tasks.
type Job struct {
	ID      JobID
	Caller  string
	Kind    string
	Service string
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// RunTime is the declared run time of a task, used until run times have
	// been observed; 0 means none.
	RunTime time.Duration
	// Deadline is when the answer is due.
	Deadline   time.Time
	Idempotent bool
	// CoresPerTask, MemoryMBPerTask and AcceleratorsPerTask are the resources
	// that one task occupies on a target.
	CoresPerTask        int
	MemoryMBPerTask     int
	AcceleratorsPerTask int
}

// Admission is the result of admission control for a job.
type Admission struct {
	Admitted bool
	// Reason and Detail tell why the job was refused.
	Reason rattanjob.Reason
	Detail string
	// RetryAfter is the delay after which another submission may succeed; 0
	// means that a retry is pointless.
	RetryAfter time.Duration
	// ExpectedDuration is the estimated time from now to the end of the last
	// task.
	ExpectedDuration time.Duration
}

// Assignment binds one task to one slot of a target.
type Assignment struct {
	Job JobID
	// Task is the index of the task in its job.
	Task   int
	Target string
	// Attempt counts the dispatches of the task, starting at 1. It exceeds 1
	// only after OutcomeNotStarted.
	Attempt int
	// Waited is the time from admission, or from the end of the previous
	// attempt, to the assignment.
	Waited time.Duration
	// Choice tells why the target was chosen.
	Choice Choice
	// Long reports whether the task was classified as long when it was
	// assigned.
	Long bool
}

// Choice tells why a target was chosen for a task.
type Choice int

// The values of Choice, in order of preference except for ChoiceProbe.
const (
	// ChoiceFast means that the target runs tasks faster than the average
	// target of the service.
	ChoiceFast Choice = iota
	// ChoiceNormal means that no faster target had a free slot.
	ChoiceNormal
	// ChoiceSlow means that only slower targets had free slots.
	ChoiceSlow
	// ChoiceSuspect means that only targets with recent failures had free
	// slots.
	ChoiceSuspect
	// ChoiceProbe means that the task probes an ejected or reinstated target.
	ChoiceProbe
)

// Outcome tells how an assignment ended.
type Outcome int

// The outcomes of an assignment.
const (
	OutcomeDone Outcome = iota
	// OutcomeFailed means that the task ran and failed.
	OutcomeFailed
	// OutcomeNotStarted means that the task certainly did not start. The
	// scheduler retries it within the retry budget.
	OutcomeNotStarted
	// OutcomeUnresolved means that the task may have run and may still occupy
	// its slot.
	OutcomeUnresolved
	// OutcomeStopped means that the task was stopped on request.
	OutcomeStopped
)

// Report describes how an assignment ended.
type Report struct {
	Outcome Outcome
	// RunTime is how long the task occupied its slot.
	RunTime time.Duration
	// Unreachable reports that no connection to the target was possible.
	Unreachable bool
}

// Load summarises a pool for heartbeats and for admission at other instances.
type Load struct {
	Slots     int
	BusySlots int
	// Backlog is the expected slot time of all waiting tasks.
	Backlog time.Duration
	// CallerSlots is the number of occupied slots by caller.
	CallerSlots map[string]int
}
