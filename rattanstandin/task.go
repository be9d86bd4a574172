package rattanstandin

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// task is a task at a target. It is protected by the target's mutex.
type task struct {
	id      string
	state   rattantarget.TaskState
	started bool
	failed  bool
	// killed reports whether the target was killed before the task ended.
	killed bool
	reason string
	// payload is the result once the task is done.
	payload json.RawMessage
	runTime time.Duration
	// leaseEnd is the time at which the target stops the task.
	leaseEnd time.Time
	timer    *time.Timer
	// done is closed when the task ends. It is nil for a task that ended within
	// its dispatch.
	done chan struct{}
}

// end sets the final state of the task unless it has already ended.
func (t *task) end(state rattantarget.TaskState, reason string) {
	if t.ended() {
		return
	}
	t.state = state
	t.reason = reason
	if t.timer != nil {
		// Release the timer, because the ended task may be kept for a long time.
		t.timer.Stop()
		t.timer = nil
	}
	if t.done != nil {
		close(t.done)
	}
}

func (t *task) ended() bool {
	return t.state == rattantarget.TaskStateDone || t.state == rattantarget.TaskStateStopped
}

// payloadRunTime is the part of a payload that the target reads.
type payloadRunTime struct {
	RunTime *rattanjson.Duration
}

var runTimeField = []byte(`"RunTime"`)

// runTime returns the run time from the payload, or the default.
func (t *Target) runTime(payload json.RawMessage) time.Duration {
	if bytes.Contains(payload, runTimeField) {
		var parsed payloadRunTime
		if json.Unmarshal(payload, &parsed) == nil && parsed.RunTime != nil {
			return parsed.RunTime.Std()
		}
	}
	return t.options.RunTime.Std()
}

// dispatch starts or queues a task, or returns the reason why it was rejected. It
// returns neither if the incarnation that read the request was killed.
func (t *Target) dispatch(now time.Time, incarnation int, dispatch *rattantarget.Dispatch) (*task, *rattantarget.ErrorResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil || t.incarnation != incarnation {
		return nil, nil
	}
	t.sampleUsage(now)
	if started, ok := t.tombstones[dispatch.ID]; ok {
		return nil, &rattantarget.ErrorResponse{NotStarted: !started, Reason: "stopped before"}
	}
	if t.behaviour.Refuse {
		return nil, &rattantarget.ErrorResponse{NotStarted: true, Reason: "refuses all tasks"}
	}
	if t.busySlots >= t.options.Slots && len(t.queue) >= t.options.QueueLimit {
		return nil, &rattantarget.ErrorResponse{NotStarted: true, Reason: "no free slot"}
	}
	accepted := &task{
		id:       dispatch.ID,
		state:    rattantarget.TaskStateWaiting,
		runTime:  t.runTime(dispatch.Payload),
		leaseEnd: now.Add(dispatch.Lease.Std()),
	}
	if t.options.Echo {
		accepted.payload = dispatch.Payload
	}
	t.tasks[accepted.id] = accepted
	if t.busySlots < t.options.Slots {
		t.start(now, accepted)
	} else {
		t.queue = append(t.queue, accepted)
	}
	if !accepted.ended() {
		accepted.done = make(chan struct{})
	}
	return accepted, nil
}

// start runs a task in a slot.
func (t *Target) start(now time.Time, starting *task) {
	t.options.Log.record(now, starting.id, t.logIndex, t.incarnation)
	t.lastStart = now
	t.busySlots++
	starting.started = true
	starting.state = rattantarget.TaskStateRunning
	if t.behaviour.FailFast {
		t.finish(starting, rattantarget.TaskStateDone, "task failed")
		return
	}
	runTime := starting.runTime
	if t.behaviour.SlowFactor > 0 {
		runTime = time.Duration(float64(runTime) * t.behaviour.SlowFactor)
	}
	if runTime <= 0 {
		t.finish(starting, rattantarget.TaskStateDone, "")
		return
	}
	if leaseRemaining := starting.leaseEnd.Sub(now); leaseRemaining < runTime {
		starting.timer = time.AfterFunc(leaseRemaining, func() { t.endOnTimer(starting, rattantarget.TaskStateStopped, "lease ended") })
		return
	}
	starting.timer = time.AfterFunc(runTime, func() { t.endOnTimer(starting, rattantarget.TaskStateDone, "") })
}

func (t *Target) endOnTimer(expired *task, state rattantarget.TaskState, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !expired.ended() {
		t.sampleUsage(time.Now())
		t.finish(expired, state, reason)
		t.startWaiting(time.Now())
	}
}

// finish ends a started task and releases its slot.
func (t *Target) finish(finished *task, state rattantarget.TaskState, reason string) {
	finished.failed = reason != ""
	finished.end(state, reason)
	t.busySlots--
	t.retainFinished(finished)
}

// retainFinished keeps a finished task for inspection and removes the oldest ones
// beyond KeepFinished.
func (t *Target) retainFinished(finished *task) {
	t.finishedIDs = append(t.finishedIDs, finished.id)
	for len(t.finishedIDs) > t.options.KeepFinished {
		if oldest := t.tasks[t.finishedIDs[0]]; oldest != nil && oldest.ended() {
			delete(t.tasks, t.finishedIDs[0])
		}
		t.finishedIDs = t.finishedIDs[1:]
	}
}

// startWaiting starts waiting tasks in free slots.
func (t *Target) startWaiting(now time.Time) {
	for len(t.queue) > 0 && t.busySlots < t.options.Slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if now.After(next.leaseEnd) {
			next.end(rattantarget.TaskStateStopped, "lease ended")
			t.retainFinished(next)
			continue
		}
		t.start(now, next)
	}
}

// inspect returns the state of a task.
func (t *Target) inspect(now time.Time, id string) rattantarget.Inspection {
	t.mu.Lock()
	defer t.mu.Unlock()
	inspection := rattantarget.Inspection{Uptime: rattanjson.Duration(now.Sub(t.startedAt))}
	if found := t.tasks[id]; found != nil {
		inspection.State = found.state
		inspection.Started = found.started
		inspection.Failed = found.failed
		inspection.Reason = found.reason
		if found.state == rattantarget.TaskStateDone && !found.failed {
			inspection.Payload = found.payload
		}
		return inspection
	}
	if started, ok := t.tombstones[id]; ok {
		inspection.State = rattantarget.TaskStateStopped
		inspection.Started = started
		return inspection
	}
	if t.options.Log.startedByProcess(id, t.logIndex, t.incarnation) {
		inspection.State = rattantarget.TaskStateDone
		inspection.Started = true
		inspection.Failed = true
		inspection.Reason = "result dropped"
	}
	return inspection
}

// stop stops a task and adds a tombstone, so that later dispatches of the ID are
// refused. With unlessStarted it has no effect on a task that has started.
func (t *Target) stop(now time.Time, id string, unlessStarted bool) rattantarget.StopResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampleUsage(now)
	result := rattantarget.StopResult{Uptime: rattanjson.Duration(now.Sub(t.startedAt))}
	found := t.tasks[id]
	switch {
	case found == nil:
		result.Started = t.tombstones[id] || t.options.Log.startedByProcess(id, t.logIndex, t.incarnation)
		result.Stopped = t.tombstones[id] || !result.Started
	case found.state == rattantarget.TaskStateRunning && unlessStarted:
		result.Started = true
		return result
	case found.state == rattantarget.TaskStateRunning:
		result = rattantarget.StopResult{Started: true, Stopped: true, Uptime: result.Uptime}
		t.finish(found, rattantarget.TaskStateStopped, "stopped")
		t.startWaiting(now)
	case found.state == rattantarget.TaskStateWaiting:
		result.Stopped = true
		t.queue = slices.DeleteFunc(t.queue, func(waiting *task) bool { return waiting == found })
		found.end(rattantarget.TaskStateStopped, "stopped")
		t.retainFinished(found)
	default:
		result.Started = found.started
		result.Stopped = found.state == rattantarget.TaskStateStopped
	}
	t.addTombstone(id, result.Started)
	return result
}

// addTombstone makes the target refuse an ID.
func (t *Target) addTombstone(id string, started bool) {
	if _, ok := t.tombstones[id]; ok || t.tombstones == nil {
		return
	}
	t.tombstones[id] = started
	t.tombstoneOrder = append(t.tombstoneOrder, id)
	if len(t.tombstoneOrder) > maxTombstones {
		delete(t.tombstones, t.tombstoneOrder[0])
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
}
