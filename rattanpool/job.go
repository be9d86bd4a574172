package rattanpool

import "time"

// taskState is where a task stands.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskParked
	taskRunning
	taskEnded
)

// task is one task of a job. It fills one cache line of 64 bytes.
type task struct {
	job    *job
	target *target
	// since is when the task began to wait or to run.
	since time.Duration
	// charge is the run time that its caller was charged at the start.
	charge time.Duration
	// previous and next link the running tasks of a kind.
	previous, next *task
	index          int32
	attempt        int32
	state          taskState
	// long says that the running task counts as long work.
	long bool
}

// job is an admitted job.
type job struct {
	Job
	kind     *kind
	entry    *entry
	profile  *profile
	tasks    []task
	admitted time.Duration
	deadline time.Duration
	// fresh is the index of the first task that was never assigned.
	fresh int
	// again holds the waiting tasks that were assigned before.
	again   []int32
	parked  int
	running int
	// cancelled jobs get no further assignments.
	cancelled bool
	// ended is the number of tasks that ended after they may have started.
	ended int
	// racks has a bit for each rack, by hash, that runs or ran a task.
	racks uint64
	// slack is how much later than expected at its admission the job may end
	// and still meet its deadline.
	slack time.Duration
	// key orders jobs: the least goes first. It is a time.
	key      time.Duration
	sequence uint64
	index    int // in entry.jobs, or -1
	// lapse is when the job can no longer meet its deadline.
	lapse      time.Duration
	lapseIndex int // in Scheduler.lapses, or -1
}

// waiting returns the number of tasks that may be assigned.
func (j *job) waiting() int {
	return len(j.tasks) - j.fresh + len(j.again)
}

// pick removes a waiting task and returns it.
func (j *job) pick() *task {
	if last := len(j.again) - 1; last >= 0 {
		picked := &j.tasks[j.again[last]]
		j.again = j.again[:last]
		return picked
	}
	j.fresh++
	return &j.tasks[j.fresh-1]
}

// reset prepares a job for another use and keeps the memory of its slices.
func (j *job) reset(submitted Job, now time.Duration) {
	tasks := j.tasks
	if cap(tasks) < submitted.Tasks {
		tasks = make([]task, submitted.Tasks)
	}
	*j = job{Job: submitted, tasks: tasks[:submitted.Tasks], again: j.again[:0], admitted: now, index: -1, lapseIndex: -1}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: int32(i), since: now}
	}
}

// jobHeap orders jobs by their key; it implements heap.Interface.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(a, b int) bool {
	if h[a].key != h[b].key {
		return h[a].key < h[b].key
	}
	return h[a].sequence < h[b].sequence
}

func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (h *jobHeap) Push(item any) {
	added := item.(*job)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.index = -1
	return removed
}

// lapseHeap orders jobs by the time at which they can no longer meet their
// deadline; it implements heap.Interface.
type lapseHeap []*job

func (h lapseHeap) Len() int           { return len(h) }
func (h lapseHeap) Less(a, b int) bool { return h[a].lapse < h[b].lapse }

func (h lapseHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].lapseIndex, h[b].lapseIndex = a, b
}

func (h *lapseHeap) Push(item any) {
	added := item.(*job)
	added.lapseIndex = len(*h)
	*h = append(*h, added)
}

func (h *lapseHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.lapseIndex = -1
	return removed
}
