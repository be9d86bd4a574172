package rattanstandin

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// task is one task at a target, guarded by the target's lock.
type task struct {
	id      string
	state   rattantarget.TaskState
	started bool
	failed  bool
	// lost says that the target's process died before the task ended.
	lost   bool
	reason string
	// payload is the result once the task is done.
	payload json.RawMessage
	runTime time.Duration
	// leaseEnd is when the target stops the task.
	leaseEnd time.Time
	timer    *time.Timer
	// done is closed when the task has ended. It is nil for a task that ended as
	// it was dispatched.
	done chan struct{}
}

// end ends the task unless it has ended before.
func (t *task) end(state rattantarget.TaskState, reason string) {
	if t.ended() {
		return
	}
	t.state = state
	t.reason = reason
	if t.timer != nil {
		// An ended task may be kept for long, its timer need not.
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

// payloadRunTime is the part of a payload that the stand-in reads.
type payloadRunTime struct {
	RunTime *rattanjson.Duration
}

var runTimeField = []byte(`"RunTime"`)

// runTime returns the run time that the payload asks for, or the default.
func (t *Target) runTime(payload json.RawMessage) time.Duration {
	if bytes.Contains(payload, runTimeField) {
		var wanted payloadRunTime
		if json.Unmarshal(payload, &wanted) == nil && wanted.RunTime != nil {
			return wanted.RunTime.Std()
		}
	}
	return t.options.RunTime.Std()
}

// dispatch starts or queues a task, or returns why it was rejected.
// It returns neither when the process that read the request has died.
func (t *Target) dispatch(now time.Time, incarnation int, dispatch *rattantarget.Dispatch) (*task, *rattantarget.ErrorResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil || t.incarnation != incarnation {
		return nil, nil
	}
	t.noteUsage(now)
	if started, ok := t.tombstones[dispatch.ID]; ok {
		return nil, &rattantarget.ErrorResponse{NotStarted: !started, Reason: "stopped before"}
	}
	if t.behaviour.Refuse {
		return nil, &rattantarget.ErrorResponse{NotStarted: true, Reason: "refuses all tasks"}
	}
	if t.busy >= t.options.Slots && len(t.queue) >= t.options.QueueLimit {
		return nil, &rattantarget.ErrorResponse{NotStarted: true, Reason: "no free slot"}
	}
	added := &task{
		id:       dispatch.ID,
		state:    rattantarget.TaskStateWaiting,
		runTime:  t.runTime(dispatch.Payload),
		leaseEnd: now.Add(dispatch.Lease.Std()),
	}
	if t.options.Echo {
		added.payload = dispatch.Payload
	}
	t.tasks[added.id] = added
	if t.busy < t.options.Slots {
		t.start(now, added)
	} else {
		t.queue = append(t.queue, added)
	}
	if !added.ended() {
		added.done = make(chan struct{})
	}
	return added, nil
}

// start puts a task into a slot.
func (t *Target) start(now time.Time, started *task) {
	t.options.Log.record(now, started.id, t.id, t.incarnation)
	t.lastStart = now
	t.busy++
	started.started = true
	started.state = rattantarget.TaskStateRunning
	if t.behaviour.FailFast {
		t.finish(started, rattantarget.TaskStateDone, "task failed")
		return
	}
	runTime := started.runTime
	if t.behaviour.SlowFactor > 0 {
		runTime = time.Duration(float64(runTime) * t.behaviour.SlowFactor)
	}
	if runTime <= 0 {
		t.finish(started, rattantarget.TaskStateDone, "")
		return
	}
	if left := started.leaseEnd.Sub(now); left < runTime {
		started.timer = time.AfterFunc(left, func() { t.timeUp(started, rattantarget.TaskStateStopped, "lease ended") })
		return
	}
	started.timer = time.AfterFunc(runTime, func() { t.timeUp(started, rattantarget.TaskStateDone, "") })
}

func (t *Target) timeUp(ended *task, state rattantarget.TaskState, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ended.ended() {
		t.noteUsage(time.Now())
		t.finish(ended, state, reason)
		t.startWaiting(time.Now())
	}
}

// finish ends a started task and frees its slot.
func (t *Target) finish(ended *task, state rattantarget.TaskState, reason string) {
	ended.failed = reason != ""
	ended.end(state, reason)
	t.busy--
	t.keep(ended)
}

// keep bounds the finished tasks that are kept.
func (t *Target) keep(ended *task) {
	t.finished = append(t.finished, ended.id)
	for len(t.finished) > t.options.KeepFinished {
		if old := t.tasks[t.finished[0]]; old != nil && old.ended() {
			delete(t.tasks, t.finished[0])
		}
		t.finished = t.finished[1:]
	}
}

// startWaiting moves waiting tasks into free slots.
func (t *Target) startWaiting(now time.Time) {
	for len(t.queue) > 0 && t.busy < t.options.Slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if now.After(next.leaseEnd) {
			next.end(rattantarget.TaskStateStopped, "lease ended")
			t.keep(next)
			continue
		}
		t.start(now, next)
	}
}

// inspect returns what the target knows about a task.
func (t *Target) inspect(now time.Time, id string) rattantarget.Inspection {
	t.mu.Lock()
	defer t.mu.Unlock()
	inspection := rattantarget.Inspection{Uptime: rattanjson.Duration(now.Sub(t.startedAt))}
	if known := t.tasks[id]; known != nil {
		inspection.State = known.state
		inspection.Started = known.started
		inspection.Failed = known.failed
		inspection.Reason = known.reason
		if known.state == rattantarget.TaskStateDone && !known.failed {
			inspection.Payload = known.payload
		}
		return inspection
	}
	if started, ok := t.tombstones[id]; ok {
		inspection.State = rattantarget.TaskStateStopped
		inspection.Started = started
		return inspection
	}
	if t.options.Log.startedBy(id, t.id, t.incarnation) {
		inspection.State = rattantarget.TaskStateDone
		inspection.Started = true
		inspection.Failed = true
		inspection.Reason = "result dropped"
	}
	return inspection
}

// stop stops a task and refuses its ID from then on.
func (t *Target) stop(now time.Time, id string) rattantarget.StopResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteUsage(now)
	stopping := rattantarget.StopResult{Uptime: rattanjson.Duration(now.Sub(t.startedAt))}
	known := t.tasks[id]
	switch {
	case known == nil:
		stopping.Started = t.tombstones[id] || t.options.Log.startedBy(id, t.id, t.incarnation)
		stopping.Stopped = t.tombstones[id] || !stopping.Started
	case known.state == rattantarget.TaskStateRunning:
		stopping = rattantarget.StopResult{Started: true, Stopped: true, Uptime: stopping.Uptime}
		t.finish(known, rattantarget.TaskStateStopped, "stopped")
		t.startWaiting(now)
	case known.state == rattantarget.TaskStateWaiting:
		stopping.Stopped = true
		t.queue = slices.DeleteFunc(t.queue, func(waiting *task) bool { return waiting == known })
		known.end(rattantarget.TaskStateStopped, "stopped")
		t.keep(known)
	default:
		stopping.Started = known.started
		stopping.Stopped = known.state == rattantarget.TaskStateStopped
	}
	t.bury(id, stopping.Started)
	return stopping
}

// bury adds a tombstone.
func (t *Target) bury(id string, started bool) {
	if _, ok := t.tombstones[id]; ok || t.tombstones == nil {
		return
	}
	t.tombstones[id] = started
	t.tombstoneList = append(t.tombstoneList, id)
	if len(t.tombstoneList) > maxTombstones {
		delete(t.tombstones, t.tombstoneList[0])
		t.tombstoneList = t.tombstoneList[1:]
	}
}
