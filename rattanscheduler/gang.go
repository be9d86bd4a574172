package rattanscheduler

import (
	"cmp"
	"slices"
	"time"
)

// startTogether starts the steps whose tasks belong together: gangs, which
// start all at once or not at all, and steps whose tasks are faster on one rack.
func (s *Scheduler) startTogether(j *job, usable []*target, now time.Time) {
	for i := range j.submission.Job.Steps {
		step := &j.submission.Job.Steps[i]
		if !step.Gang && !step.SameRack {
			continue
		}
		tasks := j.readyOf(i)
		switch {
		case len(tasks) == 0:
		case step.Gang && len(tasks) < step.Count:
			s.breakGang(tasks[0].group, now)
		default:
			s.startAll(tasks, usable, now)
		}
	}
}

// readyOf returns the tasks of a step that may start now.
func (j *job) readyOf(step int) []*task {
	var list []*task
	for _, t := range j.ready {
		if t.step == step {
			list = append(list, t)
		}
	}
	return list
}

// breakGang stops the members that still run after one of them has ended: they
// would wait for it in vain.
func (s *Scheduler) breakGang(members []*task, now time.Time) {
	for _, t := range members {
		if t.run == nil || t.run.state == runStopping {
			continue
		}
		t.run.state = runStopping
		s.orderStop(t.run, now)
	}
}

// startAll starts all tasks of a step in the same attempt if there is room for
// all, on one rack if the step asks for that and one has the room.
func (s *Scheduler) startAll(tasks []*task, usable []*target, now time.Time) {
	places := s.placeAll(tasks, usable)
	if places == nil {
		return
	}
	attempt := 0
	for _, t := range tasks {
		attempt = max(attempt, t.attempt)
	}
	for i, t := range tasks {
		t.attempt = attempt
		t.job.remove(t)
		s.start(t, places[i], now)
	}
}

// placeAll returns a target for each of the tasks, nil if there is none for
// some. A step that prefers one rack but is no gang is placed on one rack only.
func (s *Scheduler) placeAll(tasks []*task, usable []*target) []*target {
	step := tasks[0].definition()
	if step.SameRack {
		for _, rack := range racks(usable) {
			if places := s.placeOn(tasks, rack); places != nil {
				return places
			}
		}
	}
	if !step.Gang {
		return nil
	}
	return s.placeOn(tasks, usable)
}

// racks returns the targets by rack, the rack with the most room first.
func racks(usable []*target) [][]*target {
	byName := map[string][]*target{}
	for _, t := range usable {
		byName[t.info.Rack] = append(byName[t.info.Rack], t)
	}
	list := make([][]*target, 0, len(byName))
	for _, members := range byName {
		list = append(list, members)
	}
	slices.SortFunc(list, func(a, b []*target) int {
		return cmp.Or(cmp.Compare(freeMilliCPU(b), freeMilliCPU(a)), cmp.Compare(a[0].info.Rack, b[0].info.Rack))
	})
	return list
}

func freeMilliCPU(targets []*target) int {
	sum := 0
	for _, t := range targets {
		sum += t.free.MilliCPU
	}
	return sum
}

// placeOn returns a target of the list for each of the tasks, nil if there is
// none for some. It takes the room of each only while it looks for the others.
func (s *Scheduler) placeOn(tasks []*task, list []*target) []*target {
	places := make([]*target, 0, len(tasks))
	for _, t := range tasks {
		on := s.place(t, list)
		if on == nil {
			break
		}
		on.take(t.need())
		t.placed = on
		places = append(places, on)
	}
	for i, on := range places {
		on.release(tasks[i].need())
		tasks[i].placed = nil
	}
	if len(places) < len(tasks) {
		return nil
	}
	return places
}

// markDone takes in that a task is done, and with it all of its gang. Members
// whose own end is yet to be listed keep their room until then.
func (s *Scheduler) markDone(t *task) {
	for _, member := range t.group {
		for _, r := range [...]*run{member.run, member.slowRun} {
			if r != nil {
				s.unbind(r)
			}
		}
		member.state = taskDone
	}
}
