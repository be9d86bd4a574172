package rattanhome

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

const (
	// jobCost is the processor time of a job on the simulated home, refusalCost
	// that of a refused one.
	jobCost     = 1 * time.Millisecond
	refusalCost = 100 * time.Microsecond
	// usefulDelay is the delay by the home up to which an answer keeps its
	// value.
	usefulDelay = 150 * time.Millisecond
)

// simulateHome plays an even load on a home with one processor that handles
// events in their order, and returns the jobs per second that are handled while
// their answer has value. The lag is measured by ticks that wait like other
// events.
func simulateHome(load float64, shedding bool) float64 {
	const duration = 20 * time.Second
	start := time.Unix(1_800_000_000, 0)
	interval := time.Duration(float64(jobCost) / load)
	free, nextTick := start, start.Add(busyTickInterval)
	var lag lagMeter
	var shed shedder
	useful := 0
	for arrival := start; arrival.Before(start.Add(duration)); arrival = arrival.Add(interval) {
		for !nextTick.After(arrival) {
			handledAt := nextTick
			if free.After(handledAt) {
				handledAt = free
			}
			lag.observe(handledAt.Sub(nextTick), handledAt)
			nextTick = nextTick.Add(busyTickInterval)
		}
		if free.Before(arrival) {
			free = arrival
		}
		if shedding && shed.sheds(lag.standing(free), 1) {
			free = free.Add(refusalCost)
			continue
		}
		free = free.Add(jobCost)
		if free.Sub(arrival) <= usefulDelay {
			useful++
		}
	}
	return float64(useful) / duration.Seconds()
}

// TestSheddingKeepsGoodput guards against a home that collapses when its own
// processor time does not suffice: the jobs that it accepts must be handled in
// time, and as many as refusing the others leaves room for.
func TestSheddingKeepsGoodput(t *testing.T) {
	limit := float64(time.Second / jobCost)
	for _, load := range []float64{0.5, 0.9, 1.5, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			// If x of the load is accepted: x + (load - x) * refusal = 1.
			refusal := float64(refusalCost) / float64(jobCost)
			best := min(load, (1-load*refusal)/(1-refusal))
			got := simulateHome(load, true) / limit
			c.Check(got >= 0.97*best, qt.IsTrue, qt.Commentf("goodput %.3f of the limit, at best %.3f", got, best))
			if load > 1 {
				without := simulateHome(load, false) / limit
				c.Check(without < 0.1, qt.IsTrue, qt.Commentf("without shedding: %.3f", without))
			}
		})
	}
}

// TestShortLagIsNoOverload guards against refusing jobs because of a garbage
// collection or a burst that the home works off.
func TestShortLagIsNoOverload(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	var lag lagMeter
	observe := func(duration, lateness time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(busyTickInterval) {
			lag.observe(lateness, now)
		}
	}
	observe(time.Second, time.Millisecond)
	observe(60*time.Millisecond, 50*time.Millisecond)
	c.Check(lag.standing(now) < minShedLag, qt.IsTrue)
	observe(time.Second, time.Millisecond)
	observe(250*time.Millisecond, 50*time.Millisecond)
	c.Check(lag.standing(now), qt.Equals, 50*time.Millisecond)
	observe(10*time.Millisecond, time.Millisecond)
	c.Check(lag.standing(now) < minShedLag, qt.IsTrue)
}

// TestLagDecays guards against a pause of the process that counts long after
// it.
func TestLagDecays(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	var lag lagMeter
	c.Check(lag.current(now), qt.Equals, time.Duration(0))
	lag.observe(5*time.Second, now)
	c.Check(lag.current(now), qt.Equals, maxLag)
	c.Check(lag.current(now.Add(lagHalfLife)), qt.Equals, maxLag/2)
	c.Check(lag.current(now.Add(500*time.Millisecond)) < minShedLag, qt.IsTrue)
	c.Check(lag.current(now.Add(time.Hour)), qt.Equals, time.Duration(0))
}

// TestOverloadedHomeRefusesOnlyNewJobs guards against telling a caller that its
// job has not run although an earlier home may have started it.
func TestOverloadedHomeRefusesOnlyNewJobs(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c, newFakeTargets(time.Millisecond))
	// Before its target has listed its runs, a home takes no job for new.
	awaitListing(home)
	submit := func(id int, resumed bool) rattanscheduler.JobResult {
		c.Helper()
		home.mutex.Lock()
		home.lag = lagMeter{windowStart: time.Now(), windowMin: maxLag, previousMin: maxLag}
		home.shedder.credit = 1
		home.mutex.Unlock()
		submission := testSubmission(id)
		submission.Resumed = resumed
		result, err := home.Submit(context.Background(), submission)
		c.Assert(err, qt.IsNil)
		return result
	}
	refused := submit(1, false)
	c.Check(refused.Outcome, qt.Equals, rattanscheduler.Refused)
	c.Check(refused.RetryAfter, qt.Equals, shedRetryAfter)
	c.Check(refused.Runs, qt.Equals, 0)
	c.Check(submit(2, true).Outcome, qt.Equals, rattanscheduler.Succeeded)
}

// TestLargeJobsAreShedFirst guards against a home that refuses small jobs while jobs of
// many tasks take its processor time.
func TestLargeJobsAreShedFirst(t *testing.T) {
	c := qt.New(t)
	lag := minShedLag + (fullShedLag-minShedLag)/10
	refused := map[int]int{}
	for _, tasks := range []int{1, smallJobTasks, 10 * smallJobTasks, 1000} {
		var shed shedder
		for range 100 {
			if shed.sheds(lag, tasks) {
				refused[tasks]++
			}
		}
	}
	c.Check(refused[1] >= 9 && refused[1] <= 11, qt.IsTrue, qt.Commentf("%v", refused))
	c.Check(refused[smallJobTasks], qt.Equals, refused[1])
	c.Check(refused[10*smallJobTasks], qt.Equals, 100)
	c.Check(refused[1000], qt.Equals, 100)
}
