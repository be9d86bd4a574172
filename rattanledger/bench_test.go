package rattanledger

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// BenchmarkRecord measures the time that a whole job takes in the ledger, and
// the memory of a record without results.
func BenchmarkRecord(b *testing.B) {
	config := testConfig
	config.MaxRecords = 1 << 30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledger := New(config)
	ledger.OpenEpoch(startTime, rattanjob.EpochID{Home: testHome, Number: 1}, startTime)
	answer := rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan}
	key := testKey(1, 0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	b.ResetTimer()
	for b.Loop() {
		for i := range key.Nonce {
			key.Nonce[i] = byte(random.Uint32())
		}
		ledger.Begin(startTime, key, "counter", 1)
		if err := ledger.Finish(startTime, key, answer); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := ledger.Counters().Records
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(records), "heap-B/record")
	b.ReportMetric(float64(records), "records")
}
