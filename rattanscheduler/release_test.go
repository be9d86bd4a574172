package rattanscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestReleaseScheduleMatchesPlainList guards against sums that keep runs that have
// ended, lose runs that go on, or treat a run as overdue before its time.
func TestReleaseScheduleMatchesPlainList(t *testing.T) {
	type plainRun struct {
		milliCPU int
		due      int64
		release  release
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		schedule := &releaseSchedule{}
		var runs []*plainRun
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 300, 9000}).Draw(t, "passed")) * time.Millisecond)
			if len(runs) > 0 && rapid.Bool().Draw(t, "ends") {
				index := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				runs[index].release.remove()
				runs = slices.Delete(runs, index, index+1)
			} else {
				expected := time.Duration(rapid.IntRange(1, 6000).Draw(t, "expected")) * time.Millisecond
				milliCPU := rapid.IntRange(1, 48000).Draw(t, "cpu")
				due := min(intervalOf(now.Add(expected)), intervalOf(now)+releaseIntervals-1)
				runs = append(runs, &plainRun{milliCPU, due, schedule.add(milliCPU, expected, now)})
			}
			schedule.advance(now)
			total, overdue := 0, 0
			for _, run := range runs {
				total += run.milliCPU
				if run.due < intervalOf(now) {
					overdue += run.milliCPU
				}
			}
			if int(schedule.total) != total || int(schedule.overdue) != overdue {
				t.Fatalf("total %d, overdue %d, want %d and %d", schedule.total, schedule.overdue, total, overdue)
			}
			inSchedule := int64(0)
			for _, milliCPU := range schedule.milliCPU {
				inSchedule += milliCPU
			}
			if inSchedule+schedule.overdue != schedule.total {
				t.Fatalf("%d in intervals and %d overdue of %d", inSchedule, schedule.overdue, schedule.total)
			}
		}
	})
}

// TestExpectedWaitFollowsEnds guards against waits that ignore when runs end, that some
// of them are overdue, that waiting tasks release their capacity again, or that runs on
// targets which drain leave no room.
func TestExpectedWaitFollowsEnds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	// Ten tasks of 1,000 thousandths of a core end after 100 ms, ten after 400 ms.
	newSchedule := func() *releaseSchedule {
		schedule := &releaseSchedule{}
		for range 10 {
			schedule.add(1000, 100*time.Millisecond, now)
			schedule.add(1000, 400*time.Millisecond, now)
		}
		return schedule
	}
	backlog := func(tasks int, runTime time.Duration) backlogSum {
		return backlogSum{work: float64(tasks) * 1000 * float64(runTime), milliCPU: 1000 * tasks}
	}
	tests := map[string]struct {
		backlog backlogSum
		used    int
		after   time.Duration
		want    time.Duration
	}{
		"nothing":                       {backlogSum{}, 20000, 0, 0},
		"the first ends":                {backlog(5, time.Second), 20000, 0, 100 * time.Millisecond},
		"the second ends":               {backlog(15, time.Second), 20000, 0, 400 * time.Millisecond},
		"capacity released twice":       {backlog(15, 100*time.Millisecond), 20000, 0, 200 * time.Millisecond},
		"half of the targets drain":     {backlog(9, time.Second), 10000, 0, 400 * time.Millisecond},
		"overdue runs end one by one":   {backlog(5, time.Second), 20000, 120 * time.Millisecond, 50 * time.Millisecond},
		"longer than the schedule":      {backlog(40, 10*time.Second), 20000, 0, 8192 * time.Millisecond},
		"short tasks, longer than that": {backlog(15, time.Millisecond), 20000, 0, 120 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			schedule := newSchedule()
			wait := schedule.wait(test.backlog, test.used, now.Add(test.after))
			c.Check((wait-test.want).Abs() <= 2*releaseInterval, qt.IsTrue, qt.Commentf("%v, want %v", wait, test.want))
			c.Check(schedule.waitUpTo(wait, test.backlog, test.used, now.Add(test.after)), qt.Equals, wait)
			limited := schedule.waitUpTo(wait/2, test.backlog, test.used, now.Add(test.after))
			c.Check(limited > wait/2 || wait == 0, qt.IsTrue)
		})
	}
}

// TestWaitFactor guards against a learned factor that follows one observation, leaves its
// bounds, or learns from jobs that end before they would have waited as expected.
func TestWaitFactor(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	state := &serviceState{waits: map[waitKey]waitRatio{}}
	observe := func(expected, actual time.Duration, outcome Outcome) float64 {
		j := &job{submittedAt: now.Add(-actual), expectedWait: expected, outcome: outcome}
		state.observeWait(j, now)
		return state.waits[j.waitKey()].factor()
	}
	c.Check(observe(100*time.Millisecond, 10*time.Millisecond, Refused), qt.Equals, 1.0)
	first := observe(100*time.Millisecond, 50*time.Millisecond, Open)
	c.Check(first > 0.8 && first < 1, qt.IsTrue, qt.Commentf("%v", first))
	for range 100 {
		observe(100*time.Millisecond, 50*time.Millisecond, Open)
	}
	learned := state.waits[waitKey{}].factor()
	c.Check(learned > 0.5 && learned < 0.65, qt.IsTrue, qt.Commentf("%v", learned))
	for range 1000 {
		observe(100*time.Millisecond, time.Minute, Expired)
	}
	c.Check(state.waits[waitKey{}].factor(), qt.Equals, maxWaitFactor)
}

// BenchmarkAdmission measures what a start, an end and an admission add while jobs of
// several priorities wait: the start and the end of a run in the expected releases, and
// the expected wait of a job.
func BenchmarkAdmission(b *testing.B) {
	for _, targets := range []int{350, 8700} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			state := &serviceState{pool: newTargetPool(), waits: map[waitKey]waitRatio{}}
			state.queue.mixed = true
			state.pool.capacityMilliCPU = targets * 16000
			var runs []release
			for i := range 2 * targets {
				runs = append(runs, state.releases.add(8000, time.Duration(20+i%900)*time.Millisecond, now))
			}
			// The waiting work takes 100 ms of the capacity.
			ahead := backlogSum{work: float64(targets*16000) * float64(100*time.Millisecond), milliCPU: targets * 8000}
			j := &job{entry: queueEntry{demand: rattanwork.Resources{MilliCPU: 8000}, backlogSum: backlogSum{work: 8 * 8000 * 60e6, milliCPU: 64000}, tasks: 8}}
			b.ReportAllocs()
			next := 0
			for b.Loop() {
				runs[next].remove()
				now = now.Add(time.Microsecond)
				runs[next] = state.releases.add(8000, time.Duration(20+next%900)*time.Millisecond, now)
				next = (next + 1) % len(runs)
				state.expectedWait(state.waitDemand(j), ahead, now)
			}
		})
	}
}
