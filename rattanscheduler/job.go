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
	job   *job
	step  int
	name  string
	state taskState
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
	// placed is the target that is meant for the task while places for others
	// are sought.
	placed *target
	// group holds the tasks that run, fail and end together with this one: all
	// of a gang, otherwise the task alone.
	group []*task
	// avoid is the target of the last run that failed or was lost, failedOn that
	// of the last run that failed.
	avoid    *target
	failedOn *target
}

func (t *task) need() rattanwork.Resources {
	return t.definition().Resources
}

// definition returns the step that the task is one of.
func (t *task) definition() *rattanwork.Step {
	return &t.job.submission.Job.Steps[t.step]
}

// holds reports whether the run is one of the task's present runs.
func (t *task) holds(r *run) bool {
	return t.run == r || t.slowRun == r
}

// job is a submission in progress.
type job struct {
	submission Submission
	submitted  time.Time
	// chain is the declared run time of the longest chain of steps.
	chain time.Duration
	tasks []*task
	// ready are the tasks that may start now.
	ready   []*task
	queued  bool
	outcome Outcome
	// wasStarted says that a run may have been started, so that the job cannot
	// be refused.
	wasStarted bool
	runs       int
	failures   int
	firstStart time.Duration
	history    []RunRecord
}

// record returns the history of a job that did not go as planned.
func (j *job) record(outcome Outcome) []RunRecord {
	if outcome == Succeeded && j.runs == len(j.tasks) {
		return nil
	}
	return j.history
}

// ordered records that a run was ordered.
func (j *job) ordered(r *run, now time.Time) {
	j.history = append(j.history, RunRecord{Task: r.name, Target: r.target.info.ID, Attempt: r.attempt, RequestedAfter: now.Sub(j.submitted)})
}

// ran records how a run ended.
func (j *job) ran(r *run, how string, now time.Time) {
	for i := len(j.history) - 1; i >= 0; i-- {
		entry := &j.history[i]
		if entry.Task == r.name && entry.Attempt == r.attempt && entry.Result == "" {
			entry.Ended = now.Sub(j.submitted)
			entry.Result = how
			return
		}
	}
}

func newJob(submission Submission, now time.Time) *job {
	j := &job{submission: submission, submitted: now, chain: submission.Job.CriticalPath(), wasStarted: submission.Resumed}
	j.tasks = make([]*task, 0, submission.Job.Tasks())
	for step := range submission.Job.Steps {
		for index := range submission.Job.Steps[step].Count {
			name := rattanwork.TaskName{Job: submission.Job.ID, Step: step, Index: index}
			j.tasks = append(j.tasks, &task{job: j, step: step, name: name.String()})
		}
	}
	for i, t := range j.tasks {
		t.group = j.tasks[i : i+1]
		if t.definition().Gang {
			t.group = j.stepTasks(t.step)
		}
	}
	return j
}

// stepTasks returns the tasks of a step, which lie side by side.
func (j *job) stepTasks(step int) []*task {
	begin := 0
	for i := range step {
		begin += j.submission.Job.Steps[i].Count
	}
	return j.tasks[begin : begin+j.submission.Job.Steps[step].Count]
}

// started reports whether a run of the job may have started.
func (j *job) started() bool {
	return j.wasStarted
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

// refresh recomputes the tasks that may start. A task with a run of an earlier
// submission of the job still present must wait for its end.
func (j *job) refresh(present map[string]int) {
	open := make([]bool, len(j.submission.Job.Steps))
	for _, t := range j.tasks {
		if t.state != taskDone {
			open[t.step] = true
		}
	}
	j.ready = j.ready[:0]
	for _, t := range j.tasks {
		if t.state == taskWaiting && present[t.name] == 0 && !j.blocked(t.step, open) {
			j.ready = append(j.ready, t)
		}
	}
}

func (j *job) blocked(step int, open []bool) bool {
	for _, earlier := range j.submission.Job.Steps[step].After {
		if open[earlier] {
			return true
		}
	}
	return false
}

// remove takes a task off the ready list.
func (j *job) remove(t *task) {
	for i, other := range j.ready {
		if other == t {
			j.ready = append(j.ready[:i], j.ready[i+1:]...)
			return
		}
	}
}

// onTarget counts the active tasks of a step on a target.
func (j *job) onTarget(step int, t *target) int {
	count := 0
	for _, other := range j.tasks {
		if other.step != step {
			continue
		}
		if other.placed == t || (other.run != nil && other.run.target == t) || (other.slowRun != nil && other.slowRun.target == t) {
			count++
		}
	}
	return count
}
