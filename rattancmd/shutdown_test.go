package rattancmd_test

import (
	"net"
	"net/http"
	"os"
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
			deployment.Check(instance.ExitCode(), qt.Equals, 0)
			deployment.Check(time.Since(startedAt) < gracePeriod-time.Second, qt.IsTrue, qt.Commentf("ended after %s", time.Since(startedAt)))
			deployment.store.SetOutage(rattansite.OutageNone)
			deployment.Check(deployment.storeHas("rattan/members/"+instance.Name), qt.Equals, test.wantEntry)
		})
	}
}

// TestServeEndsWithUnreadOutput guards against an instance that is killed at the
// end of its grace period because nobody reads its output.
func TestServeEndsWithUnreadOutput(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 1, 1)
	instance := deployment.instances[0]
	deployment.kill(instance, syscall.SIGKILL)
	reader, writer, err := os.Pipe()
	deployment.Assert(err, qt.IsNil)
	defer func() { _ = reader.Close() }()
	defer func() { _ = writer.Close() }()
	fillPipe(deployment.C, writer)
	deployment.Assert(instance.StartWithOutput(writer), qt.IsNil)
	deployment.waitReady(instance)
	startedAt := time.Now()
	deployment.Assert(instance.Signal(syscall.SIGTERM), qt.IsNil)
	select {
	case <-instance.Ended():
		deployment.Check(instance.ExitCode(), qt.Equals, 0)
	case <-time.After(gracePeriod - time.Second):
		deployment.Errorf("not ended after %s", time.Since(startedAt))
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
