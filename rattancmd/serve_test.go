package rattancmd_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattansite"
)

// TestServe guards against answers that differ from those that the platform's
// documentation specifies. No faults are injected.
func TestServe(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 2, 3)
	client := &http.Client{}
	validBody := `{"spec":"s","best_effort":true,"steps":[{"count":3,"cpu":4000,"mem_mb":64,"estimate_ms":50}]}`
	tests := map[string]struct {
		id, body string
		status   int
		contains string
	}{
		"complete":       {"00000000000000aa", validBody, http.StatusOK, `{"state":"succeeded"}`},
		"invalid ID":     {"xyz", validBody, http.StatusBadRequest, "hexadecimal"},
		"malformed JSON": {"00000000000000ab", "{", http.StatusBadRequest, "error"},
		"no steps":       {"00000000000000ac", `{"best_effort":true}`, http.StatusBadRequest, "steps"},
		"too many tasks": {"00000000000000ad", `{"best_effort":true,"steps":[{"count":1000000000,"cpu":1}]}`, http.StatusBadRequest, "count"},
		"long spec":      {"00000000000000ae", `{"spec":"` + strings.Repeat("x", 4001) + `","best_effort":true,"steps":[{"count":1}]}`, http.StatusBadRequest, "spec"},
		"large body":     {"00000000000000af", strings.Repeat(" ", 30000), http.StatusRequestEntityTooLarge, "large"},
		"stored job":     {"00000000000000b0", `{"steps":[{"count":1,"cpu":1}]}`, http.StatusServiceUnavailable, "stored"},
		"step too large": {"00000000000000b1", `{"best_effort":true,"steps":[{"count":1,"cpu":900000}]}`, http.StatusServiceUnavailable, "no target"},
		"complete again": {"00000000000000aa", validBody, http.StatusOK, `{"state":"succeeded"}`},
	}
	deployment.checker.JobSubmitted("00000000000000aa", rattansite.TaskProfile{MilliCPU: 4000, Duration: 50 * time.Millisecond})
	// Each instance answers each request, because checkMetrics requires requests
	// at the home.
	for name, test := range tests {
		for _, instance := range deployment.instances {
			answer := deployment.send(client, instance, test.id, []byte(test.body))
			deployment.Check(answer.Status, qt.Equals, test.status, qt.Commentf("%s: %s", name, answer.Body))
			deployment.Check(answer.Body, qt.Contains, test.contains, qt.Commentf("%s", name))
			if test.status == http.StatusServiceUnavailable {
				deployment.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("%s", name))
			}
		}
	}
	deployment.Check(deployment.checker.Starts(), qt.Equals, 3)
	deployment.checkGet(queuePrefix, http.StatusOK, `{"pending":0}`)
	deployment.checkGet(queuePrefix+"00000000000000aa", http.StatusGone, "")
	deployment.checkGet("/none/", http.StatusNotFound, "")
	home := deployment.homeOf("a")
	deployment.Check(deployment.delete(home, "00000000000000ca").Status, qt.Equals, http.StatusGone)
	deployment.Check(deployment.send(&http.Client{}, home, "00000000000000ca", []byte(validBody)).Body, qt.Equals, cancelledBody)
	deployment.checkMetrics()
}

// checkMetrics checks that the home exports each metric of docs/metrics.md,
// except those that only faults cause.
func (d *deployment) checkMetrics() {
	d.Helper()
	page := d.metrics(d.homeOf("a"))
	faults := []string{rattanmetric.TargetsSilentTotal, rattanmetric.HomesDeposedTotal, rattanmetric.RunsLostTotal}
	for _, definition := range rattanmetric.ServeMetrics() {
		if !slices.Contains(faults, definition.Name) {
			d.Check(page, qt.Contains, definition.Name)
		}
	}
}

// metrics returns the page of an instance's metrics.
func (d *deployment) metrics(instance *serveInstance) string {
	d.Helper()
	response, err := http.Get("http://" + instance.IP + ":7735/metrics")
	d.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	d.Assert(err, qt.IsNil)
	return string(page)
}

func (d *deployment) checkGet(path string, status int, body string) {
	d.Helper()
	for _, instance := range d.instances {
		answer := d.get(instance, path)
		d.Check(answer.Status, qt.Equals, status, qt.Commentf("%s", path))
		d.Check(answer.Body, qt.Contains, body)
	}
}

// TestServeDesiredState guards against a change of the desired state that is not
// in force within 2 s, also after the store has compacted its history or was
// unavailable, and against instances that stop serving during such an outage.
func TestServeDesiredState(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 2, 1)
	checkServed := func(prefix string) {
		deployment.Helper()
		time.Sleep(maxPropagationDelay)
		deployment.checkGet(prefix, http.StatusOK, "pending")
	}
	deployment.putDesired("/second/")
	checkServed("/second/")
	deployment.store.Compact()
	deployment.putDesired("/third/")
	checkServed("/third/")
	deployment.store.SetOutage(rattansite.OutageSilent)
	time.Sleep(time.Second)
	deployment.checkGet("/third/", http.StatusOK, "pending")
	deployment.putDesired("/fourth/")
	deployment.store.SetOutage(rattansite.OutageNone)
	checkServed("/fourth/")
}

// TestServeHomeKilled guards against jobs that are lost, run twice or falsely
// refused when the home is killed, also while the store is unavailable.
func TestServeHomeKilled(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]rattansite.Outage{"store up": rattansite.OutageNone, "store unavailable": rattansite.OutageSilent} {
		t.Run(name, func(t *testing.T) {
			deployment := startDeployment(t, []string{"a"}, 3, 6)
			load := deployment.startLoad(6)
			load.waitForSuccess(time.Now())
			deployment.store.SetOutage(outage)
			time.Sleep(time.Second)
			home := deployment.homeOf("a")
			deployment.kill(home, syscall.SIGKILL)
			deployment.Check(load.waitForSuccess(time.Now()) < maxRecoveryTime, qt.IsTrue)
			time.Sleep(time.Second)
			deployment.start(home)
			time.Sleep(time.Second)
			load.finish()
			deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
		})
	}
}

// TestServeHomePaused guards against two runs of a task when a paused home
// resumes after a successor has taken over, and when it resumes before that.
func TestServeHomePaused(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 3, 6)
	load := deployment.startLoad(6)
	load.waitForSuccess(time.Now())
	for _, pause := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
		home := deployment.homeOf("a")
		deployment.Assert(home.Signal(syscall.SIGSTOP), qt.IsNil)
		time.Sleep(pause)
		deployment.Assert(home.Signal(syscall.SIGCONT), qt.IsNil)
		time.Sleep(time.Second)
		deployment.Check(load.waitForSuccess(time.Now()) < maxRecoveryTime, qt.IsTrue)
	}
	load.finish()
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
}

// TestServeTermination guards against requests that are cut off when the home is
// shut down gracefully.
func TestServeTermination(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 3, 6)
	stopped := deployment.homeOf("a")
	// Callers only use instances that keep running, as the ingress ensures.
	all := deployment.instances
	deployment.removeInstance(stopped)
	load := deployment.startLoad(6)
	load.waitForSuccess(time.Now())
	slowAnswer := make(chan serveAnswer, 1)
	deployment.checker.JobSubmitted("00000000000000cc", rattansite.TaskProfile{MilliCPU: 1000, Duration: 2 * time.Second})
	go func() {
		slowAnswer <- deployment.send(&http.Client{}, stopped, "00000000000000cc", []byte(`{"best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":2000}]}`))
	}()
	time.Sleep(300 * time.Millisecond)
	deployment.kill(stopped, syscall.SIGTERM)
	answer := <-slowAnswer
	deployment.Check(answer.Body, qt.Equals, `{"state":"succeeded"}`)
	load.finish()
	deployment.instances = all
	deployment.Check(load.unanswered.Load(), qt.Equals, int64(0))
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
}

// TestServeTargetFaults guards against tasks that run twice and targets that are
// overcommitted while targets lose answers, execute orders late, fail, hang,
// restart under the same name, stop responding and leave.
func TestServeTargetFaults(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 2, 6)
	load := deployment.startLoad(6)
	load.waitForSuccess(time.Now())
	unreliable := rattansite.TargetFaults{LostAnswerRate: 0.1, DelayRate: 0.1, Delay: 2 * time.Second}
	for _, target := range deployment.targets {
		target.SetFaults(unreliable)
	}
	time.Sleep(2 * time.Second)
	deployment.targets[0].Restart()
	deployment.targets[1].SetFaults(rattansite.TargetFaults{FailAll: true})
	deployment.targets[2].SetFaults(rattansite.TargetFaults{Hang: true})
	deployment.targets[3].SetFaults(rattansite.TargetFaults{Silent: true})
	time.Sleep(2 * time.Second)
	deployment.Assert(deployment.targets[4].Drain(), qt.IsNil)
	deployment.targets[0].Restart()
	for _, target := range deployment.targets[:4] {
		target.SetFaults(rattansite.TargetFaults{})
	}
	time.Sleep(time.Second)
	deployment.Check(load.waitForSuccess(time.Now()) < maxRecoveryTime, qt.IsTrue)
	load.finish()
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
}

// TestServeAllKilled guards against service that does not recover after all
// processes were killed at once, and against earlier runs of a task that continue
// concurrently with new ones.
func TestServeAllKilled(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a", "b"}, 2, 4)
	load := deployment.startLoad(6)
	load.waitForSuccess(time.Now())
	for _, instance := range deployment.instances {
		_ = instance.Signal(syscall.SIGKILL)
	}
	for _, instance := range deployment.instances {
		<-instance.Ended()
	}
	for _, instance := range deployment.instances {
		deployment.start(instance)
	}
	deployment.Check(load.waitForSuccess(time.Now()) < maxRecoveryTime, qt.IsTrue)
	time.Sleep(time.Second)
	load.finish()
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
}

// TestServeOtherZone guards against refused jobs that another zone has capacity
// for, and against runs that continue there after the instance that the caller
// used was killed.
func TestServeOtherZone(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a", "b"}, 2, 4)
	for _, target := range deployment.targets[:3] {
		deployment.Assert(target.Drain(), qt.IsNil)
	}
	time.Sleep(2 * time.Second)
	all := deployment.instances
	deployment.instances = all[:2]
	load := deployment.startLoad(4)
	load.waitForSuccess(time.Now())
	time.Sleep(2 * time.Second)
	deployment.kill(all[0], syscall.SIGKILL)
	time.Sleep(time.Second)
	deployment.start(all[0])
	time.Sleep(time.Second)
	load.finish()
	deployment.instances = all
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
	deployment.Check(load.succeeded.Load() > 5*load.refused.Load(), qt.IsTrue, qt.Commentf("%d succeeded, %d refused", load.succeeded.Load(), load.refused.Load()))
	time.Sleep(300 * time.Millisecond)
	movedJobs := 0
	for _, instance := range all[:2] {
		movedJobs += strings.Count(instance.Output(), `"Zone":"b"`)
	}
	deployment.Check(movedJobs > 0, qt.IsTrue)
}
