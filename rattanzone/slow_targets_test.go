package rattanzone

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// TestSlowTargetReport guards against a successor that takes an old report for a
// recent one, and against reports that no home sends.
func TestSlowTargetReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	report := slowTargetReport{targets: []rattanscheduler.SlowTarget{{Target: "a", Slowness: 1, Age: time.Second}}, receivedAt: now}
	for range 2 {
		c.Check(report.at(now.Add(2*time.Second)), qt.DeepEquals, []rattanscheduler.SlowTarget{{Target: "a", Slowness: 1, Age: 3 * time.Second}})
	}
	c.Check(slowTargetReport{}.at(now), qt.HasLen, 0)
	list := []rattanscheduler.SlowTarget{{Slowness: 1}, {Target: "b"}, {Target: "c", Slowness: 1, Age: -1}, {Target: "d", Slowness: -1}}
	c.Check(validSlowTargets(list), qt.HasLen, 0)
	list = nil
	for i := range 2 * rattanscheduler.MaxSlowTargets {
		list = append(list, rattanscheduler.SlowTarget{Target: fmt.Sprint(i), Slowness: 1})
	}
	c.Check(validSlowTargets(list), qt.HasLen, rattanscheduler.MaxSlowTargets)
}
