package rattancancel

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of Save.
const (
	// ErrNotSaved reports that the store does not answer. The saver tries again.
	ErrNotSaved = errors.ConstError("cancellation is not saved yet")
	// ErrTooMany reports that the store takes too few cancellations.
	ErrTooMany = errors.ConstError("too many cancellations to save")
)

const (
	// saveInterval is the least time between two writes.
	saveInterval = 100 * time.Millisecond
	// saveRetryInterval is the same after a failed write.
	saveRetryInterval = time.Second
	// maxBatch bounds the number of cancellations in one write, maxUnsaved that of
	// those that wait for one.
	maxBatch   = 2000
	maxUnsaved = 32_768
)

// Store keeps cancellations while no instance is running.
type Store interface {
	Save(ctx context.Context, batch []Cancellation, now time.Time) error
}

// SaverJournal records failures of the store.
type SaverJournal interface {
	// CancellationsNotSaved reports the first failure of several.
	CancellationsNotSaved(err error)
}

// SaverConfig configures a Saver.
type SaverConfig struct {
	Store   Store
	Journal SaverJournal
	Clock   func() time.Time
}

// unsaved is a cancellation that waits to be written.
type unsaved struct {
	cancellation Cancellation
	addedAt      time.Time
	// done is closed after the first attempt to write it, whose error is err.
	done chan struct{}
	err  error
}

// Saver writes the cancellations of an instance to the store, all that come within
// saveInterval in one write. It is safe for concurrent use.
type Saver struct {
	config SaverConfig

	mutex   sync.Mutex
	waiting []*unsaved
	// writing is set while a goroutine writes, failing after a failed write.
	writing, failing bool
}

// NewSaver returns a saver.
func NewSaver(config SaverConfig) *Saver {
	return &Saver{config: config}
}

// Save returns once the cancellation is in the store. If it returns an error, the
// cancellation may be written later, unless that is ErrTooMany.
func (s *Saver) Save(ctx context.Context, cancellation Cancellation, now time.Time) error {
	entry, failing := s.add(cancellation, now)
	switch {
	case entry == nil:
		return ErrTooMany
	case failing:
		return ErrNotSaved
	}
	select {
	case <-entry.done:
		return entry.err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// add adds a cancellation to those that wait, and reports whether the last write has
// failed. It returns nil if too many wait.
func (s *Saver) add(cancellation Cancellation, now time.Time) (entry *unsaved, failing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) >= maxUnsaved {
		return nil, s.failing
	}
	entry = &unsaved{cancellation: cancellation, addedAt: now, done: make(chan struct{})}
	s.waiting = append(s.waiting, entry)
	if !s.writing {
		s.writing = true
		go s.write()
	}
	return entry, s.failing
}

// write writes until nothing waits.
func (s *Saver) write() {
	for {
		batch := s.take(s.config.Clock())
		if len(batch) == 0 {
			return
		}
		list := make([]Cancellation, len(batch))
		for i, entry := range batch {
			list[i] = entry.cancellation
		}
		err := s.config.Store.Save(context.Background(), list, s.config.Clock())
		s.finish(batch, err)
		if err != nil {
			time.Sleep(saveRetryInterval)
		} else {
			time.Sleep(saveInterval)
		}
	}
}

// take returns what the next write saves. Nothing is left to do once it is empty.
func (s *Saver) take(now time.Time) []*unsaved {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.waiting) > 0 && now.Sub(s.waiting[0].addedAt) > Retention {
		s.waiting = s.waiting[1:]
	}
	batch := s.waiting[:min(len(s.waiting), maxBatch)]
	s.writing = len(batch) > 0
	return batch
}

// finish removes a batch that was written.
func (s *Saver) finish(batch []*unsaved, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil && !s.failing {
		s.config.Journal.CancellationsNotSaved(err)
	}
	s.failing = err != nil
	if err == nil {
		s.waiting = s.waiting[len(batch):]
	}
	for _, entry := range batch {
		select {
		case <-entry.done:
		default:
			if err != nil {
				entry.err = errors.WithType(err, ErrNotSaved)
			}
			close(entry.done)
		}
	}
}
