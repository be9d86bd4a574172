package rattanbench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestArrivalsAreDeterministic guards against arrivals that differ between calls
// with the same seed, which would make policies incomparable, and against a seed
// that has no effect.
func TestArrivalsAreDeterministic(t *testing.T) {
	segments := SineLoad(10*time.Second, 5*time.Second, 0.3, 1.2)
	for _, workload := range []Workload{Listaforge(), TranscriptDesk()} {
		first := Arrivals(workload, segments, 136, 7)
		again := Arrivals(workload, segments, 136, 7)
		other := Arrivals(workload, segments, 136, 8)
		qt.Assert(t, again, qt.DeepEquals, first)
		qt.Assert(t, other[0].Arrival, qt.Not(qt.Equals), first[0].Arrival)
	}
}

// TestArrivalsMatchLoad guards against arrivals whose load differs from the
// specified one, and against jobs that exceed the limits of a submission.
func TestArrivalsMatchLoad(t *testing.T) {
	const slots = 136
	segments := []Segment{{Duration: 20 * time.Second, Load: 0.5}, {Duration: 5 * time.Second, Load: 3}}
	for _, workload := range []Workload{Listaforge(), TranscriptDesk(), Listaforge().LongWork()} {
		var work, largest time.Duration
		inPeak := time.Duration(0)
		for _, job := range Arrivals(workload, segments, slots, 3) {
			qt.Assert(t, len(job.RunTimes) >= 1 && len(job.RunTimes) <= 250, qt.IsTrue)
			qt.Assert(t, job.Arrival >= 0 && job.Arrival <= 25*time.Second, qt.IsTrue)
			work += job.Work()
			largest = max(largest, job.Work())
			if job.Arrival >= 20*time.Second {
				inPeak += job.Work()
			}
		}
		offered := offeredWork(segments, slots)
		qt.Assert(t, work >= offered && work < offered+largest, qt.IsTrue)
		share := inPeak.Seconds() / work.Seconds()
		qt.Assert(t, share > 0.5 && share < 0.7, qt.IsTrue, qt.Commentf("share in the peak %v, expected 0.6", share))
	}
}
