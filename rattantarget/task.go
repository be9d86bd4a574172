package rattantarget

import (
	"encoding/json"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=TaskState -trimprefix=TaskState

// TaskState is where a task stands at its target.
type TaskState int

// The states of tasks. Done and Stopped are final.
const (
	// TaskStateUnknown says that the target knows no task of the ID.
	TaskStateUnknown TaskState = iota
	// TaskStateWaiting says that the task waits at the target for a slot.
	TaskStateWaiting
	TaskStateRunning
	TaskStateDone
	// TaskStateStopped says that the task was stopped, or that its ID is
	// refused because of a stop request.
	TaskStateStopped
	taskStateCount
)

// Dispatch starts a task at a target.
type Dispatch struct {
	// Address is the IP address and port of the target.
	Address string `json:"-"`
	// InspectAfter is the time without a response after which Run asks the
	// target about the task on another connection; 0 means never.
	InspectAfter time.Duration `json:"-"`

	// ID is unique among all tasks.
	ID string
	// Kind is the task's job kind.
	Kind string
	// Payload is a JSON value that is handed to the task as it is.
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
	// NotStarted says that the task was not started and will not be by this
	// request.
	NotStarted bool
	// Stopped says that the task was stopped after its start, on request or at
	// the end of its lease.
	Stopped bool   `json:",omitempty"`
	Reason  string `json:",omitempty"`
}

// Inspection is what a target knows about a task.
type Inspection struct {
	State TaskState
	// Started says that the task was started at any time.
	Started bool
	// Failed says that a task in state Done or Stopped has no result.
	Failed bool   `json:",omitempty"`
	Reason string `json:",omitempty"`
	// Payload is the result of a task in state Done.
	Payload json.RawMessage `json:",omitempty"`
	// Uptime is the time since the target's process started. What a target
	// does not know proves nothing about requests older than that.
	Uptime rattanjson.Duration
}

// StopResult is a target's response to a stop request. The target refuses the
// task's ID from then on.
type StopResult struct {
	// Started says that the task was started before the stop request.
	Started bool
	// Stopped says that the task no longer runs and has no result.
	Stopped bool
	// Uptime is the time since the target's process started.
	Uptime rattanjson.Duration
}

// Usage is a target's report of its use, which lags.
type Usage struct {
	Slots   int
	Busy    int
	Waiting int
	// Age is the time since the report was true.
	Age rattanjson.Duration
}

// MarshalText returns the name of the state.
func (s TaskState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state.
func (s *TaskState) UnmarshalText(text []byte) (err error) {
	*s, err = rattanjson.ParseEnum(text, taskStateCount)
	return err
}
