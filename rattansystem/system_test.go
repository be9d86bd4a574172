package rattansystem_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

func testDocument() rattanconfig.Document {
	return rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{"planner": {Description: "planner"}},
		JobKinds: map[string]rattanconfig.JobKind{
			"list": {Service: "planner", MaxTasks: 250, RunTime: rattanjson.Duration(20 * time.Millisecond), Deadline: rattanjson.Duration(10 * time.Second), Idempotent: true},
		},
		Callers: map[string]rattanconfig.Caller{"app": {Weight: 1}, "counter": {Weight: 1}},
	}
}

// startSystem starts a system with three instances and a fleet of four targets in
// each zone. When the test ends, it checks that no instance reported a violation.
func startSystem(c *qt.C, zones ...string) *rattansystem.System {
	c.Cleanup(func() { c.Check(reportedViolations(), qt.HasLen, 0) })
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          zones,
		EntriesPerZone: 3,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 4, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document:       testDocument(),
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	return system
}

func newSubmission(key rattanjob.Key, tasks int, runTime time.Duration) rattanjob.Submission {
	submission := rattanjob.Submission{Key: key, Kind: "list"}
	for i := range tasks {
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d"}`, runTime, key.ID(), i)
		submission.Tasks = append(submission.Tasks, rattanjob.Task{Payload: json.RawMessage(payload)})
	}
	return submission
}

// completeJob submits a job, checks that it completes and returns how long that
// took.
func completeJob(ctx context.Context, c *qt.C, client *rattanclient.Client, history *rattancheck.History, submission rattanjob.Submission) time.Duration {
	sentAt := time.Now()
	answer, err := client.SubmitAndWait(ctx, submission)
	elapsed := time.Since(sentAt)
	c.Check(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	history.Answered(submission.Key, sentAt, time.Now(), answer)
	return elapsed
}

// TestJobsThroughAllInstances guards against jobs that are not answered completely
// through some instance, and against resubmissions that do not join the job.
func TestJobsThroughAllInstances(t *testing.T) {
	c := qt.New(t)
	system := startSystem(c, "buda")
	history := rattancheck.NewHistory()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	keys, err := client.Keys(ctx, 30)
	c.Assert(err, qt.IsNil)
	var jobs sync.WaitGroup
	for _, key := range keys {
		submission := newSubmission(key, 10, 10*time.Millisecond)
		history.Submitted(submission)
		for range 2 {
			jobs.Go(func() {
				completeJob(ctx, c, client, history, submission)
			})
		}
	}
	jobs.Wait()
	c.Assert(history.Check(system.StartsPerTask()), qt.HasLen, 0)
	c.Assert(system.StartLog.Starts(), qt.Equals, uint64(300))
}
