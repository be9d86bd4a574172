package rattancmd_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattansite"
)

// gracePeriod is the time between SIGTERM and SIGKILL in the settings of the
// stand-in.
const gracePeriod = 6 * time.Second

// TestServeEndsWithinGracePeriod guards against instances that are killed at
// the end of their grace period: a connection without a request kept the server
// open, and a silent store kept the directory entry from being removed.
func TestServeEndsWithinGracePeriod(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		outage    rattansite.Outage
		connected bool
		wantEntry bool
	}{
		"idle":                       {},
		"connection without request": {connected: true},
		"silent store":               {outage: rattansite.OutageSilent, wantEntry: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment := startDeployment(t, []string{"a"}, 1, 1)
			instance := deployment.instances[0]
			deployment.store.SetOutage(test.outage)
			lateness := measureLateness(t)
			startedAt := time.Now()
			deployment.Assert(instance.Signal(syscall.SIGTERM), qt.IsNil)
			if test.connected {
				// Opened late, so that it is still new when the server ends.
				time.Sleep(2 * time.Second)
				conn, err := net.Dial("tcp", instance.IP+":"+rattansite.CallerPort)
				deployment.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
			}
			<-instance.Ended()
			elapsed := time.Since(startedAt)
			deployment.Check(instance.ExitCode(), qt.Equals, 0)
			deployment.Check(elapsed < gracePeriod-time.Second, qt.IsTrue, qt.Commentf("ended after %s; this process ran up to %s late", elapsed, time.Duration(lateness.Load())))
			deployment.store.SetOutage(rattansite.OutageNone)
			deployment.Check(deployment.storeHas("rattan/members/"+instance.Name), qt.Equals, test.wantEntry)
		})
	}
}

// measureLateness measures by how much this process runs late at the most, until the
// test ends. The end of another process is seen that much later.
func measureLateness(t *testing.T) *atomic.Int64 {
	const interval = 10 * time.Millisecond
	var lateness atomic.Int64
	go func() {
		for t.Context().Err() == nil {
			before := time.Now()
			time.Sleep(interval)
			if late := int64(time.Since(before) - interval); late > lateness.Load() {
				lateness.Store(late)
			}
		}
	}()
	return &lateness
}

// startWithUnreadOutput starts a deployment of one instance, whose output is a pipe that is
// full and that nobody reads.
func startWithUnreadOutput(t *testing.T) (*deployment, *serveInstance) {
	deployment := startDeployment(t, []string{"a"}, 1, 1)
	instance := deployment.instances[0]
	deployment.kill(instance, syscall.SIGKILL)
	reader, writer, err := os.Pipe()
	deployment.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = reader.Close() })
	t.Cleanup(func() { _ = writer.Close() })
	fillPipe(deployment.C, writer)
	deployment.Assert(instance.StartWithOutput(writer), qt.IsNil)
	deployment.waitReady(instance)
	return deployment, instance
}

// TestServeEndsWithUnreadOutput guards against an instance that is killed at the
// end of its grace period because nobody reads its output.
func TestServeEndsWithUnreadOutput(t *testing.T) {
	t.Parallel()
	deployment, instance := startWithUnreadOutput(t)
	startedAt := time.Now()
	deployment.Assert(instance.Signal(syscall.SIGTERM), qt.IsNil)
	select {
	case <-instance.Ended():
		deployment.Check(instance.ExitCode(), qt.Equals, 0)
	case <-time.After(gracePeriod - time.Second):
		deployment.Errorf("not ended after %s", time.Since(startedAt))
	}
}

// TestServeEndsWithinGracePeriodOnSmallMachine guards against an instance that is
// killed at the end of its grace period because the bounds of its waits leave no time
// for a small share of a processor: requests are in progress until the last moment,
// the store is silent, nobody reads the output, and the process runs for 14.4% of the
// time.
func TestServeEndsWithinGracePeriodOnSmallMachine(t *testing.T) {
	t.Parallel()
	deployment, instance := startWithUnreadOutput(t)
	answers := make(chan serveAnswer)
	const requests = 10
	for i := range requests {
		id := fmt.Sprintf("%016x", 0xaa0+i)
		deployment.checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: 500, Duration: 2 * gracePeriod})
		body := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":12000}]}`
		go func() {
			answers <- deployment.sendWithDeadline(&http.Client{}, instance, id, []byte(body), 3*gracePeriod)
		}()
	}
	deployment.waitStarts(requests)
	deployment.store.SetOutage(rattansite.OutageSilent)
	defer slowDown(instance)()
	lateness := measureLateness(t)
	startedAt := time.Now()
	deployment.Assert(instance.Signal(syscall.SIGTERM), qt.IsNil)
	<-instance.Ended()
	elapsed := time.Since(startedAt)
	deployment.Logf("ended after %s; this process ran up to %s late", elapsed, time.Duration(lateness.Load()))
	deployment.Check(elapsed < gracePeriod, qt.IsTrue)
	deployment.Check(instance.ExitCode(), qt.Equals, 0)
	for range requests {
		answer := <-answers
		deployment.Check(answer.Status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", answer.Body))
	}
}

// waitStarts returns once tasks have started that many times.
func (d *deployment) waitStarts(want int) {
	d.Helper()
	for deadline := time.Now().Add(startTimeout); d.checker.Starts() < want; time.Sleep(10 * time.Millisecond) {
		d.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

// slowDown lets a process run for 14.4% of the time, in periods of 100 ms like a
// machine with that share of a processor, until the returned function is called.
func slowDown(instance *serveInstance) (restore func()) {
	const running, stopped = 14400 * time.Microsecond, 85600 * time.Microsecond
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() {
		for ctx.Err() == nil {
			_ = instance.Signal(syscall.SIGSTOP)
			time.Sleep(stopped)
			_ = instance.Signal(syscall.SIGCONT)
			time.Sleep(running)
		}
	})
	return func() {
		cancel()
		loop.Wait()
	}
}

// fillPipe writes to the pipe until it takes no more.
func fillPipe(c *qt.C, writer *os.File) {
	c.Assert(writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
	for {
		if _, err := writer.Write(make([]byte, 512)); err != nil {
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
			return
		}
	}
}

// storeHas reports whether the store has the key.
func (d *deployment) storeHas(key string) bool {
	response, err := http.Get("http://" + d.store.Address() + "/api/kv-key?key=" + key)
	d.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
