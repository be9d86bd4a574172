package rattanpool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simKind describes a job kind of a simulated workload.
type simKind struct {
	name                        string
	share                       float64 // of the work
	median                      time.Duration
	sigma                       float64
	tasks                       float64 // median number of tasks per job
	tailProbability, tailFactor float64 // probability and run time factor of very long tasks
	declaredRatio               float64 // declared over actual run time
	nonIdempotent               bool
}

var (
	listaforge = []simKind{
		{name: "parse", share: 0.25, median: 80 * time.Millisecond, sigma: 0.5, tasks: 8, tailProbability: 0.005, tailFactor: 30, declaredRatio: 0.1},
		{name: "match", share: 0.6, median: 300 * time.Millisecond, sigma: 0.6, tasks: 15, tailProbability: 0.002, tailFactor: 20, declaredRatio: 10},
		{name: "price", share: 0.15, median: 900 * time.Millisecond, sigma: 0.4, tasks: 6, tailProbability: 0.0005, tailFactor: 100, declaredRatio: 1},
	}
	transcriptShort = []simKind{
		{name: "lookup", share: 0.6, median: 60 * time.Millisecond, sigma: 0.5, tasks: 3, tailProbability: 0.005, tailFactor: 10, declaredRatio: 10},
		{name: "rush", share: 0.4, median: 300 * time.Millisecond, sigma: 0.4, tasks: 1, tailProbability: 0.001, tailFactor: 10, declaredRatio: 1, nonIdempotent: true},
	}
	transcriptLong = []simKind{
		{name: "extract", share: 1, median: 2500 * time.Millisecond, sigma: 0.6, tasks: 10, tailProbability: 0.01, tailFactor: 10, declaredRatio: 0.1},
	}
)

// simJob is a job of a simulation with the actual run times of its tasks and
// the results of the last run.
type simJob struct {
	Job
	arrivedAt time.Duration
	deadline  time.Duration // relative to arrivedAt
	times     []time.Duration
	work      time.Duration
	peak      bool

	admission      Admission
	remainingTasks int
	stopped        bool
	expired        bool
	end            time.Duration // relative to the start of the run, 0 while unfinished
	waits          []time.Duration
	runs           []simSpan
}

// simSpan is the time from the start to the end of a task, relative to the
// start of the run.
type simSpan struct{ from, to time.Duration }

func (j *simJob) response() time.Duration { return j.end - j.arrivedAt }

func (j *simJob) longest() time.Duration { return slices.Max(j.times) }

// simStream is a Poisson stream of jobs at a constant load.
type simStream struct {
	kinds    []simKind
	callers  []string
	load     float64 // offered slot time relative to the capacity
	from, to time.Duration
	deadline time.Duration
	peak     bool
}

// generate draws the jobs of the stream.
func (stream simStream) generate(random *rand.Rand, slots int) []*simJob {
	var jobs []*simJob
	for _, k := range stream.kinds {
		budget := stream.load * k.share * float64(slots) * (stream.to - stream.from).Seconds()
		var drawn []*simJob
		for used := 0.0; used < budget; {
			j := k.draw(random)
			j.arrivedAt = stream.from + time.Duration(random.Float64()*float64(stream.to-stream.from))
			j.Caller = stream.callers[random.IntN(len(stream.callers))]
			j.deadline, j.peak = stream.deadline, stream.peak
			used += j.work.Seconds()
			drawn = append(drawn, j)
		}
		jobs = append(jobs, drawn...)
	}
	return jobs
}

func (k simKind) draw(random *rand.Rand) *simJob {
	j := &simJob{Job: Job{Kind: k.name, Service: "s", Idempotent: !k.nonIdempotent}}
	j.RunTime = time.Duration(float64(k.median) * k.declaredRatio)
	j.Tasks = 1
	if k.tasks > 1 {
		j.Tasks = min(max(int(k.tasks*math.Exp(0.8*random.NormFloat64())), 1), 250)
	}
	for range j.Tasks {
		run := float64(k.median) * math.Exp(k.sigma*random.NormFloat64())
		if random.Float64() < k.tailProbability {
			run *= k.tailFactor
		}
		j.times = append(j.times, time.Duration(run))
		j.work += time.Duration(run)
	}
	return j
}

// simSort returns all jobs in the order of their arrival, numbered from 1.
func simSort(jobs ...[]*simJob) []*simJob {
	all := slices.Concat(jobs...)
	slices.SortStableFunc(all, func(a, b *simJob) int { return int(a.arrivedAt - b.arrivedAt) })
	for i, j := range all {
		j.ID = JobID(i + 1)
	}
	return all
}

// simCopy returns copies of the jobs to keep, for another run.
func simCopy(jobs []*simJob, keep func(*simJob) bool) []*simJob {
	var kept []*simJob
	for _, j := range jobs {
		if keep(j) {
			copied := *j
			kept = append(kept, &copied)
		}
	}
	return kept
}

// simEvent is an arrival, the end of a task, a deadline or a wake-up.
type simEvent struct {
	at       time.Duration
	arrival  *simJob
	deadline *simJob
	task     *simTask
	sequence int
}

// simTask is a task that was started in a simulation.
type simTask struct {
	job        *simJob
	assignment Assignment
	from       time.Duration
	ended      bool
}

// events orders events by time; it implements heap.Interface.
type events []simEvent

func (h events) Len() int { return len(h) }
func (h events) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].sequence < h[b].sequence
}
func (h events) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *events) Push(e any)   { *h = append(*h, e.(simEvent)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation runs jobs through a scheduler in virtual time.
type simulation struct {
	scheduler *Scheduler
	events    events
	sequence  int
	running   map[JobID][]*simTask
	jobs      map[JobID]*simJob
	// wake is the time of the next event that only calls the scheduler.
	wake time.Duration
	// slowFactors multiplies the run times on a target; targets that are not
	// listed run at normal speed.
	slowFactors map[string]float64
	// unreachable targets refuse all dispatches; failedDispatches counts them.
	unreachable      map[string]bool
	failedDispatches int
}

// simTargets returns targets with 8 slots each, eight per rack.
func simTargets(slots int) []Target {
	var targets []Target
	for i := range slots / 8 {
		targets = append(targets, Target{
			Name: fmt.Sprintf("t%03d", i), Rack: fmt.Sprintf("r%02d", i/8), Service: "s",
			Slots: 8, Cores: 30, MemoryMB: 130_000,
		})
	}
	return targets
}

// simRun runs all jobs to completion on targets with 8 slots each.
func simRun(config Config, slots int, jobs []*simJob) *Scheduler {
	return simRunFaulty(config, slots, jobs, nil, nil).scheduler
}

// simRunFaulty is like simRun with some slow or unreachable targets.
func simRunFaulty(config Config, slots int, jobs []*simJob, slowFactors map[string]float64, unreachable map[string]bool) *simulation {
	config.PanicOnViolation = true
	sim := &simulation{scheduler: New(config), running: map[JobID][]*simTask{}, jobs: map[JobID]*simJob{}, slowFactors: slowFactors, unreachable: unreachable}
	sim.scheduler.SetTargets(simStart, simTargets(slots))
	for _, j := range jobs {
		j.end, j.remainingTasks, j.stopped, j.expired, j.waits, j.runs = 0, j.Tasks, false, false, nil, nil
		sim.push(simEvent{at: j.arrivedAt, arrival: j})
		sim.jobs[j.ID] = j
	}
	for len(sim.events) > 0 {
		sim.step()
	}
	return sim
}

func (m *simulation) push(e simEvent) {
	m.sequence++
	e.sequence = m.sequence
	heap.Push(&m.events, e)
}

func (m *simulation) step() {
	e := heap.Pop(&m.events).(simEvent)
	now := simStart.Add(e.at)
	switch {
	case e.arrival != nil:
		m.arrive(e.at, e.arrival)
	case e.deadline != nil:
		m.cancelAtDeadline(e.at, e.deadline)
	case e.task != nil:
		outcome := OutcomeDone
		if m.unreachable[e.task.assignment.Target] {
			outcome = OutcomeNotStarted
		}
		m.finish(e.at, e.task, outcome)
	}
	for _, id := range m.scheduler.Expire(now) {
		m.jobs[id].expired = true
	}
	for {
		a, ok := m.scheduler.Next(now)
		if !ok {
			break
		}
		m.start(e.at, a)
	}
	if m.unreachable == nil && m.scheduler.leavesSlotsIdle() {
		panic("a slot is idle although short work waits")
	}
	if wait, ok := m.scheduler.NextWake(now); ok && (m.wake <= e.at || e.at+wait < m.wake) {
		m.wake = e.at + wait
		m.push(simEvent{at: m.wake})
	}
}

// leavesSlotsIdle reports whether short tasks wait although slots are free. In
// a simulation, all targets fit all tasks and never refuse one.
func (s *Scheduler) leavesSlotsIdle() bool {
	for _, svc := range s.services {
		if s.hasWaitingShortJobs(svc) && svc.busySlots < svc.usableSlots {
			return true
		}
	}
	return false
}

func (m *simulation) arrive(at time.Duration, j *simJob) {
	j.Deadline = simStart.Add(at + j.deadline)
	j.admission = m.scheduler.Admit(simStart.Add(at), j.Job)
	if j.admission.Admitted {
		m.push(simEvent{at: at + j.deadline, deadline: j})
	}
}

func (m *simulation) start(at time.Duration, a Assignment) {
	j := m.jobs[a.Job]
	t := &simTask{job: j, assignment: a, from: at}
	j.waits = append(j.waits, a.Waited)
	m.running[j.ID] = append(m.running[j.ID], t)
	run := j.times[a.Task]
	if m.unreachable[a.Target] {
		run = time.Millisecond
		m.failedDispatches++
	}
	if factor := m.slowFactors[a.Target]; factor > 0 {
		run = time.Duration(factor * float64(run))
	}
	m.push(simEvent{at: at + run, task: t})
}

func (m *simulation) finish(at time.Duration, t *simTask, outcome Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	j := t.job
	j.runs = append(j.runs, simSpan{from: t.from, to: at})
	m.scheduler.Finish(simStart.Add(at), t.assignment, Report{Outcome: outcome, RunTime: at - t.from, Unreachable: outcome == OutcomeNotStarted})
	if outcome != OutcomeDone {
		return
	}
	j.remainingTasks--
	if j.remainingTasks == 0 {
		j.end = at
		delete(m.running, j.ID)
	}
}

// cancelAtDeadline does what a home does at a deadline: it drops the waiting
// tasks and stops the running ones.
func (m *simulation) cancelAtDeadline(at time.Duration, j *simJob) {
	if j.end > 0 || j.expired {
		return
	}
	j.stopped = true
	m.scheduler.Cancel(simStart.Add(at), j.ID)
	for _, t := range m.running[j.ID] {
		m.finish(at, t, OutcomeStopped)
	}
	delete(m.running, j.ID)
}

// simIdealResponses returns the response times of the jobs in a single queue
// over all slots that knows all run times and binds tasks late. Jobs are taken
// in order of arrival or, if shortest is set, in order of their total work. The
// tasks of a job are taken longest first.
func simIdealResponses(slots int, jobs []*simJob, shortest bool) []time.Duration {
	var free events
	for range slots {
		free = append(free, simEvent{})
	}
	ends := make([]time.Duration, len(jobs))
	order := func(a, b int) bool { return jobs[a].arrivedAt < jobs[b].arrivedAt }
	if shortest {
		order = func(a, b int) bool { return jobs[a].work < jobs[b].work }
	}
	waiting := &simQueue{less: order}
	next := 0
	remaining := map[int][]time.Duration{}
	for next < len(jobs) || waiting.Len() > 0 {
		at := free[0].at
		if waiting.Len() == 0 {
			at = max(at, jobs[next].arrivedAt)
		}
		for next < len(jobs) && jobs[next].arrivedAt <= at {
			times := slices.Clone(jobs[next].times)
			slices.Sort(times)
			remaining[next] = times
			heap.Push(waiting, next)
			next++
		}
		first := waiting.items[0]
		times := remaining[first]
		end := at + times[len(times)-1]
		remaining[first] = times[:len(times)-1]
		if len(remaining[first]) == 0 {
			heap.Pop(waiting)
			delete(remaining, first)
		}
		ends[first] = max(ends[first], end)
		free[0].at = end
		heap.Fix(&free, 0)
	}
	for i, j := range jobs {
		ends[i] -= j.arrivedAt
	}
	return ends
}

// simQueue orders indices of jobs; it implements heap.Interface.
type simQueue struct {
	items []int
	less  func(a, b int) bool
}

func (q *simQueue) Len() int           { return len(q.items) }
func (q *simQueue) Less(a, b int) bool { return q.less(q.items[a], q.items[b]) }
func (q *simQueue) Swap(a, b int)      { q.items[a], q.items[b] = q.items[b], q.items[a] }
func (q *simQueue) Push(item any)      { q.items = append(q.items, item.(int)) }
func (q *simQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

// quantile returns the q-quantile of the values, or 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
