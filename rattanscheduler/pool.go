package rattanscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// targetPool holds the targets of one service. Its indexes contain the targets
// that can take new work, so that finding the best one for a task does not
// depend on how many others are full.
type targetPool struct {
	// groups contains the indexed targets, the warm ones first, by processor capacity.
	groups []*targetGroup
	// byMemory and byGPU contain the indexed targets sorted by the free amount
	// of these resources; byGPU contains only targets with accelerators.
	byMemory sortedTargets
	byGPU    sortedTargets
	// byLabel contains all targets of the service by label.
	byLabel map[string][]*target
	// freeMilliCPU is the free processor capacity of the indexed targets,
	// capacityMilliCPU the total one of the usable targets.
	freeMilliCPU     int
	capacityMilliCPU int
	// coldFreeMilliCPU is the free processor capacity of the indexed targets that are
	// cold.
	coldFreeMilliCPU int
	// fits is the room on the indexed targets for tasks of each size class, without
	// cold targets.
	fits FitCounts
	// awaitedMilliCPU is the total processor capacity of the targets that have
	// not listed their runs yet and are expected to.
	awaitedMilliCPU int
}

// targetGroup contains the indexed targets with the same processor capacity that are
// warm, or those that are cold, sorted by their free capacity.
type targetGroup struct {
	cold     bool
	milliCPU int
	targets  sortedTargets
}

// poolEntry is the state of a target as of its last indexing.
type poolEntry struct {
	// usable is set if the target can take new work, indexed if it also has
	// free processor capacity.
	usable  bool
	indexed bool
	// awaited is set if the target is expected to take new work soon.
	awaited  bool
	capacity int
	cold     bool
	free     rattanwork.Resources
}

// sortedTargets is a list of indexed targets that is sorted by the amount of
// one free resource, and by name among equals.
type sortedTargets struct {
	amount func(rattanwork.Resources) int
	list   []*target
}

func milliCPUOf(r rattanwork.Resources) int { return r.MilliCPU }

func memoryOf(r rattanwork.Resources) int { return r.MemoryMB }

func gpuOf(r rattanwork.Resources) int { return r.GPU }

// search returns the position of the first target that has at least the amount
// free and, among those with exactly that amount, has no lower name.
func (s *sortedTargets) search(amount int, id string) int {
	index, _ := slices.BinarySearchFunc(s.list, amount, func(t *target, amount int) int {
		return cmp.Or(cmp.Compare(s.amount(t.pooled.free), amount), cmp.Compare(t.info.ID, id))
	})
	return index
}

func (s *sortedTargets) insert(t *target) {
	s.list = slices.Insert(s.list, s.search(s.amount(t.pooled.free), t.info.ID), t)
}

func (s *sortedTargets) remove(t *target) {
	index := s.search(s.amount(t.pooled.free), t.info.ID)
	s.list = slices.Delete(s.list, index, index+1)
}

// maximum returns the largest free amount.
func (s *sortedTargets) maximum() int {
	if len(s.list) == 0 {
		return 0
	}
	return s.amount(s.list[len(s.list)-1].pooled.free)
}

func newTargetPool() *targetPool {
	return &targetPool{byMemory: sortedTargets{amount: memoryOf}, byGPU: sortedTargets{amount: gpuOf}, byLabel: map[string][]*target{}}
}

// add adds a target, which is not indexed until the next refresh.
func (p *targetPool) add(t *target) {
	for _, label := range t.info.Labels {
		p.byLabel[label] = append(p.byLabel[label], t)
	}
}

// remove removes a target.
func (p *targetPool) remove(t *target) {
	p.withdraw(t)
	for _, label := range t.info.Labels {
		p.byLabel[label] = slices.DeleteFunc(p.byLabel[label], func(other *target) bool { return other == t })
		if len(p.byLabel[label]) == 0 {
			delete(p.byLabel, label)
		}
	}
}

// refresh updates the indexes after a change of the target.
func (p *targetPool) refresh(t *target, now time.Time) {
	p.withdraw(t)
	if t.awaited() {
		t.pooled = poolEntry{awaited: true, capacity: t.info.Capacity.MilliCPU}
		p.awaitedMilliCPU += t.pooled.capacity
	}
	if !t.usable(now) {
		return
	}
	t.pooled = poolEntry{usable: true, indexed: t.free.MilliCPU > 0, capacity: t.info.Capacity.MilliCPU, cold: t.cold, free: t.free}
	p.capacityMilliCPU += t.pooled.capacity
	if !t.pooled.indexed {
		return
	}
	p.addFree(&t.pooled, 1)
	p.group(t.pooled.cold, t.pooled.capacity).targets.insert(t)
	p.byMemory.insert(t)
	if t.info.Capacity.GPU > 0 {
		p.byGPU.insert(t)
	}
}

// addFree adds the free processor capacity of an indexed target, times sign.
func (p *targetPool) addFree(entry *poolEntry, sign int) {
	p.freeMilliCPU += sign * entry.free.MilliCPU
	if entry.cold {
		p.coldFreeMilliCPU += sign * entry.free.MilliCPU
		return
	}
	p.fits.add(entry.free.MilliCPU, sign)
}

// mostlyUnknown reports whether so few of the expected targets have listed their
// runs that the capacity says nothing about the wait of a job. That is so for
// some milliseconds after a home has taken over: the first targets take a part of
// the jobs that wait, and each further one another part.
func (p *targetPool) mostlyUnknown() bool {
	return p.capacityMilliCPU <= p.awaitedMilliCPU
}

// expectedMilliCPU returns the processor capacity of the targets that can take
// new work now or are expected to soon.
func (p *targetPool) expectedMilliCPU() int {
	return p.capacityMilliCPU + p.awaitedMilliCPU
}

// timeFor returns how long the work, in nanoseconds times thousandths of a core, occupies
// these targets.
func (p *targetPool) timeFor(work float64) time.Duration {
	return time.Duration(work / float64(max(1, p.expectedMilliCPU())))
}

// withdraw removes a target from the indexes.
func (p *targetPool) withdraw(t *target) {
	entry := t.pooled
	if entry.usable {
		p.capacityMilliCPU -= entry.capacity
	}
	if entry.awaited {
		p.awaitedMilliCPU -= entry.capacity
	}
	if entry.indexed {
		p.addFree(&entry, -1)
		p.group(entry.cold, entry.capacity).targets.remove(t)
		p.byMemory.remove(t)
		if index := slices.Index(p.byGPU.list, t); index >= 0 {
			p.byGPU.list = slices.Delete(p.byGPU.list, index, index+1)
		}
	}
	t.pooled = poolEntry{}
}

// group returns the group of warm or cold targets with the given processor capacity.
func (p *targetPool) group(cold bool, milliCPU int) *targetGroup {
	index, found := slices.BinarySearchFunc(p.groups, milliCPU, func(g *targetGroup, milliCPU int) int {
		return cmp.Or(compareTrueFirst(cold, g.cold), cmp.Compare(g.milliCPU, milliCPU))
	})
	if !found {
		p.groups = slices.Insert(p.groups, index, &targetGroup{cold: cold, milliCPU: milliCPU, targets: sortedTargets{amount: milliCPUOf}})
	}
	return p.groups[index]
}

// maxFree returns, for each resource, the largest amount that is free on one
// target.
func (p *targetPool) maxFree() rattanwork.Resources {
	largest := rattanwork.Resources{MemoryMB: p.byMemory.maximum(), GPU: p.byGPU.maximum()}
	for _, group := range p.groups {
		largest.MilliCPU = max(largest.MilliCPU, group.targets.maximum())
	}
	return largest
}

// indexedTargets returns the targets that have free processor capacity.
func (p *targetPool) indexedTargets() []*target {
	var list []*target
	for _, group := range p.groups {
		list = append(list, group.targets.list...)
	}
	return list
}
