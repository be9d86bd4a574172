package rattanzone

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestInventoryKeepsMissingTargets guards against dropping targets whose
// entries expired while the store was unavailable, and against keeping targets
// that are gone for good.
func TestInventoryKeepsMissingTargets(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	both := []rattanwork.Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}}
	inventory := NewInventory(nil)
	inventory.update(rattanwork.Inventory{Revision: 5, Targets: both}, now)
	c.Assert(inventory.Revision(), qt.Equals, int64(5))
	inventory.update(rattanwork.Inventory{Revision: 6, Targets: both[:1]}, now.Add(time.Second))
	c.Check(inventory.ZoneTargets("z"), qt.HasLen, 2)
	c.Check(inventory.Revision(), qt.Equals, int64(5))
	// An older read that arrives late is ignored.
	inventory.update(rattanwork.Inventory{Revision: 4}, now.Add(2*time.Second))
	c.Check(inventory.ZoneTargets("z"), qt.HasLen, 2)
	inventory.update(rattanwork.Inventory{Revision: 8, Targets: both[:1]}, now.Add(time.Second+missingGrace+time.Millisecond))
	c.Check(inventory.ZoneTargets("z"), qt.HasLen, 1)
	c.Check(inventory.Revision(), qt.Equals, int64(8))
}

// TestNextFencingToken guards against a token that another instance may use,
// that is not higher than the tokens of the previous home, or that JSON numbers
// cannot represent exactly.
func TestNextFencingToken(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	nextToken := func(address string, known int64) int64 {
		a := &Agent{config: Config{Self: rattanwork.Member{Zone: "z", Address: address}}, homes: map[string]*homeRecord{}}
		if known != 0 {
			a.homes["z"] = &homeRecord{claim: Claim{FencingToken: known}}
		}
		return a.nextFencingToken(now)
	}
	first := nextToken("10.1.0.13:8166", 0)
	other := nextToken("10.1.0.14:8166", 0)
	c.Check(first, qt.Not(qt.Equals), other)
	c.Check(first < 1<<53, qt.IsTrue)
	const raises = 1000 * 4096
	// The clock of the next home is one hour behind.
	ahead := first + int64(time.Hour/time.Millisecond)*4096
	c.Check(nextToken("10.1.0.14:8166", ahead) > ahead+raises, qt.IsTrue)
	c.Check(nextToken("10.1.0.14:8166", ahead)%4096, qt.Equals, other%4096)
}
