package rattancmd_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	// evacuateMillis is that of the deployment that asks for evacuations.
	evacuateMillis = 5000
	// evacuationBound is the time after which nothing may start in an evacuated zone
	// in these tests. The platform allows more.
	evacuationBound = 2 * time.Second
	// evacuatedLoadTime is how long callers send jobs after the bound.
	evacuatedLoadTime = 1500 * time.Millisecond
)

// startEvacuable starts zones a and b, with instances that use evacuations, and waits
// until both zones have started tasks.
func startEvacuable(t *testing.T, instances int) (*deployment, *loadGenerator) {
	deployment := startDeploymentWith(t, []string{"a", "b"}, instances, 3, evacuateMillis)
	load := deployment.startLoad(8)
	deployment.awaitStarts("a")
	deployment.awaitStarts("b")
	return deployment, load
}

// evacuate writes a request to evacuate the zone, and returns when.
func (d *deployment) evacuate(zone string) time.Time {
	d.store.Evacuate(zone)
	evacuatedAt := time.Now()
	d.checker.ZoneEvacuated(zone, evacuationBound)
	return evacuatedAt
}

// awaitStarts waits until tasks start in a zone.
func (d *deployment) awaitStarts(zone string) {
	d.Helper()
	before := d.checker.StartsIn(zone)
	for deadline := time.Now().Add(startTimeout); d.checker.StartsIn(zone) == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.Fatalf("nothing starts in zone %s", zone)
		}
	}
}

// awaitEvacuated waits until an instance knows that so many zones are evacuated.
func (d *deployment) awaitEvacuated(instance *serveInstance, zones int) {
	d.Helper()
	line := fmt.Sprintf("%s %d\n", rattanmetric.EvacuatedZones, zones)
	for deadline := time.Now().Add(evacuationBound); !strings.Contains(d.metrics(instance), line); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.Fatalf("%s does not know of %d evacuated zones", instance.Name, zones)
		}
	}
}

// checkEvacuated lets callers send jobs until after the bound, and checks that they
// are served in zone b and that nothing has started in zone a. The checker reports
// what has.
func (d *deployment) checkEvacuated(load *loadGenerator, evacuatedAt time.Time) {
	d.Helper()
	time.Sleep(evacuationBound)
	d.Logf("last start in zone a %v after the request", d.checker.LastStartIn("a").Sub(evacuatedAt))
	startsInA, startsInB := d.checker.StartsIn("a"), d.checker.StartsIn("b")
	time.Sleep(evacuatedLoadTime)
	d.Check(d.checker.StartsIn("a"), qt.Equals, startsInA)
	d.Check(d.checker.StartsIn("b") > startsInB, qt.IsTrue)
	d.Check(load.unexpected.Load(), qt.Equals, int64(0))
}

// TestServeEvacuation guards against starts in an evacuated zone, against one that
// serves no more after the end of its evacuation, and against jobs that wait while all
// zones are evacuated.
func TestServeEvacuation(t *testing.T) {
	t.Parallel()
	deployment, load := startEvacuable(t, 2)
	evacuatedAt := deployment.evacuate("a")
	for _, instance := range deployment.instances {
		deployment.awaitEvacuated(instance, 1)
	}
	deployment.checkEvacuated(load, evacuatedAt)
	page := deployment.metrics(deployment.homeOf("a"))
	deployment.Check(page, qt.Not(qt.Contains), rattanmetric.WithLabels(rattanmetric.EvacuatedJobsTotal, "outcome", "redirected")+" 0\n")

	deployment.evacuate("b")
	for _, instance := range deployment.instances {
		deployment.awaitEvacuated(instance, 2)
	}
	time.Sleep(evacuationBound)
	starts, refused := deployment.checker.Starts(), load.refused.Load()
	time.Sleep(evacuatedLoadTime)
	deployment.Check(deployment.checker.Starts(), qt.Equals, starts)
	deployment.Check(load.refused.Load() > refused, qt.IsTrue)

	for _, zone := range []string{"a", "b"} {
		deployment.checker.EvacuationEnds(zone)
		deployment.store.EndEvacuation(zone)
		deployment.awaitStarts(zone)
	}
	load.finish()
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
	// Log lines reach the output with a delay.
	time.Sleep(300 * time.Millisecond)
	for _, instance := range deployment.instances {
		output := instance.Output()
		for _, message := range []string{"zone evacuation begun", "zone evacuation ended"} {
			deployment.Check(strings.Count(output, message), qt.Equals, 2, qt.Commentf("%s: %s", instance.Name, message))
		}
	}
}

// TestServeEvacuationBeforeOutage guards against a zone that goes on because its
// instances cannot read the request, which reaches one instance of another zone just
// before the store becomes unavailable, and against an instance of the zone that is
// started during the outage and starts tasks.
func TestServeEvacuationBeforeOutage(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]rattansite.Outage{"refused": rattansite.OutageRefusing, "silent": rattansite.OutageSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment, load := startEvacuable(t, 2)
			reached := deployment.followers("b", deployment.homeOf("b"))[0]
			for _, instance := range deployment.instances {
				if instance != reached {
					deployment.store.SetOutageAt(instance.StoreAddress, outage)
				}
			}
			// Watches that have begun are answered.
			time.Sleep(time.Second)
			evacuatedAt := deployment.evacuate("a")
			time.Sleep(50 * time.Millisecond)
			deployment.store.SetOutage(outage)
			for _, instance := range deployment.instances {
				deployment.awaitEvacuated(instance, 1)
			}
			deployment.checkEvacuated(load, evacuatedAt)
			for _, instance := range deployment.instancesOf("a") {
				deployment.kill(instance, syscall.SIGKILL)
			}
			started := deployment.instancesOf("a")[0]
			deployment.start(started)
			deployment.waitReady(started)
			deployment.awaitEvacuated(started, 1)
			deployment.checkEvacuated(load, evacuatedAt)
			load.finish()
		})
	}
}

// TestServeEvacuationAndHomeKilled guards against a new home that does not follow a
// request which the former one got just before its end.
func TestServeEvacuationAndHomeKilled(t *testing.T) {
	t.Parallel()
	deployment, load := startEvacuable(t, 3)
	home := deployment.homeOf("a")
	evacuatedAt := deployment.evacuate("a")
	deployment.kill(home, syscall.SIGKILL)
	deployment.checkEvacuated(load, evacuatedAt)
	load.finish()
}

// TestServeEvacuationWhileHomeIsPaused guards against a home that goes on when it
// resumes after the bound, because it has not read the request. A home that the store
// rejects learns of it from another zone.
func TestServeEvacuationWhileHomeIsPaused(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances int
		outage    rattansite.Outage
	}{
		"alone in its zone":               {instances: 1},
		"alone in its zone, store silent": {instances: 1, outage: rattansite.OutageSilent},
		"with a successor":                {instances: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment, load := startEvacuable(t, test.instances)
			home := deployment.homeOf("a")
			deployment.store.SetOutageAt(home.StoreAddress, test.outage)
			home.Pause(evacuationBound + time.Second)
			time.Sleep(100 * time.Millisecond)
			evacuatedAt := deployment.evacuate("a")
			time.Sleep(evacuationBound)
			deployment.checkEvacuated(load, evacuatedAt)
			deployment.awaitEvacuated(home, 1)
			load.finish()
		})
	}
}
