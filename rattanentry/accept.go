package rattanentry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanledger"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattantrace"
)

// begin decides on a submission and returns its run, or its answer.
func (h *Home) begin(caller string, submission *rattanjob.Submission, fault *rattanjob.Answer) (*run, rattanjob.Answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	key := submission.Key
	if !h.valid(now, key.Epoch) {
		return nil, lost(key)
	}
	h.counts.count(eventSubmitted)
	answer, verdict := h.config.Ledger.Begin(now, key, caller, submission.Digest())
	switch verdict {
	case rattanledger.VerdictStart:
	case rattanledger.VerdictJoin:
		h.counts.count(eventJoined)
		if current, ok := h.runs[key.Nonce]; ok {
			return current, rattanjob.Answer{}
		}
		return nil, h.missingRun(key)
	case rattanledger.VerdictForeign:
		if key.CallerHash == rattanjob.HashCaller(caller) {
			// The members announce a valid epoch just before its records are
			// opened here, so that its first keys may arrive too early.
			answer = rattanjob.UnknownAnswer(rattanjob.ReasonNotReady, "the epoch of the key is not open yet; nothing was started now", retryUnknown)
			answer.Key = key.String()
			return nil, answer
		}
		// Final, because asking again cannot help.
		return nil, rattanjob.Answer{
			Key:    key.String(),
			State:  rattanjob.StateRefused,
			Reason: rattanjob.ReasonKeyUnknown,
			Detail: "the key was not issued to this caller; nothing of this body was run",
		}
	default:
		return nil, h.answerFor(answer, verdict, key)
	}
	if fault != nil {
		return nil, h.refuse(now, Running{Key: key, Caller: caller, Kind: submission.Kind}, *fault)
	}
	job, expected, refusal := h.accept(now, caller, submission)
	if refusal != nil {
		return nil, h.refuse(now, Running{Key: key, Caller: caller, Kind: submission.Kind}, *refusal)
	}
	return h.launch(now, caller, submission, job, expected), rattanjob.Answer{}
}

// accept checks the submission against the configuration and the load. It
// returns the job and its expected time to the end, or a refusal.
func (h *Home) accept(now time.Time, caller string, submission *rattanjob.Submission) (rattanpool.Job, time.Duration, *rattanjob.Answer) {
	if h.draining {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonShuttingDown, "the instance is shutting down")
		refusal.RetryAfter = rattanjson.Duration(100 * time.Millisecond)
		return rattanpool.Job{}, 0, &refusal
	}
	document := h.config.Documents.Document()
	job, refusal := describeJob(now, document, caller, submission)
	if refusal != nil {
		return job, 0, refusal
	}
	if limit := document.Callers[caller].MaxJobs; limit > 0 && h.jobs[caller] >= limit {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonOverQuota, fmt.Sprintf("%d jobs in progress, the limit of caller %s", limit, caller))
		refusal.RetryAfter = rattanjson.Duration(job.RunTime)
		return job, 0, &refusal
	}
	h.nextID++
	job.ID = h.nextID
	admission := h.config.Scheduler.Admit(now, job)
	if admission.Admitted {
		return job, admission.ExpectedDuration, nil
	}
	rejected := rattanjob.RefusedAnswer(admission.Reason, admission.Detail)
	rejected.RetryAfter = rattanjson.Duration(admission.RetryAfter)
	return job, 0, &rejected
}

// cancelUnsubmitted makes a cancellation the final answer of a key that was not
// submitted yet.
func (h *Home) cancelUnsubmitted(now time.Time, key rattanjob.Key) rattanjob.Answer {
	cancelled := rattanjob.RefusedAnswer(rattanjob.ReasonCancelled, "cancelled before it was submitted")
	cancelled.Key = key.String()
	if err := h.config.Ledger.Refuse(now, key, cancelled); err != nil {
		answer := rattanjob.UnknownAnswer(rattanjob.ReasonInternal, err.Error(), 0)
		answer.Key = key.String()
		return answer
	}
	h.counts.count(eventCancelled)
	cancelled.State = rattanjob.StateCancelled
	return cancelled
}

// missingRun reports a record in state Running that has no run.
func (h *Home) missingRun(key rattanjob.Key) rattanjob.Answer {
	h.violated("running record without a run")
	answer := rattanjob.UnknownAnswer(rattanjob.ReasonInternal, "record without a run", 0)
	answer.Key = key.String()
	return answer
}

// launch registers the run of an admitted job.
func (h *Home) launch(now time.Time, caller string, submission *rattanjob.Submission, job rattanpool.Job, expected time.Duration) *run {
	current := &run{
		id:         job.ID,
		service:    job.Service,
		waiting:    len(submission.Tasks),
		Running:    Running{Key: submission.Key, Caller: caller, Kind: submission.Kind},
		submission: submission.Key.ID(),
		tasks:      submission.Tasks,
		submitted:  now,
		deadline:   job.Deadline,
		results:    make([]rattanjob.Result, len(submission.Tasks)),
		remaining:  len(submission.Tasks),
		running:    make(map[int]dispatched),
		done:       make(chan struct{}),
	}
	current.inspectAfter = min(max(inspectFactor*job.RunTime, minInspectAfter), maxInspectAfter)
	// One context serves all dispatches of the job: a timer for each of them took
	// a third of the processor time of a start.
	current.ctx, current.cancel = context.WithDeadline(context.Background(), job.Deadline.Add(leaseGrace))
	current.timer = time.AfterFunc(job.Deadline.Sub(now), func() { h.pastDeadline(current) })
	h.runs[current.Key.Nonce] = current
	h.byID[current.id] = current
	h.demand[caller] += len(submission.Tasks)
	h.queued[job.Service] += len(submission.Tasks)
	h.jobs[caller]++
	h.counts.count(eventAdmitted)
	if h.config.Recorder != nil {
		h.config.Recorder.Submitted(now, &current.Running, rattantrace.Submission{
			Key:      submission.Key,
			Caller:   caller,
			Kind:     submission.Kind,
			Tasks:    len(submission.Tasks),
			Deadline: job.Deadline.Sub(now),
		}, expected)
	}
	return current
}

// refuse records a refusal as the final answer of a key that began just now.
func (h *Home) refuse(now time.Time, job Running, refusal rattanjob.Answer) rattanjob.Answer {
	refusal.Key = job.Key.String()
	if err := h.config.Ledger.Refuse(now, job.Key, refusal); err != nil {
		h.violated(err.Error())
	}
	h.counts.refused(refusal.Reason)
	if h.config.Recorder != nil {
		h.config.Recorder.Answered(now, Ended{Running: job, Answer: refusal})
	}
	return refusal
}

// describeJob checks a submission against the configuration.
func describeJob(now time.Time, document *rattanconfig.Document, caller string, submission *rattanjob.Submission) (rattanpool.Job, *rattanjob.Answer) {
	kind, ok := document.JobKinds[submission.Kind]
	if !ok || kind.Retired || document.Services[kind.Service].Retired {
		return refuseJob(rattanjob.ReasonUnknownKind, "Kind: %q is not an accepted job kind", submission.Kind)
	}
	party, ok := document.Callers[caller]
	if !ok || party.Retired {
		return refuseJob(rattanjob.ReasonUnknownCaller, "caller %q is not configured", caller)
	}
	if len(submission.Tasks) > kind.MaxTasks {
		return refuseJob(rattanjob.ReasonInvalid, "Tasks: %d tasks, want at most %d for kind %s", len(submission.Tasks), kind.MaxTasks, submission.Kind)
	}
	deadline := submission.Deadline.Std()
	if deadline == 0 {
		deadline = kind.Deadline.Std()
	}
	if deadline > kind.Deadline.Std() {
		return refuseJob(rattanjob.ReasonInvalid, "Deadline: %v, want at most %v for kind %s", deadline, kind.Deadline, submission.Kind)
	}
	if refusal := checkPayloads(kind, submission.Tasks); refusal != nil {
		return rattanpool.Job{}, refusal
	}
	return rattanpool.Job{
		Caller:              caller,
		Kind:                submission.Kind,
		Service:             kind.Service,
		Tasks:               len(submission.Tasks),
		RunTime:             declaredRunTime(kind, submission.Tasks),
		Deadline:            now.Add(deadline),
		Idempotent:          kind.Idempotent,
		CoresPerTask:        kind.CoresPerTask,
		MemoryMBPerTask:     kind.MemoryMBPerTask,
		AcceleratorsPerTask: kind.AcceleratorsPerTask,
	}, nil
}

func checkPayloads(kind rattanconfig.JobKind, tasks []rattanjob.Task) *rattanjob.Answer {
	if kind.MaxPayloadBytes == 0 {
		return nil
	}
	for i, task := range tasks {
		if len(task.Payload) > kind.MaxPayloadBytes {
			_, refusal := refuseJob(rattanjob.ReasonInvalid, "Tasks[%d].Payload: %d bytes, want at most %d", i, len(task.Payload), kind.MaxPayloadBytes)
			return refusal
		}
	}
	return nil
}

// declaredRunTime is the mean of the tasks' declared run times, or the kind's.
func declaredRunTime(kind rattanconfig.JobKind, tasks []rattanjob.Task) time.Duration {
	var total time.Duration
	for _, task := range tasks {
		declared := task.RunTime.Std()
		if declared == 0 {
			declared = kind.RunTime.Std()
		}
		total += declared
	}
	return total / time.Duration(len(tasks))
}

func refuseJob(reason rattanjob.Reason, format string, args ...any) (rattanpool.Job, *rattanjob.Answer) {
	refusal := rattanjob.RefusedAnswer(reason, errors.Errorf(format, args...).Error())
	return rattanpool.Job{}, &refusal
}
