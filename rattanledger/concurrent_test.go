package rattanledger

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// operationInput is a call of the ledger; the payload is that of the answer for
// Finish.
type operationInput struct {
	method  string
	key     int
	payload string
}

// operationOutput is the result of a call.
type operationOutput struct {
	verdict Verdict
	payload string
	failed  bool
}

// keyModel is the porcupine model of one key, whose state is new, running, or
// the final payload.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, done := range history {
			key := done.Input.(operationInput).key
			parts[key] = append(parts[key], done)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return "new" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(operationInput), output.(operationOutput)
		switch {
		case in.method == "finish" && state == "running":
			return !out.failed, in.payload
		case in.method == "finish":
			return out.failed == (state != in.payload), state
		case state == "new" && in.method == "begin":
			return out.verdict == VerdictStart, "running"
		case state == "new":
			return out.verdict == VerdictUnknown, state
		case state == "running":
			return out.verdict == VerdictJoin, state
		}
		return out.verdict == VerdictFinal && out.payload == state, state
	},
}

// TestConcurrentUse guards against answers under concurrent use that are not
// linearizable. Lookups that return an earlier output show that the check can
// fail.
func TestConcurrentUse(t *testing.T) {
	for _, staleLookups := range []bool{false, true} {
		t.Run(fmt.Sprintf("stale lookups %v", staleLookups), func(t *testing.T) {
			result := porcupine.CheckOperations(keyModel, recordConcurrentHistory(staleLookups))
			qt.Assert(t, result, qt.Equals, !staleLookups)
		})
	}
}

// recordConcurrentHistory returns the history of random calls by concurrent
// clients.
func recordConcurrentHistory(staleLookups bool) []porcupine.Operation {
	config := testConfig
	config.MaxRecords, config.MaxAnswerBytes = 1_000, 1<<20
	ledger := New(config)
	ledger.OpenEpoch(startTime, rattanjob.EpochID{Home: testHome, Number: 1}, startTime)
	var lock, historyLock sync.Mutex
	var history []porcupine.Operation
	cachedOutputs := map[int]operationOutput{}
	started := time.Now()
	apply := func(in operationInput) (out operationOutput) {
		lock.Lock()
		defer lock.Unlock()
		key := testKey(1, in.key, 0)
		var answer rattanjob.Answer
		switch in.method {
		case "begin":
			answer, out.verdict = ledger.Begin(startTime, key, "counter", 1)
		case "lookup":
			answer, out.verdict = ledger.Lookup(startTime, key, "counter")
		case "finish":
			out.failed = ledger.Finish(startTime, key, completeAnswer(in.payload)) != nil
		}
		if len(answer.Results) > 0 {
			_ = json.Unmarshal(answer.Results[0].Payload, &out.payload)
		}
		if cached, found := cachedOutputs[in.key]; staleLookups && found && in.method == "lookup" {
			return cached
		}
		if in.method != "finish" {
			cachedOutputs[in.key] = out
		}
		return out
	}
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 5))
			for n := range 200 {
				in := operationInput{method: []string{"begin", "lookup", "finish"}[random.IntN(3)], key: n/4 + random.IntN(2)}
				in.payload = fmt.Sprint("answer ", client%2)
				call := time.Since(started)
				out := apply(in)
				done := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(time.Since(started))}
				historyLock.Lock()
				history = append(history, done)
				historyLock.Unlock()
				runtime.Gosched()
			}
		})
	}
	group.Wait()
	return history
}
