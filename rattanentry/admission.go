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

// beginSubmission admits a submission with a new key, or finds the active job
// of a key that was used before. It returns that job, or the answer if no job
// is active. For priorRefusal, see Submit.
func (h *Home) beginSubmission(caller string, submission *rattanjob.Submission, priorRefusal *rattanjob.Answer) (*activeJob, rattanjob.Answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	key := submission.Key
	if !h.epochValid(now, key.Epoch) {
		return nil, homeLostAnswer(key)
	}
	h.metrics.count(eventSubmitted)
	answer, verdict := h.config.Ledger.Begin(now, key, caller, submission.Digest())
	switch verdict {
	case rattanledger.VerdictStart:
	case rattanledger.VerdictJoin:
		h.metrics.count(eventJoined)
		if job, ok := h.activeJobs[key.Nonce]; ok {
			return job, rattanjob.Answer{}
		}
		return nil, h.missingJobAnswer(key)
	case rattanledger.VerdictForeign:
		if key.CallerHash == rattanjob.HashCaller(caller) {
			// Members announce a valid epoch just before the home opens the
			// epoch in its ledger, so its first keys may arrive too early.
			answer = rattanjob.UnknownAnswer(rattanjob.ReasonNotReady, "the epoch of the key is not open yet; nothing was started now", retryAfterUnknown)
			answer.Key = key.String()
			return nil, answer
		}
		// The answer is final because retrying cannot help.
		return nil, rattanjob.Answer{
			Key:    key.String(),
			State:  rattanjob.StateRefused,
			Reason: rattanjob.ReasonKeyUnknown,
			Detail: "the key was not issued to this caller; nothing of this body was run",
		}
	default:
		return nil, h.verdictAnswer(answer, verdict, key)
	}
	if priorRefusal != nil {
		return nil, h.recordRefusal(now, JobInfo{Key: key, Caller: caller, Kind: submission.Kind}, *priorRefusal)
	}
	poolJob, expected, refusal := h.admit(now, caller, submission)
	if refusal != nil {
		return nil, h.recordRefusal(now, JobInfo{Key: key, Caller: caller, Kind: submission.Kind}, *refusal)
	}
	return h.addJob(now, caller, submission, poolJob, expected), rattanjob.Answer{}
}

// admit checks the submission against the configuration and the load. It
// returns the job and its expected completion time, or a refusal.
func (h *Home) admit(now time.Time, caller string, submission *rattanjob.Submission) (rattanpool.Job, time.Duration, *rattanjob.Answer) {
	if h.draining {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonShuttingDown, "the instance is shutting down")
		refusal.RetryAfter = rattanjson.Duration(100 * time.Millisecond)
		return rattanpool.Job{}, 0, &refusal
	}
	document := h.config.Documents.Document()
	poolJob, refusal := validateSubmission(now, document, caller, submission)
	if refusal != nil {
		return poolJob, 0, refusal
	}
	if limit := document.Callers[caller].MaxJobs; limit > 0 && h.jobsByCaller[caller] >= limit {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonOverQuota, fmt.Sprintf("%d jobs in progress, the limit of caller %s", limit, caller))
		refusal.RetryAfter = rattanjson.Duration(poolJob.RunTime)
		return poolJob, 0, &refusal
	}
	h.nextID++
	poolJob.ID = h.nextID
	admission := h.config.Scheduler.Admit(now, poolJob)
	if admission.Admitted {
		return poolJob, admission.ExpectedDuration, nil
	}
	rejected := rattanjob.RefusedAnswer(admission.Reason, admission.Detail)
	rejected.RetryAfter = rattanjson.Duration(admission.RetryAfter)
	return poolJob, 0, &rejected
}

// cancelBeforeSubmission records a cancellation as the final answer of a key
// that was not submitted yet.
func (h *Home) cancelBeforeSubmission(now time.Time, key rattanjob.Key) rattanjob.Answer {
	cancelled := rattanjob.RefusedAnswer(rattanjob.ReasonCancelled, "cancelled before it was submitted")
	cancelled.Key = key.String()
	if err := h.config.Ledger.Refuse(now, key, cancelled); err != nil {
		answer := rattanjob.UnknownAnswer(rattanjob.ReasonInternal, err.Error(), 0)
		answer.Key = key.String()
		return answer
	}
	h.metrics.count(eventCancelled)
	cancelled.State = rattanjob.StateCancelled
	return cancelled
}

// missingJobAnswer returns the answer for a record in state Running without an
// active job, and reports the invariant violation.
func (h *Home) missingJobAnswer(key rattanjob.Key) rattanjob.Answer {
	h.recordViolation("running record without an active job")
	answer := rattanjob.UnknownAnswer(rattanjob.ReasonInternal, "record without a run", 0)
	answer.Key = key.String()
	return answer
}

// addJob registers an admitted job as active and starts its deadline timer.
func (h *Home) addJob(now time.Time, caller string, submission *rattanjob.Submission, poolJob rattanpool.Job, expected time.Duration) *activeJob {
	job := &activeJob{
		id:           poolJob.ID,
		service:      poolJob.Service,
		queued:       len(submission.Tasks),
		JobInfo:      JobInfo{Key: submission.Key, Caller: caller, Kind: submission.Kind},
		submissionID: submission.Key.ID(),
		tasks:        submission.Tasks,
		submittedAt:  now,
		deadline:     poolJob.Deadline,
		results:      make([]rattanjob.Result, len(submission.Tasks)),
		unfinished:   len(submission.Tasks),
		assignments:  make(map[int]activeAssignment),
		done:         make(chan struct{}),
	}
	job.inspectAfter = min(max(inspectFactor*poolJob.RunTime, minInspectAfter), maxInspectAfter)
	// All dispatches of the job share one context: a timer for each of them
	// took a third of the CPU time of a task start.
	job.ctx, job.cancel = context.WithDeadline(context.Background(), poolJob.Deadline.Add(leaseGrace))
	job.deadlineTimer = time.AfterFunc(poolJob.Deadline.Sub(now), func() { h.expireJob(job) })
	h.activeJobs[job.Key.Nonce] = job
	h.activeJobsByID[job.id] = job
	h.unfinishedTasks[caller] += len(submission.Tasks)
	h.queuedTasks[poolJob.Service] += len(submission.Tasks)
	h.jobsByCaller[caller]++
	h.metrics.count(eventAdmitted)
	if h.config.Recorder != nil {
		h.config.Recorder.Submitted(now, &job.JobInfo, rattantrace.Submission{
			Key:      submission.Key,
			Caller:   caller,
			Kind:     submission.Kind,
			Tasks:    len(submission.Tasks),
			Deadline: poolJob.Deadline.Sub(now),
		}, expected)
	}
	return job
}

// recordRefusal records a refusal as the final answer of a new key.
func (h *Home) recordRefusal(now time.Time, job JobInfo, refusal rattanjob.Answer) rattanjob.Answer {
	refusal.Key = job.Key.String()
	if err := h.config.Ledger.Refuse(now, job.Key, refusal); err != nil {
		h.recordViolation(err.Error())
	}
	h.metrics.jobRefused(refusal.Reason)
	if h.config.Recorder != nil {
		h.config.Recorder.Answered(now, EndedJob{JobInfo: job, Answer: refusal})
	}
	return refusal
}

// validateSubmission checks a submission against the configuration and returns
// the job for the scheduler, or a refusal.
func validateSubmission(now time.Time, document *rattanconfig.Document, caller string, submission *rattanjob.Submission) (rattanpool.Job, *rattanjob.Answer) {
	kind, ok := document.JobKinds[submission.Kind]
	if !ok || kind.Retired || document.Services[kind.Service].Retired {
		return refusalf(rattanjob.ReasonUnknownKind, "Kind: %q is not an accepted job kind", submission.Kind)
	}
	callerConfig, ok := document.Callers[caller]
	if !ok || callerConfig.Retired {
		return refusalf(rattanjob.ReasonUnknownCaller, "caller %q is not configured", caller)
	}
	if len(submission.Tasks) > kind.MaxTasks {
		return refusalf(rattanjob.ReasonInvalid, "Tasks: %d tasks, want at most %d for kind %s", len(submission.Tasks), kind.MaxTasks, submission.Kind)
	}
	deadline := submission.Deadline.Std()
	if deadline == 0 {
		deadline = kind.Deadline.Std()
	}
	if deadline > kind.Deadline.Std() {
		return refusalf(rattanjob.ReasonInvalid, "Deadline: %v, want at most %v for kind %s", deadline, kind.Deadline, submission.Kind)
	}
	if refusal := checkPayloads(kind, submission.Tasks); refusal != nil {
		return rattanpool.Job{}, refusal
	}
	return rattanpool.Job{
		Caller:              caller,
		Kind:                submission.Kind,
		Service:             kind.Service,
		Tasks:               len(submission.Tasks),
		RunTime:             meanRunTime(kind, submission.Tasks),
		Deadline:            now.Add(deadline),
		Idempotent:          kind.Idempotent,
		CoresPerTask:        kind.CoresPerTask,
		MemoryMBPerTask:     kind.MemoryMBPerTask,
		AcceleratorsPerTask: kind.AcceleratorsPerTask,
	}, nil
}

// checkPayloads returns a refusal if a payload is larger than the job kind
// allows.
func checkPayloads(kind rattanconfig.JobKind, tasks []rattanjob.Task) *rattanjob.Answer {
	if kind.MaxPayloadBytes == 0 {
		return nil
	}
	for i, task := range tasks {
		if len(task.Payload) > kind.MaxPayloadBytes {
			_, refusal := refusalf(rattanjob.ReasonInvalid, "Tasks[%d].Payload: %d bytes, want at most %d", i, len(task.Payload), kind.MaxPayloadBytes)
			return refusal
		}
	}
	return nil
}

// meanRunTime returns the mean of the tasks' declared run times. Tasks without
// one count with the run time of the kind.
func meanRunTime(kind rattanconfig.JobKind, tasks []rattanjob.Task) time.Duration {
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

// refusalf returns an empty job and a refusal with the formatted detail.
func refusalf(reason rattanjob.Reason, format string, args ...any) (rattanpool.Job, *rattanjob.Answer) {
	refusal := rattanjob.RefusedAnswer(reason, errors.Errorf(format, args...).Error())
	return rattanpool.Job{}, &refusal
}
