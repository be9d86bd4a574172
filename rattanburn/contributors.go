package rattanburn

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxContributors bounds the memory per objective. A contributor with more
	// than 1/maxContributors of the bad events is always among those kept.
	maxContributors = 64
	// contributorPeriod is the time that one generation of counts covers.
	contributorPeriod = time.Hour
)

// Contributor is a caller and job kind with bad events.
type Contributor struct {
	Caller string
	Kind   string
	// Bad counts the bad events of the present and the previous hour. It may
	// be too high by at most Excess, because rare contributors share counters.
	Bad    uint64
	Excess uint64
}

type contributorKey struct {
	caller, kind string
}

// tally counts bad events by contributor with the space-saving algorithm
// (Metwally et al., 2005) in two generations.
type tally struct {
	started           time.Time
	current, previous map[contributorKey]Contributor
}

func (t *tally) advance(now time.Time) {
	switch age := now.Sub(t.started); {
	case age < contributorPeriod:
		return
	case age < 2*contributorPeriod:
		t.previous = t.current
	default:
		t.previous = nil
	}
	t.current = nil
	t.started = now.Truncate(contributorPeriod)
}

func (t *tally) add(now time.Time, caller, kind string) {
	t.advance(now)
	key := contributorKey{caller: caller, kind: kind}
	entry, ok := t.current[key]
	if !ok {
		entry = t.enter(key)
	}
	entry.Bad++
	t.current[key] = entry
}

// enter returns the new entry for a key, which takes over the counter of the
// rarest contributor when all are in use.
func (t *tally) enter(key contributorKey) Contributor {
	entry := Contributor{Caller: key.caller, Kind: key.kind}
	if t.current == nil {
		t.current = make(map[contributorKey]Contributor, maxContributors)
	}
	if len(t.current) < maxContributors {
		return entry
	}
	var rarest contributorKey
	found := false
	for candidate, held := range t.current {
		if !found || held.Bad < t.current[rarest].Bad {
			rarest, found = candidate, true
		}
	}
	entry.Bad = t.current[rarest].Bad
	entry.Excess = entry.Bad
	delete(t.current, rarest)
	return entry
}

// top returns the contributors of both generations, the largest first.
func (t *tally) top(now time.Time) []Contributor {
	t.advance(now)
	var all []Contributor
	for _, generation := range []map[contributorKey]Contributor{t.current, t.previous} {
		for _, entry := range generation {
			all = append(all, entry)
		}
	}
	return sumContributors(all)
}

// sumContributors adds up the entries of the same contributor and keeps the
// largest, in a fixed order.
func sumContributors(all []Contributor) []Contributor {
	sums := map[contributorKey]Contributor{}
	for _, entry := range all {
		key := contributorKey{caller: entry.Caller, kind: entry.Kind}
		sum := sums[key]
		sums[key] = Contributor{Caller: entry.Caller, Kind: entry.Kind, Bad: sum.Bad + entry.Bad, Excess: sum.Excess + entry.Excess}
	}
	top := make([]Contributor, 0, len(sums))
	for _, entry := range sums {
		top = append(top, entry)
	}
	slices.SortFunc(top, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Kind, b.Kind))
	})
	return top[:min(len(top), maxContributors)]
}
