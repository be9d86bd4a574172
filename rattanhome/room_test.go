package rattanhome

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// TestJobsWithoutRoom guards against accepting a new job for which there is no memory,
// and against refusing one that has started here or may have started elsewhere.
func TestJobsWithoutRoom(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(300 * time.Millisecond)
	h := newTestHome(c, targets)
	awaitListing(h)
	without := WithoutRoom(context.Background())
	result, err := h.Submit(without, testSubmission(1))
	c.Assert(err, qt.IsNil)
	c.Check(result.Outcome, qt.Equals, rattanscheduler.Refused)
	c.Check(result.RetryAfter, qt.Equals, noRoomRetryAfter)
	c.Check(targets.startRequestCount(), qt.Equals, 0)

	first := make(chan rattanscheduler.JobResult, 1)
	go func() {
		result, _ := h.Submit(context.Background(), testSubmission(2))
		first <- result
	}()
	for targets.startRequestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	result, err = h.Submit(without, testSubmission(2))
	c.Assert(err, qt.IsNil)
	c.Check(result.Outcome, qt.Equals, rattanscheduler.Succeeded)
	c.Check((<-first).Outcome, qt.Equals, rattanscheduler.Succeeded)

	resumed := testSubmission(3)
	resumed.Resumed = true
	result, err = h.Submit(without, resumed)
	c.Assert(err, qt.IsNil)
	c.Check(result.Outcome, qt.Equals, rattanscheduler.Succeeded)
}
