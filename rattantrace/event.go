package rattantrace

import (
	"math"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=EventKind -trimprefix=Event

// EventKind is what an event tells of a job.
type EventKind uint8

// The kinds of events.
const (
	// EventAssigned is a task that was assigned to a slot of a target.
	EventAssigned EventKind = iota
	// EventEnded is the end of an assignment whose own event had been
	// overwritten by then.
	EventEnded
	// EventWaiting is a task that could not be assigned, with the cause.
	EventWaiting
	eventKindCount
)

// MarshalText returns the name of the kind.
func (k EventKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *EventKind) UnmarshalText(text []byte) error {
	parsed, err := rattanjson.ParseEnum(text, enumKind(eventKindCount))
	*k = EventKind(parsed)
	return err
}

// enumKind gives EventKind the underlying type that ParseEnum needs.
type enumKind int

// String returns the name of the kind.
func (k enumKind) String() string { return EventKind(k).String() }

// record is an event as the ring holds it: 32 bytes without pointers, so that
// the garbage collector does not scan the ring.
type record struct {
	// back is the distance to the event before it of the same job; 0 for none.
	back uint32
	// after, waited and ran are in microseconds, and capped.
	after, waited, ran uint32
	target, cause      uint32
	task               uint16
	attempt            uint16
	kind               EventKind
	// outcome is 1 more than a rattanpool.Outcome; 0 while the task runs.
	outcome uint8
}

func microseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Microseconds(), 0), math.MaxUint32))
}

func fromMicroseconds(number uint32) rattanjson.Duration {
	return rattanjson.Duration(time.Duration(number) * time.Microsecond)
}
