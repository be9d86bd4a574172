// Package rattanhome runs the jobs of an availability zone. A Home exists on
// the instance that was elected to manage the zone's targets: it sends the
// scheduler's decisions to the targets, renews the leases of their runs and
// returns each job's result to the waiting callers.
package rattanhome

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// ErrDeposed means that the home has lost authority over its targets. Its jobs
	// continue under another home.
	ErrDeposed = errors.ConstError("home was deposed")
	// ErrClosed means that the home had lost its authority before it got the job,
	// and has not accepted it.
	ErrClosed = errors.ConstError("home is closed")
)

const (
	// FencingTokenStep is the amount by which a home raises its fencing token
	// at a target. The lower bits identify the instance.
	FencingTokenStep = 1 << 12
	// MaxTokenIncrements is how often a home may raise its token at one target
	// regardless of the time. The token of a successor is higher by more than
	// that many steps.
	MaxTokenIncrements = 1000
)

// TargetClient sends requests to targets.
type TargetClient interface {
	// Start requests the start of a run.
	Start(ctx context.Context, target *rattanwork.Target, request rattanwork.StartRequest) rattanwork.StartAnswer
	// Stop asks the target to stop a run, or not to start it later.
	Stop(ctx context.Context, target *rattanwork.Target, task string, attempt int, fencingToken int64) error
	// Lease renews the leases of a target's runs and returns its listing.
	Lease(ctx context.Context, target *rattanwork.Target, request rattanwork.LeaseRequest) (*rattanwork.Listing, error)
}

// Observer is notified of events in the home.
type Observer interface {
	JobEnded(result rattanscheduler.JobResult)
	TargetChanged(event rattanscheduler.TargetEvent)
	RunLost(loss rattanscheduler.RunLoss)
	StartChanged(event rattanscheduler.StartEvent)
	// TargetUnresponsive reports that a target does not answer, with the error
	// of the last request.
	TargetUnresponsive(target string, err error)
	// TargetRecovered reports that a target answers again after the duration.
	TargetRecovered(target string, duration time.Duration)
	// OverloadChanged reports that the home begins or ceases to refuse jobs
	// because it lacks processor time.
	OverloadChanged(overloaded bool, lag time.Duration, jobs int)
	// Deposed reports that the home was deposed because the target follows
	// another home.
	Deposed(target string)
}

// Config configures a Home.
type Config struct {
	// FencingToken is the lowest fencing token of the home's requests.
	FencingToken int64
	// MaxLease and RemotePenalty are explained at rattanscheduler.Config.
	MaxLease      time.Duration
	RemotePenalty float64
	// Crashes and Callers are explained at rattanscheduler.Config.
	Crashes *rattancrash.History
	Callers rattanscheduler.Callers
	// Cancellations contains the jobs that were cancelled by their callers, none of
	// which the home starts. If it is nil, the home starts with an empty record.
	Cancellations *rattancancel.Record
	Targets       TargetClient
	// Exchange tells other instances of start requests before they are sent. If it is
	// nil, there are no other instances.
	Exchange StartExchange
	// Evacuation returns whether tasks may start in the zone. It is called with the
	// home's mutex held, for each event. If it is nil, evacuations are not used.
	Evacuation func(now time.Time) rattanwork.EvacuationStatus
	Observer   Observer
	// MaxTasks bounds the tasks of all jobs in progress, MaxRequests the start requests
	// and the stop requests that are under way at the same time. 0 means no bound.
	MaxTasks    int
	MaxRequests int
	// Suspended returns for how long the steady clock of this machine has stood
	// still, 0 if it is nil.
	Suspended func() time.Duration
	Clock     func() time.Time
}

// Home manages the targets of a zone until it is deposed or closed. It is safe
// for concurrent use.
type Home struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	// wake makes the next tick follow after busyTickInterval, startAdded the next list
	// of start requests at once.
	wake       chan struct{}
	startAdded chan struct{}
	// starts and stops bound the requests under way.
	starts, stops requestLimit
	// deposed is closed when the home is closed, or deposed because a target
	// follows another home.
	deposed chan struct{}

	// mutex is held whenever the clock is read for a decision, so that
	// decisions and their times are in the same order: a request counts as void
	// if it was made before its target's token was raised.
	mutex     sync.Mutex
	scheduler *rattanscheduler.Scheduler
	waiters   map[string][]chan rattanscheduler.JobResult
	// results caches the results of ended jobs for repeated submissions, history
	// remembers for longer which jobs there were.
	results  map[string]cachedResult
	history  jobHistory
	renewers map[string]*leaseRenewer
	pending  pendingStarts
	// raisedTokens contains the fencing tokens of removed targets for which they
	// were raised. Such a target may return.
	raisedTokens map[string]int64
	// roundTrip measures the requests to all targets.
	roundTrip roundTripEstimator
	authority authority
	// nextTickAt is when the next tick is due, lag how late events are handled.
	nextTickAt time.Time
	lag        lagMeter
	shedder    shedder
	overloaded bool
	// idle is set while the next tick is idleTickInterval after the last one.
	idle   bool
	closed bool
}

type cachedResult struct {
	result    rattanscheduler.JobResult
	expiresAt time.Time
}

// resultRetention is how long a repeated submission gets the cached result.
const resultRetention = 4 * time.Second

// New returns a home and starts its loops.
func New(config Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	if config.Cancellations == nil {
		config.Cancellations = rattancancel.NewRecord(config.Clock())
	}
	h := &Home{
		config:     config,
		ctx:        ctx,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		startAdded: make(chan struct{}, 1),
		starts:     newRequestLimit(config.MaxRequests),
		stops:      newRequestLimit(config.MaxRequests),
		deposed:    make(chan struct{}),
		scheduler: rattanscheduler.New(rattanscheduler.Config{
			MaxLease:      config.MaxLease,
			RemotePenalty: config.RemotePenalty,
			TakeoverTime:  config.Clock(),
			Crashes:       config.Crashes,
			Callers:       config.Callers,
		}),
		waiters:      map[string][]chan rattanscheduler.JobResult{},
		results:      map[string]cachedResult{},
		history:      newJobHistory(config.Clock()),
		renewers:     map[string]*leaseRenewer{},
		raisedTokens: map[string]int64{},
		idle:         true,
	}
	h.scheduler.SetEvacuation(h.evacuation(config.Clock()), config.Clock())
	go h.tickLoop()
	go h.tellStarts()
	return h
}

// FencingToken returns the fencing token of the home.
func (h *Home) FencingToken() int64 {
	return h.config.FencingToken
}

// Deposed returns a channel that is closed when the home has lost its authority
// or was closed.
func (h *Home) Deposed() <-chan struct{} {
	return h.deposed
}

// Close ends all loops. Callers of jobs in progress get ErrDeposed; the runs
// continue until their leases expire or another home adopts them.
func (h *Home) Close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.close()
}

func (h *Home) close() {
	if h.closed {
		return
	}
	h.closed = true
	h.scheduler.AbandonStarts(h.config.Clock())
	h.cancel()
	for _, list := range h.waiters {
		for _, waiter := range list {
			close(waiter)
		}
	}
	h.waiters = map[string][]chan rattanscheduler.JobResult{}
	close(h.deposed)
}

// Load describes how busy the home is.
type Load struct {
	FreeMilliCPU int
	WaitingTasks int
	Jobs         int
	// Rooms is the room by service. It is not known of a home of the former version.
	Rooms []rattanscheduler.ServiceRoom `json:",omitempty"`
	// Lag is how late the home handles events. Overloaded is set if it refuses
	// jobs for that reason.
	Lag        time.Duration
	Overloaded bool
	// Evacuated is set if no task may start because the zone is evacuated, or because
	// it is not known whether it is.
	Evacuated bool `json:",omitempty"`
}

// Load returns the current load.
func (h *Home) Load() Load {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	return Load{
		FreeMilliCPU: h.scheduler.FreeMilliCPU(now),
		WaitingTasks: h.scheduler.WaitingTasks(),
		Jobs:         h.scheduler.Jobs(),
		Rooms:        h.scheduler.Rooms(now),
		Lag:          h.lag.current(now),
		Overloaded:   h.overloaded,
		Evacuated:    h.scheduler.Evacuation() != rattanwork.EvacuationNone,
	}
}

// ColdTargets returns the number of targets that are slow after their start.
func (h *Home) ColdTargets() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.scheduler.ColdTargets()
}

// UpdateTargets replaces the list of the zone's targets. The list is current if
// it was read from the inventory after this home was created.
func (h *Home) UpdateTargets(targets []rattanwork.Target, current bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return
	}
	h.scheduler.UpdateTargets(targets, current, now)
	for i := range targets {
		id := targets[i].ID
		if _, ok := h.renewers[id]; !ok {
			l := newLeaseRenewer(h, id)
			h.renewers[id] = l
			go l.run()
		}
	}
	h.flush(now)
}

// TargetsInUse returns the targets on which runs may be active.
func (h *Home) TargetsInUse() map[string]bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.scheduler.TargetsInUse()
}

// OutstandingStarts returns the start requests that may still be carried out.
func (h *Home) OutstandingStarts() []rattanscheduler.OutstandingStart {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.scheduler.OutstandingStarts(h.config.Clock())
}

// AddOutstandingStarts adds the start requests of an earlier home of the zone that
// may still be carried out.
func (h *Home) AddOutstandingStarts(starts []rattanscheduler.OutstandingStart) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.scheduler.AddOutstandingStarts(starts, h.now())
}

// AddRemoteStarts adds the start requests of another zone's home that may still be
// carried out.
func (h *Home) AddRemoteStarts(zone string, starts []rattanscheduler.OutstandingStart) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return
	}
	now := h.now()
	h.scheduler.AddRemoteStarts(zone, starts, now)
	h.flush(now)
}

// SetRemoteZones replaces what is known of the room in other availability zones.
func (h *Home) SetRemoteZones(zones []rattanscheduler.RemoteZone) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.scheduler.SetRemoteZones(zones)
}

// Submit waits for the result of a job and starts the job unless it is already
// known. ErrDeposed and ErrClosed mean that the job must be submitted to another
// home. If ctx ends, the job continues.
func (h *Home) Submit(ctx context.Context, submission rattanscheduler.Submission) (rattanscheduler.JobResult, error) {
	waiter := make(chan rattanscheduler.JobResult, 1)
	id := submission.Job.ID
	h.mutex.Lock()
	now := h.now()
	if h.closed {
		h.mutex.Unlock()
		return rattanscheduler.JobResult{}, ErrClosed
	}
	if cached, ok := h.results[id]; ok && now.Before(cached.expiresAt) {
		h.mutex.Unlock()
		return cached.result, nil
	}
	if result, ok := h.cancelledByCaller(id, now); ok {
		h.mutex.Unlock()
		return result, nil
	}
	h.addRemoteStarts(id, now)
	h.waiters[id] = append(h.waiters[id], waiter)
	if !h.rejectWithoutRoom(ctx, submission, now) && !h.shed(submission, now) {
		h.scheduler.Submit(submission, now)
		h.scheduler.CheckAdmission(id, now)
	}
	h.flush(now)
	h.mutex.Unlock()
	select {
	case result, ok := <-waiter:
		if !ok {
			return rattanscheduler.JobResult{}, ErrDeposed
		}
		return result, nil
	case <-ctx.Done():
		return rattanscheduler.JobResult{}, errors.Trace(ctx.Err())
	}
}

// shed refuses a new job if the home lacks processor time, and reports whether
// it has. The caller holds the mutex.
func (h *Home) shed(submission rattanscheduler.Submission, now time.Time) bool {
	lag := h.lag.standing(now)
	if lag < minShedLag || !h.scheduler.IsNew(submission, now) || !h.shedder.sheds(lag, submission.Job.Tasks()) {
		return false
	}
	h.scheduler.Refuse(submission, "home lacks processor time", shedRetryAfter, now)
	return true
}

// Cancel ends a job for which no caller waits any more, and reports whether it
// was known.
func (h *Home) Cancel(jobID string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return false
	}
	found := h.scheduler.Cancel(jobID, now)
	h.flush(now)
	return found
}

// flush executes the scheduler's decisions. The caller holds the mutex.
func (h *Home) flush(now time.Time) {
	output := h.scheduler.Take()
	for _, request := range output.Starts {
		h.renewers[request.Target.ID].startRun(request, now)
	}
	for _, request := range output.Stops {
		h.renewers[request.Target.ID].stopRun(request)
	}
	for _, event := range output.Targets {
		h.config.Observer.TargetChanged(event)
	}
	for _, loss := range output.Losses {
		h.config.Observer.RunLost(loss)
	}
	for _, event := range output.StartChanges {
		h.config.Observer.StartChanged(event)
	}
	for _, result := range output.Results {
		h.handleResult(result, now)
	}
	h.wakeIfBusy(now)
}

// wakeIfBusy shortens the tick interval once time-driven decisions are pending.
// The caller holds the mutex.
func (h *Home) wakeIfBusy(now time.Time) {
	if !h.idle || !h.scheduler.Busy() {
		return
	}
	h.idle = false
	h.nextTickAt = now.Add(busyTickInterval)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// handleResult passes a job's result to the callers that wait for it, and
// caches the results that apply to repeated submissions too.
func (h *Home) handleResult(result rattanscheduler.JobResult, now time.Time) {
	switch result.Outcome {
	case rattanscheduler.Redirected:
		// The home of the other zone remembers the job if it accepts it.
	case rattanscheduler.Refused:
		// The scheduler may have forgotten an earlier submission.
		result.MayHaveStarted = result.MayHaveStarted || h.history.presence(result.JobID, now) == JobPresent
	default:
		h.history.add(result.JobID, now)
	}
	h.config.Observer.JobEnded(result)
	if result.Outcome == rattanscheduler.Succeeded || result.Outcome == rattanscheduler.Failed {
		h.results[result.JobID] = cachedResult{result: result, expiresAt: now.Add(resultRetention)}
	}
	for _, waiter := range h.waiters[result.JobID] {
		waiter <- result
	}
	delete(h.waiters, result.JobID)
}

// depose closes the home because a target follows another home.
func (h *Home) depose(target string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return
	}
	h.config.Observer.Deposed(target)
	h.close()
}

const (
	// busyTickInterval is the interval of time-driven decisions while such
	// decisions are pending, idleTickInterval the interval otherwise.
	busyTickInterval = 10 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
)

// tickLoop makes the decisions that depend only on time.
func (h *Home) tickLoop() {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			timer.Reset(busyTickInterval)
		case <-timer.C:
			timer.Reset(h.tick())
		}
	}
}

// tick makes the decisions that depend only on time and returns the time until
// the next call.
func (h *Home) tick() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return idleTickInterval
	}
	h.measureLag(now)
	h.settleAuthority(now)
	h.scheduler.Tick(now)
	h.flush(now)
	for id, cached := range h.results {
		if now.After(cached.expiresAt) {
			delete(h.results, id)
		}
	}
	interval := busyTickInterval
	h.idle = !h.scheduler.Busy()
	if h.idle {
		interval = idleTickInterval
	}
	h.nextTickAt = now.Add(interval)
	return interval
}

// measureLag updates the lag by the lateness of this tick. The caller holds the
// mutex.
func (h *Home) measureLag(now time.Time) {
	if !h.nextTickAt.IsZero() {
		h.lag.observe(max(now.Sub(h.nextTickAt), h.roundTrip.excess()), now)
	}
	lag := h.lag.standing(now)
	if overloaded := lag >= minShedLag; overloaded != h.overloaded && (overloaded || lag < minShedLag/2) {
		h.overloaded = overloaded
		h.config.Observer.OverloadChanged(overloaded, lag, h.scheduler.Jobs())
	}
}
