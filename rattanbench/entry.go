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
	// entriesPerZone is the number of entry instances per availability zone at
	// the current users.
	entriesPerZone = 3
	// keyBatchSize is the number of keys that a caller requests at once.
	keyBatchSize = 100
	// maxSubmitWait is the longest time that a request waits for an answer.
	maxSubmitWait = 60 * time.Second
	// minResubmitPause is the minimum pause before a job is submitted again.
	minResubmitPause = 100 * time.Millisecond
	// messagesPerCall counts a request and its response.
	messagesPerCall = 2
)

// taskPayload is the payload of a task. The simulated target reads RunTime and
// returns the whole payload as the result, so that a result that belongs to
// another task is detected.
type taskPayload struct {
	Job, Task int
	RunTime   rattanjson.Duration
}

// entrySystem is a fleet of simulated targets with its own entry instances and
// platform, all in this process and connected over loopback.
type entrySystem struct {
	system        *rattansystem.System
	clients       map[string][]*rattanclient.Client
	instanceNames []string
	runner        *countingRunner
	transport     *http.Transport
	keys          map[string][]rattanjob.Key
	// jobIndexes maps the ID of a job's key to the index of the job.
	jobIndexes map[string]int
	// runTimes are the true run times of the tasks by job.
	runTimes      [][]time.Duration
	startTime     time.Time
	initialCounts messageCounts

	mutex sync.Mutex
	// random chooses the entry instance for each submission, as a load balancer
	// does.
	random *rand.Rand

	keyRequests atomic.Int64
	// forwarded counts submissions that reached an instance other than the home,
	// and their answers.
	forwarded atomic.Int64
	// repeatedRequests counts the requests after the first one of each job.
	repeatedRequests atomic.Int64
}

// messageCounts holds the counters from which Traffic is computed.
type messageCounts struct {
	links, linkBytes, resolved, stopped, refused int64
}

// startEntrySystem starts a system for the experiment.
func startEntrySystem(ctx context.Context, newScheduler func() Scheduler, e Experiment) (systemUnderTest, error) {
	s := &entrySystem{
		clients:    map[string][]*rattanclient.Client{},
		runner:     &countingRunner{TaskRunner: rattantarget.New(rattantarget.Options{})},
		transport:  &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 4096},
		keys:       map[string][]rattanjob.Key{},
		jobIndexes: map[string]int{},
		runTimes:   make([][]time.Duration, len(e.Jobs)),
		random:     rand.New(rand.NewPCG(1, uint64(len(e.Jobs)))),
	}
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{benchZone},
		EntriesPerZone: entriesPerZone,
		Fleets: []rattanstandin.TargetFleetOptions{{
			Count: e.Fleet.Targets, Service: benchService, Cores: 30, MemoryMB: 130_000,
			Target: rattanstandin.TargetOptions{Slots: e.Fleet.SlotsPerTarget, Echo: true},
		}},
		Document:     benchDocument(e),
		NewScheduler: func() rattanentry.Scheduler { return newScheduler() },
		NewRunner:    func() rattanentry.TaskRunner { return s.runner },
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.system = system
	for _, target := range system.Fleets[0].Targets[:e.SlowTargets] {
		target.SetBehaviour(rattanstandin.Behaviour{SlowFactor: slowFactor})
	}
	if err := s.prepare(ctx, e); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// benchDocument returns the configuration for the jobs of the experiment.
func benchDocument(e Experiment) rattanconfig.Document {
	document := rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{benchService: {Description: "tasks of experiments"}},
		JobKinds: map[string]rattanconfig.JobKind{},
		Callers:  map[string]rattanconfig.Caller{},
	}
	for _, job := range e.Jobs {
		if _, known := document.JobKinds[job.Kind]; known {
			continue
		}
		document.JobKinds[job.Kind] = rattanconfig.JobKind{
			Service: benchService, MaxTasks: rattanjob.MaxTasks, RunTime: rattanjson.Duration(job.Declared),
			Deadline: rattanjson.Duration(job.Deadline), Idempotent: job.Idempotent,
		}
	}
	for _, caller := range e.Callers() {
		document.Callers[caller.Name] = rattanconfig.Caller{Weight: caller.Weight}
	}
	return document
}

// prepare creates the clients and requests the keys of all jobs.
func (s *entrySystem) prepare(ctx context.Context, e Experiment) error {
	for _, entry := range s.system.Entries() {
		s.instanceNames = append(s.instanceNames, entry.Name)
	}
	keyCounts := map[string]int{}
	for _, job := range e.Jobs {
		keyCounts[job.Caller]++
		s.runTimes[job.Index] = job.RunTimes
	}
	for caller, count := range keyCounts {
		for _, address := range s.system.Addresses() {
			s.clients[caller] = append(s.clients[caller], rattanclient.New(rattanclient.Config{
				Addresses: []string{address}, Caller: caller, Transport: s.transport,
			}))
		}
		for len(s.keys[caller]) < count {
			keys, err := s.clients[caller][0].Keys(ctx, keyBatchSize)
			if err != nil {
				return errors.Annotatef(err, "keys of caller %s", caller)
			}
			s.keyRequests.Add(1)
			s.keys[caller] = append(s.keys[caller], keys...)
		}
	}
	return nil
}

// Begin resets the counters at the start of the experiment.
func (s *entrySystem) Begin(start time.Time) {
	s.startTime = start
	s.initialCounts = s.countMessages()
	s.system.Platform.ResetCounts()
}

// Close shuts the system down.
func (s *entrySystem) Close() {
	s.system.Close()
	s.transport.CloseIdleConnections()
}

// Traffic returns the messages since Begin.
func (s *entrySystem) Traffic() Traffic {
	calls := s.system.Platform.Counts()
	current := s.countMessages()
	targets := current.resolved - s.initialCounts.resolved + current.stopped - s.initialCounts.stopped + current.refused - s.initialCounts.refused
	links := current.links - s.initialCounts.links - s.forwarded.Load()
	return Traffic{
		PlatformWrites: int(calls.Writes.Total),
		PlatformReads:  int(calls.Reads.Total),
		Elapsed:        calls.Elapsed.Std(),
		Waste: Waste{
			Links:    int(max(links, 0)),
			Platform: messagesPerCall * int(calls.Writes.Total+calls.Reads.Total),
			Targets:  int(messagesPerCall * targets),
			Callers:  int(messagesPerCall * (s.keyRequests.Load() + s.repeatedRequests.Load())),
		},
		Starts:    int(s.system.StartLog.Starts()),
		LinkBytes: int(current.linkBytes - s.initialCounts.linkBytes),
	}
}

// Starts returns the task starts that the targets recorded. The end of a task is
// computed from its run time: a task holds its slot for exactly this time unless
// it is stopped.
func (s *entrySystem) Starts() []TaskStart {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var starts []TaskStart
	for taskID := range s.system.StartLog.StartsPerTask() {
		id, err := rattanjob.ParseTaskID(taskID)
		job, known := s.jobIndexes[id.Submission]
		if err != nil || !known {
			continue
		}
		for _, start := range s.system.StartLog.TaskStarts(taskID) {
			begin := start.At.Sub(s.startTime)
			starts = append(starts, TaskStart{Job: job, Task: id.Task, Begin: begin, End: begin + s.runTimes[job][id.Task]})
		}
	}
	return starts
}

func (s *entrySystem) countMessages() messageCounts {
	counts := messageCounts{
		resolved: s.runner.resolved.Load(),
		stopped:  s.runner.stopped.Load(),
		refused:  s.runner.refused.Load(),
	}
	for _, entry := range s.system.Entries() {
		counts.links += int64(entry.Instance.Node.Counts.Sent.Load())
		counts.linkBytes += int64(entry.Instance.Node.Counts.BytesSent.Load())
	}
	return counts
}

// Submit submits the job through a random instance. It repeats the submission
// with the same key until the answer is final, because a home that did not
// receive the submission does not know the key.
func (s *entrySystem) Submit(ctx context.Context, job Job) Outcome {
	client, key, forwarded := s.route(job)
	s.forwarded.Add(forwarded)
	answer, err := client.Submit(ctx, newSubmission(job, key), maxSubmitWait)
	s.forwarded.Add(forwarded)
	for err == nil && !answer.State.Final() && ctx.Err() == nil {
		s.repeatedRequests.Add(1)
		time.Sleep(max(answer.RetryAfter.Std(), minResubmitPause))
		answer, err = client.Submit(ctx, newSubmission(job, key), maxSubmitWait)
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
			outcome.Mismatched++
		}
	}
	return outcome
}

// route takes a key and chooses an entry instance for the job. It returns 1 as
// forwarded if the instance has to forward the submission, and 0 otherwise.
func (s *entrySystem) route(job Job) (client *rattanclient.Client, key rattanjob.Key, forwarded int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keys := s.keys[job.Caller]
	key = keys[0]
	s.keys[job.Caller] = keys[1:]
	s.jobIndexes[key.ID()] = job.Index
	entry := s.random.IntN(len(s.instanceNames))
	if s.instanceNames[entry] != key.Epoch.Home.Instance {
		forwarded = 1
	}
	return s.clients[job.Caller][entry], key, forwarded
}

func newSubmission(job Job, key rattanjob.Key) rattanjob.Submission {
	submission := rattanjob.Submission{Key: key, Kind: job.Kind, Deadline: rattanjson.Duration(job.Deadline)}
	for i, runTime := range job.RunTimes {
		payload, _ := json.Marshal(taskPayload{Job: job.Index, Task: i, RunTime: rattanjson.Duration(runTime)})
		submission.Tasks = append(submission.Tasks, rattanjob.Task{Payload: payload, RunTime: rattanjson.Duration(job.Declared)})
	}
	return submission
}

// countingRunner counts the requests to targets other than dispatches that
// started a task.
type countingRunner struct {
	rattanentry.TaskRunner
	resolved, stopped, refused atomic.Int64
}

// Run counts dispatches that did not start a task.
func (r *countingRunner) Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	result, err := r.TaskRunner.Run(ctx, dispatch)
	if errors.Is(err, rattantarget.ErrNotStarted) {
		r.refused.Add(1)
	}
	return result, err
}

// ResolveOutcome counts the request and passes it on.
func (r *countingRunner) ResolveOutcome(ctx context.Context, address, id string) (rattantarget.Result, error) {
	r.resolved.Add(1)
	return r.TaskRunner.ResolveOutcome(ctx, address, id)
}

// Stop counts the request and passes it on.
func (r *countingRunner) Stop(ctx context.Context, address, id string) (rattantarget.StopResult, error) {
	r.stopped.Add(1)
	return r.TaskRunner.Stop(ctx, address, id)
}
