package rattancmd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	queueService = "service"
	queueHost    = "queue.example"
	queuePrefix  = "/queue/"
	// resendDelay is how long a caller waits before it resends a job whose
	// outcome is unknown. It equals retransmit_ms in the platform's settings.
	resendDelay     = 1300 * time.Millisecond
	requestDeadline = 4 * time.Second
	// targetCrashTime is how long a target is down after a task has crashed it.
	// It is longer than a lease, so that the task starts elsewhere before.
	targetCrashTime = 1500 * time.Millisecond
	// maxRecoveryTime is the maximum time until jobs succeed again after the
	// loss of a home or of all processes.
	maxRecoveryTime = 3 * time.Second
)

// deployment consists of real processes of the program, and of stand-ins for the
// platform and the targets in the test process.
type deployment struct {
	*qt.C
	directory string
	store     *rattansite.Store
	checker   *rattansite.InvariantChecker
	targets   []*rattansite.Target
	ipPrefix  string
	mutex     sync.Mutex
	instances []*serveInstance
	version   int
}

// serveInstance is an instance that runs as a process of its own.
type serveInstance struct {
	name         string
	ip           string
	settingsFile string
	command      *exec.Cmd
	output       bytes.Buffer
	ended        chan struct{}
}

// startDeployment starts the given numbers of instances and targets in each zone
// and waits until the instances are ready.
func startDeployment(t *testing.T, zones []string, instances, targets int) *deployment {
	c := qt.New(t)
	store, err := rattansite.NewStore()
	c.Assert(err, qt.IsNil)
	deployment := &deployment{
		C: c, directory: t.TempDir(), store: store, checker: rattansite.NewInvariantChecker(),
		ipPrefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
	}
	t.Cleanup(deployment.close)
	deployment.putDesired()
	for _, zone := range zones {
		for i := range targets {
			target, err := rattansite.NewTarget(rattansite.TargetConfig{
				ID: fmt.Sprintf("i-%s-%d", zone, i), Service: queueService, Zone: zone, Labels: []string{"a", "r1-1"},
				MilliCPU: 32000, MemoryMB: 4096, Store: store, Checker: deployment.checker, Heartbeat: 500 * time.Millisecond,
				CrashTime: targetCrashTime, CrashChangesID: i%2 == 0,
			})
			c.Assert(err, qt.IsNil)
			deployment.targets = append(deployment.targets, target)
		}
		for i := range instances {
			deployment.start(deployment.addInstance(fmt.Sprintf("front-%s-%d", zone, i+1), zone))
		}
	}
	for _, instance := range deployment.instances {
		deployment.waitReady(instance)
	}
	return deployment
}

func (d *deployment) close() {
	for _, instance := range d.instances {
		d.kill(instance, syscall.SIGKILL)
	}
	for _, target := range d.targets {
		target.Close()
	}
	d.store.Close()
	for _, violation := range d.checker.Violations() {
		d.Errorf("invariant violated: %s", violation)
		d.logJob(jobIDPattern.FindString(violation))
	}
	if d.Failed() {
		for _, instance := range d.instances {
			d.Logf("%s: %s", instance.name, outputTail(instance.output.String()))
		}
	}
}

// jobIDPattern matches the ID of a job.
var jobIDPattern = regexp.MustCompile("[0-9a-f]{16}")

// logJob logs the instances' log lines about a job, and those about changes of
// homes and targets.
func (d *deployment) logJob(id string) {
	if id == "" {
		return
	}
	for _, instance := range d.instances {
		for line := range strings.Lines(instance.output.String()) {
			if strings.Contains(line, id) || strings.Contains(line, `"home `) || strings.Contains(line, `"target `) {
				d.Logf("%s: %s", instance.name, line)
			}
		}
	}
}

// putDesired writes a desired state with a higher version, which has routes for
// queuePrefix and the extra prefixes.
func (d *deployment) putDesired(extraPrefixes ...string) {
	d.version += 3
	d.Assert(d.store.PutDesiredState(rattansite.DesiredState{
		Version: d.version, Service: queueService, Host: queueHost, Prefixes: append([]string{queuePrefix}, extraPrefixes...),
	}), qt.IsNil)
}

// addInstance writes the settings file of a further instance, without starting
// its process.
func (d *deployment) addInstance(name, zone string) *serveInstance {
	ip := fmt.Sprintf("%s%d", d.ipPrefix, 10+len(d.instances))
	instance := &serveInstance{name: name, ip: ip, settingsFile: filepath.Join(d.directory, name+".json")}
	settings := rattansite.InstanceSettings{Name: name, IP: ip, Zone: zone, StoreAddress: d.store.Address()}
	for _, other := range d.instances {
		settings.SeedIPs = append(settings.SeedIPs, other.ip)
	}
	data, err := settings.File()
	d.Assert(err, qt.IsNil)
	d.Assert(os.WriteFile(instance.settingsFile, data, 0o600), qt.IsNil)
	d.instances = append(d.instances, instance)
	return instance
}

// start starts the process of an instance.
func (d *deployment) start(instance *serveInstance) {
	command := exec.Command(binary, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+instance.settingsFile)
	command.Stdout = &instance.output
	command.Stderr = &instance.output
	d.Assert(command.Start(), qt.IsNil)
	ended := make(chan struct{})
	d.mutex.Lock()
	instance.command, instance.ended = command, ended
	d.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// kill sends a signal that ends the instance's process and waits for its exit.
func (d *deployment) kill(instance *serveInstance, signal syscall.Signal) {
	_ = instance.command.Process.Signal(signal)
	<-instance.ended
}

func (d *deployment) waitReady(instance *serveInstance) {
	d.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := http.Get("http://" + instance.ip + ":" + rattansite.ReadinessPort + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			d.Fatalf("%s is not ready", instance.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// homeOf returns the home of a zone, which is the instance with the highest fence
// in the log lines about home changes.
func (d *deployment) homeOf(zone string) *serveInstance {
	// Log lines reach the output with a delay.
	time.Sleep(300 * time.Millisecond)
	var home *serveInstance
	latestFence := 0.0
	for _, instance := range d.instances {
		for _, line := range strings.Split(instance.output.String(), "\n") {
			var entry struct {
				Message, Home string
				Fence         float64
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "home changed" || entry.Fence <= latestFence {
				continue
			}
			if !strings.Contains(entry.Home, "-"+zone+"-") {
				continue
			}
			latestFence = entry.Fence
			for _, candidate := range d.instances {
				if candidate.name == entry.Home {
					home = candidate
				}
			}
		}
	}
	d.Assert(home, qt.IsNotNil)
	return home
}

// serveAnswer is the answer to one attempt. Status is 0 if there was no answer.
type serveAnswer struct {
	Status int
	Body   string
	Header http.Header
}

func (d *deployment) send(client *http.Client, instance *serveInstance, id string, body []byte) serveAnswer {
	return d.sendWithDeadline(client, instance, id, body, requestDeadline)
}

func (d *deployment) sendWithDeadline(client *http.Client, instance *serveInstance, id string, body []byte, deadline time.Duration) serveAnswer {
	request, err := http.NewRequest(http.MethodPost, "http://"+instance.ip+":"+rattansite.CallerPort+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return serveAnswer{}
	}
	request.Host = queueHost
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return serveAnswer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return serveAnswer{}
	}
	return serveAnswer{Status: response.StatusCode, Body: string(data), Header: response.Header}
}

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
	for name, test := range tests {
		answer := deployment.send(client, deployment.instances[rand.IntN(2)], test.id, []byte(test.body))
		deployment.Check(answer.Status, qt.Equals, test.status, qt.Commentf("%s: %s", name, answer.Body))
		deployment.Check(answer.Body, qt.Contains, test.contains, qt.Commentf("%s", name))
		if test.status == http.StatusServiceUnavailable {
			deployment.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("%s", name))
		}
	}
	deployment.Check(deployment.checker.Starts(), qt.Equals, 3)
	deployment.checkGet(queuePrefix, http.StatusOK, `{"pending":0}`)
	deployment.checkGet(queuePrefix+"00000000000000aa", http.StatusGone, "")
	deployment.checkGet("/none/", http.StatusNotFound, "")
	deployment.checkMetrics()
}

// checkMetrics checks that the home exports each metric of docs/metrics.md,
// except those that only faults cause.
func (d *deployment) checkMetrics() {
	d.Helper()
	response, err := http.Get("http://" + d.homeOf("a").ip + ":7735/metrics")
	d.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	d.Assert(err, qt.IsNil)
	faults := []string{rattanmetric.TargetsSilentTotal, rattanmetric.HomesDeposedTotal, rattanmetric.RunsLostTotal}
	for _, definition := range rattanmetric.ServeMetrics() {
		if !slices.Contains(faults, definition.Name) {
			d.Check(string(page), qt.Contains, definition.Name)
		}
	}
}

func (d *deployment) checkGet(path string, status int, body string) {
	d.Helper()
	for _, instance := range d.instances {
		request, err := http.NewRequest(http.MethodGet, "http://"+instance.ip+":"+rattansite.CallerPort+path, nil)
		d.Assert(err, qt.IsNil)
		request.Host = queueHost
		response, err := http.DefaultClient.Do(request)
		d.Assert(err, qt.IsNil)
		data, err := io.ReadAll(response.Body)
		d.Assert(err, qt.IsNil)
		_ = response.Body.Close()
		d.Check(response.StatusCode, qt.Equals, status, qt.Commentf("%s", path))
		d.Check(string(data), qt.Contains, body)
	}
}

// TestServeDesiredState guards against a change of the desired state that is not
// in force within 2 s, also after the store has compacted its history or was
// unavailable, and against instances that stop serving during such an outage.
func TestServeDesiredState(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, []string{"a"}, 2, 1)
	const maxPropagationDelay = 2 * time.Second
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
		deployment.Assert(home.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		time.Sleep(pause)
		deployment.Assert(home.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
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
	deployment.instances = nil
	for _, instance := range all {
		if instance != stopped {
			deployment.instances = append(deployment.instances, instance)
		}
	}
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
		_ = instance.command.Process.Kill()
	}
	for _, instance := range deployment.instances {
		<-instance.ended
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
		movedJobs += strings.Count(instance.output.String(), `"Zone":"b"`)
	}
	deployment.Check(movedJobs > 0, qt.IsTrue)
}
