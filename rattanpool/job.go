package rattanpool

import "time"

// taskState is the lifecycle state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskAwaitingRetry means that the retry budget does not allow the next
	// attempt yet.
	taskAwaitingRetry
	taskRunning
	taskEnded
)

// task is one task of a job. Its fields are laid out to fill one 64-byte cache
// line.
type task struct {
	job    *job
	target *target
	// stateSince is when the task started to wait or to run.
	stateSince time.Duration
	// chargedTime is the run time charged to the caller when the task started.
	chargedTime time.Duration
	// previous and next link the running tasks of a kind.
	previous, next *task
	index          int32
	attempt        int32
	state          taskState
	// long reports whether the running task is classified as long.
	long bool
}

// job is an admitted job.
type job struct {
	Job
	kind        *kind
	callerQueue *callerQueue
	profile     *resourceProfile
	tasks       []task
	admitted    time.Duration
	deadline    time.Duration
	// nextUnassigned is the index of the first task that was never assigned.
	nextUnassigned int
	// retryTasks holds the waiting tasks that have been assigned before.
	retryTasks     []int32
	pendingRetries int
	running        int
	// cancelled jobs get no further assignments.
	cancelled bool
	// endedTasks is the number of ended tasks that may have started.
	endedTasks int
	// rackBits has a bit set for each rack, by hash, that runs or ran a task.
	rackBits uint64
	// slack is how much later than estimated at admission the job may end and
	// still meet its deadline.
	slack time.Duration
	// sortKey orders the jobs of a queue, smallest first. It is a point in
	// time.
	sortKey  time.Duration
	sequence uint64
	index    int // in callerQueue.jobs, or -1
	// expiresAt is when the job can no longer meet its deadline.
	expiresAt   time.Duration
	expiryIndex int // in Scheduler.expiries, or -1
}

// waiting returns the number of tasks that can be assigned.
func (j *job) waiting() int {
	return len(j.tasks) - j.nextUnassigned + len(j.retryTasks)
}

// takeTask removes and returns a waiting task.
func (j *job) takeTask() *task {
	if last := len(j.retryTasks) - 1; last >= 0 {
		taken := &j.tasks[j.retryTasks[last]]
		j.retryTasks = j.retryTasks[:last]
		return taken
	}
	j.nextUnassigned++
	return &j.tasks[j.nextUnassigned-1]
}

// reset prepares a recycled job for reuse and keeps the capacity of its slices.
func (j *job) reset(submitted Job, now time.Duration) {
	tasks := j.tasks
	if cap(tasks) < submitted.Tasks {
		tasks = make([]task, submitted.Tasks)
	}
	*j = job{Job: submitted, tasks: tasks[:submitted.Tasks], retryTasks: j.retryTasks[:0], admitted: now, index: -1, expiryIndex: -1}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: int32(i), stateSince: now}
	}
}

// jobHeap orders jobs by sort key; it implements heap.Interface.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(a, b int) bool {
	if h[a].sortKey != h[b].sortKey {
		return h[a].sortKey < h[b].sortKey
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

// expiryHeap orders jobs by the time at which they can no longer meet their
// deadline; it implements heap.Interface.
type expiryHeap []*job

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(a, b int) bool { return h[a].expiresAt < h[b].expiresAt }

func (h expiryHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].expiryIndex, h[b].expiryIndex = a, b
}

func (h *expiryHeap) Push(item any) {
	added := item.(*job)
	added.expiryIndex = len(*h)
	*h = append(*h, added)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.expiryIndex = -1
	return removed
}
