package rattanbench

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEntrySystem guards against jobs that get lost or are answered late on the way
// through entry instances, tasks that start twice, and wrong message counts. It
// uses the product's policy and a baseline, which take the same path.
func TestEntrySystem(t *testing.T) {
	fleet := Fleet{Targets: 2, SlotsPerTarget: 8}
	e := Experiment{
		Fleet: fleet,
		Jobs:  Arrivals(TranscriptDesk().Short(), []Segment{{Duration: time.Second, Load: 0.3}}, fleet.Slots(), 1),
	}
	for _, policy := range Policies()[:2] {
		t.Run(policy.Name, func(t *testing.T) {
			system, err := startEntrySystem(context.Background(), func() Scheduler { return policy.New(1) }, e)
			qt.Assert(t, err, qt.IsNil)
			defer system.Close()
			observation := runExperiment(context.Background(), system, e)
			tasks := 0
			for _, job := range e.Jobs {
				tasks += len(job.RunTimes)
				qt.Assert(t, completedInTime(job, observation.Outcomes[job.Index]), qt.IsTrue, qt.Commentf("%+v", observation.Outcomes[job.Index]))
			}
			qt.Assert(t, countViolations(e.Jobs, observation), qt.Equals, violations{starts: tasks})
			qt.Assert(t, observation.Traffic.Waste.Callers > 0, qt.IsTrue)
			qt.Assert(t, observation.Traffic.Waste.Links >= 0 && observation.Traffic.Waste.Links < 100, qt.IsTrue, qt.Commentf("%+v", observation.Traffic))
		})
	}
}
