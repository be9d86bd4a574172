package rattanhome

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestPendingStartsAreListed guards against a start request that is told late, leaves
// the list too early, or stays in it for good, and against a list for each answer.
func TestPendingStartsAreListed(t *testing.T) {
	c := qt.New(t)
	begin := time.Unix(1_800_000_000, 0)
	first, second := ListedStart{"j.0.0.0", "t0", 1}, ListedStart{"j.0.0.1", "t1", 1}
	p := &pendingStarts{}
	at := func(after time.Duration, due bool, want ...ListedStart) {
		c.Helper()
		now := begin.Add(after)
		if wait, expected := p.next(now); !expected || wait > 0 {
			c.Check(due, qt.IsFalse)
			return
		}
		list, _, ok := p.take(now)
		c.Check(ok, qt.Equals, due)
		c.Check(list.Starts, qt.HasLen, len(want))
		for _, start := range want {
			c.Check(list.Starts, qt.Contains, start)
		}
	}
	at(0, false)
	told := p.add(first)
	c.Check(p.add(second), qt.Equals, told, qt.Commentf("both are told with one list"))
	at(0, true, first, second)
	at(listInterval, false)
	p.answered(first)
	p.unanswered(second, begin.Add(listInterval))
	at(2*listInterval-1, false)
	at(2*listInterval, true, second)
	at(listInterval+unansweredListing-1, false)
	at(2*listInterval+unansweredListing, true)
	_, expected := p.next(begin.Add(time.Hour))
	c.Check(expected, qt.IsFalse)
}

// TestNewestStartsAreListed guards against lists without limit, and against one without
// the requests that are about to be sent.
func TestNewestStartsAreListed(t *testing.T) {
	c := qt.New(t)
	p := &pendingStarts{}
	for attempt := range 2 * MaxListedStarts {
		p.add(ListedStart{"t", "a", attempt + 1})
	}
	list, _, _ := p.take(time.Unix(1_800_000_000, 0))
	c.Assert(list.Starts, qt.HasLen, MaxListedStarts)
	c.Check(list.Starts[0].Attempt, qt.Equals, 2*MaxListedStarts)
	c.Check(list.Starts[MaxListedStarts-1].Attempt, qt.Equals, MaxListedStarts+1)
}

// TestListedStartIsReadBack guards against a start request that another instance reads
// differently or accepts in an odd form.
func TestListedStartIsReadBack(t *testing.T) {
	c := qt.New(t)
	want := ListedStart{"00000000000000aa.0.0.1", "target with spaces", 3}
	data, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	var got ListedStart
	c.Assert(json.Unmarshal(data, &got), qt.IsNil)
	c.Check(got, qt.Equals, want)
	for _, text := range []string{"", "t", "t 1", "t 1 ", " 1 a", "t 0 a", "t -1 a", "t x a"} {
		c.Check(got.UnmarshalText([]byte(text)), qt.ErrorIs, ErrMalformedStart, qt.Commentf(text))
	}
}

// heldExchange keeps each list until release is closed.
type heldExchange struct {
	release chan struct{}
	mutex   sync.Mutex
	lists   []StartList
}

func (h *heldExchange) Tell(list StartList) {
	h.mutex.Lock()
	h.lists = append(h.lists, list)
	h.mutex.Unlock()
	<-h.release
}

func (*heldExchange) RemoteStarts(string, time.Time) (string, []rattanscheduler.OutstandingStart) {
	return "", nil
}

func (h *heldExchange) told() []StartList {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lists
}

// awaitTold waits until that many lists were told, for 5 s at most.
func (h *heldExchange) awaitTold(count int) {
	for deadline := time.Now().Add(5 * time.Second); len(h.told()) < count && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// TestStartIsSentAfterItIsTold guards against a start request that nobody but its home
// knows of when it is sent.
func TestStartIsSentAfterItIsTold(t *testing.T) {
	c := qt.New(t)
	targets, exchange := newFakeTargets(time.Millisecond), &heldExchange{release: make(chan struct{})}
	h := New(Config{FencingToken: FencingTokenStep, MaxLease: time.Second, Targets: targets, Observer: noopObserver{}, Exchange: exchange, Clock: time.Now})
	c.Cleanup(h.Close)
	h.UpdateTargets([]rattanwork.Target{fakeTarget("t0")}, true)
	ended := make(chan rattanscheduler.JobResult, 1)
	go func() {
		result, _ := h.Submit(context.Background(), testSubmission(1))
		ended <- result
	}()
	exchange.awaitTold(1)
	c.Assert(exchange.told(), qt.HasLen, 1)
	c.Check(exchange.told()[0].FencingToken, qt.Equals, int64(FencingTokenStep))
	c.Check(exchange.told()[0].Starts, qt.DeepEquals, []ListedStart{{testSubmission(1).Job.ID + ".0.0.0", "t0", 1}})
	time.Sleep(20 * time.Millisecond)
	c.Check(targets.startRequestCount(), qt.Equals, 0)
	close(exchange.release)
	c.Check((<-ended).Outcome, qt.Equals, rattanscheduler.Succeeded)
	exchange.awaitTold(2)
	c.Check(exchange.told()[1].Starts, qt.HasLen, 0, qt.Commentf("the answered request stays listed"))
}

// TestUnansweredStartStaysListed guards against a start request that nobody else knows of
// between the time for its answer and the next heartbeat.
func TestUnansweredStartStaysListed(t *testing.T) {
	c := qt.New(t)
	targets, exchange := newFakeTargets(time.Millisecond), &heldExchange{release: make(chan struct{})}
	close(exchange.release)
	targets.loseStart = func(number int) bool { return number == 1 }
	h := New(Config{FencingToken: FencingTokenStep, MaxLease: time.Second, Targets: targets, Observer: noopObserver{}, Exchange: exchange, Clock: time.Now})
	c.Cleanup(h.Close)
	h.UpdateTargets([]rattanwork.Target{fakeTarget("t0")}, true)
	_, err := h.Submit(context.Background(), testSubmission(1))
	c.Assert(err, qt.IsNil)
	lists := exchange.told()
	c.Assert(len(lists) >= 2, qt.IsTrue)
	first := lists[0].Starts[0]
	second := ListedStart{first.Task, first.Target, first.Attempt + 1}
	c.Check(lists[1].Starts, qt.ContentEquals, []ListedStart{first, second})
}

// TestSlowExchangeHoldsUpNoOtherRequest guards against a home that does nothing else while
// it tells a list.
func TestSlowExchangeHoldsUpNoOtherRequest(t *testing.T) {
	c := qt.New(t)
	exchange := &heldExchange{release: make(chan struct{})}
	h := New(Config{FencingToken: FencingTokenStep, MaxLease: time.Second, Targets: newFakeTargets(time.Millisecond), Observer: noopObserver{}, Exchange: exchange, Clock: time.Now})
	c.Cleanup(h.Close)
	c.Cleanup(func() { close(exchange.release) })
	h.UpdateTargets([]rattanwork.Target{fakeTarget("t0")}, true)
	go func() { _, _ = h.Submit(context.Background(), testSubmission(1)) }()
	exchange.awaitTold(1)
	c.Assert(exchange.told(), qt.HasLen, 1)
	answered := make(chan struct{})
	go func() {
		h.OutstandingStarts()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		c.Error("the home waits for its list")
	}
}
