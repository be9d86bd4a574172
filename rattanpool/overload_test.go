package rattanpool

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// TestFairShare guards against blaming callers for an overload that is caused
// by the load of others.
func TestFairShare(t *testing.T) {
	for _, test := range []struct {
		rates, weights []float64
		share          float64
	}{
		{share: math.Inf(1)},
		{rates: []float64{30, 60}, weights: []float64{1, 1}, share: math.Inf(1)},
		{rates: []float64{200, 200}, weights: []float64{1, 1}, share: 50},
		{rates: []float64{200, 200}, weights: []float64{1, 3}, share: 25},
		{rates: []float64{10, 30, 200}, weights: []float64{1, 1, 1}, share: 60},
		{rates: []float64{10, 40, 45, 200}, weights: []float64{1, 1, 1, 1}, share: 30},
	} {
		load := offeredLoad{callers: map[string]*callerLoad{}}
		for i, rate := range test.rates {
			load.callers[fmt.Sprint(i)] = &callerLoad{rate: rate, weight: test.weights[i]}
		}
		qt.Assert(t, load.fairShare(100), qt.Equals, test.share, qt.Commentf("%+v", test))
	}
}

// TestOverloadWait guards against a backlog that outlasts an overload, against
// refusals of callers that offer little load meanwhile, and against a limit
// that persists after the overload.
func TestOverloadWait(t *testing.T) {
	f := newFixture(targets(10)...)
	f.runTasks(20, succeed)
	submit := func(caller string, tasks int) Admission {
		return f.admit(func(j *Job) { j.Caller, j.Tasks = caller, tasks })
	}
	// The jobs offer 10 times what 40 slots can run, and none is started. The
	// overload is detected once work for callerLoadWindow has been submitted.
	for range 100 {
		submit("greedy", 400)
		f.advanceTime(samplingInterval)
	}
	got := submit("greedy", 400)
	qt.Assert(t, got.Reason, qt.Equals, rattanjob.ReasonOverloaded)
	backlog := f.Load(f.now).Backlog
	qt.Assert(t, backlog < 40*(callerLoadWindow+maxOverloadWait), qt.IsTrue, qt.Commentf("%v", backlog))
	// The second job waits for the first, which takes 300 ms at the share of
	// the caller.
	qt.Assert(t, submit("small", 600).Admitted, qt.IsTrue)
	qt.Assert(t, submit("small", 600).Admitted, qt.IsTrue)
	f.advanceTime(3 * time.Second)
	qt.Assert(t, submit("greedy", 400).Admitted, qt.IsTrue)
	f.advanceTime(time.Minute)
	f.admit(nil)
	qt.Assert(t, f.services["s"].offeredLoad.callers, qt.HasLen, 1)
}

// TestContention guards against a tolerance that stays large beside a dominant
// caller or a backlog, which delays the other callers, and against one that is
// small at normal load, which delays small jobs.
func TestContention(t *testing.T) {
	for _, test := range []struct {
		loads     []float64 // by caller, relative to the capacity
		contended bool
	}{
		{loads: []float64{0.2, 0.2, 0.2, 0.2}},
		{loads: []float64{0.5, 0.5, 0.5, 0.5}, contended: true},
		{loads: []float64{0.1, 0.1, 0.1, 0.1, 0.8}, contended: true},
		{loads: []float64{0.01, 0.01, 0.01, 0.01, 0.4}},
	} {
		f := newFixture(targets(10)...)
		f.runTasks(20, succeed)
		f.advanceTime(time.Minute)
		for i, relativeLoad := range test.loads {
			tasks := int(relativeLoad * 40 * callerLoadWindow.Seconds() / 0.01)
			f.admit(func(j *Job) { j.Caller, j.Tasks = fmt.Sprint(i), tasks })
			f.Cancel(f.now, f.id)
		}
		f.advanceTime(samplingInterval)
		f.Next(f.now)
		qt.Assert(t, f.fairQueue.contended, qt.Equals, test.contended, qt.Commentf("%v", test.loads))
		f.advanceTime(time.Minute)
		f.admit(func(j *Job) { j.Tasks = int(1.1*contentionBacklog.Seconds()/0.01) * 40 })
		qt.Assert(t, f.fairQueue.contended, qt.IsFalse)
		f.advanceTime(samplingInterval)
		f.Next(f.now)
		qt.Assert(t, f.fairQueue.contended, qt.IsTrue)
	}
}
