package rattanbench

import (
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// greedyCaller is the caller that exceeds its share in the fairness experiment.
const greedyCaller = "Greedy"

// Loads of the experiments, relative to the capacity of the fleet.
const (
	steadyLoad = 0.8
	// crestBase is the load before and after the crest.
	crestBase = 0.5
	crestLoad = 3.0
	shortLoad = 0.2
	longLoad  = 0.65
	// othersLoad is the load of all callers but the greedy one together.
	othersLoad = 0.45
	// slowLoad is the load of the experiment with slow targets, relative to the
	// capacity without slowness.
	slowLoad = 0.7
	// greedyFactor is the load of the greedy caller relative to its share.
	greedyFactor = 10
)

// The slow targets of ScenarioSlow, which take a ninth of the capacity away.
const (
	slowTargets = 3
	slowFactor  = 3.0
)

// crestDuration is the length of the crest.
const crestDuration = 5 * time.Second

// Scenario is the role of an experiment in the measures.
type Scenario string

// The scenarios. Two of them come in pairs: the same arrivals with and without
// the work that might disturb them.
const (
	ScenarioSlowdown   Scenario = "Slowdown"
	ScenarioCrest      Scenario = "Crest"
	ScenarioShortAlone Scenario = "ShortAlone"
	ScenarioShortLong  Scenario = "ShortWithLong"
	ScenarioFairAlone  Scenario = "OthersAlone"
	ScenarioFairGreedy Scenario = "OthersWithGreedy"
	// ScenarioSlow compares placements: some targets are slow. Quick runs leave
	// it out.
	ScenarioSlow Scenario = "SlowTargets"
)

// Experiment is a list of arrivals that every policy gets.
type Experiment struct {
	Workload string
	Scenario Scenario
	Jobs     []Job
	Fleet    Fleet
	// WarmUp is the time after which arrivals count in the measures. Run times
	// are learned before.
	WarmUp time.Duration
	// CrestBegin and CrestEnd are set for ScenarioCrest.
	CrestBegin, CrestEnd time.Duration
	// SlowTargets is the number of targets, the first ones, on which tasks take
	// slowFactor times as long.
	SlowTargets int
}

// Callers returns the callers of the jobs, all with the same weight.
func (e Experiment) Callers() []rattanpool.Caller {
	var names []string
	for _, job := range e.Jobs {
		names = append(names, job.Caller)
	}
	slices.Sort(names)
	var callers []rattanpool.Caller
	for _, name := range slices.Compact(names) {
		callers = append(callers, rattanpool.Caller{Name: name, Weight: 1})
	}
	return callers
}

// counted returns the jobs that arrive after the warm-up.
func (e Experiment) counted() []Job {
	first := slices.IndexFunc(e.Jobs, func(job Job) bool { return job.At >= e.WarmUp })
	if first < 0 {
		return nil
	}
	return e.Jobs[first:]
}

// window has the lengths of the experiments.
type window struct {
	warmUp, steady, crestTail, pair time.Duration
}

// experiments returns all experiments of a workload.
func (p plan) experiments(workload Workload, seed uint64) []Experiment {
	base := Experiment{Workload: workload.Name, Fleet: p.fleet, WarmUp: p.lengths.warmUp}
	steady := base
	steady.Fleet = p.steadyFleet
	waits := base
	waits.Fleet = p.waitFleet
	scaled := workload.Scaled(float64(p.fleet.Slots()) / float64(p.steadyFleet.Slots()))
	return slices.Concat(
		[]Experiment{
			slowdownExperiment(steady, workload, p.lengths, seed),
			crestExperiment(base, scaled, p.lengths, seed),
			slowExperiment(waits, workload, p.lengths, seed),
		},
		shortExperiments(waits, workload, p.lengths, seed),
		fairExperiments(base, scaled, p.lengths, seed),
	)
}

func slowdownExperiment(e Experiment, workload Workload, lengths window, seed uint64) Experiment {
	e.Scenario = ScenarioSlowdown
	segments := []Segment{{Duration: lengths.warmUp + lengths.steady, Load: steadyLoad}}
	e.Jobs = Arrivals(workload, segments, e.Fleet.Slots(), seed)
	return e
}

func crestExperiment(e Experiment, workload Workload, lengths window, seed uint64) Experiment {
	e.Scenario = ScenarioCrest
	e.CrestBegin = lengths.warmUp
	e.CrestEnd = e.CrestBegin + crestDuration
	e.Jobs = Merge(
		Arrivals(workload, []Segment{{Duration: e.CrestBegin, Load: crestBase}}, e.Fleet.Slots(), seed),
		shift(Arrivals(workload, []Segment{{Duration: crestDuration, Load: crestLoad}}, e.Fleet.Slots(), seed+1), e.CrestBegin),
		shift(Arrivals(workload, []Segment{{Duration: lengths.crestTail, Load: crestBase}}, e.Fleet.Slots(), seed+2), e.CrestEnd),
	)
	return e
}

func slowExperiment(e Experiment, workload Workload, lengths window, seed uint64) Experiment {
	e.Scenario = ScenarioSlow
	e.SlowTargets = slowTargets
	segments := []Segment{{Duration: lengths.warmUp + lengths.pair, Load: slowLoad}}
	e.Jobs = Arrivals(workload.Short(), segments, e.Fleet.Slots(), seed)
	return e
}

func shortExperiments(e Experiment, workload Workload, lengths window, seed uint64) []Experiment {
	duration := lengths.warmUp + lengths.pair
	short := Arrivals(workload.Short(), []Segment{{Duration: duration, Load: shortLoad}}, e.Fleet.Slots(), seed)
	long := Arrivals(workload.LongWork(), []Segment{{Duration: duration, Load: longLoad}}, e.Fleet.Slots(), seed)
	alone, with := e, e
	alone.Scenario, alone.Jobs = ScenarioShortAlone, Merge(short)
	with.Scenario, with.Jobs = ScenarioShortLong, Merge(short, long)
	return []Experiment{alone, with}
}

func fairExperiments(e Experiment, workload Workload, lengths window, seed uint64) []Experiment {
	workload.Callers = slices.Clone(workload.Callers)
	for i := range workload.Callers {
		workload.Callers[i].Share = 1
	}
	duration := lengths.warmUp + lengths.pair
	share := 1 / float64(len(workload.Callers)+1)
	others := Arrivals(workload, []Segment{{Duration: duration, Load: othersLoad}}, e.Fleet.Slots(), seed)
	greedy := Arrivals(workload.OnlyCaller(greedyCaller), []Segment{{Duration: duration, Load: greedyFactor * share}}, e.Fleet.Slots(), seed+1)
	alone, with := e, e
	alone.Scenario, alone.Jobs = ScenarioFairAlone, Merge(others)
	with.Scenario, with.Jobs = ScenarioFairGreedy, Merge(others, greedy)
	return []Experiment{alone, with}
}

func shift(jobs []Job, by time.Duration) []Job {
	for i := range jobs {
		jobs[i].At += by
	}
	return jobs
}
