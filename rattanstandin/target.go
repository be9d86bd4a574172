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

// Bounds of the attempts to listen at the address of a target that was killed.
const (
	reviveTimeout  = time.Second
	reviveInterval = 10 * time.Millisecond
)

// maxTombstones bounds the IDs that one target refuses because of stop
// requests; the oldest are dropped.
const maxTombstones = 1 << 16

// TargetOptions configure a target.
type TargetOptions struct {
	// Name is unique among the targets of one start log.
	Name string
	// Address is the IP address and port to listen on; the default is a free
	// port of the loopback interface.
	Address string
	// Slots is the number of tasks that run at a time; the default is
	// DefaultSlots.
	Slots int
	// RunTime is the run time of tasks whose payload has no RunTime; 0 ends
	// them at once.
	RunTime rattanjson.Duration
	// Echo returns the payload as the result.
	Echo bool
	// QueueLimit is the number of tasks that may wait for a slot. The default
	// of 0 refuses tasks when all slots are in use.
	QueueLimit int
	// UsageLag is the age of usage reports; the default is DefaultUsageLag.
	UsageLag rattanjson.Duration
	// KeepFinished is the number of finished tasks whose results can be asked
	// for; the default is DefaultKeepFinished.
	KeepFinished int
	// Log records the starts; the default is a log of the target's own.
	Log *StartLog `json:"-"`
}

// Behaviour is how a target misbehaves. The zero value is a sound target.
type Behaviour struct {
	// FailFast fails every task as soon as it starts.
	FailFast bool
	// Refuse refuses every task.
	Refuse bool
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64
}

// Target is a worker instance that runs tasks in slots. A task goes on when the
// connection of its dispatch is lost.
type Target struct {
	options TargetOptions
	address string
	// id is the target's in the log.
	id targetID

	mu        sync.Mutex
	behaviour Behaviour
	// listener and server are nil while the target is down.
	listener    *listener
	server      *http.Server
	served      chan struct{}
	incarnation int
	startedAt   time.Time
	lastStart   time.Time
	busy        int
	queue       []*task
	tasks       map[string]*task
	finished    []string
	// tombstones has the IDs that are refused, and whether each was started.
	tombstones    map[string]bool
	tombstoneList []string
	usage         usageHistory
}

// NewTarget returns a target that listens.
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
		options: options,
		address: listener.Addr().String(),
		id:      options.Log.addTarget(options.Name),
	}
	t.boot(listener)
	return t, nil
}

// Address returns the IP address and port.
func (t *Target) Address() string { return t.address }

// Close ends the target for good.
func (t *Target) Close() { t.Kill() }

// Kill ends the target's process: its address refuses connections, its
// connections break, its tasks end, and what it knew about tasks is lost.
func (t *Target) Kill() {
	t.mu.Lock()
	server, served := t.server, t.served
	t.server, t.listener = nil, nil
	for _, task := range t.tasks {
		if !task.ended() {
			task.lost = true
			task.end(rattantarget.TaskStateStopped, "target died")
		}
	}
	t.queue, t.tasks, t.finished = nil, nil, nil
	t.tombstones, t.tombstoneList = nil, nil
	t.busy = 0
	t.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-served
	}
}

// LastStart returns when the target last started a task, or the zero time.
func (t *Target) LastStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastStart
}

// Log returns the log of starts.
func (t *Target) Log() *StartLog { return t.options.Log }

// Name returns the name.
func (t *Target) Name() string { return t.options.Name }

// Revive starts a new process of a target that was killed, at the same address.
func (t *Target) Revive() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return nil
	}
	listener, err := t.listenAgain()
	if err != nil {
		return errors.Annotatef(err, "target %q", t.options.Name)
	}
	t.boot(listener)
	return nil
}

// listenAgain retries for a short time, as the operating system may have given
// the port to an outgoing connection in the meantime.
func (t *Target) listenAgain() (*listener, error) {
	for deadline := time.Now().Add(reviveTimeout); ; time.Sleep(reviveInterval) {
		listener, err := listen(t.address)
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// boot starts a process of the target.
func (t *Target) boot(listener *listener) {
	t.listener = listener
	t.incarnation++
	t.server = &http.Server{Handler: t.handler(t.incarnation), ErrorLog: quietLog}
	t.served = make(chan struct{})
	t.startedAt = time.Now()
	t.tasks = map[string]*task{}
	t.tombstones = map[string]bool{}
	t.usage = usageHistory{}
	go serveUntilClosed(t.server, listener, t.served)
}

// SetBehaviour changes how the target misbehaves.
func (t *Target) SetBehaviour(behaviour Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// Silence makes the open connections go silent for good, and returns their
// number. New connections work.
func (t *Target) Silence(silence Silence) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return 0
	}
	return t.listener.silence(silence)
}

// Usage returns the present usage.
func (t *Target) Usage() rattantarget.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usageLocked()
}

func (t *Target) usageLocked() rattantarget.Usage {
	return rattantarget.Usage{Slots: t.options.Slots, Busy: t.busy, Waiting: len(t.queue)}
}
