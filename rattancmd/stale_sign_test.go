package rattancmd_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattansite"
)

// TestServeFirstRequestReadLate guards against a run for a caller that has left: the
// home of a zone was paused before a new instance sent it its first message, a job,
// and reads it after that instance is gone, while the other zone has no room yet.
func TestServeFirstRequestReadLate(t *testing.T) {
	t.Parallel()
	const (
		blockedTime     = 3 * time.Second
		newInstanceTime = 400 * time.Millisecond
	)
	tests := map[string]time.Duration{"before the resend": 900 * time.Millisecond, "after the resend": 1500 * time.Millisecond}
	for name, awakeAfter := range tests {
		t.Run(name, func(t *testing.T) {
			deployment := startDeployment(t, []string{"a", "b"}, 1, 1)
			home, otherZone := deployment.homeOf("a"), deployment.homeOf("b")
			waitFree := deployment.fillZone(otherZone, 1, blockedTime)
			deployment.waitForStarts(fmt.Sprintf("%016x", 0xf000), 1)
			lostAt := time.Now().Add(blockedTime - resendDelay)
			entry := deployment.addInstance("front-a-9", "a")

			time.Sleep(time.Until(lostAt.Add(-newInstanceTime)))
			deployment.signal(home, syscall.SIGSTOP)
			deployment.start(entry)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			deployment.checker.JobSubmitted(lateJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 3 * time.Second})
			body := lateJobBody(3 * time.Second)
			go func() {
				for ctx.Err() == nil && time.Now().Before(lostAt) {
					deployment.sendInContext(ctx, &http.Client{}, entry, lateJob, body, 10*time.Second)
				}
			}()
			time.Sleep(time.Until(lostAt))
			deployment.kill(entry, syscall.SIGKILL)
			time.Sleep(time.Until(lostAt.Add(min(awakeAfter, resendDelay))))
			time.AfterFunc(time.Until(lostAt.Add(awakeAfter)), func() { deployment.signal(home, syscall.SIGCONT) })
			time.Sleep(time.Until(lostAt.Add(resendDelay)))
			answer := deployment.sendWithDeadline(&http.Client{}, otherZone, lateJob, body, 10*time.Second)
			waitFree()
			deployment.Check(answer.Status, qt.Equals, http.StatusOK)
			deployment.Check(deployment.checker.StartsOf(lateJob), qt.Equals, 1)
			// A slow machine may leave the new instance no time to send the job.
			deployment.Logf("the home has read the job: %t", strings.Contains(home.Output(), lateJob))
		})
	}
}

// TestServeJobOfSilentCallerEndsAtDeadline guards against a run that outlasts the
// resend delay of a caller that waits until its deadline and leaves without a sign.
func TestServeJobOfSilentCallerEndsAtDeadline(t *testing.T) {
	t.Parallel()
	const deadline = 2 * time.Second
	deployment := startDeployment(t, []string{"a", "b"}, 2, 2)
	home, otherZone := deployment.homeOf("a"), deployment.homeOf("b")
	for _, entry := range []*serveInstance{home, deployment.followers("a", home)[0]} {
		id := entry.Name[len(entry.Name)-1:] + lateJob[1:]
		deployment.checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: 4000, Duration: lateJobTime})
		conn, err := net.Dial("tcp", entry.IP+":"+rattansite.CallerPort)
		deployment.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		body := lateJobBody(lateJobTime)
		_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", queuePrefix, id, queueHost, deadline.Milliseconds(), len(body), body)
		deployment.Assert(err, qt.IsNil)
		deployment.waitForStarts(id, 1)
		time.Sleep(deadline + resendDelay)
		answer := deployment.sendWithDeadline(&http.Client{}, otherZone, id, body, 10*time.Second)
		deployment.Check(answer.Status, qt.Equals, http.StatusOK)
		deployment.Check(deployment.checker.StartsOf(id), qt.Equals, 2)
	}
}
