package rattanzone

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// silentTargets answers no request and records which targets were asked.
type silentTargets struct {
	asked chan string
}

func (s silentTargets) Lease(ctx context.Context, target *rattanwork.Target, _ rattanwork.LeaseRequest) (*rattanwork.Listing, error) {
	select {
	case s.asked <- target.ID:
	default:
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentTargets) Start(context.Context, *rattanwork.Target, rattanwork.StartRequest) rattanwork.StartAnswer {
	return rattanwork.StartAnswer{Result: rattanwork.StartUnknown}
}

func (silentTargets) Stop(context.Context, *rattanwork.Target, string, int, int64) error {
	return rattanwork.ErrConnectionRefused
}

// TestHeartbeatOfHomeNamesTargetsInUse guards against two runs of a task: a follower
// that has read the store later than its home does not copy the inventory from it.
func TestHeartbeatOfHomeNamesTargetsInUse(t *testing.T) {
	c := qt.New(t)
	var fake fakeClock
	clock, pass := fake.now, fake.pass
	asked := make(chan string, 100)
	newAgent := func(name string) *Agent {
		return New(Config{
			Self: rattanwork.Member{Name: name, Zone: "z"}, Seeds: func() []string { return nil }, Peers: noPeers{}, Journal: quietJournal{},
			DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: clock,
			NewHome: func(token int64) *rattanhome.Home {
				return rattanhome.New(rattanhome.Config{FencingToken: token, MaxLease: time.Second, Targets: silentTargets{asked}, Observer: idleObserver{}, Clock: clock})
			},
		})
	}
	home, follower := newAgent("home"), newAgent("follower")
	home.claimZone("test", clock())
	defer home.LocalHome().Close()
	both := rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{
		{ID: "a", Service: "s", Zone: "z", Address: "127.0.0.1:1"}, {ID: "b", Service: "s", Zone: "z", Address: "127.0.0.1:2"},
	}}
	for _, agent := range []*Agent{home, follower} {
		agent.config.Inventory.update(both, clock())
	}
	home.config.Inventory.SetInUse(map[string]bool{"a": true})
	home.config.Inventory.apply(5, rattanwork.InventoryChange{Revision: 6, Removed: []string{"a"}}, clock())
	known := func(agent *Agent) []rattanwork.Target { return agent.config.Inventory.ZoneTargets("z", clock()) }
	readStore := func(revision int64) {
		follower.config.Inventory.update(rattanwork.Inventory{Revision: revision, Targets: both.Targets[1:]}, clock())
	}
	readStore(8)
	pass(missingGrace + time.Millisecond)
	readStore(9)
	c.Assert(known(follower), qt.HasLen, 1)
	c.Check(follower.inventoryPullDue(home.config.Inventory.Revision()), qt.IsFalse)
	beat := func(from, to *Agent) {
		c.Helper()
		body, err := to.handleHeartbeat(context.Background(), "", mustMarshal(from.viewFor(to.config.Self.Name)))
		c.Assert(err, qt.IsNil)
		var view View
		c.Assert(json.Unmarshal(body, &view), qt.IsNil)
		from.merge(&view)
	}
	beat(follower, home)
	c.Assert(known(follower), qt.HasLen, 2, qt.Commentf("the target is taken back"))
	for _, target := range known(follower) {
		c.Check(target.Draining, qt.Equals, target.ID == "a")
	}
	other := newAgent("other")
	other.config.Inventory.update(rattanwork.Inventory{Revision: 9, Targets: both.Targets[1:]}, clock())
	beat(other, follower)
	other.config.Inventory.merge(follower.config.Inventory.copyAfter(0), clock())
	c.Check(known(other), qt.HasLen, 1, qt.Commentf("only the home names it"))
	pass(missingGrace)
	follower.claimZone("test", clock())
	defer follower.LocalHome().Close()
	successorAsks := map[string]bool{}
	for len(successorAsks) < 2 {
		successorAsks[<-asked] = true
	}
	c.Check(successorAsks, qt.DeepEquals, map[string]bool{"a": true, "b": true})
	pass(missingGrace)
	readStore(10)
	c.Check(known(follower), qt.HasLen, 2, qt.Commentf("the leases of the earlier home have not ended"))
	pass(time.Millisecond)
	readStore(11)
	c.Check(known(follower), qt.HasLen, 1)
}

// TestNamedTargetInStoreIsNotMissing guards against a target that is forgotten
// although the store has it: its entry lapsed for a moment, its home has runs there,
// and the follower has not seen that it was missing.
func TestNamedTargetInStoreIsNotMissing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	targets := []rattanwork.Target{{ID: "a", Zone: "z"}}
	home, follower := NewInventory(nil), NewInventory(nil)
	home.update(rattanwork.Inventory{Revision: 5, Targets: targets}, now)
	follower.merge(home.copyAfter(0), now)
	home.SetInUse(map[string]bool{"a": true})
	home.apply(5, rattanwork.InventoryChange{Revision: 6, Removed: []string{"a"}}, now)
	c.Assert(home.Kept(), qt.HasLen, 1)
	follower.merge(home.copyAfter(5), now)
	home.apply(6, rattanwork.InventoryChange{Revision: 7, Updated: targets}, now)
	c.Assert(home.Kept(), qt.HasLen, 0)
	now = now.Add(missingGrace + time.Millisecond)
	follower.merge(home.copyAfter(5), now)
	c.Check(follower.ZoneTargets("z", now), qt.DeepEquals, targets)
}
