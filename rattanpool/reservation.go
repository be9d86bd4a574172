package rattanpool

import "time"

// updateReservation reserves one target of the service when the first job of a
// queue has waited for more than MaxWait and fits on no target. Without a
// reservation, small tasks would take each slot that becomes free, and a task
// that needs most of a target would never start.
func (s *Scheduler) updateReservation(now time.Duration, svc *service) {
	if t := svc.reservedTarget; t != nil {
		p := t.reservedFor
		if p.queues[0].jobCount+p.queues[1].jobCount == 0 || !t.inUse() || t.service != svc || t.maxConcurrentTasks(p) < 1 {
			s.releaseReservation(now, svc)
		}
		return
	}
	var scarcest *resourceProfile
	for _, p := range svc.profiles {
		if p.maxTasks >= svc.usableSlots || p.freeTargets > 0 || !s.starved(now, p) {
			continue // the profile lacks slots, not resources
		}
		if scarcest == nil || p.maxTasks < scarcest.maxTasks {
			scarcest = p
		}
	}
	if scarcest != nil {
		s.reserve(now, scarcest)
	}
}

// starved reports whether a job of the profile has waited for more than
// MaxWait.
func (s *Scheduler) starved(now time.Duration, p *resourceProfile) bool {
	for _, jq := range p.queues {
		head := jq.head()
		if head == nil || jq.long && s.longBlocked(now, p.service) {
			continue
		}
		if now-head.jobs[0].admitted > s.config.MaxWait {
			return true
		}
	}
	return false
}

// reserve reserves the fitting target that runs the fewest tasks.
func (s *Scheduler) reserve(now time.Duration, p *resourceProfile) {
	var best *target
	for _, t := range p.service.targets {
		if t == nil || !t.inUse() || now < t.backoffUntil || t.maxConcurrentTasks(p) < 1 {
			continue
		}
		if best == nil || t.busySlots < best.busySlots {
			best = t
		}
	}
	if best == nil {
		return
	}
	best.reservedFor = p
	p.service.reservedTarget = best
	s.updateRanks(now, best)
}

func (s *Scheduler) releaseReservation(now time.Duration, svc *service) {
	t := svc.reservedTarget
	svc.reservedTarget = nil
	t.reservedFor = nil
	s.updateRanks(now, t)
}
