package rattanhome

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanred"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// soleMember is a Membership with a local home only.
type soleMember struct{ home *Home }

func (m soleMember) LastHeard(string) (time.Time, int64) { return time.Time{}, 0 }

func (m soleMember) Address(name string) string { return "address of " + name }

func (m soleMember) SentAt(_ string, _ time.Duration, now time.Time) time.Time { return now }

func (m soleMember) LocalHome() *Home { return m.home }

func (m soleMember) Suspended() time.Duration { return 0 }

func (m soleMember) Reachability(time.Time) *Reachability { return nil }

// noopJournal ignores all events.
type noopJournal struct{}

func (noopJournal) JobWithdrawn(string, string, string) {}

func (noopJournal) VersionsDiffer(VersionDifference) {}

func (noopJournal) CancelledForCaller(string, CancellationReply) {}

func (noopJournal) CancelledJobSubmitted(string, string, time.Duration) {}

// fakeMembers is a Membership in which one other instance was last heard at
// lastHeard.
type fakeMembers struct {
	soleMember
	lastHeard   time.Time
	incarnation int64
	suspended   time.Duration
}

func (m *fakeMembers) LastHeard(string) (time.Time, int64) {
	return m.lastHeard.Add(-m.suspended), m.incarnation
}

func (m *fakeMembers) Suspended() time.Duration { return m.suspended }

func (m *fakeMembers) Address(string) string { return "" }

func (m *fakeMembers) SentAt(_ string, uptime time.Duration, now time.Time) time.Time {
	return now.Add(-uptime)
}

// newTestService returns a service whose home has a job of the instance "other",
// and the function that ends the connection on which that instance waits.
func newTestService(c *qt.C) (service *Service, members *fakeMembers, loseCall func()) {
	targets := newFakeTargets(time.Minute)
	members = &fakeMembers{soleMember: soleMember{newTestHome(c, targets)}, lastHeard: time.Now(), incarnation: 1}
	service = NewService(ServiceConfig{Name: "self", Membership: members, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
	submission := testSubmission(1)
	request := Request{
		Submitter: "other", Incarnation: 1, Job: submission.Job, Service: submission.Service, MaxAttempts: 3,
		Objective: 5 * time.Second, LateUntil: 10 * time.Second, Deadline: 10 * time.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_, _ = service.Submit(ctx, &request)
	}()
	for targets.startRequestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	return service, members, func() {
		cancel()
		<-returned
	}
}

// TestJobOfLostCallIsWithdrawn guards against two runs of a task in two zones: a
// job goes on for a caller whose connections were all lost, while its instance is
// alive.
func TestJobOfLostCallIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	service, members, loseCall := newTestService(c)
	now := time.Now()
	c.Check(service.goneSubmitters(now), qt.HasLen, 0)
	loseCall()
	lostAt := time.Now()
	for elapsed := time.Duration(0); elapsed < lostCallGrace; elapsed += submitterCheckInterval {
		members.lastHeard = lostAt.Add(elapsed)
		c.Check(service.goneSubmitters(lostAt.Add(elapsed)), qt.HasLen, 0, qt.Commentf("%s", elapsed))
	}
	members.lastHeard = lostAt.Add(lostCallGrace)
	gone := service.goneSubmitters(lostAt.Add(lostCallGrace + submitterCheckInterval))
	c.Assert(gone, qt.HasLen, 1)
	c.Check(gone[0].reason, qt.Equals, "call lost")
}

// TestPausedHomeWithdrawsJobsOfLostInstances guards against two runs of a task: a
// home that was paused counted the silence of an instance anew, so that its runs
// outlived the time after which callers send again.
func TestPausedHomeWithdrawsJobsOfLostInstances(t *testing.T) {
	c := qt.New(t)
	service, members, _ := newTestService(c)
	lostAt := time.Now()
	members.lastHeard = lostAt
	c.Check(service.goneSubmitters(lostAt.Add(submitterCheckInterval)), qt.HasLen, 0)
	resumedAt := lostAt.Add(750 * time.Millisecond)
	c.Check(service.goneSubmitters(resumedAt), qt.HasLen, 0, qt.Commentf("its messages may not have been read yet"))
	c.Check(service.goneSubmitters(resumedAt.Add(submitterCheckInterval)), qt.HasLen, 0)
	gone := service.goneSubmitters(resumedAt.Add(2 * submitterCheckInterval))
	c.Assert(gone, qt.HasLen, 1)
	c.Check(gone[0].reason, qt.Equals, "instance silent")
}

// TestCancellationOvertakesSubmission guards against a job that runs until its
// deadline, because the message that withdraws it arrives before its submission,
// and against one that is cancelled although its caller has submitted it again.
func TestCancellationOvertakesSubmission(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(time.Millisecond)
	home := newTestHome(c, targets)
	awaitListing(home)
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
	submission := testSubmission(1)
	submit := func(sequence int64) rattanscheduler.Outcome {
		reply, err := service.Submit(context.Background(), &Request{
			Submitter: "other", Incarnation: 1, Sequence: sequence, Job: submission.Job, Service: submission.Service, MaxAttempts: 3,
			Objective: 5 * time.Second, LateUntil: 10 * time.Second, Deadline: 10 * time.Second,
		})
		c.Assert(err, qt.IsNil)
		return reply.Result.Outcome
	}
	service.Cancel(Cancellation{JobID: submission.Job.ID, Submitter: "other", Sequence: 7})
	c.Check(submit(7), qt.Equals, rattanscheduler.Cancelled)
	c.Check(targets.startRequestCount(), qt.Equals, 0)
	c.Check(submit(8), qt.Equals, rattanscheduler.Succeeded)

	service, _, _ = newTestService(c)
	service.mutex.Lock()
	entry := service.submitters[submission.Job.ID]["other"]
	entry.sequence = 8
	service.submitters[submission.Job.ID]["other"] = entry
	service.mutex.Unlock()
	c.Check(service.Cancel(Cancellation{JobID: submission.Job.ID, Submitter: "other", Sequence: 7}), qt.IsFalse)
	c.Check(service.Cancel(Cancellation{JobID: submission.Job.ID, Submitter: "other", Sequence: 8}), qt.IsTrue)
}

// TestLateSubmissionDoesNotHideLaterOne guards against a job that is cancelled, or starts again, because an earlier submission arrives after a later one of the same instance.
func TestLateSubmissionDoesNotHideLaterOne(t *testing.T) {
	c := qt.New(t)
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
	job := testSubmission(1).Job
	now := time.Now()
	add := func(sequence int64) bool {
		return service.addSubmitter(&Request{Submitter: "other", Incarnation: 1, Sequence: sequence, Job: job}, now, now)
	}
	withdraw := func(sequence int64) bool {
		return service.removeSubmitter(Cancellation{JobID: job.ID, Submitter: "other", Sequence: sequence}, now)
	}
	c.Check(add(8), qt.IsTrue)
	c.Check(add(7), qt.IsTrue)
	c.Check(withdraw(7), qt.IsFalse, qt.Commentf("the caller of 8 waits"))
	c.Check(add(7), qt.IsFalse, qt.Commentf("it was withdrawn"))
	c.Check(add(6), qt.IsFalse)
	c.Check(withdraw(8), qt.IsTrue)
}

// TestWaitEndsWithTheSignsOfItsInstance guards against a lease that outlasts the
// wait of a caller: its instance is lost and the home gives no further orders.
func TestWaitEndsWithTheSignsOfItsInstance(t *testing.T) {
	c := qt.New(t)
	service, members, loseCall := newTestService(c)
	jobID := testSubmission(1).Job.ID
	now := time.Now().Add(time.Second)
	members.lastHeard = now.Add(-400 * time.Millisecond)
	c.Check(service.WaitUntil(jobID, now), qt.Equals, members.lastHeard.Add(resubmissionDelay))
	c.Check(service.WaitUntil("unknown", now).IsZero(), qt.IsTrue)
	late := &Request{Submitter: "other", Incarnation: 1, Uptime: 300 * time.Millisecond, Job: testSubmission(1).Job}
	c.Assert(service.addSubmitter(late, now, now), qt.IsTrue)
	c.Check(service.WaitUntil(jobID, now), qt.Equals, now.Add(resubmissionDelay-late.Uptime), qt.Commentf("read late"))
	service.recordLostCall(late, now)
	members.incarnation++
	c.Check(service.WaitUntil(jobID, now).Before(now), qt.IsTrue, qt.Commentf("the instance has restarted"))
	members.incarnation--
	loseCall()
	c.Check(service.WaitUntil(jobID, now).Before(now), qt.IsTrue, qt.Commentf("the call is lost"))
}

// TestUnknownJobIsCancelledAtItsHome guards against runs that go on because the
// home changed just before their caller left.
func TestUnknownJobIsCancelledAtItsHome(t *testing.T) {
	c := qt.New(t)
	targets := newFakeTargets(time.Minute)
	targets.listing("t0").Running = []rattanwork.Run{{Task: "00000000000000aa.0.0.0", Attempt: 1}}
	home := newTestHome(c, targets)
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
	awaitListing(home)
	listedAt := time.Now()
	service.Cancel(Cancellation{JobID: "00000000000000aa", Submitter: "other"})
	for targets.endedCount("t0") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(time.Since(listedAt) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("stopped after %s", time.Since(listedAt)))
}

// TestOnlyHomeConfirmsWithdrawal guards against a job that goes on at the present
// home of its zone, because the former one has confirmed that it is withdrawn.
func TestOnlyHomeConfirmsWithdrawal(t *testing.T) {
	c := qt.New(t)
	deposed := newTestHome(c, newFakeTargets(time.Minute))
	deposed.Close()
	for name, home := range map[string]*Home{"no home": nil, "deposed": deposed} {
		service := NewService(ServiceConfig{Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
		_, err := service.onCancel(context.Background(), "other", []byte(`{"JobID":"00000000000000aa","Holder":"other","Sequence":7}`))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestStarvedHomeWithdrawsJobsOfLostInstances guards against two runs of a task: a
// home that lacks processor time takes each late check of its own for a pause, and
// withdraws no job any more.
func TestStarvedHomeWithdrawsJobsOfLostInstances(t *testing.T) {
	c := qt.New(t)
	service, members, _ := newTestService(c)
	lostAt := time.Now()
	members.lastHeard = lostAt
	const interval = 2*submitterCheckInterval + 10*time.Millisecond
	gone := 0
	for now := lostAt; now.Before(lostAt.Add(5 * time.Second)); now = now.Add(interval) {
		gone += len(service.goneSubmitters(now))
	}
	c.Check(gone > 0, qt.IsTrue, qt.Commentf("silent for 5 s"))
}

// TestMalformedRequests guards against requests of other instances that the
// scheduler cannot cope with.
func TestMalformedRequests(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c, newFakeTargets(time.Millisecond))
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{}, Journal: noopJournal{}, Clock: time.Now})
	tests := map[string]*rattanwork.Job{
		"no job":           nil,
		"no steps":         {ID: "00000000000000aa"},
		"no tasks":         {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: 0}}},
		"negative count":   {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: -1}}},
		"unknown step":     {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: 1, After: []int{3}}}},
		"depends on later": {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: 1, After: []int{1}}, {Count: 1}}},
	}
	for name, job := range tests {
		body, err := json.Marshal(Request{Submitter: "other", Job: job})
		c.Assert(err, qt.IsNil)
		_, err = service.onSubmit(context.Background(), "other", body)
		c.Check(err, qt.ErrorIs, rattanwork.ErrMalformedJob, qt.Commentf("%s", name))
	}
	for _, body := range []string{"", "{", "[]", `{"Job":7}`, "null"} {
		_, err := service.onSubmit(context.Background(), "other", []byte(body))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", body))
	}
	for _, body := range []string{"", "{", "[]", `{"JobID":7}`} {
		_, err := service.onCancel(context.Background(), "other", []byte(body))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", body))
	}
}

// TestSuspendedHomeCountsTheWholeSilence guards against two runs of a task in two
// zones: the machine of a home is suspended, its steady clock stands still, an
// instance is lost meanwhile, and the home starts its jobs again when it wakes up.
func TestSuspendedHomeCountsTheWholeSilence(t *testing.T) {
	c := qt.New(t)
	service, members, _ := newTestService(c)
	now := time.Now()
	jobID := testSubmission(1).Job.ID
	c.Check(service.goneSubmitters(now), qt.HasLen, 0)
	c.Check(service.WaitUntil(jobID, now).After(now), qt.IsTrue)
	members.suspended = 3 * time.Second
	c.Check(service.WaitUntil(jobID, now).After(now), qt.IsFalse)
	c.Check(service.goneSubmitters(now), qt.HasLen, 0, qt.Commentf("what it has sent meanwhile may wait to be read"))
	c.Check(service.goneSubmitters(now.Add(backlogTime)), qt.HasLen, 1)
}

// TestLateCopyOfWithdrawnSubmissionStartsNothing guards against a run that no caller waits for: a submission arrives long after its instance has withdrawn it.
func TestLateCopyOfWithdrawnSubmissionStartsNothing(t *testing.T) {
	rattanred.SkipKnownFailure(t)
	c := qt.New(t)
	targets := newFakeTargets(time.Millisecond)
	home := newTestHome(c, targets)
	awaitListing(home)
	const lateness = 3 * time.Second
	now := time.Now()
	members := &fakeMembers{soleMember: soleMember{home}, lastHeard: now.Add(lateness), incarnation: 1}
	service := NewService(ServiceConfig{
		Name: "self", Membership: members, DesiredState: &fakeDesiredState{}, Journal: noopJournal{},
		Clock: func() time.Time { return now },
	})
	submission := testSubmission(1)
	service.Cancel(Cancellation{JobID: submission.Job.ID, Submitter: "other", Sequence: 7})
	now = now.Add(lateness)
	service.goneSubmitters(now)
	reply, err := service.Submit(context.Background(), &Request{
		Submitter: "other", Incarnation: 1, Sequence: 7, Uptime: lateness, Job: submission.Job, Service: submission.Service, MaxAttempts: 3,
		Objective: 5 * time.Second, LateUntil: 10 * time.Second, Deadline: 10 * time.Second,
	})
	c.Assert(err, qt.IsNil)
	c.Check(reply.Result.Outcome, qt.Equals, rattanscheduler.Cancelled)
	c.Check(targets.startRequestCount(), qt.Equals, 0)
}

// TestSubmissionOfEarlierIncarnationIsRejected guards against a job that is cancelled because a submission of its instance's former incarnation arrives late.
func TestSubmissionOfEarlierIncarnationIsRejected(t *testing.T) {
	c := qt.New(t)
	service, _, _ := newTestService(c)
	now := time.Now()
	job := testSubmission(1).Job
	c.Check(service.addSubmitter(&Request{Submitter: "other", Incarnation: 2, Sequence: 2, Job: job}, now, now), qt.IsTrue)
	c.Check(service.addSubmitter(&Request{Submitter: "other", Incarnation: 1, Sequence: 1, Job: job}, now, now), qt.IsFalse)
	c.Check(service.submitters[job.ID]["other"].incarnation, qt.Equals, int64(2))
}
