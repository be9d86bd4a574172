package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestRunTimesExcludeDelaysOfHome guards against a busy home that takes its own
// delays for longer run times: it would grant more time to all jobs and let
// more of them wait, which makes it busier still.
func TestRunTimesExcludeDelaysOfHome(t *testing.T) {
	const runTime, delay = 100 * time.Millisecond, 250 * time.Millisecond
	tests := map[string]struct {
		prompt     bool
		listFailed bool
		// wantRatio is the learned ratio of actual to declared run times.
		wantRatio float64
	}{
		"listed when it ended":       {prompt: true, wantRatio: 1},
		"listing requested late":     {prompt: false, wantRatio: 1},
		"earlier listing was lost":   {prompt: true, listFailed: true, wantRatio: 1},
		"lost, then requested late ": {prompt: false, listFailed: true, wantRatio: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newReconciledZone(qt.New(t), 1)
			clock := int64(5000)
			for i := range 30 {
				z.scheduler.Submit(z.submission(fmt.Sprintf("%016x", i), 1), z.now)
				start := z.scheduler.Take().Starts[0]
				z.scheduler.StartAnswered("t0", start.Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: clock}, z.now)
				if test.listFailed {
					z.scheduler.ListFailed("t0")
				}
				clock += runTime.Milliseconds()
				if !test.prompt {
					clock += delay.Milliseconds()
				}
				z.now = z.now.Add(runTime + delay)
				z.listRuns(0, rattanwork.Listing{
					ClockMillis: clock, Prompt: test.prompt,
					Ended: []rattanwork.End{{Sequence: int64(i + 1), Task: start.Task, Attempt: 1, Kind: rattanwork.EndDone}},
				})
				z.Assert(z.scheduler.Take().Results, qt.HasLen, 1)
			}
			z.advance(estimateRefreshInterval)
			z.scheduler.Submit(z.submission(jobA, 1), z.now)
			z.Check(z.scheduler.estimator.ratio(z.scheduler.jobs[jobA]), qt.Equals, test.wantRatio)
			z.Check(z.scheduler.targets["t0"].usable(z.now), qt.IsTrue)
		})
	}
}
