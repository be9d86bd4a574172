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
	"github.com/rattanlever/rattanlever/rattantarget"
	"github.com/rattanlever/rattanlever/rattantrace"
)

type instantTargets struct{}

func (instantTargets) Run(_ context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	return rattantarget.Result{Payload: dispatch.Payload}, nil
}

func (instantTargets) Settle(context.Context, string, string) (rattantarget.Result, error) {
	return rattantarget.Result{}, rattantarget.ErrUnresolved
}

func (instantTargets) Stop(context.Context, string, string) (rattantarget.Stopping, error) {
	return rattantarget.Stopping{}, nil
}

type lastingAuthority struct{}

func (lastingAuthority) EpochValid(time.Time, rattanjob.EpochID) bool { return true }

type fixedDocument struct{ document rattanconfig.Document }

func (d fixedDocument) Document() *rattanconfig.Document { return &d.document }

// observation is what a home of the benchmark records.
type observation struct {
	metrics, recorder bool
}

func benchmarkHome(observed observation) (*Home, rattanjob.EpochID) {
	document := fixedDocument{rattanconfig.Document{
		Revision:   1,
		Services:   map[string]rattanconfig.Service{"planner": {}},
		JobKinds:   map[string]rattanconfig.JobKind{"list": {Service: "planner", MaxTasks: 250, Deadline: rattanjson.Duration(time.Minute)}},
		Callers:    map[string]rattanconfig.Caller{"app": {Weight: 1}},
		Objectives: map[string]rattanconfig.Objective{"soon": {Kind: "list", Measure: rattanconfig.MeasureShortWait, Goal: 0.99, Threshold: rattanjson.Duration(time.Second), Window: rattanjson.Duration(720 * time.Hour)}},
	}}
	now := time.Now()
	config := HomeConfig{
		Scheduler: rattanpool.New(rattanpool.Config{}),
		Ledger:    newLedger(rattansettings.Default().Home),
		Runner:    instantTargets{},
		Authority: lastingAuthority{},
		Documents: document,
	}
	if observed.metrics {
		config.Metrics = rattanmetric.New()
	}
	if observed.recorder {
		burn := rattanburn.New()
		burn.SetObjectives(now, document.document)
		config.Recorder = NewRecords(RecordsConfig{Burn: burn, Tracer: rattantrace.New(rattantrace.Options{})})
	}
	home := NewHome(config)
	epoch := rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}
	home.OpenEpoch(now, epoch, now)
	home.SetCallers(now, []rattanpool.Caller{{Name: "app", Weight: 1}})
	targets := make([]rattanpool.Target, 50)
	addresses := map[string]string{}
	for i := range targets {
		targets[i] = rattanpool.Target{Name: fmt.Sprintf("t%d", i), Service: "planner", Slots: 8}
		addresses[targets[i].Name] = "127.0.0.1:1"
	}
	home.SetTargets(now, targets, addresses)
	return home, epoch
}

// BenchmarkHome measures the start path of the home, from submission to answer,
// with targets that answer at once; b.N counts tasks. The target for explain
// and metrics together is less than 3% of a start, which costs an entry
// instance at most 50 microseconds at 20,000 starts/s.
func BenchmarkHome(b *testing.B) {
	const tasks = 50
	for _, observed := range []observation{{}, {metrics: true}, {recorder: true}, {metrics: true, recorder: true}} {
		b.Run(fmt.Sprintf("Metrics=%v/Recorder=%v", observed.metrics, observed.recorder), func(b *testing.B) {
			home, epoch := benchmarkHome(observed)
			submitted := rattanjob.Submission{Kind: "list", Tasks: make([]rattanjob.Task, tasks)}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range (b.N + tasks - 1) / tasks {
				key := rattanjob.Key{Epoch: epoch, CallerHash: rattanjob.HashCaller("app")}
				key.Nonce = rattanjob.Nonce{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
				sent := submitted
				sent.Key = key
				answer := home.Submit(context.Background(), time.Now(), "app", &sent, nil, time.Minute)
				if answer.State != rattanjob.StateComplete {
					b.Fatalf("%+v", answer)
				}
			}
		})
	}
}
