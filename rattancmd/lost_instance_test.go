package rattancmd_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattansite"
)

// TestServePausedHomeKeepsNoRunOfLostInstance guards against a run that outlasts
// the resend delay of its caller: its instance falls silent, and the home pauses
// before it notices, with fresh leases or until just before the caller sends the
// job to another zone.
func TestServePausedHomeKeepsNoRunOfLostInstance(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ pauseAfter, pause time.Duration }{
		"awake before the resend": {350 * time.Millisecond, 700 * time.Millisecond},
		"awake after the resend":  {600 * time.Millisecond, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			deployment := startDeployment(t, []string{"a", "b"}, 2, 2)
			home, otherZone := deployment.homeOf("a"), deployment.homeOf("b")
			entry := deployment.followers("a", home)[0]
			deployment.checker.JobSubmitted(redirectedJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 3 * time.Second})
			body := []byte(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":4000,"mem_mb":64,"estimate_ms":3000}]}`)
			go deployment.sendWithDeadline(&http.Client{}, entry, redirectedJob, body, 10*time.Second)
			deployment.waitForStarts(redirectedJob, 1)
			time.Sleep(300 * time.Millisecond)

			lostAt := time.Now()
			deployment.signal(entry, syscall.SIGSTOP)
			time.Sleep(test.pauseAfter)
			deployment.signal(home, syscall.SIGSTOP)
			time.AfterFunc(test.pause, func() { deployment.signal(home, syscall.SIGCONT) })
			time.Sleep(time.Until(lostAt.Add(resendDelay)))
			answer := deployment.sendWithDeadline(&http.Client{}, otherZone, redirectedJob, body, 10*time.Second)
			deployment.Check(answer.Status, qt.Equals, http.StatusOK)
		})
	}
}

// TestServeTaskOfLostInstanceRunsOnce guards against a run that outlasts the resend
// delay of its caller: its instance falls silent while the task waits for room, the
// task starts under a lease that its target already holds, and the home pauses.
func TestServeTaskOfLostInstanceRunsOnce(t *testing.T) {
	t.Parallel()
	const (
		blockedTime  = 2200 * time.Millisecond
		silentBefore = 560 * time.Millisecond
		pausedAfter  = 30 * time.Millisecond
		pause        = 1200 * time.Millisecond
	)
	deployment := startDeployment(t, []string{"a", "b"}, 2, 1)
	home, otherZone := deployment.homeOf("a"), deployment.homeOf("b")
	entry := deployment.followers("a", home)[0]
	blocking := []byte(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":32000,"mem_mb":64,"estimate_ms":2000}]}`)
	for zone, instance := range map[string]*serveInstance{"a": home, "b": otherZone} {
		id := zone + redirectedJob[1:]
		deployment.checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: 32000, Duration: blockedTime})
		go deployment.sendWithDeadline(&http.Client{}, instance, id, blocking, 10*time.Second)
		deployment.waitForStarts(id, 1)
	}
	endOfBlock := time.Now().Add(blockedTime)
	deployment.checker.JobSubmitted(redirectedJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 3 * time.Second})
	body := []byte(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":4000,"mem_mb":64,"estimate_ms":3000}]}`)
	go deployment.sendWithDeadline(&http.Client{}, entry, redirectedJob, body, 10*time.Second)

	time.Sleep(time.Until(endOfBlock.Add(-silentBefore)))
	lostAt := time.Now()
	deployment.signal(entry, syscall.SIGSTOP)
	time.Sleep(time.Until(endOfBlock.Add(pausedAfter)))
	deployment.signal(home, syscall.SIGSTOP)
	time.AfterFunc(pause, func() { deployment.signal(home, syscall.SIGCONT) })
	deployment.Check(deployment.checker.StartsOf(redirectedJob), qt.Equals, 0)
	time.Sleep(time.Until(lostAt.Add(resendDelay)))
	answer := deployment.sendWithDeadline(&http.Client{}, otherZone, redirectedJob, body, 10*time.Second)
	deployment.Check(answer.Status, qt.Equals, http.StatusOK)
}

// signal sends a signal to the process of an instance.
func (d *deployment) signal(instance *serveInstance, signal syscall.Signal) {
	d.Check(instance.Signal(signal), qt.IsNil)
}

// TestServeStaleRequestStartsNothing guards against a run for a caller that has
// left: an instance that was paused reads the request only after the caller has
// sent the job to another zone.
func TestServeStaleRequestStartsNothing(t *testing.T) {
	t.Parallel()
	for _, throughHome := range []bool{false, true} {
		t.Run(fmt.Sprintf("through home %t", throughHome), func(t *testing.T) {
			deployment := startDeployment(t, []string{"a", "b"}, 2, 2)
			entry, otherZone := deployment.homeOf("a"), deployment.homeOf("b")
			if !throughHome {
				entry = deployment.followers("a", entry)[0]
			}
			deployment.checker.JobSubmitted(redirectedJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 3 * time.Second})
			body := []byte(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":4000,"mem_mb":64,"estimate_ms":3000}]}`)
			deployment.signal(entry, syscall.SIGSTOP)
			deployment.sendWithDeadline(&http.Client{Timeout: 300 * time.Millisecond}, entry, redirectedJob, body, 10*time.Second)
			time.Sleep(resendDelay)
			time.AfterFunc(time.Second, func() { deployment.signal(entry, syscall.SIGCONT) })
			answer := deployment.sendWithDeadline(&http.Client{}, otherZone, redirectedJob, body, 10*time.Second)
			deployment.Check(answer.Status, qt.Equals, http.StatusOK)
			deployment.Check(deployment.checker.StartsOf(redirectedJob), qt.Equals, 1)
		})
	}
}
