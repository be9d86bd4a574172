// Package rattanpool schedules the slots of one pool: admission, order of
// waiting tasks, placement, ejection of sick targets and quotas. It is pure:
// the present time is an argument, and nothing blocks.
package rattanpool

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Outcome -trimprefix=Outcome
//go:generate go tool stringer -type=Choice -trimprefix=Choice

// JobID names a job within one scheduler.
type JobID uint64

// Target is a worker instance as the instance list describes it.
type Target struct {
	// Name is unique in the pool.
	Name    string
	Rack    string
	Service string
	// Slots is the number of tasks that the target runs at a time, at least 1.
	Slots        int
	Cores        int
	MemoryMB     int
	Accelerators int
	// Leaving targets get no new tasks.
	Leaving bool
}

// Caller is a submitting party.
type Caller struct {
	Name string
	// Weight is the share relative to other callers, greater than 0.
	Weight float64
	// Quota is the most slots that the caller may hold in this pool; 0 means
	// no quota.
	Quota int
}

// Job asks for the run of all its tasks.
type Job struct {
	ID      JobID
	Caller  string
	Kind    string
	Service string
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// RunTime is the declared run time of a task, a first guess; 0 means none.
	RunTime time.Duration
	// Deadline is when the answer is due.
	Deadline   time.Time
	Idempotent bool
	// CoresPerTask, MemoryMBPerTask and AcceleratorsPerTask are what a target
	// must have to run a task of the job.
	CoresPerTask        int
	MemoryMBPerTask     int
	AcceleratorsPerTask int
}

// Admission is the decision on a job.
type Admission struct {
	Admitted bool
	// Reason and Detail say why a job was not admitted.
	Reason rattanjob.Reason
	Detail string
	// RetryAfter is when another submission may succeed; 0 means never.
	RetryAfter time.Duration
	// ExpectedDuration is the expected time from now to the end of the last task.
	ExpectedDuration time.Duration
}

// Assignment binds one task to one slot of a target.
type Assignment struct {
	Job JobID
	// Task is the index of the task in its job.
	Task   int
	Target string
	// Attempt counts the dispatches of the task from 1; an attempt above 1
	// follows only on OutcomeNotStarted.
	Attempt int
	// Waited is the time from admission, or from the refusal of the attempt
	// before, to the assignment.
	Waited time.Duration
	// Choice says why the target was chosen.
	Choice Choice
	// Long says that the task counted as long work when it was assigned.
	Long bool
}

// Choice says why a target was chosen for a task.
type Choice int

// The choices, best first except for the probe.
const (
	// ChoiceFast says that the target runs tasks faster than the service's
	// average.
	ChoiceFast Choice = iota
	// ChoiceNormal says that no faster target had a free slot.
	ChoiceNormal
	// ChoiceSlow says that only slower targets had free slots.
	ChoiceSlow
	// ChoiceSuspect says that only targets with recent failures had free slots.
	ChoiceSuspect
	// ChoiceProbe says that an ejected or reinstated target was tried.
	ChoiceProbe
)

// Outcome says how an assignment ended.
type Outcome int

// The outcomes of an assignment.
const (
	OutcomeDone Outcome = iota
	// OutcomeFailed says that the task ran and failed.
	OutcomeFailed
	// OutcomeNotStarted says that it is proved that the task did not start;
	// the scheduler assigns it again within the retry budget.
	OutcomeNotStarted
	// OutcomeUnresolved says that the task may have run and may still hold
	// its slot.
	OutcomeUnresolved
	// OutcomeStopped says that the task was stopped on request.
	OutcomeStopped
)

// Report is how an assignment ended.
type Report struct {
	Outcome Outcome
	// RunTime is the time that the task held its slot.
	RunTime time.Duration
	// Unreachable says that the target could not be reached at all.
	Unreachable bool
}

// Load summarises a pool for heartbeats and admission elsewhere.
type Load struct {
	Slots     int
	BusySlots int
	// Backlog is the expected slot time of all waiting tasks.
	Backlog time.Duration
	// CallerSlots is the number of slots held, by caller.
	CallerSlots map[string]int
}
