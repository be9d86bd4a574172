package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Bounds of the platform, as its pages state them for the first sites.
const (
	maxHold       = time.Second
	gangTimeout   = 3 * time.Second
	stopTime      = 20 * time.Millisecond
	checkpointAge = 200 * time.Millisecond
	heartbeat     = 500 * time.Millisecond
	maxListedEnds = 500
)

type resources struct {
	CPU int `json:"cpu,omitempty"`
	Mem int `json:"mem_mb,omitempty"`
	GPU int `json:"gpu,omitempty"`
}

func (r resources) add(o resources) resources {
	return resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

func (r resources) over(o resources) bool { return r.CPU > o.CPU || r.Mem > o.Mem || r.GPU > o.GPU }

// run is a run of a task on a worker.
type run struct {
	worker     *worker
	task       *task
	attempt    int
	startedAt  time.Time
	timer      *time.Timer
	outcome    string
	checkpoint string
	done       time.Duration
	working    time.Time
	stopping   bool
}

type endEntry struct {
	seq        int64
	task       string
	attempt    int
	how, saved string
}

// worker is a stand-in of a worker that follows the users' pages.
type worker struct {
	site     *site
	id, zone string
	service  string
	address  string

	labels   []string
	capacity resources
	born     int64
	start    time.Time
	token    int64
	expires  time.Time
	lapse    *time.Timer
	runs     map[string]*run
	highest  map[string]int
	ends     []endEntry
	seq      int64
	beats    int64
	changed  chan struct{}
	down     bool
	dark     bool
	draining bool
	drainAt  time.Time
	gone     bool
	late     float64
	lost     float64
	silentTo int64
	failAll  bool
	slow     float64

	// life counts the lives of the worker. A channel belongs to the life in which it
	// was opened.
	life     atomic.Int64
	server   *http.Server
	listener net.Listener
	conns    map[net.Conn]bool
}

// lifeListener marks the channels that it accepts with the worker's life.
type lifeListener struct {
	net.Listener
	worker *worker
}

func (l *lifeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lifeConn{Conn: conn, worker: l.worker, life: l.worker.life.Load()}, nil
}

// lifeConn is a channel of one life. A machine that has lost power knows nothing of it
// later: it is silent, and what arrives on it is answered with a reset.
type lifeConn struct {
	net.Conn
	worker *worker
	life   int64
}

func (c *lifeConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.worker.life.Load() != c.life {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		return 0, io.EOF
	}
	return n, err
}

func (c *lifeConn) Write(buffer []byte) (int, error) {
	if c.worker.life.Load() != c.life {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

func newWorker(s *site, id, zone, service string, labels []string, capacity resources) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{site: s, id: id, zone: zone, service: service, labels: labels, capacity: capacity, address: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}}
	s.mutex.Lock()
	w.reset()
	s.mutex.Unlock()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second, ConnState: w.track}
	go func() { _ = w.server.Serve(&lifeListener{listener, w}) }()
	go w.beat()
	return w
}

func (w *worker) reset() {
	w.start = time.Now()
	w.born = max(time.Now().UnixMilli(), w.born+1)
	w.token, w.seq, w.beats = 0, 0, 0
	w.expires = time.Time{}
	w.runs, w.highest, w.ends = map[string]*run{}, map[string]int{}, nil
	w.changed = make(chan struct{})
}

func (w *worker) track(conn net.Conn, state http.ConnState) {
	w.site.mutex.Lock()
	defer w.site.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(w.conns, conn)
	} else {
		w.conns[conn] = true
	}
}

func (w *worker) beat() {
	for {
		w.site.mutex.Lock()
		gone, absent := w.gone, w.down || w.dark
		w.site.mutex.Unlock()
		if gone {
			return
		}
		if !absent {
			w.writeEntry()
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) writeEntry() {
	w.site.mutex.Lock()
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "labels": w.labels, "born": w.born, "seq": w.beats, "capacity": w.capacity,
	}
	w.site.mutex.Unlock()
	_ = w.site.deployment.Store.Put("servers/"+w.id, entry)
	w.site.mutex.Lock()
	if w.draining && w.drainAt.IsZero() {
		w.drainAt = time.Now()
	}
	w.site.mutex.Unlock()
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.start).Milliseconds() }

type order struct {
	Task       string  `json:"task"`
	Attempt    int     `json:"attempt"`
	Spec       string  `json:"spec"`
	Expires    int64   `json:"expires_ms"`
	Token      int64   `json:"fencing_token"`
	Ack        int64   `json:"ack_seq"`
	Wait       int64   `json:"wait_ms"`
	Checkpoint *string `json:"checkpoint"`
	path       string
}

func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(8 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	o.path = r.URL.Path
	m := &w.site.mutex
	m.Lock()
	dark, late, lost, silent := w.dark || w.down, w.late, w.lost, w.silentTo
	m.Unlock()
	if dark || silent != 0 && o.Token%4096 == silent {
		hang(r)
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < late {
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() { w.executeLate(o) })
		hang(r)
	}
	m.Lock()
	body, status, wait := w.execute(o, false)
	changed, born := w.changed, w.born
	m.Unlock()
	if wait && o.Wait > 0 {
		timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		m.Lock()
		if w.born != born || w.down || w.dark {
			m.Unlock()
			hang(r)
		}
		body = w.listing()
		m.Unlock()
	} else if wait {
		m.Lock()
		body = w.listing()
		m.Unlock()
	}
	if rand.Float64() < lost {
		hang(r)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	data, _ := json.Marshal(body)
	_, _ = rw.Write(data)
}

func (w *worker) executeLate(o order) {
	w.site.mutex.Lock()
	defer w.site.mutex.Unlock()
	if !w.down && !w.dark && !w.gone {
		w.execute(o, true)
	}
}

func (w *worker) answer() map[string]any {
	return map[string]any{"clock_ms": w.clock(), "born": w.born}
}

func (w *worker) refuse(reason string) (map[string]any, int, bool) {
	a := w.answer()
	a["reason"] = reason
	return a, http.StatusConflict, false
}

// execute carries out an order. The caller holds the mutex. The last result is set if the
// answer is a listing.
func (w *worker) execute(o order, late bool) (map[string]any, int, bool) {
	if o.Token < w.token {
		return w.refuse("fence")
	}
	w.token = o.Token
	switch o.path {
	case "/api/hold":
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.seq > o.Ack {
				kept = append(kept, e)
			}
		}
		w.ends = kept
		w.extend(o.Expires)
		if len(w.ends) > 0 {
			return w.listing(), http.StatusOK, false
		}
		return nil, http.StatusOK, true
	case "/api/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if r, ok := w.runs[o.Task]; ok && r.attempt <= o.Attempt && !r.stopping {
			r.stopping = true
			time.AfterFunc(rand.N(stopTime), func() {
				w.site.mutex.Lock()
				defer w.site.mutex.Unlock()
				w.end(r, "stopped")
			})
		}
		return w.answer(), http.StatusOK, false
	case "/api/run-start":
		w.extend(o.Expires)
		return w.startRun(o, late)
	}
	return w.answer(), http.StatusNotFound, false
}

func (w *worker) extend(expires int64) {
	remaining := min(time.Duration(expires-w.clock())*time.Millisecond, maxHold)
	until := time.Now().Add(remaining)
	if remaining <= 0 || until.Before(w.expires) {
		return
	}
	w.expires = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	start := w.start
	w.lapse = time.AfterFunc(remaining, func() {
		w.site.mutex.Lock()
		defer w.site.mutex.Unlock()
		if w.start != start || time.Now().Before(w.expires) {
			return
		}
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) startRun(o order, late bool) (map[string]any, int, bool) {
	r, ok := w.runs[o.Task]
	switch {
	case ok && r.attempt == o.Attempt:
		return w.answer(), http.StatusOK, false
	case ok || o.Attempt <= w.highest[o.Task]:
		return w.refuse("old")
	case o.Expires <= w.clock():
		return w.refuse("late")
	}
	t := w.site.judge.start(w, o, late)
	if t == nil {
		return w.answer(), http.StatusBadRequest, false
	}
	r = &run{worker: w, task: t, attempt: o.Attempt, startedAt: time.Now()}
	if o.Checkpoint != nil {
		r.checkpoint = *o.Checkpoint
	}
	w.runs[o.Task] = r
	t.runs[r] = true
	if t.step.Gang {
		w.site.joinGang(r)
	} else {
		w.work(r)
	}
	return w.answer(), http.StatusOK, false
}

// work lets a run work from now on.
func (w *worker) work(r *run) {
	r.working = time.Now()
	duration := time.Duration(float64(r.task.duration-r.task.progress[r.checkpoint]) * max(1, w.slow))
	how := "done"
	if w.failAll || rand.Float64() < r.task.failRate {
		how, duration = "failed", duration/2
	}
	r.timer = time.AfterFunc(max(duration, time.Millisecond), func() {
		w.site.mutex.Lock()
		defer w.site.mutex.Unlock()
		w.end(r, how)
	})
}

// save returns the checkpoint of a run that works.
func (r *run) save() string {
	if !r.task.step.Saves || r.working.IsZero() {
		return r.checkpoint
	}
	worked := time.Since(r.working).Truncate(checkpointAge) + r.task.progress[r.checkpoint]
	value := fmt.Sprintf("%s@%d", r.task.group(), worked.Milliseconds())
	for _, member := range r.task.members() {
		member.progress[value] = worked
	}
	return value
}

// end ends a run. The caller holds the mutex.
func (w *worker) end(r *run, how string) {
	if w.runs[r.task.name] != r {
		return
	}
	delete(w.runs, r.task.name)
	delete(r.task.runs, r)
	saved := r.save()
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highest[r.task.name] = max(w.highest[r.task.name], r.attempt)
	w.seq++
	w.ends = append(w.ends, endEntry{w.seq, r.task.name, r.attempt, how, saved})
	w.site.judge.end(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.task.step.Gang {
		w.site.leaveGang(r, how)
	}
}

func (w *worker) listing() map[string]any {
	a := w.answer()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 0
		if !r.working.IsZero() {
			percent = int(min(99, 100*time.Since(r.working)/max(1, r.task.duration)))
		}
		running = append(running, []any{r.task.name, r.attempt, r.save(), percent, r.task.step.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.seq, e.task, e.attempt, e.how, e.saved})
	}
	a["running"], a["finished"] = running, finished
	return a
}

// crash ends all runs without a listing. A dark worker refuses no connection.
func (w *worker) crash(dark bool) {
	m := &w.site.mutex
	m.Lock()
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		delete(r.task.runs, r)
		w.site.judge.end(w, r, "crashed")
		if r.task.step.Gang {
			w.site.leaveGang(r, "crashed")
		}
	}
	w.runs = map[string]*run{}
	w.down, w.dark = true, dark
	w.life.Add(1)
	conns := w.conns
	w.conns = map[net.Conn]bool{}
	listener := w.listener
	m.Unlock()
	if !dark {
		_ = listener.Close()
		for c := range conns {
			_ = c.Close()
		}
	}
}

// back starts another life of the worker, of another kind if change is set.
func (w *worker) back(change func(*worker)) {
	m := &w.site.mutex
	m.Lock()
	if w.gone {
		m.Unlock()
		return
	}
	dark := w.dark
	// The machine knows nothing of the channels of before.
	w.life.Add(1)
	m.Unlock()
	if !dark {
		for {
			listener, err := net.Listen("tcp", w.address)
			if err == nil {
				m.Lock()
				w.listener = listener
				m.Unlock()
				go func() { _ = w.server.Serve(&lifeListener{listener, w}) }()
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	m.Lock()
	w.reset()
	w.down, w.dark, w.draining, w.drainAt = false, false, false, time.Time{}
	if change != nil {
		change(w)
	}
	m.Unlock()
	w.writeEntry()
}

func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.labels, label) }
