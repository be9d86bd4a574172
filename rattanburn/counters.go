// Package rattanburn counts events for the service-level objectives of the
// configuration, and reports burn rates over several windows, the remaining
// error budget and the largest contributors, as text and as a page. The
// present time is an argument.
package rattanburn

import (
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanconfig"
)

const (
	fineWidth   = 10 * time.Second
	fineSpan    = time.Hour
	coarseWidth = 5 * time.Minute
	coarseSpan  = 3 * 24 * time.Hour
	// budgetBuckets is the resolution of an objective's own window.
	budgetBuckets = 96
	hourPeriods   = 60
	dayPeriods    = 72
)

// Answer is a job that has ended with an answer. Cancelled jobs are no events.
type Answer struct {
	Caller       string
	Kind         string
	ResponseTime time.Duration
	Deadline     time.Duration
	// Complete says that the answer had the results.
	Complete bool
}

// Counters count the events of one instance. Their memory is bounded by the
// number of objectives. They are safe for concurrent use.
type Counters struct {
	mutex    sync.Mutex
	revision uint64
	byName   map[string]*counter
	// byMeasure finds the counters of a job kind; objectives for all kinds are
	// listed under each kind that has its own, and under "".
	byMeasure map[measureKind][]*counter
}

type measureKind struct {
	measure, kind string
}

// counter holds the counts for one objective.
type counter struct {
	objective rattanconfig.Objective
	// since is when counting began.
	since  time.Time
	fine   ring
	coarse ring
	budget ring
	// pending holds events of the newest period of fine, the first of them at
	// pendingAt, which coarse and budget do not have yet. It makes an event one
	// update in place of three.
	pending   Counts
	pendingAt time.Time
	tally     tally
}

// New returns counters without objectives.
func New() *Counters {
	return &Counters{}
}

// SetObjectives takes the objectives of a document. Counts are kept for an
// objective of which at most the goal has changed.
func (c *Counters) SetObjectives(now time.Time, document rattanconfig.Document) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byName := make(map[string]*counter, len(document.Objectives))
	for name, objective := range document.Objectives {
		held, ok := c.byName[name]
		if !ok || !sameEvents(held.objective, objective) {
			held = newCounter(now, objective)
		}
		held.objective = objective
		byName[name] = held
	}
	c.revision = document.Revision
	c.byName = byName
	c.index()
}

// Answered counts a job that was answered.
func (c *Counters) Answered(now time.Time, answer Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, counter := range c.find(rattanconfig.MeasureAnsweredInTime, answer.Kind) {
		bound := counter.objective.Threshold.Std()
		if bound == 0 {
			bound = answer.Deadline
		}
		counter.add(now, answer.Caller, answer.Kind, answer.Complete && answer.ResponseTime <= bound)
	}
}

// Started counts a task that waited for its start. It allocates nothing unless
// the event is the first bad one of its caller and job kind.
func (c *Counters) Started(now time.Time, caller, kind string, waited time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, counter := range c.find(rattanconfig.MeasureShortWait, kind) {
		counter.add(now, caller, kind, waited <= counter.objective.Threshold.Std())
	}
}

// Submitted counts a submission and whether it was refused.
func (c *Counters) Submitted(now time.Time, caller, kind string, refused bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, counter := range c.find(rattanconfig.MeasureRefused, kind) {
		counter.add(now, caller, kind, !refused)
	}
}

// Snapshot returns the counts up to now, a value of its own.
func (c *Counters) Snapshot(now time.Time) Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot := Snapshot{At: now, Revision: c.revision, Instances: 1, Objectives: map[string]ObjectiveCounts{}}
	for name, counter := range c.byName {
		snapshot.Objectives[name] = counter.snapshot(now)
	}
	return snapshot
}

func (c *Counters) find(measure, kind string) []*counter {
	if counters, ok := c.byMeasure[measureKind{measure: measure, kind: kind}]; ok {
		return counters
	}
	return c.byMeasure[measureKind{measure: measure}]
}

func (c *Counters) index() {
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

func sameEvents(a, b rattanconfig.Objective) bool {
	a.Goal = b.Goal
	return a == b
}

func newCounter(now time.Time, objective rattanconfig.Objective) *counter {
	window := objective.Window.Std()
	return &counter{
		objective: objective,
		since:     now,
		fine:      newRing(now, fineWidth, fineSpan),
		coarse:    newRing(now, coarseWidth, coarseSpan),
		budget:    newRing(now, window/budgetBuckets, window),
		tally:     tally{started: now.Truncate(contributorPeriod)},
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
		c.tally.add(now, caller, kind)
	}
	c.fine.add(event)
	c.pending = c.pending.plus(event)
}

// flush adds the pending events to the rings of wider periods.
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
		Contributors: c.tally.top(now),
		LastHour:     c.fine.series(now, fineSpan/hourPeriods, hourPeriods),
		LastDays:     c.coarse.series(now, coarseSpan/dayPeriods, dayPeriods),
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
