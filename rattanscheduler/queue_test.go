package rattanscheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// plainQueue is a model of jobQueue that keeps its jobs in one sorted list.
type plainQueue struct {
	jobs  []*job
	now   time.Time
	mixed bool
}

func (q *plainQueue) sort() {
	slices.SortFunc(q.jobs, func(a, b *job) int {
		return cmp.Or(
			compareTrueFirst(q.mixed && a.class.started, q.mixed && b.class.started),
			compareTrueFirst(!a.timing.latestStart.Before(q.now), !b.timing.latestStart.Before(q.now)),
			a.class.compare(b.class),
			a.entry.key.compare(b.entry.key),
		)
	})
}

// overloaded returns the jobs that have too much work before them.
func (q *plainQueue) overloaded(pool *targetPool) []*job {
	var list []*job
	work := 0.0
	for _, j := range q.jobs {
		if j.tooMuchBefore(work, pool, q.now) {
			list = append(list, j)
			continue
		}
		work += j.entry.work
	}
	return list
}

func (q *plainQueue) firstFitting(available rattanwork.Resources) *job {
	for _, j := range q.jobs {
		if j.entry.demand.FitsIn(available) {
			return j
		}
	}
	return nil
}

// TestQueueMatchesPlainList guards against a queue whose blocks give another
// order, another sum or another first job than one sorted list.
func TestQueueMatchesPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		plain := &plainQueue{now: now, mixed: rapid.Bool().Draw(t, "mixed")}
		state := &serviceState{pool: newTargetPool()}
		state.queue.mixed = plain.mixed
		state.pool.capacityMilliCPU = rapid.IntRange(1, 2_000_000).Draw(t, "capacity")
		s := New(Config{TakeoverTime: now.Add(-time.Hour)})
		for sequence := range uint64(rapid.IntRange(1, 600).Draw(t, "jobs")) {
			j := &job{submission: Submission{Priority: rapid.IntRange(0, 1).Draw(t, "priority")}}
			j.runCount = rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "runs")
			j.timing.latestStart = now.Add(time.Duration(rapid.IntRange(-200, 900).Draw(t, "slack")) * time.Millisecond)
			j.timing.expiresAt = j.timing.latestStart.Add(time.Second)
			j.entry = queueEntry{
				key:        queueKey{latestStart: j.timing.latestStart.UnixNano(), sequence: sequence + 1},
				demand:     rattanwork.Resources{MilliCPU: rapid.IntRange(1, 40).Draw(t, "cpu"), MemoryMB: rapid.IntRange(1, 40).Draw(t, "memory")},
				backlogSum: backlogSum{work: float64(rapid.IntRange(1, 8_000).Draw(t, "work")) * float64(time.Second)},
				tasks:      1,
				expiresAt:  j.timing.expiresAt.UnixNano(),
				job:        j,
			}
			j.class = state.queue.insert(j.runCount > 0, j.submission.Priority, j.entry)
			plain.jobs = append(plain.jobs, j)
		}
		plain.jobs = slices.DeleteFunc(plain.jobs, func(j *job) bool {
			leaves := rapid.IntRange(0, 3).Draw(t, "leaves") == 0
			if leaves {
				state.queue.remove(j.class, j.entry.key)
			}
			return leaves
		})
		plain.sort()
		if state.queue.jobs != len(plain.jobs) {
			t.Fatalf("%d jobs in the queue, want %d", state.queue.jobs, len(plain.jobs))
		}
		if got, want := s.overloaded(state, now), plain.overloaded(state.pool); !slices.Equal(got, want) {
			t.Fatalf("%d overloaded jobs, want %d", len(got), len(want))
		}
		work := 0.0
		for _, j := range plain.jobs {
			if got := state.queue.backlogBefore(j, now.UnixNano()).work; got != work {
				t.Fatalf("work before %v is %g, want %g", j.entry.key, got, work)
			}
			work += j.entry.work
		}
		available := rattanwork.Resources{MilliCPU: rapid.IntRange(0, 20).Draw(t, "free cpu"), MemoryMB: rapid.IntRange(0, 20).Draw(t, "free memory")}
		var first *job
		state.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
			if entry, found := class.firstFitting(keys, available); found && first == nil {
				first = entry.job
			}
		})
		if first != plain.firstFitting(available) {
			t.Fatalf("another first job that fits into %+v", available)
		}
	})
}

// TestExpiredJobsAreFound guards against jobs that stay in the queue although
// their answer has lost its value.
func TestExpiredJobsAreFound(t *testing.T) {
	c := qt.New(t)
	z := newFakeZone(c, 1)
	for i := range 2 * maxBlockJobs {
		submission := z.benchSubmission(i, 14000)
		submission.Objective = z.now.Add(time.Duration(i) * time.Millisecond)
		submission.LateUntil = z.now.Add(time.Duration(2*i) * time.Millisecond)
		z.scheduler.Submit(submission, z.now)
	}
	z.advance(maxBlockJobs * time.Millisecond)
	for _, j := range z.scheduler.waitingJobs() {
		c.Check(j.expired(z.now), qt.IsFalse)
	}
	c.Assert(z.scheduler.WaitingTasks() > 0, qt.IsTrue)
	c.Assert(z.scheduler.WaitingTasks() < 2*maxBlockJobs, qt.IsTrue)
}
