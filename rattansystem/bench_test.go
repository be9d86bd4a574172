package rattansystem_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// instantRunner stands in for targets that answer at once, so that the cost
// of the entry instance alone is measured.
type instantRunner struct{}

func (instantRunner) Run(_ context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	return rattantarget.Result{Payload: dispatch.Payload}, nil
}

func (instantRunner) ResolveOutcome(context.Context, string, string) (rattantarget.Result, error) {
	return rattantarget.Result{}, rattantarget.ErrUnresolved
}

func (instantRunner) Stop(context.Context, string, string) (rattantarget.StopResult, error) {
	return rattantarget.StopResult{}, nil
}

func startSingle(b *testing.B, runner func() rattanentry.TaskRunner) *rattansystem.System {
	c := qt.New(b)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 1,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 17, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 60, Echo: true}}},
		Document:       document(),
		NewRunner:      runner,
	})
	c.Assert(err, qt.IsNil)
	b.Cleanup(system.Close)
	return system
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startsPerSecond submits jobs of 50 tasks over HTTP; b.N counts tasks.
func startsPerSecond(b *testing.B, runner func() rattanentry.TaskRunner) {
	system := startSingle(b, runner)
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	const tasks = 50
	jobs := (b.N + tasks - 1) / tasks
	var keys []rattanjob.Key
	for len(keys) < jobs {
		more, err := client.Keys(context.Background(), min(1000, jobs-len(keys)))
		if err != nil {
			b.Fatal(err)
		}
		keys = append(keys, more...)
	}
	var next, incomplete atomic.Int64
	before := processorTime()
	b.ResetTimer()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for {
			i := next.Add(1) - 1
			if i < int64(jobs) {
				answer, err := client.SubmitAndWait(context.Background(), submission(keys[i], tasks, 0))
				if err != nil || answer.State != rattanjob.StateComplete {
					incomplete.Add(1)
				}
			}
			for range tasks {
				if !pb.Next() {
					return
				}
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "CPU-us/task")
	b.ReportMetric(float64(incomplete.Load()), "incomplete")
}

// Measures the entry instance with a runner that answers at once; the target
// is at least 20,000 starts/s.
func BenchmarkStartsInstantTarget(b *testing.B) {
	startsPerSecond(b, func() rattanentry.TaskRunner { return instantRunner{} })
}

// Measures the entry instance, the HTTP client and stand-in targets that
// finish tasks at once, all in this process.
func BenchmarkStartsOverHTTP(b *testing.B) {
	startsPerSecond(b, nil)
}

// Measures the processor time that a job of 30 tasks costs more when it is
// submitted at another instance than its home, for the front and the home
// together. Batches through both are run in turn, and their medians compared.
func BenchmarkForwardedJob(b *testing.B) {
	const (
		tasks     = 30
		batchJobs = 100
		batches   = 21
	)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 3,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 17, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 60, Echo: true}}},
		Document:       document(),
		NewRunner:      func() rattanentry.TaskRunner { return instantRunner{} },
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(system.Close)
	home := system.Home("buda")
	clients := make([]*rattanclient.Client, 2)
	for _, entry := range system.Entries("buda") {
		forwards := 1
		if entry == home {
			forwards = 0
		}
		clients[forwards] = rattanclient.New(rattanclient.Config{Addresses: []string{entry.Instance.CallerAddress()}, Caller: "app"})
	}
	perJob := make([][]float64, len(clients))
	for range batches {
		for forwards, client := range clients {
			keys, err := client.Keys(b.Context(), batchJobs)
			if err != nil {
				b.Fatal(err)
			}
			before := processorTime()
			for _, key := range keys {
				answer, err := client.SubmitAndWait(b.Context(), submission(key, tasks, 0))
				if err != nil || answer.State != rattanjob.StateComplete {
					b.Fatalf("%+v %v", answer, err)
				}
			}
			perJob[forwards] = append(perJob[forwards], float64((processorTime()-before).Microseconds())/batchJobs)
		}
	}
	for _, samples := range perJob {
		slices.Sort(samples)
	}
	b.ReportMetric(perJob[0][batches/2], "at-home-CPU-us/job")
	b.ReportMetric(perJob[1][batches/2]-perJob[0][batches/2], "forwarding-CPU-us/job")
}

// Measures the latency that the entry instance adds to a direct call of a
// target; the target is a median under 1 ms.
func BenchmarkAddedLatency(b *testing.B) {
	system := startSingle(b, nil)
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	direct := rattantarget.New(rattantarget.Options{})
	address := system.Fleets[0].Targets[0].Address()
	through, straight := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	keys, err := client.Keys(context.Background(), 1000)
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for i := range b.N {
		if i >= len(keys) {
			break
		}
		sent := submission(keys[i], 1, 0)
		began := time.Now()
		if _, err := client.SubmitAndWait(context.Background(), sent); err != nil {
			b.Fatal(err)
		}
		_ = through.RecordValue(time.Since(began).Microseconds())
		began = time.Now()
		_, err := direct.Run(context.Background(), rattantarget.Dispatch{
			Address: address,
			ID:      rattanjob.TaskID{Submission: keys[i].ID(), Task: 1000, Attempt: 1}.String(),
			Kind:    "list",
			Payload: json.RawMessage(sent.Tasks[0].Payload),
			Lease:   rattanjson.Duration(time.Second),
		})
		if err != nil {
			b.Fatal(err)
		}
		_ = straight.RecordValue(time.Since(began).Microseconds())
	}
	b.ReportMetric(float64(through.ValueAtQuantile(50)-straight.ValueAtQuantile(50)), "added-median-us")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-straight.ValueAtQuantile(99)), "added-p99-us")
}
