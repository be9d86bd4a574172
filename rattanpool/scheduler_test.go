package rattanpool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// fixture is a scheduler on a few targets, with a moving present time.
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

// targets returns a number of targets with 4 slots, 2 to a rack.
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

// all returns the assignments that are possible now.
func (f *fixture) all() (started []Assignment) {
	for {
		a, ok := f.Next(f.now)
		if !ok {
			return started
		}
		started = append(started, a)
	}
}

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) done(run time.Duration, ended ...Assignment) {
	for _, a := range ended {
		f.Finish(f.now, a, Report{Outcome: OutcomeDone, RunTime: run})
	}
}

// run admits and completes single tasks, one after the other.
func (f *fixture) run(count int, run func(Assignment) Report) (targets map[string]int) {
	targets = map[string]int{}
	for range count {
		f.admit(nil)
		a, ok := f.Next(f.now)
		if !ok {
			continue
		}
		targets[a.Target]++
		f.pass(10 * time.Millisecond)
		f.Finish(f.now, a, run(a))
		f.Cancel(f.now, a.Job)
	}
	return targets
}

func succeed(Assignment) Report {
	return Report{Outcome: OutcomeDone, RunTime: 10 * time.Millisecond}
}

// failOn returns outcomes for a fleet on which some targets fail all tasks.
func failOn(broken ...string) func(Assignment) Report {
	return func(a Assignment) Report {
		for _, name := range broken {
			if a.Target == name {
				return Report{Outcome: OutcomeFailed, RunTime: time.Millisecond}
			}
		}
		return succeed(a)
	}
}

// TestAdmissionReasons guards against wrong or false refusals.
func TestAdmissionReasons(t *testing.T) {
	for _, test := range []struct {
		name   string
		setup  func(*fixture)
		job    func(*Job)
		reason rattanjob.Reason
		retry  bool
	}{
		{name: "fits", job: func(j *Job) { j.CoresPerTask = 16 }},
		{name: "declared run time is only a guess", job: func(j *Job) { j.RunTime = 10 * time.Minute }},
		{name: "no task", job: func(j *Job) { j.Tasks = 0 }, reason: rattanjob.ReasonInvalid},
		{name: "unknown service", job: func(j *Job) { j.Service = "other" }, reason: rattanjob.ReasonNeverRunnable},
		{name: "too many cores", job: func(j *Job) { j.CoresPerTask = 17 }, reason: rattanjob.ReasonNeverRunnable},
		{name: "all targets gone", setup: func(f *fixture) { f.SetTargets(f.now, nil) }, reason: rattanjob.ReasonNoTarget, retry: true},
		{name: "all targets leave", setup: func(f *fixture) {
			leaving := targets(2)
			leaving[0].Leaving, leaving[1].Leaving = true, true
			f.SetTargets(f.now, leaving)
		}, reason: rattanjob.ReasonNoTarget, retry: true},
		{name: "gone targets never fitted", setup: func(f *fixture) { f.SetTargets(f.now, nil) }, job: func(j *Job) { j.AcceleratorsPerTask = 1 }, reason: rattanjob.ReasonNeverRunnable},
		{name: "deadline passed", job: func(j *Job) { j.Deadline = simStart.Add(-time.Second) }, reason: rattanjob.ReasonDeadlineTooShort},
		{
			name: "learned run time above deadline", setup: func(f *fixture) { f.run(20, slow) },
			job:    func(j *Job) { j.Deadline = simStart.Add(2 * time.Second) },
			reason: rattanjob.ReasonDeadlineTooShort,
		},
		{name: "small job behind a large one", setup: func(f *fixture) {
			f.run(20, slow)
			f.admit(func(j *Job) { j.Tasks = 250; j.Deadline = f.now.Add(time.Hour) })
		}, job: func(j *Job) { j.Deadline = simStart.Add(30 * time.Second) }},
		{name: "backlog", setup: func(f *fixture) {
			f.run(20, slow)
			for range 250 {
				f.admit(func(j *Job) { j.Deadline = f.now.Add(time.Hour) })
			}
		}, job: func(j *Job) { j.Deadline = simStart.Add(30 * time.Second) }, reason: rattanjob.ReasonOverloaded, retry: true},
		{name: "quota", setup: func(f *fixture) {
			f.run(20, slow)
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

func slow(Assignment) Report {
	return Report{Outcome: OutcomeDone, RunTime: 5 * time.Second}
}

// TestRetryAfterIsSpread guards against refused callers that come back together.
func TestRetryAfterIsSpread(t *testing.T) {
	f := newFixture(targets(2)...)
	f.SetTargets(f.now, nil)
	seen := map[time.Duration]bool{}
	for range 20 {
		retry := f.admit(nil).RetryAfter
		qt.Assert(t, retry >= noTargetRetry && retry <= 2*noTargetRetry, qt.IsTrue)
		seen[retry] = true
	}
	qt.Assert(t, len(seen), qt.Equals, 20)
}

// TestAdmissionWithinShare guards against refusals of a caller within its share
// because another caller has filled the queue.
func TestAdmissionWithinShare(t *testing.T) {
	f := newFixture(targets(10)...)
	f.run(20, succeed)
	deadline := func(j *Job) { j.Tasks = 100; j.Deadline = f.now.Add(200 * time.Millisecond) }
	greedy := 0
	for f.admit(deadline).Admitted {
		greedy++
	}
	qt.Assert(t, greedy > 1, qt.IsTrue)
	got := f.admit(func(j *Job) { deadline(j); j.Caller = "other"; j.Tasks = 20 })
	qt.Assert(t, got.Admitted, qt.IsTrue, qt.Commentf("%+v", got))
}

// TestExpire guards against jobs that wait although they cannot end in time, and
// against "not run" for a job of which a task was started.
func TestExpire(t *testing.T) {
	f := newFixture(targets(1)...)
	f.run(20, func(Assignment) Report { return Report{Outcome: OutcomeDone, RunTime: time.Second} })
	f.admit(func(j *Job) { j.Tasks = 5; j.Deadline = f.now.Add(3 * time.Second) })
	started, last := f.all(), f.id
	qt.Assert(t, started, qt.HasLen, 4)
	qt.Assert(t, f.admit(func(j *Job) { j.Deadline = f.now.Add(2 * time.Second) }).Admitted, qt.IsTrue)
	f.pass(500 * time.Millisecond)
	qt.Assert(t, f.Expire(f.now), qt.HasLen, 0)
	f.pass(700 * time.Millisecond)
	qt.Assert(t, f.Expire(f.now), qt.DeepEquals, []JobID{last + 1})
	f.done(1200*time.Millisecond, started...)
	rest := f.all()
	qt.Assert(t, rest, qt.HasLen, 1)
	qt.Assert(t, rest[0].Job, qt.Equals, last)
}

// TestRunTimes guards against estimates that keep a declared run time that is
// wrong, or that follow rare very long tasks.
func TestRunTimes(t *testing.T) {
	const actual = 200 * time.Millisecond
	for _, declared := range []time.Duration{actual / 10, actual, 10 * actual} {
		k := &kind{declared: declared}
		qt.Assert(t, k.expected(), qt.Equals, declared)
		for i := range 1000 {
			run := actual
			if i%100 == 50 {
				run *= 100
			}
			k.learn(run, octavesOf(run))
			if i >= 50 {
				qt.Assert(t, k.longest(100) < 2*actual, qt.IsTrue)
			}
			if i >= learnedSamples {
				qt.Assert(t, k.typical() > actual/2 && k.typical() < 2*actual, qt.IsTrue)
			}
		}
		qt.Assert(t, k.nowLong(2*time.Second), qt.IsFalse)
		// The mean of the work is 1.99 times the usual run time.
		qt.Assert(t, k.expected() > actual && k.expected() < 3*actual, qt.IsTrue)
	}
}

// TestLongWork guards against long work that takes all slots while short work is
// present, against idle slots when there is none, and against overruns that are
// not noticed.
func TestLongWork(t *testing.T) {
	long := func(j *Job) {
		j.Kind, j.Tasks, j.RunTime, j.Deadline = "long", 40, 10*time.Second, simStart.Add(time.Hour)
	}
	f := newFixture(targets(5)...)
	f.admit(long)
	qt.Assert(t, f.all(), qt.HasLen, 20)

	f = newFixture(targets(5)...)
	f.run(1, succeed)
	f.admit(long)
	qt.Assert(t, f.all(), qt.HasLen, 14)
	for started := 0; started < 6; started += len(f.all()) {
		wake, ok := f.NextWake(f.now)
		qt.Assert(t, ok, qt.IsTrue)
		f.pass(wake)
		qt.Assert(t, f.now.Sub(simStart) < 11*time.Second, qt.IsTrue)
	}

	f = newFixture(targets(5)...)
	f.run(20, succeed)
	f.admit(func(j *Job) { j.Tasks = 12 })
	qt.Assert(t, f.all(), qt.HasLen, 12)
	f.pass(time.Second)
	f.admit(long)
	qt.Assert(t, len(f.all()) <= 2, qt.IsTrue)
}

// TestLongWorkNotStarved guards against long work that never starts during a
// flood of short work. The bound is MaxWait plus the run time of a long task,
// for long work below leastLongShare.
func TestLongWorkNotStarved(t *testing.T) {
	extract := transcriptLong[0]
	extract.tasks, extract.tail, extract.declared = 3, 0, 1
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

// TestRetryBudget guards against more retries than 10% of recent starts, or 10
// per second, and against retries that are never made.
func TestRetryBudget(t *testing.T) {
	f := newFixture(targets(50)...)
	f.admit(func(j *Job) { j.Tasks = 200 })
	refused := f.all()
	qt.Assert(t, refused, qt.HasLen, 200)
	for _, a := range refused {
		qt.Assert(t, f.Finish(f.now, a, Report{Outcome: OutcomeNotStarted}), qt.IsTrue)
	}
	retried := 0
	for f.now.Before(simStart.Add(2 * time.Second)) {
		wake, ok := f.NextWake(f.now)
		qt.Assert(t, ok, qt.IsTrue)
		f.pass(wake)
		retried += len(f.all())
	}
	qt.Assert(t, retried >= 20 && retried <= 50, qt.IsTrue, qt.Commentf("%d retries in 2 s", retried))
	for retried < 200 {
		wake, _ := f.NextWake(f.now)
		f.pass(wake)
		retried += len(f.all())
	}
	qt.Assert(t, f.now.Before(simStart.Add(25*time.Second)), qt.IsTrue)
}

// TestBusyBackoff guards against hammering a target that refuses.
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
		f.pass(wake)
	}
}

// TestEjection guards against a fail-fast target that attracts work, and checks
// its probes and the steps of its reinstatement.
func TestEjection(t *testing.T) {
	f := newFixture(targets(10)...)
	before := f.run(3000, failOn("t3"))["t3"]
	qt.Assert(t, before >= 3 && before < 10, qt.IsTrue, qt.Commentf("%d tasks on the failing target", before))
	qt.Assert(t, f.targets["t3"].health, qt.Not(qt.Equals), healthGood)

	f.pass(time.Minute)
	f.admit(func(j *Job) { j.Idempotent = false })
	a, _ := f.Next(f.now)
	qt.Assert(t, a.Target, qt.Not(qt.Equals), "t3")
	f.admit(func(j *Job) { j.Tasks = 2 })
	probe := f.all()
	qt.Assert(t, probe[0].Target, qt.Equals, "t3")
	qt.Assert(t, probe[0].Choice, qt.Equals, ChoiceProbe)
	qt.Assert(t, probe[1].Target, qt.Not(qt.Equals), "t3")
	f.done(time.Millisecond, append(probe, a)...)
	for _, limit := range []int{1, 2, 4} {
		f.admit(func(j *Job) { j.Tasks = 40 })
		started := f.all()
		held := f.targets["t3"].held
		qt.Assert(t, held, qt.Equals, limit)
		f.Cancel(f.now, f.id)
		for _, a := range started {
			if a.Target == "t3" && held > 0 {
				held = 0
				f.done(time.Millisecond, a)
				continue
			}
			f.Finish(f.now, a, Report{Outcome: OutcomeStopped})
		}
	}
	qt.Assert(t, f.targets["t3"].health, qt.Equals, healthGood)
}

// TestEjectionCap guards against the ejection of more than 30% of the targets,
// and of any when most look broken.
func TestEjectionCap(t *testing.T) {
	f := newFixture(targets(10)...)
	f.run(2000, failOn("t0", "t1", "t2", "t3"))
	qt.Assert(t, f.services["s"].ejected, qt.Equals, 3)

	f = newFixture(targets(10)...)
	f.run(2000, failOn("t0", "t1", "t2", "t3", "t4", "t5", "t6"))
	qt.Assert(t, f.services["s"].ejected, qt.Equals, 0)
	qt.Assert(t, f.Load(f.now).Slots, qt.Equals, 40)
}

// TestPlacement guards against jobs packed into one rack, against slow targets
// and targets with accelerators used first, and against idle slots that fit.
func TestPlacement(t *testing.T) {
	f := newFixture(targets(8)...)
	f.admit(func(j *Job) { j.Tasks = 4 })
	racks := map[int]bool{}
	for _, a := range f.all() {
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
	f.run(400, slowOne)
	qt.Assert(t, f.run(200, slowOne)["t1"], qt.Equals, 0)

	mixed := targets(2)
	mixed[0].Accelerators = 2
	f = newFixture(mixed...)
	f.admit(func(j *Job) { j.Tasks = 5 })
	started := f.all()
	qt.Assert(t, started, qt.HasLen, 5)
	qt.Assert(t, f.targets["t1"].held, qt.Equals, 4)
	f.admit(func(j *Job) { j.Tasks = 3; j.AcceleratorsPerTask = 1 })
	qt.Assert(t, f.all(), qt.HasLen, 2)
}

// TestRemovedTarget guards against work for a target that leaves or is gone, and
// against slots that are forgotten while they are held.
func TestRemovedTarget(t *testing.T) {
	f := newFixture(targets(1)...)
	f.admit(func(j *Job) { j.Tasks = 3 })
	started := f.all()
	f.SetTargets(f.now, nil)
	qt.Assert(t, f.Load(f.now), qt.DeepEquals, Load{Slots: 3, BusySlots: 3, CallerSlots: map[string]int{"c": 3}})
	f.done(time.Second, started[0])
	f.SetTargets(f.now, targets(1))
	qt.Assert(t, f.Load(f.now).BusySlots, qt.Equals, 2)
	f.admit(func(j *Job) { j.Tasks = 4 })
	more := f.all()
	qt.Assert(t, more, qt.HasLen, 2)
	f.SetTargets(f.now, nil)
	f.done(time.Second, append(more, started[1:]...)...)
	qt.Assert(t, f.targets, qt.HasLen, 0)
	qt.Assert(t, f.Cancel(f.now, f.id), qt.Equals, 2)
}

// TestWeights guards against shares that do not follow the weights.
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
		started := f.all()
		for _, a := range started {
			// Callers may use FairBurst ahead of their share at first.
			if round >= 100 {
				count[f.jobs[a.Job].Caller == "b"]++
			}
		}
		f.pass(100 * time.Millisecond)
		f.done(100*time.Millisecond, started...)
	}
	share := float64(count[true]) / float64(count[true]+count[false])
	qt.Assert(t, share > 0.7 && share < 0.8, qt.IsTrue, qt.Commentf("share %.3f", share))
}

// TestLargeTaskNotStarved guards against small tasks that take each slot that
// becomes free before a task that needs a whole target. The bound is MaxWait
// plus the time in which a target becomes free, twice the run time here.
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
			f.done(step*time.Duration(len(running)), running[0])
			running = running[1:]
		}
		for _, a := range f.all() {
			if a.Job == large {
				waited = a.Waited
			}
			running = append(running, a)
		}
		f.pass(step)
		qt.Assert(t, round < 1000, qt.IsTrue)
	}
	t.Logf("waited %v", waited)
	qt.Assert(t, waited < 3*time.Second+2*12*step, qt.IsTrue)
}
