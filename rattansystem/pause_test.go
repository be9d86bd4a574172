package rattansystem_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

// Guards the limit of what a pause can do to an answer. No check can rule out a
// pause between the check itself and the write of the answer, so a request that
// was sent before the home was declared ended may still get the home's true
// answer after others were told HomeLost. A request that is sent afterwards
// must get HomeLost everywhere.
func TestAnswerDecidedBeforePause(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 3,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 2, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document:       historyDocument(),
		AdjustSettings: adjustTimings,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	run := &historyRun{system: system, history: rattancheck.NewHistory(), totals: &historyTotals{}, transport: newTransport()}
	c.Cleanup(run.transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	var keys []rattanjob.Key
	waitFor(c, resolveTimeout, "epoch with witnesses", func() bool {
		keys = run.keys(ctx, 0, 1)
		return len(keys) > 0 && len(keys[0].Witnesses) == 2
	})
	key := keys[0]
	home, others := 0, []int(nil)
	for number, entry := range system.Entries() {
		if entry.Name == key.Epoch.Home.Instance {
			home = number
		} else {
			others = append(others, number)
		}
	}
	plan := jobPlan{Kind: "list", Tasks: 1, RunTime: 200 * time.Millisecond}
	sent := plan.submission(key, "")
	run.history.Submitted(sent)
	early := make(chan rattanjob.Answer, 1)
	go func() {
		answer, err := run.client(home).Submit(ctx, sent, 10*time.Second)
		c.Check(err, qt.IsNil)
		early <- answer
	}()
	waitFor(c, resolveTimeout, "start", func() bool { return system.Log.Starts() == 1 })
	time.Sleep(plan.RunTime / 2)
	// The answer is decided while the home's epoch is valid, and held.
	name := key.Epoch.Home.Instance
	system.Network.Pause(name)
	resumed := false
	resume := func() {
		if !resumed {
			resumed = true
			system.Network.Resume(name)
		}
	}
	c.Cleanup(resume)
	for _, number := range others {
		waitFor(c, resolveTimeout, "verdict", func() bool {
			answer, err := run.client(number).Status(ctx, key, 50*time.Millisecond)
			return err == nil && answer.Reason == rattanjob.ReasonHomeLost
		})
	}
	later := make(chan rattanjob.Answer, 1)
	go func() {
		answer, err := run.client(home).Status(ctx, key, 0)
		c.Check(err, qt.IsNil)
		later <- answer
	}()
	time.Sleep(blockedTime)
	resume()
	answer := <-early
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	c.Check(answer.Results, qt.HasLen, 1)
	answer = <-later
	c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v", answer))
}

// blockedTime is the time after which a request to a paused instance waits
// there.
const blockedTime = 100 * time.Millisecond
