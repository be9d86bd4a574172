package rattancancel_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancancel"
)

const errAway = errors.ConstError("store is away")

// fakeStore counts writes, takes a moment for each, and may be away.
type fakeStore struct {
	mutex    sync.Mutex
	away     bool
	writes   int
	saved    map[string]int
	failures int
}

func (s *fakeStore) Save(_ context.Context, batch []rattancancel.Cancellation, _ time.Time) error {
	time.Sleep(5 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
	if s.away {
		return errAway
	}
	for _, cancellation := range batch {
		s.saved[cancellation.JobID]++
	}
	return nil
}

func (s *fakeStore) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
}

func (s *fakeStore) CancellationsNotSaved(error) { s.failures++ }

func newSaver() (*rattancancel.Saver, *fakeStore) {
	store := &fakeStore{saved: map[string]int{}}
	return rattancancel.NewSaver(rattancancel.SaverConfig{Store: store, Journal: store, Clock: time.Now}), store
}

func save(s *rattancancel.Saver, number int) error {
	return s.Save(context.Background(), rattancancel.Cancellation{JobID: jobID(number)}, time.Now())
}

// TestSaverBatchesWrites guards against a number of writes that grows with that of the
// cancellations, and against one that counts as saved before it is.
func TestSaverBatchesWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 5000
		c := qt.New(t)
		saver, store := newSaver()
		var group sync.WaitGroup
		for number := range jobs {
			group.Go(func() {
				time.Sleep(time.Duration(number) * time.Millisecond)
				c.Check(save(saver, number), qt.IsNil)
				store.mutex.Lock()
				defer store.mutex.Unlock()
				c.Check(store.saved[jobID(number)], qt.Equals, 1)
			})
		}
		group.Wait()
		// The goroutine of the saver ends.
		time.Sleep(time.Second)
		c.Check(store.writes <= 51, qt.IsTrue, qt.Commentf("%d writes in 5 s", store.writes))
	})
}

// TestSaverWhileStoreIsAway guards against cancellations that wait for a store that
// does not answer, that are not saved once it does, or that take ever more memory.
func TestSaverWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		saver, store := newSaver()
		store.setAway(true)
		c.Check(save(saver, 0), qt.ErrorIs, rattancancel.ErrNotSaved)
		begunAt, refused := time.Now(), 0
		for number := 1; number < 40_000; number++ {
			err := save(saver, number)
			if errors.Is(err, rattancancel.ErrTooMany) {
				refused++
				continue
			}
			c.Assert(err, qt.ErrorIs, rattancancel.ErrNotSaved)
		}
		c.Check(refused, qt.Equals, 40_000-32_768)
		c.Check(time.Since(begunAt), qt.Equals, time.Duration(0))
		time.Sleep(10 * time.Second)
		c.Check(store.failures, qt.Equals, 1)
		c.Check(store.writes <= 11, qt.IsTrue, qt.Commentf("%d writes", store.writes))
		store.setAway(false)
		time.Sleep(10 * time.Second)
		c.Check(store.saved, qt.HasLen, 32_768)
		c.Check(save(saver, 0), qt.IsNil)

		store.setAway(true)
		c.Check(save(saver, 50_000), qt.ErrorIs, rattancancel.ErrNotSaved)
		time.Sleep(rattancancel.Retention + 2*time.Second)
		writes := store.writes
		time.Sleep(time.Minute)
		c.Check(store.writes, qt.Equals, writes, qt.Commentf("a cancellation that nobody needs any more is given up"))
	})
}
