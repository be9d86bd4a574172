package rattanzone

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattancancel"
)

const (
	// loadRetryInterval is the interval at which an instance that has started tries
	// to load the saved cancellations.
	loadRetryInterval = 100 * time.Millisecond
	// maxLoadTime is how long an instance that has started claims no zone before it
	// has loaded them.
	maxLoadTime = time.Second
)

// SavedCancellations loads the cancellations that instances have saved.
type SavedCancellations interface {
	Load(ctx context.Context) ([]rattancancel.Cancellation, error)
}

// cancellationLoop loads the saved cancellations once.
func (a *Agent) cancellationLoop() {
	failing := false
	for a.ctx.Err() == nil {
		list, err := a.config.SavedCancellations.Load(a.ctx)
		now := a.config.Clock()
		if err == nil {
			a.cancelJobs(a.config.Cancellations.Merge(list, now))
			a.mutex.Lock()
			a.cancellationsLoaded = true
			a.mutex.Unlock()
			return
		}
		if !failing && a.ctx.Err() == nil {
			a.config.Journal.CancellationsNotLoaded(err)
		}
		failing = true
		select {
		case <-a.ctx.Done():
		case <-time.After(loadRetryInterval):
		}
	}
}

// mayStartJobs reports whether this instance knows what was cancelled before it
// started, or has waited for that long enough. The caller holds the mutex.
func (a *Agent) mayStartJobs(now time.Time) bool {
	return a.config.SavedCancellations == nil || a.cancellationsLoaded || now.Sub(a.startedAt) >= maxLoadTime
}
