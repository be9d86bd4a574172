package rattancmd_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattansite"
)

// TestServeCancelOutlivesAllInstances guards against a cancelled job that is started
// by a copy of its submission after all instances were killed.
func TestServeCancelOutlivesAllInstances(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		delay   time.Duration
		unknown bool
	}{
		"at once": {}, "after 0.2 s": {delay: 200 * time.Millisecond}, "after 1 s": {delay: time.Second}, "unknown job, after 1 s": {delay: time.Second, unknown: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rig := newCancelRig(t, []string{"a", "b"})
			if test.unknown {
				rig.Check(rig.delete(rig.front, cancelledJob).Status, qt.Equals, http.StatusGone)
			} else {
				rig.submit(rig.front)
				rig.waitForStarts(cancelledJob, 2)
				rig.Check(rig.delete(rig.other, cancelledJob).Status, qt.Equals, http.StatusOK)
			}
			rig.checker.JobCancelled(cancelledJob)
			time.Sleep(test.delay)
			for _, instance := range rig.instances {
				rig.signal(instance, syscall.SIGKILL)
			}
			for _, instance := range rig.instances {
				<-instance.Ended()
				rig.start(instance)
			}
			rig.waitReady(rig.front)
			rig.checkCancelled(<-rig.submit(rig.front))
			rig.checkStopped()
		})
	}
}

// TestServeCancelWithoutStore guards against cancellations that are not answered, or
// late, because the store does not answer.
func TestServeCancelWithoutStore(t *testing.T) {
	t.Parallel()
	rig := newCancelRig(t, []string{"a"})
	answers := rig.submit(rig.front)
	rig.waitForStarts(cancelledJob, 2)
	rig.store.SetOutage(rattansite.OutageSilent)
	sentAt := time.Now()
	rig.cancel(rig.other, http.StatusOK)
	rig.Check(time.Since(sentAt) < 2*time.Second+stopTime, qt.IsTrue)
	rig.checkCancelled(<-answers)
	sentAt = time.Now()
	rig.Check(rig.delete(rig.front, cancelledJob).Status, qt.Equals, http.StatusOK)
	rig.Check(time.Since(sentAt) < stopTime, qt.IsTrue, qt.Commentf("%v", time.Since(sentAt)))
}
