package rattanpool

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// TestFairShare guards against callers that count as the cause of an overload
// although the others offer the excess.
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
		o := offers{callers: map[string]*offer{}}
		for i, rate := range test.rates {
			o.callers[fmt.Sprint(i)] = &offer{rate: rate, weight: test.weights[i]}
		}
		qt.Assert(t, o.fairShare(100), qt.Equals, test.share, qt.Commentf("%+v", test))
	}
}

// TestOverloadWait guards against a backlog that outlasts an overload, against
// refusals of a caller that offers little beside it, and against a limit that
// stays after the overload.
func TestOverloadWait(t *testing.T) {
	f := newFixture(targets(10)...)
	f.run(20, succeed)
	offer := func(caller string, tasks int) Admission {
		return f.admit(func(j *Job) { j.Caller, j.Tasks = caller, tasks })
	}
	// The jobs are 10 times what 40 slots run, and none is started. The overload
	// is seen once offerWindow of work has come.
	for range 100 {
		offer("greedy", 400)
		f.pass(overrunInterval)
	}
	got := offer("greedy", 400)
	qt.Assert(t, got.Reason, qt.Equals, rattanjob.ReasonOverloaded)
	backlog := f.Load(f.now).Backlog
	qt.Assert(t, backlog < 40*(offerWindow+overloadWait), qt.IsTrue, qt.Commentf("%v", backlog))
	// The second job waits for the first, for 300 ms at the share of the caller.
	qt.Assert(t, offer("small", 600).Admitted, qt.IsTrue)
	qt.Assert(t, offer("small", 600).Admitted, qt.IsTrue)
	f.pass(3 * time.Second)
	qt.Assert(t, offer("greedy", 400).Admitted, qt.IsTrue)
	f.pass(time.Minute)
	f.admit(nil)
	qt.Assert(t, f.services["s"].offers.callers, qt.HasLen, 1)
}

// TestContention guards against a tolerance that stays wide beside a greedy
// caller or a backlog, which makes the others wait, and against one that is
// narrow at normal load, which puts small jobs behind.
func TestContention(t *testing.T) {
	for _, test := range []struct {
		offers    []float64 // by caller, relative to the capacity
		contended bool
	}{
		{offers: []float64{0.2, 0.2, 0.2, 0.2}},
		{offers: []float64{0.5, 0.5, 0.5, 0.5}, contended: true},
		{offers: []float64{0.1, 0.1, 0.1, 0.1, 0.8}, contended: true},
		{offers: []float64{0.01, 0.01, 0.01, 0.01, 0.4}},
	} {
		f := newFixture(targets(10)...)
		f.run(20, succeed)
		f.pass(time.Minute)
		for i, load := range test.offers {
			tasks := int(load * 40 * offerWindow.Seconds() / 0.01)
			f.admit(func(j *Job) { j.Caller, j.Tasks = fmt.Sprint(i), tasks })
			f.Cancel(f.now, f.id)
		}
		f.pass(overrunInterval)
		f.Next(f.now)
		qt.Assert(t, f.queue.contended, qt.Equals, test.contended, qt.Commentf("%v", test.offers))
		f.pass(time.Minute)
		f.admit(func(j *Job) { j.Tasks = int(1.1*contentionBacklog.Seconds()/0.01) * 40 })
		qt.Assert(t, f.queue.contended, qt.IsFalse)
		f.pass(overrunInterval)
		f.Next(f.now)
		qt.Assert(t, f.queue.contended, qt.IsTrue)
	}
}
