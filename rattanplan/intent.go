// Package rattanplan turns an operator's intent into a plan that describes the
// expected effects, and a confirmed plan into the next configuration document.
// The package has no side effects: the current time is passed as an argument,
// and a plan is valid only for the revision that it was made for.
package rattanplan

import (
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Kind -trimprefix=Kind
//go:generate go tool stringer -type=State -trimprefix=State

// ErrInvalidIntent is returned for an intent that is malformed or does not fit
// the document. The error message names the key and the expected value.
const ErrInvalidIntent = errors.ConstError("invalid intent")

// Kind is the kind of change that an intent makes.
type Kind int

// Kinds of intents.
const (
	// KindDrain takes the named entry instance or target out of use.
	KindDrain Kind = iota
	// KindUndrain puts the named entry instance or target back into use.
	KindUndrain
	// KindSetShare sets the weight, quota or job limit of a caller.
	KindSetShare
	// The Put kinds add or replace an entry, including a retired one.
	KindPutService
	KindPutJobKind
	KindPutCaller
	KindPutObjective
	// The Retire kinds keep the entry but reject new jobs that use it.
	KindRetireService
	KindRetireJobKind
	KindRetireCaller
	// KindRemoveObjective deletes the entry.
	KindRemoveObjective
	kindCount
)

// MarshalText returns the name of the kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *Kind) UnmarshalText(text []byte) (err error) {
	*k, err = rattanjson.ParseEnum(text, kindCount)
	return err
}

// Intent is a change to one entry of the document. Of the fields after Name,
// only the one that belongs to the kind is set.
type Intent struct {
	Kind Kind
	// Name is the name of the entry: an instance, target, caller, service, job
	// kind or objective.
	Name      string
	Drain     *rattanconfig.Drain     `json:",omitempty"`
	Share     *Share                  `json:",omitempty"`
	Service   *rattanconfig.Service   `json:",omitempty"`
	JobKind   *rattanconfig.JobKind   `json:",omitempty"`
	Caller    *rattanconfig.Caller    `json:",omitempty"`
	Objective *rattanconfig.Objective `json:",omitempty"`
}

// Share holds the settings of a caller that KindSetShare changes; nil keeps the
// current value.
type Share struct {
	Weight  *float64 `json:",omitempty"`
	Quota   *int     `json:",omitempty"`
	MaxJobs *int     `json:",omitempty"`
}

// ParseIntent decodes and validates an intent. It returns ErrInvalidIntent or
// an error of rattanjson.DecodeStrict.
func ParseIntent(data []byte) (Intent, error) {
	intent := Intent{Kind: -1}
	if err := rattanjson.DecodeStrict(data, &intent); err != nil {
		return Intent{}, errors.Trace(err)
	}
	if err := intent.Check(); err != nil {
		return Intent{}, err
	}
	return intent, nil
}

// Check returns ErrInvalidIntent if the kind, the name or the field required by
// the kind is missing, or if a field of another kind is set.
func (i Intent) Check() error {
	if i.Kind < 0 || i.Kind >= kindCount {
		return invalidIntent("Kind: missing, want a kind such as %v", KindDrain)
	}
	if i.Name == "" {
		return invalidIntent("Name: missing, want the name of the entry to change")
	}
	fields := []struct {
		name    string
		present bool
		kind    Kind
	}{
		{"Drain", i.Drain != nil, KindDrain},
		{"Share", i.Share != nil, KindSetShare},
		{"Service", i.Service != nil, KindPutService},
		{"JobKind", i.JobKind != nil, KindPutJobKind},
		{"Caller", i.Caller != nil, KindPutCaller},
		{"Objective", i.Objective != nil, KindPutObjective},
	}
	for _, field := range fields {
		if field.present && field.kind != i.Kind {
			return invalidIntent("%s: present, want it only with kind %v", field.name, field.kind)
		}
		// The reason of a drain is optional.
		if !field.present && field.kind == i.Kind && i.Kind != KindDrain {
			return invalidIntent("%s: missing, kind %v needs it", field.name, i.Kind)
		}
	}
	if i.Kind == KindSetShare && *i.Share == (Share{}) {
		return invalidIntent("Share: empty, want Weight, Quota or MaxJobs")
	}
	return nil
}

// apply changes the document, whose maps must not be shared. It returns
// ErrInvalidIntent if the intent does not fit the document.
func (i Intent) apply(document *rattanconfig.Document) error {
	switch i.Kind {
	case KindDrain:
		drain := rattanconfig.Drain{}
		if i.Drain != nil {
			drain = *i.Drain
		}
		putEntry(&document.Drains, i.Name, drain)
	case KindUndrain:
		return removeEntry(document.Drains, "Drains", i.Name)
	case KindSetShare:
		return updateEntry(document.Callers, "Callers", i.Name, i.Share.applyTo)
	case KindPutService:
		putEntry(&document.Services, i.Name, *i.Service)
	case KindPutJobKind:
		putEntry(&document.JobKinds, i.Name, *i.JobKind)
	case KindPutCaller:
		putEntry(&document.Callers, i.Name, *i.Caller)
	case KindPutObjective:
		putEntry(&document.Objectives, i.Name, *i.Objective)
	case KindRetireService:
		return i.retireService(document)
	case KindRetireJobKind:
		return updateEntry(document.JobKinds, "JobKinds", i.Name, func(kind *rattanconfig.JobKind) { kind.Retired = true })
	case KindRetireCaller:
		return updateEntry(document.Callers, "Callers", i.Name, func(caller *rattanconfig.Caller) { caller.Retired = true })
	case KindRemoveObjective:
		return removeEntry(document.Objectives, "Objectives", i.Name)
	}
	return nil
}

// retireService returns an error while job kinds use the service. An intent
// changes only one entry, so that Undo can restore exactly what was changed.
func (i Intent) retireService(document *rattanconfig.Document) error {
	if kinds := activeJobKinds(*document, i.Name); len(kinds) > 0 {
		return invalidIntent("Name: %q is used by the job kinds %v, want them retired first", i.Name, kinds)
	}
	return updateEntry(document.Services, "Services", i.Name, func(service *rattanconfig.Service) { service.Retired = true })
}

func (s Share) applyTo(caller *rattanconfig.Caller) {
	if s.Weight != nil {
		caller.Weight = *s.Weight
	}
	if s.Quota != nil {
		caller.Quota = *s.Quota
	}
	if s.MaxJobs != nil {
		caller.MaxJobs = *s.MaxJobs
	}
}

func putEntry[T any](entries *map[string]T, name string, entry T) {
	if *entries == nil {
		*entries = map[string]T{}
	}
	(*entries)[name] = entry
}

func updateEntry[T any](entries map[string]T, section, name string, update func(*T)) error {
	entry, ok := entries[name]
	if !ok {
		return unknownNameError(section, name, sortedKeys(entries))
	}
	update(&entry)
	entries[name] = entry
	return nil
}

func removeEntry[T any](entries map[string]T, section, name string) error {
	if _, ok := entries[name]; !ok {
		return unknownNameError(section, name, sortedKeys(entries))
	}
	delete(entries, name)
	return nil
}

func unknownNameError(section, name string, names []string) error {
	if nearest := rattanjson.Nearest(name, names); nearest != "" {
		return invalidIntent("Name: no %q in %s, did you mean %q?", name, section, nearest)
	}
	return invalidIntent("Name: no %q in %s", name, section)
}

func invalidIntent(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalidIntent)
}
