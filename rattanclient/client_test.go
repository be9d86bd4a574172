package rattanclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// TestOpenAnswersAreRepeated guards against a caller that is left with an open
// answer because the home of its job was busy for a moment.
func TestOpenAnswersAreRepeated(t *testing.T) {
	const retryAfter = 20 * time.Millisecond
	requests := map[string]func(ctx context.Context, client *Client) (rattanjob.Answer, error){
		http.MethodPost: func(ctx context.Context, client *Client) (rattanjob.Answer, error) {
			return client.SubmitAndWait(ctx, rattanjob.Submission{})
		},
		http.MethodDelete: func(ctx context.Context, client *Client) (rattanjob.Answer, error) {
			return client.CancelAndWait(ctx, rattanjob.Key{})
		},
	}
	for method, request := range requests {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			var arrivals []time.Time
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.Check(r.Method, qt.Equals, method)
				arrivals = append(arrivals, time.Now())
				answer := rattanjob.UnknownAnswer(rattanjob.ReasonHomeUnreachable, "busy", rattanjson.Duration(retryAfter))
				if len(arrivals) > 2 {
					answer = rattanjob.Answer{State: rattanjob.StateCancelled}
				}
				c.Check(json.NewEncoder(w).Encode(answer), qt.IsNil)
			}))
			defer server.Close()
			client := New(Config{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			answer, err := request(ctx, client)
			c.Assert(err, qt.IsNil)
			c.Assert(answer.State, qt.Equals, rattanjob.StateCancelled)
			c.Assert(arrivals, qt.HasLen, 3)
			for i, arrival := range arrivals[1:] {
				c.Check(arrival.Sub(arrivals[i]) >= retryAfter, qt.IsTrue)
			}
		})
	}
}

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
