package rattanpool

import (
	"fmt"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

const (
	// deadlineMargin is the part of the time to the deadline that admission
	// keeps free, because estimates of heavy-tailed work are uncertain.
	deadlineMargin = 0.1
	// patience is the part of the time to the deadline that a job may wait for
	// other jobs. The rest is kept for the rare tasks that run many times longer
	// than expected; with 0.5, 1.2% of the accepted jobs missed their deadline at
	// the crest. It is the same for all kinds, so that none is refused longer
	// than others while a backlog drains.
	patience      = 0.4
	minRetryAfter = 50 * time.Millisecond
	// noTargetRetry is the least time after which targets may be back.
	noTargetRetry = time.Second
	// leastRate keeps estimates finite while long work holds most slots.
	leastRate = 0.1
)

// decide returns the decision on a job; it changes nothing.
func (s *Scheduler) decide(now time.Duration, submitted *Job, k *kind, p *profile) Admission {
	if p.slots == 0 {
		return s.unplaceable(p)
	}
	left := s.since(submitted.Deadline) - now
	longest := s.critical(k, submitted.Tasks)
	wait := s.expectedWait(now, submitted, k, p)
	room := s.room(now, submitted.Deadline) - longest
	expected := wait.last + longest
	if left <= 0 || room < 0 {
		detail := fmt.Sprintf("a job of %d tasks takes about %v, the deadline is in %v", submitted.Tasks, longest, left)
		return Admission{Reason: rattanjob.ReasonDeadlineTooShort, Detail: detail, ExpectedDuration: expected}
	}
	excess := max(wait.last-room, wait.first-time.Duration(patience*float64(left)))
	if !k.long && p.service.overloaded(now, submitted.Caller) {
		// Long work has its own share of the slots and waits for far longer.
		excess = max(excess, wait.others-overloadWait)
	}
	if excess <= 0 {
		return Admission{Admitted: true, ExpectedDuration: expected}
	}
	reason := rattanjob.ReasonOverloaded
	if wait.quota {
		reason = rattanjob.ReasonOverQuota
	}
	return Admission{
		Reason:           reason,
		Detail:           fmt.Sprintf("expected to end in %v, the deadline is in %v", expected, left),
		RetryAfter:       s.jitter(max(excess, minRetryAfter)),
		ExpectedDuration: expected,
	}
}

// room returns the time to the deadline without the margin.
func (s *Scheduler) room(now time.Duration, deadline time.Time) time.Duration {
	return time.Duration(float64(s.since(deadline)-now) * (1 - deadlineMargin))
}

// critical returns the expected time from the start of the last task to the
// end of the job. A declared run time alone never refuses a job, because it may
// be 10 times too long and the true one is learned only by running.
func (s *Scheduler) critical(k *kind, tasks int) time.Duration {
	if !k.learned() {
		return 0
	}
	return k.longest(tasks)
}

// unplaceable refuses a job that no target in use fits.
func (s *Scheduler) unplaceable(p *profile) Admission {
	if p.service.everFits(p) {
		return Admission{
			Reason:     rattanjob.ReasonNoTarget,
			Detail:     fmt.Sprintf("service %q has no fitting target now", p.service.name),
			RetryAfter: s.jitter(noTargetRetry),
		}
	}
	return Admission{
		Reason: rattanjob.ReasonNeverRunnable,
		Detail: fmt.Sprintf("no target of service %q has %d cores, %d MB and %d accelerators",
			p.service.name, p.cores, p.memoryMB, p.accelerators),
	}
}

// wait is how long a job is expected to wait.
type wait struct {
	// first is the time until the tasks ahead of the job have started, last the
	// time until its last task has started.
	first, last time.Duration
	// others is first without the wait for the caller's quota, which is no sign
	// of overload.
	others time.Duration
	// quota says that the caller's quota is the cause of last.
	quota bool
}

// expectedWait returns how long a job is expected to wait. The job waits for its caller's backlog at the caller's share, or
// for the whole backlog if that ends earlier. Its last task also waits for what
// the other callers may run in the order of jobs while they are within their
// share: without that, 5 to 7% of the accepted jobs missed their deadline at the
// crest.
func (s *Scheduler) expectedWait(now time.Duration, submitted *Job, k *kind, p *profile) wait {
	c := s.callers[submitted.Caller]
	ahead := s.backlogAhead(now, submitted, c, k, p)
	own, all := ahead.own, ahead.all
	free := max(0, min(p.slots, p.service.slots-p.service.held)-ahead.tasks)
	each := k.expected().Seconds()
	work := each * float64(max(0, submitted.Tasks-free))
	rate := s.serviceRate(now, k, p)
	share := rate * s.shareOf(c)
	before := min(all/rate, own/share)
	until := min((all+work)/rate, (own+work)/share+ahead.tolerated/rate)
	expected := wait{others: seconds(before)}
	if c != nil && c.Quota > 0 {
		slots := float64(c.Quota)
		work = each * float64(max(0, submitted.Tasks-max(0, c.Quota-c.held)))
		expected.quota = (own+work)/slots > until
		before = max(before, own/slots)
		until = max(until, (own+work)/slots)
	}
	expected.first, expected.last = seconds(before), seconds(until)
	return expected
}

// shareOf returns the caller's part of the slots while all callers that have
// waiting tasks compete; nil stands for a caller of weight 1.
func (s *Scheduler) shareOf(c *caller) float64 {
	if c == nil {
		return 1 / (1 + s.backlogWeight)
	}
	if c.backlog > 0 {
		return c.Weight / s.backlogWeight
	}
	return c.Weight / (c.Weight + s.backlogWeight)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// backlog is the expected slot time, in seconds, of waiting tasks that go
// before a job.
type backlog struct {
	// own is that of its caller, and all that of all callers.
	own, all float64
	// tasks is the number of tasks in all.
	tasks int
	// tolerated is the part of all that other callers may run before they are
	// beyond their share.
	tolerated float64
}

// backlogAhead returns the backlog ahead of the submitted job. Short jobs go
// before long ones, jobs with a smaller key before others, and callers within
// their share before those beyond it. To count the whole backlog would refuse
// small jobs that wait for little of it: 8 to 11% of the small jobs at 80% load.
func (s *Scheduler) backlogAhead(now time.Duration, submitted *Job, c *caller, k *kind, p *profile) backlog {
	room := max(0, s.room(now, submitted.Deadline)-s.critical(k, submitted.Tasks))
	key := now + min(s.sizeDelay(k, p, submitted.Tasks), room/slackPart)
	within := c == nil || !c.active || c.tag <= s.queue.limit(k.long)
	var found backlog
	for _, l := range s.lanes {
		if l.profile.service != p.service || l.long && !k.long {
			continue
		}
		for _, e := range l.within {
			before := found.all
			found.add(e, c, key)
			if e.caller != c {
				found.tolerated += min(found.all-before, (s.queue.limit(l.long)-e.caller.tag)*e.caller.Weight)
			}
		}
		for _, e := range l.beyond {
			if !within || e.caller == c {
				found.add(e, c, key)
			}
		}
	}
	return found
}

// add adds the waiting tasks of an entry that go before a job of caller c with
// the key.
func (b *backlog) add(e *entry, c *caller, key time.Duration) {
	for _, j := range e.jobs {
		if j.key > key {
			continue
		}
		count := j.waiting()
		work := j.kind.expected().Seconds() * float64(count)
		b.all += work
		b.tasks += count
		if e.caller == c {
			b.own += work
		}
	}
}

// serviceRate returns the number of slots that serve jobs of the kind.
func (s *Scheduler) serviceRate(now time.Duration, k *kind, p *profile) float64 {
	v := p.service
	rate := float64(p.slots)
	switch {
	case !k.long:
		rate -= float64(v.longHeld)
	case s.shortPresent(now, v):
		rate = min(rate, float64(s.longLimit(v)))
	}
	return max(rate, leastRate*float64(p.slots))
}

// jitter spreads a retry time over its double, so that refused callers do not
// come back together.
func (s *Scheduler) jitter(least time.Duration) time.Duration {
	return time.Duration(float64(least) * (1 + s.config.Random.Float64()))
}
