package rattanentry

import (
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmetric"
)

// Guards against false proofs of failure: an instance that is asked about
// another instance, or about its own successor, must not say that their epochs
// have ended. Of a former incarnation it may.
func TestOnlyTheHomeSaysLost(t *testing.T) {
	c := qt.New(t)
	home := newHomeUnderTest(c)
	close(home.runner.released)
	home.authority.revoked.Store(true)
	front := NewFront(FrontConfig{Instance: "buda-1", Incarnation: 5, Home: home.Home, Metrics: rattanmetric.New()})
	for _, test := range []struct {
		home rattanjob.Incarnation
		lost bool
	}{
		{rattanjob.Incarnation{Instance: "buda-1", Number: 4}, true},
		{rattanjob.Incarnation{Instance: "buda-1", Number: 5}, true},
		{rattanjob.Incarnation{Instance: "buda-1", Number: 6}, false},
		{rattanjob.Incarnation{Instance: "buda-2", Number: 5}, false},
	} {
		key := home.key()
		key.Epoch.Home = test.home
		request := &forwarded{Caller: "app", Key: key}
		body, err := json.Marshal(request)
		c.Assert(err, qt.IsNil)
		reply, err := front.serve(front.statusHere, nil)(context.Background(), "buda-3", body)
		c.Check(err == nil, qt.Equals, test.lost, qt.Commentf("%+v: %s", test.home, reply))
		if test.home.Instance != "buda-1" {
			continue
		}
		answer := front.route(context.Background(), methodStatus, request, front.statusHere)
		c.Check(answer.Reason == rattanjob.ReasonHomeLost, qt.Equals, test.lost, qt.Commentf("%+v: %+v", test.home, answer))
		c.Check(answer.Key, qt.Equals, key.String())
	}
}
