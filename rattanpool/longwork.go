package rattanpool

import (
	"math"
	"time"
)

const (
	// samplingInterval is the interval at which running tasks are checked for
	// overruns, the demand of short work and the offered load are sampled and
	// reservations are updated.
	samplingInterval = 10 * time.Millisecond
	// demandWindow is the time constant of the estimated slot demand of short
	// work and of the estimated arrival rate of long work.
	demandWindow = 30 * time.Second
	// peakDeviations is how many standard deviations above the mean slot demand
	// of short work are kept free of long work.
	peakDeviations = 2.5
	// overdueShortHeadroom is the number of slots kept free for short work,
	// relative to its mean demand, while long work needs more slots or is
	// overdue. With 1.1, short tasks wait up to 60% longer; with 1.4, long jobs
	// wait up to 60% longer.
	overdueShortHeadroom = 1.2
	// longHeadroom is how many slots long work may occupy relative to its
	// estimated arrival rate.
	longHeadroom = 1.2
	// longRecheckInterval is how often the limit for waiting long work is
	// rechecked while slots are free.
	longRecheckInterval = 100 * time.Millisecond
	// minLongShare is the share of slots that long work may always use, so that
	// a flood of short work does not starve it.
	minLongShare = 0.2
)

// demand is an exponentially weighted estimate of the slots that short work
// needs.
type demand struct {
	mean, variance float64
	weight         float64 // approaches 1 once the samples span demandWindow
	sampledAt      time.Duration
}

// sample adds the number of slots that short work uses or waits for.
func (d *demand) sample(now time.Duration, slots float64) {
	if now <= d.sampledAt {
		return
	}
	alpha := 1 - math.Exp(-float64(now-d.sampledAt)/float64(demandWindow))
	d.sampledAt = now
	d.weight += alpha * (1 - d.weight)
	gain := alpha / d.weight
	delta := slots - d.mean
	d.mean += gain * delta
	d.variance = (1 - gain) * (d.variance + gain*delta*delta)
}

// peak returns the estimated peak demand; see peakDeviations.
func (d *demand) peak() float64 {
	return d.mean + peakDeviations*math.Sqrt(d.variance)
}

// arrivals is an exponentially weighted estimate of the rate at which work
// arrives, in slots.
type arrivals struct {
	work      float64 // slot seconds since the last sample
	rate      float64
	weight    float64 // approaches 1 once the samples span demandWindow
	sampledAt time.Duration
}

// sample updates the rate with the work that has arrived since the last sample.
func (a *arrivals) sample(now time.Duration) {
	if now <= a.sampledAt {
		return
	}
	elapsed := now - a.sampledAt
	alpha := 1 - math.Exp(-float64(elapsed)/float64(demandWindow))
	a.weight += alpha * (1 - a.weight)
	a.rate += alpha * (a.work/elapsed.Seconds() - a.rate)
	a.work = 0
	a.sampledAt = now
}

// slots returns the average number of slots needed to serve the arriving work.
func (a *arrivals) slots() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.rate / a.weight
}

// longSlotLimit returns the number of slots that long work may occupy while
// short work is active: the slots that the estimated peak of short work leaves
// free or, if more, those that long work needs and the mean of short work
// leaves free. While long work is overdue, only the mean of short work is kept
// free.
func (s *Scheduler) longSlotLimit(svc *service) int {
	slots := float64(svc.usableSlots)
	maxLimit := max(slots-overdueShortHeadroom*svc.shortDemand.mean, minLongShare*slots)
	limit := maxLimit
	if !s.longOverdue(svc) {
		limit = max(slots-svc.shortDemand.peak(), min(maxLimit, longHeadroom*svc.longArrivals.slots()))
	}
	return max(1, min(int(limit), s.maxLongSlots(svc)))
}

// maxLongSlots returns the hard limit of slots for long work while short work
// is active. Only tasks that are reclassified as long while running can exceed
// it.
func (s *Scheduler) maxLongSlots(svc *service) int {
	return max(1, int(s.config.MaxLongShare*float64(svc.usableSlots)))
}

// longOverdue reports whether a long job is waiting although its sort key has
// passed, which is at most MaxWait after its admission.
func (s *Scheduler) longOverdue(svc *service) bool {
	for _, p := range svc.profiles {
		if head := p.queues[1].head(); head != nil && head.sortKey < s.clock {
			return true
		}
	}
	return false
}

// longBlocked reports whether no further long task may start now.
func (s *Scheduler) longBlocked(now time.Duration, svc *service) bool {
	return svc.longBusySlots >= s.longSlotLimit(svc) && s.shortWorkActive(now, svc)
}

// nextLongCheck returns the delay until the limit of long work has to be
// rechecked: when short work stops being active, when long work becomes
// overdue, or after longRecheckInterval, because the estimated demand decays.
func (s *Scheduler) nextLongCheck(now time.Duration, svc *service, head *callerQueue) time.Duration {
	delay := longRecheckInterval
	if head.sortKey > now {
		delay = head.sortKey - now
	}
	return min(delay, max(longRecheckInterval, svc.lastShortWork+s.config.ShortActivePeriod-now))
}

// sampleDemand updates the estimates of the slots that short and long work
// need. The short demand of a caller is capped at its share of the slots, so
// that a flood of short work from one caller does not block the long work of
// others.
func (s *Scheduler) sampleDemand(now time.Duration, svc *service) {
	tasks := 0
	for _, c := range s.callers {
		share := int(math.Ceil(float64(svc.usableSlots) * c.Weight / max(s.fairQueue.activeWeight, c.Weight)))
		tasks += min(share, c.shortDemand(svc))
	}
	svc.longArrivals.sample(now)
	svc.shortDemand.sample(now, float64(tasks))
}

// shortDemand returns the number of short tasks that run or wait.
func (c *caller) shortDemand(svc *service) (tasks int) {
	for _, cq := range c.queues {
		if !cq.jobQueue.long && cq.jobQueue.profile.service == svc {
			tasks += cq.runningShort + cq.waiting
		}
	}
	return tasks
}

// shortWorkActive reports whether short work waits, or was admitted or started
// within ShortActivePeriod.
func (s *Scheduler) shortWorkActive(now time.Duration, svc *service) bool {
	return svc.seenShortWork && now-svc.lastShortWork < s.config.ShortActivePeriod || s.hasWaitingShortJobs(svc)
}

func (s *Scheduler) hasWaitingShortJobs(svc *service) bool {
	for _, p := range svc.profiles {
		if p.queues[0].jobCount > 0 {
			return true
		}
	}
	return false
}

// addRunning registers a started task with its length class.
func (s *Scheduler) addRunning(t *task) {
	if t.long {
		t.job.profile.service.longBusySlots++
		return
	}
	t.job.kind.addRunning(t)
	t.job.callerQueue.runningShort++
}

// removeRunning reverts addRunning for an ended task.
func (s *Scheduler) removeRunning(t *task) {
	t.job.running--
	if t.long {
		t.job.profile.service.longBusySlots--
		return
	}
	t.job.kind.removeRunning(t)
	t.job.callerQueue.runningShort--
}

// runPeriodicUpdates reclassifies tasks that have overrun their expected run
// time as long and updates the sampled estimates.
func (s *Scheduler) runPeriodicUpdates(now time.Duration) {
	if now < s.nextSampling {
		return
	}
	s.nextSampling = now + samplingInterval
	for _, k := range s.kinds {
		limit := now - k.overrunLimit()
		for k.oldestRunning != nil && k.oldestRunning.stateSince < limit {
			s.markLong(k.oldestRunning)
		}
	}
	for _, svc := range s.services {
		s.sampleDemand(now, svc)
		s.updateReservation(now, svc)
		s.updateOfferedLoad(now, svc)
	}
	s.updateContention()
}

// markLong reclassifies a running task as long.
func (s *Scheduler) markLong(t *task) {
	t.job.kind.removeRunning(t)
	t.job.callerQueue.runningShort--
	t.long = true
	t.job.profile.service.longBusySlots++
}
