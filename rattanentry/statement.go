package rattanentry

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanledger"
)

// await waits for the end of the run. The answer is given only while the
// epoch is valid: a home that was paused may have been declared ended.
func (h *Home) await(ctx context.Context, current *run, caller string, wait time.Duration) rattanjob.Answer {
	if caller != current.Caller {
		return h.answerFor(rattanjob.Answer{}, rattanledger.VerdictForeign, current.Key)
	}
	h.mutex.Lock()
	h.waiting++
	h.mutex.Unlock()
	defer func() {
		h.mutex.Lock()
		h.waiting--
		h.mutex.Unlock()
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-current.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.valid(time.Now(), current.Key.Epoch) {
		return lost(current.Key)
	}
	if current.ended {
		return current.answer
	}
	return rattanjob.Answer{
		Key:        current.Key.String(),
		State:      rattanjob.StateRunning,
		Started:    current.started,
		RetryAfter: rattanjson.Duration(100 * time.Millisecond),
	}
}

// answerFor turns a verdict of the ledger into an answer.
func (h *Home) answerFor(answer rattanjob.Answer, verdict rattanledger.Verdict, key rattanjob.Key) rattanjob.Answer {
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
		return lost(key)
	case rattanledger.VerdictFinal:
		// The ledger keeps a cancellation before the submission as a refusal.
		if answer.State == rattanjob.StateRefused && answer.Reason == rattanjob.ReasonCancelled {
			answer.State = rattanjob.StateCancelled
		}
	case rattanledger.VerdictFull:
		answer = rattanjob.UnknownAnswer(rattanjob.ReasonOverloaded, "too many records; nothing was started now", rattanjson.Duration(time.Second))
	}
	answer.Key = key.String()
	return answer
}

func lost(key rattanjob.Key) rattanjob.Answer {
	answer := rattanjob.HomeLostAnswer("the home of the job has lost its record; tasks may have run")
	answer.Key = key.String()
	return answer
}
