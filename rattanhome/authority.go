package rattanhome

import "time"

// maxPause is the time between two events of a home from which on it counts as
// paused. Events are at most idleTickInterval apart, and another instance takes
// over only after a longer silence.
const maxPause = 400 * time.Millisecond

// backlogHold is how long a home gives no orders after a pause, at the least. It
// reads meanwhile what others have sent during the pause: callers have left, or
// another home has taken over.
const backlogHold = 100 * time.Millisecond

// authority tells whether a home that was paused is still the home of its
// targets. Another one may have taken over meanwhile, and only some targets may
// have heard of it, so all must be asked.
type authority struct {
	// lastEvent is the time of the last event, lastSuspended for how long the steady
	// clock had stood still then. resumedAt is the end of the last pause, zero if
	// the authority was confirmed since.
	lastEvent     time.Time
	lastSuspended time.Duration
	resumedAt     time.Time
	// confirmed contains the targets that have answered a request made after
	// resumedAt.
	confirmed map[string]bool
}

// observe records an event and reports whether the home was paused before it. The
// steady clock may stand still while a machine is suspended, for longer and longer in
// all. The time of day does not, but may be set back.
func (a *authority) observe(now time.Time, suspended time.Duration) bool {
	last := a.lastEvent
	steady := now.Sub(last) + suspended - a.lastSuspended
	a.lastEvent, a.lastSuspended = now, suspended
	if last.IsZero() || max(steady, now.Round(0).Sub(last.Round(0))) <= maxPause {
		return false
	}
	a.resumedAt = now
	a.confirmed = map[string]bool{}
	return true
}

// uncertain reports whether another home may have taken over.
func (a *authority) uncertain() bool {
	return !a.resumedAt.IsZero()
}

// awaits reports whether the answer of a target is still missing.
func (a *authority) awaits(targetID string) bool {
	return a.uncertain() && !a.confirmed[targetID]
}

// confirm records that a target has accepted a request of this home that was
// made at sentAt.
func (a *authority) confirm(targetID string, sentAt time.Time) {
	if a.uncertain() && !sentAt.Before(a.resumedAt) {
		a.confirmed[targetID] = true
	}
}

// settle ends the uncertainty if all responsive targets have answered and
// backlogHold is over, and reports whether it has ended.
func (a *authority) settle(responsive []string, now time.Time) bool {
	if !a.uncertain() || len(responsive) == 0 || now.Sub(a.resumedAt) < backlogHold {
		return false
	}
	for _, id := range responsive {
		if !a.confirmed[id] {
			return false
		}
	}
	a.resumedAt = time.Time{}
	a.confirmed = nil
	return true
}

// now returns the present time. After a pause, the home gives no orders until its
// targets have confirmed that they follow it. The status of the zone's evacuation applies
// from then on. The caller holds the mutex.
func (h *Home) now() time.Time {
	now := h.config.Clock()
	if !h.closed && h.authority.observe(now, h.suspended()) {
		h.scheduler.SetHeld(true, now)
		for _, l := range h.renewers {
			l.requestRelist()
		}
	}
	h.applyEvacuation(now)
	return now
}

// suspended returns for how long the steady clock of this machine has stood still.
func (h *Home) suspended() time.Duration {
	if h.config.Suspended == nil {
		return 0
	}
	return h.config.Suspended()
}

// settleAuthority lets the home give orders again once all targets that answer
// have confirmed that they follow it. The caller holds the mutex.
func (h *Home) settleAuthority(now time.Time) {
	if !h.authority.uncertain() {
		return
	}
	var responsive []string
	for id, l := range h.renewers {
		if l.unresponsiveSince.IsZero() && !l.expiresAt.IsZero() {
			responsive = append(responsive, id)
		}
	}
	if h.authority.settle(responsive, now) {
		h.scheduler.SetHeld(false, now)
	}
}
