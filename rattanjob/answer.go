package rattanjob

import (
	"encoding/json"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Result is the result of one task.
type Result struct {
	Payload json.RawMessage
}

// Answer is the response to a caller about the state of its job.
type Answer struct {
	Key       string `json:",omitempty"`
	State     State
	Execution Execution
	Reason    Reason
	// Detail is a one-line explanation for people; its wording is not stable.
	Detail string `json:",omitempty"`
	// RetryAfter is the time to wait before asking or submitting again.
	RetryAfter rattanjson.Duration `json:",omitempty"`
	// Started is the number of started tasks of a job that failed or was
	// cancelled.
	Started int `json:",omitempty"`
	// Undelivered is set if this request did not reach a home. A caller that
	// has submitted the key only once may then submit the job with a new key.
	Undelivered bool `json:",omitempty"`
	// Results holds one result per task in the order of the submission. It is
	// set only in state Complete. If the retention time of the results has
	// passed, it is empty and Detail says so.
	Results []Result `json:",omitempty"`
}

// RefusedAnswer returns the answer for a submission of which no task was or
// will be started.
func RefusedAnswer(reason Reason, detail string) Answer {
	return Answer{State: StateRefused, Execution: ExecutionNotRun, Reason: reason, Detail: detail}
}

// UnknownAnswer returns the answer for a job whose home cannot be reached at the
// moment.
func UnknownAnswer(reason Reason, detail string, retryAfter rattanjson.Duration) Answer {
	return Answer{State: StateUnknown, Execution: ExecutionMayHaveRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// HomeLostAnswer returns the answer for a job whose home's epoch has ended.
func HomeLostAnswer(detail string) Answer {
	return Answer{State: StateFailed, Execution: ExecutionMayHaveRun, Reason: ReasonHomeLost, Detail: detail}
}
