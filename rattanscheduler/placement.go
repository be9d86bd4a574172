package rattanscheduler

import (
	"time"
)

// schedule starts waiting tasks on targets with sufficient free resources.
func (s *Scheduler) schedule(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	usable := s.usableTargets(now)
	if len(usable) == 0 {
		return
	}
	for _, c := range s.candidates(now) {
		if c.timeliness == timelinessExpired {
			continue
		}
		s.startReadyTasks(c.job, usable, now)
	}
}

func (s *Scheduler) usableTargets(now time.Time) []*target {
	list := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		if t.usable(now) && t.free.MilliCPU > 0 {
			list = append(list, t)
		}
	}
	return list
}

// startReadyTasks starts as many ready tasks of the job as there are resources
// for.
func (s *Scheduler) startReadyTasks(j *job, usable []*target, now time.Time) {
	s.startCoupledSteps(j, usable, now)
	for _, t := range append([]*task(nil), j.ready...) {
		if t.step().Gang {
			continue
		}
		target := s.selectTarget(t, usable)
		if target == nil {
			continue
		}
		j.removeReady(t)
		s.startRun(t, target, now)
	}
	if len(j.ready) == 0 {
		s.dequeue(j)
	}
}

// selectTarget returns the best target for a task, or nil if there is none. It
// prefers targets near the task's data, then those with the least processor
// capacity left over.
func (s *Scheduler) selectTarget(t *task, usable []*target) *target {
	step := t.step()
	var best *target
	bestScore := 0.0
	for _, target := range usable {
		if target.info.Service != t.job.submission.Service || !target.info.HasLabel(step.Label) || !step.Resources.FitsIn(target.free) {
			continue
		}
		if target == t.lastFailedTarget && s.hasOtherTarget(t) {
			continue
		}
		if step.MaxPerTarget > 0 && t.job.tasksOnTarget(t.stepIndex, target) >= step.MaxPerTarget {
			continue
		}
		score := s.score(t, target)
		if best == nil || score < bestScore || (score == bestScore && target.info.ID < best.info.ID) {
			best, bestScore = target, score
		}
	}
	return best
}

// hasOtherTarget reports whether a failed task could run on another responsive
// target. It is then better to wait for that target: one that fails every run
// would use up all attempts of the task.
func (s *Scheduler) hasOtherTarget(t *task) bool {
	for _, target := range s.targets {
		if target != t.lastFailedTarget && target.reconciled && !target.unresponsive && target.canHost(t.job, t.step()) {
			return true
		}
	}
	return false
}

// score rates a target for a task; lower is better.
func (s *Scheduler) score(t *task, target *target) float64 {
	step := t.step()
	remaining := target.free.MilliCPU - step.Resources.MilliCPU
	score := float64(remaining) / float64(max(1, target.info.Capacity.MilliCPU))
	if step.Rack != "" && !target.info.HasLabel(step.Rack) {
		score += s.config.RemotePenalty
	}
	if t.avoidTarget == target {
		score += avoidPenalty
	}
	return score
}

// avoidPenalty outweighs all other terms of the score, so that an avoided
// target is chosen only if there is no other.
const avoidPenalty = 100
