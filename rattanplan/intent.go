// Package rattanplan turns an operator's intent into a plan that says what
// will happen, and a confirmed plan into the next configuration document. It
// is pure: the present time is an argument, and a plan is bound to the
// revision that it was made for.
package rattanplan

import (
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Kind -trimprefix=Kind
//go:generate go tool stringer -type=State -trimprefix=State

// ErrIntent reports an intent that is malformed or that does not fit the
// document; the error names the key and what was expected.
const ErrIntent = errors.ConstError("invalid intent")

// Kind is what an operator wants.
type Kind int

// The kinds of intents.
const (
	// KindDrain takes the entry instance or target with the name out of use.
	KindDrain Kind = iota
	// KindUndrain puts it back into use.
	KindUndrain
	// KindSetShare sets the weight, quota or job limit of a caller.
	KindSetShare
	// The Put kinds add or replace an entry, also a retired one.
	KindPutService
	KindPutJobKind
	KindPutCaller
	KindPutObjective
	// The Retire kinds keep the entry and refuse new jobs for it.
	KindRetireService
	KindRetireJobKind
	KindRetireCaller
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

// Intent is a change to one entry of the document. Of the parts after Name,
// only the one that the kind needs is present.
type Intent struct {
	Kind Kind
	// Name is that of the entry: an instance, target, caller, service, job
	// kind or objective.
	Name      string
	Drain     *rattanconfig.Drain     `json:",omitempty"`
	Share     *Share                  `json:",omitempty"`
	Service   *rattanconfig.Service   `json:",omitempty"`
	JobKind   *rattanconfig.JobKind   `json:",omitempty"`
	Caller    *rattanconfig.Caller    `json:",omitempty"`
	Objective *rattanconfig.Objective `json:",omitempty"`
}

// Share holds the values of a caller that KindSetShare sets; nil keeps the
// present value.
type Share struct {
	Weight  *float64 `json:",omitempty"`
	Quota   *int     `json:",omitempty"`
	MaxJobs *int     `json:",omitempty"`
}

// ParseIntent decodes and checks an intent. The errors are ErrIntent and those
// of rattanjson.DecodeStrict.
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

// Check returns ErrIntent for an intent without a kind, a name or the part
// that its kind needs, or with another part.
func (i Intent) Check() error {
	if i.Kind < 0 || i.Kind >= kindCount {
		return invalid("Kind: missing, want a kind such as %v", KindDrain)
	}
	if i.Name == "" {
		return invalid("Name: missing, want the name of the entry to change")
	}
	parts := []struct {
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
	for _, part := range parts {
		if part.present && part.kind != i.Kind {
			return invalid("%s: present, want it only with kind %v", part.name, part.kind)
		}
		// A drain needs no reason.
		if !part.present && part.kind == i.Kind && i.Kind != KindDrain {
			return invalid("%s: missing, kind %v needs it", part.name, i.Kind)
		}
	}
	if i.Kind == KindSetShare && *i.Share == (Share{}) {
		return invalid("Share: empty, want Weight, Quota or MaxJobs")
	}
	return nil
}

// apply changes the document, whose maps are not shared. It returns ErrIntent
// when the intent does not fit the document.
func (i Intent) apply(document *rattanconfig.Document) error {
	switch i.Kind {
	case KindDrain:
		drain := rattanconfig.Drain{}
		if i.Drain != nil {
			drain = *i.Drain
		}
		put(&document.Drains, i.Name, drain)
	case KindUndrain:
		return remove(document.Drains, "Drains", i.Name)
	case KindSetShare:
		return change(document.Callers, "Callers", i.Name, i.Share.set)
	case KindPutService:
		put(&document.Services, i.Name, *i.Service)
	case KindPutJobKind:
		put(&document.JobKinds, i.Name, *i.JobKind)
	case KindPutCaller:
		put(&document.Callers, i.Name, *i.Caller)
	case KindPutObjective:
		put(&document.Objectives, i.Name, *i.Objective)
	case KindRetireService:
		return i.retireService(document)
	case KindRetireJobKind:
		return change(document.JobKinds, "JobKinds", i.Name, func(kind *rattanconfig.JobKind) { kind.Retired = true })
	case KindRetireCaller:
		return change(document.Callers, "Callers", i.Name, func(caller *rattanconfig.Caller) { caller.Retired = true })
	case KindRemoveObjective:
		return remove(document.Objectives, "Objectives", i.Name)
	}
	return nil
}

// retireService refuses while job kinds use the service: an intent changes one
// entry, so that Undo can restore exactly what it changed.
func (i Intent) retireService(document *rattanconfig.Document) error {
	if kinds := kindsOf(*document, i.Name); len(kinds) > 0 {
		return invalid("Name: %q is used by the job kinds %v, want them retired first", i.Name, kinds)
	}
	return change(document.Services, "Services", i.Name, func(service *rattanconfig.Service) { service.Retired = true })
}

func (s Share) set(caller *rattanconfig.Caller) {
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

func put[T any](entries *map[string]T, name string, entry T) {
	if *entries == nil {
		*entries = map[string]T{}
	}
	(*entries)[name] = entry
}

func change[T any](entries map[string]T, section, name string, set func(*T)) error {
	entry, ok := entries[name]
	if !ok {
		return unknown(section, name, sortedKeys(entries))
	}
	set(&entry)
	entries[name] = entry
	return nil
}

func remove[T any](entries map[string]T, section, name string) error {
	if _, ok := entries[name]; !ok {
		return unknown(section, name, sortedKeys(entries))
	}
	delete(entries, name)
	return nil
}

func unknown(section, name string, names []string) error {
	if nearest := rattanjson.Nearest(name, names); nearest != "" {
		return invalid("Name: no %q in %s, did you mean %q?", name, section, nearest)
	}
	return invalid("Name: no %q in %s", name, section)
}

func invalid(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrIntent)
}
