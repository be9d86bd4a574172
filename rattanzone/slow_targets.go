package rattanzone

import (
	"math"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// slowTargetReport is what the home of this zone has told of slow targets, for a
// successor.
type slowTargetReport struct {
	targets    []rattanscheduler.SlowTarget
	receivedAt time.Time
}

// at returns the report with the ages at the present time.
func (r slowTargetReport) at(now time.Time) []rattanscheduler.SlowTarget {
	list := slices.Clone(r.targets)
	for i := range list {
		list[i].Age += now.Sub(r.receivedAt)
	}
	return list
}

// validSlowTargets leaves out what no home tells.
func validSlowTargets(targets []rattanscheduler.SlowTarget) []rattanscheduler.SlowTarget {
	targets = slices.DeleteFunc(targets, func(t rattanscheduler.SlowTarget) bool {
		return t.Target == "" || t.Slowness <= 0 || math.IsInf(t.Slowness, 0) || t.Age < 0
	})
	return targets[:min(len(targets), rattanscheduler.MaxSlowTargets)]
}
