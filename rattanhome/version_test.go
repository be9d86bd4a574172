package rattanhome

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// fakeDesiredState is a DesiredState without documents.
type fakeDesiredState struct {
	mutex   sync.Mutex
	version int64
}

func (d *fakeDesiredState) Version() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}

func (d *fakeDesiredState) Document() []byte { return nil }

func (d *fakeDesiredState) Accept([]byte, string) error { return nil }

// TestRedirectDoesNotDependOnVersion guards against two runs of a task in two zones: a conflict of versions made its instance submit a redirected job as resumed, which ends the redirect.
func TestRedirectDoesNotDependOnVersion(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c, newFakeTargets(time.Minute))
	service := NewService(ServiceConfig{
		Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{version: 2}, Journal: noopJournal{}, Clock: time.Now,
	})
	submission := testSubmission(1)
	task := rattanwork.TaskName{Job: submission.Job.ID}.String()
	home.AddRemoteStarts("b", []rattanscheduler.OutstandingStart{{Task: task, Target: "other", Attempt: 1, Remaining: time.Minute}})
	for _, resumed := range []bool{false, true} {
		reply, err := service.Submit(context.Background(), &Request{
			Submitter: "other", Incarnation: 1, Sequence: 1, Version: 1, Job: submission.Job, Service: submission.Service, MaxAttempts: 3,
			Objective: time.Second, LateUntil: time.Second, Deadline: time.Second, Resumed: resumed,
		})
		c.Assert(err, qt.IsNil)
		c.Check(reply.Conflict, qt.IsNil)
		c.Check(reply.Result.Outcome, qt.Equals, rattanscheduler.Redirected)
		c.Check(reply.Result.Zone, qt.Equals, "b")
	}
}
