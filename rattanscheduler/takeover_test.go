package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestListedRunIsBoundToItsJob guards against a second run of a task after a
// takeover, if the job is resubmitted before its run is listed.
func TestListedRunIsBoundToItsJob(t *testing.T) {
	z := newFakeZone(qt.New(t), 2)
	z.listRuns(1, rattanwork.Listing{})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	name := jobA + ".0.0.0"
	z.listRuns(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: name, Attempt: 4, Percent: 10}}})
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: name, Attempt: 4, Kind: rattanwork.EndDone}}})
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Assert(results[0].Outcome, qt.Equals, Succeeded)
	z.Assert(z.scheduler.targets["t0"].free, qt.Equals, testTarget(0).Capacity)
}

// TestTaskDoneBeforeResubmission guards against a second run of a task that
// completed before its job was resubmitted to the new home.
func TestTaskDoneBeforeResubmission(t *testing.T) {
	z := newFakeZone(qt.New(t), 1)
	name := jobA + ".0.0.0"
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: name, Attempt: 1, Kind: rattanwork.EndDone}}})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	output := z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 0)
	z.Assert(output.Results, qt.HasLen, 1)
	z.Assert(output.Results[0].Outcome, qt.Equals, Succeeded)
}

// TestSecondSubmissionWaitsForFirstRuns guards against two runs of a task if a
// job is resubmitted while its cancelled runs are still being stopped.
func TestSecondSubmissionWaitsForFirstRuns(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.accept(starts[0])
	z.scheduler.Cancel(jobA, z.now)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.advance(time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	index := 0
	if starts[0].Target.ID == "t1" {
		index = 1
	}
	z.listRuns(index, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndStopped}}})
	z.advance(time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestOrphanedRunIsStopped guards against runs that continue although no caller
// waits for their job.
func TestOrphanedRunIsStopped(t *testing.T) {
	z := newFakeZone(qt.New(t), 1)
	z.listRuns(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.advance(orphanGracePeriod / 2)
	z.Assert(z.scheduler.Take().Stops, qt.HasLen, 0)
	z.advance(orphanGracePeriod)
	z.Assert(z.scheduler.Take().Stops, qt.HasLen, 1)
}

// TestCancelledRunsOfEarlierHomeAreStopped guards against two runs of a task in
// two zones: a new home that did not know the job kept its runs alive although it
// was told that the caller had left.
func TestCancelledRunsOfEarlierHomeAreStopped(t *testing.T) {
	z := newFakeZone(qt.New(t), 2)
	z.listRuns(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}, {Task: jobB + ".0.0.0", Attempt: 1}}})
	z.scheduler.Cancel(jobA, z.now)
	stops := z.scheduler.Take().Stops
	z.Assert(stops, qt.HasLen, 1)
	z.Check(stops[0].Task, qt.Equals, jobA+".0.0.0")
	// Its other run is listed later.
	z.listRuns(1, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.1", Attempt: 1}}})
	stops = z.scheduler.Take().Stops
	z.Assert(stops, qt.HasLen, 1)
	z.Check(stops[0].Task, qt.Equals, jobA+".0.0.1")
	z.Check(z.scheduler.IsNew(z.submission(jobA, 2), z.now), qt.IsFalse)
}

// TestJobCancelledBeforeItsRunsAreListed guards against runs that go on although
// their caller has left: a new home hears of that before it knows of any run.
func TestJobCancelledBeforeItsRunsAreListed(t *testing.T) {
	z := newFakeZone(qt.New(t), 1)
	z.scheduler.Cancel(jobA, z.now)
	z.listRuns(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.Check(z.scheduler.Take().Stops, qt.HasLen, 1)
}

// TestJoinedJobWaitsForListings guards against a second run of a task after a takeover: the job was submitted as new, then again by an instance whose earlier submission may have started it on a target that is silent.
func TestJoinedJobWaitsForListings(t *testing.T) {
	for resumed, starts := range map[bool]int{false: 1, true: 0} {
		z := newFakeZone(qt.New(t), 2)
		submission := z.submission(jobA, 1)
		z.scheduler.Submit(submission, z.now)
		submission.Resumed = resumed
		z.scheduler.Submit(submission, z.now)
		z.listRuns(0, rattanwork.Listing{})
		z.scheduler.TargetUnresponsive("t1", true, z.now)
		z.advance(10 * time.Millisecond)
		z.Check(z.scheduler.Take().Starts, qt.HasLen, starts)
	}
}

// TestResumedJobWaitsForCurrentTargets guards against a second run of a task
// after a takeover if the first run is on a target that the new home does not
// know yet.
func TestResumedJobWaitsForCurrentTargets(t *testing.T) {
	z := &fakeZone{C: qt.New(t), now: time.Unix(1_800_000_000, 0)}
	z.scheduler = New(Config{MaxLease: time.Second, TakeoverTime: z.now})
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, false, z.now)
	z.listRuns(0, rattanwork.Listing{})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0), testTarget(1)}, true, z.now)
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listRuns(1, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listRuns(1, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: jobA + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone}}})
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 1)
	// Without a current inventory, the leases granted by the earlier home have
	// to expire first. It grants some until a target refuses its token.
	z.scheduler = New(Config{MaxLease: time.Second, TakeoverTime: z.now})
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, false, z.now)
	z.listRuns(0, rattanwork.Listing{})
	submission = z.submission(jobB, 1)
	submission.Resumed = true
	submission.LateUntil = z.now.Add(3 * time.Second)
	submission.Deadline = submission.LateUntil
	z.scheduler.Submit(submission, z.now)
	z.advance(1800 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.advance(100 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestResumedJobWaitsForTargetsKnownLate guards against a second run of a task
// when this home claimed its zone long before it learned of the targets, as an
// instance does that started in a zone without a way to the store: the earlier
// home goes on until each target has heard of this one.
func TestResumedJobWaitsForTargetsKnownLate(t *testing.T) {
	z := &fakeZone{C: qt.New(t), now: time.Unix(1_800_000_000, 0)}
	z.scheduler = New(Config{MaxLease: time.Second, TakeoverTime: z.now})
	z.advance(3 * time.Second)
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0), testTarget(1)}, true, z.now)
	z.listRuns(0, rattanwork.Listing{})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listRuns(1, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	// A target that appears later may have runs of the earlier home too.
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0), testTarget(1), testTarget(2)}, true, z.now)
	submission = z.submission(jobB, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.advance(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listRuns(2, rattanwork.Listing{})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestRepeatedJobWaitsForListingsAfterTakeover guards against two runs of a
// task: a job that its caller sends again through another instance is not marked
// as resumed, and its first run was on a target that the new home has not heard
// yet.
func TestRepeatedJobWaitsForListingsAfterTakeover(t *testing.T) {
	z := newFakeZone(qt.New(t), 3)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
	z.listRuns(0, rattanwork.Listing{})
	repeated := z.submission(jobA, 1)
	repeated.Redirectable = true
	z.submitChecked(repeated)
	z.Check(z.scheduler.IsNew(z.submission(jobB, 1), z.now), qt.IsFalse)
	z.advance(2 * redirectDelay)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Check(output.Results, qt.HasLen, 0, qt.Commentf("its runs may be here, so another zone must not start it"))
	// A silent target does not hold up the zone.
	z.scheduler.TargetUnresponsive("t2", false, z.now)
	z.listRuns(1, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.advance(2 * redirectDelay)
	output = z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 1)
	z.Check(output.Starts[0].Task, qt.Equals, jobB+".0.0.0")
	z.listRuns(1, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: jobA + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone}}})
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Succeeded)
}

// TestRepeatedJobWaitsForInventoryAfterTakeover guards against two runs of a
// task: a job that its caller sends again through another instance is not marked
// as resumed, and its first run is on a target that the new home does not know
// before it has read the inventory.
func TestRepeatedJobWaitsForInventoryAfterTakeover(t *testing.T) {
	for known := range 2 {
		t.Run(fmt.Sprintf("%d known", known), func(t *testing.T) {
			z := &fakeZone{C: qt.New(t), now: time.Unix(1_800_000_000, 0)}
			z.scheduler = New(Config{MaxLease: time.Second, TakeoverTime: z.now})
			z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
			if known > 0 {
				z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, false, z.now)
				z.listRuns(0, rattanwork.Listing{})
			}
			repeated := z.submission(jobA, 1)
			repeated.Redirectable = true
			z.submitChecked(repeated)
			z.advance(2 * redirectDelay)
			output := z.scheduler.Take()
			z.Check(output.Starts, qt.HasLen, 0)
			z.Check(output.Results, qt.HasLen, 0, qt.Commentf("its runs may be here, so another zone must not start it"))
		})
	}
}

// TestRepeatedJobIsNotSaidNotToHaveRun guards against telling a caller that its
// job has not run, because the job was cancelled or expired after a task of it
// had started and the caller submitted it again.
func TestRepeatedJobIsNotSaidNotToHaveRun(t *testing.T) {
	ends := map[string]func(z *fakeZone){
		"cancelled": func(z *fakeZone) { z.scheduler.Cancel(jobA, z.now) },
		"expired":   func(z *fakeZone) { z.advance(2 * time.Second) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			z := newReconciledZone(qt.New(t), 1)
			z.scheduler.Submit(z.submission(jobA, 1), z.now)
			start := z.nextStart()
			end(z)
			z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: start.Task, Attempt: 1, Kind: rattanwork.EndStopped}}})
			z.scheduler.Take()
			z.Check(z.scheduler.IsNew(z.submission(jobA, 1), z.now), qt.IsFalse)
			for i := range 12 {
				z.submitChecked(z.submission(fmt.Sprintf("%016x", i), 2))
			}
			repeated := z.submission(jobA, 1)
			repeated.Redirectable = true
			z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 1 << 20}})
			z.submitChecked(repeated)
			z.advance(100 * time.Millisecond)
			z.advance(2 * time.Second)
			var outcomes []Outcome
			for _, result := range z.scheduler.Take().Results {
				if result.JobID == jobA {
					outcomes = append(outcomes, result.Outcome)
				}
			}
			z.Check(outcomes, qt.DeepEquals, []Outcome{Expired})
			z.advance(begunJobRetention + 3*time.Second)
			z.Check(z.scheduler.IsNew(z.submission(jobA, 1), z.now), qt.IsTrue)
		})
	}
}

// TestJobsAreNotRefusedBeforeTargetsList guards against refusing the jobs that
// have waited for a new home, because only a few of its targets have listed
// their runs yet. All of the jobs fit into the zone at once.
func TestJobsAreNotRefusedBeforeTargetsList(t *testing.T) {
	const targets = 20
	z := newFakeZone(qt.New(t), targets)
	for i := range targets - 1 {
		z.submitChecked(z.submission(fmt.Sprintf("%016x", i), 2))
	}
	for i := range targets {
		z.listRuns(i, rattanwork.Listing{})
		z.scheduler.Tick(z.now)
	}
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 2*(targets-1))
	z.Check(output.Results, qt.HasLen, 0)
}

// TestSilentTargetsDoNotDelayRefusals guards against a new home that keeps
// callers waiting for targets that do not answer.
func TestSilentTargetsDoNotDelayRefusals(t *testing.T) {
	const targets = 20
	z := newFakeZone(qt.New(t), targets)
	for i := range targets - 1 {
		z.submitChecked(z.submission(fmt.Sprintf("%016x", i), 2))
	}
	z.listRuns(0, rattanwork.Listing{})
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
	for i := 1; i < targets; i++ {
		z.scheduler.TargetUnresponsive(testTarget(i).ID, false, z.now)
	}
	z.scheduler.Tick(z.now)
	results := z.scheduler.Take().Results
	// Two tasks run at a time for 100 ms each, and jobs may wait for 200 ms.
	z.Check(len(results) >= targets-1-5 && len(results) <= targets-1-3, qt.IsTrue, qt.Commentf("%d refused", len(results)))
	for _, result := range results {
		z.Check(result.Outcome, qt.Equals, Refused)
	}
}

// submitChecked submits a job and refuses it if it cannot be served in time.
func (z *fakeZone) submitChecked(submission Submission) {
	z.scheduler.Submit(submission, z.now)
	z.scheduler.CheckAdmission(submission.Job.ID, z.now)
}

// TestStartOfEarlierHomeKeepsItsGracePeriod guards against work thrown away: a run whose
// start got no answer from its target is stopped before its job is submitted to the
// next home, which was told of that start.
func TestStartOfEarlierHomeKeepsItsGracePeriod(t *testing.T) {
	z := newFakeZone(qt.New(t), 2)
	start := StartRequest{Task: jobA + ".0.0.0", Attempt: 1}
	z.scheduler.AddOutstandingStarts([]OutstandingStart{{start.Task, "t0", start.Attempt, 10 * time.Second}}, z.now)
	z.listRuns(0, rattanwork.Listing{Running: runsOf(start)})
	z.listRuns(1, rattanwork.Listing{})
	z.advance(orphanGracePeriod / 2)
	z.Check(z.scheduler.Take().Stops, qt.HasLen, 0)
	submission := z.patientSubmission(jobA)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.advance(2 * orphanGracePeriod)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Check(output.Stops, qt.HasLen, 0)
	z.Check(z.scheduler.jobs[jobA].tasks[0].run, qt.IsNotNil)
}

// TestJobThatEarlierHomeStartedIsNotRefused guards against refusing a job for which a new home knows no target yet, while a target that it does not know runs it.
func TestJobThatEarlierHomeStartedIsNotRefused(t *testing.T) {
	for name, runs := range map[string]bool{"runs": true, "does not run": false} {
		t.Run(name, func(t *testing.T) {
			z := newFakeZone(qt.New(t), 0)
			small, large := testTarget(0), testTarget(1)
			small.Capacity.MilliCPU = 1000
			z.scheduler.UpdateTargets([]rattanwork.Target{small}, false, z.now)
			submission := z.submission(jobA, 1)
			submission.Objective, submission.LateUntil = z.now, z.now.Add(time.Millisecond)
			z.scheduler.Submit(submission, z.now)
			z.advance(inventoryReadTime)
			z.Check(z.scheduler.Take().Results, qt.HasLen, 0, qt.Commentf("its answer has lost its value"))
			targets := []rattanwork.Target{small}
			if runs {
				targets = append(targets, large)
			}
			z.scheduler.UpdateTargets(targets, true, z.now)
			z.listRuns(0, rattanwork.Listing{})
			if runs {
				z.listRuns(1, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
			}
			z.advance(time.Millisecond)
			results := z.scheduler.Take().Results
			if runs {
				z.Check(results, qt.HasLen, 0)
				return
			}
			z.Assert(results, qt.HasLen, 1)
			z.Check(results[0].Outcome, qt.Equals, Refused)
			z.Check(results[0].Reason, qt.Equals, "no target for it")
		})
	}
}
