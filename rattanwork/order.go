package rattanwork

import (
	"time"

	"github.com/juju/errors"
)

// Errors of orders to targets.
const (
	// ErrNoAnswer says that the target gave no usable answer; the order may
	// have been carried out, or may be later.
	ErrNoAnswer = errors.ConstError("target does not answer")
	// ErrNotSent says that no connection to the target could be opened.
	ErrNotSent = errors.ConstError("order was not sent")
	// ErrFenced says that another home has authority over the target.
	ErrFenced = errors.ConstError("target follows a higher fencing token")
	// ErrWrongIncarnation says that another life of the target was meant.
	ErrWrongIncarnation = errors.ConstError("another life of the target")
	// ErrRequestRefused says that the target did nothing for another reason.
	ErrRequestRefused = errors.ConstError("target refused the order")
)

// StartRequest is the order to start a run.
type StartRequest struct {
	Task    string
	Attempt int
	Spec    string
	// ExpiresMillis is the end of the lease on the target's clock.
	ExpiresMillis int64
	FencingToken  int64
	Checkpoint    string
}

// LeaseRequest renews the lease of all runs of a target and asks for its lists.
type LeaseRequest struct {
	// ExpiresMillis is the end of the lease on the target's clock; 0 renews
	// nothing.
	ExpiresMillis int64
	FencingToken  int64
	// Acknowledged is the highest sequence of ends that has been processed.
	Acknowledged int64
	// Wait is how long the target may hold its answer until a run ends.
	Wait time.Duration
}
