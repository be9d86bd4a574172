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

// run is one job in progress at its home. All fields are guarded by the
// home's mutex, except those that never change after launch.
type run struct {
	Running
	id      rattanpool.JobID
	service string
	// waiting is the number of tasks that wait for a slot.
	waiting int
	// submission is the ID of the key.
	submission string
	tasks      []rattanjob.Task
	submitted  time.Time
	deadline   time.Time
	timer      *time.Timer
	// ctx ends with the leases of the tasks; cancel is called when the job has
	// ended and no dispatch is in progress.
	ctx    context.Context
	cancel context.CancelFunc
	// inspectAfter is how long a dispatch may be silent before its target is
	// asked about the task on another connection.
	inspectAfter time.Duration

	results []rattanjob.Result
	// remaining is the number of tasks without a result.
	remaining int
	// started is the number of tasks of which it is not proved that they did
	// not start.
	started int
	// running holds the assignments in progress by task.
	running map[int]dispatched
	ended   bool
	answer  rattanjob.Answer
	// done is closed when answer is set.
	done chan struct{}
}

// taskID names one attempt of one task; no two dispatches share one.
func (r *run) taskID(assignment rattanpool.Assignment) string {
	id := rattanjob.TaskID{Submission: r.submission, Task: assignment.Task, Attempt: assignment.Attempt}
	return id.String()
}

// pump assigns waiting tasks to free slots until the scheduler has no more.
func (h *Home) pump() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	for {
		assignment, ok := h.config.Scheduler.Next(now)
		if !ok {
			break
		}
		h.start(now, assignment)
	}
	if delay, ok := h.config.Scheduler.NextWake(now); ok {
		h.wake.Reset(max(delay, time.Millisecond))
	}
}

// start dispatches one task, unless its job has ended or lost its epoch.
func (h *Home) start(now time.Time, assignment rattanpool.Assignment) {
	current, ok := h.byID[assignment.Job]
	if ok {
		h.unqueue(current, 1)
	}
	address, known := h.addresses[assignment.Target]
	if !ok || current.ended || !known || !h.valid(now, current.Key.Epoch) {
		h.config.Scheduler.Finish(now, assignment, rattanpool.Report{Outcome: rattanpool.OutcomeStopped})
		return
	}
	if _, twice := current.running[assignment.Task]; twice {
		h.violated("task is assigned while it runs")
	}
	current.started++
	h.busy[assignment.Target]++
	task := dispatched{Assignment: assignment}
	h.counts.taskStarted(current.Kind, assignment.Waited)
	if h.config.Recorder != nil {
		task.ref = h.config.Recorder.Assigned(now, &current.Running, assignment)
	}
	current.running[assignment.Task] = task
	go h.dispatch(current, assignment, address, now)
}

// dispatch runs one task at its target and reports the outcome.
func (h *Home) dispatch(current *run, assignment rattanpool.Assignment, address string, began time.Time) {
	ctx := current.ctx
	id := current.taskID(assignment)
	result, err := h.config.Runner.Run(ctx, rattantarget.Dispatch{
		Address: address,
		ID:      id,
		Kind:    current.Kind,
		Payload: taskPayload(current.tasks[assignment.Task]),
		Lease:   rattanjson.Duration(current.deadline.Add(leaseGrace).Sub(began)),

		InspectAfter: current.inspectAfter,
	})
	if errors.Is(err, rattantarget.ErrUnresolved) && ctx.Err() == nil {
		h.counts.count(eventSettled)
		result, err = h.config.Runner.ResolveOutcome(ctx, address, id)
	}
	now := time.Now()
	report := rattanpool.Report{Outcome: outcomeOf(err), RunTime: now.Sub(began), Unreachable: errors.Is(err, rattantarget.ErrUnreachable)}
	h.finish(now, current, assignment, report, result, err)
}

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

// finish records how one dispatch ended and ends the job when it decides it.
func (h *Home) finish(now time.Time, current *run, assignment rattanpool.Assignment, report rattanpool.Report, result rattantarget.Result, cause error) {
	h.mutex.Lock()
	requeued := h.config.Scheduler.Finish(now, assignment, report)
	if h.busy[assignment.Target]--; h.busy[assignment.Target] <= 0 {
		delete(h.busy, assignment.Target)
	}
	ref := current.running[assignment.Task].ref
	delete(current.running, assignment.Task)
	h.counts.taskEnded(report.Outcome)
	if report.Outcome == rattanpool.OutcomeNotStarted {
		current.started--
	}
	if h.config.Recorder != nil {
		h.config.Recorder.TaskEnded(now, &current.Running, ref, assignment.Task, report)
	}
	if !current.ended {
		h.conclude(now, current, assignment, report.Outcome, requeued, result, cause)
	}
	current.closeIdle()
	h.mutex.Unlock()
	h.pump()
}

func (h *Home) conclude(now time.Time, current *run, assignment rattanpool.Assignment, outcome rattanpool.Outcome, requeued bool, result rattantarget.Result, cause error) {
	switch {
	case outcome == rattanpool.OutcomeDone:
		current.results[assignment.Task] = rattanjob.Result{Payload: result.Payload}
		current.remaining--
		h.demand[current.Caller]--
		if current.remaining == 0 {
			h.end(now, current, rattanjob.StateComplete, rattanjob.ReasonNone, "")
		}
	case outcome == rattanpool.OutcomeNotStarted && requeued:
		h.unqueue(current, -1)
	case outcome == rattanpool.OutcomeNotStarted:
		h.end(now, current, rattanjob.StateFailed, rattanjob.ReasonNoTarget, fmt.Sprintf("task %d: %v", assignment.Task, cause))
	case outcome == rattanpool.OutcomeUnresolved:
		h.end(now, current, rattanjob.StateFailed, rattanjob.ReasonTaskUnresolved, fmt.Sprintf("task %d at %s may have run: %v", assignment.Task, assignment.Target, cause))
	default:
		h.end(now, current, rattanjob.StateFailed, rattanjob.ReasonTaskFailed, fmt.Sprintf("task %d at %s: %v", assignment.Task, assignment.Target, cause))
	}
}

// pastDeadline ends a run whose deadline has passed.
func (h *Home) pastDeadline(current *run) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if current.ended {
		return
	}
	now := time.Now()
	if current.started == 0 {
		h.end(now, current, rattanjob.StateRefused, rattanjob.ReasonDeadlinePassed, "the deadline passed before a task was started")
		return
	}
	h.end(now, current, rattanjob.StateFailed, rattanjob.ReasonDeadlinePassed, fmt.Sprintf("the deadline passed with %d of %d tasks without a result", current.remaining, len(current.tasks)))
}

// end gives the run its final answer and records it.
func (h *Home) end(now time.Time, current *run, state rattanjob.State, reason rattanjob.Reason, detail string) rattanjob.Answer {
	answer := rattanjob.Answer{
		Key:       current.Key.String(),
		State:     state,
		Execution: current.execution(),
		Reason:    reason,
		Detail:    detail,
	}
	switch state {
	case rattanjob.StateComplete:
		answer.Execution = rattanjob.ExecutionRan
		answer.Results = current.results
	case rattanjob.StateRefused:
		if current.started > 0 {
			answer.State = rattanjob.StateFailed
		}
		answer.Started = current.started
	default:
		answer.Started = current.started
	}
	if err := h.config.Ledger.Finish(now, current.Key, answer); err != nil {
		h.violated(err.Error())
	}
	h.settle(now, current, answer)
	return answer
}

func (r *run) execution() rattanjob.Execution {
	if r.started == 0 {
		return rattanjob.ExecutionNotRun
	}
	return rattanjob.ExecutionMayHaveRun
}

// settle closes the run with its answer: waiting tasks are dropped and running
// ones are stopped at their targets.
func (h *Home) settle(now time.Time, current *run, answer rattanjob.Answer) {
	if current.ended {
		return
	}
	if answer.State == rattanjob.StateComplete && current.remaining != 0 {
		h.violated("complete answer with results missing")
	}
	current.ended = true
	current.answer = answer
	current.timer.Stop()
	close(current.done)
	delete(h.runs, current.Key.Nonce)
	delete(h.byID, current.id)
	h.release(current)
	current.closeIdle()
	h.config.Scheduler.Cancel(now, current.id)
	for _, task := range current.running {
		h.stop(current, task.Assignment)
	}
	h.counts.jobEnded(current.Kind, now.Sub(current.submitted), answer)
	if h.config.Recorder != nil {
		h.config.Recorder.Answered(now, Ended{
			Running:  current.Running,
			Took:     now.Sub(current.submitted),
			Deadline: current.deadline.Sub(current.submitted),
			Answer:   answer,
		})
	}
}

// closeIdle frees the context of a job that has ended once no dispatch uses it.
func (r *run) closeIdle() {
	if r.ended && len(r.running) == 0 {
		r.cancel()
	}
}

// unqueue takes a number of tasks of a run out of the waiting ones.
func (h *Home) unqueue(current *run, count int) {
	current.waiting -= count
	if h.queued[current.service] -= count; h.queued[current.service] <= 0 {
		delete(h.queued, current.service)
	}
}

// release takes an ended run out of the sums by caller and service.
func (h *Home) release(current *run) {
	h.unqueue(current, current.waiting)
	h.demand[current.Caller] -= current.remaining
	h.jobs[current.Caller]--
	if h.jobs[current.Caller] == 0 {
		delete(h.demand, current.Caller)
		delete(h.jobs, current.Caller)
	}
}

// stop asks a target to stop a task whose job has ended.
func (h *Home) stop(current *run, assignment rattanpool.Assignment) {
	address := h.addresses[assignment.Target]
	id := current.taskID(assignment)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_, _ = h.config.Runner.Stop(ctx, address, id)
	}()
}
