// Package rattancheck checks recorded histories of requests against the
// invariants of the system, for example that no task starts twice, that answers
// are complete and belong to their requests, and that a submission reported as
// not run did not start.
package rattancheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Invariant -trimprefix=Invariant -linecomment

// Invariant is a guarantee of the system that a history can violate.
type Invariant int

// The invariants that are checked.
const (
	// InvariantSingleStart requires that no task of a submission starts twice.
	InvariantSingleStart Invariant = iota
	// InvariantCompleteResults requires that a complete answer has the result
	// of each task.
	InvariantCompleteResults // Whole
	// InvariantMatchingResults requires that the results in an answer are those
	// of the request.
	InvariantMatchingResults // OwnAnswer
	// InvariantNotRun requires that no task of a submission starts if an answer
	// states that the submission was not run.
	InvariantNotRun
	// InvariantStable requires that a final answer does not change, except that
	// the record of a job may be lost with its home.
	InvariantStable
	// InvariantResolved requires that each submission gets a final answer.
	InvariantResolved
	// InvariantLinearizable requires that the requests of one key are
	// linearizable with respect to the record of the key at its home; see
	// linearizability.go.
	InvariantLinearizable // Register
)

// Violation is a violated invariant.
type Violation struct {
	Invariant Invariant
	// SubmissionID is the Key.ID of the submission that violates it.
	SubmissionID string
	Detail       string
}

// observation is an answer that a caller received.
type observation struct {
	sentAt     time.Time
	receivedAt time.Time
	answer     rattanjob.Answer
	// bodyDigest is the digest of the submission that was answered; 0 means that
	// it is not known or that the request was not a submission.
	bodyDigest uint64
}

// keyRecord holds everything that is recorded about one key.
type keyRecord struct {
	// expectedResults holds the expected results of each body that was sent with
	// the key, by the digest of the body.
	expectedResults map[uint64][]json.RawMessage
	answers         []observation
	requests        []Request
}

// History records submissions and their answers. It is safe for concurrent
// use.
type History struct {
	mutex   sync.Mutex
	records map[string]*keyRecord
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{records: map[string]*keyRecord{}}
}

// Submitted records that the submission was sent. Targets are expected to
// return the payloads as results.
func (h *History) Submitted(submission rattanjob.Submission) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	payloads := make([]json.RawMessage, len(submission.Tasks))
	for i, task := range submission.Tasks {
		payloads[i] = task.Payload
	}
	h.recordFor(submission.Key).expectedResults[submission.Digest()] = payloads
}

// Answered records an answer, with the times at which its request was sent and
// the answer was received.
func (h *History) Answered(key rattanjob.Key, sentAt, receivedAt time.Time, answer rattanjob.Answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	record := h.recordFor(key)
	record.answers = append(record.answers, observation{sentAt: sentAt, receivedAt: receivedAt, answer: answer})
}

// Requested records a request and its answer, if any.
func (h *History) Requested(request Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	record := h.recordFor(request.Key)
	record.requests = append(record.requests, request)
	if request.Answered {
		record.answers = append(record.answers, observation{
			sentAt:     request.SentAt,
			receivedAt: request.ReceivedAt,
			answer:     request.Answer,
			bodyDigest: request.BodyDigest,
		})
	}
}

// recordFor returns the record of a key and creates it if necessary.
func (h *History) recordFor(key rattanjob.Key) *keyRecord {
	id := key.ID()
	record, ok := h.records[id]
	if !ok {
		record = &keyRecord{expectedResults: map[uint64][]json.RawMessage{}}
		h.records[id] = record
	}
	return record
}

// Len returns the number of recorded submission keys.
func (h *History) Len() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.records)
}

// Check returns the violations in the history. The map starts holds the number of
// starts of each task at all targets, by task ID.
func (h *History) Check(starts map[string]int) []Violation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	bySubmission, violations := countStarts(starts)
	for id, record := range h.records {
		violations = append(violations, record.check(id, bySubmission[id])...)
	}
	slices.SortFunc(violations, func(a, b Violation) int {
		return bytes.Compare([]byte(a.SubmissionID+a.Detail), []byte(b.SubmissionID+b.Detail))
	})
	return violations
}

// countStarts sums the starts of each submission and reports tasks that started
// more than once, over all attempts.
func countStarts(starts map[string]int) (map[string]int, []Violation) {
	var violations []Violation
	bySubmission := map[string]int{}
	byTask := map[rattanjob.TaskID]int{}
	for taskID, count := range starts {
		id, err := rattanjob.ParseTaskID(taskID)
		if err != nil {
			continue
		}
		bySubmission[id.Submission] += count
		id.Attempt = 0
		byTask[id] += count
	}
	for id, count := range byTask {
		if count > 1 {
			violations = append(violations, Violation{InvariantSingleStart, id.Submission, fmt.Sprintf("task %d started %d times", id.Task, count)})
		}
	}
	return bySubmission, violations
}

// check returns the violations of the submission with the given ID; starts is the
// number of its task starts.
func (r *keyRecord) check(id string, starts int) []Violation {
	var violations []Violation
	report := func(invariant Invariant, format string, args ...any) {
		violations = append(violations, Violation{invariant, id, fmt.Sprintf(format, args...)})
	}
	resolved := false
	for _, observed := range r.answers {
		answer := observed.answer
		resolved = resolved || answer.State.Final()
		if answer.State.Final() && answer.Execution == rattanjob.ExecutionNotRun && starts > 0 {
			report(InvariantNotRun, "answer %v/%v states that the job was not run, but %d tasks started", answer.State, answer.Reason, starts)
		}
		if answer.State == rattanjob.StateComplete {
			r.checkResults(observed, report)
		}
	}
	if r.allUndelivered() && starts > 0 {
		report(InvariantNotRun, "all answers state that the job was not delivered, but %d tasks started", starts)
	}
	if !resolved {
		detail := ""
		if len(r.answers) > 0 {
			detail = r.answers[len(r.answers)-1].answer.Detail
		}
		report(InvariantResolved, "no final answer among %d answers; detail of the last answer: %s", len(r.answers), detail)
	}
	r.checkStable(report)
	if !r.isLinearizable() {
		report(InvariantLinearizable, "these requests are not linearizable: %s", r.formatRequests())
	}
	return violations
}

// allUndelivered reports whether the key was submitted and the answer to every
// submission states that it did not reach a home.
func (r *keyRecord) allUndelivered() bool {
	submitted := false
	for _, request := range r.requests {
		if request.Operation != OperationSubmit {
			continue
		}
		submitted = true
		if !request.Answered || !request.Answer.Undelivered {
			return false
		}
	}
	return submitted
}

// checkResults reports results that match none of the bodies that the answer can
// belong to.
func (r *keyRecord) checkResults(observed observation, report func(Invariant, string, ...any)) {
	results := observed.answer.Results
	if len(results) == 0 && observed.answer.Detail != "" {
		return
	}
	var mismatches []Violation
	for bodyDigest, expected := range r.expectedResults {
		if observed.bodyDigest != 0 && observed.bodyDigest != bodyDigest {
			continue
		}
		invariant, reason := compareResults(results, expected)
		if reason == "" {
			return
		}
		mismatches = append(mismatches, Violation{Invariant: invariant, Detail: reason})
	}
	if len(mismatches) == 0 {
		report(InvariantMatchingResults, "complete answer to a body that was not sent")
		return
	}
	report(mismatches[0].Invariant, "%s", mismatches[0].Detail)
}

// compareResults describes the first difference between the results and the
// expected ones, and returns the invariant that it violates. The description is
// empty if there is none.
func compareResults(results []rattanjob.Result, expected []json.RawMessage) (Invariant, string) {
	if len(results) != len(expected) {
		return InvariantCompleteResults, fmt.Sprintf("%d results of %d", len(results), len(expected))
	}
	for i, result := range results {
		if isAbsent(result.Payload) && !isAbsent(expected[i]) {
			return InvariantCompleteResults, fmt.Sprintf("result %d is empty", i)
		}
		if !bytes.Equal(compactJSON(result.Payload), compactJSON(expected[i])) {
			return InvariantMatchingResults, fmt.Sprintf("result %d is %.80s, want %.80s", i, result.Payload, expected[i])
		}
	}
	return 0, ""
}

// checkStable reports final answers that contradict each other. The record of a
// job may be lost with its home, so HomeLost may follow any final answer. No
// other answer may follow HomeLost, unless the requests overlapped.
func (r *keyRecord) checkStable(report func(Invariant, string, ...any)) {
	for _, earlier := range r.answers {
		for _, later := range r.answers {
			if !later.sentAt.After(earlier.receivedAt) || !isFinalForBody(earlier.answer) || !isFinalForBody(later.answer) {
				continue
			}
			if later.answer.Reason != rattanjob.ReasonHomeLost && outcomeOf(later.answer) != outcomeOf(earlier.answer) {
				report(InvariantStable, "final answer %v after final answer %v", outcomeOf(later.answer), outcomeOf(earlier.answer))
			}
		}
	}
}

// isFinalForBody reports whether the answer is final for the job of the key. A
// conflict is not, because it only states that the key has another body.
func isFinalForBody(answer rattanjob.Answer) bool {
	return answer.State.Final() && answer.Reason != rattanjob.ReasonConflict
}

// isAbsent reports whether a payload is absent, which JSON encodes as null.
func isAbsent(payload json.RawMessage) bool {
	return len(payload) == 0 || string(payload) == "null"
}

// compactJSON returns the data without insignificant white space, or unchanged if
// it is not valid JSON.
func compactJSON(data json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, data) != nil {
		return data
	}
	return buffer.Bytes()
}
