package rattansite

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestInvariantChecker guards against violations that go unnoticed, and against
// allowed events that are reported.
func TestInvariantChecker(t *testing.T) {
	const task = "00000000000000aa.0.0.0"
	job := jobID(task)
	cancelledLongAgo := func(c *InvariantChecker) {
		c.JobCancelled(job)
		c.cancelledAt[job] = time.Now().Add(-maxCancelTime - time.Second)
	}
	lose := func(c *InvariantChecker, target string) {
		c.runStarted("a", target, task, false, false)
		c.runEnded(target, task, outcomeCrashed)
	}
	tests := map[string]struct {
		events   func(c *InvariantChecker)
		violates bool
	}{
		"two runs": {func(c *InvariantChecker) {
			c.runStarted("a", "i-1", task, false, false)
			c.runStarted("a", "i-2", task, false, true)
		}, true},
		"second run after the first": {func(c *InvariantChecker) {
			lose(c, "i-1")
			c.runStarted("a", "i-2", task, false, false)
		}, false},
		"refused and started later": {func(c *InvariantChecker) {
			c.JobRefused(job)
			c.runStarted("a", "i-1", task, false, true)
		}, true},
		"refused and sent again": {func(c *InvariantChecker) {
			c.JobRefused(job)
			c.JobSubmitted(job, TaskProfile{})
			c.runStarted("a", "i-1", task, false, false)
		}, false},
		"cancelled and started at once": {func(c *InvariantChecker) {
			c.JobCancelled(job)
			c.runStarted("a", "i-1", task, false, false)
		}, false},
		"cancelled and started later": {func(c *InvariantChecker) {
			cancelledLongAgo(c)
			c.runStarted("a", "i-1", task, false, false)
		}, true},
		"cancelled and start executed late": {func(c *InvariantChecker) {
			cancelledLongAgo(c)
			c.runStarted("a", "i-1", task, false, true)
		}, false},
		"failed after one loss": {func(c *InvariantChecker) {
			lose(c, "i-1")
			c.JobFailed(job, 1)
		}, true},
		"failed after two losses": {func(c *InvariantChecker) {
			lose(c, "i-1")
			lose(c, "i-2")
			c.JobFailed(job, 1)
		}, false},
		"failed after a loss and a lost end": {func(c *InvariantChecker) {
			lose(c, "i-1")
			c.endLost("i-2", task)
			c.JobFailed(job, 1)
		}, false},
		"started after the bound for an evacuation": {func(c *InvariantChecker) {
			c.ZoneEvacuated("a", -time.Second)
			c.runStarted("a", "i-1", task, false, false)
		}, true},
		"started before the bound for an evacuation": {func(c *InvariantChecker) {
			c.ZoneEvacuated("a", time.Minute)
			c.runStarted("a", "i-1", task, false, false)
		}, false},
		"start before an evacuation executed late": {func(c *InvariantChecker) {
			c.ZoneEvacuated("a", -time.Second)
			c.runStarted("a", "i-1", task, false, true)
		}, false},
		"started in another zone": {func(c *InvariantChecker) {
			c.ZoneEvacuated("b", -time.Second)
			c.runStarted("a", "i-1", task, false, false)
		}, false},
		"started after an evacuation": {func(c *InvariantChecker) {
			c.ZoneEvacuated("a", -time.Second)
			c.EvacuationEnds("a")
			c.runStarted("a", "i-1", task, false, false)
		}, false},
		"complete without a run": {func(c *InvariantChecker) { c.JobSucceeded(job, 1) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checker := NewInvariantChecker()
			checker.JobSubmitted(job, TaskProfile{})
			test.events(checker)
			qt.Check(t, len(checker.Violations()) > 0, qt.Equals, test.violates, qt.Commentf("%v", checker.Violations()))
		})
	}
}
