package rattanzone

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// fakeDirectory is a directory that lists one member.
type fakeDirectory struct{ listed rattanwork.Member }

func (fakeDirectory) Announce(context.Context, rattanwork.Member) error { return nil }

func (d fakeDirectory) Members(context.Context, string) ([]rattanwork.Member, error) {
	return []rattanwork.Member{d.listed}, nil
}

func (fakeDirectory) Withdraw(context.Context) error { return nil }

// TestSilenceOfZoneIsNoProofByItself guards against a zone that counts as out of reach
// because the instance that hears nothing of it was paused, has just started, is cut
// off itself, or has not waited for a successor of the zone's home.
func TestSilenceOfZoneIsNoProofByItself(t *testing.T) {
	const longSilence = unreachableTime + time.Second
	tests := map[string]struct {
		silence, pause time.Duration
		// member makes a member without a claim the one that was heard last.
		member, cutOff bool
		want           []string
	}{
		"heard":             {silence: time.Second, want: []string{"a", "b"}},
		"silent":            {silence: longSilence, want: []string{"a"}},
		"member heard":      {silence: longSilence, member: true, want: []string{"a", "b"}},
		"paused":            {silence: longSilence, pause: time.Second},
		"paused until now":  {silence: longSilence, pause: longSilence},
		"cut off":           {silence: longSilence, cutOff: true},
		"cut off and heard": {silence: time.Second, cutOff: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_800_000_000, 0)
			other := rattanwork.Member{Name: "other", Zone: "b", Incarnation: 1}
			agent := New(Config{
				Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, Directory: fakeDirectory{other},
				DesiredState: &DesiredStateWatcher{}, Clock: func() time.Time { return now },
			})
			run := func(duration time.Duration) {
				for end := now.Add(duration); now.Before(end); now = now.Add(heartbeatInterval) {
					agent.noticePause(now)
					if !test.cutOff {
						c.Assert(agent.readDirectory(), qt.IsNil)
					}
				}
			}
			c.Check(agent.Reachability(now), qt.IsNil)
			c.Assert(agent.readDirectory(), qt.IsNil)
			run(2 * maxDirectoryAge)
			agent.recordSender(&View{Sender: other}, now)
			agent.mergeClaim(Claim{Zone: "b", Name: "other", FencingToken: 1}, "other", now)
			run(test.silence - test.pause)
			if test.member {
				agent.recordSender(&View{Sender: rattanwork.Member{Name: "third", Zone: "b"}}, now)
			}
			now = now.Add(test.pause)
			if test.pause != test.silence {
				agent.noticePause(now)
			}
			reachability := agent.Reachability(now)
			c.Assert(reachability != nil, qt.Equals, test.want != nil)
			if reachability != nil {
				c.Check(reachability.Zones, qt.DeepEquals, test.want)
			}
		})
	}
}
