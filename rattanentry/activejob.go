package rattanentry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// activeJob is a job in progress at its home. The fields that change after
// addJob are guarded by the home's mutex.
type activeJob struct {
	JobInfo
	id      rattanpool.JobID
	service string
	// queued is the number of tasks that wait for a slot.
	queued int
	// submissionID is the ID of the submission key.
	submissionID  string
	tasks         []rattanjob.Task
	submittedAt   time.Time
	deadline      time.Time
	deadlineTimer *time.Timer
	// ctx ends with the leases of the tasks. cancel is called when the job has
	// ended and no dispatch is in progress.
	ctx    context.Context
	cancel context.CancelFunc
	// inspectAfter is how long a dispatch may go without a response before the
	// target is asked about the task on another connection.
	inspectAfter time.Duration

	results []rattanjob.Result
	// unfinished is the number of tasks without a result.
	unfinished int
	// startedTasks is the number of tasks that may have started.
	startedTasks int
	// assignments holds the active assignments by task.
	assignments map[int]activeAssignment
	ended       bool
	answer      rattanjob.Answer
	// done is closed when answer is set.
	done chan struct{}
}

// taskID returns the ID of one attempt of one task. It is unique for each
// dispatch.
func (j *activeJob) taskID(assignment rattanpool.Assignment) string {
	id := rattanjob.TaskID{Submission: j.submissionID, Task: assignment.Task, Attempt: assignment.Attempt}
	return id.String()
}

// assignTasks assigns waiting tasks to free slots until the scheduler returns
// no further assignment.
func (h *Home) assignTasks() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	for {
		assignment, ok := h.config.Scheduler.Next(now)
		if !ok {
			break
		}
		h.startTask(now, assignment)
	}
	if delay, ok := h.config.Scheduler.NextWake(now); ok {
		h.assignTimer.Reset(max(delay, time.Millisecond))
	}
}

// startTask dispatches one task, unless its job has ended, its target is
// unknown or its epoch is no longer valid.
func (h *Home) startTask(now time.Time, assignment rattanpool.Assignment) {
	job, ok := h.activeJobsByID[assignment.Job]
	if ok {
		h.removeQueued(job, 1)
	}
	address, known := h.targetAddresses[assignment.Target]
	if !ok || job.ended || !known || !h.epochValid(now, job.Key.Epoch) {
		h.config.Scheduler.Finish(now, assignment, rattanpool.Report{Outcome: rattanpool.OutcomeStopped})
		return
	}
	if _, running := job.assignments[assignment.Task]; running {
		h.recordViolation("task assigned while it is running")
	}
	job.startedTasks++
	h.busySlots[assignment.Target]++
	active := activeAssignment{Assignment: assignment}
	h.metrics.taskStarted(job.Kind, assignment.Waited)
	if h.config.Recorder != nil {
		active.traceRef = h.config.Recorder.Assigned(now, &job.JobInfo, assignment)
	}
	job.assignments[assignment.Task] = active
	go h.dispatch(job, assignment, address, now)
}

// dispatch runs one task on its target and handles the outcome. If the outcome
// is unknown, the target is asked about the task.
func (h *Home) dispatch(job *activeJob, assignment rattanpool.Assignment, address string, startedAt time.Time) {
	ctx := job.ctx
	id := job.taskID(assignment)
	result, err := h.config.Runner.Run(ctx, rattantarget.Dispatch{
		Address: address,
		ID:      id,
		Kind:    job.Kind,
		Payload: taskPayload(job.tasks[assignment.Task]),
		Lease:   rattanjson.Duration(job.deadline.Add(leaseGrace).Sub(startedAt)),

		InspectAfter: job.inspectAfter,
	})
	if errors.Is(err, rattantarget.ErrUnresolved) && ctx.Err() == nil {
		h.metrics.count(eventResolved)
		result, err = h.config.Runner.ResolveOutcome(ctx, address, id)
	}
	now := time.Now()
	report := rattanpool.Report{Outcome: outcomeOf(err), RunTime: now.Sub(startedAt), Unreachable: errors.Is(err, rattantarget.ErrUnreachable)}
	h.finishDispatch(now, job, assignment, report, result, err)
}

// outcomeOf returns the outcome of a dispatch for the scheduler, given the
// error of the runner.
func outcomeOf(err error) rattanpool.Outcome {
	switch {
	case err == nil:
		return rattanpool.OutcomeDone
	case errors.Is(err, rattantarget.ErrNotStarted):
		return rattanpool.OutcomeNotStarted
	case errors.Is(err, rattantarget.ErrStopped):
		return rattanpool.OutcomeStopped
	case errors.Is(err, rattantarget.ErrFailed):
		return rattanpool.OutcomeFailed
	default:
		return rattanpool.OutcomeUnresolved
	}
}

// finishDispatch records the outcome of a dispatch and ends the job if the
// outcome decides it.
func (h *Home) finishDispatch(now time.Time, job *activeJob, assignment rattanpool.Assignment, report rattanpool.Report, result rattantarget.Result, err error) {
	h.mutex.Lock()
	requeued := h.config.Scheduler.Finish(now, assignment, report)
	if h.busySlots[assignment.Target]--; h.busySlots[assignment.Target] <= 0 {
		delete(h.busySlots, assignment.Target)
	}
	traceRef := job.assignments[assignment.Task].traceRef
	delete(job.assignments, assignment.Task)
	h.metrics.taskEnded(report.Outcome)
	if report.Outcome == rattanpool.OutcomeNotStarted {
		job.startedTasks--
	}
	if h.config.Recorder != nil {
		h.config.Recorder.TaskEnded(now, &job.JobInfo, traceRef, assignment.Task, report)
	}
	if !job.ended {
		h.applyOutcome(now, job, assignment, report.Outcome, requeued, result, err)
	}
	job.cancelIfIdle()
	h.mutex.Unlock()
	h.assignTasks()
}

// applyOutcome stores the result of a task, queues a task again that did not
// start, or ends the job.
func (h *Home) applyOutcome(now time.Time, job *activeJob, assignment rattanpool.Assignment, outcome rattanpool.Outcome, requeued bool, result rattantarget.Result, err error) {
	switch {
	case outcome == rattanpool.OutcomeDone:
		job.results[assignment.Task] = rattanjob.Result{Payload: result.Payload}
		job.unfinished--
		h.unfinishedTasks[job.Caller]--
		if job.unfinished == 0 {
			h.endJob(now, job, rattanjob.StateComplete, rattanjob.ReasonNone, "")
		}
	case outcome == rattanpool.OutcomeNotStarted && requeued:
		h.removeQueued(job, -1)
	case outcome == rattanpool.OutcomeNotStarted:
		h.endJob(now, job, rattanjob.StateFailed, rattanjob.ReasonNoTarget, fmt.Sprintf("task %d: %v", assignment.Task, err))
	case outcome == rattanpool.OutcomeUnresolved:
		h.endJob(now, job, rattanjob.StateFailed, rattanjob.ReasonTaskUnresolved, fmt.Sprintf("task %d at %s may have run: %v", assignment.Task, assignment.Target, err))
	default:
		h.endJob(now, job, rattanjob.StateFailed, rattanjob.ReasonTaskFailed, fmt.Sprintf("task %d at %s: %v", assignment.Task, assignment.Target, err))
	}
}

// expireJob ends a job whose deadline has passed.
func (h *Home) expireJob(job *activeJob) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if job.ended {
		return
	}
	now := time.Now()
	if job.startedTasks == 0 {
		h.endJob(now, job, rattanjob.StateRefused, rattanjob.ReasonDeadlinePassed, "the deadline passed before a task was started")
		return
	}
	h.endJob(now, job, rattanjob.StateFailed, rattanjob.ReasonDeadlinePassed, fmt.Sprintf("the deadline passed with %d of %d tasks without a result", job.unfinished, len(job.tasks)))
}

// endJob sets the final answer of the job and records it in the ledger.
func (h *Home) endJob(now time.Time, job *activeJob, state rattanjob.State, reason rattanjob.Reason, detail string) rattanjob.Answer {
	answer := rattanjob.Answer{
		Key:       job.Key.String(),
		State:     state,
		Execution: job.execution(),
		Reason:    reason,
		Detail:    detail,
	}
	switch state {
	case rattanjob.StateComplete:
		answer.Execution = rattanjob.ExecutionRan
		answer.Results = job.results
	case rattanjob.StateRefused:
		if job.startedTasks > 0 {
			answer.State = rattanjob.StateFailed
		}
		answer.Started = job.startedTasks
	default:
		answer.Started = job.startedTasks
	}
	if err := h.config.Ledger.Finish(now, job.Key, answer); err != nil {
		h.recordViolation(err.Error())
	}
	h.closeJob(now, job, answer)
	return answer
}

// execution reports whether any task of an incomplete job may have run.
func (j *activeJob) execution() rattanjob.Execution {
	if j.startedTasks == 0 {
		return rattanjob.ExecutionNotRun
	}
	return rattanjob.ExecutionMayHaveRun
}

// closeJob closes the job with its answer. Queued tasks are dropped and running
// ones are stopped at their targets.
func (h *Home) closeJob(now time.Time, job *activeJob, answer rattanjob.Answer) {
	if job.ended {
		return
	}
	if answer.State == rattanjob.StateComplete && job.unfinished != 0 {
		h.recordViolation("complete answer without all results")
	}
	job.ended = true
	job.answer = answer
	job.deadlineTimer.Stop()
	close(job.done)
	delete(h.activeJobs, job.Key.Nonce)
	delete(h.activeJobsByID, job.id)
	h.removeFromTotals(job)
	job.cancelIfIdle()
	h.config.Scheduler.Cancel(now, job.id)
	for _, active := range job.assignments {
		h.stopTask(job, active.Assignment)
	}
	h.metrics.jobEnded(job.Kind, now.Sub(job.submittedAt), answer)
	if h.config.Recorder != nil {
		h.config.Recorder.Answered(now, EndedJob{
			JobInfo:  job.JobInfo,
			Took:     now.Sub(job.submittedAt),
			Deadline: job.deadline.Sub(job.submittedAt),
			Answer:   answer,
		})
	}
}

// cancelIfIdle releases the context of a job that has ended once no dispatch
// uses it.
func (j *activeJob) cancelIfIdle() {
	if j.ended && len(j.assignments) == 0 {
		j.cancel()
	}
}

// removeQueued removes a number of tasks of a job from the counts of queued
// tasks. A negative count adds tasks.
func (h *Home) removeQueued(job *activeJob, count int) {
	job.queued -= count
	if h.queuedTasks[job.service] -= count; h.queuedTasks[job.service] <= 0 {
		delete(h.queuedTasks, job.service)
	}
}

// removeFromTotals removes an ended job from the totals by caller and service.
func (h *Home) removeFromTotals(job *activeJob) {
	h.removeQueued(job, job.queued)
	h.unfinishedTasks[job.Caller] -= job.unfinished
	h.jobsByCaller[job.Caller]--
	if h.jobsByCaller[job.Caller] == 0 {
		delete(h.unfinishedTasks, job.Caller)
		delete(h.jobsByCaller, job.Caller)
	}
}

// stopTask asks a target to stop a task whose job has ended.
func (h *Home) stopTask(job *activeJob, assignment rattanpool.Assignment) {
	address := h.targetAddresses[assignment.Target]
	id := job.taskID(assignment)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_, _ = h.config.Runner.Stop(ctx, address, id)
	}()
}
