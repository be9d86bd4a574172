package rattanentry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// Guards I1 and I4 when the ledger is full: a home that has to drop records for
// lack of room keeps within its bounds, starts no task of a key for which it
// has said "not run", and starts no key twice, however often and in whatever
// order the keys come again.
func TestRefusalsStayTrueWhenLedgerIsFull(t *testing.T) {
	const (
		maxRecords = 200
		maxBytes   = 4_000
		jobs       = 3_000
		rounds     = 3
	)
	c := qt.New(t)
	home := newHomeUnderTest(c)
	close(home.runner.released)
	settings := rattansettings.Default().Home
	settings.MaxRecords, settings.MaxAnswerBytes = maxRecords, maxBytes
	opened := time.Now()
	home.mutex.Lock()
	home.config.Ledger = newLedger(settings)
	home.config.Ledger.OpenEpoch(opened, home.epoch, opened)
	home.mutex.Unlock()

	starts := &countingRunner{TaskRunner: home.runner, starts: map[string]int{}}
	home.mutex.Lock()
	home.config.Runner = starts
	home.mutex.Unlock()

	keys := make([]rattanjob.Key, jobs)
	notRun := make([]bool, jobs)
	outcomes := map[string]int{}
	ask := func(i int) {
		key := keys[i]
		kind := "list"
		if i%3 == 1 {
			kind = "unknown"
		}
		sent := &rattanjob.Submission{Key: key, Kind: kind, Tasks: []rattanjob.Task{{Payload: json.RawMessage(`"0123456789"`)}}}
		var answer rattanjob.Answer
		if i%3 == 2 && starts.count(key) == 0 && !notRun[i] {
			answer = home.Cancel("app", key)
		} else {
			answer = home.Submit(context.Background(), "app", sent, nil, 5*time.Second)
		}
		outcomes[fmt.Sprintf("%v/%v/%v", answer.State, answer.Execution, answer.Reason)]++
		if answer.State.Final() && answer.Execution == rattanjob.ExecutionNotRun {
			c.Assert(starts.count(key), qt.Equals, 0, qt.Commentf("%+v", answer))
			notRun[i] = true
		}
		counters := home.LedgerCounters()
		c.Assert(counters.Records <= maxRecords, qt.IsTrue, qt.Commentf("%+v", counters))
		c.Assert(counters.AnswerBytes <= maxBytes, qt.IsTrue, qt.Commentf("%+v", counters))
	}
	for i := range keys {
		keys[i] = rattanjob.Key{Epoch: home.epoch, CallerHash: rattanjob.HashCaller("app"), IssuedAt: time.Since(opened)}
		keys[i].Nonce[0], keys[i].Nonce[1] = byte(i), byte(i>>8)
		ask(i)
		// An earlier key comes again while it may have been dropped already.
		ask(i / 2)
	}
	for range rounds {
		for i := range keys {
			ask(i)
		}
	}
	counters := home.LedgerCounters()
	refused := 0
	for i, key := range keys {
		if notRun[i] {
			refused++
			c.Check(starts.count(key), qt.Equals, 0)
		}
		c.Check(starts.count(key) <= 1, qt.IsTrue, qt.Commentf("started %d times", starts.count(key)))
	}
	c.Logf("%d keys, %d told \"not run\", %v, %+v", jobs, refused, outcomes, counters)
	c.Check(counters.RecordsDroppedEarly > jobs/2, qt.IsTrue)
	c.Check(refused > jobs/2, qt.IsTrue)
}

// Guards I4 and the bound when nothing can be dropped: submissions beyond the
// bound are not started, and a key that was told so stays refused when there is
// room again.
func TestLedgerFullOfRunningJobs(t *testing.T) {
	const maxRecords = 50
	c := qt.New(t)
	home := newHomeUnderTest(c)
	settings := rattansettings.Default().Home
	settings.MaxRecords = maxRecords
	opened := time.Now()
	home.mutex.Lock()
	home.config.Ledger = newLedger(settings)
	home.config.Ledger.OpenEpoch(opened, home.epoch, opened)
	home.mutex.Unlock()
	starts := &countingRunner{TaskRunner: home.runner, starts: map[string]int{}}
	home.mutex.Lock()
	home.config.Runner = starts
	home.mutex.Unlock()
	keys := make([]rattanjob.Key, 2*maxRecords)
	for i := range keys {
		keys[i] = home.key()
		keys[i].IssuedAt = time.Duration(i) * time.Millisecond
		answer := home.submit(keys[i], 0)
		if i < maxRecords {
			c.Assert(answer.State, qt.Equals, rattanjob.StateRunning, qt.Commentf("%+v", answer))
			continue
		}
		c.Assert(answer.State, qt.Equals, rattanjob.StateUnknown, qt.Commentf("%+v", answer))
	}
	close(home.runner.released)
	for _, key := range keys[:maxRecords] {
		answer := home.submit(key, 5*time.Second)
		c.Assert(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	}
	for _, key := range keys[maxRecords:] {
		answer := home.submit(key, 5*time.Second)
		c.Check(answer.State, qt.Equals, rattanjob.StateRefused, qt.Commentf("%+v", answer))
		c.Check(answer.Execution, qt.Equals, rattanjob.ExecutionNotRun)
		c.Check(starts.count(key), qt.Equals, 0)
	}
	c.Check(home.LedgerCounters().Records <= maxRecords, qt.IsTrue)
}

// countingRunner counts the starts of each submission.
type countingRunner struct {
	TaskRunner
	mutex  sync.Mutex
	starts map[string]int
}

func (r *countingRunner) Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	id, err := rattanjob.ParseTaskID(dispatch.ID)
	if err != nil {
		return rattantarget.Result{}, err
	}
	r.mutex.Lock()
	r.starts[id.Submission]++
	r.mutex.Unlock()
	return r.TaskRunner.Run(ctx, dispatch)
}

func (r *countingRunner) count(key rattanjob.Key) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.starts[key.ID()]
}
