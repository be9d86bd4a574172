package rattantrace

import (
	"fmt"
	"strings"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// Trace describes the history of one job.
type Trace struct {
	Key    string
	Caller string
	Kind   string
	// Front is the name of the instance that forwarded the submission.
	Front       string
	Tasks       int
	SubmittedAt time.Time
	// Deadline is the time from the submission to the answer.
	Deadline rattanjson.Duration
	// Admitted is false for jobs that were refused or not decided on yet.
	Admitted bool
	// Expected is the time until the end of the last task, as estimated at
	// admission.
	Expected rattanjson.Duration
	State    rattanjob.State
	Reason   rattanjob.Reason
	Detail   string `json:",omitempty"`
	// Took is the time from the submission to the answer, or 0 while the job is
	// running.
	Took   rattanjson.Duration
	Events []Event
	// EventsLost is the number of events that were overwritten by newer ones.
	EventsLost int `json:",omitempty"`
}

// Event is one step of a job.
type Event struct {
	// After is the time since the submission.
	After rattanjson.Duration
	Kind  EventKind
	Task  int
	// Target, Attempt and Waited are set for assignments. Waited is the time
	// that the task waited for its assignment.
	Target  string              `json:",omitempty"`
	Attempt int                 `json:",omitempty"`
	Waited  rattanjson.Duration `json:",omitempty"`
	// Cause is the reason for the assignment, or why the task waits.
	Cause string `json:",omitempty"`
	// Outcome is empty while the task is running.
	Outcome string `json:",omitempty"`
	// Ran is the run time of the task, or 0 while it is running.
	Ran rattanjson.Duration `json:",omitempty"`
}

// Text returns a human-readable trace with one line per event.
func (t Trace) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "Job %s\n", t.Key)
	fmt.Fprintf(&text, "  submitted %s by caller %s through %s: %d tasks of kind %s, deadline %v\n",
		t.SubmittedAt.UTC().Format(time.RFC3339Nano), t.Caller, t.Front, t.Tasks, t.Kind, t.Deadline)
	if t.Admitted {
		fmt.Fprintf(&text, "  admitted, expected to take %v\n", t.Expected)
	}
	if t.EventsLost > 0 {
		fmt.Fprintf(&text, "  (%d earlier events are no longer kept)\n", t.EventsLost)
	}
	for _, event := range t.Events {
		fmt.Fprintf(&text, "  +%v %s\n", event.After, event.describe())
	}
	text.WriteString("  " + t.describeState() + "\n")
	return text.String()
}

func (t Trace) describeState() string {
	if !t.State.Final() {
		return "still running"
	}
	text := fmt.Sprintf("%v after %v", t.State, t.Took)
	if t.Reason != rattanjob.ReasonNone {
		text += fmt.Sprintf(", reason %v", t.Reason)
	}
	if t.Detail != "" {
		text += ": " + t.Detail
	}
	return text
}

func (e Event) describe() string {
	switch e.Kind {
	case EventWaiting:
		return fmt.Sprintf("task %d waits: %s", e.Task, e.Cause)
	case EventEnded:
		return fmt.Sprintf("task %d: %s after %v", e.Task, e.Outcome, e.Ran)
	}
	text := fmt.Sprintf("task %d to target %s, attempt %d, waited %v", e.Task, e.Target, e.Attempt, e.Waited)
	if e.Cause != "" {
		text += " (" + e.Cause + ")"
	}
	if e.Outcome == "" {
		return text + ": running"
	}
	return text + fmt.Sprintf(": %s after %v", e.Outcome, e.Ran)
}
