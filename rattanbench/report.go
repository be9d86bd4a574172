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

// Figure is a measured number; NaN stands for one that was not measured.
type Figure float64

// MarshalJSON returns the number, or null when it was not measured.
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

// String returns the figure with four digits, or a dash.
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
	// MedianSlowdown and P99Slowdown are response times of jobs relative to the
	// ideal, job by job, at 80% load.
	MedianSlowdown Figure
	P99Slowdown    Figure
	// CrestGoodput is relative to the capacity of the fleet.
	CrestGoodput     Figure
	CrestDeadlineMet Figure
	// ShortWaitRatio is the p99 wait of short tasks with long work present
	// relative to the same run without it.
	ShortWaitRatio Figure
	// FairnessRatio is the p99 response time of all callers but a greedy one
	// relative to their p99 alone.
	FairnessRatio Figure
	// WastedPerTask is that of the run at 80% load.
	WastedPerTask  Figure
	DoubleStarts   int
	PartialAnswers int
	FalseNotRun    int
	// PlatformWritesPerSecond and PlatformReadsPerSecond are those of one fleet,
	// the highest of all experiments.
	PlatformWritesPerSecond Figure
	PlatformReadsPerSecond  Figure

	details details
}

// details is what the text and the page show beyond the fields of Row.
type details struct {
	slowdown slowdown
	crest    crest
	// shortAlone, shortLong, fairAlone and fairGreedy are the samples of the
	// pairs.
	shortAlone, shortLong []time.Duration
	fairAlone, fairGreedy []time.Duration
	// slowTargets has the response times with slow targets.
	slowTargets []time.Duration
	// fairAloneMissed and fairGreedyMissed are the shares of the jobs in
	// fairAlone and fairGreedy without a complete answer.
	fairAloneMissed, fairGreedyMissed float64
	crossed                           int
	starts                            int
	jobs                              int
	// late is the worst of all experiments.
	late lateness
	// dropped are the scenarios whose observations were dropped.
	dropped []string
	// waste is that of the run at steady load.
	waste Waste
}

// Report is the result of all runs.
type Report struct {
	Runs []Row

	// mode says how the runs were made, in a few words.
	mode    string
	elapsed time.Duration
}

// WriteJSON writes one object with the fields of Row.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Annotate(encoder.Encode(r), "write the report as JSON")
}

// measure is a row of the table of targets that a run can meet or miss.
type measure struct {
	name string
	// bound is the target from section 2 of docs/design.md.
	bound float64
	// atLeast says that the figure is to be at least the bound; otherwise at
	// most.
	atLeast bool
	figure  func(Row) Figure
}

func (m measure) target() string {
	if m.atLeast {
		return fmt.Sprintf(">= %g", m.bound)
	}
	return fmt.Sprintf("<= %g", m.bound)
}

// met reports whether the figure meets the target; a figure that was not
// measured does not.
func (m measure) met(figure Figure) bool {
	if m.atLeast {
		return float64(figure) >= m.bound
	}
	return float64(figure) <= m.bound
}

// measures returns the rows of the table of targets that concern load.
func measures() []measure {
	return []measure{
		{name: "slowdown, median", bound: 1.10, figure: func(r Row) Figure { return r.MedianSlowdown }},
		{name: "slowdown, p99", bound: 1.5, figure: func(r Row) Figure { return r.P99Slowdown }},
		{name: "median of all / ideal's", bound: 1.10, figure: func(r Row) Figure {
			return measuredIf(r.details.slowdown.ratios != nil, r.details.slowdown.medianOfAll)
		}},
		{name: "p99 of all / ideal's", bound: 1.5, figure: func(r Row) Figure {
			return measuredIf(r.details.slowdown.ratios != nil, r.details.slowdown.p99OfAll)
		}},
		{name: "crest goodput", bound: 0.97, atLeast: true, figure: func(r Row) Figure { return r.CrestGoodput }},
		{name: "crest deadline met", bound: 0.99, atLeast: true, figure: func(r Row) Figure { return r.CrestDeadlineMet }},
		{name: "crest refusal p99, ms", bound: 10, figure: func(r Row) Figure {
			return refusalMilliseconds(r.details.crest)
		}},
		{name: "crest recovery, s", bound: 1, figure: func(r Row) Figure {
			return measuredIf(r.details.crest.perBin != nil, r.details.crest.recovery.Seconds())
		}},
		{name: "short wait ratio", bound: 2, figure: func(r Row) Figure { return r.ShortWaitRatio }},
		{name: "fairness ratio", bound: 1.2, figure: func(r Row) Figure { return r.FairnessRatio }},
		{name: "wasted messages/task", bound: 0.05, figure: func(r Row) Figure { return r.WastedPerTask }},
		{name: "double starts", figure: func(r Row) Figure { return Figure(r.DoubleStarts) }},
		{name: "partial answers", figure: func(r Row) Figure { return Figure(r.PartialAnswers) }},
		{name: "crossed answers", figure: func(r Row) Figure { return Figure(r.details.crossed) }},
		{name: "false not run", figure: func(r Row) Figure { return Figure(r.FalseNotRun) }},
		{name: "platform writes/s", bound: 150, figure: func(r Row) Figure { return r.PlatformWritesPerSecond }},
		{name: "platform reads/s", bound: 400, figure: func(r Row) Figure { return r.PlatformReadsPerSecond }},
	}
}

func refusalMilliseconds(seen crest) Figure {
	return measuredIf(seen.refusals > 0, seen.refusalP99.Seconds()*1000)
}

func measuredIf(measured bool, value float64) Figure {
	if !measured {
		return Figure(math.NaN())
	}
	return Figure(value)
}

// WriteText writes one table a workload and seed, with the target beside the
// figures. An asterisk marks a figure that misses its target.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, %.1f s in total; * misses the target, - was not measured\n", r.mode, r.elapsed.Seconds())
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

// warning returns a line about limits of the machine, or nothing.
func (r Report) warning() string {
	var worst lateness
	var dropped []string
	for _, row := range r.Runs {
		worst = worst.worst(row.details.late)
		dropped = append(dropped, row.details.dropped...)
	}
	var warnings []string
	if worst.busy() {
		warnings = append(warnings, fmt.Sprintf("The machine was busy: timers fired up to %.0f ms late (p99 %.1f ms), so short times are upper bounds.",
			worst.longest.Seconds()*1000, worst.p99.Seconds()*1000))
	}
	if len(dropped) > 0 {
		slices.Sort(dropped)
		warnings = append(warnings, fmt.Sprintf("Out of open files, not measured: %s.", strings.Join(slices.Compact(dropped), ", ")))
	}
	return strings.Join(warnings, " ")
}

// groups returns the runs by workload and seed, in the order of the runs.
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
		row = []string{m.name, m.target()}
		for _, run := range runs {
			row = append(row, mark(m, m.figure(run)))
		}
		fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	}
	for _, note := range notes() {
		row = []string{note.name, ""}
		for _, run := range runs {
			row = append(row, note.value(run.details)+" ")
		}
		fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	}
	return table.Flush()
}

func mark(m measure, figure Figure) string {
	if math.IsNaN(float64(figure)) || m.met(figure) {
		return figure.String() + " "
	}
	return figure.String() + "*"
}

// note is a row of the text that has no target.
type note struct {
	name  string
	value func(details) string
}

func notes() []note {
	milliseconds := func(value time.Duration) string { return fmt.Sprintf("%.1f", value.Seconds()*1000) }
	quantile := func(values []time.Duration, percent float64) string {
		if len(values) == 0 {
			return "-"
		}
		return milliseconds(durationQuantile(values, percent))
	}
	return []note{
		{"waste: links, platform", func(d details) string { return fmt.Sprintf("%d, %d", d.waste.Links, d.waste.Platform) }},
		{"waste: targets, callers", func(d details) string { return fmt.Sprintf("%d, %d", d.waste.Targets, d.waste.Callers) }},
		{"ideal at the median", func(d details) string { return d.slowdown.medianBy.String() }},
		{"ideal at p99", func(d details) string { return d.slowdown.p99By.String() }},
		{"crest jobs accepted", func(d details) string { return fmt.Sprint(d.crest.accepted) }},
		{"crest jobs refused", func(d details) string { return fmt.Sprint(d.crest.refusals) }},
		{"short wait p99 alone, ms", func(d details) string { return quantile(d.shortAlone, 99) }},
		{"short wait p99 with long, ms", func(d details) string { return quantile(d.shortLong, 99) }},
		{"others' p99 alone, ms", func(d details) string { return quantile(d.fairAlone, 99) }},
		{"others' p99 with greedy, ms", func(d details) string { return quantile(d.fairGreedy, 99) }},
		{"others without answer, alone", func(d details) string { return fmt.Sprintf("%.2f%%", 100*d.fairAloneMissed) }},
		{"others without answer, greedy", func(d details) string { return fmt.Sprintf("%.2f%%", 100*d.fairGreedyMissed) }},
		{"slow targets: median, ms", func(d details) string { return quantile(d.slowTargets, 50) }},
		{"slow targets: p99, ms", func(d details) string { return quantile(d.slowTargets, 99) }},
		{"timers late, p99, ms", func(d details) string { return milliseconds(d.late.p99) }},
		{"timers late, longest, ms", func(d details) string { return milliseconds(d.late.longest) }},
		{"jobs submitted", func(d details) string { return fmt.Sprint(d.jobs) }},
		{"tasks started", func(d details) string { return fmt.Sprint(d.starts) }},
	}
}
