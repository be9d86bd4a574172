package rattantarget_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// startTask runs a task in the background and returns when the target has
// started it.
func startTask(c *qt.C, client *rattantarget.Client, target *rattanstandin.Target, runTime string) <-chan error {
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	c.Cleanup(cancel)
	go func() {
		_, err := client.Run(ctx, rattantarget.Dispatch{
			Address: target.Address(),
			ID:      "task",
			Payload: json.RawMessage(`{"RunTime":"` + runTime + `"}`),
			Lease:   testLease,
		})
		ended <- err
	}()
	for deadline := time.Now().Add(5 * time.Second); target.Log().Starts() == 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	return ended
}

// TestResolveOutcome guards against ErrNotStarted for a task that may have run,
// which would permit a second start, and against waiting for an outcome that
// the target can no longer report.
func TestResolveOutcome(t *testing.T) {
	tests := []struct {
		name    string
		runTime string
		// before is called after the start of the task and before its outcome is
		// resolved.
		before func(client *rattantarget.Client, target *rattanstandin.Target)
		want   error
	}{
		{name: "still running", runTime: "200ms"},
		{
			name:    "connection silent",
			runTime: "50ms",
			before: func(_ *rattantarget.Client, target *rattanstandin.Target) {
				target.SilenceConnections(rattanstandin.SilenceBoth)
			},
		},
		{
			name:    "stopped",
			runTime: "10s",
			before: func(client *rattantarget.Client, target *rattanstandin.Target) {
				_, _ = client.Stop(context.Background(), target.Address(), "task")
			},
			want: rattantarget.ErrStopped,
		},
		{
			name:    "target dead",
			runTime: "10s",
			before:  func(_ *rattantarget.Client, target *rattanstandin.Target) { target.Kill() },
			want:    rattantarget.ErrUnresolved,
		},
		{
			name:    "target restarted",
			runTime: "10s",
			before: func(_ *rattantarget.Client, target *rattanstandin.Target) {
				target.Kill()
				_ = target.Restart()
			},
			want: rattantarget.ErrUnresolved,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target := newTarget(t, rattanstandin.TargetOptions{})
			client := newClient(t, rattantarget.Options{})
			startTask(c, client, target, test.runTime)
			if test.before != nil {
				test.before(client, target)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result, err := client.ResolveOutcome(ctx, target.Address(), "task")
			c.Assert(ctx.Err(), qt.IsNil)
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				c.Assert(err, qt.Not(qt.ErrorIs), rattantarget.ErrNotStarted)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(result.ID, qt.Equals, "task")
			c.Assert(target.Log().Starts(), qt.Equals, uint64(1))
		})
	}
}

// TestResolveOutcomeOfUnknownDispatch guards against ErrNotStarted for a
// dispatch that the client did not send, so that it does not know when it was
// sent.
func TestResolveOutcomeOfUnknownDispatch(t *testing.T) {
	c := qt.New(t)
	target := newTarget(t, rattanstandin.TargetOptions{})
	client := newClient(t, rattantarget.Options{})
	_, err := client.ResolveOutcome(context.Background(), target.Address(), "task")
	c.Assert(err, qt.ErrorIs, rattantarget.ErrUnresolved)
}

// TestLateDispatchIsNotStopped guards against stopping a task that started
// between the inspection that did not find it and the request that follows.
func TestLateDispatchIsNotStopped(t *testing.T) {
	c := qt.New(t)
	target := newTarget(t, rattanstandin.TargetOptions{Slots: 1})
	client := newClient(t, rattantarget.Options{})
	var ended <-chan error
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete && ended == nil {
			ended = startTask(c, client, target, "200ms")
		}
		r.URL.Scheme, r.URL.Host, r.RequestURI = "http", target.Address(), ""
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	defer proxy.Close()
	result, err := client.ResolveOutcome(t.Context(), proxy.Listener.Addr().String(), "task")
	c.Assert(err, qt.IsNil)
	c.Assert(result.ID, qt.Equals, "task")
	c.Assert(<-ended, qt.IsNil)
}

// TestRunUnresponsiveConnections guards against dispatches that hang on a
// connection without traffic, and against a second start of a task whose
// outcome was determined on another connection.
func TestRunUnresponsiveConnections(t *testing.T) {
	const tasks = 20
	for _, silence := range []rattanstandin.Silence{rattanstandin.SilenceBoth, rattanstandin.SilenceResponses} {
		t.Run(silence.String(), func(t *testing.T) {
			c := qt.New(t)
			target := newTarget(t, rattanstandin.TargetOptions{Slots: 2 * tasks})
			client := newClient(t, rattantarget.Options{})
			runAll := func(name string) (notStarted int) {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				var mu sync.Mutex
				var running sync.WaitGroup
				for n := range tasks {
					running.Go(func() {
						_, err := client.Run(ctx, rattantarget.Dispatch{
							Address:      target.Address(),
							InspectAfter: 200 * time.Millisecond,
							ID:           fmt.Sprintf("%s-%d", name, n),
							Payload:      json.RawMessage(`{"RunTime":"50ms"}`),
							Lease:        testLease,
						})
						mu.Lock()
						defer mu.Unlock()
						if errors.Is(err, rattantarget.ErrNotStarted) {
							notStarted++
							return
						}
						c.Check(err, qt.IsNil)
					})
				}
				running.Wait()
				c.Check(ctx.Err(), qt.IsNil)
				return notStarted
			}
			c.Assert(runAll("before"), qt.Equals, 0)
			c.Assert(target.SilenceConnections(silence) > 0, qt.IsTrue)
			notStarted := runAll("silent")
			if silence == rattanstandin.SilenceResponses {
				c.Check(notStarted, qt.Equals, 0)
			} else {
				c.Check(notStarted > 0, qt.IsTrue)
			}
			c.Check(client.Counters.ResolvedByInspection.Load() >= uint64(notStarted), qt.IsTrue)
			c.Check(client.Counters.ResolvedByInspection.Load() > 0, qt.IsTrue)
			c.Check(runAll("after"), qt.Equals, 0)
			c.Check(target.Log().Starts(), qt.Equals, uint64(3*tasks-notStarted))
			c.Check(target.Log().DoubleStarts(), qt.Equals, uint64(0))
		})
	}
}

// TestRunConnectionLimit guards against more connections to a target than the
// limit, and against tasks that fail because they have to wait for a
// connection.
func TestRunConnectionLimit(t *testing.T) {
	c := qt.New(t)
	target := newTarget(t, rattanstandin.TargetOptions{Slots: 300})
	client := newClient(t, rattantarget.Options{})
	var running sync.WaitGroup
	for n := range 300 {
		running.Go(func() {
			_, err := client.Run(context.Background(), rattantarget.Dispatch{
				Address: target.Address(),
				ID:      fmt.Sprint(n),
				Payload: json.RawMessage(`{"RunTime":"10ms"}`),
				Lease:   testLease,
			})
			c.Check(err, qt.IsNil)
		})
	}
	running.Wait()
	c.Assert(client.Counters.Dials.Load() <= rattantarget.DefaultConnections, qt.IsTrue)
}

// TestRandomFaults guards against a second start of any task under random
// faults of all targets. A task is dispatched again only after ErrNotStarted.
func TestRandomFaults(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	c := qt.New(t)
	fleet, err := rattanstandin.NewTargetFleet(rattanstandin.TargetFleetOptions{Count: 5})
	c.Assert(err, qt.IsNil)
	defer fleet.Close()
	client := newClient(t, rattantarget.Options{Connections: 8})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { injectFaults(ctx, rand.New(rand.NewPCG(seed, 0)), fleet) })
	var mu sync.Mutex
	counts := map[string]int{}
	for worker := range 24 {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)+1))
			for n := 0; ctx.Err() == nil; n++ {
				outcome := runWithRetries(client, fleet, random, fmt.Sprintf("%d-%d", worker, n))
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	t.Logf("outcomes %v, resolved by inspection %d, starts %d", counts, client.Counters.ResolvedByInspection.Load(), fleet.Log().Starts())
	c.Check(fleet.Log().DoubleStartIDs(), qt.HasLen, 0)
	c.Check(counts["done"] > 0, qt.IsTrue)
}

// injectFaults changes the behaviour of a random target every few milliseconds,
// and restores all targets at the end.
func injectFaults(ctx context.Context, random *rand.Rand, fleet *rattanstandin.TargetFleet) {
	for ctx.Err() == nil {
		target := fleet.Targets[random.IntN(len(fleet.Targets))]
		switch random.IntN(6) {
		case 0:
			target.Kill()
		case 1:
			target.SilenceConnections(rattanstandin.SilenceBoth)
		case 2:
			target.SilenceConnections(rattanstandin.SilenceResponses)
		case 3:
			target.SetBehaviour(rattanstandin.Behaviour{Refuse: random.IntN(2) == 0, SlowFactor: 1 + 3*random.Float64()})
		default:
			target.SetBehaviour(rattanstandin.Behaviour{})
			_ = target.Restart()
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
	_ = fleet.Control(rattanstandin.TargetControl{Restart: true, Behaviour: &rattanstandin.Behaviour{}})
}

// runWithRetries dispatches a task until its outcome is other than "not
// started", and returns the outcome.
func runWithRetries(client *rattantarget.Client, fleet *rattanstandin.TargetFleet, random *rand.Rand, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for ctx.Err() == nil {
		address := fleet.Targets[random.IntN(len(fleet.Targets))].Address()
		_, err := client.Run(ctx, rattantarget.Dispatch{
			Address:      address,
			InspectAfter: 30 * time.Millisecond,
			ID:           id,
			Payload:      json.RawMessage(fmt.Sprintf(`{"RunTime":"%dms"}`, random.IntN(20))),
			Lease:        testLease,
		})
		if errors.Is(err, rattantarget.ErrUnresolved) {
			_, err = client.ResolveOutcome(ctx, address, id)
		}
		switch {
		case err == nil:
			return "done"
		case errors.Is(err, rattantarget.ErrNotStarted):
			time.Sleep(time.Millisecond)
		case errors.Is(err, rattantarget.ErrFailed):
			return "failed"
		default:
			return "unresolved"
		}
	}
	return "not started"
}
