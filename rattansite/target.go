package rattansite

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// TargetConfig configures a Target.
type TargetConfig struct {
	ID       string
	Service  string
	Zone     string
	Labels   []string
	MilliCPU int
	MemoryMB int
	Store    *Store
	Checker  *InvariantChecker
	// Heartbeat is how often the target writes its entry.
	Heartbeat time.Duration
}

// TargetFaults are the ways in which a target misbehaves.
type TargetFaults struct {
	// LostAnswerRate is the share of orders that are carried out and not
	// answered, Late the share that is carried out Delay later without an
	// answer.
	LostAnswerRate float64
	DelayRate      float64
	Delay          time.Duration
	// FailAll makes all runs end as failed, Hang keeps them from ending.
	FailAll bool
	Hang    bool
	// Silent makes the target answer nothing.
	Silent bool
}

type targetRun struct {
	task    string
	attempt int
	need    int
	began   time.Time
	length  time.Duration
	timer   *time.Timer
}

// Target is a stand-in of a worker. It is safe for concurrent use.
type Target struct {
	config TargetConfig
	server *http.Server
	addr   string
	stop   chan struct{}

	mutex    sync.Mutex
	faults   TargetFaults
	draining bool
	born     time.Time
	fence    int64
	expires  time.Time
	expiry   *time.Timer
	runs     map[string]*targetRun
	// settled holds the highest stopped or ended attempt of each task.
	settled map[string]int
	ended   []targetEnd
	next    int64
	changed chan struct{}
	conns   map[net.Conn]bool
}

const endDone = "done"

type targetEnd struct {
	sequence int64
	task     string
	attempt  int
	how      string
}

// NewTarget starts a target and enters it into the store.
func NewTarget(config TargetConfig) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Target{config: config, addr: listener.Addr().String(), stop: make(chan struct{}), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	t.begin()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second, ConnState: t.track}
	go func() { _ = t.server.Serve(listener) }()
	if err := t.beat(); err != nil {
		t.Close()
		return nil, err
	}
	go t.beats()
	return t, nil
}

// begin starts a life that knows nothing of before.
func (t *Target) begin() {
	t.born = time.Now()
	t.fence = 0
	t.runs = map[string]*targetRun{}
	t.settled = map[string]int{}
	t.ended = nil
	t.next = 0
}

// Restart ends all runs and begins a new life under the same ID.
func (t *Target) Restart() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, run := range t.runs {
		run.timer.Stop()
		t.config.Checker.ended(t.config.ID, run.task, "crashed")
	}
	t.begin()
	t.notify()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// track keeps the connections of this life, which a restart breaks.
func (t *Target) track(conn net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.conns, conn)
		return
	}
	t.conns[conn] = true
}

// SetFaults sets how the target misbehaves from now on.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Drain announces that the target leaves.
func (t *Target) Drain() error {
	t.mutex.Lock()
	t.draining = true
	t.mutex.Unlock()
	return t.beat()
}

// Close ends the target and removes its entry.
func (t *Target) Close() {
	close(t.stop)
	t.Restart()
	_ = t.server.Close()
	t.config.Store.Remove("servers/" + t.config.ID)
}

func (t *Target) beats() {
	ticker := time.NewTicker(t.config.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
			_ = t.beat()
		}
	}
}

func (t *Target) beat() error {
	t.mutex.Lock()
	state := "ready"
	if t.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": t.config.Service, "address": t.addr, "zone": t.config.Zone, "version": "v1", "slots": 8,
		"state": state, "cold_left_ms": 0, "labels": t.config.Labels, "born": t.born.UnixMilli(), "clock_ms": t.clock(),
		"capacity": map[string]int{"cpu": t.config.MilliCPU, "mem_mb": t.config.MemoryMB, "gpu": 0},
	}
	t.mutex.Unlock()
	return t.config.Store.Put("servers/"+t.config.ID, entry)
}

// clock is the time on the target's clock, which begins with its life.
func (t *Target) clock() int64 {
	return 480000 + time.Since(t.born).Milliseconds()
}

type targetOrder struct {
	Task          string `json:"task"`
	Attempt       int    `json:"attempt"`
	Spec          string `json:"spec"`
	ExpiresMillis int64  `json:"expires_ms"`
	Fence         int64  `json:"fencing_token"`
	Acknowledged  int64  `json:"ack_seq"`
	WaitMillis    int64  `json:"wait_ms"`
}

// ServeHTTP answers one order.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order targetOrder
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if life := r.Header.Get("X-Target-Instance"); life != "" && life != t.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mutex.Lock()
	faults := t.faults
	t.mutex.Unlock()
	switch {
	case faults.Silent:
		hang(r)
	case rand.Float64() < faults.DelayRate:
		time.AfterFunc(faults.Delay, func() { t.carryOut(discard{}, r, order) })
		hang(r)
	case rand.Float64() < faults.LostAnswerRate:
		t.carryOut(discard{}, r, order)
		hang(r)
	default:
		t.carryOut(w, r, order)
	}
}

func (t *Target) carryOut(w http.ResponseWriter, r *http.Request, order targetOrder) {
	if t.obey(w, r.URL.Path, order) {
		t.hold(w, r, order)
	}
}

// obey checks the token and carries the order out in one step, and reports
// whether it is one to list runs, which is yet to be answered.
func (t *Target) obey(w http.ResponseWriter, path string, order targetOrder) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if order.Fence < t.fence {
		t.refuse(w, "fence")
		return false
	}
	t.fence = order.Fence
	t.extend(order.ExpiresMillis)
	switch path {
	case "/api/run-start":
		t.start(w, order)
	case "/api/run-stop":
		t.stopRun(w, order)
	case "/api/hold":
		return true
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	return false
}

// maxLease is the longest lease that a target grants.
const maxLease = time.Second

// extend renews the lease of all runs. The caller holds the mutex.
func (t *Target) extend(expiresMillis int64) {
	left := min(time.Duration(expiresMillis-t.clock())*time.Millisecond, maxLease)
	if left <= 0 || time.Now().Add(left).Before(t.expires) {
		return
	}
	t.expires = time.Now().Add(left)
	if t.expiry != nil {
		t.expiry.Stop()
	}
	t.expiry = time.AfterFunc(left, t.lapse)
}

func (t *Target) lapse() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if time.Now().Before(t.expires) {
		return
	}
	for _, run := range t.runs {
		t.end(run, "lapsed")
	}
}

func (t *Target) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(w, `{"clock_ms":%d,"born":%d,"reason":%q}`, t.clock(), t.born.UnixMilli(), reason)
}

// start starts a run. The caller holds the mutex.
func (t *Target) start(w http.ResponseWriter, order targetOrder) {
	switch run, ok := t.runs[order.Task]; {
	case ok && run.attempt == order.Attempt:
		t.acknowledge(w)
		return
	case order.Attempt <= t.settled[order.Task] || ok:
		t.refuse(w, "old")
		return
	case order.ExpiresMillis <= t.clock():
		t.refuse(w, "late")
		return
	}
	profile := t.config.Checker.taskProfile(order.Task)
	run := &targetRun{task: order.Task, attempt: order.Attempt, need: profile.MilliCPU, began: time.Now(), length: profile.Duration}
	t.runs[order.Task] = run
	t.config.Checker.started(t.config.ID, order.Task, t.load() > t.config.MilliCPU)
	how := endDone
	if t.faults.FailAll {
		how = "failed"
	}
	if t.faults.Hang {
		run.length = time.Hour
	}
	run.timer = time.AfterFunc(run.length, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if t.runs[order.Task] == run {
			t.end(run, how)
		}
	})
	t.acknowledge(w)
}

func (t *Target) load() int {
	sum := 0
	for _, run := range t.runs {
		sum += run.need
	}
	return sum
}

func (t *Target) acknowledge(w http.ResponseWriter) {
	writeJSON(w, map[string]int64{"clock_ms": t.clock(), "born": t.born.UnixMilli()})
}

// end lists the end of a run. The caller holds the mutex.
func (t *Target) end(run *targetRun, how string) {
	run.timer.Stop()
	delete(t.runs, run.task)
	t.settled[run.task] = max(t.settled[run.task], run.attempt)
	t.next++
	t.ended = append(t.ended, targetEnd{t.next, run.task, run.attempt, how})
	t.config.Checker.ended(t.config.ID, run.task, how)
	t.notify()
}

func (t *Target) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// stopRun ends a run. The caller holds the mutex.
func (t *Target) stopRun(w http.ResponseWriter, order targetOrder) {
	t.settled[order.Task] = max(t.settled[order.Task], order.Attempt)
	if run, ok := t.runs[order.Task]; ok && run.attempt <= order.Attempt {
		t.end(run, "stopped")
	}
	t.acknowledge(w)
}

func (t *Target) hold(w http.ResponseWriter, r *http.Request, order targetOrder) {
	deadline := time.After(time.Duration(order.WaitMillis) * time.Millisecond)
	for {
		t.mutex.Lock()
		kept := t.ended[:0]
		for _, end := range t.ended {
			if end.sequence > order.Acknowledged {
				kept = append(kept, end)
			}
		}
		t.ended = kept
		ready, changed := len(kept) > 0, t.changed
		t.mutex.Unlock()
		if !ready && order.WaitMillis > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		t.writeLists(w)
		return
	}
}

func (t *Target) writeLists(w http.ResponseWriter) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range t.runs {
		percent := min(99, 100*time.Since(run.began)/max(1, run.length))
		running = append(running, []any{run.task, run.attempt, "", int(percent), run.need})
	}
	for _, end := range t.ended {
		finished = append(finished, []any{end.sequence, end.task, end.attempt, end.how, ""})
	}
	writeJSON(w, map[string]any{"clock_ms": t.clock(), "born": t.born.UnixMilli(), "running": running, "finished": finished})
}

// jobOf returns the job's ID of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
