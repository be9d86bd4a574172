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

// stragglerFactor is how many times longer than the shortest task of its kind
// a straggler runs.
const stragglerFactor = 100

// declaredError is the largest factor by which a declared run time is wrong,
// in either direction.
const declaredError = 10

// Job is one submission of a workload together with what only the generator
// and the omniscient ideal know.
type Job struct {
	// Index is the position of the job in the order of arrivals.
	Index int
	// At is the scheduled arrival, measured from the start of the run. All
	// response times count from it.
	At     time.Duration
	Caller string
	Kind   string
	// Long jobs hold tasks that run for seconds.
	Long       bool
	Idempotent bool
	// Deadline is measured from At.
	Deadline time.Duration
	// Declared is the run time of a task that the caller states; it is wrong by
	// up to 10 times.
	Declared time.Duration
	// RunTimes are the true run times of the tasks.
	RunTimes []time.Duration
}

// Work returns the slot time that all tasks of the job need.
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
	// Median, Sigma, Min and Max describe the log-normal body of the run times.
	Median   time.Duration
	Sigma    float64
	Min, Max time.Duration
	// TailShare of the tasks follow a Pareto tail (shape 1.5) from Median to
	// TailMax.
	TailShare float64
	TailMax   time.Duration
	// StragglerShare of the tasks run 100 times Min.
	StragglerShare float64
	Deadline       time.Duration
	Long           bool
	Idempotent     bool
}

// CallerShare is a caller and its share of a workload's jobs.
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

// Listaforge returns the workload of the shopping-list user: shop lists from
// the app, small lists at the counter, and catalogue jobs of up to 250 tasks.
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

// TranscriptDesk returns the workload of the transcript user: status lookups,
// extract assembly and rush confirmations of four rival firms.
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

// Short returns the workload without its large kinds: those whose tasks have a
// tail.
func (w Workload) Short() Workload {
	short := w
	short.Name += "Short"
	short.Kinds = slices.DeleteFunc(slices.Clone(w.Kinds), func(kind JobKind) bool { return kind.TailShare > 0 })
	return short
}

// LongWork returns a workload of one kind whose tasks run for 2 to 6 s, as long
// extracts and full catalogues do, from the callers of w.
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

// Scaled returns the workload with the numbers of tasks in a job multiplied by
// the factor, for a fleet that is smaller by it. Small jobs stay as they are.
func (w Workload) Scaled(factor float64) Workload {
	const small = 10
	w.Kinds = slices.Clone(w.Kinds)
	scale := func(tasks int) int { return max(min(tasks, small), int(float64(tasks)*factor)) }
	for i := range w.Kinds {
		kind := &w.Kinds[i]
		kind.MinTasks, kind.MaxTasks = scale(kind.MinTasks), scale(kind.MaxTasks)
	}
	return w
}

// OnlyCaller returns the workload with all jobs from one caller.
func (w Workload) OnlyCaller(name string) Workload {
	w.Callers = []CallerShare{{Name: name, Share: 1}}
	return w
}

// Swing returns segments in which the load swings between low and high in a
// sine with the period, for the length.
func Swing(length, period time.Duration, low, high float64) []Segment {
	const stepsPerPeriod = 20
	step := period / stepsPerPeriod
	var segments []Segment
	for at := time.Duration(0); at < length; at += step {
		phase := 2 * math.Pi * float64(at) / float64(period)
		load := low + (high-low)*(1-math.Cos(phase))/2
		segments = append(segments, Segment{Duration: min(step, length-at), Load: load})
	}
	return segments
}

// Arrivals returns jobs whose total work is the load of the segments on the
// slots, in order of arrival. The same arguments give the same jobs.
//
// Arrivals are a Poisson process conditioned on its number of jobs, so that a
// short window has the stated load in spite of the heavy tail.
func Arrivals(workload Workload, segments []Segment, slots int, seed uint64) []Job {
	random := rand.New(rand.NewPCG(seed, hashName(workload.Name)))
	generator := newGenerator(workload, random)
	budget := offeredWork(segments, slots)
	var jobs []Job
	var positions []float64
	var work time.Duration
	position := 0.0
	for work < budget {
		job := generator.job()
		work += job.Work()
		position += random.ExpFloat64()
		jobs = append(jobs, job)
		positions = append(positions, position)
	}
	end := position + random.ExpFloat64()
	for i := range jobs {
		jobs[i].At = timeOfShare(segments, positions[i]/end)
	}
	return number(jobs)
}

// Merge returns the jobs of all streams in one order of arrival.
func Merge(streams ...[]Job) []Job {
	return number(slices.Concat(streams...))
}

func number(jobs []Job) []Job {
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.At - b.At) })
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

// timeOfShare returns the time at which the share of all offered work has
// arrived on average.
func timeOfShare(segments []Segment, share float64) time.Duration {
	remaining := share * float64(offeredWork(segments, 1))
	var at time.Duration
	for _, segment := range segments {
		work := segment.Load * float64(segment.Duration)
		if remaining < work {
			return at + time.Duration(remaining/segment.Load)
		}
		remaining -= work
		at += segment.Duration
	}
	return at
}

// generator draws jobs of a workload.
type generator struct {
	workload Workload
	random   *rand.Rand
	// jobShares is the share of each kind in the number of jobs.
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

func (g *generator) job() Job {
	kind := g.workload.Kinds[pick(g.random, g.jobShares)]
	job := Job{
		Caller:     g.workload.Callers[pick(g.random, g.callerShares)].Name,
		Kind:       kind.Name,
		Long:       kind.Long,
		Idempotent: kind.Idempotent,
		Deadline:   kind.Deadline,
		Declared:   kind.declared(g.random),
	}
	for range kind.tasks(g.random) {
		job.RunTimes = append(job.RunTimes, kind.runTime(g.random))
	}
	return job
}

// meanWork estimates the mean slot time of a job of the kind in seconds, from a
// fixed seed.
func meanWork(kind JobKind) float64 {
	const draws = 20000
	random := rand.New(rand.NewPCG(1, hashName(kind.Name)))
	tasks, runTime := 0, time.Duration(0)
	for range draws {
		tasks += kind.tasks(random)
		runTime += kind.runTime(random)
	}
	return float64(tasks) / draws * runTime.Seconds() / draws
}

func (k JobKind) tasks(random *rand.Rand) int {
	low, high := math.Log(float64(k.MinTasks)), math.Log(float64(k.MaxTasks)+1)
	tasks := int(math.Exp(low + random.Float64()*(high-low)))
	return min(max(tasks, k.MinTasks), k.MaxTasks)
}

func (k JobKind) runTime(random *rand.Rand) time.Duration {
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

// declared draws a declared run time: half are right, the others are wrong by
// a factor of up to 10 in either direction.
func (k JobKind) declared(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return k.Median
	}
	exponent := 2*random.Float64() - 1
	return time.Duration(float64(k.Median) * math.Pow(declaredError, exponent)).Round(time.Millisecond)
}

// pick draws an index with probability proportional to its weight.
func pick(random *rand.Rand, weights []float64) int {
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
