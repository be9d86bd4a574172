package rattanpool

import (
	"math"
	"time"
)

const (
	// overloadWindow is the time constant of a service's offered load. With
	// 2 s, the recovery from a load peak takes up to 2 s.
	overloadWindow = time.Second
	// overloadThreshold is the offered load, relative to the capacity, above
	// which a service is overloaded. At 80% load with heavy-tailed jobs it is
	// exceeded only briefly, and at most 0.2% of the jobs are refused.
	overloadThreshold = 1.3
	// maxOverloadWait is how long a job may wait for other jobs while its
	// service is overloaded. With 0.8 s, the recovery from a load peak takes up
	// to 2 s.
	maxOverloadWait = 200 * time.Millisecond
	// callerLoadWindow is the time constant of the load offered by one caller.
	// It is longer than overloadWindow because a single large job puts a caller
	// over its share for a second or two. With 2 s, such callers are refused.
	callerLoadWindow = 2500 * time.Millisecond
	// contentionThreshold is the offered load over callerLoadWindow, relative
	// to the capacity, above which callers compete for slots for longer than a
	// burst. With 1.2, ordinary bursts at 80% load count as contention as well.
	contentionThreshold = 1.5
	// dominantCallerFactor is the load of one caller, relative to its share by
	// weight, that counts as contention once the total offered load exceeds
	// dominantCallerLoad. With dominantCallerLoad at 1, a caller at 10 times
	// its share raises the p99 of the others to up to 1.4 times what they have
	// alone.
	dominantCallerFactor = 3
	dominantCallerLoad   = 0.5
	// contentionBacklog is the waiting work, as run time on all slots of the
	// service, that counts as contention at any offered load.
	contentionBacklog = 2 * time.Second
	// minCallerLoad is the load in slots below which a caller is no longer
	// tracked.
	minCallerLoad = 0.01
)

// decayingWork is an exponentially decaying sum of submitted work.
type decayingWork struct {
	work      float64 // in slot seconds
	updatedAt time.Duration
}

func (w *decayingWork) add(now, window time.Duration, work float64) {
	w.decay(now, window)
	w.work += work
}

// slots returns the average number of slots that the work keeps busy.
func (w *decayingWork) slots(now, window time.Duration) float64 {
	w.decay(now, window)
	return w.work / window.Seconds()
}

func (w *decayingWork) decay(now, window time.Duration) {
	if now > w.updatedAt {
		w.work *= math.Exp(-float64(now-w.updatedAt) / float64(window))
		w.updatedAt = now
	}
}

// callerLoad is the load that one caller offers to a service.
type callerLoad struct {
	decayingWork
	weight float64
	// rate is the offered load in slots at the last sample.
	rate float64
}

// offeredLoad is the load that all callers offer to a service. It includes jobs
// that are refused for overload; a job that is submitted again counts again.
type offeredLoad struct {
	callers map[string]*callerLoad
	total   decayingWork
	// share is the max-min fair share of a caller of weight 1, in slots: what
	// is left for it by the callers that offer less than their share. It is
	// infinite while there are enough slots for all.
	share float64
	// contended reports whether callers compete for slots for longer than a
	// burst.
	contended bool
}

// recordOfferedLoad adds the work of a submitted job to the load of its caller.
func (s *Scheduler) recordOfferedLoad(now time.Duration, submitted *Job, k *kind) {
	serviceLoad := &k.service.offeredLoad
	load := serviceLoad.callers[submitted.Caller]
	if load == nil {
		load = &callerLoad{weight: 1}
		serviceLoad.callers[submitted.Caller] = load
	}
	work := k.expectedRunTime().Seconds() * float64(submitted.Tasks)
	load.add(now, callerLoadWindow, work)
	serviceLoad.total.add(now, overloadWindow, work)
}

// overloaded reports whether the service is offered more work than it can run
// and the caller offers more than its max-min fair share.
func (svc *service) overloaded(now time.Duration, caller string) bool {
	if svc.offeredLoad.total.slots(now, overloadWindow) <= overloadThreshold*float64(svc.usableSlots) {
		return false
	}
	load := svc.offeredLoad.callers[caller]
	return load != nil && load.slots(now, callerLoadWindow) > load.weight*svc.offeredLoad.share
}

// updateOfferedLoad updates the rates, the max-min fair share and the
// contention state of a service.
func (s *Scheduler) updateOfferedLoad(now time.Duration, svc *service) {
	rate, weight, maxRate := 0.0, 0.0, 0.0
	for name, load := range svc.offeredLoad.callers {
		load.rate = load.slots(now, callerLoadWindow)
		rate += load.rate
		load.weight = 1
		if c := s.callers[name]; c != nil {
			load.weight = c.Weight
		}
		weight += load.weight
		maxRate = max(maxRate, load.rate/load.weight)
		if load.rate < minCallerLoad {
			delete(svc.offeredLoad.callers, name)
		}
	}
	slots := float64(svc.usableSlots)
	svc.offeredLoad.share = math.Inf(1)
	if rate > slots {
		svc.offeredLoad.share = svc.offeredLoad.fairShare(slots)
	}
	dominated := rate > dominantCallerLoad*slots && maxRate*weight > dominantCallerFactor*slots
	svc.offeredLoad.contended = dominated || rate > contentionThreshold*slots || svc.backlog() > contentionBacklog.Seconds()*slots
}

// backlog returns the expected slot time of all waiting tasks, in seconds.
func (svc *service) backlog() float64 {
	backlog := 0.0
	for _, k := range svc.kinds {
		backlog += k.expectedRunTime().Seconds() * float64(k.waiting)
	}
	return backlog
}

// updateContention switches the fair queue to the smaller tolerance while
// callers compete for the slots of any service, and back afterwards.
func (s *Scheduler) updateContention() {
	contended := false
	for _, svc := range s.services {
		contended = contended || svc.offeredLoad.contended
	}
	if contended == s.fairQueue.contended {
		return
	}
	s.fairQueue.contended = contended
	for _, c := range s.callers {
		s.repositionCaller(c)
	}
}

// fairShare returns the max-min fair share of a caller of weight 1. It is
// raised from 0 until no further caller offers less than its share.
func (o *offeredLoad) fairShare(slots float64) float64 {
	share, satisfied := 0.0, -1
	for {
		unclaimed, weight, count := slots, 0.0, 0
		for _, load := range o.callers {
			if load.rate <= share*load.weight {
				unclaimed -= load.rate
				count++
			} else {
				weight += load.weight
			}
		}
		if weight == 0 {
			return math.Inf(1)
		}
		if count == satisfied {
			return share
		}
		share, satisfied = unclaimed/weight, count
	}
}
