package rattanpool

import (
	"container/heap"
	"time"
)

// caller is a submitting party with its place in the fair queue.
type caller struct {
	Caller
	// listed says that SetCallers named the caller; others are dropped when idle.
	listed bool
	// held is the number of slots held.
	held int
	// jobs is the number of its jobs in the scheduler.
	jobs int
	// tag is the virtual start time of its next task: the slot time charged so
	// far, divided by the weight.
	tag     float64
	active  bool
	entries []*entry
	// waiting is the number of waiting and parked tasks by kind.id, backlog
	// their sum.
	waiting []int
	backlog int
}

// blocked says that the caller's quota is used up.
func (c *caller) blocked() bool {
	return c.Quota > 0 && c.held >= c.Quota
}

// entry holds the jobs of one caller in one lane.
type entry struct {
	caller *caller
	lane   *lane
	jobs   jobHeap
	// waiting is the number of waiting and parked tasks, short the number of
	// running tasks that do not count as long.
	waiting int
	short   int
	// key and sequence are those of the first job.
	key      time.Duration
	sequence uint64
	within   bool
	index    int // in lane.within or lane.beyond, or -1
}

// lane holds the waiting jobs that have the same needs and length class.
type lane struct {
	profile *profile
	long    bool
	jobs    int
	// within holds the callers that are within their share, by the key of their
	// first job; beyond holds the others, by their tag.
	within withinHeap
	beyond beyondHeap
}

// head returns the entry that goes first, nil for none.
func (l *lane) head() *entry {
	if len(l.within) > 0 {
		return l.within[0]
	}
	if len(l.beyond) > 0 {
		return l.beyond[0]
	}
	return nil
}

// before says whether entry a goes before entry b of another lane.
func (e *entry) before(other *entry) bool {
	if e.within != other.within {
		return e.within
	}
	if e.within || e.caller == other.caller {
		return e.key < other.key
	}
	return e.caller.tag < other.caller.tag
}

// fairQueue orders callers by start-time fair queueing in slot time. Callers
// that are at most one burst ahead of the virtual time are within their share
// and are served in the order of their jobs; this keeps the tasks of a job
// together, where strict tags would interleave all jobs and end them all late.
type fairQueue struct {
	// virtual is the virtual time: slot time charged per unit of active weight.
	virtual float64
	// active is the number of callers that have tasks, weight their weight.
	active int
	weight float64
	// burst is the tolerance in slot time for all callers together, in seconds.
	burst float64
	// contended says that callers compete for slots for longer than a burst.
	contended bool
}

// calmBursts is the tolerance without contention, in bursts. At 80% load callers
// are beyond their share for moments only; to put their small jobs behind makes
// the p99 slowdown of single jobs 3 to 17.
const calmBursts = 4

func (q *fairQueue) tolerance(long bool) float64 {
	burst := q.burst
	if !long && !q.contended {
		burst *= calmBursts
	}
	return burst / max(q.weight, 1e-9)
}

// limit returns the tag up to which callers are within their share in a lane of
// the length class. Long work always has the smaller tolerance: with the larger
// one, short tasks wait longer behind it.
func (q *fairQueue) limit(long bool) float64 {
	return q.virtual + q.tolerance(long)
}

// activate adds the weight of a caller that has tasks; its unused share of
// earlier times is lost.
func (q *fairQueue) activate(c *caller) {
	if c.active {
		return
	}
	c.active = true
	q.active++
	c.tag = max(c.tag, q.virtual)
	q.weight += c.Weight
}

func (q *fairQueue) deactivate(c *caller) {
	if !c.active {
		return
	}
	c.active = false
	q.active--
	q.weight -= c.Weight
	if q.active == 0 {
		q.weight = 0 // drops rounding errors
	}
}

// charge moves the tag of a caller by slot time used.
func (q *fairQueue) charge(c *caller, used time.Duration) {
	c.tag += used.Seconds() / c.Weight
}

// advance moves the virtual time with an assignment. A caller that runs beyond
// its share for lack of others draws the virtual time behind it, but stays
// beyond.
func (q *fairQueue) advance(c *caller, used time.Duration) {
	q.virtual += used.Seconds() / max(q.weight, c.Weight)
	q.virtual = max(q.virtual, c.tag-2*q.tolerance(false))
}

// arrange puts an entry in the heap where it belongs.
func (q *fairQueue) arrange(e *entry) {
	if len(e.jobs) == 0 || e.caller.blocked() {
		e.remove()
		return
	}
	within := e.caller.tag <= q.limit(e.lane.long)
	key, sequence := e.jobs[0].key, e.jobs[0].sequence
	if e.index >= 0 && within && e.within && e.key == key && e.sequence == sequence {
		return // the order within the share does not depend on the tag
	}
	if e.index >= 0 && e.within != within {
		e.remove()
	}
	e.within, e.key, e.sequence = within, key, sequence
	e.fix()
}

// promote moves the callers that the virtual time has caught up with.
func (q *fairQueue) promote(l *lane) {
	limit := q.limit(l.long)
	for len(l.beyond) > 0 && l.beyond[0].caller.tag <= limit {
		q.arrange(l.beyond[0])
	}
}

func (e *entry) heap() heap.Interface {
	if e.within {
		return &e.lane.within
	}
	return &e.lane.beyond
}

func (e *entry) fix() {
	if e.index >= 0 {
		heap.Fix(e.heap(), e.index)
		return
	}
	heap.Push(e.heap(), e)
}

func (e *entry) remove() {
	if e.index >= 0 {
		heap.Remove(e.heap(), e.index)
	}
}

// withinHeap orders entries by their first job; it implements heap.Interface.
type withinHeap []*entry

func (h withinHeap) Len() int { return len(h) }

func (h withinHeap) Less(a, b int) bool {
	if h[a].key != h[b].key {
		return h[a].key < h[b].key
	}
	return h[a].sequence < h[b].sequence
}

func (h withinHeap) Swap(a, b int) { swapEntries(h, a, b) }
func (h *withinHeap) Push(item any) {
	*h = pushEntry(*h, item.(*entry))
}

func (h *withinHeap) Pop() any {
	var removed *entry
	*h, removed = popEntry(*h)
	return removed
}

// beyondHeap orders entries by the tag of their caller; it implements
// heap.Interface.
type beyondHeap []*entry

func (h beyondHeap) Len() int { return len(h) }

func (h beyondHeap) Less(a, b int) bool {
	if h[a].caller.tag != h[b].caller.tag {
		return h[a].caller.tag < h[b].caller.tag
	}
	return h[a].caller.Name < h[b].caller.Name
}

func (h beyondHeap) Swap(a, b int) { swapEntries(h, a, b) }
func (h *beyondHeap) Push(item any) {
	*h = pushEntry(*h, item.(*entry))
}

func (h *beyondHeap) Pop() any {
	var removed *entry
	*h, removed = popEntry(*h)
	return removed
}

func swapEntries(entries []*entry, a, b int) {
	entries[a], entries[b] = entries[b], entries[a]
	entries[a].index, entries[b].index = a, b
}

func pushEntry(entries []*entry, added *entry) []*entry {
	added.index = len(entries)
	return append(entries, added)
}

func popEntry(entries []*entry) ([]*entry, *entry) {
	last := len(entries) - 1
	removed := entries[last]
	entries[last] = nil
	removed.index = -1
	return entries[:last], removed
}
