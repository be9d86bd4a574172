package rattandemo

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// kindSummary counts the answers of one job kind.
type kindSummary struct {
	jobs int
	// answers counts by state, reason and execution.
	answers map[string]int
	// response holds the response times of complete answers, in microseconds.
	response *hdrhistogram.Histogram
}

// observe counts the answer to the first submission of a job.
func (d *demo) observe(kind string, took time.Duration, answer rattanjob.Answer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	summary, ok := d.kinds[kind]
	if !ok {
		summary = &kindSummary{answers: map[string]int{}, response: hdrhistogram.New(1, resolveTimeout.Microseconds(), 2)}
		d.kinds[kind] = summary
	}
	summary.jobs++
	summary.answers[describeAnswer(answer)]++
	if answer.State == rattanjob.StateComplete {
		_ = summary.response.RecordValue(took.Microseconds())
	}
}

// skip counts a job that was not submitted for lack of a key.
func (d *demo) skip() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.keyless++
}

// report prints what happened and returns the number of broken invariants.
func (d *demo) report(began time.Time) int {
	starts := d.system.Starts()
	d.options.Fault.inject(d.history, starts)
	violations := d.history.Check(starts)
	resubmissions := uint64(0)
	for _, client := range d.clients {
		resubmissions += client.Resubmissions.Load()
	}
	d.printf("%d jobs, %d tasks started, %d requests sent again with the same key, %d jobs not submitted for lack of a key\n",
		d.history.Len(), d.system.Log.Starts(), resubmissions, d.keyless)
	d.reportKinds()
	d.printf("longest time to resolve a job of the killed instance: %v\n", time.Duration(d.lost.longest.Load()).Round(time.Millisecond))
	counts := d.system.Platform.Counts()
	d.printf("platform calls: %.1f reads/s, %.1f writes/s\n", counts.Reads.PerSecond, counts.Writes.PerSecond)
	for _, violation := range violations {
		d.printf("VIOLATION %v %s: %s\n", violation.Invariant, violation.SubmissionID, violation.Detail)
	}
	d.printf("%d violations, %v in all\n", len(violations), time.Since(began).Round(time.Millisecond))
	return len(violations)
}

// reportKinds prints a row for each job kind, and one for each way in which
// its jobs ended other than complete.
func (d *demo) reportKinds() {
	table := tabwriter.NewWriter(d.options.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "job kind\tjobs\tcomplete\tmedian\tp99\tother answers")
	for _, kind := range slices.Sorted(maps.Keys(d.kinds)) {
		summary := d.kinds[kind]
		complete, others := 0, ""
		for _, answer := range slices.Sorted(maps.Keys(summary.answers)) {
			if answer == completeAnswer {
				complete = summary.answers[answer]
				continue
			}
			others += fmt.Sprintf("%d %s  ", summary.answers[answer], answer)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%s\n", kind, summary.jobs, complete, summary.quantile(50), summary.quantile(99), others)
	}
	_ = table.Flush()
}

// quantile returns a response time of complete answers in whole milliseconds.
func (s *kindSummary) quantile(percent float64) time.Duration {
	return (time.Duration(s.response.ValueAtQuantile(percent)) * time.Microsecond).Round(time.Millisecond)
}

// completeAnswer is the description of a complete answer.
var completeAnswer = describeAnswer(rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan})

// describeAnswer returns how a job ended.
func describeAnswer(answer rattanjob.Answer) string {
	if answer.Reason == rattanjob.ReasonNone {
		return fmt.Sprintf("%v/%v", answer.State, answer.Execution)
	}
	return fmt.Sprintf("%v/%v/%v", answer.State, answer.Reason, answer.Execution)
}
