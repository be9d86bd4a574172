package rattancmd_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	// cancelledJob is the ID of a job that its caller cancels.
	cancelledJob = "00000000000000cc"
	// copyDeadline is how long the caller of a copy of a job waits.
	copyDeadline = 8 * time.Second
	// stopTime bounds the time until nothing runs of a cancelled job.
	stopTime      = 500 * time.Millisecond
	cancelledBody = `{"state":"cancelled"}`
)

// cancelRig is a deployment with a job of two steps, the second of which starts
// 2 s after the first.
type cancelRig struct {
	*deployment
	home, front, other *serveInstance
	body               []byte
}

func newCancelRig(t *testing.T, zones []string) *cancelRig {
	rig := &cancelRig{deployment: startDeployment(t, zones, 3, 2)}
	rig.checker.ForbidStartsOfCancelledJobs()
	rig.home = rig.homeOf("a")
	followers := rig.followers("a", rig.home)
	rig.front, rig.other = followers[0], followers[1]
	rig.checker.JobSubmitted(cancelledJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 2 * time.Second})
	rig.body = []byte(`{"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":4000,"mem_mb":64,"estimate_ms":2000},{"count":2,"cpu":4000,"mem_mb":64,"estimate_ms":2000,"after":[0]}]}`)
	return rig
}

// submit sends the job and returns the channel that gets the answer.
func (r *cancelRig) submit(instance *serveInstance) <-chan serveAnswer {
	answers := make(chan serveAnswer, 1)
	go func() {
		answers <- r.sendWithDeadline(&http.Client{}, instance, cancelledJob, r.body, copyDeadline)
	}()
	return answers
}

// delete sends a DELETE request for a job.
func (d *deployment) delete(instance *serveInstance, id string) serveAnswer {
	return request(context.Background(), &http.Client{}, instance, http.MethodDelete, queuePrefix+id, nil, 0)
}

// cancel cancels the job, and checks the status and that nothing of it runs on or
// starts later.
func (r *cancelRig) cancel(instance *serveInstance, statuses ...int) {
	r.Helper()
	answer := r.delete(instance, cancelledJob)
	r.Assert(slices.Contains(statuses, answer.Status), qt.IsTrue, qt.Commentf("status %d", answer.Status))
	r.checker.JobCancelled(cancelledJob)
	r.checkStopped()
}

func (r *cancelRig) checkStopped() {
	r.Helper()
	time.Sleep(stopTime)
	r.Check(r.checker.RunsOf(cancelledJob), qt.Equals, 0)
}

// checkCancelled checks an answer to a submission of the cancelled job.
func (r *cancelRig) checkCancelled(answer serveAnswer) {
	r.Helper()
	r.Check(answer.Status, qt.Equals, http.StatusOK)
	r.Check(answer.Body, qt.Equals, cancelledBody)
}

// TestServeCancelReachesJobOfOtherInstance guards against a job that runs on
// because its DELETE request reaches another instance than its submission.
func TestServeCancelReachesJobOfOtherInstance(t *testing.T) {
	t.Parallel()
	tests := map[string]func(r *cancelRig) (submitTo, cancelAt *serveInstance){
		"at the home":                 func(r *cancelRig) (_, _ *serveInstance) { return r.front, r.home },
		"submitted to the home":       func(r *cancelRig) (_, _ *serveInstance) { return r.home, r.other },
		"at another instance":         func(r *cancelRig) (_, _ *serveInstance) { return r.front, r.other },
		"at the same instance":        func(r *cancelRig) (_, _ *serveInstance) { return r.front, r.front },
		"in another zone":             func(r *cancelRig) (_, _ *serveInstance) { return r.front, r.homeOf("b") },
		"in another zone, a follower": func(r *cancelRig) (_, _ *serveInstance) { return r.front, r.followers("b", r.homeOf("b"))[0] },
	}
	for name, instances := range tests {
		t.Run(name, func(t *testing.T) {
			rig := newCancelRig(t, []string{"a", "b"})
			submitTo, cancelAt := instances(rig)
			answers := rig.submit(submitTo)
			rig.waitForStarts(cancelledJob, 2)
			rig.cancel(cancelAt, http.StatusOK)
			rig.checkCancelled(<-answers)
			rig.checkCancelled(<-rig.submit(rig.other))
		})
	}
}

// TestServeCancelOfRedirectedJob guards against a job that runs on in the zone to
// which it was redirected.
func TestServeCancelOfRedirectedJob(t *testing.T) {
	t.Parallel()
	rig := newCancelRig(t, []string{"a", "b"})
	wait := rig.fillZone(rig.home, 2, 3*time.Second)
	defer wait()
	time.Sleep(stopTime)
	answers := rig.submit(rig.front)
	rig.waitForStarts(cancelledJob, 2)
	rig.cancel(rig.other, http.StatusOK)
	rig.checkCancelled(<-answers)
	rig.checkCancelled(<-rig.submit(rig.homeOf("b")))
}

// TestServeCancelWhileInstanceOfJobIsPaused guards against a job that is submitted
// again by its instance, which was paused while it was cancelled elsewhere.
func TestServeCancelWhileInstanceOfJobIsPaused(t *testing.T) {
	t.Parallel()
	rig := newCancelRig(t, []string{"a"})
	answers := rig.submit(rig.front)
	rig.waitForStarts(cancelledJob, 2)
	rig.front.Pause(3 * time.Second)
	time.Sleep(2500 * time.Millisecond)
	rig.cancel(rig.home, http.StatusOK, http.StatusGone)
	rig.checkCancelled(<-answers)
	rig.checkStopped()
}

// TestServeCopyOfCancelledJob guards against a copy of a cancelled job that is run:
// wherever it arrives, before or after its cancellation, and over the loss of what
// had heard of the cancellation.
func TestServeCopyOfCancelledJob(t *testing.T) {
	t.Parallel()
	const settleTime = time.Second
	tests := map[string]struct {
		submitFirst bool
		// between happens between the cancellation and the copy.
		between func(r *cancelRig)
	}{
		"copy":                   {submitFirst: true, between: func(*cancelRig) {}},
		"cancelled first":        {between: func(*cancelRig) {}},
		"home killed":            {submitFirst: true, between: func(r *cancelRig) { r.kill(r.home, syscall.SIGKILL) }},
		"home killed, unknown":   {between: func(r *cancelRig) { r.kill(r.home, syscall.SIGKILL) }},
		"receiver killed":        {submitFirst: true, between: func(r *cancelRig) { r.kill(r.front, syscall.SIGKILL) }},
		"home paused":            {submitFirst: true, between: func(r *cancelRig) { r.home.Pause(2 * time.Second); time.Sleep(settleTime) }},
		"home handed over":       {submitFirst: true, between: func(r *cancelRig) { r.kill(r.home, syscall.SIGTERM) }},
		"all instances replaced": {submitFirst: true, between: func(r *cancelRig) { r.replaceAll(settleTime) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rig := newCancelRig(t, []string{"a"})
			if test.submitFirst {
				answers := rig.submit(rig.front)
				rig.waitForStarts(cancelledJob, 2)
				rig.cancel(rig.front, http.StatusOK)
				rig.checkCancelled(<-answers)
			} else {
				rig.cancel(rig.front, http.StatusGone)
			}
			test.between(rig)
			rig.checkCancelled(<-rig.submit(rig.other))
			rig.checkStopped()
		})
	}
}

// replaceAll restarts the instances one after the other.
func (r *cancelRig) replaceAll(settleTime time.Duration) {
	for _, instance := range r.instances {
		r.kill(instance, syscall.SIGTERM)
		r.start(instance)
		r.waitReady(instance)
		time.Sleep(settleTime)
	}
}

// TestServeCancelReadBeforeSubmission guards against a job that is run because a
// paused instance reads its DELETE request before its submission.
func TestServeCancelReadBeforeSubmission(t *testing.T) {
	t.Parallel()
	rig := newCancelRig(t, []string{"a"})
	rig.signal(rig.front, syscall.SIGSTOP)
	deleted := make(chan serveAnswer, 1)
	go func() { deleted <- rig.delete(rig.front, cancelledJob) }()
	time.Sleep(stopTime)
	answers := rig.submit(rig.front)
	time.Sleep(stopTime)
	rig.signal(rig.front, syscall.SIGCONT)
	status := (<-deleted).Status
	rig.Check(status == http.StatusOK || status == http.StatusGone, qt.IsTrue, qt.Commentf("status %d", status))
	rig.checker.JobCancelled(cancelledJob)
	rig.checkCancelled(<-answers)
	rig.checkStopped()
}

// TestServeCancelWhileHomeIsLost guards against a cancellation that is lost with
// the home, or is not acknowledged once another instance has taken over.
func TestServeCancelWhileHomeIsLost(t *testing.T) {
	t.Parallel()
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(signal.String(), func(t *testing.T) {
			rig := newCancelRig(t, []string{"a"})
			answers := rig.submit(rig.front)
			rig.waitForStarts(cancelledJob, 2)
			rig.signal(rig.home, signal)
			sentAt := time.Now()
			rig.cancel(rig.other, http.StatusOK, http.StatusGone)
			rig.Check(time.Since(sentAt) < cancelBound+stopTime, qt.IsTrue)
			rig.checkCancelled(<-answers)
			if signal == syscall.SIGSTOP {
				rig.signal(rig.home, syscall.SIGCONT)
			}
			rig.checkCancelled(<-rig.submit(rig.front))
			rig.checkStopped()
		})
	}
}

// cancelBound is the time in which a cancellation is answered.
const cancelBound = 4 * time.Second

// TestServeCancelOfUnknownJobs guards against unclear answers to requests to
// cancel jobs that there are not.
func TestServeCancelOfUnknownJobs(t *testing.T) {
	t.Parallel()
	rig := newCancelRig(t, []string{"a"})
	tests := map[string]struct {
		id   string
		want int
	}{
		"empty":      {"", http.StatusGone},
		"short":      {"cc", http.StatusGone},
		"no hex":     {"000000000000000x", http.StatusGone},
		"with slash": {"00000000/000000cc", http.StatusGone},
		"8 KB":       {strings.Repeat("a", 8<<10), http.StatusGone},
		"64 KB":      {strings.Repeat("a", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		"unknown":    {"00000000000000dd", http.StatusGone},
	}
	for name, test := range tests {
		rig.Check(rig.delete(rig.front, test.id).Status, qt.Equals, test.want, qt.Commentf(name))
	}
	answers := rig.submit(rig.other)
	rig.waitForStarts(cancelledJob, 2)
	for i := range 1000 {
		rig.Assert(rig.delete(rig.front, cancelledJob).Status, qt.Equals, http.StatusOK, qt.Commentf("%d", i))
	}
	rig.checkCancelled(<-answers)
	for i := range 3000 {
		rig.Assert(rig.delete(rig.front, fmt.Sprintf("%016x", 1<<20+i)).Status, qt.Equals, http.StatusGone)
	}
	rig.checkCancelled(<-rig.submit(rig.home))
}
