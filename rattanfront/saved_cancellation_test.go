package rattanfront

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
)

// savingZones are zones whose local home saves nothing while blocked is open.
type savingZones struct {
	*cancelZones
	blocked chan struct{}
}

func (z savingZones) SaveCancellation(ctx context.Context, _ rattanhome.CallerCancellation) error {
	select {
	case <-z.blocked:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestCancelIsSavedBeforeItsAnswer guards against an answer about a known job before
// it is saved, against one that waits for that although nobody knows the job, and
// against a cancellation that is not saved because one home cannot save it.
func TestCancelIsSavedBeforeItsAnswer(t *testing.T) {
	tests := map[string]struct {
		local      rattanhome.CancellationReply
		blocked    time.Duration
		min, max   time.Duration
		remoteCall bool
	}{
		"ended":               {local: ended, blocked: 300 * time.Millisecond, min: 300 * time.Millisecond, max: saveCallTimeout},
		"unknown":             {local: confirmed, blocked: 300 * time.Millisecond, max: 200 * time.Millisecond},
		"home saves nothing":  {local: ended, blocked: time.Minute, min: saveCallTimeout, max: saveTimeout, remoteCall: true},
		"nothing to wait for": {local: ended, max: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			zones := savingZones{newCancelZones(test.local, confirmed), make(chan struct{})}
			time.AfterFunc(test.blocked, func() { close(zones.blocked) })
			handler := zones.handler()
			handler.config.LocalHome = zones
			sentAt := time.Now()
			request(handler, http.MethodDelete, "/q/"+testJobID)
			elapsed := time.Since(sentAt)
			c.Check(elapsed >= test.min && elapsed <= test.max, qt.IsTrue, qt.Commentf("%v", elapsed))
			zones.mutex.Lock()
			defer zones.mutex.Unlock()
			c.Check(slices.Contains(zones.calls, rattanhome.MethodSaveCancellation+" remote"), qt.Equals, test.remoteCall, qt.Commentf("%s", zones.calls))
		})
	}
}
