package rattanbench

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// Scheduler is the set of methods of rattanpool.Scheduler. The baselines
// implement it, so that an entry instance can dispatch by them.
type Scheduler interface {
	SetTargets(now time.Time, targets []rattanpool.Target)
	SetCallers(now time.Time, callers []rattanpool.Caller)
	Admit(now time.Time, job rattanpool.Job) rattanpool.Admission
	Next(now time.Time) (rattanpool.Assignment, bool)
	// Finish returns true when the task will be assigned again.
	Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) bool
	// Cancel returns the number of tasks that were not assigned.
	Cancel(now time.Time, id rattanpool.JobID) int
	Expire(now time.Time) []rattanpool.JobID
	NextWake(now time.Time) (time.Duration, bool)
	Load(now time.Time) rattanpool.Load
}

// notStartedPause is how long a baseline leaves a target alone that refused a
// task, so that refusals do not repeat without a pause.
const notStartedPause = 20 * time.Millisecond

// target is a target as a baseline sees it.
type target struct {
	rattanpool.Target
	held int
	// queue holds the tasks that are bound to the target (early binding only).
	queue []*waitingTask
	// pausedUntil is set when the target refused a task.
	pausedUntil time.Time
	// delay is the smoothed run time of tasks on the target in seconds.
	delay float64
}

func (t *target) free(now time.Time) bool {
	return t.held < t.Slots && !t.Leaving && !now.Before(t.pausedUntil)
}

// outstanding is the number of tasks that wait for or hold a slot.
func (t *target) outstanding() int {
	return t.held + len(t.queue)
}

// waitingTask is a task that is not assigned.
type waitingTask struct {
	job     *baselineJob
	task    int
	attempt int
	since   time.Time
}

// baselineJob is an admitted job.
type baselineJob struct {
	rattanpool.Job
	waiting   int
	running   int
	started   bool
	cancelled bool
}

// fleet is the state that all baselines share: targets and jobs. A baseline
// admits every job that a target can serve; it knows neither run times nor
// callers.
type fleet struct {
	targets map[string]*target
	order   []*target
	jobs    map[rattanpool.JobID]*baselineJob
	// deadlines holds the IDs of admitted jobs in order of admission.
	deadlines []rattanpool.JobID
}

func newFleet() fleet {
	return fleet{targets: map[string]*target{}, jobs: map[rattanpool.JobID]*baselineJob{}}
}

// SetTargets replaces the targets. It does not move tasks that are bound.
func (f *fleet) SetTargets(_ time.Time, targets []rattanpool.Target) {
	f.order = f.order[:0]
	for _, update := range targets {
		known, ok := f.targets[update.Name]
		if !ok {
			known = &target{}
			f.targets[update.Name] = known
		}
		known.Target = update
		if !update.Leaving {
			f.order = append(f.order, known)
		}
	}
}

// SetCallers has no effect: the baselines do not tell callers apart.
func (f *fleet) SetCallers(time.Time, []rattanpool.Caller) {}

// Cancel drops the job's unassigned tasks and returns their number.
func (f *fleet) Cancel(_ time.Time, id rattanpool.JobID) int {
	job := f.jobs[id]
	if job == nil {
		return 0
	}
	waiting := job.waiting
	job.waiting = 0
	job.cancelled = true
	f.drop(job)
	return waiting
}

// Expire removes and returns the jobs whose deadline has passed before any task
// was assigned.
func (f *fleet) Expire(now time.Time) []rattanpool.JobID {
	var expired, kept []rattanpool.JobID
	for _, id := range f.deadlines {
		job := f.jobs[id]
		switch {
		case job == nil:
		case !job.started && !job.Deadline.IsZero() && now.After(job.Deadline):
			f.Cancel(now, id)
			expired = append(expired, id)
		default:
			kept = append(kept, id)
		}
	}
	f.deadlines = kept
	return expired
}

// NextWake returns the shortest pause of a target, if any.
func (f *fleet) NextWake(now time.Time) (time.Duration, bool) {
	var wake time.Duration
	found := false
	for _, known := range f.order {
		pause := known.pausedUntil.Sub(now)
		if pause > 0 && (!found || pause < wake) {
			wake, found = pause, true
		}
	}
	return wake, found
}

// Load summarises the pool.
func (f *fleet) Load(time.Time) rattanpool.Load {
	load := rattanpool.Load{CallerSlots: map[string]int{}}
	for _, known := range f.order {
		load.Slots += known.Slots
		load.BusySlots += known.held
	}
	for _, job := range f.jobs {
		load.CallerSlots[job.Caller] += job.running
	}
	return load
}

func (f *fleet) admit(now time.Time, submitted rattanpool.Job) (*baselineJob, rattanpool.Admission) {
	if len(f.order) == 0 {
		return nil, rattanpool.Admission{Reason: rattanjob.ReasonNoTarget, RetryAfter: time.Second}
	}
	job := &baselineJob{Job: submitted, waiting: submitted.Tasks}
	f.jobs[submitted.ID] = job
	f.deadlines = append(f.deadlines, submitted.ID)
	return job, rattanpool.Admission{Admitted: true, ExpectedDuration: submitted.Deadline.Sub(now)}
}

func (f *fleet) assign(now time.Time, task *waitingTask, on *target) rattanpool.Assignment {
	task.job.waiting--
	task.job.running++
	task.job.started = true
	on.held++
	return rattanpool.Assignment{
		Job: task.job.ID, Task: task.task, Target: on.Name, Attempt: task.attempt, Waited: now.Sub(task.since),
	}
}

// finish releases the slot. It returns the task when it is to be assigned
// again, or nil.
func (f *fleet) finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) *waitingTask {
	on := f.targets[ended.Target]
	if on != nil {
		on.held--
		on.observe(now, report)
	}
	job := f.jobs[ended.Job]
	if job == nil {
		return nil
	}
	job.running--
	if report.Outcome == rattanpool.OutcomeNotStarted && !job.cancelled {
		job.waiting++
		return &waitingTask{job: job, task: ended.Task, attempt: ended.Attempt + 1, since: now}
	}
	f.drop(job)
	return nil
}

func (f *fleet) drop(job *baselineJob) {
	if job.waiting == 0 && job.running == 0 {
		delete(f.jobs, job.ID)
	}
}

// observe updates what is known of the target from the end of a task.
func (t *target) observe(now time.Time, report rattanpool.Report) {
	const weight = 0.1
	if report.Outcome == rattanpool.OutcomeNotStarted {
		t.pausedUntil = now.Add(notStartedPause)
		return
	}
	seconds := report.RunTime.Seconds()
	if t.delay == 0 {
		t.delay = seconds
	}
	t.delay += weight * (seconds - t.delay)
}
