package rattanzone

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// answerlessTargets are targets without runs that answer no start request.
type answerlessTargets struct {
	mutex sync.Mutex
	// startedAt counts the start requests by target.
	startedAt map[string]int
}

func (a *answerlessTargets) Start(ctx context.Context, target *rattanwork.Target, _ rattanwork.StartRequest) rattanwork.StartAnswer {
	a.mutex.Lock()
	a.startedAt[target.ID]++
	a.mutex.Unlock()
	<-ctx.Done()
	return rattanwork.StartAnswer{Result: rattanwork.StartUnknown}
}

func (*answerlessTargets) Stop(context.Context, *rattanwork.Target, string, int, int64) error {
	return nil
}

func (*answerlessTargets) Lease(ctx context.Context, _ *rattanwork.Target, request rattanwork.LeaseRequest) (*rattanwork.Listing, error) {
	select {
	case <-ctx.Done():
	case <-time.After(request.Wait):
	}
	return &rattanwork.Listing{Incarnation: 1, ClockMillis: 1}, nil
}

// starts returns the number of targets that were asked to start a task, and of the
// requests to do so.
func (a *answerlessTargets) starts() (targets, requests int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, count := range a.startedAt {
		requests += count
	}
	return len(a.startedAt), requests
}

// outstandingZones are the instances of two zones whose targets answer no start.
type outstandingZones struct {
	*qt.C
	targets *answerlessTargets
}

// newAgent returns an instance that prefers one of the targets, the smallest, for new
// tasks.
func (o *outstandingZones) newAgent(name, zone, preferred string) *Agent {
	var agent *Agent
	agent = New(Config{
		Self: rattanwork.Member{Name: name, Zone: zone}, Seeds: func() []string { return nil }, Peers: noPeers{}, Journal: quietJournal{},
		DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: time.Now,
		NewHome: func(token int64) *rattanhome.Home {
			return rattanhome.New(rattanhome.Config{FencingToken: token, MaxLease: time.Second, Targets: o.targets, Observer: idleObserver{}, Exchange: agent, Clock: time.Now})
		},
	})
	o.prefer(agent, preferred, 5)
	return agent
}

// prefer makes an instance prefer one of the targets by a new revision of its
// inventory.
func (o *outstandingZones) prefer(agent *Agent, preferred string, revision int64) {
	var targets []rattanwork.Target
	for _, id := range []string{"t0", "t1", "t2", "t3"} {
		capacity := rattanwork.Resources{MilliCPU: 2000, MemoryMB: 1000}
		if id == preferred {
			capacity.MilliCPU = 1000
		}
		targets = append(targets, rattanwork.Target{ID: id, Service: "s", Zone: "z", Address: "127.0.0.1:1", Capacity: capacity})
	}
	agent.config.Inventory.update(rattanwork.Inventory{Revision: revision, Targets: targets}, time.Now())
}

// claim makes an instance the home of its zone.
func (o *outstandingZones) claim(agent *Agent) *rattanhome.Home {
	agent.claimZone("test", time.Now())
	home := agent.LocalHome()
	o.Cleanup(home.Close)
	return home
}

// beat sends a heartbeat from one instance to another.
func (o *outstandingZones) beat(from, to *Agent) {
	o.Helper()
	body, err := to.handleHeartbeat(context.Background(), "", mustMarshal(from.viewFor(to.config.Self.Name)))
	o.Assert(err, qt.IsNil)
	var view View
	o.Assert(json.Unmarshal(body, &view), qt.IsNil)
	from.merge(&view)
}

func (o *outstandingZones) submission() rattanscheduler.Submission {
	now := time.Now()
	return rattanscheduler.Submission{
		Job: &rattanwork.Job{ID: "00000000000000aa", Steps: []rattanwork.Step{{
			Count: 1, Resources: rattanwork.Resources{MilliCPU: 1000, MemoryMB: 64}, Estimate: time.Second,
		}}},
		Service: "s", MaxAttempts: 3, Objective: now.Add(time.Minute), LateUntil: now.Add(time.Minute), Deadline: now.Add(time.Minute),
	}
}

// awaitRequests waits until at least that many start requests were made.
func (o *outstandingZones) awaitRequests(count int) {
	o.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, requests := o.targets.starts(); requests >= count {
			return
		}
	}
	o.Fatal("the task was not started")
}

// checkStartsNowhereElse submits the job again to a home, and checks that all starts of
// its task, before and now, were requested of one target.
func (o *outstandingZones) checkStartsNowhereElse(home *rattanhome.Home, before int) {
	o.Helper()
	resumed := o.submission()
	resumed.Resumed, resumed.EarlierHomes = true, 1
	go func() { _, _ = home.Submit(context.Background(), resumed) }()
	o.awaitRequests(before + 3)
	targets, _ := o.targets.starts()
	o.Check(targets, qt.Equals, 1)
}

// TestSuccessorStartsTaskOnNoOtherTarget guards against two runs of a task: its start
// got no answer, the home is lost or deposed, and the next one starts it elsewhere.
func TestSuccessorStartsTaskOnNoOtherTarget(t *testing.T) {
	for name, deposed := range map[string]bool{"home lost": false, "home deposed before it could tell": true} {
		t.Run(name, func(t *testing.T) {
			z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
			first, second := z.newAgent("first", "z", "t1"), z.newAgent("second", "z", "t2")
			home := z.claim(first)
			go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
			z.awaitRequests(3)
			if deposed {
				claim := Claim{Zone: "z", Name: "second", Address: "second", FencingToken: home.FencingToken() + 1}
				first.mutex.Lock()
				first.mergeClaim(claim, "second", time.Now())
				first.mutex.Unlock()
				<-home.Deposed()
				for deadline := time.Now().Add(5 * time.Second); len(first.view().OutstandingStarts) == 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
			}
			z.beat(second, first)
			home.Close()
			_, before := z.targets.starts()
			successor := z.claim(second)
			z.checkStartsNowhereElse(successor, before)
		})
	}
}

// TestSuccessorLearnsOfStartsFromMembers guards against two runs of a task: the instance
// that becomes the next home did not hear the former one, and others did.
func TestSuccessorLearnsOfStartsFromMembers(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	first, second, third := z.newAgent("first", "z", "t1"), z.newAgent("second", "z", "t2"), z.newAgent("third", "z", "t3")
	home := z.claim(first)
	go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
	z.awaitRequests(3)
	z.beat(third, first)
	home.Close()
	third.mutex.Lock()
	third.suspectHome(third.homes["z"], "test", time.Now())
	third.mutex.Unlock()
	z.beat(second, third)
	_, before := z.targets.starts()
	successor := z.claim(second)
	z.checkStartsNowhereElse(successor, before)
}

// TestHomeThatReturnsStartsTaskOnNoOtherTarget guards against two runs of a task: a home
// is deposed, and its instance becomes the home again before its starts have expired.
func TestHomeThatReturnsStartsTaskOnNoOtherTarget(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	agent := z.newAgent("first", "z", "t1")
	home := z.claim(agent)
	go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
	z.awaitRequests(3)
	agent.mutex.Lock()
	agent.mergeClaim(Claim{Zone: "z", Name: "second", Address: "second", FencingToken: home.FencingToken() + 1}, "second", time.Now())
	agent.mutex.Unlock()
	<-home.Deposed()
	for deadline := time.Now().Add(5 * time.Second); len(agent.view().OutstandingStarts) == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	z.prefer(agent, "t2", 6)
	_, before := z.targets.starts()
	again := z.claim(agent)
	z.Check(agent.view().OutstandingStarts, qt.Not(qt.HasLen), 0, qt.Commentf("other instances are not told any more"))
	z.checkStartsNowhereElse(again, before)
}

// TestRefusedHomeTellsOfItsStarts guards against two runs of a task: a home learns from a
// target that it is deposed, and the next home does not learn of its starts.
func TestRefusedHomeTellsOfItsStarts(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	agent := z.newAgent("first", "z", "t1")
	home := z.claim(agent)
	go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
	z.awaitRequests(3)
	home.Close()
	agent.stepDownIfDeposed()
	z.Check(agent.LocalHome(), qt.IsNil)
	z.Check(agent.view().OutstandingStarts, qt.Not(qt.HasLen), 0)
	for attempt := range 2 * maxSentStarts {
		agent.former.add("z", []rattanscheduler.OutstandingStart{{Task: "t", Target: "a", Attempt: attempt, Remaining: time.Second}}, time.Now())
	}
	z.Check(agent.view().OutstandingStarts, qt.HasLen, maxSentStarts)
}

// unansweredStarts returns that many start requests that may still be carried out.
func unansweredStarts(count int) []rattanscheduler.OutstandingStart {
	starts := make([]rattanscheduler.OutstandingStart, count)
	for i := range starts {
		starts[i] = rattanscheduler.OutstandingStart{Task: "t", Target: "a", Attempt: i + 1, Remaining: rattanscheduler.LateStartBound}
	}
	return starts
}

// TestHeartbeatNamesAsManyStartsAsList guards against starts that leave the list when
// their answer is overdue, and that no heartbeat names because there are many.
func TestHeartbeatNamesAsManyStartsAsList(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	first, second := z.newAgent("first", "z", "t1"), z.newAgent("second", "z", "t2")
	z.claim(first).AddOutstandingStarts(unansweredStarts(rattanhome.MaxListedStarts))
	z.beat(second, first)
	z.Check(second.outstanding.of("z", time.Now()), qt.HasLen, rattanhome.MaxListedStarts)
}

// TestHomeThatReturnsKnowsAllItsStarts guards against a home that is deposed and home
// again, and has forgotten the starts that do not fit into a heartbeat.
func TestHomeThatReturnsKnowsAllItsStarts(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	agent := z.newAgent("first", "z", "t1")
	home := z.claim(agent)
	home.AddOutstandingStarts(unansweredStarts(2 * rattanhome.MaxListedStarts))
	home.Close()
	agent.stepDownIfDeposed()
	z.Check(z.claim(agent).OutstandingStarts(), qt.HasLen, 2*rattanhome.MaxListedStarts)
}

// TestOtherZoneRedirectsJobWithOutstandingStart guards against two runs of a task in
// two zones: the caller sends its job again to another zone while a start request of
// it may still be carried out in the first.
func TestOtherZoneRedirectsJobWithOutstandingStart(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	first, other := z.newAgent("first", "z", "t1"), z.newAgent("other", "y", "t1")
	home, otherHome := z.claim(first), z.claim(other)
	go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
	z.awaitRequests(1)
	for deadline := time.Now().Add(5 * time.Second); len(first.view().OutstandingStarts) == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	z.beat(first, other)
	result, err := otherHome.Submit(context.Background(), z.submission())
	z.Assert(err, qt.IsNil)
	z.Check(result.Outcome, qt.Equals, rattanscheduler.Redirected)
	z.Check(result.Zone, qt.Equals, "z")
	z.Check(result.MayHaveStarted, qt.IsTrue)
}

// TestOutstandingStartsAreBounded guards against a peer that makes an instance keep
// start requests without limit.
func TestOutstandingStartsAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	var starts []rattanscheduler.OutstandingStart
	for attempt := range 2 * maxKeptStarts {
		starts = append(starts, rattanscheduler.OutstandingStart{Task: "t", Target: "a", Attempt: attempt, Remaining: time.Hour})
	}
	known := outstandingStarts{}
	known.add("z", starts, now)
	c.Check(known.of("z", now), qt.HasLen, maxSentStarts)
	for len(starts) > 0 {
		chunk := min(len(starts), maxSentStarts)
		known.add("z", starts[:chunk], now)
		starts = starts[chunk:]
	}
	c.Check(known.of("z", now), qt.HasLen, maxKeptStarts)
	c.Check(known.of("z", now.Add(rattanscheduler.LateStartBound)), qt.HasLen, 0)
	c.Check(known["z"], qt.HasLen, 0)
}

// TestNewOutstandingStartsAreKept guards against an instance that keeps the start
// requests of long ago in place of those that may still be carried out.
func TestNewOutstandingStartsAreKept(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	known := outstandingStarts{}
	for attempt := range maxKeptStarts {
		known.add("z", []rattanscheduler.OutstandingStart{{Task: "t", Target: "a", Attempt: attempt, Remaining: rattanscheduler.LateStartBound}}, now)
	}
	later := now.Add(rattanscheduler.LateStartBound)
	known.add("z", []rattanscheduler.OutstandingStart{{Task: "u", Target: "b", Attempt: 1, Remaining: time.Second}}, later)
	starts := known.of("z", later)
	c.Assert(starts, qt.HasLen, 1)
	c.Check(starts[0].Task, qt.Equals, "u")
}
