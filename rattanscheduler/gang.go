package rattanscheduler

import (
	"cmp"
	"slices"
	"time"
)

// startCoupledSteps starts the steps whose tasks are placed together: gangs,
// which start as a whole or not at all, and steps whose tasks run faster on one
// rack. It reports whether it has started any.
func (s *Scheduler) startCoupledSteps(j *job, pass *placementPass) bool {
	started := false
	for i := range j.submission.Job.Steps {
		step := &j.submission.Job.Steps[i]
		if !step.Gang && !step.SameRack {
			continue
		}
		tasks := j.readyTasks(i)
		switch {
		case len(tasks) == 0:
		case step.Gang && len(tasks) < step.Count:
			s.stopGang(tasks[0].group, pass.now)
		default:
			started = s.startStep(tasks, pass) || started
		}
	}
	return started
}

// readyTasks returns the tasks of a step that may start now.
func (j *job) readyTasks(step int) []*task {
	var list []*task
	for _, t := range j.ready {
		if t.stepIndex == step {
			list = append(list, t)
		}
	}
	return list
}

// joins reports whether a run of the attempt can work together with the other runs of
// the task's gang.
func (t *task) joins(attempt int) bool {
	return !slices.ContainsFunc(t.group, func(member *task) bool {
		return member != t && member.run != nil && member.run.attempt != attempt
	})
}

// stopGang stops the remaining runs of a gang after one of its runs has ended,
// because they would wait for the ended run forever.
func (s *Scheduler) stopGang(members []*task, now time.Time) {
	for _, t := range members {
		if t.run == nil || t.run.state == runStopping {
			continue
		}
		t.run.state = runStopping
		s.requestStop(t.run, now)
	}
}

// startStep starts all tasks of a step in the same attempt if there are
// resources for all of them, preferably on one rack if the step asks for it. It
// reports whether it has started them.
func (s *Scheduler) startStep(tasks []*task, pass *placementPass) bool {
	targets := s.placeStep(tasks, pass.pool.indexedTargets())
	if targets == nil {
		return false
	}
	attempt := 0
	for _, t := range tasks {
		attempt = max(attempt, t.attempt)
	}
	for i, t := range tasks {
		t.attempt = attempt
		t.job.removeReady(t)
		s.startRun(t, targets[i], pass.now)
	}
	return true
}

// placeStep selects a target for each of the tasks, and returns nil if some
// task cannot be placed. A step that prefers one rack but is not a gang is
// placed on a single rack or not at all; its tasks can still be started one by
// one.
func (s *Scheduler) placeStep(tasks []*task, usable []*target) []*target {
	step := tasks[0].step()
	if step.SameRack {
		for _, rack := range targetsByRack(usable) {
			if targets := s.placeTasks(tasks, rack); targets != nil {
				return targets
			}
		}
	}
	if !step.Gang {
		return nil
	}
	return s.placeTasks(tasks, usable)
}

// targetsByRack groups the targets by rack, with the rack that has the most
// free processor capacity on warm targets first, then the most on any.
func targetsByRack(usable []*target) [][]*target {
	byRack := map[string][]*target{}
	for _, t := range usable {
		byRack[t.info.Rack] = append(byRack[t.info.Rack], t)
	}
	list := make([][]*target, 0, len(byRack))
	for _, members := range byRack {
		list = append(list, members)
	}
	slices.SortFunc(list, func(a, b []*target) int {
		return cmp.Or(
			cmp.Compare(freeMilliCPU(b, false), freeMilliCPU(a, false)),
			cmp.Compare(freeMilliCPU(b, true), freeMilliCPU(a, true)),
			cmp.Compare(a[0].info.Rack, b[0].info.Rack),
		)
	})
	return list
}

// freeMilliCPU returns the free processor capacity of the targets, with or without the
// cold ones.
func freeMilliCPU(targets []*target, withCold bool) int {
	sum := 0
	for _, t := range targets {
		if withCold || !t.cold {
			sum += t.free.MilliCPU
		}
	}
	return sum
}

// placeTasks selects a candidate for each of the tasks, and returns nil if some
// task cannot be placed. Resources are reserved only during the search, so that
// the placements do not overlap.
func (s *Scheduler) placeTasks(tasks []*task, candidates []*target) []*target {
	targets := make([]*target, 0, len(tasks))
	for _, t := range tasks {
		target := s.bestOf(t, candidates).target
		if target == nil {
			break
		}
		target.reserve(t.resources())
		t.tentativeTarget = target
		targets = append(targets, target)
	}
	for i, target := range targets {
		target.release(tasks[i].resources())
		tasks[i].tentativeTarget = nil
	}
	if len(targets) < len(tasks) {
		return nil
	}
	return targets
}

// markDone marks a task as done, and with it all tasks of its gang. Runs of the
// gang whose end is not listed yet keep their resources until then.
func (s *Scheduler) markDone(t *task) {
	for _, member := range t.group {
		for _, r := range [...]*run{member.run, member.slowRun} {
			if r != nil {
				s.unbindRun(r)
			}
		}
		member.state = taskDone
	}
}
