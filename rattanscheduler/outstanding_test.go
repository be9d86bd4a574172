package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// newIncarnationZone returns a zone whose targets have listed their first
// incarnation.
func newIncarnationZone(c *qt.C, targets int) *fakeZone {
	z := newFakeZone(c, targets)
	for i := range targets {
		z.listRuns(i, rattanwork.Listing{Incarnation: firstIncarnation})
	}
	return z
}

// firstIncarnation is the first incarnation of each target, in milliseconds.
const firstIncarnation = 10

// unansweredStart submits a patient job and returns its start, which gets no answer.
func (z *fakeZone) unansweredStart() StartRequest {
	z.Helper()
	z.scheduler.Submit(z.patientSubmission(jobA), z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.loseAnswer(starts[0])
	return starts[0]
}

// loseAnswer makes the time for the answer to a start pass.
func (z *fakeZone) loseAnswer(start StartRequest) {
	z.now = z.now.Add(20 * time.Millisecond)
	z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
}

// listAt makes the target of a start list runs under a higher fencing token.
func (z *fakeZone) listAt(start StartRequest, incarnation int64, runs ...rattanwork.Run) {
	z.voidBefore = z.now
	z.now = z.now.Add(time.Millisecond)
	z.scheduler.RunsListed(start.Target.ID, &rattanwork.Listing{Incarnation: incarnation, Running: runs}, z.now, z.voidBefore, z.now.Add(time.Millisecond))
	z.now = z.now.Add(2 * time.Millisecond)
}

// TestVoidStartIsRepeatedAtItsTarget guards against two runs of a task: a start
// counts as void, the task starts elsewhere, and the next incarnation of the target,
// which has forgotten why the start was void, carries it out.
func TestVoidStartIsRepeatedAtItsTarget(t *testing.T) {
	tests := map[string]struct {
		void func(z *fakeZone, start StartRequest)
		// restarted is set if the target has restarted since.
		restarted bool
	}{
		"higher fencing token": {void: func(z *fakeZone, start StartRequest) {
			z.listAt(start, firstIncarnation)
		}},
		"higher fencing token at the next incarnation": {void: func(z *fakeZone, start StartRequest) {
			z.listAt(start, firstIncarnation+1)
		}},
		"two restarts": {void: func(z *fakeZone, start StartRequest) {
			z.listAt(start, firstIncarnation+1)
			z.listAt(start, firstIncarnation+2)
		}},
		"lease over": {void: func(z *fakeZone, start StartRequest) {
			z.crash(start)
			z.Check(z.scheduler.Take().Starts, qt.HasLen, 0)
			z.listAt(start, firstIncarnation+1)
		}},
		"stopped, and its job submitted again": {void: func(z *fakeZone, start StartRequest) {
			z.scheduler.Cancel(jobA, z.now)
			z.Assert(z.scheduler.Take().Stops, qt.HasLen, 1)
			z.scheduler.StopAnswered(start.Target.ID, start.Task, start.Attempt, z.now)
			z.now = z.now.Add(time.Millisecond)
			z.listAt(start, firstIncarnation)
			z.scheduler.Submit(z.patientSubmission(jobA), z.now)
		}},
		"overtaken by a later request": {void: func(z *fakeZone, start StartRequest) {
			// Its answer would still be awaited.
			z.listAt(start, firstIncarnation)
			z.loseAnswer(start)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newIncarnationZone(qt.New(t), 4)
			void := z.unansweredStart()
			test.void(z, void)
			z.advance(10 * time.Millisecond)
			starts := z.scheduler.Take().Starts
			z.Assert(starts, qt.HasLen, 1)
			z.Check(starts[0].Target.ID, qt.Equals, void.Target.ID)
			z.Check(starts[0].Attempt > void.Attempt, qt.IsTrue)
		})
	}
}

// TestTaskOfSilentTargetStartsNowhereElse guards against two runs of a task: its
// unanswered start is carried out when the target answers again, after the lease in
// it counted as over.
func TestTaskOfSilentTargetStartsNowhereElse(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	start := z.unansweredStart()
	z.crash(start)
	for range 13 {
		z.advance(time.Second)
		z.scheduler.TargetUnresponsive(start.Target.ID, true, z.now)
		z.Check(z.scheduler.Take().Starts, qt.HasLen, 0)
	}
	z.advance(2 * time.Second)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1, qt.Commentf("the request cannot be carried out any more"))
	z.Check(starts[0].Target.ID, qt.Not(qt.Equals), start.Target.ID)
}

// TestStartCarriedOutLateIsItsTasksRun guards against two runs of a task, and against
// work thrown away: the next incarnation of a target has carried out a void start.
func TestStartCarriedOutLateIsItsTasksRun(t *testing.T) {
	for name, repeated := range map[string]bool{"task waits": false, "task was running at the former incarnation": true} {
		t.Run(name, func(t *testing.T) {
			z := newIncarnationZone(qt.New(t), 4)
			late := z.unansweredStart()
			z.listAt(late, firstIncarnation)
			second := z.scheduler.Take().Starts[0]
			if repeated {
				z.accept(second)
			} else {
				z.scheduler.StartAnswered(second.Target.ID, second.Task, second.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartNoResources}, z.now)
			}
			z.listAt(late, firstIncarnation+1, runsOf(late)...)
			z.advance(time.Second)
			output := z.scheduler.Take()
			z.Check(output.Starts, qt.HasLen, 0)
			z.Check(output.Stops, qt.HasLen, 0)
			task := z.scheduler.jobs[jobA].tasks[0]
			z.Check(task.run.attempt, qt.Equals, late.Attempt)
		})
	}
}

// TestStartOfEndedJobIsStoppedAtOnce guards against a run that goes on for nobody:
// a start is carried out after its job has ended.
func TestStartOfEndedJobIsStoppedAtOnce(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	late := z.unansweredStart()
	z.listAt(late, firstIncarnation)
	second := z.scheduler.Take().Starts[0]
	z.accept(second)
	z.scheduler.RunsListed(second.Target.ID, &rattanwork.Listing{Incarnation: firstIncarnation, Ended: []rattanwork.End{
		{Sequence: 1, Task: second.Task, Attempt: second.Attempt, Kind: rattanwork.EndDone},
	}}, z.now, z.voidBefore, z.now)
	z.Assert(z.scheduler.Take().Results[0].Outcome, qt.Equals, Succeeded)
	z.advance(beyondRetention)
	z.listAt(late, firstIncarnation+1, runsOf(late)...)
	z.Check(z.scheduler.Take().Stops, qt.HasLen, 1)
}

// beyondRetention is longer than ended jobs are remembered.
const beyondRetention = begunJobRetention + time.Second

// TestJobWithOutstandingStartIsNotRefused guards against telling a caller that its
// job has not run while a start request of it may still be carried out.
func TestJobWithOutstandingStartIsNotRefused(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 1)
	late := z.unansweredStart()
	z.scheduler.Cancel(jobA, z.now)
	z.scheduler.StopAnswered(late.Target.ID, late.Task, late.Attempt, z.now)
	z.listAt(late, firstIncarnation)
	z.advance(beyondRetention)
	z.Check(z.scheduler.MayHaveStarted(z.patientSubmission(jobA), z.now), qt.IsTrue)
	z.advance(LateStartBound)
	z.Check(z.scheduler.MayHaveStarted(z.patientSubmission(jobA), z.now), qt.IsFalse)
}

// TestBoundTaskStartsAgainWhereItFailed guards against a task that waits for ever
// for another target than the one that it is bound to.
func TestBoundTaskStartsAgainWhereItFailed(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	void := z.unansweredStart()
	z.listAt(void, firstIncarnation)
	second := z.scheduler.Take().Starts[0]
	z.accept(second)
	z.scheduler.RunsListed(second.Target.ID, &rattanwork.Listing{Incarnation: firstIncarnation, Ended: []rattanwork.End{
		{Sequence: 1, Task: second.Task, Attempt: second.Attempt, Kind: rattanwork.EndFailed},
	}}, z.now, z.voidBefore, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Target.ID, qt.Equals, void.Target.ID)
}

// TestBoundTaskKeepsItsLastAttempt guards against a job that fails because its task is
// bound to a target that fails every run.
func TestBoundTaskKeepsItsLastAttempt(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	void := z.unansweredStart()
	z.listAt(void, firstIncarnation)
	const attempts = 3
	for failure := range int64(attempts - 1) {
		z.advance(maxSuspension)
		starts := z.scheduler.Take().Starts
		z.Assert(starts, qt.HasLen, 1)
		z.accept(starts[0])
		z.scheduler.RunsListed(void.Target.ID, &rattanwork.Listing{Incarnation: firstIncarnation, Ended: []rattanwork.End{
			{Sequence: failure + 1, Task: starts[0].Task, Attempt: starts[0].Attempt, Kind: rattanwork.EndFailed},
		}}, z.now, z.voidBefore, z.now)
	}
	z.advance(time.Second)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Check(output.Results, qt.HasLen, 0)
	z.advance(LateStartBound)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Target.ID, qt.Not(qt.Equals), void.Target.ID)
}

// TestSettledStartBindsNothing guards against a task that waits for a target
// although nothing can start there any more.
func TestSettledStartBindsNothing(t *testing.T) {
	tests := map[string]func(z *fakeZone, start StartRequest){
		"answered late": func(z *fakeZone, start StartRequest) {
			z.listAt(start, firstIncarnation)
			z.scheduler.Take()
			z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartFenced}, z.now)
		},
		"another target in its place": func(z *fakeZone, start StartRequest) {
			z.listAt(start, firstIncarnation)
			z.scheduler.TargetReplaced(start.Target.ID, start.Target.Address, z.now)
		},
		"listed as ended": func(z *fakeZone, start StartRequest) {
			z.listAt(start, firstIncarnation)
			z.scheduler.RunsListed(start.Target.ID, &rattanwork.Listing{Incarnation: firstIncarnation, Ended: []rattanwork.End{
				{Sequence: 1, Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndStopped},
			}}, z.now, z.voidBefore, z.now)
		},
	}
	for name, settle := range tests {
		t.Run(name, func(t *testing.T) {
			z := newIncarnationZone(qt.New(t), 4)
			start := z.unansweredStart()
			settle(z, start)
			z.Check(z.scheduler.outstanding, qt.HasLen, 0)
		})
	}
}

// TestHeldByOutstandingStartEndsWhenLate guards against a job that waits for a
// silent target until its caller's deadline although its answer has no value any
// more.
func TestHeldByOutstandingStartEndsWhenLate(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	submission := z.patientSubmission(jobA)
	submission.LateUntil = z.now.Add(2 * time.Second)
	z.scheduler.Submit(submission, z.now)
	start := z.scheduler.Take().Starts[0]
	z.loseAnswer(start)
	z.crash(start)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
	z.advance(time.Second)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Expired)
}

// TestSuccessorKeepsTasksBound guards against two runs of a task: the next home does
// not know of a start that may still be carried out, and starts the task elsewhere.
func TestSuccessorKeepsTasksBound(t *testing.T) {
	for name, given := range map[string]func(z *fakeZone, start StartRequest){
		"unanswered": func(*fakeZone, StartRequest) {},
		"given up":   func(z *fakeZone, start StartRequest) { z.listAt(start, firstIncarnation) },
	} {
		t.Run(name, func(t *testing.T) {
			z := newIncarnationZone(qt.New(t), 4)
			start := z.unansweredStart()
			given(z, start)
			successor := newIncarnationZone(z.C, 4)
			successor.now = z.now.Add(time.Second)
			successor.scheduler.AddOutstandingStarts(z.scheduler.OutstandingStarts(successor.now), successor.now)
			submission := successor.patientSubmission(jobA)
			submission.Resumed = true
			successor.scheduler.Submit(submission, successor.now)
			successor.advance(10 * time.Millisecond)
			starts := successor.scheduler.Take().Starts
			successor.Assert(starts, qt.HasLen, 1)
			successor.Check(starts[0].Target.ID, qt.Equals, start.Target.ID)
			successor.Check(starts[0].Attempt > start.Attempt, qt.IsTrue)
		})
	}
}

// TestLateAcceptanceKeepsTaskBound guards against two runs of a task: the next
// incarnation accepts a start that was given up, and the task starts elsewhere.
func TestLateAcceptanceKeepsTaskBound(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	z.scheduler.Submit(z.patientSubmission(jobA), z.now)
	start := z.scheduler.Take().Starts[0]
	// The token was raised for another request to the target.
	z.now = z.now.Add(time.Millisecond)
	z.listAt(start, firstIncarnation)
	second := z.scheduler.Take().Starts[0]
	z.accept(second)
	z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, z.now)
	z.crash(second)
	z.advance(10 * time.Millisecond)
	z.Check(z.scheduler.Take().Starts, qt.HasLen, 0)
}

// TestBoundLastsFromTheUnansweredRequest guards against two runs of a task: its home
// was paused between the decision to start it and the sending of the request, which
// is carried out later than the decision alone would allow.
func TestBoundLastsFromTheUnansweredRequest(t *testing.T) {
	const pause = 5 * time.Second
	tests := map[string]func(z *fakeZone, start StartRequest){
		"target silent": func(z *fakeZone, start StartRequest) {
			z.now = z.now.Add(pause)
			z.loseAnswer(start)
			z.scheduler.TargetUnresponsive(start.Target.ID, true, z.now)
		},
		"target removed": func(z *fakeZone, start StartRequest) {
			var others []rattanwork.Target
			for i := range 4 {
				if target := testTarget(i); target.ID != start.Target.ID {
					others = append(others, target)
				}
			}
			z.scheduler.UpdateTargets(others, true, z.now)
			z.now = z.now.Add(pause)
			z.loseAnswer(start)
			z.scheduler.TargetUnresponsive(start.Target.ID, true, z.now)
		},
		"given up after the request": func(z *fakeZone, start StartRequest) {
			z.now = z.now.Add(pause)
			z.loseAnswer(start)
			z.listAt(start, firstIncarnation)
			z.loseAccepted(start.Target.ID)
		},
		"given up before the request": func(z *fakeZone, start StartRequest) {
			z.now = z.now.Add(time.Millisecond)
			z.listAt(start, firstIncarnation)
			z.now = z.now.Add(pause)
			z.loseAnswer(start)
			z.loseAccepted(start.Target.ID)
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			z := newIncarnationZone(qt.New(t), 4)
			z.scheduler.Submit(z.patientSubmission(jobA), z.now)
			start := z.scheduler.Take().Starts[0]
			lose(z, start)
			requestedAt := start.Target.ID
			z.advance(LateStartBound - 2*time.Second)
			z.Check(z.scheduler.Take().Starts, qt.HasLen, 0)
			z.advance(3 * time.Second)
			starts := z.scheduler.Take().Starts
			z.Assert(starts, qt.HasLen, 1)
			z.Check(starts[0].Target.ID, qt.Not(qt.Equals), requestedAt)
		})
	}
}

// loseAccepted accepts the start that was requested and loses its target.
func (z *fakeZone) loseAccepted(targetID string) {
	z.Helper()
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Assert(starts[0].Target.ID, qt.Equals, targetID)
	z.accept(starts[0])
	z.crash(starts[0])
}

// TestJobKnownBeforeItsOutstandingStarts guards against refusing a job of which the
// next home learns only after its submission that it may run, and against an attempt
// that its target has seen before.
func TestJobKnownBeforeItsOutstandingStarts(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 2)
	z.scheduler.SetHeld(true, z.now)
	submission := z.patientSubmission(jobA)
	submission.Redirectable = true
	z.scheduler.Submit(submission, z.now)
	z.scheduler.AddOutstandingStarts([]OutstandingStart{{Task: jobA + ".0.0.0", Target: "t1", Attempt: 3, Remaining: 10 * time.Second}}, z.now)
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "y", FreeMilliCPU: 1_000_000}})
	z.advance(time.Second)
	z.Check(z.scheduler.Take().Results, qt.HasLen, 0)
	z.scheduler.SetHeld(false, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Target.ID, qt.Equals, "t1")
	z.Check(starts[0].Attempt, qt.Equals, 4)
}

// TestResubmittedJobEndsWithItsValue guards against a caller that waits in vain: its
// job is submitted again while the first submission's start is still unanswered.
func TestResubmittedJobEndsWithItsValue(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	start := z.unansweredStart()
	z.crash(start)
	z.scheduler.Cancel(jobA, z.now)
	z.scheduler.Take()
	submission := z.submission(jobA, 1)
	submission.Deadline = z.now.Add(time.Minute)
	z.scheduler.Submit(submission, z.now)
	z.advance(2 * time.Second)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Expired)
}

// outstandingAt returns the attempts of the first task of jobA that may still be
// carried out, by target, the latest to expire first.
func (z *fakeZone) outstandingAt() []string {
	var list []string
	for _, start := range z.scheduler.OutstandingStarts(z.now) {
		z.Check(start.Task, qt.Equals, jobA+".0.0.0")
		list = append(list, fmt.Sprintf("%s/%d/%s", start.Target, start.Attempt, start.Remaining))
	}
	return list
}

// TestOutstandingStartsAreToldApart guards against settling one start request by what
// is known of another, and against forgetting one too early.
func TestOutstandingStartsAreToldApart(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	z.scheduler.SetHeld(true, z.now)
	z.scheduler.Submit(z.patientSubmission(jobA), z.now)
	add := func(target string, attempt int, remaining time.Duration) {
		z.scheduler.AddOutstandingStarts([]OutstandingStart{{jobA + ".0.0.0", target, attempt, remaining}}, z.now)
	}
	add("t0", 5, time.Hour)
	add("t0", 2, 9*time.Second)
	add("t1", 2, 8*time.Second)
	add("t2", 1, 7*time.Second)
	add("t0", 2, time.Second)
	add("t3", 1, 0)
	z.Check(z.outstandingAt(), qt.DeepEquals, []string{"t0/5/15s", "t0/2/9s", "t1/2/8s", "t2/1/7s"})
	z.Check(z.scheduler.lastOutstandingAttempt(jobA+".0.0.0"), qt.Equals, 5)
	z.scheduler.StartAnswered("t0", jobA+".0.0.0", 2, rattanwork.StartAnswer{Result: rattanwork.StartFenced}, z.now)
	z.Check(z.outstandingAt(), qt.DeepEquals, []string{"t0/5/15s", "t1/2/8s", "t2/1/7s"})
	z.scheduler.TargetReplaced("t1", "", z.now)
	z.Check(z.outstandingAt(), qt.DeepEquals, []string{"t0/5/15s", "t2/1/7s"})
	z.advance(7 * time.Second)
	z.Check(z.outstandingAt(), qt.DeepEquals, []string{"t0/5/8s"})
	z.advance(8 * time.Second)
	z.Check(z.outstandingAt(), qt.HasLen, 0)
}

// TestListedRunOutlivesItsBound guards against two runs of a task: its start got no
// answer, its run is listed and lasts longer than such a start may be outstanding.
func TestListedRunOutlivesItsBound(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	start := z.unansweredStart()
	z.listAt(start, firstIncarnation, runsOf(start)...)
	z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, 0)
	z.advance(LateStartBound + time.Second)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Check(output.Results, qt.HasLen, 0)
	z.Check(z.scheduler.jobs[jobA].tasks[0].run, qt.IsNotNil)
}

// TestJobOfSilentTargetEndsWithItsValue guards against a caller that waits in vain: a
// start got no answer, and its target was not lost so far.
func TestJobOfSilentTargetEndsWithItsValue(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	submission := z.submission(jobA, 1)
	submission.Deadline = z.now.Add(time.Minute)
	z.scheduler.Submit(submission, z.now)
	start := z.scheduler.Take().Starts[0]
	z.loseAnswer(start)
	z.scheduler.TargetUnresponsive(start.Target.ID, false, z.now)
	z.advance(2 * time.Second)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Expired)
}

// TestBoundTaskHoldsUpNoOther guards against other tasks that wait with a task whose
// only target takes no work.
func TestBoundTaskHoldsUpNoOther(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	z.scheduler.AddOutstandingStarts([]OutstandingStart{{jobA + ".0.0.0", "t0", 1, LateStartBound}}, z.now)
	z.scheduler.TargetUnresponsive("t0", false, z.now)
	z.scheduler.SetHeld(true, z.now)
	z.scheduler.Submit(z.patientSubmission(jobA), z.now)
	z.scheduler.Submit(z.patientSubmission(jobB), z.now)
	z.scheduler.SetHeld(false, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Task, qt.Equals, jobB+".0.0.0")
}

// TestBoundTaskIsNotMovedFromItsTarget guards against stopping a slow run that can only
// start again where it is.
func TestBoundTaskIsNotMovedFromItsTarget(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	start := z.scheduler.Take().Starts[0]
	z.scheduler.AddOutstandingStarts([]OutstandingStart{{start.Task, start.Target.ID, 1, LateStartBound}}, z.now)
	z.accept(start)
	z.advance(200 * time.Millisecond)
	z.listAt(start, firstIncarnation, rattanwork.Run{Task: start.Task, Attempt: start.Attempt})
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1, qt.Commentf("it cannot end in time"))
	z.Check(results[0].Outcome, qt.Equals, Expired)
}

// TestGivenUpRunIsRemovedOnce guards against starting more on a target than fits: the
// resources of a run whose start got no answer are released again when it expires.
func TestGivenUpRunIsRemovedOnce(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 1)
	start := z.unansweredStart()
	z.scheduler.Cancel(jobA, z.now)
	z.scheduler.Take()
	z.listAt(start, firstIncarnation)
	z.advance(LateStartBound + time.Second)
	z.Check(z.scheduler.targets["t0"].free, qt.Equals, testTarget(0).Capacity)
	z.Check(z.scheduler.activeRuns, qt.HasLen, 0)
}

// TestOutstandingStartsOfJobsThatMayReturn guards against hiding a start from the next
// home whose job may be submitted to it, and against telling of all others.
func TestOutstandingStartsOfJobsThatMayReturn(t *testing.T) {
	tests := map[string]struct {
		end  func(z *fakeZone, second StartRequest)
		told int
	}{
		"in progress": {func(*fakeZone, StartRequest) {}, 1},
		"cancelled":   {func(z *fakeZone, _ StartRequest) { z.scheduler.Cancel(jobA, z.now) }, 1},
		"complete": {func(z *fakeZone, second StartRequest) {
			z.scheduler.RunsListed(second.Target.ID, &rattanwork.Listing{Incarnation: firstIncarnation, Ended: []rattanwork.End{
				{Sequence: 1, Task: second.Task, Attempt: second.Attempt, Kind: rattanwork.EndDone},
			}}, z.now, z.voidBefore, z.now)
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newIncarnationZone(qt.New(t), 4)
			start := z.unansweredStart()
			z.listAt(start, firstIncarnation)
			second := z.scheduler.Take().Starts[0]
			z.accept(second)
			test.end(z, second)
			z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, test.told)
			z.scheduler.AbandonStarts(z.now)
			z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, test.told, qt.Commentf("answered starts count as outstanding"))
		})
	}
}

// TestGivenUpStartIsStoppedAlsoIfToldOf guards against a run that goes on for nobody:
// another instance tells the home of a start that the home itself has given up.
func TestGivenUpStartIsStoppedAlsoIfToldOf(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 4)
	late := z.unansweredStart()
	z.scheduler.Cancel(jobA, z.now)
	z.listAt(late, firstIncarnation)
	z.scheduler.AddOutstandingStarts([]OutstandingStart{{late.Task, late.Target.ID, late.Attempt, LateStartBound}}, z.now)
	z.advance(beyondRetention)
	z.scheduler.Take()
	z.listAt(late, firstIncarnation+1, runsOf(late)...)
	z.Check(z.scheduler.Take().Stops, qt.HasLen, 1)
}

// TestSuccessorTellsOfStartsOfUnknownJobs guards against two runs of a task: the caller
// of a lost home sends its job to another zone, which the successor has not told of the
// start that may still be carried out.
func TestSuccessorTellsOfStartsOfUnknownJobs(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 2)
	start := OutstandingStart{jobA + ".0.0.0", "t1", 2, 10 * time.Second}
	z.scheduler.AddOutstandingStarts([]OutstandingStart{start}, z.now)
	z.Check(z.scheduler.OutstandingStarts(z.now), qt.DeepEquals, []OutstandingStart{start})
	z.Check(z.scheduler.OutstandingStarts(z.now.Add(4*time.Second)), qt.HasLen, 1)
}

// TestListedRunIsNotBoundByLateList guards against a task that waits for one target after
// its run there has failed: other instances tell of its start after that is listed.
func TestListedRunIsNotBoundByLateList(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 2)
	start := OutstandingStart{jobA + ".0.0.0", "t0", 1, LateStartBound}
	z.listRuns(0, rattanwork.Listing{Incarnation: firstIncarnation, Running: []rattanwork.Run{{Task: start.Task, Attempt: start.Attempt}}})
	z.scheduler.AddOutstandingStarts([]OutstandingStart{start}, z.now)
	z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, 0)
	other := OutstandingStart{start.Task, "t0", 2, LateStartBound}
	z.scheduler.AddOutstandingStarts([]OutstandingStart{other}, z.now)
	z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, 1)
}
