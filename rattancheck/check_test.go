package rattancheck_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanjob"
)

var start = time.Unix(1000, 0)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func key(nonce byte) rattanjob.Key {
	made := rattanjob.Key{Epoch: rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}}
	made.Nonce[0] = nonce
	return made
}

func sent(nonce byte, payload string) rattanjob.Submission {
	return rattanjob.Submission{Key: key(nonce), Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(payload)}}}
}

func complete(payloads ...string) rattanjob.Answer {
	answer := rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan}
	for _, payload := range payloads {
		answer.Results = append(answer.Results, rattanjob.Result{Payload: json.RawMessage(payload)})
	}
	return answer
}

func submitted(of rattanjob.Submission, from, to int, answer rattanjob.Answer) rattancheck.Request {
	return rattancheck.Request{
		Operation: rattancheck.OperationSubmit, Key: of.Key, BodyDigest: of.Digest(),
		SentAt: at(from), ReceivedAt: at(to), Answered: true, Answer: answer,
	}
}

func asked(operation rattancheck.Operation, of rattanjob.Submission, from, to int, answer rattanjob.Answer) rattancheck.Request {
	return rattancheck.Request{Operation: operation, Key: of.Key, SentAt: at(from), ReceivedAt: at(to), Answered: true, Answer: answer}
}

func unanswered(request rattancheck.Request) rattancheck.Request {
	request.Answered = false
	request.Answer = rattanjob.Answer{}
	return request
}

// Guards the checks themselves: each broken invariant must be reported, and
// what the design page allows must not be.
func TestCheck(t *testing.T) {
	first, second := sent(1, `"a"`), sent(2, `"b"`)
	other := sent(1, `"other"`)
	taskID := func(of rattanjob.Submission, attempt int) string {
		return rattanjob.TaskID{Submission: of.Key.ID(), Attempt: attempt}.String()
	}
	ran := map[string]int{taskID(first, 1): 1}
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
		{"complete", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`))}, ran, nil},
		{"same task started twice", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`))}, map[string]int{taskID(first, 1): 2}, []rattancheck.Invariant{rattancheck.InvariantSingleStart}},
		{"two attempts started", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`))}, map[string]int{taskID(first, 1): 1, taskID(first, 2): 1}, []rattancheck.Invariant{rattancheck.InvariantSingleStart}},
		{"result missing", []rattancheck.Request{submitted(first, 0, 10, complete())}, ran, []rattancheck.Invariant{rattancheck.InvariantCompleteResults}},
		{"result of another key", []rattancheck.Request{submitted(first, 0, 10, complete(`"b"`))}, ran, []rattancheck.Invariant{rattancheck.InvariantMatchingResults}},
		{"result of another body", []rattancheck.Request{submitted(other, 0, 10, complete(`"a"`))}, ran, []rattancheck.Invariant{rattancheck.InvariantMatchingResults}},
		{"not run after a start", []rattancheck.Request{submitted(first, 0, 10, cancelled)}, ran, []rattancheck.Invariant{rattancheck.InvariantNotRun}},
		{"undelivered after a start", []rattancheck.Request{submitted(first, 0, 10, undelivered)}, ran, []rattancheck.Invariant{rattancheck.InvariantNotRun}},
		{"undelivered the second time", []rattancheck.Request{submitted(first, 0, 10, running), submitted(first, 20, 30, undelivered)}, ran, nil},
		{"no final answer", []rattancheck.Request{submitted(first, 0, 10, running)}, ran, []rattancheck.Invariant{rattancheck.InvariantResolved}},
		{"lost after complete", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`)), asked(rattancheck.OperationStatus, first, 20, 30, lost)}, ran, nil},
		{"complete after lost", []rattancheck.Request{asked(rattancheck.OperationStatus, first, 0, 10, lost), submitted(first, 20, 30, complete(`"a"`))}, ran, []rattancheck.Invariant{rattancheck.InvariantLinearizable, rattancheck.InvariantStable}},
		{"failure after lost", []rattancheck.Request{asked(rattancheck.OperationStatus, first, 0, 10, lost), submitted(first, 20, 30, failed)}, ran, []rattancheck.Invariant{rattancheck.InvariantLinearizable, rattancheck.InvariantStable}},
		{"complete overlaps lost", []rattancheck.Request{asked(rattancheck.OperationStatus, first, 0, 10, lost), submitted(first, 5, 30, complete(`"a"`))}, ran, nil},
		{"running after lost", []rattancheck.Request{asked(rattancheck.OperationStatus, first, 0, 10, lost), asked(rattancheck.OperationStatus, first, 20, 30, running)}, ran, []rattancheck.Invariant{rattancheck.InvariantLinearizable}},
		{"conflict", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`)), submitted(other, 20, 30, conflict)}, ran, nil},
		{"conflict without another body", []rattancheck.Request{submitted(first, 0, 10, conflict), submitted(first, 20, 30, complete(`"a"`))}, ran, []rattancheck.Invariant{rattancheck.InvariantLinearizable}},
		{"record forgotten", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`)), asked(rattancheck.OperationStatus, first, 20, 30, absent)}, ran, []rattancheck.Invariant{rattancheck.InvariantLinearizable}},
		{"cancelled after complete", []rattancheck.Request{submitted(first, 0, 10, complete(`"a"`)), asked(rattancheck.OperationCancel, first, 20, 30, cancelled)}, nil, []rattancheck.Invariant{rattancheck.InvariantLinearizable, rattancheck.InvariantStable}},
		{"cancelled before submission", []rattancheck.Request{asked(rattancheck.OperationCancel, first, 0, 10, cancelled), submitted(first, 20, 30, cancelled)}, nil, nil},
		{"submission without an answer took effect", []rattancheck.Request{unanswered(submitted(first, 0, 10, running)), asked(rattancheck.OperationStatus, first, 20, 30, running), asked(rattancheck.OperationStatus, first, 40, 50, complete(`"a"`))}, ran, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			history := rattancheck.NewHistory()
			history.Submitted(first)
			history.Submitted(second)
			history.Submitted(other)
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
