package rattanentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattaninventory"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

// firstOf14Pools says that the instance owns the first of the 14 pools of a
// zone.
type firstOf14Pools struct{}

func (firstOf14Pools) Pool(time.Time) (pool, pools int, owned bool) { return 0, 14, true }
func (firstOf14Pools) SetPools(int)                                 {}

// benchmarkDocument returns a document with random names and numbers, so that
// it does not compress better than operators' documents.
func benchmarkDocument(callers, kinds int) rattanconfig.Document {
	random := rand.New(rand.NewPCG(1, 1))
	document := *fakeDocuments{}.Document()
	for i := range callers {
		name := fmt.Sprintf("team-%03d", i)
		if i > 0 {
			name += fmt.Sprintf("-%08x", random.Uint32())
		}
		document.Callers[name] = rattanconfig.Caller{Weight: float64(random.IntN(100) + 1), Quota: random.IntN(10_000), MaxJobs: random.IntN(10_000)}
	}
	for range kinds {
		document.JobKinds[fmt.Sprintf("kind-%016x", random.Uint64())] = rattanconfig.JobKind{
			Service: "planner", MaxTasks: random.IntN(250) + 1, RunTime: rattanjson.Duration(time.Duration(random.IntN(5_000)) * time.Millisecond),
			Deadline: rattanjson.Duration(10 * time.Second), Idempotent: random.IntN(2) == 0, CoresPerTask: random.IntN(8), MemoryMBPerTask: random.IntN(4_000),
		}
	}
	return document
}

// nextRevision returns the next revision of the document, in which one caller
// has another weight.
func nextRevision(document rattanconfig.Document) rattanconfig.Document {
	document.Revision++
	document.RequestID = fmt.Sprintf("request-%d", document.Revision)
	document.Callers = document.Clone().Callers
	caller := document.Callers["team-000"]
	caller.Weight = float64(document.Revision)
	document.Callers["team-000"] = caller
	return document
}

// BenchmarkApplyChange measures the cost of a configuration change until the
// home has the new callers and targets, for a member that pulls a difference
// and for a watcher that reads the whole document. The instance list has 9,000
// instances, and the home owns one of the 14 pools of its zone.
func BenchmarkApplyChange(b *testing.B) {
	for _, size := range []struct{ callers, kinds int }{{55, 125}, {220, 500}, {440, 1_000}} {
		for _, whole := range []bool{false, true} {
			b.Run(fmt.Sprintf("callers=%d/kinds=%d/whole=%v", size.callers, size.kinds, whole), func(b *testing.B) {
				benchmarkApply(b, benchmarkDocument(size.callers, size.kinds), whole)
			})
		}
	}
}

func benchmarkApply(b *testing.B, document rattanconfig.Document, whole bool) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	inventory := testInventory(nil, nil)
	home := inventory.config.Home
	loads := NewLoadExchange(LoadExchangeConfig{Instance: "buda-entry-1", Incarnation: 1})
	initial, peer := document, &localPeer{}
	member := NewConfiguration(ConfigurationConfig{
		Peers:   peer,
		Logger:  logger,
		Initial: &initial,
		OnInstalled: func(document *rattanconfig.Document) {
			now := time.Now()
			home.SetCallers(now, loads.callersWithShares(now, document, 1))
			inventory.Apply(now)
		},
	})
	inventory.config.Documents = member
	inventory.config.Pools = firstOf14Pools{}
	inventory.install(time.Now(), time.Now(), rattaninventory.NewList(benchmarkInstances(9_000)))
	var encoded []byte
	peer.handler = func(context.Context, string, []byte) ([]byte, error) { return encoded, nil }
	cpuUsed := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		next := nextRevision(document)
		if whole {
			value, _ := rattanconfig.Pack(next)
			encoded, _ = json.Marshal(rattanplatform.Changes{Entries: []rattanplatform.Entry{{Key: rattanconfig.PlatformKey, Value: value}}})
		} else {
			encoded, _ = json.Marshal(rattanconfig.Difference(document, next))
		}
		document = next
		b.StartTimer()
		cpuBefore := processCPUTime()
		applyChange(b, member, encoded, whole)
		cpuUsed += processCPUTime() - cpuBefore
	}
	if member.Document().Revision != document.Revision {
		b.Fatalf("active revision %d, want %d", member.Document().Revision, document.Revision)
	}
	b.ReportMetric(float64(len(encoded)), "B/change")
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "processor-us/change")
}

func applyChange(b *testing.B, member *Configuration, encoded []byte, whole bool) {
	if !whole {
		if err := member.pull("peer"); err != nil {
			b.Fatal(err)
		}
		return
	}
	var changes rattanplatform.Changes
	if err := json.Unmarshal(encoded, &changes); err != nil {
		b.Fatal(err)
	}
	member.installEntry(changes.Entries[0])
}
