package rattanpool

import "time"

// updateReservation keeps one target of the service free of other work while
// the first job of a lane has waited for more than MaxWait and fits nowhere.
// Without it, small tasks would take each slot that becomes free, and a task
// that needs most of a target would never start.
func (s *Scheduler) updateReservation(now time.Duration, v *service) {
	if t := v.reserved; t != nil {
		p := t.reservedFor
		if p.lanes[0].jobs+p.lanes[1].jobs == 0 || !t.inUse() || t.service != v || t.couldFit(p) < 1 {
			s.endReservation(now, v)
		}
		return
	}
	var neediest *profile
	for _, p := range v.profiles {
		if p.slots >= v.slots || p.free > 0 || !s.starved(now, p) {
			continue // slots, not resources, are what the profile waits for
		}
		if neediest == nil || p.slots < neediest.slots {
			neediest = p
		}
	}
	if neediest != nil {
		s.reserve(now, neediest)
	}
}

// starved says that a job of the profile waits for longer than MaxWait.
func (s *Scheduler) starved(now time.Duration, p *profile) bool {
	for _, l := range p.lanes {
		head := l.head()
		if head == nil || l.long && s.longBlocked(now, p.service) {
			continue
		}
		if now-head.jobs[0].admitted > s.config.MaxWait {
			return true
		}
	}
	return false
}

// reserve picks the fitting target that runs the fewest tasks.
func (s *Scheduler) reserve(now time.Duration, p *profile) {
	var best *target
	for _, t := range p.service.targets {
		if t == nil || !t.inUse() || now < t.until || t.couldFit(p) < 1 {
			continue
		}
		if best == nil || t.held < best.held {
			best = t
		}
	}
	if best == nil {
		return
	}
	best.reservedFor = p
	p.service.reserved = best
	s.refile(now, best)
}

func (s *Scheduler) endReservation(now time.Duration, v *service) {
	t := v.reserved
	v.reserved = nil
	t.reservedFor = nil
	s.refile(now, t)
}
