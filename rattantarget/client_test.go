package rattantarget_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattantarget"
)

const testLease = rattanjson.Duration(10 * time.Second)

func newTarget(tb testing.TB, options rattanstandin.TargetOptions) *rattanstandin.Target {
	tb.Helper()
	target, err := rattanstandin.NewTarget(options)
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(target.Close)
	return target
}

func newClient(tb testing.TB, options rattantarget.Options) *rattantarget.Client {
	tb.Helper()
	client := rattantarget.New(options)
	tb.Cleanup(client.Close)
	return client
}

// TestRun guards against a payload or result that is lost or altered between
// client and target.
func TestRun(t *testing.T) {
	c := qt.New(t)
	target := newTarget(t, rattanstandin.TargetOptions{Echo: true})
	client := newClient(t, rattantarget.Options{})
	result, err := client.Run(context.Background(), rattantarget.Dispatch{
		Address: target.Address(),
		ID:      "a",
		Payload: json.RawMessage(`{"RunTime":"20ms","Text":"<é>"}`),
		Lease:   testLease,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(result.ID, qt.Equals, "a")
	c.Assert(string(result.Payload), qt.JSONEquals, map[string]string{"RunTime": "20ms", "Text": "<é>"})
	c.Assert(target.Log().Starts(), qt.Equals, uint64(1))
}
