package rattanscheduler

import (
	"time"
)

// schedule starts waiting tasks on targets with room for them.
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

// startReadyTasks starts as many tasks of the job as there is room for.
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

// selectTarget returns the target for a task: near its data if possible, and where
// the least room is left over.
func (s *Scheduler) selectTarget(t *task, usable []*target) *target {
	step := t.step()
	var best *target
	bestScore := 0.0
	for _, target := range usable {
		if target.info.Service != t.job.submission.Service || !target.info.HasLabel(step.Label) || !step.Need.FitsIn(target.free) {
			continue
		}
		if target == t.lastFailedTarget && s.hasOtherTarget(t) {
			continue
		}
		if step.PerTarget > 0 && t.job.tasksOnTarget(t.stepIndex, target) >= step.PerTarget {
			continue
		}
		score := s.score(t, target)
		if best == nil || score < bestScore || (score == bestScore && target.info.ID < best.info.ID) {
			best, bestScore = target, score
		}
	}
	return best
}

// hasOtherTarget reports whether a task that failed could run on another target
// that answers, so that waiting for room there is better than the same target:
// one that fails all it starts would use up the attempts.
func (s *Scheduler) hasOtherTarget(t *task) bool {
	for _, target := range s.targets {
		if target != t.lastFailedTarget && target.reconciled && !target.unresponsive && target.canHost(t.job, t.step()) {
			return true
		}
	}
	return false
}

// score is lower for a better target.
func (s *Scheduler) score(t *task, target *target) float64 {
	step := t.step()
	remaining := target.free.MilliCPU - step.Need.MilliCPU
	score := float64(remaining) / float64(max(1, target.info.Room.MilliCPU))
	if step.Rack != "" && !target.info.HasLabel(step.Rack) {
		score += s.config.RemotePenalty
	}
	if t.avoidTarget == target {
		score += avoidPenalty
	}
	return score
}

// avoidPenalty outweighs all else but the lack of another target.
const avoidPenalty = 100
