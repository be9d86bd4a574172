package rattanbench

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// targetChooser chooses the target that a task is bound to from one or more
// targets.
type targetChooser func(targets []*target) *target

// EarlyBinding binds each task to a target when its job is admitted. The task
// then waits in the FIFO queue of this target, even if another target has a free
// slot. The dispatcher holds the queue and sends a task only when its target has
// a free slot, so that the baselines are not penalised by refusals of full
// targets.
type EarlyBinding struct {
	baseline
	choose targetChooser
	// lastServed is the index in activeTargets at which Next continues.
	lastServed int
}

// NewRandomFIFO returns a scheduler that binds tasks to random targets.
func NewRandomFIFO(seed uint64) *EarlyBinding {
	random := rand.New(rand.NewPCG(seed, hashName("RandomFIFO")))
	return newEarlyBinding(func(targets []*target) *target {
		return targets[random.IntN(len(targets))]
	})
}

// NewRoundRobin returns a scheduler that binds tasks to targets in rotation.
func NewRoundRobin() *EarlyBinding {
	next := 0
	return newEarlyBinding(func(targets []*target) *target {
		next++
		return targets[next%len(targets)]
	})
}

// NewLeastOutstanding returns a scheduler that binds each task to a target with
// the fewest waiting and running tasks.
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

func newEarlyBinding(choose targetChooser) *EarlyBinding {
	return &EarlyBinding{baseline: newBaseline(), choose: choose}
}

// Admit binds all tasks of the job to targets.
func (e *EarlyBinding) Admit(now time.Time, submitted rattanpool.Job) rattanpool.Admission {
	job, admission := e.admit(now, submitted)
	if !admission.Admitted {
		return admission
	}
	for task := range submitted.Tasks {
		chosen := e.choose(e.activeTargets)
		chosen.queue = append(chosen.queue, &waitingTask{job: job, task: task, attempt: 1, waitingSince: now})
	}
	return admission
}

// Next assigns the first waiting task of a target with a free slot.
func (e *EarlyBinding) Next(now time.Time) (rattanpool.Assignment, bool) {
	for i := range e.activeTargets {
		position := (e.lastServed + i) % len(e.activeTargets)
		candidate := e.activeTargets[position]
		candidate.dropCancelled()
		if len(candidate.queue) == 0 || !candidate.hasFreeSlot(now) {
			continue
		}
		task := candidate.queue[0]
		candidate.queue = candidate.queue[1:]
		e.lastServed = position
		return e.assign(now, task, candidate), true
	}
	return rattanpool.Assignment{}, false
}

// Finish releases the slot. A task that was not started stays bound to its
// target and returns to the head of its queue.
func (e *EarlyBinding) Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) bool {
	retry := e.finish(now, ended, report)
	if retry == nil {
		return false
	}
	boundTarget := e.targets[ended.Target]
	boundTarget.queue = append([]*waitingTask{retry}, boundTarget.queue...)
	return true
}

// dropCancelled removes the tasks of cancelled jobs from the head of the queue.
func (t *target) dropCancelled() {
	for len(t.queue) > 0 && t.queue[0].job.cancelled {
		t.queue = t.queue[1:]
	}
}
