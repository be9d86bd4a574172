package rattanspread

import "time"

// PullTimeout is how long a pull keeps others from being made. A pull takes a
// few milliseconds; one that takes longer may be on a link that has gone silent,
// which is found out after 2 s.
const PullTimeout = 200 * time.Millisecond

// PullQueue decides when a member pulls a change from a peer that has offered it. A
// member makes one pull at a time, so that many peers with the same change do
// not all send it; the last offer meanwhile is taken up when the pull has ended
// or takes too long. The zero value is ready for use. It is not safe for
// concurrent use.
type PullQueue[Offer any] struct {
	number int
	busy   bool
	began  time.Time
	next   Offer
	queued bool
}

// Offer takes in an offer, and reports whether to pull it now, as the pull with
// the number.
func (p *PullQueue[Offer]) Offer(now time.Time, offer Offer) (number int, begin bool) {
	if p.busy {
		p.next, p.queued = offer, true
		return 0, false
	}
	p.number++
	p.busy, p.began = true, now
	return p.number, true
}

// Release takes in that the pull with the number has ended, or that it has not
// yet. It returns the offer to consider next, if there is one.
func (p *PullQueue[Offer]) Release(now time.Time, number int, ended bool) (next Offer, found bool) {
	if number != p.number || !p.busy || (!ended && now.Sub(p.began) < PullTimeout) {
		return next, false
	}
	p.busy = false
	next, found = p.next, p.queued
	var none Offer
	p.next, p.queued = none, false
	return next, found
}
