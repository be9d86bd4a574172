package rattancmd_test

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

const (
	// processHistoriesEnv is the environment variable with the number of process
	// histories to run. Their seeds are consecutive and start at the value of
	// processSeedEnv.
	processHistoriesEnv = "RATTAN_PROCESS_HISTORIES"
	processSeedEnv      = "RATTAN_PROCESS_SEED"
	// maxParallelHistories limits the number of clusters that run at the same
	// time.
	maxParallelHistories = 2

	historyDuration = 3 * time.Second
	jobsPerHistory  = 60
	// finalAnswerTimeout is far above the 3 s within which a killed instance's
	// jobs are resolved, because pauses last up to 2.5 s and two faults may occur
	// in succession.
	finalAnswerTimeout = 25 * time.Second
)

// intFromEnv returns the integer value of an environment variable, or the default
// value if it is not set to one.
func intFromEnv(name string, defaultValue int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return defaultValue
	}
	return value
}

// TestProcessHistories guards against violations of the invariants that
// rattancheck checks, and against requests that a termination cuts off. Real
// processes are paused, killed, terminated and restarted at random, with outages
// of the platform, while callers resubmit and cancel through all of them.
func TestProcessHistories(t *testing.T) {
	t.Parallel()
	firstSeed := intFromEnv(processSeedEnv, 1)
	slots := make(chan struct{}, maxParallelHistories)
	for seed := firstSeed; seed < firstSeed+intFromEnv(processHistoriesEnv, 1); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runProcessHistory(qt.New(t), uint64(seed))
		})
	}
}

// processFault is a fault in a process history. The duration applies to pauses
// and to faults of the platform.
type processFault struct {
	kind         string
	after        time.Duration
	duration     time.Duration
	processIndex int
}

// generateFaults returns two or three random faults. The last process is never
// ended, so that callers can always reach one.
func generateFaults(random *rand.Rand, processes int) []processFault {
	kinds := []string{"pause", "pause", "pause last", "kill", "kill and start", "terminate", "terminate and start", "outage", "slow platform"}
	faults := make([]processFault, 2+random.IntN(2))
	for i := range faults {
		faults[i] = processFault{
			kind:         kinds[random.IntN(len(kinds))],
			after:        300*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
			duration:     200*time.Millisecond + time.Duration(random.Int64N(int64(2300*time.Millisecond))),
			processIndex: random.IntN(processes - 1),
		}

		if faults[i].kind == "pause last" {
			faults[i].kind, faults[i].processIndex = "pause", processes-1
		}
	}
	return faults
}

// processHistory is one randomized run against a cluster.
type processHistory struct {
	*cluster
	random *rand.Rand
	// lifecycleMutex serializes faults that pause, end or start processes.
	lifecycleMutex sync.Mutex
	endedByIndex   map[int]bool

	mutex sync.Mutex
	// terminated holds the time of the SIGTERM of each terminated process.
	terminated map[*process]time.Time
}

func runProcessHistory(c *qt.C, seed uint64) {
	const processes = 4
	run := &processHistory{cluster: startCluster(c, processes, 0), random: rand.New(rand.NewPCG(seed, 0)), endedByIndex: map[int]bool{}, terminated: map[*process]time.Time{}}
	faults := generateFaults(run.random, processes)
	ctx, cancel := context.WithTimeout(context.Background(), historyDuration+finalAnswerTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, fault := range faults {
		running.Go(func() {
			time.Sleep(fault.after)
			run.injectFault(fault)
		})
	}
	for range jobsPerHistory {
		job := processJob{
			after:         time.Duration(run.random.Int64N(int64(historyDuration))),
			tasks:         1 + run.random.IntN(4),
			runTime:       time.Duration(run.random.Int64N(int64(400 * time.Millisecond))),
			entryIndex:    run.random.IntN(processes),
			resubmissions: run.random.IntN(3),
			cancel:        run.random.IntN(5) == 0,
			interval:      time.Duration(20+run.random.IntN(200)) * time.Millisecond,
		}
		running.Go(func() { run.runJob(ctx, job) })
	}
	running.Wait()
	run.checkHistory()
	if c.Failed() {
		c.Logf("seed %d (%s=%d): %+v", seed, processSeedEnv, seed, faults)
	}
}

// injectFault injects a fault. A fault of a process that an earlier fault has
// ended is skipped.
func (r *processHistory) injectFault(fault processFault) {
	if fault.kind == "outage" || fault.kind == "slow platform" {
		faults := rattanstandin.Faults{Outage: rattanstandin.OutageSilent}
		if fault.kind == "slow platform" {
			faults = rattanstandin.Faults{Latency: rattanjson.Duration(300 * time.Millisecond), LostResponseRate: 0.5}
		}
		r.platform.SetFaults(faults)
		time.Sleep(fault.duration)
		r.platform.SetFaults(rattanstandin.Faults{})
		return
	}
	r.lifecycleMutex.Lock()
	defer r.lifecycleMutex.Unlock()
	process := r.entries[fault.processIndex]
	if r.endedByIndex[fault.processIndex] {
		return
	}
	switch {
	case fault.kind == "pause":
		_ = process.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(fault.duration)
		_ = process.command.Process.Signal(syscall.SIGCONT)
		return
	case strings.HasPrefix(fault.kind, "kill"):
		_ = process.command.Process.Kill()
	default:
		r.mutex.Lock()
		r.terminated[process] = time.Now()
		r.mutex.Unlock()
		_ = process.command.Process.Signal(syscall.SIGTERM)
	}
	<-process.ended
	r.endedByIndex[fault.processIndex] = true
	if strings.HasSuffix(fault.kind, "start") {
		r.runEntry(process.name, process.address, process.settingsFile)
	}
}

// processJob describes how and when a job of a history is submitted.
type processJob struct {
	after         time.Duration
	tasks         int
	runTime       time.Duration
	entryIndex    int
	resubmissions int
	cancel        bool
	interval      time.Duration
}

// runJob submits the job until it gets a final answer. Meanwhile it resubmits and
// cancels the job through other processes, and at the end it requests its status.
func (r *processHistory) runJob(ctx context.Context, job processJob) {
	time.Sleep(job.after)
	submission := r.newSubmission(r.keys(1)[0], job.tasks, job.runTime)
	var requests sync.WaitGroup
	for i := range job.resubmissions {
		requests.Go(func() {
			time.Sleep(time.Duration(i+1) * job.interval)
			r.send(ctx, job.entryIndex+i+1, rattancheck.OperationSubmit, submission)
		})
	}
	if job.cancel {
		requests.Go(func() {
			time.Sleep(job.interval)
			r.send(ctx, job.entryIndex+2, rattancheck.OperationCancel, submission)
		})
	}
	for entryIndex := job.entryIndex; !r.send(ctx, entryIndex, rattancheck.OperationSubmit, submission) && ctx.Err() == nil; entryIndex++ {
		time.Sleep(50 * time.Millisecond)
	}
	requests.Wait()
	r.send(ctx, job.entryIndex+1, rattancheck.OperationStatus, submission)
}

// send sends a request through a process, records it and reports whether the
// answer is final. It fails the test if a request that began before a SIGTERM of
// the process got no answer.
func (r *processHistory) send(ctx context.Context, entryIndex int, operation rattancheck.Operation, submission rattanjob.Submission) bool {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	entry := r.entries[entryIndex%len(r.entries)]
	startedAt := time.Now()
	var answer rattanjob.Answer
	var err error
	switch operation {
	case rattancheck.OperationSubmit:
		answer, err = r.submit(ctx, entry, submission, 2*time.Second)
	case rattancheck.OperationStatus:
		answer, err = r.status(ctx, entry, submission.Key, 50*time.Millisecond)
	default:
		sentAt := time.Now()
		answer, err = r.client(entry).Cancel(ctx, submission.Key)
		r.history.Requested(rattancheck.Request{
			Operation: operation, Key: submission.Key, Instance: entry.name,
			SentAt: sentAt, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
		})
	}
	if err != nil && ctx.Err() == nil {
		r.mutex.Lock()
		terminatedAt, terminated := r.terminated[entry]
		r.mutex.Unlock()
		r.c.Check(terminated && startedAt.Before(terminatedAt), qt.IsFalse, qt.Commentf("%s was terminated with a request in progress: %v", entry.name, err))
	}
	return err == nil && answer.State.Final()
}
