package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = time.Second
	// clockOffset keeps the clock of a worker apart from all others.
	clockOffset = 480_000
)

// runEvent is the start or the end of a run on a worker.
type runEvent struct {
	at      time.Time
	worker  string
	task    string
	attempt int
	// outcome is empty for a start.
	outcome string
}

// workRun is a run in progress.
type workRun struct {
	task    string
	attempt int
	since   time.Time
	length  time.Duration
	timer   *time.Timer
}

// worker is a sound worker that speaks the published protocol. The work of a task
// is the entry for its step in the job's spec: milliseconds, separated by commas.
type worker struct {
	id, zone, service string
	milliCPU          int
	store             *rattansite.Store
	record            *recorder
	server            *http.Server
	address           string
	born              time.Time

	mutex     sync.Mutex
	beats     int
	fence     int64
	leaseEnd  time.Time
	leaseStop *time.Timer
	runs      map[string]*workRun
	// settled holds the highest attempt of a task that was stopped or has ended.
	settled  map[string]int
	finished [][]any
	lastEnd  int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	events  []runEvent
	closed  chan struct{}
	// holdsStart is set if the next start gets no answer and is carried out only
	// once the worker has started again; heldStart is that start.
	holdsStart bool
	heldStart  *order
}

// newWorker starts a worker on a free port and registers it in the store.
func newWorker(id, zone, service string, milliCPU int, store *rattansite.Store, record *recorder) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, zone: zone, service: service, milliCPU: milliCPU, store: store, record: record,
		address: listener.Addr().String(), born: time.Now(),
		runs: map[string]*workRun{}, settled: map[string]int{}, changed: make(chan struct{}), closed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.heartbeat()
	return w, w.register()
}

// close ends the worker.
func (w *worker) close() {
	close(w.closed)
	_ = w.server.Close()
}

func (w *worker) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.closed:
			return
		case <-ticker.C:
			_ = w.register()
		}
	}
}

// register writes the entry of the worker.
func (w *worker) register() error {
	w.mutex.Lock()
	w.beats++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": w.capacity(), "labels": []string{"a", "r1-1"},
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "seq": w.beats,
	}
	w.mutex.Unlock()
	return w.store.Put("servers/"+w.id, entry)
}

func (w *worker) capacity() map[string]int {
	return map[string]int{"cpu": w.milliCPU, "mem_mb": 131072, "gpu": 0}
}

func (w *worker) clock() int64 {
	return clockOffset + time.Since(w.born).Milliseconds()
}

// order is the body of any call to a worker.
type order struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires_ms"`
	Fence   int64  `json:"fencing_token"`
	Ack     int64  `json:"ack_seq"`
	Wait    int64  `json:"wait_ms"`
}

// ServeHTTP carries out one call.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	var call order
	body, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(body, &call) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := request.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/api/run-start" && w.holdStart(&call) {
		<-request.Context().Done()
		return
	}
	status, reason := w.carryOut(request.URL.Path, &call)
	if status == http.StatusOK && request.URL.Path == "/api/hold" {
		w.list(response, request, &call)
		return
	}
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		answer["reason"] = reason
	}
	writeAnswer(response, status, answer)
}

// holdStart keeps a start back if the worker is to do so.
func (w *worker) holdStart(call *order) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.holdsStart {
		return false
	}
	w.holdsStart = false
	w.heldStart = call
	w.record.line("worker %s: the start of task %s attempt %d is delayed", w.id, call.Task, call.Attempt)
	return true
}

// crash ends the process of the worker with all that runs there.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.line("worker %s crashes", w.id)
	for _, run := range w.runs {
		w.end(run, "gone")
	}
	_ = w.server.Close()
}

// restart starts the process again under its id. It knows nothing of before. A
// start that was kept back is carried out then.
func (w *worker) restart() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.record.line("worker %s starts again under its id", w.id)
	w.born = time.Now()
	w.beats, w.fence, w.lastEnd = 0, 0, 0
	w.finished, w.leaseEnd = nil, time.Time{}
	w.settled = map[string]int{}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	held, server := w.heldStart, w.server
	w.mutex.Unlock()
	if held != nil {
		status, reason := w.carryOut("/api/run-start", held)
		w.record.line("worker %s: the delayed start is carried out: %d %s", w.id, status, reason)
	}
	go func() { _ = server.Serve(listener) }()
	return w.register()
}

func writeAnswer(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(body)
}

// carryOut executes a call and returns its status and the reason of a refusal.
func (w *worker) carryOut(path string, call *order) (status int, reason string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if call.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = call.Fence
	switch path {
	case "/api/run-start":
		return w.start(call)
	case "/api/run-stop":
		w.settled[call.Task] = max(w.settled[call.Task], call.Attempt)
		if run, ok := w.runs[call.Task]; ok && run.attempt <= call.Attempt {
			w.end(run, "stopped")
		}
		return http.StatusOK, ""
	case "/api/hold":
		w.extend(call.Expires)
		w.forget(call.Ack)
		return http.StatusOK, ""
	default:
		return http.StatusNotFound, ""
	}
}

// start begins a run. The caller holds the mutex.
func (w *worker) start(call *order) (status int, reason string) {
	run, running := w.runs[call.Task]
	switch {
	case running && run.attempt == call.Attempt:
		return http.StatusOK, ""
	case running || call.Attempt <= w.settled[call.Task]:
		w.extend(call.Expires)
		return http.StatusConflict, "old"
	case call.Expires <= w.clock():
		return http.StatusConflict, "late"
	}
	w.extend(call.Expires)
	run = &workRun{task: call.Task, attempt: call.Attempt, since: time.Now(), length: workOf(call.Task, call.Spec)}
	w.runs[call.Task] = run
	run.timer = time.AfterFunc(run.length, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.runs[run.task] == run {
			w.end(run, "done")
		}
	})
	w.note(run, "")
	return http.StatusOK, ""
}

// workOf returns how long a task works by the job's spec.
func workOf(task, spec string) time.Duration {
	parts := strings.Split(task, ".")
	steps := strings.Split(spec, ",")
	if len(parts) != 4 {
		return 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(steps) {
		return 0
	}
	millis, err := strconv.Atoi(steps[step])
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// extend prolongs the lease of all runs. The caller holds the mutex.
func (w *worker) extend(expires int64) {
	remaining := min(time.Duration(expires-w.clock())*time.Millisecond, maxLease)
	end := time.Now().Add(remaining)
	if remaining <= 0 || !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.leaseStop != nil {
		w.leaseStop.Stop()
	}
	w.leaseStop = time.AfterFunc(remaining, w.lapse)
}

// lapse ends all runs once their lease is over.
func (w *worker) lapse() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, run := range w.runs {
		w.end(run, "lapsed")
	}
}

// end ends a run and lists its end. The caller holds the mutex.
func (w *worker) end(run *workRun, outcome string) {
	run.timer.Stop()
	delete(w.runs, run.task)
	w.settled[run.task] = max(w.settled[run.task], run.attempt)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, run.task, run.attempt, outcome, ""})
	w.note(run, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

// note records a start or an end. The caller holds the mutex.
func (w *worker) note(run *workRun, outcome string) {
	w.events = append(w.events, runEvent{at: time.Now(), worker: w.id, task: run.task, attempt: run.attempt, outcome: outcome})
	if outcome == "" {
		outcome = "starts"
	}
	w.record.line("worker %s: task %s attempt %d %s", w.id, run.task, run.attempt, outcome)
}

// forget drops the ends up to an acknowledged number. The caller holds the mutex.
func (w *worker) forget(acknowledged int64) {
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= acknowledged {
		w.finished = w.finished[1:]
	}
}

// list answers with both lists, after waiting for an end if the call asks for it.
func (w *worker) list(response http.ResponseWriter, request *http.Request, call *order) {
	deadline := time.After(time.Duration(call.Wait) * time.Millisecond)
	for {
		w.mutex.Lock()
		ready, changed := len(w.finished) > 0, w.changed
		w.mutex.Unlock()
		if ready || call.Wait <= 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-request.Context().Done():
			return
		case <-deadline:
		}
		break
	}
	w.mutex.Lock()
	running := [][]any{}
	for _, run := range w.runs {
		percent := 100 * time.Since(run.since) / max(time.Millisecond, run.length)
		running = append(running, []any{run.task, run.attempt, "", min(99, int(percent)), 0})
	}
	finished := append([][]any{}, w.finished...)
	w.mutex.Unlock()
	writeAnswer(response, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// history returns all starts and ends so far.
func (w *worker) history() []runEvent {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]runEvent(nil), w.events...)
}
