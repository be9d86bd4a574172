package rattanentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rattanlever/rattanlever/rattanburn"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattantrace"
)

var benchmarkEpoch = rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}

func benchmarkHome(withMetrics, withRecorder bool) *Home {
	now := time.Now()
	runner := &fakeRunner{released: make(chan struct{})}
	close(runner.released)
	config := HomeConfig{
		Scheduler: rattanpool.New(rattanpool.Config{}),
		Ledger:    newLedger(rattansettings.Default().Home),
		Runner:    runner,
		Authority: &fakeAuthority{},
		Documents: fakeDocuments{},
	}
	if withMetrics {
		config.Metrics = rattanmetric.New()
	}
	if withRecorder {
		document := *fakeDocuments{}.Document()
		document.Objectives = map[string]rattanconfig.Objective{"soon": {
			Kind: "list", Measure: rattanconfig.MeasureShortWait, Goal: 0.99,
			Threshold: rattanjson.Duration(time.Second), Window: rattanjson.Duration(720 * time.Hour),
		}}
		burn := rattanburn.New()
		burn.SetObjectives(now, document)
		config.Recorder = NewRecords(RecordsConfig{Burn: burn, Tracer: rattantrace.New(rattantrace.Options{})})
	}
	home := NewHome(config)
	home.OpenEpoch(now, benchmarkEpoch, now)
	home.SetCallers(now, []rattanpool.Caller{{Name: "app", Weight: 1}})
	home.SetTargets(now, []rattanpool.Target{{Name: "t", Service: "planner", Slots: 400}}, map[string]string{"t": "127.0.0.1:1"})
	return home
}

// BenchmarkHome measures the start path of the home alone, from submission to
// answer, with targets that answer at once; b.N counts tasks. The target for
// explain and metrics together is less than 3% of a start.
func BenchmarkHome(b *testing.B) {
	const tasks = 50
	for _, with := range [][2]bool{{false, false}, {true, false}, {false, true}, {true, true}} {
		b.Run(fmt.Sprintf("Metrics=%v/Recorder=%v", with[0], with[1]), func(b *testing.B) {
			home := benchmarkHome(with[0], with[1])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range (b.N + tasks - 1) / tasks {
				key := rattanjob.Key{Epoch: benchmarkEpoch, CallerHash: rattanjob.HashCaller("app")}
				key.Nonce = rattanjob.Nonce{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
				sent := &rattanjob.Submission{Key: key, Kind: "list", Tasks: make([]rattanjob.Task, tasks)}
				if answer := home.Submit(context.Background(), "app", sent, nil, time.Minute); answer.State != rattanjob.StateComplete {
					b.Fatalf("%+v", answer)
				}
			}
		})
	}
}
