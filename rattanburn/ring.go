package rattanburn

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Counts holds the number of events in a period.
type Counts struct {
	Good  uint64
	Total uint64
}

// Bad returns the number of bad events.
func (c Counts) Bad() uint64 {
	return c.Total - c.Good
}

// BadFraction returns the fraction of the events that were bad, or 0 without
// events.
func (c Counts) BadFraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total)
}

func (c Counts) plus(other Counts) Counts {
	return Counts{Good: c.Good + other.Good, Total: c.Total + other.Total}
}

// Series holds the counts of consecutive periods of equal width.
type Series struct {
	Width rattanjson.Duration
	// First is the number of the first period. Period n starts n widths after
	// the Unix epoch, so that the series of several instances can be added.
	First  int64
	Counts []Counts
}

// ring is a ring buffer with the counts of the most recent periods. Its memory
// is fixed.
type ring struct {
	width   time.Duration
	buckets []Counts
	// newest is the number of the newest period.
	newest int64
}

func newRing(now time.Time, width, span time.Duration) ring {
	// One bucket more than the span is needed for the current, incomplete
	// period.
	size := int((span+width-1)/width) + 1
	return ring{width: width, buckets: make([]Counts, size), newest: now.UnixNano() / int64(width)}
}

// advance clears the buckets of the periods that have begun since the last
// call, and reports whether there are any. A time before the newest period is
// treated as part of it.
func (r *ring) advance(now time.Time) bool {
	current := now.UnixNano() / int64(r.width)
	if current <= r.newest {
		return false
	}
	for period := max(r.newest+1, current-int64(len(r.buckets))+1); period <= current; period++ {
		*r.bucket(period) = Counts{}
	}
	r.newest = current
	return true
}

// add adds events to the newest period.
func (r *ring) add(events Counts) {
	bucket := r.bucket(r.newest)
	*bucket = bucket.plus(events)
}

// sum returns the counts of the window that ends now. It includes the current
// period and the whole of the window before it.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	r.advance(now)
	periods := min(int64((window+r.width-1)/r.width)+1, int64(len(r.buckets)))
	var total Counts
	for period := r.newest - periods + 1; period <= r.newest; period++ {
		total = total.plus(*r.bucket(period))
	}
	return total
}

// series returns the most recent periods, each the sum of several buckets.
func (r *ring) series(now time.Time, width time.Duration, periods int) Series {
	r.advance(now)
	bucketsPerPeriod := int64(width / r.width)
	newestPeriod := r.newest / bucketsPerPeriod
	series := Series{Width: rattanjson.Duration(width), First: newestPeriod - int64(periods) + 1, Counts: make([]Counts, periods)}
	oldestBucket := r.newest - int64(len(r.buckets)) + 1
	for bucket := max(oldestBucket, series.First*bucketsPerPeriod); bucket <= r.newest; bucket++ {
		period := &series.Counts[bucket/bucketsPerPeriod-series.First]
		*period = period.plus(*r.bucket(bucket))
	}
	return series
}

func (r *ring) bucket(period int64) *Counts {
	return &r.buckets[period%int64(len(r.buckets))]
}
