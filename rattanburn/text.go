package rattanburn

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// maxShownContributors is the maximum number of contributors in a report.
const maxShownContributors = 5

// Text returns the report as plain text.
func (s Snapshot) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "Burn rates at %s, revision %d, instances: %d\n", s.At.UTC().Format(time.RFC3339), s.Revision, s.Instances)
	if len(s.Objectives) == 0 {
		text.WriteString("The configuration has no objectives.\n")
		return text.String()
	}
	s.writeTable(&text)
	for _, name := range s.ObjectiveNames() {
		s.Objectives[name].writeDetails(&text, name)
	}
	return text.String()
}

func (s Snapshot) writeTable(text *strings.Builder) {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "Objective\tAlert\tBudget left\t")
	for _, window := range Windows {
		fmt.Fprintf(table, "%s\t", formatSpan(window))
	}
	fmt.Fprintln(table)
	for _, name := range s.ObjectiveNames() {
		counts := s.Objectives[name]
		fmt.Fprintf(table, "%s\t%v\t%.1f%%\t", name, counts.Severity(), 100*counts.RemainingBudget())
		for i := range Windows {
			fmt.Fprintf(table, "%.2f\t", counts.BurnRate(i))
		}
		fmt.Fprintln(table)
	}
	// Writes to a strings.Builder cannot fail.
	_ = table.Flush()
}

func (o ObjectiveCounts) writeDetails(text *strings.Builder, name string) {
	fmt.Fprintf(text, "\n%s: %s\n", name, o.describe())
	fmt.Fprintf(text, "  %d of %d events were bad; counted since %s\n", o.Budget.Bad(), o.Budget.Total, o.Since.UTC().Format(time.RFC3339))
	for _, contributor := range o.Contributors[:min(len(o.Contributors), maxShownContributors)] {
		fmt.Fprintf(text, "  %s\n", contributor.describe())
	}
}

func (o ObjectiveCounts) describe() string {
	kind := "all job kinds"
	if o.Objective.Kind != "" {
		kind = "job kind " + o.Objective.Kind
	}
	text := fmt.Sprintf("%v of events good by measure %s, %s, over %s", formatPercent(o.Objective.Goal), o.Objective.Measure, kind, formatSpan(o.Objective.Window.Std()))
	if o.Objective.Threshold > 0 {
		text += fmt.Sprintf(", within %v", o.Objective.Threshold)
	}
	return text
}

func (c Contributor) describe() string {
	text := fmt.Sprintf("%s, %s: %d bad events in the last two hours", c.Caller, c.Kind, c.Bad)
	if c.Excess > 0 {
		text += fmt.Sprintf(" (at least %d)", c.Bad-c.Excess)
	}
	return text
}

func formatPercent(fraction float64) string {
	return fmt.Sprintf("%.4g%%", 100*fraction)
}

// formatSpan formats a duration in its largest whole unit, such as 3d.
func formatSpan(span time.Duration) string {
	units := []struct {
		name string
		size time.Duration
	}{{"d", 24 * time.Hour}, {"h", time.Hour}, {"m", time.Minute}}
	for _, unit := range units {
		if span >= unit.size && span%unit.size == 0 {
			return fmt.Sprintf("%d%s", span/unit.size, unit.name)
		}
	}
	return span.String()
}
