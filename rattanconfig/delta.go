package rattanconfig

import (
	"maps"

	"github.com/juju/errors"
)

// Errors of Apply.
const (
	// ErrStale is returned if the document is at least as new as the delta.
	ErrStale = errors.ConstError("configuration is not newer")
	// ErrRevisionMismatch is returned if the delta starts at another revision
	// than the document. The receiver should request a delta from its own
	// revision.
	ErrRevisionMismatch = errors.ConstError("delta starts at another revision")
)

// Delta is the difference between two revisions, as sent between instances. In
// each section, a non-nil entry replaces the entry of that name, and nil
// removes it.
type Delta struct {
	// From is the revision that the delta applies to. If it is 0, the delta
	// contains the whole document and applies to any older revision.
	From uint64
	To   uint64
	// RequestID is the RequestID of revision To.
	RequestID  string
	Services   map[string]*Service   `json:",omitempty"`
	JobKinds   map[string]*JobKind   `json:",omitempty"`
	Callers    map[string]*Caller    `json:",omitempty"`
	Drains     map[string]*Drain     `json:",omitempty"`
	Objectives map[string]*Objective `json:",omitempty"`
}

// Newer reports whether a is newer than b. Instances install a document only if
// it is newer than the current one, so that an accepted change is never
// reverted.
func Newer(a, b Document) bool {
	return a.Revision > b.Revision
}

// Difference returns the delta that turns one document into another.
func Difference(before, after Document) Delta {
	return Delta{
		From:       before.Revision,
		To:         after.Revision,
		RequestID:  after.RequestID,
		Services:   diffEntries(before.Services, after.Services),
		JobKinds:   diffEntries(before.JobKinds, after.JobKinds),
		Callers:    diffEntries(before.Callers, after.Callers),
		Drains:     diffEntries(before.Drains, after.Drains),
		Objectives: diffEntries(before.Objectives, after.Objectives),
	}
}

// Apply returns a new document with the delta applied and does not modify the
// old one. It returns ErrStale, ErrRevisionMismatch or an error of Check.
func Apply(old Document, delta Delta) (Document, error) {
	if delta.To <= old.Revision {
		return Document{}, errors.WithType(errors.Errorf("revision %d is installed, the delta leads to %d", old.Revision, delta.To), ErrStale)
	}
	if delta.From == 0 {
		old = Document{}
	}
	if delta.From != old.Revision {
		return Document{}, errors.WithType(errors.Errorf("revision %d is installed, the delta starts at %d", old.Revision, delta.From), ErrRevisionMismatch)
	}
	document := Document{
		Revision:   delta.To,
		RequestID:  delta.RequestID,
		Services:   applyEntries(old.Services, delta.Services),
		JobKinds:   applyEntries(old.JobKinds, delta.JobKinds),
		Callers:    applyEntries(old.Callers, delta.Callers),
		Drains:     applyEntries(old.Drains, delta.Drains),
		Objectives: applyEntries(old.Objectives, delta.Objectives),
	}
	if err := Check(document); err != nil {
		return Document{}, err
	}
	return document, nil
}

// Clone returns a copy of the document with its own maps.
func (d Document) Clone() Document {
	d.Services = maps.Clone(d.Services)
	d.JobKinds = maps.Clone(d.JobKinds)
	d.Callers = maps.Clone(d.Callers)
	d.Drains = maps.Clone(d.Drains)
	d.Objectives = maps.Clone(d.Objectives)
	return d
}

func diffEntries[T comparable](before, after map[string]T) map[string]*T {
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

func applyEntries[T any](old map[string]T, changed map[string]*T) map[string]T {
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
