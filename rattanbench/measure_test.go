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

// TestIntegrityFindsViolations guards against checks that can never fail: each
// violation is injected once.
func TestIntegrityFindsViolations(t *testing.T) {
	two := []time.Duration{ms, ms}
	jobs := Merge([]Job{{RunTimes: two}, {RunTimes: two}, {RunTimes: two}, {RunTimes: two}})
	notRun := refused(rattanjob.ReasonOverloaded)
	crossed := completed(ms, 2)
	crossed.Misplaced = 1
	seen := Observation{
		Outcomes: []Outcome{completed(ms, 2), completed(ms, 1), notRun, crossed},
		Starts:   []Start{{Job: 0, Task: 0}, {Job: 0, Task: 1}, {Job: 0, Task: 1}, {Job: 2, Task: 0}},
	}
	got := measureIntegrity(jobs, seen)
	qt.Assert(t, got, qt.Equals, integrity{doubleStarts: 1, partialAnswers: 1, falseNotRun: 1, crossed: 1, starts: 4})
}

// TestCrest guards the accounting at the crest with a case computed by hand:
// one slot, a crest from 1 s to 6 s.
func TestCrest(t *testing.T) {
	e := Experiment{Fleet: Fleet{Targets: 1, SlotsPerTarget: 1}, CrestBegin: time.Second, CrestEnd: 6 * time.Second}
	second := []time.Duration{time.Second}
	e.Jobs = Merge([]Job{
		{At: 1 * time.Second, Deadline: 3 * time.Second, RunTimes: second},
		{At: 2 * time.Second, Deadline: 3 * time.Second, RunTimes: second},
		{At: 3 * time.Second, Deadline: 3 * time.Second, RunTimes: second},
		{At: 7 * time.Second, Deadline: 3 * time.Second, RunTimes: second},
		{At: 8 * time.Second, Deadline: 3 * time.Second, RunTimes: second},
	})
	atOnce, late := refused(rattanjob.ReasonOverloaded), refused(rattanjob.ReasonDeadlinePassed)
	atOnce.Response, late.Response = 5*ms, 3*time.Second
	again := atOnce
	seen := Observation{
		Outcomes: []Outcome{completed(time.Second, 1), atOnce, late, again, completed(time.Second, 1)},
		Starts: []Start{
			{Job: 0, Begin: time.Second, End: 2 * time.Second},
			{Job: 2, Begin: 3 * time.Second, End: 4 * time.Second},
		},
	}
	got := measureCrest(e, seen)
	qt.Assert(t, got.goodput, qt.Equals, 0.2)
	qt.Assert(t, got.accepted, qt.Equals, 2)
	qt.Assert(t, got.deadlineMet, qt.Equals, 0.5)
	qt.Assert(t, got.refusals, qt.Equals, 2)
	qt.Assert(t, got.recovery, qt.Equals, time.Second)
	qt.Assert(t, got.refusalP99 >= 5*ms && got.refusalP99 < 6*ms, qt.IsTrue)
}

// TestPoliciesServeEverything guards against a baseline that loses, repeats or
// delays work for ever: at half load every job is answered in time.
func TestPoliciesServeEverything(t *testing.T) {
	fleet := Fleet{Targets: 4, SlotsPerTarget: 8}
	jobs := Arrivals(TranscriptDesk().Short(), []Segment{{Duration: 5 * time.Second, Load: 0.5}}, fleet.Slots(), 1)
	e := Experiment{Jobs: jobs, Fleet: fleet}
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			seen := Simulate(policy.New(1), e)
			for _, job := range jobs {
				qt.Assert(t, inTime(job, seen.Outcomes[job.Index]), qt.IsTrue, qt.Commentf("job %d: %+v", job.Index, seen.Outcomes[job.Index]))
			}
			total := measureIntegrity(jobs, seen)
			total.starts = 0
			qt.Assert(t, total, qt.Equals, integrity{})
		})
	}
}

// TestEarlyBindingStaysBound guards the meaning of the baselines: a task that
// was refused, or that waits, never moves to another target.
func TestEarlyBindingStaysBound(t *testing.T) {
	scheduler := NewRoundRobin()
	scheduler.SetTargets(virtualEpoch, poolTargets(Fleet{Targets: 2, SlotsPerTarget: 1}))
	scheduler.Admit(virtualEpoch, rattanpool.Job{ID: 1, Tasks: 4, Deadline: virtualEpoch.Add(time.Minute)})
	first, _ := scheduler.Next(virtualEpoch)
	_, _ = scheduler.Next(virtualEpoch)
	_, more := scheduler.Next(virtualEpoch)
	qt.Assert(t, more, qt.IsFalse)
	again := scheduler.Finish(virtualEpoch, first, rattanpool.Report{Outcome: rattanpool.OutcomeNotStarted})
	qt.Assert(t, again, qt.IsTrue)
	_, more = scheduler.Next(virtualEpoch)
	qt.Assert(t, more, qt.IsFalse)
	pause, ok := scheduler.NextWake(virtualEpoch)
	qt.Assert(t, ok, qt.IsTrue)
	retried, _ := scheduler.Next(virtualEpoch.Add(pause))
	qt.Assert(t, retried.Target, qt.Equals, first.Target)
	qt.Assert(t, retried.Task, qt.Equals, first.Task)
	qt.Assert(t, retried.Attempt, qt.Equals, 2)
}

// TestRefusalsNeverImproveARatio guards the ratios of the pairs of runs: a job
// that was refused makes the numerator larger and is left out of the
// denominator.
func TestRefusalsNeverImproveARatio(t *testing.T) {
	e := Experiment{Jobs: Merge([]Job{
		{Deadline: time.Second, RunTimes: []time.Duration{ms}},
		{At: ms, Deadline: 2 * time.Second, RunTimes: []time.Duration{ms, ms}},
	})}
	seen := Observation{
		Outcomes: []Outcome{completed(10*ms, 1), refused(rattanjob.ReasonOverloaded)},
		Starts:   []Start{{Job: 0, Begin: 5 * ms, End: 6 * ms}},
	}
	qt.Assert(t, answeredResponses(others(e), seen.Outcomes), qt.DeepEquals, []time.Duration{10 * ms})
	qt.Assert(t, responses(others(e), seen.Outcomes), qt.DeepEquals, []time.Duration{10 * ms, 2 * time.Second})
	qt.Assert(t, startedWaits(e, seen), qt.DeepEquals, []time.Duration{5 * ms})
	qt.Assert(t, shortWaits(e, seen), qt.DeepEquals, []time.Duration{5 * ms, 2 * time.Second, 2 * time.Second})
}
