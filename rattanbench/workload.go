package rattanbench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names of the workloads.
const (
	listaforge     = "Listaforge"
	transcriptDesk = "TranscriptDesk"
)

// stragglerFactor is the run time of a straggler relative to the shortest task of
// its kind.
const stragglerFactor = 100

// maxDeclaredError is the largest factor by which a declared run time is too high
// or too low.
const maxDeclaredError = 10

// Job is one submission of a workload. It includes the true run times, which only
// the generator and the ideal scheduler know.
type Job struct {
	// Index is the position of the job in the order of arrivals.
	Index int
	// Arrival is the scheduled arrival, relative to the start of the run. Response
	// times are measured from it.
	Arrival time.Duration
	Caller  string
	Kind    string
	// Long is true for jobs whose tasks run for seconds.
	Long       bool
	Idempotent bool
	// Deadline is relative to Arrival.
	Deadline time.Duration
	// Declared is the run time of a task that the caller declares. It is wrong by a
	// factor of up to maxDeclaredError.
	Declared time.Duration
	// RunTimes are the true run times of the tasks.
	RunTimes []time.Duration
}

// Work returns the total run time of all tasks of the job.
func (j Job) Work() time.Duration {
	var work time.Duration
	for _, runTime := range j.RunTimes {
		work += runTime
	}
	return work
}

// JobKind describes the jobs of one kind.
type JobKind struct {
	Name string
	// WorkShare is the share of the workload's slot time, above 0.
	WorkShare float64
	// MinTasks and MaxTasks bound the number of tasks, which is drawn
	// log-uniformly.
	MinTasks, MaxTasks int
	// Median, Sigma, Min and Max describe the log-normal distribution of the run
	// times of tasks that are neither in the tail nor stragglers.
	Median   time.Duration
	Sigma    float64
	Min, Max time.Duration
	// TailShare is the share of tasks whose run times have a Pareto distribution
	// (shape 1.5) from Median to TailMax.
	TailShare float64
	TailMax   time.Duration
	// StragglerShare is the share of tasks that run for stragglerFactor times Min,
	// but at most for half the deadline.
	StragglerShare float64
	Deadline       time.Duration
	Long           bool
	Idempotent     bool
}

// CallerShare is a caller and its share of the jobs of a workload.
type CallerShare struct {
	Name string
	// Share is relative to the other callers of the workload, above 0.
	Share float64
}

// Workload is a mix of job kinds and callers.
type Workload struct {
	Name    string
	Kinds   []JobKind
	Callers []CallerShare
}

// Segment is a period of constant offered load.
type Segment struct {
	Duration time.Duration
	// Load is the offered slot time relative to the capacity of the fleet.
	Load float64
}

// Listaforge returns the workload of the shopping-list application: shop lists
// from the app, small lists at the counter, and catalogue jobs of up to 250 tasks.
func Listaforge() Workload {
	return Workload{
		Name: listaforge,
		Kinds: []JobKind{
			{
				Name: "CounterList", WorkShare: 0.15, MinTasks: 1, MaxTasks: 8,
				Median: 120 * time.Millisecond, Sigma: 0.4, Min: 50 * time.Millisecond, Max: 600 * time.Millisecond,
				Deadline: 2 * time.Second, Idempotent: true,
			},
			{
				Name: "ShopList", WorkShare: 0.45, MinTasks: 1, MaxTasks: 60,
				Median: 250 * time.Millisecond, Sigma: 0.6, Min: 50 * time.Millisecond, Max: time.Second,
				TailShare: 0.02, TailMax: 3 * time.Second, Deadline: 6 * time.Second, Idempotent: true,
			},
			{
				Name: "Catalogue", WorkShare: 0.40, MinTasks: 60, MaxTasks: 250,
				Median: 300 * time.Millisecond, Sigma: 0.6, Min: 50 * time.Millisecond, Max: time.Second,
				TailShare: 0.02, TailMax: 5 * time.Second, StragglerShare: 0.001, Deadline: 12 * time.Second, Idempotent: true,
			},
		},
		Callers: []CallerShare{{Name: "App", Share: 3}, {Name: "Counter", Share: 2}, {Name: "Partner", Share: 1}},
	}
}

// TranscriptDesk returns the workload of the transcript application: status
// lookups, extract assembly and rush confirmations of four competing firms.
func TranscriptDesk() Workload {
	return Workload{
		Name: transcriptDesk,
		Kinds: []JobKind{
			{
				Name: "StatusLookup", WorkShare: 0.20, MinTasks: 1, MaxTasks: 4,
				Median: 80 * time.Millisecond, Sigma: 0.3, Min: 50 * time.Millisecond, Max: 300 * time.Millisecond,
				Deadline: 2 * time.Second, Idempotent: true,
			},
			{
				Name: "RushConfirmation", WorkShare: 0.15, MinTasks: 1, MaxTasks: 10,
				Median: 200 * time.Millisecond, Sigma: 0.4, Min: 50 * time.Millisecond, Max: 800 * time.Millisecond,
				Deadline: 3 * time.Second,
			},
			{
				Name: "ExtractAssembly", WorkShare: 0.65, MinTasks: 10, MaxTasks: 250,
				Median: 400 * time.Millisecond, Sigma: 0.7, Min: 50 * time.Millisecond, Max: 2 * time.Second,
				TailShare: 0.05, TailMax: 5 * time.Second, StragglerShare: 0.001, Deadline: 12 * time.Second, Idempotent: true,
			},
		},
		Callers: []CallerShare{{Name: "FirmA", Share: 1}, {Name: "FirmB", Share: 1}, {Name: "FirmC", Share: 1}, {Name: "FirmD", Share: 1}},
	}
}

// Short returns the workload without its large job kinds, which are those with a
// tail of long tasks.
func (w Workload) Short() Workload {
	short := w
	short.Name += "Short"
	short.Kinds = slices.DeleteFunc(slices.Clone(w.Kinds), func(kind JobKind) bool { return kind.TailShare > 0 })
	return short
}

// LongWork returns a workload from the callers of w with a single job kind, whose
// tasks run for 2 to 6 s like those of long extracts and full catalogues.
func (w Workload) LongWork() Workload {
	return Workload{
		Name: w.Name + "Long",
		Kinds: []JobKind{{
			Name: "LongRun", WorkShare: 1, MinTasks: 10, MaxTasks: 100,
			Median: 3 * time.Second, Sigma: 0.3, Min: 2 * time.Second, Max: 6 * time.Second,
			Deadline: 60 * time.Second, Long: true, Idempotent: true,
		}},
		Callers: w.Callers,
	}
}

// Scaled returns the workload with the number of tasks per job multiplied by the
// factor, for a fleet that is smaller by the same factor. Task counts of up to
// smallJob are not changed, and larger ones are not reduced below smallJob.
func (w Workload) Scaled(factor float64) Workload {
	const smallJob = 10
	w.Kinds = slices.Clone(w.Kinds)
	scale := func(tasks int) int { return max(min(tasks, smallJob), int(float64(tasks)*factor)) }
	for i := range w.Kinds {
		kind := &w.Kinds[i]
		kind.MinTasks, kind.MaxTasks = scale(kind.MinTasks), scale(kind.MaxTasks)
	}
	return w
}

// WithOnlyCaller returns the workload with all jobs submitted by one caller.
func (w Workload) WithOnlyCaller(name string) Workload {
	w.Callers = []CallerShare{{Name: name, Share: 1}}
	return w
}

// SineLoad returns segments of the given total length in which the load follows a
// sine wave between low and high.
func SineLoad(length, period time.Duration, low, high float64) []Segment {
	const stepsPerPeriod = 20
	step := period / stepsPerPeriod
	var segments []Segment
	for offset := time.Duration(0); offset < length; offset += step {
		phase := 2 * math.Pi * float64(offset) / float64(period)
		load := low + (high-low)*(1-math.Cos(phase))/2
		segments = append(segments, Segment{Duration: min(step, length-offset), Load: load})
	}
	return segments
}

// Arrivals returns jobs in order of arrival whose total work matches the load of
// the segments on the slots. The same arguments give the same jobs.
//
// The arrivals are a Poisson process conditioned on the number of jobs, so that
// short runs have the specified load despite the heavy tail of the run times.
func Arrivals(workload Workload, segments []Segment, slots int, seed uint64) []Job {
	random := rand.New(rand.NewPCG(seed, hashName(workload.Name)))
	generator := newGenerator(workload, random)
	budget := offeredWork(segments, slots)
	var jobs []Job
	var positions []float64
	var work time.Duration
	position := 0.0
	for work < budget {
		job := generator.drawJob()
		work += job.Work()
		position += random.ExpFloat64()
		jobs = append(jobs, job)
		positions = append(positions, position)
	}
	end := position + random.ExpFloat64()
	for i := range jobs {
		jobs[i].Arrival = arrivalTime(segments, positions[i]/end)
	}
	return sortAndIndex(jobs)
}

// Merge returns the jobs of all streams in order of arrival.
func Merge(streams ...[]Job) []Job {
	return sortAndIndex(slices.Concat(streams...))
}

func sortAndIndex(jobs []Job) []Job {
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	for i := range jobs {
		jobs[i].Index = i
	}
	return jobs
}

func offeredWork(segments []Segment, slots int) time.Duration {
	var work float64
	for _, segment := range segments {
		work += segment.Load * float64(segment.Duration) * float64(slots)
	}
	return time.Duration(work)
}

// arrivalTime returns the time at which the given share of all offered work is
// expected to have arrived.
func arrivalTime(segments []Segment, share float64) time.Duration {
	remaining := share * float64(offeredWork(segments, 1))
	var offset time.Duration
	for _, segment := range segments {
		work := segment.Load * float64(segment.Duration)
		if remaining < work {
			return offset + time.Duration(remaining/segment.Load)
		}
		remaining -= work
		offset += segment.Duration
	}
	return offset
}

// generator draws jobs of a workload.
type generator struct {
	workload Workload
	random   *rand.Rand
	// jobShares are the relative frequencies of the job kinds.
	jobShares    []float64
	callerShares []float64
}

func newGenerator(workload Workload, random *rand.Rand) *generator {
	g := &generator{workload: workload, random: random}
	for _, kind := range workload.Kinds {
		g.jobShares = append(g.jobShares, kind.WorkShare/meanWork(kind))
	}
	for _, caller := range workload.Callers {
		g.callerShares = append(g.callerShares, caller.Share)
	}
	return g
}

func (g *generator) drawJob() Job {
	kind := g.workload.Kinds[pickWeighted(g.random, g.jobShares)]
	job := Job{
		Caller:     g.workload.Callers[pickWeighted(g.random, g.callerShares)].Name,
		Kind:       kind.Name,
		Long:       kind.Long,
		Idempotent: kind.Idempotent,
		Deadline:   kind.Deadline,
		Declared:   kind.drawDeclared(g.random),
	}
	for range kind.drawTasks(g.random) {
		job.RunTimes = append(job.RunTimes, kind.drawRunTime(g.random))
	}
	return job
}

// meanWork estimates the mean work of a job of the kind in seconds, by drawing
// samples with a fixed seed.
func meanWork(kind JobKind) float64 {
	const draws = 20000
	random := rand.New(rand.NewPCG(1, hashName(kind.Name)))
	tasks, runTime := 0, time.Duration(0)
	for range draws {
		tasks += kind.drawTasks(random)
		runTime += kind.drawRunTime(random)
	}
	return float64(tasks) / draws * runTime.Seconds() / draws
}

func (k JobKind) drawTasks(random *rand.Rand) int {
	low, high := math.Log(float64(k.MinTasks)), math.Log(float64(k.MaxTasks)+1)
	tasks := int(math.Exp(low + random.Float64()*(high-low)))
	return min(max(tasks, k.MinTasks), k.MaxTasks)
}

func (k JobKind) drawRunTime(random *rand.Rand) time.Duration {
	choice := random.Float64()
	switch {
	case choice < k.StragglerShare:
		return min(stragglerFactor*k.Min, k.Deadline/2)
	case choice < k.StragglerShare+k.TailShare:
		const shape = 1.5
		factor := math.Pow(1-random.Float64(), -1/shape)
		return time.Duration(min(float64(k.Median)*factor, float64(k.TailMax)))
	}
	factor := math.Exp(k.Sigma * random.NormFloat64())
	return min(max(time.Duration(float64(k.Median)*factor), k.Min), k.Max)
}

// drawDeclared draws a declared run time. Half of them are the median, the others
// are too high or too low by a factor of up to maxDeclaredError.
func (k JobKind) drawDeclared(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return k.Median
	}
	exponent := 2*random.Float64() - 1
	return time.Duration(float64(k.Median) * math.Pow(maxDeclaredError, exponent)).Round(time.Millisecond)
}

// pickWeighted draws an index with probability proportional to its weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	remaining := random.Float64() * total
	for i, weight := range weights {
		if remaining < weight {
			return i
		}
		remaining -= weight
	}
	return len(weights) - 1
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}
