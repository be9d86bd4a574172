package rattanbench

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// ProportionalDelay keeps one FIFO queue and places each task on a random target
// with probability proportional to 1/delay, after Ren et al., "Distributed joint
// optimization for large-scale video-on-demand", section 4.1. The delay is the
// smoothed run time of tasks on the target.
//
// Only targets with a free slot are drawn (late binding). With early binding,
// tasks would wait in the queues of their targets as in the three other
// baselines, and the comparison would only measure the cost of early binding
// again. With late binding, the policy differs from the product only in
// placement and queue order, which are the choices to evaluate.
type ProportionalDelay struct {
	baseline
	random  *rand.Rand
	queue   []*waitingTask
	weights []float64
}

// NewProportionalDelay returns a scheduler whose random choices use the seed.
func NewProportionalDelay(seed uint64) *ProportionalDelay {
	return &ProportionalDelay{
		baseline: newBaseline(),
		random:   rand.New(rand.NewPCG(seed, hashName("ProportionalDelay"))),
	}
}

// Admit queues all tasks of the job.
func (p *ProportionalDelay) Admit(now time.Time, submitted rattanpool.Job) rattanpool.Admission {
	job, admission := p.admit(now, submitted)
	if !admission.Admitted {
		return admission
	}
	for task := range submitted.Tasks {
		p.queue = append(p.queue, &waitingTask{job: job, task: task, attempt: 1, waitingSince: now})
	}
	return admission
}

// Next assigns the first waiting task to a free target.
func (p *ProportionalDelay) Next(now time.Time) (rattanpool.Assignment, bool) {
	for len(p.queue) > 0 && p.queue[0].job.cancelled {
		p.queue = p.queue[1:]
	}
	if len(p.queue) == 0 {
		return rattanpool.Assignment{}, false
	}
	chosen := p.drawTarget(now)
	if chosen == nil {
		return rattanpool.Assignment{}, false
	}
	task := p.queue[0]
	p.queue = p.queue[1:]
	return p.assign(now, task, chosen), true
}

// Finish releases the slot. A task that was not started returns to the head of
// the queue.
func (p *ProportionalDelay) Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) bool {
	retry := p.finish(now, ended, report)
	if retry == nil {
		return false
	}
	p.queue = append([]*waitingTask{retry}, p.queue...)
	return true
}

// drawTarget draws a target with a free slot. Targets without a measured delay
// count as fast as the fastest measured target, so that they are tried.
func (p *ProportionalDelay) drawTarget(now time.Time) *target {
	const fallbackDelay = 0.1 // seconds
	fastest := 0.0
	for _, t := range p.activeTargets {
		if t.delay > 0 && (fastest == 0 || t.delay < fastest) {
			fastest = t.delay
		}
	}
	if fastest == 0 {
		fastest = fallbackDelay
	}
	p.weights = p.weights[:0]
	total := 0.0
	for _, t := range p.activeTargets {
		weight := 0.0
		if t.hasFreeSlot(now) {
			weight = 1 / max(t.delay, fastest)
		}
		total += weight
		p.weights = append(p.weights, weight)
	}
	if total == 0 {
		return nil
	}
	return p.activeTargets[pickWeighted(p.random, p.weights)]
}
