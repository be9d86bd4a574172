package rattanentry

import (
	"fmt"
	"sync/atomic"

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

// homeCounts are the counters of a home.
type homeCounts struct {
	registry   *rattanmetric.Registry
	admitted   *metrics.Counter
	borrowed   *metrics.Counter
	joined     *metrics.Counter
	started    *metrics.Counter
	cancelled  *metrics.Counter
	fenced     *metrics.Counter
	settled    *metrics.Counter
	violations *metrics.Counter
	outcomes   [rattanpool.OutcomeStopped + 1]*metrics.Counter
}

func newHomeCounts(registry *rattanmetric.Registry) homeCounts {
	counts := homeCounts{
		registry:   registry,
		admitted:   registry.Counter("jobs_admitted_total"),
		borrowed:   registry.Counter("slot_loans_total"),
		joined:     registry.Counter("submissions_joined_total"),
		started:    registry.Counter("tasks_started_total"),
		cancelled:  registry.Counter("jobs_cancelled_total"),
		fenced:     registry.Counter("jobs_fenced_total"),
		settled:    registry.Counter("tasks_settled_total"),
		violations: registry.Counter("invariant_violations_total"),
	}
	for outcome := range counts.outcomes {
		name := fmt.Sprintf("tasks_ended_total{outcome=%q}", rattanpool.Outcome(outcome))
		counts.outcomes[outcome] = registry.Counter(name)
	}
	return counts
}

func (c *homeCounts) answered(answer rattanjob.Answer) {
	c.registry.Counter(fmt.Sprintf("jobs_answered_total{state=%q,reason=%q}", answer.State, answer.Reason)).Inc()
}

func (c *homeCounts) outcome(outcome rattanpool.Outcome) {
	c.outcomes[outcome].Inc()
}

func (c *homeCounts) refused(reason rattanjob.Reason) {
	c.registry.Counter(fmt.Sprintf("jobs_refused_total{reason=%q}", reason)).Inc()
}
