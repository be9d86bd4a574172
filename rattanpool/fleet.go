package rattanpool

import (
	"math"
	"slices"
	"time"
)

// profileFor returns the resource profile of a job. A new profile is populated
// with the ranks of all targets.
func (s *Scheduler) profileFor(now time.Duration, svc *service, submitted *Job) *resourceProfile {
	p := svc.profileFor(submitted)
	if slices.Contains(svc.profiles, p) {
		return p
	}
	if len(svc.profiles) >= maxProfiles {
		s.dropUnusedProfiles(svc)
	}
	svc.profiles = append(svc.profiles, p)
	for _, t := range svc.targets {
		if t != nil {
			s.updateRanks(now, t)
		}
	}
	return p
}

// dropUnusedProfiles removes the profiles that have no jobs.
func (s *Scheduler) dropUnusedProfiles(svc *service) {
	svc.profiles = slices.DeleteFunc(svc.profiles, func(p *resourceProfile) bool { return p.jobs == 0 })
	for _, c := range s.callers {
		c.queues = slices.DeleteFunc(c.queues, func(cq *callerQueue) bool {
			return cq.jobQueue.profile.service == svc && cq.jobQueue.profile.jobs == 0
		})
	}
}

// addOrUpdateTarget adds a listed target or applies its changes. A target that
// moves to another service or rack loses its health state.
func (s *Scheduler) addOrUpdateTarget(now time.Duration, update *Target) {
	t := s.targets[update.Name]
	if t == nil {
		s.addTarget(now, update)
		return
	}
	t.generation = s.generation
	if t.Target == *update && !t.removed {
		return
	}
	s.adjustCapacity(t, -1)
	if t.Service != update.Service || t.Rack != update.Rack {
		s.markUnlisted(t)
		t.service.removeTarget(t)
		t.Target = *update
		t.health = healthGood
		s.getOrCreateService(update.Service).addTarget(t)
		s.markListed(t)
	} else if t.removed {
		s.markListed(t)
	}
	t.Target = *update
	t.service.rememberShape(*update)
	s.adjustCapacity(t, 1)
	s.updateRanks(now, t)
}

func (s *Scheduler) addTarget(now time.Duration, update *Target) {
	t := &target{Target: *update, generation: s.generation, removed: true}
	s.targets[update.Name] = t
	svc := s.getOrCreateService(update.Service)
	svc.addTarget(t)
	svc.rememberShape(*update)
	s.markListed(t)
	s.adjustCapacity(t, 1)
	s.updateRanks(now, t)
}

func (s *Scheduler) getOrCreateService(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, rackIndexes: map[string]int{}, offeredLoad: offeredLoad{callers: map[string]*callerLoad{}, share: math.Inf(1)}}
		s.services[name] = svc
	}
	return svc
}

// removeTarget takes a target that is no longer listed out of use and forgets
// it once it has no busy slot.
func (s *Scheduler) removeTarget(now time.Duration, t *target) {
	if t.removed {
		return
	}
	s.adjustCapacity(t, -1)
	s.markUnlisted(t)
	s.updateRanks(now, t)
	if t.busySlots == 0 {
		s.forgetTarget(t)
	}
}

// markListed adds the target to the totals of its service.
func (s *Scheduler) markListed(t *target) {
	t.removed = false
	t.service.listedTargets++
}

// markUnlisted removes the target from the totals of its service.
func (s *Scheduler) markUnlisted(t *target) {
	if t.removed {
		return
	}
	s.clearOutcomes(t)
	if t.health == healthEjected || t.health == healthProbing {
		t.service.ejectedTargets--
	}
	t.health = healthGood
	s.removeProbe(t)
	t.removed = true
	t.service.listedTargets--
}

func (s *Scheduler) forgetTarget(t *target) {
	t.service.removeTarget(t)
	delete(s.targets, t.Name)
}

// adjustCapacity adds the slots of a target in use to the capacity (sign 1) or
// subtracts them (sign -1).
func (s *Scheduler) adjustCapacity(t *target, sign int) {
	if !t.inUse() {
		return
	}
	t.service.usableSlots += sign * t.Slots
	for _, p := range t.service.profiles {
		p.maxTasks += sign * max(0, t.maxConcurrentTasks(p))
	}
	s.fairQueue.burst += float64(sign*t.Slots) * s.config.FairBurst.Seconds()
}

// updateRanks assigns the target to the ranks that match its current state.
func (s *Scheduler) updateRanks(now time.Duration, t *target) {
	if t.service == nil {
		return
	}
	class := t.class(now)
	for _, p := range t.service.profiles {
		if class == classNone {
			p.setClass(t, classNone)
		} else {
			p.setClass(t, t.classFor(p, class))
		}
	}
}
