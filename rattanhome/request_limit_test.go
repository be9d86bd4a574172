package rattanhome

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestRequestsAreBounded guards against a home that has a start request, with a connection
// of its own, under way for each task that may start.
func TestRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	const tasks, limit = 40, 4
	targets := &slowStarts{fakeTargets: newFakeTargets(time.Millisecond)}
	h := New(Config{FencingToken: FencingTokenStep, MaxLease: time.Second, Targets: targets, Observer: noopObserver{}, MaxRequests: limit, Clock: time.Now})
	c.Cleanup(h.Close)
	target := fakeTarget("t0")
	target.Capacity.MilliCPU = tasks * 10
	h.UpdateTargets([]rattanwork.Target{target}, true)
	awaitListing(h)
	submission := testSubmission(1)
	submission.Job.Steps[0].Count, submission.Job.Steps[0].Resources.MilliCPU = tasks, 10
	result, err := h.Submit(context.Background(), submission)
	c.Assert(err, qt.IsNil)
	c.Check(result.Outcome, qt.Equals, rattanscheduler.Succeeded)
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	c.Check(targets.most, qt.Equals, limit)
}

// slowStarts counts the start requests that are under way.
type slowStarts struct {
	*fakeTargets
	pending, most int
}

func (s *slowStarts) Start(ctx context.Context, target *rattanwork.Target, request rattanwork.StartRequest) rattanwork.StartAnswer {
	s.mutex.Lock()
	s.pending++
	s.most = max(s.most, s.pending)
	s.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	defer func() {
		s.mutex.Lock()
		s.pending--
		s.mutex.Unlock()
	}()
	return s.fakeTargets.Start(ctx, target, request)
}

// TestStopsDoNotQueue guards against stop requests that wait for each other: the scheduler
// repeats each of them until it is answered.
func TestStopsDoNotQueue(t *testing.T) {
	c := qt.New(t)
	limit := newRequestLimit(1)
	c.Check(limit.tryAcquire(), qt.IsTrue)
	c.Check(limit.tryAcquire(), qt.IsFalse)
	limit.release()
	c.Check(limit.tryAcquire(), qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(limit.acquire(ctx), qt.IsFalse)
	c.Check(requestLimit(nil).tryAcquire(), qt.IsTrue)
}
