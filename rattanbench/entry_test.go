package rattanbench

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEntryBed guards the way of a job through entry instances and back:
// outcomes, starts at the targets and counts of messages must agree. A baseline
// takes the same way.
func TestEntryBed(t *testing.T) {
	fleet := Fleet{Targets: 2, SlotsPerTarget: 8}
	e := Experiment{
		Fleet: fleet,
		Jobs:  Arrivals(TranscriptDesk().Short(), []Segment{{Duration: time.Second, Load: 0.3}}, fleet.Slots(), 1),
	}
	for _, policy := range Policies()[:2] {
		t.Run(policy.Name, func(t *testing.T) {
			b, err := openEntryBed(context.Background(), func() Scheduler { return policy.New(1) }, e)
			qt.Assert(t, err, qt.IsNil)
			defer b.Close()
			seen := observe(context.Background(), b, e)
			tasks := 0
			for _, job := range e.Jobs {
				tasks += len(job.RunTimes)
				qt.Assert(t, inTime(job, seen.Outcomes[job.Index]), qt.IsTrue, qt.Commentf("%+v", seen.Outcomes[job.Index]))
			}
			qt.Assert(t, measureIntegrity(e.Jobs, seen), qt.Equals, integrity{starts: tasks})
			qt.Assert(t, seen.Traffic.Waste.Callers > 0, qt.IsTrue)
			qt.Assert(t, seen.Traffic.Waste.Links >= 0 && seen.Traffic.Waste.Links < 100, qt.IsTrue, qt.Commentf("%+v", seen.Traffic))
		})
	}
}
