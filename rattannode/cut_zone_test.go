package rattannode

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const errCut = errors.ConstError("cut off")

// cutZone is a zone of one instance that is the home of the zone, and that can be cut
// off from the other instances, and from the platform too.
type cutZone struct {
	*rattanpeer.Node
	isCut atomic.Bool
	// reachesPlatform is set if the zone is cut off from the other instances only.
	reachesPlatform atomic.Bool
	// heldReply receives a value when a reply to a heartbeat is held until the test
	// job is cancelled here.
	heldReply     chan struct{}
	saved         *savedList
	cancellations *rattancancel.Record
	self          rattanwork.Member
	others        []*cutZone
	agent         *rattanzone.Agent
	front         *rattanfront.Handler
	target        *endlessTarget
}

// newCutZones returns zones whose homes are elected and know each other.
func newCutZones(c *qt.C, names ...string) []*cutZone {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	journal := NewJournal(logger, rattanmetric.New())
	zones, saved := make([]*cutZone, len(names)), &savedList{}
	for i, name := range names {
		peer := newPeer(c, name)
		zones[i] = &cutZone{Node: peer.Node, self: rattanwork.Member{Name: name, Zone: name, Address: peer.address, Incarnation: int64(i + 1)}, target: &endlessTarget{}, heldReply: make(chan struct{}), saved: saved}
	}
	for _, z := range zones {
		z.others = zones
		z.build(c, journal)
		c.Assert(z.Start(context.Background()), qt.IsNil)
		c.Assert(z.agent.Start(context.Background()), qt.IsNil)
		c.Cleanup(func() {
			_ = z.agent.Stop(context.Background())
			_ = z.Stop(context.Background())
		})
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, z := range zones {
		for len(z.agent.Zones()) < len(zones) || z.agent.LocalHome() == nil {
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
			time.Sleep(10 * time.Millisecond)
		}
	}
	return zones
}

// build creates the parts of the instance, which has one target.
func (z *cutZone) build(c *qt.C, journal *Journal) {
	state := rattanzone.NewDesiredStateWatcher(rattanzone.DesiredStateConfig{Parse: platform.ParseDesiredState, Journal: journal, Clock: time.Now})
	c.Assert(state.Accept(testDocument(1), "test"), qt.IsNil)
	z.cancellations = rattancancel.NewRecord(time.Now())
	var service *rattanhome.Service
	z.agent = rattanzone.New(rattanzone.Config{
		Self: z.self, Seeds: func() []string { return nil }, Peers: z, Directory: z, DesiredState: state,
		Inventory: rattanzone.NewInventory(z), CrashStore: z, Cancellations: z.cancellations, SavedCancellations: savedFor{z}, Journal: journal, Clock: time.Now,
		NewHome: func(token int64) *rattanhome.Home {
			return rattanhome.New(rattanhome.Config{
				FencingToken: token, MaxLease: time.Second, RemotePenalty: 1, Callers: service, Cancellations: z.cancellations, Targets: z.target, Observer: journal, Clock: time.Now,
			})
		},
	})
	service = rattanhome.NewService(rattanhome.ServiceConfig{
		Name: z.self.Name, Membership: z.agent, DesiredState: state, Cancellations: z.cancellations, Saver: z.saved, Journal: journal, Clock: time.Now,
	})
	service.RegisterHandlers(z.Node)
	z.Wrap("Beat", z.holdReply)
	z.front = rattanfront.New(rattanfront.Config{
		Self: z.self, Homes: z.agent, LocalHome: service, Peers: z, DesiredState: state, Cancellations: z.cancellations, Journal: journal, Clock: time.Now,
	})
}

// maxHold is less than the time that a heartbeat waits for its reply (250 ms).
const maxHold = 200 * time.Millisecond

// holdReply lets the reply to a heartbeat wait until the test job is cancelled here, if
// a test waits for heldReply.
func (z *cutZone) holdReply(next rattanpeer.Handler) rattanpeer.Handler {
	return func(ctx context.Context, sender string, body []byte) ([]byte, error) {
		select {
		case z.heldReply <- struct{}{}:
			for deadline := time.Now().Add(maxHold); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if _, cancelled := z.cancellations.Contains(testJob, time.Now()); cancelled {
					break
				}
			}
		default:
		}
		return next(ctx, sender, body)
	}
}

// savedList saves the cancellations of all zones.
type savedList struct {
	mutex sync.Mutex
	list  []rattancancel.Cancellation
}

func (s *savedList) Save(_ context.Context, cancellation rattancancel.Cancellation, _ time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.list = append(s.list, cancellation)
	return nil
}

func (s *savedList) Load(context.Context) ([]rattancancel.Cancellation, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.list), nil
}

// savedFor gives a zone the list while it reaches the platform.
type savedFor struct{ zone *cutZone }

func (s savedFor) Load(ctx context.Context) ([]rattancancel.Cancellation, error) {
	if err := s.zone.Announce(ctx, s.zone.self); err != nil {
		return nil, err
	}
	return s.zone.saved.Load(ctx)
}

// cutOffFrom reports whether a cut is between the zone and the instance at an address.
func (z *cutZone) cutOffFrom(address string) bool {
	return slices.ContainsFunc(z.others, func(other *cutZone) bool {
		return other.self.Address == address && (other.isCut.Load() || z.isCut.Load())
	})
}

// Call sends no call into or out of a zone that is cut off, and loses a reply that
// is under way when a zone is cut off: it may state what has happened since.
func (z *cutZone) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if !z.cutOffFrom(address) {
		reply, err := z.Node.Call(ctx, address, method, body)
		if !z.cutOffFrom(address) {
			return reply, err
		}
	}
	<-ctx.Done()
	return nil, errCut
}

// Notify sends no message without a reply into or out of a zone that is cut off.
func (z *cutZone) Notify(ctx context.Context, address, method string, body []byte) error {
	if z.cutOffFrom(address) {
		return errCut
	}
	return z.Node.Notify(ctx, address, method, body)
}

// Announce, Members and Withdraw implement rattanzone.Directory.
func (z *cutZone) Announce(context.Context, rattanwork.Member) error {
	if z.isCut.Load() && !z.reachesPlatform.Load() {
		return errCut
	}
	return nil
}

func (z *cutZone) Members(context.Context, string) ([]rattanwork.Member, error) {
	var members []rattanwork.Member
	for _, other := range z.others {
		members = append(members, other.self)
	}
	return members, nil
}

func (z *cutZone) Withdraw(context.Context) error { return nil }

// Current and WaitForChange implement rattanzone.InventoryReader. All zones read the
// same: instances take over an inventory of the same revision from each other.
func (z *cutZone) Current(context.Context) (rattanwork.Inventory, error) {
	inventory := rattanwork.Inventory{Revision: 1}
	for _, other := range z.others {
		inventory.Targets = append(inventory.Targets, rattanwork.Target{
			ID: other.self.Name, Service: "kept", Address: "192.0.2.1:1", Zone: other.self.Zone, Incarnation: 1, Capacity: rattanwork.Resources{MilliCPU: 4000, MemoryMB: 100},
		})
	}
	return inventory, nil
}

func (z *cutZone) WaitForChange(ctx context.Context, _ int64, timeout time.Duration) (rattanwork.InventoryChange, error) {
	select {
	case <-ctx.Done():
		return rattanwork.InventoryChange{}, ctx.Err()
	case <-time.After(timeout):
		return rattanwork.InventoryChange{}, nil
	}
}

// Save and Load implement rattanzone.CrashStore.
func (z *cutZone) Save(context.Context, string, []rattancrash.Loss, time.Time) error { return nil }

func (z *cutZone) Load(context.Context, time.Time) ([]rattancrash.Loss, error) { return nil, nil }

// runTime is how long runs seem to take. A run that makes no progress is stopped.
const runTime = 4 * time.Second

// endlessTarget is a rattanhome.TargetClient. A run ends when it is stopped.
type endlessTarget struct {
	mutex   sync.Mutex
	starts  int
	begunAt time.Time
	listing rattanwork.Listing
}

func (t *endlessTarget) Start(_ context.Context, _ *rattanwork.Target, request rattanwork.StartRequest) rattanwork.StartAnswer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.starts++
	t.begunAt = time.Now()
	t.listing.Running = append(t.listing.Running, rattanwork.Run{Task: request.Task, Attempt: request.Attempt})
	return rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: 1}
}

func (t *endlessTarget) Stop(context.Context, *rattanwork.Target, string, int, int64) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, run := range t.listing.Running {
		t.listing.Ended = append(t.listing.Ended, rattanwork.End{Sequence: int64(len(t.listing.Ended) + 1), Task: run.Task, Attempt: run.Attempt, Kind: rattanwork.EndStopped})
	}
	t.listing.Running = nil
	return nil
}

func (t *endlessTarget) Lease(_ context.Context, _ *rattanwork.Target, request rattanwork.LeaseRequest) (*rattanwork.Listing, error) {
	time.Sleep(min(request.Wait, 5*time.Millisecond))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.listing.Running {
		t.listing.Running[i].Percent = int(time.Since(t.begunAt) * 100 / runTime)
	}
	return &rattanwork.Listing{Running: slices.Clone(t.listing.Running), Ended: slices.Clone(t.listing.Ended), Incarnation: 1, ClockMillis: 1}, nil
}

// counts returns the number of starts and of active runs.
func (t *endlessTarget) counts() (starts, running int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.starts, len(t.listing.Running)
}

// request sends a request of a caller for the test job and returns the answer.
func (z *cutZone) request(method string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/kept/"+testJob, strings.NewReader(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":4000}]}`))
	r.Host = "h"
	r.Header.Set("X-Deadline-Ms", "20000")
	recorder := httptest.NewRecorder()
	z.front.ServeHTTP(recorder, r)
	return recorder
}

// awaitHeldReply returns once the reply to a heartbeat of another zone is held.
func (z *cutZone) awaitHeldReply(c *qt.C) {
	select {
	case <-z.heldReply:
	case <-time.After(5 * time.Second):
		c.Fatal("no heartbeat")
	}
}

// TestCancelBesideZoneThatIsCutOff guards against a cancellation that is not
// acknowledged because a zone is cut off, and against a job of that zone that goes on
// when the zone is back, or all the while although the zone reaches the platform. It
// holds too if the reply to a heartbeat is under way when the zone is cut off.
func TestCancelBesideZoneThatIsCutOff(t *testing.T) {
	tests := map[string]struct{ reachesPlatform, replyUnderWay bool }{
		"from all":                    {},
		"from all, a reply under way": {replyUnderWay: true},
		"from other zones":            {reachesPlatform: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			zones := newCutZones(c, "a", "b")
			connected, cutOff := zones[0], zones[1]
			// The silence of a zone says nothing before that.
			time.Sleep(2 * time.Second)
			if test.replyUnderWay {
				connected.awaitHeldReply(c)
			}
			posted := make(chan string, 1)
			go func() { posted <- cutOff.request(http.MethodPost).Body.String() }()
			c.Assert(eventually(func() bool { _, running := cutOff.target.counts(); return running == 1 }), qt.IsTrue)
			cutOff.reachesPlatform.Store(test.reachesPlatform)
			cutOff.isCut.Store(true)
			sentAt := time.Now()
			c.Check(connected.request(http.MethodDelete).Code, qt.Equals, http.StatusOK)
			c.Check(time.Since(sentAt) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(sentAt)))
			if !test.reachesPlatform {
				_, running := cutOff.target.counts()
				c.Check(running, qt.Equals, 1)
				cutOff.isCut.Store(false)
			}
			c.Check(eventually(func() bool { _, running := cutOff.target.counts(); return running == 0 }), qt.IsTrue)
			c.Check(<-posted, qt.Equals, `{"state":"cancelled"}`)
			c.Check(cutOff.request(http.MethodPost).Body.String(), qt.Equals, `{"state":"cancelled"}`)
			starts, _ := cutOff.target.counts()
			c.Check(starts, qt.Equals, 1)
		})
	}
}

// TestZoneThatIsCutOffSettlesNothing guards against an acknowledgement by a zone that
// is cut off of a job that goes on in another one.
func TestZoneThatIsCutOffSettlesNothing(t *testing.T) {
	c := qt.New(t)
	zones := newCutZones(c, "a", "b")
	zones[1].isCut.Store(true)
	time.Sleep(4 * time.Second)
	c.Check(zones[1].request(http.MethodDelete).Code, qt.Equals, http.StatusGatewayTimeout)
}

// eventually reports whether the condition holds within a second.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
