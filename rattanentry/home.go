// Package rattanentry is the entry instance: its services meet in a
// micro-kernel and find each other by name. Front talks to callers, Home runs
// the jobs of the pool that this instance owns, Members keeps membership and
// epochs, Configuration and Inventory hold what the platform provides, and
// Operations serves operators.
package rattanentry

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanledger"
	"github.com/rattanlever/rattanlever/rattanload"
	"github.com/rattanlever/rattanlever/rattanloan"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattantarget"
	"github.com/rattanlever/rattanlever/rattantrace"
)

// ErrInvariant reports a broken invariant of the program itself.
const ErrInvariant = errors.ConstError("invariant violated")

const (
	// maintenanceInterval is how often the home expires jobs that can no
	// longer meet their deadline, and sweeps its records.
	maintenanceInterval = 25 * time.Millisecond
	sweepInterval       = time.Second
	// leaseGrace is how long a task's lease outlasts its job's deadline.
	leaseGrace = time.Second
	// A dispatch is inspected after inspectFactor times the declared run time,
	// within the two bounds: rarely enough to cost few messages, and early
	// enough that a silent connection is settled before most deadlines.
	inspectFactor   = 4
	minInspectAfter = time.Second
	maxInspectAfter = 10 * time.Second
	// stopTimeout bounds a request to stop or inspect a task.
	stopTimeout = 2 * time.Second
)

// Scheduler decides which task runs where; rattanpool.Scheduler is the
// product's.
type Scheduler interface {
	Admit(now time.Time, job rattanpool.Job) rattanpool.Admission
	Cancel(now time.Time, id rattanpool.JobID) (unstarted int)
	Expire(now time.Time) []rattanpool.JobID
	Finish(now time.Time, ended rattanpool.Assignment, report rattanpool.Report) (requeued bool)
	Load(now time.Time) rattanpool.Load
	Next(now time.Time) (rattanpool.Assignment, bool)
	NextWake(now time.Time) (time.Duration, bool)
	SetCallers(now time.Time, callers []rattanpool.Caller)
	SetTargets(now time.Time, targets []rattanpool.Target)
}

// TaskRunner runs tasks at targets.
type TaskRunner interface {
	Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error)
	ResolveOutcome(ctx context.Context, address, id string) (rattantarget.Result, error)
	Stop(ctx context.Context, address, id string) (rattantarget.StopResult, error)
}

// Authority reports whether this instance may act for an epoch.
type Authority interface {
	EpochValid(now time.Time, epoch rattanjob.EpochID) bool
}

// Documents gives the configuration that is in force here.
type Documents interface {
	Document() *rattanconfig.Document
}

// Recorder keeps what happened to jobs and how well they were served.
type Recorder interface {
	// Submitted sets the Trace of the job.
	Submitted(now time.Time, job *Running, submission rattantrace.Submission, expected time.Duration)
	Assigned(now time.Time, job *Running, assignment rattanpool.Assignment) rattantrace.EventRef
	TaskEnded(now time.Time, job *Running, ref rattantrace.EventRef, task int, report rattanpool.Report)
	Answered(now time.Time, ended Ended)
}

// Running identifies a job in progress.
type Running struct {
	Key    rattanjob.Key
	Caller string
	Kind   string
	// Trace names the job's trace; 0 means none.
	Trace rattantrace.ID
}

// dispatched is one assignment in progress.
type dispatched struct {
	rattanpool.Assignment
	ref rattantrace.EventRef
}

// Ended is the end of a job that was admitted or refused.
type Ended struct {
	Running
	// Took is the time from submission to answer.
	Took     time.Duration
	Deadline time.Duration
	Answer   rattanjob.Answer
}

// HomeConfig configures a Home. All fields but Metrics, Recorder and Fence are
// required. Connect sets those of other services.
type HomeConfig struct {
	Scheduler Scheduler
	Ledger    *rattanledger.Ledger
	Runner    TaskRunner
	Authority Authority
	Documents Documents
	Metrics   *rattanmetric.Registry
	Recorder  Recorder
	// Fence is called when the home finds that an epoch is no longer valid.
	Fence func(epoch rattanjob.EpochID)
	// DrainTimeout bounds the wait of Stop for jobs in progress.
	DrainTimeout time.Duration
}

// Home runs the jobs whose keys name this instance. It is safe for concurrent
// use. Requests of callers are decided by the time that is read under the lock:
// one that was held up before it would otherwise be decided by a time at which
// the epoch was still valid, or its key not yet expired, after others were
// decided by a later one.
type Home struct {
	config  HomeConfig
	counts  *homeCounts
	stopped chan struct{}
	loops   sync.WaitGroup

	mutex    sync.Mutex
	draining bool
	dead     bool
	waiting  int
	nextID   rattanpool.JobID
	runs     map[rattanjob.Nonce]*run
	byID     map[rattanpool.JobID]*run
	// addresses holds the addresses of all targets in use, by name.
	addresses map[string]string
	// demand is the number of tasks without a result, by caller, and jobs the
	// number of jobs in progress.
	demand map[string]int
	jobs   map[string]int
	// services is the number of slots by service.
	services map[string]int
	// queued is the number of tasks that wait for a slot, by service, and busy
	// the number of assignments in progress, by target.
	queued map[string]int
	busy   map[string]int
	// own are the targets of the pool, without loans, and ownAddresses their
	// addresses by name.
	own          []rattanpool.Target
	ownAddresses map[string]string
	loans        *rattanloan.LoanTable
	// load is the load of the pool at loadAt. It is not worked out for each
	// submission, because that visits all targets.
	load      float64
	loadAt    time.Time
	wake      *time.Timer
	lastSweep time.Time
}

// NewHome returns a home without targets.
func NewHome(config HomeConfig) *Home {
	home := &Home{
		config:    config,
		counts:    newHomeCounts(config.Metrics),
		stopped:   make(chan struct{}),
		runs:      map[rattanjob.Nonce]*run{},
		byID:      map[rattanpool.JobID]*run{},
		addresses: map[string]string{},
		demand:    map[string]int{},
		jobs:      map[string]int{},
		queued:    map[string]int{},
		busy:      map[string]int{},
		loans:     rattanloan.New(rattanloan.Config{}),
	}
	home.wake = time.AfterFunc(time.Hour, home.pump)
	return home
}

// Connect finds the services that this one uses.
func (h *Home) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceMembers, &h.config.Authority),
		rattankernel.DependsOn(serviceConfiguration, &h.config.Documents),
		rattankernel.DependsOn(serviceRecords, &h.config.Recorder),
	)
}

// Cancel ends the job of the key. A key that was not submitted yet is refused
// from now on, so that a delayed submission cannot run after the cancellation.
func (h *Home) Cancel(caller string, key rattanjob.Key) rattanjob.Answer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	// A home that was paused may have been declared ended, and its answer
	// would contradict what callers were told meanwhile.
	if !h.valid(now, key.Epoch) {
		return lost(key)
	}
	answer, verdict := h.config.Ledger.Lookup(now, key, caller)
	switch verdict {
	case rattanledger.VerdictUnknown:
		return h.cancelUnsubmitted(now, key)
	case rattanledger.VerdictJoin:
		current, ok := h.runs[key.Nonce]
		if !ok {
			return h.missingRun(key)
		}
		h.counts.count(eventCancelled)
		return h.end(now, current, rattanjob.StateCancelled, rattanjob.ReasonCancelled, "cancelled by its caller")
	}
	return h.answerFor(answer, verdict, key)
}

// Drain waits until all jobs in progress have ended and their waiting callers
// are answered, at most DrainTimeout. New submissions are refused meanwhile.
func (h *Home) Drain(ctx context.Context) error {
	h.mutex.Lock()
	h.draining = true
	h.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.config.DrainTimeout)
	defer cancel()
	return h.drained(ctx)
}

// EpochEmpty reports whether no record of a job of the epoch is kept.
func (h *Home) EpochEmpty(epoch rattanjob.EpochID) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.config.Ledger.EpochEmpty(epoch)
}

// Fence ends all jobs of the epoch: no further task is started, and their
// answer is Lost. Their tasks are stopped at the targets.
func (h *Home) Fence(now time.Time, epoch rattanjob.EpochID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fence(now, epoch)
}

// Jobs returns the number of jobs in progress.
func (h *Home) Jobs() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.runs)
}

// LedgerCounters returns the present values of the ledger's counters.
func (h *Home) LedgerCounters() rattanledger.Counters {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.config.Ledger.Counters()
}

// Load returns the load of the home.
func (h *Home) Load(now time.Time) HomeLoad {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return HomeLoad{
		Jobs:         len(h.runs),
		Pool:         h.config.Scheduler.Load(now),
		Demand:       maps.Clone(h.demand),
		ServiceSlots: h.services,
	}
}

// PoolLoad returns the load of the pool for the choice of pools.
func (h *Home) PoolLoad(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.loadAt) >= maintenanceInterval {
		load := h.config.Scheduler.Load(now)
		h.load = rattanload.PoolLoad(load.Slots, load.BusySlots, load.Backlog)
		h.loadAt = now
	}
	return h.load
}

// OpenEpoch accepts submissions for a new epoch of this instance.
func (h *Home) OpenEpoch(now time.Time, epoch rattanjob.EpochID, start time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.config.Ledger.OpenEpoch(now, epoch, start)
}

// Name returns the name of the service in the kernel.
func (h *Home) Name() string {
	return serviceHome
}

// SetCallers sets the callers of the pool.
func (h *Home) SetCallers(now time.Time, callers []rattanpool.Caller) {
	h.mutex.Lock()
	h.config.Scheduler.SetCallers(now, callers)
	h.mutex.Unlock()
	h.pump()
}

// SetTargets sets the targets of the pool and their addresses by name.
func (h *Home) SetTargets(now time.Time, targets []rattanpool.Target, addresses map[string]string) {
	h.mutex.Lock()
	h.own = targets
	h.ownAddresses = addresses
	h.services = map[string]int{}
	for _, target := range targets {
		if !target.Leaving {
			h.services[target.Service] += target.Slots
		}
	}
	h.applyTargets(now)
	h.mutex.Unlock()
	h.pump()
}

// applyTargets tells the scheduler the own targets without the slots that are
// lent, and the borrowed ones.
func (h *Home) applyTargets(now time.Time) {
	borrowed, addresses := h.loans.BorrowedTargets(now)
	maps.Copy(addresses, h.ownAddresses)
	for name := range h.busy {
		// A target that has left the list may still run tasks to be stopped.
		if _, ok := addresses[name]; !ok {
			addresses[name] = h.addresses[name]
		}
	}
	h.addresses = addresses
	targets := make([]rattanpool.Target, 0, len(h.own)+len(borrowed))
	for _, target := range h.own {
		lent := h.loans.LentSlots(now, target.Name)
		if lent >= target.Slots {
			target.Leaving = true
		} else {
			target.Slots -= lent
		}
		targets = append(targets, target)
	}
	for _, target := range borrowed {
		// A target that is borrowed from another pool of the zone may move to
		// this pool when the number of pools changes; it is an own one then.
		if _, own := h.ownAddresses[target.Name]; !own {
			targets = append(targets, target)
		}
	}
	h.config.Scheduler.SetTargets(now, targets)
}

// Start starts the maintenance of the home.
func (h *Home) Start(context.Context) error {
	h.loops.Go(h.maintain)
	return nil
}

// Status returns the answer for the key, waiting up to wait for a final one.
func (h *Home) Status(ctx context.Context, caller string, key rattanjob.Key, wait time.Duration) rattanjob.Answer {
	h.mutex.Lock()
	now := time.Now()
	if !h.valid(now, key.Epoch) {
		h.mutex.Unlock()
		return lost(key)
	}
	answer, verdict := h.config.Ledger.Lookup(now, key, caller)
	current := h.runs[key.Nonce]
	if verdict != rattanledger.VerdictJoin || current == nil {
		answer = h.answerFor(answer, verdict, key)
		h.mutex.Unlock()
		return answer
	}
	h.mutex.Unlock()
	return h.await(ctx, current, caller, wait)
}

// Stop ends the maintenance. Jobs still in progress are abandoned.
func (h *Home) Stop(context.Context) error {
	close(h.stopped)
	h.loops.Wait()
	h.wake.Stop()
	return nil
}

// Submit starts the job unless its key was used before, and waits up to wait
// for a final answer. A fault is why the submission cannot be accepted; it is
// recorded as the refusal of the key if the key is new.
func (h *Home) Submit(ctx context.Context, caller string, submission *rattanjob.Submission, fault *rattanjob.Answer, wait time.Duration) rattanjob.Answer {
	current, answer := h.begin(caller, submission, fault)
	if current == nil {
		return answer
	}
	h.pump()
	return h.await(ctx, current, caller, wait)
}

// abandon ends all runs without an answer, as the death of the process would.
func (h *Home) abandon() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.dead = true
}

// valid reports whether the home may act for the epoch now; it fences the
// epoch when it may not.
func (h *Home) valid(now time.Time, epoch rattanjob.EpochID) bool {
	if h.dead {
		return false
	}
	if h.config.Authority.EpochValid(now, epoch) {
		return true
	}
	h.fence(now, epoch)
	return false
}

func (h *Home) fence(now time.Time, epoch rattanjob.EpochID) {
	h.config.Ledger.FenceEpoch(now, epoch)
	for _, current := range h.runs {
		if current.Key.Epoch == epoch {
			h.counts.count(eventFenced)
			h.settle(now, current, lost(current.Key))
		}
	}
	if h.config.Fence != nil {
		go h.config.Fence(epoch)
	}
}

// drained waits until no job is in progress and no request waits. A home that
// was killed has nothing to wait for.
func (h *Home) drained(ctx context.Context) error {
	for {
		h.mutex.Lock()
		idle := h.dead || len(h.runs) == 0 && h.waiting == 0
		h.mutex.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "jobs in progress")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// maintain expires jobs and records until the home is stopped.
func (h *Home) maintain() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stopped:
			return
		case now := <-ticker.C:
			h.tick(now)
		}
	}
}

func (h *Home) tick(now time.Time) {
	h.mutex.Lock()
	for _, id := range h.config.Scheduler.Expire(now) {
		if current, ok := h.byID[id]; ok {
			h.end(now, current, rattanjob.StateRefused, rattanjob.ReasonDeadlinePassed, "it could no longer meet its deadline")
		}
	}
	if h.loans.Expire(now) {
		h.applyTargets(now)
	}
	if now.Sub(h.lastSweep) >= sweepInterval {
		h.lastSweep = now
		h.config.Ledger.Sweep(now)
	}
	h.mutex.Unlock()
	h.pump()
}

func (h *Home) violated(what string) {
	h.counts.count(eventViolated)
	violations.Add(1)
	reportViolation(errors.WithType(errors.New(what), ErrInvariant))
}

// taskPayload is never empty, because targets take any JSON value.
func taskPayload(task rattanjob.Task) json.RawMessage {
	if len(task.Payload) == 0 {
		return json.RawMessage("null")
	}
	return task.Payload
}
