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

// zone drives a scheduler in virtual time.
type zone struct {
	*qt.C
	scheduler *Scheduler
	now       time.Time
	// void is since when orders without an answer can do nothing any more.
	void time.Time
}

func newZone(c *qt.C, targets int) *zone {
	z := &zone{C: c, now: time.Unix(1_800_000_000, 0)}
	z.scheduler = New(Config{MaxLease: time.Second, RemotePenalty: 1.5, TakenOver: z.now})
	var list []rattanwork.Target
	for i := range targets {
		list = append(list, testTarget(i))
	}
	z.scheduler.UpdateTargets(list, true, z.now)
	return z
}

// newListedZone returns a zone whose targets have all listed their runs.
func newListedZone(c *qt.C, targets int) *zone {
	z := newZone(c, targets)
	for i := range targets {
		z.list(i, rattanwork.Listing{})
	}
	return z
}

func testTarget(i int) rattanwork.Target {
	return rattanwork.Target{
		ID:       fmt.Sprintf("t%d", i),
		Service:  testService,
		Capacity: rattanwork.Resources{MilliCPU: 32000, MemoryMB: 1000},
		Labels:   []string{"a", fmt.Sprintf("r%d", i/2)},
	}
}

func (z *zone) pass(d time.Duration) {
	z.now = z.now.Add(d)
	z.scheduler.Tick(z.now)
}

func (z *zone) list(i int, listing rattanwork.Listing) {
	z.scheduler.Listed(fmt.Sprintf("t%d", i), &listing, z.now, z.void, z.now.Add(time.Millisecond))
	z.now = z.now.Add(2 * time.Millisecond)
}

func (z *zone) submission(id string, tasks int) Submission {
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

func (z *zone) accept(order StartOrder) {
	z.scheduler.StartAnswered(order.Target.ID, order.Task, order.Attempt, rattanwork.StartAccepted, z.now)
	z.now = z.now.Add(time.Millisecond)
}

func running(orders ...StartOrder) []rattanwork.Run {
	var list []rattanwork.Run
	for _, order := range orders {
		list = append(list, rattanwork.Run{Task: order.Task, Attempt: order.Attempt, Percent: 50})
	}
	return list
}

// TestCompletes guards against a job that is not answered when all its tasks
// have ended.
func TestCompletes(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.accept(starts[1])
	z.list(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}, Running: running(starts[1])})
	z.Assert(z.scheduler.Take().Ended, qt.HasLen, 0)
	z.list(0, rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 2, Task: starts[1].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	ended := z.scheduler.Take().Ended
	z.Assert(ended, qt.HasLen, 1)
	z.Assert(ended[0].Outcome, qt.Equals, Succeeded)
	z.Assert(z.scheduler.targets["t0"].free, qt.Equals, testTarget(0).Capacity)
}

// TestRoomIsNeverOverrun guards against a start on a target whose room is
// taken by an order without an answer.
func TestRoomIsNeverOverrun(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	for _, order := range starts {
		z.scheduler.StartAnswered("t0", order.Task, order.Attempt, rattanwork.StartUnknown, z.now)
	}
	z.pass(time.Millisecond)
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.list(0, rattanwork.Listing{})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	// The target has seen a higher token: the orders can do nothing any more.
	z.void = z.now
	z.pass(time.Millisecond)
	z.list(0, rattanwork.Listing{})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
}

// TestUncertainRunIsKept guards against stopping a run whose answer was lost
// although the target lists it.
func TestUncertainRunIsKept(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.scheduler.StartAnswered("t0", starts[0].Task, 1, rattanwork.StartUnknown, z.now)
	z.Assert(z.scheduler.Settling("t0"), qt.IsTrue)
	z.pass(time.Millisecond)
	z.list(0, rattanwork.Listing{Running: running(starts...)})
	z.Assert(z.scheduler.Settling("t0"), qt.IsFalse)
	output := z.scheduler.Take()
	z.Assert(output.Stops, qt.HasLen, 0)
	z.Assert(output.Starts, qt.HasLen, 0)
}

// TestListedRunIsBoundToItsJob guards against a second run of a task after a
// change of the home, when the job is presented before its run is listed.
func TestListedRunIsBoundToItsJob(t *testing.T) {
	z := newZone(qt.New(t), 2)
	z.list(1, rattanwork.Listing{})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.pass(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	name := jobA + ".0.0.0"
	z.list(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: name, Attempt: 4, Percent: 10}}})
	z.pass(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.list(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: name, Attempt: 4, Kind: rattanwork.EndDone}}})
	ended := z.scheduler.Take().Ended
	z.Assert(ended, qt.HasLen, 1)
	z.Assert(ended[0].Outcome, qt.Equals, Succeeded)
	z.Assert(z.scheduler.targets["t0"].free, qt.Equals, testTarget(0).Capacity)
}

// TestEndBeforePresentation guards against a second run of a task that ended
// between two homes.
func TestEndBeforePresentation(t *testing.T) {
	z := newZone(qt.New(t), 1)
	name := jobA + ".0.0.0"
	z.list(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: name, Attempt: 1, Kind: rattanwork.EndDone}}})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	output := z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 0)
	z.Assert(output.Ended, qt.HasLen, 1)
	z.Assert(output.Ended[0].Outcome, qt.Equals, Succeeded)
}

// TestSecondSubmissionWaitsForFirstRuns guards against two runs of a task when
// a job is presented again while its cancelled runs are still being stopped.
func TestSecondSubmissionWaitsForFirstRuns(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.accept(starts[0])
	z.scheduler.Cancel(jobA, z.now)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.pass(time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	index := 0
	if starts[0].Target.ID == "t1" {
		index = 1
	}
	z.list(index, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndStopped}}})
	z.pass(time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestRebornTarget guards against keeping the runs of a former life, and
// against freeing the room of orders that may still arrive in the new one.
func TestRebornTarget(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.list(0, rattanwork.Listing{Incarnation: 10})
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.scheduler.StartAnswered("t0", starts[1].Task, 1, rattanwork.StartUnknown, z.now)
	z.pass(time.Millisecond)
	z.list(0, rattanwork.Listing{Incarnation: 20})
	output := z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 1)
	z.Assert(output.Starts[0].Task, qt.Equals, starts[0].Task)
	z.Assert(output.Starts[0].Attempt, qt.Equals, 2)
	z.Assert(z.scheduler.targets["t0"].free.MilliCPU, qt.Equals, 32000-2*14000)
	z.Assert(z.scheduler.Settling("t0"), qt.IsTrue)
}

// TestRefusedOnlyIfNothingStarted guards against telling a caller that its job
// has not run when a task of it may have.
func TestRefusedOnlyIfNothingStarted(t *testing.T) {
	tests := map[string]struct {
		resumed bool
		want    Outcome
	}{
		"never presented":             {resumed: false, want: Refused},
		"presented to another before": {resumed: true, want: Expired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newZone(qt.New(t), 1)
			submission := z.submission(jobA, 1)
			submission.Resumed = test.resumed
			z.scheduler.Submit(submission, z.now)
			z.pass(time.Second)
			ended := z.scheduler.Take().Ended
			z.Assert(ended, qt.HasLen, 1)
			z.Assert(ended[0].Outcome, qt.Equals, test.want)
		})
	}
}

// TestUnservableIsRefusedAtOnce guards against holding a job that no target can
// ever run.
func TestUnservableIsRefusedAtOnce(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	submission := z.submission(jobA, 1)
	submission.Job.Steps[0].Resources.MilliCPU = 40000
	z.scheduler.Submit(submission, z.now)
	ended := z.scheduler.Take().Ended
	z.Assert(ended, qt.HasLen, 1)
	z.Assert(ended[0].Outcome, qt.Equals, Refused)
	z.Assert(ended[0].RetryAfter > 0, qt.IsTrue)
}

// TestSlowRunIsGivenUpEarly guards against holding a caller and the room of a
// run that cannot end before the caller leaves.
func TestSlowRunIsGivenUpEarly(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	submission := z.submission(jobA, 1)
	submission.Job.Steps[0].Estimate = 2500 * time.Millisecond
	submission.Objective = z.now.Add(4 * time.Second)
	submission.LateUntil = z.now.Add(12 * time.Second)
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.accept(starts[0])
	z.pass(300 * time.Millisecond)
	z.list(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: starts[0].Task, Attempt: 1, Percent: 5}}})
	output := z.scheduler.Take()
	z.Assert(output.Ended, qt.HasLen, 1)
	z.Assert(output.Ended[0].Outcome, qt.Equals, Expired)
	z.Assert(output.Stops, qt.HasLen, 1)
}

// TestSilentTargetKeepsRoomOfUncertainOrders guards against a second run on a
// target that carries an order out late.
func TestSilentTargetKeepsRoomOfUncertainOrders(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	z.scheduler.StartAnswered(start.Target.ID, start.Task, 1, rattanwork.StartUnknown, z.now)
	z.scheduler.Silent(start.Target.ID, false, z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.scheduler.Silent(start.Target.ID, true, z.now)
	again := z.scheduler.Take().Starts
	z.Assert(again, qt.HasLen, 1)
	z.Assert(again[0].Target.ID, qt.Not(qt.Equals), start.Target.ID)
	z.Assert(z.scheduler.targets[start.Target.ID].free, qt.Not(qt.Equals), testTarget(0).Capacity)
}

// TestFailingTargetIsSuspended guards against sending more work to a target
// that fails all it starts.
func TestFailingTargetIsSuspended(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	sequence := int64(0)
	for _, id := range []string{jobA, jobB} {
		z.scheduler.Submit(z.submission(id, 1), z.now)
		z.scheduler.Tick(z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		sequence++
		z.list(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: sequence, Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndFailed}}})
		z.scheduler.Cancel(id, z.now)
		z.scheduler.Take()
	}
	z.Assert(z.scheduler.targets["t0"].usable(z.now), qt.IsFalse)
	z.Assert(z.scheduler.targets["t0"].usable(z.now.Add(suspensionFirst)), qt.IsTrue)
}

// TestFailsAfterMaxAttempts guards against endless retries of a job that can
// never be done.
func TestFailsAfterMaxAttempts(t *testing.T) {
	z := newListedZone(qt.New(t), 4)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	sequences := map[string]int64{}
	for attempt := 1; attempt <= 3; attempt++ {
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		sequences[start.Target.ID]++
		z.scheduler.Listed(start.Target.ID, &rattanwork.Listing{Ended: []rattanwork.End{
			{Sequence: sequences[start.Target.ID], Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndFailed},
		}}, z.now, z.void, z.now)
	}
	output := z.scheduler.Take()
	z.Assert(output.Starts, qt.HasLen, 0)
	z.Assert(output.Ended, qt.HasLen, 1)
	z.Assert(output.Ended[0].Outcome, qt.Equals, Failed)
}

// TestStepsAndLabels guards against a start before earlier steps are done, on a
// target without the label, or beyond the limit of tasks on one target.
func TestStepsAndLabels(t *testing.T) {
	z := newListedZone(qt.New(t), 4)
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
	z.scheduler.Listed(starts[0].Target.ID, &rattanwork.Listing{Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}}, z.now, z.void, z.now)
	starts = z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.Assert(starts[0].Target.ID, qt.Not(qt.Equals), starts[1].Target.ID)
}

// TestOrphanIsStopped guards against runs that nobody waits for.
func TestOrphanIsStopped(t *testing.T) {
	z := newZone(qt.New(t), 1)
	z.list(0, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.pass(orphanGrace / 2)
	z.Assert(z.scheduler.Take().Stops, qt.HasLen, 0)
	z.pass(orphanGrace)
	z.Assert(z.scheduler.Take().Stops, qt.HasLen, 1)
}

// TestBegunJobsGoFirst guards against jobs that stay incomplete at the crest
// because others of which nothing has run overtake them.
func TestBegunJobsGoFirst(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobA, 3), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	z.accept(starts[0])
	z.accept(starts[1])
	urgent := z.submission(jobB, 1)
	urgent.Objective = z.now.Add(250 * time.Millisecond)
	z.scheduler.Submit(urgent, z.now)
	z.list(0, rattanwork.Listing{Running: running(starts[1]), Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone},
	}})
	next := z.scheduler.Take().Starts
	z.Assert(next, qt.HasLen, 1)
	z.Assert(next[0].Task, qt.Equals, jobA+".0.0.2")
}

// TestCrowdedJobIsRefusedAtOnce guards against holding a caller although the
// work that goes before its job already takes longer than the job can wait.
func TestCrowdedJobIsRefusedAtOnce(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	for i := range 12 {
		z.scheduler.Submit(z.submission(fmt.Sprintf("%016x", i), 2), z.now)
		z.scheduler.Tick(z.now)
	}
	refused := 0
	for _, ended := range z.scheduler.Take().Ended {
		z.Check(ended.Outcome, qt.Equals, Refused)
		z.Check(ended.Elapsed, qt.Equals, time.Duration(0))
		refused++
	}
	// Two tasks run at a time for 100 ms each, and jobs may wait for 200 ms:
	// one job runs, and two to four wait.
	z.Check(refused >= 7 && refused <= 9, qt.IsTrue, qt.Commentf("%d refused", refused))
}

// TestRedirect guards against refusing or holding a job that another zone has
// room for, against sending more there than fits, and against moving a job
// twice or after it may have started.
func TestRedirect(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.scheduler.SetElsewhere([]RemoteZone{{Zone: "b", FreeMilliCPU: 60000}, {Zone: "c", FreeMilliCPU: 200000}})
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	submit := func(id string, change func(*Submission)) {
		submission := z.submission(id, 4)
		submission.MayMove = true
		change(&submission)
		z.scheduler.Submit(submission, z.now)
	}
	submit("0000000000000001", func(*Submission) {})
	submit("0000000000000002", func(*Submission) {})
	submit("0000000000000003", func(s *Submission) { s.MayMove = false })
	submit("0000000000000004", func(s *Submission) { s.Resumed = true })
	z.Assert(z.scheduler.Take().Ended, qt.HasLen, 0)
	z.pass(redirectWait)
	var redirected []string
	for _, ended := range z.scheduler.Take().Ended {
		if ended.Outcome == Redirected {
			redirected = append(redirected, ended.JobID+ended.Zone)
		}
	}
	// Zone c has room for twice a job of 56000 until two have gone there.
	z.Assert(redirected, qt.DeepEquals, []string{"0000000000000001c", "0000000000000002c"})
}

// TestSlowTargetIsLeft guards against waiting for a task that stands still on
// its target while another target could complete it, and against sending more
// work to such a target.
func TestSlowTargetIsLeft(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	z.accept(start)
	z.pass(200 * time.Millisecond)
	index := int(start.Target.ID[1] - '0')
	z.list(index, rattanwork.Listing{Running: []rattanwork.Run{{Task: start.Task, Attempt: 1}}})
	output := z.scheduler.Take()
	z.Assert(output.Ended, qt.HasLen, 0)
	z.Assert(output.Stops, qt.HasLen, 1)
	z.list(index, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: start.Task, Attempt: 1, Kind: rattanwork.EndStopped}}})
	again := z.scheduler.Take().Starts
	z.Assert(again, qt.HasLen, 1)
	z.Assert(again[0].Target.ID, qt.Not(qt.Equals), start.Target.ID)
	// A second job that stands still there convicts the target.
	z.scheduler.suspectSlow(&run{target: z.scheduler.targets[start.Target.ID], task: &task{job: &job{}}}, z.now)
	z.Assert(z.scheduler.targets[start.Target.ID].usable(z.now), qt.IsFalse)
}

// TestRedirectWaitsForFirstRuns guards against two runs of a task in two zones:
// a job that is submitted again must stay where runs of its cancelled first
// copy may still be under way.
func TestRedirectWaitsForFirstRuns(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	z.scheduler.SetElsewhere([]RemoteZone{{Zone: "b", FreeMilliCPU: 200000}})
	z.scheduler.Submit(z.submission(jobA, 2), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		z.accept(start)
	}
	z.scheduler.Cancel(jobA, z.now)
	again := z.submission(jobA, 2)
	again.MayMove = true
	again.Priority = 1
	z.scheduler.Submit(again, z.now)
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.list(0, rattanwork.Listing{Running: running(starts[1]), Ended: []rattanwork.End{
		{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndStopped},
	}})
	z.scheduler.Take()
	z.pass(redirectWait)
	for _, ended := range z.scheduler.Take().Ended {
		z.Check(ended.Outcome, qt.Not(qt.Equals), Redirected)
	}
}

// TestLostListsAreNoSlowness guards against suspending a target, and against
// learning longer run times, because the list that tells of an end got lost.
func TestLostListsAreNoSlowness(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	for i, id := range []string{jobA, jobB} {
		z.scheduler.Submit(z.submission(id, 1), z.now)
		z.scheduler.Tick(z.now)
		start := z.scheduler.Take().Starts[0]
		z.accept(start)
		z.scheduler.Unanswered("t0")
		z.pass(450 * time.Millisecond)
		z.list(0, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: int64(i + 1), Task: start.Task, Attempt: 1, Kind: rattanwork.EndDone}}})
		z.Assert(z.scheduler.Take().Ended, qt.HasLen, 1)
	}
	z.Assert(z.scheduler.targets["t0"].usable(z.now), qt.IsTrue)
	z.scheduler.Submit(z.submission("00000000000000cc", 1), z.now)
	z.Assert(z.scheduler.rates.expected(z.scheduler.jobs["00000000000000cc"], 0), qt.Equals, 100*time.Millisecond)
}

// gangSubmission returns a job whose tasks run only together.
func (z *zone) gangSubmission(id string, tasks int) Submission {
	submission := z.submission(id, tasks)
	submission.Job.Steps[0].Gang = true
	return submission
}

// listAll lets a target list all of these runs that are on it, and the ends.
func (z *zone) listAll(id string, starts []StartOrder, ends ...rattanwork.End) {
	var here []StartOrder
	for _, start := range starts {
		if start.Target.ID == id {
			here = append(here, start)
		}
	}
	z.scheduler.Listed(id, &rattanwork.Listing{Running: running(here...), Ended: ends}, z.now, z.void, z.now.Add(time.Millisecond))
	z.now = z.now.Add(2 * time.Millisecond)
}

// TestGangStartsTogether guards against members that wait for others which
// have no room, and against members of different attempts.
func TestGangStartsTogether(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobB, 1), z.now)
	z.scheduler.Submit(z.gangSubmission(jobA, 4), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.accept(starts[0])
	z.listAll(starts[0].Target.ID, nil, rattanwork.End{Sequence: 1, Task: starts[0].Task, Attempt: 1, Kind: rattanwork.EndDone})
	gang := z.scheduler.Take().Starts
	z.Assert(gang, qt.HasLen, 4)
	for _, start := range gang {
		z.Check(start.Attempt, qt.Equals, 1)
	}
	// The refusal of one breaks the gang; it starts again as a whole.
	for _, start := range gang[1:] {
		z.accept(start)
	}
	z.scheduler.StartAnswered(gang[0].Target.ID, gang[0].Task, 1, rattanwork.StartNoRoom, z.now)
	output := z.scheduler.Take()
	z.Check(output.Starts, qt.HasLen, 0)
	z.Assert(output.Stops, qt.HasLen, 3)
	for _, stop := range output.Stops {
		z.scheduler.StopAnswered(stop.Target.ID, stop.Task, 1, z.now)
	}
	z.pass(refusalPause)
	for _, id := range []string{"t0", "t1"} {
		z.listAll(id, nil)
	}
	z.pass(refusalPause)
	again := z.scheduler.Take().Starts
	z.Assert(again, qt.HasLen, 4)
	for _, start := range again {
		z.Check(start.Attempt, qt.Equals, 2)
	}
}

// TestGangEndsTogether guards against waiting for each member's end, against
// room that is free before a member's end is listed, and against counting the
// failure of one attempt once a member.
func TestGangEndsTogether(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
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
		z.listAll(id, nil, list...)
	}
	output := z.scheduler.Take()
	z.Assert(output.Ended, qt.HasLen, 0)
	second := output.Starts
	z.Assert(second, qt.HasLen, 3)
	for _, start := range second {
		z.accept(start)
	}
	id := second[0].Target.ID
	z.listAll(id, second[1:], rattanwork.End{Sequence: int64(len(ends[id]) + 1), Task: second[0].Task, Attempt: 2, Kind: rattanwork.EndDone})
	ended := z.scheduler.Take().Ended
	z.Assert(ended, qt.HasLen, 1)
	z.Assert(ended[0].Outcome, qt.Equals, Succeeded)
	free := z.scheduler.FreeMilliCPU(z.now)
	z.Assert(free, qt.Equals, 2*32000-2*14000)
}

// TestGangOnOneRack guards against tasks that run slower than need be because
// they are spread over racks, and against waiting for one rack with the room.
func TestGangOnOneRack(t *testing.T) {
	z := newZone(qt.New(t), 4)
	var list []rattanwork.Target
	for i := range 4 {
		target := testTarget(i)
		target.Rack = target.Labels[1]
		list = append(list, target)
	}
	z.scheduler.UpdateTargets(list, true, z.now)
	for i := range 4 {
		z.list(i, rattanwork.Listing{})
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
	wide := z.submission("00000000000000cc", 3)
	wide.Job.Steps[0].SameRack = true
	z.scheduler.Submit(wide, z.now)
	z.scheduler.Tick(z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 3)
}

// TestSpeculativeCopy guards against waiting for a slow run of a task that may
// have a copy, against more than one copy, and against runs that go on after
// the first of them is done.
func TestSpeculativeCopy(t *testing.T) {
	tests := map[string]struct {
		// ends is the index of the run that ends, how its end.
		ends      int
		how       rattanwork.EndKind
		wantStops int
	}{
		"copy is done first":     {ends: 1, how: rattanwork.EndDone, wantStops: 1},
		"slow run is done first": {ends: 0, how: rattanwork.EndDone, wantStops: 1},
		"copy fails":             {ends: 1, how: rattanwork.EndFailed},
		"slow run lapses":        {ends: 0, how: rattanwork.EndLapsed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newListedZone(qt.New(t), 3)
			submission := z.submission(jobA, 1)
			submission.Job.Steps[0].Speculative = true
			z.scheduler.Submit(submission, z.now)
			z.scheduler.Tick(z.now)
			runs := z.scheduler.Take().Starts
			z.accept(runs[0])
			for range 2 {
				z.pass(400 * time.Millisecond)
				z.scheduler.Listed(runs[0].Target.ID, &rattanwork.Listing{Running: []rattanwork.Run{{Task: runs[0].Task, Attempt: 1, Percent: 60}}}, z.now, z.void, z.now)
				output := z.scheduler.Take()
				z.Assert(output.Stops, qt.HasLen, 0)
				runs = append(runs, output.Starts...)
				z.Assert(runs, qt.HasLen, 2)
			}
			z.accept(runs[1])
			z.Assert(runs[1].Target.ID, qt.Not(qt.Equals), runs[0].Target.ID)
			ending := runs[test.ends]
			z.listAll(ending.Target.ID, nil, rattanwork.End{Sequence: 1, Task: ending.Task, Attempt: ending.Attempt, Kind: test.how})
			output := z.scheduler.Take()
			z.Check(output.Stops, qt.HasLen, test.wantStops)
			z.Check(output.Starts, qt.HasLen, 0)
			if test.how == rattanwork.EndDone {
				z.Assert(output.Ended, qt.HasLen, 1)
				z.Check(output.Ended[0].Outcome, qt.Equals, Succeeded)
				return
			}
			z.Assert(output.Ended, qt.HasLen, 0)
			other := runs[1-test.ends]
			z.listAll(other.Target.ID, nil, rattanwork.End{Sequence: 1, Task: other.Task, Attempt: other.Attempt, Kind: rattanwork.EndDone})
			z.Assert(z.scheduler.Take().Ended, qt.HasLen, 1)
		})
	}
}

// TestVanishedTargetIsForgotten guards against renewing the leases of a target
// for ever that is gone with an order that it left unanswered, and against
// freeing its room while the order may still be carried out.
func TestVanishedTargetIsForgotten(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
	z.scheduler.Take()
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	gone := start.Target.ID
	z.scheduler.StartAnswered(gone, start.Task, 1, rattanwork.StartUnknown, z.now)
	z.scheduler.Silent(gone, true, z.now)
	left := testTarget(1 - int(gone[1]-'0'))
	z.scheduler.UpdateTargets([]rattanwork.Target{left}, true, z.now)
	events := z.scheduler.Take().Targets
	z.Assert(events, qt.DeepEquals, []TargetEvent{{Target: gone, Change: TargetVanished, Runs: 1}})
	z.pass(lateOrders - time.Second)
	z.Assert(z.scheduler.Busy(gone), qt.IsTrue)
	z.pass(time.Second)
	_, known := z.scheduler.Target(gone)
	z.Assert(known, qt.IsFalse)
	z.Assert(z.scheduler.Take().Targets, qt.DeepEquals, []TargetEvent{{Target: gone, Change: TargetForgotten, Runs: 1}})
}

// TestObjectiveFollowsLearnedRunTimes guards against taking jobs for late, and
// starving them, because their run times are declared too short: the objective
// depends on the true ones.
func TestObjectiveFollowsLearnedRunTimes(t *testing.T) {
	z := newListedZone(qt.New(t), 1)
	submission := z.submission(jobA, 1)
	// 60 ms and 1.6 times the declared 100 ms, and three times that.
	submission.Slack = 1.6
	submission.Objective = z.now.Add(220 * time.Millisecond)
	submission.LateUntil = z.now.Add(660 * time.Millisecond)
	z.scheduler.Submit(submission, z.now)
	j := z.scheduler.jobs[jobA]
	z.Assert(z.scheduler.classify(j, z.now.Add(100*time.Millisecond)).band, qt.Equals, bandOnTime)
	for range 100 {
		z.scheduler.rates.observe(j, 0, &run{}, 200*time.Millisecond)
	}
	// With 200 ms the objective is 380 ms after the submission.
	z.Check(z.scheduler.classify(j, z.now.Add(175*time.Millisecond)).band, qt.Equals, bandOnTime)
	z.Check(z.scheduler.classify(j, z.now.Add(185*time.Millisecond)).band, qt.Equals, bandLate)
	z.Check(z.scheduler.classify(j, z.now.Add(935*time.Millisecond)).band, qt.Equals, bandLate)
	z.Check(z.scheduler.classify(j, z.now.Add(945*time.Millisecond)).band, qt.Equals, bandHopeless)
}

// TestResumedJobWaitsForCurrentTargets guards against a second run of a task
// after a change of the home, when the run is on a target that the new home has
// not heard of yet.
func TestResumedJobWaitsForCurrentTargets(t *testing.T) {
	z := &zone{C: qt.New(t), now: time.Unix(1_800_000_000, 0)}
	z.scheduler = New(Config{MaxLease: time.Second, TakenOver: z.now})
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, false, z.now)
	z.list(0, rattanwork.Listing{})
	submission := z.submission(jobA, 1)
	submission.Resumed = true
	z.scheduler.Submit(submission, z.now)
	z.pass(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0), testTarget(1)}, true, z.now)
	z.pass(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.list(1, rattanwork.Listing{Running: []rattanwork.Run{{Task: jobA + ".0.0.0", Attempt: 1}}})
	z.pass(10 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.list(1, rattanwork.Listing{Ended: []rattanwork.End{{Sequence: 1, Task: jobA + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone}}})
	z.Assert(z.scheduler.Take().Ended, qt.HasLen, 1)
	// Without the inventory, the leases of the earlier home have to run out.
	z.scheduler = New(Config{MaxLease: time.Second, TakenOver: z.now})
	z.scheduler.UpdateTargets([]rattanwork.Target{testTarget(0)}, false, z.now)
	z.list(0, rattanwork.Listing{})
	submission = z.submission(jobB, 1)
	submission.Resumed = true
	submission.LateUntil = z.now.Add(3 * time.Second)
	submission.Deadline = submission.LateUntil
	z.scheduler.Submit(submission, z.now)
	z.pass(1100 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.pass(100 * time.Millisecond)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
}

// TestFailedTaskWaitsForAnotherTarget guards against using up the attempts of a
// task on one target that fails all it starts, while the others are full.
func TestFailedTaskWaitsForAnotherTarget(t *testing.T) {
	z := newListedZone(qt.New(t), 2)
	z.scheduler.Submit(z.submission(jobB, 4), z.now)
	z.scheduler.Tick(z.now)
	starts := z.scheduler.Take().Starts
	for _, start := range starts {
		z.accept(start)
	}
	z.listAll("t0", nil, rattanwork.End{Sequence: 1, Task: jobB + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone},
		rattanwork.End{Sequence: 2, Task: jobB + ".0.0.1", Attempt: 1, Kind: rattanwork.EndDone})
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.scheduler.Tick(z.now)
	start := z.scheduler.Take().Starts[0]
	z.Assert(start.Target.ID, qt.Equals, "t0")
	z.accept(start)
	z.listAll("t0", nil, rattanwork.End{Sequence: 3, Task: start.Task, Attempt: 1, Kind: rattanwork.EndFailed})
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	z.listAll("t1", starts[3:], rattanwork.End{Sequence: 1, Task: jobB + ".0.0.2", Attempt: 1, Kind: rattanwork.EndDone})
	again := z.scheduler.Take().Starts
	z.Assert(again, qt.HasLen, 1)
	z.Assert(again[0].Target.ID, qt.Equals, "t1")
}
