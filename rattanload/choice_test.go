package rattanload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChoose guards against using loads that are unknown or outdated, and
// against preferring a loaded home.
func TestChoose(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	chooser := NewPoolChooser()
	homes := []string{"a", "b", "c"}
	counts := func(now time.Time) []int {
		chosen := make([]int, len(homes))
		for range 3000 {
			chosen[chooser.Choose(now, homes, random.IntN)]++
		}
		return chosen
	}
	uniform := func(chosen []int) bool { return slices.Min(chosen) > 900 && slices.Max(chosen) < 1100 }
	c.Check(uniform(counts(start)), qt.IsTrue)
	chooser.Observe(start, "a", 5)
	c.Check(uniform(counts(start)), qt.IsTrue)
	chooser.Observe(start, "b", 1)
	chooser.Observe(start, "c", 2)
	loaded := counts(start)
	c.Check(loaded[0], qt.Equals, 0)
	c.Check(loaded[1] > loaded[2], qt.IsTrue)
	c.Check(uniform(counts(start.Add(LoadLifetime))), qt.IsTrue)
	c.Check(chooser.Choose(start, homes[:1], random.IntN), qt.Equals, 0)
}

// simulatedPool is a queue of tasks in front of a number of slots.
type simulatedPool struct {
	slots      int
	slotFreeAt finishTimes
	waiting    []float64
	// backlog is the total run time of the waiting tasks, in seconds.
	backlog float64
}

// finishTimes holds the time at which each slot becomes free, earliest first;
// it implements heap.Interface.
type finishTimes []float64

func (f finishTimes) Len() int           { return len(f) }
func (f finishTimes) Less(a, b int) bool { return f[a] < f[b] }
func (f finishTimes) Swap(a, b int)      { f[a], f[b] = f[b], f[a] }
func (f *finishTimes) Push(x any)        { *f = append(*f, x.(float64)) }
func (f *finishTimes) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// advance starts waiting tasks on the slots that become free until now.
func (p *simulatedPool) advance(now float64) {
	for len(p.waiting) > 0 && p.slotFreeAt[0] <= now {
		start := heap.Pop(&p.slotFreeAt).(float64)
		heap.Push(&p.slotFreeAt, start+p.waiting[0])
		p.backlog -= p.waiting[0]
		p.waiting = p.waiting[1:]
	}
}

// addJob queues a job and returns the time at which its last task will end.
func (p *simulatedPool) addJob(now float64, tasks []float64) float64 {
	p.advance(now)
	for i, freeAt := range p.slotFreeAt {
		p.slotFreeAt[i] = max(freeAt, now)
	}
	heap.Init(&p.slotFreeAt)
	// The end is computed on a copy as if no later job arrived, which is exact
	// because the queue is first come, first served.
	freeAtCopy := slices.Clone(p.slotFreeAt)
	end := 0.0
	for _, waiting := range append(slices.Clone(p.waiting), tasks...) {
		start := heap.Pop(&freeAtCopy).(float64)
		heap.Push(&freeAtCopy, start+waiting)
		end = start + waiting
	}
	p.waiting = append(p.waiting, tasks...)
	for _, task := range tasks {
		p.backlog += task
	}
	p.advance(now)
	return end
}

// arrival is a job of the simulation. All policies get the same arrivals.
type arrival struct {
	at    float64
	front int
	tasks []float64
}

// heavyTailedArrivals generates jobs of 1 to 250 heavy-tailed tasks at the
// given load of the slots for a number of seconds.
func heavyTailedArrivals(random *rand.Rand, slots int, load, seconds float64, fronts int) []arrival {
	var arrivals []arrival
	for at := 0.0; at < seconds; {
		work := 0.0
		job := arrival{at: at, front: random.IntN(fronts)}
		for range 1 + int(249*math.Pow(random.Float64(), 4)) {
			task := 0.05 * math.Exp(random.NormFloat64()+math.Abs(random.NormFloat64())/2)
			job.tasks = append(job.tasks, task)
			work += task
		}
		arrivals = append(arrivals, job)
		at += work / (load * float64(slots)) * random.ExpFloat64()
	}
	return arrivals
}

// loadReply is a load that a front end receives with the answer to a job.
type loadReply struct {
	at    float64
	front int
	pool  int
}

// simulateChoice runs the arrivals on pools with the given slots. It returns
// the time average of the difference between the largest and the mean backlog
// of the pools, in seconds of work per slot, and the mean response time of the
// jobs.
func simulateChoice(arrivals []arrival, slots []int, choose func(now time.Time, front int) int, observe func(now time.Time, front, pool int, load float64)) (spread, response float64) {
	pools := make([]*simulatedPool, len(slots))
	for i, count := range slots {
		pools[i] = &simulatedPool{slots: count, slotFreeAt: make(finishTimes, count)}
	}
	var replies []loadReply
	samples := 0.0
	for _, each := range arrivals {
		for len(replies) > 0 && replies[0].at <= each.at {
			answer := replies[0]
			replies = replies[1:]
			pools[answer.pool].advance(answer.at)
			observe(start.Add(time.Duration(answer.at*1e9)), answer.front, answer.pool, pools[answer.pool].reportedLoad(answer.at))
		}
		chosen := choose(start.Add(time.Duration(each.at*1e9)), each.front)
		end := pools[chosen].addJob(each.at, each.tasks)
		response += end - each.at
		answer := loadReply{at: end, front: each.front, pool: chosen}
		at, _ := slices.BinarySearchFunc(replies, answer, func(a, b loadReply) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		replies = slices.Insert(replies, at, answer)
		highest, sum := 0.0, 0.0
		for _, pool := range pools {
			pool.advance(each.at)
			highest = max(highest, pool.backlogPerSlot())
			sum += pool.backlogPerSlot()
		}
		spread += highest - sum/float64(len(pools))
		samples++
	}
	return spread / samples, response / samples
}

func (p *simulatedPool) backlogPerSlot() float64 {
	return max(0, p.backlog) / float64(p.slots)
}

// reportedLoad returns the load that a home reports to a front end.
func (p *simulatedPool) reportedLoad(now float64) float64 {
	busy := 0
	for _, at := range p.slotFreeAt {
		if at > now {
			busy++
		}
	}
	return PoolLoad(p.slots, busy, time.Duration(max(0, p.backlog)*1e9))
}

// BenchmarkChoice compares the choice of pools with round-robin on the same
// arrivals: 14 pools, jobs of 1 to 250 heavy-tailed tasks, 80% load, 60 front
// ends.
func BenchmarkChoice(b *testing.B) {
	for _, sizes := range []struct {
		name               string
		minSlots, maxSlots int
	}{{"512To1024Slots", 512, 1024}, {"900To1024Slots", 900, 1024}} {
		slots := make([]int, 14)
		for i := range slots {
			slots[i] = sizes.minSlots + (sizes.maxSlots-sizes.minSlots)*i/13
		}
		for _, roundRobin := range []bool{true, false} {
			name := map[bool]string{true: "RoundRobin", false: "TwoChoices"}[roundRobin]
			b.Run(sizes.name+"/"+name, func(b *testing.B) {
				var spread, response float64
				for run := range b.N {
					runSpread, runResponse := measureChoice(uint64(run), slots, roundRobin)
					spread += runSpread
					response += runResponse
				}
				b.ReportMetric(1000*spread/float64(b.N), "ms-backlog-spread")
				b.ReportMetric(1000*response/float64(b.N), "ms-response")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// measureChoice runs simulateChoice with one seed and one policy.
func measureChoice(seed uint64, slots []int, roundRobin bool) (spread, response float64) {
	const fronts = 60
	random := rand.New(rand.NewPCG(seed, 7))
	total := 0
	homes := make([]string, len(slots))
	for i, count := range slots {
		total += count
		homes[i] = string(rune('a' + i))
	}
	arrivals := heavyTailedArrivals(random, total, 0.8, 30, fronts)
	choosers := make([]*PoolChooser, fronts)
	next := make([]int, fronts)
	for i := range choosers {
		choosers[i] = NewPoolChooser()
		next[i] = i
	}
	choose := func(now time.Time, front int) int {
		if roundRobin {
			next[front]++
			return next[front] % len(slots)
		}
		return choosers[front].Choose(now, homes, random.IntN)
	}
	observe := func(now time.Time, front, pool int, load float64) {
		choosers[front].Observe(now, homes[pool], load)
	}
	return simulateChoice(arrivals, slots, choose, observe)
}
