package rattantarget

import (
	"encoding/json"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=TaskState -trimprefix=TaskState

// TaskState is the state of a task at its target.
type TaskState int

// The states of tasks. TaskStateDone and TaskStateStopped are final.
const (
	// TaskStateUnknown means that the target knows no task with the ID.
	TaskStateUnknown TaskState = iota
	// TaskStateWaiting means that the task waits at the target for a slot.
	TaskStateWaiting
	TaskStateRunning
	TaskStateDone
	// TaskStateStopped means that the task was stopped, or that its ID is
	// refused because of a stop request.
	TaskStateStopped
	taskStateCount
)

// Dispatch is a request to start a task at a target.
type Dispatch struct {
	// Address is the IP address and port of the target.
	Address string `json:"-"`
	// InspectAfter is the time without a response after which Run queries the
	// state of the task on another connection; 0 means never.
	InspectAfter time.Duration `json:"-"`

	// ID is unique among all tasks.
	ID string
	// Kind is the task's job kind.
	Kind string
	// Payload is a JSON value that is passed to the task unchanged.
	Payload json.RawMessage `json:",omitempty"`
	// Lease is the time after which the target stops the task.
	Lease rattanjson.Duration
}

// Result is the result of a finished task.
type Result struct {
	ID      string
	Payload json.RawMessage `json:",omitempty"`
}

// ErrorResponse is the body of a target's response when there is no result.
type ErrorResponse struct {
	// NotStarted is set if the task was not started and will not be started by
	// this request.
	NotStarted bool
	// Stopped is set if the task was stopped after its start, on request or at
	// the end of its lease.
	Stopped bool   `json:",omitempty"`
	Reason  string `json:",omitempty"`
}

// Inspection is a target's response to a query about a task.
type Inspection struct {
	State TaskState
	// Started is set if the task has ever been started.
	Started bool
	// Failed is set if a task in state Done or Stopped has no result.
	Failed bool   `json:",omitempty"`
	Reason string `json:",omitempty"`
	// Payload is the result of a task in state Done.
	Payload json.RawMessage `json:",omitempty"`
	// Uptime is the time since the target's process started. If the target does
	// not know a task, that proves nothing about a request that was sent before
	// its process started.
	Uptime rattanjson.Duration
}

// StopResult is a target's response to a stop request. The target refuses the
// task's ID from then on.
type StopResult struct {
	// Started is set if the task was started before the stop request.
	Started bool
	// Stopped is set if the task no longer runs and has no result.
	Stopped bool
	// Uptime is the time since the target's process started.
	Uptime rattanjson.Duration
}

// Usage is a target's report of its slots and tasks, which lags behind.
type Usage struct {
	Slots int
	// Busy is the number of slots in use, and Waiting the number of tasks that
	// wait for a slot.
	Busy    int
	Waiting int
	// Age is the time since the report was accurate.
	Age rattanjson.Duration
}

// MarshalText implements encoding.TextMarshaler with the name of the state.
func (s TaskState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler with the name of a state.
func (s *TaskState) UnmarshalText(text []byte) (err error) {
	*s, err = rattanjson.ParseEnum(text, taskStateCount)
	return err
}
