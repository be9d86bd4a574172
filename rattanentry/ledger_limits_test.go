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

// TestNoStartAfterNotRunAnswerWithFullLedger guards against violations of two
// invariants while the ledger is full: no task of a submission starts twice,
// and none starts after the caller was told that the submission was not run. A
// full ledger drops records early. The home must stay within the limits of the
// ledger and preserve both invariants, however often and in whatever order the
// keys are sent again.
func TestNoStartAfterNotRunAnswerWithFullLedger(t *testing.T) {
	const (
		maxRecords = 200
		maxBytes   = 4_000
		jobs       = 3_000
		rounds     = 3
	)
	c := qt.New(t)
	home := newTestHome(c)
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
	sendRequest := func(i int) {
		key := keys[i]
		kind := "list"
		if i%3 == 1 {
			kind = "unknown"
		}
		submission := &rattanjob.Submission{Key: key, Kind: kind, Tasks: []rattanjob.Task{{Payload: json.RawMessage(`"0123456789"`)}}}
		var answer rattanjob.Answer
		if i%3 == 2 && starts.count(key) == 0 && !notRun[i] {
			answer = home.Cancel("app", key)
		} else {
			answer = home.Submit(context.Background(), "app", submission, nil, 5*time.Second)
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
		sendRequest(i)
		// Send an earlier key again, whose record may have been dropped
		// already.
		sendRequest(i / 2)
	}
	for range rounds {
		for i := range keys {
			sendRequest(i)
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

// TestLedgerFullOfRunningJobs guards against starting tasks of refused
// submissions, and against exceeding the record limit, when the ledger cannot
// drop any record because all jobs are running. Submissions beyond the limit
// are not started, and a key that was refused stays refused when there is room
// again.
func TestLedgerFullOfRunningJobs(t *testing.T) {
	const maxRecords = 50
	c := qt.New(t)
	home := newTestHome(c)
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
		keys[i] = home.newKey()
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

// countingRunner counts the started tasks of each submission.
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
