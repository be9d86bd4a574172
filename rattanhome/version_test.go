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
	// fetchable is the newest version that can be fetched.
	fetchable int64

	mutex     sync.Mutex
	version   int64
	announced []string
}

func (d *fakeDesiredState) Version() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}

func (d *fakeDesiredState) Announce(member rattanwork.Member, _ int64, _ time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.announced = append(d.announced, member.Address)
}

func (d *fakeDesiredState) Await(ctx context.Context, version int64) {
	if version > d.fetchable {
		<-ctx.Done()
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version = max(d.version, version)
}

// TestSubmissionByNewerVersionGoesOn guards against a home that refuses a submission
// whose version it can fetch, or accepts one whose version it cannot fetch.
func TestSubmissionByNewerVersionGoesOn(t *testing.T) {
	for name, test := range map[string]struct {
		fetchable int64
		conflict  *VersionConflict
		announced []string
	}{
		"fetched":     {2, nil, []string{"address of other"}},
		"not fetched": {1, &VersionConflict{Version: 1, NeverAccepted: true}, []string{"address of other"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			home := newTestHome(c, newFakeTargets(time.Millisecond))
			state := &fakeDesiredState{version: 1, fetchable: test.fetchable}
			service := NewService(ServiceConfig{Name: "self", Membership: soleMember{home}, DesiredState: state, Journal: noopJournal{}, Clock: time.Now})
			request := &Request{
				Submitter: "other", Sequence: 5, FirstUnsettled: 5, HomeToken: home.FencingToken(), Version: 2, Job: &rattanwork.Job{ID: "00000000000000aa"},
			}
			now := time.Now()
			c.Check(service.resolveVersion(context.Background(), home, request, now), qt.DeepEquals, test.conflict)
			c.Check(service.addSubmitter(request, now, now), qt.Equals, test.conflict == nil)
			c.Check(state.announced, qt.DeepEquals, test.announced)
		})
	}
}

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

// TestHomeTellsOnlyWhatItKnows guards against telling an instance that its submission, or all earlier ones, started nothing although the home does not know that.
func TestHomeTellsOnlyWhatItKnows(t *testing.T) {
	const older, own, first, last = 1, 2, 5, 7
	submission := testSubmission(1)
	jobID := submission.Job.ID
	now := time.Now()
	closeSoon := func(home *Home, _ *Service) { time.AfterFunc(50*time.Millisecond, home.Close) }
	tests := map[string]struct {
		prepare func(home *Home, service *Service)
		version int64
		// otherHome is set if the submissions were addressed to another home.
		otherHome bool
		want      Reply
	}{
		"no home":            {func(_ *Home, s *Service) { s.config.Membership = soleMember{} }, own, false, Reply{NotHome: true, NotAccepted: true}},
		"closed":             {func(h *Home, _ *Service) { h.Close() }, own, false, Reply{NotHome: true, NotAccepted: true}},
		"closed, conflict":   {func(h *Home, _ *Service) { h.Close() }, older, false, Reply{NotHome: true, NotAccepted: true}},
		"closed meanwhile":   {closeSoon, own, false, Reply{NotHome: true}},
		"withdrawn":          {func(_ *Home, s *Service) { s.acceptances.reject("other", jobID, last, now) }, own, false, Reply{NotAccepted: true}},
		"nothing accepted":   {nil, older, false, Reply{Conflict: &VersionConflict{Version: own, NeverAccepted: true}}},
		"to another home":    {nil, older, true, Reply{Conflict: &VersionConflict{Version: own}}},
		"first one accepted": {func(_ *Home, s *Service) { s.acceptances.accept("other", jobID, first, now) }, older, false, Reply{Conflict: &VersionConflict{Version: own}}},
		"accepted by service": {func(_ *Home, s *Service) {
			s.addSubmitter(&Request{Submitter: "other", Sequence: first, Job: submission.Job}, now, now)
		}, older, false, Reply{Conflict: &VersionConflict{Version: own}}},
		"ended": {func(h *Home, _ *Service) {
			h.mutex.Lock()
			defer h.mutex.Unlock()
			h.handleResult(rattanscheduler.JobResult{JobID: jobID, Outcome: rattanscheduler.Succeeded}, now)
		}, older, false, Reply{}},
		"in progress": {func(h *Home, s *Service) {
			go func() { _, _ = h.Submit(context.Background(), submission) }()
			for !scheduled(h, jobID) {
				time.Sleep(time.Millisecond)
			}
			closeSoon(h, s)
		}, older, false, Reply{NotHome: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			home := newTestHome(c, newFakeTargets(time.Minute))
			service := NewService(ServiceConfig{
				Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{version: own}, Journal: noopJournal{}, Clock: time.Now,
			})
			request := &Request{
				Submitter: "other", Incarnation: 1, Sequence: last, FirstUnsettled: first, HomeToken: home.FencingToken(), Version: test.version,
				Job: submission.Job, Service: submission.Service, MaxAttempts: 3, Objective: time.Second, LateUntil: time.Second, Deadline: time.Second,
			}
			if test.otherHome {
				request.HomeToken++
			}
			if test.prepare != nil {
				test.prepare(home, service)
			}
			reply, err := service.Submit(context.Background(), request)
			c.Assert(err, qt.IsNil)
			reply.Result = rattanscheduler.JobResult{}
			c.Check(reply, qt.DeepEquals, test.want)
		})
	}
}

func scheduled(home *Home, jobID string) bool {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	return home.scheduler.HasJob(jobID)
}

// TestFormerVersionLearnsNoProof guards against refusing a job that has run: an instance of the former version forgets its submissions when a home remembers nothing of the job.
func TestFormerVersionLearnsNoProof(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c, newFakeTargets(time.Minute))
	awaitListing(home)
	service := NewService(ServiceConfig{
		Name: "self", Membership: soleMember{home}, DesiredState: &fakeDesiredState{version: 2}, Journal: noopJournal{}, Clock: time.Now,
	})
	for _, resumed := range []bool{false, true} {
		reply, err := service.Submit(context.Background(), &Request{Submitter: "other", Sequence: 7, Version: 1, Job: testSubmission(1).Job, Resumed: resumed})
		c.Assert(err, qt.IsNil)
		c.Check(reply.Conflict, qt.DeepEquals, &VersionConflict{Version: 2, MayHaveStarted: resumed})
	}
}
