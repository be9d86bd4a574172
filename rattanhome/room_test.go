package rattanhome

import (
	"context"
	"encoding/json"
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

// TestTasksAreBounded guards against jobs whose tasks take many times the memory of their
// bodies, against large jobs that leave no room to small ones, and against a refusal of a
// job that may have started.
func TestTasksAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit = 100
	h := newTestHome(c, newFakeTargets(time.Second))
	awaitListing(h)
	h.mutex.Lock()
	h.config.MaxTasks = limit
	h.history.previousSince = h.history.previousSince.Add(-historyRetention)
	h.mutex.Unlock()
	submit := func(id, tasks int, resumed bool) chan rattanscheduler.JobResult {
		submission := testSubmission(id)
		submission.Job.Steps[0].Count = tasks
		submission.Resumed = resumed
		results := make(chan rattanscheduler.JobResult, 1)
		go func() {
			result, _ := h.Submit(context.Background(), submission)
			results <- result
		}()
		return results
	}
	running := submit(1, smallJobTasks, false)
	awaitTasks(h, smallJobTasks)
	refused := <-submit(2, limit, false)
	c.Check(refused.Outcome, qt.Equals, rattanscheduler.Refused)
	c.Check(refused.RetryAfter, qt.Equals, noRoomRetryAfter)
	c.Check((<-submit(3, limit, true)).Outcome, qt.Equals, rattanscheduler.Expired)
	large := submit(4, limit-limit/reservedTaskShare-smallJobTasks, false)
	awaitTasks(h, limit-limit/reservedTaskShare)
	c.Check((<-submit(5, smallJobTasks+1, false)).Outcome, qt.Equals, rattanscheduler.Refused)
	small := submit(6, 1, false)
	awaitTasks(h, limit-limit/reservedTaskShare+1)
	h.Close()
	<-running
	<-large
	<-small
}

// awaitTasks returns once the jobs of the home have so many tasks.
func awaitTasks(h *Home, count int) {
	for {
		h.mutex.Lock()
		tasks := h.scheduler.Tasks()
		h.mutex.Unlock()
		if tasks == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRejectSubmission guards against a job that is refused without being decoded although
// it may have started, and against one that is never refused.
func TestRejectSubmission(t *testing.T) {
	c := qt.New(t)
	h := newTestHome(c, newFakeTargets(time.Millisecond))
	awaitListing(h)
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{h}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
	outcome := func(id int, resumed bool) rattanscheduler.Outcome {
		body, err := json.Marshal(Request{Job: testSubmission(id).Job, Resumed: resumed})
		c.Assert(err, qt.IsNil)
		data, err := service.RejectSubmission(context.Background(), "other", body)
		c.Assert(err, qt.IsNil)
		var reply Reply
		c.Assert(json.Unmarshal(data, &reply), qt.IsNil)
		return reply.Result.Outcome
	}
	c.Check(outcome(1, false), qt.Equals, rattanscheduler.Expired, qt.Commentf("elected a moment ago"))
	h.mutex.Lock()
	h.history.previousSince = h.history.previousSince.Add(-historyRetention)
	h.mutex.Unlock()
	c.Check(outcome(1, false), qt.Equals, rattanscheduler.Refused)
	c.Check(outcome(1, true), qt.Equals, rattanscheduler.Expired)
	_, err := h.Submit(context.Background(), testSubmission(1))
	c.Assert(err, qt.IsNil)
	c.Check(outcome(1, false), qt.Equals, rattanscheduler.Expired)
}
