package rattanbench

import (
	"container/heap"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// virtualService is the service of all targets and jobs of an experiment.
const virtualService = "Bench"

// virtualEpoch is the time at which virtual runs start.
var virtualEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// expireInterval is the time between calls of Expire.
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

// Simulate runs the experiment through the scheduler in virtual time, on targets
// without any overhead. It separates what the decisions of a scheduler cost from
// what the path of dispatch costs in a real run.
func Simulate(scheduler Scheduler, e Experiment) Observation {
	loop := &virtualLoop{scheduler: scheduler, jobs: e.Jobs, states: make([]virtualJob, len(e.Jobs)), slow: map[string]bool{}}
	loop.observation.Outcomes = make([]Outcome, len(e.Jobs))
	scheduler.SetTargets(virtualEpoch, poolTargets(e.Fleet))
	scheduler.SetCallers(virtualEpoch, e.Callers())
	for i := range e.SlowTargets {
		loop.slow[targetName(i)] = true
	}
	for i, job := range e.Jobs {
		loop.add(virtualEvent{at: job.At, kind: eventArrival, job: i})
		loop.add(virtualEvent{at: job.At + job.Deadline, kind: eventDeadline, job: i})
	}
	for loop.events.Len() > 0 {
		loop.step()
	}
	return loop.observation
}

func poolTargets(fleet Fleet) []rattanpool.Target {
	var targets []rattanpool.Target
	for i := range fleet.Targets {
		targets = append(targets, rattanpool.Target{
			Name: targetName(i), Rack: rackName(i), Service: virtualService,
			Slots: fleet.SlotsPerTarget, Cores: 30, MemoryMB: 130_000,
		})
	}
	return targets
}

// poolJob returns the job as a scheduler sees it.
func poolJob(job Job, start time.Time) rattanpool.Job {
	return rattanpool.Job{
		ID: rattanpool.JobID(job.Index + 1), Caller: job.Caller, Kind: job.Kind, Service: virtualService,
		Tasks: len(job.RunTimes), RunTime: job.Declared, Deadline: start.Add(job.At + job.Deadline), Idempotent: job.Idempotent,
	}
}

type eventKind int

const (
	eventEnd eventKind = iota
	eventArrival
	eventDeadline
	eventWake
)

// virtualEvent is something that happens at a time of the run.
type virtualEvent struct {
	at   time.Duration
	kind eventKind
	// sequence orders events of one time.
	sequence int
	job      int
	// assignment and begin are set for eventEnd.
	assignment rattanpool.Assignment
	begin      time.Duration
}

type virtualJob struct {
	unfinished int
	started    int
	final      bool
}

type virtualLoop struct {
	scheduler   Scheduler
	jobs        []Job
	states      []virtualJob
	events      virtualEvents
	sequence    int
	wakeAt      time.Duration
	expireAt    time.Duration
	slow        map[string]bool
	observation Observation
}

func (l *virtualLoop) add(event virtualEvent) {
	l.sequence++
	event.sequence = l.sequence
	heap.Push(&l.events, event)
}

func (l *virtualLoop) step() {
	event := heap.Pop(&l.events).(virtualEvent)
	now := virtualEpoch.Add(event.at)
	switch event.kind {
	case eventArrival:
		l.arrive(now, event)
	case eventEnd:
		l.end(now, event)
	case eventDeadline:
		l.deadline(now, event)
	case eventWake:
	}
	l.expire(now, event.at)
	l.dispatch(now, event.at)
}

// expire asks for expired jobs at intervals, as an entry instance does.
func (l *virtualLoop) expire(now time.Time, at time.Duration) {
	if at < l.expireAt {
		return
	}
	l.expireAt = at + expireInterval
	for _, expired := range l.scheduler.Expire(now) {
		l.resolve(int(expired)-1, at, refused(rattanjob.ReasonDeadlinePassed))
	}
}

func (l *virtualLoop) arrive(now time.Time, event virtualEvent) {
	job := l.jobs[event.job]
	admission := l.scheduler.Admit(now, poolJob(job, virtualEpoch))
	if !admission.Admitted {
		l.resolve(event.job, event.at, refused(admission.Reason))
		return
	}
	l.states[event.job].unfinished = len(job.RunTimes)
}

func (l *virtualLoop) end(now time.Time, event virtualEvent) {
	job := int(event.assignment.Job) - 1
	l.observation.Starts = append(l.observation.Starts, Start{
		Job: job, Task: event.assignment.Task, Begin: event.begin, End: event.at,
	})
	report := rattanpool.Report{Outcome: rattanpool.OutcomeDone, RunTime: event.at - event.begin}
	l.scheduler.Finish(now, event.assignment, report)
	l.states[job].unfinished--
	if l.states[job].unfinished == 0 {
		l.resolve(job, event.at, Outcome{
			State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan, Results: len(l.jobs[job].RunTimes),
		})
	}
}

// deadline fails a job that is not final. Its running tasks are left to end,
// which is the worst case for the slots.
func (l *virtualLoop) deadline(now time.Time, event virtualEvent) {
	if l.states[event.job].final {
		return
	}
	l.scheduler.Cancel(now, rattanpool.JobID(event.job+1))
	outcome := Outcome{State: rattanjob.StateFailed, Execution: rattanjob.ExecutionRan, Reason: rattanjob.ReasonDeadlinePassed}
	if l.states[event.job].started == 0 {
		outcome = refused(rattanjob.ReasonDeadlinePassed)
	}
	l.resolve(event.job, event.at, outcome)
}

func (l *virtualLoop) resolve(job int, at time.Duration, outcome Outcome) {
	if l.states[job].final {
		return
	}
	l.states[job].final = true
	outcome.Response = at - l.jobs[job].At
	l.observation.Outcomes[job] = outcome
}

func (l *virtualLoop) dispatch(now time.Time, at time.Duration) {
	for {
		assignment, ok := l.scheduler.Next(now)
		if !ok {
			break
		}
		job := int(assignment.Job) - 1
		l.states[job].started++
		runTime := l.jobs[job].RunTimes[assignment.Task]
		if l.slow[assignment.Target] {
			runTime = time.Duration(slowFactor * float64(runTime))
		}
		l.add(virtualEvent{at: at + runTime, kind: eventEnd, assignment: assignment, begin: at})
	}
	wake, ok := l.scheduler.NextWake(now)
	if ok && l.events.Len() > 0 && (l.wakeAt <= at || at+wake < l.wakeAt) {
		l.wakeAt = at + max(wake, time.Millisecond)
		l.add(virtualEvent{at: l.wakeAt, kind: eventWake})
	}
}

func refused(reason rattanjob.Reason) Outcome {
	return Outcome{State: rattanjob.StateRefused, Execution: rattanjob.ExecutionNotRun, Reason: reason}
}

// virtualEvents is a heap by time, then by order of creation.
type virtualEvents []virtualEvent

func (e virtualEvents) Len() int      { return len(e) }
func (e virtualEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e virtualEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Push adds an event for container/heap.
func (e *virtualEvents) Push(event any) { *e = append(*e, event.(virtualEvent)) }

// Pop removes the last event for container/heap.
func (e *virtualEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
