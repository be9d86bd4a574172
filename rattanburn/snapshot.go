package rattanburn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanconfig"
)

//go:generate go tool stringer -type=Severity -trimprefix=Severity

// Windows are the periods over which burn rates are reported.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}

// Severity says how urgent an objective's burn rates are.
type Severity int

// The severities, in rising order.
const (
	SeverityNone Severity = iota
	// SeverityTicket asks for attention within days.
	SeverityTicket
	// SeverityPage asks for attention at once.
	SeverityPage
)

// MarshalText returns the name of the severity.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// alert is raised while the burn rates of both windows are above the rate that
// spends the part of the error budget within the long window. The short window
// ends the alert soon after the cause has ended.
type alert struct {
	long, short int
	budgetPart  float64
	severity    Severity
}

// The windows and parts are the usual ones for a budget of 30 days, where they
// give burn rates of 14.4, 6 and 1.
var alerts = []alert{
	{long: 2, short: 0, budgetPart: 0.02, severity: SeverityPage},
	{long: 3, short: 1, budgetPart: 0.05, severity: SeverityPage},
	{long: 4, short: 3, budgetPart: 0.10, severity: SeverityTicket},
}

// Snapshot holds the counts of one instance or, after Merge, of several.
type Snapshot struct {
	At time.Time
	// Revision is that of the configuration document.
	Revision   uint64
	Instances  int
	Objectives map[string]ObjectiveCounts
}

// ObjectiveCounts are the counts for one objective.
type ObjectiveCounts struct {
	Objective rattanconfig.Objective
	// Since is when the first instance began to count.
	Since time.Time
	// Windows has the counts of the periods in the variable Windows.
	Windows [len(Windows)]Counts
	// Budget has the counts of the objective's own window.
	Budget Counts
	// Contributors are sorted, the largest first.
	Contributors []Contributor
	LastHour     Series
	LastDays     Series
}

// Merge returns the sum of snapshots of several instances. Counts for another
// definition of an objective than the one of the highest revision are left
// out; Instances of the sum counts all snapshots.
func Merge(snapshots ...Snapshot) Snapshot {
	merged := Snapshot{Objectives: map[string]ObjectiveCounts{}}
	// The newest definition comes first, so that it decides.
	ordered := slices.Clone(snapshots)
	slices.SortStableFunc(ordered, func(a, b Snapshot) int {
		return cmp.Compare(b.Revision, a.Revision)
	})
	for i, snapshot := range ordered {
		merged.Instances += snapshot.Instances
		if snapshot.At.After(merged.At) {
			merged.At = snapshot.At
		}
		if i == 0 {
			merged.Revision = snapshot.Revision
		}
		for name, counts := range snapshot.Objectives {
			held, ok := merged.Objectives[name]
			switch {
			case ok && sameEvents(held.Objective, counts.Objective):
				merged.Objectives[name] = held.plus(counts)
			case !ok && snapshot.Revision == merged.Revision:
				merged.Objectives[name] = counts
			}
		}
	}
	return merged
}

// Names returns the names of the objectives in order.
func (s Snapshot) Names() []string {
	return slices.Sorted(maps.Keys(s.Objectives))
}

// BurnRate returns how many times faster than allowed the error budget is
// spent in one of the windows; 1 spends it exactly within the objective's
// window.
func (o ObjectiveCounts) BurnRate(window int) float64 {
	return o.rate(o.Windows[window])
}

// Remaining returns the part of the error budget that is left, negative when
// it is overspent, over the objective's window or the part of it that was
// counted.
func (o ObjectiveCounts) Remaining() float64 {
	return 1 - o.rate(o.Budget)
}

// Severity returns how urgent the burn rates are.
func (o ObjectiveCounts) Severity() Severity {
	severity := SeverityNone
	for _, alert := range alerts {
		bound, ok := alert.bound(o.Objective)
		if ok && o.BurnRate(alert.long) > bound && o.BurnRate(alert.short) > bound {
			severity = max(severity, alert.severity)
		}
	}
	return severity
}

// bound returns the burn rate above which the alert is raised; it reports
// false for an alert whose long window is longer than the objective's.
func (a alert) bound(objective rattanconfig.Objective) (float64, bool) {
	window, long := objective.Window.Std(), Windows[a.long]
	if long > window {
		return 0, false
	}
	// A burn rate of 1 or less keeps within the budget.
	return max(1, a.budgetPart*float64(window)/float64(long)), true
}

func (o ObjectiveCounts) rate(counts Counts) float64 {
	return counts.BadShare() / (1 - o.Objective.Goal)
}

func (o ObjectiveCounts) plus(other ObjectiveCounts) ObjectiveCounts {
	if other.Since.Before(o.Since) {
		o.Since = other.Since
	}
	for i := range o.Windows {
		o.Windows[i] = o.Windows[i].plus(other.Windows[i])
	}
	o.Budget = o.Budget.plus(other.Budget)
	o.Contributors = sumContributors(slices.Concat(o.Contributors, other.Contributors))
	o.LastHour = o.LastHour.plus(other.LastHour)
	o.LastDays = o.LastDays.plus(other.LastDays)
	return o
}

// plus sums two series of one width; the sum has the newest periods of both,
// as many as the longer one.
func (s Series) plus(other Series) Series {
	if s.Width != other.Width {
		return s
	}
	end := max(s.First+int64(len(s.Counts)), other.First+int64(len(other.Counts)))
	size := max(len(s.Counts), len(other.Counts))
	sum := Series{Width: s.Width, First: end - int64(size), Counts: make([]Counts, size)}
	for _, part := range []Series{s, other} {
		for i, counts := range part.Counts {
			if position := part.First + int64(i) - sum.First; position >= 0 {
				sum.Counts[position] = sum.Counts[position].plus(counts)
			}
		}
	}
	return sum
}
