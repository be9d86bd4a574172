//go:build !race

package rattantrace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanpool"
)

// TestOverhead guards against events that take 3% of a start or more. The best
// of several runs counts, because other load on the machine only adds time. The
// target is for programs without the race detector, which multiplies the time.
func TestOverhead(t *testing.T) {
	const starts = 20_000
	tracer := New(Options{})
	id := tracer.Begin(start, submission(1))
	best := time.Hour
	for range 5 {
		began := time.Now()
		for i := range starts {
			ref := tracer.Assigned(start, id, Assignment{Task: i % 250, Target: "t1", Attempt: 1, Cause: "least loaded"})
			tracer.Ended(start, id, ref, i%250, rattanpool.Report{})
		}
		best = min(best, time.Since(began)/starts)
	}
	qt.Assert(t, best < startCost*3/100, qt.IsTrue, qt.Commentf("%v a start", best))
}
