package rattanscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// speedBenchTargets are the numbers of targets of a home in service, of the largest
// deployment in service, and of that in two years.
var speedBenchTargets = []int{117, 350, 8700}

// BenchmarkSelectTarget measures one decision among targets with different amounts of
// free capacity.
func BenchmarkSelectTarget(b *testing.B) {
	for _, targets := range speedBenchTargets {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			z := newReconciledZone(qt.New(b), targets)
			random := rand.New(rand.NewPCG(1, 1))
			pool := z.scheduler.service(testService).pool
			for i := range targets {
				target := z.scheduler.targets[fmt.Sprintf("t%d", i)]
				target.free.MilliCPU = random.IntN(target.info.Capacity.MilliCPU)
				pool.refresh(target, z.now)
			}
			task := newJob(z.benchSubmission(1, 8000), z.now).tasks[0]
			pass := &placementPass{pool: pool, now: z.now}
			b.ReportAllocs()
			for b.Loop() {
				pass.failed = pass.failed[:0]
				z.scheduler.selectTarget(task, pass)
			}
		})
	}
}

// BenchmarkTaskEvents measures all events of one task while the targets are full and
// other jobs wait: the end of an earlier run in a listing with the progress of another
// one, the submission, the start and its answer.
func BenchmarkTaskEvents(b *testing.B) {
	for _, targets := range speedBenchTargets {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			z := newReconciledZone(qt.New(b), targets)
			var running []StartRequest
			clock := int64(1000)
			number := 0
			submit := func() {
				z.scheduler.Submit(z.benchSubmission(number, 14000), z.now)
				number++
				starts := z.scheduler.Take().Starts
				for _, start := range starts {
					z.scheduler.StartAnswered(start.Target.ID, start.Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartAccepted, ClockMillis: clock}, z.now)
				}
				running = append(running, starts...)
			}
			for range 2*targets + 100 {
				submit()
			}
			sequence := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				ending := running[0]
				running = running[1:]
				sequence++
				if sequence%10 == 0 {
					z.now = z.now.Add(1e6)
					clock++
				}
				listing := rattanwork.Listing{
					ClockMillis: clock, Prompt: true,
					Ended: []rattanwork.End{{Sequence: sequence, Task: ending.Task, Attempt: 1, Kind: rattanwork.EndDone}},
				}
				target := z.scheduler.targets[ending.Target.ID]
				for key := range target.runs {
					if key.taskName != ending.Task {
						listing.Running = append(listing.Running, rattanwork.Run{Task: key.taskName, Attempt: key.attempt, Percent: 50})
					}
				}
				z.scheduler.RunsListed(ending.Target.ID, &listing, z.now, z.voidBefore, z.now)
				submit()
			}
		})
	}
}
