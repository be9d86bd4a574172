package rattanhome

import "context"

// requestLimit bounds the number of requests that are under way at the same time, each of
// which takes a connection. Nil means no bound.
type requestLimit chan struct{}

// newRequestLimit returns a limit of so many requests, nil if it is 0.
func newRequestLimit(count int) requestLimit {
	if count == 0 {
		return nil
	}
	return make(requestLimit, count)
}

// acquire waits until a request may be sent. It reports false if ctx ends before.
func (l requestLimit) acquire(ctx context.Context) bool {
	if l == nil {
		return true
	}
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryAcquire reports whether a request may be sent now.
func (l requestLimit) tryAcquire() bool {
	if l == nil {
		return true
	}
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// release ends a request for which acquire or tryAcquire has reported true.
func (l requestLimit) release() {
	if l != nil {
		<-l
	}
}
