package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// avoidPenalty outweighs all other terms of the score, so that an avoided
// target is chosen only if there is no other.
const avoidPenalty = 100

// suspectPenalty keeps other tasks away from a target that runs a task under which
// a target was lost. It outweighs all terms but those of an avoided and of a cold
// target, given a remote penalty of up to 1.5.
const suspectPenalty = 10

// maxFailedDemands bounds the number of demands that a pass remembers.
const maxFailedDemands = 8

// serviceState holds the targets and the waiting jobs of one service.
type serviceState struct {
	pool  *targetPool
	queue jobQueue
	// releases tells when running tasks are expected to end.
	releases releaseSchedule
	// waits contains how actual waits differ from those that follow from releases.
	waits map[waitKey]waitRatio
	// shares contains the work that each priority has started lately.
	shares map[int]*startedShare
	// coldFactor is the learned factor by which run times on cold targets are longer.
	coldFactor float64
	// submitted is set once a job was submitted, priority is that of the last one.
	submitted bool
	priority  int
}

// service returns the state of a service.
func (s *Scheduler) service(name string) *serviceState {
	state, ok := s.services[name]
	if !ok {
		state = &serviceState{pool: newTargetPool(), coldFactor: initialColdFactor, waits: map[waitKey]waitRatio{}, shares: map[int]*startedShare{}}
		s.services[name] = state
	}
	return state
}

// touch marks a target whose resources or usability may have changed.
func (s *Scheduler) touch(t *target) {
	if !t.touched {
		t.touched = true
		s.touched = append(s.touched, t)
	}
}

// refreshTargets updates the indexes of the targets that have changed and of
// those whose suspension has ended.
func (s *Scheduler) refreshTargets(now time.Time) {
	waiting := s.suspended[:0]
	for _, t := range s.suspended {
		if now.Before(t.suspendedUntil) {
			waiting = append(waiting, t)
			continue
		}
		t.suspensionPending = false
		s.touch(t)
	}
	s.suspended = waiting
	s.warmTargets(now)
	for _, t := range s.touched {
		t.touched = false
		if s.targets[t.info.ID] == t {
			s.service(t.info.Service).pool.refresh(t, now)
		}
	}
	s.touched = s.touched[:0]
}

// schedule starts waiting tasks on targets with sufficient free resources.
func (s *Scheduler) schedule(now time.Time) {
	s.refreshTargets(now)
	if !s.startsBlocked() {
		s.startWaiting(now)
	}
}

// SetHeld sets whether no task may start for the time being.
func (s *Scheduler) SetHeld(held bool, now time.Time) {
	s.held = held
	s.schedule(now)
}

// scheduleServices makes a pass over the waiting jobs of each service.
func (s *Scheduler) scheduleServices(now time.Time) {
	for _, state := range s.services {
		if state.queue.jobs > 0 {
			s.scheduleService(state, now)
		}
	}
}

// placementPass is the state of one pass over the waiting jobs of a service.
type placementPass struct {
	pool *targetPool
	now  time.Time
	// failed contains demands for which no target was found. Resources only
	// become scarcer during a pass, so larger demands need no search.
	failed []demand
}

// demand is what a task requires of a target, regardless of its history.
type demand struct {
	label     string
	resources rattanwork.Resources
}

// scheduleService visits, in order, the jobs of a service that may fit into
// the free resources of some target.
func (s *Scheduler) scheduleService(state *serviceState, now time.Time) {
	pass := &placementPass{pool: state.pool, now: now}
	owedDone := !state.queue.mixed
	state.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
		if !owedDone && !class.started {
			owedDone = true
			s.scheduleOwed(state, pass)
		}
		s.scheduleClass(class, keys, pass, nil)
	})
}

// scheduleClass visits, in order, the jobs of a class that may fit, while the condition
// holds if there is one.
func (s *Scheduler) scheduleClass(class *jobClass, keys keyRange, pass *placementPass, while func() bool) {
	for while == nil || while() {
		entry, found := class.firstFitting(keys, pass.pool.maxFree())
		if !found {
			return
		}
		keys.after = entry.key
		if !entry.job.expired(pass.now) && !s.awaitsReconciliation(entry.job, pass.now) && s.callersWait(entry.job, pass.now) {
			s.startReadyTasks(entry.job, pass)
		}
	}
}

// startReadyTasks starts as many ready tasks of the job as there are resources
// for.
func (s *Scheduler) startReadyTasks(j *job, pass *placementPass) {
	started := s.startCoupledSteps(j, pass)
	for i := 0; i < len(j.ready); {
		t := j.ready[i]
		target := s.selectTarget(t, pass)
		if target == nil {
			i++
			continue
		}
		if target.cold && s.leaveCold(j, target, pass.now) {
			return
		}
		if !s.grantsLease(target, pass.now) {
			continue
		}
		j.ready = append(j.ready[:i], j.ready[i+1:]...)
		s.startRun(t, target, pass.now)
		started = true
	}
	if started {
		s.reposition(j)
	}
}

// selectTarget returns the best target for a task, or nil if there is none. It
// prefers targets near the task's data, then those with the least processor
// capacity left over.
func (s *Scheduler) selectTarget(t *task, pass *placementPass) *target {
	step := t.step()
	if step.Gang {
		return nil
	}
	required := demand{label: step.Label, resources: step.Resources}
	if pass.hasFailed(required) {
		return nil
	}
	if s.bound(t) {
		return s.boundTarget(t)
	}
	best := s.searchPool(t, pass.pool)
	restricted := t.lastFailedTarget != nil || step.MaxPerTarget != 0 || t.job.leaseOutlastsCallers(s.latestLeaseEnd)
	if best == nil && !restricted && len(pass.failed) < maxFailedDemands {
		pass.failed = append(pass.failed, required)
	}
	return best
}

// hasFailed reports whether no target was found for a demand that is not larger
// than the given one.
func (p *placementPass) hasFailed(required demand) bool {
	for _, failed := range p.failed {
		if (failed.label == "" || failed.label == required.label) && failed.resources.FitsIn(required.resources) {
			return true
		}
	}
	return false
}

// searchPool returns the best target of the pool for a task, or nil. It looks
// first at the targets near the task's data, then at the warm and then at the cold
// others, in the order of the processor capacity that they would have left.
func (s *Scheduler) searchPool(t *task, pool *targetPool) *target {
	step := t.step()
	best := scoredTarget{}
	penalty := 0.0
	if step.Rack != "" {
		best = s.bestOf(t, pool.byLabel[step.Rack])
		penalty = s.config.RemotePenalty
	}
	for _, group := range pool.groups {
		coldPenalty := s.coldPenalty(group.cold)
		if best.target != nil && coldPenalty+penalty > best.score {
			break
		}
		list := group.targets.list
		for _, target := range list[group.targets.search(step.Resources.MilliCPU, ""):] {
			least := s.remainingShare(t, target) + coldPenalty + penalty
			if best.target != nil && least > best.score {
				break
			}
			if !s.suits(t, target) {
				continue
			}
			score := s.score(t, target)
			best = best.better(scoredTarget{target, score})
			if score == least {
				// The next ones have a higher score, or the same and a higher name.
				break
			}
		}
	}
	return best.target
}

// scoredTarget is a target with its score for a task; lower is better.
type scoredTarget struct {
	target *target
	score  float64
}

// better returns the candidate if it is better, and the receiver otherwise.
func (s scoredTarget) better(candidate scoredTarget) scoredTarget {
	if s.target == nil || candidate.score < s.score || (candidate.score == s.score && candidate.target.info.ID < s.target.info.ID) {
		return candidate
	}
	return s
}

// bestOf returns the best of the listed targets for a task.
func (s *Scheduler) bestOf(t *task, list []*target) scoredTarget {
	best := scoredTarget{}
	for _, target := range list {
		if target.pooled.indexed && s.suits(t, target) {
			best = best.better(scoredTarget{target, s.score(t, target)})
		}
	}
	return best
}

// suits reports whether the task may start on the target, provided that the
// target takes new work.
func (s *Scheduler) suits(t *task, target *target) bool {
	step := t.step()
	switch {
	case target.info.Service != t.job.submission.Service:
		return false
	case !target.info.HasLabel(step.Label) || !step.Resources.FitsIn(target.free):
		return false
	case s.boundElsewhere(t, target):
		return false
	case target == t.lastFailedTarget && !s.mayFailAgain(t) && s.hasOtherTarget(t):
		return false
	case t.job.leaseOutlastsCallers(target.leaseEnd):
		return false
	}
	return step.MaxPerTarget == 0 || t.job.tasksOnTarget(t.stepIndex, target) < step.MaxPerTarget
}

// mayFailAgain reports whether a task that failed may start on the same target again,
// because it may start on no other. The last attempt is kept for another one.
func (s *Scheduler) mayFailAgain(t *task) bool {
	return s.bound(t) && t.failures+1 < t.job.submission.MaxAttempts
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

// score rates a target for a task; lower is better. A task that may have crashed a
// target goes where it harms the fewest others, away from other such tasks, so that
// the next loss tells them apart.
func (s *Scheduler) score(t *task, target *target) float64 {
	score := s.remainingShare(t, target) + s.coldPenalty(target.cold)
	if rack := t.step().Rack; rack != "" && !target.info.HasLabel(rack) {
		score += s.config.RemotePenalty
	}
	if t.avoidTarget == target {
		score += avoidPenalty
	}
	if target.suspects > 0 {
		score += suspectPenalty
	}
	if s.isSuspect(t) {
		score += float64(len(target.runs))
	}
	return score
}

// remainingShare returns the share of the target's processor capacity that
// would be free after a start of the task.
func (s *Scheduler) remainingShare(t *task, target *target) float64 {
	remaining := target.free.MilliCPU - t.step().Resources.MilliCPU
	return float64(remaining) / float64(max(1, target.info.Capacity.MilliCPU))
}
