package rattanstandin

import (
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=CallKind -trimprefix=CallKind

// CallKind is a kind of call to the platform.
type CallKind int

// The kinds of calls. Write covers Put and Delete, Lease grants and renewals.
const (
	CallKindRead CallKind = iota
	CallKindWatch
	CallKindInstances
	CallKindWrite
	CallKindLease
	callKindCount
)

// IsWrite reports whether calls of the kind count towards the write limit; the
// others count towards the read limit.
func (k CallKind) IsWrite() bool { return k == CallKindWrite || k == CallKindLease }

// MarshalText returns the name of the kind.
func (k CallKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *CallKind) UnmarshalText(text []byte) (err error) {
	*k, err = rattanjson.ParseEnum(text, callKindCount)
	return err
}

// KindCounts are the calls of one kind, or of several. Calls that were answered
// with 503 and calls during an outage are counted too.
type KindCounts struct {
	Total uint64
	// Limited is the number of calls beyond the rate limit.
	Limited uint64
	// LastSecond is the number of calls in the last complete second.
	LastSecond uint64
	// PeakSecond is the highest number of calls in one second.
	PeakSecond uint64
	// PerSecond is the mean rate since the start or the last reset.
	PerSecond float64
}

// Counts are the calls of the platform since its start or the last reset.
type Counts struct {
	Elapsed rattanjson.Duration
	Kinds   map[CallKind]KindCounts
	Reads   KindCounts
	Writes  KindCounts
}

// counter counts calls by second.
type counter struct {
	total   uint64
	limited uint64
	peak    uint64
	second  int64
	current uint64
	last    uint64
}

func (c *counter) add(second int64, limited bool) {
	c.advance(second)
	c.total++
	c.current++
	if limited {
		c.limited++
	}
	c.peak = max(c.peak, c.current)
}

func (c *counter) advance(second int64) {
	switch {
	case second == c.second:
		return
	case second == c.second+1:
		c.last = c.current
	default:
		c.last = 0
	}
	c.second = second
	c.current = 0
}

func (c *counter) counts(second int64, elapsed time.Duration) KindCounts {
	c.advance(second)
	return KindCounts{
		Total:      c.total,
		Limited:    c.limited,
		LastSecond: c.last,
		PeakSecond: c.peak,
		PerSecond:  float64(c.total) / max(elapsed.Seconds(), 1e-9),
	}
}

// callCounts counts calls by kind.
type callCounts struct {
	mu     sync.Mutex
	since  time.Time
	kinds  [callKindCount]counter
	reads  counter
	writes counter
}

func (c *callCounts) add(now time.Time, kind CallKind, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := now.Unix()
	c.kinds[kind].add(second, limited)
	if kind.IsWrite() {
		c.writes.add(second, limited)
	} else {
		c.reads.add(second, limited)
	}
}

func (c *callCounts) reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	c.kinds = [callKindCount]counter{}
	c.reads = counter{}
	c.writes = counter{}
}

func (c *callCounts) counts(now time.Time) Counts {
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
		counts.Kinds[kind] = c.kinds[kind].counts(second, elapsed)
	}
	return counts
}
