package rattanmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// TestNormalPath guards against a zone whose members do not find each other,
// do not agree on one owner, or whose home opens no epoch with witnesses.
func TestNormalPath(t *testing.T) {
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
			table.Roll(now)
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
