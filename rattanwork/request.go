package rattanwork

import (
	"time"

	"github.com/juju/errors"
)

// Errors of requests to targets.
const (
	// ErrNoAnswer means that the target gave no usable answer. The request may
	// have been executed, or may still be executed later.
	ErrNoAnswer = errors.ConstError("target does not answer")
	// ErrNotSent means that no connection to the target could be opened.
	ErrNotSent = errors.ConstError("order was not sent")
	// ErrConnectionRefused means that the target's machine refused the
	// connection. The request was not sent.
	ErrConnectionRefused = errors.ConstError("target refused the connection")
	// ErrFenced means that the target has accepted a higher fencing token,
	// usually from a newer home.
	ErrFenced = errors.ConstError("target follows a higher fencing token")
	// ErrWrongIncarnation means that the request was meant for another
	// incarnation of the target.
	ErrWrongIncarnation = errors.ConstError("another life of the target")
	// ErrRequestRefused means that the target rejected the request for another
	// reason and did nothing.
	ErrRequestRefused = errors.ConstError("target refused the order")
)

// StartRequest is a request to start a run.
type StartRequest struct {
	Task    string
	Attempt int
	Spec    string
	// ExpiresMillis is the end of the run's lease by the target's clock.
	ExpiresMillis int64
	// FencingToken proves the authority of the sender: a target rejects
	// requests whose token is lower than the highest one it has accepted.
	FencingToken int64
	// Checkpoint is where the run continues, empty if it starts from the
	// beginning.
	Checkpoint string
}

// LeaseRequest is a request to renew the leases of all runs on a target and to
// return the listing of its runs.
type LeaseRequest struct {
	// ExpiresMillis is the new end of the leases by the target's clock; with 0
	// they are not renewed.
	ExpiresMillis int64
	FencingToken  int64
	// Acknowledged is the highest sequence number of ended runs that the home
	// has processed.
	Acknowledged int64
	// Wait is how long the target may delay its answer while waiting for a run
	// to end.
	Wait time.Duration
}
