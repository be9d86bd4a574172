package rattanbench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanlever/rattanlever/rattanjob"
)

const (
	// waitFloor is the lower bound of p99 waits in ratios, about a network round
	// trip. Differences between shorter waits do not affect a ratio.
	waitFloor = time.Millisecond
	// unansweredSlowdown is the slowdown assigned to a job without a complete
	// answer.
	unansweredSlowdown = 1000
	// ratioScale is the number of histogram units per unit of a ratio.
	ratioScale = 1000
)

// slowdown holds the response times of jobs relative to the ideal scheduler.
type slowdown struct {
	// ratios has one element for each measured job.
	ratios      []float64
	median      float64
	p99         float64
	medianOrder Order
	p99Order    Order
	// medianQuantileRatio and p99QuantileRatio are quantiles of the response times
	// divided by the same quantiles under the ideal scheduler, not quantiles of the
	// ratios of single jobs.
	medianQuantileRatio, p99QuantileRatio float64
}

// measureSlowdown compares each job with the same job under the ideal scheduler.
// For each quantile it uses the service order with the lower ideal response time
// at this quantile.
func measureSlowdown(e Experiment, outcomes []Outcome) slowdown {
	var result slowdown
	orders := []Order{OrderFIFO, OrderSmallestFirst}
	idealResponses := make([][]time.Duration, len(orders))
	for i, order := range orders {
		idealResponses[i] = Ideal(e.Jobs, e.Fleet.Slots(), order)
	}
	allResponses := responseTimes(e.measuredJobs(), outcomes)
	compareQuantile := func(percent float64) (Order, float64) {
		fifo := durationQuantile(selectMeasured(e, idealResponses[OrderFIFO]), percent)
		smallest := durationQuantile(selectMeasured(e, idealResponses[OrderSmallestFirst]), percent)
		measured := durationQuantile(allResponses, percent)
		if smallest < fifo {
			return OrderSmallestFirst, ratio(measured, smallest)
		}
		return OrderFIFO, ratio(measured, fifo)
	}
	result.medianOrder, result.medianQuantileRatio = compareQuantile(50)
	result.p99Order, result.p99QuantileRatio = compareQuantile(99)
	result.ratios = jobSlowdowns(e, outcomes, idealResponses[result.medianOrder])
	result.median = ratioQuantile(result.ratios, 50)
	result.p99 = ratioQuantile(jobSlowdowns(e, outcomes, idealResponses[result.p99Order]), 99)
	return result
}

func jobSlowdowns(e Experiment, outcomes []Outcome, ideal []time.Duration) []float64 {
	var ratios []float64
	for _, job := range e.measuredJobs() {
		outcome := outcomes[job.Index]
		if outcome.State != rattanjob.StateComplete {
			ratios = append(ratios, unansweredSlowdown)
			continue
		}
		ratios = append(ratios, ratio(outcome.Response, ideal[job.Index]))
	}
	return ratios
}

func selectMeasured(e Experiment, ideal []time.Duration) []time.Duration {
	var selected []time.Duration
	for _, job := range e.measuredJobs() {
		selected = append(selected, ideal[job.Index])
	}
	return selected
}

// responseTimes returns the response times of the jobs. The response time of a
// job without a complete answer is at least its deadline.
func responseTimes(jobs []Job, outcomes []Outcome) []time.Duration {
	var times []time.Duration
	for _, job := range jobs {
		outcome := outcomes[job.Index]
		response := outcome.Response
		if outcome.State != rattanjob.StateComplete {
			response = max(response, job.Deadline)
		}
		times = append(times, response)
	}
	return times
}

// completeResponseTimes returns the response times of the jobs with a complete
// answer. They are used for the denominators of ratios, so that refusals never
// improve a ratio.
func completeResponseTimes(jobs []Job, outcomes []Outcome) []time.Duration {
	completeJobs := slices.DeleteFunc(slices.Clone(jobs), func(job Job) bool {
		return outcomes[job.Index].State != rattanjob.StateComplete
	})
	return responseTimes(completeJobs, outcomes)
}

// peakMeasures holds the measures of ScenarioPeak.
type peakMeasures struct {
	// goodput is the share of the capacity during the peak that was used by tasks
	// of jobs that were completed within their deadline.
	goodput float64
	// deadlineMet is the share of jobs completed within their deadline among the
	// jobs that arrived during the peak and were accepted.
	deadlineMet float64
	accepted    int
	refusals    int
	refusalP99  time.Duration
	// recovery is the time from the end of the peak to the arrival of the last
	// job that was refused or not completed within its deadline.
	recovery time.Duration
	// timeline is the goodput in intervals of timelineBin from the start of the
	// run.
	timeline []float64
}

const timelineBin = 250 * time.Millisecond

func measurePeak(e Experiment, observation Observation) peakMeasures {
	result := peakMeasures{}
	var refusals []time.Duration
	metCount := 0
	for _, job := range e.Jobs {
		outcome := observation.Outcomes[job.Index]
		refusedOnArrival := outcome.State == rattanjob.StateRefused && outcome.Reason != rattanjob.ReasonDeadlinePassed
		metDeadline := completedInTime(job, outcome)
		if !metDeadline && job.Arrival > e.PeakEnd {
			result.recovery = job.Arrival - e.PeakEnd
		}
		if refusedOnArrival {
			refusals = append(refusals, outcome.Response)
		}
		if job.Arrival < e.PeakBegin || job.Arrival >= e.PeakEnd || refusedOnArrival {
			continue
		}
		result.accepted++
		if metDeadline {
			metCount++
		}
	}
	result.refusals = len(refusals)
	result.refusalP99 = durationQuantile(refusals, 99)
	result.deadlineMet = float64(metCount) / float64(max(result.accepted, 1))
	result.goodput = goodput(e, observation, e.PeakBegin, e.PeakEnd)
	last := e.Jobs[len(e.Jobs)-1].Arrival
	for begin := time.Duration(0); begin+timelineBin <= last; begin += timelineBin {
		result.timeline = append(result.timeline, goodput(e, observation, begin, begin+timelineBin))
	}
	return result
}

func completedInTime(job Job, outcome Outcome) bool {
	return outcome.State == rattanjob.StateComplete && outcome.Response <= job.Deadline
}

// goodput returns the share of slot time in the period that was used by tasks of
// jobs that were completed within their deadline.
func goodput(e Experiment, observation Observation, begin, end time.Duration) float64 {
	var useful time.Duration
	for _, start := range observation.Starts {
		if !completedInTime(e.Jobs[start.Job], observation.Outcomes[start.Job]) {
			continue
		}
		useful += max(0, min(start.End, end)-max(start.Begin, begin))
	}
	return useful.Seconds() / ((end - begin).Seconds() * float64(e.Fleet.Slots()))
}

// startedTaskWaits returns the times from arrival to start of all started tasks
// of jobs that are not long.
func startedTaskWaits(e Experiment, observation Observation) []time.Duration {
	var waits []time.Duration
	for _, start := range observation.Starts {
		job := e.Jobs[start.Job]
		if !job.Long && job.Arrival >= e.WarmUp {
			waits = append(waits, start.Begin-job.Arrival)
		}
	}
	return waits
}

// shortTaskWaits returns the waits of startedTaskWaits, and the deadline of the
// job for each task that was not started.
func shortTaskWaits(e Experiment, observation Observation) []time.Duration {
	started := map[int]int{}
	for _, start := range observation.Starts {
		started[start.Job]++
	}
	waits := startedTaskWaits(e, observation)
	for _, job := range e.measuredJobs() {
		for range len(job.RunTimes) - started[job.Index] {
			if !job.Long {
				waits = append(waits, job.Deadline)
			}
		}
	}
	return waits
}

// waitRatio returns the ratio of two p99 waits. Waits below waitFloor count as
// waitFloor.
func waitRatio(withLong, alone []time.Duration) float64 {
	return ratio(max(durationQuantile(withLong, 99), waitFloor), max(durationQuantile(alone, 99), waitFloor))
}

// otherCallerJobs returns the measured jobs of all callers except the greedy one.
func otherCallerJobs(e Experiment) []Job {
	return slices.DeleteFunc(slices.Clone(e.measuredJobs()), func(job Job) bool { return job.Caller == greedyCaller })
}

// incompleteShare returns the share of the jobs of otherCallerJobs without a
// complete answer. In ScenarioOthersWithGreedy the response time of such a job is
// at least its deadline.
func incompleteShare(e Experiment, observation Observation) float64 {
	jobs := otherCallerJobs(e)
	incomplete := 0
	for _, job := range jobs {
		if observation.Outcomes[job.Index].State != rattanjob.StateComplete {
			incomplete++
		}
	}
	return float64(incomplete) / float64(max(len(jobs), 1))
}

// violations counts the violations of invariants, and all task starts.
type violations struct {
	doubleStarts      int
	partialAnswers    int
	falseNotRun       int
	mismatchedAnswers int
	starts            int
}

func countViolations(jobs []Job, observation Observation) violations {
	type taskID struct{ job, task int }
	result := violations{starts: len(observation.Starts)}
	startCounts := map[taskID]int{}
	startedJobs := map[int]bool{}
	for _, start := range observation.Starts {
		id := taskID{job: start.Job, task: start.Task}
		startCounts[id]++
		startedJobs[start.Job] = true
		if startCounts[id] > 1 {
			result.doubleStarts++
		}
	}
	for _, job := range jobs {
		outcome := observation.Outcomes[job.Index]
		complete := outcome.State == rattanjob.StateComplete
		if complete != (outcome.Results == len(job.RunTimes)) && (complete || outcome.Results > 0) {
			result.partialAnswers++
		}
		if outcome.Execution == rattanjob.ExecutionNotRun && startedJobs[job.Index] {
			result.falseNotRun++
		}
		if outcome.Mismatched > 0 {
			result.mismatchedAnswers++
		}
	}
	return result
}

func (v *violations) add(other violations) {
	v.doubleStarts += other.doubleStarts
	v.partialAnswers += other.partialAnswers
	v.falseNotRun += other.falseNotRun
	v.mismatchedAnswers += other.mismatchedAnswers
	v.starts += other.starts
}

// newHistogram returns a histogram with three significant digits, for values in
// microseconds or ratios in units of 1/ratioScale.
func newHistogram() *hdrhistogram.Histogram {
	const largest = int64(time.Hour / time.Microsecond)
	return hdrhistogram.New(1, largest, 3)
}

// durationQuantile returns a quantile of the values, or 0 if there are none.
func durationQuantile(values []time.Duration, percent float64) time.Duration {
	histogram := newHistogram()
	for _, value := range values {
		_ = histogram.RecordValue(max(1, value.Microseconds()))
	}
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func ratioQuantile(values []float64, percent float64) float64 {
	histogram := newHistogram()
	for _, value := range values {
		_ = histogram.RecordValue(max(1, int64(value*ratioScale)))
	}
	return float64(histogram.ValueAtQuantile(percent)) / ratioScale
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(max(b, 1))
}
