package rattanscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowCheckInterval is the interval at which slow targets are checked.
	slowCheckInterval = 50 * time.Millisecond
	// probeInterval is how long no run of a slow target is observed before one is
	// started there as a probe. It doubles with each probe, up to maxProbeInterval,
	// until a run there takes about the usual time.
	probeInterval    = 4 * time.Second
	maxProbeInterval = 64 * time.Second
	// quickProbeInterval is the interval after a run that took at most half of the
	// estimated additional time; usualShare is the rest.
	quickProbeInterval = 500 * time.Millisecond
	usualShare         = 0.5
	// probeDecay is the factor by which the slowness of a target shrinks with each
	// probeInterval without an observation, down to the first slow class. Without that
	// no task might ever have the time for a probe.
	probeDecay = 0.95
	// maxProbes bounds the number of targets that are considered for a probe.
	maxProbes = 8
	// reportDelay is how long a target must be slow before that is reported.
	reportDelay = 500 * time.Millisecond
)

// checkSlowTargets reports the targets that have become slow or normal, and selects
// those that need a probe.
func (s *Scheduler) checkSlowTargets(now time.Time) {
	if len(s.slow) == 0 || now.Before(s.slowCheckAt) {
		return
	}
	s.slowCheckAt = now.Add(slowCheckInterval)
	for _, state := range s.services {
		state.pool.probes = state.pool.probes[:0]
	}
	remaining := s.slow[:0]
	for _, t := range s.slow {
		if s.targets[t.info.ID] == t && t.speed.warmClass > 0 {
			s.checkSlowTarget(t, now)
			remaining = append(remaining, t)
			continue
		}
		if t.speed.reported && s.targets[t.info.ID] == t {
			s.recordChange(t, TargetNormal)
		}
		t.speed.slowListed, t.speed.reported, t.speed.slowSince = false, false, time.Time{}
	}
	clear(s.slow[len(remaining):])
	s.slow = remaining
}

func (s *Scheduler) checkSlowTarget(t *target, now time.Time) {
	speed := &t.speed
	if speed.slowSince.IsZero() {
		speed.slowSince = now
	}
	if !speed.reported && now.Sub(speed.slowSince) >= reportDelay {
		speed.reported = true
		s.recordChange(t, TargetSlow)
		s.output.Targets[len(s.output.Targets)-1].RunTimeFactor = math.Exp(speed.slowness)
	}
	interval := cmp.Or(speed.probeInterval, probeInterval)
	unobserved := now.Sub(speed.observedAt)
	if speed.cold || unobserved < min(interval, probeInterval) {
		return
	}
	if unobserved >= probeInterval && speed.slowness > slowClassStep && now.Sub(speed.decayedAt) >= probeInterval {
		speed.decayedAt = now
		speed.slowness = max(probeDecay*speed.slowness, slowClassStep)
		s.classifySpeed(t)
	}
	pool := s.service(t.info.Service).pool
	if len(pool.probes) < maxProbes && t.usable(now) && now.Sub(speed.probedAt) >= interval {
		pool.probes = append(pool.probes, t)
	}
}

// selectProbe returns a slow target that needs a probe and on which the task is
// sure to end on time as far as the speed is known, or nil.
func (s *Scheduler) selectProbe(t *task, pass *placementPass) *target {
	step := t.step()
	if step.Rack != "" || step.SameRack {
		return nil
	}
	objective, _ := s.adjustedDeadlines(t.job)
	expected := float64(s.estimator.expectedRunTime(t.job, t.stepIndex))
	for i, target := range pass.pool.probes {
		end := pass.now.Add(time.Duration(onTimeMargin * slowFactorOf(target.speed.class) * expected))
		if end.After(objective) || !target.pooled.indexed || target.suspects > 0 || t.avoidTarget == target || s.isSuspect(t) || !s.suits(t, target) {
			continue
		}
		target.speed.probedAt = pass.now
		target.speed.probeInterval = min(max(2*target.speed.probeInterval, probeInterval), maxProbeInterval)
		pass.pool.probes = slices.Delete(pass.pool.probes, i, i+1)
		return target
	}
	return nil
}
