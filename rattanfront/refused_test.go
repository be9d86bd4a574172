package rattanfront

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanred"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// memoryExpiry is longer than a home remembers a job that has ended.
	memoryExpiry = 5500 * time.Millisecond
	// callerTimeout is how long the caller waits, conflictTime how long the home and
	// the front disagree before the front stops.
	callerTimeout = 7 * time.Second
	conflictTime  = 200 * time.Millisecond
	// listingTime is longer than a new home takes to list the runs of its targets.
	listingTime = 300 * time.Millisecond
	jobMilliCPU = 1000
)

// instantTarget is a TargetClient of one target, where each task ends as soon as it
// has started, except for those of the blocking job.
type instantTarget struct {
	mutex   sync.Mutex
	starts  int
	ended   []rattanwork.End
	last    int64
	running []rattanwork.Run
	changed chan struct{}
}

// blockingJob is the ID of a job whose task does not end.
const blockingJob = "00000000000000bb"

func (t *instantTarget) Start(_ context.Context, _ *rattanwork.Target, request rattanwork.StartRequest) rattanwork.StartAnswer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if strings.HasPrefix(request.Task, blockingJob) {
		t.running = append(t.running, rattanwork.Run{Task: request.Task, Attempt: request.Attempt})
		return rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: 1}
	}
	t.starts++
	t.last++
	t.ended = append(t.ended, rattanwork.End{Sequence: t.last, Task: request.Task, Attempt: request.Attempt, Kind: rattanwork.EndDone})
	close(t.changed)
	t.changed = make(chan struct{})
	return rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: 1}
}

func (t *instantTarget) Stop(context.Context, *rattanwork.Target, string, int, int64) error {
	return nil
}

func (t *instantTarget) Lease(ctx context.Context, _ *rattanwork.Target, request rattanwork.LeaseRequest) (*rattanwork.Listing, error) {
	wait := time.NewTimer(request.Wait)
	defer wait.Stop()
	for {
		listing, changed := t.list(request.Acknowledged)
		if request.Wait == 0 || len(listing.Ended) > 0 {
			return listing, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait.C:
			return listing, nil
		case <-changed:
		}
	}
}

// list forgets the acknowledged ends and returns the listing.
func (t *instantTarget) list(acknowledged int64) (*rattanwork.Listing, chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for len(t.ended) > 0 && t.ended[0].Sequence <= acknowledged {
		t.ended = t.ended[1:]
	}
	return &rattanwork.Listing{
		Incarnation: 1, ClockMillis: 1,
		Running: append([]rattanwork.Run(nil), t.running...), Ended: append([]rattanwork.End(nil), t.ended...),
	}, t.changed
}

func (t *instantTarget) startCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.starts
}

// homeInstance is an instance with a home and its service.
type homeInstance struct {
	*rattanhome.Service
	target *instantTarget

	mutex   sync.Mutex
	home    *rattanhome.Home
	version int64
}

func newHomeInstance(c *qt.C, milliCPU int) *homeInstance {
	i := &homeInstance{target: &instantTarget{changed: make(chan struct{})}, version: 1}
	i.Service = rattanhome.NewService(rattanhome.ServiceConfig{Name: "home", Membership: i, DesiredState: i, Journal: i, Clock: time.Now})
	i.claim(c, 1, milliCPU)
	return i
}

// claim replaces the home by a new one.
func (i *homeInstance) claim(c *qt.C, claims int64, milliCPU int) {
	home := rattanhome.New(rattanhome.Config{
		FencingToken: claims * rattanhome.MaxTokenIncrements * rattanhome.FencingTokenStep, MaxLease: time.Second, RemotePenalty: 1.5,
		Targets: i.target, Observer: noopObserver{}, Clock: time.Now,
	})
	c.Cleanup(home.Close)
	home.UpdateTargets([]rattanwork.Target{{ID: "t0", Service: "s", Capacity: rattanwork.Resources{MilliCPU: milliCPU, MemoryMB: 100}}}, true)
	i.mutex.Lock()
	former := i.home
	i.home = home
	i.mutex.Unlock()
	if former != nil {
		former.Close()
	}
	time.Sleep(listingTime)
}

// setVersion puts version 2 into force.
func (i *homeInstance) setVersion() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.version = 2
}

// submitElsewhere submits a job through another instance.
func (i *homeInstance) submitElsewhere(id string) {
	job := &rattanwork.Job{ID: id, Steps: []rattanwork.Step{{Count: 1, Resources: rattanwork.Resources{MilliCPU: jobMilliCPU}, Estimate: 50 * time.Millisecond}}}
	request := &rattanhome.Request{
		Submitter: "other", Incarnation: 1, Sequence: 1, Job: job, Service: "s", MaxAttempts: 3,
		Objective: time.Second, LateUntil: 3 * time.Second, Deadline: callerTimeout, Redirectable: true,
	}
	go func() { _, _ = i.Submit(context.Background(), request) }()
	time.Sleep(2 * resubmitDelay)
}

func (i *homeInstance) LocalHome() *rattanhome.Home {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.home
}

func (i *homeInstance) Version() int64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.version
}

func (*homeInstance) Announce(rattanwork.Member, int64, time.Time)              {}
func (*homeInstance) Await(context.Context, int64)                              {}
func (*homeInstance) Address(string) string                                     { return "" }
func (*homeInstance) LastHeard(string) (time.Time, int64)                       { return time.Now(), 1 }
func (*homeInstance) Reachability(time.Time) *rattanhome.Reachability           { return nil }
func (*homeInstance) Suspended() time.Duration                                  { return 0 }
func (*homeInstance) SentAt(_ string, _ time.Duration, now time.Time) time.Time { return now }
func (*homeInstance) JobWithdrawn(string, string, string)                       {}
func (*homeInstance) VersionsDiffer(rattanhome.VersionDifference)               {}
func (*homeInstance) CancelledForCaller(string, rattanhome.CancellationReply)   {}
func (*homeInstance) CancelledJobSubmitted(string, string, time.Duration)       {}

// noopObserver ignores all events of a home.
type noopObserver struct{}

func (noopObserver) JobEnded(rattanscheduler.JobResult)        {}
func (noopObserver) TargetChanged(rattanscheduler.TargetEvent) {}
func (noopObserver) RunLost(rattanscheduler.RunLoss)           {}
func (noopObserver) StartChanged(rattanscheduler.StartEvent)   {}
func (noopObserver) TargetUnresponsive(string, error)          {}
func (noopObserver) TargetRecovered(string, time.Duration)     {}
func (noopObserver) OverloadChanged(bool, time.Duration, int)  {}
func (noopObserver) Deposed(string)                            {}

// lostAnswerZones is a front that loses the answer to its first submission.
type lostAnswerZones struct {
	*versionedZones
	instances map[string]*homeInstance
	// routeKept is set if version 2 has the route too, homeLost if the zone has no
	// home any more after a conflict.
	routeKept, homeLost bool
	// answered is closed at the first answer, released when the front learns that
	// the answer is lost.
	answered, released chan struct{}
	once               sync.Once
	// conflicts receives an entry at the first conflict.
	conflicts chan struct{}
	// joined receives an entry when the second submission is sent.
	joined chan struct{}
	record AnswerRecord
}

func newLostAnswerZones(c *qt.C) *lostAnswerZones {
	return &lostAnswerZones{
		versionedZones: &versionedZones{fakeZones: &fakeZones{changed: make(chan struct{})}},
		instances:      map[string]*homeInstance{"a": newHomeInstance(c, jobMilliCPU)},
		answered:       make(chan struct{}), released: make(chan struct{}),
		conflicts: make(chan struct{}, 1), joined: make(chan struct{}, 1),
	}
}

func (*lostAnswerZones) clock() time.Time { return time.Now() }

func (z *lostAnswerZones) State() *rattanwork.DesiredState {
	state := z.fakeZones.State()
	state.Routes[0].Latency = 300 * time.Millisecond
	state.Routes[0].Timeout = callerTimeout
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.version == 2 {
		state.Version = 2
		if !z.routeKept {
			state.Routes = nil
		}
	}
	return state
}

func (z *lostAnswerZones) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	lost := z.homeLost && len(z.conflicts) > 0
	return rattanzone.Claim{Zone: zone, Name: "home", Address: zone, FencingToken: 1}, !lost, z.changed
}

func (z *lostAnswerZones) Answered(record AnswerRecord) { z.record = record }

func (z *lostAnswerZones) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	return answerSubmission(method, body, func(request *rattanhome.Request) (rattanhome.Reply, error) {
		return z.submit(ctx, z.instances[address], request)
	})
}

// submit submits a job at an instance and loses the first answer.
func (z *lostAnswerZones) submit(ctx context.Context, instance *homeInstance, request *rattanhome.Request) (rattanhome.Reply, error) {
	select {
	case <-z.released:
		notify(z.joined)
	default:
	}
	reply, err := instance.Submit(ctx, request)
	if err != nil {
		return reply, err
	}
	if reply.Conflict != nil {
		notify(z.conflicts)
	}
	lost := false
	z.once.Do(func() { lost = true })
	if lost {
		close(z.answered)
		<-z.released
		return reply, rattanpeer.ErrLinkClosed
	}
	return reply, nil
}

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// fill occupies the target of the instance.
func (i *homeInstance) fill() {
	i.submitElsewhere(blockingJob)
}

// TestJobThatRanIsNotRefused guards against telling a caller that its job has not run, although it has and the answer was lost.
func TestJobThatRanIsNotRefused(t *testing.T) {
	const jobID = "00000000000000aa"
	// forget lets the memory of the home expire before version 2 is in force, which the
	// front can fetch or not.
	const fetchable, unfetchable = true, false
	forget := func(fetchable bool) func(*qt.C, *lostAnswerZones, *Handler) {
		return func(_ *qt.C, z *lostAnswerZones, _ *Handler) {
			time.Sleep(memoryExpiry)
			z.instances["a"].setVersion()
			z.unfetchable = !fetchable
			close(z.released)
		}
	}
	tests := map[string]struct {
		routeKept, homeLost bool
		act                 func(c *qt.C, z *lostAnswerZones, handler *Handler)
	}{
		"version unchanged": {act: func(_ *qt.C, z *lostAnswerZones, _ *Handler) {
			time.Sleep(memoryExpiry)
			close(z.released)
		}},
		"route removed":               {act: forget(fetchable)},
		"too late":                    {routeKept: true, act: forget(fetchable)},
		"no home any more":            {routeKept: true, homeLost: true, act: forget(fetchable)},
		"conflict until the deadline": {routeKept: true, act: forget(unfetchable)},
		"conflict until the instance stops": {routeKept: true, act: func(c *qt.C, z *lostAnswerZones, handler *Handler) {
			forget(unfetchable)(c, z, handler)
			time.Sleep(conflictTime)
			handler.AbortPending()
		}},
		"route removed and home claimed again": {act: func(c *qt.C, z *lostAnswerZones, _ *Handler) {
			z.instances["a"].claim(c, 2, jobMilliCPU)
			z.instances["a"].setVersion()
			close(z.released)
		}},
		"too late and home claimed again": {routeKept: true, act: func(c *qt.C, z *lostAnswerZones, _ *Handler) {
			z.instances["a"].claim(c, 2, jobMilliCPU)
			time.Sleep(time.Second)
			z.instances["a"].setVersion()
			close(z.released)
		}},
		"joins a new job that is refused": {act: func(c *qt.C, z *lostAnswerZones, _ *Handler) {
			z.instances["a"].claim(c, 2, jobMilliCPU)
			z.instances["a"].fill()
			z.instances["a"].submitElsewhere(jobID)
			close(z.released)
		}},
		"joins a new job that is redirected": {act: func(c *qt.C, z *lostAnswerZones, _ *Handler) {
			z.instances["b"] = newHomeInstance(c, jobMilliCPU/2)
			z.instances["a"].claim(c, 2, jobMilliCPU)
			z.instances["a"].fill()
			z.instances["a"].submitElsewhere(jobID)
			close(z.released)
			<-z.joined
			time.Sleep(resubmitDelay)
			z.instances["a"].LocalHome().SetRemoteZones([]rattanscheduler.RemoteZone{{Zone: "b", FreeMilliCPU: 10 * jobMilliCPU}})
		}},
		"redirected after a conflict": {routeKept: true, act: func(c *qt.C, z *lostAnswerZones, handler *Handler) {
			z.instances["b"] = newHomeInstance(c, jobMilliCPU/2)
			z.instances["a"].LocalHome().SetRemoteZones([]rattanscheduler.RemoteZone{{Zone: "b", FreeMilliCPU: 10 * jobMilliCPU}})
			z.instances["b"].setVersion()
			forget(fetchable)(c, z, handler)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rattanred.SkipKnownFailure(t)
			c := qt.New(t)
			z := newLostAnswerZones(c)
			z.routeKept, z.homeLost = test.routeKept, test.homeLost
			handler := New(Config{
				Self: rattanwork.Member{Name: "self", Zone: "a"}, Homes: z, LocalHome: z, Peers: z, DesiredState: z, Journal: z, Clock: z.clock,
			})
			body := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
			request := httptest.NewRequest(http.MethodPost, "/q/"+jobID, strings.NewReader(body))
			request.Host = "h"
			recorder := httptest.NewRecorder()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				handler.ServeHTTP(recorder, request)
			}()
			<-z.answered
			c.Assert(z.instances["a"].target.startCount(), qt.Equals, 1)
			test.act(c, z, handler)
			<-ended
			t.Logf("answer %d: %s, %d submissions, zone %s, %d starts", recorder.Code, z.record.Reason, z.record.Submissions, z.record.Zone, z.instances["a"].target.startCount())
			refused := recorder.Code == http.StatusServiceUnavailable || recorder.Code == http.StatusNotFound
			c.Check(refused, qt.IsFalse, qt.Commentf("answer %d: %s", recorder.Code, z.record.Reason))
		})
	}
}
