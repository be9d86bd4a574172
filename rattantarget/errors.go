package rattantarget

import "github.com/juju/errors"

// Errors of the client. Every error of Run and Settle is exactly one of
// ErrNotStarted, ErrFailed and ErrUnresolved; ErrUnreachable, ErrRefused and
// ErrStopped say more about it.
const (
	// ErrNotStarted says that it is proved that the task was not started. It
	// may be dispatched again.
	ErrNotStarted = errors.ConstError("task not started")
	// ErrFailed says that the task was started, and ended without a result.
	ErrFailed = errors.ConstError("task failed")
	// ErrUnresolved says that the task may have run and may still run.
	ErrUnresolved = errors.ConstError("task may have run")

	// ErrUnreachable says that no connection to the target could be made.
	ErrUnreachable = errors.ConstError("target unreachable")
	// ErrRefused says that the target refused the task explicitly.
	ErrRefused = errors.ConstError("target refused the task")
	// ErrStopped says that the task ended because of a stop request or because
	// its lease ended.
	ErrStopped = errors.ConstError("task stopped")
)

// typed returns an error that is all of the types and reads as the detail.
func typed(detail error, types ...errors.ConstError) error {
	for _, t := range types {
		detail = errors.WithType(detail, t)
	}
	return detail
}
