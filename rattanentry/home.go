// Package rattanentry implements an entry instance. Its services register with
// a micro-kernel and find each other by name. Frontend serves callers, Home
// runs the jobs of the pool that this instance owns, Membership tracks the
// other instances and the epochs, Configuration and Inventory hold what the
// platform provides, and Operations serves operators.
//
// The targets of an availability zone are divided into pools. The home of a
// pool is the instance that owns it; a job runs at the home that its key names.
// An epoch is a period during which one incarnation of an instance may act as a
// home.
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

// ErrInvariant marks violations of the program's own invariants.
const ErrInvariant = errors.ConstError("invariant violated")

const (
	// maintenanceInterval is how often the home expires jobs that can no longer
	// meet their deadline. sweepInterval is how often it removes old records.
	maintenanceInterval = 25 * time.Millisecond
	sweepInterval       = time.Second
	// leaseGrace is how much longer a task's lease lasts than its job's
	// deadline.
	leaseGrace = time.Second
	// A target is asked about a dispatch without a response after inspectFactor
	// times the declared run time, within the two bounds: rarely enough to cost
	// few messages, and early enough to detect a broken connection before most
	// deadlines.
	inspectFactor   = 4
	minInspectAfter = time.Second
	maxInspectAfter = 10 * time.Second
	// stopTimeout bounds a request to stop a task.
	stopTimeout = 2 * time.Second
)

// Scheduler decides which task runs on which target. In production it is a
// rattanpool.Scheduler.
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

// TaskRunner runs tasks on targets. In production it is a rattantarget.Client.
type TaskRunner interface {
	Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error)
	ResolveOutcome(ctx context.Context, address, id string) (rattantarget.Result, error)
	Stop(ctx context.Context, address, id string) (rattantarget.StopResult, error)
}

// Authority reports whether this instance may act for an epoch.
type Authority interface {
	EpochValid(now time.Time, epoch rattanjob.EpochID) bool
}

// Documents provides the current configuration.
type Documents interface {
	Document() *rattanconfig.Document
}

// Recorder records the history of jobs and the counts for service level
// objectives.
type Recorder interface {
	// Submitted records an admitted job and sets its Trace.
	Submitted(now time.Time, job *JobInfo, submission rattantrace.Submission, expected time.Duration)
	// Assigned records the assignment of a task to a target and returns the
	// reference for the call of TaskEnded.
	Assigned(now time.Time, job *JobInfo, assignment rattanpool.Assignment) rattantrace.EventRef
	// TaskEnded records the end of an assignment.
	TaskEnded(now time.Time, job *JobInfo, ref rattantrace.EventRef, task int, report rattanpool.Report)
	// Answered records the final answer of a job.
	Answered(now time.Time, ended EndedJob)
}

// JobInfo identifies an admitted or refused job.
type JobInfo struct {
	Key    rattanjob.Key
	Caller string
	Kind   string
	// Trace is the ID of the job's trace; 0 means none.
	Trace rattantrace.ID
}

// activeAssignment is an assignment whose dispatch has not ended.
type activeAssignment struct {
	rattanpool.Assignment
	traceRef rattantrace.EventRef
}

// EndedJob describes the end of a job that was admitted or refused.
type EndedJob struct {
	JobInfo
	// Took is the time from submission to answer.
	Took     time.Duration
	Deadline time.Duration
	Answer   rattanjob.Answer
}

// HomeConfig configures a Home. Metrics, Recorder and OnEpochInvalid are
// optional. Connect sets Authority, Documents and Recorder.
type HomeConfig struct {
	Scheduler Scheduler
	Ledger    *rattanledger.Ledger
	Runner    TaskRunner
	Authority Authority
	Documents Documents
	Metrics   *rattanmetric.Registry
	Recorder  Recorder
	// OnEpochInvalid is called when the home finds that an epoch is no longer
	// valid.
	OnEpochInvalid func(epoch rattanjob.EpochID)
	// DrainTimeout bounds how long Drain waits for active jobs.
	DrainTimeout time.Duration
}

// Home runs the jobs whose keys name this instance. It is safe for concurrent
// use. Methods that handle requests read the clock after they have taken the
// lock. With a time read earlier, a request that waited for the lock could be
// accepted although its epoch has become invalid or its key has expired in the
// meantime.
type Home struct {
	config  HomeConfig
	metrics *homeMetrics
	stopped chan struct{}
	loops   sync.WaitGroup

	mutex           sync.Mutex
	draining        bool
	killed          bool
	waitingRequests int
	nextID          rattanpool.JobID
	activeJobs      map[rattanjob.Nonce]*activeJob
	activeJobsByID  map[rattanpool.JobID]*activeJob
	// targetAddresses holds the addresses of all targets in use, by name.
	targetAddresses map[string]string
	// unfinishedTasks is the number of tasks without a result, and jobsByCaller
	// the number of active jobs, both by caller.
	unfinishedTasks map[string]int
	jobsByCaller    map[string]int
	// slotsByService is the number of slots of the pool's own targets by
	// service, without leaving targets.
	slotsByService map[string]int
	// queuedTasks is the number of tasks that wait for a slot, by service.
	// busySlots is the number of active assignments, by target.
	queuedTasks map[string]int
	busySlots   map[string]int
	// ownTargets are the targets of the pool, without borrowed ones.
	// ownAddresses holds their addresses by name.
	ownTargets   []rattanpool.Target
	ownAddresses map[string]string
	loanTable    *rattanloan.LoanTable
	// poolLoad is the load of the pool at poolLoadTime. It is cached because
	// computing it for each submission would visit all targets.
	poolLoad     float64
	poolLoadTime time.Time
	assignTimer  *time.Timer
	lastSweep    time.Time
}

// NewHome returns a home without targets.
func NewHome(config HomeConfig) *Home {
	home := &Home{
		config:          config,
		metrics:         newHomeMetrics(config.Metrics),
		stopped:         make(chan struct{}),
		activeJobs:      map[rattanjob.Nonce]*activeJob{},
		activeJobsByID:  map[rattanpool.JobID]*activeJob{},
		targetAddresses: map[string]string{},
		unfinishedTasks: map[string]int{},
		jobsByCaller:    map[string]int{},
		queuedTasks:     map[string]int{},
		busySlots:       map[string]int{},
		loanTable:       rattanloan.New(rattanloan.Config{}),
	}
	home.assignTimer = time.AfterFunc(time.Hour, home.assignTasks)
	return home
}

// Connect resolves the services that the home depends on.
func (h *Home) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceMembership, &h.config.Authority),
		rattankernel.DependsOn(serviceConfiguration, &h.config.Documents),
		rattankernel.DependsOn(serviceRecorder, &h.config.Recorder),
	)
}

// Cancel ends the job of the key. A key that was not submitted yet is refused
// from now on, so that a delayed submission cannot run after the cancellation.
func (h *Home) Cancel(caller string, key rattanjob.Key) rattanjob.Answer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	// A home that was paused may have been declared ended, and its answer
	// could contradict what callers have been told since.
	if !h.epochValid(now, key.Epoch) {
		return homeLostAnswer(key)
	}
	answer, verdict := h.config.Ledger.Lookup(now, key, caller)
	switch verdict {
	case rattanledger.VerdictUnknown:
		return h.cancelBeforeSubmission(now, key)
	case rattanledger.VerdictJoin:
		job, ok := h.activeJobs[key.Nonce]
		if !ok {
			return h.missingJobAnswer(key)
		}
		h.metrics.count(eventCancelled)
		return h.endJob(now, job, rattanjob.StateCancelled, rattanjob.ReasonCancelled, "cancelled by its caller")
	}
	return h.verdictAnswer(answer, verdict, key)
}

// Drain waits until all active jobs have ended and their waiting callers have
// been answered, for at most DrainTimeout. New submissions are refused from now
// on.
func (h *Home) Drain(ctx context.Context) error {
	h.mutex.Lock()
	h.draining = true
	h.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.config.DrainTimeout)
	defer cancel()
	return h.waitIdle(ctx)
}

// EpochEmpty reports whether the ledger has no record of a job of the epoch.
func (h *Home) EpochEmpty(epoch rattanjob.EpochID) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.config.Ledger.EpochEmpty(epoch)
}

// Fence ends all jobs of the epoch: no further task is started, their answer
// becomes HomeLost, and their running tasks are stopped at the targets.
func (h *Home) Fence(now time.Time, epoch rattanjob.EpochID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fence(now, epoch)
}

// Jobs returns the number of active jobs.
func (h *Home) Jobs() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.activeJobs)
}

// LedgerCounters returns the current values of the ledger's counters.
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
		Jobs:         len(h.activeJobs),
		Pool:         h.config.Scheduler.Load(now),
		Demand:       maps.Clone(h.unfinishedTasks),
		ServiceSlots: h.slotsByService,
	}
}

// PoolLoad returns the load of the pool as a single number, by which instances
// choose the pools for new keys. It may be as old as maintenanceInterval.
func (h *Home) PoolLoad(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.poolLoadTime) >= maintenanceInterval {
		load := h.config.Scheduler.Load(now)
		h.poolLoad = rattanload.PoolLoad(load.Slots, load.BusySlots, load.Backlog)
		h.poolLoadTime = now
	}
	return h.poolLoad
}

// OpenEpoch accepts submissions for a new epoch of this instance that began at
// start.
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
	h.assignTasks()
}

// SetTargets sets the targets of the pool and their addresses by name.
func (h *Home) SetTargets(now time.Time, targets []rattanpool.Target, addresses map[string]string) {
	h.mutex.Lock()
	h.ownTargets = targets
	h.ownAddresses = addresses
	h.slotsByService = map[string]int{}
	for _, target := range targets {
		if !target.Leaving {
			h.slotsByService[target.Service] += target.Slots
		}
	}
	h.applyTargets(now)
	h.mutex.Unlock()
	h.assignTasks()
}

// applyTargets passes the pool's own targets, without the slots that are lent,
// and the borrowed ones to the scheduler.
func (h *Home) applyTargets(now time.Time) {
	borrowed, addresses := h.loanTable.BorrowedTargets(now)
	maps.Copy(addresses, h.ownAddresses)
	for name := range h.busySlots {
		// A target that was removed from the list may still run tasks that have
		// to be stopped.
		if _, ok := addresses[name]; !ok {
			addresses[name] = h.targetAddresses[name]
		}
	}
	h.targetAddresses = addresses
	targets := make([]rattanpool.Target, 0, len(h.ownTargets)+len(borrowed))
	for _, target := range h.ownTargets {
		lent := h.loanTable.LentSlots(now, target.Name)
		if lent >= target.Slots {
			target.Leaving = true
		} else {
			target.Slots -= lent
		}
		targets = append(targets, target)
	}
	for _, target := range borrowed {
		// When the number of pools changes, a target that is borrowed from
		// another pool of the zone may move to this pool. It then counts as an
		// own target.
		if _, own := h.ownAddresses[target.Name]; !own {
			targets = append(targets, target)
		}
	}
	h.config.Scheduler.SetTargets(now, targets)
}

// Start starts the maintenance loop.
func (h *Home) Start(context.Context) error {
	h.loops.Go(h.maintenanceLoop)
	return nil
}

// Status returns the answer for the key. It waits for a final answer for at
// most wait.
func (h *Home) Status(ctx context.Context, caller string, key rattanjob.Key, wait time.Duration) rattanjob.Answer {
	h.mutex.Lock()
	now := time.Now()
	if !h.epochValid(now, key.Epoch) {
		h.mutex.Unlock()
		return homeLostAnswer(key)
	}
	answer, verdict := h.config.Ledger.Lookup(now, key, caller)
	job := h.activeJobs[key.Nonce]
	if verdict != rattanledger.VerdictJoin || job == nil {
		answer = h.verdictAnswer(answer, verdict, key)
		h.mutex.Unlock()
		return answer
	}
	h.mutex.Unlock()
	return h.awaitAnswer(ctx, job, caller, wait)
}

// Stop ends the maintenance loop. Jobs that are still active are abandoned.
func (h *Home) Stop(context.Context) error {
	close(h.stopped)
	h.loops.Wait()
	h.assignTimer.Stop()
	return nil
}

// Submit starts the job unless its key was used before, and waits for a final
// answer for at most wait. priorRefusal is set for a submission that was found
// to be invalid before; it is recorded as the answer of the key if the key is
// new.
func (h *Home) Submit(ctx context.Context, caller string, submission *rattanjob.Submission, priorRefusal *rattanjob.Answer, wait time.Duration) rattanjob.Answer {
	job, answer := h.beginSubmission(caller, submission, priorRefusal)
	if job == nil {
		return answer
	}
	h.assignTasks()
	return h.awaitAnswer(ctx, job, caller, wait)
}

// kill makes the home refuse all work and answer HomeLost, as if the process
// had died.
func (h *Home) kill() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.killed = true
}

// epochValid reports whether the home may act for the epoch now. It fences the
// epoch if not.
func (h *Home) epochValid(now time.Time, epoch rattanjob.EpochID) bool {
	if h.killed {
		return false
	}
	if h.config.Authority.EpochValid(now, epoch) {
		return true
	}
	h.fence(now, epoch)
	return false
}

// fence does the work of Fence. The caller holds the lock.
func (h *Home) fence(now time.Time, epoch rattanjob.EpochID) {
	h.config.Ledger.FenceEpoch(now, epoch)
	for _, job := range h.activeJobs {
		if job.Key.Epoch == epoch {
			h.metrics.count(eventFenced)
			h.closeJob(now, job, homeLostAnswer(job.Key))
		}
	}
	if h.config.OnEpochInvalid != nil {
		go h.config.OnEpochInvalid(epoch)
	}
}

// waitIdle waits until no job is active and no request is waiting. It returns
// at once for a home that was killed.
func (h *Home) waitIdle(ctx context.Context) error {
	for {
		h.mutex.Lock()
		idle := h.killed || len(h.activeJobs) == 0 && h.waitingRequests == 0
		h.mutex.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for active jobs")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// maintenanceLoop expires jobs, loans and records until the home is stopped.
func (h *Home) maintenanceLoop() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stopped:
			return
		case now := <-ticker.C:
			h.runMaintenance(now)
		}
	}
}

func (h *Home) runMaintenance(now time.Time) {
	h.mutex.Lock()
	for _, id := range h.config.Scheduler.Expire(now) {
		if job, ok := h.activeJobsByID[id]; ok {
			h.endJob(now, job, rattanjob.StateRefused, rattanjob.ReasonDeadlinePassed, "it could no longer meet its deadline")
		}
	}
	if h.loanTable.Expire(now) {
		h.applyTargets(now)
	}
	if now.Sub(h.lastSweep) >= sweepInterval {
		h.lastSweep = now
		h.config.Ledger.Sweep(now)
	}
	h.mutex.Unlock()
	h.assignTasks()
}

// recordViolation counts and reports an invariant violation.
func (h *Home) recordViolation(message string) {
	h.metrics.count(eventViolated)
	violations.Add(1)
	reportViolation(errors.WithType(errors.New(message), ErrInvariant))
}

// taskPayload returns the payload of the task, or null if it is empty, because
// targets expect a JSON value.
func taskPayload(task rattanjob.Task) json.RawMessage {
	if len(task.Payload) == 0 {
		return json.RawMessage("null")
	}
	return task.Payload
}
