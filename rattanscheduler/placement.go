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
		if c.band == bandHopeless {
			continue
		}
		s.startReady(c.job, usable, now)
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

// startReady starts as many tasks of the job as there is room for.
func (s *Scheduler) startReady(j *job, usable []*target, now time.Time) {
	s.startTogether(j, usable, now)
	for _, t := range append([]*task(nil), j.ready...) {
		if t.definition().Gang {
			continue
		}
		on := s.place(t, usable)
		if on == nil {
			continue
		}
		j.remove(t)
		s.start(t, on, now)
	}
	if len(j.ready) == 0 {
		s.dequeue(j)
	}
}

// place returns the target for a task: near its data if possible, and where
// the least room is left over.
func (s *Scheduler) place(t *task, usable []*target) *target {
	step := t.definition()
	var best *target
	bestScore := 0.0
	for _, on := range usable {
		if on.info.Service != t.job.submission.Service || !on.info.HasLabel(step.Label) || !step.Resources.Fits(on.free) {
			continue
		}
		if on == t.failedOn && s.otherHosts(t) {
			continue
		}
		if step.MaxPerTarget > 0 && t.job.onTarget(t.step, on) >= step.MaxPerTarget {
			continue
		}
		score := s.score(t, on)
		if best == nil || score < bestScore || (score == bestScore && on.info.ID < best.info.ID) {
			best, bestScore = on, score
		}
	}
	return best
}

// otherHosts reports whether a task that failed could run on another target
// that answers, so that waiting for room there is better than the same target:
// one that fails all it starts would use up the attempts.
func (s *Scheduler) otherHosts(t *task) bool {
	for _, on := range s.targets {
		if on != t.failedOn && on.reconciled && !on.silent && on.canHost(t.job, t.definition()) {
			return true
		}
	}
	return false
}

// score is lower for a better target.
func (s *Scheduler) score(t *task, on *target) float64 {
	step := t.definition()
	left := on.free.MilliCPU - step.Resources.MilliCPU
	score := float64(left) / float64(max(1, on.info.Capacity.MilliCPU))
	if step.Rack != "" && !on.info.HasLabel(step.Rack) {
		score += s.config.RemotePenalty
	}
	if t.avoid == on {
		score += avoidPenalty
	}
	return score
}

// avoidPenalty outweighs all else but the lack of another target.
const avoidPenalty = 100
