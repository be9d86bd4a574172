package rattansystem_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
)

// TestHeartbeatToWrongInstance guards against heartbeats that instances of another
// system send to an address which an instance of this system now uses. The members
// of the other system may have the same names and later incarnations. If they were
// accepted, they would prove that a running home has ended, and callers could get
// the home's answer after HomeLost.
func TestHeartbeatToWrongInstance(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	system := startSystem(c, "buda")
	history := rattancheck.NewHistory()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	keys, err := client.Keys(ctx, 1)
	c.Assert(err, qt.IsNil)
	submission := newSubmission(keys[0], 2, 10*time.Millisecond)
	history.Submitted(submission)
	answer, err := client.SubmitAndWait(ctx, submission)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	node := rattanpeer.New(rattanpeer.Config{Name: "buda-entry-9", Listener: listener})
	c.Assert(node.Start(ctx), qt.IsNil)
	c.Cleanup(func() { _ = node.Stop(context.Background()) })
	home := keys[0].Epoch.Home
	laterHome := home
	laterHome.Number++
	for _, member := range system.Home("buda").Instance.Membership.Others(time.Now()) {
		if member.Incarnation.Instance == home.Instance {
			continue
		}
		body, err := json.Marshal(rattanmember.Heartbeat{
			From:    rattanmember.Member{Incarnation: rattanjob.Incarnation{Instance: "buda-entry-9", Number: laterHome.Number}, AvailabilityZone: "buda", PeerAddress: listener.Addr().String(), Status: rattanmember.StatusAlive, Version: 1},
			To:      rattanjob.Incarnation{Instance: "buda-entry-8", Number: 1},
			Changes: []rattanmember.Member{{Incarnation: laterHome, AvailabilityZone: "buda", PeerAddress: listener.Addr().String(), Status: rattanmember.StatusAlive, Version: 1}},
		})
		c.Assert(err, qt.IsNil)
		_, _ = node.Call(ctx, member.PeerAddress, "Heartbeat", body)
	}
	for _, entry := range system.Entries() {
		sentAt := time.Now()
		answer, err := rattanclient.New(rattanclient.Config{Addresses: []string{entry.Instance.CallerAddress()}, Caller: "app"}).Status(ctx, keys[0], 0)
		c.Assert(err, qt.IsNil)
		c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%s: %+v", entry.Name, answer))
		history.Answered(keys[0], sentAt, time.Now(), answer)
	}
	c.Check(history.Check(system.StartsPerTask()), qt.HasLen, 0)
}
