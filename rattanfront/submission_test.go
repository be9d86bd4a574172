package rattanfront

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// fakeZones has a home in each zone, whose answers are scripted. The answers of
// the local zone's home come first.
type fakeZones struct {
	mutex   sync.Mutex
	now     time.Time
	local   rattanhome.Reply
	remote  []func(z *fakeZones) (rattanhome.Reply, error)
	changed chan struct{}
	// presences contains what the homes of zones a and b know of a job that is not
	// absent.
	presences map[string]rattanhome.JobPresence
}

// presence returns what the home of a zone knows of a job.
func (z *fakeZones) presence(zone string) rattanhome.JobPresence {
	if presence, ok := z.presences[zone]; ok {
		return presence
	}
	return rattanhome.JobAbsent
}

func (z *fakeZones) Presence(string) rattanhome.JobPresence { return z.presence("a") }

func (z *fakeZones) clock() time.Time {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return z.now
}

func (z *fakeZones) advance(duration time.Duration) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.now = z.now.Add(duration)
}

func (z *fakeZones) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	name := "self"
	if zone != "a" {
		name = "remote"
	}
	return rattanzone.Claim{Zone: zone, Name: name, Address: name}, true, z.changed
}

func (z *fakeZones) KeepAlive(string) func() { return func() {} }

func (z *fakeZones) Current(time.Time) bool { return true }

func (z *fakeZones) Submit(context.Context, *rattanhome.Request) (rattanhome.Reply, error) {
	return z.local, nil
}

func (z *fakeZones) Cancel(rattanhome.Cancellation) bool { return true }

func (z *fakeZones) SaveCancellation(context.Context, rattanhome.CallerCancellation) error {
	return nil
}

func (z *fakeZones) Call(_ context.Context, _, method string, _ []byte) ([]byte, error) {
	if method == rattanhome.MethodPresence {
		return json.Marshal(rattanhome.PresenceReply{Presence: z.presence("b")})
	}
	if method != rattanhome.MethodSubmit {
		return []byte("{}"), nil
	}
	z.mutex.Lock()
	next := z.remote[0]
	if len(z.remote) > 1 {
		z.remote = z.remote[1:]
	}
	z.mutex.Unlock()
	reply, err := next(z)
	if err != nil {
		return nil, err
	}
	return json.Marshal(reply)
}

func (z *fakeZones) State() *rattanwork.DesiredState {
	return &rattanwork.DesiredState{Version: 1, Routes: []rattanwork.Route{{Name: "r", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, Timeout: 10 * time.Second}}}
}

func (z *fakeZones) Announce(rattanwork.Member, int64, time.Time) {}

func (z *fakeZones) Await(context.Context, int64) {}

func (z *fakeZones) Answered(AnswerRecord) {}

func (z *fakeZones) WithdrawalFailed(string, string, int, error) {}

func (z *fakeZones) CancelAnswered(CancelRecord) {}

func (z *fakeZones) CancelledJobSubmitted(string, string, time.Duration) {}

func (z *fakeZones) Zones() []string { return []string{"a", "b"} }

func (z *fakeZones) Successor() (rattanwork.Member, bool) { return rattanwork.Member{}, false }

func (z *fakeZones) CancelForCaller(rattanhome.CallerCancellation) rattanhome.CancellationReply {
	return rattanhome.CancellationReply{Confirmed: true, Remembered: true}
}

// zones is what a handler needs of the other parts of the system.
type zones interface {
	HomeLocator
	LocalHome
	Peers
	DesiredState
	Journal
	clock() time.Time
}

// post submits a job and returns the status of the answer.
func post(z zones) int {
	return postWith(context.Background(), z)
}

// postWith does the same for a caller that leaves when ctx ends.
func postWith(ctx context.Context, z zones) int {
	return postTo(ctx, newHandler(z))
}

func newHandler(z zones) *Handler {
	return New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Homes: z, LocalHome: z, Peers: z, DesiredState: z, Journal: z, Clock: z.clock,
		Uptime: func(time.Time) time.Duration { return time.Minute },
	})
}

func postTo(ctx context.Context, handler *Handler) int {
	body := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
	request := httptest.NewRequest(http.MethodPost, "/q/00000000000000aa", strings.NewReader(body))
	request = request.WithContext(ctx)
	request.Host = "h"
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code
}

// TestRedirectedJobOutlivesLostCall guards against giving up a job that runs in
// another zone when a call to its home fails late: what counts is how long the
// home has been out of reach, not how long ago the job was redirected.
func TestRedirectedJobOutlivesLostCall(t *testing.T) {
	lost := func(after time.Duration) func(z *fakeZones) (rattanhome.Reply, error) {
		return func(z *fakeZones) (rattanhome.Reply, error) {
			z.advance(after)
			return rattanhome.Reply{}, rattanpeer.ErrLinkClosed
		}
	}
	succeeded := func(*fakeZones) (rattanhome.Reply, error) {
		return rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Succeeded}}, nil
	}
	tests := map[string]struct {
		remote []func(z *fakeZones) (rattanhome.Reply, error)
		want   int
	}{
		"lost once after three seconds": {[]func(z *fakeZones) (rattanhome.Reply, error){lost(3 * time.Second), succeeded}, http.StatusOK},
		"out of reach":                  {[]func(z *fakeZones) (rattanhome.Reply, error){lost(time.Second)}, http.StatusGatewayTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			zones := &fakeZones{now: time.Now(), remote: test.remote, changed: make(chan struct{})}
			zones.local.Result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b"}
			qt.New(t).Assert(post(zones), qt.Equals, test.want)
		})
	}
}

// TestJobRedirectedBeforeIsResumed guards against a zone that takes a repeated job
// for new although an earlier home of that zone may have started it.
func TestJobRedirectedBeforeIsResumed(t *testing.T) {
	for _, before := range []bool{false, true} {
		zones := &recordingZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}
		zones.local.Result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b", MayHaveStarted: before}
		c := qt.New(t)
		c.Assert(post(zones), qt.Equals, http.StatusOK)
		c.Check(zones.request.Resumed, qt.Equals, before)
		c.Check(zones.request.Uptime > 0, qt.IsTrue, qt.Commentf("the home cannot tell when it was sent"))
	}
}

// answerSubmission decodes a submission that is sent to a home and returns the encoded
// reply of the function. A call of another method gets an empty reply.
func answerSubmission(method string, body []byte, answer func(request *rattanhome.Request) (rattanhome.Reply, error)) ([]byte, error) {
	if method != rattanhome.MethodSubmit {
		return []byte("{}"), nil
	}
	var request rattanhome.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	reply, err := answer(&request)
	if err != nil {
		return nil, err
	}
	return json.Marshal(reply)
}

// recordingZones completes each job in another zone and keeps the last request.
type recordingZones struct {
	*fakeZones
	request rattanhome.Request
}

func (z *recordingZones) Call(_ context.Context, _, method string, body []byte) ([]byte, error) {
	return answerSubmission(method, body, func(request *rattanhome.Request) (rattanhome.Reply, error) {
		z.request = *request
		return rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Succeeded}}, nil
	})
}

// TestSubmissionNumbersGrowOverRestarts guards against an instance whose submissions are all rejected after a restart, because its home knows their numbers.
func TestSubmissionNumbersGrowOverRestarts(t *testing.T) {
	c := qt.New(t)
	z := &recordingZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}
	z.local.Result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b"}
	incarnation := z.now.UnixNano()
	c.Assert(postTo(context.Background(), New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a", Incarnation: incarnation}, Homes: z, LocalHome: z, Peers: z, DesiredState: z, Journal: z, Clock: z.clock,
	})), qt.Equals, http.StatusOK)
	c.Check(z.request.Sequence > incarnation, qt.IsTrue)
}

// changingHome is a home of the local zone that has another fencing token at each
// submission, and completes the job after the last one.
type changingHome struct {
	*fakeZones
	tokens       []int64
	earlierHomes []int
	// proofs contains, for each submission, the first one that the home may prove not
	// to have accepted, and the fencing token.
	proofs [][2]int64
}

func (h *changingHome) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	return rattanzone.Claim{Zone: zone, Name: "self", FencingToken: h.tokens[0]}, true, h.changed
}

func (h *changingHome) Submit(_ context.Context, request *rattanhome.Request) (rattanhome.Reply, error) {
	h.earlierHomes = append(h.earlierHomes, request.EarlierHomes)
	h.proofs = append(h.proofs, [2]int64{request.FirstUnsettled, request.HomeToken})
	if len(h.tokens) == 1 {
		return rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Succeeded}}, nil
	}
	h.tokens = h.tokens[1:]
	return rattanhome.Reply{NotHome: true}, nil
}

// TestHomeIsToldOfEarlierHomes guards against a home that does not know how many
// homes may have lost a target under a task before, and against counting a home
// more than once.
func TestHomeIsToldOfEarlierHomes(t *testing.T) {
	c := qt.New(t)
	home := &changingHome{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}, tokens: []int64{3, 3, 5, 6, 6}}
	c.Assert(post(home), qt.Equals, http.StatusOK)
	c.Assert(home.earlierHomes, qt.DeepEquals, []int{0, 0, 1, 2, 2})
}

// TestOnlySoleHomeProves guards against a home that proves for another one that nothing was accepted.
func TestOnlySoleHomeProves(t *testing.T) {
	c := qt.New(t)
	home := &changingHome{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}, tokens: []int64{3, 3, 5, 3}}
	c.Assert(post(home), qt.Equals, http.StatusOK)
	c.Assert(home.proofs, qt.DeepEquals, [][2]int64{{1, 3}, {1, 3}, {0, 0}, {0, 0}})
}

// unknownZones redirects each job to a zone whose home is not known at first.
type unknownZones struct {
	*recordingZones
	unknown int
}

func (z *unknownZones) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	claim, _, changed := z.recordingZones.Home(zone)
	if zone == "b" && z.unknown > 0 {
		z.unknown--
		z.advance(2 * homeWaitLimit)
		return rattanzone.Claim{}, false, changed
	}
	return claim, true, changed
}

// TestJobThatMayRunElsewhereIsNotRefused guards against telling a caller that its job
// has not run although it may run in another zone, whose home is not known.
func TestJobThatMayRunElsewhereIsNotRefused(t *testing.T) {
	for before, status := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusOK} {
		c := qt.New(t)
		zones := &unknownZones{&recordingZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}, 2}
		zones.local.Result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b", MayHaveStarted: before}
		c.Check(post(zones), qt.Equals, status)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errDeadline)
	qt.New(t).Check((&submission{mayHaveStarted: true}).interruptedResponse(ctx).status, qt.Equals, http.StatusGatewayTimeout)
}

// TestZonesThatRedirectToEachOther guards against submitting a job without a pause while each of two zones takes it for started in the other one.
func TestZonesThatRedirectToEachOther(t *testing.T) {
	zones := &versionedZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}
	redirected := func(zone string) []rattanhome.Reply {
		return []rattanhome.Reply{{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: zone, MayHaveStarted: true}}}
	}
	zones.local, zones.remote = redirected("b"), redirected("a")
	const waited = 10 * resubmitDelay
	ctx, cancel := context.WithTimeout(context.Background(), waited)
	defer cancel()
	postWith(ctx, zones)
	submissions := len(zones.requests)
	qt.New(t).Check(submissions > 2 && submissions <= int(waited/resubmitDelay)+2, qt.IsTrue, qt.Commentf("%d submissions", submissions))
}

// stoppingHome stops the front's instance while it answers.
type stoppingHome struct {
	*fakeZones
	handler *Handler
}

func (h *stoppingHome) Submit(context.Context, *rattanhome.Request) (rattanhome.Reply, error) {
	h.handler.AbortPending()
	return h.local, nil
}

// TestLastAnswerThatTellsOfStartIsHeeded guards against telling a caller that its job has not run, because the home's answer that it may have arrives as the instance stops.
func TestLastAnswerThatTellsOfStartIsHeeded(t *testing.T) {
	for name, begun := range map[string]bool{"begun": true, "not begun": false} {
		for kind, reply := range map[string]rattanhome.Reply{
			"conflict": {Conflict: &rattanhome.VersionConflict{MayHaveStarted: begun}},
			"redirect": {Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b", MayHaveStarted: begun}},
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				home := &stoppingHome{fakeZones: &fakeZones{now: time.Now(), local: reply, changed: make(chan struct{})}}
				home.handler = newHandler(home)
				status := http.StatusServiceUnavailable
				if begun {
					status = http.StatusGatewayTimeout
				}
				qt.New(t).Check(postTo(context.Background(), home.handler), qt.Equals, status)
			})
		}
	}
}

// TestOnlyProofSettlesSubmission guards against taking an answer for the proof that a submission has started nothing and will start nothing, if the job may have run.
func TestOnlyProofSettlesSubmission(t *testing.T) {
	ended := func(outcome rattanscheduler.Outcome) rattanhome.Reply {
		return rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: outcome}}
	}
	tests := map[string]struct {
		reply rattanhome.Reply
		err   error
		want  bool
	}{
		"no process listens": {err: errors.Annotate(rattanpeer.ErrRefused, "peer"), want: true},
		"no connection":      {err: errors.Annotate(rattanpeer.ErrUnreachable, "peer"), want: true},
		"link closed":        {err: errors.Annotate(rattanpeer.ErrLinkClosed, "peer")},
		"link silent":        {err: rattanpeer.ErrLinkSilent},
		"handler failed":     {err: rattanpeer.ErrRemote},
		"local call ended":   {err: context.Canceled},
		"not decoded":        {reply: rattanhome.Reply{NotAccepted: true}, err: errors.New("unexpected end of input")},
		"conflict":           {reply: rattanhome.Reply{Conflict: &rattanhome.VersionConflict{}}, want: true},
		"not accepted":       {reply: rattanhome.Reply{NotHome: true, NotAccepted: true}, want: true},
		"deposed":            {reply: rattanhome.Reply{NotHome: true}},
		"cancelled":          {reply: ended(rattanscheduler.Cancelled)},
		"expired":            {reply: ended(rattanscheduler.Expired)},
		"failed":             {reply: ended(rattanscheduler.Failed)},
		"succeeded":          {reply: ended(rattanscheduler.Succeeded)},
		"refused":            {reply: ended(rattanscheduler.Refused), want: true},
		"redirected":         {reply: ended(rattanscheduler.Redirected), want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(notAccepted(test.reply, test.err), qt.Equals, test.want)
		})
	}
}
