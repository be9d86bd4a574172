package rattanzone

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestInventoryMissing guards against dropping targets whose entries lapsed
// while the store was away, and against keeping those that are gone.
func TestInventoryMissing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	both := []rattanwork.Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}}
	inventory := NewInventory(nil)
	inventory.accept(rattanwork.Inventory{Revision: 5, Targets: both}, now)
	c.Assert(inventory.Revision(), qt.Equals, int64(5))
	inventory.accept(rattanwork.Inventory{Revision: 6, Targets: both[:1]}, now.Add(time.Second))
	c.Check(inventory.Zone("z"), qt.HasLen, 2)
	c.Check(inventory.Revision(), qt.Equals, int64(5))
	// An older reading that arrives later tells nothing.
	inventory.accept(rattanwork.Inventory{Revision: 4}, now.Add(2*time.Second))
	c.Check(inventory.Zone("z"), qt.HasLen, 2)
	inventory.accept(rattanwork.Inventory{Revision: 8, Targets: both[:1]}, now.Add(time.Second+missingGrace+time.Millisecond))
	c.Check(inventory.Zone("z"), qt.HasLen, 1)
	c.Check(inventory.Revision(), qt.Equals, int64(8))
}

// TestNextFence guards against a token that another instance may use, that is
// not above those of the former home, or that JSON numbers cannot hold.
func TestNextFence(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	agent := func(address string, known int64) int64 {
		a := &Agent{config: Config{Self: rattanwork.Member{Zone: "z", Address: address}}, homes: map[string]*belief{}}
		if known != 0 {
			a.homes["z"] = &belief{claim: Claim{Fence: known}}
		}
		return a.nextFence(now)
	}
	first := agent("10.1.0.13:8166", 0)
	other := agent("10.1.0.14:8166", 0)
	c.Check(first, qt.Not(qt.Equals), other)
	c.Check(first < 1<<53, qt.IsTrue)
	const raises = 1000 * 4096
	// The clock of the next home is behind.
	ahead := first + int64(time.Hour/time.Millisecond)*4096
	c.Check(agent("10.1.0.14:8166", ahead) > ahead+raises, qt.IsTrue)
	c.Check(agent("10.1.0.14:8166", ahead)%4096, qt.Equals, other%4096)
}
