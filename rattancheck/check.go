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
	// InvariantWhole says that a complete answer has the result of each task.
	InvariantWhole
	// InvariantOwnAnswer says that results belong to the request.
	InvariantOwnAnswer
	// InvariantNotRun says that no task of a submission starts whose answer
	// says that it was not run.
	InvariantNotRun
	// InvariantStable says that a final answer does not change, except that a
	// job's record may be lost with its home.
	InvariantStable
	// InvariantResolved says that each submission gets a final answer.
	InvariantResolved
)

// Violation is one broken invariant.
type Violation struct {
	Invariant Invariant
	// Submission is Key.ID of the submission concerned.
	Submission string
	Detail     string
}

// observation is one answer that a caller received.
type observation struct {
	asked    time.Time
	received time.Time
	answer   rattanjob.Answer
}

// submission is what is recorded of one key.
type submission struct {
	expected []json.RawMessage
	answers  []observation
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
	id := sent.Key.ID()
	if _, ok := h.submissions[id]; ok {
		return
	}
	record := &submission{}
	for _, task := range sent.Tasks {
		record.expected = append(record.expected, task.Payload)
	}
	h.submissions[id] = record
}

// Answered records an answer to a request that was sent at asked.
func (h *History) Answered(key rattanjob.Key, asked, received time.Time, answer rattanjob.Answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	record, ok := h.submissions[key.ID()]
	if !ok {
		record = &submission{}
		h.submissions[key.ID()] = record
	}
	record.answers = append(record.answers, observation{asked: asked, received: received, answer: answer})
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
		return bytes.Compare([]byte(a.Submission+a.Detail), []byte(b.Submission+b.Detail))
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
			s.checkResults(answer, report)
		}
	}
	if !resolved {
		report(InvariantResolved, "no final answer among %d", len(s.answers))
	}
	s.checkStable(report)
	return violations
}

func (s *submission) checkResults(answer rattanjob.Answer, report func(Invariant, string, ...any)) {
	if len(answer.Results) == 0 && answer.Detail != "" {
		return
	}
	if len(answer.Results) != len(s.expected) {
		report(InvariantWhole, "%d results of %d", len(answer.Results), len(s.expected))
		return
	}
	for i, result := range answer.Results {
		if len(result.Payload) == 0 {
			report(InvariantWhole, "result %d is empty", i)
		} else if !bytes.Equal(compact(result.Payload), compact(s.expected[i])) {
			report(InvariantOwnAnswer, "result %d is %.80s, want %.80s", i, result.Payload, s.expected[i])
		}
	}
}

// checkStable reports final answers that contradict one another. A job's
// record may be lost with its home, so HomeLost may follow any final answer;
// nothing else may follow HomeLost, unless the requests overlapped.
func (s *submission) checkStable(report func(Invariant, string, ...any)) {
	for i, first := range s.answers {
		for _, later := range s.answers[i+1:] {
			if later.asked.Before(first.received) || !settled(first.answer) || !settled(later.answer) {
				continue
			}
			if later.answer.Reason != rattanjob.ReasonHomeLost && later.answer.State != first.answer.State {
				report(InvariantStable, "%v/%v after %v/%v", later.answer.State, later.answer.Reason, first.answer.State, first.answer.Reason)
			}
		}
	}
}

// settled reports whether the answer is a final statement on the submission
// itself; a conflict is a statement on another body.
func settled(answer rattanjob.Answer) bool {
	return answer.State.Final() && answer.Reason != rattanjob.ReasonConflict
}

func compact(data json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, data) != nil {
		return data
	}
	return buffer.Bytes()
}
