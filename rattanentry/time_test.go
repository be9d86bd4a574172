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

// blockWait is the time after which a request that was sent to a locked home
// has reached the lock.
const blockWait = 20 * time.Millisecond

// lapsingAuthority holds every epoch until a time.
type lapsingAuthority struct {
	until time.Time
}

func (a *lapsingAuthority) EpochValid(now time.Time, _ rattanjob.EpochID) bool {
	return now.Before(a.until)
}

// frontUnderTest is a front in the instance of a home. The home remembers keys
// and their records for short times.
type frontUnderTest struct {
	*Front
	home *homeUnderTest
}

func newFrontUnderTest(c *qt.C, lifetime, retention time.Duration) *frontUnderTest {
	home := newHomeUnderTest(c)
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
	front := NewFront(FrontConfig{Instance: home.epoch.Home.Instance, Incarnation: home.epoch.Home.Number, Home: home.Home, Metrics: rattanmetric.New()})
	return &frontUnderTest{Front: front, home: home}
}

func (f *frontUnderTest) submission(key rattanjob.Key) *forwarded {
	return &forwarded{
		Caller:     "app",
		Key:        key,
		Wait:       rattanjson.Duration(time.Second),
		Submission: &rattanjob.Submission{Key: key, Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(`1`)}}},
	}
}

// delayed sends a request while the home is locked, and unlocks it after hold
// and meanwhile.
func (f *frontUnderTest) delayed(hold time.Duration, meanwhile func(), request func() rattanjob.Answer) rattanjob.Answer {
	answers := make(chan rattanjob.Answer, 1)
	f.home.mutex.Lock()
	go func() { answers <- request() }()
	time.Sleep(blockWait + hold)
	meanwhile()
	f.home.mutex.Unlock()
	return <-answers
}

// Guards I4 against a submission that is held up on its way to the lock of the
// home: it must not start after a status request was answered with "not run",
// because its key has expired meanwhile.
func TestDelayedSubmissionOfExpiredKey(t *testing.T) {
	c := qt.New(t)
	front := newFrontUnderTest(c, 200*time.Millisecond, time.Minute)
	key := front.home.key()
	answer := front.delayed(250*time.Millisecond, func() {
		said, verdict := front.home.config.Ledger.Lookup(time.Now(), key, "app")
		c.Check(front.home.answerFor(said, verdict, key).Execution, qt.Equals, rattanjob.ExecutionNotRun)
	}, func() rattanjob.Answer {
		return front.submitHere(context.Background(), front.submission(key))
	})
	c.Check(answer.Execution, qt.Equals, rattanjob.ExecutionNotRun, qt.Commentf("%+v", answer))
	c.Check(front.home.runner.starts.Load(), qt.Equals, int64(0))
}

// Guards I1 against a resubmission that is held up on its way to the lock of
// the home until the record of its key is past retention.
func TestDelayedResubmissionOfForgottenKey(t *testing.T) {
	c := qt.New(t)
	front := newFrontUnderTest(c, 200*time.Millisecond, 200*time.Millisecond)
	key := front.home.key()
	first := front.submitHere(context.Background(), front.submission(key))
	c.Assert(first.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", first))
	answer := front.delayed(500*time.Millisecond, func() {
		front.home.config.Ledger.Sweep(time.Now())
	}, func() rattanjob.Answer {
		return front.submitHere(context.Background(), front.submission(key))
	})
	c.Check(answer.Execution, qt.Equals, rattanjob.ExecutionMayHaveRun, qt.Commentf("%+v", answer))
	c.Check(front.home.runner.starts.Load(), qt.Equals, int64(1))
}

// Guards against an answer of a home whose epoch has lapsed while the request
// waited for the home's lock: callers may have been told HomeLost meanwhile.
func TestDelayedRequestsAfterLapse(t *testing.T) {
	for _, test := range []struct {
		name    string
		request func(front *frontUnderTest, key rattanjob.Key) rattanjob.Answer
	}{
		{"submit", func(front *frontUnderTest, key rattanjob.Key) rattanjob.Answer {
			return front.submitHere(context.Background(), front.submission(key))
		}},
		{"status", func(front *frontUnderTest, key rattanjob.Key) rattanjob.Answer {
			return front.statusHere(context.Background(), &forwarded{Caller: "app", Key: key})
		}},
		{"cancel", func(front *frontUnderTest, key rattanjob.Key) rattanjob.Answer {
			return front.cancelHere(context.Background(), &forwarded{Caller: "app", Key: key})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			front := newFrontUnderTest(c, 0, 0)
			key := front.home.key()
			first := front.submitHere(context.Background(), front.submission(key))
			c.Assert(first.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", first))
			front.home.mutex.Lock()
			front.home.config.Authority = &lapsingAuthority{until: time.Now().Add(200 * time.Millisecond)}
			front.home.mutex.Unlock()
			answer := front.delayed(300*time.Millisecond, func() {}, func() rattanjob.Answer { return test.request(front, key) })
			c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v", answer))
		})
	}
}

// Guards against a final refusal of a key whose epoch is valid but not open at
// the home yet: the caller is told to ask again, and the same key runs then.
func TestSubmissionBeforeEpochOpens(t *testing.T) {
	c := qt.New(t)
	front := newFrontUnderTest(c, 0, 0)
	key := front.home.key()
	key.Epoch.Number++
	early := front.submitHere(context.Background(), front.submission(key))
	c.Check(early.State, qt.Equals, rattanjob.StateUnknown, qt.Commentf("%+v", early))
	c.Check(early.RetryAfter > 0, qt.IsTrue)
	c.Check(early.Key, qt.Equals, key.String())
	front.home.OpenEpoch(time.Now(), key.Epoch, time.Now())
	answer := front.submitHere(context.Background(), front.submission(key))
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
}
