package rattanscheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// usualTime is the declared run time of the tasks of a speedZone, and their run time
// on a target of usual speed.
const usualTime = 100 * time.Millisecond

// speedZone is a zone of targets whose clocks are given by the test.
type speedZone struct {
	*fakeZone
	targets   int
	clock     int64
	sequences map[string]int64
	jobs      int
	// events are the changes of targets so far.
	events []TargetEvent
}

func newSpeedZone(c *qt.C, targets int) *speedZone {
	return &speedZone{fakeZone: newReconciledZone(c, targets), targets: targets, clock: 5000, sequences: map[string]int64{}}
}

func (z *speedZone) take() Output {
	output := z.scheduler.Take()
	z.events = append(z.events, output.Targets...)
	return output
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
	z.take()
}

// start submits a patient job of tasks of which two fit on a target, and returns its
// starts.
func (z *speedZone) start(tasks int) []StartRequest { return z.startSized(tasks, 14000) }

func (z *speedZone) startSized(tasks, milliCPU int) []StartRequest {
	z.jobs++
	submission := z.patientSubmission(fmt.Sprintf("%016x", z.jobs))
	submission.Job.Steps[0].Count, submission.Job.Steps[0].Resources.MilliCPU = tasks, milliCPU
	z.scheduler.Submit(submission, z.now)
	starts := z.take().Starts
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
	for _, id := range slices.SortedFunc(maps.Keys(ends), func(a, b string) int { return cmp.Or(cmp.Compare(runTime(a), runTime(b)), cmp.Compare(a, b)) }) {
		elapsed := runTime(id)
		longest = max(longest, elapsed)
		arrival := begin.Add(elapsed + delay)
		z.scheduler.RunsListed(id, &rattanwork.Listing{ClockMillis: z.clock + elapsed.Milliseconds(), Prompt: true, Ended: ends[id]}, arrival, z.voidBefore, arrival)
	}
	z.clock += (longest + time.Second).Milliseconds()
	z.now = begin.Add(longest + delay + 100*time.Millisecond)
	z.scheduler.Tick(z.now)
	z.take()
}

// play runs rounds of two tasks on each target.
func (z *speedZone) play(rounds int, runTime func(target string) time.Duration, delay time.Duration) {
	for range rounds {
		z.end(z.start(2*z.targets), runTime, delay)
	}
}

// slow returns the targets that are not of usual speed.
func (z *speedZone) slow() []string {
	var list []string
	for i := range z.targets {
		if id := fmt.Sprintf("t%d", i); z.scheduler.targets[id].speed.class > classUsual {
			list = append(list, id)
		}
	}
	return list
}

// changes counts the changes of targets so far.
func (z *speedZone) changes() map[TargetChange]int {
	counts := map[TargetChange]int{}
	for _, event := range z.events {
		counts[event.Change]++
	}
	return counts
}

// slowed returns run times that are longer by the factor on the given targets.
func slowed(factor float64, ids ...string) func(target string) time.Duration {
	return func(target string) time.Duration {
		if slices.Contains(ids, target) {
			return time.Duration(factor * float64(usualTime))
		}
		return usualTime
	}
}

// TestColdTargetsAreSecondChoice guards against tasks that start on cold targets while
// warm ones have room or wait while cold ones have, and against targets that stay cold
// when their time is over or their entry is no longer updated.
func TestColdTargetsAreSecondChoice(t *testing.T) {
	z := newSpeedZone(qt.New(t), 6)
	pool := z.scheduler.service(testService).pool
	capacity := pool.expectedMilliCPU()
	z.describeCold(2, 5*time.Second)
	z.Check(z.slow(), qt.DeepEquals, []string{"t0", "t1"})
	z.Check(pool.expectedMilliCPU(), qt.Equals, capacity)
	starts := z.start(8)
	z.Check(z.scheduler.FreeMilliCPU(z.now), qt.Equals, 4*4000)
	z.Check(z.scheduler.Rooms(z.now)[0].Fits.of(10000), qt.Equals, 0)
	for _, start := range starts {
		z.Check(slices.Contains(z.slow(), start.Target.ID), qt.IsFalse)
	}
	more := z.start(4)
	z.Assert(more, qt.HasLen, 4, qt.Commentf("tasks wait although cold targets have room"))
	z.end(append(starts, more...), slowed(2, "t0", "t1"), 0)
	z.Check(z.slow(), qt.DeepEquals, []string{"t0", "t1"})
	z.advance(5 * time.Second)
	z.Check(z.slow(), qt.HasLen, 0)
	z.Check(z.scheduler.ColdTargets(), qt.Equals, 0)
	z.Check(z.scheduler.FreeMilliCPU(z.now), qt.Equals, capacity)
	z.take()
	z.Check(z.changes()[TargetCold], qt.Equals, 2)
	z.Check(z.changes()[TargetWarm], qt.Equals, 2)
	z.describeCold(1, 500*time.Millisecond)
	z.Check(z.slow(), qt.HasLen, 1)
	z.describeCold(1, 0)
	z.advance(coldCheckInterval)
	z.Check(z.slow(), qt.HasLen, 0)
}

// TestColdFactorIsLearned guards against expected run times on cold targets that do not
// follow the actual ones, or that spoil those on others.
func TestColdFactorIsLearned(t *testing.T) {
	for _, factor := range []float64{1, 1.5, 4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 3)
			for range 40 {
				z.describeCold(3, time.Minute)
				z.play(1, slowed(factor, "t0", "t1", "t2"), 0)
			}
			learned := z.scheduler.service(testService).coldFactor
			z.Check(learned > 0.95*factor && learned < 1.05*factor, qt.IsTrue, qt.Commentf("%v", learned))
			z.Check(z.scheduler.estimator.learned, qt.HasLen, 0)
			z.describeCold(3, usualTime/2)
			z.play(1, slowed(1), 0)
			z.Check(z.scheduler.service(testService).coldFactor, qt.Equals, learned, qt.Commentf("warm at the end"))
		})
	}
}

// TestStepPrefersRackOfUsualSpeed guards against a step that is placed on a rack of cold
// targets while another rack has as much room.
func TestStepPrefersRackOfUsualSpeed(t *testing.T) {
	z := newSpeedZone(qt.New(t), 4)
	for _, target := range z.scheduler.targets {
		target.info.Rack = target.info.Labels[1]
	}
	z.describeCold(2, time.Minute)
	submission := z.submission(jobA, 3)
	submission.Job.Steps[0].SameRack = true
	z.scheduler.Submit(submission, z.now)
	starts := z.take().Starts
	z.Assert(starts, qt.HasLen, 3)
	for _, start := range starts {
		z.Check(start.Target.Rack, qt.Equals, "r1")
	}
}

// TestFalseColdTime guards against an entry with a false cold time that keeps jobs from
// running, or applies for longer than a minute.
func TestFalseColdTime(t *testing.T) {
	z := newSpeedZone(qt.New(t), 2)
	z.describeCold(2, time.Hour)
	starts := z.start(4)
	z.Check(starts, qt.HasLen, 4)
	z.end(starts, slowed(1), 0)
	z.advance(rattanwork.MaxColdLeft)
	z.Check(z.slow(), qt.HasLen, 0)
}

// TestJobLeavesColdTargets guards against a job that is late on a cold target although
// another zone has room, and against one that leaves although it ends in time, or as
// early, where it is. A preview has to say the same.
func TestJobLeavesColdTargets(t *testing.T) {
	tests := map[string]struct {
		slack      time.Duration
		coldLeft   time.Duration
		remoteWait int64
		want       PreviewOutcome
	}{
		"late":                 {slack: 150 * time.Millisecond, coldLeft: 5 * time.Second, want: PreviewRedirected},
		"in time":              {slack: 350 * time.Millisecond, coldLeft: 5 * time.Second, want: PreviewStarts},
		"soon warm":            {slack: 150 * time.Millisecond, coldLeft: 6 * time.Millisecond, want: PreviewStarts},
		"as late elsewhere":    {slack: 150 * time.Millisecond, coldLeft: 5 * time.Second, remoteWait: 200, want: PreviewStarts},
		"warm targets as well": {slack: 150 * time.Millisecond, want: PreviewStarts},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 2)
			z.describeCold(2, test.coldLeft)
			other := ServiceRoom{Service: testService, MilliCPU: 90000, Waits: []PriorityWait{{Millis: test.remoteWait}}}
			other.Fits.add(90000, 1)
			z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 90000, Rooms: []ServiceRoom{other}}})
			submission := z.submission(jobA, 2)
			submission.Objective, submission.Redirectable = z.now.Add(test.slack), true
			preview := z.scheduler.Preview(submission, z.now)
			z.Check(preview.Outcome, qt.Equals, test.want)
			z.scheduler.Submit(submission, z.now)
			output := z.scheduler.Take()
			if test.want == PreviewStarts {
				z.Check(output.Starts, qt.HasLen, 2)
				return
			}
			z.Check(output.Starts, qt.HasLen, 0)
			z.Assert(output.Results, qt.HasLen, 1)
			z.Check(output.Results[0].Outcome, qt.Equals, Redirected)
			z.Check(output.Results[0].Zone, qt.Equals, preview.Zone)
			z.Check(output.Results[0].Reason, qt.Equals, reasonOnlyCold)
		})
	}
}

// TestPlacementBySpeedMatchesPlainAlgorithm guards against an order of the indexes by
// speed class in which a better target is missed.
func TestPlacementBySpeedMatchesPlainAlgorithm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSchedulerPair(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { p.submit() },
			"answer": func(*rapid.T) { p.answerStart() },
			"end":    func(*rapid.T) { p.endRun() },
			"cold": func(t *rapid.T) {
				index := rapid.IntRange(0, len(p.targets)-1).Draw(t, "target")
				p.targets[index].ColdLeft = time.Duration(rapid.IntRange(0, 300).Draw(t, "left")) * time.Millisecond
				p.each(func(s *Scheduler) { s.UpdateTargets(p.targets, true, p.now) })
			},
			"tick": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "advance")) * time.Millisecond)
				p.each(func(s *Scheduler) { s.Tick(p.now) })
			},
		})
	})
}

// TestSlowTargetsAreFound guards against slow targets that get work while others have
// room, against tasks that wait while only slow ones have, and against targets that
// never return to normal.
func TestSlowTargetsAreFound(t *testing.T) {
	z := newSpeedZone(qt.New(t), 9)
	capacity := z.scheduler.service(testService).pool.expectedMilliCPU()
	z.play(2, slowed(1), 0)
	z.Check(z.slow(), qt.HasLen, 0)
	z.play(8, slowed(3, "t0", "t4", "t8"), 0)
	z.Check(z.slow(), qt.DeepEquals, []string{"t0", "t4", "t8"})
	z.Check(z.scheduler.SlowTargets(), qt.Equals, 3)
	z.Check(z.scheduler.service(testService).pool.expectedMilliCPU(), qt.Equals, capacity)
	starts := z.start(12)
	z.Assert(starts, qt.HasLen, 12)
	for _, start := range starts {
		z.Check(slices.Contains(z.slow(), start.Target.ID), qt.IsFalse)
	}
	more := z.start(6)
	z.Assert(more, qt.HasLen, 6, qt.Commentf("tasks wait although slow targets have room"))
	z.end(append(starts, more...), slowed(1), 0)
	z.play(10, slowed(1), 0)
	z.Check(z.slow(), qt.HasLen, 0)
	z.Check(z.scheduler.slow, qt.HasLen, 0)
	z.Check(z.changes()[TargetSlow], qt.Equals, 3)
	z.Check(z.changes()[TargetNormal], qt.Equals, 3)
}

// TestSpeedClassFollowsFactor guards against classes that do not fit the run times, also
// where speeds differ by nature.
func TestSpeedClassFollowsFactor(t *testing.T) {
	for factor, class := range map[float64]speedClass{0.6: 0, 1: 0, 1.4: 0, 1.7: 1, 2.6: 2} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 9)
			z.play(20, slowed(factor, "t1"), 0)
			z.Check(z.scheduler.targets["t1"].speed.class, qt.Equals, class)
			z.Check(z.scheduler.targets["t2"].speed.class, qt.Equals, classUsual)
		})
	}
	qt.Check(t, nextClass(classUsual, 9), qt.Equals, classSlowest)
	qt.Check(t, nextClass(classSlowest, 1.2), qt.Equals, classSlowest, qt.Commentf("close to its bound"))
	qt.Check(t, nextClass(classSlowest, -9), qt.Equals, classUsual)
}

// TestUsualTargetsAreNotTakenForSlow guards against slow targets where the cause is
// another: all are slow at once, the home is late, all run times are declared too low,
// or one task is much longer than the others of its kind.
func TestUsualTargetsAreNotTakenForSlow(t *testing.T) {
	tests := map[string]struct {
		targets int
		runTime func(target string) time.Duration
		delay   time.Duration
		noClock bool
	}{
		"all slow":               {targets: 9, runTime: func(string) time.Duration { return 3 * usualTime }},
		"all slow, few targets":  {targets: 3, runTime: func(string) time.Duration { return 3 * usualTime }},
		"home late":              {targets: 9, runTime: slowed(1), delay: 2 * time.Second},
		"home late, no clocks":   {targets: 9, runTime: slowed(1), delay: 2 * time.Second, noClock: true},
		"some a little longer":   {targets: 9, runTime: slowed(1.2, "t2", "t3")},
		"two targets, one slow":  {targets: 2, runTime: slowed(3, "t1")},
		"most fast, some slower": {targets: 9, runTime: slowed(0.4, "t0", "t1", "t2", "t3")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(qt.New(t), test.targets)
			if test.noClock {
				z.clock = -time.Hour.Milliseconds()
			}
			z.play(3, slowed(1), 0)
			for range 6 {
				z.play(1, test.runTime, test.delay)
				z.Check(z.slow(), qt.HasLen, 0)
			}
			z.play(6, slowed(1), 0)
			z.Check(z.slow(), qt.HasLen, 0)
		})
	}
	t.Run("one long task", func(t *testing.T) {
		z := newSpeedZone(qt.New(t), 9)
		z.play(3, slowed(1), 0)
		starts := z.start(9)
		z.Assert(starts[8].Target.ID, qt.Equals, "t4", qt.Commentf("the only task there"))
		z.end(starts, slowed(7, "t4"), 0)
		z.advance(comparisonTimeout)
		z.end(z.start(9), slowed(1), 0)
		slowness := z.scheduler.targets["t4"].speed.slowness
		z.Check(slowness > 0 && slowness < maxDeviation/formerWeight, qt.IsTrue, qt.Commentf("%v", slowness))
		z.end(z.start(9), slowed(1), 0)
		z.Check(z.slow(), qt.HasLen, 0)
	})
}

// listProgress lists the progress of runs on all targets after the time by their clocks.
func (z *speedZone) listProgress(starts []StartRequest, elapsed func(target string) time.Duration, percent func(target string) int) {
	running := map[string][]rattanwork.Run{}
	for _, start := range starts {
		id := start.Target.ID
		running[id] = append(running[id], rattanwork.Run{Task: start.Task, Attempt: start.Attempt, Percent: percent(id)})
	}
	for _, id := range slices.Sorted(maps.Keys(running)) {
		z.scheduler.RunsListed(id, &rattanwork.Listing{ClockMillis: z.clock + elapsed(id).Milliseconds(), Running: running[id]}, z.now, z.voidBefore, z.now)
	}
}

// TestProgressTellsSlowTargets guards against targets that are found to be slow only
// when long tasks end there, and against arrival times that are preferred to clocks.
func TestProgressTellsSlowTargets(t *testing.T) {
	z := newSpeedZone(qt.New(t), 9)
	z.play(3, slowed(1), 0)
	starts := z.startSized(126, 2250)
	z.Assert(starts, qt.HasLen, 126)
	// The home handles all listings at the same time, late.
	z.now = z.now.Add(2 * usualTime)
	z.listProgress(starts, slowed(4, "t5"), func(string) int { return 98 })
	z.Check(z.slow(), qt.HasLen, 0)
	// The next end lets the targets be compared.
	z.end(starts[:1], slowed(1), 0)
	z.Check(z.slow(), qt.DeepEquals, []string{"t5"})
}

// TestFalseProgress guards against jobs that do not run, and against usual targets that
// count as slow, because some targets claim false progress or state false clocks.
func TestFalseProgress(t *testing.T) {
	z := newSpeedZone(qt.New(t), 9)
	z.play(2, slowed(1), 0)
	claims := map[string]int{"t0": 0, "t1": 100, "t2": -5, "t3": 1 << 30}
	for range 6 {
		starts := z.start(18)
		z.Assert(starts, qt.HasLen, 18)
		z.now = z.now.Add(usualTime)
		z.listProgress(starts, slowed(1), func(id string) int {
			if claim, ok := claims[id]; ok {
				return claim
			}
			return 99
		})
		z.end(starts, func(id string) time.Duration {
			return map[string]time.Duration{"t1": 3 * usualTime, "t4": -time.Hour}[id] + usualTime
		}, 0)
		for _, id := range []string{"t5", "t6", "t7", "t8"} {
			z.Check(z.scheduler.targets[id].speed.class, qt.Equals, classUsual)
		}
	}
	for id, target := range z.scheduler.targets {
		z.Check(target.speed.slowness > -10 && target.speed.slowness < 10, qt.IsTrue, qt.Commentf("%s: %v", id, target.speed.slowness))
	}
}

// TestSlowTargetIsTriedAgain guards against a slow target that is never used again while
// others have room, and against a log line for each time that it is tried in vain.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	for name, factor := range map[string]float64{"still slow": 3, "usual again": 1} {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(qt.New(t), 9)
			z.play(7, slowed(3, "t1"), 0)
			z.Assert(z.slow(), qt.DeepEquals, []string{"t1"})
			for range 3 {
				z.advance(speedRetention)
				z.Check(z.slow(), qt.HasLen, 0)
				z.take()
				z.play(2, slowed(factor, "t1"), 0)
				z.Check(len(z.slow()) > 0, qt.Equals, factor > 1)
			}
			z.Check(z.changes()[TargetSlow], qt.Equals, 1)
			z.Check(z.changes()[TargetNormal] > 0, qt.Equals, factor == 1)
		})
	}
}

// TestRestartedTargetIsOfUsualSpeed guards against a new incarnation that is avoided for
// the speed of the former one.
func TestRestartedTargetIsOfUsualSpeed(t *testing.T) {
	z := newSpeedZone(qt.New(t), 9)
	z.play(7, slowed(3, "t1"), 0)
	z.Assert(z.slow(), qt.DeepEquals, []string{"t1"})
	z.listRuns(1, rattanwork.Listing{Incarnation: 2})
	z.Check(z.slow(), qt.HasLen, 0)
}
