package rattanhome

import "time"

const (
	// shortestTimeout bounds the timeout of orders from below: a process that
	// waits for its turn on the processor reads answers a few milliseconds
	// late.
	shortestTimeout = 20 * time.Millisecond
	// longestTimeout bounds it from above and holds until answers were seen.
	longestTimeout = 50 * time.Millisecond
	// deviations is how many mean deviations an answer may be late.
	deviations = 4
	// smoothedWeight and deviationWeight are the weights of a new measurement
	// as divisors.
	smoothedWeight  = 8
	deviationWeight = 4
)

// roundTrip estimates how long an order that is not held back may take until it
// counts as lost, from the orders that were answered, as TCP does (RFC 6298).
type roundTrip struct {
	// smoothed is 0 until the first measurement.
	smoothed  time.Duration
	deviation time.Duration
}

// observe takes in how long an answered order took.
func (r *roundTrip) observe(elapsed time.Duration) {
	if r.smoothed == 0 {
		r.smoothed = elapsed
		r.deviation = elapsed / 2
		return
	}
	difference := (r.smoothed - elapsed).Abs()
	r.deviation += (difference - r.deviation) / deviationWeight
	r.smoothed += (elapsed - r.smoothed) / smoothedWeight
}

// timeout returns how long to wait for the answer to an order.
func (r *roundTrip) timeout() time.Duration {
	if r.smoothed == 0 {
		return longestTimeout
	}
	return min(max(r.smoothed+deviations*r.deviation, shortestTimeout), longestTimeout)
}
