package rattanbench

import (
	"context"
	"sync"
	"time"
)

// drainTime is how long a run waits for late answers after the last deadline of a
// job that is not long.
const drainTime = 2 * time.Second

// systemUnderTest is a system with its own fleet for one experiment.
type systemUnderTest interface {
	System
	// Begin starts the measurement. Times of task starts are relative to start.
	Begin(start time.Time)
	// Traffic returns the message counts since Begin.
	Traffic() Traffic
	// Starts returns the task starts since Begin.
	Starts() []TaskStart
	Close()
}

// openSystemFunc starts a system with the fleet of the experiment. Its entry
// instances use schedulers made by newScheduler.
type openSystemFunc func(ctx context.Context, newScheduler func() Scheduler, e Experiment) (systemUnderTest, error)

// runExperiment runs the experiment on the system. Messages are counted until the
// last arrival, that is while the system is under the specified load.
func runExperiment(ctx context.Context, system systemUnderTest, e Experiment) Observation {
	const leadTime = 50 * time.Millisecond
	start := time.Now().Add(leadTime)
	system.Begin(start)
	var observation Observation
	trafficCounted := make(chan struct{})
	lastArrival := start.Add(e.Jobs[len(e.Jobs)-1].Arrival)
	time.AfterFunc(time.Until(lastArrival), func() {
		observation.Traffic = system.Traffic()
		close(trafficCounted)
	})
	observation.Outcomes = runOpenLoop(ctx, system, e.Jobs, start)
	<-trafficCounted
	observation.Starts = system.Starts()
	return observation
}

// runOpenLoop submits each job at its scheduled arrival, without waiting for
// earlier answers, and returns the outcomes by index.
func runOpenLoop(ctx context.Context, system System, jobs []Job, start time.Time) []Outcome {
	ctx, cancel := context.WithDeadline(ctx, start.Add(runEnd(jobs)))
	defer cancel()
	outcomes := make([]Outcome, len(jobs))
	var short, long sync.WaitGroup
	for _, job := range jobs {
		scheduled := start.Add(job.Arrival)
		time.Sleep(time.Until(scheduled))
		group := &short
		if job.Long {
			group = &long
		}
		group.Go(func() {
			outcome := system.Submit(ctx, job)
			outcome.Response = time.Since(scheduled)
			outcomes[job.Index] = outcome
		})
	}
	short.Wait()
	cancel()
	long.Wait()
	return outcomes
}

// runEnd returns the time after its start at which a run is over. Long jobs are
// not waited for, because their answers do not count in any measure.
func runEnd(jobs []Job) time.Duration {
	var last time.Duration
	for _, job := range jobs {
		if !job.Long {
			last = max(last, job.Arrival+job.Deadline)
		}
	}
	return last + drainTime
}

func closeSystems(systems []systemUnderTest) {
	var closing sync.WaitGroup
	for _, system := range systems {
		if system != nil {
			closing.Go(system.Close)
		}
	}
	closing.Wait()
}
