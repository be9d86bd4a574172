package rattanscheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestRedirect guards against refusing or queueing a job that another zone has
// capacity for, against redirecting more than that zone can run, and against
// redirecting a job twice or after it may have started.
func TestRedirect(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 60000}, {Zone: "c", FreeMilliCPU: 200000}})
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	submit := func(id string, change func(*Submission)) {
		submission := z.submission(id, 4)
		submission.Redirectable = true
		change(&submission)
		z.scheduler.Submit(submission, z.now)
	}
	submit("0000000000000001", func(*Submission) {})
	submit("0000000000000002", func(*Submission) {})
	submit("0000000000000003", func(s *Submission) { s.Redirectable = false })
	submit("0000000000000004", func(s *Submission) { s.Resumed = true })
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
	z.advance(redirectDelay)
	var redirected []string
	for _, result := range z.scheduler.Take().Results {
		if result.Outcome == Redirected {
			redirected = append(redirected, result.JobID+result.Zone)
		}
	}
	// Zone c has room for two copies of a job of 56000 until two jobs have been
	// redirected there.
	z.Assert(redirected, qt.DeepEquals, []string{"0000000000000001c", "0000000000000002c"})
}

// TestRepeatedJobFollowsItsRedirection guards against two runs of a task in two
// zones: the caller of a redirected job sends it again through another instance,
// while the other zone still runs it.
func TestRepeatedJobFollowsItsRedirection(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 60000}})
	z.scheduler.Submit(z.submission(jobB, 2), z.now)
	running := z.scheduler.Take().Starts
	submission := z.submission(jobA, 2)
	submission.Redirectable = true
	z.scheduler.Submit(submission, z.now)
	z.advance(redirectDelay)
	z.Assert(z.scheduler.Take().Results[0].Outcome, qt.Equals, Redirected)
	// There is room here now, and none in the other zone.
	z.scheduler.SetRemoteZones(nil)
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: running[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
		{Sequence: 2, Task: running[1].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	z.scheduler.Take()
	z.Check(z.scheduler.IsNew(submission, z.now), qt.IsFalse)
	z.scheduler.Submit(submission, z.now)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Assert(output.Results, qt.HasLen, 1)
	z.Check(output.Results[0].Outcome, qt.Equals, Redirected)
	z.Check(output.Results[0].Zone, qt.Equals, "b")
	z.Check(output.Results[0].MayHaveStarted, qt.IsTrue)
	// Once its caller has stopped waiting and its runs there have ended, the job is new.
	z.advance(2*time.Second + z.scheduler.longestLease())
	z.Check(z.scheduler.IsNew(submission, z.now), qt.IsTrue)
}

// TestRefuseNewJob guards against refusing a job of which an earlier run may be
// active or has completed, and against refusing one that another zone has room
// for.
func TestRefuseNewJob(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	start := z.scheduler.Take().Starts[0]
	z.accept(start)
	z.Check(z.scheduler.IsNew(z.submission(jobA, 1), z.now), qt.IsFalse)
	z.scheduler.Cancel(jobA, z.now)
	z.Check(z.scheduler.IsNew(z.submission(jobA, 1), z.now), qt.IsFalse, qt.Commentf("its run is being stopped"))
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: start.Task, Attempt: 1, Kind: rattanwork.EndStopped},
		{Sequence: 2, Task: jobB + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone},
	}})
	z.Check(z.scheduler.IsNew(z.submission(jobA, 1), z.now), qt.IsFalse, qt.Commentf("it ran until it was stopped"))
	z.Check(z.scheduler.IsNew(z.submission(jobB, 1), z.now), qt.IsFalse, qt.Commentf("an earlier home has completed it"))
	z.scheduler.Take()
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 20000}})
	submission := z.submission("00000000000000cc", 1)
	z.Assert(z.scheduler.IsNew(submission, z.now), qt.IsTrue)
	submission.Redirectable = true
	z.scheduler.Refuse(submission, "reason", time.Second, z.now)
	z.scheduler.Refuse(submission, "reason", time.Second, z.now)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 2)
	z.Check(results[0].Outcome, qt.Equals, Redirected)
	z.Check(results[0].Zone, qt.Equals, "b")
	z.Check(results[1].Outcome, qt.Equals, Refused)
	z.Check(results[1].RetryAfter, qt.Equals, time.Second)
	z.Check(z.scheduler.Jobs(), qt.Equals, 0)
}

// TestNoRedirectDuringEarlierRuns guards against two runs of a task in two
// zones: a resubmitted job must stay in the zone where runs of its cancelled
// first submission may still be active.
func TestNoRedirectDuringEarlierRuns(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		z.accept(start)
	}
	z.scheduler.Cancel(jobA, z.now)
	resubmission := z.submission(jobA, 2)
	resubmission.Redirectable = true
	resubmission.Priority = 1
	z.scheduler.Submit(resubmission, z.now)
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.listRuns(0, rattanwork.Listing{Running: runsOf(starts[1]), Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndStopped},
	}})
	z.scheduler.Take()
	z.advance(redirectDelay)
	for _, result := range z.scheduler.Take().Results {
		z.Check(result.Outcome, qt.Not(qt.Equals), Redirected)
	}
}

// TestRemoteStartsRedirectTheirJobs guards against two runs of a task in two zones: what
// is told last of its outstanding starts hides what was told before.
func TestRemoteStartsRedirectTheirJobs(t *testing.T) {
	type told struct {
		zone      string
		remaining time.Duration
	}
	tests := map[string]struct {
		told []told
		zone string
		// until is how long the job is redirected.
		until time.Duration
	}{
		"once":               {[]told{{"x", 5 * time.Second}}, "x", 5 * time.Second},
		"less the next time": {[]told{{"x", 5 * time.Second}, {"x", time.Second}}, "x", 5 * time.Second},
		"more the next time": {[]told{{"x", 5 * time.Second}, {"x", 9 * time.Second}}, "x", 9 * time.Second},
		"by two zones":       {[]told{{"x", 5 * time.Second}, {"y", 9 * time.Second}}, "x", 5 * time.Second},
		"beyond the bound":   {[]told{{"x", time.Hour}}, "x", LateStartBound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newReconciledZone(qt.New(t), 1)
			for _, told := range test.told {
				z.scheduler.AddRemoteStarts(told.zone, []OutstandingStart{{Task: jobA + ".0.0.0", Target: "other", Attempt: 1, Remaining: told.remaining}}, z.now)
			}
			z.advance(test.until - time.Millisecond)
			z.scheduler.Submit(z.submission(jobA, 1), z.now)
			results := z.scheduler.Take().Results
			z.Assert(results, qt.HasLen, 1)
			z.Check(results[0].Outcome, qt.Equals, Redirected)
			z.Check(results[0].Zone, qt.Equals, test.zone)
			z.advance(time.Millisecond)
			z.scheduler.Submit(z.submission(jobA, 1), z.now)
			z.Check(z.scheduler.Take().Starts, qt.HasLen, 1)
		})
	}
}

// TestJoinedJobIsNotRefused guards against refusing or redirecting a job that was submitted as new, then again by an instance whose earlier submission may have started it.
func TestJoinedJobIsNotRefused(t *testing.T) {
	for resumed, want := range map[bool]Outcome{false: Refused, true: Expired} {
		z := newReconciledZone(qt.New(t), 1)
		z.scheduler.Submit(z.submission(jobB, 2), z.now)
		z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
		submission := z.submission(jobA, 1)
		submission.Redirectable = true
		z.scheduler.Submit(submission, z.now)
		submission.Resumed = resumed
		z.scheduler.Submit(submission, z.now)
		if resumed {
			z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
		}
		z.advance(redirectDelay)
		z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
		z.advance(time.Second)
		results := z.scheduler.Take().Results
		z.Assert(results, qt.HasLen, 1)
		z.Check(results[0].Outcome, qt.Equals, want)
	}
}

// TestResumedJobFollowsRemoteStart guards against two runs of a task in two zones: its instance submits the job again because the answer that redirects it was lost.
func TestResumedJobFollowsRemoteStart(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.AddRemoteStarts("b", []OutstandingStart{{Task: jobA + ".0.0.0", Target: "other", Attempt: 1, Remaining: 5 * time.Second}}, z.now)
	submission := z.submission(jobA, 1)
	for _, resumed := range []bool{false, true, true} {
		submission.Resumed = resumed
		z.scheduler.Submit(submission, z.now)
		output := z.scheduler.Take()
		z.Check(output.Starts, qt.HasLen, 0)
		z.Assert(output.Results, qt.HasLen, 1)
		z.Check(output.Results[0].Outcome, qt.Equals, Redirected)
		z.Check(output.Results[0].MayHaveStarted, qt.IsTrue)
	}
}

// TestRedirectionHoldsForResumedJob guards against two runs of a task in two zones: one instance has learned that the job was redirected, another one has lost that answer.
func TestRedirectionHoldsForResumedJob(t *testing.T) {
	for redirectedHere, want := range map[bool]Outcome{false: Redirected, true: Open} {
		z := newReconciledZone(qt.New(t), 1)
		submission, makeRoom := z.occupy()
		z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 60000}})
		z.advance(redirectDelay)
		z.Assert(z.scheduler.Take().Results[0].Outcome, qt.Equals, Redirected)
		makeRoom()
		z.scheduler.Take()
		submission.Resumed, submission.Redirected, submission.Redirectable = true, redirectedHere, false
		z.scheduler.Submit(submission, z.now)
		output := z.scheduler.Take()
		if want == Open {
			z.Check(output.Starts, qt.HasLen, 1, qt.Commentf("two zones redirect the job to each other"))
			continue
		}
		z.Check(output.Starts, qt.HasLen, 0)
		z.Assert(output.Results, qt.HasLen, 1)
		z.Check(output.Results[0].Outcome, qt.Equals, want)
	}
}
