package rattancmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/platform"
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

// The addresses 127.processNetwork.n.* belong to the nth deployment of the test
// process, so that the deployments of parallel tests never share an address.
var (
	processNetwork = 20 + rand.IntN(200)
	deployments    atomic.Int64
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
	// evacuateMillis is that of the instances' settings.
	evacuateMillis int
}

// serveInstance is an instance that runs as a process of its own.
type serveInstance struct {
	name         string
	ip           string
	settingsFile string
	// storeAddress is the address of the store that only this instance uses.
	storeAddress string
	command      *exec.Cmd
	output       bytes.Buffer
	ended        chan struct{}
}

// startDeployment starts the given numbers of instances and targets in each zone
// and waits until the instances are ready.
func startDeployment(t *testing.T, zones []string, instances, targets int) *deployment {
	return startDeploymentWith(t, zones, instances, targets, 0)
}

// startDeploymentWith does the same for instances that use evacuations, unless
// evacuateMillis is 0.
func startDeploymentWith(t *testing.T, zones []string, instances, targets, evacuateMillis int) *deployment {
	c := qt.New(t)
	store, err := rattansite.NewStore()
	c.Assert(err, qt.IsNil)
	deployment := &deployment{
		C: c, directory: t.TempDir(), store: store, checker: rattansite.NewInvariantChecker(),
		ipPrefix:       fmt.Sprintf("127.%d.%d.", processNetwork, deployments.Add(1)%250),
		evacuateMillis: evacuateMillis,
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
			d.logChanges(instance)
			d.Logf("%s: %s", instance.name, outputTail(instance.output.String()))
		}
	}
}

// jobIDPattern matches the ID of a job.
var jobIDPattern = regexp.MustCompile("[0-9a-f]{16}")

// logJob logs the instances' log lines about a job.
func (d *deployment) logJob(id string) {
	if id == "" {
		return
	}
	for _, instance := range d.instances {
		for line := range strings.Lines(instance.output.String()) {
			if strings.Contains(line, id) {
				d.Logf("%s: %s", instance.name, line)
			}
		}
	}
}

// logChanges logs an instance's log lines about changes of homes and targets.
func (d *deployment) logChanges(instance *serveInstance) {
	var changes strings.Builder
	for line := range strings.Lines(instance.output.String()) {
		if strings.Contains(line, `"home `) || strings.Contains(line, `"target `) {
			changes.WriteString(line)
		}
	}
	d.Logf("%s: changes of homes and targets:\n%s", instance.name, changes.String())
}

// putDesired writes a desired state with a higher version, which has routes for
// queuePrefix and the extra prefixes.
func (d *deployment) putDesired(extraPrefixes ...string) {
	d.putDesiredRoutes(append([]string{queuePrefix}, extraPrefixes...)...)
}

// putDesiredRoutes writes a desired state with a higher version, which has routes
// for the prefixes alone.
func (d *deployment) putDesiredRoutes(prefixes ...string) {
	d.version += 3
	d.Assert(d.store.PutDesiredState(rattansite.DesiredState{
		Version: d.version, Service: queueService, Host: queueHost, Prefixes: prefixes,
	}), qt.IsNil)
}

// addInstance writes the settings file of a further instance, without starting
// its process.
func (d *deployment) addInstance(name, zone string) *serveInstance {
	ip := fmt.Sprintf("%s%d", d.ipPrefix, 10+len(d.instances))
	storeAddress, err := d.store.Listen()
	d.Assert(err, qt.IsNil)
	instance := &serveInstance{name: name, ip: ip, settingsFile: filepath.Join(d.directory, name+".json"), storeAddress: storeAddress}
	settings := rattansite.InstanceSettings{Name: name, IP: ip, Zone: zone, StoreAddress: storeAddress, EvacuateMillis: d.evacuateMillis}
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
	d.startWithOutput(instance, &instance.output)
}

func (d *deployment) startWithOutput(instance *serveInstance, output io.Writer) {
	command := exec.Command(binary, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+instance.settingsFile)
	command.Stdout = output
	command.Stderr = output
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
	return d.sendInContext(context.Background(), client, instance, id, body, deadline)
}

func (d *deployment) sendInContext(ctx context.Context, client *http.Client, instance *serveInstance, id string, body []byte, deadline time.Duration) serveAnswer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.ip+":"+rattansite.CallerPort+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return serveAnswer{}
	}
	request.Host = queueHost
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return answerTo(client, request)
}

// get returns the answer of one instance to a GET request.
func (d *deployment) get(instance *serveInstance, path string) serveAnswer {
	request, err := http.NewRequest(http.MethodGet, "http://"+instance.ip+":"+rattansite.CallerPort+path, nil)
	if err != nil {
		return serveAnswer{}
	}
	request.Host = queueHost
	return answerTo(http.DefaultClient, request)
}

// answerTo sends a request and returns the answer to it.
func answerTo(client *http.Client, request *http.Request) serveAnswer {
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
