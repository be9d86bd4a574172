package rattanpool

import (
	"container/heap"
	"slices"
	"time"
)

// nextQueue returns the caller queue whose first job gets the next slot, or
// nil.
func (s *Scheduler) nextQueue(now time.Duration) *callerQueue {
	var best *callerQueue
	for _, jq := range s.nonEmptyQueues {
		p := jq.profile
		if p.freeTargets == 0 && len(p.service.probeCandidates) == 0 {
			continue
		}
		if jq.long && s.longBlocked(now, p.service) {
			continue
		}
		s.fairQueue.promote(jq)
		head := jq.head()
		if head == nil || p.freeTargets == 0 && s.probeTarget(head.jobs[0]) == nil {
			continue
		}
		if best == nil || head.before(best) {
			best = head
		}
	}
	return best
}

// chooseTarget chooses the target for a task of the job: one that needs a
// probe, or else the best one with a free slot.
func (s *Scheduler) chooseTarget(j *job) (*target, Choice) {
	if probed := s.probeTarget(j); probed != nil {
		s.removeProbe(probed)
		return probed, ChoiceProbe
	}
	position, class := j.profile.choose(j.rackBits)
	chosen := j.profile.service.targets[position]
	if chosen.health == healthReinstating {
		return chosen, ChoiceProbe
	}
	return chosen, choiceOf(class)
}

// probeTarget returns a target that can be probed with a task of the job, or
// nil. Only idempotent tasks are used as probes.
func (s *Scheduler) probeTarget(j *job) *target {
	if !j.Idempotent {
		return nil
	}
	for _, t := range j.profile.service.probeCandidates {
		if !t.Leaving && t.busySlots < t.Slots && t.backoffUntil <= s.clock && t.fits(j.profile) {
			return t
		}
	}
	return nil
}

// choiceOf returns the Choice to report for a target of the class.
func choiceOf(class rankClass) Choice {
	if class == classSuspect {
		return ChoiceSuspect
	}
	switch class % classAccelerated {
	case classFast:
		return ChoiceFast
	case classNormal:
		return ChoiceNormal
	default:
		return ChoiceSlow
	}
}

// assign starts the next waiting task of the job on the target.
func (s *Scheduler) assign(now time.Duration, j *job, worker *target, choice Choice) Assignment {
	t := j.takeTask()
	s.checkInvariant(t.state == taskWaiting, "assigned task was not waiting")
	s.cancelExpiry(j)
	waited := now - t.stateSince
	t.attempt++
	t.state = taskRunning
	t.stateSince = now
	t.target = worker
	t.chargedTime = j.kind.expectedRunTime()
	t.long = j.kind.long
	j.running++
	j.rackBits |= rackBit(worker.rack)
	s.addRunning(t)
	s.addWaiting(j, -1)
	s.retries.decay(now)
	s.retries.recordStart()
	s.occupySlot(now, worker, j)
	if reserved := j.profile.service.reservedTarget; reserved != nil && reserved.reservedFor == j.profile {
		s.releaseReservation(now, j.profile.service)
	}
	s.fairQueue.charge(j.callerQueue.caller, t.chargedTime)
	s.fairQueue.advanceVirtualTime(j.callerQueue.caller, t.chargedTime)
	s.updateJobOrder(j)
	s.repositionCaller(j.callerQueue.caller)
	return Assignment{
		Job: j.ID, Task: int(t.index), Target: worker.Name, Attempt: int(t.attempt),
		Waited: waited, Choice: choice, Long: t.long,
	}
}

// occupySlot accounts for the slot of a started task and checks the limits.
func (s *Scheduler) occupySlot(now time.Duration, worker *target, j *job) {
	c, svc := j.callerQueue.caller, j.profile.service
	worker.occupySlot(j.profile)
	c.busySlots++
	s.busySlots++
	if !j.kind.long {
		svc.lastShortWork, svc.seenShortWork = now, true
	}
	s.checkInvariant(worker.busySlots <= worker.Slots, "target runs more tasks than it has slots")
	s.checkInvariant(c.Quota == 0 || c.busySlots <= c.Quota, "caller occupies more slots than its quota")
	s.checkInvariant(!j.kind.long || !s.shortWorkActive(now, svc) || svc.longBusySlots <= s.maxLongSlots(svc), "long work occupies more slots than its limit")
	s.updateRanks(now, worker)
}

// releaseSlot frees a slot of the target that the caller has occupied, and
// removes the target or the caller if it is no longer needed.
func (s *Scheduler) releaseSlot(now time.Duration, worker *target, p *resourceProfile, c *caller) {
	worker.releaseSlot(p)
	c.busySlots--
	s.busySlots--
	s.checkInvariant(worker.busySlots >= 0 && c.busySlots >= 0 && s.busySlots >= 0, "slot released twice")
	if worker.removed && worker.busySlots == 0 {
		s.forgetTarget(worker)
	} else {
		s.updateRanks(now, worker)
	}
	s.repositionCaller(c)
	s.deactivateIfIdle(c)
}

// settleSlot frees the slot of an ended task and corrects the charge to the
// actual run time. The slot of an unresolved task stays occupied until
// UnresolvedGracePeriod after the deadline or after the report, whichever is
// later; by then the lease of the task must have ended.
func (s *Scheduler) settleSlot(now time.Duration, t *task, report Report) {
	c := t.job.callerQueue.caller
	used := report.RunTime
	if report.Outcome == OutcomeNotStarted {
		used = 0
	}
	s.fairQueue.charge(c, used-t.chargedTime)
	if report.Outcome == OutcomeUnresolved {
		s.unresolvedSlots++
		end := max(now, t.job.deadline) + s.config.UnresolvedGracePeriod
		heap.Push(&s.timers, timer{at: end, kind: timerRelease, target: t.target, profile: t.job.profile, caller: c})
		s.updateRanks(now, t.target)
		s.repositionCaller(c)
		return
	}
	s.releaseSlot(now, t.target, t.job.profile, c)
}

// recordResult updates the run time statistics and the health of the target.
func (s *Scheduler) recordResult(now time.Duration, t *task, report Report) {
	k, worker := t.job.kind, t.target
	switch report.Outcome {
	case OutcomeDone:
		log2 := log2RunTime(report.RunTime)
		worker.recordSpeed(k, log2)
		s.recordRunTime(k, report.RunTime, log2)
		s.recordSuccess(now, worker)
	case OutcomeFailed, OutcomeUnresolved:
		s.recordFailure(now, worker, t.job.ID)
	case OutcomeStopped:
		// The run time of a stopped task is only a lower bound, so it is used
		// only if it exceeds the expected run time.
		if report.RunTime > k.expectedRunTime() {
			s.recordRunTime(k, report.RunTime, log2RunTime(report.RunTime))
		}
		s.reprobe(worker)
	case OutcomeNotStarted:
		if report.Unreachable {
			s.backOff(now, worker, minUnreachableBackoff, maxUnreachableBackoff)
			s.recordFailure(now, worker, t.job.ID)
			return
		}
		s.backOff(now, worker, minBusyBackoff, maxBusyBackoff)
		s.reprobe(worker)
	}
}

// reprobe schedules another probe of a target when the last probe was
// inconclusive.
func (s *Scheduler) reprobe(t *target) {
	if t.health == healthProbing && !t.removed && !slices.Contains(t.service.probeCandidates, t) {
		t.service.probeCandidates = append(t.service.probeCandidates, t)
	}
}

// recordRunTime adds the run time of a task to the statistics of its kind and
// updates the length class of the kind.
func (s *Scheduler) recordRunTime(k *kind, runTime time.Duration, log2 float64) {
	k.addSample(runTime, log2)
	if long := k.exceedsLongThreshold(s.config.LongTaskThreshold); long != k.long {
		s.reclassify(k, long)
	}
}

// reclassify changes the length class of a kind and moves its waiting jobs to
// the queue of that class.
func (s *Scheduler) reclassify(k *kind, long bool) {
	k.long = long
	for long && k.oldestRunning != nil {
		s.markLong(k.oldestRunning)
	}
	for _, j := range s.jobs {
		if j.kind == k {
			s.moveJob(j, j.profile.queues[queueIndex(long)])
		}
	}
}

// moveJob moves a job to another job queue.
func (s *Scheduler) moveJob(j *job, to *jobQueue) {
	waiting := j.waiting() + j.pendingRetries
	s.dequeueJob(j)
	j.callerQueue.waiting -= waiting
	j.callerQueue = s.callerQueueFor(j.callerQueue.caller, to)
	j.callerQueue.waiting += waiting
	s.insertJob(j)
}

// runningTask returns the running task of an assignment, or nil.
func (s *Scheduler) runningTask(ended Assignment) *task {
	j := s.jobs[ended.Job]
	known := j != nil && ended.Task >= 0 && ended.Task < len(j.tasks)
	if !s.checkInvariant(known, "finished task is unknown") {
		return nil
	}
	t := &j.tasks[ended.Task]
	if !s.checkInvariant(t.state == taskRunning && int(t.attempt) == ended.Attempt, "finished task was not running") {
		return nil
	}
	return t
}
