package rattancheck_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanjob"
)

var baseTime = time.Unix(1000, 0)

func atMilliseconds(milliseconds int) time.Time {
	return baseTime.Add(time.Duration(milliseconds) * time.Millisecond)
}

func newKey(nonce byte) rattanjob.Key {
	key := rattanjob.Key{Epoch: rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}}
	key.Nonce[0] = nonce
	return key
}

func newSubmission(nonce byte, payload string) rattanjob.Submission {
	return rattanjob.Submission{Key: newKey(nonce), Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(payload)}}}
}

func completeAnswer(payloads ...string) rattanjob.Answer {
	answer := rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan}
	for _, payload := range payloads {
		answer.Results = append(answer.Results, rattanjob.Result{Payload: json.RawMessage(payload)})
	}
	return answer
}

// submitRequest returns an answered submission; the times are in milliseconds
// after baseTime.
func submitRequest(submission rattanjob.Submission, sentAt, receivedAt int, answer rattanjob.Answer) rattancheck.Request {
	return rattancheck.Request{
		Operation: rattancheck.OperationSubmit, Key: submission.Key, BodyDigest: submission.Digest(),
		SentAt: atMilliseconds(sentAt), ReceivedAt: atMilliseconds(receivedAt), Answered: true, Answer: answer,
	}
}

// keyRequest returns an answered request that has only a key; the times are in
// milliseconds after baseTime.
func keyRequest(operation rattancheck.Operation, submission rattanjob.Submission, sentAt, receivedAt int, answer rattanjob.Answer) rattancheck.Request {
	return rattancheck.Request{Operation: operation, Key: submission.Key, SentAt: atMilliseconds(sentAt), ReceivedAt: atMilliseconds(receivedAt), Answered: true, Answer: answer}
}

// withoutAnswer returns the request as it is recorded if no answer was received.
func withoutAnswer(request rattancheck.Request) rattancheck.Request {
	request.Answered = false
	request.Answer = rattanjob.Answer{}
	return request
}

// TestCheck guards against checks that miss a violated invariant or report a
// history that the design allows.
func TestCheck(t *testing.T) {
	first, second := newSubmission(1, `"a"`), newSubmission(2, `"b"`)
	otherBody := newSubmission(1, `"other"`)
	taskID := func(submission rattanjob.Submission, attempt int) string {
		return rattanjob.TaskID{Submission: submission.Key.ID(), Attempt: attempt}.String()
	}
	startedOnce := map[string]int{taskID(first, 1): 1}
	lost := rattanjob.HomeLostAnswer("")
	cancelled := rattanjob.Answer{State: rattanjob.StateCancelled, Execution: rattanjob.ExecutionNotRun, Reason: rattanjob.ReasonCancelled}
	conflict := rattanjob.Answer{State: rattanjob.StateRefused, Reason: rattanjob.ReasonConflict}
	failed := rattanjob.Answer{State: rattanjob.StateFailed, Reason: rattanjob.ReasonTaskFailed}
	absent := rattanjob.Answer{Reason: rattanjob.ReasonKeyUnknown}
	running := rattanjob.Answer{State: rattanjob.StateRunning}
	undelivered := lost
	undelivered.Undelivered = true
	for _, test := range []struct {
		name     string
		requests []rattancheck.Request
		starts   map[string]int
		want     []rattancheck.Invariant
	}{
		{"complete", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`))}, startedOnce, nil},
		{"same task started twice", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`))}, map[string]int{taskID(first, 1): 2}, []rattancheck.Invariant{rattancheck.InvariantSingleStart}},
		{"two attempts started", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`))}, map[string]int{taskID(first, 1): 1, taskID(first, 2): 1}, []rattancheck.Invariant{rattancheck.InvariantSingleStart}},
		{"result missing", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer())}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantCompleteResults}},
		{"result of another key", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"b"`))}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantMatchingResults}},
		{"result of another body", []rattancheck.Request{submitRequest(otherBody, 0, 10, completeAnswer(`"a"`))}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantMatchingResults}},
		{"not run after a start", []rattancheck.Request{submitRequest(first, 0, 10, cancelled)}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantNotRun}},
		{"undelivered after a start", []rattancheck.Request{submitRequest(first, 0, 10, undelivered)}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantNotRun}},
		{"undelivered the second time", []rattancheck.Request{submitRequest(first, 0, 10, running), submitRequest(first, 20, 30, undelivered)}, startedOnce, nil},
		{"no final answer", []rattancheck.Request{submitRequest(first, 0, 10, running)}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantResolved}},
		{"lost after complete", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`)), keyRequest(rattancheck.OperationStatus, first, 20, 30, lost)}, startedOnce, nil},
		{"complete after lost", []rattancheck.Request{keyRequest(rattancheck.OperationStatus, first, 0, 10, lost), submitRequest(first, 20, 30, completeAnswer(`"a"`))}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantLinearizable, rattancheck.InvariantStable}},
		{"failure after lost", []rattancheck.Request{keyRequest(rattancheck.OperationStatus, first, 0, 10, lost), submitRequest(first, 20, 30, failed)}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantLinearizable, rattancheck.InvariantStable}},
		{"complete overlaps lost", []rattancheck.Request{keyRequest(rattancheck.OperationStatus, first, 0, 10, lost), submitRequest(first, 5, 30, completeAnswer(`"a"`))}, startedOnce, nil},
		{"running after lost", []rattancheck.Request{keyRequest(rattancheck.OperationStatus, first, 0, 10, lost), keyRequest(rattancheck.OperationStatus, first, 20, 30, running)}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantLinearizable}},
		{"conflict", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`)), submitRequest(otherBody, 20, 30, conflict)}, startedOnce, nil},
		{"conflict without another body", []rattancheck.Request{submitRequest(first, 0, 10, conflict), submitRequest(first, 20, 30, completeAnswer(`"a"`))}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantLinearizable}},
		{"record forgotten", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`)), keyRequest(rattancheck.OperationStatus, first, 20, 30, absent)}, startedOnce, []rattancheck.Invariant{rattancheck.InvariantLinearizable}},
		{"cancelled after complete", []rattancheck.Request{submitRequest(first, 0, 10, completeAnswer(`"a"`)), keyRequest(rattancheck.OperationCancel, first, 20, 30, cancelled)}, nil, []rattancheck.Invariant{rattancheck.InvariantLinearizable, rattancheck.InvariantStable}},
		{"cancelled before submission", []rattancheck.Request{keyRequest(rattancheck.OperationCancel, first, 0, 10, cancelled), submitRequest(first, 20, 30, cancelled)}, nil, nil},
		{"submission without an answer took effect", []rattancheck.Request{withoutAnswer(submitRequest(first, 0, 10, running)), keyRequest(rattancheck.OperationStatus, first, 20, 30, running), keyRequest(rattancheck.OperationStatus, first, 40, 50, completeAnswer(`"a"`))}, startedOnce, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			history := rattancheck.NewHistory()
			history.Submitted(first)
			history.Submitted(second)
			history.Submitted(otherBody)
			for _, request := range test.requests {
				history.Requested(request)
			}
			var found []rattancheck.Invariant
			for _, violation := range history.Check(test.starts) {
				if violation.SubmissionID == first.Key.ID() {
					found = append(found, violation.Invariant)
				}
			}
			c.Assert(found, qt.ContentEquals, test.want)
		})
	}
}
