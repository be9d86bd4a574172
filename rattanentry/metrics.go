package rattanentry

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// violations counts the invariant violations of all instances in the process.
var violations atomic.Uint64

// onViolation is called with each invariant violation if it is set.
var onViolation atomic.Pointer[func(error)]

// OnViolation sets the function that is called with each invariant violation;
// tests use it to fail. In production violations are only counted.
func OnViolation(report func(error)) {
	onViolation.Store(&report)
}

// Violations returns the number of invariant violations of all instances in the
// process.
func Violations() uint64 {
	return violations.Load()
}

func reportViolation(err error) {
	if report := onViolation.Load(); report != nil {
		(*report)(err)
	}
}

// homeEvent is an event that is counted at a home.
type homeEvent int

// Events of a home.
const (
	eventSubmitted homeEvent = iota
	eventJoined
	eventAdmitted
	eventBorrowed
	eventStarted
	eventCancelled
	eventFenced
	eventResolved
	eventViolated
	eventCount
)

// homeEventNames holds the metric names of the events.
var homeEventNames = [eventCount]string{
	eventSubmitted: rattanmetric.JobsSubmittedTotal,
	eventJoined:    rattanmetric.JobsJoinedTotal,
	eventAdmitted:  rattanmetric.JobsAdmittedTotal,
	eventBorrowed:  rattanmetric.SlotLoansTotal,
	eventStarted:   rattanmetric.TasksStartedTotal,
	eventCancelled: rattanmetric.JobsCancelledTotal,
	eventFenced:    rattanmetric.JobsFencedTotal,
	eventResolved:  rattanmetric.TasksSettledTotal,
	eventViolated:  rattanmetric.InvariantBreachesTotal,
}

// homeMetrics holds the metrics of a home. A nil value counts nothing.
type homeMetrics struct {
	registry *rattanmetric.Registry
	events   [eventCount]*metrics.Counter
	outcomes [rattanpool.OutcomeStopped + 1]*metrics.Counter
	// kinds holds the histograms of each job kind with started or completed
	// jobs. It is guarded by the home's mutex.
	kinds map[string]kindHistograms
}

// kindHistograms holds the histograms of one job kind.
type kindHistograms struct {
	wait     *metrics.Histogram
	response *metrics.Histogram
}

func newHomeMetrics(registry *rattanmetric.Registry) *homeMetrics {
	if registry == nil {
		return nil
	}
	homeMetrics := &homeMetrics{registry: registry, kinds: map[string]kindHistograms{}}
	for event, name := range homeEventNames {
		homeMetrics.events[event] = registry.Counter(name)
	}
	for outcome := range homeMetrics.outcomes {
		name := rattanmetric.WithLabels(rattanmetric.TasksEndedTotal, "outcome", rattanpool.Outcome(outcome).String())
		homeMetrics.outcomes[outcome] = registry.Counter(name)
	}
	return homeMetrics
}

// jobEnded counts the final answer of an admitted job.
func (m *homeMetrics) jobEnded(kind string, took time.Duration, answer rattanjob.Answer) {
	if m == nil {
		return
	}
	m.registry.Counter(rattanmetric.WithLabels(rattanmetric.JobsAnsweredTotal, "state", answer.State.String(), "reason", answer.Reason.String())).Inc()
	if answer.State == rattanjob.StateComplete {
		m.histogramsFor(kind).response.Update(took.Seconds())
	}
}

// taskStarted counts the start of a task.
func (m *homeMetrics) taskStarted(kind string, waited time.Duration) {
	if m == nil {
		return
	}
	m.events[eventStarted].Inc()
	m.histogramsFor(kind).wait.Update(waited.Seconds())
}

// taskEnded counts the end of a dispatch.
func (m *homeMetrics) taskEnded(outcome rattanpool.Outcome) {
	if m != nil {
		m.outcomes[outcome].Inc()
	}
}

func (m *homeMetrics) jobRefused(reason rattanjob.Reason) {
	if m != nil {
		m.registry.Counter(rattanmetric.WithLabels(rattanmetric.JobsRefusedTotal, "reason", reason.String())).Inc()
	}
}

// count increments the counter of an event.
func (m *homeMetrics) count(event homeEvent) {
	if m != nil {
		m.events[event].Inc()
	}
}

func (m *homeMetrics) histogramsFor(kind string) kindHistograms {
	histograms, ok := m.kinds[kind]
	if !ok {
		histograms = kindHistograms{
			wait:     m.registry.Histogram(rattanmetric.WithLabels(rattanmetric.TaskWaitSeconds, "kind", kind)),
			response: m.registry.Histogram(rattanmetric.WithLabels(rattanmetric.JobResponseSeconds, "kind", kind)),
		}
		m.kinds[kind] = histograms
	}
	return histograms
}

// registerMetrics registers the metrics that are read from counters of the
// instance's parts.
func (i *Instance) registerMetrics() {
	gauge, counter := i.Metrics.Gauge, i.Metrics.CounterFunc
	load := func() rattanpool.Load { return i.Home.Load(time.Now()).Pool }
	gauge(rattanmetric.JobsInProgress, func() float64 { return float64(i.Home.Jobs()) })
	gauge(rattanmetric.PoolSlots, func() float64 { return float64(load().Slots) })
	gauge(rattanmetric.PoolBusySlots, func() float64 { return float64(load().BusySlots) })
	gauge(rattanmetric.PoolBacklogSeconds, func() float64 { return load().Backlog.Seconds() })
	gauge(rattanmetric.LedgerRecords, func() float64 { return float64(i.Home.LedgerCounters().Records) })
	gauge(rattanmetric.LedgerAnswerBytes, func() float64 { return float64(i.Home.LedgerCounters().AnswerBytes) })
	// The membership table does not include this instance.
	gauge(rattanmetric.MembersAlive, func() float64 { return float64(i.Membership.Counters().Alive + 1) })
	gauge(rattanmetric.ConfigurationRevision, func() float64 { return float64(i.Configuration.Document().Revision) })
	if i.Keyring != nil {
		gauge(rattanmetric.CertificateLifeSeconds, func() float64 { return time.Until(i.Keyring.store.NotAfter()).Seconds() })
	}
	counter(rattanmetric.EpochsOpenedTotal, func() uint64 { return i.Membership.Counters().EpochsOpened })
	counter(rattanmetric.EpochsFencedTotal, func() uint64 { return i.Membership.Counters().EpochsFenced })
	peerCounts := &i.Node.Counts
	counter(rattanmetric.MessagesSentTotal, peerCounts.Sent.Load)
	counter(rattanmetric.MessagesReceivedTotal, peerCounts.Received.Load)
	counter(rattanmetric.MessageSentBytesTotal, peerCounts.BytesSent.Load)
	counter(rattanmetric.PingsTotal, peerCounts.Pings.Load)
	counter(rattanmetric.LateRepliesTotal, peerCounts.LateReplies.Load)
	counter(rattanmetric.LinksSilentTotal, peerCounts.SilentLinks.Load)
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
