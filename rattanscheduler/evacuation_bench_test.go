package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// submitMany submits jobs that may be redirected to another zone.
func (z *fakeZone) submitMany(jobs int) {
	z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 1 << 30}})
	for i := range jobs {
		submission := z.submission(fmt.Sprintf("%016x", i+1), 1)
		submission.Redirectable = true
		z.scheduler.Submit(submission, z.now)
	}
	z.scheduler.Take()
}

// TestRunningJobsCostNoAllocations guards against a tick that sorts all jobs of an
// evacuated zone, each 10 ms for as long as they run.
func TestRunningJobsCostNoAllocations(t *testing.T) {
	z := newReconciledZone(qt.New(t), 20)
	z.submitMany(30)
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.Assert(z.scheduler.Jobs(), qt.Equals, 30)
	z.Check(testing.AllocsPerRun(10, func() { z.scheduler.endEvacuated(z.now) }), qt.Equals, 0.0)
}

// BenchmarkEvacuatedTick measures what running jobs cost in each tick of an evacuated
// zone, just after a takeover, when each job may wait for the listings of all targets.
func BenchmarkEvacuatedTick(b *testing.B) {
	z := newReconciledZone(qt.New(b), 4000)
	z.submitMany(4000)
	z.scheduler.config.TakeoverTime = z.now
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.Assert(z.scheduler.Jobs(), qt.Equals, 4000)
	for b.Loop() {
		z.scheduler.endEvacuated(z.now)
	}
}

// BenchmarkEvacuationBegins measures the redirection of the jobs that wait when an
// evacuation begins. The home does nothing else meanwhile.
func BenchmarkEvacuationBegins(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		z := newReconciledZone(qt.New(b), 1)
		z.scheduler.SetHeld(true, z.now)
		z.submitMany(5000)
		b.StartTimer()
		z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
		b.StopTimer()
		z.Assert(z.scheduler.Jobs(), qt.Equals, 0)
		b.StartTimer()
	}
}

// BenchmarkRefusalInEvacuatedZone measures the refusal of a new job, which each job of an
// evacuated zone may get.
func BenchmarkRefusalInEvacuatedZone(b *testing.B) {
	for _, targets := range []int{350, 8700} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			z := newReconciledZone(qt.New(b), targets)
			z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
			z.now = z.now.Add(time.Minute)
			submission := z.submission(jobA, 1)
			z.scheduler.Submit(submission, z.now)
			z.Assert(z.scheduler.Take().Results, qt.HasLen, 1)
			for b.Loop() {
				z.scheduler.Submit(submission, z.now)
				z.scheduler.Take()
			}
		})
	}
}
