package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

type taskState int

const (
	taskWaiting taskState = iota
	taskActive
	taskDone
)

// task is one task of a job; it has at most one run that may be under way.
type task struct {
	job       *job
	stepIndex int
	name      string
	state     taskState
	// attempt is the highest attempt that was ordered.
	attempt  int
	failures int
	// failedAttempt is the last attempt that was counted as a failure.
	failedAttempt int
	restarts      int
	checkpoint    string
	run           *run
	// slowRun is a run that goes on beside the newer one of a speculative task.
	slowRun *run
	// tentativeTarget is the target that is meant for the task while places for others
	// are sought.
	tentativeTarget *target
	// group holds the tasks that run, fail and end together with this one: all
	// of a gang, otherwise the task alone.
	group []*task
	// avoidTarget is the target of the last run that failed or was lost, lastFailedTarget that
	// of the last run that failed.
	avoidTarget      *target
	lastFailedTarget *target
}

func (t *task) resources() rattanwork.Room {
	return t.step().Need
}

// step returns the step that the task is one of.
func (t *task) step() *rattanwork.Step {
	return &t.job.submission.Job.Steps[t.stepIndex]
}

// hasRun reports whether the run is one of the task's present runs.
func (t *task) hasRun(r *run) bool {
	return t.run == r || t.slowRun == r
}

// job is a submission in progress.
type job struct {
	submission Submission
	submitted  time.Time
	// criticalPath is the declared run time of the longest chain of steps.
	criticalPath time.Duration
	tasks        []*task
	// ready are the tasks that may start now.
	ready   []*task
	queued  bool
	outcome Outcome
	// maybeStarted says that a run may have been started, so that the job cannot
	// be refused.
	maybeStarted bool
	runCount     int
	failureCount int
	firstStart   time.Duration
	history      []RunRecord
}

// historyFor returns the history of a job that did not go as planned.
func (j *job) historyFor(outcome Outcome) []RunRecord {
	if outcome == Succeeded && j.runCount == len(j.tasks) {
		return nil
	}
	return j.history
}

// recordStart records that a run was ordered.
func (j *job) recordStart(r *run, now time.Time) {
	j.history = append(j.history, RunRecord{Task: r.name, Target: r.target.info.ID, Attempt: r.attempt, Ordered: now.Sub(j.submitted)})
}

// recordEnd records how a run ended.
func (j *job) recordEnd(r *run, result string, now time.Time) {
	for i := len(j.history) - 1; i >= 0; i-- {
		entry := &j.history[i]
		if entry.Task == r.name && entry.Attempt == r.attempt && entry.How == "" {
			entry.Ended = now.Sub(j.submitted)
			entry.How = result
			return
		}
	}
}

func newJob(submission Submission, now time.Time) *job {
	j := &job{submission: submission, submitted: now, criticalPath: submission.Job.CriticalPath(), maybeStarted: submission.Resumed}
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

// stepTasks returns the tasks of a step, which lie side by side.
func (j *job) stepTasks(step int) []*task {
	first := 0
	for i := range step {
		first += j.submission.Job.Steps[i].Count
	}
	return j.tasks[first : first+j.submission.Job.Steps[step].Count]
}

// mayHaveStarted reports whether a run of the job may have started.
func (j *job) mayHaveStarted() bool {
	return j.maybeStarted
}

// task returns the task with the name, or nil.
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

// updateReady recomputes the tasks that may start. A task with a run of an earlier
// submission of the job still present must wait for its end.
func (j *job) updateReady(activeRuns map[string]int) {
	incomplete := make([]bool, len(j.submission.Job.Steps))
	for _, t := range j.tasks {
		if t.state != taskDone {
			incomplete[t.stepIndex] = true
		}
	}
	j.ready = j.ready[:0]
	for _, t := range j.tasks {
		if t.state == taskWaiting && activeRuns[t.name] == 0 && !j.blocked(t.stepIndex, incomplete) {
			j.ready = append(j.ready, t)
		}
	}
}

func (j *job) blocked(step int, incomplete []bool) bool {
	for _, dependency := range j.submission.Job.Steps[step].After {
		if incomplete[dependency] {
			return true
		}
	}
	return false
}

// removeReady takes a task off the ready list.
func (j *job) removeReady(t *task) {
	for i, other := range j.ready {
		if other == t {
			j.ready = append(j.ready[:i], j.ready[i+1:]...)
			return
		}
	}
}

// tasksOnTarget counts the active tasks of a step on a target.
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
