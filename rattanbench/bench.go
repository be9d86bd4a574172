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
	"sync"
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
	// Scenarios are the scenarios to run; empty means all. The figures of the
	// others are null.
	Scenarios []Scenario
	// Progress gets a line at each step; nil means none.
	Progress io.Writer
}

// plan is what Run does, derived from Options.
type plan struct {
	policies []Policy
	// steadyFleet serves the slowdown, waitFleet the waits of short tasks and
	// the slow targets, fleet the scenarios with overload.
	steadyFleet, waitFleet, fleet Fleet
	lengths                       window
	seeds                         []uint64
	batches                       []batch
	open                          openBed
	mode                          string
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

func (o Options) selects(scenario Scenario) bool {
	return len(o.Scenarios) == 0 || slices.Contains(o.Scenarios, scenario)
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
		p.fleet = p.steadyFleet
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
// users, and smaller fleets where many callers wait.
func (p *plan) setFull() {
	p.mode = "entry instances over loopback"
	p.steadyFleet = Fleet{Targets: 17, SlotsPerTarget: 8}
	p.waitFleet = p.steadyFleet
	p.fleet = Fleet{Targets: 10, SlotsPerTarget: 8}
	p.lengths = window{warmUp: 5 * time.Second, steady: 40 * time.Second, crestTail: 10 * time.Second, pair: 30 * time.Second}
	p.batches = []batch{
		{scenarios: []Scenario{ScenarioSlowdown}},
		{workload: listaforge, scenarios: []Scenario{ScenarioCrest}},
		{workload: transcriptDesk, scenarios: []Scenario{ScenarioCrest}},
		{scenarios: []Scenario{ScenarioShortAlone, ScenarioShortLong}},
		{scenarios: []Scenario{ScenarioSlow}},
		{workload: listaforge, scenarios: []Scenario{ScenarioFairAlone, ScenarioFairGreedy}},
		{workload: transcriptDesk, scenarios: []Scenario{ScenarioFairAlone, ScenarioFairGreedy}},
	}
}

// setQuick plans short windows, and smaller fleets where many callers wait.
func (p *plan) setQuick() {
	p.mode = "entry instances over loopback, quick"
	p.steadyFleet = Fleet{Targets: 17, SlotsPerTarget: 8}
	p.fleet = Fleet{Targets: 5, SlotsPerTarget: 8}
	p.waitFleet = p.fleet
	p.lengths = window{warmUp: 2 * time.Second, steady: 8 * time.Second, crestTail: 3 * time.Second, pair: 7 * time.Second}
	p.batches = []batch{
		{scenarios: []Scenario{ScenarioSlowdown, ScenarioShortAlone, ScenarioShortLong}},
		{scenarios: []Scenario{ScenarioCrest, ScenarioFairAlone, ScenarioFairGreedy}},
	}
}

// cell is one experiment under one policy.
type cell struct {
	experiment Experiment
	policy     Policy
	seen       Observation
	late       lateness
	// ran says that the experiment was made, even if nothing was seen of it.
	ran bool
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
		members := slices.DeleteFunc(slices.Clone(cells), func(c *cell) bool {
			return !batch.contains(c) || !options.selects(c.experiment.Scenario)
		})
		if len(members) == 0 {
			continue
		}
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
			member.seen = Simulate(member.policy.New(seed), member.experiment)
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
	var running sync.WaitGroup
	endWatch := watchMachine()
	for i, member := range members {
		running.Go(func() { member.seen = observe(ctx, beds[i], member.experiment) })
	}
	running.Wait()
	seen := endWatch()
	for _, member := range members {
		member.ran = true
		member.late = seen.lateness
		if seen.outOfFiles {
			member.seen = Observation{}
		}
	}
	return ctx.Err()
}

// summarise computes the figures of one policy on one workload.
func summarise(workload, policy string, seed uint64, cells []*cell) Row {
	none := Figure(math.NaN())
	row := Row{
		Name: workload, Policy: policy, Seed: seed,
		MedianSlowdown: none, P99Slowdown: none, CrestGoodput: none, CrestDeadlineMet: none, ShortWaitRatio: none, FairnessRatio: none,
		WastedPerTask: none, PlatformWritesPerSecond: none, PlatformReadsPerSecond: none,
	}
	d := &row.details
	var total integrity
	for _, c := range cells {
		if c.experiment.Workload != workload || c.policy.Name != policy {
			continue
		}
		d.late = d.late.worst(c.late)
		if len(c.seen.Outcomes) == 0 {
			if c.ran {
				d.dropped = append(d.dropped, string(c.experiment.Scenario))
			}
			continue
		}
		row.measure(c.experiment, c.seen)
		total.add(measureIntegrity(c.experiment.Jobs, c.seen))
		row.addTraffic(c)
	}
	d.starts, d.crossed = total.starts, total.crossed
	row.DoubleStarts, row.PartialAnswers, row.FalseNotRun = total.doubleStarts, total.partialAnswers, total.falseNotRun
	if len(d.shortAlone) > 0 && len(d.shortLong) > 0 {
		row.ShortWaitRatio = Figure(waitRatio(d.shortLong, d.shortAlone))
	}
	if len(d.fairAlone) > 0 && len(d.fairGreedy) > 0 {
		row.FairnessRatio = Figure(ratio(durationQuantile(d.fairGreedy, 99), durationQuantile(d.fairAlone, 99)))
	}
	return row
}

// addTraffic takes the wasted messages from the run at steady load: heartbeats
// do not depend on the load, so their number per task has a meaning only at a
// stated one.
func (r *Row) addTraffic(c *cell) {
	traffic := c.seen.Traffic
	if traffic.Elapsed == 0 {
		return
	}
	seconds := traffic.Elapsed.Seconds()
	r.PlatformWritesPerSecond = higher(r.PlatformWritesPerSecond, float64(traffic.PlatformWrites)/seconds)
	r.PlatformReadsPerSecond = higher(r.PlatformReadsPerSecond, float64(traffic.PlatformReads)/seconds)
	if c.experiment.Scenario == ScenarioSlowdown {
		r.WastedPerTask = Figure(float64(traffic.Waste.Total()) / float64(max(traffic.Starts, 1)))
		r.details.waste = traffic.Waste
	}
}

// higher returns the higher one of two figures, of which the first may not be
// measured.
func higher(old Figure, rate float64) Figure {
	if math.IsNaN(float64(old)) {
		return Figure(rate)
	}
	return max(old, Figure(rate))
}

// measure adds the measures of one experiment.
func (r *Row) measure(e Experiment, seen Observation) {
	d := &r.details
	d.jobs += len(e.Jobs)
	switch e.Scenario {
	case ScenarioSlowdown:
		d.slowdown = measureSlowdown(e, seen.Outcomes)
		r.MedianSlowdown, r.P99Slowdown = Figure(d.slowdown.median), Figure(d.slowdown.p99)
	case ScenarioCrest:
		d.crest = measureCrest(e, seen)
		r.CrestGoodput, r.CrestDeadlineMet = Figure(d.crest.goodput), Figure(d.crest.deadlineMet)
	case ScenarioShortAlone:
		d.shortAlone = startedWaits(e, seen)
	case ScenarioShortLong:
		d.shortLong = shortWaits(e, seen)
	case ScenarioSlow:
		d.slowTargets = responses(e.counted(), seen.Outcomes)
	case ScenarioFairAlone:
		d.fairAlone = answeredResponses(others(e), seen.Outcomes)
		d.fairAloneMissed = otherMissed(e, seen)
	case ScenarioFairGreedy:
		d.fairGreedy = responses(others(e), seen.Outcomes)
		d.fairGreedyMissed = otherMissed(e, seen)
	}
}

func progress(w io.Writer, format string, args ...any) {
	if w != nil {
		fmt.Fprintf(w, format+"\n", args...)
	}
}
