package rattantarget

import "github.com/juju/errors"

// Errors of the client. Every error about the outcome of a dispatch is exactly
// one of ErrNotStarted, ErrFailed and ErrUnresolved. It may also be one of
// ErrUnreachable, ErrRefused and ErrStopped, which give the cause.
const (
	// ErrNotStarted means that the task is known not to have been started, so
	// that it may be dispatched again.
	ErrNotStarted = errors.ConstError("task not started")
	// ErrFailed means that the task was started and ended without a result.
	ErrFailed = errors.ConstError("task failed")
	// ErrUnresolved means that the task may have run and may still be running.
	ErrUnresolved = errors.ConstError("task may have run")

	// ErrUnreachable means that no connection to the target could be opened.
	ErrUnreachable = errors.ConstError("target unreachable")
	// ErrRefused means that the target refused the task explicitly.
	ErrRefused = errors.ConstError("target refused the task")
	// ErrStopped means that the task ended because of a stop request or because
	// its lease expired.
	ErrStopped = errors.ConstError("task stopped")
)

// withTypes returns an error that matches all of the types and has the message
// of err.
func withTypes(err error, types ...errors.ConstError) error {
	for _, errType := range types {
		err = errors.WithType(err, errType)
	}
	return err
}
