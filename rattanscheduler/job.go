package rattanscheduler

import (
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// taskState is the scheduling state of a task.
type taskState int

const (
	// taskWaiting means that the task has no run.
	taskWaiting taskState = iota
	// taskActive means that a run of the task was requested or adopted.
	taskActive
	taskDone
)

// task is the scheduling state of one task of a job. A task has at most one run
// that may be active, or two if it is speculative.
type task struct {
	job       *job
	stepIndex int
	name      string
	state     taskState
	// attempt is the highest attempt that was requested.
	attempt  int
	failures int
	// failedAttempt is the last attempt that was counted as a failure.
	failedAttempt int
	// restarts counts how often the task was moved away from a slow target.
	restarts   int
	checkpoint string
	run        *run
	// slowRun is the first, slow run of a speculative task once a second run
	// has been requested; run is then the second one.
	slowRun *run
	// tentativeTarget is the target considered for the task while the other
	// tasks of its step are being placed.
	tentativeTarget *target
	// group contains the tasks that run, fail and end together with this one:
	// the whole gang, or only the task itself.
	group []*task
	// avoidTarget is the target of the last run that failed, was lost or was
	// slow; lastFailedTarget is that of the last run that failed.
	avoidTarget      *target
	lastFailedTarget *target
}

func (t *task) resources() rattanwork.Resources {
	return t.step().Resources
}

// step returns the definition of the task's step.
func (t *task) step() *rattanwork.Step {
	return &t.job.submission.Job.Steps[t.stepIndex]
}

// hasRun reports whether the run is a current run of the task.
func (t *task) hasRun(r *run) bool {
	return t.run == r || t.slowRun == r
}

// job is a submitted job in progress.
type job struct {
	submission  Submission
	submittedAt time.Time
	// criticalPath is the declared run time of the longest chain of steps.
	criticalPath time.Duration
	tasks        []*task
	// ready contains the tasks that may start now.
	ready []*task
	// class is the job's class in its queue, nil unless the job is queued;
	// entry is the job's entry there and timing is what its place depends on.
	class  *jobClass
	entry  queueEntry
	timing timing
	// expectedWait is the wait that was expected at the submission by when runs end, 0
	// once all tasks have started.
	expectedWait time.Duration
	// sequence is the order in which jobs were first queued, 0 before that.
	sequence uint64
	outcome  Outcome
	// maybeStarted is set if a run may have started that this home has not
	// requested for the job.
	maybeStarted bool
	// unhosted is set while no known target could run the job and an earlier home may
	// have started it.
	unhosted bool
	// hasLosses is set if a target was lost under one of the tasks.
	hasLosses bool
	// unansweredUntil is until when other zones may remember a start request of the job
	// whose answer was lost, zero if there was none.
	unansweredUntil time.Time
	// joined is set if the job was submitted again while it was in progress.
	joined bool
	// runCount is the number of requested runs, without requests that were dropped.
	runCount     int
	failureCount int
	// firstStart is the time from submission to the first requested run.
	firstStart time.Duration
	// callersUntil is until when the callers of the job certainly wait, as of the
	// last attempt to start its tasks, zero if there is no limit.
	callersUntil time.Time
	// listedUntil is until when other instances may list a start request of the job
	// that has been answered or dropped. leaveUntil is until when the job waits for
	// the proof that its runs are gone, zero unless it leaves an evacuated zone.
	listedUntil time.Time
	leaveUntil  time.Time
	history     []RunRecord
}

// historyFor returns the run history to report for a job that ends with the
// outcome, or nil if the job succeeded with exactly one run per task.
func (j *job) historyFor(outcome Outcome) []RunRecord {
	if outcome == Succeeded && j.runCount == len(j.tasks) {
		return nil
	}
	return j.history
}

// recordStart adds a requested run to the history.
func (j *job) recordStart(r *run, now time.Time) {
	j.history = append(j.history, RunRecord{Task: r.taskName, Target: r.target.info.ID, Attempt: r.attempt, RequestedAfter: now.Sub(j.submittedAt)})
}

// recordEnd records the result of a run in the history.
func (j *job) recordEnd(r *run, result string, now time.Time) {
	for i := len(j.history) - 1; i >= 0; i-- {
		entry := &j.history[i]
		if entry.Task == r.taskName && entry.Attempt == r.attempt && entry.Result == "" {
			entry.Ended = now.Sub(j.submittedAt)
			entry.Result = result
			return
		}
	}
}

func newJob(submission Submission, now time.Time) *job {
	j := &job{submission: submission, submittedAt: now, criticalPath: submission.Job.CriticalPath(), maybeStarted: submission.Resumed}
	j.tasks = make([]*task, 0, submission.Job.Tasks())
	for step := range submission.Job.Steps {
		for index := range submission.Job.Steps[step].Count {
			name := rattanwork.TaskName{Job: submission.Job.ID, Step: step, Index: index}
			j.tasks = append(j.tasks, &task{job: j, stepIndex: step, name: name.String()})
		}
	}
	for i, t := range j.tasks {
		t.group = j.tasks[i : i+1]
		if t.step().Gang {
			t.group = j.stepTasks(t.stepIndex)
		}
	}
	return j
}

// join applies what another submission of the job tells of its earlier submissions and of
// the zones that were tried.
func (j *job) join(other Submission) {
	j.joined = true
	j.submission.EarlierHomes = max(j.submission.EarlierHomes, other.EarlierHomes)
	for _, zone := range other.Tried {
		if !slices.Contains(j.submission.Tried, zone) {
			j.submission.Tried = append(slices.Clip(j.submission.Tried), zone)
		}
	}
	if other.Resumed {
		j.submission.Resumed = true
		j.maybeStarted = true
	}
}

// stepTasks returns the tasks of a step, which are adjacent in j.tasks.
func (j *job) stepTasks(step int) []*task {
	first := 0
	for i := range step {
		first += j.submission.Job.Steps[i].Count
	}
	return j.tasks[first : first+j.submission.Job.Steps[step].Count]
}

// mayHaveStarted reports whether a run of the job may have started, in which case the
// job cannot be refused.
func (j *job) mayHaveStarted() bool {
	return j.maybeStarted || j.runCount > 0
}

// task returns the task with the given name, or nil.
func (j *job) task(name string) *task {
	for _, t := range j.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (j *job) complete() bool {
	for _, t := range j.tasks {
		if t.state != taskDone {
			return false
		}
	}
	return true
}

// updateReady recomputes which of the waiting tasks may start.
func (j *job) updateReady(mayStart func(*task) bool) {
	incomplete := make([]bool, len(j.submission.Job.Steps))
	for _, t := range j.tasks {
		if t.state != taskDone {
			incomplete[t.stepIndex] = true
		}
	}
	j.ready = j.ready[:0]
	for _, t := range j.tasks {
		if t.state == taskWaiting && !j.blocked(t.stepIndex, incomplete) && mayStart(t) {
			j.ready = append(j.ready, t)
		}
	}
}

// blocked reports whether a step depends on an incomplete step.
func (j *job) blocked(step int, incomplete []bool) bool {
	for _, dependency := range j.submission.Job.Steps[step].After {
		if incomplete[dependency] {
			return true
		}
	}
	return false
}

// readyDemand returns the least amount of each resource that a ready task
// requires. It is zero if a gang has lost some of its runs, because the others
// must be stopped even if no target has free resources.
func (j *job) readyDemand() rattanwork.Resources {
	if j.hasBrokenGang() {
		return rattanwork.Resources{}
	}
	demand := j.ready[0].resources()
	for _, t := range j.ready[1:] {
		demand = minDemand(demand, t.resources())
	}
	return demand
}

// hasBrokenGang reports whether only some tasks of a gang are ready.
func (j *job) hasBrokenGang() bool {
	for i := range j.submission.Job.Steps {
		step := &j.submission.Job.Steps[i]
		if !step.Gang {
			continue
		}
		if ready := len(j.readyTasks(i)); ready > 0 && ready < step.Count {
			return true
		}
	}
	return false
}

// removeReady removes a task from the ready list.
func (j *job) removeReady(t *task) {
	for i, other := range j.ready {
		if other == t {
			j.ready = append(j.ready[:i], j.ready[i+1:]...)
			return
		}
	}
}

// tasksOnTarget counts the tasks of a step that run on a target or are
// tentatively placed there.
func (j *job) tasksOnTarget(step int, target *target) int {
	count := 0
	for _, other := range j.tasks {
		if other.stepIndex != step {
			continue
		}
		if other.tentativeTarget == target || (other.run != nil && other.run.target == target) || (other.slowRun != nil && other.slowRun.target == target) {
			count++
		}
	}
	return count
}
