// Package rattandemo runs both users' workloads on a whole system in one
// process, kills an instance meanwhile, and checks every answer.
package rattandemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

const (
	defaultDuration = 10 * time.Second
	// killShare is the part of the duration after which an instance is killed.
	killShare = 0.4
	// resolveTimeout is the longest time for a final answer; an instance's
	// death must be resolved within 3 s.
	resolveTimeout = 12 * time.Second
	jobsPerSecond  = 40
	// duplicateShare and cancelShare are the shares of jobs that are submitted
	// twice and that are cancelled.
	duplicateShare = 0.2
	cancelShare    = 0.05
)

// Options configure a run of the demo.
type Options struct {
	Out  io.Writer
	Seed uint64
	// Duration is how long jobs are submitted; 0 takes 10 s.
	Duration time.Duration
	// Fault is injected into what was observed.
	Fault Fault
}

// demo is one run.
type demo struct {
	options Options
	system  *rattansystem.System
	history *rattancheck.History
	clients map[string]*rattanclient.Client
	jobs    sync.WaitGroup
	lost    resolution

	mutex   sync.Mutex
	answers map[string]int
}

// resolution is the longest time from the death of the home to the final
// answer of one of its jobs.
type resolution struct {
	killedAt atomic.Int64
	home     atomic.Pointer[rattanjob.Incarnation]
	longest  atomic.Int64
}

// template is a kind of job that the demo submits.
type template struct {
	kind    string
	callers []string
	// tasks is the largest number of tasks.
	tasks   int
	runTime time.Duration
	share   int
}

var templates = []template{
	{kind: "shopping-list", callers: []string{"app", "counter"}, tasks: 30, runTime: 120 * time.Millisecond, share: 5},
	{kind: "status-lookup", callers: []string{"firm-a", "firm-b", "firm-c", "firm-d"}, tasks: 6, runTime: 60 * time.Millisecond, share: 5},
	{kind: "extract", callers: []string{"firm-a", "firm-b"}, tasks: 3, runTime: 1500 * time.Millisecond, share: 1},
	{kind: "rush-confirmation", callers: []string{"firm-c", "firm-d"}, tasks: 1, runTime: 90 * time.Millisecond, share: 2},
}

// zones are the availability zones of the demo.
var zones = []string{"buda", "pest", "csepel"}

// Run runs the demo and returns the number of broken invariants.
func Run(ctx context.Context, options Options) (int, error) {
	began := time.Now()
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          zones,
		EntriesPerZone: 3,
		Fleets: []rattanstandin.TargetFleetOptions{
			{Count: 8, Service: "planner", Cores: 30, MemoryMB: 130_000, Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}},
			{Count: 8, Service: "registry", Cores: 60, MemoryMB: 250_000, Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}},
		},
		Document: document(),
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer system.Close()
	d := &demo{
		options: options,
		system:  system,
		history: rattancheck.NewHistory(),
		clients: map[string]*rattanclient.Client{},
		answers: map[string]int{},
	}
	d.printf("system of %d availability zones, %d entry instances, %d targets: ready after %v\n",
		len(zones), len(system.Entries()), len(system.Fleets)*8, time.Since(began).Round(time.Millisecond))
	d.load(ctx)
	return d.report(began), ctx.Err()
}

// load submits jobs for a time and kills the home of one zone meanwhile.
func (d *demo) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	kill := time.AfterFunc(time.Duration(killShare*float64(d.options.Duration)), d.kill)
	defer kill.Stop()
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	end := time.After(d.options.Duration)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			d.jobs.Wait()
			return
		case <-ticker.C:
		}
		work := pick(random)
		caller := work.callers[random.IntN(len(work.callers))]
		tasks := 1 + random.IntN(work.tasks)
		cancelled := random.Float64() < cancelShare
		twice := random.Float64() < duplicateShare
		factor := 0.5 + random.Float64()
		d.jobs.Go(func() { d.job(ctx, work, caller, tasks, factor, twice, cancelled) })
	}
}

func (d *demo) kill() {
	home := d.system.Home(zones[0])
	if home == nil {
		return
	}
	owner, _ := home.Instance.Members.Owner(time.Now())
	d.printf("killing %s, the home of availability zone %s, with %d jobs in progress\n", home.Name, zones[0], home.Instance.Home.Jobs())
	d.lost.home.Store(&owner.Incarnation)
	d.lost.killedAt.Store(time.Now().UnixNano())
	d.system.Kill(home)
}

// job submits one job, possibly twice, and possibly cancels it.
func (d *demo) job(ctx context.Context, work template, caller string, tasks int, factor float64, twice, cancelled bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	client := d.client(caller)
	keys, err := client.Keys(ctx, 1)
	if err != nil {
		return
	}
	sent := makeSubmission(keys[0], work, tasks, factor)
	d.history.Submitted(sent)
	var attempts sync.WaitGroup
	attempts.Go(func() { d.ask(ctx, client, sent) })
	if twice {
		attempts.Go(func() { d.ask(ctx, client, sent) })
	}
	if cancelled {
		time.Sleep(30 * time.Millisecond)
		asked := time.Now()
		if answer, err := client.Cancel(ctx, sent.Key); err == nil {
			d.history.Answered(sent.Key, asked, time.Now(), answer)
		}
	}
	attempts.Wait()
}

// ask submits until the answer is final and records it.
func (d *demo) ask(ctx context.Context, client *rattanclient.Client, sent rattanjob.Submission) {
	asked := time.Now()
	answer, err := client.Do(ctx, sent)
	received := time.Now()
	if err != nil {
		return
	}
	d.history.Answered(sent.Key, asked, received, answer)
	d.mutex.Lock()
	d.answers[fmt.Sprintf("%v/%v/%v", answer.State, answer.Reason, answer.Execution)]++
	d.mutex.Unlock()
	if answer.Reason == rattanjob.ReasonHomeLost {
		d.lost.observe(sent.Key, asked, received)
	}
}

func (r *resolution) observe(key rattanjob.Key, asked, received time.Time) {
	home := r.home.Load()
	if home == nil || *home != key.Epoch.Home {
		return
	}
	from := max(asked.UnixNano(), r.killedAt.Load())
	took := received.UnixNano() - from
	for {
		longest := r.longest.Load()
		if took <= longest || r.longest.CompareAndSwap(longest, took) {
			return
		}
	}
}

// report prints what happened and returns the number of broken invariants.
func (d *demo) report(began time.Time) int {
	starts := d.system.Starts()
	d.options.Fault.inject(d.history, starts)
	violations := d.history.Check(starts)
	resubmissions := uint64(0)
	for _, client := range d.clients {
		resubmissions += client.Resubmissions.Load()
	}
	d.printf("%d jobs, %d tasks started, %d requests sent again with the same key\n", d.history.Len(), d.system.Log.Starts(), resubmissions)
	states := make([]string, 0, len(d.answers))
	for state := range d.answers {
		states = append(states, state)
	}
	slices.Sort(states)
	for _, state := range states {
		d.printf("  %6d answers %s\n", d.answers[state], state)
	}
	d.printf("longest time to resolve a job of the killed instance: %v\n", time.Duration(d.lost.longest.Load()).Round(time.Millisecond))
	counts := d.system.Platform.Counts()
	d.printf("platform calls: %.1f reads/s, %.1f writes/s\n", counts.Reads.PerSecond, counts.Writes.PerSecond)
	for _, violation := range violations {
		d.printf("VIOLATION %v %s: %s\n", violation.Invariant, violation.Submission, violation.Detail)
	}
	d.printf("%d violations, %v in all\n", len(violations), time.Since(began).Round(time.Millisecond))
	return len(violations)
}

func (d *demo) client(caller string) *rattanclient.Client {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	client, ok := d.clients[caller]
	if !ok {
		client = rattanclient.New(rattanclient.Config{Addresses: d.system.Addresses(), Caller: caller})
		d.clients[caller] = client
	}
	return client
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.options.Out, format, args...)
}

func pick(random *rand.Rand) template {
	total := 0
	for _, each := range templates {
		total += each.share
	}
	at := random.IntN(total)
	for _, each := range templates {
		if at < each.share {
			return each
		}
		at -= each.share
	}
	return templates[0]
}

func makeSubmission(key rattanjob.Key, work template, tasks int, factor float64) rattanjob.Submission {
	made := rattanjob.Submission{Key: key, Kind: work.kind}
	runTime := time.Duration(float64(work.runTime) * factor)
	for i := range tasks {
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d"}`, runTime, key.ID(), i)
		made.Tasks = append(made.Tasks, rattanjob.Task{Payload: json.RawMessage(payload)})
	}
	return made
}

func document() rattanconfig.Document {
	seconds := func(count int) rattanjson.Duration {
		return rattanjson.Duration(time.Duration(count) * time.Second)
	}
	milliseconds := func(count int) rattanjson.Duration {
		return rattanjson.Duration(time.Duration(count) * time.Millisecond)
	}
	return rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{
			"planner":  {Description: "shopping lists"},
			"registry": {Description: "transcripts"},
		},
		JobKinds: map[string]rattanconfig.JobKind{
			"shopping-list":     {Service: "planner", MaxTasks: 250, RunTime: milliseconds(120), Deadline: seconds(5), Idempotent: true},
			"status-lookup":     {Service: "registry", MaxTasks: 50, RunTime: milliseconds(60), Deadline: seconds(3), Idempotent: true},
			"extract":           {Service: "registry", MaxTasks: 50, RunTime: milliseconds(1500), Deadline: seconds(10), Idempotent: true},
			"rush-confirmation": {Service: "registry", MaxTasks: 1, RunTime: milliseconds(90), Deadline: seconds(3)},
		},
		Callers: map[string]rattanconfig.Caller{
			"app": {Weight: 2}, "counter": {Weight: 1},
			"firm-a": {Weight: 1}, "firm-b": {Weight: 1}, "firm-c": {Weight: 1}, "firm-d": {Weight: 1},
		},
	}
}
