package rattanzone

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// noPeers refuses all calls.
type noPeers struct{}

func (noPeers) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, rattanpeer.ErrRefused
}

func (noPeers) Notify(context.Context, string, string, []byte) error {
	return rattanpeer.ErrRefused
}

func (noPeers) Handle(string, rattanpeer.Handler) {}

// TestLateViewOfEarlierIncarnation guards against a view that arrives after its
// sender has restarted: it must not make the new incarnation look alive or
// terminating.
func TestLateViewOfEarlierIncarnation(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	agent := New(Config{Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, Clock: func() time.Time { return now }})
	sender := rattanwork.Member{Name: "other", Zone: "a", Incarnation: 2}
	agent.recordSender(&View{Sender: sender}, now)
	earlier := sender
	earlier.Incarnation = 1
	agent.recordSender(&View{Sender: earlier, Terminating: true}, now.Add(time.Second))
	lastHeard, incarnation := agent.LastHeard("other")
	c.Check(incarnation, qt.Equals, int64(2))
	c.Check(lastHeard, qt.Equals, now)
	c.Check(agent.members["other"].terminating, qt.IsFalse)
}

// TestHomeAsksItsZoneAfterPause guards against orders of a home that was paused
// while another instance became home, if the targets that follow the other one are
// out of reach: an answer within the time for which a home gives no orders.
func TestHomeAsksItsZoneAfterPause(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	agent := New(Config{Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, DesiredState: &DesiredStateWatcher{}, Clock: func() time.Time { return now }})
	agent.noticePause(now)
	agent.lastZoneHeartbeat = now
	now = now.Add(heartbeatInterval)
	agent.noticePause(now)
	c.Check(agent.lastZoneHeartbeat.IsZero(), qt.IsFalse)
	now = now.Add(silenceTimeout + time.Millisecond)
	agent.noticePause(now)
	c.Check(agent.lastZoneHeartbeat.IsZero(), qt.IsTrue)
}
