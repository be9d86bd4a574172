package rattanscheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// usualTime is the declared run time of the tasks of a coldZone, and their run time
// on a warm target.
const usualTime = 100 * time.Millisecond

// coldZone is a zone of targets whose clocks are given by the test.
type coldZone struct {
	*fakeZone
	targets   int
	clock     int64
	sequences map[string]int64
	jobs      int
	// events are the changes of targets so far.
	events []TargetEvent
}

func newColdZone(c *qt.C, targets int) *coldZone {
	return &coldZone{fakeZone: newReconciledZone(c, targets), targets: targets, clock: 5000, sequences: map[string]int64{}}
}

func (z *coldZone) take() Output {
	output := z.scheduler.Take()
	z.events = append(z.events, output.Targets...)
	return output
}

// describeCold updates the inventory with a time for which the first targets remain
// cold.
func (z *coldZone) describeCold(count int, left time.Duration) {
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

// start submits a patient job and returns its starts.
func (z *coldZone) start(tasks int) []StartRequest {
	z.jobs++
	submission := z.patientSubmission(fmt.Sprintf("%016x", z.jobs))
	submission.Job.Steps[0].Count = tasks
	z.scheduler.Submit(submission, z.now)
	starts := z.take().Starts
	for _, start := range starts {
		z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: z.clock}, z.now)
	}
	return starts
}

// end lists the ends of the runs after their run times by the clocks of the targets.
func (z *coldZone) end(starts []StartRequest, runTime func(target string) time.Duration) {
	begin, longest := z.now, time.Duration(0)
	ends := map[string][]rattanwork.End{}
	for _, start := range starts {
		id := start.Target.ID
		z.sequences[id]++
		ends[id] = append(ends[id], rattanwork.End{Sequence: z.sequences[id], Task: start.Task, Attempt: start.Attempt, Kind: rattanwork.EndDone})
	}
	for _, id := range slices.Sorted(maps.Keys(ends)) {
		elapsed := runTime(id)
		longest = max(longest, elapsed)
		arrival := begin.Add(elapsed)
		z.scheduler.RunsListed(id, &rattanwork.Listing{ClockMillis: z.clock + elapsed.Milliseconds(), Prompt: true, Ended: ends[id]}, arrival, z.voidBefore, arrival)
	}
	z.clock += (longest + time.Second).Milliseconds()
	z.now = begin.Add(longest + 100*time.Millisecond)
	z.scheduler.Tick(z.now)
	z.take()
}

// cold returns the cold targets.
func (z *coldZone) cold() []string {
	var list []string
	for i := range z.targets {
		if id := fmt.Sprintf("t%d", i); z.scheduler.targets[id].cold {
			list = append(list, id)
		}
	}
	return list
}

// changes counts the changes of targets so far.
func (z *coldZone) changes() map[TargetChange]int {
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
	z := newColdZone(qt.New(t), 6)
	pool := z.scheduler.service(testService).pool
	capacity := pool.expectedMilliCPU()
	z.describeCold(2, 5*time.Second)
	z.Check(z.cold(), qt.DeepEquals, []string{"t0", "t1"})
	z.Check(pool.expectedMilliCPU(), qt.Equals, capacity)
	starts := z.start(8)
	z.Check(z.scheduler.FreeMilliCPU(z.now), qt.Equals, 4*4000)
	z.Check(z.scheduler.Rooms(z.now)[0].Fits.of(10000), qt.Equals, 0)
	for _, start := range starts {
		z.Check(slices.Contains(z.cold(), start.Target.ID), qt.IsFalse)
	}
	more := z.start(4)
	z.Assert(more, qt.HasLen, 4, qt.Commentf("tasks wait although cold targets have room"))
	z.end(append(starts, more...), slowed(2, "t0", "t1"))
	z.Check(z.cold(), qt.DeepEquals, []string{"t0", "t1"})
	z.advance(5 * time.Second)
	z.Check(z.cold(), qt.HasLen, 0)
	z.Check(z.scheduler.ColdTargets(), qt.Equals, 0)
	z.Check(z.scheduler.FreeMilliCPU(z.now), qt.Equals, capacity)
	z.take()
	z.Check(z.changes()[TargetCold], qt.Equals, 2)
	z.Check(z.changes()[TargetWarm], qt.Equals, 2)
	z.describeCold(1, 500*time.Millisecond)
	z.Check(z.cold(), qt.HasLen, 1)
	z.describeCold(1, 0)
	z.advance(coldCheckInterval)
	z.Check(z.cold(), qt.HasLen, 0)
}

// TestColdFactorIsLearned guards against expected run times on cold targets that do not
// follow the actual ones, or that spoil those on others.
func TestColdFactorIsLearned(t *testing.T) {
	for _, factor := range []float64{1, 1.5, 4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			z := newColdZone(qt.New(t), 3)
			for range 40 {
				z.describeCold(3, time.Minute)
				z.end(z.start(2*z.targets), slowed(factor, "t0", "t1", "t2"))
			}
			learned := z.scheduler.service(testService).coldFactor
			z.Check(learned > 0.95*factor && learned < 1.05*factor, qt.IsTrue, qt.Commentf("%v", learned))
			z.Check(z.scheduler.estimator.learned, qt.HasLen, 0)
		})
	}
}

// TestFalseColdTime guards against an entry with a false cold time that keeps jobs from
// running, or applies for longer than a minute.
func TestFalseColdTime(t *testing.T) {
	z := newColdZone(qt.New(t), 2)
	z.describeCold(2, time.Hour)
	starts := z.start(4)
	z.Check(starts, qt.HasLen, 4)
	z.end(starts, slowed(1))
	z.advance(rattanwork.MaxColdLeft)
	z.Check(z.cold(), qt.HasLen, 0)
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
			z := newColdZone(qt.New(t), 2)
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
// warm and cold targets in which a better one is missed.
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
