package rattanhome

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// newEvacuatedHome returns a home with one target that takes the status of its zone from
// the returned variable.
func newEvacuatedHome(c *qt.C, targets *fakeTargets, exchange StartExchange) (*Home, *atomic.Int64) {
	status := &atomic.Int64{}
	h := New(Config{
		FencingToken: FencingTokenStep, MaxLease: time.Second, Targets: targets, Observer: noopObserver{}, Exchange: exchange, Clock: time.Now,
		Evacuation: func(time.Time) rattanwork.EvacuationStatus { return rattanwork.EvacuationStatus(status.Load()) },
	})
	c.Cleanup(h.Close)
	h.UpdateTargets([]rattanwork.Target{fakeTarget("t0")}, true)
	awaitListing(h)
	return h, status
}

// TestStartIsCheckedBeforeItIsSent guards against a start request that is sent after the
// zone was evacuated, because it waited to be told to other instances, and against a job
// that counts as started because of it.
func TestStartIsCheckedBeforeItIsSent(t *testing.T) {
	c := qt.New(t)
	targets, exchange := newFakeTargets(time.Millisecond), &heldExchange{release: make(chan struct{})}
	h, status := newEvacuatedHome(c, targets, exchange)
	ended := make(chan rattanscheduler.JobResult, 1)
	go func() {
		result, _ := h.Submit(context.Background(), testSubmission(1))
		ended <- result
	}()
	exchange.awaitTold(1)
	c.Assert(exchange.told(), qt.HasLen, 1)
	status.Store(int64(rattanwork.EvacuationActive))
	close(exchange.release)
	result := <-ended
	c.Check(result.Outcome, qt.Equals, rattanscheduler.Refused)
	c.Check(targets.startRequestCount(), qt.Equals, 0)
	exchange.awaitTold(2)
	c.Assert(len(exchange.told()) > 1, qt.IsTrue)
	c.Check(exchange.told()[1].Starts, qt.HasLen, 0, qt.Commentf("the dropped request stays listed"))
}

// TestHomeFollowsEvacuation guards against a home that does not apply a change of the
// status to jobs that wait, or does not tell other zones of it.
func TestHomeFollowsEvacuation(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(time.Millisecond)
	h, status := newEvacuatedHome(c, targets, nil)
	status.Store(int64(rattanwork.EvacuationUnknown))
	ended := make(chan rattanscheduler.JobResult, 1)
	submit := func(id int) {
		result, _ := h.Submit(context.Background(), testSubmission(id))
		ended <- result
	}
	go submit(1)
	for deadline := time.Now().Add(5 * time.Second); h.Load().Jobs == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Check(h.Load().Evacuated, qt.IsTrue)
	status.Store(int64(rattanwork.EvacuationNone))
	h.EvacuationChanged()
	c.Check((<-ended).Outcome, qt.Equals, rattanscheduler.Succeeded)
	c.Check(h.Load().Evacuated, qt.IsFalse)
	status.Store(int64(rattanwork.EvacuationUnknown))
	go submit(2)
	for deadline := time.Now().Add(5 * time.Second); h.Load().Jobs == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	status.Store(int64(rattanwork.EvacuationActive))
	h.EvacuationChanged()
	c.Check((<-ended).Outcome, qt.Equals, rattanscheduler.Refused)
	c.Check(targets.startRequestCount(), qt.Equals, 1)
}
