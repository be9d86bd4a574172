package rattanledger

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// BenchmarkRecord measures the time of a whole job in the ledger, and the memory
// of a record without results.
func BenchmarkRecord(b *testing.B) {
	config := bounds
	config.MaxRecords = 1 << 30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledger := New(config)
	ledger.OpenEpoch(origin, rattanjob.EpochID{Home: home, Number: 1}, origin)
	answer := rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan}
	key := testKey(1, 0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	b.ResetTimer()
	for b.Loop() {
		for i := range key.Nonce {
			key.Nonce[i] = byte(random.Uint32())
		}
		ledger.Begin(origin, key, "counter", 1)
		if err := ledger.Finish(origin, key, answer); err != nil {
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
