package rattanprofile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	// maxTasks is the largest number of tasks of a job; the mean is 3.5.
	maxTasks = 6
	// minRunTime and maxRunTime bound the run time of a task, minMilliCPU and
	// maxMilliCPU its processor demand, so that two fit on a target.
	minRunTime  = 60 * time.Millisecond
	maxRunTime  = 120 * time.Millisecond
	minMilliCPU = 12000
	maxMilliCPU = 16000
	// callerTimeout is how long a caller waits.
	callerTimeout = 4 * time.Second
)

// load submits jobs at random times that do not depend on the answers, so that
// the load does not fall when the home fails.
type load struct {
	zone    *zone
	rate    float64
	client  *http.Client
	random  *rand.Rand
	pending sync.WaitGroup

	mutex   sync.Mutex
	answers Run
	// excess holds the excess times in microseconds.
	excess *hdrhistogram.Histogram
}

// loadJob is one job of the load.
type loadJob struct {
	id      string
	tasks   int
	cpu     int
	runTime time.Duration
}

func newLoad(z *zone, rate float64, seed uint64) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	l := &load{zone: z, rate: rate, client: &http.Client{Transport: transport, Timeout: callerTimeout + time.Second}, random: rand.New(rand.NewPCG(seed, 0))}
	l.reset()
	return l
}

// reset forgets the answers so far.
func (l *load) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = Run{}
	l.excess = hdrhistogram.New(1, callerTimeout.Microseconds(), 3)
}

// run submits jobs for the duration.
func (l *load) run(ctx context.Context, duration time.Duration) {
	next := time.Now()
	end := next.Add(duration)
	for ctx.Err() == nil {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		job := l.nextJob()
		address := l.zone.callerAddress(l.random)
		l.pending.Go(func() { l.submit(ctx, address, job) })
	}
}

// wait waits for all answers.
func (l *load) wait() {
	l.pending.Wait()
}

func (l *load) result() *Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := l.answers
	result.MedianExcess = time.Duration(l.excess.ValueAtQuantile(50)) * time.Microsecond
	result.P99Excess = time.Duration(l.excess.ValueAtQuantile(99)) * time.Microsecond
	return &result
}

func (l *load) nextJob() loadJob {
	return loadJob{
		id:      fmt.Sprintf("%016x", l.random.Uint64()),
		tasks:   1 + l.random.IntN(maxTasks),
		cpu:     minMilliCPU + l.random.IntN(maxMilliCPU-minMilliCPU),
		runTime: minRunTime + time.Duration(l.random.Int64N(int64(maxRunTime-minRunTime))),
	}
}

// callerAddress returns the address of a random instance that is not the home,
// if there is one.
func (z *zone) callerAddress(random *rand.Rand) string {
	index := 0
	if fronts := len(z.instances) - 1; fronts > 0 {
		index = 1 + random.IntN(fronts)
	}
	return z.instances[index].ip + ":" + rattansite.CallerPort
}

func (l *load) submit(ctx context.Context, address string, job loadJob) {
	l.zone.checker.JobSubmitted(job.id, rattansite.TaskProfile{MilliCPU: job.cpu, Duration: job.runTime})
	startedAt := time.Now()
	status := l.send(ctx, address, job)
	excess := time.Since(startedAt) - job.runTime
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers.Jobs++
	switch status {
	case http.StatusOK:
		l.answers.Succeeded++
		l.answers.TasksDone += job.tasks
		// A value above the caller's timeout is not recorded.
		_ = l.excess.RecordValue(max(1, excess.Microseconds()))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		l.answers.Refused++
	default:
		l.answers.Failed++
	}
}

// send returns the status of the answer, 0 if there was none.
func (l *load) send(ctx context.Context, address string, job loadJob) int {
	body := fmt.Appendf(nil, `{"spec":"load","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`, job.tasks, job.cpu, job.runTime.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+job.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	response, err := l.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
