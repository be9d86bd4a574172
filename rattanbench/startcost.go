package rattanbench

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// Parameters of the measurement of start costs.
const (
	costDuration    = 3 * time.Second
	costTasksPerJob = 10
	costRunTime     = 5 * time.Millisecond
)

// costRates are the measured rates in starts per second.
var costRates = []int{500, 1000, 2000, 4000}

// startCosts measures the cost of a task start at each of costRates, with the
// product's scheduler.
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
	e := Experiment{Fleet: Fleet{Targets: 17, SlotsPerTarget: 8}, Jobs: evenlySpacedJobs(rate)}
	system, err := startEntrySystem(ctx, func() Scheduler { return rattanpool.New(rattanpool.Config{}) }, e)
	if err != nil {
		return StartCost{}, err
	}
	defer system.Close()
	usageBefore := currentUsage()
	observation := runExperiment(ctx, system, e)
	usageAfter := currentUsage()
	starts := float64(max(len(observation.Starts), 1))
	return StartCost{
		Rate:      starts / costDuration.Seconds(),
		CPU:       time.Duration(float64(usageAfter.cpu-usageBefore.cpu) / starts),
		Allocated: float64(usageAfter.allocated-usageBefore.allocated) / starts,
		LinkBytes: float64(observation.Traffic.LinkBytes) / float64(max(observation.Traffic.Starts, 1)),
	}, nil
}

// evenlySpacedJobs returns jobs at equal intervals, at a rate given in tasks per
// second.
func evenlySpacedJobs(rate int) []Job {
	interval := time.Second * costTasksPerJob / time.Duration(rate)
	runTimes := make([]time.Duration, costTasksPerJob)
	for i := range runTimes {
		runTimes[i] = costRunTime
	}
	var jobs []Job
	for at := time.Duration(0); at < costDuration; at += interval {
		jobs = append(jobs, Job{
			Arrival: at, Caller: "App", Kind: "List", Idempotent: true, Deadline: 2 * time.Second, Declared: costRunTime, RunTimes: runTimes,
		})
	}
	return sortAndIndex(jobs)
}

// processUsage is the processor time and the heap memory allocated since the start
// of the process.
type processUsage struct {
	cpu       time.Duration
	allocated uint64
}

func currentUsage() processUsage {
	var times syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return processUsage{
		cpu:       time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		allocated: memory.TotalAlloc,
	}
}
