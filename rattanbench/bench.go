// Package rattanbench measures the system under open-loop load: every policy
// gets the same arrivals, and response times are measured from the scheduled
// arrival, so that a slow system cannot reduce its own load.
package rattanbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// ErrUnknownPolicy is returned for a policy name that does not exist.
const ErrUnknownPolicy = errors.ConstError("unknown policy")

// Options configure Run.
type Options struct {
	// Quick shortens the experiments, so that all of them take less than 50 s.
	Quick bool
	// Virtual simulates the schedulers alone in virtual time, without processes
	// and connections.
	Virtual bool
	// Seed is the seed of the arrivals; 0 means 1.
	Seed uint64
	// Policies are the names of the policies to run; empty means all.
	Policies []string
	// Scenarios are the scenarios to run; empty means all. Figures of scenarios
	// that were not run are null.
	Scenarios []Scenario
	// Progress receives a line for each batch; nil means no output.
	Progress io.Writer
}

// plan holds the experiments and policies that Run executes, derived from
// Options.
type plan struct {
	policies []Policy
	// steadyFleet is used by ScenarioSlowdown, waitFleet by the scenarios with
	// short tasks and with slow targets, overloadFleet by those with overload.
	steadyFleet, waitFleet, overloadFleet Fleet
	durations                             durations
	seeds                                 []uint64
	batches                               []batch
	// openSystem is nil for a simulation in virtual time.
	openSystem openSystemFunc
	// mode is a short description of the mode for reports.
	mode string
}

// batch selects experiments that run concurrently. The size of a batch is
// limited by processor time and open files: with a baseline policy, thousands
// of callers wait during the load peak, each with its own connection.
type batch struct {
	// workload is the name of a workload; empty means all.
	workload  string
	scenarios []Scenario
}

func (b batch) contains(t *trial) bool {
	if b.workload != "" && b.workload != t.experiment.Workload {
		return false
	}
	return slices.Contains(b.scenarios, t.experiment.Scenario)
}

// Run runs all experiments and returns their measures.
func Run(ctx context.Context, options Options) (Report, error) {
	started := time.Now()
	p, err := newPlan(options)
	if err != nil {
		return Report{}, err
	}
	report := Report{mode: p.mode}
	for _, seed := range p.seeds {
		runs, err := p.runSeed(ctx, options, seed)
		if err != nil {
			return Report{}, errors.Annotatef(err, "seed %d", seed)
		}
		report.Runs = append(report.Runs, runs...)
	}
	report.elapsed = time.Since(started)
	return report, nil
}

func (o Options) selects(scenario Scenario) bool {
	return len(o.Scenarios) == 0 || slices.Contains(o.Scenarios, scenario)
}

func newPlan(options Options) (plan, error) {
	p := plan{openSystem: startEntrySystem}
	firstSeed := max(options.Seed, 1)
	p.seeds = []uint64{firstSeed}
	if options.Quick {
		p.setQuick()
	} else {
		p.setFull()
	}
	if options.Virtual {
		p.openSystem = nil
		p.overloadFleet = p.steadyFleet
		p.mode = "schedulers alone, in virtual time"
		p.seeds = []uint64{firstSeed, firstSeed + 1, firstSeed + 2}
	}
	for _, policy := range Policies() {
		if len(options.Policies) == 0 || slices.Contains(options.Policies, policy.Name) {
			p.policies = append(p.policies, policy)
		}
	}
	if len(p.policies) == 0 || len(p.policies) < len(options.Policies) {
		return p, errors.WithType(errors.Errorf("unknown policy in %q", options.Policies), ErrUnknownPolicy)
	}
	return p, nil
}

// setFull plans long experiments. The fleets have the size of one availability
// zone in the current deployments, and are smaller for scenarios in which many
// callers wait.
func (p *plan) setFull() {
	p.mode = "entry instances over loopback"
	p.steadyFleet = Fleet{Targets: 17, SlotsPerTarget: 8}
	p.waitFleet = p.steadyFleet
	p.overloadFleet = Fleet{Targets: 10, SlotsPerTarget: 8}
	p.durations = durations{warmUp: 5 * time.Second, steady: 40 * time.Second, peakTail: 10 * time.Second, paired: 30 * time.Second}
	p.batches = []batch{
		{scenarios: []Scenario{ScenarioSlowdown}},
		{workload: listaforge, scenarios: []Scenario{ScenarioPeak}},
		{workload: transcriptDesk, scenarios: []Scenario{ScenarioPeak}},
		{scenarios: []Scenario{ScenarioShortAlone, ScenarioShortWithLong}},
		{scenarios: []Scenario{ScenarioSlowTargets}},
		{workload: listaforge, scenarios: []Scenario{ScenarioOthersAlone, ScenarioOthersWithGreedy}},
		{workload: transcriptDesk, scenarios: []Scenario{ScenarioOthersAlone, ScenarioOthersWithGreedy}},
	}
}

// setQuick plans short experiments, with smaller fleets for scenarios in which
// many callers wait.
func (p *plan) setQuick() {
	p.mode = "entry instances over loopback, quick"
	p.steadyFleet = Fleet{Targets: 17, SlotsPerTarget: 8}
	p.overloadFleet = Fleet{Targets: 5, SlotsPerTarget: 8}
	p.waitFleet = p.overloadFleet
	p.durations = durations{warmUp: 2 * time.Second, steady: 8 * time.Second, peakTail: 3 * time.Second, paired: 7 * time.Second}
	p.batches = []batch{
		{scenarios: []Scenario{ScenarioSlowdown, ScenarioShortAlone, ScenarioShortWithLong}},
		{scenarios: []Scenario{ScenarioPeak, ScenarioOthersAlone, ScenarioOthersWithGreedy}},
	}
}

// trial is one experiment under one policy.
type trial struct {
	experiment  Experiment
	policy      Policy
	observation Observation
	timerDelay  timerDelay
	// executed is true for an experiment that ran on a system, even if its
	// observation was dropped.
	executed bool
}

// runSeed runs all experiments with one seed.
func (p plan) runSeed(ctx context.Context, options Options, seed uint64) ([]Row, error) {
	workloads := []Workload{Listaforge(), TranscriptDesk()}
	var trials []*trial
	for _, workload := range workloads {
		for _, experiment := range p.experiments(workload, seed) {
			for _, policy := range p.policies {
				trials = append(trials, &trial{experiment: experiment, policy: policy})
			}
		}
	}
	for _, batch := range p.batches {
		printProgress(options.Progress, "seed %d: %s %v", seed, batch.workload, batch.scenarios)
		batchTrials := slices.DeleteFunc(slices.Clone(trials), func(t *trial) bool {
			return !batch.contains(t) || !options.selects(t.experiment.Scenario)
		})
		if len(batchTrials) == 0 {
			continue
		}
		if err := p.runBatch(ctx, batchTrials, seed); err != nil {
			return nil, errors.Annotatef(err, "experiments %v", batch.scenarios)
		}
	}
	var rows []Row
	for _, workload := range workloads {
		for _, policy := range p.policies {
			rows = append(rows, summarise(workload.Name, policy.Name, seed, trials))
		}
	}
	return rows, nil
}

// runBatch runs the trials concurrently, each on a system of its own. It drops
// all observations if the process ran out of open files.
func (p plan) runBatch(ctx context.Context, trials []*trial, seed uint64) error {
	if p.openSystem == nil {
		for _, t := range trials {
			t.observation = Simulate(t.policy.New(seed), t.experiment)
		}
		return nil
	}
	systems := make([]systemUnderTest, len(trials))
	defer closeSystems(systems)
	openGroup, openCtx := errgroup.WithContext(ctx)
	for i, t := range trials {
		openGroup.Go(func() (err error) {
			systems[i], err = p.openSystem(openCtx, func() Scheduler { return t.policy.New(seed) }, t.experiment)
			return errors.Annotatef(err, "open %s for %s", t.experiment.Scenario, t.policy.Name)
		})
	}
	if err := openGroup.Wait(); err != nil {
		return err
	}
	var running sync.WaitGroup
	stopMonitor := monitorMachine()
	for i, t := range trials {
		running.Go(func() { t.observation = runExperiment(ctx, systems[i], t.experiment) })
	}
	running.Wait()
	conditions := stopMonitor()
	for _, t := range trials {
		t.executed = true
		t.timerDelay = conditions.timerDelay
		if conditions.outOfFiles {
			t.observation = Observation{}
		}
	}
	return ctx.Err()
}

// summarise computes the figures of one policy on one workload.
func summarise(workload, policy string, seed uint64, trials []*trial) Row {
	notMeasured := Figure(math.NaN())
	row := Row{
		Name: workload, Policy: policy, Seed: seed,
		MedianSlowdown: notMeasured, P99Slowdown: notMeasured, PeakGoodput: notMeasured, PeakDeadlineMet: notMeasured,
		ShortWaitRatio: notMeasured, FairnessRatio: notMeasured, WastedPerTask: notMeasured, PlatformWritesPerSecond: notMeasured, PlatformReadsPerSecond: notMeasured,
	}
	d := &row.details
	var total violations
	for _, t := range trials {
		if t.experiment.Workload != workload || t.policy.Name != policy {
			continue
		}
		d.timerDelay = d.timerDelay.merge(t.timerDelay)
		if len(t.observation.Outcomes) == 0 {
			if t.executed {
				d.droppedScenarios = append(d.droppedScenarios, string(t.experiment.Scenario))
			}
			continue
		}
		row.addMeasures(t.experiment, t.observation)
		total.add(countViolations(t.experiment.Jobs, t.observation))
		row.addTraffic(t)
	}
	d.starts, d.mismatchedAnswers = total.starts, total.mismatchedAnswers
	row.DoubleStarts, row.PartialAnswers, row.FalseNotRun = total.doubleStarts, total.partialAnswers, total.falseNotRun
	if len(d.shortAlone) > 0 && len(d.shortWithLong) > 0 {
		row.ShortWaitRatio = Figure(waitRatio(d.shortWithLong, d.shortAlone))
	}
	if len(d.othersAlone) > 0 && len(d.othersWithGreedy) > 0 {
		row.FairnessRatio = Figure(ratio(durationQuantile(d.othersWithGreedy, 99), durationQuantile(d.othersAlone, 99)))
	}
	return row
}

// addTraffic adds the message rates of a trial. Wasted messages are taken from
// the trial at steady load only: heartbeats do not depend on the load, so their
// number per task is meaningful only at a specified load.
func (r *Row) addTraffic(t *trial) {
	traffic := t.observation.Traffic
	if traffic.Elapsed == 0 {
		return
	}
	seconds := traffic.Elapsed.Seconds()
	r.PlatformWritesPerSecond = maxFigure(r.PlatformWritesPerSecond, float64(traffic.PlatformWrites)/seconds)
	r.PlatformReadsPerSecond = maxFigure(r.PlatformReadsPerSecond, float64(traffic.PlatformReads)/seconds)
	if t.experiment.Scenario == ScenarioSlowdown {
		r.WastedPerTask = Figure(float64(traffic.Waste.Total()) / float64(max(traffic.Starts, 1)))
		r.details.waste = traffic.Waste
	}
}

// maxFigure returns the larger of current and value; current may be NaN.
func maxFigure(current Figure, value float64) Figure {
	if math.IsNaN(float64(current)) {
		return Figure(value)
	}
	return max(current, Figure(value))
}

// addMeasures computes the measures of one experiment.
func (r *Row) addMeasures(e Experiment, observation Observation) {
	d := &r.details
	d.jobs += len(e.Jobs)
	switch e.Scenario {
	case ScenarioSlowdown:
		d.slowdown = measureSlowdown(e, observation.Outcomes)
		r.MedianSlowdown, r.P99Slowdown = Figure(d.slowdown.median), Figure(d.slowdown.p99)
	case ScenarioPeak:
		d.peak = measurePeak(e, observation)
		r.PeakGoodput, r.PeakDeadlineMet = Figure(d.peak.goodput), Figure(d.peak.deadlineMet)
	case ScenarioShortAlone:
		d.shortAlone = startedTaskWaits(e, observation)
	case ScenarioShortWithLong:
		d.shortWithLong = shortTaskWaits(e, observation)
	case ScenarioSlowTargets:
		d.slowTargetResponses = responseTimes(e.measuredJobs(), observation.Outcomes)
	case ScenarioOthersAlone:
		d.othersAlone = completeResponseTimes(otherCallerJobs(e), observation.Outcomes)
		d.othersAloneIncomplete = incompleteShare(e, observation)
	case ScenarioOthersWithGreedy:
		d.othersWithGreedy = responseTimes(otherCallerJobs(e), observation.Outcomes)
		d.othersWithGreedyIncomplete = incompleteShare(e, observation)
	}
}

func printProgress(w io.Writer, format string, args ...any) {
	if w != nil {
		fmt.Fprintf(w, format+"\n", args...)
	}
}
