package rattanhome

import "time"

const (
	// minTimeout bounds the timeout of orders from below: a process that
	// waits for its turn on the processor reads answers a few milliseconds
	// late.
	minTimeout = 20 * time.Millisecond
	// maxTimeout bounds it from above and holds until answers were seen.
	maxTimeout = 50 * time.Millisecond
	// deviationFactor is how many mean deviations an answer may be late.
	deviationFactor = 4
	// smoothedDivisor and deviationDivisor are the weights of a new measurement
	// as divisors.
	smoothedDivisor  = 8
	deviationDivisor = 4
)

// roundTripEstimator estimates how long an order that is not held back may take until it
// counts as lost, from the orders that were answered, as TCP does (RFC 6298).
type roundTripEstimator struct {
	// smoothed is 0 until the first measurement.
	smoothed  time.Duration
	deviation time.Duration
}

// observe takes in how long an answered order took.
func (r *roundTripEstimator) observe(elapsed time.Duration) {
	if r.smoothed == 0 {
		r.smoothed = elapsed
		r.deviation = elapsed / 2
		return
	}
	difference := (r.smoothed - elapsed).Abs()
	r.deviation += (difference - r.deviation) / deviationDivisor
	r.smoothed += (elapsed - r.smoothed) / smoothedDivisor
}

// timeout returns how long to wait for the answer to an order.
func (r *roundTripEstimator) timeout() time.Duration {
	if r.smoothed == 0 {
		return maxTimeout
	}
	return min(max(r.smoothed+deviationFactor*r.deviation, minTimeout), maxTimeout)
}
