package rattanclient

import (
	"net/http"
	"testing"

	"github.com/juju/errors"

	qt "github.com/frankban/quicktest"
)

// TestStatusError guards against error messages that contain the raw JSON of an
// answer instead of its state, reason and detail.
func TestStatusError(t *testing.T) {
	for _, test := range []struct {
		name, body, want string
	}{
		{"Answer", `{"State":"Refused","Execution":"NotRun","Reason":"NotReady","Detail":"key \"Config\": outage"}`, `/v1/plans: Refused, NotReady: key "Config": outage`},
		{"Several lines", `{"State":"Refused","Execution":"NotRun","Reason":"Conflict","Detail":"Changes since:\nA: 1\nB: 2\n"}`, "/v1/plans: Refused, Conflict: Changes since: A: 1; B: 2"},
		{"Other body", "no such page\n", "/v1/plans: status 503: no such page"},
		{"Answer without detail", `{"State":"Refused"}`, `/v1/plans: status 503: {"State":"Refused"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := statusError("/v1/plans", http.StatusServiceUnavailable, []byte(test.body))
			c.Assert(err.Error(), qt.Equals, test.want)
			c.Assert(errors.Is(err, ErrUnexpectedResponse), qt.IsTrue)
		})
	}
}
