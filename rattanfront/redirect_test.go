package rattanfront

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// redirectingZones has a home in each zone. That of the local zone redirects each job to
// the first of others that was not tried, and refuses it once all were; if forgetful, it
// does not know which were tried. The homes of the others answer by zone.
type redirectingZones struct {
	*fakeZones
	others    []string
	forgetful bool
	answers   map[string]rattanscheduler.Outcome
	lost      map[string]error
	// unknown is a zone whose home is not known.
	unknown string
	// zones contains the zones to which the job was submitted.
	zones []string
}

func (z *redirectingZones) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	name := zone
	if zone == "a" {
		name = "self"
	}
	if zone == z.unknown {
		z.advance(2 * homeWaitLimit)
		return rattanzone.Claim{}, false, z.changed
	}
	return rattanzone.Claim{Zone: zone, Name: name, Address: name, FencingToken: int64(zone[0])}, true, z.changed
}

func (z *redirectingZones) Submit(_ context.Context, request *rattanhome.Request) (rattanhome.Reply, error) {
	z.zones = append(z.zones, "a")
	result := rattanscheduler.JobResult{Outcome: rattanscheduler.Refused, RetryAfter: time.Second}
	for _, other := range z.others {
		if z.forgetful || !slices.Contains(request.Tried, other) {
			result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: other}
			break
		}
	}
	return rattanhome.Reply{Result: result}, nil
}

func (z *redirectingZones) Call(_ context.Context, address, method string, body []byte) ([]byte, error) {
	return answerSubmission(method, body, func(request *rattanhome.Request) (rattanhome.Reply, error) {
		z.zones = append(z.zones, address)
		reply := rattanhome.Reply{Result: rattanscheduler.JobResult{JobID: request.Job.ID, Outcome: z.answers[address]}}
		return reply, z.lost[address]
	})
}

// TestRemainingZonesAreTried guards against a refusal of a job that another zone would
// run, because the zone to which it was redirected is evacuated, full or out of reach;
// against trying a zone twice; and against a refusal of a job that may have started.
func TestRemainingZonesAreTried(t *testing.T) {
	const refused, succeeded = rattanscheduler.Refused, rattanscheduler.Succeeded
	tests := map[string]struct {
		forgetful bool
		answers   map[string]rattanscheduler.Outcome
		lost      map[string]error
		unknown   string
		status    int
		zones     []string
	}{
		"first runs it":             {answers: map[string]rattanscheduler.Outcome{"b": succeeded}, status: http.StatusOK, zones: []string{"a", "b"}},
		"second runs it":            {answers: map[string]rattanscheduler.Outcome{"b": refused, "c": succeeded}, status: http.StatusOK, zones: []string{"a", "b", "a", "c"}},
		"all refuse":                {answers: map[string]rattanscheduler.Outcome{"b": refused, "c": refused}, status: http.StatusServiceUnavailable, zones: []string{"a", "b", "a", "c", "a"}},
		"first out of reach":        {lost: map[string]error{"b": rattanpeer.ErrUnreachable}, answers: map[string]rattanscheduler.Outcome{"c": succeeded}, status: http.StatusOK, zones: []string{"a", "b", "a", "c"}},
		"home of the first unknown": {unknown: "b", answers: map[string]rattanscheduler.Outcome{"c": succeeded}, status: http.StatusOK, zones: []string{"a", "a", "c"}},
		"all out of reach": {
			lost:   map[string]error{"b": rattanpeer.ErrUnreachable, "c": rattanpeer.ErrRefused},
			status: http.StatusServiceUnavailable, zones: []string{"a", "b", "a", "c", "a"},
		},
		"home of the former version": {forgetful: true, answers: map[string]rattanscheduler.Outcome{"b": refused}, status: http.StatusServiceUnavailable, zones: []string{"a", "b", "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := &redirectingZones{
				fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})},
				others:    []string{"b", "c"}, forgetful: test.forgetful, answers: test.answers, lost: test.lost, unknown: test.unknown,
			}
			c := qt.New(t)
			c.Check(post(z), qt.Equals, test.status)
			c.Check(z.zones, qt.DeepEquals, test.zones)
		})
	}
}

// TestLostCallKeepsItsZone guards against two runs of a task in two zones: a call to
// another zone is lost after the home there may have accepted the job.
func TestLostCallKeepsItsZone(t *testing.T) {
	z := &redirectingZones{
		fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})},
		others:    []string{"b", "c"}, lost: map[string]error{"b": rattanpeer.ErrLinkClosed},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*resubmitDelay)
	defer cancel()
	postWith(ctx, z)
	c := qt.New(t)
	c.Assert(len(z.zones) > 2, qt.IsTrue)
	c.Check(slices.Contains(z.zones[1:], "a"), qt.IsFalse, qt.Commentf("%v", z.zones))
	c.Check(slices.Contains(z.zones, "c"), qt.IsFalse, qt.Commentf("%v", z.zones))
}

// returningZones redirects a job from each of two zones to the other one, until it is
// submitted for the third time.
type returningZones struct {
	redirectingZones
}

func (z *returningZones) answer(zone, other string) rattanhome.Reply {
	z.zones = append(z.zones, zone)
	result := rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: other}
	if len(z.zones) > 2 {
		result = rattanscheduler.JobResult{Outcome: rattanscheduler.Failed}
	}
	return rattanhome.Reply{Result: result}
}

func (z *returningZones) Submit(context.Context, *rattanhome.Request) (rattanhome.Reply, error) {
	return z.answer("a", "b"), nil
}

func (z *returningZones) Call(_ context.Context, address, method string, _ []byte) ([]byte, error) {
	if method != rattanhome.MethodSubmit {
		return []byte("{}"), nil
	}
	return json.Marshal(z.answer(address, "a"))
}

// TestReturnedJobIsAnswered guards against an empty answer, which counts as a result, to a
// job that another zone sends back before any zone has refused it: it joined a copy there
// that was submitted to that zone.
func TestReturnedJobIsAnswered(t *testing.T) {
	z := &returningZones{redirectingZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}}
	c := qt.New(t)
	c.Check(post(z), qt.Equals, http.StatusOK)
	c.Check(z.zones, qt.DeepEquals, []string{"a", "b", "a"})
}
