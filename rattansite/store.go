// Package rattansite is a small fake of the users' platform for tests: a
// metadata store and targets that serve the published protocol over loopback,
// with injectable faults, and a checker of the guarantees that are visible to
// callers and targets.
package rattansite

import (
	"bytes"
	"context"
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

// Outage is a failure mode of the store.
type Outage int

// Failure modes of the store.
const (
	// OutageNone means that the store works normally.
	OutageNone Outage = iota
	// OutageRefusing means that the store refuses all calls with status 503.
	OutageRefusing
	// OutageSilent means that the store does not answer any call.
	OutageSilent
	// OutageLosingResponses means that the store executes writes but does not
	// answer them.
	OutageLosingResponses
)

// hangTime is how long a call without an answer is kept open.
const hangTime = 3 * time.Second

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

// Store is a fake metadata store. It is safe for concurrent use.
type Store struct {
	server  *http.Server
	address string

	mutex    sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// compactedRevision is the revision up to which the history has been
	// discarded.
	compactedRevision int64
	leases            map[int64]*storeLease
	// changed is closed and replaced at each change.
	changed chan struct{}
	outage  Outage
	// outages holds the failure modes of single addresses.
	outages map[string]Outage
	calls   int
	// connections is the number of connections opened so far. Those up to
	// silentConnections are not answered any more.
	connections       int
	silentConnections int
}

// connectionNumber is the key of a connection's number in the context of its
// requests.
type connectionNumber struct{}

// NewStore starts a store on a free port of the loopback interface.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Store{
		address:  listener.Addr().String(),
		revision: 100,
		items:    map[string]storeItem{},
		leases:   map[int64]*storeLease{},
		changed:  make(chan struct{}),
		outages:  map[string]Outage{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second, ConnContext: s.numberConnection}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string {
	return s.address
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// SetOutage sets the failure mode of the store.
func (s *Store) SetOutage(outage Outage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outage = outage
}

// Listen opens a further address of the store.
func (s *Store) Listen() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	go func() { _ = s.server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// SetOutageAt sets the failure mode of one address.
func (s *Store) SetOutageAt(address string, outage Outage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outages[address] = outage
}

// outageOf returns the failure mode that applies to a call.
func (s *Store) outageOf(r *http.Request) Outage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && s.outages[address.String()] != OutageNone {
		return s.outages[address.String()]
	}
	return s.outage
}

// SilenceConnections makes all open connections silent, while new ones work.
func (s *Store) SilenceConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silentConnections = s.connections
}

func (s *Store) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections++
	return context.WithValue(ctx, connectionNumber{}, s.connections)
}

// onSilentConnection reports whether a call came on a silent connection.
func (s *Store) onSilentConnection(r *http.Request) bool {
	number, ok := r.Context().Value(connectionNumber{}).(int)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return ok && number <= s.silentConnections
}

// Compact discards the history, which ends all watches from earlier revisions.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
	s.notifyChange()
}

// Put writes a key without a lease, as the operator or a target does. Writing
// the same value again is no change.
func (s *Store) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Annotatef(err, "key %s", key)
	}
	s.PutBytes(key, data)
	return nil
}

// PutBytes does the same for a value that is already encoded, or that cannot be
// decoded.
func (s *Store) PutBytes(key string, data []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if old, ok := s.items[key]; ok && bytes.Equal(old.Value, data) {
		return
	}
	s.write(key, data, 0)
}

// Value returns the value of a key, nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value
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
	s.notifyChange()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.notifyChange()
}

func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	s.mutex.Unlock()
	outage := s.outageOf(r)
	switch {
	case outage == OutageRefusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case outage == OutageSilent || s.onSilentConnection(r):
		hang(r)
		return
	case outage == OutageLosingResponses && r.Method == http.MethodPost:
		s.serve(discardResponse{}, r)
		hang(r)
		return
	}
	s.serve(w, r)
}

// hang keeps a call open without an answer and then closes its connection.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(hangTime):
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
		s.commit(w, r)
	case path == "/api/kv-lease":
		s.grantLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.renewLease(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.revokeLease(w, strings.TrimPrefix(path, "/api/kv-lease-end/"))
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

// pageSize is small so that range reads in tests take several pages.
const pageSize = 20

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
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
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
		if after < s.compactedRevision {
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
			if s.onSilentConnection(r) || s.outageOf(r) == OutageSilent {
				hang(r)
			}
			writeJSON(w, struct {
				Events        []storeItem `json:"events"`
				StoreRevision int64       `json:"store_revision"`
			}{events, revision})
			return
		}
	}
}

// commit executes a transaction: it checks the preconditions and leases, and
// then writes and removes the keys.
func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
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

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	s.leases[id] = &storeLease{lifetime: lifetime, timer: time.AfterFunc(lifetime, func() { s.removeLease(id) })}
	writeJSON(w, struct {
		Lease  int64 `json:"lease"`
		Millis int64 `json:"ttl_ms"`
	}{id, body.Millis})
}

func (s *Store) renewLease(w http.ResponseWriter, idText string) {
	id, _ := strconv.ParseInt(idText, 10, 64)
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

func (s *Store) revokeLease(w http.ResponseWriter, idText string) {
	id, _ := strconv.ParseInt(idText, 10, 64)
	s.removeLease(id)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) removeLease(id int64) {
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
	// A failed write means that the caller has left.
	_ = json.NewEncoder(w).Encode(value)
}

// discardResponse is a response writer for answers that do not reach the
// caller.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}
