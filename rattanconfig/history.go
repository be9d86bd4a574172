package rattanconfig

import "maps"

// History holds the current document and the most recent deltas, so that an
// instance can serve the changes since a revision. It is not safe for
// concurrent use.
type History struct {
	// Limit is the maximum number of deltas kept, at least 1.
	Limit   int
	current Document
	deltas  []Delta
}

// Current returns the current document, which must not be modified. Its
// revision is 0 if there is no document.
func (h *History) Current() Document {
	return h.current
}

// Install makes the document the current one if it is newer, and reports
// whether it did.
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

// DeltaSince returns the delta from the revision to the current document. If
// the revision is unknown or too old, the delta contains the whole document.
// DeltaSince returns false if the current document is not newer than the
// revision.
func (h *History) DeltaSince(revision uint64) (Delta, bool) {
	if h.current.Revision <= revision {
		return Delta{}, false
	}
	for i, delta := range h.deltas {
		if delta.From == revision {
			return mergeDeltas(h.deltas[i:]), true
		}
	}
	return Difference(Document{}, h.current), true
}

// mergeDeltas combines consecutive deltas into one.
func mergeDeltas(deltas []Delta) Delta {
	merged := deltas[0]
	for _, delta := range deltas[1:] {
		merged.To = delta.To
		merged.RequestID = delta.RequestID
		merged.Services = mergeEntries(merged.Services, delta.Services)
		merged.JobKinds = mergeEntries(merged.JobKinds, delta.JobKinds)
		merged.Callers = mergeEntries(merged.Callers, delta.Callers)
		merged.Drains = mergeEntries(merged.Drains, delta.Drains)
		merged.Objectives = mergeEntries(merged.Objectives, delta.Objectives)
	}
	return merged
}

func mergeEntries[T any](earlier, later map[string]*T) map[string]*T {
	if len(later) == 0 {
		return earlier
	}
	entries := make(map[string]*T, len(earlier)+len(later))
	maps.Copy(entries, earlier)
	maps.Copy(entries, later)
	return entries
}
