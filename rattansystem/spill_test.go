package rattansystem_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanjob"
)

// Guards the use of other zones' idle slots: a job of more tasks than its zone
// has slots must not run in as many rounds as the zone alone would need, and
// the loans must not start a task twice.
func TestBurstBorrowsSlotsOfOtherZones(t *testing.T) {
	c := qt.New(t)
	system := startSystem(c, "buda", "pest", "csepel")
	// Homes know each other's idle slots after a few exchanges of loads.
	c.Assert(eventually(10*time.Second, func() bool { return len(system.Home("buda").Instance.LoadExchange.Lenders(time.Now(), "planner")) >= 2 }), qt.IsTrue)
	history := rattancheck.NewHistory()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses("buda"), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	keys, err := client.Keys(ctx, 1)
	c.Assert(err, qt.IsNil)
	// 32 slots in each zone: the zone alone needs three rounds of 400 ms.
	sent := submission(keys[0], 90, 400*time.Millisecond)
	history.Submitted(sent)
	asked := time.Now()
	answer, err := client.SubmitAndWait(ctx, sent)
	took := time.Since(asked)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	history.Answered(sent.Key, asked, time.Now(), answer)
	c.Assert(history.Check(system.Starts()), qt.HasLen, 0)
	c.Logf("took %v", took)
	c.Assert(took < 1150*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
	c.Assert(eventually(5*time.Second, func() bool {
		return len(system.Home("buda").Instance.Home.IdleLoans(time.Now())) == 0
	}), qt.IsTrue)
}

func eventually(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
