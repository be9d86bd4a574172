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

// linearizabilityTimeout limits the search for a linearization of the requests of
// one key. A search that does not finish in time counts as a violation.
const linearizabilityTimeout = 10 * time.Second

// Operation is the kind of a request.
type Operation int

// The operations on one key.
const (
	OperationSubmit Operation = iota
	OperationStatus
	OperationCancel
)

// Request is a request of a caller, with its answer if there was one.
type Request struct {
	Operation Operation
	Key       rattanjob.Key
	// Instance is the name of the instance that got the request. It is used only
	// in the details of violations.
	Instance string
	// BodyDigest is the Submission.Digest of a submission, and 0 for other
	// operations.
	BodyDigest uint64
	SentAt     time.Time
	ReceivedAt time.Time
	// Answered states that Answer was received. A request without an answer may
	// take effect at any later time.
	Answered bool
	Answer   rattanjob.Answer
}

// outcome is the part of a final answer that must not change.
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

// phase is the phase of the record of a key.
type phase int

const (
	phaseAbsent phase = iota
	phaseRunning
	phaseFinal
	// phaseLost means that the epoch of the home has ended.
	phaseLost
)

// keyState is the state of one key in the sequential specification.
type keyState struct {
	phase phase
	// bodyDigest is the digest of the body that is recorded for the key. It is 0
	// if a cancellation was recorded first; then no body conflicts with it.
	bodyDigest uint64
	outcome    outcome
}

// responseKind classifies an answer by what it states about the record of the
// key.
type responseKind int

const (
	responseNone responseKind = iota
	responseRunning
	responseFinal
	responseLost
	responseConflict
	responseAbsent
)

// responseKind classifies the answer to the request. An answer in state Unknown
// states nothing about the record, unless its reason is KeyUnknown.
func (r *Request) responseKind() responseKind {
	switch {
	case !r.Answered:
		return responseNone
	case r.Answer.Reason == rattanjob.ReasonHomeLost:
		return responseLost
	case r.Answer.Reason == rattanjob.ReasonConflict:
		return responseConflict
	case r.Answer.Reason == rattanjob.ReasonKeyUnknown:
		return responseAbsent
	case r.Answer.State == rattanjob.StateRunning:
		return responseRunning
	case r.Answer.State == rattanjob.StateUnknown:
		return responseNone
	}
	return responseFinal
}

// step returns the possible states after the request. A job may end at any
// time, so a running record may change to any final one. A home may be lost at
// any time.
func (r *Request) step(before keyState) []keyState {
	response := r.responseKind()
	if response == responseLost {
		return []keyState{{phase: phaseLost}}
	}
	if response == responseNone {
		return r.stepUnknown(before)
	}
	switch r.Operation {
	case OperationSubmit:
		return r.stepSubmit(before, response)
	case OperationCancel:
		return r.stepCancel(before, response)
	}
	return r.stepStatus(before, response)
}

// stepUnknown returns the possible states after a request whose effect is
// unknown.
func (r *Request) stepUnknown(before keyState) []keyState {
	after := []keyState{before}
	if before.phase != phaseAbsent {
		return after
	}
	switch r.Operation {
	case OperationSubmit:
		after = append(after, keyState{phase: phaseRunning, bodyDigest: r.BodyDigest})
	case OperationCancel:
		cancelled := outcome{State: rattanjob.StateCancelled, Execution: rattanjob.ExecutionNotRun, Reason: rattanjob.ReasonCancelled}
		after = append(after, keyState{phase: phaseFinal, outcome: cancelled})
	}
	return after
}

// stepSubmit returns the possible states after the second step of a submission,
// which reads the answer from the record.
func (r *Request) stepSubmit(before keyState, response responseKind) []keyState {
	sameBody := before.bodyDigest == r.BodyDigest || before.bodyDigest == 0
	switch {
	case response == responseAbsent:
		// The epoch was not open yet, so nothing was recorded.
		return stateIf(before, before.phase == phaseAbsent)
	case response == responseConflict:
		return stateIf(before, !sameBody && (before.phase == phaseRunning || before.phase == phaseFinal))
	case before.phase == phaseAbsent:
		return nil
	case !sameBody:
		return nil
	}
	return r.stepStatus(before, response)
}

// stepRecord returns the states after the first of the two steps of an accepted
// submission, which creates the record. The second step, stepSubmit, may take
// effect later.
func (r *Request) stepRecord(before keyState) []keyState {
	if before.phase == phaseAbsent {
		return []keyState{{phase: phaseRunning, bodyDigest: r.BodyDigest}}
	}
	return []keyState{before}
}

// isAccepted reports whether the request is a submission whose body was accepted
// for the key.
func (r *Request) isAccepted() bool {
	response := r.responseKind()
	return r.Operation == OperationSubmit && (response == responseRunning || response == responseFinal)
}

// stepCancel returns the possible states after a cancellation.
func (r *Request) stepCancel(before keyState, response responseKind) []keyState {
	if before.phase == phaseAbsent && response == responseFinal && r.Answer.State == rattanjob.StateCancelled {
		return []keyState{{phase: phaseFinal, outcome: outcomeOf(r.Answer)}}
	}
	if response == responseRunning {
		return nil
	}
	return r.stepStatus(before, response)
}

// stepStatus returns the possible states after a request that only reads the
// record.
func (r *Request) stepStatus(before keyState, response responseKind) []keyState {
	switch {
	case response == responseAbsent:
		return stateIf(before, before.phase == phaseAbsent)
	case response == responseRunning:
		return stateIf(before, before.phase == phaseRunning)
	case before.phase == phaseRunning:
		return []keyState{{phase: phaseFinal, bodyDigest: before.bodyDigest, outcome: outcomeOf(r.Answer)}}
	}
	return stateIf(before, before.phase == phaseFinal && before.outcome == outcomeOf(r.Answer))
}

// stateIf returns the state as the only possible one, or none.
func stateIf(state keyState, possible bool) []keyState {
	if !possible {
		return nil
	}
	return []keyState{state}
}

// isLinearizable reports whether some order of the requests of the key is
// consistent with their times and with the sequential specification.
func (r *keyRecord) isLinearizable() bool {
	if len(r.requests) == 0 {
		return true
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, _ any) []any {
			before, _ := state.(keyState)
			step, _ := input.(func(keyState) []keyState)
			var after []any
			for _, next := range step(before) {
				after = append(after, next)
			}
			return after
		},
	}
	firstSent := r.requests[0].SentAt
	for _, request := range r.requests {
		if request.SentAt.Before(firstSent) {
			firstSent = request.SentAt
		}
	}
	var operations []porcupine.Operation
	for i := range r.requests {
		request := &r.requests[i]
		returnTime := int64(request.ReceivedAt.Sub(firstSent))
		if request.responseKind() == responseNone {
			returnTime = math.MaxInt64
		}
		steps := []func(keyState) []keyState{request.step}
		switch {
		case request.isAccepted():
			steps = append(steps, request.stepRecord)
		case request.responseKind() == responseLost:
			// The request may have taken effect before the home was lost.
			steps = append(steps, request.stepUnknown)
		}
		for _, step := range steps {
			operations = append(operations, porcupine.Operation{
				ClientId: i,
				Input:    step,
				Call:     int64(request.SentAt.Sub(firstSent)),
				Return:   returnTime,
			})
		}
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, linearizabilityTimeout) == porcupine.Ok
}

// formatRequests lists the requests of the key, with their answers, in the order
// in which they were sent.
func (r *keyRecord) formatRequests() string {
	requests := slices.Clone(r.requests)
	slices.SortFunc(requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	lines := make([]string, 0, len(requests))
	for _, request := range requests {
		sentAfter := request.SentAt.Sub(requests[0].SentAt).Round(time.Microsecond)
		receivedAfter := request.ReceivedAt.Sub(requests[0].SentAt).Round(time.Microsecond)
		answerText := "no answer"
		if request.Answered {
			answerText = outcomeOf(request.Answer).String() + " " + request.Answer.Detail
		}
		lines = append(lines, fmt.Sprintf("%v..%v %v body %x through %s: %s", sentAfter, receivedAfter, request.Operation, request.BodyDigest, request.Instance, answerText))
	}
	return strings.Join(lines, "; ")
}
