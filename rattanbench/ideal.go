package rattanbench

import (
	"container/heap"
	"slices"
	"time"
)

// Order is the order in which the ideal's single queue serves jobs.
type Order int

// The orders of the ideal.
const (
	// OrderFIFO serves jobs by arrival.
	OrderFIFO Order = iota
	// OrderSmallest serves the job with the least true work that is not
	// started yet.
	OrderSmallest
)

// String returns the name of the order.
func (o Order) String() string {
	if o == OrderSmallest {
		return "smallest first"
	}
	return "FIFO"
}

// Ideal returns the response time of each job, by index, when one omniscient
// queue serves all slots without any overhead. True run times are known: the
// longest task of a job starts first, and OrderSmallest compares true work. A
// task that has started is never interrupted.
func Ideal(jobs []Job, slots int, order Order) []time.Duration {
	loop := idealLoop{free: slots, order: order, responses: make([]time.Duration, len(jobs))}
	next := 0
	for next < len(jobs) || loop.running.Len() > 0 {
		now := loop.nextEvent(jobs, next)
		for next < len(jobs) && jobs[next].At == now {
			loop.arrive(jobs[next])
			next++
		}
		loop.finish(now)
		loop.start(now)
	}
	return loop.responses
}

// idealJob is a job in the ideal's queue.
type idealJob struct {
	index int
	at    time.Duration
	// waiting has the run times of tasks that are not started, longest first.
	waiting []time.Duration
	// work is the sum of waiting.
	work time.Duration
}

// idealTask is a task in a slot.
type idealTask struct {
	end   time.Duration
	index int
	at    time.Duration
}

type idealLoop struct {
	free      int
	order     Order
	queue     idealQueue
	running   idealTasks
	responses []time.Duration
}

func (l *idealLoop) nextEvent(jobs []Job, next int) time.Duration {
	if l.running.Len() == 0 {
		return jobs[next].At
	}
	now := l.running[0].end
	if next < len(jobs) {
		now = min(now, jobs[next].At)
	}
	return now
}

func (l *idealLoop) arrive(job Job) {
	waiting := slices.Clone(job.RunTimes)
	slices.SortFunc(waiting, func(a, b time.Duration) int { return int(b - a) })
	l.queue.order = l.order
	heap.Push(&l.queue, &idealJob{index: job.Index, at: job.At, waiting: waiting, work: job.Work()})
}

func (l *idealLoop) finish(now time.Duration) {
	for l.running.Len() > 0 && l.running[0].end <= now {
		task := heap.Pop(&l.running).(idealTask)
		l.responses[task.index] = max(l.responses[task.index], now-task.at)
		l.free++
	}
}

func (l *idealLoop) start(now time.Duration) {
	for l.free > 0 && l.queue.Len() > 0 {
		job := l.queue.jobs[0]
		runTime := job.waiting[0]
		job.waiting = job.waiting[1:]
		job.work -= runTime
		heap.Push(&l.running, idealTask{end: now + runTime, index: job.index, at: job.at})
		l.free--
		if len(job.waiting) == 0 {
			heap.Pop(&l.queue)
			continue
		}
		heap.Fix(&l.queue, 0)
	}
}

// idealQueue is a heap of jobs in the order of service.
type idealQueue struct {
	order Order
	jobs  []*idealJob
}

func (q idealQueue) Len() int      { return len(q.jobs) }
func (q idealQueue) Swap(i, j int) { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

func (q idealQueue) Less(i, j int) bool {
	a, b := q.jobs[i], q.jobs[j]
	if q.order == OrderSmallest && a.work != b.work {
		return a.work < b.work
	}
	return a.index < b.index
}

// Push adds a job for container/heap.
func (q *idealQueue) Push(job any) { q.jobs = append(q.jobs, job.(*idealJob)) }

// Pop removes the last job for container/heap.
func (q *idealQueue) Pop() any {
	last := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

// idealTasks is a heap of running tasks by end.
type idealTasks []idealTask

func (t idealTasks) Len() int           { return len(t) }
func (t idealTasks) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t idealTasks) Less(i, j int) bool { return t[i].end < t[j].end }

// Push adds a task for container/heap.
func (t *idealTasks) Push(task any) { *t = append(*t, task.(idealTask)) }

// Pop removes the last task for container/heap.
func (t *idealTasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
