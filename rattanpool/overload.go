package rattanpool

import (
	"math"
	"time"
)

const (
	// overloadWindow is the time constant of the offered work of a service. With
	// 2 s, the recovery from a crest takes up to 2 s.
	overloadWindow = time.Second
	// overloadRate is the offered work, relative to the capacity, above which a
	// service is overloaded. At 80% load with heavy-tailed jobs it is exceeded
	// for moments, in which at most 0.2% of the jobs are refused.
	overloadRate = 1.3
	// overloadWait is how long a job may wait for other jobs while its service is
	// overloaded. With 0.8 s the recovery from a crest takes up to 2 s.
	overloadWait = 200 * time.Millisecond
	// offerWindow is the time constant of the work that a caller offers. It is
	// longer than overloadWindow, because one large job takes a caller within its
	// share beyond it for a second or two. With 2 s such callers are refused.
	offerWindow = 2500 * time.Millisecond
	// contentionRate is the offered work over offerWindow, relative to the
	// capacity, above which callers compete for slots for longer than a burst.
	// With 1.2, bursts at 80% load count as well.
	contentionRate = 1.5
	// greedyFactor is the offer of one caller, relative to its share by weight,
	// that counts as contention from an offered work of greedyRate on. With a rate
	// of 1, the p99 of the others beside a caller at 10 times its share is up to
	// 1.4 times theirs alone.
	greedyFactor = 3
	greedyRate   = 0.5
	// contentionBacklog is the waiting work, as a time of the whole service, that
	// counts as contention at any rate.
	contentionBacklog = 2 * time.Second
	// leastOffer is the number of slots below which an offer is forgotten.
	leastOffer = 0.01
)

// offeredWork is a rate of submitted work, decayed with a time constant.
type offeredWork struct {
	work float64 // slot time in seconds
	at   time.Duration
}

func (o *offeredWork) add(now, window time.Duration, work float64) {
	o.decay(now, window)
	o.work += work
}

// slots returns the number of slots that the offered work keeps busy.
func (o *offeredWork) slots(now, window time.Duration) float64 {
	o.decay(now, window)
	return o.work / window.Seconds()
}

func (o *offeredWork) decay(now, window time.Duration) {
	if now > o.at {
		o.work *= math.Exp(-float64(now-o.at) / float64(window))
		o.at = now
	}
}

// offer is the work that one caller offers to a service.
type offer struct {
	offeredWork
	weight float64
	// rate is the number of slots at the last sample.
	rate float64
}

// offers is the work that all callers offer to a service, whether it is admitted
// or refused for overload. A job that is submitted again counts again.
type offers struct {
	callers map[string]*offer
	all     offeredWork
	// share is the max-min fair share of a caller of weight 1, in slots: what the
	// callers that offer less leave for each of the others. It is infinite while
	// the slots suffice for all.
	share float64
	// contended says that callers compete for slots for longer than a burst.
	contended bool
}

// noteOffered adds the work of a submitted job to the offer of its caller.
func (s *Scheduler) noteOffered(now time.Duration, submitted *Job, k *kind) {
	found := &k.service.offers
	o := found.callers[submitted.Caller]
	if o == nil {
		o = &offer{weight: 1}
		found.callers[submitted.Caller] = o
	}
	work := k.expected().Seconds() * float64(submitted.Tasks)
	o.add(now, offerWindow, work)
	found.all.add(now, overloadWindow, work)
}

// overloaded says that more work is offered than the service can run, and that
// the caller offers more than its max-min fair share of the slots.
func (v *service) overloaded(now time.Duration, caller string) bool {
	if v.offers.all.slots(now, overloadWindow) <= overloadRate*float64(v.slots) {
		return false
	}
	o := v.offers.callers[caller]
	return o != nil && o.slots(now, offerWindow) > o.weight*v.offers.share
}

// sampleOffers brings the rates, the max-min fair share and the contention up to
// date.
func (s *Scheduler) sampleOffers(now time.Duration, v *service) {
	rate, weight, most := 0.0, 0.0, 0.0
	for name, o := range v.offers.callers {
		o.rate = o.slots(now, offerWindow)
		rate += o.rate
		o.weight = 1
		if c := s.callers[name]; c != nil {
			o.weight = c.Weight
		}
		weight += o.weight
		most = max(most, o.rate/o.weight)
		if o.rate < leastOffer {
			delete(v.offers.callers, name)
		}
	}
	slots := float64(v.slots)
	v.offers.share = math.Inf(1)
	if rate > slots {
		v.offers.share = v.offers.fairShare(slots)
	}
	greedy := rate > greedyRate*slots && most*weight > greedyFactor*slots
	v.offers.contended = greedy || rate > contentionRate*slots || v.backlog() > contentionBacklog.Seconds()*slots
}

// backlog returns the expected slot time of all waiting tasks, in seconds.
func (v *service) backlog() float64 {
	backlog := 0.0
	for _, k := range v.kinds {
		backlog += k.expected().Seconds() * float64(k.waiting)
	}
	return backlog
}

// updateContention narrows the tolerance of the fair queue while callers compete
// for the slots of a service, and widens it afterwards.
func (s *Scheduler) updateContention() {
	contended := false
	for _, v := range s.services {
		contended = contended || v.offers.contended
	}
	if contended == s.queue.contended {
		return
	}
	s.queue.contended = contended
	for _, c := range s.callers {
		s.arrangeAll(c)
	}
}

// fairShare returns the max-min fair share of a caller of weight 1. It rises
// from 0 until no further caller offers less than its share.
func (o *offers) fairShare(slots float64) float64 {
	share, satisfied := 0.0, -1
	for {
		rest, weight, count := slots, 0.0, 0
		for _, offer := range o.callers {
			if offer.rate <= share*offer.weight {
				rest -= offer.rate
				count++
			} else {
				weight += offer.weight
			}
		}
		if weight == 0 {
			return math.Inf(1)
		}
		if count == satisfied {
			return share
		}
		share, satisfied = rest/weight, count
	}
}
