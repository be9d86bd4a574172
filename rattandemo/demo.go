// Package rattandemo runs both users' workloads on a whole system in one
// process, kills an instance meanwhile, and checks every answer.
package rattandemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

const (
	// DefaultDuration keeps the demo and the build from a clean clone under 30 s.
	DefaultDuration = 4 * time.Second
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
	// Duration is how long jobs are submitted; 0 means
	// DefaultDuration.
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

	mutex sync.Mutex
	kinds map[string]*kindSummary
	// keyless counts jobs that were not submitted for lack of a key.
	keyless int
}

// zones are the availability zones of the demo.
var zones = []string{"buda", "pest", "csepel"}

// Run runs the demo and returns the number of broken invariants.
func Run(ctx context.Context, options Options) (int, error) {
	began := time.Now()
	if options.Duration == 0 {
		options.Duration = DefaultDuration
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
		kinds:   map[string]*kindSummary{},
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
	owner, _ := home.Instance.Membership.Owner(time.Now())
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
		d.skip()
		return
	}
	sent := makeSubmission(keys[0], work, tasks, factor)
	d.history.Submitted(sent)
	var attempts sync.WaitGroup
	attempts.Go(func() {
		asked := time.Now()
		answer := d.ask(ctx, client, sent)
		d.observe(work.kind, time.Since(asked), answer)
	})
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

// ask submits until the answer is final, and records and returns it.
func (d *demo) ask(ctx context.Context, client *rattanclient.Client, sent rattanjob.Submission) rattanjob.Answer {
	asked := time.Now()
	answer, err := client.SubmitAndWait(ctx, sent)
	received := time.Now()
	if err != nil {
		return rattanjob.Answer{}
	}
	d.history.Answered(sent.Key, asked, received, answer)
	if answer.Reason == rattanjob.ReasonHomeLost {
		d.lost.observe(sent.Key, asked, received)
	}
	return answer
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
