package rattanscheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanred"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// occupy fills the target of a zone, and returns a job that waits for room there and
// the function that makes room.
func (z *fakeZone) occupy() (waiting Submission, makeRoom func()) {
	z.Helper()
	z.scheduler.Submit(z.submission(jobB, 2), z.now)
	running := z.scheduler.Take().Starts
	z.Assert(running, qt.HasLen, 2)
	waiting = z.submission(jobA, 1)
	waiting.Redirectable = true
	z.scheduler.Submit(waiting, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	return waiting, func() {
		z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
			{Sequence: 1, Task: running[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
			{Sequence: 2, Task: running[1].Task, Attempt: 1, Kind: rattanwork.EndDone},
		}})
	}
}

// TestJobThatWasResumedIsNotRefused guards against a refusal of a job that has run: the second one of its submissions may have started it before, the first one has not.
func TestJobThatWasResumedIsNotRefused(t *testing.T) {
	for name, zones := range map[string][]RemoteZone{"no other zone": nil, "room in another zone": {{Zone: "b", FreeMilliCPU: 60000}}} {
		t.Run(name, func(t *testing.T) {
			rattanred.SkipKnownFailure(t)
			z := newReconciledZone(qt.New(t), 1)
			resumed, _ := z.occupy()
			resumed.Resumed, resumed.Redirectable = true, false
			z.scheduler.Submit(resumed, z.now)
			z.scheduler.SetRemoteZones(zones)
			z.advance(time.Second)
			results := z.scheduler.Take().Results
			z.Assert(results, qt.HasLen, 1)
			z.Check(results[0].Outcome, qt.Equals, Expired)
		})
	}
}

// TestKnownJobWithRemoteStartStaysThere guards against two runs of a task in two zones: a zone learns of a start in another one when it knows the job already.
func TestKnownJobWithRemoteStartStaysThere(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	_, makeRoom := z.occupy()
	z.scheduler.AddRemoteStarts("b", []OutstandingStart{{Task: jobA + ".0.0.0", Target: "tb", Attempt: 1, Remaining: LateStartBound}}, z.now)
	makeRoom()
	z.advance(10 * time.Millisecond)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	for _, result := range output.Results {
		z.Check(result.JobID == jobA && result.Outcome == Refused, qt.IsFalse, qt.Commentf("%s", result.Reason))
	}
}

// TestRedirectionOutlivesLeases guards against two runs of a task in two zones: a job is sent again after its deadline, while a target that is out of reach still runs it in the other zone.
func TestRedirectionOutlivesLeases(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	redirected, makeRoom := z.occupy()
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 60000}})
	z.advance(redirectDelay)
	z.scheduler.SetRemoteZones(nil)
	makeRoom()
	z.advance(redirected.Deadline.Sub(z.now) + time.Millisecond)
	z.scheduler.Take()
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.Check(z.scheduler.Take().Starts, qt.HasLen, 0, qt.Commentf("the leases of the other zone's runs last up to %s longer", z.scheduler.longestLease()))
}

// TestOutstandingStartIsToldUntilItExpires guards against a successor that does not know of a start of a cancelled job, which may still be carried out.
func TestOutstandingStartIsToldUntilItExpires(t *testing.T) {
	z := newIncarnationZone(qt.New(t), 2)
	z.unansweredStart()
	z.scheduler.Cancel(jobA, z.now)
	z.advance(LateStartBound / 2)
	z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, 1)
	z.advance(LateStartBound)
	z.Check(z.scheduler.OutstandingStarts(z.now), qt.HasLen, 0)
}
