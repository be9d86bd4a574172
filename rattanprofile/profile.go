// Package rattanprofile measures what a task costs the home of an availability
// zone. It runs instances as processes between stand-ins of the platform and
// an open-loop load, raises the rate of jobs until the home fails, and splits
// the home's processor time by stage from its CPU profile.
package rattanprofile

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// Options configures a measurement.
type Options struct {
	// Binary is the program that is measured.
	Binary string
	// Rates are the loads to measure, in jobs per second.
	Rates []float64
	// Duration is how long each load lasts.
	Duration time.Duration
	// Targets is the number of targets in the zone, Fronts the number of
	// instances that take the callers' requests for the home.
	Targets int
	Fronts  int
	// Logs is the directory for the logs of the instances; if it is empty, they
	// are discarded.
	Logs string
	// Seed is the random seed of the jobs.
	Seed uint64
}

// Report is the result of a measurement. As JSON, its durations are in nanoseconds.
type Report struct {
	Targets int
	Fronts  int
	Runs    []Run
}

// Run is the result at one rate.
type Run struct {
	// JobsPerSecond is the rate at which jobs were submitted.
	JobsPerSecond float64
	// Jobs is the number of submitted jobs. Each of them was answered as
	// complete, was refused, or failed for another reason.
	Jobs      int
	Succeeded int
	Refused   int
	Failed    int
	// TasksDone is the number of tasks of the jobs that succeeded.
	TasksDone int
	// MedianExcess and P99Excess are the time by which the answers of
	// successful jobs came later than the run time of their tasks.
	MedianExcess time.Duration
	P99Excess    time.Duration
	// HomeCores is the processor time of the home per second of load, in cores.
	HomeCores float64
	// PerTask is the processor time of the home per task done, PerTaskFront
	// that of all other instances.
	PerTask      time.Duration
	PerTaskFront time.Duration
	// Stages splits PerTask, in the order of the stages.
	Stages []StageCost
	// PeakMemoryMB is the peak resident memory of the home.
	PeakMemoryMB float64
}

// Goodput returns the number of successful jobs per second.
func (r *Run) Goodput(duration time.Duration) float64 {
	return float64(r.Succeeded) / duration.Seconds()
}

// Measure measures all rates, each with new processes.
func Measure(ctx context.Context, options Options) (*Report, error) {
	directory, err := os.MkdirTemp("", "rattanprofile")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	report := &Report{Targets: options.Targets, Fronts: options.Fronts}
	for _, rate := range options.Rates {
		run, err := measureRate(ctx, options, rate, directory)
		if err != nil {
			return nil, errors.Annotatef(err, "%.0f jobs per second", rate)
		}
		report.Runs = append(report.Runs, *run)
	}
	return report, nil
}

// warmUp is how long the load runs before it counts, so that connections are
// open and run times are learned.
const warmUp = 2 * time.Second

// measureRate measures one rate.
func measureRate(ctx context.Context, options Options, rate float64, directory string) (*Run, error) {
	profile := filepath.Join(directory, "home.pprof")
	z, err := startZone(ctx, options, rate, directory, profile)
	if err != nil {
		return nil, err
	}
	defer z.close()
	load := newLoad(z, rate, options.Seed)
	load.run(ctx, warmUp)
	load.reset()
	before, err := z.usage(ctx)
	if err != nil {
		return nil, err
	}
	load.run(ctx, options.Duration)
	after, err := z.usage(ctx)
	if err != nil {
		return nil, err
	}
	load.wait()
	if err := z.stop(); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, errors.Trace(err)
	}
	run := load.result()
	run.JobsPerSecond = rate
	run.addUsage(before, after, options.Duration)
	run.Stages, err = readStages(profile, run.PerTask)
	return run, err
}

func (r *Run) addUsage(before, after zoneUsage, duration time.Duration) {
	tasks := time.Duration(max(1, r.TasksDone))
	r.HomeCores = (after.home - before.home).Seconds() / duration.Seconds()
	r.PerTask = (after.home - before.home) / tasks
	r.PerTaskFront = (after.fronts - before.fronts) / tasks
	r.PeakMemoryMB = after.homePeakMB
}
