package rattanzone

import (
	"sync"
	"time"
)

// freshness tells whether this instance has compared its desired state with another
// one since it was last paused. It is safe for concurrent use.
type freshness struct {
	mutex sync.Mutex
	// tickedAt is when the heartbeat loop last ran, resumedAt when it last noticed
	// a pause, zero once a comparison that has begun since was complete.
	tickedAt  time.Time
	resumedAt time.Time
}

// tick records that the heartbeat loop runs, and reports whether this instance was
// paused before.
func (f *freshness) tick(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	paused := f.pausedBefore(now)
	if paused {
		f.resumedAt = now
	}
	f.tickedAt = now
	return paused
}

// pausedBefore reports whether the heartbeat loop has not run for so long that this
// instance must have been paused. The caller holds the mutex.
func (f *freshness) pausedBefore(now time.Time) bool {
	return !f.tickedAt.IsZero() && now.Sub(f.tickedAt) > silenceTimeout
}

// compared records a comparison, begun at that time, that brought no newer version,
// and reports whether it was the first one since a pause.
func (f *freshness) compared(begunAt time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.resumedAt.IsZero() || begunAt.Before(f.resumedAt) {
		return false
	}
	f.resumedAt = time.Time{}
	return true
}

// current reports whether there was a comparison since the last pause.
func (f *freshness) current(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.resumedAt.IsZero() && !f.pausedBefore(now)
}

// recentlyPaused reports whether this instance was paused without a comparison since,
// unless it has noticed that longer ago than the limit.
func (f *freshness) recentlyPaused(now time.Time, limit time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.pausedBefore(now) || !f.resumedAt.IsZero() && now.Sub(f.resumedAt) < limit
}

// Tick implements DesiredStateStore.
func (w *DesiredStateWatcher) Tick(now time.Time) (paused bool) {
	return w.freshness.tick(now)
}

// Compared implements DesiredStateStore.
func (w *DesiredStateWatcher) Compared(begunAt time.Time) {
	w.freshness.compared(begunAt)
}

// Current reports whether the state in force was compared with that of another
// instance or of the store since this instance was last paused.
func (w *DesiredStateWatcher) Current(now time.Time) bool {
	return w.freshness.current(now)
}
