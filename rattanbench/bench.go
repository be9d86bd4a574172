// Package rattanbench measures the system under open-loop load: every policy
// gets the same arrivals, and response times count from the scheduled arrival,
// so that a slow system cannot slow down its own load.
package rattanbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// ErrPolicy reports the name of a policy that does not exist.
const ErrPolicy = errors.ConstError("no such policy")

// Options say what Run measures.
type Options struct {
	// Quick measures in less than 50 s in total, on short windows.
	Quick bool
	// Virtual runs the schedulers alone, in virtual time, without processes and
	// connections.
	Virtual bool
	// Seed selects the arrivals; 0 stands for 1.
	Seed uint64
	// Policies are the names of the policies to run; empty means all.
	Policies []string
	// Progress gets a line at each step; nil means none.
	Progress io.Writer
}

// plan is what Run does, derived from Options.
type plan struct {
	policies []Policy
	// steadyFleet serves the slowdown and fleet the other scenarios.
	steadyFleet, fleet Fleet
	lengths            window
	seeds              []uint64
	batches            []batch
	open               openBed
	mode               string
}

// batch is a set of experiments that run side by side. The size of a batch is
// bounded by processor time and by open files: in a baseline thousands of
// callers wait at the crest, each with a connection.
type batch struct {
	// workload is a name; empty means all.
	workload  string
	scenarios []Scenario
}

func (b batch) contains(c *cell) bool {
	if b.workload != "" && b.workload != c.experiment.Workload {
		return false
	}
	return slices.Contains(b.scenarios, c.experiment.Scenario)
}

// Run makes all experiments and returns the measures.
func Run(ctx context.Context, options Options) (Report, error) {
	started := time.Now()
	p, err := newPlan(options)
	if err != nil {
		return Report{}, err
	}
	report := Report{mode: p.mode}
	for _, seed := range p.seeds {
		runs, err := p.seed(ctx, options, seed)
		if err != nil {
			return Report{}, errors.Annotatef(err, "seed %d", seed)
		}
		report.Runs = append(report.Runs, runs...)
	}
	report.elapsed = time.Since(started)
	return report, nil
}

func newPlan(options Options) (plan, error) {
	p := plan{open: openEntryBed}
	first := max(options.Seed, 1)
	p.seeds = []uint64{first}
	if options.Quick {
		p.setQuick()
	} else {
		p.setFull()
	}
	if options.Virtual {
		p.open = nil
		p.mode = "schedulers alone, in virtual time"
		p.seeds = []uint64{first, first + 1, first + 2}
	}
	for _, policy := range Policies() {
		if len(options.Policies) == 0 || slices.Contains(options.Policies, policy.Name) {
			p.policies = append(p.policies, policy)
		}
	}
	if len(p.policies) == 0 || len(p.policies) < len(options.Policies) {
		return p, errors.WithType(errors.Errorf("policies %q", options.Policies), ErrPolicy)
	}
	return p, nil
}

// setFull plans long windows on fleets of one availability zone of today's
// users.
func (p *plan) setFull() {
	p.mode = "entry instances over loopback"
	p.fleet = Fleet{Targets: 17, SlotsPerTarget: 8}
	p.steadyFleet = p.fleet
	p.lengths = window{warmUp: 5 * time.Second, steady: 40 * time.Second, crestTail: 10 * time.Second, pair: 30 * time.Second}
	p.batches = []batch{
		{scenarios: []Scenario{ScenarioSlowdown}},
		{workload: listaforge, scenarios: []Scenario{ScenarioCrest}},
		{workload: transcriptDesk, scenarios: []Scenario{ScenarioCrest}},
		{scenarios: []Scenario{ScenarioShortAlone, ScenarioShortLong}},
		{workload: listaforge, scenarios: []Scenario{ScenarioFairAlone, ScenarioFairGreedy}},
		{workload: transcriptDesk, scenarios: []Scenario{ScenarioFairAlone, ScenarioFairGreedy}},
	}
}

// setQuick plans short windows, and smaller fleets where many callers wait.
func (p *plan) setQuick() {
	p.mode = "entry instances over loopback, quick"
	p.steadyFleet = Fleet{Targets: 17, SlotsPerTarget: 8}
	p.fleet = Fleet{Targets: 8, SlotsPerTarget: 8}
	p.lengths = window{warmUp: 2 * time.Second, steady: 8 * time.Second, crestTail: 3 * time.Second, pair: 7 * time.Second}
	p.batches = []batch{
		{scenarios: []Scenario{ScenarioSlowdown, ScenarioCrest}},
		{scenarios: []Scenario{ScenarioShortAlone, ScenarioShortLong, ScenarioFairAlone, ScenarioFairGreedy}},
	}
}

// cell is one experiment under one policy.
type cell struct {
	experiment Experiment
	policy     Policy
	seen       Observation
}

// seed makes all experiments with one seed.
func (p plan) seed(ctx context.Context, options Options, seed uint64) ([]Row, error) {
	workloads := []Workload{Listaforge(), TranscriptDesk()}
	var cells []*cell
	for _, workload := range workloads {
		for _, experiment := range p.experiments(workload, seed) {
			for _, policy := range p.policies {
				cells = append(cells, &cell{experiment: experiment, policy: policy})
			}
		}
	}
	for _, batch := range p.batches {
		progress(options.Progress, "seed %d: %s %v", seed, batch.workload, batch.scenarios)
		members := slices.DeleteFunc(slices.Clone(cells), func(c *cell) bool { return !batch.contains(c) })
		if err := p.run(ctx, members, seed); err != nil {
			return nil, errors.Annotatef(err, "experiments %v", batch.scenarios)
		}
	}
	var runs []Row
	for _, workload := range workloads {
		for _, policy := range p.policies {
			runs = append(runs, summarise(workload.Name, policy.Name, seed, cells))
		}
	}
	return runs, nil
}

func (p plan) run(ctx context.Context, members []*cell, seed uint64) error {
	if p.open == nil {
		for _, member := range members {
			member.seen = Simulate(member.policy.New(seed), member.experiment.Jobs, member.experiment.Callers(), member.experiment.Fleet)
		}
		return nil
	}
	beds := make([]bed, len(members))
	defer closeBeds(beds)
	opening, openCtx := errgroup.WithContext(ctx)
	for i, member := range members {
		opening.Go(func() (err error) {
			beds[i], err = p.open(openCtx, func() Scheduler { return member.policy.New(seed) }, member.experiment)
			return errors.Annotatef(err, "open %s for %s", member.experiment.Scenario, member.policy.Name)
		})
	}
	if err := opening.Wait(); err != nil {
		return err
	}
	running, runCtx := errgroup.WithContext(ctx)
	for i, member := range members {
		running.Go(func() error {
			member.seen = observe(runCtx, beds[i], member.experiment)
			return nil
		})
	}
	return running.Wait()
}

// summarise computes the figures of one policy on one workload.
func summarise(workload, policy string, seed uint64, cells []*cell) Row {
	none := Figure(math.NaN())
	run := Row{
		Name: workload, Policy: policy, Seed: seed,
		WastedPerTask: none, PlatformWritesPerSecond: none, PlatformReadsPerSecond: none,
	}
	var total integrity
	wasted := 0
	measuredTraffic := false
	for _, c := range cells {
		if c.experiment.Workload != workload || c.policy.Name != policy {
			continue
		}
		run.details.measure(c.experiment, c.seen)
		total.add(measureIntegrity(c.experiment.Jobs, c.seen))
		if c.seen.Traffic.Elapsed > 0 {
			measuredTraffic = true
			wasted += c.seen.Traffic.Wasted
			run.addPlatformCalls(c.seen.Traffic)
		}
	}
	d := &run.details
	d.starts, d.crossed = total.starts, total.crossed
	run.DoubleStarts, run.PartialAnswers, run.FalseNotRun = total.doubleStarts, total.partialAnswers, total.falseNotRun
	run.MedianSlowdown, run.P99Slowdown = Figure(d.slowdown.median), Figure(d.slowdown.p99)
	run.CrestGoodput, run.CrestDeadlineMet = Figure(d.crest.goodput), Figure(d.crest.deadlineMet)
	run.ShortWaitRatio = Figure(waitRatio(d.shortLong, d.shortAlone))
	run.FairnessRatio = Figure(ratio(durationQuantile(d.fairGreedy, 99), durationQuantile(d.fairAlone, 99)))
	if measuredTraffic {
		run.WastedPerTask = Figure(float64(wasted) / float64(max(total.starts, 1)))
	}
	return run
}

func (r *Row) addPlatformCalls(traffic Traffic) {
	seconds := traffic.Elapsed.Seconds()
	higher := func(old Figure, count int) Figure {
		rate := float64(count) / seconds
		if math.IsNaN(float64(old)) {
			return Figure(rate)
		}
		return max(old, Figure(rate))
	}
	r.PlatformWritesPerSecond = higher(r.PlatformWritesPerSecond, traffic.PlatformWrites)
	r.PlatformReadsPerSecond = higher(r.PlatformReadsPerSecond, traffic.PlatformReads)
}

// measure adds the measures of one experiment.
func (d *details) measure(e Experiment, seen Observation) {
	d.jobs += len(e.Jobs)
	switch e.Scenario {
	case ScenarioSlowdown:
		d.slowdown = measureSlowdown(e, seen.Outcomes)
	case ScenarioCrest:
		d.crest = measureCrest(e, seen)
	case ScenarioShortAlone:
		d.shortAlone = shortWaits(e, seen)
	case ScenarioShortLong:
		d.shortLong = shortWaits(e, seen)
	case ScenarioFairAlone:
		d.fairAlone = otherResponses(e, seen)
	case ScenarioFairGreedy:
		d.fairGreedy = otherResponses(e, seen)
	}
}

func progress(w io.Writer, format string, args ...any) {
	if w != nil {
		fmt.Fprintf(w, format+"\n", args...)
	}
}
