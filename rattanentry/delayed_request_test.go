package rattanentry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattansettings"
)

// lockWait is long enough for a request to a locked home to begin to wait for
// the lock.
const lockWait = 20 * time.Millisecond

// expiringAuthority considers every epoch valid until the expiry.
type expiringAuthority struct {
	expiry time.Time
}

func (a *expiringAuthority) EpochValid(now time.Time, _ rattanjob.EpochID) bool {
	return now.Before(a.expiry)
}

// testFrontend is a frontend in the instance of a test home, whose ledger may
// have a short key lifetime and retention.
type testFrontend struct {
	*Frontend
	home *testHome
}

func newTestFrontend(c *qt.C, lifetime, retention time.Duration) *testFrontend {
	home := newTestHome(c)
	close(home.runner.released)
	settings := rattansettings.Default().Home
	ledger := newLedger(settings)
	if lifetime > 0 {
		settings.KeyLifetime, settings.Retention = rattanjson.Duration(lifetime), rattanjson.Duration(retention)
		ledger = newLedger(settings)
	}
	now := time.Now()
	ledger.OpenEpoch(now, home.epoch, now)
	home.mutex.Lock()
	home.config.Ledger = ledger
	home.mutex.Unlock()
	frontend := NewFrontend(FrontendConfig{Instance: home.epoch.Home.Instance, Incarnation: home.epoch.Home.Number, Home: home.Home, Metrics: rattanmetric.New()})
	return &testFrontend{Frontend: frontend, home: home}
}

func (f *testFrontend) newRequest(key rattanjob.Key) *forwardedRequest {
	return &forwardedRequest{
		Caller:     "app",
		Key:        key,
		Wait:       rattanjson.Duration(time.Second),
		Submission: &rattanjob.Submission{Key: key, Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(`1`)}}},
	}
}

// requestWhileLocked sends a request while the home is locked. It unlocks the
// home after lockWait, the extra time and a call of meanwhile, and returns the
// answer.
func (f *testFrontend) requestWhileLocked(extra time.Duration, meanwhile func(), request func() rattanjob.Answer) rattanjob.Answer {
	answers := make(chan rattanjob.Answer, 1)
	f.home.mutex.Lock()
	go func() { answers <- request() }()
	time.Sleep(lockWait + extra)
	meanwhile()
	f.home.mutex.Unlock()
	return <-answers
}

// TestDelayedSubmissionOfExpiredKey guards against starting a job after its
// caller was told that it was not run. The submission waits for the lock of the
// home while its key expires and a status request is answered with "not run".
func TestDelayedSubmissionOfExpiredKey(t *testing.T) {
	c := qt.New(t)
	frontend := newTestFrontend(c, 200*time.Millisecond, time.Minute)
	key := frontend.home.newKey()
	answer := frontend.requestWhileLocked(250*time.Millisecond, func() {
		ledgerAnswer, verdict := frontend.home.config.Ledger.Lookup(time.Now(), key, "app")
		c.Check(frontend.home.verdictAnswer(ledgerAnswer, verdict, key).Execution, qt.Equals, rattanjob.ExecutionNotRun)
	}, func() rattanjob.Answer {
		return frontend.submitLocal(context.Background(), frontend.newRequest(key))
	})
	c.Check(answer.Execution, qt.Equals, rattanjob.ExecutionNotRun, qt.Commentf("%+v", answer))
	c.Check(frontend.home.runner.starts.Load(), qt.Equals, int64(0))
}

// TestDelayedResubmissionOfForgottenKey guards against starting a submission
// twice. The resubmission waits for the lock of the home until the record of
// its key has been dropped.
func TestDelayedResubmissionOfForgottenKey(t *testing.T) {
	c := qt.New(t)
	frontend := newTestFrontend(c, 200*time.Millisecond, 200*time.Millisecond)
	key := frontend.home.newKey()
	first := frontend.submitLocal(context.Background(), frontend.newRequest(key))
	c.Assert(first.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", first))
	answer := frontend.requestWhileLocked(500*time.Millisecond, func() {
		frontend.home.config.Ledger.Sweep(time.Now())
	}, func() rattanjob.Answer {
		return frontend.submitLocal(context.Background(), frontend.newRequest(key))
	})
	c.Check(answer.Execution, qt.Equals, rattanjob.ExecutionMayHaveRun, qt.Commentf("%+v", answer))
	c.Check(frontend.home.runner.starts.Load(), qt.Equals, int64(1))
}

// TestDelayedRequestsAfterEpochExpiry guards against answers of a home whose
// epoch became invalid while the request waited for the home's lock. Callers
// may have been told HomeLost in the meantime.
func TestDelayedRequestsAfterEpochExpiry(t *testing.T) {
	for _, test := range []struct {
		name    string
		request func(frontend *testFrontend, key rattanjob.Key) rattanjob.Answer
	}{
		{"submit", func(frontend *testFrontend, key rattanjob.Key) rattanjob.Answer {
			return frontend.submitLocal(context.Background(), frontend.newRequest(key))
		}},
		{"status", func(frontend *testFrontend, key rattanjob.Key) rattanjob.Answer {
			return frontend.statusLocal(context.Background(), &forwardedRequest{Caller: "app", Key: key})
		}},
		{"cancel", func(frontend *testFrontend, key rattanjob.Key) rattanjob.Answer {
			return frontend.cancelLocal(context.Background(), &forwardedRequest{Caller: "app", Key: key})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			frontend := newTestFrontend(c, 0, 0)
			key := frontend.home.newKey()
			first := frontend.submitLocal(context.Background(), frontend.newRequest(key))
			c.Assert(first.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", first))
			frontend.home.mutex.Lock()
			frontend.home.config.Authority = &expiringAuthority{expiry: time.Now().Add(200 * time.Millisecond)}
			frontend.home.mutex.Unlock()
			answer := frontend.requestWhileLocked(300*time.Millisecond, func() {}, func() rattanjob.Answer { return test.request(frontend, key) })
			c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v", answer))
		})
	}
}

// TestSubmissionBeforeEpochOpens guards against a final refusal of a key whose
// epoch is valid but not yet open at the home. The caller must be told to ask
// again, and the key must be accepted after the epoch opens.
func TestSubmissionBeforeEpochOpens(t *testing.T) {
	c := qt.New(t)
	frontend := newTestFrontend(c, 0, 0)
	key := frontend.home.newKey()
	key.Epoch.Number++
	early := frontend.submitLocal(context.Background(), frontend.newRequest(key))
	c.Check(early.State, qt.Equals, rattanjob.StateUnknown, qt.Commentf("%+v", early))
	c.Check(early.RetryAfter > 0, qt.IsTrue)
	c.Check(early.Key, qt.Equals, key.String())
	frontend.home.OpenEpoch(time.Now(), key.Epoch, time.Now())
	answer := frontend.submitLocal(context.Background(), frontend.newRequest(key))
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
}
