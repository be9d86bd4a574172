package rattanfront

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanlimit"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// presenceZones are zones whose homes know of a job what the test states.
type presenceZones struct {
	*fakeZones
	// homeless is set if the own zone has no home, stateless if there is no desired
	// state. lost makes calls to the other zone fail, silent makes them hang.
	homeless, stateless, silent bool
	lost                        error
}

func (z *presenceZones) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	claim, ok, changed := z.fakeZones.Home(zone)
	return claim, ok && (zone != "a" || !z.homeless), changed
}

func (z *presenceZones) State() *rattanwork.DesiredState {
	if z.stateless {
		return nil
	}
	return z.fakeZones.State()
}

func (z *presenceZones) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if z.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if z.lost != nil {
		return nil, z.lost
	}
	return z.fakeZones.Call(ctx, address, method, body)
}

// TestRefusalIsTrue guards against an answer that says that a job has not run although
// some home knows it, cannot know or cannot be asked. Each refusal that comes before the
// submission of a job is tried.
func TestRefusalIsTrue(t *testing.T) {
	const job = `{"best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
	refusals := map[string]struct {
		budget              int64
		body                string
		stateless, stopping bool
		status              int
	}{
		"no room for body": {budget: 50, body: job, status: http.StatusServiceUnavailable},
		"no room for job":  {budget: 200, body: job, status: http.StatusServiceUnavailable},
		"too large":        {budget: 1 << 20, body: strings.Repeat(" ", defaultMaxBody+1), status: http.StatusRequestEntityTooLarge},
		"no desired state": {budget: 1 << 20, body: job, stateless: true, status: http.StatusServiceUnavailable},
		"instance stops":   {budget: 1 << 20, body: job, stopping: true, status: http.StatusServiceUnavailable},
	}
	knowledge := map[string]struct {
		zones presenceZones
		// known is set if the job is not known to be absent, present if it is known.
		known, present bool
	}{
		"absent":                  {},
		"present here":            {zones: presenceZones{fakeZones: &fakeZones{presences: map[string]rattanhome.JobPresence{"a": rattanhome.JobPresent}}}, known: true, present: true},
		"uncertain here":          {zones: presenceZones{fakeZones: &fakeZones{presences: map[string]rattanhome.JobPresence{"a": rattanhome.JobUncertain}}}, known: true},
		"present in other zone":   {zones: presenceZones{fakeZones: &fakeZones{presences: map[string]rattanhome.JobPresence{"b": rattanhome.JobPresent}}}, known: true, present: true},
		"uncertain in other zone": {zones: presenceZones{fakeZones: &fakeZones{presences: map[string]rattanhome.JobPresence{"b": rattanhome.JobUncertain}}}, known: true},
		"no home":                 {zones: presenceZones{homeless: true}, known: true},
		"other zone fails":        {zones: presenceZones{lost: context.Canceled}, known: true},
		"other zone is silent":    {zones: presenceZones{silent: true}, known: true},
	}
	for refusalName, refusal := range refusals {
		for knowledgeName, state := range knowledge {
			t.Run(refusalName+"/"+knowledgeName, func(t *testing.T) {
				c := qt.New(t)
				z := state.zones
				fake := &fakeZones{now: time.Now(), changed: make(chan struct{})}
				if z.fakeZones != nil {
					fake.presences = z.presences
				}
				z.fakeZones, z.stateless = fake, refusal.stateless
				handler := newHandler(&z)
				handler.config.Bodies = rattanlimit.NewBodies(rattanlimit.NewBudget(refusal.budget, 0), nil, z.clock)
				if refusal.stopping {
					handler.BeginShutdown(z.clock().Add(-time.Second))
				}
				request := httptest.NewRequest(http.MethodPost, "/q/"+testJobID, strings.NewReader(refusal.body))
				request.Host = "h"
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, request)
				want := refusal.status
				// Status 413 speaks of the request alone unless the job is known.
				tooLarge := want == http.StatusRequestEntityTooLarge
				if state.present || (state.known && !tooLarge) {
					want = http.StatusGatewayTimeout
				}
				c.Check(recorder.Code, qt.Equals, want, qt.Commentf("%s", recorder.Body))
			})
		}
	}
}

// TestLookupsAreLimited guards against a flood of refusals that makes an instance ask the
// homes of other zones as often.
func TestLookupsAreLimited(t *testing.T) {
	c := qt.New(t)
	z := &fakeZones{now: time.Now(), changed: make(chan struct{})}
	handler := newHandler(z)
	absent := 0
	for range 10 * lookupBurst {
		if handler.presence(testJobID) == rattanhome.JobAbsent {
			absent++
		}
	}
	c.Check(absent >= lookupBurst, qt.IsTrue, qt.Commentf("%d", absent))
	c.Check(absent < 5*lookupBurst, qt.IsTrue, qt.Commentf("%d", absent))
}
