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

type operation struct {
	call    string
	key     int
	payload string
}

type outcome struct {
	verdict Verdict
	payload string
	failed  bool
}

// register is the model of one key for porcupine: new, running, or final.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, done := range history {
			key := done.Input.(operation).key
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
		in, out := input.(operation), output.(outcome)
		switch {
		case in.call == "finish" && state == "running":
			return !out.failed, in.payload
		case in.call == "finish":
			return out.failed == (state != in.payload), state
		case state == "new" && in.call == "begin":
			return out.verdict == VerdictStart, "running"
		case state == "new":
			return out.verdict == VerdictUnknown, state
		case state == "running":
			return out.verdict == VerdictJoin, state
		}
		return out.verdict == VerdictFinal && out.payload == state, state
	},
}

// TestConcurrentUse guards against answers under concurrent use that no order of
// the calls explains. A look-up outside the lock, on an old copy of the answers,
// shows that the check can fail.
func TestConcurrentUse(t *testing.T) {
	for _, stale := range []bool{false, true} {
		t.Run(fmt.Sprintf("stale %v", stale), func(t *testing.T) {
			result := porcupine.CheckOperations(register, concurrentHistory(stale))
			qt.Assert(t, result, qt.Equals, !stale)
		})
	}
}

func concurrentHistory(stale bool) []porcupine.Operation {
	config := bounds
	config.MaxRecords, config.MaxAnswerBytes = 1_000, 1<<20
	ledger := New(config)
	ledger.OpenEpoch(origin, rattanjob.EpochID{Home: home, Number: 1}, origin)
	var lock, historyLock sync.Mutex
	var history []porcupine.Operation
	copies := map[int]outcome{}
	started := time.Now()
	apply := func(in operation) (out outcome) {
		lock.Lock()
		defer lock.Unlock()
		key := testKey(1, in.key, 0)
		var answer rattanjob.Answer
		switch in.call {
		case "begin":
			answer, out.verdict = ledger.Begin(origin, key, "counter", 1)
		case "lookup":
			answer, out.verdict = ledger.Lookup(origin, key, "counter")
		case "finish":
			out.failed = ledger.Finish(origin, key, complete(in.payload)) != nil
		}
		if len(answer.Results) > 0 {
			_ = json.Unmarshal(answer.Results[0].Payload, &out.payload)
		}
		if before, found := copies[in.key]; stale && found && in.call == "lookup" {
			return before
		}
		if in.call != "finish" {
			copies[in.key] = out
		}
		return out
	}
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 5))
			for n := range 200 {
				in := operation{call: []string{"begin", "lookup", "finish"}[random.IntN(3)], key: n/4 + random.IntN(2)}
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
