package rattanzone

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// idleObserver ignores the events of a home.
type idleObserver struct{}

func (idleObserver) JobEnded(rattanscheduler.JobResult)        {}
func (idleObserver) TargetChanged(rattanscheduler.TargetEvent) {}
func (idleObserver) RunLost(rattanscheduler.RunLoss)           {}
func (idleObserver) StartChanged(rattanscheduler.StartEvent)   {}
func (idleObserver) TargetUnresponsive(string, error)          {}
func (idleObserver) TargetRecovered(string, time.Duration)     {}
func (idleObserver) OverloadChanged(bool, time.Duration, int)  {}
func (idleObserver) Deposed(string)                            {}

// TestClaimAfterDiscovery guards against an instance that claims the zone of a
// home that it has had no chance to find, and against waiting longer than
// needed when all instances start anew.
func TestClaimAfterDiscovery(t *testing.T) {
	tests := map[string]struct {
		directoryRead bool
		peerAnswers   bool
		claimAfter    time.Duration
	}{
		"a peer knows no home, directory read":         {directoryRead: true, peerAnswers: true, claimAfter: directoryDiscoveryTime},
		"a peer knows no home, directory out of reach": {peerAnswers: true, claimAfter: peerDiscoveryTime},
		"the directory lists nobody":                   {directoryRead: true, claimAfter: discoveryTime},
		"nobody in reach":                              {claimAfter: discoveryTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1_800_000_000, 0)
			var elapsed atomic.Int64
			clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
			var peers Peers = noPeers{}
			if test.peerAnswers {
				peers = &recordingPeers{}
			}
			agent := New(Config{
				Self: rattanwork.Member{Name: "self", Zone: "a", MilliCPU: 800}, Seeds: func() []string { return []string{"peer"} }, Peers: peers,
				Journal: quietJournal{}, DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: clock,
				NewHome: func(token int64) *rattanhome.Home {
					return rattanhome.New(rattanhome.Config{FencingToken: token, MaxLease: time.Second, Observer: idleObserver{}, Clock: clock})
				},
			})
			agent.directoryRead = test.directoryRead
			for agent.LocalHome() == nil && clock().Sub(start) < time.Second {
				agent.runElection(clock())
				elapsed.Add(int64(10 * time.Millisecond))
			}
			c.Assert(agent.LocalHome(), qt.IsNotNil)
			agent.LocalHome().Close()
			c.Check(clock().Sub(start)-10*time.Millisecond, qt.Equals, test.claimAfter)
		})
	}
}

// TestHomeEndsWithLaterClaim guards against two homes that both grant leases: one
// that hears of a later claim goes on.
func TestHomeEndsWithLaterClaim(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	agent := New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Seeds: func() []string { return nil }, Peers: noPeers{},
		Journal: quietJournal{}, DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: clock,
		NewHome: func(token int64) *rattanhome.Home {
			return rattanhome.New(rattanhome.Config{FencingToken: token, MaxLease: time.Second, Observer: idleObserver{}, Clock: clock})
		},
	})
	agent.claimZone("test", now)
	home := agent.LocalHome()
	c.Cleanup(home.Close)
	agent.mutex.Lock()
	agent.mergeClaim(Claim{Zone: "a", Name: "other", FencingToken: home.FencingToken() + 1}, "third", now)
	agent.mutex.Unlock()
	c.Check(agent.LocalHome(), qt.IsNil)
	select {
	case <-home.Deposed():
	case <-time.After(5 * time.Second):
		c.Error("the home was not closed")
	}
}

// silentPeers answers no call.
type silentPeers struct {
	noPeers
	calls atomic.Int64
}

func (p *silentPeers) Call(ctx context.Context, _, _ string, _ []byte) ([]byte, error) {
	p.calls.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestResignEndsInTime guards against a shutdown that asks one silent member after the
// other until the grace period is over.
func TestResignEndsInTime(t *testing.T) {
	const members = 40
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	peers := &silentPeers{}
	agent := New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: peers, Journal: quietJournal{},
		DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: func() time.Time { return now },
	})
	agent.localHome = rattanhome.New(rattanhome.Config{FencingToken: 1, MaxLease: time.Second, Observer: idleObserver{}, Clock: func() time.Time { return now }})
	defer agent.localHome.Close()
	for i := range members {
		name := fmt.Sprintf("m%d", i)
		agent.members[name] = &member{Member: rattanwork.Member{Name: name, Zone: "a", Address: name}, lastHeard: now}
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	agent.Resign(ctx)
	c.Check(ctx.Err(), qt.IsNotNil)
	c.Check(peers.calls.Load() < members/2, qt.IsTrue, qt.Commentf("%d members asked", peers.calls.Load()))
}
