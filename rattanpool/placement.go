package rattanpool

import (
	"math/bits"
	"time"
)

// rankClass orders the targets with free slots; the least is chosen first.
type rankClass int8

const (
	classNone rankClass = iota - 1
	classFast
	classNormal
	classSlow
	classSlowest
	// classAccelerated is added for targets with accelerators when the task
	// needs none, to keep accelerators free for tasks that need them.
	classAccelerated
	classSuspect = 2 * classAccelerated
	classCount   = classSuspect + 1

	// rackTries is how many racks are looked at for one that does not run a
	// task of the job yet.
	rackTries = 4
	// maxShapes bounds the shapes that a service remembers.
	maxShapes = 64
	// maxProfiles is the number of profiles of a service above which those
	// without jobs are dropped.
	maxProfiles = 16
)

// service is a group of targets that run the same software.
type service struct {
	name    string
	targets []*target // nil where a target was removed
	spare   []int     // indices of nil entries of targets
	racks   map[string]int
	// rackUse is the number of targets by rack; racks without any are reused.
	rackUse   []int
	spareRack []int
	profiles  []*profile
	// shapes are the distinct targets that the service ever had, by resources.
	shapes []Target

	// count is the number of targets that are listed, slots is the number of
	// slots of those in use.
	count int
	slots int
	held  int
	// longHeld is the number of slots that long work occupies.
	longHeld     int
	shortDemand  demand
	longArrivals arrivals
	ejected      int
	broken       int
	rateSum      float64 // of the failure rates of listed targets
	// shortSeen is when short work was last present.
	shortSeen time.Duration
	hasShort  bool
	probes    []*target
	// reserved is the target that is kept for one profile, nil for none.
	reserved *target
	kinds    []*kind
	offers   offers
}

// profile is one combination of what tasks need, with the targets that have a
// free slot for it.
type profile struct {
	service      *service
	cores        int
	memoryMB     int
	accelerators int
	jobs         int
	lanes        [2]*lane // short, long
	nodes        []node   // by index in service.targets
	ranks        [classCount]rank
	free         int // number of targets with a free slot
	slots        int // most tasks at a time
}

// node links the targets of one rank and rack in a ring.
type node struct {
	next, previous int32
	rack           int32
	class          rankClass
}

// rank holds the targets of one class by rack.
type rank struct {
	heads  []int32 // by rack: a target of the ring, or -1
	racks  bitset  // racks with targets
	cursor int
}

// file moves a target to a class.
func (p *profile) file(t *target, class rankClass) {
	p.grow(t.position + 1)
	at := &p.nodes[t.position]
	if at.class == class && at.rack == int32(t.rack) {
		return
	}
	if at.class != classNone {
		p.ranks[at.class].unlink(p.nodes, int32(t.position))
		p.free--
	}
	at.class, at.rack = class, int32(t.rack)
	if class != classNone {
		p.ranks[class].link(p.nodes, int32(t.position))
		p.free++
	}
}

func (p *profile) grow(count int) {
	for len(p.nodes) < count {
		p.nodes = append(p.nodes, node{class: classNone})
	}
}

// choose returns the position of the best target with a free slot, and moves
// on so that the next choice falls on another rack and target.
func (p *profile) choose(racks uint64) (position int, class rankClass) {
	for class := range classCount {
		r := &p.ranks[class]
		if r.racks.count == 0 {
			continue
		}
		return r.choose(p.nodes, racks), class
	}
	return -1, classNone
}

func (r *rank) choose(nodes []node, used uint64) int {
	rack := r.racks.next(r.cursor)
	chosen := rack
	for range min(rackTries, r.racks.count) {
		if used&rackBit(rack) == 0 {
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

func (r *rank) link(nodes []node, position int32) {
	at := &nodes[position]
	for len(r.heads) <= int(at.rack) {
		r.heads = append(r.heads, -1)
	}
	head := r.heads[at.rack]
	if head < 0 {
		at.next, at.previous = position, position
		r.heads[at.rack] = position
		r.racks.set(int(at.rack))
		return
	}
	at.next, at.previous = head, nodes[head].previous
	nodes[at.previous].next = position
	nodes[head].previous = position
}

func (r *rank) unlink(nodes []node, position int32) {
	at := &nodes[position]
	if at.next == position {
		r.heads[at.rack] = -1
		r.racks.clear(int(at.rack))
		return
	}
	nodes[at.previous].next = at.next
	nodes[at.next].previous = at.previous
	if r.heads[at.rack] == position {
		r.heads[at.rack] = at.next
	}
}

func rackBit(rack int) uint64 {
	return 1 << (uint(rack) % 64)
}

// profileFor returns the profile of the job's needs, a new one if necessary.
func (v *service) profileFor(needs *Job) *profile {
	for _, p := range v.profiles {
		if p.cores == needs.CoresPerTask && p.memoryMB == needs.MemoryMBPerTask && p.accelerators == needs.AcceleratorsPerTask {
			return p
		}
	}
	p := &profile{service: v, cores: needs.CoresPerTask, memoryMB: needs.MemoryMBPerTask, accelerators: needs.AcceleratorsPerTask}
	p.lanes = [2]*lane{{profile: p}, {profile: p, long: true}}
	p.count()
	return p
}

// count sums up how many tasks the targets in use can run at a time.
func (p *profile) count() {
	p.slots = 0
	for _, t := range p.service.targets {
		if t != nil && t.inUse() {
			p.slots += max(0, t.couldFit(p))
		}
	}
}

// remember notes the resources of a target for later decisions on whether a
// job could ever run.
func (v *service) remember(t Target) {
	for _, shape := range v.shapes {
		if shape.Cores >= t.Cores && shape.MemoryMB >= t.MemoryMB && shape.Accelerators >= t.Accelerators {
			return
		}
	}
	if len(v.shapes) == maxShapes {
		v.shapes = v.shapes[1:]
	}
	v.shapes = append(v.shapes, t)
}

// everFits says whether the service ever had a target that fits the profile.
func (v *service) everFits(p *profile) bool {
	for i := range v.shapes {
		if v.shapes[i].couldFit(p) > 0 {
			return true
		}
	}
	return false
}

// add gives the target a position and a rack.
func (v *service) add(t *target) {
	t.service = v
	if last := len(v.spare) - 1; last >= 0 {
		t.position = v.spare[last]
		v.spare = v.spare[:last]
		v.targets[t.position] = t
	} else {
		t.position = len(v.targets)
		v.targets = append(v.targets, t)
	}
	v.enterRack(t)
	v.held += t.held
}

// remove takes away the target's position and rack.
func (v *service) remove(t *target) {
	for _, p := range v.profiles {
		p.file(t, classNone)
	}
	v.leaveRack(t)
	v.targets[t.position] = nil
	v.spare = append(v.spare, t.position)
	v.held -= t.held
	t.service = nil
}

func (v *service) enterRack(t *target) {
	rack, ok := v.racks[t.Rack]
	if !ok {
		rack = v.newRack()
		v.racks[t.Rack] = rack
	}
	v.rackUse[rack]++
	t.rack = rack
}

func (v *service) leaveRack(t *target) {
	v.rackUse[t.rack]--
	if v.rackUse[t.rack] > 0 {
		return
	}
	delete(v.racks, t.Rack)
	v.spareRack = append(v.spareRack, t.rack)
}

func (v *service) newRack() int {
	if last := len(v.spareRack) - 1; last >= 0 {
		rack := v.spareRack[last]
		v.spareRack = v.spareRack[:last]
		return rack
	}
	v.rackUse = append(v.rackUse, 0)
	return len(v.rackUse) - 1
}

// bitset is a set of small numbers with a summary of its words.
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

// next returns the first member from a number on, wrapping around. The set
// must not be empty.
func (b *bitset) next(from int) int {
	if member := b.from(from); member >= 0 {
		return member
	}
	return b.from(0)
}

func (b *bitset) from(start int) int {
	word := start / 64
	if word >= len(b.words) {
		return -1
	}
	if rest := b.words[word] >> (start % 64); rest != 0 {
		return start + bits.TrailingZeros64(rest)
	}
	word++
	for group := word / 64; group < len(b.summary); group++ {
		rest := b.summary[group]
		if group == word/64 {
			rest = rest >> (word % 64) << (word % 64)
		}
		if rest != 0 {
			found := group*64 + bits.TrailingZeros64(rest)
			return found*64 + bits.TrailingZeros64(b.words[found])
		}
	}
	return -1
}
