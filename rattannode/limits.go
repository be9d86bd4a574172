package rattannode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanlimit"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
)

const (
	// probeConnections bounds the connections to each of the readiness and the
	// metrics endpoint, probeBytes what their large headers take.
	probeConnections = 64
	probeBytes       = 256 << 10
	// limitLogInterval is the least time between two log lines about callers that
	// were limited.
	limitLogInterval = 10 * time.Second
)

// intake bounds what the instance holds for callers and for other instances.
type intake struct {
	limits      rattanlimit.Limits
	bodies      *rattanlimit.Bodies
	connections *rattanlimit.Connections
	peerJobs    *rattanlimit.Jobs
	clock       func() time.Time
}

func newIntake(config *Config) *intake {
	limits := rattanlimit.ForMachine(config.Settings.MemoryBytes, config.Settings.MaxDescriptors)
	callers := rattanlimit.NewBudget(limits.BodyBytes, limits.ReservedBytes)
	peers := rattanlimit.NewBudget(limits.PeerBytes, limits.ReservedPeerBytes)
	journal := newLimitJournal(config)
	in := &intake{
		limits:      limits,
		bodies:      rattanlimit.NewBodies(callers, journal, config.Clock),
		connections: rattanlimit.NewConnections(limits.Connections, callers, journal, config.Clock),
		peerJobs:    rattanlimit.NewJobs(peers, journal),
		clock:       config.Clock,
	}
	registry := config.Registry
	registry.Gauge(rattanmetric.WithLabels(rattanmetric.HeldBytes, "source", "callers"), func() float64 { return float64(callers.Held()) })
	registry.Gauge(rattanmetric.WithLabels(rattanmetric.HeldBytes, "source", "peers"), func() float64 { return float64(peers.Held()) })
	registry.Gauge(rattanmetric.CallerConnections, func() float64 { return float64(in.connections.Len()) })
	return in
}

// contextOf returns the context for the requests on a caller's connection.
func (in *intake) contextOf(ctx context.Context, connection net.Conn) context.Context {
	return rattanlimit.WithConnection(rattanfront.WithConnection(ctx, connection), connection)
}

// probes returns a bound on the connections to an endpoint of the platform.
func (in *intake) probes() *rattanlimit.Connections {
	return rattanlimit.NewConnections(probeConnections, rattanlimit.NewBudget(probeBytes, 0), nil, in.clock)
}

// withoutBody returns a handler that bounds the wait for bodies, which the handler does
// not read.
func (in *intake) withoutBody(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rattanlimit.Skip(w, r, in.clock())
		handler(w, r)
	})
}

// limitSubmissions returns a handler of jobs of other instances that counts what they
// take and tells the home for which of them there is no room. Those beyond that are
// rejected without being decoded.
func (in *intake) limitSubmissions(next, reject rattanpeer.Handler) rattanpeer.Handler {
	return func(ctx context.Context, sender string, body []byte) ([]byte, error) {
		release, admission := in.peerJobs.Admit(platform.DecodedSize(body))
		defer release()
		switch admission {
		case rattanlimit.NotAdmitted:
			return reject(ctx, sender, body)
		case rattanlimit.AdmittedWithoutRoom:
			ctx = rattanhome.WithoutRoom(ctx)
		}
		return next(ctx, sender, body)
	}
}

// limitJournal counts what was refused or closed and writes a line for the first one
// and after that one line for all of an interval.
type limitJournal struct {
	logger   *logrus.Logger
	clock    func() time.Time
	counters [rattanlimit.Causes]interface{ Inc() }

	mutex    sync.Mutex
	loggedAt time.Time
	counts   [rattanlimit.Causes]int
}

func newLimitJournal(config *Config) *limitJournal {
	journal := &limitJournal{logger: config.Logger, clock: config.Clock}
	for cause := range journal.counters {
		name := rattanmetric.WithLabels(rattanmetric.CallersLimitedTotal, "cause", rattanlimit.Cause(cause).String())
		journal.counters[cause] = config.Registry.Counter(name)
	}
	return journal
}

// CallerLimited implements rattanlimit.Journal.
func (j *limitJournal) CallerLimited(cause rattanlimit.Cause) {
	j.counters[cause].Inc()
	now := j.clock()
	j.mutex.Lock()
	j.counts[cause]++
	if !j.loggedAt.IsZero() && now.Sub(j.loggedAt) < limitLogInterval {
		j.mutex.Unlock()
		return
	}
	counts := j.counts
	j.counts = [rattanlimit.Causes]int{}
	j.loggedAt = now
	j.mutex.Unlock()
	byCause := logrus.Fields{}
	for other, count := range counts {
		if count > 0 {
			byCause[rattanlimit.Cause(other).String()] = count
		}
	}
	j.logger.WithField("Counts", byCause).Warn("callers limited")
}
