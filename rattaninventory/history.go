package rattaninventory

import "time"

// DefaultMaxDifferences is the number of earlier lists remembered for peers
// that are behind. At 1,600 changes per day it covers nearly an hour; a peer
// that is further behind gets the whole list.
const DefaultMaxDifferences = 64

// History holds the list in use and the latest differences that led to it. It
// is not safe for concurrent use.
type History struct {
	// MaxDifferences limits the differences kept; 0 means
	// DefaultMaxDifferences.
	MaxDifferences int
	list           List
	readAt         time.Time
	differences    []Difference
}

// List returns the list in use; its hash is 0 when there is none.
func (h *History) List() List {
	return h.list
}

// Version returns the version of the list in use.
func (h *History) Version() Version {
	return Version{Hash: h.list.Hash, ReadAt: h.readAt}
}

// Install replaces the list in use by a list that the platform returned at
// readAt, if the platform returned the list in use earlier. It reports whether
// the list was installed, and whether it differs from the previous one.
func (h *History) Install(now time.Time, list List, readAt time.Time) (installed, changed bool) {
	offered := Version{Hash: list.Hash, ReadAt: earlierOf(now, readAt)}
	if !Newer(offered, h.Version()) {
		return false, false
	}
	h.readAt = offered.ReadAt
	if list.Hash == h.list.Hash {
		return true, false
	}
	if h.list.Hash != 0 {
		h.recordDifference(NewDifference(h.list, list))
	}
	h.list = list
	return true, true
}

// ShouldPull reports whether the list that a peer has should be pulled. If the
// peer has the same list but a later time for it, the list in use gets that
// time, so that it counts as being as recent as the peer's.
func (h *History) ShouldPull(now time.Time, peer Version) bool {
	peer.ReadAt = earlierOf(now, peer.ReadAt)
	if peer.Hash == 0 || !Newer(peer, h.Version()) {
		return false
	}
	if peer.Hash != h.list.Hash {
		return true
	}
	h.readAt = peer.ReadAt
	return false
}

// DifferenceSince returns the difference from the list with the hash to the one
// in use. It returns the whole list if the former is not remembered, or if the
// difference would be longer.
func (h *History) DifferenceSince(hash uint64) Difference {
	if hash == h.list.Hash {
		return Difference{From: hash, To: hash}
	}
	for i := len(h.differences) - 1; i >= 0; i-- {
		if h.differences[i].From != hash {
			continue
		}
		if merged := mergeDifferences(h.differences[i:]); merged.entryCount() < len(h.list.Instances) {
			return merged
		}
		break
	}
	return WholeDifference(h.list)
}

func (h *History) recordDifference(difference Difference) {
	maxDifferences := h.MaxDifferences
	if maxDifferences <= 0 {
		maxDifferences = DefaultMaxDifferences
	}
	h.differences = append(h.differences, difference)
	// Differences that together are longer than the list would never be sent.
	kept, entries := 0, 0
	for kept < min(len(h.differences), maxDifferences) && entries <= len(h.list.Instances) {
		kept++
		entries += h.differences[len(h.differences)-kept].entryCount()
	}
	if excess := len(h.differences) - kept; excess > 0 {
		h.differences = append([]Difference(nil), h.differences[excess:]...)
	}
}

// earlierOf limits a time received from a peer to now. A time in the future
// would prevent the installation of all later lists.
func earlierOf(now, peerTime time.Time) time.Time {
	if peerTime.After(now) {
		return now
	}
	return peerTime
}
