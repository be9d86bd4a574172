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
	// Heartbeat is the interval at which the target writes its entry.
	Heartbeat time.Duration
	// CrashTime is how long the target is down after a task has crashed it. It
	// returns under a new ID if CrashChangesID is set.
	CrashTime      time.Duration
	CrashChangesID bool
}

// TargetFaults are the faults of a target.
type TargetFaults struct {
	// LostAnswerRate is the share of requests that the target executes without
	// answering. DelayRate is the share that it executes after Delay, or a random
	// time between Delay and MaxDelay if that is longer, also without answering.
	LostAnswerRate float64
	DelayRate      float64
	Delay          time.Duration
	MaxDelay       time.Duration
	// FailAll makes all new runs fail. Hang keeps new runs from ending.
	FailAll bool
	Hang    bool
	// Silent keeps the target from executing or answering any request.
	Silent bool
	// NoEntry keeps the target from writing its entry to the store.
	NoEntry bool
}

type targetRun struct {
	task      string
	attempt   int
	milliCPU  int
	startedAt time.Time
	duration  time.Duration
	timer     *time.Timer
}

// Target is a fake worker. It is safe for concurrent use.
type Target struct {
	config  TargetConfig
	server  *http.Server
	address string
	// listener accepts connections, except while the target's process is down.
	listener net.Listener
	closed   chan struct{}

	mutex sync.Mutex
	// id is the ID of the current incarnation, crashes the number of crashes
	// after which the ID changed. crashed is set while the target is down.
	id       string
	crashes  int
	crashed  bool
	faults   TargetFaults
	draining bool
	// heartbeats is the number of entries written since the start.
	heartbeats   int
	startedAt    time.Time
	fencingToken int64
	leaseExpires time.Time
	leaseTimer   *time.Timer
	// late is set while the target executes a call that it has kept back.
	late bool
	runs map[string]*targetRun
	// highestEndedAttempt holds the highest attempt of each task that has ended
	// or been stopped.
	highestEndedAttempt map[string]int
	ended               []endedRun
	lastSequence        int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	conns   map[net.Conn]bool
	// holds are the calls to keep back, held those that were kept back.
	holds []Hold
	held  []*heldCall
}

const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
	// outcomeCrashed is the end of a run that its target cannot list.
	outcomeCrashed = "crashed"
)

type endedRun struct {
	sequence int64
	task     string
	attempt  int
	outcome  string
}

// NewTarget starts a target and writes its entry to the store.
func NewTarget(config TargetConfig) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Target{config: config, id: config.ID, address: listener.Addr().String(), listener: listener, closed: make(chan struct{}), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	t.reset()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second, ConnState: t.trackConn}
	go func() { _ = t.server.Serve(listener) }()
	if err := t.writeEntry(); err != nil {
		t.Close()
		return nil, err
	}
	go t.heartbeatLoop()
	return t, nil
}

// Address returns the address of the target.
func (t *Target) Address() string {
	return t.address
}

// reset discards all state, as a restart of the target does.
func (t *Target) reset() {
	t.startedAt = time.Now()
	t.fencingToken = 0
	t.leaseExpires = time.Time{}
	t.runs = map[string]*targetRun{}
	t.highestEndedAttempt = map[string]int{}
	t.ended = nil
	t.lastSequence = 0
	t.heartbeats = 0
}

// Restart ends all runs and restarts the target under the same ID.
func (t *Target) Restart() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.restart()
	t.executeHeldAtRestart()
}

// restart implements Restart. The caller holds the mutex.
func (t *Target) restart() {
	for _, run := range t.runs {
		run.timer.Stop()
		t.config.Checker.runEnded(t.id, run.task, outcomeCrashed)
	}
	for _, end := range t.ended {
		t.config.Checker.endLost(t.id, end.task)
	}
	t.reset()
	t.notifyRunEnded()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// HasRuns reports whether runs of the job are active on the target.
func (t *Target) HasRuns(jobID string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for task := range t.runs {
		if strings.HasPrefix(task, jobID+".") {
			return true
		}
	}
	return false
}

// Crash ends all runs and takes the target down until Return. The connections to
// it are refused.
func (t *Target) Crash() {
	t.takeDown(false)
}

// Return makes a crashed target serve again under the same ID.
func (t *Target) Return() {
	t.returnFromCrash(false)
}

// crash ends all runs and takes the target down for CrashTime. With silently, its
// machine goes down as well, so that it does not refuse connections.
func (t *Target) crash(silently bool) {
	if t.takeDown(silently) {
		time.AfterFunc(t.config.CrashTime, func() { t.returnFromCrash(t.config.CrashChangesID) })
	}
}

// takeDown reports whether the target was not down yet.
func (t *Target) takeDown(silently bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.crashed {
		return false
	}
	t.restart()
	t.crashed = true
	if !silently {
		_ = t.listener.Close()
		t.listener = nil
	}
	return true
}

// relistenInterval is the pause before listening at an address again that another
// socket is using.
const relistenInterval = 20 * time.Millisecond

// returnFromCrash makes a crashed target serve again as a new incarnation.
func (t *Target) returnFromCrash(changesID bool) {
	t.mutex.Lock()
	if !t.crashed {
		t.mutex.Unlock()
		return
	}
	if t.listener == nil {
		listener, err := net.Listen("tcp", t.address)
		if err != nil {
			t.mutex.Unlock()
			time.AfterFunc(relistenInterval, func() { t.returnFromCrash(changesID) })
			return
		}
		t.listener = listener
		go func() { _ = t.server.Serve(listener) }()
	}
	former := t.id
	t.restart()
	t.crashed = false
	if changesID {
		t.crashes++
		t.id = fmt.Sprintf("%s-%d", t.config.ID, t.crashes)
	}
	t.executeHeldAtRestart()
	t.mutex.Unlock()
	if changesID {
		t.config.Store.Remove("servers/" + former)
	}
	// A store that is away learns of the target with its next heartbeat.
	_ = t.writeEntry()
}

// trackConn records the open connections, which a restart closes.
func (t *Target) trackConn(conn net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.conns, conn)
		return
	}
	t.conns[conn] = true
}

// SetFaults sets the faults of the target.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Drain announces in the store that the target is going to leave.
func (t *Target) Drain() error {
	t.mutex.Lock()
	t.draining = true
	t.mutex.Unlock()
	return t.writeEntry()
}

// Close stops the target and removes its entry from the store.
func (t *Target) Close() {
	close(t.closed)
	t.Restart()
	_ = t.server.Close()
	t.mutex.Lock()
	id := t.id
	t.mutex.Unlock()
	t.config.Store.Remove("servers/" + id)
}

func (t *Target) heartbeatLoop() {
	ticker := time.NewTicker(t.config.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-t.closed:
			return
		case <-ticker.C:
			_ = t.writeEntry()
		}
	}
}

func (t *Target) writeEntry() error {
	t.mutex.Lock()
	t.heartbeats++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": t.config.Service, "address": t.address, "zone": t.config.Zone, "version": "v1", "slots": 8,
		"state": state, "cold_left_ms": 0, "labels": t.config.Labels, "born": t.startedAt.UnixMilli(), "seq": t.heartbeats,
		"capacity": map[string]int{"cpu": t.config.MilliCPU, "mem_mb": t.config.MemoryMB, "gpu": 0},
	}
	id, absent := t.id, t.crashed || t.faults.NoEntry
	t.mutex.Unlock()
	if absent {
		return nil
	}
	return t.config.Store.Put("servers/"+id, entry)
}

// clockMillis returns the time on the target's clock, which starts anew with
// each restart.
func (t *Target) clockMillis() int64 {
	return 480000 + time.Since(t.startedAt).Milliseconds()
}

type targetRequest struct {
	Task          string `json:"task"`
	Attempt       int    `json:"attempt"`
	Spec          string `json:"spec"`
	ExpiresMillis int64  `json:"expires_ms"`
	FencingToken  int64  `json:"fencing_token"`
	Acknowledged  int64  `json:"ack_seq"`
	WaitMillis    int64  `json:"wait_ms"`
}

// ServeHTTP serves one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request targetRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	id, faults, crashed := t.id, t.faults, t.crashed
	t.mutex.Unlock()
	if targetID := r.Header.Get("X-Target-Instance"); !crashed && targetID != "" && targetID != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case faults.Silent || crashed:
		hang(r)
	case t.holdBack(r, request):
		hang(r)
	case rand.Float64() < faults.DelayRate:
		call := t.newHeldCall(r, request, Hold{Call: callKind(r.URL.Path)})
		time.AfterFunc(faults.Delay+rand.N(max(1, faults.MaxDelay-faults.Delay)), func() { t.executeLate(call) })
		hang(r)
	case rand.Float64() < faults.LostAnswerRate:
		t.execute(discardResponse{}, r, request)
		hang(r)
	default:
		t.execute(w, r, request)
	}
}

func (t *Target) execute(w http.ResponseWriter, r *http.Request, request targetRequest) {
	if t.apply(w, r.URL.Path, request) {
		t.serveListing(w, r, request)
	}
}

// apply checks the fencing token and executes the request under one lock. It
// reports whether the request asks for the listing, which the caller must send.
func (t *Target) apply(w http.ResponseWriter, path string, request targetRequest) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.applyLocked(w, path, request)
}

func (t *Target) applyLocked(w http.ResponseWriter, path string, request targetRequest) bool {
	if request.FencingToken < t.fencingToken {
		t.refuse(w, "fence")
		return false
	}
	t.fencingToken = request.FencingToken
	t.extendLease(request.ExpiresMillis)
	switch path {
	case CallStart.path():
		t.start(w, request)
	case CallStop.path():
		t.stopRun(w, request)
	case CallRenewal.path():
		return true
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	return false
}

// maxLease is the longest lease that a target grants.
const maxLease = time.Second

// extendLease renews the lease of all runs. The caller holds the mutex.
func (t *Target) extendLease(expiresMillis int64) {
	remaining := min(time.Duration(expiresMillis-t.clockMillis())*time.Millisecond, maxLease)
	if remaining <= 0 || time.Now().Add(remaining).Before(t.leaseExpires) {
		return
	}
	t.leaseExpires = time.Now().Add(remaining)
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
	t.leaseTimer = time.AfterFunc(remaining, t.expireLease)
}

func (t *Target) expireLease() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if time.Now().Before(t.leaseExpires) {
		return
	}
	for _, run := range t.runs {
		t.endRun(run, "lapsed")
	}
}

func (t *Target) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(w, `{"clock_ms":%d,"born":%d,"reason":%q}`, t.clockMillis(), t.startedAt.UnixMilli(), reason)
}

// start starts a run. The caller holds the mutex.
func (t *Target) start(w http.ResponseWriter, request targetRequest) {
	switch run, ok := t.runs[request.Task]; {
	case ok && run.attempt == request.Attempt:
		t.acknowledge(w)
		return
	case request.Attempt <= t.highestEndedAttempt[request.Task] || ok:
		t.refuse(w, "old")
		return
	case request.ExpiresMillis <= t.clockMillis():
		t.refuse(w, "late")
		return
	}
	profile := t.config.Checker.taskProfile(request.Task)
	run := &targetRun{task: request.Task, attempt: request.Attempt, milliCPU: profile.MilliCPU, startedAt: time.Now(), duration: profile.Duration}
	t.runs[request.Task] = run
	t.config.Checker.runStarted(t.config.Zone, t.id, request.Task, t.usedMilliCPU() > t.config.MilliCPU, t.late)
	outcome := outcomeDone
	if t.faults.FailAll {
		outcome = outcomeFailed
	}
	if t.faults.Hang {
		run.duration = time.Hour
	}
	if profile.CrashesTarget {
		go t.crash(profile.CrashesSilently)
	}
	run.timer = time.AfterFunc(run.duration, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if t.runs[request.Task] == run {
			t.endRun(run, outcome)
		}
	})
	t.acknowledge(w)
}

func (t *Target) usedMilliCPU() int {
	sum := 0
	for _, run := range t.runs {
		sum += run.milliCPU
	}
	return sum
}

func (t *Target) acknowledge(w http.ResponseWriter) {
	writeJSON(w, map[string]int64{"clock_ms": t.clockMillis(), "born": t.startedAt.UnixMilli()})
}

// endRun removes a run and adds it to the list of ended runs. The caller holds
// the mutex.
func (t *Target) endRun(run *targetRun, outcome string) {
	run.timer.Stop()
	delete(t.runs, run.task)
	t.highestEndedAttempt[run.task] = max(t.highestEndedAttempt[run.task], run.attempt)
	t.lastSequence++
	t.ended = append(t.ended, endedRun{t.lastSequence, run.task, run.attempt, outcome})
	t.config.Checker.runEnded(t.id, run.task, outcome)
	t.executeHeldAtRunEnd()
	t.notifyRunEnded()
}

func (t *Target) notifyRunEnded() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// stopRun stops a run, or keeps it from starting later. The caller holds the
// mutex.
func (t *Target) stopRun(w http.ResponseWriter, request targetRequest) {
	t.highestEndedAttempt[request.Task] = max(t.highestEndedAttempt[request.Task], request.Attempt)
	if run, ok := t.runs[request.Task]; ok && run.attempt <= request.Attempt {
		t.endRun(run, "stopped")
	}
	t.acknowledge(w)
}

// serveListing answers with the listing, after waiting for a run to end if the
// request allows a wait. Ended runs that the request acknowledges are dropped.
func (t *Target) serveListing(w http.ResponseWriter, r *http.Request, request targetRequest) {
	deadline := time.After(time.Duration(request.WaitMillis) * time.Millisecond)
	for {
		t.mutex.Lock()
		t.forgetEnds(request.Acknowledged)
		ready, changed := len(t.ended) > 0, t.changed
		t.mutex.Unlock()
		if !ready && request.WaitMillis > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		t.writeListing(w)
		return
	}
}

// forgetEnds drops the ended runs up to an acknowledged number. The caller holds
// the mutex.
func (t *Target) forgetEnds(acknowledged int64) {
	kept := t.ended[:0]
	for _, end := range t.ended {
		if end.sequence > acknowledged {
			kept = append(kept, end)
		}
	}
	t.ended = kept
}

func (t *Target) writeListing(w http.ResponseWriter) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range t.runs {
		percent := min(99, 100*time.Since(run.startedAt)/max(1, run.duration))
		running = append(running, []any{run.task, run.attempt, "", int(percent), run.milliCPU})
	}
	for _, end := range t.ended {
		finished = append(finished, []any{end.sequence, end.task, end.attempt, end.outcome, ""})
	}
	writeJSON(w, map[string]any{"clock_ms": t.clockMillis(), "born": t.startedAt.UnixMilli(), "running": running, "finished": finished})
}

// jobID returns the ID of a task's job.
func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
