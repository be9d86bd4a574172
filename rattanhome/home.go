// Package rattanhome runs the jobs of one availability zone: it carries out the
// scheduler's decisions on the targets, keeps the leases of their runs and
// gives each waiting caller the outcome of its job.
package rattanhome

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// ErrDeposed says that the home has lost authority over its targets; its jobs
// go on under another home.
const ErrDeposed = errors.ConstError("home was deposed")

const (
	// FenceStep is by how much a home raises its token at a target; the bits
	// below it name the instance.
	FenceStep = 1 << 12
	// MaxRaises bounds how often a home raises its token at one target. The
	// token of a successor is higher by more than that.
	MaxRaises = 1000
)

// TargetClient carries out orders on targets.
type TargetClient interface {
	Start(ctx context.Context, target *rattanwork.Target, order rattanwork.StartOrder) (rattanwork.StartResult, int64)
	Stop(ctx context.Context, target *rattanwork.Target, task string, attempt int, fence int64) error
	Lease(ctx context.Context, target *rattanwork.Target, order rattanwork.LeaseOrder) (*rattanwork.Listing, error)
}

// Observer receives what the home decides.
type Observer interface {
	JobEnded(ended rattanscheduler.Ended)
	TargetChanged(event rattanscheduler.TargetEvent)
	TargetSilent(target string, err error)
	TargetBack(target string, silence time.Duration)
	Deposed(target string)
}

// Config configures a Home.
type Config struct {
	// Fence is the lowest fencing token of the home's orders.
	Fence         int64
	MaxLease      time.Duration
	RemotePenalty float64
	Targets       TargetClient
	Journal       Observer
	Clock         func() time.Time
}

// Home has authority over the targets of a zone until it is deposed or closed.
// It is safe for concurrent use.
type Home struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	// deposed is closed when a target follows another home.
	deposed chan struct{}

	// mutex is held whenever the clock is read for a decision, so that times
	// are in the order of the decisions: an order counts as void if it was
	// given before a token was raised.
	mutex     sync.Mutex
	scheduler *rattanscheduler.Scheduler
	waiters   map[string][]chan rattanscheduler.Ended
	// results holds the outcome of ended jobs for copies that come later.
	results  map[string]cachedResult
	renewers map[string]*leaseRenewer
	// roundTripEstimator is measured over the orders to all targets.
	roundTrip roundTripEstimator
	closed    bool
}

type cachedResult struct {
	result    rattanscheduler.Ended
	expiresAt time.Time
}

// resultRetention is how long a copy of a submission finds the outcome.
const resultRetention = 4 * time.Second

// New returns a home and starts its loops.
func New(config Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		config:  config,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		deposed: make(chan struct{}),
		scheduler: rattanscheduler.New(rattanscheduler.Config{
			MaxLease:      config.MaxLease,
			RemotePenalty: config.RemotePenalty,
			TakeoverTime:  config.Clock(),
		}),
		waiters:  map[string][]chan rattanscheduler.Ended{},
		results:  map[string]cachedResult{},
		renewers: map[string]*leaseRenewer{},
	}
	go h.tickLoop()
	return h
}

// Fence returns the fencing token of the home.
func (h *Home) Fence() int64 {
	return h.config.Fence
}

// Deposed is closed when the home has lost its authority.
func (h *Home) Deposed() <-chan struct{} {
	return h.deposed
}

// Close ends all loops; jobs in progress get ErrDeposed and their runs go on
// until their leases expire or another home adopts them.
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
	h.cancel()
	for _, list := range h.waiters {
		for _, waiter := range list {
			close(waiter)
		}
	}
	h.waiters = map[string][]chan rattanscheduler.Ended{}
	close(h.deposed)
}

// Load describes how busy the home is.
type Load struct {
	FreeMilliCPU int
	WaitingTasks int
	Jobs         int
}

// Load returns the present load.
func (h *Home) Load() Load {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	return Load{FreeMilliCPU: h.scheduler.FreeMilliCPU(now), WaitingTasks: h.scheduler.WaitingTasks(), Jobs: h.scheduler.Jobs()}
}

// UpdateTargets takes in the zone's targets. The list is current if it was read
// from the inventory since this home exists.
func (h *Home) UpdateTargets(listed []rattanwork.Target, current bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return
	}
	h.scheduler.UpdateTargets(listed, current, now)
	for i := range listed {
		id := listed[i].ID
		if _, ok := h.renewers[id]; !ok {
			l := newLeaseRenewer(h, id)
			h.renewers[id] = l
			go l.run()
		}
	}
	h.flush(now)
}

// SetElsewhere takes in the room of other availability zones.
func (h *Home) SetElsewhere(list []rattanscheduler.Elsewhere) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.scheduler.SetRemoteZones(list)
}

// Submit waits for the outcome of a job, which is started unless it is known
// already. ErrDeposed says that the job must be presented to another home; on
// the end of ctx the job goes on.
func (h *Home) Submit(ctx context.Context, submission rattanscheduler.Submission) (rattanscheduler.Ended, error) {
	waiter := make(chan rattanscheduler.Ended, 1)
	id := submission.Job.ID
	h.mutex.Lock()
	now := h.config.Clock()
	if h.closed {
		h.mutex.Unlock()
		return rattanscheduler.Ended{}, ErrDeposed
	}
	if cached, ok := h.results[id]; ok && now.Before(cached.expiresAt) {
		h.mutex.Unlock()
		return cached.result, nil
	}
	h.waiters[id] = append(h.waiters[id], waiter)
	h.scheduler.Submit(submission, now)
	h.scheduler.Tick(now)
	h.flush(now)
	h.mutex.Unlock()
	select {
	case result, ok := <-waiter:
		if !ok {
			return rattanscheduler.Ended{}, ErrDeposed
		}
		return result, nil
	case <-ctx.Done():
		return rattanscheduler.Ended{}, errors.Trace(ctx.Err())
	}
}

// Cancel ends a job that nobody waits for and reports whether it was known.
func (h *Home) Cancel(jobID string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return false
	}
	found := h.scheduler.Cancel(jobID, now)
	h.flush(now)
	return found
}

// flush carries out the scheduler's decisions. The caller holds the mutex.
func (h *Home) flush(now time.Time) {
	output := h.scheduler.Take()
	for _, request := range output.Starts {
		h.renewers[request.Target.ID].startRun(request, now)
	}
	for _, request := range output.Stops {
		h.renewers[request.Target.ID].stopRun(request)
	}
	for _, event := range output.Targets {
		h.config.Journal.TargetChanged(event)
	}
	for _, result := range output.Results {
		h.handleResult(result, now)
	}
}

func (h *Home) handleResult(result rattanscheduler.Ended, now time.Time) {
	h.config.Journal.JobEnded(result)
	if result.Outcome == rattanscheduler.Succeeded || result.Outcome == rattanscheduler.Failed {
		h.results[result.JobID] = cachedResult{result: result, expiresAt: now.Add(resultRetention)}
	}
	for _, waiter := range h.waiters[result.JobID] {
		waiter <- result
	}
	delete(h.waiters, result.JobID)
}

// depose ends the home because a target follows another one.
func (h *Home) depose(target string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return
	}
	h.config.Journal.Deposed(target)
	h.close()
}

const (
	// busyTickInterval is how often time-driven decisions are taken while there are
	// jobs, idleTickInterval while there are none.
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
)

// tickLoop takes the decisions that depend on time alone.
func (h *Home) tickLoop() {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(h.tick())
	}
}

func (h *Home) tick() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return idleTickInterval
	}
	h.scheduler.Tick(now)
	h.flush(now)
	for id, cached := range h.results {
		if now.After(cached.expiresAt) {
			delete(h.results, id)
		}
	}
	if h.scheduler.WaitingTasks() > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}
