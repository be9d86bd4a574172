package rattanstandin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

// MaxLeaseDuration bounds leases.
const MaxLeaseDuration = time.Hour

// store is the key-value state of the platform. Deleted keys stay as entries
// without a value, so that watches see them.
type store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]rattanplatform.Entry
	leases   map[int64]*lease
	// leaseID is the ID of the last lease.
	leaseID int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	closed  bool
}

// lease is a lease that is not expired.
type lease struct {
	duration time.Duration
	expiry   time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

func newStore() *store {
	return &store{
		entries: map[string]rattanplatform.Entry{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

func (s *store) get(key string) (rattanplatform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok || entry.Deleted {
		return rattanplatform.Entry{}, errors.Trace(rattanplatform.ErrNotFound)
	}
	return entry, nil
}

// put writes a key and returns its revision. With ErrConflict it returns the
// revision that the key has.
func (s *store) put(key string, value []byte, ifRevision, leaseID int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(key, ifRevision); err != nil {
		return s.keyRevision(key), err
	}
	bound := s.leases[leaseID]
	if leaseID != rattanplatform.NoLease && bound == nil {
		return 0, errors.WithType(errors.Errorf("lease %d", leaseID), rattanplatform.ErrNotFound)
	}
	s.unbind(key)
	if bound != nil {
		bound.keys[key] = struct{}{}
	}
	s.write(rattanplatform.Entry{Key: key, Value: value, Lease: leaseID})
	return s.revision, nil
}

// remove deletes a key. With ErrConflict it returns the revision that the key
// has.
func (s *store) remove(key string, ifRevision int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyRevision(key) == rattanplatform.NoRevision {
		return 0, errors.Trace(rattanplatform.ErrNotFound)
	}
	if err := s.check(key, ifRevision); err != nil {
		return s.keyRevision(key), err
	}
	s.unbind(key)
	s.write(rattanplatform.Entry{Key: key, Deleted: true})
	return s.revision, nil
}

func (s *store) check(key string, ifRevision int64) error {
	if ifRevision != rattanplatform.AnyRevision && ifRevision != s.keyRevision(key) {
		return errors.Trace(rattanplatform.ErrConflict)
	}
	return nil
}

// keyRevision returns the revision of a key, or NoRevision.
func (s *store) keyRevision(key string) int64 {
	if entry, ok := s.entries[key]; ok && !entry.Deleted {
		return entry.Revision
	}
	return rattanplatform.NoRevision
}

// write stores an entry under the next revision and wakes the watches.
func (s *store) write(entry rattanplatform.Entry) {
	s.revision++
	entry.Revision = s.revision
	s.entries[entry.Key] = entry
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// unbind removes a key from its lease.
func (s *store) unbind(key string) {
	if bound := s.leases[s.entries[key].Lease]; bound != nil {
		delete(bound.keys, key)
	}
}

// changes returns the changes of a prefix after a revision, and a channel that
// is closed at the next change of any key.
func (s *store) changes(prefix string, after int64) (rattanplatform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := rattanplatform.Changes{Revision: s.revision}
	for key, entry := range s.entries {
		known := entry.Revision <= after || (entry.Deleted && after == 0)
		if !known && strings.HasPrefix(key, prefix) {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	slices.SortFunc(changes.Entries, func(a, b rattanplatform.Entry) int {
		return int(a.Revision - b.Revision)
	})
	return changes, s.changed
}

func (s *store) grant(now time.Time, duration time.Duration) rattanplatform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	id := s.leaseID
	granted := &lease{duration: duration, expiry: now.Add(duration), keys: map[string]struct{}{}}
	granted.timer = time.AfterFunc(duration, func() { s.expire(id) })
	s.leases[id] = granted
	return rattanplatform.Lease{ID: id, Duration: rattanjson.Duration(duration)}
}

func (s *store) renew(now time.Time, id int64) (rattanplatform.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	renewed := s.leases[id]
	if renewed == nil {
		return rattanplatform.Lease{}, errors.Trace(rattanplatform.ErrNotFound)
	}
	renewed.expiry = now.Add(renewed.duration)
	renewed.timer.Reset(renewed.duration)
	return rattanplatform.Lease{ID: id, Duration: rattanjson.Duration(renewed.duration)}, nil
}

// expire deletes the keys of a lease. It does nothing when the lease was
// renewed while the timer fired.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := s.leases[id]
	if s.closed || expired == nil || time.Now().Before(expired.expiry) {
		return
	}
	delete(s.leases, id)
	for key := range expired.keys {
		s.write(rattanplatform.Entry{Key: key, Deleted: true})
	}
}

// close stops the timers of all leases.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, granted := range s.leases {
		granted.timer.Stop()
	}
}
