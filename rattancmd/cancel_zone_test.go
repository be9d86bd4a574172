package rattancmd_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// instancesOf returns the instances of a zone.
func (d *deployment) instancesOf(zone string) []*serveInstance {
	var list []*serveInstance
	for _, instance := range d.instances {
		if instance.Zone == zone {
			list = append(list, instance)
		}
	}
	return list
}

// TestServeCancelBesideSilentZone guards against cancellations that nobody
// acknowledges while all instances of a zone are lost or frozen, and against a job
// of that zone that is started once the instances are back.
func TestServeCancelBesideSilentZone(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		silence, end func(r *cancelRig, instance *serveInstance)
		// zone is where the job is submitted, finished whether it ends before.
		zone     string
		finished bool
		bound    time.Duration
	}{
		"lost, job of the other zone finished":   {killed, started, "a", true, stopTime},
		"lost, job of the zone finished":         {killed, started, "b", true, cancelBound},
		"lost, job of the zone in progress":      {killed, started, "b", false, cancelBound},
		"frozen, job of the other zone finished": {frozen, thawed, "a", true, stopTime},
		"frozen, job of the zone finished":       {frozen, thawed, "b", true, cancelBound},
		"frozen, job of the zone in progress":    {frozen, thawed, "b", false, cancelBound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rig := newCancelRig(t, []string{"a", "b"})
			front, silent := rig.instancesOf(test.zone)[1], rig.instancesOf("b")
			answers := rig.submit(front)
			rig.waitForStarts(cancelledJob, 2)
			if test.finished {
				rig.Check((<-answers).Body, qt.Equals, `{"state":"succeeded"}`)
			}
			for _, instance := range silent {
				test.silence(rig, instance)
			}
			sentAt := time.Now()
			rig.Check(rig.delete(rig.instancesOf("a")[2], cancelledJob).Status, qt.Equals, http.StatusOK)
			rig.Check(time.Since(sentAt) < test.bound, qt.IsTrue, qt.Commentf("%v", time.Since(sentAt)))
			rig.checker.JobCancelled(cancelledJob)
			for _, instance := range silent {
				test.end(rig, instance)
			}
			for _, instance := range silent {
				rig.waitReady(instance)
			}
			if !test.finished {
				rig.checkCancelled(<-rig.submit(silent[0]))
			}
			rig.checkStopped()
			rig.Check(rig.checker.StartsOf(cancelledJob), qt.Equals, map[bool]int{true: 4, false: 2}[test.finished])
		})
	}
}

func killed(r *cancelRig, instance *serveInstance) { r.kill(instance, syscall.SIGKILL) }

func started(r *cancelRig, instance *serveInstance) { r.start(instance) }

func frozen(r *cancelRig, instance *serveInstance) { r.signal(instance, syscall.SIGSTOP) }

func thawed(r *cancelRig, instance *serveInstance) { r.signal(instance, syscall.SIGCONT) }
