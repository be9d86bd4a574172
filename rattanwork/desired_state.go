package rattanwork

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrNoDesiredState means that the operator has not written a desired state
// yet.
const ErrNoDesiredState = errors.ConstError("no desired state yet")

// Route is a queue to which callers submit jobs. It matches requests by host
// and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service is the service of the targets that run the route's tasks.
	Service string
	// Timeout bounds the duration of a caller's request.
	Timeout time.Duration
	// Priority is the scheduling priority; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job
	// fails.
	MaxAttempts int
	// A job's objective is to complete within Latency + SlackFactor * critical
	// path, where the critical path is the estimated run time of the longest
	// chain of dependent steps.
	Latency     time.Duration
	SlackFactor float64
	// NeedsAdvice is set if the configuration's advice restricts which targets
	// may run a step of the route.
	NeedsAdvice bool
}

// maxObjective bounds the time in which a job should be complete.
const maxObjective = 24 * time.Hour

// Objective returns the time in which a job with the critical path should be
// complete, at most maxObjective.
func (r *Route) Objective(criticalPath time.Duration) time.Duration {
	if slack := r.SlackFactor * float64(criticalPath); slack < float64(maxObjective) {
		return min(r.Latency+time.Duration(slack), maxObjective)
	}
	return maxObjective
}

// DesiredState is one version of the operator's configuration.
type DesiredState struct {
	// Version increases with each change.
	Version int64
	Routes  []Route
	// MaxBodyBytes is the maximum size of a request body in bytes, 0 if not
	// configured.
	MaxBodyBytes int64
}

// Match returns the route for a request: the one with the longest matching path
// prefix among the routes of the host.
func (d *DesiredState) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range d.Routes {
		route := &d.Routes[i]
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best, best != nil
}

// OperatorState is what an operator has written to the store, or what has changed of
// it.
type OperatorState struct {
	// Document is the desired state, nil if there is none or it has not changed.
	Document []byte
	// Revision is the store revision after which further changes are to be read.
	Revision int64
	// Evacuations has the revision 0 if they are not read.
	Evacuations Evacuations
}
