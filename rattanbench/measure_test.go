package rattanbench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanpool"
)

func completed(response time.Duration, results int) Outcome {
	return Outcome{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan, Response: response, Results: results}
}

// TestCountViolations guards against checks that cannot fail, by injecting each
// violation once.
func TestCountViolations(t *testing.T) {
	twoTasks := []time.Duration{ms, ms}
	jobs := Merge([]Job{{RunTimes: twoTasks}, {RunTimes: twoTasks}, {RunTimes: twoTasks}, {RunTimes: twoTasks}})
	notRun := refusedOutcome(rattanjob.ReasonOverloaded)
	mismatched := completed(ms, 2)
	mismatched.Mismatched = 1
	observation := Observation{
		Outcomes: []Outcome{completed(ms, 2), completed(ms, 1), notRun, mismatched},
		Starts:   []TaskStart{{Job: 0, Task: 0}, {Job: 0, Task: 1}, {Job: 0, Task: 1}, {Job: 2, Task: 0}},
	}
	got := countViolations(jobs, observation)
	qt.Assert(t, got, qt.Equals, violations{doubleStarts: 1, partialAnswers: 1, falseNotRun: 1, mismatchedAnswers: 1, starts: 4})
}

// TestPeak guards against wrong measures of the load peak. The expected values are
// computed by hand, for one slot and a peak from 1 s to 6 s.
func TestPeak(t *testing.T) {
	e := Experiment{Fleet: Fleet{Targets: 1, SlotsPerTarget: 1}, PeakBegin: time.Second, PeakEnd: 6 * time.Second}
	oneSecond := []time.Duration{time.Second}
	e.Jobs = Merge([]Job{
		{Arrival: 1 * time.Second, Deadline: 3 * time.Second, RunTimes: oneSecond},
		{Arrival: 2 * time.Second, Deadline: 3 * time.Second, RunTimes: oneSecond},
		{Arrival: 3 * time.Second, Deadline: 3 * time.Second, RunTimes: oneSecond},
		{Arrival: 7 * time.Second, Deadline: 3 * time.Second, RunTimes: oneSecond},
		{Arrival: 8 * time.Second, Deadline: 3 * time.Second, RunTimes: oneSecond},
	})
	refusedOnArrival, refusedLate := refusedOutcome(rattanjob.ReasonOverloaded), refusedOutcome(rattanjob.ReasonDeadlinePassed)
	refusedOnArrival.Response, refusedLate.Response = 5*ms, 3*time.Second
	refusedAfterPeak := refusedOnArrival
	observation := Observation{
		Outcomes: []Outcome{completed(time.Second, 1), refusedOnArrival, refusedLate, refusedAfterPeak, completed(time.Second, 1)},
		Starts: []TaskStart{
			{Job: 0, Begin: time.Second, End: 2 * time.Second},
			{Job: 2, Begin: 3 * time.Second, End: 4 * time.Second},
		},
	}
	got := measurePeak(e, observation)
	qt.Assert(t, got.goodput, qt.Equals, 0.2)
	qt.Assert(t, got.accepted, qt.Equals, 2)
	qt.Assert(t, got.deadlineMet, qt.Equals, 0.5)
	qt.Assert(t, got.refusals, qt.Equals, 2)
	qt.Assert(t, got.recovery, qt.Equals, time.Second)
	qt.Assert(t, got.refusalP99 >= 5*ms && got.refusalP99 < 6*ms, qt.IsTrue)
}

// TestPoliciesAnswerAllJobsInTime guards against a policy that loses, repeats or
// indefinitely delays tasks. At half load every job must be completed in time.
func TestPoliciesAnswerAllJobsInTime(t *testing.T) {
	fleet := Fleet{Targets: 4, SlotsPerTarget: 8}
	jobs := Arrivals(TranscriptDesk().Short(), []Segment{{Duration: 5 * time.Second, Load: 0.5}}, fleet.Slots(), 1)
	e := Experiment{Jobs: jobs, Fleet: fleet}
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			observation := Simulate(policy.New(1), e)
			for _, job := range jobs {
				qt.Assert(t, completedInTime(job, observation.Outcomes[job.Index]), qt.IsTrue, qt.Commentf("job %d: %+v", job.Index, observation.Outcomes[job.Index]))
			}
			total := countViolations(jobs, observation)
			total.starts = 0
			qt.Assert(t, total, qt.Equals, violations{})
		})
	}
}

// TestEarlyBindingStaysBound guards against a baseline that moves a refused or
// waiting task to another target, which would not be early binding.
func TestEarlyBindingStaysBound(t *testing.T) {
	scheduler := NewRoundRobin()
	scheduler.SetTargets(virtualStart, schedulerTargets(Fleet{Targets: 2, SlotsPerTarget: 1}))
	scheduler.Admit(virtualStart, rattanpool.Job{ID: 1, Tasks: 4, Deadline: virtualStart.Add(time.Minute)})
	first, _ := scheduler.Next(virtualStart)
	_, _ = scheduler.Next(virtualStart)
	_, assigned := scheduler.Next(virtualStart)
	qt.Assert(t, assigned, qt.IsFalse)
	willRetry := scheduler.Finish(virtualStart, first, rattanpool.Report{Outcome: rattanpool.OutcomeNotStarted})
	qt.Assert(t, willRetry, qt.IsTrue)
	_, assigned = scheduler.Next(virtualStart)
	qt.Assert(t, assigned, qt.IsFalse)
	pause, ok := scheduler.NextWake(virtualStart)
	qt.Assert(t, ok, qt.IsTrue)
	retried, _ := scheduler.Next(virtualStart.Add(pause))
	qt.Assert(t, retried.Target, qt.Equals, first.Target)
	qt.Assert(t, retried.Task, qt.Equals, first.Task)
	qt.Assert(t, retried.Attempt, qt.Equals, 2)
}

// TestRefusalsNeverImproveRatio guards against ratios that improve when jobs are
// refused: a refused job must increase the numerator and must not count in the
// denominator.
func TestRefusalsNeverImproveRatio(t *testing.T) {
	e := Experiment{Jobs: Merge([]Job{
		{Deadline: time.Second, RunTimes: []time.Duration{ms}},
		{Arrival: ms, Deadline: 2 * time.Second, RunTimes: []time.Duration{ms, ms}},
	})}
	observation := Observation{
		Outcomes: []Outcome{completed(10*ms, 1), refusedOutcome(rattanjob.ReasonOverloaded)},
		Starts:   []TaskStart{{Job: 0, Begin: 5 * ms, End: 6 * ms}},
	}
	qt.Assert(t, completeResponseTimes(otherCallerJobs(e), observation.Outcomes), qt.DeepEquals, []time.Duration{10 * ms})
	qt.Assert(t, responseTimes(otherCallerJobs(e), observation.Outcomes), qt.DeepEquals, []time.Duration{10 * ms, 2 * time.Second})
	qt.Assert(t, startedTaskWaits(e, observation), qt.DeepEquals, []time.Duration{5 * ms})
	qt.Assert(t, shortTaskWaits(e, observation), qt.DeepEquals, []time.Duration{5 * ms, 2 * time.Second, 2 * time.Second})
}
