package rattanmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// testMember returns a member whose name, incarnation and address contain the
// index.
func testMember(index int, zone string) Member {
	return Member{
		Incarnation:      rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", index), Number: uint64(1_000 + index)},
		AvailabilityZone: zone,
		PeerAddress:      fmt.Sprintf("127.0.0.1:%d", 7_000+index),
		Version:          1,
	}
}

// TestOwner guards against pools that move when another owner leaves or an
// instance joins, a pool without an owner, and members that disagree on the
// owner.
func TestOwner(t *testing.T) {
	now := time.Unix(1_000, 0)
	claimed := func(index, claim int, status Status) Member {
		member := testMember(index, "pest")
		member.Claim, member.Status = claim, status
		return member
	}
	for _, test := range []struct {
		name    string
		members []Member
		// want holds the index of the owner of each pool, or -1.
		want []int
	}{
		{"no members", nil, []int{-1, -1}},
		{"by seniority", []Member{claimed(3, 0, StatusAlive), claimed(1, 0, StatusAlive), claimed(2, 0, StatusAlive)}, []int{1, 2, 3}},
		{"claims stay", []Member{claimed(1, 0, StatusAlive), claimed(2, 1, StatusAlive), claimed(3, 2, StatusAlive)}, []int{2, 3, 1}},
		{"first owner ended", []Member{claimed(1, 1, StatusDead), claimed(2, 2, StatusAlive), claimed(3, 0, StatusAlive)}, []int{3, 2}},
		{"first owner silent", []Member{claimed(1, 1, StatusSuspect), claimed(2, 2, StatusAlive), claimed(3, 0, StatusAlive)}, []int{3, 2}},
		{"first owner leaving", []Member{claimed(1, 1, StatusLeaving), claimed(2, 2, StatusAlive), claimed(3, 0, StatusAlive)}, []int{3, 2}},
		{"two claims of one pool", []Member{claimed(1, 1, StatusAlive), claimed(2, 1, StatusAlive)}, []int{1, 2}},
		{"fewer members than pools", []Member{claimed(1, 1, StatusAlive), claimed(2, 2, StatusAlive)}, []int{1, 2, 1, 2}},
		{"member of another zone", []Member{testMember(1, "buda")}, []int{-1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New(now, Config{Self: testMember(0, "csepel"), Random: rand.New(rand.NewPCG(1, 1))})
			for _, member := range test.members {
				table.merge(now, member)
			}
			for pool, index := range test.want {
				owner, found := table.Owner(now, "pest", pool)
				qt.Check(t, found, qt.Equals, index >= 0, qt.Commentf("pool %d", pool))
				if index >= 0 {
					qt.Check(t, owner.Incarnation, qt.Equals, testMember(index, "pest").Incarnation, qt.Commentf("pool %d", pool))
				}
			}
		})
	}
}

// TestLeave guards against a leaving home that keeps its pool, issues further
// keys, or aborts the jobs of its epoch.
func TestLeave(t *testing.T) {
	now := time.Unix(1_000, 0)
	home, witnesses, epoch := homeWithWitnesses(now, func(*Config) {})
	home.Leave(now)
	eventKinds := []EventKind{}
	for _, event := range home.UpdateEpochs(now) {
		eventKinds = append(eventKinds, event.Kind)
	}
	qt.Assert(t, eventKinds, qt.DeepEquals, []EventKind{EventEpochDraining})
	_, current := home.CurrentEpoch(now)
	qt.Assert(t, current, qt.IsFalse)
	for range 20 {
		now = now.Add(DefaultHeartbeatInterval)
		exchangeHeartbeats(now, home, witnesses)
		home.UpdateEpochs(now)
	}
	qt.Assert(t, home.EpochValid(now, epoch.ID), qt.IsTrue)
	owner, found := witnesses[1].Owner(now, "pest", 0)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, owner.Incarnation, qt.Equals, witnesses[0].self.Incarnation)
	home.CloseEpoch(now, epoch.ID)
	qt.Assert(t, home.EpochValid(now, epoch.ID), qt.IsFalse)
	qt.Assert(t, home.UpdateEpochs(now)[0].Kind, qt.Equals, EventEpochClosed)
}

// TestMalformed guards against messages of a faulty peer that cause a panic,
// unbounded growth of the table, or a change of the known state.
func TestMalformed(t *testing.T) {
	now := time.Unix(1_000, 0)
	table := New(now, Config{Self: testMember(0, "pest"), Pools: 1, Random: rand.New(rand.NewPCG(1, 1))})
	from := testMember(1, "pest")
	longName := testMember(2, "pest")
	longName.Incarnation.Instance = string(make([]byte, maxNameSize+1))
	manyWitnesses := testMember(2, "pest")
	manyWitnesses.Epoch.Witnesses = make([]rattanjob.Incarnation, maxWitnesses+1)
	invalidStatus := testMember(2, "pest")
	invalidStatus.Status = 17
	tooManyRenewals := make([]EpochRenewal, maxRenewals+1)
	for i := range tooManyRenewals {
		tooManyRenewals[i].ID = rattanjob.EpochID{Home: from.Incarnation, Number: uint32(i + 1)}
	}
	to := table.Self(now).Incarnation
	foreignRenewal := []EpochRenewal{{ID: rattanjob.EpochID{Home: longName.Incarnation, Number: 1}}}
	for name, heartbeat := range map[string]Heartbeat{
		"empty heartbeat":          {},
		"long name":                {From: longName, To: to},
		"too many witnesses":       {From: manyWitnesses, To: to},
		"unknown status":           {From: invalidStatus, To: to},
		"too many changes":         {From: testMember(2, "pest"), To: to, Changes: make([]Member, maxMembers+1)},
		"empty change":             {From: from, To: to, Changes: make([]Member, 1)},
		"large payload":            {From: testMember(2, "pest"), To: to, Payload: make([]byte, DefaultMaxPayload+1)},
		"too many renewals":        {From: from, To: to, Renewals: tooManyRenewals},
		"renewal for another home": {From: from, To: to, Renewals: foreignRenewal},
	} {
		t.Run(name, func(t *testing.T) {
			before := table.Counters().Malformed
			reply := table.HandleHeartbeat(now, heartbeat)
			qt.Assert(t, reply.Granted, qt.HasLen, 0)
			counters := table.Counters()
			qt.Assert(t, counters.Malformed > before, qt.IsTrue)
			qt.Assert(t, counters.Members <= 1, qt.IsTrue)
			qt.Assert(t, counters.Grants, qt.Equals, 0)
		})
	}
}

// TestForget guards against a table that keeps every instance that ever ran,
// and against a witness that acknowledges an epoch after it has forgotten its
// vote.
func TestForget(t *testing.T) {
	now := time.Unix(1_000, 0)
	home, witnesses, epoch := homeWithWitnesses(now, func(*Config) {})
	witness := witnesses[0]
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		witness.Heartbeats(now)
	}
	qt.Assert(t, witness.Vote(now, epoch.ID, epoch.Witnesses).Ended, qt.IsTrue)
	witness.HandleUnreachable(now, home.self.Incarnation, true)
	qt.Assert(t, witness.Proof(now, home.self.Incarnation), qt.Equals, ProofRefused)
	now = now.Add(DefaultForgetAfter + forgetInterval)
	witness.Heartbeats(now)
	_, found := witness.Member(now, home.self.Incarnation.Instance)
	qt.Assert(t, found, qt.IsFalse)
	qt.Assert(t, witness.Counters().Grants, qt.Equals, 0)
	// Asking for another vote must not allow the witness to acknowledge the
	// epoch.
	qt.Assert(t, witness.Vote(now, epoch.ID, epoch.Witnesses).Ended, qt.IsFalse)
	reply := witness.HandleHeartbeat(now, Heartbeat{
		From:     home.Self(now),
		To:       witness.self.Incarnation,
		Renewals: []EpochRenewal{{ID: epoch.ID, Age: DefaultForgetAfter}},
	})
	qt.Assert(t, reply.Granted, qt.HasLen, 0)
}

// TestObserveInstances guards against a lagging list that makes a new
// incarnation count as ended, and against jobs that stay unresolved because no
// member knows their instance any more.
func TestObserveInstances(t *testing.T) {
	now := time.Unix(1_000, 0)
	startedAgo := func(index int, ago time.Duration) Member {
		member := testMember(index, "pest")
		member.Incarnation.Number = uint64(now.Add(-ago).UnixMilli())
		return member
	}
	old, recent, unknown := startedAgo(1, time.Hour), startedAgo(2, time.Second), startedAgo(3, time.Hour)
	table := New(now, Config{Self: startedAgo(0, time.Hour), Random: rand.New(rand.NewPCG(1, 1))})
	table.merge(now, old)
	table.merge(now, recent)
	qt.Assert(t, table.Proof(now, unknown.Incarnation), qt.Equals, ProofNone)
	table.ObserveInstances(now, InstanceList{Revision: 2, Instances: []Member{table.Self(now), old, recent, unknown}})
	qt.Assert(t, table.Proof(now, unknown.Incarnation), qt.Equals, ProofNone)
	table.ObserveInstances(now, InstanceList{Revision: 1})
	qt.Assert(t, table.Proof(now, old.Incarnation), qt.Equals, ProofNone)
	table.ObserveInstances(now, InstanceList{Revision: 3, Instances: []Member{table.Self(now)}})
	qt.Assert(t, table.Proof(now, old.Incarnation), qt.Equals, ProofInstanceList)
	qt.Assert(t, table.Proof(now, recent.Incarnation), qt.Equals, ProofNone)
	qt.Assert(t, table.Proof(now, unknown.Incarnation), qt.Equals, ProofInstanceList)
	now = now.Add(DefaultMaxInstanceListLag)
	table.ObserveInstances(now, InstanceList{Revision: 4, Instances: []Member{table.Self(now)}})
	qt.Assert(t, table.Proof(now, recent.Incarnation), qt.Equals, ProofInstanceList)
}
