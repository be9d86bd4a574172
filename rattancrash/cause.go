package rattancrash

import (
	"slices"
	"time"
)

// causeWindow is the time between two restarts within which one cause is assumed
// for both.
const causeWindow = 5 * time.Second

// listRestart adds a loss to the list of restarts if its target went down. The
// caller holds the mutex.
func (h *History) listRestart(r *record) {
	if r.isRestart || (!r.refused && r.proof != Crashed) {
		return
	}
	r.isRestart = true
	h.restarts = append(h.restarts, r)
}

// hasOtherCause reports whether a crash is not held against its task. A target that
// confirmed the run and went down while it could be reached crashed under it. If it
// had not confirmed the run, or was out of reach before, the run may not have been
// active: such a crash counts only if not both are true, and if no target on which
// the task was not lost went down like that at about the same time. The caller
// holds the mutex.
func (h *History) hasOtherCause(r *record) bool {
	if r.otherCause || (!r.unreachable && !r.unanswered) {
		return r.otherCause
	}
	r.otherCause = (r.unreachable && r.unanswered) || slices.ContainsFunc(h.restarts, func(other *record) bool {
		return h.records[other.lossKey] == other &&
			other.proof != Alive &&
			(other.unreachable || r.unanswered) &&
			other.endedAt.Sub(r.endedAt).Abs() <= causeWindow &&
			h.records[lossKey{r.task, other.incarnation}] == nil
	})
	return r.otherCause
}
