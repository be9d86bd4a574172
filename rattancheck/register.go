package rattancheck

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Operation -trimprefix=Operation

// registerTimeout bounds the search for an order of the requests of one key. A
// search that does not end in time counts as a violation.
const registerTimeout = 10 * time.Second

// Operation is what a request asks for.
type Operation int

// The operations on one key.
const (
	OperationSubmit Operation = iota
	OperationStatus
	OperationCancel
)

// Request is one request of a caller and what came of it.
type Request struct {
	Operation Operation
	Key       rattanjob.Key
	// Instance names the instance that was asked; it is used in traces only.
	Instance string
	// BodyDigest is Submission.Digest of a submission, and 0 otherwise.
	BodyDigest uint64
	SentAt     time.Time
	ReceivedAt time.Time
	// Answered says that Answer was received; without an answer the request
	// may take effect at any later time.
	Answered bool
	Answer   rattanjob.Answer
}

// outcome is what a final answer says.
type outcome struct {
	State     rattanjob.State
	Execution rattanjob.Execution
	Reason    rattanjob.Reason
}

func outcomeOf(answer rattanjob.Answer) outcome {
	return outcome{State: answer.State, Execution: answer.Execution, Reason: answer.Reason}
}

// String returns the outcome in the form State/Execution/Reason.
func (o outcome) String() string {
	return fmt.Sprintf("%v/%v/%v", o.State, o.Execution, o.Reason)
}

// phase is where the record of a key stands.
type phase int

const (
	phaseAbsent phase = iota
	phaseRunning
	phaseFinal
	// phaseLost says that the home's epoch has ended.
	phaseLost
)

// register is the sequential specification's state of one key.
type register struct {
	phase phase
	// body is the digest of the body that holds the key; 0 means that a
	// cancellation does, and that no body is in conflict with it.
	body    uint64
	outcome outcome
}

// result classifies what a request learned.
type result int

const (
	resultNone result = iota
	resultRunning
	resultFinal
	resultLost
	resultConflict
	resultAbsent
)

// result returns what the request learned of the record. An answer in state
// Unknown says nothing, unless it says that there is no record.
func (r *Request) result() result {
	switch {
	case !r.Answered:
		return resultNone
	case r.Answer.Reason == rattanjob.ReasonHomeLost:
		return resultLost
	case r.Answer.Reason == rattanjob.ReasonConflict:
		return resultConflict
	case r.Answer.Reason == rattanjob.ReasonKeyUnknown:
		return resultAbsent
	case r.Answer.State == rattanjob.StateRunning:
		return resultRunning
	case r.Answer.State == rattanjob.StateUnknown:
		return resultNone
	}
	return resultFinal
}

// step returns the possible states after the request. A job ends on its own at
// any time, so a running record may turn into any final one, and a home may be
// lost at any time.
func (r *Request) step(before register) []register {
	learned := r.result()
	if learned == resultLost {
		return []register{{phase: phaseLost}}
	}
	if learned == resultNone {
		return r.unseen(before)
	}
	switch r.Operation {
	case OperationSubmit:
		return r.submit(before, learned)
	case OperationCancel:
		return r.cancel(before, learned)
	}
	return r.status(before, learned)
}

// unseen returns the states after a request whose effect is not known.
func (r *Request) unseen(before register) []register {
	after := []register{before}
	if before.phase != phaseAbsent {
		return after
	}
	switch r.Operation {
	case OperationSubmit:
		after = append(after, register{phase: phaseRunning, body: r.BodyDigest})
	case OperationCancel:
		cancelled := outcome{State: rattanjob.StateCancelled, Execution: rattanjob.ExecutionNotRun, Reason: rattanjob.ReasonCancelled}
		after = append(after, register{phase: phaseFinal, outcome: cancelled})
	}
	return after
}

func (r *Request) submit(before register, learned result) []register {
	own := before.body == r.BodyDigest || before.body == 0
	switch {
	case learned == resultAbsent:
		// The epoch was not open yet; nothing was recorded.
		return only(before, before.phase == phaseAbsent)
	case learned == resultConflict:
		return only(before, !own && (before.phase == phaseRunning || before.phase == phaseFinal))
	case before.phase == phaseAbsent:
		return nil
	case !own:
		return nil
	}
	return r.status(before, learned)
}

// begin returns the states after the first of the two steps of a submission
// that was taken: the record is made, and later the answer is read from it.
func (r *Request) begin(before register) []register {
	if before.phase == phaseAbsent {
		return []register{{phase: phaseRunning, body: r.BodyDigest}}
	}
	return []register{before}
}

// taken reports whether the request is a submission whose body holds the key.
func (r *Request) taken() bool {
	learned := r.result()
	return r.Operation == OperationSubmit && (learned == resultRunning || learned == resultFinal)
}

func (r *Request) cancel(before register, learned result) []register {
	if before.phase == phaseAbsent && learned == resultFinal && r.Answer.State == rattanjob.StateCancelled {
		return []register{{phase: phaseFinal, outcome: outcomeOf(r.Answer)}}
	}
	if learned == resultRunning {
		return nil
	}
	return r.status(before, learned)
}

func (r *Request) status(before register, learned result) []register {
	switch {
	case learned == resultAbsent:
		return only(before, before.phase == phaseAbsent)
	case learned == resultRunning:
		return only(before, before.phase == phaseRunning)
	case before.phase == phaseRunning:
		return []register{{phase: phaseFinal, body: before.body, outcome: outcomeOf(r.Answer)}}
	}
	return only(before, before.phase == phaseFinal && before.outcome == outcomeOf(r.Answer))
}

func only(state register, possible bool) []register {
	if !possible {
		return nil
	}
	return []register{state}
}

// linearizable reports whether some order of the requests of the key agrees
// with their times and with the specification.
func (s *submission) linearizable() bool {
	if len(s.requests) == 0 {
		return true
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, input, _ any) []any {
			before, _ := state.(register)
			step, _ := input.(func(register) []register)
			var after []any
			for _, next := range step(before) {
				after = append(after, next)
			}
			return after
		},
	}
	began := s.requests[0].SentAt
	for _, request := range s.requests {
		if request.SentAt.Before(began) {
			began = request.SentAt
		}
	}
	var operations []porcupine.Operation
	for i := range s.requests {
		request := &s.requests[i]
		ended := int64(request.ReceivedAt.Sub(began))
		if request.result() == resultNone {
			ended = math.MaxInt64
		}
		steps := []func(register) []register{request.step}
		switch {
		case request.taken():
			steps = append(steps, request.begin)
		case request.result() == resultLost:
			// The request may have had its effect before the home was lost.
			steps = append(steps, request.unseen)
		}
		for _, step := range steps {
			operations = append(operations, porcupine.Operation{
				ClientId: i,
				Input:    step,
				Call:     int64(request.SentAt.Sub(began)),
				Return:   ended,
			})
		}
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, registerTimeout) == porcupine.Ok
}

// trace lists the requests of the key in the order in which they were sent.
func (s *submission) trace() string {
	requests := slices.Clone(s.requests)
	slices.SortFunc(requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	lines := make([]string, 0, len(requests))
	for _, request := range requests {
		from := request.SentAt.Sub(requests[0].SentAt).Round(time.Microsecond)
		to := request.ReceivedAt.Sub(requests[0].SentAt).Round(time.Microsecond)
		said := "no answer"
		if request.Answered {
			said = outcomeOf(request.Answer).String() + " " + request.Answer.Detail
		}
		lines = append(lines, fmt.Sprintf("%v..%v %v body %x through %s: %s", from, to, request.Operation, request.BodyDigest, request.Instance, said))
	}
	return strings.Join(lines, "; ")
}
