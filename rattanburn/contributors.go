package rattanburn

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxContributors limits the memory per objective. A contributor that
	// causes more than 1/maxContributors of the bad events is always kept.
	maxContributors = 64
	// contributorPeriod is the time covered by one generation of counts.
	contributorPeriod = time.Hour
)

// Contributor is a combination of caller and job kind that caused bad events.
type Contributor struct {
	Caller string
	Kind   string
	// Bad is the number of bad events in the current and the previous hour. It
	// may be too high by at most Excess, because rare contributors share
	// counters.
	Bad    uint64
	Excess uint64
}

type contributorKey struct {
	caller, kind string
}

// contributorCounter counts bad events per contributor with the Space-Saving
// algorithm (Metwally et al., 2005). Counts are kept for the current and the
// previous period.
type contributorCounter struct {
	generationStart   time.Time
	current, previous map[contributorKey]Contributor
}

// advance starts a new generation of counts when the current one is older than
// contributorPeriod.
func (c *contributorCounter) advance(now time.Time) {
	switch age := now.Sub(c.generationStart); {
	case age < contributorPeriod:
		return
	case age < 2*contributorPeriod:
		c.previous = c.current
	default:
		c.previous = nil
	}
	c.current = nil
	c.generationStart = now.Truncate(contributorPeriod)
}

func (c *contributorCounter) add(now time.Time, caller, kind string) {
	c.advance(now)
	key := contributorKey{caller: caller, kind: kind}
	contributor, ok := c.current[key]
	if !ok {
		contributor = c.insert(key)
	}
	contributor.Bad++
	c.current[key] = contributor
}

// insert returns a new entry for a key. If all counters are in use, the entry
// takes over the smallest one, including its count.
func (c *contributorCounter) insert(key contributorKey) Contributor {
	contributor := Contributor{Caller: key.caller, Kind: key.kind}
	if c.current == nil {
		c.current = make(map[contributorKey]Contributor, maxContributors)
	}
	if len(c.current) < maxContributors {
		return contributor
	}
	var smallest contributorKey
	found := false
	for candidate, existing := range c.current {
		if !found || existing.Bad < c.current[smallest].Bad {
			smallest, found = candidate, true
		}
	}
	contributor.Bad = c.current[smallest].Bad
	contributor.Excess = contributor.Bad
	delete(c.current, smallest)
	return contributor
}

// top returns the contributors of both generations in descending order of their
// bad events.
func (c *contributorCounter) top(now time.Time) []Contributor {
	c.advance(now)
	var all []Contributor
	for _, generation := range []map[contributorKey]Contributor{c.current, c.previous} {
		for _, entry := range generation {
			all = append(all, entry)
		}
	}
	return mergeContributors(all)
}

// mergeContributors sums the entries of each contributor and returns the
// largest sums in descending order. Ties are sorted by caller and kind.
func mergeContributors(all []Contributor) []Contributor {
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
