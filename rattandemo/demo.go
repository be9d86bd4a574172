// Package rattandemo runs the workloads of a shopping-list application and of a
// transcript application on a complete system in one process, kills an instance
// during the run, and checks every answer.
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
	// DefaultDuration keeps the demo, including the build from a clean clone, under
	// 30 s.
	DefaultDuration = 4 * time.Second
	// killAfterShare is the share of the duration after which an instance is killed.
	killAfterShare = 0.4
	// jobTimeout is the maximum time until the final answer to a job. After the death
	// of an instance, its jobs must be resolved within 3 s.
	jobTimeout    = 12 * time.Second
	jobsPerSecond = 40
	// duplicateShare is the share of jobs that are submitted twice, cancelShare the
	// share of jobs that are cancelled.
	duplicateShare = 0.2
	cancelShare    = 0.05
)

// Options configure Run.
type Options struct {
	Out  io.Writer
	Seed uint64
	// Duration is how long jobs are submitted; 0 means DefaultDuration.
	Duration time.Duration
	// Fault is injected into the recorded history before it is checked.
	Fault Fault
}

// demo is the state of one run.
type demo struct {
	options     Options
	system      *rattansystem.System
	history     *rattancheck.History
	clients     map[string]*rattanclient.Client
	runningJobs sync.WaitGroup
	recovery    recoveryTime

	mutex sync.Mutex
	kinds map[string]*kindSummary
	// jobsWithoutKey counts jobs that were not submitted because no key was issued
	// for them.
	jobsWithoutKey int
}

// zones are the availability zones of the demo.
var zones = []string{"buda", "pest", "csepel"}

// Run runs the demo and returns the number of invariant violations.
func Run(ctx context.Context, options Options) (int, error) {
	started := time.Now()
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
		Document: newDocument(),
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
	d.printf("system with %d availability zones, %d entry instances and %d targets ready after %v\n",
		len(zones), len(system.Entries()), len(system.Fleets)*8, time.Since(started).Round(time.Millisecond))
	d.generateLoad(ctx)
	return d.report(started), ctx.Err()
}

// generateLoad submits jobs for the configured duration and kills the home of one
// availability zone during this time.
func (d *demo) generateLoad(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	killTimer := time.AfterFunc(time.Duration(killAfterShare*float64(d.options.Duration)), d.killHome)
	defer killTimer.Stop()
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	end := time.After(d.options.Duration)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			d.runningJobs.Wait()
			return
		case <-ticker.C:
		}
		template := pickTemplate(random)
		caller := template.callers[random.IntN(len(template.callers))]
		tasks := 1 + random.IntN(template.maxTasks)
		cancelled := random.Float64() < cancelShare
		duplicate := random.Float64() < duplicateShare
		runTimeFactor := 0.5 + random.Float64()
		d.runningJobs.Go(func() { d.runJob(ctx, template, caller, tasks, runTimeFactor, duplicate, cancelled) })
	}
}

func (d *demo) killHome() {
	home := d.system.Home(zones[0])
	if home == nil {
		return
	}
	owner, _ := home.Instance.Membership.Owner(time.Now())
	d.printf("killing %s, the home of availability zone %s, with %d jobs in progress\n", home.Name, zones[0], home.Instance.Home.Jobs())
	d.recovery.killedHome.Store(&owner.Incarnation)
	d.recovery.killedAt.Store(time.Now().UnixNano())
	d.system.Kill(home)
}

// runJob submits one job, possibly twice, and possibly cancels it.
func (d *demo) runJob(ctx context.Context, template jobTemplate, caller string, tasks int, runTimeFactor float64, duplicate, cancelled bool) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	client := d.client(caller)
	keys, err := client.Keys(ctx, 1)
	if err != nil {
		d.countJobWithoutKey()
		return
	}
	submission := newSubmission(keys[0], template, tasks, runTimeFactor)
	d.history.Submitted(submission)
	var attempts sync.WaitGroup
	attempts.Go(func() {
		sentAt := time.Now()
		answer := d.submit(ctx, client, submission)
		d.recordAnswer(template.kind, time.Since(sentAt), answer)
	})
	if duplicate {
		attempts.Go(func() { d.submit(ctx, client, submission) })
	}
	if cancelled {
		time.Sleep(30 * time.Millisecond)
		sentAt := time.Now()
		if answer, err := client.Cancel(ctx, submission.Key); err == nil {
			d.history.Answered(submission.Key, sentAt, time.Now(), answer)
		}
	}
	attempts.Wait()
}

// submit submits the job until its answer is final, and records and returns this
// answer.
func (d *demo) submit(ctx context.Context, client *rattanclient.Client, submission rattanjob.Submission) rattanjob.Answer {
	sentAt := time.Now()
	answer, err := client.SubmitAndWait(ctx, submission)
	receivedAt := time.Now()
	if err != nil {
		return rattanjob.Answer{}
	}
	d.history.Answered(submission.Key, sentAt, receivedAt, answer)
	if answer.Reason == rattanjob.ReasonHomeLost {
		d.recovery.record(submission.Key, sentAt, receivedAt)
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
