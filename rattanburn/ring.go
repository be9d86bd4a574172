package rattanburn

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Counts are the events of one period.
type Counts struct {
	Good  uint64
	Total uint64
}

// Bad returns the events that were not good.
func (c Counts) Bad() uint64 {
	return c.Total - c.Good
}

// BadShare returns the part of the events that were bad, 0 without events.
func (c Counts) BadShare() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total)
}

func (c Counts) plus(other Counts) Counts {
	return Counts{Good: c.Good + other.Good, Total: c.Total + other.Total}
}

// Series are the counts of consecutive periods of one width.
type Series struct {
	Width rattanjson.Duration
	// First numbers the first period; period n starts n widths after 1970, so
	// that the series of several instances can be summed.
	First  int64
	Counts []Counts
}

// ring holds the counts of the last periods. Memory is fixed.
type ring struct {
	width   time.Duration
	buckets []Counts
	// last is the number of the newest period.
	last int64
}

func newRing(now time.Time, width, span time.Duration) ring {
	// One bucket more than the span holds the present, incomplete period.
	size := int((span+width-1)/width) + 1
	return ring{width: width, buckets: make([]Counts, size), last: now.UnixNano() / int64(width)}
}

// advance empties the buckets of the periods that have begun since the last
// call, and reports whether there are any. A time before the newest period
// counts as that period.
func (r *ring) advance(now time.Time) bool {
	number := now.UnixNano() / int64(r.width)
	if number <= r.last {
		return false
	}
	for step := max(r.last+1, number-int64(len(r.buckets))+1); step <= number; step++ {
		*r.bucket(step) = Counts{}
	}
	r.last = number
	return true
}

// add adds events to the newest period.
func (r *ring) add(events Counts) {
	bucket := r.bucket(r.last)
	*bucket = bucket.plus(events)
}

// sum returns the counts of the window up to now, which includes the present
// period and the whole of the window before it.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	r.advance(now)
	periods := min(int64((window+r.width-1)/r.width)+1, int64(len(r.buckets)))
	var total Counts
	for step := r.last - periods + 1; step <= r.last; step++ {
		total = total.plus(*r.bucket(step))
	}
	return total
}

// series returns the newest periods, each the sum of several buckets.
func (r *ring) series(now time.Time, width time.Duration, periods int) Series {
	r.advance(now)
	perPeriod := int64(width / r.width)
	newest := r.last / perPeriod
	series := Series{Width: rattanjson.Duration(width), First: newest - int64(periods) + 1, Counts: make([]Counts, periods)}
	oldest := r.last - int64(len(r.buckets)) + 1
	for step := max(oldest, series.First*perPeriod); step <= r.last; step++ {
		period := &series.Counts[step/perPeriod-series.First]
		*period = period.plus(*r.bucket(step))
	}
	return series
}

func (r *ring) bucket(step int64) *Counts {
	return &r.buckets[step%int64(len(r.buckets))]
}
