package rattanentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanloan"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// TestBorrowedTargetMovesToOwnPool guards against counting own slots as
// borrowed ones, because the home would lose them when the loan ends. A target
// that is borrowed from another pool of the zone may move to this pool.
func TestBorrowedTargetMovesToOwnPool(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c)
	now := time.Now()
	borrowed := rattanpool.Target{Name: "u", Service: "planner", Slots: 4}
	home.Borrow(now, "buda-2", "planner", []rattanloan.Grant{{Target: borrowed, Address: "127.0.0.1:2", Slots: 1, Lease: rattanjson.Duration(2 * time.Second)}})
	c.Assert(home.Load(now).Pool.Slots, qt.Equals, 9)
	targets := []rattanpool.Target{{Name: "t", Service: "planner", Slots: 8}, borrowed}
	home.SetTargets(now, targets, map[string]string{"t": "127.0.0.1:1", "u": "127.0.0.1:2"})
	c.Assert(home.Load(now).Pool.Slots, qt.Equals, 12)
	close(home.runner.released)
}
