package rattanbench

import (
	"container/heap"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// benchService is the service of all targets and jobs in experiments.
const benchService = "Bench"

// virtualStart is the time at which simulations start.
var virtualStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// expireInterval is the interval between calls of Scheduler.Expire.
const expireInterval = 50 * time.Millisecond

// Fleet describes the targets of one availability zone.
type Fleet struct {
	Targets int
	// SlotsPerTarget is at least 1.
	SlotsPerTarget int
}

// Slots returns the number of slots of the fleet.
func (f Fleet) Slots() int {
	return f.Targets * f.SlotsPerTarget
}

// Simulate runs the experiment with the scheduler in virtual time, on targets
// without overhead. Compared with a run on entry instances, it shows the effect
// of the scheduling decisions without the costs of dispatch.
func Simulate(scheduler Scheduler, e Experiment) Observation {
	run := &virtualRun{scheduler: scheduler, jobs: e.Jobs, states: make([]virtualJob, len(e.Jobs)), slowTargets: map[string]bool{}}
	run.observation.Outcomes = make([]Outcome, len(e.Jobs))
	scheduler.SetTargets(virtualStart, schedulerTargets(e.Fleet))
	scheduler.SetCallers(virtualStart, e.Callers())
	for i := range e.SlowTargets {
		run.slowTargets[targetName(i)] = true
	}
	for i, job := range e.Jobs {
		run.schedule(virtualEvent{at: job.Arrival, kind: eventArrival, job: i})
		run.schedule(virtualEvent{at: job.Arrival + job.Deadline, kind: eventDeadline, job: i})
	}
	for run.events.Len() > 0 {
		run.step()
	}
	return run.observation
}

func schedulerTargets(fleet Fleet) []rattanpool.Target {
	var targets []rattanpool.Target
	for i := range fleet.Targets {
		targets = append(targets, rattanpool.Target{
			Name: targetName(i), Rack: rackName(i), Service: benchService,
			Slots: fleet.SlotsPerTarget, Cores: 30, MemoryMB: 130_000,
		})
	}
	return targets
}

// schedulerJob converts the job for a scheduler.
func schedulerJob(job Job, start time.Time) rattanpool.Job {
	return rattanpool.Job{
		ID: rattanpool.JobID(job.Index + 1), Caller: job.Caller, Kind: job.Kind, Service: benchService,
		Tasks: len(job.RunTimes), RunTime: job.Declared, Deadline: start.Add(job.Arrival + job.Deadline), Idempotent: job.Idempotent,
	}
}

type eventKind int

const (
	eventEnd eventKind = iota
	eventArrival
	eventDeadline
	eventWake
)

// virtualEvent is an event of the simulation.
type virtualEvent struct {
	at   time.Duration
	kind eventKind
	// sequence orders events at the same time.
	sequence int
	job      int
	// assignment and begin are only set for eventEnd.
	assignment rattanpool.Assignment
	begin      time.Duration
}

// virtualJob is the state of a job in the simulation.
type virtualJob struct {
	// unfinished and started are numbers of tasks.
	unfinished int
	started    int
	// final is true once the job has an outcome.
	final bool
}

// virtualRun is the state of one simulation.
type virtualRun struct {
	scheduler Scheduler
	jobs      []Job
	states    []virtualJob
	events    virtualEvents
	// sequence is the sequence number of the event that was scheduled last.
	sequence int
	// nextWake is the time of the next eventWake, and nextExpire the earliest time
	// of the next call of Scheduler.Expire.
	nextWake    time.Duration
	nextExpire  time.Duration
	slowTargets map[string]bool
	observation Observation
}

func (r *virtualRun) schedule(event virtualEvent) {
	r.sequence++
	event.sequence = r.sequence
	heap.Push(&r.events, event)
}

func (r *virtualRun) step() {
	event := heap.Pop(&r.events).(virtualEvent)
	now := virtualStart.Add(event.at)
	switch event.kind {
	case eventArrival:
		r.admitJob(now, event)
	case eventEnd:
		r.finishTask(now, event)
	case eventDeadline:
		r.handleDeadline(now, event)
	case eventWake:
	}
	r.expire(now, event.at)
	r.dispatch(now, event.at)
}

// expire refuses expired jobs at intervals of expireInterval, as an entry instance
// does.
func (r *virtualRun) expire(now time.Time, at time.Duration) {
	if at < r.nextExpire {
		return
	}
	r.nextExpire = at + expireInterval
	for _, expired := range r.scheduler.Expire(now) {
		r.recordOutcome(int(expired)-1, at, refusedOutcome(rattanjob.ReasonDeadlinePassed))
	}
}

func (r *virtualRun) admitJob(now time.Time, event virtualEvent) {
	job := r.jobs[event.job]
	admission := r.scheduler.Admit(now, schedulerJob(job, virtualStart))
	if !admission.Admitted {
		r.recordOutcome(event.job, event.at, refusedOutcome(admission.Reason))
		return
	}
	r.states[event.job].unfinished = len(job.RunTimes)
}

func (r *virtualRun) finishTask(now time.Time, event virtualEvent) {
	job := int(event.assignment.Job) - 1
	r.observation.Starts = append(r.observation.Starts, TaskStart{
		Job: job, Task: event.assignment.Task, Begin: event.begin, End: event.at,
	})
	report := rattanpool.Report{Outcome: rattanpool.OutcomeDone, RunTime: event.at - event.begin}
	r.scheduler.Finish(now, event.assignment, report)
	r.states[job].unfinished--
	if r.states[job].unfinished == 0 {
		r.recordOutcome(job, event.at, Outcome{
			State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan, Results: len(r.jobs[job].RunTimes),
		})
	}
}

// handleDeadline cancels a job that has no outcome yet. Its running tasks keep
// their slots until they end, which is the worst case for slot usage.
func (r *virtualRun) handleDeadline(now time.Time, event virtualEvent) {
	if r.states[event.job].final {
		return
	}
	r.scheduler.Cancel(now, rattanpool.JobID(event.job+1))
	outcome := Outcome{State: rattanjob.StateFailed, Execution: rattanjob.ExecutionRan, Reason: rattanjob.ReasonDeadlinePassed}
	if r.states[event.job].started == 0 {
		outcome = refusedOutcome(rattanjob.ReasonDeadlinePassed)
	}
	r.recordOutcome(event.job, event.at, outcome)
}

func (r *virtualRun) recordOutcome(job int, at time.Duration, outcome Outcome) {
	if r.states[job].final {
		return
	}
	r.states[job].final = true
	outcome.Response = at - r.jobs[job].Arrival
	r.observation.Outcomes[job] = outcome
}

// dispatch starts all tasks that the scheduler assigns and schedules its next
// wake-up.
func (r *virtualRun) dispatch(now time.Time, at time.Duration) {
	for {
		assignment, ok := r.scheduler.Next(now)
		if !ok {
			break
		}
		job := int(assignment.Job) - 1
		r.states[job].started++
		runTime := r.jobs[job].RunTimes[assignment.Task]
		if r.slowTargets[assignment.Target] {
			runTime = time.Duration(slowFactor * float64(runTime))
		}
		r.schedule(virtualEvent{at: at + runTime, kind: eventEnd, assignment: assignment, begin: at})
	}
	wake, ok := r.scheduler.NextWake(now)
	if ok && r.events.Len() > 0 && (r.nextWake <= at || at+wake < r.nextWake) {
		r.nextWake = at + max(wake, time.Millisecond)
		r.schedule(virtualEvent{at: r.nextWake, kind: eventWake})
	}
}

func refusedOutcome(reason rattanjob.Reason) Outcome {
	return Outcome{State: rattanjob.StateRefused, Execution: rattanjob.ExecutionNotRun, Reason: reason}
}

// virtualEvents is a heap of events in order of time and sequence.
type virtualEvents []virtualEvent

func (e virtualEvents) Len() int      { return len(e) }
func (e virtualEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e virtualEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *virtualEvents) Push(event any) { *e = append(*e, event.(virtualEvent)) }

// Pop implements heap.Interface.
func (e *virtualEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
