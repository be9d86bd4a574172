package rattanscheduler

import (
	"fmt"
	"strings"
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

// submitToFullTarget fills a target with two tasks of the estimate and of the less
// urgent priority, submits a job of one task for which 200 ms are left and returns its
// result, if it has one at once.
func submitToFullTarget(t *testing.T, estimate time.Duration, priority int) []JobResult {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.service(testService).notePriority(0)
	long := z.patientSubmission(jobA)
	long.Priority = priority
	long.Job.Steps[0].Count = 2
	long.Job.Steps[0].Estimate = estimate
	z.scheduler.Submit(long, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	urgent := z.submission(jobB, 1)
	z.scheduler.Submit(urgent, z.now)
	z.scheduler.CheckAdmission(jobB, z.now)
	return z.scheduler.Take().Results
}

// TestInfeasibleJobIsRefusedAtOnce guards against holding a job until it is late
// although the runs that have all room are known to end after that.
func TestInfeasibleJobIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	results := submitToFullTarget(t, 900*time.Millisecond, 1)
	c.Assert(results, qt.HasLen, 1)
	c.Check(results[0].Outcome, qt.Equals, Refused)
	c.Check(results[0].Elapsed, qt.Equals, time.Duration(0))
	c.Check(results[0].Reason, qt.Equals, "no room expected in time")
	c.Check(results[0].Room.ExpectedWait > 800*time.Millisecond && results[0].Room.ExpectedWait < time.Second, qt.IsTrue)
	c.Check(submitToFullTarget(t, 150*time.Millisecond, 1), qt.HasLen, 0)
	c.Check(submitToFullTarget(t, 900*time.Millisecond, 0), qt.HasLen, 0)
}

// TestRestIsNotRefused guards against refusing a job that has started because the rest
// of its tasks are expected to start too late.
func TestRestIsNotRefused(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.service(testService).notePriority(1)
	job := z.submission(jobA, 9)
	job.Job.Steps[0].Estimate = 250 * time.Millisecond
	z.scheduler.Submit(job, z.now)
	z.scheduler.CheckAdmission(jobA, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	for range 5 {
		z.advance(10 * time.Millisecond)
		z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
	}
}

// TestHeldJobIsNotRefused guards against refusing a job because of the ends of few runs
// although there is room, while no task may start for another reason.
func TestHeldJobIsNotRefused(t *testing.T) {
	z := newReconciledZone(qt.New(t), 4)
	z.scheduler.service(testService).notePriority(1)
	long := z.patientSubmission(jobA)
	long.Job.Steps[0].Estimate = 900 * time.Millisecond
	z.scheduler.Submit(long, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
	z.scheduler.SetHeld(true, z.now)
	z.scheduler.Submit(z.submission(jobB, 4), z.now)
	z.scheduler.CheckAdmission(jobB, z.now)
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
	z.scheduler.SetHeld(false, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 4)
}

// TestLeastShare guards against a priority that gets nothing while more urgent jobs take
// all room, and against one that gets much more than its least share.
func TestLeastShare(t *testing.T) {
	c := qt.New(t)
	z := newReconciledZone(c, 10)
	// Urgent jobs ask for 1.5 times the 20 places for tasks of 100 ms, less urgent
	// ones for half of that.
	started := map[bool]int{}
	sequences := map[string]int64{}
	type end struct {
		at    time.Time
		start StartRequest
	}
	var running []end
	begin := z.now
	for step := 0; z.now.Sub(begin) < 3*time.Second; step++ {
		for i := range 4 {
			submission := z.submission(fmt.Sprintf("%015x%x", step, i), 1)
			if i == 3 {
				submission.Priority = 1
			}
			z.scheduler.Submit(submission, z.now)
			z.scheduler.CheckAdmission(submission.Job.ID, z.now)
		}
		for _, start := range z.scheduler.Take().Starts {
			started[strings.HasPrefix(start.Task[15:], "3")]++
			z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, z.now)
			running = append(running, end{z.now.Add(100 * time.Millisecond), start})
		}
		z.advance(10 * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(z.now) {
			ended := running[0].start
			running = running[1:]
			id := ended.Target.ID
			sequences[id]++
			var others []StartRequest
			for _, other := range running {
				if other.start.Target.ID == id {
					others = append(others, other.start)
				}
			}
			z.scheduler.RunsListed(id, &rattanwork.Listing{Running: runsOf(others...), Ended: []rattanwork.End{{Sequence: sequences[id], Task: ended.Task, Attempt: ended.Attempt, Kind: rattanwork.EndDone}}}, z.now, z.voidBefore, z.now)
		}
	}
	share := float64(started[true]) / float64(started[true]+started[false])
	c.Check(share > 0.03 && share < 0.15, qt.IsTrue, qt.Commentf("%v", started))
	c.Check(started[true]+started[false] > 500, qt.IsTrue, qt.Commentf("%v", started))
}
