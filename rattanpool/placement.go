package rattanpool

import (
	"math/bits"
	"time"
)

// rankClass orders the targets with free slots; the lowest class is chosen
// first.
type rankClass int8

const (
	classNone rankClass = iota - 1
	classFast
	classNormal
	classSlow
	classSlowest
	// classAccelerated is added for targets with accelerators when the task
	// needs none, so that accelerators stay free for tasks that need them.
	classAccelerated
	classSuspect = 2 * classAccelerated
	classCount   = classSuspect + 1

	// maxRackTries is how many racks are examined to find one that does not run
	// a task of the job yet.
	maxRackTries = 4
	// maxShapes bounds the number of target shapes that a service remembers.
	maxShapes = 64
	// maxProfiles is the number of profiles of a service above which those
	// without jobs are dropped.
	maxProfiles = 16
)

// service is a group of targets that run the same software.
type service struct {
	name          string
	targets       []*target // nil at the positions of removed targets
	freePositions []int     // positions of nil entries in targets
	rackIndexes   map[string]int
	// targetsPerRack is the number of targets by rack index; the indexes of
	// empty racks are reused.
	targetsPerRack []int
	freeRacks      []int
	profiles       []*resourceProfile
	// knownShapes are the distinct combinations of resources that targets of
	// the service have had.
	knownShapes []Target

	// listedTargets is the number of listed targets, usableSlots the number of
	// slots of those in use.
	listedTargets int
	usableSlots   int
	busySlots     int
	// longBusySlots is the number of slots occupied by long work.
	longBusySlots  int
	shortDemand    demand
	longArrivals   arrivals
	ejectedTargets int
	failingTargets int
	failureRateSum float64 // sum of the failure rates of the listed targets
	// lastShortWork is when short work was last admitted or started.
	lastShortWork   time.Duration
	seenShortWork   bool
	probeCandidates []*target
	// reservedTarget is the target that is reserved for one profile, or nil.
	reservedTarget *target
	kinds          []*kind
	offeredLoad    offeredLoad
}

// resourceProfile is a combination of resource requirements with an index of
// the targets that have a free slot for it.
type resourceProfile struct {
	service      *service
	cores        int
	memoryMB     int
	accelerators int
	jobs         int
	queues       [2]*jobQueue // short, long
	nodes        []node       // by position in service.targets
	ranks        [classCount]rank
	freeTargets  int // number of targets with a free slot
	maxTasks     int // largest number of tasks that can run concurrently
}

// node links the targets of one rank and rack in a circular list.
type node struct {
	next, previous int32
	rack           int32
	class          rankClass
}

// rank holds the targets of one class by rack.
type rank struct {
	heads  []int32 // by rack: a target of the circular list, or -1
	racks  bitset  // racks with targets
	cursor int     // rack at which the next search starts
}

// setClass moves a target to a class.
func (p *resourceProfile) setClass(t *target, class rankClass) {
	p.grow(t.position + 1)
	n := &p.nodes[t.position]
	if n.class == class && n.rack == int32(t.rack) {
		return
	}
	if n.class != classNone {
		p.ranks[n.class].unlink(p.nodes, int32(t.position))
		p.freeTargets--
	}
	n.class, n.rack = class, int32(t.rack)
	if class != classNone {
		p.ranks[class].link(p.nodes, int32(t.position))
		p.freeTargets++
	}
}

// grow extends nodes to the given number of positions.
func (p *resourceProfile) grow(count int) {
	for len(p.nodes) < count {
		p.nodes = append(p.nodes, node{class: classNone})
	}
}

// choose returns the position of the best target with a free slot. It advances
// the cursors so that the next call returns another rack and target.
func (p *resourceProfile) choose(usedRacks uint64) (position int, class rankClass) {
	for class := range classCount {
		r := &p.ranks[class]
		if r.racks.count == 0 {
			continue
		}
		return r.choose(p.nodes, usedRacks), class
	}
	return -1, classNone
}

// choose returns the position of a target on a rack that does not run a task of
// the job yet, if one is found within maxRackTries.
func (r *rank) choose(nodes []node, usedRacks uint64) int {
	rack := r.racks.next(r.cursor)
	chosen := rack
	for range min(maxRackTries, r.racks.count) {
		if usedRacks&rackBit(rack) == 0 {
			chosen = rack
			break
		}
		rack = r.racks.next(rack + 1)
	}
	r.cursor = chosen + 1
	position := r.heads[chosen]
	r.heads[chosen] = nodes[position].next
	return int(position)
}

// link adds the target at a position to the list of its rack.
func (r *rank) link(nodes []node, position int32) {
	n := &nodes[position]
	for len(r.heads) <= int(n.rack) {
		r.heads = append(r.heads, -1)
	}
	head := r.heads[n.rack]
	if head < 0 {
		n.next, n.previous = position, position
		r.heads[n.rack] = position
		r.racks.set(int(n.rack))
		return
	}
	n.next, n.previous = head, nodes[head].previous
	nodes[n.previous].next = position
	nodes[head].previous = position
}

// unlink removes the target at a position from the list of its rack.
func (r *rank) unlink(nodes []node, position int32) {
	n := &nodes[position]
	if n.next == position {
		r.heads[n.rack] = -1
		r.racks.clear(int(n.rack))
		return
	}
	nodes[n.previous].next = n.next
	nodes[n.next].previous = n.previous
	if r.heads[n.rack] == position {
		r.heads[n.rack] = n.next
	}
}

// rackBit returns the bit for a rack in job.rackBits.
func rackBit(rack int) uint64 {
	return 1 << (uint(rack) % 64)
}

// profileFor returns the profile that matches the requirements of a job, or a
// new one.
func (svc *service) profileFor(needs *Job) *resourceProfile {
	for _, p := range svc.profiles {
		if p.cores == needs.CoresPerTask && p.memoryMB == needs.MemoryMBPerTask && p.accelerators == needs.AcceleratorsPerTask {
			return p
		}
	}
	p := &resourceProfile{service: svc, cores: needs.CoresPerTask, memoryMB: needs.MemoryMBPerTask, accelerators: needs.AcceleratorsPerTask}
	p.queues = [2]*jobQueue{{profile: p}, {profile: p, long: true}}
	p.countMaxTasks()
	return p
}

// countMaxTasks computes how many tasks the targets in use can run
// concurrently.
func (p *resourceProfile) countMaxTasks() {
	p.maxTasks = 0
	for _, t := range p.service.targets {
		if t != nil && t.inUse() {
			p.maxTasks += max(0, t.maxConcurrentTasks(p))
		}
	}
}

// rememberShape records the resources of a target, so that a job that can never
// run is told apart from one that has no target at the moment.
func (svc *service) rememberShape(t Target) {
	for _, shape := range svc.knownShapes {
		if shape.Cores >= t.Cores && shape.MemoryMB >= t.MemoryMB && shape.Accelerators >= t.Accelerators {
			return
		}
	}
	if len(svc.knownShapes) == maxShapes {
		svc.knownShapes = svc.knownShapes[1:]
	}
	svc.knownShapes = append(svc.knownShapes, t)
}

// everFitted reports whether the service ever had a target that fits the
// profile.
func (svc *service) everFitted(p *resourceProfile) bool {
	for i := range svc.knownShapes {
		if svc.knownShapes[i].maxConcurrentTasks(p) > 0 {
			return true
		}
	}
	return false
}

// addTarget assigns a position and a rack to the target.
func (svc *service) addTarget(t *target) {
	t.service = svc
	if last := len(svc.freePositions) - 1; last >= 0 {
		t.position = svc.freePositions[last]
		svc.freePositions = svc.freePositions[:last]
		svc.targets[t.position] = t
	} else {
		t.position = len(svc.targets)
		svc.targets = append(svc.targets, t)
	}
	svc.assignRack(t)
	svc.busySlots += t.busySlots
}

// removeTarget releases the position and the rack of the target.
func (svc *service) removeTarget(t *target) {
	for _, p := range svc.profiles {
		p.setClass(t, classNone)
	}
	svc.releaseRack(t)
	svc.targets[t.position] = nil
	svc.freePositions = append(svc.freePositions, t.position)
	svc.busySlots -= t.busySlots
	t.service = nil
}

func (svc *service) assignRack(t *target) {
	rack, ok := svc.rackIndexes[t.Rack]
	if !ok {
		rack = svc.allocateRack()
		svc.rackIndexes[t.Rack] = rack
	}
	svc.targetsPerRack[rack]++
	t.rack = rack
}

func (svc *service) releaseRack(t *target) {
	svc.targetsPerRack[t.rack]--
	if svc.targetsPerRack[t.rack] > 0 {
		return
	}
	delete(svc.rackIndexes, t.Rack)
	svc.freeRacks = append(svc.freeRacks, t.rack)
}

func (svc *service) allocateRack() int {
	if last := len(svc.freeRacks) - 1; last >= 0 {
		rack := svc.freeRacks[last]
		svc.freeRacks = svc.freeRacks[:last]
		return rack
	}
	svc.targetsPerRack = append(svc.targetsPerRack, 0)
	return len(svc.targetsPerRack) - 1
}

// bitset is a set of small integers with a summary bit for each non-zero word.
type bitset struct {
	words   []uint64
	summary []uint64
	count   int
}

func (b *bitset) set(bit int) {
	for len(b.words) <= bit/64 {
		b.words = append(b.words, 0)
	}
	for len(b.summary) <= bit/4096 {
		b.summary = append(b.summary, 0)
	}
	b.words[bit/64] |= 1 << (bit % 64)
	b.summary[bit/4096] |= 1 << (bit / 64 % 64)
	b.count++
}

func (b *bitset) clear(bit int) {
	b.words[bit/64] &^= 1 << (bit % 64)
	if b.words[bit/64] == 0 {
		b.summary[bit/4096] &^= 1 << (bit / 64 % 64)
	}
	b.count--
}

// next returns the first member that is not less than start, wrapping around.
// The set must not be empty.
func (b *bitset) next(start int) int {
	if member := b.nextFrom(start); member >= 0 {
		return member
	}
	return b.nextFrom(0)
}

func (b *bitset) nextFrom(start int) int {
	word := start / 64
	if word >= len(b.words) {
		return -1
	}
	if remaining := b.words[word] >> (start % 64); remaining != 0 {
		return start + bits.TrailingZeros64(remaining)
	}
	word++
	for group := word / 64; group < len(b.summary); group++ {
		remaining := b.summary[group]
		if group == word/64 {
			remaining = remaining >> (word % 64) << (word % 64)
		}
		if remaining != 0 {
			found := group*64 + bits.TrailingZeros64(remaining)
			return found*64 + bits.TrailingZeros64(b.words[found])
		}
	}
	return -1
}
