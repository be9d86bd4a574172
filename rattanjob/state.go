package rattanjob

import "github.com/rattanlever/rattanlever/rattanjson"

//go:generate go tool stringer -type=State -trimprefix=State
//go:generate go tool stringer -type=Execution -trimprefix=Execution
//go:generate go tool stringer -type=Reason -trimprefix=Reason

// State is where a job stands.
type State int

// The states of a job. Complete, Failed, Refused and Cancelled are final.
const (
	// StateUnknown says that the home cannot be asked now; ask again.
	StateUnknown State = iota
	StateRunning
	StateComplete
	StateFailed
	// StateRefused says that no task was started and none will be.
	StateRefused
	StateCancelled
	stateCount
)

// Execution says what is known about the start of a job's tasks.
type Execution int

// The zero value claims the least.
const (
	ExecutionMayHaveRun Execution = iota
	// ExecutionNotRun says that no task was started under this key and none
	// will be.
	ExecutionNotRun
	ExecutionRan
	executionCount
)

// Reason says why a job is in its state, as a stable code.
type Reason int

// The reasons of refusals, failures and unknown states.
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

// Final reports whether the state can no longer change.
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
