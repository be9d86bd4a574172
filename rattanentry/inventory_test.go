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

// scriptedPlatform answers every query from a list, or not at all without one.
type scriptedPlatform struct {
	instances []rattanplatform.Instance
}

func (p *scriptedPlatform) Instances(_ context.Context, query rattanplatform.InstanceQuery) (rattanplatform.InstanceReply, error) {
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

// pulling is a member that pulls from a watcher.
type pulling struct {
	platform *scriptedPlatform
	watcher  *Inventory
	peer     *servingPeer
	member   *Inventory
}

func newPulling(c *qt.C) *pulling {
	p := &pulling{platform: &scriptedPlatform{instances: benchmarkInstances(100)}}
	p.watcher = testInventory(p.platform, nil)
	p.peer = &servingPeer{serve: p.watcher.serve}
	p.member = testInventory(&scriptedPlatform{}, p.peer)
	c.Assert(p.watcher.ask(context.Background()), qt.IsNil)
	c.Assert(p.pull(), qt.IsNil)
	return p
}

func (p *pulling) pull() error {
	return p.member.pull(context.Background(), "watcher")
}

func (p *pulling) change(c *qt.C) {
	p.platform.instances = append([]rattanplatform.Instance(nil), p.platform.instances...)
	p.platform.instances[0].Slots++
	c.Assert(p.watcher.ask(context.Background()), qt.IsNil)
}

// TestFaultyPulls guards against a list that nobody has, and against a member
// that stays behind, when the reply to a pull is corrupted, lost, delayed or
// without a list, and when the peer does not remember the member's list.
func TestFaultyPulls(t *testing.T) {
	serve := func(p *pulling) func(context.Context, string, []byte) ([]byte, error) { return p.watcher.serve }
	for _, test := range []struct {
		name string
		// fault is switched on for one pull.
		fault func(p *pulling) func(context.Context, string, []byte) ([]byte, error)
		// same is whether the member has the peer's list after that pull.
		same bool
	}{
		{name: "sound", fault: serve, same: true},
		{
			name: "corrupted difference",
			fault: func(p *pulling) func(context.Context, string, []byte) ([]byte, error) {
				return func(ctx context.Context, peer string, body []byte) ([]byte, error) {
					reply, err := p.watcher.serve(ctx, peer, body)
					if !bytes.Contains(body, []byte(`"Hash":0`)) {
						reply = bytes.Replace(reply, []byte(`"Slots":9`), []byte(`"Slots":7`), 1)
					}
					return reply, err
				}
			},
			same: true,
		},
		{
			name: "corrupted whole list",
			fault: func(p *pulling) func(context.Context, string, []byte) ([]byte, error) {
				return func(ctx context.Context, peer string, body []byte) ([]byte, error) {
					reply, err := p.watcher.serve(ctx, peer, body)
					return bytes.Replace(reply, []byte(`"Slots":9`), []byte(`"Slots":7`), 1), err
				}
			},
		},
		{
			name: "lost reply",
			fault: func(p *pulling) func(context.Context, string, []byte) ([]byte, error) {
				return func(ctx context.Context, peer string, body []byte) ([]byte, error) {
					_, _ = p.watcher.serve(ctx, peer, body)
					return nil, context.DeadlineExceeded
				}
			},
		},
		{
			name: "reply without a list",
			fault: func(*pulling) func(context.Context, string, []byte) ([]byte, error) {
				return func(context.Context, string, []byte) ([]byte, error) { return []byte(`{"Age":"0s"}`), nil }
			},
		},
		{
			name: "peer that started anew",
			fault: func(p *pulling) func(context.Context, string, []byte) ([]byte, error) {
				p.watcher = testInventory(p.platform, nil)
				_ = p.watcher.ask(context.Background())
				return p.watcher.serve
			},
			same: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPulling(c)
			old, reached := p.member.Version()
			p.change(c)
			p.peer.serve = test.fault(p)
			err := p.pull()
			want, _ := p.watcher.Version()
			got, now := p.member.Version()
			c.Check(err == nil, qt.Equals, test.same)
			if !test.same {
				c.Check(got, qt.Equals, old)
				c.Check(now, qt.Equals, reached)
			} else {
				c.Check(got, qt.Equals, want)
			}
			p.peer.serve = p.watcher.serve
			c.Assert(p.pull(), qt.IsNil)
			got, _ = p.member.Version()
			c.Check(got, qt.Equals, want)
		})
	}
}

// TestDelayedPull guards against an old list that replaces a newer one because
// the reply that carries it was on its way for long.
func TestDelayedPull(t *testing.T) {
	c := qt.New(t)
	p := newPulling(c)
	p.peer.serve = func(ctx context.Context, peer string, body []byte) ([]byte, error) {
		reply, err := p.watcher.serve(ctx, peer, body)
		// Another list reaches the member while the reply is on its way.
		time.Sleep(5 * time.Millisecond)
		newer := rattaninventory.NewList(benchmarkInstances(90))
		p.member.install(time.Now(), time.Now(), newer)
		return reply, err
	}
	p.change(c)
	c.Assert(p.pull(), qt.IsNil)
	c.Check(p.member.Instances(), qt.HasLen, 90)
}

// oneOther is the directory of a watcher with one other member.
type oneOther struct{ noWatchers }

func (oneOther) Others(time.Time) []rattanmember.Member {
	return []rattanmember.Member{{PeerAddress: "other"}}
}

// TestStartDuringOutage guards against a member without targets because the
// platform is down when it starts.
func TestStartDuringOutage(t *testing.T) {
	c := qt.New(t)
	p := newPulling(c)
	config := p.member.config
	config.Watchers = oneOther{}
	member := NewInventory(config)
	bound := patience{least: inventoryTimeout, most: platformTimeout}
	c.Assert(member.read(context.Background(), &bound), qt.IsNil)
	c.Check(member.Instances(), qt.HasLen, 100)
	// The last list stays in use while the platform is down.
	err := member.read(context.Background(), &bound)
	c.Check(errors.Is(err, rattanplatform.ErrUnavailable), qt.IsTrue)
	c.Check(member.Instances(), qt.HasLen, 100)
}

// Shares of the control budget of a node, docs/design.md, section 2: 30 KB/s in
// all, of which membership takes 20 at its busiest member.
const (
	controlBytesPerSecond    = 30_000
	membershipBytesPerSecond = 20_000
)

// TestInventoryTraffic guards against a watcher or a member that spends more
// than what membership leaves of the control budget, at 9,000 instances, and
// against a client that does not accept compressed answers.
func TestInventoryTraffic(t *testing.T) {
	c := qt.New(t)
	lists, client, sent := newListServer(c, 9_000)
	watcher := testInventory(client, nil)
	peer := &servingPeer{serve: watcher.serve}
	member := testInventory(nil, peer)
	measure := func(changed int) (watched, pulled float64) {
		if changed > 0 {
			lists.change(changed)
		}
		sent.Store(0)
		peer.bytes.Store(0)
		c.Assert(watcher.ask(context.Background()), qt.IsNil)
		c.Assert(member.pull(context.Background(), "watcher"), qt.IsNil)
		return float64(sent.Load()), float64(peer.bytes.Load())
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
