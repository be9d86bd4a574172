package rattanbench

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// Sizes of the measurement of start costs.
const (
	costDuration = 3 * time.Second
	// costTasks is the number of tasks in a job.
	costTasks   = 10
	costRunTime = 5 * time.Millisecond
)

// costRates are starts per second.
var costRates = []int{500, 1000, 2000, 4000}

// startCosts measures the cost of a start at several rates, with the product's
// scheduler.
func startCosts(ctx context.Context) ([]StartCost, error) {
	var costs []StartCost
	for _, rate := range costRates {
		cost, err := startCost(ctx, rate)
		if err != nil {
			return costs, errors.Annotatef(err, "at %d starts/s", rate)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func startCost(ctx context.Context, rate int) (StartCost, error) {
	e := Experiment{Fleet: Fleet{Targets: 17, SlotsPerTarget: 8}, Jobs: evenJobs(rate)}
	b, err := openEntryBed(ctx, func() Scheduler { return rattanpool.New(rattanpool.Config{}) }, e)
	if err != nil {
		return StartCost{}, err
	}
	defer b.Close()
	before := usage()
	seen := observe(ctx, b, e)
	after := usage()
	starts := float64(max(len(seen.Starts), 1))
	return StartCost{
		Rate:      starts / costDuration.Seconds(),
		CPU:       time.Duration(float64(after.cpu-before.cpu) / starts),
		Allocated: float64(after.allocated-before.allocated) / starts,
		LinkBytes: float64(seen.Traffic.LinkBytes) / float64(max(seen.Traffic.Starts, 1)),
	}, nil
}

// evenJobs returns jobs of costTasks tasks at even distances.
func evenJobs(rate int) []Job {
	interval := time.Second * costTasks / time.Duration(rate)
	runTimes := make([]time.Duration, costTasks)
	for i := range runTimes {
		runTimes[i] = costRunTime
	}
	var jobs []Job
	for at := time.Duration(0); at < costDuration; at += interval {
		jobs = append(jobs, Job{
			At: at, Caller: "App", Kind: "List", Idempotent: true, Deadline: 2 * time.Second, Declared: costRunTime, RunTimes: runTimes,
		})
	}
	return number(jobs)
}

// processUsage is what the process has used since its start.
type processUsage struct {
	cpu       time.Duration
	allocated uint64
}

func usage() processUsage {
	var times syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return processUsage{
		cpu:       time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		allocated: memory.TotalAlloc,
	}
}
