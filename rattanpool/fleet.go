package rattanpool

import (
	"math"
	"slices"
	"time"
)

// profileFor returns the profile of the job's needs and files all targets in a
// new one.
func (s *Scheduler) profileFor(now time.Duration, v *service, submitted *Job) *profile {
	p := v.profileFor(submitted)
	if slices.Contains(v.profiles, p) {
		return p
	}
	if len(v.profiles) >= maxProfiles {
		s.dropProfiles(v)
	}
	v.profiles = append(v.profiles, p)
	for _, t := range v.targets {
		if t != nil {
			s.refile(now, t)
		}
	}
	return p
}

// dropProfiles forgets profiles without jobs.
func (s *Scheduler) dropProfiles(v *service) {
	v.profiles = slices.DeleteFunc(v.profiles, func(p *profile) bool { return p.jobs == 0 })
	for _, c := range s.callers {
		c.entries = slices.DeleteFunc(c.entries, func(e *entry) bool {
			return e.lane.profile.service == v && e.lane.profile.jobs == 0
		})
	}
}

func (s *Scheduler) setTarget(now time.Duration, update *Target) {
	t := s.targets[update.Name]
	if t == nil {
		s.addTarget(now, update)
		return
	}
	t.round = s.round
	if t.Target == *update && !t.removed {
		return
	}
	s.account(t, -1)
	if t.Service != update.Service || t.Rack != update.Rack {
		s.unlist(t)
		t.service.remove(t)
		t.Target = *update
		t.health = healthGood
		s.serviceOf(update.Service).add(t)
		s.list(t)
	} else if t.removed {
		s.list(t)
	}
	t.Target = *update
	t.service.remember(*update)
	s.account(t, 1)
	s.refile(now, t)
}

func (s *Scheduler) addTarget(now time.Duration, update *Target) {
	t := &target{Target: *update, round: s.round, removed: true}
	s.targets[update.Name] = t
	v := s.serviceOf(update.Service)
	v.add(t)
	v.remember(*update)
	s.list(t)
	s.account(t, 1)
	s.refile(now, t)
}

func (s *Scheduler) serviceOf(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name, racks: map[string]int{}, offers: offers{callers: map[string]*offer{}, share: math.Inf(1)}}
		s.services[name] = v
	}
	return v
}

func (s *Scheduler) removeTarget(now time.Duration, t *target) {
	if t.removed {
		return
	}
	s.account(t, -1)
	s.unlist(t)
	s.refile(now, t)
	if t.held == 0 {
		s.forgetTarget(t)
	}
}

// list counts the target in its service.
func (s *Scheduler) list(t *target) {
	t.removed = false
	t.service.count++
}

// unlist takes the target out of the sums of its service.
func (s *Scheduler) unlist(t *target) {
	if t.removed {
		return
	}
	s.clearOutcomes(t)
	if t.health == healthEjected || t.health == healthProbing {
		t.service.ejected--
	}
	t.health = healthGood
	s.dropProbe(t)
	t.removed = true
	t.service.count--
}

func (s *Scheduler) forgetTarget(t *target) {
	t.service.remove(t)
	delete(s.targets, t.Name)
}

// account adds (1) or takes away (-1) the slots of a target in use.
func (s *Scheduler) account(t *target, sign int) {
	if !t.inUse() {
		return
	}
	t.service.slots += sign * t.Slots
	for _, p := range t.service.profiles {
		p.slots += sign * max(0, t.couldFit(p))
	}
	s.queue.burst += float64(sign*t.Slots) * s.config.FairBurst.Seconds()
}

// refile puts a target into the rank of its present state.
func (s *Scheduler) refile(now time.Duration, t *target) {
	if t.service == nil {
		return
	}
	class := t.class(now)
	for _, p := range t.service.profiles {
		if class == classNone {
			p.file(t, classNone)
		} else {
			p.file(t, t.classFor(p, class))
		}
	}
}
