package rattanentry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// fakeAuthority considers every epoch valid until it is revoked.
type fakeAuthority struct {
	revoked atomic.Bool
}

func (a *fakeAuthority) EpochValid(time.Time, rattanjob.EpochID) bool { return !a.revoked.Load() }

// fakeDocuments always returns the same document.
type fakeDocuments struct{}

func (fakeDocuments) Document() *rattanconfig.Document {
	return &rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{"planner": {}},
		JobKinds: map[string]rattanconfig.JobKind{"list": {Service: "planner", MaxTasks: 250, RunTime: rattanjson.Duration(time.Millisecond), Deadline: rattanjson.Duration(5 * time.Second)}},
		Callers:  map[string]rattanconfig.Caller{"app": {Weight: 1}},
	}
}

// fakeRunner counts the started tasks and ends them when released is closed.
type fakeRunner struct {
	starts   atomic.Int64
	released chan struct{}
}

func (r *fakeRunner) Run(_ context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	r.starts.Add(1)
	<-r.released
	return rattantarget.Result{ID: dispatch.ID, Payload: dispatch.Payload}, nil
}

func (*fakeRunner) ResolveOutcome(context.Context, string, string) (rattantarget.Result, error) {
	return rattantarget.Result{}, rattantarget.ErrUnresolved
}

func (*fakeRunner) Stop(context.Context, string, string) (rattantarget.StopResult, error) {
	return rattantarget.StopResult{}, nil
}

// testHome is a home with one epoch and one target.
type testHome struct {
	*Home
	authority *fakeAuthority
	runner    *fakeRunner
	epoch     rattanjob.EpochID
	lastKey   byte
}

func newTestHome(c *qt.C) *testHome {
	home := &testHome{
		authority: &fakeAuthority{},
		runner:    &fakeRunner{released: make(chan struct{})},
		epoch:     rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1},
	}
	home.Home = NewHome(HomeConfig{
		Scheduler:    rattanpool.New(rattanpool.Config{}),
		Ledger:       newLedger(rattansettings.Default().Home),
		Runner:       home.runner,
		Authority:    home.authority,
		Documents:    fakeDocuments{},
		Metrics:      rattanmetric.New(),
		DrainTimeout: time.Second,
	})
	now := time.Now()
	home.OpenEpoch(now, home.epoch, now)
	home.SetCallers(now, []rattanpool.Caller{{Name: "app", Weight: 1}})
	home.SetTargets(now, []rattanpool.Target{{Name: "t", Service: "planner", Slots: 8}}, map[string]string{"t": "127.0.0.1:1"})
	c.Assert(home.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { _ = home.Stop(context.Background()) })
	return home
}

func (h *testHome) newKey() rattanjob.Key {
	h.lastKey++
	key := rattanjob.Key{Epoch: h.epoch, CallerHash: rattanjob.HashCaller("app")}
	key.Nonce[0] = h.lastKey
	return key
}

func (h *testHome) submit(key rattanjob.Key, wait time.Duration) rattanjob.Answer {
	submission := &rattanjob.Submission{Key: key, Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(`1`)}}}
	return h.Submit(context.Background(), "app", submission, nil, wait)
}

// TestCancelBeforeSubmission guards against starting a job after its caller was
// told that it was cancelled and not run. This happens when the submission is
// delayed and arrives after the cancellation.
func TestCancelBeforeSubmission(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c)
	close(home.runner.released)
	key := home.newKey()
	cancelled := home.Cancel("app", key)
	c.Assert(cancelled.State, qt.Equals, rattanjob.StateCancelled)
	c.Assert(cancelled.Execution, qt.Equals, rattanjob.ExecutionNotRun)
	c.Assert(cancelled.Key, qt.Equals, key.String())
	answer := home.submit(key, time.Second)
	c.Assert(answer.State, qt.Equals, rattanjob.StateCancelled)
	c.Assert(answer.Execution, qt.Equals, rattanjob.ExecutionNotRun)
	c.Assert(home.runner.starts.Load(), qt.Equals, int64(0))
}

// TestCancelWithoutAuthority guards against a home that is paused and, after it
// resumes, answers a cancellation although its epoch was declared ended in the
// meantime.
func TestCancelWithoutAuthority(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c)
	running, absent := home.newKey(), home.newKey()
	c.Assert(home.submit(running, 0).State, qt.Equals, rattanjob.StateRunning)
	home.authority.revoked.Store(true)
	for _, key := range []rattanjob.Key{running, absent} {
		answer := home.Cancel("app", key)
		c.Assert(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost)
		c.Assert(answer.Execution, qt.Equals, rattanjob.ExecutionMayHaveRun)
		c.Assert(answer.Key, qt.Equals, key.String())
	}
	close(home.runner.released)
}

// TestAnswersContainRequestedKey guards against answers that a frontend cannot
// match to its request. Every answer of a home must contain the requested key.
func TestAnswersContainRequestedKey(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c)
	running := home.newKey()
	c.Assert(home.submit(running, 0).Key, qt.Equals, running.String())
	other := &rattanjob.Submission{Key: running, Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(`2`)}}}
	c.Assert(home.Submit(context.Background(), "app", other, nil, 0).Key, qt.Equals, running.String())
	c.Assert(home.Status(context.Background(), "other", running, 0).Key, qt.Equals, running.String())
	c.Assert(home.Status(context.Background(), "app", running, 0).Key, qt.Equals, running.String())
	absent := home.newKey()
	c.Assert(home.Status(context.Background(), "app", absent, 0).Key, qt.Equals, absent.String())
	close(home.runner.released)
	c.Assert(home.submit(running, 5*time.Second).Key, qt.Equals, running.String())
}

// TestCheckDetectsForgetfulLedger guards against a check of resubmissions in
// rattancheck that does not report a home whose ledger has lost its records, or
// that reports a home whose ledger is intact.
func TestCheckDetectsForgetfulLedger(t *testing.T) {
	for _, forgetful := range []bool{false, true} {
		t.Run("forgetful="+strconv.FormatBool(forgetful), func(t *testing.T) {
			c := qt.New(t)
			home := newTestHome(c)
			close(home.runner.released)
			history := rattancheck.NewHistory()
			key := home.newKey()
			submission := &rattanjob.Submission{Key: key, Kind: "list", Tasks: []rattanjob.Task{{Payload: json.RawMessage(`1`)}}}
			history.Submitted(*submission)
			request := func(operation rattancheck.Operation, send func() rattanjob.Answer) {
				checked := rattancheck.Request{Operation: operation, Key: key, SentAt: time.Now(), Answered: true}
				if operation == rattancheck.OperationSubmit {
					checked.BodyDigest = submission.Digest()
				}
				checked.Answer = send()
				checked.ReceivedAt = time.Now()
				history.Requested(checked)
			}
			submit := func() rattanjob.Answer { return home.submit(key, time.Second) }
			request(rattancheck.OperationSubmit, submit)
			if forgetful {
				home.mutex.Lock()
				home.config.Ledger = newLedger(rattansettings.Default().Home)
				home.config.Ledger.OpenEpoch(time.Now(), home.epoch, time.Now())
				home.mutex.Unlock()
			}
			request(rattancheck.OperationStatus, func() rattanjob.Answer {
				return home.Status(context.Background(), "app", key, 0)
			})
			request(rattancheck.OperationSubmit, submit)
			task := rattanjob.TaskID{Submission: key.ID(), Attempt: 1}
			violations := history.Check(map[string]int{task.String(): int(home.runner.starts.Load())})
			var found []rattancheck.Invariant
			for _, violation := range violations {
				found = append(found, violation.Invariant)
			}
			if !forgetful {
				c.Assert(found, qt.HasLen, 0)
				return
			}
			c.Assert(found, qt.ContentEquals, []rattancheck.Invariant{rattancheck.InvariantSingleStart, rattancheck.InvariantLinearizable})
		})
	}
}
