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

// exchange sends a request and decodes its answer strictly.
func exchange(c *qt.C, caller, method, url, body string) (int, rattanjob.Answer) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	if caller != "" {
		request.Header.Set("Caller", caller)
	}
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	var answer rattanjob.Answer
	c.Assert(rattanjson.DecodeStrict(data, &answer), qt.IsNil, qt.Commentf("%s %s: %d %s", method, url, response.StatusCode, data))
	return response.StatusCode, answer
}

// Guards against input that is answered with something else than one answer,
// with a false statement of execution, or that starts a task; and against
// faulty requests about a job that change its answer.
func TestFaultyInput(t *testing.T) {
	c := qt.New(t)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 2,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 1, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document:       document(),
		AdjustSettings: func(settings *rattansettings.Settings) {
			settings.Home.KeyLifetime = rattanjson.Duration(3 * time.Second)
		},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	issued, err := client.Keys(context.Background(), 20)
	c.Assert(err, qt.IsNil)
	unused := func() string {
		key := issued[0].String()
		issued = issued[1:]
		return key
	}
	body := func(key, rest string) string { return `{"Key":"` + key + `",` + rest + `}` }
	const list = `"Kind":"list","Tasks":[{"Payload":{"Item": "<tiles>"}}]`
	late, done, fresh := unused(), unused(), unused()
	for i, address := range []string{system.Addresses()[0], system.Addresses()[1], system.Addresses()[0]} {
		// The spaces and the mark < are encoded otherwise on the way from the
		// front that is not the home.
		status, answer := exchange(c, "app", "POST", "http://"+address+"/v1/jobs", body(done, list))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("submission %d: %+v", i, answer))
	}
	for _, test := range []struct {
		name, caller, method, path, body string

		status    int
		state     rattanjob.State
		execution rattanjob.Execution
		reason    rattanjob.Reason
	}{
		{"body too large", "app", "POST", "/v1/jobs", body(unused(), list) + strings.Repeat(" ", rattanjob.MaxBodySize), 413, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonBodyTooLarge},
		{"body of keys too large", "app", "POST", "/v1/keys", strings.Repeat(" ", rattanjob.MaxBodySize+1), 413, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonBodyTooLarge},
		{"malformed", "app", "POST", "/v1/jobs", `{"Key"`, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"malformed after a used key", "app", "POST", "/v1/jobs", body(done, `"Kind":3`), 409, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonConflict},
		{"malformed after a new key", "app", "POST", "/v1/jobs", body(unused(), `"Kind":3`), 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"empty", "app", "POST", "/v1/jobs", ``, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"no key", "app", "POST", "/v1/jobs", `{` + list + `}`, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"unknown field", "app", "POST", "/v1/jobs", body(unused(), list+`,"Size":1`), 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"unknown kind", "app", "POST", "/v1/jobs", body(unused(), `"Kind":"lst","Tasks":[{}]`), 422, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonUnknownKind},
		{"another body", "app", "POST", "/v1/jobs", body(done, `"Kind":"list","Tasks":[{"Payload":2}]`), 409, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonConflict},
		{"key of another caller", "counter", "POST", "/v1/jobs", body(done, list), 404, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"unused key of another caller", "counter", "POST", "/v1/jobs", body(fresh, list), 404, rattanjob.StateRefused, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"no caller", "", "POST", "/v1/jobs", body(done, list), 401, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonUnauthorized},
		{"wait too long with a used key", "app", "POST", "/v1/jobs?Wait=61s", body(done, list), 200, rattanjob.StateComplete, rattanjob.ExecutionRan, rattanjob.ReasonNone},
		{"wait too long with a new key", "app", "POST", "/v1/jobs?Wait=61s", body(unused(), list), 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"negative wait of a look-up", "app", "GET", "/v1/jobs/" + done + "?Wait=-1s", "", 400, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"look-up without caller", "", "GET", "/v1/jobs/" + done, "", 401, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonUnauthorized},
		{"look-up of another caller", "counter", "GET", "/v1/jobs/" + done, "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"cancellation of another caller", "counter", "DELETE", "/v1/jobs/" + done, "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"explanation for another caller", "counter", "GET", "/v1/jobs/" + done + "/explain", "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"look-up of an unused key", "app", "GET", "/v1/jobs/" + fresh, "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonKeyUnknown},
		{"cancellation of an unused key", "app", "DELETE", "/v1/jobs/" + fresh, "", 200, rattanjob.StateCancelled, rattanjob.ExecutionNotRun, rattanjob.ReasonCancelled},
		{"submission after its cancellation", "app", "POST", "/v1/jobs", body(fresh, list), 200, rattanjob.StateCancelled, rattanjob.ExecutionNotRun, rattanjob.ReasonCancelled},
		{"no key in the path", "app", "GET", "/v1/jobs/zzz", "", 400, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"too many keys", "app", "POST", "/v1/keys", `{"Count":1001}`, 400, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"unknown route", "app", "GET", "/v2/jobs", "", 404, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"wrong method", "app", "GET", "/v1/keys", "", 405, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonInvalid},
		{"wrong method for a job", "app", "POST", "/v1/jobs/" + done, "", 405, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"unknown route of a job", "app", "GET", "/v1/jobs/" + done + "/why", "", 404, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonInvalid},
		{"operator's route without operator", "app", "GET", "/v1/config", "", 401, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonUnauthorized},
	} {
		for _, address := range system.Addresses() {
			c.Run(test.name, func(c *qt.C) {
				status, answer := exchange(c, test.caller, test.method, "http://"+address+test.path, test.body)
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
	for key, state := range map[string]rattanjob.State{late: rattanjob.StateRefused, done: rattanjob.StateComplete} {
		_, answer := exchange(c, "app", "POST", "http://"+system.Addresses()[0]+"/v1/jobs", body(key, list))
		c.Check(answer.State, qt.Equals, state, qt.Commentf("%+v", answer))
	}
	status, answer := exchange(c, "app", "POST", "http://"+system.Addresses()[1]+"/v1/jobs", body(late, list))
	c.Assert(status, qt.Equals, http.StatusGone)
	c.Assert(answer.Execution, qt.Equals, rattanjob.ExecutionNotRun)
	status, answer = exchange(c, "app", "GET", "http://"+system.Addresses()[1]+"/v1/jobs/"+done, "")
	c.Assert(status, qt.Equals, http.StatusOK)
	var payload struct{ Item string }
	c.Assert(json.Unmarshal(answer.Results[0].Payload, &payload), qt.IsNil)
	c.Assert(payload.Item, qt.Equals, "<tiles>")
	c.Assert(system.Log.Starts(), qt.Equals, uint64(1))
}
