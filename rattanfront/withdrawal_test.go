package rattanfront

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// losingZones redirects each job to zone b, whose homes lose the first messages.
type losingZones struct {
	*fakeZones
	// lost is the number of cancellations that are still to be lost, homes the
	// homes of zone b; after a lost message the next one takes over.
	lost  int
	homes []string
	// submitted is closed once the job was submitted to zone b.
	submitted chan struct{}
	cancelled chan string
}

func newLosingZones(lost int, homes ...string) *losingZones {
	z := &losingZones{
		fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})},
		lost:      lost, homes: homes, submitted: make(chan struct{}), cancelled: make(chan string, 1),
	}
	z.local.Result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b"}
	return z
}

func (z *losingZones) Home(zone string) (rattanzone.Claim, bool, <-chan struct{}) {
	if zone == "a" {
		return z.fakeZones.Home(zone)
	}
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return rattanzone.Claim{Zone: zone, Name: z.homes[0], Address: z.homes[0]}, true, z.changed
}

func (z *losingZones) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if method == rattanhome.MethodSubmit {
		close(z.submitted)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.lost > 0 {
		z.lost--
		if len(z.homes) > 1 {
			z.homes = z.homes[1:]
		}
		return nil, rattanpeer.ErrLinkClosed
	}
	var cancellation rattanhome.Cancellation
	if err := json.Unmarshal(body, &cancellation); err != nil {
		return nil, err
	}
	z.cancelled <- cancellation.JobID + " at " + address
	return []byte("{}"), nil
}

// TestCancellationIsRepeated guards against two runs of a task in two zones: a
// job that was redirected goes on if its caller leaves and the message is lost.
func TestCancellationIsRepeated(t *testing.T) {
	tests := map[string]struct {
		zones *losingZones
		want  string
	}{
		"not lost":         {newLosingZones(0, "b1"), "00000000000000aa at b1"},
		"lost twice":       {newLosingZones(2, "b1"), "00000000000000aa at b1"},
		"home has changed": {newLosingZones(1, "b1", "b2"), "00000000000000aa at b2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, leave := context.WithCancel(context.Background())
			answered := make(chan int, 1)
			go func() { answered <- postWith(ctx, test.zones) }()
			<-test.zones.submitted
			leave()
			c.Check(<-answered, qt.Equals, http.StatusOK, qt.Commentf("nothing is written to a caller that has left"))
			select {
			case cancelled := <-test.zones.cancelled:
				c.Check(cancelled, qt.Equals, test.want)
			case <-time.After(withdrawalTimeout):
				c.Error("no home was told that the caller has left")
			}
		})
	}
}

// refusingHome loses the first answer and refuses the job when it is submitted again.
type refusingHome struct {
	*versionedZones
	cancelled chan rattanhome.Cancellation
}

func (h *refusingHome) Cancel(cancellation rattanhome.Cancellation) bool {
	h.cancelled <- cancellation
	return false
}

// TestJobIsWithdrawnInEarlierZone guards against a late copy of a submission that starts the job in the zone that has redirected it, after its end in the other zone.
func TestJobIsWithdrawnInEarlierZone(t *testing.T) {
	c := qt.New(t)
	home := &refusingHome{&versionedZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}, make(chan rattanhome.Cancellation, 1)}
	home.versionedZones.local = []rattanhome.Reply{{NotHome: true}, {Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b"}}}
	home.versionedZones.remote = []rattanhome.Reply{{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Refused}}}
	c.Check(post(home), qt.Equals, http.StatusGatewayTimeout)
	select {
	case cancellation := <-home.cancelled:
		c.Check(cancellation.JobID, qt.Equals, testJobID)
	case <-time.After(withdrawalTimeout):
		c.Error("the submission to the local zone was not withdrawn")
	}
}

// TestLateCopyOfRefusedJobIsWithdrawn guards against a job that starts after its caller was told that it ended, because an earlier submission arrives after the one that was refused.
func TestLateCopyOfRefusedJobIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	home := &refusingHome{&versionedZones{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}, make(chan rattanhome.Cancellation, 1)}
	home.versionedZones.local = []rattanhome.Reply{{NotHome: true}, {Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Refused}}}
	c.Check(post(home), qt.Equals, http.StatusGatewayTimeout)
	select {
	case cancellation := <-home.cancelled:
		c.Check(cancellation, qt.Equals, rattanhome.Cancellation{JobID: testJobID, Submitter: "self", Sequence: home.requests[1].Sequence})
	case <-time.After(withdrawalTimeout):
		c.Error("the first submission was not withdrawn")
	}
}
