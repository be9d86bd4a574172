package rattanjob

import (
	"encoding/json"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Result is the result of one task.
type Result struct {
	Payload json.RawMessage
}

// Answer is what a caller is told about its job.
type Answer struct {
	Key       string `json:",omitempty"`
	State     State
	Execution Execution
	Reason    Reason
	// Detail is one line for people; it has no stable form.
	Detail string `json:",omitempty"`
	// RetryAfter is the time after which asking or submitting again is useful.
	RetryAfter rattanjson.Duration `json:",omitempty"`
	// Started is the number of tasks that were started, for jobs that failed
	// or were cancelled.
	Started int `json:",omitempty"`
	// Undelivered says that this request reached no home. A caller that has
	// submitted the key only once may then submit with a new key.
	Undelivered bool `json:",omitempty"`
	// Results is non-empty only in state Complete, where it holds one result a
	// task in the order of the submission. It is empty in a complete answer
	// whose results are past their retention; Detail then says so.
	Results []Result `json:",omitempty"`
}

// RefusedAnswer returns the answer for a submission of which no task was started and
// none will be.
func RefusedAnswer(reason Reason, detail string) Answer {
	return Answer{State: StateRefused, Execution: ExecutionNotRun, Reason: reason, Detail: detail}
}

// UnknownAnswer returns the answer for a job whose home cannot be asked now.
func UnknownAnswer(reason Reason, detail string, retryAfter rattanjson.Duration) Answer {
	return Answer{State: StateUnknown, Execution: ExecutionMayHaveRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// HomeLostAnswer returns the answer for a job whose home's epoch has ended.
func HomeLostAnswer(detail string) Answer {
	return Answer{State: StateFailed, Execution: ExecutionMayHaveRun, Reason: ReasonHomeLost, Detail: detail}
}
