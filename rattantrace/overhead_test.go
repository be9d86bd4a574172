//go:build !race

package rattantrace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// TestOverhead guards against recording that costs 3% or more of the time of a
// task start. It uses the fastest of several runs, because other load on the
// machine only adds time. The limit does not hold with the race detector, which
// makes recording several times slower.
func TestOverhead(t *testing.T) {
	const starts = 20_000
	tracer := New(Options{})
	id := tracer.Begin(start, exampleSubmission(1))
	best := time.Hour
	for range 5 {
		startTime := time.Now()
		for i := range starts {
			ref := tracer.Assigned(start, id, Assignment{Task: i % 250, Target: "t1", Attempt: 1, Cause: "least loaded"})
			tracer.Ended(start, id, ref, i%250, rattanpool.Report{})
		}
		best = min(best, time.Since(startTime)/starts)
	}
	qt.Assert(t, best < startCost*3/100, qt.IsTrue, qt.Commentf("%v per start", best))
}
