package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// endRun lists the end of a run and the runs that continue.
func (z *fakeZone) endRun(start StartRequest, kind rattanwork.EndKind, running ...StartRequest) {
	z.listStarted(start.Target.ID, running, rattanwork.End{Sequence: 1, Task: start.Task, Attempt: start.Attempt, Kind: kind})
}

// startWays contains the ways in which a task can start. Each one brings a zone to the
// point before a start and returns what makes the task start unless that is not allowed.
var startWays = map[string]func(z *fakeZone) func(){
	"new job": func(z *fakeZone) func() {
		return func() { z.scheduler.Submit(z.submission(jobA, 1), z.now) }
	},
	"job redirected by another zone": func(z *fakeZone) func() {
		submission := z.submission(jobA, 1)
		submission.Redirected = true
		return func() { z.scheduler.Submit(submission, z.now) }
	},
	"job submitted again": func(z *fakeZone) func() {
		submission := z.submission(jobA, 1)
		submission.Resumed = true
		return func() { z.scheduler.Submit(submission, z.now) }
	},
	"gang": func(z *fakeZone) func() {
		return func() { z.scheduler.Submit(z.gangSubmission(jobA, 2), z.now) }
	},
	"tasks of one rack": func(z *fakeZone) func() {
		submission := z.submission(jobA, 2)
		submission.Job.Steps[0].SameRack = true
		return func() { z.scheduler.Submit(submission, z.now) }
	},
	"job that waits for room": func(z *fakeZone) func() {
		z.scheduler.Submit(z.submission(jobB, 8), z.now)
		starts := z.scheduler.Take().Starts
		z.scheduler.Submit(z.submission(jobA, 1), z.now)
		z.accept(starts[0])
		return func() { z.endRun(starts[0], rattanwork.EndDone) }
	},
	"next step": func(z *fakeZone) func() {
		submission := z.submission(jobA, 1)
		second := submission.Job.Steps[0]
		second.After = []int{0}
		submission.Job.Steps = append(submission.Job.Steps, second)
		z.scheduler.Submit(submission, z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		return func() { z.endRun(start, rattanwork.EndDone) }
	},
	"retry after a failure": func(z *fakeZone) func() {
		z.scheduler.Submit(z.submission(jobA, 1), z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		return func() { z.endRun(start, rattanwork.EndFailed) }
	},
	"retry after the loss of a target": func(z *fakeZone) func() {
		z.scheduler.Submit(z.submission(jobA, 1), z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		return func() { z.scheduler.TargetUnresponsive(start.Target.ID, true, z.now) }
	},
	"task bound to the target of an unanswered start": func(z *fakeZone) func() {
		start := z.unansweredStart()
		return func() { z.listAt(start, 0) }
	},
	"copy of a straggler": func(z *fakeZone) func() {
		submission := z.submission(jobA, 1)
		submission.Job.Steps[0].Speculative = true
		z.scheduler.Submit(submission, z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		return func() {
			z.now = z.now.Add(400 * time.Millisecond)
			z.listStarted(start.Target.ID, []StartRequest{start})
		}
	},
	"restart of a straggler": func(z *fakeZone) func() {
		submission := z.submission(jobA, 1)
		submission.Deadline = z.now.Add(2 * time.Second)
		submission.LateUntil = z.now.Add(2 * time.Second)
		z.scheduler.Submit(submission, z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		return func() {
			z.now = z.now.Add(400 * time.Millisecond)
			z.scheduler.RunsListed(start.Target.ID, &rattanwork.Listing{Running: []rattanwork.Run{{Task: start.Task, Attempt: 1, Percent: 5}}}, z.now, z.voidBefore, z.now)
			z.endRun(start, rattanwork.EndStopped)
		}
	},
	"job of an earlier home": func(z *fakeZone) func() {
		z.scheduler = New(Config{MaxLease: time.Second, RemotePenalty: 1.5, TakeoverTime: z.now})
		z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, true, z.now)
		submission := z.submission(jobA, 2)
		submission.Resumed = true
		z.scheduler.Submit(submission, z.now)
		return func() {
			z.listRuns(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
		}
	},
	"home that was paused": func(z *fakeZone) func() {
		z.scheduler.SetHeld(true, z.now)
		z.scheduler.Submit(z.submission(jobA, 1), z.now)
		return func() { z.scheduler.SetHeld(false, z.now) }
	},
	"target that lists its runs after a takeover": func(z *fakeZone) func() {
		z.scheduler = New(Config{MaxLease: time.Second, RemotePenalty: 1.5, TakeoverTime: z.now})
		z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, true, z.now)
		z.scheduler.Submit(z.submission(jobA, 1), z.now)
		return func() { z.listRuns(0, rattanwork.Listing{}) }
	},
}

// TestNothingStartsInEvacuatedZone guards against any way in which a task starts although
// the zone is evacuated, or although that is not known. Without an evacuation, each way
// leads to a start.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	for name, way := range startWays {
		for _, status := range []rattanwork.EvacuationStatus{rattanwork.EvacuationNone, rattanwork.EvacuationActive, rattanwork.EvacuationUnknown} {
			t.Run(fmt.Sprint(name, "/", status), func(t *testing.T) {
				z := newReconciledZone(qt.New(t), 4)
				start := way(z)
				z.scheduler.Take()
				z.scheduler.SetEvacuation(status, z.now)
				start()
				starts := z.scheduler.Take().Starts
				for range 5 {
					z.advance(10 * time.Millisecond)
					starts = append(starts, z.scheduler.Take().Starts...)
				}
				z.Check(len(starts) > 0, qt.Equals, status == rattanwork.EvacuationNone)
			})
		}
	}
}

// TestUnstartedJobsLeaveAtOnce guards against jobs that wait in an evacuated zone until
// their deadlines, and against refusing one that another zone has room for.
func TestUnstartedJobsLeaveAtOnce(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 14000}})
	z.scheduler.Submit(z.submission(jobB, 2), z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	for i := range 2 {
		submission := z.submission(fmt.Sprintf("000000000000000%d", i), 1)
		submission.Redirectable = true
		z.scheduler.Submit(submission, z.now)
	}
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 2)
	z.Check(results[0].Outcome, qt.Equals, Redirected)
	z.Check(results[0].MayHaveStarted, qt.IsFalse)
	z.Check(results[1].Outcome, qt.Equals, Refused)
	z.Check(results[1].RetryAfter > 0, qt.IsTrue)
	z.scheduler.Submit(z.submission("0000000000000003", 1), z.now)
	results = z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Refused)
	z.Check(results[0].Reason, qt.Equals, ReasonEvacuated)
}

// TestJobsWaitWhileEvacuationIsUnknown guards against jobs that are lost or refused
// because a home has just started, and against a status that is never applied.
func TestJobsWaitWhileEvacuationIsUnknown(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
	z.scheduler.SetEvacuation(rattanwork.EvacuationUnknown, z.now)
	submission := z.submission(jobA, 1)
	submission.Redirectable = true
	z.scheduler.Submit(submission, z.now)
	z.advance(100 * time.Millisecond)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Check(output.Results, qt.HasLen, 0)
	z.scheduler.SetEvacuation(rattanwork.EvacuationNone, z.now)
	z.Check(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestRunningJobContinues guards against ending a job all of whose remaining tasks run.
func TestRunningJobContinues(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.accept(starts[1])
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.advance(10 * time.Millisecond)
	output := z.scheduler.Take()
	z.Assert(output.Results, qt.HasLen, 0)
	z.Assert(output.Stops, qt.HasLen, 0)
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
		{Sequence: 2, Task: starts[1].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	z.Check(z.scheduler.Take().Results[0].Outcome, qt.Equals, Succeeded)
}

// halfStarted brings a zone to the point at which a job with one running and one waiting
// task must leave, and returns the start of the running one and that of another job.
func halfStarted(c *qt.C) (z *fakeZone, start, other StartRequest) {
	z = newReconciledZone(c, 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	other = z.scheduler.Take().Starts[0]
	z.accept(other)
	submission := z.submission(jobA, 2)
	submission.Redirectable = true
	z.scheduler.Submit(submission, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.accept(starts[0])
	z.listStarted("t0", []StartRequest{other, starts[0]})
	return z, starts[0], other
}

// TestStartedJobMovesOnceItsRunsAreGone guards against two runs of a task in two zones: a
// job is redirected while a run of it may be active here, or other zones would send it
// back because a start is still listed. It also guards against a copy of the job that
// starts here, or in the zone that has moved it on.
func TestStartedJobMovesOnceItsRunsAreGone(t *testing.T) {
	z, start, other := halfStarted(qt.New(t))
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	output := z.scheduler.Take()
	z.Assert(output.Results, qt.HasLen, 0)
	z.Assert(output.Stops, qt.HasLen, 1)
	z.Check(output.Stops[0].Task, qt.Equals, start.Task)
	z.scheduler.StopAnswered("t0", start.Task, 1, z.now)
	z.advance(listedStartTime)
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 0, qt.Commentf("the run is not proven gone"))
	z.endRun(start, rattanwork.EndStopped, other)
	z.advance(10 * time.Millisecond)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Redirected)
	z.Check(results[0].Zone, qt.Equals, "b")
	z.Check(results[0].MayHaveStarted, qt.IsTrue)
	// A copy of the job follows, also one that another zone has sent here.
	copied := z.submission(jobA, 2)
	copied.Resumed, copied.Redirected = true, true
	z.scheduler.SetEvacuation(rattanwork.EvacuationNone, z.now)
	z.scheduler.Submit(copied, z.now)
	output = z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Assert(output.Results, qt.HasLen, 1)
	z.Check(output.Results[0].Zone, qt.Equals, "b")
}

// TestJobMovesOnceItsStartsAreNotListed guards against a job that another zone sends back,
// because it has been told of a start here and not yet of the answer.
func TestJobMovesOnceItsStartsAreNotListed(t *testing.T) {
	z, start, other := halfStarted(qt.New(t))
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.endRun(start, rattanwork.EndStopped, other)
	z.advance(time.Millisecond)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
	z.advance(listedStartTime)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 1)
}

// TestSecondEvacuationLeavesTime guards against a job that ends without a result at once,
// because it had begun to leave in an earlier evacuation.
func TestSecondEvacuationLeavesTime(t *testing.T) {
	z, _, _ := halfStarted(qt.New(t))
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.scheduler.SetEvacuation(rattanwork.EvacuationNone, z.now)
	z.now = z.now.Add(maxLeaveTime)
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
}

// TestStartedJobEndsWithoutProof guards against a job that waits for a target that does
// not answer, against one that is redirected although a start without an answer may still
// be carried out, and against a refusal of a job that has started.
func TestStartedJobEndsWithoutProof(t *testing.T) {
	tests := map[string]struct {
		prepare func(z *fakeZone, start StartRequest)
		wait    time.Duration
	}{
		"target is silent":  {prepare: func(*fakeZone, StartRequest) {}, wait: maxLeaveTime},
		"no room elsewhere": {prepare: func(z *fakeZone, _ StartRequest) { z.scheduler.SetRemoteZones(nil) }},
		"answer to a start was lost": {prepare: func(z *fakeZone, start StartRequest) {
			z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
		}},
		"unanswered start of another task": {prepare: func(z *fakeZone, start StartRequest) {
			z.scheduler.addOutstanding(jobA+".0.0.1", outstandingStart{target: start.Target.ID, attempt: 1, expiresAt: z.now.Add(LateStartBound)})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z, start, _ := halfStarted(qt.New(t))
			test.prepare(z, start)
			z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
			z.advance(test.wait)
			results := z.scheduler.Take().Results
			z.Assert(results, qt.HasLen, 1)
			z.Check(results[0].Outcome, qt.Equals, Expired)
			z.Check(z.scheduler.MayHaveStarted(z.submission(jobA, 2), z.now), qt.IsTrue)
		})
	}
}

// TestEvacuationEnds guards against a zone that takes no work after its evacuation, and
// against jobs that leave nevertheless.
func TestEvacuationEnds(t *testing.T) {
	z, start, other := halfStarted(qt.New(t))
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.scheduler.SetEvacuation(rattanwork.EvacuationNone, z.now)
	z.endRun(start, rattanwork.EndStopped, other)
	z.advance(listedStartTime)
	output := z.scheduler.Take()
	z.Check(output.Results, qt.HasLen, 0)
	z.Check(output.Starts, qt.Not(qt.HasLen), 0)
	z.scheduler.Submit(z.submission("0000000000000003", 1), z.now)
	z.advance(10 * time.Millisecond)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
}

// evacuatedAfterStart returns a zone that is evacuated while the start request of a job's
// only task is under way, with room for the job in another zone.
func evacuatedAfterStart(c *qt.C) (z *fakeZone, start StartRequest) {
	z = newReconciledZone(c, 1)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
	submission := z.submission(jobA, 1)
	submission.Redirectable = true
	z.scheduler.Submit(submission, z.now)
	start = z.scheduler.Take().Starts[0]
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	return z, start
}

// TestDroppedStartCountsAsNotSent guards against a job that is answered as possibly
// started, or keeps resources, although its only start request was never sent, and
// against a redirect while other zones list that request and send the job back.
func TestDroppedStartCountsAsNotSent(t *testing.T) {
	z, start := evacuatedAfterStart(qt.New(t))
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
	z.scheduler.StartDropped("t0", start.Task, start.Attempt, z.now)
	z.Check(z.scheduler.targets["t0"].free, qt.Equals, testTarget(0).Capacity)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
	z.advance(listedStartTime)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Redirected)
	z.Check(results[0].MayHaveStarted, qt.IsFalse)
	z.Check(results[0].Runs, qt.Equals, 0)
}

// TestDroppedStartIsRepeated guards against a task that does not start again after its
// start request was dropped while the status was unknown.
func TestDroppedStartIsRepeated(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	start := z.scheduler.Take().Starts[0]
	z.scheduler.SetEvacuation(rattanwork.EvacuationUnknown, z.now)
	z.scheduler.StartDropped("t0", start.Task, start.Attempt, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.scheduler.SetEvacuation(rattanwork.EvacuationNone, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Attempt, qt.Equals, 2)
}

// runningUntilDeadline returns a zone of two targets with the run of a job that must end
// within 2 s.
func runningUntilDeadline(c *qt.C) (z *fakeZone, start StartRequest) {
	z = newReconciledZone(c, 2)
	submission := z.submission(jobA, 1)
	submission.LateUntil, submission.Deadline = z.now.Add(2*time.Second), z.now.Add(2*time.Second)
	z.scheduler.Submit(submission, z.now)
	start = z.scheduler.Take().Starts[0]
	z.accept(start)
	return z, start
}

// TestStragglerIsNotRestarted guards against stopping a run for a restart that may not
// follow.
func TestStragglerIsNotRestarted(t *testing.T) {
	for _, status := range []rattanwork.EvacuationStatus{rattanwork.EvacuationNone, rattanwork.EvacuationActive, rattanwork.EvacuationUnknown} {
		z, start := runningUntilDeadline(qt.New(t))
		z.scheduler.targets[start.Target.ID].suspendedUntil = z.now.Add(time.Second)
		z.scheduler.SetEvacuation(status, z.now)
		z.now = z.now.Add(500 * time.Millisecond)
		z.listStarted(start.Target.ID, []StartRequest{start})
		z.Check(z.scheduler.Take().Stops, qt.HasLen, map[bool]int{true: 1}[status == rattanwork.EvacuationNone], qt.Commentf(status.String()))
	}
}

// TestListedStartDelaysRedirect guards against a job that two zones send back and forth
// until its caller gives up: the other zone has been told of a start, and not yet that the
// target has refused it, or that the run has ended.
func TestListedStartDelaysRedirect(t *testing.T) {
	tests := map[string]func(z *fakeZone, start StartRequest){
		"refused": func(z *fakeZone, start StartRequest) {
			z.scheduler.StartAnswered("t0", start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartNoResources}, z.now)
		},
		"refused after the run was stopped": func(z *fakeZone, start StartRequest) {
			z.endRun(start, rattanwork.EndStopped)
			z.now = z.now.Add(listedStartTime - time.Millisecond)
			z.scheduler.StartAnswered("t0", start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartStaleAttempt}, z.now)
		},
		"ended before the answer": func(z *fakeZone, start StartRequest) {
			z.endRun(start, rattanwork.EndStopped)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			z, start := evacuatedAfterStart(qt.New(t))
			end(z, start)
			z.advance(2 * time.Millisecond)
			z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
			z.advance(listedStartTime)
			results := z.scheduler.Take().Results
			z.Assert(results, qt.HasLen, 1)
			z.Check(results[0].Outcome, qt.Equals, Redirected)
			z.Check(results[0].MayHaveStarted, qt.IsTrue)
		})
	}
}

// TestJoinedJobIsNotSentBack guards against a job that two zones send back and forth until
// its caller gives up: one has moved it here, where it joined a copy that was submitted to
// this zone, and it is moved back.
func TestJoinedJobIsNotSentBack(t *testing.T) {
	z, start, other := halfStarted(qt.New(t))
	moved := z.submission(jobA, 2)
	moved.Resumed, moved.Redirected, moved.Tried = true, true, []string{"b"}
	z.scheduler.Submit(moved, z.now)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}, {Zone: "c", FreeMilliCPU: 30000}})
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.endRun(start, rattanwork.EndStopped, other)
	z.advance(listedStartTime)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Zone, qt.Equals, "c")
}

// TestStragglerIsKeptWhileEvacuationIsUnknown guards against ending a job whose task is too
// slow, for want of a restart that may be allowed half a second later.
func TestStragglerIsKeptWhileEvacuationIsUnknown(t *testing.T) {
	z, start := runningUntilDeadline(qt.New(t))
	list := func() Output {
		z.scheduler.RunsListed(start.Target.ID, &rattanwork.Listing{Running: []rattanwork.Run{{Task: start.Task, Attempt: 1, Percent: 5}}}, z.now, z.voidBefore, z.now)
		return z.scheduler.Take()
	}
	z.scheduler.SetEvacuation(rattanwork.EvacuationUnknown, z.now)
	z.now = z.now.Add(400 * time.Millisecond)
	z.Check(list().Results, qt.HasLen, 0)
	z.scheduler.SetEvacuation(rattanwork.EvacuationNone, z.now)
	z.Check(list().Stops, qt.HasLen, 1)
}

// TestUnansweredStartOutlastsItsJob guards against a job that two zones send back and forth
// until its caller gives up: a start of its former submission went unanswered, which
// heartbeats have told the other zone, and was settled here since.
func TestUnansweredStartOutlastsItsJob(t *testing.T) {
	z, start, other := halfStarted(qt.New(t))
	z.scheduler.StartAnswered("t0", start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.Assert(z.scheduler.Take().Results[0].Outcome, qt.Equals, Expired)
	z.endRun(start, rattanwork.EndStopped, other)
	outcomeAfter := func(delay time.Duration) Outcome {
		z.advance(delay)
		z.scheduler.Take()
		again := z.submission(jobA, 2)
		again.Redirectable, again.Resumed = true, true
		z.scheduler.Submit(again, z.now)
		results := z.scheduler.Take().Results
		z.Assert(results, qt.HasLen, 1)
		return results[0].Outcome
	}
	z.Check(outcomeAfter(1300*time.Millisecond), qt.Equals, Expired)
	z.Check(outcomeAfter(begunJobRetention), qt.Equals, Expired)
	z.Check(outcomeAfter(LateStartBound-begunJobRetention), qt.Equals, Redirected)
}

// TestNewHomeWaitsForRoomElsewhere guards against a home that has just taken over and ends
// or refuses all jobs of its evacuated zone, before it knows of the room in other zones;
// and against jobs that wait for longer if it does not learn of any.
func TestNewHomeWaitsForRoomElsewhere(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		for _, learns := range []bool{false, true} {
			t.Run(fmt.Sprint("resumed ", resumed, ", learns ", learns), func(t *testing.T) {
				z := newReconciledZone(qt.New(t), 1)
				z.scheduler = New(Config{MaxLease: time.Second, RemotePenalty: 1.5, TakeoverTime: z.now})
				z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, true, z.now)
				z.listRuns(0, rattanwork.Listing{})
				z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
				submission := z.submission(jobA, 1)
				submission.Redirectable, submission.Resumed = true, resumed
				z.scheduler.Submit(submission, z.now)
				z.advance(10 * time.Millisecond)
				z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
				if learns {
					z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
					z.advance(10 * time.Millisecond)
				} else {
					z.advance(remoteZonesTime)
				}
				results := z.scheduler.Take().Results
				z.Assert(results, qt.HasLen, 1)
				z.Check(results[0].Outcome == Redirected, qt.Equals, learns)
			})
		}
	}
}
