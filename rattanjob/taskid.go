package rattanjob

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ErrTaskID reports text that is not the ID of a task.
const ErrTaskID = errors.ConstError("not a task ID")

// TaskID names one attempt of one task.
type TaskID struct {
	// Submission is Key.ID of the job's key.
	Submission string
	Task       int
	// Attempt counts from 1; no two dispatches of a task share one.
	Attempt int
}

// ID returns a short text that is unique among all keys.
func (k *Key) ID() string {
	return fmt.Sprintf("%s.%d.%d.%x", k.Epoch.Home.Instance, k.Epoch.Home.Number, k.Epoch.Number, k.Nonce)
}

// ParseTaskID parses the text form of a task ID. It returns ErrTaskID for any
// other text.
func ParseTaskID(text string) (TaskID, error) {
	rest, attemptText, ok := cutLast(text, "-")
	submission, taskText, okTask := cutLast(rest, "-")
	task, errTask := strconv.Atoi(taskText)
	attempt, errAttempt := strconv.Atoi(attemptText)
	if !ok || !okTask || errTask != nil || errAttempt != nil || submission == "" {
		return TaskID{}, errors.WithType(errors.Errorf("%.64q", text), ErrTaskID)
	}
	return TaskID{Submission: submission, Task: task, Attempt: attempt}, nil
}

// String returns the text form, which ParseTaskID parses.
func (t TaskID) String() string {
	return t.Submission + "-" + strconv.Itoa(t.Task) + "-" + strconv.Itoa(t.Attempt)
}

func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}
