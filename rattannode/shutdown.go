package rattannode

import (
	"context"
	"time"
)

// The waits of a shutdown are listed in docs/operations/shutdown.md.
const (
	// ingressRemovalTime is how long the ingress may send new connections to an
	// instance after it has stopped being ready: it probes every second and
	// removes an instance after two failed probes.
	ingressRemovalTime = 2300 * time.Millisecond
	// abortMargin is the part of the grace period before which the requests in
	// progress are answered. It exceeds exitMargin by the time for these answers.
	abortMargin = 900 * time.Millisecond
	// exitMargin is the part of the grace period that is left when Run returns at
	// the latest. The last log lines take at most 150 ms. A process that has 0.144 of
	// a processor may stand still for 86 ms of each 100 ms; that can delay the
	// reaction to the signal, the return of Run, that of the log writer and the exit.
	// The rest is for a machine that is busy with others.
	exitMargin = 700 * time.Millisecond
	// serverStopTimeout bounds the time for closing the HTTP servers after
	// their requests have ended: connections on which no request has arrived
	// would keep a server open for seconds.
	serverStopTimeout = 150 * time.Millisecond
	// kernelStopTimeout bounds the time for stopping the services, which remove
	// the instance from the directory.
	kernelStopTimeout = 250 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// shutdownPlan states until when the steps of a shutdown may take at the latest.
type shutdownPlan struct {
	// ingressRemoved is when the ingress sends no more connections. The zone is
	// handed over until then.
	ingressRemoved time.Time
	// abort is when the requests that are still in progress are answered, exit when
	// Run returns.
	abort, exit time.Time
}

// planShutdown plans a shutdown that begins at the present time. If the grace period is
// short, the margins are at most half of it, and nothing waits for the ingress beyond
// the end of the requests.
func planShutdown(now time.Time, gracePeriod time.Duration) shutdownPlan {
	abortAfter := gracePeriod - min(abortMargin, gracePeriod/2)
	return shutdownPlan{
		ingressRemoved: now.Add(min(ingressRemovalTime, abortAfter)),
		abort:          now.Add(abortAfter),
		exit:           now.Add(gracePeriod - min(exitMargin, gracePeriod/2)),
	}
}

// drain prepares the instance for its stop, before the listeners are closed. It
// hands the zone over to another instance, waits until the ingress has stopped
// sending connections and the requests in progress have ended, and aborts the
// submissions that remain shortly before the end of the grace period.
func (n *Node) drain(ctx context.Context) error {
	now := n.config.Clock()
	plan := planShutdown(now, n.settings.Load().GracePeriod)
	time.AfterFunc(plan.exit.Sub(now), n.endRun)
	n.shuttingDown.Store(true)
	n.callerHandler.BeginShutdown(plan.abort)
	n.config.Logger.WithField("Active", n.callerHandler.ActiveRequests()).Info("stopping")
	resignCtx, cancel := context.WithTimeout(ctx, plan.ingressRemoved.Sub(now))
	defer cancel()
	n.agent.Resign(resignCtx)
	n.waitUntil(plan.ingressRemoved, func() bool { return false })
	n.callerServer.SetKeepAlivesEnabled(false)
	n.waitUntil(plan.abort, func() bool { return n.callerHandler.ActiveRequests() == 0 })
	n.callerHandler.AbortPending()
	return nil
}

// endRun makes Run return.
func (n *Node) endRun() {
	select {
	case n.exitDue <- struct{}{}:
	default:
	}
}

// stopKernel stops the services. The context of the application has already
// ended. The instance has done its work, so a failure only delays until its
// entry in the directory expires, and a service that is still being stopped after
// kernelStopTimeout ends with the process.
func (n *Node) stopKernel(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), kernelStopTimeout)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- n.kernel.Stop(stopCtx) }()
	var err error
	select {
	case err = <-stopped:
	case <-stopCtx.Done():
		err = stopCtx.Err()
	}
	if err != nil {
		n.config.Logger.WithField("Error", err.Error()).Warn("services not stopped")
	}
	return nil
}

// waitUntil returns when the condition holds or the deadline has passed.
func (n *Node) waitUntil(deadline time.Time, condition func() bool) {
	for n.config.Clock().Before(deadline) && !condition() {
		time.Sleep(drainPollInterval)
	}
}
