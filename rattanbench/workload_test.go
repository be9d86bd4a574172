package rattanbench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestArrivalsRepeat guards against arrivals that differ between runs with one
// seed, which would make the policies incomparable, and against a seed without
// effect.
func TestArrivalsRepeat(t *testing.T) {
	segments := Swing(10*time.Second, 5*time.Second, 0.3, 1.2)
	for _, workload := range []Workload{Listaforge(), TranscriptDesk()} {
		first := Arrivals(workload, segments, 136, 7)
		again := Arrivals(workload, segments, 136, 7)
		other := Arrivals(workload, segments, 136, 8)
		qt.Assert(t, again, qt.DeepEquals, first)
		qt.Assert(t, other[0].At, qt.Not(qt.Equals), first[0].At)
	}
}

// TestArrivalsOfferTheLoad guards against windows whose load differs from the
// stated one, and jobs outside the limits of a submission.
func TestArrivalsOfferTheLoad(t *testing.T) {
	const slots = 136
	segments := []Segment{{Duration: 20 * time.Second, Load: 0.5}, {Duration: 5 * time.Second, Load: 3}}
	for _, workload := range []Workload{Listaforge(), TranscriptDesk(), Listaforge().LongWork()} {
		var work, largest time.Duration
		inCrest := time.Duration(0)
		for _, job := range Arrivals(workload, segments, slots, 3) {
			qt.Assert(t, len(job.RunTimes) >= 1 && len(job.RunTimes) <= 250, qt.IsTrue)
			qt.Assert(t, job.At >= 0 && job.At <= 25*time.Second, qt.IsTrue)
			work += job.Work()
			largest = max(largest, job.Work())
			if job.At >= 20*time.Second {
				inCrest += job.Work()
			}
		}
		offered := offeredWork(segments, slots)
		qt.Assert(t, work >= offered && work < offered+largest, qt.IsTrue)
		share := inCrest.Seconds() / work.Seconds()
		qt.Assert(t, share > 0.5 && share < 0.7, qt.IsTrue, qt.Commentf("share in the crest %v, expected 0.6", share))
	}
}
