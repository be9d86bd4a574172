package rattanjob

import "github.com/rattanlever/rattanlever/rattanjson"

//go:generate go tool stringer -type=State -trimprefix=State
//go:generate go tool stringer -type=Execution -trimprefix=Execution
//go:generate go tool stringer -type=Reason -trimprefix=Reason

// State is the state of a job.
type State int

// States of a job. Complete, Failed, Refused and Cancelled are final.
const (
	// StateUnknown means that the home cannot be reached at the moment; the
	// caller should ask again.
	StateUnknown State = iota
	StateRunning
	StateComplete
	StateFailed
	// StateRefused means that no task was or will be started.
	StateRefused
	StateCancelled
	stateCount
)

// Execution tells whether tasks of a job were started.
type Execution int

// The zero value is the one that guarantees the least.
const (
	ExecutionMayHaveRun Execution = iota
	// ExecutionNotRun means that no task was or will be started under this key.
	ExecutionNotRun
	ExecutionRan
	executionCount
)

// Reason is a stable code for the reason of a job's state.
type Reason int

// Reasons of refusals, failures and unknown states.
const (
	ReasonNone Reason = iota
	ReasonInvalid
	ReasonUnauthorized
	ReasonUnknownCaller
	ReasonUnknownKind
	ReasonNeverRunnable
	ReasonBodyTooLarge
	ReasonConflict
	ReasonOverloaded
	ReasonOverQuota
	ReasonDeadlineTooShort
	ReasonDeadlinePassed
	ReasonTaskFailed
	ReasonTaskUnresolved
	ReasonNoTarget
	ReasonCancelled
	ReasonHomeLost
	ReasonHomeUnreachable
	ReasonKeyExpired
	ReasonKeyUnknown
	ReasonShuttingDown
	ReasonNotReady
	ReasonInternal
	reasonCount
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s != StateUnknown && s != StateRunning
}

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state.
func (s *State) UnmarshalText(text []byte) (err error) {
	*s, err = rattanjson.ParseEnum(text, stateCount)
	return err
}

// MarshalText returns the name of the execution state.
func (e Execution) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText parses the name of an execution state.
func (e *Execution) UnmarshalText(text []byte) (err error) {
	*e, err = rattanjson.ParseEnum(text, executionCount)
	return err
}

// MarshalText returns the name of the reason.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a reason.
func (r *Reason) UnmarshalText(text []byte) (err error) {
	*r, err = rattanjson.ParseEnum(text, reasonCount)
	return err
}
