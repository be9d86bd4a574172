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
	targets  int
	clock    int64
	sequence int64
	jobs     int
	// changes counts the changes of targets.
	changes map[TargetChange]int
}

func newSpeedZone(t *testing.T, targets int) *speedZone {
	return &speedZone{fakeZone: newReconciledZone(qt.New(t), targets), targets: targets, clock: 5000, changes: map[TargetChange]int{}}
}

func (z *speedZone) takeStarts() []StartRequest {
	output := z.scheduler.Take()
	for _, event := range output.Targets {
		z.changes[event.Change]++
	}
	return output.Starts
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
	z.takeStarts()
}

// start submits a patient job and returns its starts.
func (z *speedZone) start(tasks, milliCPU int) []StartRequest {
	z.jobs++
	submission := z.patientSubmission(fmt.Sprintf("%016x", z.jobs))
	submission.Job.Steps[0].Count, submission.Job.Steps[0].Resources.MilliCPU = tasks, milliCPU
	z.scheduler.Submit(submission, z.now)
	starts := z.takeStarts()
	z.Assert(starts, qt.HasLen, tasks)
	for _, start := range starts {
		z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: z.clock}, z.now)
	}
	return starts
}

// list lists the runs after their times by the clocks of the targets, as ended or with
// their progress. With a delay, the listings arrive together after that.
func (z *speedZone) list(starts []StartRequest, runTime func(target string) time.Duration, delay time.Duration, percent func(target string) int) {
	listings := map[string]*rattanwork.Listing{}
	for _, start := range starts {
		id := start.Target.ID
		if listings[id] == nil {
			listings[id] = &rattanwork.Listing{ClockMillis: z.clock + runTime(id).Milliseconds(), Prompt: true}
		}
		if percent != nil {
			listings[id].Running = append(listings[id].Running, rattanwork.Run{Task: start.Task, Attempt: start.Attempt, Percent: percent(id)})
			continue
		}
		z.sequence++
		listings[id].Ended = append(listings[id].Ended, rattanwork.End{Sequence: z.sequence, Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndDone})
	}
	begin := z.now
	byRunTime := func(a, b string) int { return cmp.Or(cmp.Compare(runTime(a), runTime(b)), cmp.Compare(a, b)) }
	for _, id := range slices.SortedFunc(maps.Keys(listings), byRunTime) {
		z.now = begin.Add(cmp.Or(delay, runTime(id)))
		z.scheduler.RunsListed(id, listings[id], z.now, z.voidBefore, z.now)
	}
}

// end lists the ends of the runs, and lets some time pass.
func (z *speedZone) end(starts []StartRequest, runTime func(target string) time.Duration, delay time.Duration) {
	z.list(starts, runTime, delay, nil)
	z.clock += time.Minute.Milliseconds()
	z.advance(usualTime)
	z.takeStarts()
}

// play runs rounds of two tasks on each target.
func (z *speedZone) play(rounds int, runTime func(target string) time.Duration) {
	for range rounds {
		z.end(z.start(2*z.targets, 14000), runTime, 0)
	}
}

// slow returns the targets that are not of usual speed.
func (z *speedZone) slow() string {
	list := ""
	for i := range z.targets {
		if id := fmt.Sprintf("t%d", i); z.scheduler.targets[id].speed.class > classUsual {
			list += id
		}
	}
	return list
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

// checkSecondChoice starts two tasks on each target and checks that the first ones start
// on targets of usual speed.
func (z *speedZone) checkSecondChoice(slow string, usual int) []StartRequest {
	z.Check(z.slow(), qt.Equals, slow)
	starts := z.start(2*usual, 14000)
	for _, start := range starts {
		z.Check(z.scheduler.targets[start.Target.ID].speed.class, qt.Equals, classUsual)
	}
	return append(starts, z.start(2*(z.targets-usual), 14000)...)
}

// TestColdTargetsAreSecondChoice guards against tasks that start on cold targets while
// warm ones have room or wait while cold ones have, against steps that prefer a cold rack,
// and against targets that stay cold when their time is over, or for more than a minute.
func TestColdTargetsAreSecondChoice(t *testing.T) {
	z := newSpeedZone(t, 6)
	for _, target := range z.scheduler.targets {
		target.info.Rack = target.info.Labels[1]
	}
	z.describeCold(2, time.Hour)
	z.Check(z.scheduler.FreeMilliCPU(z.now), qt.Equals, 4*32000)
	z.Check(z.scheduler.Rooms(z.now)[0].Fits.of(32000), qt.Equals, 4)
	z.Check(z.scheduler.Rooms(z.now)[0].MilliCPU, qt.Equals, 6*32000)
	submission := z.submission(jobA, 3)
	submission.Job.Steps[0].SameRack = true
	z.scheduler.Submit(submission, z.now)
	coupled := z.takeStarts()
	z.Assert(coupled, qt.HasLen, 3)
	z.Check(coupled[0].Target.Rack, qt.Equals, "r1")
	z.end(coupled, slowed(1), 0)
	z.end(z.checkSecondChoice("t0t1", 4), slowed(2, "t0", "t1"), 0)
	z.Check(z.slow(), qt.Equals, "t0t1")
	z.advance(rattanwork.MaxColdLeft)
	z.takeStarts()
	z.Check(z.slow(), qt.Equals, "")
	z.Check(z.scheduler.FreeMilliCPU(z.now), qt.Equals, 6*32000)
	z.Check([]int{z.changes[TargetCold], z.changes[TargetWarm], z.scheduler.ColdTargets()}, qt.DeepEquals, []int{2, 2, 0})
	z.describeCold(1, time.Minute)
	z.Check(z.slow(), qt.Equals, "t0")
	z.describeCold(1, 0)
	z.advance(coldCheckInterval)
	z.Check(z.slow(), qt.Equals, "")
}

// TestColdFactorIsLearned guards against expected run times on cold targets that do not
// follow the actual ones, or that spoil those on others.
func TestColdFactorIsLearned(t *testing.T) {
	for _, factor := range []float64{1, 1.5, 4} {
		z := newSpeedZone(t, 3)
		for range 40 {
			z.describeCold(3, time.Minute)
			z.play(1, slowed(factor, "t0", "t1", "t2"))
		}
		learned := z.scheduler.service(testService).coldFactor
		z.Check(learned > 0.95*factor && learned < 1.05*factor, qt.IsTrue, qt.Commentf("%v", learned))
		z.Check(z.scheduler.estimator.learned, qt.HasLen, 0)
		z.describeCold(3, usualTime/2)
		z.play(1, slowed(1))
		z.Check(z.scheduler.service(testService).coldFactor, qt.Equals, learned, qt.Commentf("warm at the end"))
	}
}

// TestJobLeavesColdTargets guards against a job that is late on a cold target although
// another zone has room, and against one that leaves although it ends in time, or as
// early, where it is. A preview has to say the same.
func TestJobLeavesColdTargets(t *testing.T) {
	const long = 5 * time.Second
	for name, test := range map[string]struct {
		slack, coldLeft, remoteWait time.Duration
		leaves                      bool
	}{
		"late":                 {slack: 150 * time.Millisecond, coldLeft: long, leaves: true},
		"in time":              {slack: 350 * time.Millisecond, coldLeft: long},
		"soon warm":            {slack: 150 * time.Millisecond, coldLeft: 6 * time.Millisecond},
		"as late elsewhere":    {slack: 150 * time.Millisecond, coldLeft: long, remoteWait: 200 * time.Millisecond},
		"warm targets as well": {slack: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(t, 2)
			z.describeCold(2, test.coldLeft)
			other := ServiceRoom{Service: testService, MilliCPU: 90000, Waits: []PriorityWait{{Millis: test.remoteWait.Milliseconds()}}}
			other.Fits.add(90000, 1)
			z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 90000, Rooms: []ServiceRoom{other}}})
			submission := z.submission(jobA, 2)
			submission.Objective, submission.Redirectable = z.now.Add(test.slack), true
			preview := z.scheduler.Preview(submission, z.now)
			z.Check(preview.Outcome == PreviewRedirected, qt.Equals, test.leaves)
			z.scheduler.Submit(submission, z.now)
			output := z.scheduler.Take()
			z.Check(len(output.Starts) == 0, qt.Equals, test.leaves)
			z.Check(len(output.Results) == 1, qt.Equals, test.leaves)
			for _, result := range output.Results {
				z.Check([]string{result.Outcome.String(), result.Zone, result.Reason}, qt.DeepEquals, []string{Redirected.String(), preview.Zone, reasonOnlyCold})
			}
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
	z := newSpeedZone(t, 9)
	z.play(3, slowed(1))
	z.play(8, slowed(3, "t0", "t4", "t8"))
	z.Check(z.scheduler.SlowTargets(), qt.Equals, 3)
	z.Check(z.scheduler.Rooms(z.now)[0].MilliCPU, qt.Equals, 9*32000)
	z.end(z.checkSecondChoice("t0t4t8", 6), slowed(1), 0)
	z.play(10, slowed(1))
	z.Check(z.slow(), qt.Equals, "")
	z.Check(z.scheduler.slow, qt.HasLen, 0)
	z.Check([]int{z.changes[TargetSlow], z.changes[TargetNormal]}, qt.DeepEquals, []int{3, 3})
	z.play(7, slowed(3, "t1"))
	z.Check(z.slow(), qt.Equals, "t1")
	z.listRuns(1, rattanwork.Listing{Incarnation: 2})
	z.Check(z.slow(), qt.Equals, "", qt.Commentf("restarted"))
}

// TestSpeedClassFollowsFactor guards against classes that do not fit the run times, also
// where speeds differ by nature.
func TestSpeedClassFollowsFactor(t *testing.T) {
	for factor, class := range map[float64]speedClass{0.6: 0, 1: 0, 1.4: 0, 1.7: 1, 2.6: 2} {
		z := newSpeedZone(t, 9)
		z.play(20, slowed(factor, "t1"))
		z.Check(z.scheduler.targets["t1"].speed.class, qt.Equals, class, qt.Commentf("%v", factor))
		z.Check(z.scheduler.targets["t2"].speed.class, qt.Equals, classUsual)
	}
	qt.Check(t, nextClass(classUsual, 9), qt.Equals, classSlowest)
	qt.Check(t, nextClass(classSlowest, 1.2), qt.Equals, classSlowest, qt.Commentf("close to its bound"))
	qt.Check(t, nextClass(classSlowest, -9), qt.Equals, classUsual)
}

// TestUsualTargetsAreNotTakenForSlow guards against slow targets where the cause is
// another: all are slow at once, the home is late, or one task is much longer than the
// others of its kind.
func TestUsualTargetsAreNotTakenForSlow(t *testing.T) {
	allSlow := func(string) time.Duration { return 3 * usualTime }
	for name, test := range map[string]struct {
		targets int
		runTime func(target string) time.Duration
		delay   time.Duration
		clock   int64
	}{
		"all slow":              {targets: 9, runTime: allSlow},
		"all slow, few targets": {targets: 3, runTime: allSlow},
		"home late":             {targets: 9, runTime: slowed(1), delay: 2 * time.Second},
		"home late, no clocks":  {targets: 9, runTime: slowed(1), delay: 2 * time.Second, clock: -time.Hour.Milliseconds()},
		"some a little longer":  {targets: 9, runTime: slowed(1.2, "t2", "t3")},
		"two targets, one slow": {targets: 2, runTime: slowed(3, "t1")},
		"some faster":           {targets: 9, runTime: slowed(0.4, "t0", "t1", "t2", "t3")},
	} {
		t.Run(name, func(t *testing.T) {
			z := newSpeedZone(t, test.targets)
			z.clock += test.clock
			z.play(3, slowed(1))
			for range 6 {
				z.end(z.start(2*z.targets, 14000), test.runTime, test.delay)
				z.Check(z.slow(), qt.Equals, "")
			}
			z.play(6, slowed(1))
			z.Check(z.slow(), qt.Equals, "")
		})
	}
	// One long task.
	z := newSpeedZone(t, 9)
	z.play(3, slowed(1))
	z.end(z.start(9, 14000), slowed(7, "t4"), 0)
	z.advance(comparisonTimeout)
	z.end(z.start(9, 14000), slowed(1), 0)
	slowness := z.scheduler.targets["t4"].speed.slowness
	z.Check(slowness > 0 && slowness < maxDeviation/formerWeight, qt.IsTrue, qt.Commentf("%v", slowness))
}

// TestProgressTellsSlowTargets guards against targets that are found to be slow only
// when long tasks end there, and against arrival times that are preferred to clocks.
func TestProgressTellsSlowTargets(t *testing.T) {
	z := newSpeedZone(t, 9)
	z.play(3, slowed(1))
	starts := z.start(126, 2250)
	z.list(starts, slowed(4, "t5"), 2*usualTime, func(string) int { return 98 })
	// The next end lets the targets be compared.
	z.end(starts[:1], slowed(1), 0)
	z.Check(z.slow(), qt.Equals, "t5")
}

// TestFalseProgress guards against jobs that do not run, and against usual targets that
// count as slow, because some targets claim false progress or state false clocks.
func TestFalseProgress(t *testing.T) {
	z := newSpeedZone(t, 9)
	claims := map[string]int{"t0": 1, "t1": 100, "t2": -5, "t3": 1 << 30}
	for range 6 {
		starts := z.start(18, 14000)
		z.list(starts, slowed(1), usualTime, func(id string) int { return cmp.Or(claims[id], 99) })
		z.end(starts, func(id string) time.Duration {
			return map[string]time.Duration{"t1": 3 * usualTime, "t4": -time.Hour}[id] + usualTime
		}, usualTime)
		for id, target := range z.scheduler.targets {
			z.Check(target.speed.slowness > -10 && target.speed.slowness < 10, qt.IsTrue, qt.Commentf("%s: %v", id, target.speed.slowness))
			z.Check(id < "t5" || target.speed.class == classUsual, qt.IsTrue)
		}
	}
}

// TestSlowTargetIsTriedAgain guards against a slow target that is never used again while
// others have room, and against a log line for each time that it is tried in vain.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	for _, factor := range []float64{3, 1} {
		z := newSpeedZone(t, 9)
		z.play(7, slowed(3, "t1"))
		z.Assert(z.slow(), qt.Equals, "t1")
		for range 3 {
			z.advance(speedRetention)
			z.Check(z.slow(), qt.Equals, "")
			z.play(2, slowed(factor, "t1"))
			z.Check(z.slow() == "t1", qt.Equals, factor > 1)
		}
		z.Check(z.changes[TargetSlow], qt.Equals, 1)
		z.Check(z.changes[TargetNormal] > 0, qt.Equals, factor == 1)
	}
}
