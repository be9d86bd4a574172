package rattanpool

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The property tests use a fixed seed unless flags override it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// modelTask is the expected state of a task.
type modelTask struct {
	attempts int
	running  bool
	ended    bool
}

// model drives a scheduler with random calls and checks the results against the
// expected state.
type model struct {
	t         *rapid.T
	s         *Scheduler
	now       time.Time
	targets   map[string]Target
	quotas    map[string]int
	jobs      map[JobID][]modelTask
	submitted map[JobID]Job
	running   []Assignment
	// unresolved holds the unresolved tasks with the time at which their slots
	// are freed.
	unresolved map[Assignment]time.Time
	nextID     JobID
}

func newModel(t *rapid.T) *model {
	return &model{
		t: t, s: New(Config{PanicOnViolation: true}), now: simStart,
		jobs: map[JobID][]modelTask{}, submitted: map[JobID]Job{}, quotas: map[string]int{},
		unresolved: map[Assignment]time.Time{},
	}
}

func (m *model) setTargets(t *rapid.T) {
	m.targets = map[string]Target{}
	var list []Target
	for i := range 6 {
		if rapid.IntRange(0, 4).Draw(t, "listed") == 0 {
			continue
		}
		list = append(list, Target{
			Name: fmt.Sprint("t", i), Rack: fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "rack")),
			Service: fmt.Sprint("s", i%2), Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Cores: 8, MemoryMB: 100, Accelerators: i / 3,
			Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		})
		m.targets[list[len(list)-1].Name] = list[len(list)-1]
	}
	m.s.SetTargets(m.now, list)
}

func (m *model) setCallers(t *rapid.T) {
	m.quotas = map[string]int{}
	var list []Caller
	for i := range 3 {
		name := fmt.Sprint("c", i)
		m.quotas[name] = rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "quota")
		list = append(list, Caller{Name: name, Weight: float64(1 + i), Quota: m.quotas[name]})
	}
	m.s.SetCallers(m.now, list)
}

func (m *model) admit(t *rapid.T) {
	m.nextID++
	j := Job{
		ID: m.nextID, Caller: fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "caller")),
		Service: fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service")), Kind: fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "kind")),
		Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), RunTime: time.Duration(rapid.IntRange(0, 5000).Draw(t, "declared")) * time.Millisecond,
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "deadline")) * time.Millisecond),
		Idempotent: rapid.Bool().Draw(t, "idempotent"), CoresPerTask: rapid.IntRange(0, 4).Draw(t, "cores"),
		AcceleratorsPerTask: rapid.IntRange(0, 1).Draw(t, "accelerators"),
	}
	if m.s.Admit(m.now, j).Admitted {
		m.jobs[j.ID] = make([]modelTask, j.Tasks)
		m.submitted[j.ID] = j
	}
}

func (m *model) next(t *rapid.T) {
	a, ok := m.s.Next(m.now)
	if !ok {
		return
	}
	tasks, known := m.jobs[a.Job]
	if !known {
		t.Fatalf("assigned task belongs to job %d, which is not in progress", a.Job)
	}
	task := &tasks[a.Task]
	if task.running || task.ended || a.Attempt != task.attempts+1 {
		t.Fatalf("unexpected assignment %+v, expected state of the task %+v", a, *task)
	}
	worker, listed := m.targets[a.Target]
	j := m.submitted[a.Job]
	if !listed || worker.Leaving || worker.Service != j.Service {
		t.Fatalf("task assigned to unsuitable target %+v", worker)
	}
	task.running, task.attempts = true, a.Attempt
	m.running = append(m.running, a)
	busySlots, cores, accelerators, callerSlots := 0, 0, 0, 0
	for _, other := range m.occupyingAssignments() {
		if other.Target == a.Target {
			busySlots++
			cores += m.submitted[other.Job].CoresPerTask
			accelerators += m.submitted[other.Job].AcceleratorsPerTask
		}
		if m.submitted[other.Job].Caller == j.Caller {
			callerSlots++
		}
	}
	if busySlots > worker.Slots || cores > worker.Cores || accelerators > worker.Accelerators {
		t.Fatalf("target %+v runs %d tasks with %d cores and %d accelerators", worker, busySlots, cores, accelerators)
	}
	if quota := m.quotas[j.Caller]; quota > 0 && callerSlots > quota {
		t.Fatalf("caller %s occupies %d slots, quota %d", j.Caller, callerSlots, quota)
	}
}

// occupyingAssignments returns the assignments that occupy a slot.
func (m *model) occupyingAssignments() []Assignment {
	all := slices.Clone(m.running)
	for a, end := range m.unresolved {
		if m.now.Before(end) {
			all = append(all, a)
		}
	}
	return all
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	outcomes := []Outcome{OutcomeDone, OutcomeDone, OutcomeDone, OutcomeFailed, OutcomeNotStarted, OutcomeUnresolved, OutcomeStopped}
	m.finishAs(rapid.IntRange(0, len(m.running)-1).Draw(t, "index"), Report{
		Outcome:     rapid.SampledFrom(outcomes).Draw(t, "outcome"),
		RunTime:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "run")) * time.Millisecond,
		Unreachable: rapid.Bool().Draw(t, "unreachable"),
	})
}

// finishAs finishes a running assignment with the given report.
func (m *model) finishAs(index int, report Report) {
	a := m.running[index]
	m.running = append(m.running[:index], m.running[index+1:]...)
	requeued := m.s.Finish(m.now, a, report)
	if requeued && report.Outcome != OutcomeNotStarted {
		m.t.Fatalf("task retried after %v", report.Outcome)
	}
	task := &m.jobs[a.Job][a.Task]
	task.running, task.ended = false, !requeued
	if report.Outcome == OutcomeUnresolved {
		end := m.submitted[a.Job].Deadline
		if end.Before(m.now) {
			end = m.now
		}
		m.unresolved[a] = end.Add(time.Second)
	}
	m.forgetIfEnded(a.Job)
}

func (m *model) forgetIfEnded(id JobID) {
	for _, task := range m.jobs[id] {
		if !task.ended {
			return
		}
	}
	delete(m.jobs, id)
}

// dropWaiting ends the expected tasks of a job that do not run and returns
// their number.
func (m *model) dropWaiting(id JobID) (dropped int) {
	for i := range m.jobs[id] {
		if task := &m.jobs[id][i]; !task.running && !task.ended {
			task.ended = true
			dropped++
		}
	}
	m.forgetIfEnded(id)
	return dropped
}

func (m *model) cancel(t *rapid.T) {
	if m.nextID == 0 {
		return
	}
	id := JobID(rapid.IntRange(1, int(m.nextID)).Draw(t, "job"))
	if got, want := m.s.Cancel(m.now, id), m.dropWaiting(id); got != want {
		t.Fatalf("cancel of job %d dropped %d tasks, expected %d", id, got, want)
	}
}

func (m *model) expire(t *rapid.T) {
	for _, id := range m.s.Expire(m.now) {
		tasks, known := m.jobs[id]
		if !known {
			t.Fatalf("job %d expired, which is not in progress", id)
		}
		if dropped := m.dropWaiting(id); dropped != len(tasks) {
			t.Fatalf("job %d expired after %d of its tasks started", id, len(tasks)-dropped)
		}
	}
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "passed")) * time.Millisecond)
}

// drain runs all remaining tasks on healthy targets; every task must end.
func (m *model) drain() {
	m.t.Helper()
	var list []Target
	m.targets = map[string]Target{}
	for i := range 6 {
		list = append(list, Target{Name: fmt.Sprint("t", i), Service: fmt.Sprint("s", i%2), Slots: 4, Cores: 8, MemoryMB: 100, Accelerators: 1})
		m.targets[list[i].Name] = list[i]
	}
	m.s.SetTargets(m.now, list)
	for round := 0; len(m.jobs) > 0; round++ {
		if round > 300 {
			m.t.Fatalf("%d jobs did not end: %+v", len(m.jobs), m.jobs)
		}
		for len(m.running) > 0 {
			m.finishAs(0, Report{Outcome: OutcomeDone, RunTime: time.Millisecond})
		}
		for before := -1; before < len(m.running); {
			before = len(m.running)
			m.next(m.t)
		}
		m.now = m.now.Add(time.Second)
	}
}

// TestRandomCalls guards against exceeded slots, quotas and resources, tasks
// assigned twice or never, and counters that do not return to zero.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.setCallers(t)
		m.setTargets(t)
		t.Repeat(map[string]func(*rapid.T){
			"targets": m.setTargets, "callers": m.setCallers, "admit": m.admit, "admit2": m.admit, "admit3": m.admit,
			"next": m.next, "next2": m.next, "next3": m.next, "next4": m.next, "finish": m.finish, "finish2": m.finish,
			"cancel": m.cancel, "expire": m.expire, "pass": m.advanceTime,
		})
		m.t = t
		m.drain()
		m.now = m.now.Add(time.Minute)
		load := m.s.Load(m.now)
		if load.BusySlots != 0 || load.Backlog != 0 || len(load.CallerSlots) != 0 || len(m.s.jobs) != 0 || m.s.Violations != 0 {
			t.Fatalf("counters not at zero: %+v, %d violations", load, m.s.Violations)
		}
	})
}

// TestInvariantChecks corrupts the state of a scheduler in different ways to
// verify that each invariant check can fail.
func TestInvariantChecks(t *testing.T) {
	admit := func(s *Scheduler, id JobID, tasks int) {
		s.Admit(simStart, Job{ID: id, Caller: "c", Kind: "k", Service: "s", Tasks: tasks, Deadline: simStart.Add(time.Minute)})
	}
	next := func(s *Scheduler) Assignment {
		a, _ := s.Next(simStart)
		return a
	}
	done := Report{Outcome: OutcomeDone, RunTime: time.Second}
	for name, inject := range map[string]func(*Scheduler){
		"too many tasks on a target": func(s *Scheduler) { admit(s, 1, 1); s.targets["t000"].Slots = 0; next(s) },
		"quota exceeded":             func(s *Scheduler) { admit(s, 1, 2); next(s); s.callers["c"].Quota = 1; next(s) },
		"task assigned again":        func(s *Scheduler) { admit(s, 1, 1); s.jobs[1].tasks[0].state = taskEnded; next(s) },
		"task finished twice": func(s *Scheduler) {
			admit(s, 1, 2)
			a := next(s)
			s.Finish(simStart, a, done)
			s.Finish(simStart, a, done)
		},
		"unknown job finished":             func(s *Scheduler) { s.Finish(simStart, Assignment{Job: 9}, done) },
		"slot released twice":              func(s *Scheduler) { admit(s, 1, 1); a := next(s); s.busySlots = 0; s.Finish(simStart, a, done) },
		"job admitted twice":               func(s *Scheduler) { admit(s, 1, 1); admit(s, 1, 1) },
		"negative number of waiting tasks": func(s *Scheduler) { admit(s, 1, 1); s.kinds[kindKey{"s", "k"}].waiting = 0; next(s) },
		"counters not zero without jobs":   func(s *Scheduler) { admit(s, 1, 1); a := next(s); s.unresolvedSlots++; s.Finish(simStart, a, done) },
		"too much long work": func(s *Scheduler) {
			admit(s, 1, 8)
			s.kinds[kindKey{"s", "k"}].long = true
			for range 8 {
				next(s)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{})
			s.SetTargets(simStart, simTargets(8))
			inject(s)
			qt.Assert(t, s.Violations, qt.Not(qt.Equals), uint64(0))
		})
	}
}
