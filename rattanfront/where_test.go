package rattanfront

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// whereZone is a zone whose home is this instance or another one.
type whereZone struct {
	*fakeZones
	home  string
	reply rattanhome.PreviewReply
	// err is the result of a call to another instance, which blocks until its context
	// ends if block is set.
	err   error
	block bool
	// requests contains the requests that reached a home, methods those of calls.
	requests []*rattanhome.Request
	methods  []string
}

func (z *whereZone) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	return rattanzone.Claim{Zone: zone, Name: z.home, Address: "address"}, z.home != "", nil
}

func (z *whereZone) HomeAge(string, time.Time) (time.Duration, bool) {
	return 70 * time.Millisecond, true
}

func (z *whereZone) Preview(request *rattanhome.Request) rattanhome.PreviewReply {
	z.requests = append(z.requests, request)
	return z.reply
}

func (z *whereZone) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	z.methods = append(z.methods, method)
	if z.block {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if z.err != nil {
		return nil, z.err
	}
	var request rattanhome.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	return json.Marshal(z.Preview(&request))
}

func newWhereZone(home string) *whereZone {
	age := rattanjson.Duration(time.Second)
	return &whereZone{fakeZones: &fakeZones{now: time.Unix(1_800_000_000, 0)}, home: home, reply: rattanhome.PreviewReply{
		Version: 1, Evacuation: "none", EvacuationsRevision: 7, InventoryAge: &age,
		Preview: rattanscheduler.Preview{Outcome: rattanscheduler.PreviewWaits, Reason: "no target has room for it now"},
	}}
}

func (z *whereZone) where() *Where {
	return NewWhere(WhereConfig{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Homes: z, LocalHome: z, Peers: z, DesiredState: z, Clock: z.clock,
	})
}

const whereBody = `{"best_effort":true,"steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":50}]}`

// ask sends a request to the handler.
func (z *whereZone) ask(query, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	z.where().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, WherePath+"?"+query, strings.NewReader(body)))
	return recorder
}

// TestWhere guards against a report that lacks what the home has told, and against a job
// that is submitted to the home instead of previewed.
func TestWhere(t *testing.T) {
	for _, home := range []string{"self", "other"} {
		t.Run(home, func(t *testing.T) {
			c := qt.New(t)
			z := newWhereZone(home)
			recorder := z.ask("host=h:80&path=/q/00000000000000aa", whereBody)
			c.Assert(recorder.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", recorder.Body))
			var report WhereReport
			c.Assert(json.Unmarshal(recorder.Body.Bytes(), &report), qt.IsNil)
			want := WhereReport{
				Instance: "self", Zone: "a", Route: "r", Service: "s", DesiredVersion: 1, HomeDesiredVersion: 1, Home: home,
				Evacuation: "none", EvacuationsRevision: 7, InventoryAge: z.reply.InventoryAge, Decision: z.reply.Preview,
			}
			if home == "other" {
				want.HomeAge = rattanjson.Duration(70 * time.Millisecond)
				c.Assert(z.methods, qt.DeepEquals, []string{rattanhome.MethodPreview})
			}
			c.Assert(report, qt.DeepEquals, want)
			c.Assert(z.requests, qt.HasLen, 1)
			c.Assert(z.requests[0].Job.ID, qt.Equals, "00000000000000aa")
			c.Assert(z.requests[0].Deadline, qt.Equals, 10*time.Second)
			c.Assert(z.requests[0].Redirectable, qt.IsTrue)
		})
	}
}

// TestWhereCannotTell guards against a failure that is taken for a decision, or that does
// not name its cause.
func TestWhereCannotTell(t *testing.T) {
	const query = "host=h&path=/q/"
	tests := map[string]struct {
		change func(z *whereZone)
		query  string
		body   string
		status int
		want   string
	}{
		"no home":        {func(z *whereZone) { z.home = "" }, query, whereBody, http.StatusServiceUnavailable, "zone a has no home"},
		"former version": {func(z *whereZone) { z.err = errors.Annotate(rattanpeer.ErrNoMethod, "peer") }, query, whereBody, http.StatusServiceUnavailable, "home other is of a former version"},
		"unreachable":    {func(z *whereZone) { z.err = rattanpeer.ErrUnreachable }, query, whereBody, http.StatusServiceUnavailable, "home other: peer unreachable"},
		"not home":       {func(z *whereZone) { z.reply.NotHome = true }, query, whereBody, http.StatusServiceUnavailable, "no longer the home"},
		"no route":       {nil, "host=h&path=/other/", whereBody, http.StatusNotFound, `no route for host "h" and path "/other/"`},
		"no host":        {nil, "path=/q/", whereBody, http.StatusNotFound, "no route"},
		"no body":        {nil, query, "", http.StatusBadRequest, "JSON"},
		"odd ID":         {nil, query + "x", whereBody, http.StatusBadRequest, `ID "x"`},
		"odd job":        {nil, query, `{"best_effort":true,"steps":[]}`, http.StatusBadRequest, "steps"},
		"too large":      {nil, query, strings.Repeat(" ", defaultMaxBody+1), http.StatusRequestEntityTooLarge, "too large"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			z := newWhereZone("other")
			if test.change != nil {
				test.change(z)
			}
			recorder := z.ask(test.query, test.body)
			c.Assert(recorder.Code, qt.Equals, test.status, qt.Commentf("%s", recorder.Body))
			var answer WhereError
			c.Assert(json.Unmarshal(recorder.Body.Bytes(), &answer), qt.IsNil)
			c.Assert(answer.Error, qt.Contains, test.want)
		})
	}
}

// TestWhereRefusesForms guards against asking a home about a job that the front refuses.
func TestWhereRefusesForms(t *testing.T) {
	c := qt.New(t)
	z := newWhereZone("other")
	recorder := z.ask("host=h&path=/q/", `{"steps":[{"count":1}]}`)
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	var report WhereReport
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), &report), qt.IsNil)
	c.Assert(report.Decision.Outcome, qt.Equals, rattanscheduler.PreviewRefused)
	c.Assert(report.Decision.RetryAfter.Std(), qt.Equals, unsupportedRetryAfter)
	c.Assert(z.methods, qt.HasLen, 0)
}

// maxWhereTime is the bound of the time of one request.
const maxWhereTime = time.Second

// TestWhereIsBounded guards against a request that occupies the metrics listener because
// its body does not arrive or the home does not answer.
func TestWhereIsBounded(t *testing.T) {
	c := qt.New(t)
	z := newWhereZone("other")
	z.block = true
	server := httptest.NewServer(z.where())
	defer server.Close()
	startedAt := time.Now()
	response, err := http.Post(server.URL+WherePath+"?host=h&path=/q/", "application/json", strings.NewReader(whereBody))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(time.Since(startedAt) < maxWhereTime, qt.IsTrue)

	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	startedAt = time.Now()
	_, err = connection.Write([]byte("POST " + WherePath + "?host=h&path=/q/ HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"))
	c.Assert(err, qt.IsNil)
	answer := make([]byte, 1000)
	n, err := connection.Read(answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer[:n]), qt.Contains, " 408 ")
	c.Assert(time.Since(startedAt) < maxWhereTime, qt.IsTrue)
}
