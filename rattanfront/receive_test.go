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
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// countingHome counts the jobs that reach it.
type countingHome struct {
	*fakeZones
	submitted int
}

func (h *countingHome) Submit(context.Context, *rattanhome.Request) (rattanhome.Reply, error) {
	h.submitted++
	return rattanhome.Reply{Result: rattanscheduler.JobResult{Outcome: rattanscheduler.Succeeded}}, nil
}

// TestBytesAreReturned guards against bytes that stay counted after a request, on any
// path, and against a refused job that reaches a home or gets no Retry-After.
func TestBytesAreReturned(t *testing.T) {
	const job = `{"best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
	tests := map[string]struct {
		budget    int64
		method    string
		path      string
		body      string
		pending   bool
		status    int
		submitted int
	}{
		"served":            {budget: 1 << 20, body: job, status: http.StatusOK, submitted: 1},
		"malformed":         {budget: 1 << 20, body: "{", status: http.StatusBadRequest},
		"not supported":     {budget: 1 << 20, body: `{"steps":[{"count":1}]}`, status: http.StatusServiceUnavailable},
		"too large":         {budget: 1 << 20, body: strings.Repeat(" ", defaultMaxBody+1), status: http.StatusRequestEntityTooLarge},
		"no room for body":  {budget: 50, body: job, status: http.StatusServiceUnavailable},
		"no room for job":   {budget: 200, body: job, status: http.StatusServiceUnavailable},
		"job is known here": {budget: 50, body: job, pending: true, status: http.StatusGatewayTimeout},
		"no route":          {budget: 1 << 20, path: "/other/00000000000000aa", body: job, status: http.StatusNotFound},
		"other method":      {budget: 1 << 20, method: http.MethodGet, body: job, status: http.StatusGone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			home := &countingHome{fakeZones: &fakeZones{now: time.Now(), changed: make(chan struct{})}}
			handler := newHandler(home)
			budget := rattanlimit.NewBudget(test.budget, 0)
			handler.config.Bodies = rattanlimit.NewBodies(budget, nil, home.clock)
			if test.pending {
				handler.pending["00000000000000aa"] = nil
			}
			if test.path == "" {
				test.path = "/q/00000000000000aa"
			}
			if test.method == "" {
				test.method = http.MethodPost
			}
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			request.Host = "h"
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			c.Check(recorder.Code, qt.Equals, test.status, qt.Commentf("%s", recorder.Body))
			c.Check(home.submitted, qt.Equals, test.submitted)
			c.Check(budget.Held(), qt.Equals, int64(0))
			if test.status == http.StatusServiceUnavailable {
				c.Check(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}
