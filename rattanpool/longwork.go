package rattanpool

import (
	"math"
	"time"
)

const (
	// overrunInterval is how often running tasks are checked for overruns, the
	// demand of short work and the offers are sampled and reservations are
	// updated.
	overrunInterval = 10 * time.Millisecond
	// demandWindow is the time constant over which the demand for slots by
	// short work is learned.
	demandWindow = 30 * time.Second
	// demandDeviations is how many standard deviations above the mean of that
	// demand are kept free of long work.
	demandDeviations = 2.5
	// overdueHeadroom is what is kept for short work, relative to its mean, while
	// long work needs more or is overdue. With 1.1 short tasks wait up to 60%
	// longer, with 1.4 long jobs wait up to 60% longer.
	overdueHeadroom = 1.2
	// longHeadroom is what long work may occupy relative to its learned arrivals.
	longHeadroom = 1.2
	// longPoll is how often waiting long work is looked at while slots are free.
	longPoll = 100 * time.Millisecond
	// leastLongShare is the share of slots that long work may always use, so
	// that a flood of short work does not stop it.
	leastLongShare = 0.2
)

// demand is the learned demand for slots by short work.
type demand struct {
	mean, variance float64
	weight         float64 // below 1 until demandWindow is filled
	at             time.Duration
}

// sample adds the number of slots that short work uses or waits for.
func (d *demand) sample(now time.Duration, slots float64) {
	if now <= d.at {
		return
	}
	part := 1 - math.Exp(-float64(now-d.at)/float64(demandWindow))
	d.at = now
	d.weight += part * (1 - d.weight)
	step := part / d.weight
	difference := slots - d.mean
	d.mean += step * difference
	d.variance = (1 - step) * (d.variance + step*difference*difference)
}

func (d *demand) peak() float64 {
	return d.mean + demandDeviations*math.Sqrt(d.variance)
}

// arrivals is the learned rate at which work arrives, in slots.
type arrivals struct {
	work   float64 // slot time since the last sample, in seconds
	rate   float64
	weight float64 // below 1 until demandWindow is filled
	at     time.Duration
}

func (a *arrivals) sample(now time.Duration) {
	if now <= a.at {
		return
	}
	passed := now - a.at
	part := 1 - math.Exp(-float64(passed)/float64(demandWindow))
	a.weight += part * (1 - a.weight)
	a.rate += part * (a.work/passed.Seconds() - a.rate)
	a.work = 0
	a.at = now
}

// slots returns the number of slots that the arriving work needs on average.
func (a *arrivals) slots() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.rate / a.weight
}

// longLimit returns the number of slots that long work may occupy while short
// work is present: what the learned peak of short work leaves, or what long work
// needs as far as the mean of short work leaves it. When long work is overdue,
// only the mean of short work is kept free.
func (s *Scheduler) longLimit(v *service) int {
	slots := float64(v.slots)
	most := max(slots-overdueHeadroom*v.shortDemand.mean, leastLongShare*slots)
	limit := most
	if !s.longOverdue(v) {
		limit = max(slots-v.shortDemand.peak(), min(most, longHeadroom*v.longArrivals.slots()))
	}
	return max(1, min(int(limit), s.longMost(v)))
}

// longMost returns the number of slots that long work never exceeds while short
// work is present, but for tasks that turn out long.
func (s *Scheduler) longMost(v *service) int {
	return max(1, int(s.config.LongShare*float64(v.slots)))
}

// longOverdue says that a long job waits although the time by which its order
// key places it has passed, which is at most MaxWait after its admission.
func (s *Scheduler) longOverdue(v *service) bool {
	for _, p := range v.profiles {
		if head := p.lanes[1].head(); head != nil && head.key < s.clock {
			return true
		}
	}
	return false
}

// longBlocked says that no further long task may start now.
func (s *Scheduler) longBlocked(now time.Duration, v *service) bool {
	return v.longHeld >= s.longLimit(v) && s.shortPresent(now, v)
}

// longWake returns when the limit of long work should be looked at again: when
// short work no longer counts as present, when long work becomes overdue, or
// after longPoll, since the learned demand falls with time.
func (s *Scheduler) longWake(now time.Duration, v *service, head *entry) time.Duration {
	wake := longPoll
	if head.key > now {
		wake = head.key - now
	}
	return min(wake, max(longPoll, v.shortSeen+s.config.ShortPresence-now))
}

// sampleDemand learns how many slots short work uses or waits for, and how many
// long work needs. A caller counts with at most its share of the slots, so that
// a flood of short work of one caller does not hold up long work of others.
func (s *Scheduler) sampleDemand(now time.Duration, v *service) {
	tasks := 0
	for _, c := range s.callers {
		share := int(math.Ceil(float64(v.slots) * c.Weight / max(s.queue.weight, c.Weight)))
		tasks += min(share, c.shortDemand(v))
	}
	v.longArrivals.sample(now)
	v.shortDemand.sample(now, float64(tasks))
}

// shortDemand returns the number of short tasks that run or wait.
func (c *caller) shortDemand(v *service) (tasks int) {
	for _, e := range c.entries {
		if !e.lane.long && e.lane.profile.service == v {
			tasks += e.short + e.waiting
		}
	}
	return tasks
}

func (s *Scheduler) shortPresent(now time.Duration, v *service) bool {
	return v.hasShort && now-v.shortSeen < s.config.ShortPresence || s.shortWaiting(v)
}

func (s *Scheduler) shortWaiting(v *service) bool {
	for _, p := range v.profiles {
		if p.lanes[0].jobs > 0 {
			return true
		}
	}
	return false
}

// startRunning puts a task on the list of running tasks of its length class.
func (s *Scheduler) startRunning(t *task) {
	if t.long {
		t.job.profile.service.longHeld++
		return
	}
	t.job.kind.link(t)
	t.job.entry.short++
}

func (s *Scheduler) stopRunning(t *task) {
	t.job.running--
	if t.long {
		t.job.profile.service.longHeld--
		return
	}
	t.job.kind.unlink(t)
	t.job.entry.short--
}

// markOverruns counts tasks as long that run far longer than expected.
func (s *Scheduler) markOverruns(now time.Duration) {
	if now < s.overrunsAt {
		return
	}
	s.overrunsAt = now + overrunInterval
	for _, k := range s.kinds {
		limit := now - k.overrun()
		for k.oldest != nil && k.oldest.since < limit {
			s.markLong(k.oldest)
		}
	}
	for _, v := range s.services {
		s.sampleDemand(now, v)
		s.updateReservation(now, v)
		s.sampleOffers(now, v)
	}
	s.updateContention()
}

func (s *Scheduler) markLong(t *task) {
	t.job.kind.unlink(t)
	t.job.entry.short--
	t.long = true
	t.job.profile.service.longHeld++
}
