package rattanentry

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// violations counts the broken invariants of all instances in the process.
var violations atomic.Uint64

// onViolation, if set, is called with each broken invariant.
var onViolation atomic.Pointer[func(error)]

// OnViolation sets the function that is called with each broken invariant;
// tests fail in it. In production violations are only counted.
func OnViolation(report func(error)) {
	onViolation.Store(&report)
}

// Violations returns the number of broken invariants of all instances in the
// process.
func Violations() uint64 {
	return violations.Load()
}

func reportViolation(err error) {
	if report := onViolation.Load(); report != nil {
		(*report)(err)
	}
}

// homeEvent is an event that a home counts.
type homeEvent int

// The events of a home.
const (
	eventSubmitted homeEvent = iota
	eventJoined
	eventAdmitted
	eventBorrowed
	eventStarted
	eventCancelled
	eventFenced
	eventSettled
	eventViolated
	eventCount
)

// homeEventNames are the names of the events' counters.
var homeEventNames = [eventCount]string{
	eventSubmitted: rattanmetric.JobsSubmittedTotal,
	eventJoined:    rattanmetric.JobsJoinedTotal,
	eventAdmitted:  rattanmetric.JobsAdmittedTotal,
	eventBorrowed:  rattanmetric.SlotLoansTotal,
	eventStarted:   rattanmetric.TasksStartedTotal,
	eventCancelled: rattanmetric.JobsCancelledTotal,
	eventFenced:    rattanmetric.JobsFencedTotal,
	eventSettled:   rattanmetric.TasksSettledTotal,
	eventViolated:  rattanmetric.InvariantBreachesTotal,
}

// homeCounts are the metrics of a home. A nil value counts nothing.
type homeCounts struct {
	registry *rattanmetric.Registry
	events   [eventCount]*metrics.Counter
	outcomes [rattanpool.OutcomeStopped + 1]*metrics.Counter
	// kinds holds the histograms of each job kind that was admitted; it is
	// guarded by the home's mutex.
	kinds map[string]kindHistograms
}

// kindHistograms are the histograms of one job kind.
type kindHistograms struct {
	wait     *metrics.Histogram
	response *metrics.Histogram
}

func newHomeCounts(registry *rattanmetric.Registry) *homeCounts {
	if registry == nil {
		return nil
	}
	counts := &homeCounts{registry: registry, kinds: map[string]kindHistograms{}}
	for event, name := range homeEventNames {
		counts.events[event] = registry.Counter(name)
	}
	for outcome := range counts.outcomes {
		name := rattanmetric.WithLabels(rattanmetric.TasksEndedTotal, "outcome", rattanpool.Outcome(outcome).String())
		counts.outcomes[outcome] = registry.Counter(name)
	}
	return counts
}

// jobEnded counts the end of an admitted job.
func (c *homeCounts) jobEnded(kind string, took time.Duration, answer rattanjob.Answer) {
	if c == nil {
		return
	}
	c.registry.Counter(rattanmetric.WithLabels(rattanmetric.JobsAnsweredTotal, "state", answer.State.String(), "reason", answer.Reason.String())).Inc()
	if answer.State == rattanjob.StateComplete {
		c.ofKind(kind).response.Update(took.Seconds())
	}
}

// taskStarted counts the start of a task.
func (c *homeCounts) taskStarted(kind string, waited time.Duration) {
	if c == nil {
		return
	}
	c.events[eventStarted].Inc()
	c.ofKind(kind).wait.Update(waited.Seconds())
}

// taskEnded counts the end of a dispatch.
func (c *homeCounts) taskEnded(outcome rattanpool.Outcome) {
	if c != nil {
		c.outcomes[outcome].Inc()
	}
}

func (c *homeCounts) refused(reason rattanjob.Reason) {
	if c != nil {
		c.registry.Counter(rattanmetric.WithLabels(rattanmetric.JobsRefusedTotal, "reason", reason.String())).Inc()
	}
}

// count adds 1 to the counter of an event.
func (c *homeCounts) count(event homeEvent) {
	if c != nil {
		c.events[event].Inc()
	}
}

func (c *homeCounts) ofKind(kind string) kindHistograms {
	known, ok := c.kinds[kind]
	if !ok {
		known = kindHistograms{
			wait:     c.registry.Histogram(rattanmetric.WithLabels(rattanmetric.TaskWaitSeconds, "kind", kind)),
			response: c.registry.Histogram(rattanmetric.WithLabels(rattanmetric.JobResponseSeconds, "kind", kind)),
		}
		c.kinds[kind] = known
	}
	return known
}

// registerMetrics registers what the parts of the instance count themselves.
func (i *Instance) registerMetrics() {
	gauge, counter := i.Metrics.Gauge, i.Metrics.CounterFunc
	load := func() rattanpool.Load { return i.Home.Load(time.Now()).Pool }
	gauge(rattanmetric.JobsInProgress, func() float64 { return float64(i.Home.Jobs()) })
	gauge(rattanmetric.PoolSlots, func() float64 { return float64(load().Slots) })
	gauge(rattanmetric.PoolBusySlots, func() float64 { return float64(load().BusySlots) })
	gauge(rattanmetric.PoolBacklogSeconds, func() float64 { return load().Backlog.Seconds() })
	gauge(rattanmetric.LedgerRecords, func() float64 { return float64(i.Home.LedgerCounters().Records) })
	gauge(rattanmetric.LedgerAnswerBytes, func() float64 { return float64(i.Home.LedgerCounters().AnswerBytes) })
	// The own instance is not among the table's members.
	gauge(rattanmetric.MembersAlive, func() float64 { return float64(i.Membership.Counters().Alive + 1) })
	gauge(rattanmetric.ConfigurationRevision, func() float64 { return float64(i.Configuration.Document().Revision) })
	if i.Keyring != nil {
		gauge(rattanmetric.CertificateLifeSeconds, func() float64 { return time.Until(i.Keyring.store.NotAfter()).Seconds() })
	}
	counter(rattanmetric.EpochsOpenedTotal, func() uint64 { return i.Membership.Counters().EpochsOpened })
	counter(rattanmetric.EpochsFencedTotal, func() uint64 { return i.Membership.Counters().EpochsFenced })
	links := &i.Node.Counts
	counter(rattanmetric.MessagesSentTotal, links.Sent.Load)
	counter(rattanmetric.MessagesReceivedTotal, links.Received.Load)
	counter(rattanmetric.MessageSentBytesTotal, links.BytesSent.Load)
	counter(rattanmetric.PingsTotal, links.Pings.Load)
	counter(rattanmetric.LateRepliesTotal, links.LateReplies.Load)
	counter(rattanmetric.LinksSilentTotal, links.SilentLinks.Load)
	platform := &i.Platform.Counters
	for operation, calls := range map[string]*atomic.Uint64{
		"Delete": &platform.Deletes, "Get": &platform.Gets, "Instances": &platform.Instances,
		"Lease": &platform.Leases, "Put": &platform.Puts, "Watch": &platform.Watches,
	} {
		counter(rattanmetric.WithLabels(rattanmetric.PlatformCallsTotal, "operation", operation), calls.Load)
	}
	for kind, failures := range map[string]*atomic.Uint64{
		"Conflict": &platform.Conflicts, "Unavailable": &platform.Unavailable, "Uncertain": &platform.Uncertain,
	} {
		counter(rattanmetric.WithLabels(rattanmetric.PlatformErrorsTotal, "error", kind), failures.Load)
	}
}
