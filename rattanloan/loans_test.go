package rattanloan_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanloan"
	"github.com/rattanlever/rattanlever/rattanpool"
)

var start = time.Unix(1_000_000, 0)

func freeTarget(name string, slots, idle int) rattanloan.FreeTarget {
	return rattanloan.FreeTarget{Target: rattanpool.Target{Name: name, Service: "planner", Slots: slots}, Address: name + ":1", Idle: idle}
}

// TestLend guards against a lender that delays its own callers: it must lend
// nothing while its own tasks wait, and must never lend the reserved share.
func TestLend(t *testing.T) {
	for _, test := range []struct {
		name    string
		waiting int
		slots   int
		free    []rattanloan.FreeTarget
		want    int
	}{
		{"own tasks wait", 1, 5, []rattanloan.FreeTarget{freeTarget("a", 10, 10)}, 0},
		{"no slots requested", 0, 0, []rattanloan.FreeTarget{freeTarget("a", 10, 10)}, 0},
		{"as requested", 0, 5, []rattanloan.FreeTarget{freeTarget("a", 10, 10)}, 5},
		{"reserved share kept", 0, 50, []rattanloan.FreeTarget{freeTarget("a", 10, 10), freeTarget("b", 10, 4)}, 12},
		{"all busy", 0, 5, []rattanloan.FreeTarget{freeTarget("a", 10, 1)}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table := rattanloan.New(rattanloan.Config{})
			grants := table.Lend(start, rattanloan.Request{Borrower: "x", Service: "planner", Slots: test.slots}, test.waiting, test.free)
			got := 0
			for _, grant := range grants {
				got += grant.Slots
			}
			c.Assert(got, qt.Equals, test.want)
		})
	}
}

// TestBorrowedWithinLent guards against a slot used by lender and borrower at
// the same time: even if messages are lost or delayed, or slots are returned
// early, the usable borrowed slots of a target never exceed those that the
// lender counts as lent.
func TestBorrowedWithinLent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		lender := rattanloan.New(rattanloan.Config{})
		borrowers := map[string]*rattanloan.LoanTable{"x": rattanloan.New(rattanloan.Config{}), "y": rattanloan.New(rattanloan.Config{})}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "borrower")
			lender.Expire(now)
			borrowers[name].Expire(now)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				request := rattanloan.Request{Borrower: name, Service: "planner", Slots: rapid.IntRange(0, 20).Draw(t, "slots")}
				grants := lender.Lend(now, request, 0, []rattanloan.FreeTarget{freeTarget("a", 10, 10), freeTarget("b", 10, 10)})
				if rapid.Bool().Draw(t, "delivered") {
					borrowers[name].AddBorrowed(now, "lender", "planner", grants)
				}
			case 1:
				for _, targets := range borrowers[name].ReturnBorrowed("planner") {
					if rapid.Bool().Draw(t, "repaid") {
						lender.DropLent(name, targets)
					}
				}
			}
			for _, target := range []string{"a", "b"} {
				used := 0
				for _, table := range borrowers {
					targets, _ := table.BorrowedTargets(now)
					for _, each := range targets {
						if each.Name == target && !each.Leaving {
							used += each.Slots
						}
					}
				}
				if lent := lender.LentSlots(now, target); used > lent || lent > 10 {
					t.Fatalf("target %s: %d slots used by borrowers, %d lent of 10", target, used, lent)
				}
			}
		}
	})
}

// TestSlotsToBorrow guards against repeated requests during a load peak, when
// no lender has idle slots: they must be sent again only after RetryInterval.
// It also checks that slots are requested only after tasks have waited for
// BorrowDelay.
func TestSlotsToBorrow(t *testing.T) {
	c := qt.New(t)
	table := rattanloan.New(rattanloan.Config{BorrowDelay: 10 * time.Millisecond, RetryInterval: time.Second})
	waiting := map[string]int{"planner": 7}
	c.Assert(table.SlotsToBorrow(start, waiting), qt.HasLen, 0)
	c.Assert(table.SlotsToBorrow(start.Add(10*time.Millisecond), waiting), qt.DeepEquals, map[string]int{"planner": 7})
	table.AddBorrowed(start.Add(10*time.Millisecond), "lender", "planner", nil)
	c.Assert(table.SlotsToBorrow(start.Add(900*time.Millisecond), waiting), qt.HasLen, 0)
	c.Assert(table.SlotsToBorrow(start.Add(1010*time.Millisecond), waiting), qt.DeepEquals, waiting)
	c.Assert(table.SlotsToBorrow(start.Add(1020*time.Millisecond), nil), qt.HasLen, 0)
	c.Assert(table.SlotsToBorrow(start.Add(1030*time.Millisecond), waiting), qt.HasLen, 0)
}
