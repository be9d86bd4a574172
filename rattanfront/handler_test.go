package rattanfront

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// malformedZones is a front whose other zone answers first with a reply of another form.
type malformedZones struct {
	*fakeZones
	malformed []byte
}

func (z *malformedZones) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if malformed := z.malformed; method == rattanhome.MethodSubmit && malformed != nil {
		z.malformed = nil
		return malformed, nil
	}
	return z.fakeZones.Call(ctx, address, method, body)
}

// TestMalformedReplyTellsNothing guards against acting on the part of a reply that could be decoded.
func TestMalformedReplyTellsNothing(t *testing.T) {
	for _, malformed := range []string{
		`{"CancelledByCaller":true,"Moved":7}`,
		`{"Moved":7,"Ended":{"Outcome":6,"Zone":"c"}}`,
		`{"Conflict":{"Version":1,"NeverAccepted":true},"Moved":7}`,
	} {
		t.Run(malformed, func(t *testing.T) {
			zones := &malformedZones{&fakeZones{now: time.Now(), changed: make(chan struct{})}, []byte(malformed)}
			zones.local.Result = rattanscheduler.JobResult{Outcome: rattanscheduler.Redirected, Zone: "b"}
			zones.remote = []func(*fakeZones) (rattanhome.Reply, error){func(*fakeZones) (rattanhome.Reply, error) {
				return rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Refused}}, nil
			}}
			qt.New(t).Check(post(zones), qt.Equals, http.StatusGatewayTimeout)
		})
	}
}
