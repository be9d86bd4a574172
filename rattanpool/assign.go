package rattanpool

import (
	"container/heap"
	"slices"
	"time"
)

// first returns the entry whose first job gets the next slot, nil for none.
func (s *Scheduler) first(now time.Duration) *entry {
	var best *entry
	for _, l := range s.lanes {
		p := l.profile
		if p.free == 0 && len(p.service.probes) == 0 {
			continue
		}
		if l.long && s.longBlocked(now, p.service) {
			continue
		}
		s.queue.promote(l)
		head := l.head()
		if head == nil || p.free == 0 && s.probeFor(head.jobs[0]) == nil {
			continue
		}
		if best == nil || head.before(best) {
			best = head
		}
	}
	return best
}

// place chooses the target for a task of the job: one that waits for a probe,
// or the best one with a free slot.
func (s *Scheduler) place(j *job) (*target, Choice) {
	if probed := s.probeFor(j); probed != nil {
		s.dropProbe(probed)
		return probed, ChoiceProbe
	}
	position, class := j.profile.choose(j.racks)
	chosen := j.profile.service.targets[position]
	if chosen.health == healthReinstating {
		return chosen, ChoiceProbe
	}
	return chosen, choiceOf(class)
}

// probeFor returns a target that waits for a probe that the job can be.
func (s *Scheduler) probeFor(j *job) *target {
	if !j.Idempotent {
		return nil
	}
	for _, t := range j.profile.service.probes {
		if !t.Leaving && t.held < t.Slots && t.until <= s.clock && t.fits(j.profile) {
			return t
		}
	}
	return nil
}

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

func (s *Scheduler) assign(now time.Duration, j *job, on *target, choice Choice) Assignment {
	t := j.pick()
	s.require(t.state == taskWaiting, "task assigned again")
	s.forgetLapse(j)
	waited := now - t.since
	t.attempt++
	t.state = taskRunning
	t.since = now
	t.target = on
	t.charge = j.kind.expected()
	t.long = j.kind.long
	j.running++
	j.racks |= rackBit(on.rack)
	s.startRunning(t)
	s.noteWaiting(j, -1)
	s.retries.decay(now)
	s.retries.started()
	s.hold(now, on, j)
	if reserved := j.profile.service.reserved; reserved != nil && reserved.reservedFor == j.profile {
		s.endReservation(now, j.profile.service)
	}
	s.queue.charge(j.entry.caller, t.charge)
	s.queue.advance(j.entry.caller, t.charge)
	s.reorder(j)
	s.arrangeAll(j.entry.caller)
	return Assignment{
		Job: j.ID, Task: int(t.index), Target: on.Name, Attempt: int(t.attempt),
		Waited: waited, Choice: choice, Long: t.long,
	}
}

// hold accounts for the slot of a started task and checks the bounds.
func (s *Scheduler) hold(now time.Duration, on *target, j *job) {
	c, v := j.entry.caller, j.profile.service
	on.hold(j.profile)
	c.held++
	s.busy++
	if !j.kind.long {
		v.shortSeen, v.hasShort = now, true
	}
	s.require(on.held <= on.Slots, "more tasks than slots")
	s.require(c.Quota == 0 || c.held <= c.Quota, "more slots held than the quota")
	s.require(!j.kind.long || !s.shortPresent(now, v) || v.longHeld <= s.longMost(v), "more long work than its share")
	s.refile(now, on)
}

// release gives a slot back.
func (s *Scheduler) release(now time.Duration, on *target, p *profile, c *caller) {
	on.release(p)
	c.held--
	s.busy--
	s.require(on.held >= 0 && c.held >= 0 && s.busy >= 0, "slot released twice")
	if on.removed && on.held == 0 {
		s.forgetTarget(on)
	} else {
		s.refile(now, on)
	}
	s.arrangeAll(c)
	s.rest(c)
}

// settle gives the slot back and corrects the charge. An unresolved task may
// still hold its slot until its lease has ended.
func (s *Scheduler) settle(now time.Duration, t *task, report Report) {
	c := t.job.entry.caller
	used := report.RunTime
	if report.Outcome == OutcomeNotStarted {
		used = 0
	}
	s.queue.charge(c, used-t.charge)
	if report.Outcome == OutcomeUnresolved {
		s.holds++
		end := max(now, t.job.deadline) + s.config.UnresolvedGrace
		heap.Push(&s.timers, timer{at: end, kind: timerRelease, target: t.target, profile: t.job.profile, caller: c})
		s.refile(now, t.target)
		s.arrangeAll(c)
		return
	}
	s.release(now, t.target, t.job.profile, c)
}

// learn takes the run time and the outcome into account.
func (s *Scheduler) learn(now time.Duration, t *task, report Report) {
	k, on := t.job.kind, t.target
	switch report.Outcome {
	case OutcomeDone:
		octaves := octavesOf(report.RunTime)
		on.learnSpeed(k, octaves)
		s.learnRunTime(k, report.RunTime, octaves)
		s.succeeded(now, on)
	case OutcomeFailed, OutcomeUnresolved:
		s.failed(now, on, t.job.ID)
	case OutcomeStopped:
		// A run time that was cut off is a lower bound; it teaches something
		// only when it is above the expectation.
		if report.RunTime > k.expected() {
			s.learnRunTime(k, report.RunTime, octavesOf(report.RunTime))
		}
		s.reprobe(on)
	case OutcomeNotStarted:
		if report.Unreachable {
			s.refused(now, on, leastUnreachableBackoff, mostUnreachableBackoff)
			s.failed(now, on, t.job.ID)
			return
		}
		s.refused(now, on, leastBusyBackoff, mostBusyBackoff)
		s.reprobe(on)
	}
}

// reprobe lets a target that is being probed wait for another probe, when the
// last one said nothing about it.
func (s *Scheduler) reprobe(t *target) {
	if t.health == healthProbing && !t.removed && !slices.Contains(t.service.probes, t) {
		t.service.probes = append(t.service.probes, t)
	}
}

func (s *Scheduler) learnRunTime(k *kind, runTime time.Duration, octaves float64) {
	k.learn(runTime, octaves)
	if long := k.nowLong(s.config.LongTask); long != k.long {
		s.reclassify(k, long)
	}
}

// reclassify moves the waiting jobs of a kind to the lane of its length class.
func (s *Scheduler) reclassify(k *kind, long bool) {
	k.long = long
	for long && k.oldest != nil {
		s.markLong(k.oldest)
	}
	for _, j := range s.jobs {
		if j.kind == k {
			s.moveJob(j, j.profile.lanes[laneIndex(long)])
		}
	}
}

func (s *Scheduler) moveJob(j *job, to *lane) {
	waiting := j.waiting() + j.parked
	s.unqueue(j)
	j.entry.waiting -= waiting
	j.entry = s.entryOf(j.entry.caller, to)
	j.entry.waiting += waiting
	s.queueJob(j)
}

// runningTask returns the running task of an assignment, nil if there is none.
func (s *Scheduler) runningTask(ended Assignment) *task {
	j := s.jobs[ended.Job]
	known := j != nil && ended.Task >= 0 && ended.Task < len(j.tasks)
	if !s.require(known, "unknown task finished") {
		return nil
	}
	t := &j.tasks[ended.Task]
	if !s.require(t.state == taskRunning && int(t.attempt) == ended.Attempt, "task finished that does not run") {
		return nil
	}
	return t
}
