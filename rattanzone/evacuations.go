package rattanzone

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// maxEvacuationsUnknown is the time after the start of the process, and
	// maxEvacuationsStale that after a pause, for which nothing starts in a zone while
	// the evacuations are not known. A zone that reaches neither the store nor another
	// instance continues after that.
	maxEvacuationsUnknown = 2 * time.Second
	maxEvacuationsStale   = 500 * time.Millisecond
)

// EvacuationJournal records changes of the evacuated zones, with the store revision
// of the set that states them and where this instance has it from.
type EvacuationJournal interface {
	EvacuationBegan(evacuation rattanwork.Evacuation, revision int64, source string)
	EvacuationEnded(zone string, revision int64, source string)
	// EvacuationsNotKnown reports that work may start although the set is not known,
	// or was not compared since a pause, with the revision of the set or 0.
	EvacuationsNotKnown(revision int64)
}

// EvacuationsConfig configures an Evacuations.
type EvacuationsConfig struct {
	Journal EvacuationJournal
	// Suspended returns for how long the steady clock of this machine has stood
	// still, 0 if it is nil.
	Suspended func() time.Duration
	Clock     func() time.Time
}

// Evacuations holds the newest set of evacuated zones that this instance has read
// from the store or received from another instance. Its revision never decreases. It
// is safe for concurrent use. A nil *Evacuations means that evacuations are not used.
type Evacuations struct {
	config    EvacuationsConfig
	startedAt time.Time
	// freshness tells whether the set may have changed during a pause. Its times
	// include those in which the machine was suspended.
	freshness freshness
	// set is never changed in place. Its revision is 0 until a set is known.
	set atomic.Pointer[rattanwork.Evacuations]

	mutex sync.Mutex
	// waiting is set if nothing could start when the heartbeat loop last ran.
	waiting bool
	// changed is closed and replaced when the status of a zone may have changed.
	changed chan struct{}
}

// NewEvacuations returns an Evacuations that does not know the set yet.
func NewEvacuations(config EvacuationsConfig) *Evacuations {
	e := &Evacuations{config: config, waiting: true, changed: make(chan struct{})}
	e.startedAt = e.elapsed(config.Clock())
	e.set.Store(&rattanwork.Evacuations{})
	return e
}

// elapsed adds to a time of the steady clock for how long that has stood still.
func (e *Evacuations) elapsed(now time.Time) time.Time {
	if e.config.Suspended == nil {
		return now
	}
	return now.Add(e.config.Suspended())
}

// Known returns the set, with revision 0 if it is not known.
func (e *Evacuations) Known() rattanwork.Evacuations {
	if e == nil {
		return rattanwork.Evacuations{}
	}
	return *e.set.Load()
}

// Status returns what is known of the evacuation of a zone. A request that was known
// before a pause holds until its end is known.
func (e *Evacuations) Status(zone string, now time.Time) rattanwork.EvacuationStatus {
	if e == nil {
		return rattanwork.EvacuationNone
	}
	set := e.set.Load()
	switch {
	case set.Contains(zone):
		return rattanwork.EvacuationActive
	case e.mustWait(set, e.elapsed(now)):
		return rattanwork.EvacuationUnknown
	default:
		return rattanwork.EvacuationNone
	}
}

// mustWait reports whether nothing may start for the time being because the set is not
// known, or may have changed during a pause.
func (e *Evacuations) mustWait(set *rattanwork.Evacuations, elapsed time.Time) bool {
	return set.Revision == 0 && elapsed.Sub(e.startedAt) < maxEvacuationsUnknown || e.freshness.recentlyPaused(elapsed, maxEvacuationsStale)
}

// Merge takes over a set that is newer than the one in force.
func (e *Evacuations) Merge(set rattanwork.Evacuations, source string) {
	if e == nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.set.Load()
	if set.Revision <= known.Revision {
		return
	}
	e.set.Store(&set)
	if known.Revision == 0 || !slices.Equal(known.Zones, set.Zones) {
		e.journalChange(known, &set, source)
		e.notify()
	}
}

// journalChange records the requests that have ended and those that are new. One that
// was withdrawn and made again is both.
func (e *Evacuations) journalChange(before, after *rattanwork.Evacuations, source string) {
	for _, evacuation := range before.Zones {
		if !slices.Contains(after.Zones, evacuation) {
			e.config.Journal.EvacuationEnded(evacuation.Zone, after.Revision, source)
		}
	}
	for _, evacuation := range after.Zones {
		if !slices.Contains(before.Zones, evacuation) {
			e.config.Journal.EvacuationBegan(evacuation, after.Revision, source)
		}
	}
}

// notify wakes those who wait for a change. The caller holds the mutex.
func (e *Evacuations) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the status of a zone may have changed
// otherwise than by the passing of time.
func (e *Evacuations) Changed() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.changed
}

// Tick records that this instance runs, at least every silenceTimeout.
func (e *Evacuations) Tick(now time.Time) {
	if e == nil {
		return
	}
	elapsed := e.elapsed(now)
	e.freshness.tick(elapsed)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	set := e.set.Load()
	waited := e.waiting
	e.waiting = e.mustWait(set, elapsed)
	if waited && !e.waiting && (set.Revision == 0 || !e.freshness.current(elapsed)) {
		e.config.Journal.EvacuationsNotKnown(set.Revision)
	}
}

// BeginComparison returns the time to pass to Compared when the comparison that
// begins now is complete.
func (e *Evacuations) BeginComparison() time.Time {
	if e == nil {
		return time.Time{}
	}
	return e.elapsed(e.config.Clock())
}

// Compared records that the set was compared with that of the store or of another
// instance, and merged.
func (e *Evacuations) Compared(begunAt time.Time) {
	if e == nil || !e.freshness.compared(begunAt) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.notify()
}

// sendable returns the set to send to other instances, nil if it is not known, or if
// it may have changed during a pause of this instance.
func (e *Evacuations) sendable(now time.Time) *rattanwork.Evacuations {
	if e == nil {
		return nil
	}
	set := e.set.Load()
	if slices.ContainsFunc(set.Zones, hasLongName) {
		set = &rattanwork.Evacuations{Revision: set.Revision, Zones: slices.DeleteFunc(slices.Clone(set.Zones), hasLongName)}
	}
	if set.Revision == 0 || len(set.Zones) > maxEvacuations || e.freshness.recentlyPaused(e.elapsed(now), maxEvacuationsStale) {
		return nil
	}
	return set
}

// hasLongName reports whether the name of the zone is not sent. No zone has such a name.
func hasLongName(evacuation rattanwork.Evacuation) bool {
	return len(evacuation.Zone) > maxZoneLength
}

const (
	// maxEvacuations and maxZoneLength bound the bytes of a set in a heartbeat. A set of
	// more zones is read from the store only, and so are longer names.
	maxEvacuations = 256
	maxZoneLength  = 256
	// maxRevision is the highest store revision that JSON numbers represent exactly.
	maxRevision = 1<<53 - 1
)

// validEvacuations returns the set that another instance has sent, nil if it is none
// that an instance sends.
func validEvacuations(set *rattanwork.Evacuations) *rattanwork.Evacuations {
	if set == nil || set.Revision <= 0 || set.Revision > maxRevision || len(set.Zones) > maxEvacuations {
		return nil
	}
	for i, evacuation := range set.Zones {
		if evacuation.Zone == "" || hasLongName(evacuation) || evacuation.Since <= 0 {
			return nil
		}
		if i > 0 && strings.Compare(set.Zones[i-1].Zone, evacuation.Zone) >= 0 {
			return nil
		}
	}
	return set
}
