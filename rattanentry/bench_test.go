package rattanentry

import (
	"context"
	"fmt"
	"runtime"
	"slices"
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
		config.Recorder = NewJobRecorder(JobRecorderConfig{BurnCounters: burn, Tracer: rattantrace.New(rattantrace.Options{})})
	}
	home := NewHome(config)
	home.OpenEpoch(now, benchmarkEpoch, now)
	home.SetCallers(now, []rattanpool.Caller{{Name: "app", Weight: 1}})
	home.SetTargets(now, []rattanpool.Target{{Name: "t", Service: "planner", Slots: 400}}, map[string]string{"t": "127.0.0.1:1"})
	return home
}

// BenchmarkHome measures a job at the home alone, from submission to answer,
// with targets that answer at once; b.N counts tasks. Traces and metrics
// together should add less than 3% to a task start.
func BenchmarkHome(b *testing.B) {
	const tasks = 50
	for _, enabled := range [][2]bool{{false, false}, {true, false}, {false, true}, {true, true}} {
		b.Run(fmt.Sprintf("Metrics=%v/Recorder=%v", enabled[0], enabled[1]), func(b *testing.B) {
			home := benchmarkHome(enabled[0], enabled[1])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range (b.N + tasks - 1) / tasks {
				runJob(b, home, i, tasks)
			}
		})
	}
}

// runJob runs one job at the home. The number must not have been used before.
func runJob(b *testing.B, home *Home, number, tasks int) {
	key := rattanjob.Key{Epoch: benchmarkEpoch, CallerHash: rattanjob.HashCaller("app")}
	key.Nonce = rattanjob.Nonce{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)}
	submission := &rattanjob.Submission{Key: key, Kind: "list", Tasks: make([]rattanjob.Task, tasks)}
	if answer := home.Submit(context.Background(), "app", submission, nil, time.Minute); answer.State != rattanjob.StateComplete {
		b.Fatalf("%+v", answer)
	}
}

// BenchmarkRecording measures the CPU time that traces and metrics add to a
// task start. It alternates batches at a home without and a home with both and
// compares the medians, because the difference is smaller than the variation of
// the machine's speed between two separate benchmarks.
func BenchmarkRecording(b *testing.B) {
	const (
		tasks     = 50
		batchJobs = 100
		// minBatches keeps the median meaningful when b.N is small.
		minBatches = 20
	)
	homes := []*Home{benchmarkHome(false, false), benchmarkHome(true, true)}
	perTask := make([][]float64, len(homes))
	batches := max(minBatches, b.N/(tasks*batchJobs))
	for batch := range batches {
		for i, home := range homes {
			runtime.GC()
			cpuBefore := processCPUTime()
			for job := range batchJobs {
				runJob(b, home, batch*batchJobs+job, tasks)
			}
			cpuUsed := processCPUTime() - cpuBefore
			perTask[i] = append(perTask[i], float64(cpuUsed.Nanoseconds())/(tasks*batchJobs))
		}
	}
	for _, samples := range perTask {
		slices.Sort(samples)
	}
	without, with := perTask[0][batches/2], perTask[1][batches/2]
	b.ReportMetric(without, "without-CPU-ns/task")
	b.ReportMetric(with-without, "added-CPU-ns/task")
}
