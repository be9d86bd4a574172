package rattanentry

import (
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmetric"
)

// TestOnlyOwnInstanceReportsHomeLost guards against false reports of lost jobs.
// Only the instance itself may report that an incarnation's epochs have ended,
// and only for its current and earlier incarnations. A request for another
// instance or for a later incarnation can arrive when addresses are reused.
func TestOnlyOwnInstanceReportsHomeLost(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c)
	close(home.runner.released)
	home.authority.revoked.Store(true)
	frontend := NewFrontend(FrontendConfig{Instance: "buda-1", Incarnation: 5, Home: home.Home, Metrics: rattanmetric.New()})
	for _, test := range []struct {
		home rattanjob.Incarnation
		lost bool
	}{
		{rattanjob.Incarnation{Instance: "buda-1", Number: 4}, true},
		{rattanjob.Incarnation{Instance: "buda-1", Number: 5}, true},
		{rattanjob.Incarnation{Instance: "buda-1", Number: 6}, false},
		{rattanjob.Incarnation{Instance: "buda-2", Number: 5}, false},
	} {
		key := home.newKey()
		key.Epoch.Home = test.home
		request := &forwardedRequest{Caller: "app", Key: key}
		body, err := json.Marshal(request)
		c.Assert(err, qt.IsNil)
		reply, err := frontend.handlerFor(frontend.statusLocal, nil)(context.Background(), "buda-3", body)
		c.Check(err == nil, qt.Equals, test.lost, qt.Commentf("%+v: %s", test.home, reply))
		if test.home.Instance != "buda-1" {
			continue
		}
		answer := frontend.route(context.Background(), methodStatus, request, frontend.statusLocal)
		c.Check(answer.Reason == rattanjob.ReasonHomeLost, qt.Equals, test.lost, qt.Commentf("%+v: %+v", test.home, answer))
		c.Check(answer.Key, qt.Equals, key.String())
	}
}
