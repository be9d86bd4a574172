package rattancmd_test

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattansite"
)

// redirectedJob is the ID of a job that its zone has no room for.
const redirectedJob = "00000000000000ee"

// fillZone occupies all targets of a zone through one of its instances and
// returns a function that waits until they are free again.
func (d *deployment) fillZone(instance *serveInstance, targets int, duration time.Duration) (wait func()) {
	answers := make(chan serveAnswer, targets)
	for i := range targets {
		id := fmt.Sprintf("%016x", 0xf000+i)
		d.checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: 32000, Duration: duration})
		body := fmt.Appendf(nil, `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":32000,"mem_mb":64,"estimate_ms":%d}]}`, duration.Milliseconds())
		go func() { answers <- d.send(&http.Client{}, instance, id, body) }()
	}
	return func() {
		for range targets {
			d.Check((<-answers).Status, qt.Equals, http.StatusOK)
		}
	}
}

// TestServeRedirectedJobRunsOnce guards against two runs of a task in two zones:
// the instance of a redirected job is killed, and the other zone's home, which
// should stop the job before its caller sends it again, is killed or paused too.
func TestServeRedirectedJobRunsOnce(t *testing.T) {
	t.Parallel()
	none := func(*serveInstance) {}
	kill := func(home *serveInstance) { _ = home.Signal(syscall.SIGKILL) }
	pause := func(home *serveInstance) { home.Pause(450 * time.Millisecond) }
	tests := map[string]struct {
		// throughHome is set if the instance of the job is the home of its zone.
		throughHome bool
		fault       func(home *serveInstance)
	}{
		"follower":              {fault: none},
		"follower, home killed": {fault: kill},
		"follower, home paused": {fault: pause},
		"home":                  {throughHome: true, fault: none},
		"home, home killed":     {throughHome: true, fault: kill},
		"home, home paused":     {throughHome: true, fault: pause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			redirectAndLose(t, test.throughHome, test.fault)
		})
	}
}

// redirectAndLose lets zone a redirect a job to zone b, kills the job's instance,
// makes the home of zone b fail 0.4 s later, and sends the job again to zone a.
func redirectAndLose(t *testing.T, throughHome bool, fault func(home *serveInstance)) {
	const targets = 4
	deployment := startDeployment(t, []string{"a", "b"}, 3, targets)
	homeA, homeB := deployment.homeOf("a"), deployment.homeOf("b")
	followers := deployment.followers("a", homeA)
	entry := followers[0]
	if throughHome {
		entry = homeA
	}
	waitFree := deployment.fillZone(followers[1], targets, 1200*time.Millisecond)
	deployment.waitForStarts(fmt.Sprintf("%016x", 0xf000+targets-1), 1)

	deployment.checker.JobSubmitted(redirectedJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 3 * time.Second})
	body := []byte(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":4000,"mem_mb":64,"estimate_ms":3000}]}`)
	go deployment.sendWithDeadline(&http.Client{}, entry, redirectedJob, body, 10*time.Second)
	deployment.waitForStarts(redirectedJob, 1)
	deployment.kill(entry, syscall.SIGKILL)
	lostAt := time.Now()
	time.Sleep(400 * time.Millisecond)
	fault(homeB)
	waitFree()
	time.Sleep(time.Until(lostAt.Add(resendDelay)))
	answer := deployment.sendWithDeadline(&http.Client{}, followers[1], redirectedJob, body, 10*time.Second)
	deployment.Check(answer.Status, qt.Equals, http.StatusOK)
	deployment.Logf("%d starts", deployment.checker.StartsOf(redirectedJob))
}

// TestServeJobOfPausedRemoteHomeRunsOnce guards against two runs of a task in two
// zones: the home of the other zone is paused just before it would stop the job,
// and goes on with it when it wakes.
func TestServeJobOfPausedRemoteHomeRunsOnce(t *testing.T) {
	t.Parallel()
	redirectAndLose(t, true, func(home *serveInstance) { home.Pause(700 * time.Millisecond) })
}

// TestServeJobOfKilledZoneRunsOnce guards against two runs of a task in two zones:
// all instances of a zone are killed and return before its runs have ended, while
// the caller sends the job again to another zone.
func TestServeJobOfKilledZoneRunsOnce(t *testing.T) {
	t.Parallel()
	for _, downTime := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(downTime.String(), func(t *testing.T) {
			deployment := startDeployment(t, []string{"a", "b"}, 2, 3)
			deployment.checker.JobSubmitted(redirectedJob, rattansite.TaskProfile{MilliCPU: 4000, Duration: 3 * time.Second})
			body := []byte(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":4000,"mem_mb":64,"estimate_ms":3000}]}`)
			zoneA, zoneB := deployment.instances[:2], deployment.instances[2:]
			go deployment.sendWithDeadline(&http.Client{}, zoneA[0], redirectedJob, body, 10*time.Second)
			deployment.waitForStarts(redirectedJob, 1)
			for _, instance := range zoneA {
				deployment.kill(instance, syscall.SIGKILL)
			}
			lostAt := time.Now()
			time.Sleep(downTime)
			for _, instance := range zoneA {
				deployment.start(instance)
			}
			time.Sleep(time.Until(lostAt.Add(resendDelay)))
			answer := deployment.sendWithDeadline(&http.Client{}, zoneB[0], redirectedJob, body, 10*time.Second)
			deployment.Check(answer.Status, qt.Equals, http.StatusOK)
			deployment.Check(deployment.checker.StartsOf(redirectedJob), qt.Equals, 2)
		})
	}
}

// followers returns the instances of a zone other than its home.
func (d *deployment) followers(zone string, home *serveInstance) []*serveInstance {
	return slices.DeleteFunc(d.instancesOf(zone), func(instance *serveInstance) bool { return instance == home })
}
