package rattanfront

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// versionedZones is a front with version 1, which has the route of the job, beside
// homes whose replies are scripted by zone. Version 2 has no route.
type versionedZones struct {
	*fakeZones
	local, remote []rattanhome.Reply
	// unfetchable is set if version 2 cannot be fetched.
	unfetchable bool

	mutex    sync.Mutex
	version  int64
	requests []rattanhome.Request
	// announced contains the homes that were asked for version 2.
	announced []string
}

func (z *versionedZones) State() *rattanwork.DesiredState {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.version == 2 {
		return &rattanwork.DesiredState{Version: 2}
	}
	return z.fakeZones.State()
}

func (z *versionedZones) Announce(member rattanwork.Member, _ int64, _ time.Time) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.announced = append(z.announced, member.Address)
}

func (z *versionedZones) Await(ctx context.Context, version int64) {
	if z.unfetchable {
		<-ctx.Done()
		return
	}
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.version = version
}

func (z *versionedZones) Submit(_ context.Context, request *rattanhome.Request) (rattanhome.Reply, error) {
	return z.reply(&z.local, request), nil
}

func (z *versionedZones) Call(_ context.Context, _, method string, body []byte) ([]byte, error) {
	return answerSubmission(method, body, func(request *rattanhome.Request) (rattanhome.Reply, error) {
		return z.reply(&z.remote, request), nil
	})
}

// reply records the request and returns the next reply, the last one for all
// further requests.
func (z *versionedZones) reply(replies *[]rattanhome.Reply, request *rattanhome.Request) rattanhome.Reply {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.requests = append(z.requests, *request)
	reply := (*replies)[0]
	if len(*replies) > 1 {
		*replies = (*replies)[1:]
	}
	return reply
}

// TestConflictOfVersionsIsResolved plays homes with another version, also in another zone and after a lost submission.
func TestConflictOfVersionsIsResolved(t *testing.T) {
	succeeded := rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Succeeded}}
	redirected := rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b"}}
	begun := redirected
	begun.Result.MayHaveStarted = true
	notHome := rattanhome.Reply{NotHome: true}
	notAccepted := rattanhome.Reply{NotHome: true, NotAccepted: true}
	refused := rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Refused}}
	newer := rattanhome.Reply{Conflict: &rattanhome.VersionConflict{Version: 2}}
	newerBegun := rattanhome.Reply{Conflict: &rattanhome.VersionConflict{Version: 2, MayHaveStarted: true}}
	newerNever := rattanhome.Reply{Conflict: &rattanhome.VersionConflict{Version: 2, NeverAccepted: true}}
	older := rattanhome.Reply{Conflict: &rattanhome.VersionConflict{}}
	tests := map[string]struct {
		local, remote []rattanhome.Reply
		status        int
		// versions are those of the submissions, announced the homes from which the
		// newer state is fetched.
		versions  []int64
		announced []string
	}{
		"home newer":                         {[]rattanhome.Reply{newer}, nil, http.StatusNotFound, []int64{1}, []string{"self"}},
		"home newer, begun there":            {[]rattanhome.Reply{newerBegun, succeeded}, nil, http.StatusOK, []int64{1, 2}, []string{"self"}},
		"home newer after a lost submission": {[]rattanhome.Reply{notHome, newer, succeeded}, nil, http.StatusOK, []int64{1, 1, 2}, []string{"self"}},
		"home newer, lost one not accepted":  {[]rattanhome.Reply{notHome, newerNever}, nil, http.StatusNotFound, []int64{1, 1}, []string{"self"}},
		"home newer after no home":           {[]rattanhome.Reply{notAccepted, newer}, nil, http.StatusNotFound, []int64{1, 1}, []string{"self"}},
		"refused after a lost submission":    {[]rattanhome.Reply{notHome, refused}, nil, http.StatusGatewayTimeout, []int64{1, 1}, nil},
		"refused by a newer home, the same":  {[]rattanhome.Reply{notHome, newer, refused}, nil, http.StatusGatewayTimeout, []int64{1, 1, 2}, []string{"self"}},
		"refused after no home":              {[]rattanhome.Reply{notAccepted, refused}, nil, http.StatusServiceUnavailable, []int64{1, 1}, nil},
		"refused after a conflict":           {[]rattanhome.Reply{older, refused}, nil, http.StatusServiceUnavailable, []int64{1, 1}, nil},
		"refused elsewhere, lost before":     {[]rattanhome.Reply{notHome, redirected}, []rattanhome.Reply{refused}, http.StatusGatewayTimeout, []int64{1, 1, 1}, nil},
		"home older":                         {[]rattanhome.Reply{older, succeeded}, nil, http.StatusOK, []int64{1, 1}, nil},
		"home older for long":                {[]rattanhome.Reply{older, notHome, older, succeeded}, nil, http.StatusOK, []int64{1, 1, 1, 1}, nil},
		"other zone newer":                   {[]rattanhome.Reply{redirected}, []rattanhome.Reply{newer}, http.StatusNotFound, []int64{1, 1}, []string{"remote"}},
		"other zone newer, begun before":     {[]rattanhome.Reply{begun}, []rattanhome.Reply{newer, succeeded}, http.StatusOK, []int64{1, 1, 2}, []string{"remote"}},
		"other zone older":                   {[]rattanhome.Reply{redirected}, []rattanhome.Reply{older, succeeded}, http.StatusOK, []int64{1, 1, 1}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			zones := &versionedZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}, local: test.local, remote: test.remote}
			c.Check(post(zones), qt.Equals, test.status)
			var versions []int64
			for _, request := range zones.requests {
				versions = append(versions, request.Version)
			}
			c.Check(versions, qt.DeepEquals, test.versions)
			c.Check(zones.announced, qt.DeepEquals, test.announced)
		})
	}
}

// adviceZones is a front whose version 2 has the route of the job, but does not serve it.
type adviceZones struct{ *versionedZones }

func (z adviceZones) State() *rattanwork.DesiredState {
	state := z.versionedZones.State()
	if state.Version == 2 {
		state.Routes = z.fakeZones.State().Routes
		state.Routes[0].NeedsAdvice = true
	}
	return state
}

// TestLostJobOfRouteNoLongerServedIsNotRefused guards against refusing a job that may have run, because its route is not served any more.
func TestLostJobOfRouteNoLongerServedIsNotRefused(t *testing.T) {
	newer := rattanhome.Reply{Conflict: &rattanhome.VersionConflict{Version: 2}}
	succeeded := rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Succeeded}}
	for status, replies := range map[int][]rattanhome.Reply{
		http.StatusServiceUnavailable: {newer, succeeded},
		http.StatusOK:                 {{NotHome: true}, newer, succeeded},
	} {
		zones := &versionedZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}, local: replies}
		qt.New(t).Check(post(adviceZones{zones}), qt.Equals, status)
	}
}

// TestUnresolvedConflictIsNotRepeatedAtOnce guards against a flood of submissions between instances that disagree.
func TestUnresolvedConflictIsNotRepeatedAtOnce(t *testing.T) {
	for name, conflict := range map[string]rattanhome.VersionConflict{
		"home stays older":       {},
		"state of home unusable": {Version: 2},
	} {
		t.Run(name, func(t *testing.T) {
			zones := &versionedZones{
				fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})},
				local:     []rattanhome.Reply{{Conflict: &conflict}}, unfetchable: true,
			}
			const waited = 10 * resubmitDelay
			ctx, cancel := context.WithTimeout(context.Background(), waited)
			defer cancel()
			postWith(ctx, zones)
			submissions := len(zones.requests)
			qt.New(t).Check(submissions > 1 && submissions <= int(waited/resubmitDelay)+2, qt.IsTrue, qt.Commentf("%d submissions", submissions))
		})
	}
}
