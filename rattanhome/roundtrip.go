package rattanhome

import "time"

const (
	// minTimeout is the lower bound of the timeout: a process that waits for
	// the processor reads answers a few milliseconds late.
	minTimeout = 20 * time.Millisecond
	// maxTimeout is the upper bound of the timeout, and the timeout before the
	// first measurement.
	maxTimeout = 50 * time.Millisecond
	// deviationFactor is the number of mean deviations by which an answer may
	// be late.
	deviationFactor = 4
	// smoothedDivisor and deviationDivisor are the reciprocal weights of a new
	// measurement in the moving averages.
	smoothedDivisor  = 8
	deviationDivisor = 4
)

// roundTripEstimator estimates the timeout of requests that the target answers
// without delay from earlier round-trip times, like the retransmission timer of
// TCP (RFC 6298).
type roundTripEstimator struct {
	// smoothed is the smoothed round-trip time, 0 before the first measurement.
	smoothed  time.Duration
	deviation time.Duration
	// shortest is the shortest smoothed round-trip time.
	shortest time.Duration
}

// observe records the round-trip time of an answered request.
func (r *roundTripEstimator) observe(elapsed time.Duration) {
	if r.smoothed == 0 {
		r.smoothed = elapsed
		r.shortest = elapsed
		r.deviation = elapsed / 2
		return
	}
	difference := (r.smoothed - elapsed).Abs()
	r.deviation += (difference - r.deviation) / deviationDivisor
	r.smoothed += (elapsed - r.smoothed) / smoothedDivisor
	r.shortest = min(r.shortest, r.smoothed)
}

// excess returns by how much the answers of all targets are later than at the
// best of times. Since a home keeps many targets, it is the home that reads
// them late.
func (r *roundTripEstimator) excess() time.Duration {
	return r.smoothed - r.shortest
}

// typical returns the smoothed round-trip time.
func (r *roundTripEstimator) typical() time.Duration {
	return r.smoothed
}

// timeout returns how long to wait for the answer to a request.
func (r *roundTripEstimator) timeout() time.Duration {
	if r.smoothed == 0 {
		return maxTimeout
	}
	return min(max(r.smoothed+deviationFactor*r.deviation, minTimeout), maxTimeout)
}
