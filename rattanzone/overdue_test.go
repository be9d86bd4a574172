package rattanzone

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestSuccessorAwaitsOverdueHeartbeats guards against overcommitting a target that shrank while it was cut off.
func TestSuccessorAwaitsOverdueHeartbeats(t *testing.T) {
	tests := map[string]struct {
		// delay is the time from the last view of the home to the claim.
		delay time.Duration
		// fails is set if a reading of the successor fails.
		fails bool
		// heard is set if the successor reads a heartbeat.
		heard bool
		// deposed is set if the earlier home sends a view after it was deposed.
		deposed bool
		// want is the time since which the heartbeat of the target is awaited.
		want func(lastHeard, claimedAt, readAt time.Time) time.Time
	}{
		"overdue":                  {0, false, false, false, func(lastHeard, _, _ time.Time) time.Time { return lastHeard }},
		"overdue, home deposed":    {0, false, false, true, func(lastHeard, _, _ time.Time) time.Time { return lastHeard }},
		"heard":                    {0, false, true, false, func(_, _, readAt time.Time) time.Time { return readAt }},
		"told long before":         {overdueRetention + time.Millisecond, false, false, false, func(_, claimedAt, _ time.Time) time.Time { return claimedAt }},
		"store out of reach since": {0, true, false, false, func(_, _, readAt time.Time) time.Time { return readAt }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var clock fakeClock
			beat := func(id string, sequence int64) rattanwork.Target {
				return rattanwork.Target{ID: id, Zone: "z", Sequence: sequence}
			}
			newAgent := func(name string) (*Agent, *scriptedInventory) {
				store := &scriptedInventory{current: rattanwork.Inventory{Revision: 5, Targets: []rattanwork.Target{beat("a", 1), beat("b", 1)}}}
				return New(Config{
					Self: rattanwork.Member{Name: name, Zone: "z"}, Seeds: func() []string { return nil }, Peers: noPeers{}, Journal: quietJournal{},
					DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(store), Clock: clock.now,
					NewHome: func(token int64) *rattanhome.Home {
						return rattanhome.New(rattanhome.Config{FencingToken: token, MaxLease: time.Second, Targets: silentTargets{}, Observer: idleObserver{}, Clock: clock.now})
					},
				}), store
			}
			follow := func(agent *Agent) {
				c.Helper()
				c.Assert(agent.config.Inventory.follow(context.Background(), clock.now), qt.IsNil)
			}
			awaitedSince := func(agent *Agent) time.Time {
				for _, target := range agent.config.Inventory.ZoneTargets("z", clock.now()) {
					if target.ID == "b" {
						return target.AwaitedSince
					}
				}
				return time.Time{}
			}
			home, homeStore := newAgent("home")
			follower, followerStore := newAgent("follower")
			home.claimZone("test", clock.now())
			follow(home)
			lastHeard := clock.now()
			// The store's watch brings heartbeats of one target only.
			for sequence := int64(2); clock.now().Sub(lastHeard) <= overdueAge; sequence++ {
				clock.pass(500 * time.Millisecond)
				homeStore.changes = []rattanwork.InventoryChange{{Revision: 4 + sequence, Updated: []rattanwork.Target{beat("a", sequence)}}}
				follow(home)
			}
			tell := func() {
				c.Helper()
				_, err := follower.handleHeartbeat(context.Background(), "", mustMarshal(home.viewFor("follower")))
				c.Assert(err, qt.IsNil)
			}
			tell()
			if test.deposed {
				home.LocalHome().Close()
				home.stepDownIfDeposed()
				tell()
			} else {
				defer home.LocalHome().Close()
			}
			clock.pass(test.delay)
			claimedAt := clock.now()
			follower.claimZone("test", clock.now())
			defer follower.LocalHome().Close()
			followerStore.current.Revision = 20
			// The copy of the follower was older than the last heartbeat.
			followerStore.current.Targets[1] = beat("b", 7)
			follow(follower)
			clock.pass(500 * time.Millisecond)
			if test.fails {
				followerStore.err = context.DeadlineExceeded
				c.Assert(follower.config.Inventory.follow(context.Background(), clock.now), qt.IsNotNil)
				followerStore.err = nil
			}
			if test.heard {
				followerStore.changes = []rattanwork.InventoryChange{{Revision: 21, Updated: []rattanwork.Target{beat("b", 8)}}}
			}
			follow(follower)
			c.Check(awaitedSince(follower), qt.Equals, test.want(lastHeard, claimedAt, clock.now()))
			overdue := follower.config.Inventory.Overdue("z", clock.now())
			_, told := overdue["b"]
			c.Check(told, qt.Equals, strings.HasPrefix(name, "overdue"), qt.Commentf("the next successor is told too: %v", overdue))
		})
	}
}
