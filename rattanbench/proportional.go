package rattanbench

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// ProportionalDelay keeps one FIFO queue and places each task on a target that
// is drawn with probability proportional to 1/delay, after Ren et al.,
// "Distributed joint optimization for large-scale video-on-demand", section
// 4.1. The delay is the smoothed run time of tasks on the target.
//
// The draw is among targets with a free slot (late binding). Bound early, the
// rule would wait behind the target's own queue as the other baselines do, and
// the comparison would show the cost of early binding a fourth time. Bound
// late, it differs from the product in the placement rule and the queue's
// order only, which is the question that the design page asks.
type ProportionalDelay struct {
	fleet
	random  *rand.Rand
	queue   []*waitingTask
	weights []float64
}

// NewProportionalDelay returns a scheduler that draws targets with the seed.
func NewProportionalDelay(seed uint64) *ProportionalDelay {
	return &ProportionalDelay{
		fleet:  newFleet(),
		random: rand.New(rand.NewPCG(seed, hashName("ProportionalDelay"))),
	}
}

// Admit queues all tasks of the job.
func (p *ProportionalDelay) Admit(now time.Time, submitted rattanpool.Job) rattanpool.Admission {
	job, admission := p.admit(now, submitted)
	if !admission.Admitted {
		return admission
	}
	for task := range submitted.Tasks {
		p.queue = append(p.queue, &waitingTask{job: job, task: task, attempt: 1, since: now})
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
	on := p.place(now)
	if on == nil {
		return rattanpool.Assignment{}, false
	}
	task := p.queue[0]
	p.queue = p.queue[1:]
	return p.assign(now, task, on), true
}

// Finish releases the slot. A task that was not started goes to the front of
// the queue.
func (p *ProportionalDelay) Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) bool {
	again := p.finish(now, ended, report)
	if again == nil {
		return false
	}
	p.queue = append([]*waitingTask{again}, p.queue...)
	return true
}

// place draws a target with a free slot. Targets without any observation count
// as fast as the fastest known one, so that they are tried.
func (p *ProportionalDelay) place(now time.Time) *target {
	const fallbackDelay = 0.1
	fastest := 0.0
	for _, known := range p.order {
		if known.delay > 0 && (fastest == 0 || known.delay < fastest) {
			fastest = known.delay
		}
	}
	if fastest == 0 {
		fastest = fallbackDelay
	}
	p.weights = p.weights[:0]
	total := 0.0
	for _, known := range p.order {
		weight := 0.0
		if known.free(now) {
			weight = 1 / max(known.delay, fastest)
		}
		total += weight
		p.weights = append(p.weights, weight)
	}
	if total == 0 {
		return nil
	}
	return p.order[pick(p.random, p.weights)]
}
