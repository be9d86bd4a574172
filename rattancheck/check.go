// Package rattancheck checks recorded histories against the invariants of the
// system: no task starts twice, answers are whole and belong to their
// requests, and "not run" is true.
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

//go:generate go tool stringer -type=Invariant -trimprefix=Invariant

// Invariant is a promise of the system that a history can break.
type Invariant int

// The invariants that are checked.
const (
	// InvariantSingleStart says that no task of a submission starts twice.
	InvariantSingleStart Invariant = iota
	// InvariantCompleteResults says that a complete answer has the result of each task.
	InvariantCompleteResults
	// InvariantMatchingResults says that results belong to the request.
	InvariantMatchingResults
	// InvariantNotRun says that no task of a submission starts whose answer
	// says that it was not run.
	InvariantNotRun
	// InvariantStable says that a final answer does not change, except that a
	// job's record may be lost with its home.
	InvariantStable
	// InvariantResolved says that each submission gets a final answer.
	InvariantResolved
	// InvariantLinearizable says that the requests of one key are linearizable
	// against the record of the key at its home; see register.go.
	InvariantLinearizable
)

// Violation is one broken invariant.
type Violation struct {
	Invariant Invariant
	// SubmissionID is Key.ID of the submission concerned.
	SubmissionID string
	Detail       string
}

// observation is one answer that a caller received.
type observation struct {
	asked    time.Time
	received time.Time
	answer   rattanjob.Answer
	// body is the digest of the submission that was answered; 0 means that
	// the request had none.
	body uint64
}

// submission is what is recorded of one key.
type submission struct {
	// expected holds the results of each body that was sent with the key.
	expected map[uint64][]json.RawMessage
	answers  []observation
	requests []Request
}

// History records submissions and their answers. It is safe for concurrent
// use.
type History struct {
	mutex       sync.Mutex
	submissions map[string]*submission
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{submissions: map[string]*submission{}}
}

// Submitted records that the submission was sent. Targets are expected to
// return the payloads as results.
func (h *History) Submitted(sent rattanjob.Submission) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	payloads := make([]json.RawMessage, len(sent.Tasks))
	for i, task := range sent.Tasks {
		payloads[i] = task.Payload
	}
	h.record(sent.Key).expected[sent.Digest()] = payloads
}

// Answered records an answer to a request that was sent at asked.
func (h *History) Answered(key rattanjob.Key, asked, received time.Time, answer rattanjob.Answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	record := h.record(key)
	record.answers = append(record.answers, observation{asked: asked, received: received, answer: answer})
}

// Requested records one request and what came of it.
func (h *History) Requested(request Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	record := h.record(request.Key)
	record.requests = append(record.requests, request)
	if request.Answered {
		record.answers = append(record.answers, observation{
			asked:    request.SentAt,
			received: request.ReceivedAt,
			answer:   request.Answer,
			body:     request.BodyDigest,
		})
	}
}

// record returns the record of a key.
func (h *History) record(key rattanjob.Key) *submission {
	id := key.ID()
	record, ok := h.submissions[id]
	if !ok {
		record = &submission{expected: map[uint64][]json.RawMessage{}}
		h.submissions[id] = record
	}
	return record
}

// Len returns the number of submissions.
func (h *History) Len() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.submissions)
}

// Check returns the broken invariants of the history. The starts are the
// number of starts at targets by task ID.
func (h *History) Check(starts map[string]int) []Violation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	bySubmission, violations := countStarts(starts)
	for id, record := range h.submissions {
		violations = append(violations, record.check(id, bySubmission[id])...)
	}
	slices.SortFunc(violations, func(a, b Violation) int {
		return bytes.Compare([]byte(a.SubmissionID+a.Detail), []byte(b.SubmissionID+b.Detail))
	})
	return violations
}

// countStarts sums the starts of each submission and reports tasks that were
// started more than once, over all attempts.
func countStarts(starts map[string]int) (map[string]int, []Violation) {
	var violations []Violation
	bySubmission := map[string]int{}
	byTask := map[rattanjob.TaskID]int{}
	for text, count := range starts {
		id, err := rattanjob.ParseTaskID(text)
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

func (s *submission) check(id string, starts int) []Violation {
	var violations []Violation
	report := func(invariant Invariant, format string, args ...any) {
		violations = append(violations, Violation{invariant, id, fmt.Sprintf(format, args...)})
	}
	resolved := false
	for _, seen := range s.answers {
		answer := seen.answer
		resolved = resolved || answer.State.Final()
		if answer.State.Final() && answer.Execution == rattanjob.ExecutionNotRun && starts > 0 {
			report(InvariantNotRun, "answer %v/%v says not run, %d tasks started", answer.State, answer.Reason, starts)
		}
		if answer.State == rattanjob.StateComplete {
			s.checkResults(seen, report)
		}
	}
	if s.undelivered() && starts > 0 {
		report(InvariantNotRun, "all answers say undelivered, %d tasks started", starts)
	}
	if !resolved {
		detail := ""
		if len(s.answers) > 0 {
			detail = s.answers[len(s.answers)-1].answer.Detail
		}
		report(InvariantResolved, "no final answer among %d, the last: %s", len(s.answers), detail)
	}
	s.checkStable(report)
	if !s.linearizable() {
		report(InvariantLinearizable, "no order of these requests is possible: %s", s.trace())
	}
	return violations
}

// undelivered reports whether the key was submitted and every submission was
// answered with the statement that it reached no home.
func (s *submission) undelivered() bool {
	submitted := false
	for _, request := range s.requests {
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

func (s *submission) checkResults(seen observation, report func(Invariant, string, ...any)) {
	results := seen.answer.Results
	if len(results) == 0 && seen.answer.Detail != "" {
		return
	}
	var reasons []Violation
	for body, expected := range s.expected {
		if seen.body != 0 && seen.body != body {
			continue
		}
		invariant, reason := compare(results, expected)
		if reason == "" {
			return
		}
		reasons = append(reasons, Violation{Invariant: invariant, Detail: reason})
	}
	if len(reasons) == 0 {
		report(InvariantMatchingResults, "complete answer to a body that was not sent")
		return
	}
	report(reasons[0].Invariant, "%s", reasons[0].Detail)
}

// compare returns the first difference between results and what is expected.
func compare(results []rattanjob.Result, expected []json.RawMessage) (Invariant, string) {
	if len(results) != len(expected) {
		return InvariantCompleteResults, fmt.Sprintf("%d results of %d", len(results), len(expected))
	}
	for i, result := range results {
		if missing(result.Payload) && !missing(expected[i]) {
			return InvariantCompleteResults, fmt.Sprintf("result %d is empty", i)
		}
		if !bytes.Equal(compact(result.Payload), compact(expected[i])) {
			return InvariantMatchingResults, fmt.Sprintf("result %d is %.80s, want %.80s", i, result.Payload, expected[i])
		}
	}
	return 0, ""
}

// checkStable reports final answers that contradict one another. A job's
// record may be lost with its home, so HomeLost may follow any final answer;
// nothing else may follow HomeLost, unless the requests overlapped.
func (s *submission) checkStable(report func(Invariant, string, ...any)) {
	for _, first := range s.answers {
		for _, later := range s.answers {
			if !later.asked.After(first.received) || !settled(first.answer) || !settled(later.answer) {
				continue
			}
			if later.answer.Reason != rattanjob.ReasonHomeLost && outcomeOf(later.answer) != outcomeOf(first.answer) {
				report(InvariantStable, "%v after %v", outcomeOf(later.answer), outcomeOf(first.answer))
			}
		}
	}
}

// settled reports whether the answer is a final statement on the submission
// itself; a conflict is a statement on another body.
func settled(answer rattanjob.Answer) bool {
	return answer.State.Final() && answer.Reason != rattanjob.ReasonConflict
}

// missing reports whether a payload is absent; JSON has null in its place.
func missing(payload json.RawMessage) bool {
	return len(payload) == 0 || string(payload) == "null"
}

func compact(data json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, data) != nil {
		return data
	}
	return buffer.Bytes()
}
