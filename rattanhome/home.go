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
	// FencingTokenStep is by how much a home raises its token at a target; the bits
	// below it name the instance.
	FencingTokenStep = 1 << 12
	// MaxTokenIncrements bounds how often a home raises its token at one target. The
	// token of a successor is higher by more than that.
	MaxTokenIncrements = 1000
)

// Targets carries out orders on targets.
type Targets interface {
	Start(ctx context.Context, target *rattanwork.Target, order rattanwork.StartRequest) (rattanwork.StartResult, int64)
	Stop(ctx context.Context, target *rattanwork.Target, task string, attempt int, fence int64) error
	Lease(ctx context.Context, target *rattanwork.Target, order rattanwork.LeaseRequest) (*rattanwork.Listing, error)
}

// Journal receives what the home decides.
type Journal interface {
	JobEnded(ended rattanscheduler.JobResult)
	TargetChanged(event rattanscheduler.TargetEvent)
	TargetSilent(target string, err error)
	TargetBack(target string, silence time.Duration)
	Deposed(target string)
}

// Config configures a Home.
type Config struct {
	// FencingToken is the lowest fencing token of the home's orders.
	FencingToken  int64
	MaxLease      time.Duration
	RemotePenalty float64
	Targets       Targets
	Observer      Journal
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
	waiters   map[string][]chan rattanscheduler.JobResult
	// results holds the outcome of ended jobs for copies that come later.
	results map[string]result
	leases  map[string]*lease
	// roundTrip is measured over the orders to all targets.
	roundTrip roundTrip
	closed    bool
}

type result struct {
	ended rattanscheduler.JobResult
	until time.Time
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
			TakenOver:     config.Clock(),
		}),
		waiters: map[string][]chan rattanscheduler.JobResult{},
		results: map[string]result{},
		leases:  map[string]*lease{},
	}
	go h.tick()
	return h
}

// FencingToken returns the fencing token of the home.
func (h *Home) FencingToken() int64 {
	return h.config.FencingToken
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
	h.waiters = map[string][]chan rattanscheduler.JobResult{}
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
		if _, ok := h.leases[id]; !ok {
			l := newLease(h, id)
			h.leases[id] = l
			go l.run()
		}
	}
	h.flush(now)
}

// SetRemoteZones takes in the room of other availability zones.
func (h *Home) SetRemoteZones(list []rattanscheduler.RemoteZone) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.scheduler.SetElsewhere(list)
}

// Submit waits for the outcome of a job, which is started unless it is known
// already. ErrDeposed says that the job must be presented to another home; on
// the end of ctx the job goes on.
func (h *Home) Submit(ctx context.Context, submission rattanscheduler.Submission) (rattanscheduler.JobResult, error) {
	waiter := make(chan rattanscheduler.JobResult, 1)
	id := submission.Job.ID
	h.mutex.Lock()
	now := h.config.Clock()
	if h.closed {
		h.mutex.Unlock()
		return rattanscheduler.JobResult{}, ErrDeposed
	}
	if known, ok := h.results[id]; ok && now.Before(known.until) {
		h.mutex.Unlock()
		return known.ended, nil
	}
	h.waiters[id] = append(h.waiters[id], waiter)
	h.scheduler.Submit(submission, now)
	h.scheduler.Tick(now)
	h.flush(now)
	h.mutex.Unlock()
	select {
	case ended, ok := <-waiter:
		if !ok {
			return rattanscheduler.JobResult{}, ErrDeposed
		}
		return ended, nil
	case <-ctx.Done():
		return rattanscheduler.JobResult{}, errors.Trace(ctx.Err())
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
	for _, order := range output.Starts {
		h.leases[order.Target.ID].startRun(order, now)
	}
	for _, order := range output.Stops {
		h.leases[order.Target.ID].stopRun(order)
	}
	for _, event := range output.Targets {
		h.config.Observer.TargetChanged(event)
	}
	for _, ended := range output.Ended {
		h.ended(ended, now)
	}
}

func (h *Home) ended(ended rattanscheduler.JobResult, now time.Time) {
	h.config.Observer.JobEnded(ended)
	if ended.Outcome == rattanscheduler.Succeeded || ended.Outcome == rattanscheduler.Failed {
		h.results[ended.JobID] = result{ended: ended, until: now.Add(resultRetention)}
	}
	for _, waiter := range h.waiters[ended.JobID] {
		waiter <- ended
	}
	delete(h.waiters, ended.JobID)
}

// depose ends the home because a target follows another one.
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
	// tickBusy is how often time-driven decisions are taken while there are
	// jobs, tickIdle while there are none.
	tickBusy = 20 * time.Millisecond
	tickIdle = 250 * time.Millisecond
)

// tick takes the decisions that depend on time alone.
func (h *Home) tick() {
	timer := time.NewTimer(tickIdle)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(h.onTick())
	}
}

func (h *Home) onTick() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return tickIdle
	}
	h.scheduler.Tick(now)
	h.flush(now)
	for id, known := range h.results {
		if now.After(known.until) {
			delete(h.results, id)
		}
	}
	if h.scheduler.WaitingTasks() > 0 {
		return tickBusy
	}
	return tickIdle
}
