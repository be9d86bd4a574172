package rattanstandin

import (
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=CallKind -trimprefix=CallKind

// CallKind is the kind of an API call to the platform.
type CallKind int

// The kinds of calls. CallKindWrite covers writes and deletions of keys,
// CallKindLease grants and renewals of leases.
const (
	CallKindRead CallKind = iota
	CallKindWatch
	CallKindInstances
	CallKindWrite
	CallKindLease
	callKindCount
)

// IsWrite reports whether calls of this kind count towards the write limit. All
// other calls count towards the read limit.
func (k CallKind) IsWrite() bool { return k == CallKindWrite || k == CallKindLease }

// MarshalText returns the name of the kind.
func (k CallKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *CallKind) UnmarshalText(text []byte) (err error) {
	*k, err = rattanjson.ParseEnum(text, callKindCount)
	return err
}

// KindCounts counts the calls of one kind or of several kinds, including those
// that were answered with status 503 or arrived during an outage.
type KindCounts struct {
	Total uint64
	// Limited is the number of calls that exceeded the rate limit.
	Limited uint64
	// LastSecond is the number of calls in the last complete second.
	LastSecond uint64
	// PeakSecond is the highest number of calls in one second.
	PeakSecond uint64
	// PerSecond is the mean rate since the start or the last reset.
	PerSecond float64
}

// Counts counts the calls to the platform since its start or the last reset.
type Counts struct {
	Elapsed rattanjson.Duration
	Kinds   map[CallKind]KindCounts
	Reads   KindCounts
	Writes  KindCounts
}

// rateCounter counts calls in total and per second.
type rateCounter struct {
	total         uint64
	limited       uint64
	peakCount     uint64
	currentSecond int64
	currentCount  uint64
	previousCount uint64
}

func (c *rateCounter) add(second int64, limited bool) {
	c.advance(second)
	c.total++
	c.currentCount++
	if limited {
		c.limited++
	}
	c.peakCount = max(c.peakCount, c.currentCount)
}

func (c *rateCounter) advance(second int64) {
	switch {
	case second == c.currentSecond:
		return
	case second == c.currentSecond+1:
		c.previousCount = c.currentCount
	default:
		c.previousCount = 0
	}
	c.currentSecond = second
	c.currentCount = 0
}

func (c *rateCounter) counts(second int64, elapsed time.Duration) KindCounts {
	c.advance(second)
	return KindCounts{
		Total:      c.total,
		Limited:    c.limited,
		LastSecond: c.previousCount,
		PeakSecond: c.peakCount,
		PerSecond:  float64(c.total) / max(elapsed.Seconds(), 1e-9),
	}
}

// callCounter counts calls by kind.
type callCounter struct {
	mu     sync.Mutex
	since  time.Time
	byKind [callKindCount]rateCounter
	reads  rateCounter
	writes rateCounter
}

func (c *callCounter) add(now time.Time, kind CallKind, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := now.Unix()
	c.byKind[kind].add(second, limited)
	if kind.IsWrite() {
		c.writes.add(second, limited)
	} else {
		c.reads.add(second, limited)
	}
}

func (c *callCounter) reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	c.byKind = [callKindCount]rateCounter{}
	c.reads = rateCounter{}
	c.writes = rateCounter{}
}

func (c *callCounter) counts(now time.Time) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	second, elapsed := now.Unix(), now.Sub(c.since)
	counts := Counts{
		Elapsed: rattanjson.Duration(elapsed),
		Kinds:   map[CallKind]KindCounts{},
		Reads:   c.reads.counts(second, elapsed),
		Writes:  c.writes.counts(second, elapsed),
	}
	for kind := range callKindCount {
		counts.Kinds[kind] = c.byKind[kind].counts(second, elapsed)
	}
	return counts
}
