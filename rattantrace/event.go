package rattantrace

import (
	"math"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=EventKind -trimprefix=Event

// EventKind is the kind of an event in a trace.
type EventKind uint8

// Kinds of events.
const (
	// EventAssigned is recorded when a task is assigned to a slot of a target.
	EventAssigned EventKind = iota
	// EventEnded is recorded when a task ends whose assignment event has
	// already been overwritten.
	EventEnded
	// EventWaiting is recorded when a task cannot be assigned, with the cause.
	EventWaiting
	eventKindCount
)

// MarshalText returns the name of the kind.
func (k EventKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *EventKind) UnmarshalText(text []byte) error {
	parsed, err := rattanjson.ParseEnum(text, intEventKind(eventKindCount))
	*k = EventKind(parsed)
	return err
}

// intEventKind converts EventKind to the underlying type that ParseEnum
// requires.
type intEventKind int

// String returns the name of the kind.
func (k intEventKind) String() string { return EventKind(k).String() }

// eventRecord is the stored form of an event. It has 32 bytes and no pointers,
// so that the garbage collector does not scan the ring buffer.
type eventRecord struct {
	// previousOffset is the distance in sequence numbers to the previous event
	// of the same job, or 0 if there is none.
	previousOffset uint32
	// sinceSubmission, waitTime and runTime are in microseconds and saturate at
	// the maximum.
	sinceSubmission, waitTime, runTime uint32
	// target and cause are IDs in the name table of the tracer.
	target, cause uint32
	task          uint16
	attempt       uint16
	kind          EventKind
	// outcome is a rattanpool.Outcome plus 1, or 0 while the task is running.
	outcome uint8
}

func toMicroseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Microseconds(), 0), math.MaxUint32))
}

func fromMicroseconds(microseconds uint32) rattanjson.Duration {
	return rattanjson.Duration(time.Duration(microseconds) * time.Microsecond)
}
