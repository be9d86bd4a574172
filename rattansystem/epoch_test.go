package rattansystem_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

// TestDrainedEpochIsClosed guards against a draining epoch that is closed while the
// ledger still holds one of its records, and against an epoch that is kept long
// after its last record was removed.
func TestDrainedEpochIsClosed(t *testing.T) {
	c := qt.New(t)
	const retention = 2 * time.Second
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 1,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 1, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document:       testDocument(),
		AdjustSettings: func(settings *rattansettings.Settings) {
			settings.Home.KeyLifetime = rattanjson.Duration(time.Second)
			settings.Home.AnswerRetention = rattanjson.Duration(time.Second)
			settings.Home.Retention = rattanjson.Duration(retention)
		},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	home := system.Home("buda")
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	keys, err := client.Keys(ctx, 1)
	c.Assert(err, qt.IsNil)
	// With two more members the home starts a new epoch that has witnesses.
	for _, name := range []string{"buda-entry-2", "buda-entry-3"} {
		_, err := system.StartEntry("buda", name)
		c.Assert(err, qt.IsNil)
	}
	epochCount := func() int { return home.Instance.Membership.Counters().Epochs }
	for epochCount() != 2 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	rolledOverAt := time.Now()
	answer, err := client.SubmitAndWait(ctx, newSubmission(keys[0], 1, 1200*time.Millisecond))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.State, qt.Equals, rattanjob.StateComplete)
	answeredAt := time.Now()
	for epochCount() != 1 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	c.Logf("the old epoch was closed %v after the start of the new one and %v after the answer", time.Since(rolledOverAt), time.Since(answeredAt))
	c.Check(time.Since(answeredAt) >= retention-100*time.Millisecond, qt.IsTrue)
	// Expired records are removed once per second.
	c.Check(time.Since(answeredAt) <= retention+2*time.Second, qt.IsTrue)
}
