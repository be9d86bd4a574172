package rattanjob

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalidTaskID is returned for text that is not a valid task ID.
const ErrInvalidTaskID = errors.ConstError("not a task ID")

// TaskID identifies one attempt of a task.
type TaskID struct {
	// Submission is the Key.ID of the job's key.
	Submission string
	Task       int
	// Attempt starts at 1 and is different for every dispatch of a task.
	Attempt int
}

// ID returns a short text that is unique among all keys.
func (k *Key) ID() string {
	return fmt.Sprintf("%s.%d.%d.%x", k.Epoch.Home.Instance, k.Epoch.Home.Number, k.Epoch.Number, k.Nonce)
}

// ParseTaskID parses the text form of a task ID. It returns ErrInvalidTaskID if
// the text is not a valid task ID.
func ParseTaskID(text string) (TaskID, error) {
	rest, attemptText, attemptFound := cutLast(text, "-")
	submission, taskText, taskFound := cutLast(rest, "-")
	task, taskErr := strconv.Atoi(taskText)
	attempt, attemptErr := strconv.Atoi(attemptText)
	if !attemptFound || !taskFound || taskErr != nil || attemptErr != nil || submission == "" {
		return TaskID{}, errors.WithType(errors.Errorf("%.64q: not a task ID", text), ErrInvalidTaskID)
	}
	return TaskID{Submission: submission, Task: task, Attempt: attempt}, nil
}

// String returns the text form, which ParseTaskID parses.
func (t TaskID) String() string {
	return t.Submission + "-" + strconv.Itoa(t.Task) + "-" + strconv.Itoa(t.Attempt)
}

func cutLast(text, separator string) (before, after string, found bool) {
	index := strings.LastIndex(text, separator)
	if index < 0 {
		return text, "", false
	}
	return text[:index], text[index+len(separator):], true
}
