package rattanburn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanconfig"
)

//go:generate go tool stringer -type=Severity -trimprefix=Severity

// Windows are the time windows for which burn rates are reported.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}

// Severity is the urgency of an objective's burn rates.
type Severity int

// Severities in increasing order.
const (
	SeverityNone Severity = iota
	// SeverityTicket requires attention within days.
	SeverityTicket
	// SeverityPage requires immediate attention.
	SeverityPage
)

// MarshalText returns the name of the severity.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// alert fires while the burn rates of both windows are above the rate that
// consumes budgetFraction of the error budget within the long window. The short
// window ends the alert soon after the cause is gone. Both windows are indexes
// into Windows.
type alert struct {
	longWindow, shortWindow int
	budgetFraction          float64
	severity                Severity
}

// alerts are the usual multi-window alerts for a budget of 30 days, where the
// thresholds are burn rates of 14.4, 6 and 1.
var alerts = []alert{
	{longWindow: 2, shortWindow: 0, budgetFraction: 0.02, severity: SeverityPage},
	{longWindow: 3, shortWindow: 1, budgetFraction: 0.05, severity: SeverityPage},
	{longWindow: 4, shortWindow: 3, budgetFraction: 0.10, severity: SeverityTicket},
}

// Snapshot holds the counts of one instance or, after Merge, of several
// instances.
type Snapshot struct {
	At time.Time
	// Revision is the revision of the configuration document.
	Revision uint64
	// Instances is the number of instances whose counts are included.
	Instances  int
	Objectives map[string]ObjectiveCounts
}

// ObjectiveCounts holds the counts of one objective.
type ObjectiveCounts struct {
	Objective rattanconfig.Objective
	// Since is the time when the first instance began to count.
	Since time.Time
	// Windows holds the counts of the windows in the package variable Windows.
	Windows [len(Windows)]Counts
	// Budget holds the counts of the objective's own window.
	Budget Counts
	// Contributors are sorted in descending order of their bad events.
	Contributors []Contributor
	// LastHour holds the counts of the last hour by minute.
	LastHour Series
	// LastDays holds the counts of the last three days by hour.
	LastDays Series
}

// Merge adds up the snapshots of several instances. If the definitions of an
// objective differ, only the counts of the one with the highest revision are
// included. The number of instances in the result covers all snapshots.
func Merge(snapshots ...Snapshot) Snapshot {
	merged := Snapshot{Objectives: map[string]ObjectiveCounts{}}
	// The newest definition of an objective takes precedence.
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
			existing, ok := merged.Objectives[name]
			switch {
			case ok && countsSameEvents(existing.Objective, counts.Objective):
				merged.Objectives[name] = existing.plus(counts)
			case !ok && snapshot.Revision == merged.Revision:
				merged.Objectives[name] = counts
			}
		}
	}
	return merged
}

// ObjectiveNames returns the sorted names of the objectives.
func (s Snapshot) ObjectiveNames() []string {
	return slices.Sorted(maps.Keys(s.Objectives))
}

// BurnRate returns how many times faster than allowed the error budget is
// consumed in a window, given by its index in Windows. At 1 the budget lasts
// exactly for the objective's window.
func (o ObjectiveCounts) BurnRate(window int) float64 {
	return o.burnRate(o.Windows[window])
}

// RemainingBudget returns the fraction of the error budget that is left in the
// objective's window, or in the part of it that was counted. It is negative if
// the budget is overspent.
func (o ObjectiveCounts) RemainingBudget() float64 {
	return 1 - o.burnRate(o.Budget)
}

// Severity returns the highest severity of the alerts that fire.
func (o ObjectiveCounts) Severity() Severity {
	severity := SeverityNone
	for _, alert := range alerts {
		threshold, ok := alert.threshold(o.Objective)
		if ok && o.BurnRate(alert.longWindow) > threshold && o.BurnRate(alert.shortWindow) > threshold {
			severity = max(severity, alert.severity)
		}
	}
	return severity
}

// threshold returns the burn rate above which the alert fires. It returns false
// if the long window of the alert is longer than the objective's window.
func (a alert) threshold(objective rattanconfig.Objective) (float64, bool) {
	window, long := objective.Window.Std(), Windows[a.longWindow]
	if long > window {
		return 0, false
	}
	// A burn rate of up to 1 stays within the budget.
	return max(1, a.budgetFraction*float64(window)/float64(long)), true
}

func (o ObjectiveCounts) burnRate(counts Counts) float64 {
	return counts.BadFraction() / (1 - o.Objective.Goal)
}

func (o ObjectiveCounts) plus(other ObjectiveCounts) ObjectiveCounts {
	if other.Since.Before(o.Since) {
		o.Since = other.Since
	}
	for i := range o.Windows {
		o.Windows[i] = o.Windows[i].plus(other.Windows[i])
	}
	o.Budget = o.Budget.plus(other.Budget)
	o.Contributors = mergeContributors(slices.Concat(o.Contributors, other.Contributors))
	o.LastHour = o.LastHour.plus(other.LastHour)
	o.LastDays = o.LastDays.plus(other.LastDays)
	return o
}

// plus adds two series of equal width. The result has as many periods as the
// longer series and ends with the newest period of both.
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
