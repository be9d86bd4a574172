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

// instantRunner is a task runner that returns results immediately, so that a
// benchmark measures only the cost of the entry instance.
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

func startSingleInstance(b *testing.B, newRunner func() rattanentry.TaskRunner) *rattansystem.System {
	c := qt.New(b)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 1,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 17, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 60, Echo: true}}},
		Document:       testDocument(),
		NewRunner:      newRunner,
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

// benchmarkStarts submits jobs of 50 tasks over HTTP. b.N is the number of tasks.
func benchmarkStarts(b *testing.B, newRunner func() rattanentry.TaskRunner) {
	system := startSingleInstance(b, newRunner)
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	const tasks = 50
	jobs := (b.N + tasks - 1) / tasks
	var keys []rattanjob.Key
	for len(keys) < jobs {
		batch, err := client.Keys(context.Background(), min(1000, jobs-len(keys)))
		if err != nil {
			b.Fatal(err)
		}
		keys = append(keys, batch...)
	}
	var nextJob, incomplete atomic.Int64
	before := processorTime()
	b.ResetTimer()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for {
			i := nextJob.Add(1) - 1
			if i < int64(jobs) {
				answer, err := client.SubmitAndWait(context.Background(), newSubmission(keys[i], tasks, 0))
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

// BenchmarkStartsInstantTarget measures the entry instance with a runner that
// returns results immediately. The performance goal is at least 20,000 starts/s.
func BenchmarkStartsInstantTarget(b *testing.B) {
	benchmarkStarts(b, func() rattanentry.TaskRunner { return instantRunner{} })
}

// BenchmarkStartsOverHTTP measures the entry instance, the HTTP client and
// simulated targets that finish tasks immediately, all in one process.
func BenchmarkStartsOverHTTP(b *testing.B) {
	benchmarkStarts(b, nil)
}

// BenchmarkForwardedJob measures the additional processor time of a job of 30
// tasks that is submitted to another instance than its home, summed over both
// instances. Batches of direct and forwarded jobs alternate, and their medians are
// compared.
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
		Document:       testDocument(),
		NewRunner:      func() rattanentry.TaskRunner { return instantRunner{} },
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(system.Close)
	home := system.Home("buda")
	clients := make([]*rattanclient.Client, 2)
	for _, entry := range system.Entries("buda") {
		hops := 1
		if entry == home {
			hops = 0
		}
		clients[hops] = rattanclient.New(rattanclient.Config{Addresses: []string{entry.Instance.CallerAddress()}, Caller: "app"})
	}
	perJob := make([][]float64, len(clients))
	for range batches {
		for hops, client := range clients {
			keys, err := client.Keys(b.Context(), batchJobs)
			if err != nil {
				b.Fatal(err)
			}
			before := processorTime()
			for _, key := range keys {
				answer, err := client.SubmitAndWait(b.Context(), newSubmission(key, tasks, 0))
				if err != nil || answer.State != rattanjob.StateComplete {
					b.Fatalf("%+v %v", answer, err)
				}
			}
			perJob[hops] = append(perJob[hops], float64((processorTime()-before).Microseconds())/batchJobs)
		}
	}
	for _, samples := range perJob {
		slices.Sort(samples)
	}
	b.ReportMetric(perJob[0][batches/2], "at-home-CPU-us/job")
	b.ReportMetric(perJob[1][batches/2]-perJob[0][batches/2], "forwarding-CPU-us/job")
}

// BenchmarkAddedLatency measures the latency that the entry instance adds to a
// direct call of a target. The performance goal is a median under 1 ms.
func BenchmarkAddedLatency(b *testing.B) {
	system := startSingleInstance(b, nil)
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	targetClient := rattantarget.New(rattantarget.Options{})
	address := system.Fleets[0].Targets[0].Address()
	entryLatency, targetLatency := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	keys, err := client.Keys(context.Background(), 1000)
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for i := range b.N {
		if i >= len(keys) {
			break
		}
		submission := newSubmission(keys[i], 1, 0)
		start := time.Now()
		if _, err := client.SubmitAndWait(context.Background(), submission); err != nil {
			b.Fatal(err)
		}
		_ = entryLatency.RecordValue(time.Since(start).Microseconds())
		start = time.Now()
		_, err := targetClient.Run(context.Background(), rattantarget.Dispatch{
			Address: address,
			ID:      rattanjob.TaskID{Submission: keys[i].ID(), Task: 1000, Attempt: 1}.String(),
			Kind:    "list",
			Payload: json.RawMessage(submission.Tasks[0].Payload),
			Lease:   rattanjson.Duration(time.Second),
		})
		if err != nil {
			b.Fatal(err)
		}
		_ = targetLatency.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(entryLatency.ValueAtQuantile(50)-targetLatency.ValueAtQuantile(50)), "added-median-us")
	b.ReportMetric(float64(entryLatency.ValueAtQuantile(99)-targetLatency.ValueAtQuantile(99)), "added-p99-us")
}
