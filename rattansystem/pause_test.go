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

// TestAnswerDecidedBeforePause guards against a paused home that returns its own
// answers after other instances have answered HomeLost. A pause can occur between
// the check of the home's authority and the write of the answer, so a request that
// was sent before the home was declared ended may still get its true answer. A
// request that is sent afterwards must get HomeLost from all instances.
func TestAnswerDecidedBeforePause(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 3,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 2, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document:       historyDocument(),
		AdjustSettings: shortenTimings,
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
	submission := plan.newSubmission(key, "")
	run.history.Submitted(submission)
	earlyAnswer := make(chan rattanjob.Answer, 1)
	go func() {
		answer, err := run.entryClient(home).Submit(ctx, submission, 10*time.Second)
		c.Check(err, qt.IsNil)
		earlyAnswer <- answer
	}()
	waitFor(c, resolveTimeout, "start", func() bool { return system.StartLog.Starts() == 1 })
	time.Sleep(plan.RunTime / 2)
	// The home determines the answer while its epoch is valid, but the pause
	// delays the write.
	homeName := key.Epoch.Home.Instance
	system.Network.PauseInstance(homeName)
	resumed := false
	resume := func() {
		if !resumed {
			resumed = true
			system.Network.ResumeInstance(homeName)
		}
	}
	c.Cleanup(resume)
	for _, number := range others {
		waitFor(c, resolveTimeout, "HomeLost answer", func() bool {
			answer, err := run.entryClient(number).Status(ctx, key, 50*time.Millisecond)
			return err == nil && answer.Reason == rattanjob.ReasonHomeLost
		})
	}
	laterAnswer := make(chan rattanjob.Answer, 1)
	go func() {
		answer, err := run.entryClient(home).Status(ctx, key, 0)
		c.Check(err, qt.IsNil)
		laterAnswer <- answer
	}()
	time.Sleep(requestBlockDelay)
	resume()
	answer := <-earlyAnswer
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	c.Check(answer.Results, qt.HasLen, 1)
	answer = <-laterAnswer
	c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v", answer))
}

// requestBlockDelay is the time within which a request reaches a paused instance and
// blocks there.
const requestBlockDelay = 100 * time.Millisecond
