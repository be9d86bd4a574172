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

// MaxLeaseDuration is the maximum duration of a lease.
const MaxLeaseDuration = time.Hour

// store is the key-value store of the platform. Deleted keys are kept as entries
// without a value, so that watches report the deletion.
type store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]rattanplatform.Entry
	leases   map[int64]*lease
	// lastLeaseID is the ID of the lease granted last.
	lastLeaseID int64
	// changed is closed and replaced on each change.
	changed chan struct{}
	closed  bool
}

// lease is a lease that has not expired.
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

// put writes a key and returns its new revision. On ErrConflict it returns the
// current revision of the key.
func (s *store) put(key string, value []byte, ifRevision, leaseID int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRevision(key, ifRevision); err != nil {
		return s.keyRevision(key), err
	}
	newLease := s.leases[leaseID]
	if leaseID != rattanplatform.NoLease && newLease == nil {
		return 0, errors.WithType(errors.Errorf("lease %d", leaseID), rattanplatform.ErrNotFound)
	}
	s.detachLease(key)
	if newLease != nil {
		newLease.keys[key] = struct{}{}
	}
	s.write(rattanplatform.Entry{Key: key, Value: value, Lease: leaseID})
	return s.revision, nil
}

// remove deletes a key and returns the revision of the deletion. On ErrConflict
// it returns the current revision of the key.
func (s *store) remove(key string, ifRevision int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyRevision(key) == rattanplatform.NoRevision {
		return 0, errors.Trace(rattanplatform.ErrNotFound)
	}
	if err := s.checkRevision(key, ifRevision); err != nil {
		return s.keyRevision(key), err
	}
	s.detachLease(key)
	s.write(rattanplatform.Entry{Key: key, Deleted: true})
	return s.revision, nil
}

func (s *store) checkRevision(key string, ifRevision int64) error {
	if ifRevision != rattanplatform.AnyRevision && ifRevision != s.keyRevision(key) {
		return errors.Trace(rattanplatform.ErrConflict)
	}
	return nil
}

// keyRevision returns the revision of a key, or NoRevision if it does not exist.
func (s *store) keyRevision(key string) int64 {
	if entry, ok := s.entries[key]; ok && !entry.Deleted {
		return entry.Revision
	}
	return rattanplatform.NoRevision
}

// write stores an entry with the next revision and notifies the watches.
func (s *store) write(entry rattanplatform.Entry) {
	s.revision++
	entry.Revision = s.revision
	s.entries[entry.Key] = entry
	s.notifyWatches()
}

func (s *store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// detachLease removes a key from its lease.
func (s *store) detachLease(key string) {
	if current := s.leases[s.entries[key].Lease]; current != nil {
		delete(current.keys, key)
	}
}

// changes returns the entries under a prefix that changed after a revision, and a
// channel that is closed on the next change of any key.
func (s *store) changes(prefix string, after int64) (rattanplatform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := rattanplatform.Changes{Revision: s.revision}
	for key, entry := range s.entries {
		excluded := entry.Revision <= after || (entry.Deleted && after == 0)
		if !excluded && strings.HasPrefix(key, prefix) {
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
	s.lastLeaseID++
	id := s.lastLeaseID
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

// expire ends a lease and deletes its keys. It does nothing if the lease was
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
