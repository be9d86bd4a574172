package rattanlimit

import "time"

const (
	// smallBytes is the size up to which a body is small.
	smallBytes = 16 << 10
	// progressBytes is what must arrive of a body in each stallTimeout, unless the
	// rest is less.
	progressBytes = 4 << 10
	stallTimeout  = 10 * time.Second
	// bodyTimeout bounds the time for a whole body: 262,144 bytes may arrive at
	// 4,400 bytes a second.
	bodyTimeout = 60 * time.Second
	// slowAfter is the time after which a body that is not complete loses its claim
	// to the reserved share.
	slowAfter = time.Second
	// evictAfter is the time without progress after which a body or a connection
	// makes room for others when there is none.
	evictAfter = time.Second
	// maxExamined bounds the number of bodies or connections that are examined to make
	// room for one, so that a flood of refusals costs little processor time.
	maxExamined = 256
)

// progress describes how far a body has arrived.
type progress struct {
	startedAt time.Time
	// advancedAt is when the last progressBytes were complete.
	advancedAt time.Time
	// received counts the bytes, counted those that advancedAt takes into account.
	received, counted int64
}

// advance records that bytes have arrived, and reports whether these complete
// progressBytes, so that advancedAt is to be set.
func (p *progress) advance(bytes int64) bool {
	p.received += bytes
	if p.received-p.counted < progressBytes {
		return false
	}
	p.counted = p.received
	return true
}

// fault returns why the body must not go on, if it must not.
func (p *progress) fault(now time.Time) (Cause, bool) {
	switch {
	case now.Sub(p.advancedAt) >= stallTimeout:
		return BodyStalled, true
	case now.Sub(p.startedAt) >= bodyTimeout:
		return BodyTooLong, true
	default:
		return 0, false
	}
}

// slow reports whether the body no longer counts as that of a small request.
func (p *progress) slow(now time.Time) bool {
	return now.Sub(p.startedAt) >= slowAfter
}

// evictable reports whether the body may be given up for others.
func (p *progress) evictable(now time.Time) bool {
	return now.Sub(p.advancedAt) >= evictAfter
}
