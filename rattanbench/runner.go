package rattanbench

import (
	"context"
	"sync"
	"time"
)

// drainTime is how long a run waits after the last deadline that counts, for
// answers that are late.
const drainTime = 2 * time.Second

// bed is a system with its own fleet for one run.
type bed interface {
	System
	// Begin starts the observation; times of starts count from the argument.
	Begin(start time.Time)
	// Traffic returns the messages since Begin.
	Traffic() Traffic
	// Starts returns the starts of tasks since Begin.
	Starts() []Start
	Close()
}

// openBed returns a system that dispatches by schedulers of the function to the
// fleet of the experiment.
type openBed func(ctx context.Context, newScheduler func() Scheduler, e Experiment) (bed, error)

// observe runs the experiment on the bed. Messages are counted until the last
// arrival, while the load is the stated one.
func observe(ctx context.Context, b bed, e Experiment) Observation {
	const leadTime = 50 * time.Millisecond
	start := time.Now().Add(leadTime)
	b.Begin(start)
	var seen Observation
	counted := make(chan struct{})
	lastArrival := start.Add(e.Jobs[len(e.Jobs)-1].At)
	time.AfterFunc(time.Until(lastArrival), func() {
		seen.Traffic = b.Traffic()
		close(counted)
	})
	seen.Outcomes = runOpenLoop(ctx, b, e.Jobs, start)
	<-counted
	seen.Starts = b.Starts()
	return seen
}

// runOpenLoop submits each job at its scheduled arrival, whatever the system
// has answered so far, and returns the outcomes by index.
func runOpenLoop(ctx context.Context, system System, jobs []Job, start time.Time) []Outcome {
	ctx, cancel := context.WithDeadline(ctx, start.Add(lastAnswer(jobs)))
	defer cancel()
	outcomes := make([]Outcome, len(jobs))
	var counted, long sync.WaitGroup
	for _, job := range jobs {
		due := start.Add(job.At)
		time.Sleep(time.Until(due))
		group := &counted
		if job.Long {
			group = &long
		}
		group.Go(func() {
			outcome := system.Submit(ctx, job)
			outcome.Response = time.Since(due)
			outcomes[job.Index] = outcome
		})
	}
	counted.Wait()
	cancel()
	long.Wait()
	return outcomes
}

// lastAnswer returns the time by which a run is over. It does not wait for long
// work, whose answers count in no measure.
func lastAnswer(jobs []Job) time.Duration {
	var last time.Duration
	for _, job := range jobs {
		if !job.Long {
			last = max(last, job.At+job.Deadline)
		}
	}
	return last + drainTime
}

func closeBeds(beds []bed) {
	var closing sync.WaitGroup
	for _, b := range beds {
		if b != nil {
			closing.Go(b.Close)
		}
	}
	closing.Wait()
}
