package rattanhome

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// fixedKnowledge is what an instance knows.
type fixedKnowledge struct{}

func (fixedKnowledge) InventoryAge(time.Time) (time.Duration, bool) { return time.Second, true }

func (fixedKnowledge) EvacuationsRevision() int64 { return 9 }

// TestServicePreview guards against a preview that submits the job, that is given by an
// instance that is not the home, or that announces a second run of a job that has ended.
func TestServicePreview(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(time.Millisecond)
	home := newTestHome(c, targets)
	service := NewService(ServiceConfig{
		Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Knowledge: fixedKnowledge{}, Clock: time.Now,
	})
	submission := testSubmission(1)
	body, err := json.Marshal(Request{
		Job: submission.Job, Service: submission.Service, MaxAttempts: 3,
		Objective: 5 * time.Second, LateUntil: 10 * time.Second, Deadline: 10 * time.Second,
	})
	c.Assert(err, qt.IsNil)
	preview := func() (reply PreviewReply) {
		c.Helper()
		data, err := service.onPreview(context.Background(), "other", body)
		c.Assert(err, qt.IsNil)
		c.Assert(json.Unmarshal(data, &reply), qt.IsNil)
		return reply
	}
	// Another job makes sure that the target has listed its runs.
	_, err = home.Submit(context.Background(), testSubmission(2))
	c.Assert(err, qt.IsNil)
	reply := preview()
	c.Check(reply.Preview.Outcome, qt.Equals, rattanscheduler.PreviewStarts, qt.Commentf("%+v", reply))
	c.Check(reply.Evacuation, qt.Equals, "none")
	c.Check(reply.EvacuationsRevision, qt.Equals, int64(9))
	c.Check(reply.InventoryAge.Std(), qt.Equals, time.Second)
	home.mutex.Lock()
	c.Check(home.scheduler.HasJob(submission.Job.ID), qt.IsFalse)
	c.Check(home.waiters, qt.HasLen, 0)
	home.mutex.Unlock()

	_, err = home.Submit(context.Background(), submission)
	c.Assert(err, qt.IsNil)
	reply = preview()
	c.Check(reply.Preview.Outcome, qt.Equals, rattanscheduler.PreviewJoins)
	c.Check(reply.Preview.Reason, qt.Equals, "the job has ended: complete")
	c.Check(reply.Preview.Starts, qt.HasLen, 0)

	home.Close()
	c.Check(preview(), qt.DeepEquals, PreviewReply{NotHome: true})
	_, err = service.onPreview(context.Background(), "other", []byte(`{}`))
	c.Check(err, qt.ErrorMatches, "request without a job")
	_, err = service.onPreview(context.Background(), "other", []byte(`{"Job":{"ID":"x"}}`))
	c.Check(err, qt.IsNotNil)
}
