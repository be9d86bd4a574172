package rattanconfig

import (
	"maps"

	"github.com/juju/errors"
)

// Errors of Apply.
const (
	// ErrStale says that the document is at least as new as the delta.
	ErrStale = errors.ConstError("configuration is not newer")
	// ErrGap says that the delta starts at another revision than the
	// document's; the receiver asks for a delta from its own revision.
	ErrGap = errors.ConstError("delta starts at another revision")
)

// Delta is the difference between two revisions, for transfer between
// instances. In each section, an entry replaces the one with its name, and nil
// removes it.
type Delta struct {
	// From is the revision that the delta applies to; 0 stands for the empty
	// document, so that the delta carries a whole document and applies to any
	// older revision.
	From uint64
	To   uint64
	// RequestID is that of revision To.
	RequestID  string
	Services   map[string]*Service   `json:",omitempty"`
	JobKinds   map[string]*JobKind   `json:",omitempty"`
	Callers    map[string]*Caller    `json:",omitempty"`
	Drains     map[string]*Drain     `json:",omitempty"`
	Objectives map[string]*Objective `json:",omitempty"`
}

// Newer reports whether a replaces b. It is the only rule by which an instance
// installs a document, so that an accepted change never reverts.
func Newer(a, b Document) bool {
	return a.Revision > b.Revision
}

// Difference returns the delta that turns one document into another.
func Difference(before, after Document) Delta {
	return Delta{
		From:       before.Revision,
		To:         after.Revision,
		RequestID:  after.RequestID,
		Services:   difference(before.Services, after.Services),
		JobKinds:   difference(before.JobKinds, after.JobKinds),
		Callers:    difference(before.Callers, after.Callers),
		Drains:     difference(before.Drains, after.Drains),
		Objectives: difference(before.Objectives, after.Objectives),
	}
}

// Apply returns the document at the delta's revision and leaves the old one as
// it is. The errors are ErrStale, ErrGap and those of Check.
func Apply(old Document, delta Delta) (Document, error) {
	if delta.To <= old.Revision {
		return Document{}, errors.WithType(errors.Errorf("revision %d is installed, the delta leads to %d", old.Revision, delta.To), ErrStale)
	}
	if delta.From == 0 {
		old = Document{}
	}
	if delta.From != old.Revision {
		return Document{}, errors.WithType(errors.Errorf("revision %d is installed, the delta starts at %d", old.Revision, delta.From), ErrGap)
	}
	document := Document{
		Revision:   delta.To,
		RequestID:  delta.RequestID,
		Services:   apply(old.Services, delta.Services),
		JobKinds:   apply(old.JobKinds, delta.JobKinds),
		Callers:    apply(old.Callers, delta.Callers),
		Drains:     apply(old.Drains, delta.Drains),
		Objectives: apply(old.Objectives, delta.Objectives),
	}
	if err := Check(document); err != nil {
		return Document{}, err
	}
	return document, nil
}

// Clone returns a copy that shares no maps with the document.
func (d Document) Clone() Document {
	d.Services = maps.Clone(d.Services)
	d.JobKinds = maps.Clone(d.JobKinds)
	d.Callers = maps.Clone(d.Callers)
	d.Drains = maps.Clone(d.Drains)
	d.Objectives = maps.Clone(d.Objectives)
	return d
}

func difference[T comparable](before, after map[string]T) map[string]*T {
	changed := map[string]*T{}
	for name := range before {
		if _, ok := after[name]; !ok {
			changed[name] = nil
		}
	}
	for name, entry := range after {
		if old, ok := before[name]; !ok || old != entry {
			changed[name] = &entry
		}
	}
	if len(changed) == 0 {
		return nil
	}
	return changed
}

func apply[T any](old map[string]T, changed map[string]*T) map[string]T {
	entries := make(map[string]T, len(old)+len(changed))
	maps.Copy(entries, old)
	for name, entry := range changed {
		if entry == nil {
			delete(entries, name)
			continue
		}
		entries[name] = *entry
	}
	return entries
}
