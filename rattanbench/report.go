package rattanbench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Figure is a measured number; NaN means that it was not measured.
type Figure float64

// MarshalJSON returns the number, or null if it was not measured.
func (f Figure) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(f)) || math.IsInf(float64(f), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(f))
}

// UnmarshalJSON parses a number or null.
func (f *Figure) UnmarshalJSON(data []byte) error {
	*f = Figure(math.NaN())
	if string(data) == "null" {
		return nil
	}
	return json.Unmarshal(data, (*float64)(f))
}

// String returns the figure with four significant digits, or a dash if it was
// not measured.
func (f Figure) String() string {
	if math.IsNaN(float64(f)) {
		return "-"
	}
	return fmt.Sprintf("%.4g", float64(f))
}

// Row is the result of one policy on all experiments of a workload.
type Row struct {
	// Name is the name of the workload.
	Name   string
	Policy string
	Seed   uint64
	// MedianSlowdown and P99Slowdown are quantiles of the ratio of each job's
	// response time to its response time under the ideal scheduler, at 80% load.
	MedianSlowdown Figure
	P99Slowdown    Figure
	// PeakGoodput is the goodput during the load peak relative to the capacity of
	// the fleet. PeakDeadlineMet is the share of accepted jobs completed within
	// their deadline.
	PeakGoodput     Figure `json:"CrestGoodput"`
	PeakDeadlineMet Figure `json:"CrestDeadlineMet"`
	// ShortWaitRatio is the p99 wait of short tasks when long tasks are present,
	// relative to the same arrivals without long tasks.
	ShortWaitRatio Figure
	// FairnessRatio is the p99 response time of the other callers when one caller
	// is greedy, relative to the same arrivals without the greedy caller.
	FairnessRatio Figure
	// WastedPerTask is the number of wasted messages per started task at 80% load.
	WastedPerTask Figure
	// DoubleStarts is the number of repeated starts of tasks. PartialAnswers is the
	// number of complete answers without all results and of other answers with all
	// results. FalseNotRun is the number of jobs that were reported as not run
	// although a task had started.
	DoubleStarts   int
	PartialAnswers int
	FalseNotRun    int
	// PlatformWritesPerSecond and PlatformReadsPerSecond are the highest rates of
	// all experiments, each with one fleet.
	PlatformWritesPerSecond Figure
	PlatformReadsPerSecond  Figure

	details details
}

// details holds what the text and the HTML page show in addition to the exported
// fields of Row.
type details struct {
	slowdown slowdown
	peak     peakMeasures
	// shortAlone and shortWithLong are the waits of short tasks, othersAlone and
	// othersWithGreedy the response times of the callers that are not greedy.
	shortAlone, shortWithLong     []time.Duration
	othersAlone, othersWithGreedy []time.Duration
	// slowTargetResponses holds the response times with slow targets.
	slowTargetResponses []time.Duration
	// othersAloneIncomplete and othersWithGreedyIncomplete are the shares of the
	// jobs of callers other than the greedy one that got no complete answer.
	othersAloneIncomplete, othersWithGreedyIncomplete float64
	mismatchedAnswers                                 int
	starts                                            int
	jobs                                              int
	// timerDelay is the maximum of all experiments.
	timerDelay timerDelay
	// droppedScenarios are the scenarios whose observations were dropped.
	droppedScenarios []string
	// waste counts the wasted messages in ScenarioSlowdown.
	waste Waste
}

// Report is the result of all runs.
type Report struct {
	Runs []Row

	// mode is a short description of how the experiments were run.
	mode    string
	elapsed time.Duration
}

// measure is a row of the report with a target value.
type measure struct {
	name string
	// bound is the target value from section 2 of docs/design.md.
	bound float64
	// atLeast is true if bound is a minimum, false if it is a maximum.
	atLeast bool
	figure  func(Row) Figure
}

func (m measure) formatTarget() string {
	if m.atLeast {
		return fmt.Sprintf(">= %g", m.bound)
	}
	return fmt.Sprintf("<= %g", m.bound)
}

// met reports whether the figure meets the target value. A figure that was not
// measured does not meet it.
func (m measure) met(figure Figure) bool {
	if m.atLeast {
		return float64(figure) >= m.bound
	}
	return float64(figure) <= m.bound
}

// measures returns the measures of a run.
func measures() []measure {
	return []measure{
		{name: "slowdown, median", bound: 1.10, figure: func(r Row) Figure { return r.MedianSlowdown }},
		{name: "slowdown, p99", bound: 1.5, figure: func(r Row) Figure { return r.P99Slowdown }},
		{name: "median response / ideal median", bound: 1.10, figure: func(r Row) Figure {
			return measuredIf(r.details.slowdown.ratios != nil, r.details.slowdown.medianQuantileRatio)
		}},
		{name: "p99 response / ideal p99", bound: 1.5, figure: func(r Row) Figure {
			return measuredIf(r.details.slowdown.ratios != nil, r.details.slowdown.p99QuantileRatio)
		}},
		{name: "peak goodput", bound: 0.97, atLeast: true, figure: func(r Row) Figure { return r.PeakGoodput }},
		{name: "peak deadline met", bound: 0.99, atLeast: true, figure: func(r Row) Figure { return r.PeakDeadlineMet }},
		{name: "peak refusal p99, ms", bound: 10, figure: func(r Row) Figure {
			return refusalMilliseconds(r.details.peak)
		}},
		{name: "peak recovery, s", bound: 1, figure: func(r Row) Figure {
			return measuredIf(r.details.peak.timeline != nil, r.details.peak.recovery.Seconds())
		}},
		{name: "short wait ratio", bound: 2, figure: func(r Row) Figure { return r.ShortWaitRatio }},
		{name: "fairness ratio", bound: 1.2, figure: func(r Row) Figure { return r.FairnessRatio }},
		{name: "wasted messages/task", bound: 0.05, figure: func(r Row) Figure { return r.WastedPerTask }},
		{name: "double starts", figure: func(r Row) Figure { return Figure(r.DoubleStarts) }},
		{name: "partial answers", figure: func(r Row) Figure { return Figure(r.PartialAnswers) }},
		{name: "mismatched answers", figure: func(r Row) Figure { return Figure(r.details.mismatchedAnswers) }},
		{name: "false not run", figure: func(r Row) Figure { return Figure(r.FalseNotRun) }},
		{name: "platform writes/s", bound: 150, figure: func(r Row) Figure { return r.PlatformWritesPerSecond }},
		{name: "platform reads/s", bound: 400, figure: func(r Row) Figure { return r.PlatformReadsPerSecond }},
	}
}

func refusalMilliseconds(peak peakMeasures) Figure {
	return measuredIf(peak.refusals > 0, peak.refusalP99.Seconds()*1000)
}

// measuredIf returns the value as a figure, or NaN if it was not measured.
func measuredIf(measured bool, value float64) Figure {
	if !measured {
		return Figure(math.NaN())
	}
	return Figure(value)
}

// WriteText writes a table for each workload and seed, with the target value next
// to the figures. An asterisk marks a figure that misses its target.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, %.1f s in total; *: misses the target, -: not measured\n", r.mode, r.elapsed.Seconds())
	if warning := r.warning(); warning != "" {
		fmt.Fprintln(w, warning)
	}
	for _, group := range r.groups() {
		if err := writeGroup(w, group); err != nil {
			return errors.Annotate(err, "write the report as text")
		}
	}
	return nil
}

// warning returns a line about limits of the machine that affected the results,
// or an empty string.
func (r Report) warning() string {
	var worstDelay timerDelay
	var dropped []string
	for _, row := range r.Runs {
		worstDelay = worstDelay.merge(row.details.timerDelay)
		dropped = append(dropped, row.details.droppedScenarios...)
	}
	var warnings []string
	if worstDelay.busy() {
		warnings = append(warnings, fmt.Sprintf("The machine was busy: timers fired up to %.0f ms late (p99 %.1f ms), so short times are upper bounds.",
			worstDelay.max.Seconds()*1000, worstDelay.p99.Seconds()*1000))
	}
	if len(dropped) > 0 {
		slices.Sort(dropped)
		warnings = append(warnings, fmt.Sprintf("Out of open files, not measured: %s.", strings.Join(slices.Compact(dropped), ", ")))
	}
	return strings.Join(warnings, " ")
}

// groups returns the runs grouped by workload and seed, in the order of the runs.
func (r Report) groups() [][]Row {
	var groups [][]Row
	for _, run := range r.Runs {
		last := len(groups) - 1
		if last >= 0 && groups[last][0].Name == run.Name && groups[last][0].Seed == run.Seed {
			groups[last] = append(groups[last], run)
			continue
		}
		groups = append(groups, []Row{run})
	}
	return groups
}

func writeGroup(w io.Writer, runs []Row) error {
	fmt.Fprintf(w, "\n%s, seed %d\n", runs[0].Name, runs[0].Seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := []string{"measure", "target"}
	for _, run := range runs {
		row = append(row, run.Policy)
	}
	fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	for _, m := range measures() {
		row = []string{m.name, m.formatTarget()}
		for _, run := range runs {
			row = append(row, formatFigure(m, m.figure(run)))
		}
		fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	}
	for _, info := range infoRows() {
		row = []string{info.name, ""}
		for _, run := range runs {
			row = append(row, info.value(run.details)+" ")
		}
		fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	}
	return table.Flush()
}

func formatFigure(m measure, figure Figure) string {
	if math.IsNaN(float64(figure)) || m.met(figure) {
		return figure.String() + " "
	}
	return figure.String() + "*"
}

// infoRow is a row of the report without a target value.
type infoRow struct {
	name  string
	value func(details) string
}

func infoRows() []infoRow {
	milliseconds := func(value time.Duration) string { return fmt.Sprintf("%.1f", value.Seconds()*1000) }
	quantile := func(values []time.Duration, percent float64) string {
		if len(values) == 0 {
			return "-"
		}
		return milliseconds(durationQuantile(values, percent))
	}
	return []infoRow{
		{"wasted: links, platform", func(d details) string { return fmt.Sprintf("%d, %d", d.waste.Links, d.waste.Platform) }},
		{"wasted: targets, callers", func(d details) string { return fmt.Sprintf("%d, %d", d.waste.Targets, d.waste.Callers) }},
		{"ideal order, median", func(d details) string { return d.slowdown.medianOrder.String() }},
		{"ideal order, p99", func(d details) string { return d.slowdown.p99Order.String() }},
		{"peak jobs accepted", func(d details) string { return fmt.Sprint(d.peak.accepted) }},
		{"peak jobs refused", func(d details) string { return fmt.Sprint(d.peak.refusals) }},
		{"short wait p99 alone, ms", func(d details) string { return quantile(d.shortAlone, 99) }},
		{"short wait p99 with long, ms", func(d details) string { return quantile(d.shortWithLong, 99) }},
		{"other callers p99 alone, ms", func(d details) string { return quantile(d.othersAlone, 99) }},
		{"other callers p99 with greedy, ms", func(d details) string { return quantile(d.othersWithGreedy, 99) }},
		{"other callers incomplete, alone", func(d details) string { return fmt.Sprintf("%.2f%%", 100*d.othersAloneIncomplete) }},
		{"other callers incomplete, with greedy", func(d details) string { return fmt.Sprintf("%.2f%%", 100*d.othersWithGreedyIncomplete) }},
		{"slow targets: median, ms", func(d details) string { return quantile(d.slowTargetResponses, 50) }},
		{"slow targets: p99, ms", func(d details) string { return quantile(d.slowTargetResponses, 99) }},
		{"timer delay p99, ms", func(d details) string { return milliseconds(d.timerDelay.p99) }},
		{"timer delay maximum, ms", func(d details) string { return milliseconds(d.timerDelay.max) }},
		{"jobs submitted", func(d details) string { return fmt.Sprint(d.jobs) }},
		{"tasks started", func(d details) string { return fmt.Sprint(d.starts) }},
	}
}
