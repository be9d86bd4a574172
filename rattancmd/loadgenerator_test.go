package rattancmd_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlever/rattanlever/rattansite"
)

// loadGenerator sends jobs from concurrent callers until it is stopped, and
// counts the answers.
type loadGenerator struct {
	deployment *deployment
	stop       chan struct{}
	callers    sync.WaitGroup
	succeeded  atomic.Int64
	refused    atomic.Int64
	unanswered atomic.Int64
	unexpected atomic.Int64
	// lastSuccess is the Unix time of the last success in nanoseconds.
	lastSuccess atomic.Int64
}

func (d *deployment) startLoad(callers int) *loadGenerator {
	generator := &loadGenerator{deployment: d, stop: make(chan struct{})}
	for range callers {
		generator.callers.Go(generator.runCaller)
	}
	return generator
}

func (g *loadGenerator) finish() {
	close(g.stop)
	g.callers.Wait()
}

func (g *loadGenerator) runCaller() {
	client := &http.Client{Timeout: requestDeadline + time.Second, Transport: &http.Transport{}}
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(time.Duration(rand.IntN(30)) * time.Millisecond):
		}
		g.sendJob(client)
	}
}

// sendJob sends a job, up to three times while its outcome is unknown.
func (g *loadGenerator) sendJob(client *http.Client) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	tasks := 1 + rand.IntN(4)
	runTime := time.Duration(20+rand.IntN(150)) * time.Millisecond
	cpu := 6000 + rand.IntN(8000)
	g.deployment.checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: cpu, Duration: runTime})
	body := fmt.Appendf(nil, `{"spec":"s","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`, tasks, cpu, runTime.Milliseconds())
	outcomeUnknown := false
	for range 3 {
		instance := g.deployment.instances[rand.IntN(len(g.deployment.instances))]
		answer := g.deployment.send(client, instance, id, body)
		switch {
		case answer.Status == http.StatusOK && strings.Contains(answer.Body, "succeeded"):
			g.deployment.checker.JobSucceeded(id, tasks)
			g.succeeded.Add(1)
			g.lastSuccess.Store(time.Now().UnixNano())
			return
		case answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests:
			if !outcomeUnknown {
				g.deployment.checker.JobRefused(id)
			}
			g.refused.Add(1)
			return
		case answer.Status == 0:
			g.unanswered.Add(1)
		case answer.Status != http.StatusGatewayTimeout:
			g.unexpected.Add(1)
			g.deployment.Logf("job %s was answered with status %d by %s: %s", id, answer.Status, instance.Name, answer.Body)
			g.deployment.processes.LogLines(g.deployment, id)
			return
		}
		outcomeUnknown = true
		time.Sleep(resendDelay)
	}
}

// waitForSuccess waits until a job has succeeded since the given time, and
// returns how long that took.
func (g *loadGenerator) waitForSuccess(since time.Time) time.Duration {
	for g.lastSuccess.Load() < since.UnixNano() {
		if time.Since(since) > startTimeout {
			g.deployment.Fatalf("jobs no longer succeed")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(since)
}
