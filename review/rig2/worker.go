package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

// faults are the disturbances of a worker.
type faults struct {
	// lost is the share of requests that are executed without an answer, late the
	// share that is executed 2 to 12 s later without one.
	lost, late float64
	// cut keeps all requests and answers away from the worker, which runs on.
	cut bool
	// factor makes the work take as many times as long, 0 is 1. fail makes all new
	// runs fail.
	factor float64
	fail   bool
	// from keeps away the requests of one machine, by the low bits of its address.
	from int64
}

// worker is a stand-in of a worker. A service whose workers start whatever they
// are told to start (rejects_overload is false).
type worker struct {
	world         *world
	id, zone      string
	labels        []string
	cpu, memoryMB int
	address       string
	server        *http.Server
	faults        faults
	down          bool
	draining      bool
	heartbeats    int
	born          time.Time
	fence         int64
	leaseEnd      time.Time
	leaseTimer    *time.Timer
	runs          []*run
	highest       map[string]int
	ends          []end
	lastEnd       int64
	changed       chan struct{}
	conns         map[net.Conn]bool
	// holdStart keeps the next start back, held is a start that was kept back until
	// the worker has started again.
	holdStart chan *worker
	held      *request
}

type end struct {
	number  int64
	task    string
	attempt int
	how     string
	saved   string
}

func (w *world) addWorker(id, zone, kind, rack string, cpu, memoryMB int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{world: w, id: id, zone: zone, labels: []string{kind, rack}, cpu: cpu, memoryMB: memoryMB, address: listener.Addr().String(), conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	k.reset()
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Second, ConnState: k.trackConn}
	go func() { _ = k.server.Serve(listener) }()
	w.mutex.Lock()
	w.workers = append(w.workers, k)
	w.mutex.Unlock()
	k.writeEntry()
	go func() {
		for range time.Tick(heartbeatTime) {
			k.writeEntry()
		}
	}()
	return k, nil
}

func (k *worker) reset() {
	k.born, k.fence, k.leaseEnd = time.Now(), 0, time.Time{}
	k.runs, k.highest, k.ends, k.lastEnd = nil, map[string]int{}, nil, 0
}

func (k *worker) trackConn(conn net.Conn, state http.ConnState) {
	k.world.mutex.Lock()
	defer k.world.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(k.conns, conn)
		return
	}
	k.conns[conn] = true
}

func (k *worker) hasLabel(label string) bool {
	return slices.Contains(k.labels, label)
}

func (k *worker) writeEntry() {
	k.world.mutex.Lock()
	k.heartbeats++
	state := "ready"
	if k.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "labels": k.labels, "born": k.born.UnixMilli(), "seq": k.heartbeats,
		"capacity": map[string]int{"cpu": k.cpu, "mem_mb": k.memoryMB, "gpu": 0},
	}
	absent := k.down || k.faults.cut
	k.world.mutex.Unlock()
	if !absent {
		_ = k.world.store.Put("servers/"+k.id, entry)
	}
}

// crash takes the worker down for a time. It returns under its ID and knows
// nothing of before. While it is down, its connections are reset or, with dark,
// not answered.
func (k *worker) crash(duration time.Duration) {
	w := k.world
	w.mutex.Lock()
	if k.down {
		w.mutex.Unlock()
		return
	}
	w.note("worker %s crashes for %s", k.id, duration)
	k.down = true
	for _, r := range slices.Clone(k.runs) {
		k.remove(r)
		w.note("lost %s", r)
		w.breakGang(r)
	}
	for conn := range k.conns {
		_ = conn.Close()
	}
	w.mutex.Unlock()
	time.Sleep(duration)
	w.mutex.Lock()
	k.reset()
	k.down = false
	w.note("worker %s is back", k.id)
	if k.held != nil {
		status, answer := k.apply("/api/run-start", *k.held)
		w.note("late start %s attempt %d at %s: %d %v", k.held.Task, k.held.Attempt, k.id, status, answer)
		k.held = nil
	}
	w.mutex.Unlock()
	k.writeEntry()
}

func (k *worker) clock() int64 {
	return 480000 + time.Since(k.born).Milliseconds()
}

type request struct {
	Task          string `json:"task"`
	Attempt       int    `json:"attempt"`
	Spec          string `json:"spec"`
	Checkpoint    string `json:"checkpoint"`
	ExpiresMillis int64  `json:"expires_ms"`
	FencingToken  int64  `json:"fencing_token"`
	Acknowledged  int64  `json:"ack_seq"`
	WaitMillis    int64  `json:"wait_ms"`
}

// ServeHTTP serves one request.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var q request
	if err != nil || json.Unmarshal(body, &q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w := k.world
	w.mutex.Lock()
	f, down := k.faults, k.down
	kept := !down && k.keepBack(r.URL.Path, q)
	w.mutex.Unlock()
	switch {
	case kept:
		hang(r)
	case down:
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	case f.cut || f.from != 0 && q.FencingToken%4096 == f.from:
		hang(r)
	case f.late > 0 && r.URL.Path != "/api/hold" && rand.Float64() < f.late:
		w.log("late %s %s %d to %s", r.URL.Path, q.Task, q.Attempt, k.id)
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if !k.down {
				status, answer := k.apply(r.URL.Path, q)
				w.note("late %s %s %d at %s: %d %v", r.URL.Path, q.Task, q.Attempt, k.id, status, answer)
			}
		})
		hang(r)
	case f.lost > 0 && rand.Float64() < f.lost:
		w.mutex.Lock()
		k.apply(r.URL.Path, q)
		w.mutex.Unlock()
		hang(r)
	default:
		w.mutex.Lock()
		status, answer := k.apply(r.URL.Path, q)
		w.mutex.Unlock()
		if r.URL.Path == "/api/hold" && status == http.StatusOK {
			answer = k.listing(r, q)
		}
		if k.isCut() {
			hang(r)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(answer)
	}
}

// keepBack keeps back the first start that any worker gets, if that is wanted. The
// caller holds the mutex.
func (k *worker) keepBack(path string, q request) bool {
	if k.holdStart == nil || path != "/api/run-start" {
		return false
	}
	k.world.note("start %s attempt %d at %s gets no answer", q.Task, q.Attempt, k.id)
	k.held = &q
	k.holdStart <- k
	for _, other := range k.world.workers {
		other.holdStart = nil
	}
	return true
}

func (k *worker) isCut() bool {
	k.world.mutex.Lock()
	defer k.world.mutex.Unlock()
	return k.faults.cut || k.down
}

// hang leaves a request without an answer until its sender gives up.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(20 * time.Second):
	}
}

// apply carries out a request and returns status and body. The caller holds the
// mutex.
func (k *worker) apply(path string, q request) (int, map[string]any) {
	answer := map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		k.world.counts["refused "+reason]++
		return http.StatusConflict, answer
	}
	if q.FencingToken < k.fence {
		return refuse("fence")
	}
	k.fence = q.FencingToken
	k.extend(q.ExpiresMillis)
	switch path {
	case "/api/run-start":
		if r := k.find(q.Task); r != nil && r.attempt == q.Attempt {
			return http.StatusOK, answer
		} else if r != nil || q.Attempt <= k.highest[q.Task] {
			return refuse("old")
		}
		if q.ExpiresMillis <= k.clock() {
			return refuse("late")
		}
		k.start(q)
	case "/api/run-stop":
		k.highest[q.Task] = max(k.highest[q.Task], q.Attempt)
		if r := k.find(q.Task); r != nil && r.attempt <= q.Attempt && r.ending.IsZero() {
			r.ending = time.Now()
			time.AfterFunc(stopGrace-10*time.Millisecond, func() {
				k.world.mutex.Lock()
				defer k.world.mutex.Unlock()
				k.finish(r, "stopped")
			})
		}
	case "/api/hold":
		k.ends = slices.DeleteFunc(k.ends, func(e end) bool { return e.number <= q.Acknowledged })
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// extend extends the lease of all that runs.
func (k *worker) extend(expires int64) {
	remaining := min(time.Duration(expires-k.clock())*time.Millisecond, maxHold)
	if remaining <= 0 || time.Now().Add(remaining).Before(k.leaseEnd) {
		return
	}
	k.leaseEnd = time.Now().Add(remaining)
	if k.leaseTimer != nil {
		k.leaseTimer.Stop()
	}
	k.leaseTimer = time.AfterFunc(remaining, func() {
		k.world.mutex.Lock()
		defer k.world.mutex.Unlock()
		if time.Now().Before(k.leaseEnd) {
			return
		}
		for _, r := range slices.Clone(k.runs) {
			k.finish(r, "lapsed")
		}
	})
}

func (k *worker) find(task string) *run {
	for _, r := range k.runs {
		if r.task == task {
			return r
		}
	}
	return nil
}

func (k *worker) start(q request) {
	w := k.world
	j, s, index, ok := w.parseTask(q.Task)
	if !ok {
		w.violate("UNASKED: %s is no task of a client", q.Task)
		return
	}
	r := &run{worker: k, job: j, step: s, index: index, task: q.Task, attempt: q.Attempt, checkpoint: q.Checkpoint, presentAt: time.Now()}
	w.note("start %s checkpoint %q", r, q.Checkpoint)
	w.checkStart(r, q.Spec)
	k.runs = append(k.runs, r)
	w.active[r.task] = append(w.active[r.task], r)
	if saved, ok := w.checkpoints[q.Checkpoint]; ok {
		r.done = saved.work
	}
	if !j.steps[s].Gang {
		k.begin(r)
		return
	}
	members := w.members(r)
	if len(members) == j.steps[s].Count {
		for _, m := range members {
			m.worker.begin(m)
		}
		return
	}
	r.timers = append(r.timers, time.AfterFunc(gangTimeout, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if r.workingSince.IsZero() {
			k.finish(r, "alone")
		}
	}))
}

// members returns the runs of a gang with the same attempt.
func (w *world) members(r *run) []*run {
	var list []*run
	for i := range r.job.steps[r.step].Count {
		for _, other := range w.active[taskName(r.job.id, r.step, i)] {
			if other.attempt == r.attempt && other.ending.IsZero() {
				list = append(list, other)
			}
		}
	}
	return list
}

// factor returns how much longer the work of the run takes.
func (k *worker) factor() float64 {
	return max(1, k.faults.factor)
}

func (k *worker) begin(r *run) {
	w := k.world
	r.workingSince = time.Now()
	s := r.job.steps[r.step]
	left := time.Duration(float64(s.work-r.done) * k.factor())
	how := "done"
	if k.faults.fail {
		how = "failed"
	}
	r.timers = append(r.timers, time.AfterFunc(max(0, left), func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if how == "done" && s.Gang {
			for _, m := range w.members(r) {
				m.worker.finish(m, "done")
			}
			return
		}
		k.finish(r, how)
	}))
	if s.SavesProgress {
		interval := time.Duration(float64(checkpointWork) * k.factor())
		var save func()
		save = func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if slices.Contains(k.runs, r) {
				k.save(r)
				r.timers = append(r.timers, time.AfterFunc(interval, save))
			}
		}
		r.timers = append(r.timers, time.AfterFunc(interval, save))
	}
}

func (r *run) worked() time.Duration {
	if r.workingSince.IsZero() {
		return r.done
	}
	return r.done + time.Duration(float64(time.Since(r.workingSince))/r.worker.factor())
}

func (k *worker) save(r *run) {
	w := k.world
	w.saved++
	r.checkpoint = fmt.Sprintf("%s-%d", r.unit(), w.saved)
	w.checkpoints[r.checkpoint] = savedWork{r.unit(), r.worked()}
}

// remove removes a run without listing its end.
func (k *worker) remove(r *run) bool {
	i := slices.Index(k.runs, r)
	if i < 0 {
		return false
	}
	for _, timer := range r.timers {
		timer.Stop()
	}
	k.runs = slices.Delete(k.runs, i, i+1)
	k.world.active[r.task] = slices.DeleteFunc(k.world.active[r.task], func(other *run) bool { return other == r })
	return true
}

// finish ends a run and lists its end.
func (k *worker) finish(r *run, how string) {
	w := k.world
	if !slices.Contains(k.runs, r) {
		return
	}
	if how == "stopped" && r.job.steps[r.step].SavesProgress && !r.workingSince.IsZero() {
		k.save(r)
	}
	k.remove(r)
	k.highest[r.task] = max(k.highest[r.task], r.attempt)
	k.lastEnd++
	saved := ""
	if r.job.steps[r.step].SavesProgress {
		saved = r.checkpoint
	}
	k.ends = append(k.ends, end{k.lastEnd, r.task, r.attempt, how, saved})
	w.counts[how]++
	w.note("%s %s", how, r)
	if how == "done" {
		r.job.done[r.task] = true
		if r.job.steps[r.step].Gang {
			for i := range r.job.steps[r.step].Count {
				r.job.done[taskName(r.job.id, r.step, i)] = true
			}
		}
	}
	if how == "alone" && time.Since(w.disturbedAt) > gangTimeout+contactTime && r.job.cancelAckedAt.IsZero() {
		w.violate("GANG: %s ends alone", r)
	}
	close(k.changed)
	k.changed = make(chan struct{})
	if how != "done" && how != "alone" {
		w.breakGang(r)
	}
}

// breakGang ends the other members of a gang.
func (w *world) breakGang(r *run) {
	if !r.job.steps[r.step].Gang || r.workingSince.IsZero() {
		return
	}
	for _, m := range w.members(r) {
		if m != r {
			m.worker.finish(m, "broken")
		}
	}
}

// listing waits for an end, if the request allows that, and returns both lists.
func (k *worker) listing(r *http.Request, q request) map[string]any {
	w := k.world
	deadline := time.After(time.Duration(q.WaitMillis) * time.Millisecond)
	for waiting := q.WaitMillis > 0; waiting; {
		w.mutex.Lock()
		ready, changed := len(k.ends) > 0, k.changed
		w.mutex.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			waiting = false
		case <-deadline:
			waiting = false
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range k.runs {
		percent := 0
		if work := r.job.steps[r.step].work; work > 0 {
			percent = min(99, int(100*r.worked()/work))
		}
		saved := ""
		if r.job.steps[r.step].SavesProgress {
			saved = r.checkpoint
		}
		running = append(running, []any{r.task, r.attempt, saved, percent, r.job.steps[r.step].CPU})
	}
	for _, e := range k.ends[:min(500, len(k.ends))] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	return map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "running": running, "finished": finished}
}
