// Package rattanburn counts events for the service-level objectives of the
// configuration. It reports burn rates over several windows, the remaining
// error budget and the largest contributors, as text and as an HTML page. The
// current time is passed as an argument.
package rattanburn

import (
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanconfig"
)

// Each objective is counted in three ring buffers: fine buckets for windows of
// up to an hour, coarse buckets for windows of up to three days, and buckets for
// the objective's own window.
const (
	fineBucketWidth   = 10 * time.Second
	fineSpan          = time.Hour
	coarseBucketWidth = 5 * time.Minute
	coarseSpan        = 3 * 24 * time.Hour
	// budgetBuckets is the number of buckets in the objective's own window.
	budgetBuckets = 96
	// lastHourPeriods and lastDaysPeriods are the numbers of bars in the plots
	// of the last hour and the last three days.
	lastHourPeriods = 60
	lastDaysPeriods = 72
)

// Answer describes a job that was answered. Cancelled jobs are not counted.
type Answer struct {
	Caller       string
	Kind         string
	ResponseTime time.Duration
	Deadline     time.Duration
	// Complete reports whether the answer contained the results.
	Complete bool
}

// Counters counts the events of one instance. Its memory is bounded by the
// number of objectives. It is safe for concurrent use.
type Counters struct {
	mutex    sync.Mutex
	revision uint64
	byName   map[string]*counter
	// byMeasure maps a measure and job kind to its counters. Objectives for all
	// kinds are listed under the empty kind and under each kind that has its
	// own objectives.
	byMeasure map[measureKind][]*counter
}

// measureKind is a combination of a measure and a job kind.
type measureKind struct {
	measure, kind string
}

// counter holds the counts of one objective.
type counter struct {
	objective rattanconfig.Objective
	// since is the time when counting began.
	since  time.Time
	fine   ring
	coarse ring
	budget ring
	// pending holds the events of the newest period of the fine ring that have
	// not been added to the other two rings yet; pendingAt is the time of the
	// first one. Collecting them reduces the cost of an event from three ring
	// updates to one.
	pending      Counts
	pendingAt    time.Time
	contributors contributorCounter
}

// New returns counters without objectives.
func New() *Counters {
	return &Counters{}
}

// SetObjectives replaces the objectives with those of the document. The counts
// of an objective are kept if nothing but its goal has changed.
func (c *Counters) SetObjectives(now time.Time, document rattanconfig.Document) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byName := make(map[string]*counter, len(document.Objectives))
	for name, objective := range document.Objectives {
		existing, ok := c.byName[name]
		if !ok || !countsSameEvents(existing.objective, objective) {
			existing = newCounter(now, objective)
		}
		existing.objective = objective
		byName[name] = existing
	}
	c.revision = document.Revision
	c.byName = byName
	c.buildIndex()
}

// Answered counts an answered job, which is good if it was complete within the
// objective's threshold, or within its own deadline if the threshold is 0.
func (c *Counters) Answered(now time.Time, answer Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, counter := range c.countersFor(rattanconfig.MeasureAnsweredInTime, answer.Kind) {
		limit := counter.objective.Threshold.Std()
		if limit == 0 {
			limit = answer.Deadline
		}
		counter.add(now, answer.Caller, answer.Kind, answer.Complete && answer.ResponseTime <= limit)
	}
}

// Started counts the start of a task, which is good if the task waited no longer
// than the objective's threshold. It allocates only for the first bad event of a
// caller and job kind.
func (c *Counters) Started(now time.Time, caller, kind string, waited time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, counter := range c.countersFor(rattanconfig.MeasureShortWait, kind) {
		counter.add(now, caller, kind, waited <= counter.objective.Threshold.Std())
	}
}

// Submitted counts a submission, which is good if it was not refused.
func (c *Counters) Submitted(now time.Time, caller, kind string, refused bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, counter := range c.countersFor(rattanconfig.MeasureRefused, kind) {
		counter.add(now, caller, kind, !refused)
	}
}

// Snapshot returns a copy of the counts at the given time.
func (c *Counters) Snapshot(now time.Time) Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot := Snapshot{At: now, Revision: c.revision, Instances: 1, Objectives: map[string]ObjectiveCounts{}}
	for name, counter := range c.byName {
		snapshot.Objectives[name] = counter.snapshot(now)
	}
	return snapshot
}

// countersFor returns the counters of a measure that count events of the job
// kind; see byMeasure.
func (c *Counters) countersFor(measure, kind string) []*counter {
	if counters, ok := c.byMeasure[measureKind{measure: measure, kind: kind}]; ok {
		return counters
	}
	return c.byMeasure[measureKind{measure: measure}]
}

// buildIndex fills in byMeasure.
func (c *Counters) buildIndex() {
	c.byMeasure = map[measureKind][]*counter{}
	for _, counter := range c.byName {
		key := measureKind{measure: counter.objective.Measure, kind: counter.objective.Kind}
		c.byMeasure[key] = append(c.byMeasure[key], counter)
	}
	for key, counters := range c.byMeasure {
		if key.kind != "" {
			c.byMeasure[key] = append(counters, c.byMeasure[measureKind{measure: key.measure}]...)
		}
	}
}

// countsSameEvents reports whether the objectives differ at most in their goal,
// so that their counts are comparable.
func countsSameEvents(a, b rattanconfig.Objective) bool {
	a.Goal = b.Goal
	return a == b
}

func newCounter(now time.Time, objective rattanconfig.Objective) *counter {
	window := objective.Window.Std()
	return &counter{
		objective:    objective,
		since:        now,
		fine:         newRing(now, fineBucketWidth, fineSpan),
		coarse:       newRing(now, coarseBucketWidth, coarseSpan),
		budget:       newRing(now, window/budgetBuckets, window),
		contributors: contributorCounter{generationStart: now.Truncate(contributorPeriod)},
	}
}

func (c *counter) add(now time.Time, caller, kind string, good bool) {
	if c.fine.advance(now) {
		c.flush()
	}
	if c.pending.Total == 0 {
		c.pendingAt = now
	}
	event := Counts{Total: 1}
	if good {
		event.Good = 1
	} else {
		c.contributors.add(now, caller, kind)
	}
	c.fine.add(event)
	c.pending = c.pending.plus(event)
}

// flush adds the pending events to the rings with wider buckets.
func (c *counter) flush() {
	if c.pending.Total == 0 {
		return
	}
	for _, wider := range []*ring{&c.coarse, &c.budget} {
		wider.advance(c.pendingAt)
		wider.add(c.pending)
	}
	c.pending = Counts{}
}

func (c *counter) snapshot(now time.Time) ObjectiveCounts {
	c.flush()
	counts := ObjectiveCounts{
		Objective:    c.objective,
		Since:        c.since,
		Budget:       c.budget.sum(now, c.objective.Window.Std()),
		Contributors: c.contributors.top(now),
		LastHour:     c.fine.series(now, fineSpan/lastHourPeriods, lastHourPeriods),
		LastDays:     c.coarse.series(now, coarseSpan/lastDaysPeriods, lastDaysPeriods),
	}
	for i, window := range Windows {
		source := &c.coarse
		if window <= fineSpan {
			source = &c.fine
		}
		counts.Windows[i] = source.sum(now, window)
	}
	return counts
}
