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
	// offPeakLoad is the load before and after the peak.
	offPeakLoad = 0.5
	peakLoad    = 3.0
	shortLoad   = 0.2
	longLoad    = 0.65
	// othersLoad is the total load of all callers except the greedy one.
	othersLoad = 0.45
	// slowTargetsLoad is the load in ScenarioSlowTargets, relative to the capacity
	// of the fleet without slow targets.
	slowTargetsLoad = 0.7
	// greedyFactor is the load of the greedy caller relative to its share.
	greedyFactor = 10
)

// Number and slowdown of the slow targets in ScenarioSlowTargets, which reduce
// the capacity by a ninth.
const (
	slowTargetCount = 3
	slowFactor      = 3.0
)

// peakDuration is the duration of the load peak.
const peakDuration = 5 * time.Second

// Scenario identifies the conditions of an experiment.
type Scenario string

// The scenarios. ScenarioShortAlone and ScenarioShortWithLong, and
// ScenarioOthersAlone and ScenarioOthersWithGreedy, are pairs: the same arrivals
// without and with load that may interfere with them.
const (
	// ScenarioSlowdown has a steady load below the capacity.
	ScenarioSlowdown Scenario = "Slowdown"
	// ScenarioPeak has a load peak above the capacity.
	ScenarioPeak Scenario = "Crest"
	// ScenarioShortAlone has only jobs with short tasks, and ScenarioShortWithLong
	// adds jobs with long tasks.
	ScenarioShortAlone    Scenario = "ShortAlone"
	ScenarioShortWithLong Scenario = "ShortWithLong"
	// ScenarioOthersAlone has callers that stay below their shares, and
	// ScenarioOthersWithGreedy adds a caller that exceeds its share.
	ScenarioOthersAlone      Scenario = "OthersAlone"
	ScenarioOthersWithGreedy Scenario = "OthersWithGreedy"
	// ScenarioSlowTargets compares placement on a fleet in which some targets are
	// slow. Quick runs leave it out.
	ScenarioSlowTargets Scenario = "SlowTargets"
)

// Experiment is a list of arrivals on a fleet, the same for every policy.
type Experiment struct {
	Workload string
	Scenario Scenario
	Jobs     []Job
	Fleet    Fleet
	// WarmUp is the time from which arrivals count in the measures. Until then the
	// policies learn the run times.
	WarmUp time.Duration
	// PeakBegin and PeakEnd are only set for ScenarioPeak.
	PeakBegin, PeakEnd time.Duration
	// SlowTargets is the number of targets, from the first, on which tasks take
	// slowFactor times as long.
	SlowTargets int
}

// Callers returns the callers of the jobs, all with weight 1.
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

// measuredJobs returns the jobs that arrive after the warm-up, which are the ones
// that count in the measures.
func (e Experiment) measuredJobs() []Job {
	first := slices.IndexFunc(e.Jobs, func(job Job) bool { return job.Arrival >= e.WarmUp })
	if first < 0 {
		return nil
	}
	return e.Jobs[first:]
}

// durations holds the durations of the phases of experiments: the warm-up, the
// time after it in ScenarioSlowdown, the time after the peak in ScenarioPeak, and
// the time after the warm-up in the other scenarios.
type durations struct {
	warmUp, steady, peakTail, paired time.Duration
}

// experiments returns all experiments of a workload.
func (p plan) experiments(workload Workload, seed uint64) []Experiment {
	overload := Experiment{Workload: workload.Name, Fleet: p.overloadFleet, WarmUp: p.durations.warmUp}
	steady := overload
	steady.Fleet = p.steadyFleet
	waits := overload
	waits.Fleet = p.waitFleet
	scaled := workload.Scaled(float64(p.overloadFleet.Slots()) / float64(p.steadyFleet.Slots()))
	return slices.Concat(
		[]Experiment{
			slowdownExperiment(steady, workload, p.durations, seed),
			peakExperiment(overload, scaled, p.durations, seed),
			slowTargetsExperiment(waits, workload, p.durations, seed),
		},
		shortWaitExperiments(waits, workload, p.durations, seed),
		fairnessExperiments(overload, scaled, p.durations, seed),
	)
}

func slowdownExperiment(e Experiment, workload Workload, durations durations, seed uint64) Experiment {
	e.Scenario = ScenarioSlowdown
	segments := []Segment{{Duration: durations.warmUp + durations.steady, Load: steadyLoad}}
	e.Jobs = Arrivals(workload, segments, e.Fleet.Slots(), seed)
	return e
}

func peakExperiment(e Experiment, workload Workload, durations durations, seed uint64) Experiment {
	e.Scenario = ScenarioPeak
	e.PeakBegin = durations.warmUp
	e.PeakEnd = e.PeakBegin + peakDuration
	e.Jobs = Merge(
		Arrivals(workload, []Segment{{Duration: e.PeakBegin, Load: offPeakLoad}}, e.Fleet.Slots(), seed),
		shiftArrivals(Arrivals(workload, []Segment{{Duration: peakDuration, Load: peakLoad}}, e.Fleet.Slots(), seed+1), e.PeakBegin),
		shiftArrivals(Arrivals(workload, []Segment{{Duration: durations.peakTail, Load: offPeakLoad}}, e.Fleet.Slots(), seed+2), e.PeakEnd),
	)
	return e
}

func slowTargetsExperiment(e Experiment, workload Workload, durations durations, seed uint64) Experiment {
	e.Scenario = ScenarioSlowTargets
	e.SlowTargets = slowTargetCount
	segments := []Segment{{Duration: durations.warmUp + durations.paired, Load: slowTargetsLoad}}
	e.Jobs = Arrivals(workload.Short(), segments, e.Fleet.Slots(), seed)
	return e
}

func shortWaitExperiments(e Experiment, workload Workload, durations durations, seed uint64) []Experiment {
	duration := durations.warmUp + durations.paired
	short := Arrivals(workload.Short(), []Segment{{Duration: duration, Load: shortLoad}}, e.Fleet.Slots(), seed)
	long := Arrivals(workload.LongWork(), []Segment{{Duration: duration, Load: longLoad}}, e.Fleet.Slots(), seed)
	alone, with := e, e
	alone.Scenario, alone.Jobs = ScenarioShortAlone, Merge(short)
	with.Scenario, with.Jobs = ScenarioShortWithLong, Merge(short, long)
	return []Experiment{alone, with}
}

func fairnessExperiments(e Experiment, workload Workload, durations durations, seed uint64) []Experiment {
	workload.Callers = slices.Clone(workload.Callers)
	for i := range workload.Callers {
		workload.Callers[i].Share = 1
	}
	duration := durations.warmUp + durations.paired
	share := 1 / float64(len(workload.Callers)+1)
	others := Arrivals(workload, []Segment{{Duration: duration, Load: othersLoad}}, e.Fleet.Slots(), seed)
	greedy := Arrivals(workload.WithOnlyCaller(greedyCaller), []Segment{{Duration: duration, Load: greedyFactor * share}}, e.Fleet.Slots(), seed+1)
	alone, with := e, e
	alone.Scenario, alone.Jobs = ScenarioOthersAlone, Merge(others)
	with.Scenario, with.Jobs = ScenarioOthersWithGreedy, Merge(others, greedy)
	return []Experiment{alone, with}
}

func shiftArrivals(jobs []Job, offset time.Duration) []Job {
	for i := range jobs {
		jobs[i].Arrival += offset
	}
	return jobs
}
