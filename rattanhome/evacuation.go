package rattanhome

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// EvacuationChanged applies a change of the set of evacuated zones at once.
func (h *Home) EvacuationChanged() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return
	}
	h.flush(h.now())
}

// evacuation returns whether tasks may start in the zone.
func (h *Home) evacuation(now time.Time) rattanwork.EvacuationStatus {
	if h.config.Evacuation == nil {
		return rattanwork.EvacuationNone
	}
	return h.config.Evacuation(now)
}

// applyEvacuation makes the scheduler follow the status of the zone. What it decides is
// carried out by the event or, if that carries out nothing, by the next tick. The caller
// holds the mutex.
func (h *Home) applyEvacuation(now time.Time) {
	status := h.evacuation(now)
	if h.closed || status == h.scheduler.Evacuation() {
		return
	}
	h.scheduler.SetEvacuation(status, now)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// admitStart reports whether a start request may still be sent: the zone may have been
// evacuated since the decision. A request that may not is dropped as not sent.
func (l *leaseRenewer) admitStart(request rattanwork.StartRequest, listed ListedStart) bool {
	h := l.home
	if h.config.Evacuation == nil {
		return true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return false
	}
	if h.scheduler.Evacuation() == rattanwork.EvacuationNone {
		return true
	}
	h.scheduler.StartDropped(l.targetID, request.Task, request.Attempt, now)
	h.unlistStart(listed, rattanwork.StartFenced, now)
	h.flush(now)
	return false
}
