package rattanprofile

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/pprof/profile"
)

// stackSample returns a sample whose stack has the functions, innermost first.
func stackSample(count int64, functions ...string) *profile.Sample {
	sample := &profile.Sample{Value: []int64{count}}
	for _, name := range functions {
		sample.Location = append(sample.Location, &profile.Location{Line: []profile.Line{{Function: &profile.Function{Name: name}}}})
	}
	return sample
}

// TestSplitByStage guards against counting a sample for two stages or for the
// stage that called the one that did the work.
func TestSplitByStage(t *testing.T) {
	c := qt.New(t)
	costs := splitByStage(&profile.Profile{Sample: []*profile.Sample{
		stackSample(30, "sort.Sort", "github.com/rattanlever/rattanlever/rattanscheduler.(*Scheduler).schedule", "net/http.(*conn).serve"),
		stackSample(10, "encoding/json.Marshal", "github.com/rattanlever/rattanlever/platform.(*TargetClient).Start"),
		stackSample(20, "syscall.write", "github.com/rattanlever/rattanlever/rattanlog.(*Writer).Write", "github.com/rattanlever/rattanlever/rattanhome.(*Home).flush"),
		stackSample(25, "runtime.scanobject", "runtime.gcBgMarkWorker"),
		stackSample(15, "main.main"),
	}}, time.Millisecond)
	total := time.Duration(0)
	byStage := map[Stage]time.Duration{}
	for _, cost := range costs {
		total += cost.PerTask
		byStage[cost.Stage] = cost.PerTask
	}
	c.Check(total, qt.Equals, time.Millisecond)
	c.Check(byStage[StageDecision], qt.Equals, 300*time.Microsecond)
	c.Check(byStage[StageStart], qt.Equals, 100*time.Microsecond)
	c.Check(byStage[StageLogs], qt.Equals, 200*time.Microsecond)
	c.Check(byStage[StageCollection], qt.Equals, 250*time.Microsecond)
	c.Check(byStage[StageOther], qt.Equals, 150*time.Microsecond)
}
