package rattanspread

import "time"

// PullTimeout is how long a pull prevents others from starting. A pull takes a
// few milliseconds; one that takes longer may be on a link that has gone
// silent, which is detected after 2 s.
const PullTimeout = 200 * time.Millisecond

// PullQueue decides when a member pulls a change from a peer that has offered
// it. A member makes one pull at a time, so that many peers with the same
// change do not all send it. The last offer received meanwhile is considered
// when the pull has ended or takes too long. The zero value is ready for use.
// It is not safe for concurrent use.
type PullQueue[Offer any] struct {
	lastNumber     int
	busy           bool
	startedAt      time.Time
	queuedOffer    Offer
	hasQueuedOffer bool
}

// Offer records an offer and reports whether to pull it now, and the number of
// that pull.
func (p *PullQueue[Offer]) Offer(now time.Time, offer Offer) (number int, start bool) {
	if p.busy {
		p.queuedOffer, p.hasQueuedOffer = offer, true
		return 0, false
	}
	p.lastNumber++
	p.busy, p.startedAt = true, now
	return p.lastNumber, true
}

// Release is called when the pull with the number has ended, and also when it
// has run for PullTimeout without ending. If the pull then no longer prevents
// others from starting, Release returns the queued offer, if there is one.
func (p *PullQueue[Offer]) Release(now time.Time, number int, ended bool) (next Offer, found bool) {
	if number != p.lastNumber || !p.busy || (!ended && now.Sub(p.startedAt) < PullTimeout) {
		return next, false
	}
	p.busy = false
	next, found = p.queuedOffer, p.hasQueuedOffer
	var zero Offer
	p.queuedOffer, p.hasQueuedOffer = zero, false
	return next, found
}
