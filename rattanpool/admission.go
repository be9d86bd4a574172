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
	minRetryAfter  = 50 * time.Millisecond
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
	wait, quota := s.expectedWait(now, submitted, k, p)
	room := time.Duration(float64(left)*(1-deadlineMargin)) - longest
	expected := wait + longest
	if left <= 0 || room < 0 {
		detail := fmt.Sprintf("a job of %d tasks takes about %v, the deadline is in %v", submitted.Tasks, longest, left)
		return Admission{Reason: rattanjob.ReasonDeadlineTooShort, Detail: detail, Expected: expected}
	}
	if wait <= room {
		return Admission{Admitted: true, Expected: expected}
	}
	reason := rattanjob.ReasonOverloaded
	if quota {
		reason = rattanjob.ReasonOverQuota
	}
	return Admission{
		Reason:     reason,
		Detail:     fmt.Sprintf("expected to end in %v, the deadline is in %v", expected, left),
		RetryAfter: s.jitter(max(wait-room, minRetryAfter)),
		Expected:   expected,
	}
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

// expectedWait returns the expected time until the last task of the job starts,
// and whether the caller's quota is the cause. The job waits for its caller's
// backlog at the caller's share, or for the whole backlog if that ends earlier.
// Short jobs go before the caller's long work, so only short work counts.
func (s *Scheduler) expectedWait(now time.Duration, submitted *Job, k *kind, p *profile) (wait time.Duration, quota bool) {
	c := s.callerOf(submitted.Caller)
	own, all, ahead := s.backlogs(c, k)
	free := max(0, min(p.slots, p.service.slots-p.service.held)-ahead)
	work := k.expected().Seconds() * float64(max(0, submitted.Tasks-free))
	rate := s.serviceRate(now, k, p)
	weight, others := 1.0, s.backlogWeight
	if c != nil {
		weight = c.Weight
		if c.backlog > 0 {
			others -= c.Weight
		}
	}
	share := rate * weight / (weight + others)
	seconds := min((all+work)/rate, (own+work)/share)
	if c != nil && c.Quota > 0 {
		limited := (own + k.expected().Seconds()*float64(max(0, submitted.Tasks-max(0, c.Quota-c.held)))) / float64(c.Quota)
		quota = limited > seconds
		seconds = max(seconds, limited)
	}
	return time.Duration(seconds * float64(time.Second)), quota
}

// backlogs returns the expected slot time of the waiting tasks that go before a
// job of the kind, of the caller and of all callers, in seconds, and the number
// of the latter tasks.
func (s *Scheduler) backlogs(c *caller, k *kind) (own, all float64, tasks int) {
	for _, other := range k.service.kinds {
		if other.waiting == 0 || other.long && !k.long {
			continue
		}
		each := other.expected().Seconds()
		all += each * float64(other.waiting)
		tasks += other.waiting
		if c != nil && other.id < len(c.waiting) {
			own += each * float64(c.waiting[other.id])
		}
	}
	return own, all, tasks
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
