package rattanmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// TestMembersAgreeOnOwner guards against a zone whose members do not find each
// other or do not agree on one owner, and against a home that opens no epoch
// with witnesses.
func TestMembersAgreeOnOwner(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var tables []*Table
	seed := Member{Incarnation: rattanjob.Incarnation{Instance: "entry-0"}, AvailabilityZone: "pest"}
	for i := range 5 {
		self := Member{Incarnation: rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(100 + i)}, AvailabilityZone: "pest"}
		tables = append(tables, New(now, Config{Self: self, Seeds: []Member{seed}, Pools: 1, Random: rand.New(rand.NewPCG(1, uint64(i)))}))
	}
	byName := func(name string) *Table {
		var index int
		_, err := fmt.Sscanf(name, "entry-%d", &index)
		qt.Assert(t, err, qt.IsNil)
		return tables[index]
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		for _, table := range tables {
			table.UpdateEpochs(now)
			for _, out := range table.Heartbeats(now) {
				reply := byName(out.To.Incarnation.Instance).HandleHeartbeat(now, out.Heartbeat)
				table.HandleAcknowledgement(now, now, reply)
			}
		}
	}
	epoch, ok := tables[0].CurrentEpoch(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, epoch.Witnesses, qt.HasLen, 4)
	for _, table := range tables {
		owner, found := table.Owner(now, "pest", 0)
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, owner.Incarnation, qt.Equals, epoch.ID.Home)
		qt.Assert(t, owner.Epoch.ID, qt.Equals, epoch.ID)
		qt.Assert(t, table.Members(now), qt.HasLen, 4)
	}
}

// homeWithWitnesses returns a home and two witnesses that have acknowledged its
// epoch.
func homeWithWitnesses(now time.Time, config func(*Config)) (home *Table, witnesses []*Table, epoch Epoch) {
	tables := make([]*Table, 3)
	for i := range tables {
		c := Config{
			Self:   Member{Incarnation: rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(100 + i)}, AvailabilityZone: "pest"},
			Random: rand.New(rand.NewPCG(1, uint64(i))),
			Pools:  1,
		}
		config(&c)
		tables[i] = New(now, c)
	}
	home, witnesses = tables[0], tables[1:]
	for _, witness := range witnesses {
		home.HandleHeartbeat(now, Heartbeat{From: witness.Self(now)})
	}
	home.UpdateEpochs(now)
	exchangeHeartbeats(now, home, witnesses)
	home.UpdateEpochs(now)
	epoch, _ = home.CurrentEpoch(now)
	return home, witnesses, epoch
}

// exchangeHeartbeats delivers the heartbeats of the home to the witnesses and
// their replies to the home.
func exchangeHeartbeats(now time.Time, home *Table, witnesses []*Table) {
	for _, out := range home.Heartbeats(now) {
		for _, witness := range witnesses {
			if witness.self.Incarnation == out.To.Incarnation {
				home.HandleAcknowledgement(now, now, witness.HandleHeartbeat(now, out.Heartbeat))
			}
		}
	}
}

// TestPause guards against a home that still considers its epoch valid after a
// pause, immediately or after it has read the acknowledgements that arrived in
// the meantime. A tenure longer than the pause shows that the check can fail.
func TestPause(t *testing.T) {
	for _, test := range []struct {
		name   string
		tenure time.Duration
		want   bool
	}{
		{"fenced", DefaultTenureDuration, false},
		{"injected fault", time.Hour, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			home, witnesses, epoch := homeWithWitnesses(now, func(c *Config) { c.TenureDuration = test.tenure })
			qt.Assert(t, epoch.Witnesses, qt.HasLen, 2)
			qt.Assert(t, home.EpochValid(now, epoch.ID), qt.IsTrue)
			now = now.Add(DefaultHeartbeatInterval)
			outgoing := home.Heartbeats(now)
			sent := now
			now = now.Add(5 * time.Second)
			for _, out := range outgoing {
				for _, witness := range witnesses {
					reply := witness.HandleHeartbeat(now, out.Heartbeat)
					home.HandleAcknowledgement(now, sent, reply)
					home.HandleAcknowledgement(now, now, reply)
				}
			}
			qt.Assert(t, home.EpochValid(now, epoch.ID), qt.Equals, test.want)
			fenced := false
			for _, event := range home.UpdateEpochs(now) {
				fenced = fenced || event.Kind == EventEpochFenced && event.Epoch.ID == epoch.ID
			}
			qt.Assert(t, fenced, qt.Equals, !test.want)
		})
	}
}

// TestVote guards against a witness that votes too early, acknowledges an epoch
// after its vote, or votes for an epoch that names its former incarnation as
// witness, and against one vote that is counted twice.
func TestVote(t *testing.T) {
	now := time.Unix(1_000, 0)
	home, witnesses, epoch := homeWithWitnesses(now, func(*Config) {})
	allowed := now.Add(DefaultTenureDuration + DefaultVerdictMargin)
	for ; now.Before(allowed); now = now.Add(100 * time.Millisecond) {
		for _, witness := range witnesses {
			witness.Heartbeats(now)
			qt.Assert(t, witness.Vote(now, epoch.ID, epoch.Witnesses).Ended, qt.IsFalse)
		}
	}
	former := []rattanjob.Incarnation{{Instance: "entry-1", Number: 99}}
	qt.Assert(t, witnesses[0].Vote(now, epoch.ID, former).Ended, qt.IsFalse)
	vote := witnesses[0].Vote(now, epoch.ID, epoch.Witnesses)
	qt.Assert(t, vote.Ended, qt.IsTrue)
	qt.Assert(t, witnesses[1].EpochEnded(now, epoch.ID, epoch.Witnesses, []Vote{vote, vote}), qt.IsFalse)
	reply := witnesses[0].HandleHeartbeat(now, Heartbeat{
		From:     home.Self(now),
		To:       witnesses[0].self.Incarnation,
		Renewals: []EpochRenewal{{ID: epoch.ID, Age: time.Second}},
	})
	qt.Assert(t, reply.Granted, qt.HasLen, 0)
	qt.Assert(t, reply.Ended, qt.DeepEquals, []rattanjob.EpochID{epoch.ID})
	second := witnesses[1].Vote(now, epoch.ID, epoch.Witnesses)
	qt.Assert(t, witnesses[1].EpochEnded(now, epoch.ID, epoch.Witnesses, []Vote{vote, second}), qt.IsTrue)
}
