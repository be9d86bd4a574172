package rattanbench

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// Scheduler has the methods of rattanpool.Scheduler that an entry instance uses.
// The baselines implement it to replace the scheduler of an entry instance.
type Scheduler interface {
	SetTargets(now time.Time, targets []rattanpool.Target)
	SetCallers(now time.Time, callers []rattanpool.Caller)
	Admit(now time.Time, job rattanpool.Job) rattanpool.Admission
	Next(now time.Time) (rattanpool.Assignment, bool)
	// Finish reports whether the task will be assigned again.
	Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) bool
	// Cancel returns the number of tasks that were not yet assigned.
	Cancel(now time.Time, id rattanpool.JobID) int
	Expire(now time.Time) []rattanpool.JobID
	NextWake(now time.Time) (time.Duration, bool)
	Load(now time.Time) rattanpool.Load
}

// notStartedPause is the time for which a baseline assigns no tasks to a target
// after the target refused one. It prevents a busy loop of refusals.
const notStartedPause = 20 * time.Millisecond

// target is the state that a baseline keeps for a target.
type target struct {
	rattanpool.Target
	busySlots int
	// queue holds the waiting tasks that are bound to the target. It is only used
	// with early binding.
	queue []*waitingTask
	// pausedUntil is set when the target refuses a task.
	pausedUntil time.Time
	// delay is the exponentially smoothed run time of tasks on the target in
	// seconds; 0 means that no task has ended yet.
	delay float64
}

func (t *target) hasFreeSlot(now time.Time) bool {
	return t.busySlots < t.Slots && !t.Leaving && !now.Before(t.pausedUntil)
}

// outstanding returns the number of tasks that wait for or occupy a slot.
func (t *target) outstanding() int {
	return t.busySlots + len(t.queue)
}

// waitingTask is a task that has not been assigned.
type waitingTask struct {
	job          *baselineJob
	task         int
	attempt      int
	waitingSince time.Time
}

// baselineJob is an admitted job.
type baselineJob struct {
	rattanpool.Job
	waitingTasks int
	runningTasks int
	started      bool
	cancelled    bool
}

// baseline is the state common to all baselines: targets and jobs. A baseline
// admits every job while there are targets, and ignores declared run times and
// callers.
type baseline struct {
	targets       map[string]*target
	activeTargets []*target
	jobs          map[rattanpool.JobID]*baselineJob
	// admittedIDs holds the IDs of admitted jobs in order of admission, for Expire.
	admittedIDs []rattanpool.JobID
}

func newBaseline() baseline {
	return baseline{targets: map[string]*target{}, jobs: map[rattanpool.JobID]*baselineJob{}}
}

// SetTargets replaces the targets. Tasks that are bound to a target stay there.
func (b *baseline) SetTargets(_ time.Time, targets []rattanpool.Target) {
	b.activeTargets = b.activeTargets[:0]
	for _, update := range targets {
		existing, ok := b.targets[update.Name]
		if !ok {
			existing = &target{}
			b.targets[update.Name] = existing
		}
		existing.Target = update
		if !update.Leaving {
			b.activeTargets = append(b.activeTargets, existing)
		}
	}
}

// SetCallers does nothing: the baselines do not distinguish callers.
func (b *baseline) SetCallers(time.Time, []rattanpool.Caller) {}

// Cancel drops the unassigned tasks of the job and returns their number.
func (b *baseline) Cancel(_ time.Time, id rattanpool.JobID) int {
	job := b.jobs[id]
	if job == nil {
		return 0
	}
	waiting := job.waitingTasks
	job.waitingTasks = 0
	job.cancelled = true
	b.removeIfDone(job)
	return waiting
}

// Expire removes and returns the jobs whose deadline has passed before any task
// was assigned.
func (b *baseline) Expire(now time.Time) []rattanpool.JobID {
	var expired, remaining []rattanpool.JobID
	for _, id := range b.admittedIDs {
		job := b.jobs[id]
		switch {
		case job == nil:
		case !job.started && !job.Deadline.IsZero() && now.After(job.Deadline):
			b.Cancel(now, id)
			expired = append(expired, id)
		default:
			remaining = append(remaining, id)
		}
	}
	b.admittedIDs = remaining
	return expired
}

// NextWake returns the shortest remaining pause of a target, if any.
func (b *baseline) NextWake(now time.Time) (time.Duration, bool) {
	var wake time.Duration
	found := false
	for _, t := range b.activeTargets {
		pause := t.pausedUntil.Sub(now)
		if pause > 0 && (!found || pause < wake) {
			wake, found = pause, true
		}
	}
	return wake, found
}

// Load returns the numbers of slots and busy slots, in total and by caller.
func (b *baseline) Load(time.Time) rattanpool.Load {
	load := rattanpool.Load{CallerSlots: map[string]int{}}
	for _, t := range b.activeTargets {
		load.Slots += t.Slots
		load.BusySlots += t.busySlots
	}
	for _, job := range b.jobs {
		load.CallerSlots[job.Caller] += job.runningTasks
	}
	return load
}

func (b *baseline) admit(now time.Time, submitted rattanpool.Job) (*baselineJob, rattanpool.Admission) {
	if len(b.activeTargets) == 0 {
		return nil, rattanpool.Admission{Reason: rattanjob.ReasonNoTarget, RetryAfter: time.Second}
	}
	job := &baselineJob{Job: submitted, waitingTasks: submitted.Tasks}
	b.jobs[submitted.ID] = job
	b.admittedIDs = append(b.admittedIDs, submitted.ID)
	return job, rattanpool.Admission{Admitted: true, ExpectedDuration: submitted.Deadline.Sub(now)}
}

func (b *baseline) assign(now time.Time, task *waitingTask, t *target) rattanpool.Assignment {
	task.job.waitingTasks--
	task.job.runningTasks++
	task.job.started = true
	t.busySlots++
	return rattanpool.Assignment{
		Job: task.job.ID, Task: task.task, Target: t.Name, Attempt: task.attempt, Waited: now.Sub(task.waitingSince),
	}
}

// finish releases the slot. It returns the task if it has to be assigned again,
// or nil.
func (b *baseline) finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) *waitingTask {
	t := b.targets[ended.Target]
	if t != nil {
		t.busySlots--
		t.recordReport(now, report)
	}
	job := b.jobs[ended.Job]
	if job == nil {
		return nil
	}
	job.runningTasks--
	if report.Outcome == rattanpool.OutcomeNotStarted && !job.cancelled {
		job.waitingTasks++
		return &waitingTask{job: job, task: ended.Task, attempt: ended.Attempt + 1, waitingSince: now}
	}
	b.removeIfDone(job)
	return nil
}

func (b *baseline) removeIfDone(job *baselineJob) {
	if job.waitingTasks == 0 && job.runningTasks == 0 {
		delete(b.jobs, job.ID)
	}
}

// recordReport updates the pause or the delay of the target after a task.
func (t *target) recordReport(now time.Time, report rattanpool.Report) {
	const smoothing = 0.1
	if report.Outcome == rattanpool.OutcomeNotStarted {
		t.pausedUntil = now.Add(notStartedPause)
		return
	}
	seconds := report.RunTime.Seconds()
	if t.delay == 0 {
		t.delay = seconds
	}
	t.delay += smoothing * (seconds - t.delay)
}
