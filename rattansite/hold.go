package rattansite

import (
	"net/http"
	"time"
)

//go:generate go tool stringer -type CallKind -trimprefix Call

// CallKind is a kind of call to a target.
type CallKind int

// Kinds of calls to a target.
const (
	CallStart CallKind = iota
	CallStop
	CallRenewal
)

// path returns the path of the calls of this kind.
func (k CallKind) path() string {
	switch k {
	case CallStart:
		return "/api/run-start"
	case CallStop:
		return "/api/run-stop"
	default:
		return "/api/hold"
	}
}

// callKind returns the kind of the calls with a path.
func callKind(path string) CallKind {
	switch path {
	case CallStart.path():
		return CallStart
	case CallStop.path():
		return CallStop
	default:
		return CallRenewal
	}
}

// Hold describes a call that a target keeps back: it leaves the call unanswered
// and executes it later, at the latest of the stated moments.
type Hold struct {
	Call CallKind
	// MinAcknowledged is the least number of ended runs that the call must
	// acknowledge, and WithLease requires that it extends the leases.
	MinAcknowledged int64
	WithLease       bool
	// MinDuration is the least run time of the task that a start must name.
	MinDuration time.Duration
	// Restarts is the number of restarts after which the target executes the
	// call, before any other call.
	Restarts int
	// AtRunEnd makes the target execute the call as a run ends, before it lists
	// the end. Without it and without Restarts, only ExecuteHeld executes the call.
	AtRunEnd bool
	// LeaseFromExecution makes the lease of the call last as long as if the call
	// had been sent when it is executed.
	LeaseFromExecution bool
}

// heldCall is a call that was kept back.
type heldCall struct {
	hold        Hold
	request     targetRequest
	targetID    string
	clockMillis int64
	restarts    int
}

// HoldNext makes the target keep the next matching call back.
func (t *Target) HoldNext(hold Hold) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.holds = append(t.holds, hold)
}

// CancelHolds makes the target keep no further calls back. Calls that were kept
// back already stay so.
func (t *Target) CancelHolds() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.holds = nil
}

// HeldCalls returns the number of calls that are kept back.
func (t *Target) HeldCalls() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.held)
}

// ExecuteHeld executes all calls that are kept back.
func (t *Target) ExecuteHeld() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.executeHeld(func(*heldCall) bool { return true })
}

// newHeldCall returns a call that the target executes later.
func (t *Target) newHeldCall(r *http.Request, request targetRequest, hold Hold) *heldCall {
	return &heldCall{hold: hold, request: request, targetID: r.Header.Get("X-Target-Instance"), clockMillis: t.clockMillis()}
}

// holdBack reports whether a call is kept back.
func (t *Target) holdBack(r *http.Request, request targetRequest) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i, hold := range t.holds {
		switch {
		case r.URL.Path != hold.Call.path(),
			request.Acknowledged < hold.MinAcknowledged,
			hold.WithLease && request.ExpiresMillis <= t.clockMillis(),
			t.config.Checker.taskProfile(request.Task).Duration < hold.MinDuration:
			continue
		}
		t.holds = append(t.holds[:i], t.holds[i+1:]...)
		t.held = append(t.held, t.newHeldCall(r, request, hold))
		return true
	}
	return false
}

// executeHeldAtRestart executes the calls that were to wait for this restart. The
// caller holds the mutex.
func (t *Target) executeHeldAtRestart() {
	for _, call := range t.held {
		call.restarts++
	}
	t.executeHeld(func(call *heldCall) bool {
		return !call.hold.AtRunEnd && call.hold.Restarts > 0 && call.restarts >= call.hold.Restarts
	})
}

// executeHeldAtRunEnd executes the calls that were to wait for this end of a run.
// The caller holds the mutex.
func (t *Target) executeHeldAtRunEnd() {
	t.executeHeld(func(call *heldCall) bool {
		return call.hold.AtRunEnd && call.restarts >= call.hold.Restarts
	})
}

// executeHeld executes the calls that are due, if they are meant for this target.
// The caller holds the mutex.
func (t *Target) executeHeld(due func(*heldCall) bool) {
	var execute []*heldCall
	kept := t.held[:0]
	for _, call := range t.held {
		if due(call) {
			execute = append(execute, call)
		} else {
			kept = append(kept, call)
		}
	}
	t.held = kept
	for _, call := range execute {
		t.executeOne(call)
	}
}

// executeLate executes a call, unless the target is down.
func (t *Target) executeLate(call *heldCall) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.crashed {
		t.executeOne(call)
	}
}

// executeOne executes a call if it is meant for this target. The caller holds the
// mutex.
func (t *Target) executeOne(call *heldCall) {
	if call.targetID != "" && call.targetID != t.id {
		return
	}
	request := call.request
	if call.hold.LeaseFromExecution {
		request.ExpiresMillis += t.clockMillis() - call.clockMillis
	}
	late := t.late
	t.late = true
	defer func() { t.late = late }()
	if t.applyLocked(discardResponse{}, call.hold.Call.path(), request) {
		t.forgetEnds(request.Acknowledged)
	}
}
