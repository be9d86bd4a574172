package rattanhome

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// leaseWait is how long a target may delay its answer while waiting for a
	// run to end. It bounds the time between renewals.
	leaseWait = 300 * time.Millisecond
	// idleLeaseWait is the same for targets without runs.
	idleLeaseWait = 450 * time.Millisecond
	// leaseMargin shortens the requested leases, because the target's clock is
	// known only to within a few milliseconds.
	leaseMargin = 20 * time.Millisecond
	// lossyLeaseWait is the same as leaseWait for targets that left a request
	// unanswered within the last lossWindow: if the listing that reports the
	// end of a run is lost, the run's resources stay reserved until the next
	// listing.
	lossyLeaseWait = 60 * time.Millisecond
	lossWindow     = 1 * time.Second
	// leaseTimeout is the time added to the wait when waiting for the answer to
	// a renewal, lossyLeaseTimeout the time added while answers are being lost.
	leaseTimeout      = 100 * time.Millisecond
	lossyLeaseTimeout = 50 * time.Millisecond
	// immediateRetries is how often an unanswered renewal is repeated at once.
	// Then the target counts as unresponsive, and retryPause passes before the
	// next attempt.
	immediateRetries = 2
	retryPause       = 60 * time.Millisecond
	// relistPause is the pause between the listings requested to resolve
	// uncertain runs.
	relistPause = 3 * time.Millisecond
	// slowClockPercent is the longest time that a lease can last by the home's
	// clock, in percent of the maximum lease. It covers targets whose clock
	// runs 2% slow.
	slowClockPercent = 103
)

// leaseRenewer renews the leases of the runs on one target and processes the
// target's listings.
type leaseRenewer struct {
	home     *Home
	targetID string
	// relist requests a listing at once.
	relist chan struct{}

	// The fields below are guarded by the home's mutex.

	// targetClock is the target's time in milliseconds at clockReadAt, 0 if
	// unknown.
	targetClock int64
	clockReadAt time.Time
	// expiresAt is the time by the home's clock at which all leases of the
	// target have certainly expired, zero before its first listing.
	expiresAt time.Time
	// fencingToken is the token of requests to this target. It is raised after
	// each start request and each renewal without an answer. Once the target has seen the higher
	// token, it will not execute the earlier request any more, unless it restarts
	// and has not heard this home since. Requests sent before tokenRaisedAt carry
	// lower tokens.
	fencingToken    int64
	tokenIncrements int
	tokenRaisedAt   time.Time
	// lostAt is when a request was last left unanswered.
	lostAt time.Time
	// unresponsiveSince is when the target stopped answering, zero if it
	// answers; lastError is the cause.
	unresponsiveSince time.Time
	lastError         error
}

// newLeaseRenewer returns the renewer of a target. The caller holds the home's
// mutex.
func newLeaseRenewer(home *Home, id string) *leaseRenewer {
	token := max(home.config.FencingToken, home.raisedTokens[id])
	delete(home.raisedTokens, id)
	return &leaseRenewer{
		home:            home,
		targetID:        id,
		relist:          make(chan struct{}, 1),
		fencingToken:    token,
		tokenIncrements: int((token - home.config.FencingToken) / FencingTokenStep),
	}
}

// run renews the leases until the home is closed or the target is removed.
func (l *leaseRenewer) run() {
	go l.resolveRuns()
	for l.home.ctx.Err() == nil {
		target, known := l.target()
		if !known {
			return
		}
		if err := l.renew(&target, false); err != nil && !errors.Is(err, errSuperseded) {
			l.retryRenewal(&target)
		}
	}
}

// retryRenewal repeats a renewal at once after a lost answer, and marks the
// target as unresponsive if the retries fail too.
func (l *leaseRenewer) retryRenewal(target *rattanwork.Target) {
	for range immediateRetries {
		if l.renew(target, true) == nil {
			return
		}
	}
	l.home.targetUnresponsive(l)
	l.pause(retryPause)
}

// resolveRuns requests listings at once while it is unknown whether a run is
// active or whether the target still follows this home, because the target may
// delay its answer to the pending renewal.
func (l *leaseRenewer) resolveRuns() {
	for {
		select {
		case <-l.home.ctx.Done():
			return
		case <-l.relist:
		}
		for l.needsListing() {
			target, known := l.target()
			if !known || errors.Is(l.renew(&target, true), ErrDeposed) {
				break
			}
			l.pause(relistPause)
		}
	}
}

func (l *leaseRenewer) needsListing() bool {
	l.home.mutex.Lock()
	defer l.home.mutex.Unlock()
	if l.home.closed || !l.unresponsiveSince.IsZero() {
		return false
	}
	return l.home.scheduler.HasUnresolvedRuns(l.targetID) || l.home.authority.awaits(l.targetID)
}

// target returns the target's description, and removes the renewer if the
// target is no longer known.
func (l *leaseRenewer) target() (rattanwork.Target, bool) {
	l.home.mutex.Lock()
	defer l.home.mutex.Unlock()
	target, known := l.home.scheduler.Target(l.targetID)
	if !known {
		l.remove()
	}
	return target, known
}

// remove removes the renewer of a target that is no longer known. The caller
// holds the home's mutex.
func (l *leaseRenewer) remove() {
	if l.home.renewers[l.targetID] != l {
		return
	}
	delete(l.home.renewers, l.targetID)
	if l.tokenIncrements > 0 {
		l.home.raisedTokens[l.targetID] = l.fencingToken
	}
}

func (l *leaseRenewer) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-l.home.ctx.Done():
	case <-timer.C:
	}
}

// renew sends one renewal and processes the listing in the answer. An immediate
// renewal does not extend the leases, and the target answers it without delay.
func (l *leaseRenewer) renew(target *rattanwork.Target, immediate bool) error {
	h := l.home
	h.mutex.Lock()
	sentAt := h.now()
	wait, timeout := l.timeouts(immediate, sentAt)
	request := rattanwork.LeaseRequest{
		ExpiresMillis: l.renewalExpiry(immediate, sentAt),
		FencingToken:  l.fencingToken,
		Wait:          wait,
	}
	if !immediate {
		request.Acknowledged = h.scheduler.Acknowledged(l.targetID)
	}
	voidBefore := l.tokenRaisedAt
	clockAtSending := l.clockAt(sentAt)
	h.mutex.Unlock()

	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	listing, err := h.config.Targets.Lease(ctx, target, request)
	if errors.Is(err, rattanwork.ErrFenced) {
		return l.handleFenced(request.FencingToken)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return ErrDeposed
	}
	if err != nil {
		l.lastError = err
		l.lostAt = now
		h.scheduler.ListFailed(l.targetID)
		if !immediate && !errors.Is(err, rattanwork.ErrNotSent) {
			// Carried out late, it could extend leases that count as over, and
			// acknowledge ends of a later incarnation.
			l.raiseToken(now)
		}
		if errors.Is(err, rattanwork.ErrConnectionRefused) {
			h.scheduler.TargetRefused(l.targetID, now)
		}
		if errors.Is(err, rattanwork.ErrWrongIncarnation) {
			h.scheduler.TargetReplaced(l.targetID, target.Address, now)
			h.flush(now)
		}
		return err
	}
	if wait == 0 {
		h.roundTrip.observe(now.Sub(sentAt))
	}
	listing.Prompt = l.waited(listing, clockAtSending)
	l.handleListing(listing, sentAt, voidBefore, now)
	h.flush(now)
	return nil
}

// timeouts returns how long the target may delay its answer to a renewal, and
// how long to wait for that answer. A home that lacks processor time reads
// answers late, which does not mean that they are lost. The caller holds the
// home's mutex.
func (l *leaseRenewer) timeouts(immediate bool, now time.Time) (wait, timeout time.Duration) {
	lag := l.home.readDelay(now)
	switch {
	case immediate:
		return 0, lag + l.home.roundTrip.timeout()
	case !l.home.scheduler.Reconciled(l.targetID):
		return 0, lag + leaseTimeout
	case now.Sub(l.lostAt) < lossWindow:
		return lossyLeaseWait, lag + lossyLeaseWait + lossyLeaseTimeout
	case !l.home.scheduler.HasRuns(l.targetID):
		return idleLeaseWait, lag + idleLeaseWait + leaseTimeout
	default:
		return leaseWait, lag + leaseWait + leaseTimeout
	}
}

// targetUnresponsive handles a target that does not answer.
func (h *Home) targetUnresponsive(l *leaseRenewer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return
	}
	if l.unresponsiveSince.IsZero() {
		l.unresponsiveSince = now
		h.config.Observer.TargetUnresponsive(l.targetID, l.lastError)
	}
	h.scheduler.TargetUnresponsive(l.targetID, !l.expiresAt.IsZero() && now.After(l.expiresAt), now)
	h.settleAuthority(now)
	h.flush(now)
}

// handleListing processes the listing in the answer to a renewal. The caller
// holds the home's mutex.
func (l *leaseRenewer) handleListing(listing *rattanwork.Listing, sentAt, voidBefore, now time.Time) {
	if !l.unresponsiveSince.IsZero() {
		l.home.config.Observer.TargetRecovered(l.targetID, now.Sub(l.unresponsiveSince))
		l.unresponsiveSince = time.Time{}
	}
	l.observeClock(listing.ClockMillis, sentAt, now)
	if l.expiresAt.IsZero() {
		// The earlier home may have extended the leases until the target
		// refused its token, which it does from this listing on.
		l.setLeaseEnd(now.Add(clockMargin(l.home.config.MaxLease)))
	}
	l.home.scheduler.RunsListed(l.targetID, listing, sentAt, voidBefore, now)
	if end := l.home.scheduler.LeaseEnd(l.targetID); end.After(l.expiresAt) {
		l.expiresAt = end
	}
	l.home.authority.confirm(l.targetID, sentAt)
	l.home.settleAuthority(now)
	if l.home.scheduler.HasUnresolvedRuns(l.targetID) {
		l.requestRelist()
	}
}

// requestRelist makes resolveRuns request a listing at once.
func (l *leaseRenewer) requestRelist() {
	select {
	case l.relist <- struct{}{}:
	default:
	}
}

// observeClock records the target's time from an answer that arrived at now, unless
// the request was made before the present incarnation was known: the clock of each
// incarnation starts anew.
func (l *leaseRenewer) observeClock(millis int64, sentAt, now time.Time) {
	if !sentAt.Before(l.home.scheduler.IncarnationSince(l.targetID)) {
		l.updateClock(millis, now)
	}
}

// updateClock records the target's time from an answer that arrived at now.
func (l *leaseRenewer) updateClock(millis int64, now time.Time) {
	if millis == 0 {
		return
	}
	l.targetClock = millis
	l.clockReadAt = now
}

// clockAt returns the time by the target's clock in milliseconds, 0 if unknown.
// The reading took time to arrive, so the clock is not behind the result.
func (l *leaseRenewer) clockAt(now time.Time) int64 {
	if l.targetClock == 0 {
		return 0
	}
	return l.targetClock + now.Sub(l.clockReadAt).Milliseconds()
}

// waited reports whether the target delayed a listing that was requested at the
// given time by its clock, so that the listing was sent when a run ended.
func (l *leaseRenewer) waited(listing *rattanwork.Listing, clockAtSending int64) bool {
	return clockAtSending != 0 && listing.ClockMillis-clockAtSending >= l.home.roundTrip.typical().Milliseconds()+waitTolerance.Milliseconds()
}

// waitTolerance covers the resolution of the target's clock and the variation
// of round trips.
const waitTolerance = 4 * time.Millisecond

// extendLease returns the end, by the target's clock, of a lease that starts
// now, and updates expiresAt accordingly. It returns 0 if the target's clock is
// unknown. The clock reading took time to arrive, so the target's clock is not
// behind the assumed time, and the lease does not end later than assumed. If no
// lease may be extended, the returned time is over.
func (l *leaseRenewer) extendLease(now time.Time) int64 {
	clock := l.clockAt(now)
	if clock == 0 {
		return 0
	}
	// The limit may be the zero time. The difference is then the least duration,
	// and a margin subtracted from it would wrap around.
	duration := max(0, min(l.home.config.MaxLease, l.home.scheduler.LeaseLimit(l.targetID, now).Sub(now)))
	if end := now.Add(clockMargin(duration)); end.After(l.expiresAt) {
		l.setLeaseEnd(end)
	}
	// A start whose lease is over is refused as late; 0 would be no lease.
	return max(1, clock+(duration-leaseMargin).Milliseconds())
}

// setLeaseEnd records when all leases of the target will certainly have expired.
func (l *leaseRenewer) setLeaseEnd(end time.Time) {
	l.expiresAt = end
	l.home.scheduler.SetLeaseEnd(l.targetID, end)
}

// clockMargin returns how long a lease can last by the home's clock.
func clockMargin(lease time.Duration) time.Duration {
	return lease * slowClockPercent / 100
}

// renewalExpiry returns the new end of the leases, 0 if they are not to be
// extended. The leases of a target that may be down are not extended, so that
// they expire and its tasks can start elsewhere, and neither are those of a
// target that may follow another home, or of runs for which no caller may wait.
func (l *leaseRenewer) renewalExpiry(immediate bool, now time.Time) int64 {
	if immediate || !l.unresponsiveSince.IsZero() || l.home.authority.uncertain() || !l.home.scheduler.LeaseLimit(l.targetID, now).After(now) {
		return 0
	}
	return l.extendLease(now)
}

// startRun sends a start request. The caller holds the home's mutex.
func (l *leaseRenewer) startRun(request rattanscheduler.StartRequest, now time.Time) {
	targetRequest := rattanwork.StartRequest{
		Task:          request.Task,
		Attempt:       request.Attempt,
		Spec:          request.Spec,
		ExpiresMillis: l.extendLease(now),
		FencingToken:  l.fencingToken,
		Checkpoint:    request.Checkpoint,
	}
	target := *request.Target
	listed := ListedStart{Task: request.Task, Target: l.targetID, Attempt: request.Attempt}
	go l.sendStart(&target, targetRequest, listed, l.home.listStart(listed))
}

// sendStart sends a start request once it is told to other instances, and reports
// the answer to the scheduler. If there is no answer, it raises the fencing token, so
// that the target no longer executes the request once it has seen the new token, and
// requests a listing.
func (l *leaseRenewer) sendStart(target *rattanwork.Target, request rattanwork.StartRequest, listed ListedStart, told <-chan struct{}) {
	h := l.home
	if !h.awaitTold(told) || !h.starts.acquire(h.ctx) {
		return
	}
	defer h.starts.release()
	if !l.admitStart(request, listed) {
		return
	}
	sentAt, ctx, cancel := h.requestContext()
	defer cancel()
	answer := h.config.Targets.Start(ctx, target, request)
	if answer.Result == rattanwork.StartFenced && l.handleFenced(request.FencingToken) == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return
	}
	if answer.Result != rattanwork.StartUnknown {
		h.roundTrip.observe(now.Sub(sentAt))
	}
	l.observeClock(answer.ClockMillis, sentAt, now)
	h.scheduler.StartAnswered(l.targetID, request.Task, request.Attempt, answer, now)
	h.unlistStart(listed, answer.Result, now)
	if answer.Result == rattanwork.StartUnknown {
		l.lostAt = now
		l.raiseToken(now)
		l.requestRelist()
	}
	h.flush(now)
}

// readDelay returns how much longer to wait for answers because the home lacks
// processor time. An answer waits for the network poller and then for each
// goroutine that passes it on. The caller holds the mutex.
func (h *Home) readDelay(now time.Time) time.Duration {
	return goroutinesPerAnswer * h.lag.current(now)
}

// goroutinesPerAnswer is the number of goroutines that pass on the answer of a
// target.
const goroutinesPerAnswer = 2

// requestContext returns the current time and a context with the timeout for
// the answer to a request.
func (h *Home) requestContext() (sentAt time.Time, ctx context.Context, cancel context.CancelFunc) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	sentAt = h.now()
	ctx, cancel = context.WithTimeout(h.ctx, h.readDelay(sentAt)+h.roundTrip.timeout())
	return sentAt, ctx, cancel
}

// raiseToken raises the fencing token of requests to the target. The caller
// holds the home's mutex.
func (l *leaseRenewer) raiseToken(now time.Time) {
	if !l.mayRaise(now) {
		return
	}
	l.tokenIncrements++
	l.fencingToken += FencingTokenStep
	l.tokenRaisedAt = now
}

// maxClockDifference bounds how far the times of day of two instances differ.
const maxClockDifference = 10 * time.Second

// mayRaise reports whether the raised token stays below that of any successor, which
// is not below the successor's time of day in milliseconds.
func (l *leaseRenewer) mayRaise(now time.Time) bool {
	return l.tokenIncrements < MaxTokenIncrements || l.fencingToken/FencingTokenStep+1 < now.Add(-maxClockDifference).UnixMilli()
}

// errSuperseded means that a request of this home was refused because a later
// one with a higher token arrived first.
const errSuperseded = errors.ConstError("overtaken by a later order")

// handleFenced handles a request that the target refused because of its fencing
// token. It returns errSuperseded if this home has raised its token for the
// target since. Otherwise the target follows another home, and this home is
// deposed.
func (l *leaseRenewer) handleFenced(refusedToken int64) error {
	l.home.mutex.Lock()
	current := l.fencingToken
	l.home.mutex.Unlock()
	if refusedToken < current {
		return errSuperseded
	}
	l.home.depose(l.targetID)
	return nil
}

// stopRun sends a stop request. The caller holds the home's mutex.
func (l *leaseRenewer) stopRun(request rattanscheduler.StopRequest) {
	if !l.home.stops.tryAcquire() {
		// The scheduler repeats the request.
		return
	}
	target := *request.Target
	go l.sendStop(&target, request, l.fencingToken)
}

// sendStop sends a stop request. If the target accepts it, sendStop requests a
// listing that shows whether the run has ended. The scheduler repeats requests
// that were not answered.
func (l *leaseRenewer) sendStop(target *rattanwork.Target, request rattanscheduler.StopRequest, fencingToken int64) {
	h := l.home
	defer h.stops.release()
	sentAt, ctx, cancel := h.requestContext()
	defer cancel()
	err := h.config.Targets.Stop(ctx, target, request.Task, request.Attempt, fencingToken)
	if errors.Is(err, rattanwork.ErrFenced) {
		_ = l.handleFenced(fencingToken)
		return
	}
	if err != nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return
	}
	h.roundTrip.observe(now.Sub(sentAt))
	h.scheduler.StopAnswered(l.targetID, request.Task, request.Attempt, now)
	l.requestRelist()
	h.flush(now)
}
