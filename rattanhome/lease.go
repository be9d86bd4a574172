package rattanhome

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// leaseWait is how long a target may hold its answer until a run ends. It
	// bounds the time between renewals.
	leaseWait = 300 * time.Millisecond
	// leaseWaitIdle is the same for targets without runs.
	leaseWaitIdle = 450 * time.Millisecond
	// leaseSlack is how much shorter than allowed leases are ordered, because
	// the target's clock is known to a few milliseconds only.
	leaseSlack = 20 * time.Millisecond
	// leaseWaitLossy is the same for targets of which answers were lost less
	// than lossMemory ago: the end of a run whose list is lost keeps its room
	// until the next list.
	leaseWaitLossy = 60 * time.Millisecond
	lossMemory     = 1 * time.Second
	// leaseTimeout is added to the wait for the answer to a renewal,
	// leaseTimeoutLossy while answers are being lost.
	leaseTimeout      = 100 * time.Millisecond
	leaseTimeoutLossy = 50 * time.Millisecond
	// quickRetries is how often a lost renewal is repeated at once.
	quickRetries = 2
	retryPause   = 60 * time.Millisecond
	settlePause  = 3 * time.Millisecond
	// slowClockPercent covers targets whose clock runs 2% slow.
	slowClockPercent = 103
)

// lease renews the leases of the runs of one target and follows their ends.
type lease struct {
	home *Home
	id   string
	look chan struct{}

	// The fields below are guarded by the home's mutex.

	// clock is the target's time at clockAt, 0 if unknown.
	clock   int64
	clockAt time.Time
	// expires is when, by the home's clock, all leases of the target have
	// certainly expired, zero before its first list.
	expires time.Time
	// fence is the token of orders to this target. It rises with each order
	// that gets no answer, so that the target does nothing for that order any
	// more once it has seen a later one, not even in a new life. Orders from
	// before raised carry lower tokens.
	fence  int64
	raises int
	raised time.Time
	// lost is when an order last got no answer.
	lost time.Time
	// silent is since when the target does not answer, lastError why.
	silent    time.Time
	lastError error
}

func newLease(home *Home, id string) *lease {
	return &lease{home: home, id: id, look: make(chan struct{}, 1), fence: home.config.FencingToken}
}

// run renews until the home is closed or the target is forgotten.
func (l *lease) run() {
	go l.settle()
	for l.home.ctx.Err() == nil {
		target, known := l.target()
		if !known {
			return
		}
		if err := l.renew(&target, false); err != nil && !errors.Is(err, errOvertaken) {
			l.recover(&target)
		}
	}
}

// recover asks again at once after a lost answer, and gives the target up as
// silent when that fails as well.
func (l *lease) recover(target *rattanwork.Target) {
	for range quickRetries {
		if l.renew(target, true) == nil {
			return
		}
	}
	l.home.silent(l)
	l.pause(retryPause)
}

// settle asks for the list again at once while it is unknown whether a run is
// there: the answer of the renewal under way may be held back.
func (l *lease) settle() {
	for {
		select {
		case <-l.home.ctx.Done():
			return
		case <-l.look:
		}
		for l.settling() {
			target, known := l.target()
			if !known || errors.Is(l.renew(&target, true), ErrDeposed) {
				break
			}
			l.pause(settlePause)
		}
	}
}

func (l *lease) settling() bool {
	l.home.mutex.Lock()
	defer l.home.mutex.Unlock()
	return !l.home.closed && l.silent.IsZero() && l.home.scheduler.Settling(l.id)
}

// target returns the target, and removes the lease if it is forgotten.
func (l *lease) target() (rattanwork.Target, bool) {
	l.home.mutex.Lock()
	defer l.home.mutex.Unlock()
	target, known := l.home.scheduler.Target(l.id)
	if !known {
		delete(l.home.leases, l.id)
	}
	return target, known
}

func (l *lease) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-l.home.ctx.Done():
	case <-timer.C:
	}
}

// renew orders one renewal and takes in the target's lists.
func (l *lease) renew(target *rattanwork.Target, atOnce bool) error {
	h := l.home
	h.mutex.Lock()
	sent := h.config.Clock()
	wait, timeout := l.patience(atOnce, sent)
	order := rattanwork.LeaseRequest{
		ExpiresMillis: l.renewal(atOnce, sent),
		FencingToken:  l.fence,
		Acknowledged:  h.scheduler.Sequence(l.id),
		Wait:          wait,
	}
	void := l.raised
	h.mutex.Unlock()

	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	listing, err := h.config.Targets.Lease(ctx, target, order)
	if errors.Is(err, rattanwork.ErrFenced) {
		return l.fenced(order.FencingToken)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return ErrDeposed
	}
	if err != nil {
		l.lastError = err
		l.lost = now
		h.scheduler.Unanswered(l.id)
		return err
	}
	if wait == 0 {
		h.roundTrip.observe(now.Sub(sent))
	}
	l.listed(listing, sent, void, now)
	h.flush(now)
	return nil
}

// patience returns how long the target may hold its answer to a renewal, and
// how long to wait for that answer. The caller holds the home's mutex.
func (l *lease) patience(atOnce bool, now time.Time) (wait, timeout time.Duration) {
	switch {
	case atOnce:
		return 0, l.home.roundTrip.timeout()
	case !l.home.scheduler.Reconciled(l.id):
		return 0, leaseTimeout
	case now.Sub(l.lost) < lossMemory:
		return leaseWaitLossy, leaseWaitLossy + leaseTimeoutLossy
	case !l.home.scheduler.Busy(l.id):
		return leaseWaitIdle, leaseWaitIdle + leaseTimeout
	default:
		return leaseWait, leaseWait + leaseTimeout
	}
}

// silent takes in that a target does not answer.
func (h *Home) silent(l *lease) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return
	}
	if l.silent.IsZero() {
		l.silent = now
		h.config.Observer.TargetSilent(l.id, l.lastError)
	}
	h.scheduler.Silent(l.id, !l.expires.IsZero() && now.After(l.expires), now)
	h.flush(now)
}

func (l *lease) listed(listing *rattanwork.Listing, sent, void, now time.Time) {
	if !l.silent.IsZero() {
		l.home.config.Observer.TargetBack(l.id, now.Sub(l.silent))
		l.silent = time.Time{}
	}
	l.sawClock(listing.ClockMillis, now)
	if l.expires.IsZero() {
		// The earlier home may have extended the leases until its token was
		// refused, which it is from this list on.
		l.expires = now.Add(l.longest())
	}
	l.home.scheduler.Listed(l.id, listing, sent, void, now)
	if l.home.scheduler.Settling(l.id) {
		l.nudge()
	}
}

func (l *lease) nudge() {
	select {
	case l.look <- struct{}{}:
	default:
	}
}

// sawClock takes in a reading of the target's clock that arrived at now.
func (l *lease) sawClock(millis int64, now time.Time) {
	if millis == 0 {
		return
	}
	l.clock = millis
	l.clockAt = now
}

// expiry returns the end of a lease that begins now, on the target's clock; 0
// if its clock is unknown. The reading was under way before it arrived, so the
// target's clock shows at least this time.
func (l *lease) expiry(now time.Time) int64 {
	if l.clock == 0 {
		return 0
	}
	l.expires = now.Add(l.longest())
	return l.clock + (now.Sub(l.clockAt) + l.home.config.MaxLease - leaseSlack).Milliseconds()
}

// longest returns how long a lease may last by the home's clock.
func (l *lease) longest() time.Duration {
	return l.home.config.MaxLease * slowClockPercent / 100
}

// renewal returns until when a renewal extends the leases, 0 for not at all.
// While it is unknown whether the target answers, leases are not extended, so
// that those of a dead target run out and its tasks can start elsewhere.
func (l *lease) renewal(atOnce bool, now time.Time) int64 {
	if atOnce || !l.silent.IsZero() {
		return 0
	}
	return l.expiry(now)
}

// startRun sends the order to start a run. The caller holds the home's mutex.
func (l *lease) startRun(order rattanscheduler.StartOrder, now time.Time) {
	wire := rattanwork.StartRequest{
		Task:          order.Task,
		Attempt:       order.Attempt,
		Spec:          order.Spec,
		ExpiresMillis: l.expiry(now),
		FencingToken:  l.fence,
		Checkpoint:    order.Checkpoint,
	}
	target := *order.Target
	go l.sendStart(&target, wire)
}

func (l *lease) sendStart(target *rattanwork.Target, order rattanwork.StartRequest) {
	h := l.home
	sent, ctx, cancel := h.orderContext()
	defer cancel()
	result, clock := h.config.Targets.Start(ctx, target, order)
	if result == rattanwork.StartFenced && l.fenced(order.FencingToken) == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return
	}
	if result != rattanwork.StartUnknown {
		h.roundTrip.observe(now.Sub(sent))
	}
	l.sawClock(clock, now)
	h.scheduler.StartAnswered(l.id, order.Task, order.Attempt, result, now)
	if result == rattanwork.StartUnknown {
		l.lost = now
		l.raise(now)
		l.nudge()
	}
	h.flush(now)
}

// orderContext returns when an order is sent and the context that bounds the
// wait for its answer.
func (h *Home) orderContext() (sent time.Time, ctx context.Context, cancel context.CancelFunc) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ctx, cancel = context.WithTimeout(h.ctx, h.roundTrip.timeout())
	return h.config.Clock(), ctx, cancel
}

// raise raises the token of the target's orders. The caller holds the home's
// mutex.
func (l *lease) raise(now time.Time) {
	if l.raises == MaxTokenIncrements {
		return
	}
	l.raises++
	l.fence += FencingTokenStep
	l.raised = now
}

// errOvertaken says that an order of this home was refused because a later one
// with a higher token came first.
const errOvertaken = errors.ConstError("overtaken by a later order")

// fenced takes in that a target refused a token, which deposes the home unless
// it has used a higher one itself.
func (l *lease) fenced(fence int64) error {
	l.home.mutex.Lock()
	current := l.fence
	l.home.mutex.Unlock()
	if fence < current {
		return errOvertaken
	}
	l.home.depose(l.id)
	return nil
}

// stopRun sends the order to stop a run.
func (l *lease) stopRun(order rattanscheduler.StopOrder) {
	target := *order.Target
	go l.sendStop(&target, order, l.fence)
}

func (l *lease) sendStop(target *rattanwork.Target, order rattanscheduler.StopOrder, fence int64) {
	h := l.home
	sent, ctx, cancel := h.orderContext()
	defer cancel()
	err := h.config.Targets.Stop(ctx, target, order.Task, order.Attempt, fence)
	if errors.Is(err, rattanwork.ErrFenced) {
		_ = l.fenced(fence)
		return
	}
	if err != nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock()
	if h.closed {
		return
	}
	h.roundTrip.observe(now.Sub(sent))
	h.scheduler.StopAnswered(l.id, order.Task, order.Attempt, now)
	l.nudge()
	h.flush(now)
}
