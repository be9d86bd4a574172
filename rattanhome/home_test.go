package rattanhome

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// fakeTargets runs tasks in memory for a fixed time. Answers can get lost.
type fakeTargets struct {
	runTime time.Duration
	// losesList decides, by the number and the wait of the order, whether an
	// order to list gets lost, losesStart, by its number, whether an order to
	// start does; nil loses none.
	losesList  func(target string, number int, wait time.Duration) bool
	losesStart func(number int) bool

	mutex   sync.Mutex
	orders  int
	starts  int
	lists   map[string]*rattanwork.Listing
	changed chan struct{}
}

func newFakeTargets(runTime time.Duration) *fakeTargets {
	return &fakeTargets{runTime: runTime, lists: map[string]*rattanwork.Listing{}, changed: make(chan struct{})}
}

func (f *fakeTargets) list(id string) *rattanwork.Listing {
	list, ok := f.lists[id]
	if !ok {
		list = &rattanwork.Listing{Incarnation: 1, ClockMillis: 1}
		f.lists[id] = list
	}
	return list
}

func (f *fakeTargets) Start(ctx context.Context, target *rattanwork.Target, order rattanwork.StartRequest) (rattanwork.StartResult, int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.starts++
	if f.losesStart != nil && f.losesStart(f.starts) {
		f.mutex.Unlock()
		<-ctx.Done()
		f.mutex.Lock()
		return rattanwork.StartUnknown, 0
	}
	list := f.list(target.ID)
	list.Running = append(list.Running, rattanwork.Run{Task: order.Task, Attempt: order.Attempt})
	id := target.ID
	time.AfterFunc(f.runTime, func() { f.end(id, order.Task, order.Attempt, rattanwork.EndDone) })
	return rattanwork.StartAccepted, 1
}

func (f *fakeTargets) Stop(_ context.Context, target *rattanwork.Target, task string, attempt int, _ int64) error {
	f.end(target.ID, task, attempt, rattanwork.EndStopped)
	return nil
}

func (f *fakeTargets) end(id, task string, attempt int, kind rattanwork.EndKind) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := f.list(id)
	for i, run := range list.Running {
		if run.Task == task && run.Attempt == attempt {
			list.Running = append(list.Running[:i:i], list.Running[i+1:]...)
			list.Ended = append(list.Ended, rattanwork.End{Sequence: int64(len(list.Ended) + 1), Task: task, Attempt: attempt, Kind: kind})
			close(f.changed)
			f.changed = make(chan struct{})
			return
		}
	}
}

func (f *fakeTargets) Lease(ctx context.Context, target *rattanwork.Target, order rattanwork.LeaseRequest) (*rattanwork.Listing, error) {
	f.mutex.Lock()
	f.orders++
	lost := f.losesList != nil && f.losesList(target.ID, f.orders, order.Wait)
	f.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	timer := time.NewTimer(order.Wait)
	defer timer.Stop()
	for {
		f.mutex.Lock()
		list := *f.list(target.ID)
		changed := f.changed
		f.mutex.Unlock()
		if order.Wait == 0 || int64(len(list.Ended)) > order.Acknowledged {
			list.Running = append([]rattanwork.Run(nil), list.Running...)
			list.Ended = append([]rattanwork.End(nil), list.Ended...)
			return &list, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			order.Wait = 0
		case <-changed:
		}
	}
}

func (f *fakeTargets) startCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.starts
}

// silentJournal ignores what the home decides.
type silentJournal struct{}

func (silentJournal) JobEnded(rattanscheduler.JobResult)        {}
func (silentJournal) TargetChanged(rattanscheduler.TargetEvent) {}
func (silentJournal) TargetSilent(string, error)                {}
func (silentJournal) TargetBack(string, time.Duration)          {}
func (silentJournal) Deposed(string)                            {}

// newTestHome returns a home with one target. Reading the clock without the
// home's mutex fails the test: a time that is read before the mutex is taken can
// be older than a decision that was taken meanwhile, and an order that is given
// at such a time counts as void while it can still be carried out.
func newTestHome(c *qt.C, targets *fakeTargets) *Home {
	var home atomic.Pointer[Home]
	clock := func() time.Time {
		if h := home.Load(); h != nil && h.mutex.TryLock() {
			h.mutex.Unlock()
			c.Error("the clock was read without the mutex")
		}
		return time.Now()
	}
	h := New(Config{FencingToken: FencingTokenStep, MaxLease: time.Second, RemotePenalty: 1.5, Targets: targets, Observer: silentJournal{}, Clock: clock})
	c.Cleanup(h.Close)
	home.Store(h)
	h.UpdateTargets([]rattanwork.Target{fakeTarget("t0")}, true)
	return h
}

func fakeTarget(id string) rattanwork.Target {
	return rattanwork.Target{ID: id, Service: "service", Capacity: rattanwork.Resources{MilliCPU: 1000, MemoryMB: 100}}
}

func testSubmission(id int) rattanscheduler.Submission {
	now := time.Now()
	return rattanscheduler.Submission{
		Job: &rattanwork.Job{ID: fmt.Sprintf("%016x", id), Steps: []rattanwork.Step{{
			Count: 1, Resources: rattanwork.Resources{MilliCPU: 1000}, Estimate: 20 * time.Millisecond,
		}}},
		Service:     "service",
		MaxAttempts: 3,
		Objective:   now.Add(5 * time.Second),
		LateUntil:   now.Add(10 * time.Second),
		Deadline:    now.Add(10 * time.Second),
	}
}

// TestLostListsDelayLittle guards against room that stays taken for the whole
// wait of a renewal when the answer that tells of an end gets lost: while
// answers are being lost, targets are asked more often.
func TestLostListsDelayLittle(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(20 * time.Millisecond)
	targets.losesList = func(_ string, number int, _ time.Duration) bool { return number > 4 && number%2 == 0 }
	h := newTestHome(c, targets)
	const jobs = 8
	began := time.Now()
	for i := range jobs {
		ended, err := h.Submit(context.Background(), testSubmission(i))
		c.Assert(err, qt.IsNil)
		c.Assert(ended.Outcome, qt.Equals, rattanscheduler.Succeeded)
	}
	// Each job loses one list at most. With the usual wait alone a lost list
	// costs 400 ms, 3.2 s in all.
	elapsed := time.Since(began)
	c.Assert(elapsed < jobs*200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
}

// TestUnsettledOrderIsAskedForAgain guards against a task that waits for the
// next renewal to learn that its order did not arrive, because the list that
// was asked for at once got lost as well.
func TestUnsettledOrderIsAskedForAgain(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(20 * time.Millisecond)
	targets.losesStart = func(number int) bool { return number == 1 }
	lostAtOnce := false
	targets.losesList = func(_ string, number int, wait time.Duration) bool {
		lose := number > 2 && wait == 0 && !lostAtOnce
		lostAtOnce = lostAtOnce || lose
		return lose
	}
	h := newTestHome(c, targets)
	// By then the renewal under way is one of an idle target, with a long wait.
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	ended, err := h.Submit(context.Background(), testSubmission(1))
	c.Assert(err, qt.IsNil)
	c.Assert(ended.Outcome, qt.Equals, rattanscheduler.Succeeded)
	// The order and the first list take 50 ms each until they count as lost.
	elapsed := time.Since(began)
	c.Assert(elapsed < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
}

// TestSilenceAfterTakeover guards against a second run of a task after a change
// of the home: when a target falls silent right after its first list, the
// leases that the earlier home granted there have yet to run out.
func TestSilenceAfterTakeover(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(20 * time.Millisecond)
	submission := testSubmission(1)
	submission.Resumed = true
	targets.list("t0").Running = []rattanwork.Run{{Task: submission.Job.ID + ".0.0.0", Attempt: 1}}
	listed := false
	targets.losesList = func(target string, _ int, _ time.Duration) bool {
		first := target == "t0" && !listed
		listed = listed || first
		return target == "t0" && !first
	}
	taken := time.Now()
	h := newTestHome(c, targets)
	h.UpdateTargets([]rattanwork.Target{fakeTarget("t0"), fakeTarget("t1")}, true)
	time.Sleep(600 * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), taken.Add(950*time.Millisecond))
	defer cancel()
	_, err := h.Submit(ctx, submission)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(targets.startCount(), qt.Equals, 0)
	// After that the task starts on the other target.
	ended, err := h.Submit(context.Background(), submission)
	c.Assert(err, qt.IsNil)
	c.Assert(ended.Outcome, qt.Equals, rattanscheduler.Succeeded)
}
