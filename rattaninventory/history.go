package rattaninventory

import "time"

// HistoryLimit is the number of former lists that are remembered for peers that
// are behind. At 1,600 changes a day it covers nearly an hour; a peer that is
// further behind gets the whole list.
const HistoryLimit = 64

// History holds the list in use and the last differences that led to it. It is
// not safe for concurrent use.
type History struct {
	// Limit is the most differences kept; 0 means HistoryLimit.
	Limit   int
	list    List
	reached time.Time
	steps   []Difference
}

// List returns the list in use; its hash is 0 when there is none.
func (h *History) List() List {
	return h.list
}

// Version returns the version of the list in use.
func (h *History) Version() Version {
	return Version{Hash: h.list.Hash, ReadAt: h.reached}
}

// Install puts a list in use that the platform gave at reached, unless it is no
// newer than the one in use. It reports whether it did, and whether the list
// differs from the former one.
func (h *History) Install(now time.Time, list List, reached time.Time) (installed, changed bool) {
	offered := Version{Hash: list.Hash, ReadAt: notAfter(now, reached)}
	if !Newer(offered, h.Version()) {
		return false, false
	}
	h.reached = offered.ReadAt
	if list.Hash == h.list.Hash {
		return true, false
	}
	if h.list.Hash != 0 {
		h.remember(Between(h.list, list))
	}
	h.list = list
	return true, true
}

// ShouldPull takes in which list a peer has, and reports whether it is to be pulled.
// A peer with the same list confirms that it is as recent as the peer's.
func (h *History) ShouldPull(now time.Time, peer Version) bool {
	peer.ReadAt = notAfter(now, peer.ReadAt)
	if peer.Hash == 0 || !Newer(peer, h.Version()) {
		return false
	}
	if peer.Hash != h.list.Hash {
		return true
	}
	h.reached = peer.ReadAt
	return false
}

// DifferenceSince returns the difference from the list with the hash to the one in use:
// the whole list when that list is not remembered, or when the difference would
// be longer.
func (h *History) DifferenceSince(hash uint64) Difference {
	if hash == h.list.Hash {
		return Difference{From: hash, To: hash}
	}
	for i := len(h.steps) - 1; i >= 0; i-- {
		if h.steps[i].From != hash {
			continue
		}
		if joined := join(h.steps[i:]); joined.size() < len(h.list.Instances) {
			return joined
		}
		break
	}
	return Whole(h.list)
}

func (h *History) remember(step Difference) {
	limit := h.Limit
	if limit <= 0 {
		limit = HistoryLimit
	}
	h.steps = append(h.steps, step)
	// Steps that together are longer than the list would never be sent.
	kept, entries := 0, 0
	for kept < min(len(h.steps), limit) && entries <= len(h.list.Instances) {
		kept++
		entries += h.steps[len(h.steps)-kept].size()
	}
	if excess := len(h.steps) - kept; excess > 0 {
		h.steps = append([]Difference(nil), h.steps[excess:]...)
	}
}

// notAfter bounds a time that came from a peer. A time in the future would keep
// all later lists out.
func notAfter(now, at time.Time) time.Time {
	if at.After(now) {
		return now
	}
	return at
}
