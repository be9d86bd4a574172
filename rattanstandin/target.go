package rattanstandin

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// Defaults of TargetOptions.
const (
	DefaultSlots        = 8
	DefaultUsageLag     = 2 * time.Second
	DefaultKeepFinished = 2048
)

// Timeout and interval of the attempts to listen on the address of a killed
// target.
const (
	restartTimeout       = time.Second
	restartRetryInterval = 10 * time.Millisecond
)

// maxTombstones is the maximum number of IDs that a target refuses because of
// stop requests. The oldest are removed first.
const maxTombstones = 1 << 16

// TargetOptions configures a Target.
type TargetOptions struct {
	// Name is unique among the targets that share a start log.
	Name string
	// Address is the IP address and port to listen on; the default is a free
	// port of the loopback interface.
	Address string
	// Slots is the maximum number of tasks that run concurrently; the default
	// is DefaultSlots.
	Slots int
	// RunTime is the run time of tasks whose payload has no RunTime; with 0 they
	// finish immediately.
	RunTime rattanjson.Duration
	// Echo makes tasks return their payload as the result.
	Echo bool
	// QueueLimit is the maximum number of tasks that wait for a slot. With the
	// default of 0, tasks are rejected while all slots are in use.
	QueueLimit int
	// UsageLag is the age of usage reports; the default is DefaultUsageLag.
	UsageLag rattanjson.Duration
	// KeepFinished is the number of finished tasks whose results are kept for
	// inspection; the default is DefaultKeepFinished.
	KeepFinished int
	// Log records the starts; by default the target creates its own log.
	Log *StartLog `json:"-"`
}

// Behaviour is the set of faults of a target. The zero value has no faults.
type Behaviour struct {
	// FailFast makes each task fail as soon as it starts.
	FailFast bool
	// Refuse rejects all tasks.
	Refuse bool
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64
}

// Target simulates a worker instance that runs tasks in slots. A task continues
// when the connection of its dispatch is lost.
type Target struct {
	options TargetOptions
	address string
	// logIndex is the index of the target in the start log.
	logIndex targetIndex

	mu        sync.Mutex
	behaviour Behaviour
	// listener and server are nil while the target is killed.
	listener    *trackedListener
	server      *http.Server
	serverDone  chan struct{}
	incarnation int
	startedAt   time.Time
	lastStart   time.Time
	busySlots   int
	queue       []*task
	tasks       map[string]*task
	finishedIDs []string
	// tombstones maps the IDs refused after a stop request to whether the task
	// had started. tombstoneOrder holds the IDs, oldest first.
	tombstones     map[string]bool
	tombstoneOrder []string
	usageSamples   usageSamples
}

// NewTarget starts a target. It listens when NewTarget returns.
func NewTarget(options TargetOptions) (*Target, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	if options.UsageLag <= 0 {
		options.UsageLag = rattanjson.Duration(DefaultUsageLag)
	}
	if options.KeepFinished <= 0 {
		options.KeepFinished = DefaultKeepFinished
	}
	if options.Log == nil {
		options.Log = NewStartLog()
	}
	listener, err := listen(options.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "target %q", options.Name)
	}
	t := &Target{
		options:  options,
		address:  listener.Addr().String(),
		logIndex: options.Log.addTarget(options.Name),
	}
	t.startProcess(listener)
	return t, nil
}

// Address returns the IP address and port.
func (t *Target) Address() string { return t.address }

// Close stops the target.
func (t *Target) Close() { t.Kill() }

// Kill simulates the death of the target's process: its address refuses
// connections, its open connections are closed, its tasks end, and its state is
// lost.
func (t *Target) Kill() {
	t.mu.Lock()
	server, serverDone := t.server, t.serverDone
	t.server, t.listener = nil, nil
	for _, task := range t.tasks {
		if !task.ended() {
			task.killed = true
			task.end(rattantarget.TaskStateStopped, "target died")
		}
	}
	t.queue, t.tasks, t.finishedIDs = nil, nil, nil
	t.tombstones, t.tombstoneOrder = nil, nil
	t.busySlots = 0
	t.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-serverDone
	}
}

// LastStart returns the time at which the target last started a task, or the zero
// time.
func (t *Target) LastStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastStart
}

// Log returns the start log.
func (t *Target) Log() *StartLog { return t.options.Log }

// Name returns the name.
func (t *Target) Name() string { return t.options.Name }

// Restart starts a new process of a killed target at the same address. It does
// nothing if the target runs.
func (t *Target) Restart() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return nil
	}
	listener, err := t.listenWithRetries()
	if err != nil {
		return errors.Annotatef(err, "target %q", t.options.Name)
	}
	t.startProcess(listener)
	return nil
}

// listenWithRetries listens on the target's address. It retries until
// restartTimeout, because the operating system may have assigned the port to an
// outgoing connection in the meantime.
func (t *Target) listenWithRetries() (*trackedListener, error) {
	for deadline := time.Now().Add(restartTimeout); ; time.Sleep(restartRetryInterval) {
		listener, err := listen(t.address)
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// startProcess initializes the state of a new process and starts its server.
func (t *Target) startProcess(listener *trackedListener) {
	t.listener = listener
	t.incarnation++
	t.server = &http.Server{Handler: t.handler(t.incarnation), ErrorLog: discardLogger}
	t.serverDone = make(chan struct{})
	t.startedAt = time.Now()
	t.tasks = map[string]*task{}
	t.tombstones = map[string]bool{}
	t.usageSamples = usageSamples{}
	go serveUntilClosed(t.server, listener, t.serverDone)
}

// SetBehaviour replaces the faults of the target.
func (t *Target) SetBehaviour(behaviour Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// SilenceConnections makes the open connections lose data permanently and returns
// their number. New connections work normally.
func (t *Target) SilenceConnections(silence Silence) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return 0
	}
	return t.listener.silenceConns(silence)
}

// Usage returns the current usage.
func (t *Target) Usage() rattantarget.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentUsage()
}

func (t *Target) currentUsage() rattantarget.Usage {
	return rattantarget.Usage{Slots: t.options.Slots, Busy: t.busySlots, Waiting: len(t.queue)}
}
