package rattanscheduler

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestRoomFollowsTargets guards against room that is not what is free on the targets that
// take work, after any changes of them, and against counts of tasks that do not fit.
func TestRoomFollowsTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		pool := newTargetPool()
		var targets []*target
		for i := range 6 {
			capacity := rapid.SampledFrom([]int{16000, 24000, 700, 90000}).Draw(t, "capacity")
			info := rattanwork.Target{ID: fmt.Sprint(i), Capacity: rattanwork.Resources{MilliCPU: capacity}}
			targets = append(targets, &target{info: info, free: info.Capacity, reconciled: true})
		}
		for range 40 {
			changed := rapid.SampledFrom(targets).Draw(t, "changed")
			changed.free.MilliCPU = rapid.IntRange(-2000, changed.info.Capacity.MilliCPU).Draw(t, "free")
			changed.unresponsive = rapid.Bool().Draw(t, "unresponsive")
			pool.refresh(changed, now)
		}
		var want FitCounts
		for _, listed := range targets {
			if listed.pooled.indexed {
				for class, size := range classSizes {
					want[class] += listed.free.MilliCPU / size
				}
			}
		}
		if pool.fits != want {
			t.Fatalf("got %v, want %v", pool.fits, want)
		}
		demand := rapid.IntRange(1, 70000).Draw(t, "demand")
		fitting := 0
		for _, listed := range targets {
			if listed.pooled.indexed {
				fitting += listed.free.MilliCPU / demand
			}
		}
		if pool.fits.of(demand) > fitting {
			t.Fatalf("%d tasks of %d are said to fit, %d do", pool.fits.of(demand), demand, fitting)
		}
	})
}

// TestSumOfFreeCapacityIsNotRoom guards against taking the halves of targets for room.
func TestSumOfFreeCapacityIsNotRoom(t *testing.T) {
	var fits FitCounts
	for range 10 {
		fits.add(7000, 1)
	}
	c := qt.New(t)
	c.Check(fits.of(8000), qt.Equals, 0)
	c.Check(fits.of(6400), qt.Equals, 10)
	c.Check(fits.of(3000), qt.Equals, 20)
	c.Check(fits.of(200), qt.Equals, 140)
	c.Check(fits.of(64000), qt.Equals, 0)
	c.Check(fits.of(64001), qt.Equals, 0)
}

// TestRoomInClaim guards against room that another instance reads as more than was
// reported, against a claim that is much larger for it, and against a claim of another
// version that cannot be read.
func TestRoomInClaim(t *testing.T) {
	c := qt.New(t)
	var fits FitCounts
	for range 5000 {
		fits.add(16000, 1)
	}
	data, err := json.Marshal(ServiceRoom{Service: "s", MilliCPU: 80_000_000, Fits: fits})
	c.Assert(err, qt.IsNil)
	c.Check(len(data) < 80, qt.IsTrue, qt.Commentf("%s", data))
	var read ServiceRoom
	c.Assert(json.Unmarshal(data, &read), qt.IsNil)
	for class := range fits {
		c.Check(read.Fits[class] <= fits[class], qt.IsTrue)
		c.Check(read.Fits[class] >= fits[class]*4/5, qt.IsTrue)
	}
	c.Check((&FitCounts{}).String(), qt.Equals, "")
	fits = parseFitCounts("2!1" + fitSymbols)
	c.Check(fits[:4], qt.DeepEquals, []int{2, 0, 1, 0})
	for text, want := range map[string]ServiceRoom{
		"3 2000  the service": {Service: "the service", MilliCPU: 2000, Fits: FitCounts{3}},
		" 2000 0:5,2:70 s":    {Service: "s", MilliCPU: 2000, Waits: []PriorityWait{{0, 5}, {2, 70}}},
		"3 2000 0:5,2 s":      {},
		"3 2000 x:5 s":        {},
		"3 2000 0:-5 s":       {},
		"3 2000 0:86400001 s": {},
		"3 many  s":           {},
		"3 2000":              {},
		"":                    {},
	} {
		c.Assert(read.UnmarshalText([]byte(text)), qt.IsNil)
		c.Check(read, qt.DeepEquals, want, qt.Commentf("%q", text))
		if want.Service != "" {
			written, err := read.MarshalText()
			c.Assert(err, qt.IsNil)
			c.Check(string(written), qt.Equals, text)
		}
	}
}

// TestWaitByPriority guards against an urgent job that is kept away from a zone where
// only less urgent ones wait, and against reports that grow with the priorities.
func TestWaitByPriority(t *testing.T) {
	z := newReconciledZone(qt.New(t), 1)
	z.scheduler.Submit(z.submission(jobB, 2), z.now)
	z.Check(z.scheduler.Rooms(z.now)[0].Waits, qt.HasLen, 0)
	for priority := range 7 {
		submission := z.submission(fmt.Sprintf("%016x", priority), 2)
		submission.Priority = priority + 1
		z.scheduler.Submit(submission, z.now)
	}
	room := z.scheduler.Rooms(z.now)[0]
	z.Check(room.MilliCPU, qt.Equals, 32000)
	z.Assert(room.Waits, qt.HasLen, maxWaits)
	z.Check(room.wait(0), qt.Equals, time.Duration(0))
	z.Check(room.wait(1), qt.Equals, 87*time.Millisecond)
	z.Check(room.wait(9), qt.Equals, 612*time.Millisecond)
}

// BenchmarkRoomOfTargets measures a start and the end of its run in the indexes of a pool,
// with the room that is reported to other zones.
func BenchmarkRoomOfTargets(b *testing.B) {
	for _, count := range []int{350, 8700} {
		b.Run(fmt.Sprintf("%d_targets", count), func(b *testing.B) {
			z := newReconciledZone(qt.New(b), count)
			random := rand.New(rand.NewPCG(1, 1))
			var targets []*target
			for _, listed := range z.scheduler.targets {
				listed.free.MilliCPU = random.IntN(listed.info.Capacity.MilliCPU)
				targets = append(targets, listed)
			}
			pool := z.scheduler.service(testService).pool
			z.scheduler.refreshTargets(z.now)
			for _, listed := range targets {
				pool.refresh(listed, z.now)
			}
			required := rattanwork.Resources{MilliCPU: 8000}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				listed := targets[i%len(targets)]
				i++
				listed.reserve(required)
				pool.refresh(listed, z.now)
				listed.release(required)
				pool.refresh(listed, z.now)
			}
		})
	}
}

// BenchmarkRoomIndex measures the share of the room in that.
func BenchmarkRoomIndex(b *testing.B) {
	var fits FitCounts
	for b.Loop() {
		fits.add(16000, 1)
		fits.add(16000, -1)
	}
}
