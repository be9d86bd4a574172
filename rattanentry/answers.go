package rattanentry

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanledger"
)

// awaitAnswer waits for the end of the job, for at most wait, and returns the
// job's answer, or one in state Running if the job has not ended. It returns
// them only while the epoch is valid, because a home that was paused may have
// been declared ended.
func (h *Home) awaitAnswer(ctx context.Context, job *activeJob, caller string, wait time.Duration) rattanjob.Answer {
	if caller != job.Caller {
		return h.verdictAnswer(rattanjob.Answer{}, rattanledger.VerdictForeign, job.Key)
	}
	h.mutex.Lock()
	h.waitingRequests++
	h.mutex.Unlock()
	defer func() {
		h.mutex.Lock()
		h.waitingRequests--
		h.mutex.Unlock()
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-job.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.epochValid(time.Now(), job.Key.Epoch) {
		return homeLostAnswer(job.Key)
	}
	if job.ended {
		return job.answer
	}
	return rattanjob.Answer{
		Key:        job.Key.String(),
		State:      rattanjob.StateRunning,
		Started:    job.startedTasks,
		RetryAfter: rattanjson.Duration(100 * time.Millisecond),
	}
}

// verdictAnswer returns the answer for a verdict of the ledger.
func (h *Home) verdictAnswer(answer rattanjob.Answer, verdict rattanledger.Verdict, key rattanjob.Key) rattanjob.Answer {
	switch verdict {
	case rattanledger.VerdictConflict:
		answer = rattanjob.Answer{
			State:     rattanjob.StateRefused,
			Execution: rattanjob.ExecutionMayHaveRun,
			Reason:    rattanjob.ReasonConflict,
			Detail:    "the key was used with another body; nothing of this body was run",
		}
	case rattanledger.VerdictUnknown, rattanledger.VerdictForeign:
		answer = rattanjob.Answer{
			State:  rattanjob.StateUnknown,
			Reason: rattanjob.ReasonKeyUnknown,
			Detail: "no such key for this caller",
		}
	case rattanledger.VerdictFenced:
		return homeLostAnswer(key)
	case rattanledger.VerdictFinal:
		// The ledger stores a cancellation before the submission as a refusal.
		if answer.State == rattanjob.StateRefused && answer.Reason == rattanjob.ReasonCancelled {
			answer.State = rattanjob.StateCancelled
		}
	case rattanledger.VerdictFull:
		answer = rattanjob.UnknownAnswer(rattanjob.ReasonOverloaded, "too many records; nothing was started now", rattanjson.Duration(time.Second))
	}
	answer.Key = key.String()
	return answer
}

// homeLostAnswer returns the answer for a key whose home may no longer act for
// the epoch of the key.
func homeLostAnswer(key rattanjob.Key) rattanjob.Answer {
	answer := rattanjob.HomeLostAnswer("the home of the job has lost its record; tasks may have run")
	answer.Key = key.String()
	return answer
}
