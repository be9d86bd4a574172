package rattanrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	// resendDelay is how long a caller waits before it sends a job again whose
	// outcome it does not know. It equals retransmit_ms in the settings.
	resendDelay = 1300 * time.Millisecond
	// deadlineBase is how long callers wait for an answer, beside three times the
	// run time of the job. answerSlack is how much later the answer may come.
	deadlineBase = 4 * time.Second
	answerSlack  = 500 * time.Millisecond
	// maxAttempts is how often a caller sends a job.
	maxAttempts = 5
	maxPause    = 300 * time.Millisecond
	maxTasks    = 4
	minMilliCPU = 500
	maxMilliCPU = 6000
	// cancelShare is the share of jobs that are cancelled, within maxCancelDelay.
	cancelShare    = 0.2
	maxCancelDelay = 1500 * time.Millisecond
	cancelTimeout  = 4 * time.Second
)

// runTimes are the run times of tasks. Each job has one of them. The longest are long
// enough for a run to be active when a late request is executed.
var runTimes = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}

// caller submits one job after the other.
type caller struct {
	rig    *rig
	random *rand.Rand
	number int
	jobs   int
	// transport keeps the connections of every second caller open, which uses them until
	// the process at the other end is gone.
	transport *http.Transport
}

func newCaller(r *rig, number int) *caller {
	return &caller{
		rig: r, random: r.random(uint64(number) + 1), number: number,
		transport: &http.Transport{DisableKeepAlives: number%2 == 0},
	}
}

// run submits jobs until the context ends, and waits for the last one.
func (c *caller) run(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.submit()
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
	}
}

// job is a job of a caller.
type job struct {
	id       string
	body     []byte
	tasks    int
	deadline time.Duration
	// cancelSent is set once the caller has cancelled the job, cancelled once an
	// instance has answered that it is cancelled or unknown.
	cancelSent, cancelled atomic.Bool
	ended                 chan struct{}
}

func (c *caller) newJob() *job {
	c.jobs++
	runTime := runTimes[c.random.IntN(len(runTimes))]
	tasks, milliCPU := 1+c.random.IntN(maxTasks), minMilliCPU+c.random.IntN(maxMilliCPU-minMilliCPU)
	j := &job{
		id:    fmt.Sprintf("%08x%02x%06x", uint32(c.rig.config.Seed), c.number, c.jobs),
		tasks: tasks, deadline: deadlineBase + 3*runTime, ended: make(chan struct{}),
	}
	j.body = fmt.Appendf(nil, `{"spec":"s","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`, tasks, milliCPU, runTime.Milliseconds())
	c.rig.deployment.Checker.JobSubmitted(j.id, rattansite.TaskProfile{MilliCPU: milliCPU, Duration: runTime})
	return j
}

// submit submits a job until its outcome is known, it is cancelled, or the caller
// gives up.
func (c *caller) submit() {
	j := c.newJob()
	c.rig.count(func(report *Report) { report.Jobs++ })
	defer close(j.ended)
	if c.random.Float64() < cancelShare {
		delay := time.Duration(c.random.Int64N(int64(maxCancelDelay)))
		go c.rig.cancel(j, delay, c.rig.random(c.random.Uint64()))
	}
	uncertain := false
	for range maxAttempts {
		answer := c.post(j, c.rig.instances[c.random.IntN(len(c.rig.instances))])
		switch answer.Status {
		case http.StatusOK:
			c.rig.jobEnded(j, answer.Body)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if !uncertain {
				c.rig.deployment.Checker.JobRefused(j.id)
			}
			c.rig.count(func(report *Report) { report.Refused++ })
			return
		case noAnswer, http.StatusBadGateway, http.StatusGatewayTimeout:
			uncertain = true
		default:
			if !j.cancelled.Load() {
				c.rig.violate("job %s was answered with status %d: %s", j.id, answer.Status, answer.Body)
			}
			return
		}
		for resendAt := time.Now().Add(resendDelay); time.Now().Before(resendAt) && !j.cancelled.Load(); {
			time.Sleep(readyInterval)
		}
		if j.cancelled.Load() {
			return
		}
	}
	c.rig.record("caller gives up on job %s", j.id)
}

// jobEnded checks the answer that reports the end of a job.
func (r *rig) jobEnded(j *job, body string) {
	switch {
	case strings.Contains(body, `"succeeded"`):
		r.deployment.Checker.JobSucceeded(j.id, j.tasks)
		r.count(func(report *Report) { report.Succeeded++ })
	case strings.Contains(body, `"failed"`):
		r.deployment.Checker.JobFailed(j.id, j.tasks)
		r.count(func(report *Report) { report.Failed++ })
	case !j.cancelSent.Load():
		r.violate("job %s, which nobody has cancelled, was answered with %s", j.id, body)
	}
}

// cancel cancels a job at any instances until one answers or the job has ended.
func (r *rig) cancel(j *job, delay time.Duration, random *rand.Rand) {
	for {
		select {
		case <-j.ended:
			return
		case <-time.After(delay):
		}
		j.cancelSent.Store(true)
		answer := r.request(&http.Transport{DisableKeepAlives: true}, r.instances[random.IntN(len(r.instances))], http.MethodDelete, j, cancelTimeout)
		// Both answers say that the job does not go on.
		if answer.Status == http.StatusOK || answer.Status == http.StatusGone {
			r.deployment.Checker.JobCancelled(j.id)
			j.cancelled.Store(true)
			r.count(func(report *Report) {
				if answer.Status == http.StatusOK {
					report.Cancelled++
				} else {
					report.CancelsRefused++
				}
			})
			return
		}
		delay = resendDelay
	}
}

// post sends a job to an instance, which must answer within the deadline unless it
// is disturbed meanwhile.
func (c *caller) post(j *job, i *instance) rattanprocess.Answer {
	r := c.rig
	sentAt := time.Now()
	got := r.request(c.transport, i, http.MethodPost, j, j.deadline+answerSlack)
	if got.Status != noAnswer {
		return got
	}
	r.count(func(report *Report) { report.Unanswered++ })
	if time.Since(sentAt) >= j.deadline+answerSlack && i.undisturbedSince(sentAt) {
		r.violate("job %s got no answer from %s within %v", j.id, i.Name, j.deadline+answerSlack)
	}
	return got
}

// noAnswer is the status of a request without an answer.
const noAnswer = 0

// request sends a request for a job on a connection of the transport.
func (r *rig) request(transport *http.Transport, i *instance, method string, j *job, timeout time.Duration) (got rattanprocess.Answer) {
	r.record("caller: %s job %s at %s", method, j.id, i.Name)
	defer func() { r.record("caller: %s job %s at %s: %d %s", method, j.id, i.Name, got.Status, got.Body) }()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := i.NewRequest(ctx, method, rattanprocess.Prefix+j.id, j.body, j.deadline)
	if err != nil {
		return rattanprocess.Answer{}
	}
	return rattanprocess.AnswerTo(transport.RoundTrip, request)
}
