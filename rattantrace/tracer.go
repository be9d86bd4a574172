// Package rattantrace keeps a bounded history of recent jobs, so that operators
// and callers can find out why a job ended as it did. The current time is
// passed as an argument.
package rattantrace

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// ErrNotFound is returned for a job that was not recorded or has been
// overwritten.
const ErrNotFound = errors.ConstError("no trace of the job")

const (
	defaultJobs   = 16384
	defaultEvents = 262144
	// maxNames is the maximum number of names of targets and causes that events
	// can refer to.
	maxNames = 16384
	// nameCollectionInterval is the minimum time between scans for unused
	// names. The cost of a scan is proportional to the number of events.
	nameCollectionInterval = time.Minute
)

// Options limits the memory, which is about 250 bytes per job and 32 bytes per
// event.
type Options struct {
	// Jobs is the maximum number of jobs; 0 means 16,384.
	Jobs int
	// Events is the maximum number of events over all jobs; 0 means 262,144.
	Events int
}

// ID identifies a job in the tracer. Events for the zero ID, or for a job that
// has been overwritten, are dropped.
type ID uint64

// EventRef identifies the event of an assignment, so that Ended can add the
// outcome to it.
type EventRef uint64

// Submission describes a submitted job.
type Submission struct {
	Key    rattanjob.Key
	Caller string
	Kind   string
	Tasks  int
	// Deadline is the time from the submission to the answer.
	Deadline time.Duration
	// Front is the name of the instance that forwarded the submission.
	Front string
}

// Assignment describes a task that is assigned to a slot of a target.
type Assignment struct {
	Task    int
	Target  string
	Attempt int
	Waited  time.Duration
	// Cause is the reason for this target or attempt. It must be one of a few
	// constant texts.
	Cause string
}

// Tracer records the jobs of one home. Recording an event does not allocate. It
// is safe for concurrent use.
type Tracer struct {
	mutex   sync.Mutex
	jobs    []jobTrace
	records []eventRecord
	names   nameTable
	byNonce map[rattanjob.Nonce]ID
	// nextJobID and nextSequence start at 1, because 0 means none.
	nextJobID          ID
	nextSequence       uint64
	lastNameCollection time.Time
}

// jobTrace is the stored form of a job.
type jobTrace struct {
	id         ID
	submission Submission
	startedAt  time.Time
	// lastRecord is the sequence number of the newest event, or 0 if there is
	// none.
	lastRecord       uint64
	eventCount       int
	admitted         bool
	expectedDuration time.Duration
	ended            bool
	responseTime     time.Duration
	state            rattanjob.State
	reason           rattanjob.Reason
	detail           string
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
		jobs:         make([]jobTrace, options.Jobs),
		records:      make([]eventRecord, options.Events),
		names:        newNameTable(maxNames),
		byNonce:      make(map[rattanjob.Nonce]ID, options.Jobs),
		nextJobID:    1,
		nextSequence: 1,
	}
}

// Begin records a submission and returns its ID. If the maximum number of jobs
// is reached, it overwrites the oldest one.
func (t *Tracer) Begin(now time.Time, submission Submission) ID {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	id := t.nextJobID
	t.nextJobID++
	slot := t.jobSlot(id)
	if t.byNonce[slot.submission.Key.Nonce] == slot.id {
		delete(t.byNonce, slot.submission.Key.Nonce)
	}
	*slot = jobTrace{id: id, submission: submission, startedAt: now, state: rattanjob.StateRunning}
	t.byNonce[submission.Key.Nonce] = id
	return id
}

// Admitted records that the job was admitted, with its expected duration.
func (t *Tracer) Admitted(id ID, expected time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if job := t.findJob(id); job != nil {
		job.admitted = true
		job.expectedDuration = expected
	}
}

// Assigned records an assignment and returns a reference to it for Ended.
func (t *Tracer) Assigned(now time.Time, id ID, assignment Assignment) EventRef {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	target := t.internName(now, assignment.Target, 0)
	return t.appendRecord(now, id, eventRecord{
		kind:     EventAssigned,
		task:     uint16(assignment.Task),
		attempt:  uint16(assignment.Attempt),
		waitTime: toMicroseconds(assignment.Waited),
		target:   target,
		cause:    t.internName(now, assignment.Cause, target),
	})
}

// Waiting records that a task could not be assigned. The cause must be one of a
// few constant texts.
func (t *Tracer) Waiting(now time.Time, id ID, task int, cause string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.appendRecord(now, id, eventRecord{kind: EventWaiting, task: uint16(task), cause: t.internName(now, cause, 0)})
}

// Ended records the outcome of an assignment. It updates the event of the
// assignment if that is still kept, and adds an event otherwise.
func (t *Tracer) Ended(now time.Time, id ID, ref EventRef, task int, report rattanpool.Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	outcome, ran := uint8(report.Outcome)+1, toMicroseconds(report.RunTime)
	if t.isKept(uint64(ref)) {
		record := t.recordAt(uint64(ref))
		record.outcome, record.runTime = outcome, ran
		return
	}
	t.appendRecord(now, id, eventRecord{kind: EventEnded, task: uint16(task), outcome: outcome, runTime: ran})
}

// Finished records the answer of the job, including the answer of a refused
// job.
func (t *Tracer) Finished(now time.Time, id ID, answer rattanjob.Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	job := t.findJob(id)
	if job == nil {
		return
	}
	job.ended = true
	job.responseTime = now.Sub(job.startedAt)
	job.state, job.reason, job.detail = answer.State, answer.Reason, answer.Detail
}

// Explain returns the trace of the job with the key. It returns ErrNotFound if
// the job is not kept.
func (t *Tracer) Explain(key rattanjob.Key) (Trace, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	job := t.findJob(t.byNonce[key.Nonce])
	if job == nil || job.submission.Key.Epoch != key.Epoch {
		return Trace{}, errors.WithType(errors.Errorf("key %v", key), ErrNotFound)
	}
	return t.buildTrace(job), nil
}

func (t *Tracer) appendRecord(now time.Time, id ID, record eventRecord) EventRef {
	job := t.findJob(id)
	if job == nil {
		return 0
	}
	sequence := t.nextSequence
	t.nextSequence++
	if t.isKept(job.lastRecord) {
		record.previousOffset = uint32(sequence - job.lastRecord)
	}
	record.sinceSubmission = toMicroseconds(now.Sub(job.startedAt))
	*t.recordAt(sequence) = record
	job.lastRecord = sequence
	job.eventCount++
	return EventRef(sequence)
}

// isKept reports whether the event with the sequence number has not been
// overwritten.
func (t *Tracer) isKept(sequence uint64) bool {
	return sequence != 0 && sequence < t.nextSequence && t.nextSequence-sequence <= uint64(len(t.records))
}

func (t *Tracer) recordAt(sequence uint64) *eventRecord {
	return &t.records[sequence%uint64(len(t.records))]
}

func (t *Tracer) jobSlot(id ID) *jobTrace {
	return &t.jobs[uint64(id)%uint64(len(t.jobs))]
}

// findJob returns the job with the ID, or nil if it is not kept.
func (t *Tracer) findJob(id ID) *jobTrace {
	if job := t.jobSlot(id); id != 0 && job.id == id {
		return job
	}
	return nil
}

// internName returns the ID of a name. If the table is full, it first removes
// the names that no event refers to. The reserved ID belongs to an event that
// is about to be added and is not removed.
func (t *Tracer) internName(now time.Time, name string, reserved uint32) uint32 {
	nameID, ok := t.names.intern(name)
	if ok || now.Sub(t.lastNameCollection) < nameCollectionInterval {
		return nameID
	}
	t.lastNameCollection = now
	used := make([]bool, len(t.names.names))
	used[reserved] = true
	for i := range t.records {
		used[t.records[i].target] = true
		used[t.records[i].cause] = true
	}
	t.names.releaseUnused(used)
	nameID, _ = t.names.intern(name)
	return nameID
}

func (t *Tracer) buildTrace(job *jobTrace) Trace {
	submission := job.submission
	trace := Trace{
		Key:         submission.Key.String(),
		Caller:      submission.Caller,
		Kind:        submission.Kind,
		Front:       submission.Front,
		Tasks:       submission.Tasks,
		SubmittedAt: job.startedAt,
		Deadline:    rattanjson.Duration(submission.Deadline),
		Admitted:    job.admitted,
		Expected:    rattanjson.Duration(job.expectedDuration),
		State:       job.state,
		Reason:      job.reason,
		Detail:      job.detail,
		Took:        rattanjson.Duration(job.responseTime),
		Events:      t.jobEvents(job),
	}
	trace.EventsLost = job.eventCount - len(trace.Events)
	return trace
}

// jobEvents returns the events of a job that are still kept, in chronological
// order.
func (t *Tracer) jobEvents(job *jobTrace) []Event {
	var events []Event
	for sequence := job.lastRecord; t.isKept(sequence); {
		record := t.recordAt(sequence)
		events = append(events, t.buildEvent(*record))
		if record.previousOffset == 0 {
			break
		}
		sequence -= uint64(record.previousOffset)
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events
}

func (t *Tracer) buildEvent(record eventRecord) Event {
	event := Event{
		After:   fromMicroseconds(record.sinceSubmission),
		Kind:    record.kind,
		Task:    int(record.task),
		Target:  t.names.names[record.target],
		Attempt: int(record.attempt),
		Waited:  fromMicroseconds(record.waitTime),
		Cause:   t.names.names[record.cause],
		Ran:     fromMicroseconds(record.runTime),
	}
	if record.outcome > 0 {
		event.Outcome = rattanpool.Outcome(record.outcome - 1).String()
	}
	return event
}
