package rattannode

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanred"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// testRoutes are the desired states of the tests by version. Each maps a path
// prefix to a service.
var testRoutes = map[int64]map[string]string{
	1: {"/kept/": "kept", "/dropped/": "kept", "/moved/": "kept"},
	2: {"/kept/": "kept", "/moved/": "other", "/added/": "other"},
}

// testDocument returns the encoded desired state of a version.
func testDocument(version int64) []byte {
	var routes []string
	for prefix, service := range testRoutes[version] {
		routes = append(routes, fmt.Sprintf(`{"name":"r","host":"h","prefix":%q,"service":%q,"timeout_ms":5000,"target_latency_ms":2000,"max_attempts":3}`, prefix, service))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(routes, ","))
}

// pair is a front and the home of its zone, two instances between which no
// heartbeats are sent.
type pair struct {
	*qt.C
	front *rattanfront.Handler
	// frontState and homeState are the desired states of the two instances.
	frontState *rattanzone.DesiredStateWatcher
	homeState  *rattanzone.DesiredStateWatcher
	home       *rattanhome.Home
	address    string
	// frontAddress is the peer address of the front, counts that of the home's
	// traffic.
	frontAddress string
	counts       *rattanpeer.Counts
	lostCalls    int

	mutex sync.Mutex
	// starts contains the services on whose targets tasks were started, and
	// versions those that the home's instance had at that time.
	starts   []string
	versions []int64
}

// newPair returns a front and a home that have the given versions. The answers
// to the first lostCalls submissions get lost.
func newPair(c *qt.C, frontVersion, homeVersion int64, lostCalls int) *pair {
	return newPairOf(c, testDocument(frontVersion), testDocument(homeVersion), lostCalls)
}

// newPairOf does the same with the given desired states.
func newPairOf(c *qt.C, frontDocument, homeDocument []byte, lostCalls int) *pair {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	journal := NewJournal(logger, rattanmetric.New())
	p := &pair{C: c, lostCalls: lostCalls}
	homeNode, frontNode := newPeer(c, "home"), newPeer(c, "front")
	newState := func(document []byte, peer testPeer) *rattanzone.DesiredStateWatcher {
		state := rattanzone.NewDesiredStateWatcher(rattanzone.DesiredStateConfig{
			Source: silentSource{}, Parse: platform.ParseDesiredState, Journal: journal, Peers: peer, Clock: time.Now,
		})
		c.Assert(state.Accept(document, "test"), qt.IsNil)
		c.Assert(state.Start(context.Background()), qt.IsNil)
		c.Cleanup(func() { _ = state.Stop(context.Background()) })
		return state
	}
	p.frontState, p.homeState = newState(frontDocument, frontNode), newState(homeDocument, homeNode)
	service := rattanhome.NewService(rattanhome.ServiceConfig{Name: "home", Membership: p, DesiredState: p.homeState, Journal: journal, Clock: time.Now})
	p.home = rattanhome.New(rattanhome.Config{
		FencingToken: rattanhome.FencingTokenStep, MaxLease: time.Second, RemotePenalty: 1, Callers: service, Targets: p, Observer: journal, Clock: time.Now,
	})
	c.Cleanup(p.home.Close)
	var targets []rattanwork.Target
	for _, name := range []string{"kept", "other"} {
		targets = append(targets, rattanwork.Target{ID: name, Service: name, Capacity: rattanwork.Resources{MilliCPU: 1000, MemoryMB: 100}})
	}
	p.home.UpdateTargets(targets, true)
	service.RegisterHandlers(homeNode.Node)
	for _, peer := range []testPeer{homeNode, frontNode} {
		c.Assert(peer.Start(context.Background()), qt.IsNil)
		c.Cleanup(func() { _ = peer.Stop(context.Background()) })
	}
	p.address, p.frontAddress, p.counts = homeNode.address, frontNode.address, &homeNode.Counts
	p.front = rattanfront.New(rattanfront.Config{
		Self: rattanwork.Member{Name: "front", Zone: "a"}, Homes: p, Peers: lossyPeers{frontNode.Node, p}, DesiredState: p.frontState, Journal: journal, Clock: time.Now,
	})
	return p
}

// silentSource is a store that does not answer.
type silentSource struct{}

func (silentSource) Current(ctx context.Context) (rattanwork.OperatorState, error) {
	<-ctx.Done()
	return rattanwork.OperatorState{}, ctx.Err()
}

func (s silentSource) WaitForChange(ctx context.Context, _ rattanwork.OperatorState, _ time.Duration) (rattanwork.OperatorState, error) {
	return s.Current(ctx)
}

// testPeer is a node that listens on the loopback interface.
type testPeer struct {
	*rattanpeer.Node
	address string
}

func newPeer(c *qt.C, name string) testPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return testPeer{rattanpeer.New(rattanpeer.Config{Name: name, Listener: listener}), listener.Addr().String()}
}

// lossyPeers loses the answers to the first submissions of a pair.
type lossyPeers struct {
	*rattanpeer.Node
	pair *pair
}

func (l lossyPeers) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	answer, err := l.Node.Call(ctx, address, method, body)
	l.pair.mutex.Lock()
	defer l.pair.mutex.Unlock()
	if method == rattanhome.MethodSubmit && l.pair.lostCalls > 0 {
		l.pair.lostCalls--
		return nil, rattanpeer.ErrLinkClosed
	}
	return answer, err
}

// Home, KeepAlive, Zones and Successor implement rattanfront.HomeLocator.
func (p *pair) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	return rattanzone.Claim{Zone: zone, Name: "home", Address: p.address, FencingToken: rattanhome.FencingTokenStep}, true, nil
}

func (p *pair) KeepAlive(string) func() { return func() {} }

// Current implements rattanfront.DesiredState.
func (p *pair) Current(time.Time) bool { return true }

func (p *pair) Zones() []string { return []string{"a"} }

func (p *pair) Successor() (rattanwork.Member, bool) { return rattanwork.Member{}, false }

// LastHeard, Suspended, Reachability, SentAt, Address and LocalHome implement rattanhome.Membership.
func (p *pair) LastHeard(string) (time.Time, int64) { return time.Now(), 0 }

func (p *pair) Suspended() time.Duration { return 0 }

func (p *pair) Reachability(time.Time) *rattanhome.Reachability { return nil }

func (p *pair) SentAt(_ string, _ time.Duration, now time.Time) time.Time { return now }

func (p *pair) Address(string) string { return p.frontAddress }

func (p *pair) LocalHome() *rattanhome.Home { return p.home }

// Start, Stop and Lease implement rattanhome.TargetClient. A run ends at once.
func (p *pair) Start(_ context.Context, target *rattanwork.Target, _ rattanwork.StartRequest) rattanwork.StartAnswer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.starts = append(p.starts, target.Service)
	p.versions = append(p.versions, p.homeState.Version())
	return rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: 1}
}

func (p *pair) Stop(context.Context, *rattanwork.Target, string, int, int64) error { return nil }

func (p *pair) Lease(_ context.Context, target *rattanwork.Target, request rattanwork.LeaseRequest) (*rattanwork.Listing, error) {
	time.Sleep(min(request.Wait, 5*time.Millisecond))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	listing := &rattanwork.Listing{Incarnation: 1, ClockMillis: 1}
	for i, service := range p.starts {
		if service == target.Service {
			listing.Ended = append(listing.Ended, rattanwork.End{Sequence: int64(i + 1), Task: testJob + ".0.0.0", Attempt: 1, Kind: rattanwork.EndDone})
		}
	}
	return listing, nil
}

// testJob is the ID of the job that the tests submit.
const testJob = "00000000000000aa"

// post submits the job by a path prefix and returns the status of the answer.
func (p *pair) post(prefix string) int {
	body := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
	request := httptest.NewRequest(http.MethodPost, prefix+testJob, strings.NewReader(body))
	request.Host = "h"
	recorder := httptest.NewRecorder()
	p.front.ServeHTTP(recorder, request)
	return recorder.Code
}

// TestHomeActsOnNoOtherVersion plays each order in which a front and a home learn of a change.
func TestHomeActsOnNoOtherVersion(t *testing.T) {
	rattanred.SkipKnownFailure(t)
	tests := map[string]struct {
		front, home int64
		lostCalls   int
		prefix      string
		status      int
		// starts contains the services of the expected starts, version what both
		// instances have in force afterwards.
		starts  []string
		version int64
	}{
		"same version":                                {1, 1, 0, "/kept/", http.StatusOK, []string{"kept"}, 1},
		"home late, route added":                      {2, 1, 0, "/added/", http.StatusOK, []string{"other"}, 2},
		"home late, route kept":                       {2, 1, 0, "/kept/", http.StatusOK, []string{"kept"}, 2},
		"home late, answer lost":                      {2, 1, 1, "/added/", http.StatusOK, []string{"other"}, 2},
		"front late, route kept":                      {1, 2, 0, "/kept/", http.StatusOK, []string{"kept"}, 2},
		"front late, route dropped":                   {1, 2, 0, "/dropped/", http.StatusNotFound, nil, 2},
		"front late, route dropped, answer lost":      {1, 2, 1, "/dropped/", http.StatusNotFound, nil, 2},
		"front late, route dropped, two answers lost": {1, 2, 2, "/dropped/", http.StatusNotFound, nil, 2},
		"front late, other service":                   {1, 2, 0, "/moved/", http.StatusOK, []string{"other"}, 2},
		"front late, other service, answer lost":      {1, 2, 1, "/moved/", http.StatusOK, []string{"other"}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c, test.front, test.home, test.lostCalls)
			c.Check(p.post(test.prefix), qt.Equals, test.status)
			p.mutex.Lock()
			defer p.mutex.Unlock()
			c.Check(p.starts, qt.DeepEquals, test.starts)
			for _, version := range p.versions {
				c.Check(version, qt.Equals, test.version, qt.Commentf("the home started a task by a version that it did not have"))
			}
			c.Check(p.homeState.Version(), qt.Equals, test.version)
			c.Check(p.frontState.Version(), qt.Equals, test.version)
		})
	}
}
