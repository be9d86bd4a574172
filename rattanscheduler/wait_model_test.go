package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sharedZone returns a zone whose target has no room for the usual tasks, because it runs
// two of the given run time, in a service that has had jobs of three priorities.
func sharedZone(c *qt.C, runTime time.Duration) *fakeZone {
	z := newReconciledZone(c, 1)
	z.scheduler.SetHeld(true, z.now)
	for priority := range 3 {
		z.submitLong(jobA, priority, 1, runTime)
		z.scheduler.Cancel(jobA, z.now)
	}
	z.scheduler.SetHeld(false, z.now)
	z.submitLong(jobB, 1, 2, runTime)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	return z
}

// submitLong submits a job that can wait for long.
func (z *fakeZone) submitLong(id string, priority, tasks int, runTime time.Duration) {
	submission := z.patientSubmission(id)
	submission.Priority = priority
	submission.Job.Steps[0].Count, submission.Job.Steps[0].Estimate = tasks, runTime
	z.scheduler.Submit(submission, z.now)
}

// submitNew submits a job as a home does and returns its result, if it has one at once.
func (z *fakeZone) submitNew(submission Submission) []JobResult {
	z.scheduler.Submit(submission, z.now)
	z.scheduler.CheckAdmission(submission.Job.ID, z.now)
	return z.scheduler.Take().Results
}

// reported returns what other zones know of the zone.
func (z *fakeZone) reported(name string) RemoteZone {
	return RemoteZone{Zone: name, FreeMilliCPU: z.scheduler.FreeMilliCPU(z.now), Rooms: z.scheduler.Rooms(z.now), ReportedAt: z.now}
}

// TestOtherZoneKeepsRedirectedJob guards against a job that is redirected to a zone that
// refuses it, and against one that is refused although another zone would start it in time.
func TestOtherZoneKeepsRedirectedJob(t *testing.T) {
	tests := map[string]struct {
		other    func(c *qt.C) *fakeZone
		milliCPU int
		want     Outcome
	}{
		"runs there end late":    {func(c *qt.C) *fakeZone { return sharedZone(c, 900*time.Millisecond) }, 14000, Refused},
		"runs there end in time": {func(c *qt.C) *fakeZone { return sharedZone(c, 100*time.Millisecond) }, 14000, Redirected},
		"job waits before it there": {func(c *qt.C) *fakeZone {
			z := sharedZone(c, 100*time.Millisecond)
			before := z.submission(jobA, 2)
			before.Job.Steps[0].Estimate, before.Objective = 200*time.Millisecond, z.now.Add(350*time.Millisecond)
			z.scheduler.Submit(before, z.now)
			return z
		}, 14000, Refused},
		"less urgent job waits there": {func(c *qt.C) *fakeZone {
			z := sharedZone(c, 100*time.Millisecond)
			z.submitLong(jobA, 1, 2, 900*time.Millisecond)
			return z
		}, 14000, Redirected},
		"room there, larger jobs wait": {func(c *qt.C) *fakeZone {
			z := sharedZone(c, 900*time.Millisecond)
			z.submitLong(jobA, 0, 4, 900*time.Millisecond)
			return z
		}, 3500, Redirected},
		"short waits are learned there": {func(c *qt.C) *fakeZone {
			z := sharedZone(c, 300*time.Millisecond)
			for range 100 {
				z.learnWait(14000, time.Second, 0)
			}
			return z
		}, 14000, Redirected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			z, other := sharedZone(c, 900*time.Millisecond), test.other(c)
			z.scheduler.Submit(smallJob(z, "00000000000000dd", 4000, time.Second), z.now)
			z.Assert(z.scheduler.Take().Starts, qt.HasLen, 1)
			z.scheduler.SetRemoteZones([]RemoteZone{other.reported("b")})
			submission := smallJob(z, previewedJob, test.milliCPU, 100*time.Millisecond)
			submission.Redirectable = true
			results := z.submitNew(submission)
			c.Assert(results, qt.HasLen, 1)
			c.Check(results[0].Outcome, qt.Equals, test.want)
			submission.Redirectable = false
			wantResults := map[Outcome]int{Refused: 1}[test.want]
			c.Check(other.submitNew(submission), qt.HasLen, wantResults, qt.Commentf("the other zone decides otherwise"))
		})
	}
}

// learnWait lets a job of one size wait for another time than expected.
func (z *fakeZone) learnWait(milliCPU int, expected, actual time.Duration) {
	waiting := &job{submission: z.submission(jobA, 1), submittedAt: z.now.Add(-actual), expectedWait: expected}
	waiting.entry.demand.MilliCPU = milliCPU
	z.scheduler.service(testService).observeWait(waiting, z.now)
}

// smallJob returns an urgent job of one task.
func smallJob(z *fakeZone, id string, milliCPU int, runTime time.Duration) Submission {
	submission := z.submission(id, 1)
	submission.Job.Steps[0].Resources.MilliCPU, submission.Job.Steps[0].Estimate = milliCPU, runTime
	submission.Objective = z.now.Add(runTime + 200*time.Millisecond)
	return submission
}

// TestJobStaysForEndsOfRuns guards against redirecting a job that its own zone would start
// sooner, because the runs that use the target end soon.
func TestJobStaysForEndsOfRuns(t *testing.T) {
	for runTime, want := range map[time.Duration]int{20 * time.Millisecond: 0, 150 * time.Millisecond: 1} {
		z := sharedZone(qt.New(t), runTime)
		z.scheduler.SetRemoteZones([]RemoteZone{roomyZone("b", 4, 32000)})
		submission := z.submission(jobA, 1)
		submission.Redirectable = true
		submission.Job.Spec = string(make([]byte, 30*redirectBytesPerMilli))
		z.Check(z.submitNew(submission), qt.HasLen, 0)
		z.advance(2 * redirectDelay)
		z.Check(z.scheduler.Take().Results, qt.HasLen, want, qt.Commentf("%v", runTime))
	}
}

// TestReportAgreesWithAdmission guards against a wait that is reported to other zones and
// one by which the zone itself refuses jobs that come from two models.
func TestReportAgreesWithAdmission(t *testing.T) {
	for waiting := range 30 {
		z := sharedZone(qt.New(t), time.Duration(100+50*(waiting%5))*time.Millisecond)
		for i := range waiting {
			z.submitLong(fmt.Sprintf("%016x", i+1), i%3, 1+i%2, time.Duration(50+30*(i%4))*time.Millisecond)
		}
		room := z.reported("b").Rooms[0]
		for priority := range 3 {
			submission := z.patientSubmission(previewedJob)
			submission.Priority, submission.Objective = priority, submission.Objective.Add(time.Second)
			wait := z.scheduler.Preview(submission, z.now).ExpectedWait.Std()
			difference := wait - room.wait(priority)
			z.Check(difference >= 0 && difference < time.Millisecond, qt.IsTrue, qt.Commentf("%d waiting, priority %d: admission %v, report %v", waiting, priority, wait, room.Waits))
		}
	}
}

// TestWaitElsewhereDependsOnJob guards against taking the wait of a large or wide job in
// another zone for that of a usual one.
func TestWaitElsewhereDependsOnJob(t *testing.T) {
	z := sharedZone(qt.New(t), 400*time.Millisecond)
	other := roomyZone("b", 10, 0, PriorityWait{0, 100})
	wait := func(tasks, milliCPU int) time.Duration {
		submission := z.submission(previewedJob, tasks)
		submission.Job.Steps[0].Resources.MilliCPU = milliCPU
		need := z.scheduler.zoneNeed(newJob(submission, z.now))
		wait, known := other.waitForRoom(&need)
		z.Check(known, qt.IsTrue)
		return wait
	}
	z.Check(wait(1, 14000), qt.Equals, 100*time.Millisecond+minWaitForRoom)
	// Runs that end release 8 of the 320 cores in 10 ms.
	z.Check(wait(9, 14000), qt.Equals, 240*time.Millisecond)
	for range 100 {
		z.learnWait(14000, 100*time.Millisecond, 400*time.Millisecond)
		z.learnWait(7000, 100*time.Millisecond, 0)
	}
	z.Check(wait(1, 14000) > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait(1, 14000)))
	z.Check(wait(1, 7000) < 80*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait(1, 7000)))
}

// TestRetryAfterIsWaitOfJob guards against callers that are told to come back after less
// urgent work is done, or before the job could be accepted.
func TestRetryAfterIsWaitOfJob(t *testing.T) {
	z := sharedZone(qt.New(t), 3*time.Second)
	z.submitLong(jobA, 2, 20, 3*time.Second)
	results := z.submitNew(smallJob(z, previewedJob, 14000, 100*time.Millisecond))
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].RetryAfter, qt.Equals, results[0].Room.ExpectedWait)
	z.Check((results[0].RetryAfter-3*time.Second).Abs() < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", results[0].RetryAfter))
}

// BenchmarkReport measures the room that each claim contains, while jobs wait.
func BenchmarkReport(b *testing.B) {
	for _, waiting := range []int{0, 1000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			z, _ := newFullZone(qt.New(b), 350, waiting)
			z.Assert(z.scheduler.service(testService).expectsEnds(), qt.IsTrue)
			b.ReportAllocs()
			for b.Loop() {
				z.scheduler.Rooms(z.now)
			}
		})
	}
}
