package rattansystem_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

// sendRequest sends a request and decodes the answer. Unknown fields fail the test.
func sendRequest(c *qt.C, caller, method, url, body string) (int, rattanjob.Answer) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	if caller != "" {
		request.Header.Set("Caller", caller)
	}
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	var answer rattanjob.Answer
	c.Assert(rattanjson.DecodeStrict(responseBody, &answer), qt.IsNil, qt.Commentf("%s %s: %d %s", method, url, response.StatusCode, responseBody))
	return response.StatusCode, answer
}

// TestInvalidRequests guards against invalid requests that are not answered with
// exactly one answer, that get a wrong execution state, or that start a task, and
// against invalid requests about a job that change its answer.
func TestInvalidRequests(t *testing.T) {
	c := qt.New(t)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 2,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 1, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document:       testDocument(),
		AdjustSettings: func(settings *rattansettings.Settings) {
			settings.Home.KeyLifetime = rattanjson.Duration(3 * time.Second)
		},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	unusedKeys, err := client.Keys(context.Background(), 20)
	c.Assert(err, qt.IsNil)
	nextKey := func() string {
		key := unusedKeys[0].String()
		unusedKeys = unusedKeys[1:]
		return key
	}
	body := func(key, rest string) string { return `{"Key":"` + key + `",` + rest + `}` }
	const list = `"Kind":"list","Tasks":[{"Payload":{"Item": "<tiles>"}}]`
	expiredKey, completedKey, unusedKey := nextKey(), nextKey(), nextKey()
	for i, address := range []string{system.Addresses()[0], system.Addresses()[1], system.Addresses()[0]} {
		// When another instance forwards the job to its home, spaces and the
		// character < are encoded differently. The resubmission must still match.
		status, answer := sendRequest(c, "app", "POST", "http://"+address+"/v1/jobs", body(completedKey, list))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("submission %d: %+v", i, answer))
	}
	for _, test := range []struct {
		name, caller, method, path, body string

		status    int
		state     rattanjob.State
		execution rattanjob.Execution
		reason    rattanjob.Reason
	}{
		{"body too large", "app", "POST", "/v1/jobs", body(nextKey(), list) + strings.Repeat(" ", rattanjob.MaxBodySize), 413, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonBodyTooLarge},
		{"body of keys too large", "app", "POST", "/v1/keys", strings.Repeat(" ", rattanjob.MaxBodySize+1), 413, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonBodyTooLarge},
		{"malformed", "app", "POST", "/v1/jobs", `{"Key"`, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"malformed after a used key", "app", "POST", "/v1/jobs", body(completedKey, `"Kind":3`), 409, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonConflict},
		{"malformed after a new key", "app", "POST", "/v1/jobs", body(nextKey(), `"Kind":3`), 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"empty", "app", "POST", "/v1/jobs", ``, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"no key", "app", "POST", "/v1/jobs", `{` + list + `}`, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"unknown field", "app", "POST", "/v1/jobs", body(nextKey(), list+`,"Size":1`), 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"unknown kind", "app", "POST", "/v1/jobs", body(nextKey(), `"Kind":"lst","Tasks":[{}]`), 422, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonUnknownKind},
		{"another body", "app", "POST", "/v1/jobs", body(completedKey, `"Kind":"list","Tasks":[{"Payload":2}]`), 409, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonConflict},
		{"key of another caller", "counter", "POST", "/v1/jobs", body(completedKey, list), 404, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"unused key of another caller", "counter", "POST", "/v1/jobs", body(unusedKey, list), 404, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"no caller", "", "POST", "/v1/jobs", body(completedKey, list), 401, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonUnauthorized},
		{"wait too long with a used key", "app", "POST", "/v1/jobs?Wait=61s", body(completedKey, list), 200, rattanjob.StateComplete, rattanjob.ExecutionRan, rattanjob.ReasonNone},
		{"wait too long with a new key", "app", "POST", "/v1/jobs?Wait=61s", body(nextKey(), list), 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"negative wait of a look-up", "app", "GET", "/v1/jobs/" + completedKey + "?Wait=-1s", "", 400, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"look-up without caller", "", "GET", "/v1/jobs/" + completedKey, "", 401, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonUnauthorized},
		{"look-up of another caller", "counter", "GET", "/v1/jobs/" + completedKey, "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"cancellation of another caller", "counter", "DELETE", "/v1/jobs/" + completedKey, "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"explanation for another caller", "counter", "GET", "/v1/jobs/" + completedKey + "/explain", "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"look-up of an unused key", "app", "GET", "/v1/jobs/" + unusedKey, "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"cancellation of an unused key", "app", "DELETE", "/v1/jobs/" + unusedKey, "", 200, rattanjob.StateCancelled, rattanjob.ExecutionNotRun, rattanjob.ReasonCancelled},
		{"submission after its cancellation", "app", "POST", "/v1/jobs", body(unusedKey, list), 200, rattanjob.StateCancelled, rattanjob.ExecutionNotRun, rattanjob.ReasonCancelled},
		{"no key in the path", "app", "GET", "/v1/jobs/zzz", "", 400, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"too many keys", "app", "POST", "/v1/keys", `{"Count":1001}`, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"unknown route", "app", "GET", "/v2/jobs", "", 404, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"wrong method", "app", "GET", "/v1/keys", "", 405, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"wrong method for a job", "app", "POST", "/v1/jobs/" + completedKey, "", 405, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"unknown route of a job", "app", "GET", "/v1/jobs/" + completedKey + "/why", "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"operator's route without operator", "app", "GET", "/v1/config", "", 401, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonUnauthorized},
	} {
		for _, address := range system.Addresses() {
			c.Run(test.name, func(c *qt.C) {
				status, answer := sendRequest(c, test.caller, test.method, "http://"+address+test.path, test.body)
				got := []any{status, answer.State, answer.Execution, answer.Reason}
				want := []any{test.status, test.state, test.execution, test.reason}
				c.Assert(got, qt.DeepEquals, want, qt.Commentf("%+v", answer))
				if test.reason != rattanjob.ReasonNone {
					c.Assert(answer.Detail, qt.Matches, ".+")
				}
			})
		}
	}
	time.Sleep(3100 * time.Millisecond)
	for key, state := range map[string]rattanjob.State{expiredKey: rattanjob.StateRefused, completedKey: rattanjob.StateComplete} {
		_, answer := sendRequest(c, "app", "POST", "http://"+system.Addresses()[0]+"/v1/jobs", body(key, list))
		c.Check(answer.State, qt.Equals, state, qt.Commentf("%+v", answer))
	}
	status, answer := sendRequest(c, "app", "POST", "http://"+system.Addresses()[1]+"/v1/jobs", body(expiredKey, list))
	c.Assert(status, qt.Equals, http.StatusGone)
	c.Assert(answer.Execution, qt.Equals, rattanjob.ExecutionNotRun)
	status, answer = sendRequest(c, "app", "GET", "http://"+system.Addresses()[1]+"/v1/jobs/"+completedKey, "")
	c.Assert(status, qt.Equals, http.StatusOK)
	var payload struct{ Item string }
	c.Assert(json.Unmarshal(answer.Results[0].Payload, &payload), qt.IsNil)
	c.Assert(payload.Item, qt.Equals, "<tiles>")
	c.Assert(system.StartLog.Starts(), qt.Equals, uint64(1))
}
