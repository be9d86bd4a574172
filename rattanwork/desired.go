package rattanwork

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrNoDesired says that the operator has written no desired state yet.
const ErrNoDesired = errors.ConstError("no desired state yet")

// Route is a queue that callers submit jobs to.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service names the targets that run the route's tasks.
	Service string
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job does.
	MaxAttempts int
	// Latency and Slack define a job's objective: Latency plus Slack times the
	// run time of its longest chain.
	Latency     time.Duration
	SlackFactor float64
	// NeedsAdvice says that only some targets may run a step of the route.
	NeedsAdvice bool
}

// DesiredState is one version of the operator's configuration.
type DesiredState struct {
	// Version grows with each change.
	Version int64
	Routes  []Route
	// MaxBodyBytes is the largest body of a request in bytes, 0 if not stated.
	MaxBodyBytes int64
}

// Match returns the route of the host with the longest prefix of the path.
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
