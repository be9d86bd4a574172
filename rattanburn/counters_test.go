package rattanburn

import (
	"encoding/json"
	"fmt"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func exampleDocument() rattanconfig.Document {
	month := rattanjson.Duration(720 * time.Hour)
	return rattanconfig.Document{Revision: 4, Objectives: map[string]rattanconfig.Objective{
		"all":   {Measure: rattanconfig.MeasureRefused, Goal: 0.99, Window: month},
		"lists": {Kind: "list", Measure: rattanconfig.MeasureAnsweredInTime, Goal: 0.9, Window: month},
		"stock": {Kind: "stock", Measure: rattanconfig.MeasureAnsweredInTime, Goal: 0.9, Threshold: rattanjson.Duration(time.Second), Window: month},
		"wait":  {Kind: "stock", Measure: rattanconfig.MeasureShortWait, Goal: 0.9, Threshold: rattanjson.Duration(time.Second), Window: month},
	}}
}

func newExampleCounters() *Counters {
	counters := New()
	counters.SetObjectives(start, exampleDocument())
	return counters
}

// TestMeasures guards against events that are counted for the wrong objective,
// and against bad events that are counted as good.
func TestMeasures(t *testing.T) {
	c := qt.New(t)
	counters := newExampleCounters()
	for _, answer := range []Answer{
		{Kind: "list", ResponseTime: 5 * time.Second, Deadline: 10 * time.Second, Complete: true},
		{Kind: "list", ResponseTime: 11 * time.Second, Deadline: 10 * time.Second, Complete: true},
		{Kind: "list", ResponseTime: time.Second, Deadline: 10 * time.Second},
		{Kind: "stock", ResponseTime: 2 * time.Second, Deadline: 10 * time.Second, Complete: true},
		{Kind: "stock", ResponseTime: time.Second, Deadline: 10 * time.Second, Complete: true},
		{Kind: "other", ResponseTime: time.Second, Deadline: 10 * time.Second, Complete: true},
	} {
		counters.Answered(start, answer)
	}
	counters.Started(start, "app", "stock", time.Second)
	counters.Started(start, "app", "stock", 2*time.Second)
	counters.Submitted(start, "app", "list", true)
	counters.Submitted(start, "app", "other", false)

	objectives := counters.Snapshot(start).Objectives
	c.Assert(objectives["lists"].Windows[0], qt.Equals, Counts{Good: 1, Total: 3})
	c.Assert(objectives["stock"].Windows[0], qt.Equals, Counts{Good: 1, Total: 2})
	c.Assert(objectives["wait"].Windows[0], qt.Equals, Counts{Good: 1, Total: 2})
	c.Assert(objectives["all"].Windows[0], qt.Equals, Counts{Good: 1, Total: 2})
	c.Assert(objectives["all"].Contributors, qt.DeepEquals, []Contributor{{Caller: "app", Kind: "list", Bad: 1}})
}

// TestWindows guards against events that leave a window too early or too late.
func TestWindows(t *testing.T) {
	c := qt.New(t)
	counters := newExampleCounters()
	counters.Submitted(start, "app", "list", true)
	for _, test := range []struct {
		after time.Duration
		// firstWindow is the index of the shortest window that contains the
		// event.
		firstWindow int
	}{
		{4 * time.Minute, 0}, {6 * time.Minute, 1}, {40 * time.Minute, 2}, {2 * time.Hour, 3}, {7 * time.Hour, 4}, {4 * 24 * time.Hour, 5},
	} {
		counts := counters.Snapshot(start.Add(test.after)).Objectives["all"]
		for i := range Windows {
			c.Check(counts.Windows[i].Total == 1, qt.Equals, i >= test.firstWindow, qt.Commentf("%v, window %d", test.after, i))
		}
		c.Check(counts.Budget.Total, qt.Equals, uint64(1))
	}
	c.Assert(counters.Snapshot(start.Add(800 * time.Hour)).Objectives["all"].Budget.Total, qt.Equals, uint64(0))
	counters.Submitted(start, "app", "list", false)
	c.Assert(counters.Snapshot(start).Objectives["all"].Windows[0].Total, qt.Equals, uint64(1), qt.Commentf("a time before the newest period"))
}

// TestSeverity guards against alerts that fire when only one of their two
// windows is above the threshold, and against alerts that do not fire.
func TestSeverity(t *testing.T) {
	for _, test := range []struct {
		name string
		bad  [len(Windows)]uint64
		want Severity
	}{
		{"no bad events", [...]uint64{0, 0, 0, 0, 0}, SeverityNone},
		{"only short window", [...]uint64{500, 0, 0, 0, 0}, SeverityNone},
		{"fast burn", [...]uint64{150, 0, 150, 0, 0}, SeverityPage},
		{"burn has ended", [...]uint64{0, 0, 150, 0, 0}, SeverityNone},
		{"medium burn", [...]uint64{0, 70, 0, 70, 0}, SeverityPage},
		{"slow burn", [...]uint64{0, 0, 0, 11, 11}, SeverityTicket},
		{"within budget", [...]uint64{9, 9, 9, 9, 9}, SeverityNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			counts := ObjectiveCounts{Objective: exampleDocument().Objectives["all"]}
			for i, bad := range test.bad {
				counts.Windows[i] = Counts{Good: 1000 - bad, Total: 1000}
			}
			qt.Assert(t, counts.Severity(), qt.Equals, test.want)
		})
	}
}

// TestRemainingBudget guards against a remaining error budget that is not
// relative to the allowed bad events, or that hides overspending.
func TestRemainingBudget(t *testing.T) {
	c := qt.New(t)
	counts := ObjectiveCounts{Objective: rattanconfig.Objective{Goal: 0.75}, Budget: Counts{Good: 875, Total: 1000}}
	c.Assert(counts.RemainingBudget(), qt.Equals, 0.5)
	counts.Budget.Good = 500
	c.Assert(counts.RemainingBudget(), qt.Equals, -1.0)
	c.Assert(ObjectiveCounts{}.RemainingBudget(), qt.Equals, 1.0)
}

// TestMerge guards against a report that loses the events of an instance or
// adds up counts of different definitions of an objective.
func TestMerge(t *testing.T) {
	c := qt.New(t)
	first, second := newExampleCounters(), newExampleCounters()
	first.Submitted(start, "app", "list", true)
	later := start.Add(90 * time.Second)
	second.Submitted(later, "app", "list", true)
	second.Submitted(later, "web", "list", false)
	old := New()
	changed := exampleDocument()
	changed.Revision, changed.Objectives["all"] = 3, rattanconfig.Objective{Measure: rattanconfig.MeasureRefused, Goal: 0.9, Window: rattanjson.Duration(24 * time.Hour)}
	changed.Objectives["gone"] = changed.Objectives["all"]
	old.SetObjectives(start, changed)
	old.Submitted(start, "app", "list", true)

	merged := Merge(old.Snapshot(later), roundTrip(c, first.Snapshot(later)), second.Snapshot(later))
	c.Assert(merged.Revision, qt.Equals, uint64(4))
	c.Assert(merged.Instances, qt.Equals, 3)
	c.Assert(merged.ObjectiveNames(), qt.DeepEquals, []string{"all", "lists", "stock", "wait"})
	all := merged.Objectives["all"]
	c.Assert(all.Windows, qt.Equals, [...]Counts{{1, 3}, {1, 3}, {1, 3}, {1, 3}, {1, 3}})
	c.Assert(all.Contributors, qt.DeepEquals, []Contributor{{Caller: "app", Kind: "list", Bad: 2}})
	end := len(all.LastHour.Counts) - 1
	c.Assert(all.LastHour.Counts[end], qt.Equals, Counts{Good: 1, Total: 2})
	c.Assert(all.LastHour.Counts[end-1], qt.Equals, Counts{Good: 0, Total: 1})
	c.Assert(Merge().Text(), qt.Contains, "no objectives")
}

// TestSeriesPlus guards against adding counts of different times when the
// snapshots of two instances were taken in different periods.
func TestSeriesPlus(t *testing.T) {
	one := Counts{Good: 1, Total: 1}
	sum := Series{Width: 1, First: 10, Counts: []Counts{one, one, one}}.plus(Series{Width: 1, First: 12, Counts: []Counts{one, one, one}})
	qt.Assert(t, sum, qt.DeepEquals, Series{Width: 1, First: 12, Counts: []Counts{{2, 2}, one, one}})
}

// TestSetObjectives guards against losing counts with each new revision, and
// against keeping counts of an objective whose events have changed.
func TestSetObjectives(t *testing.T) {
	c := qt.New(t)
	counters := newExampleCounters()
	counters.Submitted(start, "app", "list", true)
	counters.Started(start, "app", "stock", time.Minute)
	changed := exampleDocument()
	objective := changed.Objectives["all"]
	objective.Goal = 0.5
	changed.Objectives["all"] = objective
	objective = changed.Objectives["wait"]
	objective.Threshold *= 2
	changed.Objectives["wait"] = objective
	counters.SetObjectives(start, changed)
	snapshot := counters.Snapshot(start)
	c.Assert(snapshot.Objectives["all"].Windows[0].Total, qt.Equals, uint64(1))
	c.Assert(snapshot.Objectives["all"].Objective.Goal, qt.Equals, 0.5)
	c.Assert(snapshot.Objectives["wait"].Windows[0].Total, qt.Equals, uint64(0))
}

// TestContributors guards against unbounded memory, against losing a large
// contributor among many rare ones, and against contributors that are never
// removed.
func TestContributors(t *testing.T) {
	c := qt.New(t)
	counters := newExampleCounters()
	for i := range 10_000 {
		counters.Submitted(start, fmt.Sprintf("rare-%d", i), "list", true)
		if i%10 == 0 {
			counters.Submitted(start, "frequent", "list", true)
		}
	}
	top := counters.Snapshot(start).Objectives["all"].Contributors
	c.Assert(top, qt.HasLen, maxContributors)
	c.Assert(top[0].Caller, qt.Equals, "frequent")
	c.Assert(top[0].Bad >= 1000 && top[0].Bad-top[0].Excess <= 1000, qt.IsTrue, qt.Commentf("%+v", top[0]))
	c.Assert(counters.Snapshot(start.Add(time.Hour)).Objectives["all"].Contributors, qt.HasLen, maxContributors)
	c.Assert(counters.Snapshot(start.Add(2 * time.Hour)).Objectives["all"].Contributors, qt.HasLen, 0)
}

// TestReport guards against reports without figures, against a page that loads
// external resources, and against names that are not escaped in the page.
func TestReport(t *testing.T) {
	c := qt.New(t)
	counters := newExampleCounters()
	for i := range 100 {
		counters.Submitted(start, "<b>app</b>", "list", i%2 == 0)
	}
	snapshot := counters.Snapshot(start.Add(time.Minute))
	text := snapshot.Text()
	c.Check(text, qt.Contains, "Burn rates at 2026-03-02T09:01:00Z, revision 4, instances: 1")
	c.Check(text, qt.Matches, `(?s).*all +Page +-4900\.0% +50\.00 +50\.00 +50\.00 +50\.00 +50\.00.*`)
	c.Check(text, qt.Contains, "all: 99% of events good by measure Refused, all job kinds, over 30d\n  50 of 100 events were bad")
	c.Check(text, qt.Contains, "<b>app</b>, list: 50 bad events in the last two hours")

	page, err := snapshot.Page()
	c.Assert(err, qt.IsNil)
	c.Check(string(page), qt.Contains, "burn rate 50.00, 50 of 100 bad")
	c.Check(string(page), qt.Contains, "&lt;b&gt;app&lt;/b&gt;")
	externalReference := regexp.MustCompile(`(?i)<script|<link|<img|src=|url\(|https?://|@import|ZgotmplZ`)
	c.Check(externalReference.FindString(string(page)), qt.Equals, "")
}

// TestStartedDoesNotAllocate guards against allocations for each started task.
func TestStartedDoesNotAllocate(t *testing.T) {
	counters := newExampleCounters()
	now := start
	qt.Assert(t, testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Second)
		counters.Started(now, "app", "stock", 0)
	}), qt.Equals, 0.0)
}

// BenchmarkStarted measures the cost of counting one started task.
func BenchmarkStarted(b *testing.B) {
	counters := newExampleCounters()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Microsecond)
		counters.Started(now, "app", "stock", 0)
	}
}

// roundTrip encodes a snapshot as JSON and decodes it again.
func roundTrip(c *qt.C, snapshot Snapshot) Snapshot {
	data, err := json.Marshal(snapshot)
	c.Assert(err, qt.IsNil)
	var received Snapshot
	c.Assert(rattanjson.DecodeStrict(data, &received), qt.IsNil)
	return received
}

// TestEventsBeforeIdleTime guards against events that are counted too late in
// the wide windows. Such an event is pending until the next event or snapshot,
// which may follow hours later, and must still count at its own time.
func TestEventsBeforeIdleTime(t *testing.T) {
	c := qt.New(t)
	counters := newExampleCounters()
	counters.Submitted(start, "app", "list", true)
	later := start.Add(12 * time.Hour)
	counters.Submitted(later, "app", "list", true)
	counts := counters.Snapshot(later).Objectives["all"]
	for i, want := range []uint64{1, 1, 1, 1, 2} {
		c.Check(counts.Windows[i].Total, qt.Equals, want, qt.Commentf("window %v", Windows[i]))
	}
	c.Assert(counts.Budget.Total, qt.Equals, uint64(2))
}
