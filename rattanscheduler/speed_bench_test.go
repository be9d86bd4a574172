package rattanscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// benchSpeeds runs a benchmark with the numbers of targets of a home in service, of the
// largest deployment in service and of that in two years, which have different amounts of
// free capacity.
func benchSpeeds(b *testing.B, run func(b *testing.B, z *fakeZone, targets []*target)) {
	for _, count := range []int{117, 350, 8700} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			z := newReconciledZone(qt.New(b), count)
			random := rand.New(rand.NewPCG(1, 1))
			var targets []*target
			for i := range count {
				target := z.scheduler.targets[fmt.Sprintf("t%d", i)]
				target.free.MilliCPU = random.IntN(target.info.Capacity.MilliCPU)
				z.scheduler.touch(target)
				targets = append(targets, target)
			}
			z.scheduler.refreshTargets(z.now)
			b.ReportAllocs()
			run(b, z, targets)
		})
	}
}

// BenchmarkSelectTarget measures one decision.
func BenchmarkSelectTarget(b *testing.B) {
	benchSpeeds(b, func(b *testing.B, z *fakeZone, _ []*target) {
		task := newJob(z.benchSubmission(1, 8000), z.now).tasks[0]
		pass := &placementPass{pool: z.scheduler.service(testService).pool, now: z.now}
		for b.Loop() {
			pass.failed = pass.failed[:0]
			z.scheduler.selectTarget(task, pass)
		}
	})
}

// BenchmarkTaskEvents measures all events of one task while the targets are full and
// other jobs wait: the end of an earlier run in a listing with the progress of another
// one, the submission, the start and its answer.
func BenchmarkTaskEvents(b *testing.B) {
	benchSpeeds(b, func(b *testing.B, z *fakeZone, targets []*target) {
		for _, target := range targets {
			target.free = target.info.Capacity
			z.scheduler.touch(target)
		}
		var running []StartRequest
		begin, number := z.now, 0
		clock := func() int64 { return 1000 + z.now.Sub(begin).Milliseconds() }
		// Each target runs two tasks at a time, which take as long as declared.
		submit := func() {
			submission := z.benchSubmission(number, 14000)
			z.now = z.now.Add(submission.Job.Steps[0].Estimate / time.Duration(2*len(targets)))
			z.scheduler.Submit(submission, z.now)
			number++
			starts := z.scheduler.Take().Starts
			for _, start := range starts {
				z.scheduler.StartAnswered(start.Target.ID, start.Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: clock()}, z.now)
			}
			running = append(running, starts...)
		}
		for range 2*len(targets) + 100 {
			submit()
		}
		for b.Loop() {
			ending := running[0]
			running = running[1:]
			listing := rattanwork.Listing{ClockMillis: clock(), Prompt: true, Ended: []rattanwork.End{{Sequence: int64(number), Task: ending.Task, Attempt: 1, Kind: rattanwork.EndDone}}}
			for key := range z.scheduler.targets[ending.Target.ID].runs {
				if key.taskName != ending.Task {
					listing.Running = append(listing.Running, rattanwork.Run{Task: key.taskName, Attempt: key.attempt, Percent: 50})
				}
			}
			z.scheduler.RunsListed(ending.Target.ID, &listing, z.now, z.voidBefore, z.now)
			submit()
		}
	})
}
