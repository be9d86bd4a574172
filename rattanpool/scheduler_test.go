package rattanpool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// fixture is a scheduler with a few targets and a simulated clock.
type fixture struct {
	*Scheduler
	now time.Time
	id  JobID
}

func newFixture(targets ...Target) *fixture {
	f := &fixture{Scheduler: New(Config{PanicOnViolation: true}), now: simStart}
	f.SetTargets(f.now, targets)
	return f
}

// targets returns a number of targets with 4 slots each, two per rack.
func targets(count int) []Target {
	var list []Target
	for i := range count {
		list = append(list, Target{Name: fmt.Sprint("t", i), Rack: fmt.Sprint("r", i/2), Service: "s", Slots: 4, Cores: 16, MemoryMB: 1000})
	}
	return list
}

func (f *fixture) job(change func(*Job)) Job {
	f.id++
	j := Job{ID: f.id, Caller: "c", Kind: "k", Service: "s", Tasks: 1, Deadline: f.now.Add(time.Minute), Idempotent: true}
	if change != nil {
		change(&j)
	}
	return j
}

func (f *fixture) admit(change func(*Job)) Admission {
	return f.Admit(f.now, f.job(change))
}

// assignAll returns all assignments that are possible now.
func (f *fixture) assignAll() (started []Assignment) {
	for {
		a, ok := f.Next(f.now)
		if !ok {
			return started
		}
		started = append(started, a)
	}
}

func (f *fixture) advanceTime(elapsed time.Duration) { f.now = f.now.Add(elapsed) }

func (f *fixture) complete(runTime time.Duration, ended ...Assignment) {
	for _, a := range ended {
		f.Finish(f.now, a, Report{Outcome: OutcomeDone, RunTime: runTime})
	}
}

// runTasks admits and completes single-task jobs one after the other.
func (f *fixture) runTasks(count int, report func(Assignment) Report) (targets map[string]int) {
	targets = map[string]int{}
	for range count {
		f.admit(nil)
		a, ok := f.Next(f.now)
		if !ok {
			continue
		}
		targets[a.Target]++
		f.advanceTime(10 * time.Millisecond)
		f.Finish(f.now, a, report(a))
		f.Cancel(f.now, a.Job)
	}
	return targets
}

func succeed(Assignment) Report {
	return Report{Outcome: OutcomeDone, RunTime: 10 * time.Millisecond}
}

// failOn returns a report function that fails all tasks on the named targets.
func failOn(failing ...string) func(Assignment) Report {
	return func(a Assignment) Report {
		for _, name := range failing {
			if a.Target == name {
				return Report{Outcome: OutcomeFailed, RunTime: time.Millisecond}
			}
		}
		return succeed(a)
	}
}

// TestAdmissionReasons guards against unjustified refusals and wrong reasons.
func TestAdmissionReasons(t *testing.T) {
	for _, test := range []struct {
		name   string
		setup  func(*fixture)
		job    func(*Job)
		reason rattanjob.Reason
		retry  bool
	}{
		{name: "fits", job: func(j *Job) { j.CoresPerTask = 16 }},
		{name: "declared run time above deadline", job: func(j *Job) { j.RunTime = 10 * time.Minute }},
		{name: "no task", job: func(j *Job) { j.Tasks = 0 }, reason: rattanjob.ReasonInvalid},
		{name: "unknown service", job: func(j *Job) { j.Service = "other" }, reason: rattanjob.ReasonNeverRunnable},
		{name: "too many cores", job: func(j *Job) { j.CoresPerTask = 17 }, reason: rattanjob.ReasonNeverRunnable},
		{name: "all targets removed", setup: func(f *fixture) { f.SetTargets(f.now, nil) }, reason: rattanjob.ReasonNoTarget, retry: true},
		{name: "all targets leaving", setup: func(f *fixture) {
			leaving := targets(2)
			leaving[0].Leaving, leaving[1].Leaving = true, true
			f.SetTargets(f.now, leaving)
		}, reason: rattanjob.ReasonNoTarget, retry: true},
		{name: "no former target fits", setup: func(f *fixture) { f.SetTargets(f.now, nil) }, job: func(j *Job) { j.AcceleratorsPerTask = 1 }, reason: rattanjob.ReasonNeverRunnable},
		{name: "deadline passed", job: func(j *Job) { j.Deadline = simStart.Add(-time.Second) }, reason: rattanjob.ReasonDeadlineTooShort},
		{
			name: "learned run time above deadline", setup: func(f *fixture) { f.runTasks(20, runSlowly) },
			job:    func(j *Job) { j.Deadline = simStart.Add(2 * time.Second) },
			reason: rattanjob.ReasonDeadlineTooShort,
		},
		{name: "small job behind a large one", setup: func(f *fixture) {
			f.runTasks(20, runSlowly)
			f.admit(func(j *Job) { j.Tasks = 250; j.Deadline = f.now.Add(time.Hour) })
		}, job: func(j *Job) { j.Deadline = simStart.Add(30 * time.Second) }},
		{name: "backlog", setup: func(f *fixture) {
			f.runTasks(20, runSlowly)
			for range 250 {
				f.admit(func(j *Job) { j.Deadline = f.now.Add(time.Hour) })
			}
		}, job: func(j *Job) { j.Deadline = simStart.Add(30 * time.Second) }, reason: rattanjob.ReasonOverloaded, retry: true},
		{name: "quota", setup: func(f *fixture) {
			f.runTasks(20, runSlowly)
			f.SetCallers(f.now, []Caller{{Name: "c", Weight: 1, Quota: 1}})
		}, job: func(j *Job) { j.Tasks = 20; j.Deadline = simStart.Add(30 * time.Second) }, reason: rattanjob.ReasonOverQuota, retry: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(targets(2)...)
			if test.setup != nil {
				test.setup(f)
			}
			got := f.admit(test.job)
			qt.Assert(t, got.Reason, qt.Equals, test.reason, qt.Commentf("%+v", got))
			qt.Assert(t, got.Admitted, qt.Equals, test.reason == rattanjob.ReasonNone)
			qt.Assert(t, got.RetryAfter > 0, qt.Equals, test.retry)
		})
	}
}

func runSlowly(Assignment) Report {
	return Report{Outcome: OutcomeDone, RunTime: 5 * time.Second}
}

// TestRetryAfterIsSpread guards against refused callers that all retry at the
// same time.
func TestRetryAfterIsSpread(t *testing.T) {
	f := newFixture(targets(2)...)
	f.SetTargets(f.now, nil)
	seen := map[time.Duration]bool{}
	for range 20 {
		retry := f.admit(nil).RetryAfter
		qt.Assert(t, retry >= minNoTargetRetryAfter && retry <= 2*minNoTargetRetryAfter, qt.IsTrue)
		seen[retry] = true
	}
	qt.Assert(t, len(seen), qt.Equals, 20)
}

// TestAdmissionWithinShare guards against refusing a caller within its share
// because another caller has filled the queue.
func TestAdmissionWithinShare(t *testing.T) {
	f := newFixture(targets(10)...)
	f.runTasks(20, succeed)
	deadline := func(j *Job) { j.Tasks = 100; j.Deadline = f.now.Add(200 * time.Millisecond) }
	admitted := 0
	for f.admit(deadline).Admitted {
		admitted++
	}
	qt.Assert(t, admitted > 1, qt.IsTrue)
	got := f.admit(func(j *Job) { deadline(j); j.Caller = "other"; j.Tasks = 20 })
	qt.Assert(t, got.Admitted, qt.IsTrue, qt.Commentf("%+v", got))
}

// TestExpire guards against jobs that keep waiting although they cannot end in
// time, and against expiring a job that has started a task.
func TestExpire(t *testing.T) {
	f := newFixture(targets(1)...)
	f.runTasks(20, func(Assignment) Report { return Report{Outcome: OutcomeDone, RunTime: time.Second} })
	f.admit(func(j *Job) { j.Tasks = 5; j.Deadline = f.now.Add(3 * time.Second) })
	started, last := f.assignAll(), f.id
	qt.Assert(t, started, qt.HasLen, 4)
	qt.Assert(t, f.admit(func(j *Job) { j.Deadline = f.now.Add(2 * time.Second) }).Admitted, qt.IsTrue)
	f.advanceTime(500 * time.Millisecond)
	qt.Assert(t, f.Expire(f.now), qt.HasLen, 0)
	f.advanceTime(700 * time.Millisecond)
	qt.Assert(t, f.Expire(f.now), qt.DeepEquals, []JobID{last + 1})
	f.complete(1200*time.Millisecond, started...)
	rest := f.assignAll()
	qt.Assert(t, rest, qt.HasLen, 1)
	qt.Assert(t, rest[0].Job, qt.Equals, last)
}

// TestRunTimes guards against estimates that keep a wrong declared run time or
// are dominated by rare, very long tasks.
func TestRunTimes(t *testing.T) {
	const actual = 200 * time.Millisecond
	for _, declared := range []time.Duration{actual / 10, actual, 10 * actual} {
		k := &kind{declaredRunTime: declared}
		qt.Assert(t, k.expectedRunTime(), qt.Equals, declared)
		for i := range 1000 {
			run := actual
			if i%100 == 50 {
				run *= 100
			}
			k.addSample(run, log2RunTime(run))
			if i >= 50 {
				qt.Assert(t, k.expectedMaxRunTime(100) < 2*actual, qt.IsTrue)
			}
			if i >= minSamples {
				qt.Assert(t, k.medianRunTime() > actual/2 && k.medianRunTime() < 2*actual, qt.IsTrue)
			}
		}
		qt.Assert(t, k.exceedsLongThreshold(2*time.Second), qt.IsFalse)
		// The mean run time is 1.99 times the usual one.
		qt.Assert(t, k.expectedRunTime() > actual && k.expectedRunTime() < 3*actual, qt.IsTrue)
	}
}

// TestLongWork guards against long work that takes all slots while short work
// is active, against idle slots when there is no short work, and against
// overruns that are not detected.
func TestLongWork(t *testing.T) {
	long := func(j *Job) {
		j.Kind, j.Tasks, j.RunTime, j.Deadline = "long", 40, 10*time.Second, simStart.Add(time.Hour)
	}
	f := newFixture(targets(5)...)
	f.admit(long)
	qt.Assert(t, f.assignAll(), qt.HasLen, 20)

	f = newFixture(targets(5)...)
	f.runTasks(1, succeed)
	f.admit(long)
	qt.Assert(t, f.assignAll(), qt.HasLen, 12)
	for started := 0; started < 8; started += len(f.assignAll()) {
		wake, ok := f.NextWake(f.now)
		qt.Assert(t, ok, qt.IsTrue)
		f.advanceTime(wake)
		qt.Assert(t, f.now.Sub(simStart) < 11*time.Second, qt.IsTrue)
	}

	f = newFixture(targets(5)...)
	f.runTasks(20, succeed)
	f.admit(func(j *Job) { j.Tasks = 12 })
	qt.Assert(t, f.assignAll(), qt.HasLen, 12)
	f.advanceTime(time.Second)
	f.admit(long)
	qt.Assert(t, len(f.assignAll()) <= 2, qt.IsTrue)
}

// TestLongWorkNotStarved guards against long work that never starts during a
// flood of short work. For long work below minLongShare, the bound is MaxWait
// plus the run time of a long task.
func TestLongWorkNotStarved(t *testing.T) {
	extract := transcriptLong[0]
	extract.tasks, extract.tailProbability, extract.declaredRatio = 3, 0, 1
	callers := callerNames(4)
	jobs := generate(1, 136,
		simStream{kinds: transcriptShort, callers: callers, load: 1.5, to: 40 * time.Second, deadline: 5 * time.Second},
		simStream{kinds: []simKind{extract}, callers: callers, load: 0.1, to: 40 * time.Second, deadline: 5 * time.Minute})
	simRun(Config{}, 136, jobs)
	var longest time.Duration
	count := 0
	for _, j := range jobs {
		if j.Kind == extract.name && j.admission.Admitted {
			count++
			qt.Assert(t, j.waits, qt.HasLen, j.Tasks)
			for _, wait := range j.waits {
				longest = max(longest, wait)
			}
		}
	}
	t.Logf("longest wait %v of %d long jobs", longest, count)
	qt.Assert(t, count > 20, qt.IsTrue)
	qt.Assert(t, longest <= 3*time.Second+extract.median, qt.IsTrue, qt.Commentf("longest wait %v", longest))
}

// TestRetryBudget guards against more retries than 10% of the recent starts or
// 10 per second, and against retries that never happen.
func TestRetryBudget(t *testing.T) {
	f := newFixture(targets(50)...)
	f.admit(func(j *Job) { j.Tasks = 200 })
	refused := f.assignAll()
	qt.Assert(t, refused, qt.HasLen, 200)
	for _, a := range refused {
		qt.Assert(t, f.Finish(f.now, a, Report{Outcome: OutcomeNotStarted}), qt.IsTrue)
	}
	retried := 0
	for f.now.Before(simStart.Add(2 * time.Second)) {
		wake, ok := f.NextWake(f.now)
		qt.Assert(t, ok, qt.IsTrue)
		f.advanceTime(wake)
		retried += len(f.assignAll())
	}
	qt.Assert(t, retried >= 20 && retried <= 50, qt.IsTrue, qt.Commentf("%d retries in 2 s", retried))
	for retried < 200 {
		wake, _ := f.NextWake(f.now)
		f.advanceTime(wake)
		retried += len(f.assignAll())
	}
	qt.Assert(t, f.now.Before(simStart.Add(25*time.Second)), qt.IsTrue)
}

// TestBusyBackoff guards against repeated dispatches to a busy target without
// increasing pauses.
func TestBusyBackoff(t *testing.T) {
	f := newFixture(targets(1)...)
	f.admit(nil)
	last := time.Duration(0)
	for attempt := 1; attempt <= 6; attempt++ {
		a, ok := f.Next(f.now)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, a.Attempt, qt.Equals, attempt)
		f.Finish(f.now, a, Report{Outcome: OutcomeNotStarted})
		_, ok = f.Next(f.now)
		qt.Assert(t, ok, qt.IsFalse)
		wake, ok := f.NextWake(f.now)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, wake > last, qt.IsTrue)
		last = wake
		f.advanceTime(wake)
	}
}

// TestEjection guards against a target that fails fast and attracts more tasks
// because its slots are free sooner. It also checks the probes and the steps of
// the reinstatement.
func TestEjection(t *testing.T) {
	f := newFixture(targets(10)...)
	before := f.runTasks(3000, failOn("t3"))["t3"]
	qt.Assert(t, before >= 3 && before < 10, qt.IsTrue, qt.Commentf("%d tasks on the failing target", before))
	qt.Assert(t, f.targets["t3"].health, qt.Not(qt.Equals), healthGood)

	f.advanceTime(time.Minute)
	f.admit(func(j *Job) { j.Idempotent = false })
	a, _ := f.Next(f.now)
	qt.Assert(t, a.Target, qt.Not(qt.Equals), "t3")
	f.admit(func(j *Job) { j.Tasks = 2 })
	probe := f.assignAll()
	qt.Assert(t, probe[0].Target, qt.Equals, "t3")
	qt.Assert(t, probe[0].Choice, qt.Equals, ChoiceProbe)
	qt.Assert(t, probe[1].Target, qt.Not(qt.Equals), "t3")
	f.complete(time.Millisecond, append(probe, a)...)
	for _, limit := range []int{1, 2, 4} {
		f.admit(func(j *Job) { j.Tasks = 40 })
		started := f.assignAll()
		busySlots := f.targets["t3"].busySlots
		qt.Assert(t, busySlots, qt.Equals, limit)
		f.Cancel(f.now, f.id)
		for _, a := range started {
			if a.Target == "t3" && busySlots > 0 {
				busySlots = 0
				f.complete(time.Millisecond, a)
				continue
			}
			f.Finish(f.now, a, Report{Outcome: OutcomeStopped})
		}
	}
	qt.Assert(t, f.targets["t3"].health, qt.Equals, healthGood)
}

// TestEjectionCap guards against ejecting more than 30% of the targets, and
// against ejecting any when most of them fail.
func TestEjectionCap(t *testing.T) {
	f := newFixture(targets(10)...)
	f.runTasks(2000, failOn("t0", "t1", "t2", "t3"))
	qt.Assert(t, f.services["s"].ejectedTargets, qt.Equals, 3)

	f = newFixture(targets(10)...)
	f.runTasks(2000, failOn("t0", "t1", "t2", "t3", "t4", "t5", "t6"))
	qt.Assert(t, f.services["s"].ejectedTargets, qt.Equals, 0)
	qt.Assert(t, f.Load(f.now).Slots, qt.Equals, 40)
}

// TestPlacement guards against concentrating a job on one rack, against
// preferring slow targets and targets with accelerators, and against slots that
// stay idle although tasks fit on them.
func TestPlacement(t *testing.T) {
	f := newFixture(targets(8)...)
	f.admit(func(j *Job) { j.Tasks = 4 })
	racks := map[int]bool{}
	for _, a := range f.assignAll() {
		racks[f.targets[a.Target].rack] = true
	}
	qt.Assert(t, racks, qt.HasLen, 4)

	f = newFixture(targets(4)...)
	slowOne := func(a Assignment) Report {
		report := succeed(a)
		if a.Target == "t1" {
			report.RunTime *= 3
		}
		return report
	}
	f.runTasks(400, slowOne)
	qt.Assert(t, f.runTasks(200, slowOne)["t1"], qt.Equals, 0)

	mixed := targets(2)
	mixed[0].Accelerators = 2
	f = newFixture(mixed...)
	f.admit(func(j *Job) { j.Tasks = 5 })
	started := f.assignAll()
	qt.Assert(t, started, qt.HasLen, 5)
	qt.Assert(t, f.targets["t1"].busySlots, qt.Equals, 4)
	f.admit(func(j *Job) { j.Tasks = 3; j.AcceleratorsPerTask = 1 })
	qt.Assert(t, f.assignAll(), qt.HasLen, 2)
}

// TestRemovedTarget guards against assignments to removed targets, and against
// losing track of the slots that are still occupied on them.
func TestRemovedTarget(t *testing.T) {
	f := newFixture(targets(1)...)
	f.admit(func(j *Job) { j.Tasks = 3 })
	started := f.assignAll()
	f.SetTargets(f.now, nil)
	qt.Assert(t, f.Load(f.now), qt.DeepEquals, Load{Slots: 3, BusySlots: 3, CallerSlots: map[string]int{"c": 3}})
	f.complete(time.Second, started[0])
	f.SetTargets(f.now, targets(1))
	qt.Assert(t, f.Load(f.now).BusySlots, qt.Equals, 2)
	f.admit(func(j *Job) { j.Tasks = 4 })
	more := f.assignAll()
	qt.Assert(t, more, qt.HasLen, 2)
	f.SetTargets(f.now, nil)
	f.complete(time.Second, append(more, started[1:]...)...)
	qt.Assert(t, f.targets, qt.HasLen, 0)
	qt.Assert(t, f.Cancel(f.now, f.id), qt.Equals, 2)
}

// TestWeights guards against callers that compete for all slots and get shares
// that do not follow their weights.
func TestWeights(t *testing.T) {
	f := newFixture(targets(2)...)
	f.SetCallers(f.now, []Caller{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}})
	for _, name := range []string{"a", "b"} {
		for range 8 {
			f.admit(func(j *Job) { j.Caller, j.Tasks, j.Deadline = name, 250, simStart.Add(time.Hour) })
		}
	}
	count := map[bool]int{}
	for round := range 300 {
		started := f.assignAll()
		for _, a := range started {
			// Callers may run ahead of their share by FairBurst at first.
			if round >= 100 {
				count[f.jobs[a.Job].Caller == "b"]++
			}
		}
		f.advanceTime(100 * time.Millisecond)
		f.complete(100*time.Millisecond, started...)
	}
	share := float64(count[true]) / float64(count[true]+count[false])
	qt.Assert(t, share > 0.7 && share < 0.8, qt.IsTrue, qt.Commentf("share %.3f", share))
}

// TestLargeTaskNotStarved guards against small tasks that take every freed slot
// while a task waits for a whole target. The bound is MaxWait plus the time
// until all tasks on a target have ended, here twice the run time.
func TestLargeTaskNotStarved(t *testing.T) {
	f := newFixture(targets(3)...)
	var running []Assignment
	small := func(j *Job) { j.Tasks, j.CoresPerTask, j.Deadline = 40, 4, f.now.Add(time.Hour) }
	step := 25 * time.Millisecond
	large := JobID(0)
	var waited time.Duration
	for round := 0; waited == 0; round++ {
		if round%2 == 0 {
			f.admit(small)
		}
		if round == 40 {
			f.admit(func(j *Job) { j.CoresPerTask, j.Caller, j.Deadline = 16, "large", f.now.Add(time.Hour) })
			large = f.id
		}
		if len(running) > 0 {
			f.complete(step*time.Duration(len(running)), running[0])
			running = running[1:]
		}
		for _, a := range f.assignAll() {
			if a.Job == large {
				waited = a.Waited
			}
			running = append(running, a)
		}
		f.advanceTime(step)
		qt.Assert(t, round < 1000, qt.IsTrue)
	}
	t.Logf("waited %v", waited)
	qt.Assert(t, waited < 3*time.Second+2*12*step, qt.IsTrue)
}
