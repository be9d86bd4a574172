package rattanbench

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
	"github.com/rattanlever/rattanlever/rattantarget"
)

const (
	benchZone = "bench"
	// entriesPerZone is the number of entry instances that today's users have
	// in an availability zone.
	entriesPerZone = 3
	// keyBatch is the number of keys that a caller asks for at a time.
	keyBatch = 100
	// submitWait is the longest wait of one request.
	submitWait = 60 * time.Second
	// leastPause is the least time between two submissions of a job.
	leastPause = 100 * time.Millisecond
	// bothWays is the number of messages of a request and its response.
	bothWays = 2
)

// taskPayload is the payload of a task. The stand-in target reads RunTime and
// returns the whole payload as the result, so that a result that belongs to
// another task is noticed.
type taskPayload struct {
	Job, Task int
	RunTime   rattanjson.Duration
}

// entryBed is a fleet of stand-in targets with its own entry instances and
// platform, in this process over loopback.
type entryBed struct {
	system    *rattansystem.System
	clients   map[string][]*rattanclient.Client
	names     []string
	runner    *countingRunner
	transport *http.Transport
	keys      map[string][]rattanjob.Key
	// jobs are the indexes of jobs by the ID of their key.
	jobs map[string]int
	// runTimes are the true run times of the tasks by job.
	runTimes [][]time.Duration
	start    time.Time
	before   messages

	mutex sync.Mutex
	// random chooses the front of each submission, as a load balancer does.
	random *rand.Rand

	keyRequests atomic.Int64
	// forwarded counts submissions that reached another instance than the home,
	// and the answers that came back from there.
	forwarded atomic.Int64
	// asked counts requests beyond the first one of a job.
	asked atomic.Int64
}

// messages are the counters from which the wasted messages are computed.
type messages struct {
	links, linkBytes, settled, stopped, refused int64
}

// openEntryBed starts a system for the experiment.
func openEntryBed(ctx context.Context, newScheduler func() Scheduler, e Experiment) (bed, error) {
	b := &entryBed{
		clients:   map[string][]*rattanclient.Client{},
		runner:    &countingRunner{TaskRunner: rattantarget.New(rattantarget.Options{})},
		transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 4096},
		keys:      map[string][]rattanjob.Key{},
		jobs:      map[string]int{},
		runTimes:  make([][]time.Duration, len(e.Jobs)),
		random:    rand.New(rand.NewPCG(1, uint64(len(e.Jobs)))),
	}
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{benchZone},
		EntriesPerZone: entriesPerZone,
		Fleets: []rattanstandin.TargetFleetOptions{{
			Count: e.Fleet.Targets, Service: virtualService, Cores: 30, MemoryMB: 130_000,
			Target: rattanstandin.TargetOptions{Slots: e.Fleet.SlotsPerTarget, Echo: true},
		}},
		Document:     benchDocument(e),
		NewScheduler: func() rattanentry.Scheduler { return newScheduler() },
		NewRunner:    func() rattanentry.TaskRunner { return b.runner },
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	b.system = system
	for _, slow := range system.Fleets[0].Targets[:e.SlowTargets] {
		slow.SetBehaviour(rattanstandin.Behaviour{SlowFactor: slowFactor})
	}
	if err := b.prepare(ctx, e); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// benchDocument returns the configuration for the jobs of the experiment.
func benchDocument(e Experiment) rattanconfig.Document {
	document := rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{virtualService: {Description: "tasks of experiments"}},
		JobKinds: map[string]rattanconfig.JobKind{},
		Callers:  map[string]rattanconfig.Caller{},
	}
	for _, job := range e.Jobs {
		if _, known := document.JobKinds[job.Kind]; known {
			continue
		}
		document.JobKinds[job.Kind] = rattanconfig.JobKind{
			Service: virtualService, MaxTasks: rattanjob.MaxTasks, RunTime: rattanjson.Duration(job.Declared),
			Deadline: rattanjson.Duration(job.Deadline), Idempotent: job.Idempotent,
		}
	}
	for _, caller := range e.Callers() {
		document.Callers[caller.Name] = rattanconfig.Caller{Weight: caller.Weight}
	}
	return document
}

// prepare makes clients and gets the keys of all jobs.
func (b *entryBed) prepare(ctx context.Context, e Experiment) error {
	for _, entry := range b.system.Entries() {
		b.names = append(b.names, entry.Name)
	}
	needed := map[string]int{}
	for _, job := range e.Jobs {
		needed[job.Caller]++
		b.runTimes[job.Index] = job.RunTimes
	}
	for caller, count := range needed {
		for _, address := range b.system.Addresses() {
			b.clients[caller] = append(b.clients[caller], rattanclient.New(rattanclient.Config{
				Addresses: []string{address}, Caller: caller, Transport: b.transport,
			}))
		}
		for len(b.keys[caller]) < count {
			keys, err := b.clients[caller][0].Keys(ctx, keyBatch)
			if err != nil {
				return errors.Annotatef(err, "keys of caller %s", caller)
			}
			b.keyRequests.Add(1)
			b.keys[caller] = append(b.keys[caller], keys...)
		}
	}
	return nil
}

// Begin starts the observation.
func (b *entryBed) Begin(start time.Time) {
	b.start = start
	b.before = b.messages()
	b.system.Platform.ResetCounts()
}

// Close ends the system.
func (b *entryBed) Close() {
	b.system.Close()
	b.transport.CloseIdleConnections()
}

// Traffic returns the messages since Begin.
func (b *entryBed) Traffic() Traffic {
	calls := b.system.Platform.Counts()
	now := b.messages()
	targets := now.settled - b.before.settled + now.stopped - b.before.stopped + now.refused - b.before.refused
	links := now.links - b.before.links - b.forwarded.Load()
	return Traffic{
		PlatformWrites: int(calls.Writes.Total),
		PlatformReads:  int(calls.Reads.Total),
		Elapsed:        calls.Elapsed.Std(),
		Waste: Waste{
			Links:    int(max(links, 0)),
			Platform: bothWays * int(calls.Writes.Total+calls.Reads.Total),
			Targets:  int(bothWays * targets),
			Callers:  int(bothWays * (b.keyRequests.Load() + b.asked.Load())),
		},
		Starts:    int(b.system.Log.Starts()),
		LinkBytes: int(now.linkBytes - b.before.linkBytes),
	}
}

// Starts returns the starts that the targets recorded. A task holds its slot
// for exactly its run time unless it is stopped.
func (b *entryBed) Starts() []Start {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var starts []Start
	for text := range b.system.Log.Counts() {
		id, err := rattanjob.ParseTaskID(text)
		job, known := b.jobs[id.Submission]
		if err != nil || !known {
			continue
		}
		for _, start := range b.system.Log.Times(text) {
			begin := start.At.Sub(b.start)
			starts = append(starts, Start{Job: job, Task: id.Task, Begin: begin, End: begin + b.runTimes[job][id.Task]})
		}
	}
	return starts
}

func (b *entryBed) messages() messages {
	seen := messages{
		settled: b.runner.settled.Load(),
		stopped: b.runner.stopped.Load(),
		refused: b.runner.refused.Load(),
	}
	for _, entry := range b.system.Entries() {
		seen.links += int64(entry.Instance.Node.Counts.Sent.Load())
		seen.linkBytes += int64(entry.Instance.Node.Counts.BytesSent.Load())
	}
	return seen
}

// Submit submits the job through a random instance, and submits it again with
// the same key as long as the answer is not final: a home that never got the
// submission knows nothing of the key.
func (b *entryBed) Submit(ctx context.Context, job Job) Outcome {
	client, key, forwarded := b.route(job)
	b.forwarded.Add(forwarded)
	answer, err := client.Submit(ctx, submissionOf(job, key), submitWait)
	b.forwarded.Add(forwarded)
	for err == nil && !answer.State.Final() && ctx.Err() == nil {
		b.asked.Add(1)
		time.Sleep(max(answer.RetryAfter.Std(), leastPause))
		answer, err = client.Submit(ctx, submissionOf(job, key), submitWait)
	}
	if err != nil {
		return Outcome{State: rattanjob.StateUnknown, Execution: rattanjob.ExecutionMayHaveRun, Detail: err.Error()}
	}
	outcome := Outcome{
		State: answer.State, Execution: answer.Execution, Reason: answer.Reason, Results: len(answer.Results), Detail: answer.Detail,
	}
	for i, result := range answer.Results {
		var payload taskPayload
		if json.Unmarshal(result.Payload, &payload) != nil || payload.Job != job.Index || payload.Task != i {
			outcome.Misplaced++
		}
	}
	return outcome
}

// route takes a key and chooses an instance for the job. It returns 1 if the
// instance has to forward the submission, or else 0.
func (b *entryBed) route(job Job) (client *rattanclient.Client, key rattanjob.Key, forwarded int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	keys := b.keys[job.Caller]
	key = keys[0]
	b.keys[job.Caller] = keys[1:]
	b.jobs[key.ID()] = job.Index
	front := b.random.IntN(len(b.names))
	if b.names[front] != key.Epoch.Home.Instance {
		forwarded = 1
	}
	return b.clients[job.Caller][front], key, forwarded
}

func submissionOf(job Job, key rattanjob.Key) rattanjob.Submission {
	submission := rattanjob.Submission{Key: key, Kind: job.Kind, Deadline: rattanjson.Duration(job.Deadline)}
	for i, runTime := range job.RunTimes {
		payload, _ := json.Marshal(taskPayload{Job: job.Index, Task: i, RunTime: rattanjson.Duration(runTime)})
		submission.Tasks = append(submission.Tasks, rattanjob.Task{Payload: payload, RunTime: rattanjson.Duration(job.Declared)})
	}
	return submission
}

// countingRunner counts the requests to targets that are neither a dispatch
// that led to a start nor its answer.
type countingRunner struct {
	rattanentry.TaskRunner
	settled, stopped, refused atomic.Int64
}

// Run counts dispatches that did not start a task.
func (r *countingRunner) Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	result, err := r.TaskRunner.Run(ctx, dispatch)
	if errors.Is(err, rattantarget.ErrNotStarted) {
		r.refused.Add(1)
	}
	return result, err
}

// Settle counts the request.
func (r *countingRunner) ResolveOutcome(ctx context.Context, address, id string) (rattantarget.Result, error) {
	r.settled.Add(1)
	return r.TaskRunner.ResolveOutcome(ctx, address, id)
}

// Stop counts the request.
func (r *countingRunner) Stop(ctx context.Context, address, id string) (rattantarget.StopResult, error) {
	r.stopped.Add(1)
	return r.TaskRunner.Stop(ctx, address, id)
}
