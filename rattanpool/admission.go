package rattanpool

import (
	"fmt"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

const (
	// deadlineMargin is the part of the time to the deadline that admission
	// keeps in reserve, because estimates of heavy-tailed work are uncertain.
	deadlineMargin = 0.1
	// maxWaitShare is the part of the time to the deadline that a job may wait
	// for other jobs. The rest is reserved for the rare tasks that run many
	// times longer than expected; with 0.5, 1.2% of the accepted jobs missed
	// their deadline during a load peak. The value is the same for all kinds,
	// so that no kind is refused longer than others while a backlog drains.
	maxWaitShare = 0.4
	// minRetryAfter is the minimum RetryAfter of a refusal for overload or
	// quota.
	minRetryAfter = 50 * time.Millisecond
	// minNoTargetRetryAfter is the minimum RetryAfter when no target is
	// available. Targets are not expected back sooner.
	minNoTargetRetryAfter = time.Second
	// minServiceShare keeps estimates finite while long work occupies most
	// slots.
	minServiceShare = 0.1
)

// decideAdmission applies admission control to a job without changing any
// state.
func (s *Scheduler) decideAdmission(now time.Duration, submitted *Job, k *kind, p *resourceProfile) Admission {
	if p.maxTasks == 0 {
		return s.rejectUnplaceable(p)
	}
	untilDeadline := s.since(submitted.Deadline) - now
	finalTask := s.finalTaskTime(k, submitted.Tasks)
	wait := s.estimateWait(now, submitted, k, p)
	budget := s.timeBudget(now, submitted.Deadline) - finalTask
	expected := wait.lastStart + finalTask
	if untilDeadline <= 0 || budget < 0 {
		detail := fmt.Sprintf("a job of %d tasks takes about %v, the deadline is in %v", submitted.Tasks, finalTask, untilDeadline)
		return Admission{Reason: rattanjob.ReasonDeadlineTooShort, Detail: detail, ExpectedDuration: expected}
	}
	excess := max(wait.lastStart-budget, wait.firstStart-time.Duration(maxWaitShare*float64(untilDeadline)))
	if !k.long && p.service.overloaded(now, submitted.Caller) {
		// Long work has a separate limit of slots and waits much longer, so the
		// overload limit does not apply to it.
		excess = max(excess, wait.firstStartWithoutQuota-maxOverloadWait)
	}
	if excess <= 0 {
		return Admission{Admitted: true, ExpectedDuration: expected}
	}
	reason := rattanjob.ReasonOverloaded
	if wait.limitedByQuota {
		reason = rattanjob.ReasonOverQuota
	}
	return Admission{
		Reason:           reason,
		Detail:           fmt.Sprintf("expected to end in %v, the deadline is in %v", expected, untilDeadline),
		RetryAfter:       s.jitter(max(excess, minRetryAfter)),
		ExpectedDuration: expected,
	}
}

// timeBudget returns the time to the deadline less the margin.
func (s *Scheduler) timeBudget(now time.Duration, deadline time.Time) time.Duration {
	return time.Duration(float64(s.since(deadline)-now) * (1 - deadlineMargin))
}

// finalTaskTime returns the expected time from the start of the last task to
// the end of the job. It is 0 until enough run times have been observed: a
// declared run time may be 10 times too long, and if jobs were refused because
// of it, the actual run time would never be observed.
func (s *Scheduler) finalTaskTime(k *kind, tasks int) time.Duration {
	if !k.hasEstimate() {
		return 0
	}
	return k.expectedMaxRunTime(tasks)
}

// rejectUnplaceable refuses a job that fits no target in use.
func (s *Scheduler) rejectUnplaceable(p *resourceProfile) Admission {
	if p.service.everFitted(p) {
		return Admission{
			Reason:     rattanjob.ReasonNoTarget,
			Detail:     fmt.Sprintf("service %q has no fitting target now", p.service.name),
			RetryAfter: s.jitter(minNoTargetRetryAfter),
		}
	}
	return Admission{
		Reason: rattanjob.ReasonNeverRunnable,
		Detail: fmt.Sprintf("no target of service %q has %d cores, %d MB and %d accelerators",
			p.service.name, p.cores, p.memoryMB, p.accelerators),
	}
}

// waitEstimate is the estimated waiting time of a job.
type waitEstimate struct {
	// firstStart is the time until all tasks ahead of the job have started,
	// lastStart the time until its last task has started.
	firstStart, lastStart time.Duration
	// firstStartWithoutQuota is firstStart without the wait for the caller's
	// quota, which does not indicate overload.
	firstStartWithoutQuota time.Duration
	// limitedByQuota reports whether the caller's quota determines lastStart.
	limitedByQuota bool
}

// estimateWait estimates how long a job waits. It waits until its caller's
// backlog is served at the caller's share or until the whole backlog is served,
// whichever is earlier. Its last task also waits for the tasks that other
// callers may run while they are within their share; without that term, 5 to 7%
// of the accepted jobs missed their deadline during a load peak.
func (s *Scheduler) estimateWait(now time.Duration, submitted *Job, k *kind, p *resourceProfile) waitEstimate {
	c := s.callers[submitted.Caller]
	ahead := s.backlogAhead(now, submitted, c, k, p)
	callerWork, totalWork := ahead.callerWork, ahead.totalWork
	freeSlots := max(0, min(p.maxTasks, p.service.usableSlots-p.service.busySlots)-ahead.tasks)
	taskTime := k.expectedRunTime().Seconds()
	work := taskTime * float64(max(0, submitted.Tasks-freeSlots))
	rate := s.serviceRate(now, k, p)
	share := rate * s.shareFor(c)
	firstStart := min(totalWork/rate, callerWork/share)
	lastStart := min((totalWork+work)/rate, (callerWork+work)/share+ahead.othersWithinShare/rate)
	estimate := waitEstimate{firstStartWithoutQuota: seconds(firstStart)}
	if c != nil && c.Quota > 0 {
		slots := float64(c.Quota)
		work = taskTime * float64(max(0, submitted.Tasks-max(0, c.Quota-c.busySlots)))
		estimate.limitedByQuota = (callerWork+work)/slots > lastStart
		firstStart = max(firstStart, callerWork/slots)
		lastStart = max(lastStart, (callerWork+work)/slots)
	}
	estimate.firstStart, estimate.lastStart = seconds(firstStart), seconds(lastStart)
	return estimate
}

// shareFor returns the caller's fraction of the slots while all callers with
// waiting tasks compete. A nil caller counts with weight 1.
func (s *Scheduler) shareFor(c *caller) float64 {
	if c == nil {
		return 1 / (1 + s.waitingWeight)
	}
	if c.waitingTasks > 0 {
		return c.Weight / s.waitingWeight
	}
	return c.Weight / (c.Weight + s.waitingWeight)
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// backlogEstimate is the expected slot time, in seconds, of the waiting tasks
// that are ahead of a job.
type backlogEstimate struct {
	// callerWork is the work of the same caller, totalWork that of all callers.
	callerWork, totalWork float64
	// tasks is the number of tasks in totalWork.
	tasks int
	// othersWithinShare is the part of totalWork that other callers may run
	// before they exceed their share.
	othersWithinShare float64
}

// backlogAhead returns the backlog ahead of the submitted job. Short jobs
// precede long ones, smaller sort keys precede larger ones, and callers within
// their share precede the others. Counting the whole backlog instead would
// refuse 8 to 11% of the small jobs at 80% load, although they wait for little
// of it.
func (s *Scheduler) backlogAhead(now time.Duration, submitted *Job, c *caller, k *kind, p *resourceProfile) backlogEstimate {
	budget := max(0, s.timeBudget(now, submitted.Deadline)-s.finalTaskTime(k, submitted.Tasks))
	sortKey := now + min(s.sizeDelay(k, p, submitted.Tasks), budget/slackDivisor)
	withinShare := c == nil || !c.active || c.startTag <= s.fairQueue.maxStartTag(k.long)
	var ahead backlogEstimate
	for _, jq := range s.nonEmptyQueues {
		if jq.profile.service != p.service || jq.long && !k.long {
			continue
		}
		for _, cq := range jq.withinShare {
			workBefore := ahead.totalWork
			ahead.add(cq, c, sortKey)
			if cq.caller != c {
				ahead.othersWithinShare += min(ahead.totalWork-workBefore, (s.fairQueue.maxStartTag(jq.long)-cq.caller.startTag)*cq.caller.Weight)
			}
		}
		for _, cq := range jq.overShare {
			if !withinShare || cq.caller == c {
				ahead.add(cq, c, sortKey)
			}
		}
	}
	return ahead
}

// add adds the waiting tasks of a caller queue that precede a job of caller c
// with the given sort key.
func (b *backlogEstimate) add(cq *callerQueue, c *caller, sortKey time.Duration) {
	for _, j := range cq.jobs {
		if j.sortKey > sortKey {
			continue
		}
		count := j.waiting()
		work := j.kind.expectedRunTime().Seconds() * float64(count)
		b.totalWork += work
		b.tasks += count
		if cq.caller == c {
			b.callerWork += work
		}
	}
}

// serviceRate returns the number of slots that serve jobs of the kind.
func (s *Scheduler) serviceRate(now time.Duration, k *kind, p *resourceProfile) float64 {
	svc := p.service
	rate := float64(p.maxTasks)
	switch {
	case !k.long:
		rate -= float64(svc.longBusySlots)
	case s.shortWorkActive(now, svc):
		rate = min(rate, float64(s.longSlotLimit(svc)))
	}
	return max(rate, minServiceShare*float64(p.maxTasks))
}

// jitter returns a random duration between the minimum and twice the minimum,
// so that refused callers do not retry at the same time.
func (s *Scheduler) jitter(minimum time.Duration) time.Duration {
	return time.Duration(float64(minimum) * (1 + s.config.Random.Float64()))
}
