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

// kindSummary summarises the answers to jobs of one kind.
type kindSummary struct {
	jobs int
	// answers counts the answers by state, reason and execution.
	answers map[string]int
	// responseTimes has the response times of complete answers in microseconds.
	responseTimes *hdrhistogram.Histogram
}

// recordAnswer records the answer to the first submission of a job.
func (d *demo) recordAnswer(kind string, responseTime time.Duration, answer rattanjob.Answer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	summary, ok := d.kinds[kind]
	if !ok {
		summary = &kindSummary{answers: map[string]int{}, responseTimes: hdrhistogram.New(1, jobTimeout.Microseconds(), 2)}
		d.kinds[kind] = summary
	}
	summary.jobs++
	summary.answers[describeAnswer(answer)]++
	if answer.State == rattanjob.StateComplete {
		_ = summary.responseTimes.RecordValue(responseTime.Microseconds())
	}
}

// countJobWithoutKey counts a job that was not submitted because no key was
// issued for it.
func (d *demo) countJobWithoutKey() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.jobsWithoutKey++
}

// report checks the history, prints a summary and returns the number of invariant
// violations.
func (d *demo) report(started time.Time) int {
	starts := d.system.StartsPerTask()
	d.options.Fault.inject(d.history, starts)
	violations := d.history.Check(starts)
	resubmissions := uint64(0)
	for _, client := range d.clients {
		resubmissions += client.Resubmissions.Load()
	}
	d.printf("%d jobs, %d tasks started, %d requests repeated with the same key, %d jobs not submitted because no key was issued\n",
		d.history.Len(), d.system.StartLog.Starts(), resubmissions, d.jobsWithoutKey)
	d.reportKinds()
	d.printf("longest time until the final answer to a job of the killed instance: %v\n", time.Duration(d.recovery.longest.Load()).Round(time.Millisecond))
	counts := d.system.Platform.Counts()
	d.printf("platform calls: %.1f reads/s, %.1f writes/s\n", counts.Reads.PerSecond, counts.Writes.PerSecond)
	for _, violation := range violations {
		d.printf("VIOLATION %v %s: %s\n", violation.Invariant, violation.SubmissionID, violation.Detail)
	}
	d.printf("%d violations, total time %v\n", len(violations), time.Since(started).Round(time.Millisecond))
	return len(violations)
}

// reportKinds prints a table with a row for each job kind. Its last column counts
// the answers that are not complete.
func (d *demo) reportKinds() {
	table := tabwriter.NewWriter(d.options.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "job kind\tjobs\tcomplete\tmedian\tp99\tother answers")
	for _, kind := range slices.Sorted(maps.Keys(d.kinds)) {
		summary := d.kinds[kind]
		completeCount, otherAnswers := 0, ""
		for _, answer := range slices.Sorted(maps.Keys(summary.answers)) {
			if answer == completeAnswer {
				completeCount = summary.answers[answer]
				continue
			}
			otherAnswers += fmt.Sprintf("%d %s  ", summary.answers[answer], answer)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%s\n", kind, summary.jobs, completeCount, summary.quantile(50), summary.quantile(99), otherAnswers)
	}
	_ = table.Flush()
}

// quantile returns a quantile of the response times of complete answers, rounded
// to milliseconds.
func (s *kindSummary) quantile(percent float64) time.Duration {
	return (time.Duration(s.responseTimes.ValueAtQuantile(percent)) * time.Microsecond).Round(time.Millisecond)
}

// completeAnswer is the description of a complete answer.
var completeAnswer = describeAnswer(rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan})

// describeAnswer returns the state, the reason if any, and the execution of an
// answer.
func describeAnswer(answer rattanjob.Answer) string {
	if answer.Reason == rattanjob.ReasonNone {
		return fmt.Sprintf("%v/%v", answer.State, answer.Execution)
	}
	return fmt.Sprintf("%v/%v/%v", answer.State, answer.Reason, answer.Execution)
}
