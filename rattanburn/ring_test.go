package rattanburn

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRing guards against buckets that are reused without being cleared. It
// compares the sums with those of a list of all events.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const width, span = 10 * time.Second, 70 * time.Second
		now := start
		ring := newRing(now, width, span)
		var times []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "Events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "Step")) * time.Second / 4)
			ring.advance(now)
			ring.add(Counts{Total: 1})
			times = append(times, now)
			window := time.Duration(rapid.IntRange(1, 7).Draw(t, "Window")) * width
			// The sum begins with the period that contains the start of the
			// window.
			begin := now.Truncate(width).Add(-window)
			want := uint64(0)
			for _, at := range times {
				if !at.Before(begin) {
					want++
				}
			}
			if got := ring.sum(now, window).Bad(); got != want {
				t.Fatalf("window %v at %v: got %d events, want %d", window, now.Sub(start), got, want)
			}
		}
	})
}
