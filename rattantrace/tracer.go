// Package rattantrace keeps a bounded record of what happened to recent jobs,
// for operators and callers that ask why a job ended as it did. The present
// time is an argument.
package rattantrace

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// ErrNotFound says that a job is not recorded, or no longer.
const ErrNotFound = errors.ConstError("no trace of the job")

const (
	defaultJobs   = 16384
	defaultEvents = 262144
	// maxNames bounds the names of targets and causes that events refer to.
	maxNames = 16384
	// collectEvery spaces the scans for unused names, whose cost is
	// proportional to the number of events.
	collectEvery = time.Minute
)

// Options bound the memory: about 250 bytes a job and 32 bytes an event.
type Options struct {
	// Jobs is the number of jobs kept; 0 takes 16,384.
	Jobs int
	// Events is the number of events kept over all jobs; 0 takes 262,144.
	Events int
}

// ID names a job in the tracer. The zero ID is of no job, and events for it or
// for a job that is no longer kept are dropped.
type ID uint64

// EventRef names the event of an assignment, for its end.
type EventRef uint64

// Submission describes a job at its beginning.
type Submission struct {
	Key    rattanjob.Key
	Caller string
	Kind   string
	Tasks  int
	// Deadline is the time from submission to answer.
	Deadline time.Duration
	// Front names the instance that forwarded the submission.
	Front string
}

// Assignment is a task that is given to a slot of a target.
type Assignment struct {
	Task    int
	Target  string
	Attempt int
	Waited  time.Duration
	// Cause says why this target or attempt, as one of a few constant texts.
	Cause string
}

// Tracer holds the traces of one home. Recording an event allocates nothing.
// It is safe for concurrent use.
type Tracer struct {
	mutex   sync.Mutex
	jobs    []job
	records []record
	names   nameTable
	byNonce map[rattanjob.Nonce]ID
	// nextJob and nextRecord count from 1.
	nextJob    ID
	nextRecord uint64
	collected  time.Time
}

// job is a job as the tracer holds it.
type job struct {
	id         ID
	submission Submission
	startedAt  time.Time
	// last is the number of the newest event, 0 for none.
	last     uint64
	events   int
	admitted bool
	expected time.Duration
	ended    bool
	took     time.Duration
	state    rattanjob.State
	reason   rattanjob.Reason
	detail   string
}

// New returns a tracer without jobs.
func New(options Options) *Tracer {
	if options.Jobs <= 0 {
		options.Jobs = defaultJobs
	}
	if options.Events <= 0 {
		options.Events = defaultEvents
	}
	return &Tracer{
		jobs:       make([]job, options.Jobs),
		records:    make([]record, options.Events),
		names:      newNameTable(maxNames),
		byNonce:    make(map[rattanjob.Nonce]ID, options.Jobs),
		nextJob:    1,
		nextRecord: 1,
	}
}

// Begin records a submission in place of the oldest job and returns its ID.
func (t *Tracer) Begin(now time.Time, submission Submission) ID {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	id := t.nextJob
	t.nextJob++
	slot := t.slot(id)
	if t.byNonce[slot.submission.Key.Nonce] == slot.id {
		delete(t.byNonce, slot.submission.Key.Nonce)
	}
	*slot = job{id: id, submission: submission, startedAt: now, state: rattanjob.StateRunning}
	t.byNonce[submission.Key.Nonce] = id
	return id
}

// Admitted records that the job was admitted, and its expected time to the end.
func (t *Tracer) Admitted(id ID, expected time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if held := t.job(id); held != nil {
		held.admitted = true
		held.expected = expected
	}
}

// Assigned records an assignment and returns the reference for Ended.
func (t *Tracer) Assigned(now time.Time, id ID, assignment Assignment) EventRef {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	target := t.number(now, assignment.Target, 0)
	return t.add(now, id, record{
		kind:    EventAssigned,
		task:    uint16(assignment.Task),
		attempt: uint16(assignment.Attempt),
		waited:  microseconds(assignment.Waited),
		target:  target,
		cause:   t.number(now, assignment.Cause, target),
	})
}

// Waiting records that a task could not be assigned, and the cause as one of a
// few constant texts.
func (t *Tracer) Waiting(now time.Time, id ID, task int, cause string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.add(now, id, record{kind: EventWaiting, task: uint16(task), cause: t.number(now, cause, 0)})
}

// Ended records how an assignment ended, in the event of the assignment where
// it is still kept.
func (t *Tracer) Ended(now time.Time, id ID, ref EventRef, task int, report rattanpool.Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	outcome, ran := uint8(report.Outcome)+1, microseconds(report.RunTime)
	if t.kept(uint64(ref)) {
		event := t.record(uint64(ref))
		event.outcome, event.ran = outcome, ran
		return
	}
	t.add(now, id, record{kind: EventEnded, task: uint16(task), outcome: outcome, ran: ran})
}

// Finished records the answer of the job, also that of a refused one.
func (t *Tracer) Finished(now time.Time, id ID, answer rattanjob.Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.job(id)
	if held == nil {
		return
	}
	held.ended = true
	held.took = now.Sub(held.startedAt)
	held.state, held.reason, held.detail = answer.State, answer.Reason, answer.Detail
}

// Explain returns the trace of the job with the key. It returns ErrNotFound
// for a job that is not kept.
func (t *Tracer) Explain(key rattanjob.Key) (Trace, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.job(t.byNonce[key.Nonce])
	if held == nil || held.submission.Key.Epoch != key.Epoch {
		return Trace{}, errors.WithType(errors.Errorf("key %v", key), ErrNotFound)
	}
	return t.trace(held), nil
}

func (t *Tracer) add(now time.Time, id ID, event record) EventRef {
	held := t.job(id)
	if held == nil {
		return 0
	}
	number := t.nextRecord
	t.nextRecord++
	if t.kept(held.last) {
		event.back = uint32(number - held.last)
	}
	event.after = microseconds(now.Sub(held.startedAt))
	*t.record(number) = event
	held.last = number
	held.events++
	return EventRef(number)
}

// kept reports whether the event with the number has not been overwritten.
func (t *Tracer) kept(number uint64) bool {
	return number != 0 && number < t.nextRecord && t.nextRecord-number <= uint64(len(t.records))
}

func (t *Tracer) record(number uint64) *record {
	return &t.records[number%uint64(len(t.records))]
}

func (t *Tracer) slot(id ID) *job {
	return &t.jobs[uint64(id)%uint64(len(t.jobs))]
}

// job returns the job with the ID, or nil when it is not kept.
func (t *Tracer) job(id ID) *job {
	if held := t.slot(id); id != 0 && held.id == id {
		return held
	}
	return nil
}

// number returns the number of a name, and makes room in a full table by
// dropping the names that no kept event refers to, except the one with the
// number of an event that is about to be added.
func (t *Tracer) number(now time.Time, name string, except uint32) uint32 {
	number, ok := t.names.number(name)
	if ok || now.Sub(t.collected) < collectEvery {
		return number
	}
	t.collected = now
	used := make([]bool, len(t.names.names))
	used[except] = true
	for i := range t.records {
		used[t.records[i].target] = true
		used[t.records[i].cause] = true
	}
	t.names.keep(used)
	number, _ = t.names.number(name)
	return number
}

func (t *Tracer) trace(held *job) Trace {
	submission := held.submission
	trace := Trace{
		Key:         submission.Key.String(),
		Caller:      submission.Caller,
		Kind:        submission.Kind,
		Front:       submission.Front,
		Tasks:       submission.Tasks,
		SubmittedAt: held.startedAt,
		Deadline:    rattanjson.Duration(submission.Deadline),
		Admitted:    held.admitted,
		Expected:    rattanjson.Duration(held.expected),
		State:       held.state,
		Reason:      held.reason,
		Detail:      held.detail,
		Took:        rattanjson.Duration(held.took),
		Events:      t.events(held),
	}
	trace.EventsLost = held.events - len(trace.Events)
	return trace
}

// events returns the kept events of a job, the oldest first.
func (t *Tracer) events(held *job) []Event {
	var events []Event
	for number := held.last; t.kept(number); {
		event := t.record(number)
		events = append(events, t.event(*event))
		if event.back == 0 {
			break
		}
		number -= uint64(event.back)
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events
}

func (t *Tracer) event(held record) Event {
	event := Event{
		After:   fromMicroseconds(held.after),
		Kind:    held.kind,
		Task:    int(held.task),
		Target:  t.names.names[held.target],
		Attempt: int(held.attempt),
		Waited:  fromMicroseconds(held.waited),
		Cause:   t.names.names[held.cause],
		Ran:     fromMicroseconds(held.ran),
	}
	if held.outcome > 0 {
		event.Outcome = rattanpool.Outcome(held.outcome - 1).String()
	}
	return event
}
