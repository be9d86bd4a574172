package rattanscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// maxBlockJobs is the number of jobs at which a block of a queue is split.
const maxBlockJobs = 128

// queueKey orders the waiting jobs of a class.
type queueKey struct {
	// latestStart is the time, in Unix nanoseconds, until which the job must
	// start to meet its objective.
	latestStart int64
	// sequence breaks ties in the order in which the jobs became ready. It is
	// at least 1.
	sequence uint64
}

func (k queueKey) compare(other queueKey) int {
	return cmp.Or(cmp.Compare(k.latestStart, other.latestStart), cmp.Compare(k.sequence, other.sequence))
}

// keyRange is the range of keys after one key and before another one.
type keyRange struct {
	after  queueKey
	before queueKey
}

// onTimeKeys returns the keys of jobs that can still meet their objective.
func onTimeKeys(now int64) keyRange {
	return keyRange{after: queueKey{latestStart: now}, before: queueKey{latestStart: math.MaxInt64}}
}

// lateKeys returns the keys of all other jobs.
func lateKeys(now int64) keyRange {
	return keyRange{after: queueKey{latestStart: math.MinInt64}, before: queueKey{latestStart: now}}
}

// queueEntry is what a queue knows of a waiting job. It is a copy, so that an
// entry can be found again after the job has changed.
type queueEntry struct {
	key queueKey
	// demand is the least amount of each resource that a ready task requires.
	demand rattanwork.Resources
	// backlogSum is the work of the ready tasks, tasks their number.
	backlogSum
	tasks int
	// expiresAt is the time, in Unix nanoseconds, from which on the answer has
	// no value.
	expiresAt int64
	job       *job
}

// jobQueue holds the waiting jobs of one service in the order in which they may
// start: on-time jobs before late ones, then started jobs first, then by
// priority, and finally by the latest start. With several priorities, started jobs
// come first also if they are late. It answers a load of far more
// waiting jobs than there are resources for: the search for the next job that
// fits skips whole blocks of jobs that do not.
type jobQueue struct {
	// classes are sorted in the order of their jobs.
	classes []*jobClass
	// mixed is set once jobs of more than one priority were submitted.
	mixed bool
	jobs  int
	tasks int
	work  float64
}

// jobClass holds jobs that differ only in their latest start.
type jobClass struct {
	started  bool
	priority int
	// blocks are sorted by key and not empty.
	blocks []*jobBlock
}

// jobBlock holds adjacent entries of a class.
type jobBlock struct {
	entries []queueEntry
	// backlogSum is the sum over all entries, demand the least demand of any and
	// expiresAt the earliest expiry.
	backlogSum
	demand    rattanwork.Resources
	expiresAt int64
}

// compare sorts classes: started jobs come first, because the work done for a
// job is wasted if it does not complete.
func (c *jobClass) compare(other *jobClass) int {
	return cmp.Or(compareTrueFirst(c.started, other.started), cmp.Compare(c.priority, other.priority))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// insert adds an entry and returns its class.
func (q *jobQueue) insert(started bool, priority int, entry queueEntry) *jobClass {
	class := q.class(started, priority)
	class.insert(entry)
	q.jobs++
	q.tasks += entry.tasks
	q.work += entry.work
	return class
}

// remove removes the entry with the key from its class.
func (q *jobQueue) remove(class *jobClass, key queueKey) {
	entry := class.remove(key)
	q.jobs--
	q.tasks -= entry.tasks
	q.work -= entry.work
	if q.jobs == 0 {
		// Drops the rounding errors of earlier sums.
		q.work = 0
	}
}

// class returns the class of jobs with the given properties. Both classes of a
// priority are added together, so that a job that starts during a pass does not
// change the list.
func (q *jobQueue) class(started bool, priority int) *jobClass {
	class := &jobClass{started: started, priority: priority}
	index, found := slices.BinarySearchFunc(q.classes, class, (*jobClass).compare)
	if found {
		return q.classes[index]
	}
	q.classes = append(q.classes, class, &jobClass{started: !started, priority: priority})
	slices.SortFunc(q.classes, (*jobClass).compare)
	return class
}

// passes calls visit with the classes and key ranges in the order in which
// their jobs may start.
func (q *jobQueue) passes(now int64, visit func(class *jobClass, keys keyRange)) {
	if !q.mixed {
		visitClasses(q.classes, now, visit)
		return
	}
	// Jobs of other priorities keep coming, so that a started job which is late would
	// get nothing behind those on time, and its runs would be wasted.
	started := 0
	for started < len(q.classes) && q.classes[started].started {
		started++
	}
	visitClasses(q.classes[:started], now, visit)
	visitClasses(q.classes[started:], now, visit)
}

// visitClasses calls visit for the on-time jobs of the classes and then for the late
// ones.
func visitClasses(classes []*jobClass, now int64, visit func(class *jobClass, keys keyRange)) {
	for _, keys := range [...]keyRange{onTimeKeys(now), lateKeys(now)} {
		for _, class := range classes {
			visit(class, keys)
		}
	}
}

// backlogBefore returns the work of all jobs that may start before the given one.
func (q *jobQueue) backlogBefore(j *job, now int64) backlogSum {
	backlog := backlogSum{}
	passed := false
	q.passes(now, func(class *jobClass, keys keyRange) {
		if passed {
			return
		}
		key := j.entry.key
		if class == j.class && keys.contains(key) {
			keys.before = key
			passed = true
		}
		class.addBacklog(keys, &backlog)
	})
	return backlog
}

// classBacklog returns the work of the jobs of its class before the job that are on time
// or, if it is late itself, late.
func (q *jobQueue) classBacklog(j *job, now int64) backlogSum {
	backlog := backlogSum{}
	keys := onTimeKeys(now)
	if !keys.contains(j.entry.key) {
		keys = lateKeys(now)
	}
	keys.before = j.entry.key
	j.class.addBacklog(keys, &backlog)
	return backlog
}

// blockOf returns the index of the block that contains the key or, if no block
// does, that the key belongs into.
func (c *jobClass) blockOf(key queueKey) int {
	index, found := slices.BinarySearchFunc(c.blocks, key, func(b *jobBlock, key queueKey) int {
		return b.entries[0].key.compare(key)
	})
	if found {
		return index
	}
	return max(0, index-1)
}

// position returns the index of the first entry whose key is not less than the
// given one, and whether it has that key.
func (b *jobBlock) position(key queueKey) (int, bool) {
	return slices.BinarySearchFunc(b.entries, key, func(e queueEntry, key queueKey) int {
		return e.key.compare(key)
	})
}

func (c *jobClass) insert(entry queueEntry) {
	if len(c.blocks) == 0 {
		c.blocks = append(c.blocks, newJobBlock([]queueEntry{entry}))
		return
	}
	index := c.blockOf(entry.key)
	block := c.blocks[index]
	position, _ := block.position(entry.key)
	block.entries = slices.Insert(block.entries, position, entry)
	block.include(&block.entries[position])
	if len(block.entries) < maxBlockJobs {
		return
	}
	half := len(block.entries) / 2
	second := newJobBlock(slices.Clone(block.entries[half:]))
	c.blocks[index] = newJobBlock(block.entries[:half])
	c.blocks = slices.Insert(c.blocks, index+1, second)
}

func (c *jobClass) remove(key queueKey) queueEntry {
	index := c.blockOf(key)
	block := c.blocks[index]
	position, _ := block.position(key)
	entry := block.entries[position]
	block.entries = slices.Delete(block.entries, position, position+1)
	if len(block.entries) == 0 {
		c.blocks = slices.Delete(c.blocks, index, index+1)
		return entry
	}
	block.summarize()
	return entry
}

func newJobBlock(entries []queueEntry) *jobBlock {
	block := &jobBlock{entries: entries}
	block.summarize()
	return block
}

// summarize recomputes the sums and minimums of the block.
func (b *jobBlock) summarize() {
	b.demand = b.entries[0].demand
	b.expiresAt = b.entries[0].expiresAt
	b.backlogSum = backlogSum{}
	for i := range b.entries {
		b.include(&b.entries[i])
	}
}

// include adds an entry to the sums and minimums of the block.
func (b *jobBlock) include(entry *queueEntry) {
	b.demand = minDemand(b.demand, entry.demand)
	b.expiresAt = min(b.expiresAt, entry.expiresAt)
	b.add(entry.backlogSum)
}

// firstFitting returns the first entry in the range whose demand the resources
// may cover, and whether there is one.
func (c *jobClass) firstFitting(keys keyRange, available rattanwork.Resources) (queueEntry, bool) {
	if len(c.blocks) == 0 {
		return queueEntry{}, false
	}
	for index := c.blockOf(keys.after); index < len(c.blocks); index++ {
		block := c.blocks[index]
		if block.entries[0].key.compare(keys.before) >= 0 {
			break
		}
		if !block.demand.FitsIn(available) {
			continue
		}
		start, found := block.position(keys.after)
		if found {
			start++
		}
		for _, entry := range block.entries[start:] {
			if entry.key.compare(keys.before) >= 0 {
				return queueEntry{}, false
			}
			if entry.demand.FitsIn(available) {
				return entry, true
			}
		}
	}
	return queueEntry{}, false
}

// contains reports whether the range contains the key.
func (r keyRange) contains(key queueKey) bool {
	return r.after.compare(key) < 0 && key.compare(r.before) < 0
}

// blocksIn calls visit for the blocks with entries in the range. whole is set
// if all entries of the block are.
func (c *jobClass) blocksIn(keys keyRange, visit func(block *jobBlock, whole bool)) {
	for _, block := range c.blocks {
		first, last := block.entries[0].key, block.entries[len(block.entries)-1].key
		if last.compare(keys.after) > 0 && first.compare(keys.before) < 0 {
			visit(block, keys.contains(first) && keys.contains(last))
		}
	}
}

// expired appends the jobs that have expired to the list.
func (q *jobQueue) expired(now time.Time, list []*job) []*job {
	for _, class := range q.classes {
		for _, block := range class.blocks {
			if block.expiresAt > now.UnixNano() {
				continue
			}
			for i := range block.entries {
				if block.entries[i].job.expired(now) {
					list = append(list, block.entries[i].job)
				}
			}
		}
	}
	return list
}

// minMilliCPU returns the least processor demand of any task in the queue.
func (q *jobQueue) minMilliCPU() int {
	least := math.MaxInt
	for _, class := range q.classes {
		for _, block := range class.blocks {
			least = min(least, block.demand.MilliCPU)
		}
	}
	return least
}

// appendJobs appends the waiting jobs to the list.
func (q *jobQueue) appendJobs(list []*job) []*job {
	for _, class := range q.classes {
		for _, block := range class.blocks {
			for i := range block.entries {
				list = append(list, block.entries[i].job)
			}
		}
	}
	return list
}

// addBacklog adds the work of the entries in the range.
func (c *jobClass) addBacklog(keys keyRange, backlog *backlogSum) {
	c.blocksIn(keys, func(block *jobBlock, whole bool) {
		if whole {
			backlog.add(block.backlogSum)
			return
		}
		for i := range block.entries {
			if entry := &block.entries[i]; keys.contains(entry.key) {
				backlog.add(entry.backlogSum)
			}
		}
	})
}

// minDemand returns the lesser amount of each resource.
func minDemand(a, b rattanwork.Resources) rattanwork.Resources {
	return rattanwork.Resources{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}
