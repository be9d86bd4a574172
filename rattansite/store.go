// Package rattansite is a small stand-in of the users' platform for tests: a
// metadata store and targets that speak the published protocol over loopback,
// with faults that a test sets, and a watch over the promises that callers and
// targets can see.
package rattansite

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Outage is how the store fails.
type Outage int

// Outages of the store.
const (
	// OutageNone says that the store serves.
	OutageNone Outage = iota
	// Busy says that it refuses all calls.
	Busy
	// OutageSilent says that it answers nothing.
	OutageSilent
	// Lossy says that it carries writes out and does not answer them.
	Lossy
)

// silentTime is how long a silent call is kept open.
const silentTime = 3 * time.Second

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	lifetime time.Duration
	timer    *time.Timer
}

// Store is a stand-in of the metadata store. It is safe for concurrent use.
type Store struct {
	server *http.Server
	addr   string

	mutex    sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// kept is the revision up to which history was discarded.
	kept    int64
	leases  map[int64]*storeLease
	changed chan struct{}
	outage  Outage
	calls   int
}

// NewStore starts a store on an address of the loopback network.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Store{
		addr:     listener.Addr().String(),
		revision: 100,
		items:    map[string]storeItem{},
		leases:   map[int64]*storeLease{},
		changed:  make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string {
	return s.addr
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// SetOutage sets how the store fails from now on.
func (s *Store) SetOutage(outage Outage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outage = outage
}

// Compact discards the history and cuts all watches.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.kept = s.revision
	s.notify()
}

// Put writes a key as the operator or a target does.
func (s *Store) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Annotatef(err, "key %s", key)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, data, 0)
	return nil
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(key)
}

func (s *Store) write(key string, value []byte, lease int64) {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	outage := s.outage
	s.mutex.Unlock()
	switch {
	case outage == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case outage == OutageSilent:
		hang(r)
		return
	case outage == Lossy && r.Method == http.MethodPost:
		s.serve(discard{}, r)
		hang(r)
		return
	}
	s.serve(w, r)
}

// hang keeps a call open without an answer and then breaks its connection.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(silentTime):
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.get(w, r)
	case path == "/api/kv-range":
		s.rangeItems(w, r)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.transact(w, r)
	case path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.endLease(w, strings.TrimPrefix(path, "/api/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		StoreRevision int64 `json:"store_revision"`
	}{item, revision})
}

// pageItems is small so that tests meet several pages.
const pageItems = 20

func (s *Store) rangeItems(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, struct {
		Items         []storeItem `json:"items"`
		HasMore       bool        `json:"has_more"`
		StoreRevision int64       `json:"store_revision"`
	}{items, more, revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		if after < s.kept {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, struct {
				Events        []storeItem `json:"events"`
				StoreRevision int64       `json:"store_revision"`
			}{events, revision})
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []storeItem `json:"expect"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, expected := range body.Expect {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, write := range body.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range body.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Millis int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	id := s.revision
	lifetime := time.Duration(body.Millis) * time.Millisecond
	s.leases[id] = &storeLease{lifetime: lifetime, timer: time.AfterFunc(lifetime, func() { s.expire(id) })}
	writeJSON(w, struct {
		Lease  int64 `json:"lease"`
		Millis int64 `json:"ttl_ms"`
	}{id, body.Millis})
}

func (s *Store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.timer.Reset(lease.lifetime)
	writeJSON(w, struct {
		Millis int64 `json:"ttl_ms"`
	}{lease.lifetime.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.expire(id)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) expire(id int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		return
	}
	lease.timer.Stop()
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write that fails means that the caller is gone.
	_ = json.NewEncoder(w).Encode(value)
}

// discard is a response writer for answers that are lost.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}
