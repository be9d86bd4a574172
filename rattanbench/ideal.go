package rattanbench

import (
	"container/heap"
	"slices"
	"time"
)

// Order is the service order of the single queue of the ideal scheduler.
type Order int

// The service orders.
const (
	// OrderFIFO serves jobs in order of arrival.
	OrderFIFO Order = iota
	// OrderSmallestFirst serves the job with the least remaining work, the sum of
	// the true run times of its tasks that have not started.
	OrderSmallestFirst
)

// String returns the name of the order.
func (o Order) String() string {
	if o == OrderSmallestFirst {
		return "smallest first"
	}
	return "FIFO"
}

// Ideal returns the response time of each job, by index, under an ideal
// scheduler: a single queue serves all slots without overhead and knows the true
// run times. The longest task of a job starts first, and tasks are not
// preempted.
func Ideal(jobs []Job, slots int, order Order) []time.Duration {
	run := idealRun{free: slots, order: order, responses: make([]time.Duration, len(jobs))}
	next := 0
	for next < len(jobs) || run.running.Len() > 0 {
		now := run.nextEvent(jobs, next)
		for next < len(jobs) && jobs[next].Arrival == now {
			run.arrive(jobs[next])
			next++
		}
		run.finish(now)
		run.start(now)
	}
	return run.responses
}

// idealJob is a job in the queue.
type idealJob struct {
	index   int
	arrival time.Duration
	// waiting holds the run times of tasks that have not started, longest first.
	waiting []time.Duration
	// work is the sum of waiting.
	work time.Duration
}

// idealTask is a running task.
type idealTask struct {
	end     time.Duration
	job     int
	arrival time.Duration
}

// idealRun is the state of a simulation of the ideal scheduler.
type idealRun struct {
	free      int
	order     Order
	queue     idealQueue
	running   idealTasks
	responses []time.Duration
}

// nextEvent returns the time of the next arrival or end of a task.
func (r *idealRun) nextEvent(jobs []Job, next int) time.Duration {
	if r.running.Len() == 0 {
		return jobs[next].Arrival
	}
	now := r.running[0].end
	if next < len(jobs) {
		now = min(now, jobs[next].Arrival)
	}
	return now
}

func (r *idealRun) arrive(job Job) {
	waiting := slices.Clone(job.RunTimes)
	slices.SortFunc(waiting, func(a, b time.Duration) int { return int(b - a) })
	r.queue.order = r.order
	heap.Push(&r.queue, &idealJob{index: job.Index, arrival: job.Arrival, waiting: waiting, work: job.Work()})
}

// finish records the response times of the tasks that have ended and frees their
// slots.
func (r *idealRun) finish(now time.Duration) {
	for r.running.Len() > 0 && r.running[0].end <= now {
		task := heap.Pop(&r.running).(idealTask)
		r.responses[task.job] = max(r.responses[task.job], now-task.arrival)
		r.free++
	}
}

// start starts waiting tasks in the free slots.
func (r *idealRun) start(now time.Duration) {
	for r.free > 0 && r.queue.Len() > 0 {
		job := r.queue.jobs[0]
		runTime := job.waiting[0]
		job.waiting = job.waiting[1:]
		job.work -= runTime
		heap.Push(&r.running, idealTask{end: now + runTime, job: job.index, arrival: job.arrival})
		r.free--
		if len(job.waiting) == 0 {
			heap.Pop(&r.queue)
			continue
		}
		heap.Fix(&r.queue, 0)
	}
}

// idealQueue is a heap of jobs in service order.
type idealQueue struct {
	order Order
	jobs  []*idealJob
}

func (q idealQueue) Len() int      { return len(q.jobs) }
func (q idealQueue) Swap(i, j int) { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

func (q idealQueue) Less(i, j int) bool {
	a, b := q.jobs[i], q.jobs[j]
	if q.order == OrderSmallestFirst && a.work != b.work {
		return a.work < b.work
	}
	return a.index < b.index
}

// Push implements heap.Interface.
func (q *idealQueue) Push(job any) { q.jobs = append(q.jobs, job.(*idealJob)) }

// Pop implements heap.Interface.
func (q *idealQueue) Pop() any {
	last := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

// idealTasks is a heap of running tasks in order of their ends.
type idealTasks []idealTask

func (t idealTasks) Len() int           { return len(t) }
func (t idealTasks) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t idealTasks) Less(i, j int) bool { return t[i].end < t[j].end }

// Push implements heap.Interface.
func (t *idealTasks) Push(task any) { *t = append(*t, task.(idealTask)) }

// Pop implements heap.Interface.
func (t *idealTasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
