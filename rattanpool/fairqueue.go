package rattanpool

import (
	"container/heap"
	"time"
)

// caller is a client with its state in the fair queue.
type caller struct {
	Caller
	// listed reports whether SetCallers listed the caller; others are removed
	// when idle.
	listed bool
	// busySlots is the number of occupied slots.
	busySlots int
	// jobs is the number of jobs in progress.
	jobs int
	// startTag is the virtual start time of the next task: the slot time
	// charged so far divided by the weight.
	startTag float64
	// active reports whether the caller is in the fair queue.
	active bool
	queues []*callerQueue
	// waitingByKind is the number of waiting tasks by kind.index, including
	// those awaiting a retry; waitingTasks is their sum.
	waitingByKind []int
	waitingTasks  int
}

// quotaExhausted reports whether the caller has used up its quota.
func (c *caller) quotaExhausted() bool {
	return c.Quota > 0 && c.busySlots >= c.Quota
}

// callerQueue holds the jobs of one caller in one job queue.
type callerQueue struct {
	caller   *caller
	jobQueue *jobQueue
	jobs     jobHeap
	// waiting is the number of waiting tasks, including those awaiting a retry;
	// runningShort is the number of running tasks that are not classified as
	// long.
	waiting      int
	runningShort int
	// sortKey and sequence are those of the first job.
	sortKey     time.Duration
	sequence    uint64
	withinShare bool
	index       int // in jobQueue.withinShare or jobQueue.overShare, or -1
}

// jobQueue holds the waiting jobs of one resource profile and length class.
type jobQueue struct {
	profile  *resourceProfile
	long     bool
	jobCount int
	// withinShare holds the callers within their fair share, ordered by the
	// sort key of their first job; overShare holds the others, ordered by start
	// tag.
	withinShare withinShareHeap
	overShare   overShareHeap
}

// head returns the caller queue that is served first, or nil.
func (jq *jobQueue) head() *callerQueue {
	if len(jq.withinShare) > 0 {
		return jq.withinShare[0]
	}
	if len(jq.overShare) > 0 {
		return jq.overShare[0]
	}
	return nil
}

// before reports whether the caller queue is served before one of another job
// queue.
func (cq *callerQueue) before(other *callerQueue) bool {
	if cq.withinShare != other.withinShare {
		return cq.withinShare
	}
	if cq.withinShare || cq.caller == other.caller {
		return cq.sortKey < other.sortKey
	}
	return cq.caller.startTag < other.caller.startTag
}

// fairQueue implements start-time fair queueing of callers in units of slot
// time. Callers that are at most one burst ahead of the virtual time are within
// their share and are served in the order of their jobs. This keeps the tasks
// of a job together, whereas a strict order by start tag would interleave all
// jobs and finish all of them late.
type fairQueue struct {
	// virtualTime is the slot time charged per unit of active weight.
	virtualTime float64
	// activeCallers is the number of callers that have tasks, activeWeight
	// their total weight.
	activeCallers int
	activeWeight  float64
	// burst is the tolerance in slot seconds for all callers together.
	burst float64
	// contended reports whether callers compete for slots for longer than a
	// burst.
	contended bool
}

// uncontendedBursts is the tolerance in bursts when callers do not compete for
// slots. At 80% load callers exceed their share only briefly, and moving their
// small jobs back for that raises the p99 slowdown of single jobs to between 3
// and 17.
const uncontendedBursts = 4

// tolerance returns how far the start tag of a caller may be ahead of the
// virtual time while the caller counts as within its share.
func (q *fairQueue) tolerance(long bool) float64 {
	burst := q.burst
	if !long && !q.contended {
		burst *= uncontendedBursts
	}
	return burst / max(q.activeWeight, 1e-9)
}

// maxStartTag returns the start tag up to which callers are within their share
// in queues of the length class. Long work always gets the smaller tolerance;
// with the larger one, short tasks wait longer for slots that it occupies.
func (q *fairQueue) maxStartTag(long bool) float64 {
	return q.virtualTime + q.tolerance(long)
}

// activate adds the weight of a caller that has tasks. Share that the caller
// did not use while inactive is not carried over.
func (q *fairQueue) activate(c *caller) {
	if c.active {
		return
	}
	c.active = true
	q.activeCallers++
	c.startTag = max(c.startTag, q.virtualTime)
	q.activeWeight += c.Weight
}

func (q *fairQueue) deactivate(c *caller) {
	if !c.active {
		return
	}
	c.active = false
	q.activeCallers--
	q.activeWeight -= c.Weight
	if q.activeCallers == 0 {
		q.activeWeight = 0 // discard rounding errors
	}
}

// charge advances the start tag of a caller by the slot time used.
func (q *fairQueue) charge(c *caller, used time.Duration) {
	c.startTag += used.Seconds() / c.Weight
}

// advanceVirtualTime advances the virtual time after an assignment. A caller
// that exceeds its share because no other caller has tasks pulls the virtual
// time along, but remains over its share.
func (q *fairQueue) advanceVirtualTime(c *caller, used time.Duration) {
	q.virtualTime += used.Seconds() / max(q.activeWeight, c.Weight)
	q.virtualTime = max(q.virtualTime, c.startTag-2*q.tolerance(false))
}

// reposition moves a caller queue to the heap and position that match its
// state.
func (q *fairQueue) reposition(cq *callerQueue) {
	if len(cq.jobs) == 0 || cq.caller.quotaExhausted() {
		cq.remove()
		return
	}
	withinShare := cq.caller.startTag <= q.maxStartTag(cq.jobQueue.long)
	sortKey, sequence := cq.jobs[0].sortKey, cq.jobs[0].sequence
	if cq.index >= 0 && withinShare && cq.withinShare && cq.sortKey == sortKey && cq.sequence == sequence {
		return // the order within the share does not depend on the start tag
	}
	if cq.index >= 0 && cq.withinShare != withinShare {
		cq.remove()
	}
	cq.withinShare, cq.sortKey, cq.sequence = withinShare, sortKey, sequence
	cq.fix()
}

// promote moves callers to withinShare once the virtual time has caught up with
// them.
func (q *fairQueue) promote(jq *jobQueue) {
	limit := q.maxStartTag(jq.long)
	for len(jq.overShare) > 0 && jq.overShare[0].caller.startTag <= limit {
		q.reposition(jq.overShare[0])
	}
}

func (cq *callerQueue) heap() heap.Interface {
	if cq.withinShare {
		return &cq.jobQueue.withinShare
	}
	return &cq.jobQueue.overShare
}

func (cq *callerQueue) fix() {
	if cq.index >= 0 {
		heap.Fix(cq.heap(), cq.index)
		return
	}
	heap.Push(cq.heap(), cq)
}

func (cq *callerQueue) remove() {
	if cq.index >= 0 {
		heap.Remove(cq.heap(), cq.index)
	}
}

// withinShareHeap orders caller queues by their first job; it implements
// heap.Interface.
type withinShareHeap []*callerQueue

func (h withinShareHeap) Len() int { return len(h) }

func (h withinShareHeap) Less(a, b int) bool {
	if h[a].sortKey != h[b].sortKey {
		return h[a].sortKey < h[b].sortKey
	}
	return h[a].sequence < h[b].sequence
}

func (h withinShareHeap) Swap(a, b int) { swapQueues(h, a, b) }
func (h *withinShareHeap) Push(item any) {
	*h = pushQueue(*h, item.(*callerQueue))
}

func (h *withinShareHeap) Pop() any {
	var removed *callerQueue
	*h, removed = popQueue(*h)
	return removed
}

// overShareHeap orders caller queues by the start tag of their caller; it
// implements heap.Interface.
type overShareHeap []*callerQueue

func (h overShareHeap) Len() int { return len(h) }

func (h overShareHeap) Less(a, b int) bool {
	if h[a].caller.startTag != h[b].caller.startTag {
		return h[a].caller.startTag < h[b].caller.startTag
	}
	return h[a].caller.Name < h[b].caller.Name
}

func (h overShareHeap) Swap(a, b int) { swapQueues(h, a, b) }
func (h *overShareHeap) Push(item any) {
	*h = pushQueue(*h, item.(*callerQueue))
}

func (h *overShareHeap) Pop() any {
	var removed *callerQueue
	*h, removed = popQueue(*h)
	return removed
}

func swapQueues(queues []*callerQueue, a, b int) {
	queues[a], queues[b] = queues[b], queues[a]
	queues[a].index, queues[b].index = a, b
}

func pushQueue(queues []*callerQueue, added *callerQueue) []*callerQueue {
	added.index = len(queues)
	return append(queues, added)
}

func popQueue(queues []*callerQueue) ([]*callerQueue, *callerQueue) {
	last := len(queues) - 1
	removed := queues[last]
	queues[last] = nil
	removed.index = -1
	return queues[:last], removed
}
