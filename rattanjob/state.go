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

// Values of Execution. The zero value guarantees the least.
const (
	// ExecutionMayHaveRun means that none, some or all tasks may have run.
	ExecutionMayHaveRun Execution = iota
	// ExecutionNotRun means that no task was or will be started under this key.
	ExecutionNotRun
	// ExecutionRan means that the tasks have run, as in a complete job.
	ExecutionRan
	executionCount
)

// Reason is a stable code for the reason of a job's state.
type Reason int

// Reasons of refusals, failures and unknown states.
const (
	ReasonNone Reason = iota
	// ReasonInvalid means that the request is malformed or exceeds a limit.
	ReasonInvalid
	// ReasonUnauthorized means that the request does not identify its sender.
	ReasonUnauthorized
	// ReasonUnknownCaller means that the caller is not in the configuration or
	// is retired.
	ReasonUnknownCaller
	// ReasonUnknownKind means that the job kind is not in the configuration or
	// is retired.
	ReasonUnknownKind
	// ReasonNeverRunnable means that the service has never had a target with the
	// resources that a task of the job needs.
	ReasonNeverRunnable
	ReasonBodyTooLarge
	// ReasonConflict means that the request contradicts an earlier one, for
	// example because the key was used with another body.
	ReasonConflict
	// ReasonOverloaded means that there is too much other work to accept the
	// job now.
	ReasonOverloaded
	// ReasonOverQuota means that the caller's quota or job limit does not allow
	// the job now.
	ReasonOverQuota
	// ReasonDeadlineTooShort means that the job would miss its deadline even if
	// it did not wait.
	ReasonDeadlineTooShort
	// ReasonDeadlinePassed means that the deadline passed before the job was
	// complete, or that the job could no longer meet it.
	ReasonDeadlinePassed
	ReasonTaskFailed
	// ReasonTaskUnresolved means that a task may have run, but its outcome is
	// not known.
	ReasonTaskUnresolved
	// ReasonNoTarget means that no suitable target is in use now.
	ReasonNoTarget
	ReasonCancelled
	// ReasonHomeLost means that the epoch of the job's home has ended.
	ReasonHomeLost
	// ReasonHomeUnreachable means that the job's home does not answer and is
	// not known to have ended.
	ReasonHomeUnreachable
	// ReasonKeyExpired means that the key is too old for a first submission, or
	// that its record is no longer kept.
	ReasonKeyExpired
	// ReasonKeyUnknown means that there is no record of the key.
	ReasonKeyUnknown
	ReasonShuttingDown
	// ReasonNotReady means that the instance cannot serve the request yet, for
	// example because it has no configuration.
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
