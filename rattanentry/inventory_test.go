package rattanentry

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattaninventory"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

// fakePlatform answers queries from a list, or fails if it has none.
type fakePlatform struct {
	instances []rattanplatform.Instance
}

func (p *fakePlatform) Instances(_ context.Context, query rattanplatform.InstanceQuery) (rattanplatform.InstanceReply, error) {
	if p.instances == nil {
		return rattanplatform.InstanceReply{}, rattanplatform.ErrUnavailable
	}
	var reply rattanplatform.InstanceReply
	for _, instance := range p.instances {
		if query.AvailabilityZone == "" || instance.AvailabilityZone == query.AvailabilityZone {
			reply.Instances = append(reply.Instances, instance)
		}
	}
	return reply, nil
}

// pullFixture is a member that pulls from a watcher, which reads from a fake
// platform.
type pullFixture struct {
	platform *fakePlatform
	watcher  *Inventory
	peer     *localPeer
	member   *Inventory
}

func newPullFixture(c *qt.C) *pullFixture {
	p := &pullFixture{platform: &fakePlatform{instances: benchmarkInstances(100)}}
	p.watcher = testInventory(p.platform, nil)
	p.peer = &localPeer{handler: p.watcher.handlePull}
	p.member = testInventory(&fakePlatform{}, p.peer)
	c.Assert(p.watcher.readPlatform(context.Background()), qt.IsNil)
	c.Assert(p.pull(), qt.IsNil)
	return p
}

func (p *pullFixture) pull() error {
	return p.member.pull(context.Background(), "watcher")
}

func (p *pullFixture) change(c *qt.C) {
	p.platform.instances = append([]rattanplatform.Instance(nil), p.platform.instances...)
	p.platform.instances[0].Slots++
	c.Assert(p.watcher.readPlatform(context.Background()), qt.IsNil)
}

// TestFaultyPulls guards against two failures after a faulty pull: a member
// with a list that no other instance has, and a member that never catches up.
// Replies to pulls are corrupted, lost or empty, or come from a peer that does
// not know the member's list.
func TestFaultyPulls(t *testing.T) {
	serve := func(p *pullFixture) func(context.Context, string, []byte) ([]byte, error) {
		return p.watcher.handlePull
	}
	for _, test := range []struct {
		name string
		// fault returns the handler that the peer uses for one pull.
		fault func(p *pullFixture) func(context.Context, string, []byte) ([]byte, error)
		// wantSame says whether the member has the peer's list after that pull.
		wantSame bool
	}{
		{name: "sound", fault: serve, wantSame: true},
		{
			name: "corrupted difference",
			fault: func(p *pullFixture) func(context.Context, string, []byte) ([]byte, error) {
				return func(ctx context.Context, peer string, body []byte) ([]byte, error) {
					reply, err := p.watcher.handlePull(ctx, peer, body)
					if !bytes.Contains(body, []byte(`"Hash":0`)) {
						reply = bytes.Replace(reply, []byte(`"Slots":9`), []byte(`"Slots":7`), 1)
					}
					return reply, err
				}
			},
			wantSame: true,
		},
		{
			name: "corrupted whole list",
			fault: func(p *pullFixture) func(context.Context, string, []byte) ([]byte, error) {
				return func(ctx context.Context, peer string, body []byte) ([]byte, error) {
					reply, err := p.watcher.handlePull(ctx, peer, body)
					return bytes.Replace(reply, []byte(`"Slots":9`), []byte(`"Slots":7`), 1), err
				}
			},
		},
		{
			name: "lost reply",
			fault: func(p *pullFixture) func(context.Context, string, []byte) ([]byte, error) {
				return func(ctx context.Context, peer string, body []byte) ([]byte, error) {
					_, _ = p.watcher.handlePull(ctx, peer, body)
					return nil, context.DeadlineExceeded
				}
			},
		},
		{
			name: "reply without a list",
			fault: func(*pullFixture) func(context.Context, string, []byte) ([]byte, error) {
				return func(context.Context, string, []byte) ([]byte, error) { return []byte(`{"Age":"0s"}`), nil }
			},
		},
		{
			name: "restarted peer",
			fault: func(p *pullFixture) func(context.Context, string, []byte) ([]byte, error) {
				p.watcher = testInventory(p.platform, nil)
				_ = p.watcher.readPlatform(context.Background())
				return p.watcher.handlePull
			},
			wantSame: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPullFixture(c)
			old, oldTime := p.member.Version()
			p.change(c)
			p.peer.handler = test.fault(p)
			err := p.pull()
			want, _ := p.watcher.Version()
			got, newTime := p.member.Version()
			c.Check(err == nil, qt.Equals, test.wantSame)
			if !test.wantSame {
				c.Check(got, qt.Equals, old)
				c.Check(newTime, qt.Equals, oldTime)
			} else {
				c.Check(got, qt.Equals, want)
			}
			p.peer.handler = p.watcher.handlePull
			c.Assert(p.pull(), qt.IsNil)
			got, _ = p.member.Version()
			c.Check(got, qt.Equals, want)
		})
	}
}

// TestDelayedPull guards against an old list that replaces a newer one because
// the reply with the old list was delayed.
func TestDelayedPull(t *testing.T) {
	c := qt.New(t)
	p := newPullFixture(c)
	p.peer.handler = func(ctx context.Context, peer string, body []byte) ([]byte, error) {
		reply, err := p.watcher.handlePull(ctx, peer, body)
		// The member installs a newer list while the reply is delayed.
		time.Sleep(5 * time.Millisecond)
		newer := rattaninventory.NewList(benchmarkInstances(90))
		p.member.install(time.Now(), time.Now(), newer)
		return reply, err
	}
	p.change(c)
	c.Assert(p.pull(), qt.IsNil)
	c.Check(p.member.Instances(), qt.HasLen, 90)
}

// oneOtherMember is a membership in which this instance is a watcher and there
// is one other member.
type oneOtherMember struct{ noWatchers }

func (oneOtherMember) Others(time.Time) []rattanmember.Member {
	return []rattanmember.Member{{PeerAddress: "other"}}
}

// TestStartDuringOutage guards against a member that has no targets because the
// platform is down when it starts.
func TestStartDuringOutage(t *testing.T) {
	c := qt.New(t)
	p := newPullFixture(c)
	config := p.member.config
	config.Watchers = oneOtherMember{}
	member := NewInventory(config)
	timeout := adaptiveTimeout{min: inventoryTimeout, max: platformTimeout}
	c.Assert(member.refresh(context.Background(), &timeout), qt.IsNil)
	c.Check(member.Instances(), qt.HasLen, 100)
	// The last list stays in use while the platform is down.
	err := member.refresh(context.Background(), &timeout)
	c.Check(errors.Is(err, rattanplatform.ErrUnavailable), qt.IsTrue)
	c.Check(member.Instances(), qt.HasLen, 100)
}

// The control traffic budget of an instance, docs/design.md, section 2: 30
// KB/s in all, of which membership takes 20 KB/s at the busiest member.
const (
	controlBytesPerSecond    = 30_000
	membershipBytesPerSecond = 20_000
)

// TestInventoryTraffic guards against a watcher or a member whose instance list
// traffic exceeds what membership leaves of the control traffic budget, at
// 9,000 instances, and against a client that does not accept compressed
// replies.
func TestInventoryTraffic(t *testing.T) {
	c := qt.New(t)
	lists, client, received := newListServer(c, 9_000)
	watcher := testInventory(client, nil)
	peer := &localPeer{handler: watcher.handlePull}
	member := testInventory(nil, peer)
	measure := func(changed int) (watched, pulled float64) {
		if changed > 0 {
			lists.changeInstances(changed)
		}
		received.Store(0)
		peer.bytes.Store(0)
		c.Assert(watcher.readPlatform(context.Background()), qt.IsNil)
		c.Assert(member.pull(context.Background(), "watcher"), qt.IsNil)
		return float64(received.Load()), float64(peer.bytes.Load())
	}
	measure(0)
	measure(0)
	idleWatched, idlePulled := measure(0)
	watched, pulled := measure(1)
	const perSecond = float64(changesPerDay) / (24 * 60 * 60)
	for role, rate := range map[string]float64{
		"watcher": idleWatched + perSecond*watched + float64(len(lists.bodies[""]))/rattaninventory.FullReadInterval.Seconds(),
		"member":  idlePulled + perSecond*pulled,
	} {
		c.Logf("%s: %.0f B/s", role, rate)
		c.Check(rate < controlBytesPerSecond-membershipBytesPerSecond, qt.IsTrue, qt.Commentf("%s: %.0f B/s", role, rate))
	}
	lists.compress = true
	compressed, _ := measure(largestRack)
	c.Check(compressed < watched/4, qt.IsTrue, qt.Commentf("%.0f B compressed, %.0f B plain", compressed, watched))
}
