package rattanhome

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// newCancellingService returns a service with a home whose runs take runTime.
func newCancellingService(c *qt.C, runTime time.Duration) (*Service, *fakeTargets) {
	targets := newFakeTargets(runTime)
	home := newTestHome(c, targets)
	awaitListing(home)
	return NewService(ServiceConfig{
		Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{}, Cancellations: home.config.Cancellations,
		Journal: noopJournal{}, Clock: time.Now,
	}), targets
}

func requestOf(submission rattanscheduler.Submission, submitter string) *Request {
	return &Request{
		Submitter: submitter, Incarnation: 1, Job: submission.Job, Service: submission.Service, MaxAttempts: 3,
		Objective: 5 * time.Second, LateUntil: 10 * time.Second, Deadline: 10 * time.Second,
	}
}

// TestCancelledJobIsNotStartedAgain guards against a job that is run because a copy
// of it arrives after its cancellation or before it, or because the home was not
// told that the instance that waits for it has cancelled it.
func TestCancelledJobIsNotStartedAgain(t *testing.T) {
	c := qt.New(t)
	service, targets := newCancellingService(c, time.Minute)
	submission := testSubmission(1)
	id := submission.Job.ID
	replies := make(chan Reply, 1)
	go func() {
		reply, _ := service.Submit(context.Background(), requestOf(submission, "one"))
		replies <- reply
	}()
	for targets.startRequestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(service.CancelForCaller(CallerCancellation{JobID: id}), qt.Equals, CancellationReply{Confirmed: true, Remembered: true, Known: true, Ended: true})
	c.Check((<-replies).CancelledByCaller, qt.IsTrue)
	c.Check(service.CancelForCaller(CallerCancellation{JobID: id}), qt.Equals, CancellationReply{Confirmed: true, Remembered: true, Known: true})
	for _, submitter := range []string{"one", "two"} {
		reply, err := service.Submit(context.Background(), requestOf(submission, submitter))
		c.Check(err, qt.IsNil)
		c.Check(reply.CancelledByCaller, qt.IsTrue)
	}
	early := testSubmission(2)
	c.Check(service.CancelForCaller(CallerCancellation{JobID: early.Job.ID}), qt.Equals, CancellationReply{Confirmed: true, Remembered: true})
	reply, err := service.Submit(context.Background(), requestOf(early, "one"))
	c.Check(err, qt.IsNil)
	c.Check(reply.CancelledByCaller, qt.IsTrue)
	c.Check(targets.startRequestCount(), qt.Equals, 1)
}

// TestUnknownJobStaysUnknown guards against a job that counts as known because a
// home that has just taken over is asked twice to cancel it.
func TestUnknownJobStaysUnknown(t *testing.T) {
	c := qt.New(t)
	home := New(Config{FencingToken: FencingTokenStep, MaxLease: time.Second, Targets: newFakeTargets(time.Minute), Observer: noopObserver{}, Clock: time.Now})
	c.Cleanup(home.Close)
	for range 2 {
		reply, ok := home.cancelForCaller(CallerCancellation{JobID: testSubmission(1).Job.ID})
		c.Check(ok, qt.IsTrue)
		c.Check(reply.Known, qt.IsFalse)
	}
}

// TestWithdrawnJobMayBeSubmittedAgain guards against a job that counts as cancelled
// by its caller because the instance that waited for it was lost.
func TestWithdrawnJobMayBeSubmittedAgain(t *testing.T) {
	c := qt.New(t)
	service, targets := newCancellingService(c, 20*time.Millisecond)
	submission := testSubmission(1)
	service.Cancel(Cancellation{JobID: submission.Job.ID, Submitter: "one", Sequence: 1})
	reply, err := service.Submit(context.Background(), requestOf(submission, "two"))
	c.Check(err, qt.IsNil)
	c.Check(reply.Result.Outcome, qt.Equals, rattanscheduler.Succeeded)
	c.Check(targets.startRequestCount(), qt.Equals, 1)
}

// TestFinishedJobIsKnownAsFinished guards against a cancellation that waits for other
// zones although the home knows that the job has ended.
func TestFinishedJobIsKnownAsFinished(t *testing.T) {
	c := qt.New(t)
	service, _ := newCancellingService(c, 20*time.Millisecond)
	service.config.Membership = hearingMember{soleMember{service.config.Membership.LocalHome()}}
	submission := testSubmission(1)
	reply, err := service.Submit(context.Background(), requestOf(submission, "one"))
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Result.Outcome, qt.Equals, rattanscheduler.Succeeded)
	cancelled := service.CancelForCaller(CallerCancellation{JobID: submission.Job.ID})
	c.Check(cancelled.Confirmed && cancelled.Finished && !cancelled.Ended, qt.IsTrue)
	c.Check(cancelled.Reachability, qt.DeepEquals, &Reachability{Zones: []string{"a"}})
	c.Check(service.CancelForCaller(CallerCancellation{JobID: testSubmission(2).Job.ID}).Finished, qt.IsFalse)
	service.config.Membership.LocalHome().Close()
	c.Check(service.CancelForCaller(CallerCancellation{JobID: submission.Job.ID}).Reachability, qt.IsNil)
}

// hearingMember is a soleMember that has heard from its own zone only.
type hearingMember struct{ soleMember }

func (hearingMember) Reachability(time.Time) *Reachability {
	return &Reachability{Zones: []string{"a"}}
}

// TestCancellationBesideSubmission guards against a job that runs although its
// cancellation, which came at the same moment as its submission, was confirmed.
func TestCancellationBesideSubmission(t *testing.T) {
	c := qt.New(t)
	service, targets := newCancellingService(c, time.Minute)
	for i := range 300 {
		submission := testSubmission(i + 1)
		var both sync.WaitGroup
		both.Go(func() {
			reply, err := service.Submit(context.Background(), requestOf(submission, "one"))
			c.Check(err, qt.IsNil)
			c.Check(reply.CancelledByCaller, qt.IsTrue)
		})
		both.Go(func() {
			reply := service.CancelForCaller(CallerCancellation{JobID: submission.Job.ID})
			c.Check(reply.Confirmed && reply.Remembered, qt.IsTrue)
		})
		both.Wait()
	}
	c.Check(service.config.Membership.LocalHome().Load().Jobs, qt.Equals, 0)
	deadline := time.Now().Add(5 * time.Second)
	for targets.runCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	c.Check(targets.runCount(), qt.Equals, 0)
}

// runCount returns the number of active runs.
func (f *fakeTargets) runCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, listing := range f.listings {
		count += len(listing.Running)
	}
	return count
}

// TestCancellationIsConfirmedByHomeOnly guards against a cancellation that counts
// as carried out while another instance may run the job: the receiver is not the
// home, or was paused and has not heard from its targets since.
func TestCancellationIsConfirmedByHomeOnly(t *testing.T) {
	c := qt.New(t)
	record := rattancancel.NewRecord(time.Now())
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{}, Cancellations: record, Journal: noopJournal{}, Clock: time.Now})
	cancellation := CallerCancellation{JobID: testSubmission(1).Job.ID, Known: true}
	c.Check(service.CancelForCaller(cancellation), qt.Equals, CancellationReply{Remembered: true})
	c.Check(record.Len(), qt.Equals, 1)

	service, _ = newCancellingService(c, time.Minute)
	home := service.config.Membership.LocalHome()
	home.mutex.Lock()
	home.authority.lastEvent = time.Now().Add(-time.Minute)
	home.mutex.Unlock()
	c.Check(service.CancelForCaller(cancellation).Confirmed, qt.IsFalse)
	deadline := time.Now().Add(5 * time.Second)
	for !service.CancelForCaller(cancellation).Confirmed && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(service.CancelForCaller(cancellation).Confirmed, qt.IsTrue)
	home.Close()
	c.Check(service.CancelForCaller(cancellation).Confirmed, qt.IsFalse)
}

// countingSaver counts what it saves, and fails if it is told to.
type countingSaver struct {
	saved []rattancancel.Cancellation
	err   error
}

func (s *countingSaver) Save(_ context.Context, cancellation rattancancel.Cancellation, _ time.Time) error {
	s.saved = append(s.saved, cancellation)
	return s.err
}

// TestHomeSavesCancellationOnce guards against a write for each repeated cancellation,
// against one that counts as saved after a failure, and against one by an instance that
// is not the home.
func TestHomeSavesCancellationOnce(t *testing.T) {
	c := qt.New(t)
	service, _ := newCancellingService(c, time.Minute)
	saver := &countingSaver{err: rattancancel.ErrNotSaved}
	service.config.Saver = saver
	cancellation := CallerCancellation{JobID: testSubmission(1).Job.ID, Known: true}
	service.CancelForCaller(cancellation)
	cancellation.Known = false
	c.Check(service.SaveCancellation(context.Background(), cancellation), qt.ErrorIs, rattancancel.ErrNotSaved)
	saver.err = nil
	for range 3 {
		c.Check(service.SaveCancellation(context.Background(), cancellation), qt.IsNil)
	}
	want := rattancancel.Cancellation{JobID: cancellation.JobID, Known: true}
	c.Check(saver.saved, qt.DeepEquals, []rattancancel.Cancellation{want, want})
	service.config.Membership.LocalHome().Close()
	c.Check(service.SaveCancellation(context.Background(), cancellation), qt.ErrorIs, errNotHome)
}
