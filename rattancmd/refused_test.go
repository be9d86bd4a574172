package rattancmd_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanred"
	"github.com/rattanlever/rattanlever/rattansite"
)

// TestServeStoppedJobIsNotRefused guards against telling a caller that its job has not run, although its home has stopped it while the caller's instance was paused.
func TestServeStoppedJobIsNotRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		duration  time.Duration
		newPrefix string
	}{
		"route removed": {lateJobTime, "/other/"},
		"too late":      {1500 * time.Millisecond, queuePrefix},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rattanred.SkipKnownFailure(t)
			changeStateAsFrontsWake(t, test.duration, test.newPrefix)
		})
	}
}

// changeStateAsFrontsWake lets all followers of a zone submit a job and pauses them
// until the home has stopped and forgotten the jobs. As they wake, a desired state
// with the prefix alone comes into force.
func changeStateAsFrontsWake(t *testing.T, duration time.Duration, prefix string) {
	const (
		fronts = 4
		// forgetTime is longer than it takes a home to stop the jobs of a silent
		// instance and to forget them.
		forgetTime = 7 * time.Second
		// wakeInterval is the time between the wakes of two fronts. Each submits its
		// job again after 40 ms.
		wakeInterval = 8 * time.Millisecond
	)
	deployment := startDeployment(t, []string{"a"}, fronts+1, 2)
	followers := deployment.followers("a", deployment.homeOf("a"))
	answers := map[string]<-chan serveAnswer{}
	for i, front := range followers {
		id := fmt.Sprintf("%016x", 0xd0+i)
		answers[id] = deployment.submitLateJob(front, id, duration)
		deployment.waitForStarts(id, 1)
		deployment.store.SetOutageAt(front.StoreAddress, rattansite.OutageSilent)
	}
	for _, front := range followers {
		deployment.Assert(front.Signal(syscall.SIGSTOP), qt.IsNil)
	}
	time.Sleep(forgetTime)
	for _, front := range followers {
		deployment.Assert(front.Signal(syscall.SIGCONT), qt.IsNil)
		time.Sleep(wakeInterval)
	}
	deployment.putDesiredRoutes(prefix)
	for id, answer := range answers {
		got := <-answer
		deployment.Logf("%s: answer %d %s, %d starts", id, got.Status, got.Body, deployment.checker.StartsOf(id))
		if got.Status == http.StatusServiceUnavailable || got.Status == http.StatusNotFound {
			deployment.checker.JobRefused(id)
		}
	}
}
