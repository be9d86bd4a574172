package rattanzone

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestInventoryKeepsMissingTargets guards against dropping targets whose
// entries expired while the store was unavailable, and against keeping targets
// that are gone for good.
func TestInventoryKeepsMissingTargets(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	both := []rattanwork.Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}}
	inventory := NewInventory(nil)
	inventory.update(rattanwork.Inventory{Revision: 5, Targets: both}, now)
	c.Assert(inventory.Revision(), qt.Equals, int64(5))
	inventory.update(rattanwork.Inventory{Revision: 6, Targets: both[:1]}, now.Add(time.Second))
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 2)
	c.Check(inventory.Revision(), qt.Equals, int64(5))
	// An older read that arrives late is ignored.
	inventory.update(rattanwork.Inventory{Revision: 4}, now.Add(2*time.Second))
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 2)
	inventory.update(rattanwork.Inventory{Revision: 8, Targets: both[:1]}, now.Add(time.Second+missingGrace+time.Millisecond))
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 1)
	c.Check(inventory.Revision(), qt.Equals, int64(8))
}

// TestNextFencingToken guards against a token that another instance may use,
// that is not higher than the tokens of the previous home, or that JSON numbers
// cannot represent exactly.
func TestNextFencingToken(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	nextToken := func(address string, known int64) int64 {
		a := &Agent{config: Config{Self: rattanwork.Member{Zone: "z", Address: address}}, homes: map[string]*homeRecord{}}
		if known != 0 {
			a.homes["z"] = &homeRecord{claim: Claim{FencingToken: known}}
		}
		return a.nextFencingToken(now)
	}
	first := nextToken("10.1.0.13:8166", 0)
	other := nextToken("10.1.0.14:8166", 0)
	c.Check(first, qt.Not(qt.Equals), other)
	c.Check(first < 1<<53, qt.IsTrue)
	const raises = 1000 * 4096
	// The clock of the next home is one hour behind.
	ahead := first + int64(time.Hour/time.Millisecond)*4096
	c.Check(nextToken("10.1.0.14:8166", ahead) > ahead+raises, qt.IsTrue)
	c.Check(nextToken("10.1.0.14:8166", ahead)%4096, qt.Equals, other%4096)
}

// scriptedInventory is an InventoryReader whose store has a history.
type scriptedInventory struct {
	current rattanwork.Inventory
	changes []rattanwork.InventoryChange
	err     error
	reads   int
	waits   int
}

func (s *scriptedInventory) Current(context.Context) (rattanwork.Inventory, error) {
	s.reads++
	return s.current, s.err
}

func (s *scriptedInventory) WaitForChange(_ context.Context, revision int64, _ time.Duration) (rattanwork.InventoryChange, error) {
	s.waits++
	if s.err != nil || len(s.changes) == 0 {
		return rattanwork.InventoryChange{Revision: revision}, s.err
	}
	next := s.changes[0]
	s.changes = s.changes[1:]
	return next, nil
}

// TestInventoryFollowsChanges guards against reading all entries for each
// change, against missing changes after a failure, and against dropping targets
// whose entries lapse for a moment.
func TestInventoryFollowsChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	targetA, targetB := rattanwork.Target{ID: "a", Zone: "z"}, rattanwork.Target{ID: "b", Zone: "z"}
	store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{targetA}}}
	inventory := NewInventory(store)
	follow := func() {
		c.Helper()
		c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	}
	follow()
	store.changes = []rattanwork.InventoryChange{
		{Revision: 7, Updated: []rattanwork.Target{targetB}},
		{Revision: 8, Removed: []string{"a"}},
		{Revision: 9, Updated: []rattanwork.Target{targetA}},
		{Revision: 10, Removed: []string{"a"}},
	}
	follow()
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 2)
	c.Check(inventory.Revision(), qt.Equals, int64(7))
	follow()
	now = now.Add(time.Second)
	follow()
	now = now.Add(missingGrace)
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 2)
	follow()
	now = now.Add(missingGrace)
	follow()
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 2)
	now = now.Add(time.Millisecond)
	follow()
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 1)
	c.Check(store.reads, qt.Equals, 1)
	// After a failure, changes may have been missed.
	store.err = context.DeadlineExceeded
	c.Check(inventory.follow(context.Background(), clock), qt.IsNotNil)
	store.err = nil
	store.current = rattanwork.Inventory{Revision: 12, Targets: []rattanwork.Target{targetA, targetB}}
	follow()
	c.Check(store.reads, qt.Equals, 2)
	c.Check(inventory.ZoneTargets("z", now), qt.HasLen, 2)
	// A new home reads everything.
	inventory.RequestRefresh(now)
	follow()
	c.Check(store.reads, qt.Equals, 3)
}

// TestInventoryPullsAreLimited guards against traffic that grows with the
// number of instances times that of the targets, and against a copy that is older
// than callers may rely on when the store goes away.
func TestInventoryPullsAreLimited(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	const targets, revisions = 100, 600
	home := NewInventory(nil)
	agent := New(Config{Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, Inventory: NewInventory(nil), Clock: func() time.Time { return now }})
	c.Check(agent.inventoryPullDue(1), qt.IsTrue)
	c.Check(agent.inventoryPullDue(1), qt.IsTrue, qt.Commentf("without any inventory, each chance counts"))
	target := func(index, milliCPU int) rattanwork.Target {
		return rattanwork.Target{ID: fmt.Sprint(index), Zone: "a", Capacity: rattanwork.Resources{MilliCPU: milliCPU}}
	}
	whole := rattanwork.Inventory{Revision: 1}
	for index := range targets {
		whole.Targets = append(whole.Targets, target(index, 1))
	}
	home.update(whole, now)
	agent.config.Inventory.merge(home.copyAfter(0), now)
	sent, copiedAt, oldest := 0, now, time.Duration(0)
	for step := range revisions {
		now = now.Add(100 * time.Millisecond)
		revision := int64(2 + step)
		home.apply(revision-1, rattanwork.InventoryChange{Revision: revision, Updated: []rattanwork.Target{target(step%targets, 2+step)}}, now)
		if agent.inventoryPullDue(home.Revision()) {
			reply := home.copyAfter(agent.config.Inventory.Revision())
			agent.config.Inventory.merge(reply, now)
			sent += len(reply.Targets)
			copiedAt = now
		}
		oldest = max(oldest, now.Sub(copiedAt))
	}
	c.Check(sent <= revisions, qt.IsTrue, qt.Commentf("%d targets sent after %d changes", sent, revisions))
	c.Check(oldest <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("a copy was %v old", oldest))
	agent.config.Inventory.merge(home.copyAfter(agent.config.Inventory.Revision()), now)
	c.Check(agent.config.Inventory.copyAfter(0).Targets, qt.DeepEquals, home.copyAfter(0).Targets)
}

// TestCopyOfChanges guards against a copy that keeps removed targets, and against
// sending changes to an instance that may lack earlier ones.
func TestCopyOfChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	home, follower := NewInventory(nil), NewInventory(nil)
	targetA, targetB := rattanwork.Target{ID: "a", Zone: "z"}, rattanwork.Target{ID: "b", Zone: "z"}
	home.update(rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{targetA, targetB}}, now)
	follower.merge(home.copyAfter(0), now)
	home.apply(5, rattanwork.InventoryChange{Revision: 6, Removed: []string{"a"}}, now)
	now = now.Add(missingGrace + time.Millisecond)
	home.apply(6, rattanwork.InventoryChange{Revision: 7}, now)
	change := home.copyAfter(follower.Revision())
	c.Check(change.After, qt.Equals, int64(5))
	c.Check(change.Removed, qt.DeepEquals, []string{"a"})
	c.Check(change.Targets, qt.HasLen, 0)
	follower.merge(change, now)
	now = now.Add(missingGrace + time.Millisecond)
	home.apply(7, rattanwork.InventoryChange{Revision: 8, Updated: []rattanwork.Target{{ID: "b", Zone: "z", Draining: true}}}, now)
	follower.merge(home.copyAfter(follower.Revision()), now)
	c.Check(follower.ZoneTargets("z", now), qt.DeepEquals, home.ZoneTargets("z", now))
	// An instance that has read everything again does not know all changes
	// before.
	home.update(rattanwork.Inventory{Revision: 20, Targets: []rattanwork.Target{targetB}}, now)
	c.Check(home.copyAfter(8).After, qt.Equals, int64(0))
	c.Check(home.copyAfter(20).After, qt.Equals, int64(20))
}

// TestInventoryRequestOfFormerVersion guards against a rolling update in which
// instances of the former version, whose requests have no body, cannot copy the
// inventory.
func TestInventoryRequestOfFormerVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	inventory := NewInventory(nil)
	inventory.update(rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{{ID: "a", Zone: "z"}}}, now)
	agent := New(Config{Self: rattanwork.Member{Name: "self", Zone: "z"}, Peers: noPeers{}, Inventory: inventory, Clock: func() time.Time { return now }})
	for name, test := range map[string]struct {
		body    string
		targets int
		err     string
	}{
		"former version": {"", 1, ""},
		"whole":          {`{"After":0}`, 1, ""},
		"changes":        {`{"After":5}`, 0, ""},
		"malformed":      {"{", 0, "decode inventory request.*"},
	} {
		reply, err := agent.handleInventory(context.Background(), "", []byte(test.body))
		if test.err != "" {
			c.Check(err, qt.ErrorMatches, test.err, qt.Commentf(name))
			continue
		}
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		var copied rattanwork.Inventory
		c.Assert(json.Unmarshal(reply, &copied), qt.IsNil)
		c.Check(copied.Revision, qt.Equals, int64(5), qt.Commentf(name))
		c.Check(copied.Targets, qt.HasLen, test.targets, qt.Commentf(name))
	}
}

// TestNewestInventoryIsCopiedFirst guards against a home that is content with an
// older copy of the inventory than another instance has while the store is away.
func TestNewestInventoryIsCopiedFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	agent := New(Config{Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, Inventory: NewInventory(nil), Clock: func() time.Time { return now }})
	for name, revision := range map[string]int64{"x": 3, "y": 7, "z": 5} {
		agent.recordSender(&View{Sender: rattanwork.Member{Name: name, Incarnation: 1}, InventoryRevision: revision}, now)
	}
	var names []string
	for _, m := range agent.membersByInventory() {
		names = append(names, m.Name)
	}
	c.Check(names, qt.DeepEquals, []string{"y", "z", "x"})
}

// TestFirstReadIsNotSettled guards against a home that takes its first view of
// the inventory for complete just after its zone was cut off from the store:
// entries that expired meanwhile come back within two seconds.
func TestFirstReadIsNotSettled(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{{ID: "a", Zone: "z"}}}}
	inventory := NewInventory(store)
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	c.Check(inventory.settled(now), qt.IsFalse)
	now = now.Add(settleTime)
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	c.Check(inventory.settled(now), qt.IsTrue)
	copied := NewInventory(store)
	copied.update(rattanwork.Inventory{Revision: 4, Targets: []rattanwork.Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}}}, now)
	c.Assert(copied.follow(context.Background(), clock), qt.IsNil)
	c.Check(copied.settled(now), qt.IsTrue)
	c.Check(copied.ZoneTargets("z", now), qt.HasLen, 2, qt.Commentf("the target that the store lacks is kept"))
}

// TestInventoryTellsWhenTargetsWereHeard guards against taking a target that no
// longer reaches the store for a current one, and against taking all targets for
// outdated once the store is back.
func TestInventoryTellsWhenTargetsWereHeard(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	beat := func(id string, sequence int64) rattanwork.Target {
		return rattanwork.Target{ID: id, Zone: "z", Sequence: sequence}
	}
	store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{beat("a", 1), beat("b", 1)}}}
	inventory := NewInventory(store)
	type times struct{ HeardAt, AwaitedSince time.Time }
	heard := func() map[string]times {
		result := map[string]times{}
		for _, target := range inventory.ZoneTargets("z", now) {
			result[target.ID] = times{target.HeardAt, target.AwaitedSince}
		}
		return result
	}
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	first := now
	c.Check(heard(), qt.DeepEquals, map[string]times{"a": {first, first}, "b": {first, first}})
	now = now.Add(time.Second)
	second := now
	store.changes = []rattanwork.InventoryChange{{Revision: 6, Updated: []rattanwork.Target{beat("a", 2)}}}
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	c.Check(heard(), qt.DeepEquals, map[string]times{"a": {second, second}, "b": {first, first}})
	store.err = context.DeadlineExceeded
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNotNil)
	c.Check(heard(), qt.DeepEquals, map[string]times{"a": {}, "b": {}})
	store.err = nil
	store.current.Targets[0] = beat("a", 3)
	now = now.Add(time.Minute)
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	c.Check(heard(), qt.DeepEquals, map[string]times{"a": {second, now}, "b": {first, now}}, qt.Commentf("the heartbeat of a may have come at any time since the last reading"))
	now = now.Add(time.Second)
	store.changes = []rattanwork.InventoryChange{{Revision: 7, Updated: []rattanwork.Target{beat("a", 4)}}}
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	c.Check(heard(), qt.DeepEquals, map[string]times{"a": {now, now}, "b": {first, now.Add(-time.Second)}})
}

// TestZoneServesWithoutHeartbeats guards against a zone that serves nobody because
// the store shows no heartbeats, and against ignoring that one target has none.
func TestZoneServesWithoutHeartbeats(t *testing.T) {
	c := qt.New(t)
	const milliCPU = 8000
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	entry := func(id string, sequence int64) rattanwork.Target {
		return rattanwork.Target{ID: id, Zone: "z", Capacity: rattanwork.Resources{MilliCPU: milliCPU}, Sequence: sequence}
	}
	store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{entry("a", 1), entry("b", 1)}}}
	inventory := NewInventory(store)
	scheduler := rattanscheduler.New(rattanscheduler.Config{MaxLease: time.Second, TakeoverTime: now})
	update := func() {
		c.Helper()
		c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
		scheduler.UpdateTargets(inventory.ZoneTargets("z", now), true, now)
	}
	list := func(id string) { scheduler.RunsListed(id, &rattanwork.Listing{}, now, time.Time{}, now) }
	update()
	list("a")
	list("b")
	for range 20 {
		now = now.Add(changeInterval)
		update()
		c.Assert(scheduler.FreeMilliCPU(now), qt.Equals, 2*milliCPU)
	}
	scheduler.TargetUnresponsive("b", false, now)
	now = now.Add(2 * time.Second)
	list("b")
	update()
	c.Check(scheduler.FreeMilliCPU(now), qt.Equals, 2*milliCPU, qt.Commentf("a target that was silent has returned"))
	store.err = context.DeadlineExceeded
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNotNil)
	store.err = nil
	update()
	c.Check(scheduler.FreeMilliCPU(now), qt.Equals, 2*milliCPU, qt.Commentf("a failed reading tells nothing about heartbeats"))
	for sequence := range int64(8) {
		now = now.Add(changeInterval)
		store.changes = []rattanwork.InventoryChange{{Revision: 6 + sequence, Updated: []rattanwork.Target{entry("a", 2+sequence)}}}
		update()
	}
	c.Check(scheduler.FreeMilliCPU(now), qt.Equals, milliCPU, qt.Commentf("only a has heartbeats"))
}

// TestTargetInUseStaysKnown guards against two runs of a task: a target cannot
// reach the store any more but runs a task, its home is lost, and the successor
// starts the task again because it does not know the target.
func TestTargetInUseStaysKnown(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	home, follower := NewInventory(nil), NewInventory(nil)
	target := rattanwork.Target{ID: "a", Zone: "z"}
	home.update(rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{target}}, now)
	follower.merge(home.copyAfter(0), now)
	home.SetInUse(map[string]bool{"a": true})
	home.apply(5, rattanwork.InventoryChange{Revision: 6, Removed: []string{"a"}}, now)
	revision := int64(6)
	pass := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); revision++ {
			now = now.Add(missingGrace + time.Millisecond)
			home.apply(revision, rattanwork.InventoryChange{Revision: revision + 1}, now)
			follower.merge(home.copyAfter(follower.Revision()), now)
		}
	}
	pass(10 * missingGrace)
	target.Draining = true
	c.Check(home.ZoneTargets("z", now), qt.DeepEquals, []rattanwork.Target{target}, qt.Commentf("it gets no new work"))
	c.Check(follower.ZoneTargets("z", now), qt.DeepEquals, []rattanwork.Target{target})
	home.SetInUse(nil)
	pass(3 * missingGrace)
	c.Check(home.ZoneTargets("z", now), qt.HasLen, 0)
	c.Check(follower.ZoneTargets("z", now), qt.HasLen, 0)
}

// TestFollowerThatReadsTheStoreKeepsTargetInUse guards against two runs of a task: a
// target cannot reach the store any more but runs a task, its home's successor has
// read the store itself for a peer, and so does not know the target.
func TestFollowerThatReadsTheStoreKeepsTargetInUse(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	home, follower := NewInventory(nil), NewInventory(nil)
	home.update(rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{{ID: "a", Zone: "z"}}}, now)
	home.SetInUse(map[string]bool{"a": true})
	home.apply(5, rattanwork.InventoryChange{Revision: 6, Removed: []string{"a"}}, now)
	now = now.Add(missingGrace + time.Millisecond)
	home.apply(6, rattanwork.InventoryChange{Revision: 7}, now)
	follower.merge(home.copyAfter(0), now)
	c.Assert(follower.ZoneTargets("z", now), qt.HasLen, 1)
	for revision := int64(8); revision < 10; revision++ {
		follower.update(rattanwork.Inventory{Revision: revision}, now)
		now = now.Add(missingGrace + time.Millisecond)
		home.apply(revision-1, rattanwork.InventoryChange{Revision: revision}, now)
		follower.merge(home.copyAfter(follower.Revision()), now)
	}
	c.Check(home.ZoneTargets("z", now), qt.HasLen, 1)
	c.Check(follower.ZoneTargets("z", now), qt.HasLen, 1)
}

// TestReadingAgainIsNoHeartbeat guards against starts on a target whose capacity
// has shrunk while nobody could reach it: the inventory is read again after a watch
// was cut, and the entry from before the silence counts as a heartbeat after it.
func TestReadingAgainIsNoHeartbeat(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{{ID: "a", Zone: "z", Sequence: 1}}}}
	inventory := NewInventory(store)
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	now = now.Add(2 * time.Second)
	returnedAt := now
	now = now.Add(100 * time.Millisecond)
	store.err = context.DeadlineExceeded
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNotNil)
	store.err = nil
	now = now.Add(100 * time.Millisecond)
	c.Assert(inventory.follow(context.Background(), clock), qt.IsNil)
	c.Check(inventory.ZoneTargets("z", now)[0].HeardAt.After(returnedAt), qt.IsFalse)
}

// TestReturnedTargetAwaitsItsHeartbeatAcrossOutage guards against starts on a target
// whose capacity has shrunk: a reading fails after the target has returned, or before,
// and against a zone that stands still while the store is away.
func TestReturnedTargetAwaitsItsHeartbeatAcrossOutage(t *testing.T) {
	const milliCPU = 8000
	tests := map[string]struct {
		// failedReadings fail before and after the target returns.
		failedBefore, failedAfter int
		usable                    bool
	}{
		"no reading fails":         {0, 0, false},
		"one reading fails after":  {0, 1, false},
		"one reading fails before": {1, 0, false},
		"the store stays away":     {5, 5, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_800_000_000, 0)
			clock := func() time.Time { return now }
			entries := func(sequenceA, sequenceB int64) []rattanwork.Target {
				capacity := rattanwork.Resources{MilliCPU: milliCPU}
				return []rattanwork.Target{{ID: "a", Zone: "z", Capacity: capacity, Sequence: sequenceA}, {ID: "b", Zone: "z", Capacity: capacity, Sequence: sequenceB}}
			}
			store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: entries(1, 1)}}
			inventory := NewInventory(store)
			scheduler := rattanscheduler.New(rattanscheduler.Config{MaxLease: time.Second, TakeoverTime: now})
			read := func(err error) {
				now = now.Add(inventoryInterval)
				store.err = err
				c.Check(inventory.follow(context.Background(), clock), qt.Equals, err)
				scheduler.UpdateTargets(inventory.ZoneTargets("z", now), true, now)
			}
			beat := func(sequenceA, sequenceB int64) {
				store.current = rattanwork.Inventory{Revision: 5 + sequenceA, Targets: entries(sequenceA, sequenceB)}
				store.changes = []rattanwork.InventoryChange{{Revision: 5 + sequenceA, Updated: store.current.Targets}}
				read(nil)
			}
			list := func(id string) { scheduler.RunsListed(id, &rattanwork.Listing{}, now, time.Time{}, now) }
			read(nil)
			list("a")
			list("b")
			scheduler.TargetUnresponsive("b", false, now)
			read(nil)
			read(nil)
			for range test.failedBefore {
				read(context.DeadlineExceeded)
			}
			list("b")
			for range test.failedAfter {
				read(context.DeadlineExceeded)
			}
			want := milliCPU
			if test.usable {
				want = 2 * milliCPU
			}
			c.Check(scheduler.FreeMilliCPU(now), qt.Equals, want, qt.Commentf("b has returned"))
			beat(2, 1)
			c.Check(scheduler.FreeMilliCPU(now), qt.Equals, milliCPU, qt.Commentf("only a was heard since"))
			beat(3, 2)
			c.Check(scheduler.FreeMilliCPU(now), qt.Equals, 2*milliCPU, qt.Commentf("b was heard"))
		})
	}
}

// TestColdTimeIsCountedDown guards against targets that stay cold because their entries
// change only with their heartbeats.
func TestColdTimeIsCountedDown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	inventory := NewInventory(nil)
	for _, step := range []struct{ pause, left, want time.Duration }{
		{0, 2000, 2000}, {1500, 2000, 500}, {100, 400, 400}, {60_000, 400, 0},
	} {
		now = now.Add(step.pause * time.Millisecond)
		target := rattanwork.Target{ID: "t", Zone: "a", ColdLeft: step.left * time.Millisecond, Sequence: int64(step.left)}
		inventory.update(rattanwork.Inventory{Revision: 7, Targets: []rattanwork.Target{target}}, now)
		qt.Check(t, inventory.ZoneTargets("a", now)[0].ColdLeft, qt.Equals, step.want*time.Millisecond)
	}
}
