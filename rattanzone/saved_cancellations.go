package rattanzone

import (
	"context"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattancancel"
)

const (
	// loadRetryInterval is the interval at which an instance that has started tries
	// to load the saved cancellations.
	loadRetryInterval = 100 * time.Millisecond
	// reloadInterval is the interval at which a home loads them again while it does
	// not hear another zone.
	reloadInterval = time.Second
	// maxLoadTime is how long an instance that has started claims no zone before it
	// has loaded them.
	maxLoadTime = time.Second
)

// SavedCancellations loads the cancellations that instances have saved.
type SavedCancellations interface {
	Load(ctx context.Context) ([]rattancancel.Cancellation, error)
}

// cancellationLoop loads the saved cancellations when this instance has started, and
// again while it is a home that may miss what other zones would tell it.
func (a *Agent) cancellationLoop() {
	loaded, failing := false, false
	for a.ctx.Err() == nil {
		var err error
		if !loaded || a.missesZone(a.config.Clock()) {
			err = a.loadCancellations()
			loaded = loaded || err == nil
		}
		if err != nil && !failing && a.ctx.Err() == nil {
			a.config.Journal.CancellationsNotLoaded(err)
		}
		failing = err != nil
		wait := reloadInterval
		if !loaded {
			wait = loadRetryInterval
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// loadCancellations adds the saved cancellations that this instance does not know.
func (a *Agent) loadCancellations() error {
	list, err := a.config.SavedCancellations.Load(a.ctx)
	if err != nil {
		return err
	}
	now := a.config.Clock()
	list = slices.DeleteFunc(list, func(c rattancancel.Cancellation) bool {
		_, known := a.config.Cancellations.Contains(c.JobID, now)
		return known
	})
	a.cancelJobs(a.config.Cancellations.Merge(list, now))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancellationsLoaded = true
	return nil
}

// missesZone reports whether this instance is a home and does not hear a zone that it
// heard so lately that a cancellation may be owed to it.
func (a *Agent) missesZone(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.localHome == nil {
		return false
	}
	for zone, home := range a.homes {
		if age := home.age(now); zone != a.config.Self.Zone && age > silenceTimeout && age < rattancancel.Retention {
			return true
		}
	}
	return false
}

// mayStartJobs reports whether this instance knows what was cancelled before it
// started, or has waited for that long enough. The caller holds the mutex.
func (a *Agent) mayStartJobs(now time.Time) bool {
	return a.config.SavedCancellations == nil || a.cancellationsLoaded || now.Sub(a.startedAt) >= maxLoadTime
}
