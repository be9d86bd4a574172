package rattanmember

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNamesake guards against a claim before it is settled whether another
// process of the same name runs, and against a restart at the same address that
// is taken for one.
func TestNamesake(t *testing.T) {
	now := time.Unix(1_000, 0)
	earlier := testMember(0, "pest")
	earlier.Incarnation.Number--
	moved := earlier
	moved.PeerAddress = "127.0.0.1:1"
	for _, test := range []struct {
		name string
		said Member
		want bool
	}{
		{"same address", earlier, false},
		{"other address", moved, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, listed := range []bool{false, true} {
				table := New(now, Config{Self: testMember(0, "pest"), Pools: 1, Random: rand.New(rand.NewPCG(1, 1))})
				if listed {
					table.ObserveInstances(now, InstanceList{Revision: 1, Instances: []Member{test.said}})
				} else {
					table.HandleHeartbeat(now, Heartbeat{From: testMember(1, "pest"), Changes: []Member{test.said}})
				}
				table.UpdateEpochs(now)
				qt.Check(t, table.Self(now).Claim == 0, qt.Equals, test.want)
				found, ok := table.NameConflict()
				qt.Check(t, ok, qt.Equals, test.want)
				table.ResolveNameConflict(found.PeerAddress)
				table.UpdateEpochs(now)
				qt.Check(t, table.Self(now).Claim, qt.Equals, 1)
			}
		})
	}
}
