package rattanscheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestSpeculativeRun guards against waiting for a slow run of a speculative
// task, against more than one additional run, and against runs that continue
// after the first one is done.
func TestSpeculativeRun(t *testing.T) {
	tests := map[string]struct {
		// endingRun is the index of the run that ends first, endKind how it
		// ends.
		endingRun int
		endKind   rattanwork.EndKind
		wantStops int
	}{
		"second run is done first":  {endingRun: 1, endKind: rattanwork.EndDone, wantStops: 1},
		"slow run is done first":    {endingRun: 0, endKind: rattanwork.EndDone, wantStops: 1},
		"second run fails":          {endingRun: 1, endKind: rattanwork.EndFailed},
		"lease of slow run expires": {endingRun: 0, endKind: rattanwork.EndLeaseExpired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newReconciledZone(qt.New(t), 3)
			submission := z.submission(jobA, 1)
			submission.Job.Steps[0].Speculative = true
			z.scheduler.Submit(submission, z.now)
			z.scheduler.Tick(z.now)
			starts := z.scheduler.Take().Starts
			z.accept(starts[0])
			for range 2 {
				z.advance(400 * time.Millisecond)
				z.scheduler.RunsListed(starts[0].Target.ID, &rattanwork.Listing{Running: []rattanwork.Run{{Task: starts[0].Task, Attempt: 1, Percent: 60}}}, z.now, z.voidBefore, z.now)
				output := z.scheduler.Take()
				z.Assert(output.Stops, qt.HasLen, 0)
				starts = append(starts, output.Starts...)
				z.Assert(starts, qt.HasLen, 2)
			}
			z.accept(starts[1])
			z.Assert(starts[1].Target.ID, qt.Not(qt.Equals), starts[0].Target.ID)
			ending := starts[test.endingRun]
			z.listStarted(ending.Target.ID, nil, rattanwork.End{Sequence: 1, Task: ending.Task, Attempt: ending.Attempt, Kind: test.endKind})
			output := z.scheduler.Take()
			z.Check(output.Stops, qt.HasLen, test.wantStops)
			z.Check(output.Starts, qt.HasLen, 0)
			if test.endKind == rattanwork.EndDone {
				z.Assert(output.Results, qt.HasLen, 1)
				z.Check(output.Results[0].Outcome, qt.Equals, Succeeded)
				return
			}
			z.Assert(output.Results, qt.HasLen, 0)
			other := starts[1-test.endingRun]
			z.listStarted(other.Target.ID, nil, rattanwork.End{Sequence: 1, Task: other.Task, Attempt: other.Attempt, Kind: rattanwork.EndDone})
			z.Assert(z.scheduler.Take().Results, qt.HasLen, 1)
		})
	}
}
