package rattanfront

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const testJobID = "00000000000000aa"

// cancelZones are two zones whose homes reply as told to cancellations. A job that
// is submitted stays in progress.
type cancelZones struct {
	*fakeZones
	// local is the reply of the local home, remote the one of the other zone's
	// home, whose first lost messages are lost.
	local, remote rattanhome.CancellationReply
	lost          int
	successor     bool
	submitted     chan struct{}

	mutex sync.Mutex
	calls []string
}

func newCancelZones(local, remote rattanhome.CancellationReply) *cancelZones {
	return &cancelZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}, local: local, remote: remote, submitted: make(chan struct{}, 10)}
}

func (z *cancelZones) Submit(ctx context.Context, _ *rattanhome.Request) (rattanhome.Reply, error) {
	z.submitted <- struct{}{}
	<-ctx.Done()
	return rattanhome.Reply{}, ctx.Err()
}

func (z *cancelZones) CancelForCaller(rattanhome.CallerCancellation) rattanhome.CancellationReply {
	return z.local
}

func (z *cancelZones) Successor() (rattanwork.Member, bool) {
	return rattanwork.Member{Name: "successor", Address: "successor"}, z.successor
}

func (z *cancelZones) Call(_ context.Context, address, method string, _ []byte) ([]byte, error) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.calls = append(z.calls, method+" "+address)
	if z.lost > 0 {
		z.lost--
		return nil, rattanpeer.ErrLinkClosed
	}
	return json.Marshal(z.remote)
}

func (z *cancelZones) handler() *Handler {
	return New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Homes: z, LocalHome: z, Peers: z, DesiredState: z, Journal: z, Clock: z.clock,
	})
}

// request sends a request of a caller to the handler.
func request(handler *Handler, method, path string) *httptest.ResponseRecorder {
	body := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h"
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder
}

var (
	confirmed = rattanhome.CancellationReply{Confirmed: true, Remembered: true}
	known     = rattanhome.CancellationReply{Confirmed: true, Remembered: true, Known: true}
	ended     = rattanhome.CancellationReply{Confirmed: true, Remembered: true, Known: true, Ended: true}
	// uncertain is the reply of a home that was paused.
	uncertain = rattanhome.CancellationReply{Remembered: true, Known: true, Ended: true}
	// finished is the reply of a home that has the job's result.
	finished = rattanhome.CancellationReply{Confirmed: true, Remembered: true, Known: true, Finished: true}
	full     = rattanhome.CancellationReply{Confirmed: true}
	never    = 1000
)

// hearing returns the reply of a home that has heard from the zones lately.
func hearing(reply rattanhome.CancellationReply, zones ...string) rattanhome.CancellationReply {
	reply.Reachability = &rattanhome.Reachability{Zones: zones}
	return reply
}

// TestCancelAnswersByAllZones guards against a cancellation that is acknowledged
// although the job may start or go on in some zone, and against one that is not
// although a message was lost.
func TestCancelAnswersByAllZones(t *testing.T) {
	tests := map[string]struct {
		local, remote rattanhome.CancellationReply
		lost          int
		want          int
	}{
		"ended here":                        {ended, confirmed, 0, http.StatusOK},
		"ended here, other zone cut off":    {ended, confirmed, never, http.StatusOK},
		"ended there":                       {confirmed, ended, 0, http.StatusOK},
		"ended there, messages lost":        {confirmed, ended, 3, http.StatusOK},
		"unknown":                           {confirmed, confirmed, 0, http.StatusGone},
		"unknown, messages lost":            {confirmed, confirmed, 3, http.StatusGone},
		"unknown, other zone cut off":       {confirmed, ended, never, http.StatusGatewayTimeout},
		"known, other zone cut off":         {known, ended, never, http.StatusGatewayTimeout},
		"known":                             {known, confirmed, 0, http.StatusOK},
		"ended by a home that was paused":   {uncertain, confirmed, 0, http.StatusGatewayTimeout},
		"finished here, other zone cut off": {finished, confirmed, never, http.StatusOK},
		"finished there, messages lost":     {confirmed, finished, 3, http.StatusOK},
		"known, other zone gone":            {hearing(known, "a"), confirmed, never, http.StatusOK},
		"unknown, other zone gone":          {hearing(confirmed, "a"), confirmed, never, http.StatusOK},
		"other zone heard, cut off":         {hearing(known, "a", "b"), confirmed, never, http.StatusGatewayTimeout},
		"other zone gone, home uncertain":   {uncertain, confirmed, never, http.StatusGatewayTimeout},
		"gone as the other zone has it":     {rattanhome.CancellationReply{}, hearing(known, "b"), 0, http.StatusGatewayTimeout},
		"too many unknown in the zone":      {full, confirmed, 0, http.StatusServiceUnavailable},
		"too many unknown in another zone":  {confirmed, full, 0, http.StatusServiceUnavailable},
		"too many unknown, but ended":       {ended, full, 0, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			zones := newCancelZones(test.local, test.remote)
			zones.lost = test.lost
			handler := zones.handler()
			sentAt := time.Now()
			c := qt.New(t)
			c.Check(request(handler, http.MethodDelete, "/q/"+testJobID).Code, qt.Equals, test.want)
			c.Check(time.Since(sentAt) < cancellationTimeout+time.Second, qt.IsTrue)
			c.Check(handler.cancellations, qt.HasLen, 0)
		})
	}
}

// TestCancelSendsOneMessagePerZone guards against cancellations that cost more, and
// against one that only the home remembers.
func TestCancelSendsOneMessagePerZone(t *testing.T) {
	c := qt.New(t)
	zones := newCancelZones(confirmed, confirmed)
	zones.successor = true
	c.Check(request(zones.handler(), http.MethodDelete, "/q/"+testJobID).Code, qt.Equals, http.StatusGone)
	c.Check(zones.calls, qt.ContentEquals, []string{rattanhome.MethodCancelForCaller + " successor", rattanhome.MethodCancelForCaller + " remote"})
}

// TestCancelEndsAllSubmissions guards against a copy of a job that goes on because
// its instance had more than one, and against one that arrives later.
func TestCancelEndsAllSubmissions(t *testing.T) {
	c := qt.New(t)
	zones := newCancelZones(ended, confirmed)
	handler := zones.handler()
	answers := make(chan *httptest.ResponseRecorder, 2)
	for range 2 {
		go func() { answers <- request(handler, http.MethodPost, "/q/"+testJobID) }()
	}
	for range 2 {
		<-zones.submitted
	}
	c.Check(request(handler, http.MethodDelete, "/q/"+testJobID).Code, qt.Equals, http.StatusOK)
	later := request(handler, http.MethodPost, "/q/"+testJobID)
	for _, answer := range []*httptest.ResponseRecorder{<-answers, <-answers, later} {
		c.Check(answer.Code, qt.Equals, http.StatusOK)
		c.Check(answer.Body.String(), qt.Equals, `{"state":"cancelled"}`)
	}
	c.Check(handler.pending, qt.HasLen, 0)
	c.Check(zones.submitted, qt.HasLen, 0)
}

// TestCancelledByOtherInstance guards against a submission that is answered with a
// status upon which its caller sends it again.
func TestCancelledByOtherInstance(t *testing.T) {
	c := qt.New(t)
	zones := &fakeZones{now: time.Now(), changed: make(chan struct{})}
	zones.local.CancelledByCaller = true
	answer := request(New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Homes: zones, LocalHome: zones, Peers: zones, DesiredState: zones, Journal: zones, Clock: zones.clock,
	}), http.MethodPost, "/q/"+testJobID)
	c.Check(answer.Code, qt.Equals, http.StatusOK)
	c.Check(answer.Body.String(), qt.Equals, `{"state":"cancelled"}`)
}

// TestCancelOfInvalidID guards against messages and memory for what no job can be.
func TestCancelOfInvalidID(t *testing.T) {
	c := qt.New(t)
	zones := newCancelZones(confirmed, confirmed)
	handler := zones.handler()
	tests := map[string]int{
		"/q/": http.StatusGone, "/q/aa": http.StatusGone, "/q/000000000000000x": http.StatusGone, "/q/00000000/000000aa": http.StatusGone,
		"/q/" + strings.Repeat("a", 64<<10): http.StatusGone, "/other/": http.StatusNotFound,
	}
	for path, want := range tests {
		c.Check(request(handler, http.MethodDelete, path).Code, qt.Equals, want, qt.Commentf("%.40s", path))
	}
	c.Check(zones.calls, qt.HasLen, 0)
	c.Check(handler.config.Cancellations.Len(), qt.Equals, 0)
}

// TestFloodOfCancellations guards against memory and goroutines that grow with the
// requests to cancel unknown jobs while a zone does not answer, and against a known
// job that is not cancelled because of it.
func TestFloodOfCancellations(t *testing.T) {
	c := qt.New(t)
	zones := newCancelZones(confirmed, confirmed)
	zones.lost = 1 << 20
	handler := zones.handler()
	posted := make(chan int, 1)
	go func() { posted <- request(handler, http.MethodPost, "/q/"+testJobID).Code }()
	<-zones.submitted
	now := zones.clock()
	refused := 0
	for i := range 20_000 {
		if handler.startCancellation(fmt.Sprintf("%016x", 1<<20+i), now) == nil {
			refused++
		}
	}
	c.Check(refused >= 20_000-maxCancellations, qt.IsTrue, qt.Commentf("%d", refused))
	c.Check(handler.config.Cancellations.Len() < 10_000, qt.IsTrue)
	c.Check(handler.startCancellation(testJobID, now), qt.IsNotNil)
	c.Check(<-posted, qt.Equals, http.StatusOK)
	_, remembered := handler.config.Cancellations.Contains(testJobID, now)
	c.Check(remembered, qt.IsTrue)
	for range 1000 {
		c.Assert(handler.startCancellation(testJobID, now), qt.IsNotNil, qt.Commentf("repeated requests join the first one"))
	}
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	c.Check(len(handler.cancellations) <= maxCancellations+1, qt.IsTrue)
}

// TestCancelOfRemovedQueue guards against a job that runs on because the route by
// which it was accepted has been removed when it is cancelled.
func TestCancelOfRemovedQueue(t *testing.T) {
	tests := map[string]struct {
		local rattanhome.CancellationReply
		want  int
	}{
		"in progress": {ended, http.StatusOK},
		"unknown":     {confirmed, http.StatusNotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			handler := newCancelZones(test.local, confirmed).handler()
			qt.New(t).Check(request(handler, http.MethodDelete, "/removed/"+testJobID).Code, qt.Equals, test.want)
		})
	}
}
