package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	testService = "service"
	jobA        = "00000000000000aa"
	jobB        = "00000000000000bb"
)

// fakeZone drives a scheduler in virtual time.
type fakeZone struct {
	*qt.C
	scheduler *Scheduler
	now       time.Time
	// voidBefore is the time before which unanswered start requests are void.
	voidBefore time.Time
}

func newFakeZone(c *qt.C, targets int) *fakeZone {
	z := &fakeZone{C: c, now: time.Unix(1_800_000_000, 0)}
	z.scheduler = New(Config{MaxLease: time.Second, RemotePenalty: 1.5, TakeoverTime: z.now})
	var list []rattanwork.Target
	for i := range targets {
		list = append(list, testTarget(i))
	}
	z.scheduler.UpdateTargets(list, true, z.now)
	return z
}

// newReconciledZone returns a zone whose targets have all listed their runs.
func newReconciledZone(c *qt.C, targets int) *fakeZone {
	z := newFakeZone(c, targets)
	for i := range targets {
		z.listRuns(i, rattanwork.Listing{})
	}
	return z
}

func testTarget(index int) rattanwork.Target {
	return rattanwork.Target{
		ID:       fmt.Sprintf("t%d", index),
		Service:  testService,
		Capacity: rattanwork.Resources{MilliCPU: 32000, MemoryMB: 1000},
		Labels:   []string{"a", fmt.Sprintf("r%d", index/2)},
	}
}

func (z *fakeZone) advance(d time.Duration) {
	z.now = z.now.Add(d)
	z.scheduler.Tick(z.now)
}

func (z *fakeZone) listRuns(index int, listing rattanwork.Listing) {
	z.scheduler.RunsListed(fmt.Sprintf("t%d", index), &listing, z.now, z.voidBefore, z.now.Add(time.Millisecond))
	z.now = z.now.Add(2 * time.Millisecond)
}

func (z *fakeZone) submission(id string, tasks int) Submission {
	return Submission{
		Job: &rattanwork.Job{ID: id, Steps: []rattanwork.Step{{
			Count:     tasks,
			Resources: rattanwork.Resources{MilliCPU: 14000, MemoryMB: 64},
			Estimate:  100 * time.Millisecond,
		}}},
		Service:     testService,
		MaxAttempts: 3,
		Objective:   z.now.Add(300 * time.Millisecond),
		LateUntil:   z.now.Add(900 * time.Millisecond),
		Deadline:    z.now.Add(2 * time.Second),
	}
}

func (z *fakeZone) accept(start StartRequest) {
	z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, z.now)
	z.now = z.now.Add(time.Millisecond)
}

func runsOf(starts ...StartRequest) []rattanwork.Run {
	var list []rattanwork.Run
	for _, start := range starts {
		list = append(list, rattanwork.Run{Task: start.Task, Attempt: start.Attempt, Percent: 50})
	}
	return list
}

// TestJobSucceedsWhenTasksAreDone guards against a job that is not answered
// after all its tasks are done.
func TestJobSucceedsWhenTasksAreDone(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.accept(starts[1])
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}, Running: runsOf(starts[1])})
	z.Assert(z.scheduler.Take().Results, qt.HasLen, 0)
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 2, Task: starts[1].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Assert(results[0].Outcome, qt.Equals, Succeeded)
	z.Assert(z.scheduler.targets["t0"].free, qt.Equals, testTarget(0).Capacity)
}

// TestUncertainRunKeepsCapacity guards against overcommitting a target: a start
// request without an answer may still be executed, so its resources must stay
// reserved.
func TestUncertainRunKeepsCapacity(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		z.scheduler.StartAnswered("t0", start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
	}
	z.advance(time.Millisecond)
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.listRuns(0, rattanwork.Listing{})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	// The target has seen a higher token, which voids the earlier requests.
	z.voidBefore = z.now
	z.advance(time.Millisecond)
	z.listRuns(0, rattanwork.Listing{})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
}

// TestListedUncertainRunIsNotStopped guards against stopping a run whose start
// was not answered although the target lists it.
func TestListedUncertainRunIsNotStopped(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.scheduler.StartAnswered("t0", starts[0].Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
	z.Assert(z.scheduler.HasUnresolvedRuns("t0"), qt.IsTrue)
	z.advance(time.Millisecond)
	z.listRuns(0, rattanwork.Listing{Running: runsOf(starts...)})
	z.Assert(z.scheduler.HasUnresolvedRuns("t0"), qt.IsFalse)
	output := z.scheduler.Take()
	z.Assert(output.Stops, qt.HasLen, 0)
	z.Assert(output.Starts, qt.HasLen, 0)
}

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

// TestRestartedTarget guards against keeping the runs of a previous
// incarnation, and against releasing the resources of start requests that may
// still arrive at the new one.
func TestRestartedTarget(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.listRuns(0, rattanwork.Listing{Incarnation: 10})
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.scheduler.StartAnswered("t0", starts[1].Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
	z.advance(time.Millisecond)
	z.listRuns(0, rattanwork.Listing{Incarnation: 20})
	output := z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 1)
	z.Assert(output.Starts[0].Task, qt.Equals, starts[0].Task)
	z.Assert(output.Starts[0].Attempt, qt.Equals, 2)
	z.Assert(z.scheduler.targets["t0"].free.MilliCPU, qt.Equals, 32000-2*14000)
	z.Assert(z.scheduler.HasUnresolvedRuns("t0"), qt.IsTrue)
}

// TestRefusedOnlyIfNothingStarted guards against telling a caller that its job
// has not run although one of its tasks may have.
func TestRefusedOnlyIfNothingStarted(t *testing.T) {
	tests := map[string]struct {
		resumed bool
		want    Outcome
	}{
		"submitted once":               {resumed: false, want: Refused},
		"submitted to an earlier home": {resumed: true, want: Expired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newFakeZone(qt.New(t), 1)
			submission := z.submission(jobA, 1)
			submission.Resumed = test.resumed
			z.scheduler.Submit(submission, z.now)
			z.advance(time.Second)
			results := z.scheduler.Take().Results
			z.Assert(results, qt.HasLen, 1)
			z.Assert(results[0].Outcome, qt.Equals, test.want)
		})
	}
}

// TestImpossibleJobIsRefused guards against queueing a job that no target could
// ever run.
func TestImpossibleJobIsRefused(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	submission := z.submission(jobA, 1)
	submission.Job.Steps[0].Resources.MilliCPU = 40000
	z.scheduler.Submit(submission, z.now)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Assert(results[0].Outcome, qt.Equals, Refused)
	z.Assert(results[0].RetryAfter > 0, qt.IsTrue)
}

// TestJobWithTooSlowRunExpires guards against keeping the caller waiting and
// the resources occupied by a run that cannot end before the caller's deadline.
func TestJobWithTooSlowRunExpires(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	submission := z.submission(jobA, 1)
	submission.Job.Steps[0].Estimate = 2500 * time.Millisecond
	submission.Objective = z.now.Add(4 * time.Second)
	submission.LateUntil = z.now.Add(12 * time.Second)
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.accept(starts[0])
	z.advance(300 * time.Millisecond)
	z.listRuns(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: starts[0].Task, Attempt: 1, Percent: 5}}})
	output := z.scheduler.Take()
	z.Assert(output.Results, qt.HasLen, 1)
	z.Assert(output.Results[0].Outcome, qt.Equals, Expired)
	z.Assert(output.Stops, qt.HasLen, 1)
}

// TestUnresponsiveTargetKeepsUncertainRuns guards against overcommitting a
// target that executes a start request late: the task restarts elsewhere, but
// the resources stay reserved.
func TestUnresponsiveTargetKeepsUncertainRuns(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	z.scheduler.StartAnswered(start.Target.ID, start.Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
	z.scheduler.TargetUnresponsive(start.Target.ID, false, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.scheduler.TargetUnresponsive(start.Target.ID, true, z.now)
	restarted := z.scheduler.Take().Starts
	z.Assert(restarted, qt.HasLen, 1)
	z.Assert(restarted[0].Target.ID, qt.Not(qt.Equals), start.Target.ID)
	z.Assert(z.scheduler.targets[start.Target.ID].free, qt.Not(qt.Equals), testTarget(0).Capacity)
}

// TestFailingTargetIsSuspended guards against assigning more work to a target
// that fails every run.
func TestFailingTargetIsSuspended(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	sequence := int64(0)
	for _, id := range []string{jobA, jobB} {
		z.scheduler.Submit(z.submission(id, 1), z.now)
		z.scheduler.Tick(z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		sequence++
		z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: sequence, Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndFailed}}})
		z.scheduler.Cancel(id, z.now)
		z.scheduler.Take()
	}
	z.Assert(z.scheduler.targets["t0"].usable(z.now), qt.IsFalse)
	z.Assert(z.scheduler.targets["t0"].usable(z.now.Add(minSuspension)), qt.IsTrue)
}

// TestFailsAfterMaxAttempts guards against retrying a task forever although
// each of its runs fails.
func TestFailsAfterMaxAttempts(t *testing.T) {
	z := newReconciledZone(qt.New(t), 4)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	sequences := map[string]int64{}
	for attempt := 1; attempt <= 3; attempt++ {
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		sequences[start.Target.ID]++
		z.scheduler.RunsListed(start.Target.ID, &rattanwork.Listing{Ended: []rattanwork.End{
			{Sequence: sequences[start.Target.ID], Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndFailed},
		}}, z.now, z.voidBefore, z.now)
	}
	output := z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 0)
	z.Assert(output.Results, qt.HasLen, 1)
	z.Assert(output.Results[0].Outcome, qt.Equals, Failed)
}

// TestStepConstraints guards against a start before earlier steps are done, on
// a target without the label, or beyond the maximum number of tasks per target.
func TestStepConstraints(t *testing.T) {
	z := newReconciledZone(qt.New(t), 4)
	submission := z.submission(jobA, 1)
	first := submission.Job.Steps[0]
	first.Label = "r1"
	second := first
	second.Label = ""
	second.Count = 2
	second.MaxPerTarget = 1
	second.After = []int{0}
	submission.Job.Steps = []rattanwork.Step{first, second}
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Assert(starts[0].Target.HasLabel("r1"), qt.IsTrue)
	z.accept(starts[0])
	z.scheduler.RunsListed(starts[0].Target.ID, &rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}}, z.now, z.voidBefore, z.now)
	starts = z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.Assert(starts[0].Target.ID, qt.Not(qt.Equals), starts[1].Target.ID)
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

// TestStartedJobsGoFirst guards against started jobs that stay incomplete at
// peak load because jobs without any run overtake them.
func TestStartedJobsGoFirst(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 3), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.accept(starts[1])
	urgent := z.submission(jobB, 1)
	urgent.Objective = z.now.Add(250 * time.Millisecond)
	z.scheduler.Submit(urgent, z.now)
	z.listRuns(0, rattanwork.Listing{Running: runsOf(starts[1]), Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	next := z.scheduler.Take().Starts
	z.Assert(next, qt.HasLen, 1)
	z.Assert(next[0].Task, qt.Equals, jobA+".0.0.2")
}

// TestOverloadRefusesJobs guards against keeping a caller waiting although the
// work scheduled before its job takes longer than the job can wait.
func TestOverloadRefusesJobs(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	for i := range 12 {
		z.scheduler.Submit(z.submission(fmt.Sprintf("%016x", i), 2), z.now)
		z.scheduler.Tick(z.now)
	}
	refused := 0
	for _, result := range z.scheduler.Take().Results {
		z.Check(result.Outcome, qt.Equals, Refused)
		z.Check(result.Elapsed, qt.Equals, time.Duration(0))
		refused++
	}
	// Two tasks run at a time for 100 ms each, and jobs may wait for 200 ms:
	// one job runs, and two to four wait.
	z.Check(refused >= 7 && refused <= 9, qt.IsTrue, qt.Commentf("%d refused", refused))
}

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

// TestRefuseNewJob guards against refusing a job of which an earlier run may be
// active or has completed, and against refusing one that another zone has room
// for.
func TestRefuseNewJob(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	start := z.scheduler.Take().Starts[0]
	z.accept(start)
	z.Check(z.scheduler.IsNew(z.submission(jobA, 1)), qt.IsFalse)
	z.scheduler.Cancel(jobA, z.now)
	z.Check(z.scheduler.IsNew(z.submission(jobA, 1)), qt.IsFalse, qt.Commentf("its run is being stopped"))
	z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: start.Task, Attempt: 1, Kind: rattanwork.EndStopped},
		{Sequence: 2, Task: jobB + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone},
	}})
	z.Check(z.scheduler.IsNew(z.submission(jobA, 1)), qt.IsTrue)
	z.Check(z.scheduler.IsNew(z.submission(jobB, 1)), qt.IsFalse, qt.Commentf("an earlier home has completed it"))
	z.scheduler.Take()
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 20000}})
	submission := z.submission(jobA, 1)
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

// TestTaskMovesFromSlowTarget guards against waiting for a task that makes no
// progress on its target while another target could complete it, and against
// assigning more work to such a target.
func TestTaskMovesFromSlowTarget(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	z.accept(start)
	z.advance(200 * time.Millisecond)
	index := int(start.Target.ID[1] - '0')
	z.listRuns(index, rattanwork.Listing{Running: []rattanwork.Run{{Task: start.Task, Attempt: 1}}})
	output := z.scheduler.Take()
	z.Assert(output.Results, qt.HasLen, 0)
	z.Assert(output.Stops, qt.HasLen, 1)
	z.listRuns(index, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: start.Task, Attempt: 1, Kind: rattanwork.EndStopped}}})
	restarted := z.scheduler.Take().Starts
	z.Assert(restarted, qt.HasLen, 1)
	z.Assert(restarted[0].Target.ID, qt.Not(qt.Equals), start.Target.ID)
	// A second job without progress on the target suspends it.
	z.scheduler.recordSlowRun(&run{target: z.scheduler.targets[start.Target.ID], task: &task{job: &job{}}}, z.now)
	z.Assert(z.scheduler.targets[start.Target.ID].usable(z.now), qt.IsFalse)
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

// TestLostListingsDoNotCountAsSlow guards against suspending a target, and
// against learning longer run times, because the listing that reported the end
// of a run was lost.
func TestLostListingsDoNotCountAsSlow(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	for i, id := range []string{jobA, jobB} {
		z.scheduler.Submit(z.submission(id, 1), z.now)
		z.scheduler.Tick(z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		z.scheduler.ListFailed("t0")
		z.advance(450 * time.Millisecond)
		z.listRuns(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: int64(i + 1), Task: start.Task, Attempt: 1, Kind: rattanwork.EndDone}}})
		z.Assert(z.scheduler.Take().Results, qt.HasLen, 1)
	}
	z.Assert(z.scheduler.targets["t0"].usable(z.now), qt.IsTrue)
	z.scheduler.Submit(z.submission("00000000000000cc", 1), z.now)
	z.Assert(z.scheduler.estimator.expectedRunTime(z.scheduler.jobs["00000000000000cc"], 0), qt.Equals, 100*time.Millisecond)
}

// gangSubmission returns a job whose tasks form a gang.
func (z *fakeZone) gangSubmission(id string, tasks int) Submission {
	submission := z.submission(id, tasks)
	submission.Job.Steps[0].Gang = true
	return submission
}

// listStarted makes a target list those of the runs that were started on it,
// and the given ended runs.
func (z *fakeZone) listStarted(id string, starts []StartRequest, ends ...rattanwork.End) {
	var onTarget []StartRequest
	for _, start := range starts {
		if start.Target.ID == id {
			onTarget = append(onTarget, start)
		}
	}
	z.scheduler.RunsListed(id, &rattanwork.Listing{Running: runsOf(onTarget...), Ended: ends}, z.now, z.voidBefore, z.now.Add(time.Millisecond))
	z.now = z.now.Add(2 * time.Millisecond)
}

// TestGangStartsTogether guards against starting only some tasks of a gang for
// lack of resources, and against mixing attempts within a gang.
func TestGangStartsTogether(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.scheduler.Submit(z.gangSubmission(jobA, 4), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.accept(starts[0])
	z.listStarted(starts[0].Target.ID, nil, rattanwork.End{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone})
	gang := z.scheduler.Take().Starts
	z.Assert(gang, qt.HasLen, 4)
	for _, start := range gang {
		z.Check(start.Attempt, qt.Equals, 1)
	}
	// If one task is refused, the others are stopped and the whole gang
	// restarts.
	for _, start := range gang[1:] {
		z.accept(start)
	}
	z.scheduler.StartAnswered(gang[0].Target.ID, gang[0].Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartNoResources}, z.now)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Assert(output.Stops, qt.HasLen, 3)
	for _, stop := range output.Stops {
		z.scheduler.StopAnswered(stop.Target.ID, stop.Task, 1, z.now)
	}
	z.advance(refusalSuspension)
	for _, id := range []string{"t0", "t1"} {
		z.listStarted(id, nil)
	}
	z.advance(refusalSuspension)
	restarted := z.scheduler.Take().Starts
	z.Assert(restarted, qt.HasLen, 4)
	for _, start := range restarted {
		z.Check(start.Attempt, qt.Equals, 2)
	}
}

// TestGangEndsTogether guards against waiting for the end of every task of a
// gang, against releasing a task's resources before its end is listed, and
// against counting the failure of one attempt once per task.
func TestGangEndsTogether(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	submission := z.gangSubmission(jobA, 3)
	submission.MaxAttempts = 2
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	first := z.scheduler.Take().Starts
	z.Assert(first, qt.HasLen, 3)
	ends := map[string][]rattanwork.End{}
	for _, start := range first {
		z.accept(start)
		id := start.Target.ID
		ends[id] = append(ends[id], rattanwork.End{Sequence: int64(len(ends[id]) + 1), Task: start.Task, Attempt: 1, Kind: rattanwork.EndFailed})
	}
	for id, list := range ends {
		z.listStarted(id, nil, list...)
	}
	output := z.scheduler.Take()
	z.Assert(output.Results, qt.HasLen, 0)
	second := output.Starts
	z.Assert(second, qt.HasLen, 3)
	for _, start := range second {
		z.accept(start)
	}
	id := second[0].Target.ID
	z.listStarted(id, second[1:], rattanwork.End{Sequence: int64(len(ends[id]) + 1), Task: second[0].Task, Attempt: 2, Kind: rattanwork.EndDone})
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Assert(results[0].Outcome, qt.Equals, Succeeded)
	free := z.scheduler.FreeMilliCPU(z.now)
	z.Assert(free, qt.Equals, 2*32000-2*14000)
}

// TestGangOnOneRack guards against spreading tasks over racks although one rack
// has the resources for all of them, and against waiting for such a rack if
// there is none.
func TestGangOnOneRack(t *testing.T) {
	z := newFakeZone(qt.New(t), 4)
	var list []rattanwork.Target
	for i := range 4 {
		target := testTarget(i)
		target.Rack = target.Labels[1]
		list = append(list, target)
	}
	z.scheduler.UpdateTargets(list, true, z.now)
	for i := range 4 {
		z.listRuns(i, rattanwork.Listing{})
	}
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	submission := z.gangSubmission(jobA, 4)
	submission.Job.Steps[0].SameRack = true
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 5)
	for _, start := range starts[1:] {
		z.Check(start.Target.Rack, qt.Equals, starts[1].Target.Rack)
	}
	rackStep := z.submission("00000000000000cc", 3)
	rackStep.Job.Steps[0].SameRack = true
	z.scheduler.Submit(rackStep, z.now)
	z.scheduler.Tick(z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 3)
}

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

// TestVanishedTargetIsRemoved guards against keeping a vanished target forever
// because of an unanswered start request, and against releasing its resources
// while that request may still be executed.
func TestVanishedTargetIsRemoved(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	z.scheduler.Take()
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	vanished := start.Target.ID
	z.scheduler.StartAnswered(vanished, start.Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartUnknown}, z.now)
	z.scheduler.TargetUnresponsive(vanished, true, z.now)
	remaining := testTarget(1 - int(vanished[1]-'0'))
	z.scheduler.UpdateTargets([]rattanwork.Target{remaining}, true, z.now)
	events := z.scheduler.Take().Targets
	z.Assert(events, qt.DeepEquals, []TargetEvent{{Target: vanished, Change: TargetVanished, Runs: 1}})
	z.advance(lateStartBound - time.Second)
	z.Assert(z.scheduler.HasRuns(vanished), qt.IsTrue)
	z.advance(time.Second)
	_, known := z.scheduler.Target(vanished)
	z.Assert(known, qt.IsFalse)
	z.Assert(z.scheduler.Take().Targets, qt.DeepEquals, []TargetEvent{{Target: vanished, Change: TargetRemoved, Runs: 1}})
}

// TestObjectiveFollowsLearnedRunTimes guards against classifying jobs as late,
// and starving them, because their declared run times are too short: the
// objective depends on the actual ones.
func TestObjectiveFollowsLearnedRunTimes(t *testing.T) {
	z := newFakeZone(qt.New(t), 1)
	submission := z.submission(jobA, 1)
	// The objective is 60 ms + 1.6 * 100 ms (the declared run time) after the
	// submission, LateUntil three times that.
	submission.SlackFactor = 1.6
	submission.Objective = z.now.Add(220 * time.Millisecond)
	submission.LateUntil = z.now.Add(660 * time.Millisecond)
	z.scheduler.Submit(submission, z.now)
	j := z.scheduler.jobs[jobA]
	z.Assert(j.timing.classify(z.now.Add(100*time.Millisecond)), qt.Equals, timelinessOnTime)
	for range 100 {
		z.scheduler.estimator.observe(j, 0, &run{}, 200*time.Millisecond)
	}
	z.scheduler.refreshEstimates(z.now)
	// With run times of 200 ms the objective is 380 ms after the submission.
	z.Check(j.timing.classify(z.now.Add(175*time.Millisecond)), qt.Equals, timelinessOnTime)
	z.Check(j.timing.classify(z.now.Add(185*time.Millisecond)), qt.Equals, timelinessLate)
	z.Check(j.timing.classify(z.now.Add(935*time.Millisecond)), qt.Equals, timelinessLate)
	z.Check(j.timing.classify(z.now.Add(945*time.Millisecond)), qt.Equals, timelinessExpired)
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
	// to expire first.
	z.scheduler = New(Config{MaxLease: time.Second, TakeoverTime: z.now})
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, false, z.now)
	z.listRuns(0, rattanwork.Listing{})
	submission = z.submission(jobB, 1)
	submission.Resumed = true
	submission.LateUntil = z.now.Add(3 * time.Second)
	submission.Deadline = submission.LateUntil
	z.scheduler.Submit(submission, z.now)
	z.advance(1100 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.advance(100 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestFailedTaskWaitsForAnotherTarget guards against using up all attempts of a
// task on a target that fails every run while the other targets are full.
func TestFailedTaskWaitsForAnotherTarget(t *testing.T) {
	z := newReconciledZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobB, 4), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	for _, start := range starts {
		z.accept(start)
	}
	z.listStarted("t0", nil, rattanwork.End{Sequence: 1, Task: jobB + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone},
		rattanwork.End{Sequence: 2, Task: jobB + ".0.0.1", Attempt: 1, Kind: rattanwork.EndDone})
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	z.Assert(start.Target.ID, qt.Equals, "t0")
	z.accept(start)
	z.listStarted("t0", nil, rattanwork.End{Sequence: 3, Task: start.Task, Attempt: 1, Kind: rattanwork.EndFailed})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listStarted("t1", starts[3:], rattanwork.End{Sequence: 1, Task: jobB + ".0.0.2", Attempt: 1, Kind: rattanwork.EndDone})
	restarted := z.scheduler.Take().Starts
	z.Assert(restarted, qt.HasLen, 1)
	z.Assert(restarted[0].Target.ID, qt.Equals, "t1")
}
