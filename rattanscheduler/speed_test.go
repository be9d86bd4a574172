package rattanscheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// usualTime is the declared run time of the tasks of a speedZone, and their run time
// on a target of usual speed.
const usualTime = 100 * time.Millisecond

// roundPause is the time between two rounds of a speedZone, shorter than the time
// after which a slow target gets a probe.
const roundPause = 100 * time.Millisecond

// speedZone is a zone of targets whose clocks are given by the test.
type speedZone struct {
	*fakeZone
	targets int
	clock   int64
	// sequences are the last sequence numbers of ended runs.
	sequences map[string]int64
	jobs      int
	// events are the changes of targets in the last round.
	events []TargetEvent
	// incarnation is that of all targets.
	incarnation int64
}

func newSpeedZone(c *qt.C, targets int) *speedZone {
	return &speedZone{fakeZone: newReconciledZone(c, targets), targets: targets, clock: 5000, sequences: map[string]int64{}}
}

// start submits a patient job and returns its starts.
func (z *speedZone) start(tasks int) []StartRequest {
	z.jobs++
	submission := z.patientSubmission(fmt.Sprintf("%016x", z.jobs))
	submission.Job.Steps[0].Count = tasks
	return z.submit(submission)
}

// submit submits a job and returns its starts.
func (z *speedZone) submit(submission Submission) []StartRequest {
	z.scheduler.Submit(submission, z.now)
	starts := z.scheduler.Take().Starts
	for _, start := range starts {
		z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: z.clock}, z.now)
	}
	return starts
}

// end lists the ends of the runs after their run times by the clocks of the targets;
// the listings arrive with a delay.
func (z *speedZone) end(starts []StartRequest, runTime func(target string) time.Duration, delay time.Duration) {
	begin, longest := z.now, time.Duration(0)
	ends := map[string][]rattanwork.End{}
	for _, start := range starts {
		id := start.Target.ID
		z.sequences[id]++
		ends[id] = append(ends[id], rattanwork.End{Sequence: z.sequences[id], Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndDone})
	}
	for _, id := range slices.Sorted(maps.Keys(ends)) {
		ended, elapsed := ends[id], runTime(id)
		longest = max(longest, elapsed)
		arrival := begin.Add(elapsed + delay)
		z.scheduler.RunsListed(id, &rattanwork.Listing{Incarnation: z.incarnation, ClockMillis: z.clock + elapsed.Milliseconds(), Prompt: true, Ended: ended}, arrival, z.voidBefore, arrival)
	}
	z.clock += (longest + roundPause).Milliseconds()
	z.now = begin.Add(longest + delay + roundPause)
	z.scheduler.Tick(z.now)
	z.events = z.scheduler.Take().Targets
}

// play runs rounds of two tasks on each target.
func (z *speedZone) play(rounds int, runTime func(target string) time.Duration, delay time.Duration) {
	for range rounds {
		z.end(z.start(2*z.targets), runTime, delay)
	}
}

// slow returns the targets that count as slow.
func (z *speedZone) slow() []string {
	var list []string
	for i := range z.targets {
		if id := fmt.Sprintf("t%d", i); z.scheduler.targets[id].speed.class > 0 {
			list = append(list, id)
		}
	}
	return list
}

// slowed returns run times that are longer by the factor on the given targets.
func slowed(factor float64, ids ...string) func(target string) time.Duration {
	return func(target string) time.Duration {
		for _, id := range ids {
			if id == target {
				return time.Duration(factor * float64(usualTime))
			}
		}
		return usualTime
	}
}

// TestSlowTargetsAreFound guards against slow targets that get work while others
// have room, and against targets that never return to normal.
func TestSlowTargetsAreFound(t *testing.T) {
	z := newSpeedZone(qt.New(t), 9)
	z.play(2, slowed(1), 0)
	z.Check(z.slow(), qt.HasLen, 0)
	z.play(2, slowed(3, "t0", "t4", "t8"), 0)
	z.Check(z.slow(), qt.DeepEquals, []string{"t0", "t4", "t8"})
	starts := z.start(12)
	z.Assert(starts, qt.HasLen, 12)
	for _, start := range starts {
		z.Check(z.scheduler.targets[start.Target.ID].speed.class, qt.Equals, 0)
	}
	z.end(starts, slowed(1), 0)
	z.play(4, slowed(1), 0)
	z.Check(z.slow(), qt.HasLen, 0)
}

// TestSlowClassFollowsFactor guards against expected ends that do not fit the speed
// of a target.
func TestSlowClassFollowsFactor(t *testing.T) {
	for factor, class := range map[float64]int{1: 0, 1.2: 0, 1.67: 1, 2.25: 2, 3.2: 3, 8: 4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 4)
			z.play(8, slowed(factor, "t1"), 0)
			z.Check(z.scheduler.targets["t1"].speed.class, qt.Equals, class)
		})
	}
}

// TestUsualTargetsAreNotTakenForSlow guards against slow targets where the cause is
// another: all are slow at once, the home is late, or a task is much longer than the
// others of its kind.
func TestUsualTargetsAreNotTakenForSlow(t *testing.T) {
	tests := map[string]struct {
		runTime func(target string) time.Duration
		delay   time.Duration
	}{
		"all targets slow":  {runTime: func(string) time.Duration { return 3 * usualTime }},
		"home or link slow": {runTime: slowed(1), delay: 2 * time.Second},
		"a little longer":   {runTime: slowed(1.15, "t2")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 9)
			z.play(2, slowed(1), 0)
			z.play(4, test.runTime, test.delay)
			z.Check(z.slow(), qt.HasLen, 0)
			z.play(4, slowed(1), 0)
			z.Check(z.slow(), qt.HasLen, 0)
		})
	}
	t.Run("one long task", func(t *testing.T) {
		z := newSpeedZone(qt.New(t), 9)
		z.play(2, slowed(1), 0)
		starts := z.start(1)
		z.end(starts, slowed(7, starts[0].Target.ID), 0)
		z.Check(z.slow(), qt.HasLen, 0)
	})
}

// TestProgressTellsSlowTargets guards against targets that are found to be slow only
// when long tasks end there.
func TestProgressTellsSlowTargets(t *testing.T) {
	z := newSpeedZone(qt.New(t), 9)
	z.play(2, slowed(1), 0)
	byTarget := map[string][]StartRequest{}
	for _, start := range z.start(18) {
		byTarget[start.Target.ID] = append(byTarget[start.Target.ID], start)
	}
	// list lists the progress of all runs after a part of the usual run time.
	list := func(elapsed time.Duration) {
		for id, starts := range byTarget {
			var runs []rattanwork.Run
			percent := int(100 * elapsed / usualTime)
			if id == "t5" {
				percent /= 3
			}
			for _, start := range starts {
				runs = append(runs, rattanwork.Run{Task: start.Task, Attempt: start.Attempt, Percent: percent})
			}
			z.scheduler.RunsListed(id, &rattanwork.Listing{ClockMillis: z.clock + elapsed.Milliseconds(), Running: runs}, z.now, z.voidBefore, z.now)
		}
	}
	list(20 * time.Millisecond)
	list(40 * time.Millisecond)
	list(60 * time.Millisecond)
	z.Check(z.slow(), qt.DeepEquals, []string{"t5"})
}

// TestFalseProgress guards against a target whose claims of progress hide that it is
// slow, and against jobs that do not run because of false claims.
func TestFalseProgress(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	// Two rounds without claims are followed by some in which t1 claims the most
	// progress and t2 none.
	z.play(2, slowed(1), 0)
	for range 6 {
		starts := z.start(8)
		z.Assert(starts, qt.HasLen, 8)
		running := map[string][]rattanwork.Run{}
		for _, start := range starts {
			percent := map[string]int{"t0": 50, "t1": 99, "t2": 0, "t3": 50}[start.Target.ID]
			running[start.Target.ID] = append(running[start.Target.ID], rattanwork.Run{Task: start.Task, Attempt: start.Attempt, Percent: percent})
		}
		for id, runs := range running {
			z.scheduler.RunsListed(id, &rattanwork.Listing{ClockMillis: z.clock + 50, Running: runs}, z.now, z.voidBefore, z.now)
		}
		z.end(starts, slowed(2.9, "t1"), 0)
	}
	z.Check(z.scheduler.targets["t0"].speed.class, qt.Equals, 0)
	z.Check(z.scheduler.targets["t3"].speed.class, qt.Equals, 0)
}

// TestRestartedTargetIsOfUsualSpeed guards against a new incarnation that is avoided
// for the speed of the former one.
func TestRestartedTargetIsOfUsualSpeed(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	for i := range 4 {
		z.listRuns(i, rattanwork.Listing{Incarnation: 1})
	}
	z.incarnation = 1
	z.play(4, slowed(3, "t1"), 0)
	z.Check(z.slow(), qt.DeepEquals, []string{"t1"})
	z.listRuns(1, rattanwork.Listing{Incarnation: 2})
	z.Check(z.slow(), qt.HasLen, 0)
}

// TestUrgentTaskWaitsForUsualTarget guards against a task that starts where it would
// be late although a usual target becomes free in time, and against one that waits
// for that until its answer has no value.
func TestUrgentTaskWaitsForUsualTarget(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	z.play(4, slowed(3, "t1"), 0)
	z.Assert(z.slow(), qt.DeepEquals, []string{"t1"})
	running := z.start(6)
	z.Assert(running, qt.HasLen, 6)
	urgent := z.submission(jobA, 1)
	urgent.Job.Steps[0].Estimate = 150 * time.Millisecond
	z.scheduler.Submit(urgent, z.now)
	z.Check(z.scheduler.Take().Starts, qt.HasLen, 0)
	patient := z.submission(jobB, 1)
	patient.Objective = z.now.Add(900 * time.Millisecond)
	z.scheduler.Submit(patient, z.now)
	starts := z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Target.ID, qt.Equals, "t1")
	z.Check(starts[0].Task[:len(jobB)], qt.Equals, jobB)
	z.advance(200 * time.Millisecond)
	starts = z.scheduler.Take().Starts
	z.Assert(starts, qt.HasLen, 1)
	z.Check(starts[0].Task[:len(jobA)], qt.Equals, jobA, qt.Commentf("late on any target"))
}

// TestSlowTargetsCountLess guards against expected waits that take a slow target for
// a usual one.
func TestSlowTargetsCountLess(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	pool := z.scheduler.service(testService).pool
	z.Check(pool.expectedMilliCPU(), qt.Equals, 4*32000)
	z.play(6, slowed(2.25, "t1"), 0)
	z.Check(pool.expectedMilliCPU(), qt.Equals, 3*32000+int(32000/slowFactorOf(2)))
	z.scheduler.UpdateTargets(nil, true, z.now)
	z.Check(pool.expectedMilliCPU(), qt.Equals, 0)
	z.Check(pool.classMilliCPU, qt.Equals, [maxSlowClass + 1]int{})
}

// describeCold updates the inventory with a time for which the first targets remain
// cold.
func (z *speedZone) describeCold(count int, left time.Duration) {
	var list []rattanwork.Target
	for i := range z.targets {
		info := testTarget(i)
		if i < count {
			info.ColdLeft = left
		}
		list = append(list, info)
	}
	z.scheduler.UpdateTargets(list, true, z.now)
}

// TestColdTargetsCountAsSlow guards against tasks that start on targets that have
// just started while warm ones have room, and against targets that stay cold when
// their time is over or when their entry is no longer updated.
func TestColdTargetsCountAsSlow(t *testing.T) {
	z := newSpeedZone(qt.New(t), 6)
	z.describeCold(2, 5*time.Second)
	z.Check(z.slow(), qt.DeepEquals, []string{"t0", "t1"})
	pool := z.scheduler.service(testService).pool
	z.Check(pool.expectedMilliCPU(), qt.Equals, 4*32000+2*int(32000/slowFactorOf(2)))
	starts := z.start(8)
	for _, start := range starts {
		z.Check(start.Target.ID, qt.Not(qt.Equals), "t0")
		z.Check(start.Target.ID, qt.Not(qt.Equals), "t1")
	}
	z.end(starts, slowed(1), 0)
	z.play(1, slowed(2, "t0", "t1"), 0)
	z.Check(z.slow(), qt.DeepEquals, []string{"t0", "t1"})
	z.advance(5 * time.Second)
	z.Check(z.slow(), qt.HasLen, 0)
	z.Check(pool.expectedMilliCPU(), qt.Equals, 6*32000)
	z.Check(z.scheduler.cold, qt.HasLen, 0)
	z.describeCold(1, 500*time.Millisecond)
	z.describeCold(1, 0)
	z.Check(z.slow(), qt.HasLen, 0)
}

// TestColdnessIsLearned guards against cold targets that count as much slower or
// faster than they are.
func TestColdnessIsLearned(t *testing.T) {
	for factor, class := range map[float64]int{1: 0, 1.5: 1, 2.25: 2, 4: 3} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 6)
			z.play(2, slowed(1), 0)
			for range 20 {
				z.describeCold(2, time.Minute)
				z.play(1, slowed(factor, "t0", "t1"), 0)
			}
			z.Check(z.scheduler.targets["t0"].speed.class, qt.Equals, class)
			z.Check(z.scheduler.targets["t4"].speed.class, qt.Equals, 0)
			z.describeCold(0, 0)
			z.Check(z.slow(), qt.HasLen, 0)
		})
	}
}

// TestFalseColdness guards against entries with a false cold time that keep jobs from
// running.
func TestFalseColdness(t *testing.T) {
	z := newSpeedZone(qt.New(t), 2)
	z.describeCold(2, time.Hour)
	starts := z.start(4)
	z.Check(starts, qt.HasLen, 4)
	z.end(starts, slowed(1), 0)
}

// TestSlowTargetIsProbed guards against a slow target that is never used again because
// others have room, against probes that cost callers their deadlines, and against
// probes of a target that shows again and again that it is slow.
func TestSlowTargetIsProbed(t *testing.T) {
	tests := map[string]struct {
		factor   float64
		slack    time.Duration
		probed   bool
		recovers bool
	}{
		"normal again": {factor: 1, slack: 10 * time.Second, probed: true, recovers: true},
		"still slow":   {factor: 3, slack: 10 * time.Second, probed: true},
		"no time":      {factor: 1, slack: 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 4)
			z.play(6, slowed(3, "t1"), 0)
			z.Assert(z.slow(), qt.DeepEquals, []string{"t1"})
			probes, rounds := 0, 300
			for range rounds {
				z.jobs++
				submission := z.patientSubmission(fmt.Sprintf("%016x", z.jobs))
				submission.Objective = z.now.Add(test.slack)
				starts := z.submit(submission)
				z.Assert(starts, qt.HasLen, 1)
				if starts[0].Target.ID == "t1" && len(z.slow()) > 0 {
					probes++
				}
				z.end(starts, slowed(test.factor, "t1"), 0)
			}
			z.Check(probes > 0, qt.Equals, test.probed)
			z.Check(probes <= rounds/20, qt.IsTrue, qt.Commentf("%d probes", probes))
			z.Check(len(z.slow()) == 0, qt.Equals, test.recovers)
		})
	}
}

// TestSlowTargetsSurviveTakeover guards against a successor that has to learn the speeds
// of targets anew, and against one that applies them to other incarnations.
func TestSlowTargetsSurviveTakeover(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	for i := range 4 {
		z.listRuns(i, rattanwork.Listing{Incarnation: 7})
	}
	z.incarnation = 7
	z.play(6, slowed(3, "t1", "t2"), 0)
	told := z.scheduler.SlowTargets(z.now)
	z.Assert(told, qt.HasLen, 2)
	z.Check(z.scheduler.SlowTargetCount(), qt.Equals, 2)
	successor := newSpeedZone(z.C, 0)
	successor.targets = 4
	successor.describeCold(0, 0)
	successor.scheduler.AddSlowTargets(append(told, SlowTarget{Target: "t3", Slowness: 1, Age: time.Hour}, SlowTarget{Target: "unknown", Slowness: 1}), successor.now)
	for i := range 4 {
		incarnation := int64(7)
		if i == 2 {
			incarnation = 8
		}
		successor.listRuns(i, rattanwork.Listing{Incarnation: incarnation})
	}
	z.Check(successor.slow(), qt.DeepEquals, []string{"t1"})
	for _, start := range successor.start(6) {
		z.Check(start.Target.ID, qt.Not(qt.Equals), "t1")
	}
	successor.scheduler.AddSlowTargets([]SlowTarget{{Target: "t0", Incarnation: 7, Slowness: 1e300}}, successor.now)
	z.Check(successor.scheduler.targets["t0"].speed.class, qt.Equals, maxSlowClass)
}

// TestSlowTargetsAreReported guards against slow targets that operators do not learn
// of, and against a line for each change of an estimate.
func TestSlowTargetsAreReported(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	report := func(rounds int, factor float64) map[TargetChange]int {
		changes := map[TargetChange]int{}
		for range rounds {
			starts := z.start(8)
			z.end(starts, slowed(factor, "t1"), 0)
			for _, event := range z.events {
				z.Check(event.Target, qt.Equals, "t1")
				changes[event.Change]++
			}
		}
		return changes
	}
	z.Check(report(10, 1), qt.HasLen, 0)
	z.Check(report(20, 2.5), qt.DeepEquals, map[TargetChange]int{TargetSlow: 1})
	z.Check(report(20, 1), qt.DeepEquals, map[TargetChange]int{TargetNormal: 1})
}

// BenchmarkSelectTarget measures one decision with a part of the targets slow.
func BenchmarkSelectTarget(b *testing.B) {
	for _, targets := range []int{350, 8700} {
		for _, slow := range []int{0, 3} {
			for _, usualFull := range []bool{false, true} {
				b.Run(fmt.Sprintf("targets=%d/slow=%t/usualFull=%t", targets, slow > 0, usualFull), func(b *testing.B) {
					z := newReconciledZone(qt.New(b), targets)
					pool := z.scheduler.service(testService).pool
					for i := range targets {
						target := z.scheduler.targets[fmt.Sprintf("t%d", i)]
						if slow > 0 && i%slow == 0 {
							target.speed.class = 1 + i%maxSlowClass
						} else if usualFull {
							target.reserve(target.free)
						}
						pool.refresh(target, z.now)
					}
					submission := z.patientSubmission(jobA)
					task := newJob(submission, z.now).tasks[0]
					pass := &placementPass{pool: pool, now: z.now}
					b.ReportAllocs()
					for b.Loop() {
						pass.failed = pass.failed[:0]
						z.scheduler.selectTarget(task, pass)
					}
				})
			}
		}
	}
}

// BenchmarkObserveSpeed measures what is learned from one end of a run.
func BenchmarkObserveSpeed(b *testing.B) {
	for _, targets := range []int{350, 8700} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			z := newReconciledZone(qt.New(b), targets)
			list := make([]*target, targets)
			for i := range list {
				list[i] = z.scheduler.targets[fmt.Sprintf("t%d", i)]
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				z.scheduler.observeSpeed(list[i%targets], float64(i%7)/10, 1, z.now)
			}
		})
	}
}
