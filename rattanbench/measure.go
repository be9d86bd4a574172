package rattanbench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanlever/rattanlever/rattanjob"
)

const (
	// waitFloor is the shortest p99 wait that a ratio distinguishes: a network
	// round trip.
	waitFloor = time.Millisecond
	// unanswered is the slowdown of a job without a complete answer.
	unanswered = 1000
	// ratioScale is the resolution of ratios in histograms.
	ratioScale = 1000
)

// slowdown is the response time of jobs relative to the ideal.
type slowdown struct {
	// ratios has one element a counted job.
	ratios   []float64
	median   float64
	p99      float64
	medianBy Order
	p99By    Order
	// medianOfAll and p99OfAll compare the quantiles of all response times with
	// the same quantile of the ideal, instead of job by job.
	medianOfAll, p99OfAll float64
}

// measureSlowdown compares each job with the same job under the ideal whose
// order gives the lower response time at the quantile in question.
func measureSlowdown(e Experiment, outcomes []Outcome) slowdown {
	var result slowdown
	orders := []Order{OrderFIFO, OrderSmallest}
	ideals := make([][]time.Duration, len(orders))
	for i, order := range orders {
		ideals[i] = Ideal(e.Jobs, e.Fleet.Slots(), order)
	}
	measuredAll := responses(e.counted(), outcomes)
	better := func(quantile float64) (Order, float64) {
		fifo := durationQuantile(pickIdeal(e, ideals[OrderFIFO]), quantile)
		smallest := durationQuantile(pickIdeal(e, ideals[OrderSmallest]), quantile)
		measured := durationQuantile(measuredAll, quantile)
		if smallest < fifo {
			return OrderSmallest, ratio(measured, smallest)
		}
		return OrderFIFO, ratio(measured, fifo)
	}
	result.medianBy, result.medianOfAll = better(50)
	result.p99By, result.p99OfAll = better(99)
	result.ratios = jobRatios(e, outcomes, ideals[result.medianBy])
	result.median = ratioQuantile(result.ratios, 50)
	result.p99 = ratioQuantile(jobRatios(e, outcomes, ideals[result.p99By]), 99)
	return result
}

func jobRatios(e Experiment, outcomes []Outcome, ideal []time.Duration) []float64 {
	var ratios []float64
	for _, job := range e.counted() {
		outcome := outcomes[job.Index]
		if outcome.State != rattanjob.StateComplete {
			ratios = append(ratios, unanswered)
			continue
		}
		ratios = append(ratios, ratio(outcome.Response, ideal[job.Index]))
	}
	return ratios
}

func pickIdeal(e Experiment, ideal []time.Duration) []time.Duration {
	var picked []time.Duration
	for _, job := range e.counted() {
		picked = append(picked, ideal[job.Index])
	}
	return picked
}

// responses returns the response times of the jobs; a job without a complete
// answer counts with at least its deadline.
func responses(jobs []Job, outcomes []Outcome) []time.Duration {
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

// answeredResponses returns the response times of the jobs with a complete
// answer. The denominators of ratios are made of them, so that refusals never
// improve a ratio.
func answeredResponses(jobs []Job, outcomes []Outcome) []time.Duration {
	answered := slices.DeleteFunc(slices.Clone(jobs), func(job Job) bool {
		return outcomes[job.Index].State != rattanjob.StateComplete
	})
	return responses(answered, outcomes)
}

// crest is the service at the peak of a demand swing.
type crest struct {
	// goodput is the share of capacity during the crest that went to tasks of
	// jobs that were completed within their deadline.
	goodput float64
	// deadlineMet is the share of accepted jobs that arrived in the crest and
	// were completed within their deadline.
	deadlineMet float64
	accepted    int
	refusals    int
	refusalP99  time.Duration
	// recovery is the time from the end of the crest to the arrival of the last
	// job that was refused or not completed in time.
	recovery time.Duration
	// perBin is the goodput in periods of timelineBin from the start of the run.
	perBin []float64
}

const timelineBin = 250 * time.Millisecond

func measureCrest(e Experiment, seen Observation) crest {
	result := crest{}
	var refusals []time.Duration
	met := 0
	for _, job := range e.Jobs {
		outcome := seen.Outcomes[job.Index]
		refusedAtOnce := outcome.State == rattanjob.StateRefused && outcome.Reason != rattanjob.ReasonDeadlinePassed
		good := inTime(job, outcome)
		if !good && job.At > e.CrestEnd {
			result.recovery = job.At - e.CrestEnd
		}
		if refusedAtOnce {
			refusals = append(refusals, outcome.Response)
		}
		if job.At < e.CrestBegin || job.At >= e.CrestEnd || refusedAtOnce {
			continue
		}
		result.accepted++
		if good {
			met++
		}
	}
	result.refusals = len(refusals)
	result.refusalP99 = durationQuantile(refusals, 99)
	result.deadlineMet = float64(met) / float64(max(result.accepted, 1))
	result.goodput = goodput(e, seen, e.CrestBegin, e.CrestEnd)
	last := e.Jobs[len(e.Jobs)-1].At
	for at := time.Duration(0); at+timelineBin <= last; at += timelineBin {
		result.perBin = append(result.perBin, goodput(e, seen, at, at+timelineBin))
	}
	return result
}

func inTime(job Job, outcome Outcome) bool {
	return outcome.State == rattanjob.StateComplete && outcome.Response <= job.Deadline
}

// goodput returns the share of the slots' time in the period that went to tasks
// of jobs that were completed within their deadline.
func goodput(e Experiment, seen Observation, begin, end time.Duration) float64 {
	var useful time.Duration
	for _, start := range seen.Starts {
		if !inTime(e.Jobs[start.Job], seen.Outcomes[start.Job]) {
			continue
		}
		useful += max(0, min(start.End, end)-max(start.Begin, begin))
	}
	return useful.Seconds() / ((end - begin).Seconds() * float64(e.Fleet.Slots()))
}

// startedWaits returns the times from arrival to start of the tasks that were
// started, of all jobs that are not long.
func startedWaits(e Experiment, seen Observation) []time.Duration {
	var waits []time.Duration
	for _, start := range seen.Starts {
		job := e.Jobs[start.Job]
		if !job.Long && job.At >= e.WarmUp {
			waits = append(waits, start.Begin-job.At)
		}
	}
	return waits
}

// shortWaits returns startedWaits and the deadline for each task that was never
// started.
func shortWaits(e Experiment, seen Observation) []time.Duration {
	started := map[int]int{}
	for _, start := range seen.Starts {
		started[start.Job]++
	}
	waits := startedWaits(e, seen)
	for _, job := range e.counted() {
		for range len(job.RunTimes) - started[job.Index] {
			if !job.Long {
				waits = append(waits, job.Deadline)
			}
		}
	}
	return waits
}

// waitRatio returns the relation of two p99 waits, both at least waitFloor.
func waitRatio(with, alone []time.Duration) float64 {
	return ratio(max(durationQuantile(with, 99), waitFloor), max(durationQuantile(alone, 99), waitFloor))
}

// others returns the counted jobs of all callers but the greedy one.
func others(e Experiment) []Job {
	return slices.DeleteFunc(slices.Clone(e.counted()), func(job Job) bool { return job.Caller == greedyCaller })
}

// otherMissed returns the share of jobs of the same callers without a complete
// answer. With the greedy caller they count with their deadline.
func otherMissed(e Experiment, seen Observation) float64 {
	jobs := others(e)
	missed := 0
	for _, job := range jobs {
		if seen.Outcomes[job.Index].State != rattanjob.StateComplete {
			missed++
		}
	}
	return float64(missed) / float64(max(len(jobs), 1))
}

// integrity counts violations of the invariants in one run.
type integrity struct {
	doubleStarts   int
	partialAnswers int
	falseNotRun    int
	crossed        int
	starts         int
}

func measureIntegrity(jobs []Job, seen Observation) integrity {
	type taskID struct{ job, task int }
	result := integrity{starts: len(seen.Starts)}
	counts := map[taskID]int{}
	startedJobs := map[int]bool{}
	for _, start := range seen.Starts {
		id := taskID{job: start.Job, task: start.Task}
		counts[id]++
		startedJobs[start.Job] = true
		if counts[id] > 1 {
			result.doubleStarts++
		}
	}
	for _, job := range jobs {
		outcome := seen.Outcomes[job.Index]
		complete := outcome.State == rattanjob.StateComplete
		if complete != (outcome.Results == len(job.RunTimes)) && (complete || outcome.Results > 0) {
			result.partialAnswers++
		}
		if outcome.Execution == rattanjob.ExecutionNotRun && startedJobs[job.Index] {
			result.falseNotRun++
		}
		if outcome.Misplaced > 0 {
			result.crossed++
		}
	}
	return result
}

func (i *integrity) add(other integrity) {
	i.doubleStarts += other.doubleStarts
	i.partialAnswers += other.partialAnswers
	i.falseNotRun += other.falseNotRun
	i.crossed += other.crossed
	i.starts += other.starts
}

// newHistogram returns a histogram with three significant digits, for
// microseconds or for ratios in thousandths.
func newHistogram() *hdrhistogram.Histogram {
	const largest = int64(time.Hour / time.Microsecond)
	return hdrhistogram.New(1, largest, 3)
}

// durationQuantile returns 0 for no values.
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
