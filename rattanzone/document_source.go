package rattanzone

import (
	"cmp"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// minSourceBackoff and maxSourceBackoff bound the time for which an instance
	// from which a transfer has failed is not asked again.
	minSourceBackoff = 100 * time.Millisecond
	maxSourceBackoff = 2 * time.Second
	// maxBackoffDoublings is the number of doublings after which a backoff is at its
	// maximum.
	maxBackoffDoublings = 5
	// maxFailedTransfers is the number of failed transfers in succession after which
	// the store is read, whatever other instances announce meanwhile.
	maxFailedTransfers = 2
)

// documentSource is an instance that has a newer desired state.
type documentSource struct {
	member  rattanwork.Member
	version int64
	// announcedAt is when it last said so.
	announcedAt time.Time
	// retryAt is the earliest time of the next transfer, failures the number of
	// failed ones in succession.
	retryAt  time.Time
	failures int
}

// documentSources holds the instances that have a newer desired state than this one,
// and decides which of them to ask.
type documentSources struct {
	byName map[string]*documentSource
	// failures is the number of failed transfers since the last newer version,
	// pausedUntil the time until which no instance is asked because of them.
	failures    int
	pausedUntil time.Time
}

// announce records that an instance has a version, and reports whether it can be
// asked for it now.
func (s *documentSources) announce(member rattanwork.Member, version int64, now time.Time) bool {
	source, ok := s.byName[member.Name]
	if !ok {
		source = &documentSource{}
		s.byName[member.Name] = source
	}
	source.member = member
	source.version = max(source.version, version)
	source.announcedAt = now
	return !now.Before(source.retryAt)
}

// next returns the source to ask: of those with the fewest failures, and of these with
// the newest version, the one that has announced it last.
func (s *documentSources) next(now time.Time) (rattanwork.Member, bool) {
	if s.paused(now) {
		return rattanwork.Member{}, false
	}
	var best *documentSource
	for _, source := range s.byName {
		if !now.Before(source.retryAt) && (best == nil || source.betterThan(best)) {
			best = source
		}
	}
	if best == nil {
		return rattanwork.Member{}, false
	}
	return best.member, true
}

func (s *documentSource) betterThan(other *documentSource) bool {
	return cmp.Or(
		cmp.Compare(other.failures, s.failures),
		cmp.Compare(s.version, other.version),
		s.announcedAt.Compare(other.announcedAt),
	) > 0
}

// paused reports whether no instance is asked for now.
func (s *documentSources) paused(now time.Time) bool {
	return now.Before(s.pausedUntil)
}

// failed records that a transfer from an instance has failed, and reports whether to
// read the store before another instance is asked.
func (s *documentSources) failed(name string, now time.Time) bool {
	if source, ok := s.byName[name]; ok {
		source.failures++
		source.retryAt = now.Add(sourceBackoff(source.failures))
	}
	s.failures++
	if s.failures%maxFailedTransfers != 0 {
		return false
	}
	s.pausedUntil = now.Add(sourceBackoff(s.failures))
	return true
}

func sourceBackoff(failures int) time.Duration {
	return min(minSourceBackoff<<min(failures-1, maxBackoffDoublings), maxSourceBackoff)
}

// accepted records that a version is in force here.
func (s *documentSources) accepted(version int64) {
	s.failures, s.pausedUntil = 0, time.Time{}
	for name, source := range s.byName {
		if source.version <= version {
			delete(s.byName, name)
		}
	}
}
