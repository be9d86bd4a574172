package rattansystem_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
)

// TestBurstBorrowsSlotsOfOtherZones guards against a job with more tasks than its
// zone has slots that takes as long as without borrowed slots of other zones, and
// against loans that start a task twice.
func TestBurstBorrowsSlotsOfOtherZones(t *testing.T) {
	c := qt.New(t)
	system := startSystem(c, "buda", "pest", "csepel")
	// Homes learn of each other's idle slots after a few load reports.
	c.Assert(eventually(10*time.Second, func() bool { return len(system.Home("buda").Instance.LoadExchange.Lenders(time.Now(), "planner")) >= 2 }), qt.IsTrue)
	history := rattancheck.NewHistory()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses("buda"), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	keys, err := client.Keys(ctx, 1)
	c.Assert(err, qt.IsNil)
	// Each zone has 32 slots, so one zone alone needs three rounds of 400 ms.
	submission := newSubmission(keys[0], 90, 400*time.Millisecond)
	history.Submitted(submission)
	elapsed := completeJob(ctx, c, client, history, submission)
	c.Assert(history.Check(system.StartsPerTask()), qt.HasLen, 0)
	c.Logf("took %v", elapsed)
	c.Assert(elapsed < 1150*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", elapsed))
	c.Assert(eventually(5*time.Second, func() bool {
		return len(system.Home("buda").Instance.Home.IdleLoans(time.Now())) == 0
	}), qt.IsTrue)
}

func eventually(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
