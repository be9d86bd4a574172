package rattancmd_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	queueService = rattanprocess.Service
	queueHost    = rattanprocess.Host
	queuePrefix  = rattanprocess.Prefix
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

// serveInstance is an instance of the command serve.
type serveInstance = rattanprocess.Instance

// deployment is a deployment whose instances and state a test changes.
type deployment struct {
	*qt.C
	processes *rattanprocess.Deployment
	store     *rattansite.Store
	checker   *rattansite.InvariantChecker
	targets   []*rattansite.Target
	// instances are those that callers use.
	instances []*serveInstance
	version   int
	// evacuateMillis is that of the instances' settings.
	evacuateMillis int
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
	processes, err := rattanprocess.NewDeployment(binary, t.TempDir())
	c.Assert(err, qt.IsNil)
	deployment := &deployment{C: c, processes: processes, store: processes.Store, checker: processes.Checker, evacuateMillis: evacuateMillis}
	t.Cleanup(func() {
		processes.Close()
		processes.Report(c)
	})
	deployment.putDesired()
	for _, zone := range zones {
		for i := range targets {
			_, err := processes.AddTarget(rattansite.TargetConfig{
				ID: fmt.Sprintf("i-%s-%d", zone, i), Zone: zone, MilliCPU: 32000, MemoryMB: 4096, CrashTime: targetCrashTime, CrashChangesID: i%2 == 0,
			})
			c.Assert(err, qt.IsNil)
		}
		for i := range instances {
			deployment.start(deployment.addInstance(fmt.Sprintf("front-%s-%d", zone, i+1), zone))
		}
	}
	deployment.targets = processes.Targets
	for _, instance := range deployment.instances {
		deployment.waitReady(instance)
	}
	return deployment
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

// addInstance adds an instance, without starting its process.
func (d *deployment) addInstance(name, zone string) *serveInstance {
	instance, err := d.processes.AddInstance(rattansite.InstanceSettings{Name: name, Zone: zone, EvacuateMillis: d.evacuateMillis})
	d.Assert(err, qt.IsNil)
	d.instances = append(d.instances, instance)
	return instance
}

// start starts the process of an instance.
func (d *deployment) start(instance *serveInstance) {
	d.Assert(instance.Start(), qt.IsNil)
}

// kill sends a signal that ends the instance's process and waits for its exit.
func (d *deployment) kill(instance *serveInstance, signal syscall.Signal) {
	instance.End(signal)
}

func (d *deployment) waitReady(instance *serveInstance) {
	d.Helper()
	d.Assert(instance.WaitReady(http.DefaultClient, startTimeout), qt.IsNil)
}

// homeOf returns the home of a zone.
func (d *deployment) homeOf(zone string) *serveInstance {
	home := d.processes.Home(zone)
	d.Assert(home, qt.IsNotNil)
	return home
}

// serveAnswer is the answer to one attempt. Status is 0 if there was no answer.
type serveAnswer = rattanprocess.Answer

func (d *deployment) send(client *http.Client, instance *serveInstance, id string, body []byte) serveAnswer {
	return d.sendWithDeadline(client, instance, id, body, requestDeadline)
}

func (d *deployment) sendWithDeadline(client *http.Client, instance *serveInstance, id string, body []byte, deadline time.Duration) serveAnswer {
	return d.sendInContext(context.Background(), client, instance, id, body, deadline)
}

func (d *deployment) sendInContext(ctx context.Context, client *http.Client, instance *serveInstance, id string, body []byte, deadline time.Duration) serveAnswer {
	return request(ctx, client, instance, http.MethodPost, queuePrefix+id, body, deadline)
}

// get returns the answer of one instance to a GET request.
func (d *deployment) get(instance *serveInstance, path string) serveAnswer {
	return request(context.Background(), http.DefaultClient, instance, http.MethodGet, path, nil, 0)
}

// request sends a request and returns the answer to it.
func request(ctx context.Context, client *http.Client, instance *serveInstance, method, path string, body []byte, deadline time.Duration) serveAnswer {
	request, err := instance.NewRequest(ctx, method, path, body, deadline)
	if err != nil {
		return serveAnswer{}
	}
	return rattanprocess.AnswerTo(client.Do, request)
}
