package rattanscheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// startsAfterLate submits a job of three tasks, of which two start, lets it become
// late while it waits, submits another one and returns the job whose task starts once
// there is room.
func startsAfterLate(t *testing.T, priority, otherPriority int) string {
	z := newReconciledZone(qt.New(t), 1)
	late := z.submission(jobA, 3)
	late.Priority = priority
	z.scheduler.Submit(late, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.accept(starts[1])
	z.advance(250 * time.Millisecond)
	z.Assert(z.scheduler.jobs[jobA].timing.classify(z.now), qt.Equals, timelinessLate)
	other := z.submission(jobB, 1)
	other.Priority = otherPriority
	z.scheduler.Submit(other, z.now)
	z.listRuns(0, rattanwork.Listing{Running: runsOf(starts[1]), Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	next := z.scheduler.Take().Starts
	z.Assert(next, qt.HasLen, 1)
	return next[0].Task[:len(jobA)]
}

// TestLateStartedJobsGoFirst guards against started jobs that end without an answer
// because they have become late and jobs of other priorities keep overtaking them.
func TestLateStartedJobsGoFirst(t *testing.T) {
	c := qt.New(t)
	c.Check(startsAfterLate(t, 0, 1), qt.Equals, jobA)
	c.Check(startsAfterLate(t, 1, 0), qt.Equals, jobA)
}

// TestOnePriorityKeepsItsOrder guards against another order of jobs where all have
// the same priority.
func TestOnePriorityKeepsItsOrder(t *testing.T) {
	qt.New(t).Check(startsAfterLate(t, 1, 1), qt.Equals, jobB)
}
