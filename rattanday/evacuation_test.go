package rattanday

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// largeTasksDay returns a day of tasks of 8 cores plus or minus a fifth on targets of 16
// and 24 cores, with the given loads of the zones relative to the room for such tasks.
func largeTasksDay(length time.Duration, loads ...float64) *Day {
	const targets, slots, meanTasks, runTime = 30, 2.1, 2.5, 150 * time.Millisecond
	day := &Day{Length: rattanjson.Duration(length)}
	for _, milliCPU := range []int{6400, 8000, 9600} {
		day.Kinds = append(day.Kinds, Kind{
			Name: fmt.Sprint("k", milliCPU), Share: 1, MinTasks: 1, MaxTasks: 4, MilliCPU: milliCPU, RunTime: rattanjson.Duration(runTime), Sigma: 0.2,
			DeclaredFactor: 1.4, Latency: rattanjson.Duration(100 * time.Millisecond), Slack: 2, Timeout: rattanjson.Duration(2 * time.Second),
			Worth: 1, LateWorth: 0.2,
		})
	}
	for i, load := range loads {
		day.Zones = append(day.Zones, Zone{
			Name: fmt.Sprint("z", i), Targets: targets, MilliCPU: []int{16000, 16000, 24000}, Speeds: []float64{1},
			JobsPerSecond: load * targets * slots / runTime.Seconds() / meanTasks,
		})
	}
	return day
}

// playProduct plays a day on the product alone.
func playProduct(c *qt.C, day *Day, seed uint64) (*homes, Policy) {
	c.Assert(day.Check(), qt.IsNil)
	jobs := day.jobs(seed)
	var zones [][]target
	for i := range day.Zones {
		zones = append(zones, day.zoneTargets(&day.Zones[i]))
	}
	s := playHomes(zones, jobs, day.simulatedEvacuations())
	report := &Report{}
	report.add("product", jobs, s.outcomes)
	c.Logf("%+v", report.Policies[0])
	return s, report.Policies[0]
}

// TestEvacuationAtHighLoad guards against starts in an evacuated zone, against two runs
// of a task in two zones, and against jobs that are refused or lost although the other
// zones have room: one of four zones is evacuated for three seconds while all have the
// given load, and takes work again.
func TestEvacuationAtHighLoad(t *testing.T) {
	// The other zones have room at a load of 0.5, and a sixteenth too little at 0.8. Jobs
	// that are partly started when the evacuation begins may end without a result.
	for load, maxShare := range map[float64]float64{0.5: 0.005, 0.8: 0.05} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprint(load, "/", seed), func(t *testing.T) {
				c := qt.New(t)
				day := largeTasksDay(6*time.Second, load, load, load, load)
				day.Evacuations = []Evacuation{{Zone: "z1", At: rattanjson.Duration(time.Second), For: rattanjson.Duration(3 * time.Second)}}
				s, product := playProduct(c, day, seed)
				c.Check(s.forbiddenStarts, qt.Equals, 0)
				c.Check(s.doubleRuns, qt.Equals, 0)
				c.Check(product.Refused+product.Lost <= maxShare, qt.IsTrue)
			})
		}
	}
}

// TestAllZonesEvacuated guards against starts anywhere, and against jobs that wait.
func TestAllZonesEvacuated(t *testing.T) {
	c := qt.New(t)
	day := largeTasksDay(2*time.Second, 0.5, 0.5)
	day.Evacuations = []Evacuation{{Zone: "z0", At: rattanjson.Duration(time.Second)}, {Zone: "z1", At: rattanjson.Duration(time.Second)}}
	s, _ := playProduct(c, day, 1)
	c.Check(s.forbiddenStarts, qt.Equals, 0)
	for j, end := range s.outcomes {
		if j.arrival >= time.Second {
			c.Check(end.end-j.arrival <= 3*redirectTime, qt.IsTrue, qt.Commentf("refused after %s", end.end-j.arrival))
		}
	}
}

// TestUnevenLoadOfLargeTasks guards against refusing or delaying jobs of a zone whose
// callers ask for more than it has, while another zone has room for tasks of their size,
// and against two homes that send all their jobs to the same zone.
func TestUnevenLoadOfLargeTasks(t *testing.T) {
	for name, loads := range map[string][]float64{"one busy zone": {1.5, 0.4, 0.4}, "two busy zones": {1.4, 1.4, 0.3, 0.3}, "two into one": {1.2, 1.2, 0.2}} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				c := qt.New(t)
				s, product := playProduct(c, largeTasksDay(5*time.Second, loads...), seed)
				c.Check(s.doubleRuns, qt.Equals, 0)
				c.Check(product.Refused+product.Lost <= 0.02, qt.IsTrue)
				c.Check(product.Late <= 0.02, qt.IsTrue)
			})
		}
	}
}
