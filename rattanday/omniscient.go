package rattanday

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// target is a target of any zone.
type target struct {
	milliCPU int
	// speed is the factor by which run times are longer than on the fastest
	// targets.
	speed float64
	// lost reports whether the target is out of service at a time of the day.
	lost func(at time.Duration) bool
}

// zoneTargets returns the targets of a zone.
func (d *Day) zoneTargets(z *Zone) []target {
	targets := make([]target, z.Targets)
	for i := range targets {
		targets[i] = target{
			milliCPU: z.MilliCPU[i%len(z.MilliCPU)], speed: z.Speeds[i%len(z.Speeds)],
			lost: func(at time.Duration) bool { return d.lost(at, i) },
		}
	}
	return targets
}

// order is a rule by which the omniscient scheduler serves waiting jobs. No rule
// is the best for each load, so the scheduler takes the one that earns most.
type order struct {
	// byPriority serves jobs of a lower priority value first.
	byPriority bool
	// byWorth serves jobs by worth for each unit of work, otherwise by the time
	// at which they must start to meet their objective.
	byWorth bool
	// whole starts all tasks of a job at once, so that no work is spent on jobs
	// that cannot complete in time.
	whole bool
	// late also serves jobs that have missed their objective.
	late bool
}

// orders returns all rules that serve jobs by their priorities, or all others.
func orders(byPriority bool) []order {
	var list []order
	for _, byWorth := range []bool{false, true} {
		for _, whole := range []bool{false, true} {
			for _, late := range []bool{false, true} {
				list = append(list, order{byPriority: byPriority, byWorth: byWorth, whole: whole, late: late})
			}
		}
	}
	return list
}

// compare orders waiting jobs, the first to serve first.
func (o order) compare(x, y *waitingJob) int {
	if o.byPriority && x.job.kind.Priority != y.job.kind.Priority {
		return cmp.Compare(x.job.kind.Priority, y.job.kind.Priority)
	}
	return cmp.Compare(x.rank, y.rank)
}

// omniscient is a scheduler that knows all run times and has one queue for the
// targets of all zones. It neither preempts tasks nor needs time for decisions.
type omniscient struct {
	order   order
	targets []target
	free    []int
	// freeTotal is the sum of free, which are the free capacities of the targets
	// by index. The fastest targets come first.
	freeTotal int
	// lost contains the targets that are out of service. Their capacity is not in
	// free, which may then be negative.
	lost    []bool
	waiting []*waitingJob
	running eventQueue[slot]
	ends    map[*job]time.Duration
}

// waitingJob is a job with tasks that have not started.
type waitingJob struct {
	job *job
	// runTimes are those of the tasks that have not started, the longest first.
	runTimes []time.Duration
	begun    bool
	// rank orders jobs, the lowest first.
	rank float64
	end  time.Duration
}

// serveOmniscient returns the ends of the jobs that are completed under the order
// that earns most. The jobs must be in the order of their arrival.
func serveOmniscient(targets []target, jobs []*job, byPriority bool) map[*job]time.Duration {
	var best map[*job]time.Duration
	for _, order := range orders(byPriority) {
		ends := newOmniscient(targets, order).run(jobs)
		if best == nil || earned(ends) > earned(best) {
			best = ends
		}
	}
	return best
}

// earned returns the worth of completed jobs.
func earned(ends map[*job]time.Duration) float64 {
	sum := 0.0
	for j, end := range ends {
		sum += j.worthAt(end)
	}
	return sum
}

func newOmniscient(targets []target, order order) *omniscient {
	o := &omniscient{order: order, targets: slices.Clone(targets), ends: map[*job]time.Duration{}}
	slices.SortStableFunc(o.targets, func(x, y target) int { return cmp.Compare(x.speed, y.speed) })
	for _, target := range o.targets {
		o.free = append(o.free, target.milliCPU)
		o.freeTotal += target.milliCPU
	}
	o.lost = make([]bool, len(o.targets))
	return o
}

// updateLost takes targets out of service or back, and reports whether it has.
func (o *omniscient) updateLost(now time.Duration) bool {
	changed := false
	for i, target := range o.targets {
		lost := target.lost != nil && target.lost(now)
		if lost == o.lost[i] {
			continue
		}
		change := target.milliCPU
		if lost {
			change = -change
		}
		o.lost[i] = lost
		o.free[i] += change
		o.freeTotal += change
		changed = true
	}
	return changed
}

func (o *omniscient) run(jobs []*job) map[*job]time.Duration {
	next := 0
	for now := time.Duration(0); next < len(jobs) || len(o.waiting) > 0; now += timeStep {
		changed := o.updateLost(now)
		for ; next < len(jobs) && jobs[next].arrival <= now; next++ {
			o.add(jobs[next])
			changed = true
		}
		for len(o.running) > 0 && o.running[0].end <= now {
			slot := heap.Pop(&o.running).(slot)
			o.free[slot.target] += slot.milliCPU
			o.freeTotal += slot.milliCPU
			changed = true
		}
		if changed {
			o.serve(now)
		}
		if next == len(jobs) && len(o.running) == 0 && !changed {
			break
		}
	}
	return o.ends
}

// add adds a job to the queue.
func (o *omniscient) add(j *job) {
	runTimes := slices.Clone(j.runTimes)
	slices.SortFunc(runTimes, func(x, y time.Duration) int { return cmp.Compare(y, x) })
	onTime, _ := j.objective()
	w := &waitingJob{job: j, runTimes: runTimes, rank: (onTime - j.longest).Seconds()}
	if o.order.byWorth {
		work := time.Duration(0)
		for _, runTime := range runTimes {
			work += runTime
		}
		w.rank = -j.kind.Worth / (work.Seconds() * float64(j.milliCPU))
	}
	index, _ := slices.BinarySearchFunc(o.waiting, w, o.order.compare)
	o.waiting = slices.Insert(o.waiting, index, w)
}

// serve starts waiting tasks: those of begun jobs first, then those of jobs that
// can meet their objective, then late ones. Jobs without value are dropped.
func (o *omniscient) serve(now time.Duration) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w *waitingJob) bool { return !w.begun && w.job.worthAt(now+w.job.longest) == 0 })
	passes := []func(w *waitingJob) bool{
		func(w *waitingJob) bool { return w.begun },
		func(w *waitingJob) bool { return w.job.worthAt(now+w.job.longest) == w.job.kind.Worth },
	}
	if o.order.late {
		passes = append(passes, func(*waitingJob) bool { return true })
	}
	for _, included := range passes {
		for _, w := range o.waiting {
			if len(w.runTimes) > 0 && o.freeTotal >= w.job.milliCPU && included(w) {
				o.startTasks(w, now)
			}
		}
	}
	o.waiting = slices.DeleteFunc(o.waiting, func(w *waitingJob) bool { return len(w.runTimes) == 0 })
}

// startTasks starts tasks of a job on the fastest targets that have room.
func (o *omniscient) startTasks(w *waitingJob, now time.Duration) {
	demand := w.job.milliCPU
	if o.order.whole && !o.hasRoom(demand, len(w.runTimes)) {
		return
	}
	for i := 0; i < len(o.targets) && len(w.runTimes) > 0; {
		if o.free[i] < demand {
			i++
			continue
		}
		end := now + time.Duration(o.targets[i].speed*float64(w.runTimes[0]))
		w.runTimes = w.runTimes[1:]
		w.begun = true
		w.end = max(w.end, end)
		o.free[i] -= demand
		o.freeTotal -= demand
		heap.Push(&o.running, slot{end: end, target: i, milliCPU: demand})
	}
	if len(w.runTimes) == 0 {
		o.ends[w.job] = w.end
	}
}

// hasRoom reports whether the targets have room for that many tasks.
func (o *omniscient) hasRoom(milliCPU, tasks int) bool {
	for _, free := range o.free {
		tasks -= max(0, free) / milliCPU
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// slot is the part of a target that a running task uses.
type slot struct {
	end      time.Duration
	target   int
	milliCPU int
}

func (s slot) time() time.Duration { return s.end }
