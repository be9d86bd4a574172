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
	// processHistoriesVariable is the number of process histories to run; each
	// has a seed of its own, counted up from processSeedVariable.
	processHistoriesVariable = "RATTAN_PROCESS_HISTORIES"
	processSeedVariable      = "RATTAN_PROCESS_SEED"
	// parallelProcessHistories bounds the clusters that run at the same time.
	parallelProcessHistories = 2

	historyTime = 3 * time.Second
	historyJobs = 60
	// resolveTimeout is far above the 3 s in which a killed instance's jobs are
	// resolved: pauses last up to 2.5 s, and two faults may follow one another.
	resolveTimeout = 25 * time.Second
)

func environment(name string, missing int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return missing
	}
	return value
}

// Guards I1 to I5 and I7 on real processes that are paused, killed, terminated and
// started again at random, with outages of the platform, while callers resubmit
// and cancel through all of them.
func TestProcessHistories(t *testing.T) {
	t.Parallel()
	first := environment(processSeedVariable, 1)
	slots := make(chan struct{}, parallelProcessHistories)
	for seed := first; seed < first+environment(processHistoriesVariable, 1); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runProcessHistory(qt.New(t), uint64(seed))
		})
	}
}

// processFault is one fault of a process history.
type processFault struct {
	kind   string
	at     time.Duration
	lasts  time.Duration
	victim int
}

// drawFaults draws two or three faults. The last process is never ended, so
// that callers always find one.
func drawFaults(random *rand.Rand, processes int) []processFault {
	kinds := []string{"pause", "pause", "pause last", "kill", "kill and start", "terminate", "terminate and start", "outage", "slow platform"}
	faults := make([]processFault, 2+random.IntN(2))
	for i := range faults {
		faults[i] = processFault{
			kind:   kinds[random.IntN(len(kinds))],
			at:     300*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
			lasts:  200*time.Millisecond + time.Duration(random.Int64N(int64(2300*time.Millisecond))),
			victim: random.IntN(processes - 1),
		}

		if faults[i].kind == "pause last" {
			faults[i].kind, faults[i].victim = "pause", processes-1
		}
	}
	return faults
}

// processHistory is one run.
type processHistory struct {
	*cluster
	random *rand.Rand
	// ending orders what ends and starts processes.
	ending sync.Mutex
	ended  map[int]bool

	mutex sync.Mutex
	// terminated has the time of the SIGTERM of each process.
	terminated map[*process]time.Time
}

func runProcessHistory(c *qt.C, seed uint64) {
	const processes = 4
	run := &processHistory{cluster: startCluster(c, processes, 0), random: rand.New(rand.NewPCG(seed, 0)), ended: map[int]bool{}, terminated: map[*process]time.Time{}}
	faults := drawFaults(run.random, processes)
	ctx, cancel := context.WithTimeout(context.Background(), historyTime+resolveTimeout)
	defer cancel()
	var work sync.WaitGroup
	for _, fault := range faults {
		work.Go(func() {
			time.Sleep(fault.at)
			run.inject(fault)
		})
	}
	for range historyJobs {
		job := processJob{
			at:       time.Duration(run.random.Int64N(int64(historyTime))),
			tasks:    1 + run.random.IntN(4),
			runTime:  time.Duration(run.random.Int64N(int64(400 * time.Millisecond))),
			entry:    run.random.IntN(processes),
			further:  run.random.IntN(3),
			cancels:  run.random.IntN(5) == 0,
			interval: time.Duration(20+run.random.IntN(200)) * time.Millisecond,
		}
		work.Go(func() { run.job(ctx, job) })
	}
	work.Wait()
	run.checkHistory()
	if c.Failed() {
		c.Logf("seed %d (%s=%d): %+v", seed, processSeedVariable, seed, faults)
	}
}

// inject applies one fault. A process that was ended for good is spared.
func (r *processHistory) inject(fault processFault) {
	if fault.kind == "outage" || fault.kind == "slow platform" {
		faults := rattanstandin.Faults{Outage: rattanstandin.OutageSilent}
		if fault.kind == "slow platform" {
			faults = rattanstandin.Faults{Latency: rattanjson.Duration(300 * time.Millisecond), LostAnswers: 0.5}
		}
		r.platform.SetFaults(faults)
		time.Sleep(fault.lasts)
		r.platform.SetFaults(rattanstandin.Faults{})
		return
	}
	r.ending.Lock()
	defer r.ending.Unlock()
	victim := r.entries[fault.victim]
	if r.ended[fault.victim] {
		return
	}
	switch {
	case fault.kind == "pause":
		_ = victim.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(fault.lasts)
		_ = victim.command.Process.Signal(syscall.SIGCONT)
		return
	case strings.HasPrefix(fault.kind, "kill"):
		_ = victim.command.Process.Kill()
	default:
		r.mutex.Lock()
		r.terminated[victim] = time.Now()
		r.mutex.Unlock()
		_ = victim.command.Process.Signal(syscall.SIGTERM)
	}
	<-victim.ended
	r.ended[fault.victim] = true
	if strings.HasSuffix(fault.kind, "start") {
		r.runEntry(victim.name, victim.address, victim.file)
	}
}

// processJob is one job of a history.
type processJob struct {
	at       time.Duration
	tasks    int
	runTime  time.Duration
	entry    int
	further  int
	cancels  bool
	interval time.Duration
}

// job submits until the answer is final, and resubmits, cancels and asks
// through other processes meanwhile.
func (r *processHistory) job(ctx context.Context, job processJob) {
	time.Sleep(job.at)
	sent := r.submission(r.keys(1)[0], job.tasks, job.runTime)
	var requests sync.WaitGroup
	for i := range job.further {
		requests.Go(func() {
			time.Sleep(time.Duration(i+1) * job.interval)
			r.ask(ctx, job.entry+i+1, rattancheck.OperationSubmit, sent)
		})
	}
	if job.cancels {
		requests.Go(func() {
			time.Sleep(job.interval)
			r.ask(ctx, job.entry+2, rattancheck.OperationCancel, sent)
		})
	}
	for entry := job.entry; !r.ask(ctx, entry, rattancheck.OperationSubmit, sent) && ctx.Err() == nil; entry++ {
		time.Sleep(50 * time.Millisecond)
	}
	requests.Wait()
	r.ask(ctx, job.entry+1, rattancheck.OperationStatus, sent)
}

// ask sends one request through a process, records it, and reports whether the
// answer is final.
func (r *processHistory) ask(ctx context.Context, entry int, operation rattancheck.Operation, sent rattanjob.Submission) bool {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	through := r.entries[entry%len(r.entries)]
	began := time.Now()
	var answer rattanjob.Answer
	var err error
	switch operation {
	case rattancheck.OperationSubmit:
		answer, err = r.submit(ctx, through, sent, 2*time.Second)
	case rattancheck.OperationStatus:
		answer, err = r.status(ctx, through, sent.Key, 50*time.Millisecond)
	default:
		asked := time.Now()
		answer, err = r.client(through).Cancel(ctx, sent.Key)
		r.history.Requested(rattancheck.Request{
			Operation: operation, Key: sent.Key, Instance: through.name,
			SentAt: asked, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
		})
	}
	if err != nil && ctx.Err() == nil {
		r.mutex.Lock()
		at, terminated := r.terminated[through]
		r.mutex.Unlock()
		r.c.Check(terminated && began.Before(at), qt.IsFalse, qt.Commentf("%s was terminated with a request in progress: %v", through.name, err))
	}
	return err == nil && answer.State.Final()
}
