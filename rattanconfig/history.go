package rattanconfig

import "maps"

// History holds the present document and the last deltas that led to it, so
// that an instance can serve the changes since a revision. It is not safe for
// concurrent use.
type History struct {
	// Limit is the most deltas kept, at least 1.
	Limit   int
	current Document
	deltas  []Delta
}

// Current returns the present document, which callers do not modify; its
// revision is 0 when there is none.
func (h *History) Current() Document {
	return h.current
}

// Install makes the document the present one and reports whether it did: a
// document that is not newer is left out.
func (h *History) Install(document Document) bool {
	if !Newer(document, h.current) {
		return false
	}
	h.deltas = append(h.deltas, Difference(h.current, document))
	if excess := len(h.deltas) - max(h.Limit, 1); excess > 0 {
		h.deltas = append([]Delta(nil), h.deltas[excess:]...)
	}
	h.current = document
	return true
}

// DeltaSince returns the delta from the revision to the present document. The delta
// carries the whole document when the revision is unknown or too far back. It
// reports false when the present document is not newer than the revision.
func (h *History) DeltaSince(revision uint64) (Delta, bool) {
	if h.current.Revision <= revision {
		return Delta{}, false
	}
	for i, delta := range h.deltas {
		if delta.From == revision {
			return join(h.deltas[i:]), true
		}
	}
	return Difference(Document{}, h.current), true
}

// join returns the delta with the effect of consecutive deltas.
func join(deltas []Delta) Delta {
	joined := deltas[0]
	for _, delta := range deltas[1:] {
		joined.To = delta.To
		joined.RequestID = delta.RequestID
		joined.Services = override(joined.Services, delta.Services)
		joined.JobKinds = override(joined.JobKinds, delta.JobKinds)
		joined.Callers = override(joined.Callers, delta.Callers)
		joined.Drains = override(joined.Drains, delta.Drains)
		joined.Objectives = override(joined.Objectives, delta.Objectives)
	}
	return joined
}

func override[T any](earlier, later map[string]*T) map[string]*T {
	if len(later) == 0 {
		return earlier
	}
	entries := make(map[string]*T, len(earlier)+len(later))
	maps.Copy(entries, earlier)
	maps.Copy(entries, later)
	return entries
}
