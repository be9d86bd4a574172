package rattanbench

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// chooser chooses the target that a task is bound to. It gets at least one
// target.
type chooser func(targets []*target) *target

// EarlyBinding binds each task to a target when its job is admitted; the task
// then waits in this target's own FIFO queue, whatever happens elsewhere. The
// queue is held at the dispatcher and a task is sent when a slot of its target
// is free, which spares the baselines the refusals of full targets.
type EarlyBinding struct {
	fleet
	choose chooser
	// lastServed is the position in order where Next continues.
	lastServed int
}

// NewRandomFIFO returns a scheduler that binds tasks to random targets.
func NewRandomFIFO(seed uint64) *EarlyBinding {
	random := rand.New(rand.NewPCG(seed, hashName("RandomFIFO")))
	return newEarlyBinding(func(targets []*target) *target {
		return targets[random.IntN(len(targets))]
	})
}

// NewRoundRobin returns a scheduler that binds tasks to the targets in turn.
func NewRoundRobin() *EarlyBinding {
	next := 0
	return newEarlyBinding(func(targets []*target) *target {
		next++
		return targets[next%len(targets)]
	})
}

// NewLeastOutstanding returns a scheduler that binds each task to a target with
// the fewest tasks that wait or run.
func NewLeastOutstanding(seed uint64) *EarlyBinding {
	random := rand.New(rand.NewPCG(seed, hashName("LeastOutstanding")))
	return newEarlyBinding(func(targets []*target) *target {
		first := random.IntN(len(targets))
		best := targets[first]
		for i := range targets {
			other := targets[(first+i)%len(targets)]
			if other.outstanding() < best.outstanding() {
				best = other
			}
		}
		return best
	})
}

func newEarlyBinding(choose chooser) *EarlyBinding {
	return &EarlyBinding{fleet: newFleet(), choose: choose}
}

// Admit binds all tasks of the job.
func (e *EarlyBinding) Admit(now time.Time, submitted rattanpool.Job) rattanpool.Admission {
	job, admission := e.admit(now, submitted)
	if !admission.Admitted {
		return admission
	}
	for task := range submitted.Tasks {
		bound := e.choose(e.order)
		bound.queue = append(bound.queue, &waitingTask{job: job, task: task, attempt: 1, since: now})
	}
	return admission
}

// Next returns the first waiting task of a target with a free slot.
func (e *EarlyBinding) Next(now time.Time) (rattanpool.Assignment, bool) {
	for i := range e.order {
		position := (e.lastServed + i) % len(e.order)
		on := e.order[position]
		on.dropCancelled()
		if len(on.queue) == 0 || !on.free(now) {
			continue
		}
		task := on.queue[0]
		on.queue = on.queue[1:]
		e.lastServed = position
		return e.assign(now, task, on), true
	}
	return rattanpool.Assignment{}, false
}

// Finish releases the slot. A task that was not started stays bound to its
// target, in front of its queue.
func (e *EarlyBinding) Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) bool {
	again := e.finish(now, ended, report)
	if again == nil {
		return false
	}
	bound := e.targets[ended.Target]
	bound.queue = append([]*waitingTask{again}, bound.queue...)
	return true
}

func (t *target) dropCancelled() {
	for len(t.queue) > 0 && t.queue[0].job.cancelled {
		t.queue = t.queue[1:]
	}
}
