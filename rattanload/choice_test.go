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

// Guards the rule for loads that are unknown or too old, and that a loaded home
// gets fewer keys.
func TestChoose(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	choice := NewPoolChooser()
	homes := []string{"a", "b", "c"}
	counts := func(now time.Time) []int {
		made := make([]int, len(homes))
		for range 3000 {
			made[choice.Choose(now, homes, random.IntN)]++
		}
		return made
	}
	uniform := func(made []int) bool { return slices.Min(made) > 900 && slices.Max(made) < 1100 }
	c.Check(uniform(counts(start)), qt.IsTrue)
	choice.Observe(start, "a", 5)
	c.Check(uniform(counts(start)), qt.IsTrue)
	choice.Observe(start, "b", 1)
	choice.Observe(start, "c", 2)
	loaded := counts(start)
	c.Check(loaded[0], qt.Equals, 0)
	c.Check(loaded[1] > loaded[2], qt.IsTrue)
	c.Check(uniform(counts(start.Add(LoadLifetime))), qt.IsTrue)
	c.Check(choice.Choose(start, homes[:1], random.IntN), qt.Equals, 0)
}

// simulatedPool is one queue over slots: finish times of the running tasks and
// the work that waits.
type simulatedPool struct {
	slots   int
	free    finishTimes
	waiting []float64
	backlog float64
}

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

// advance starts waiting tasks in slots that become free until now.
func (p *simulatedPool) advance(now float64) {
	for len(p.waiting) > 0 && p.free[0] <= now {
		begin := heap.Pop(&p.free).(float64)
		heap.Push(&p.free, begin+p.waiting[0])
		p.backlog -= p.waiting[0]
		p.waiting = p.waiting[1:]
	}
}

// add queues a job and returns the time at which its last task will end.
func (p *simulatedPool) add(now float64, tasks []float64) float64 {
	p.advance(now)
	for i, at := range p.free {
		p.free[i] = max(at, now)
	}
	heap.Init(&p.free)
	// The end is worked out on a copy, as if no job came later: first come,
	// first served makes that exact.
	copied := slices.Clone(p.free)
	end := 0.0
	for _, waiting := range append(slices.Clone(p.waiting), tasks...) {
		begin := heap.Pop(&copied).(float64)
		heap.Push(&copied, begin+waiting)
		end = begin + waiting
	}
	p.waiting = append(p.waiting, tasks...)
	for _, task := range tasks {
		p.backlog += task
	}
	p.advance(now)
	return end
}

// arrival is a job of the simulation with its size; all policies get the same.
type arrival struct {
	at    float64
	front int
	tasks []float64
}

// skewedArrivals makes jobs of 1 to 250 heavy-tailed tasks at a load of the
// slots for a number of seconds.
func skewedArrivals(random *rand.Rand, slots int, load, seconds float64, fronts int) []arrival {
	var arrivals []arrival
	for at := 0.0; at < seconds; {
		work := 0.0
		made := arrival{at: at, front: random.IntN(fronts)}
		for range 1 + int(249*math.Pow(random.Float64(), 4)) {
			task := 0.05 * math.Exp(random.NormFloat64()+math.Abs(random.NormFloat64())/2)
			made.tasks = append(made.tasks, task)
			work += task
		}
		arrivals = append(arrivals, made)
		at += work / (load * float64(slots)) * random.ExpFloat64()
	}
	return arrivals
}

// reply is a load that a front learns when a job is answered.
type reply struct {
	at    float64
	front int
	pool  int
}

// imbalance runs the arrivals over pools of the given slots and returns the
// mean over time of the largest backlog of a pool (seconds of work per slot)
// above the mean, and the mean wait for the end of a job.
func imbalance(arrivals []arrival, slots []int, choose func(now time.Time, front int) int, observe func(now time.Time, front, pool int, load float64)) (spread, response float64) {
	pools := make([]*simulatedPool, len(slots))
	for i, count := range slots {
		pools[i] = &simulatedPool{slots: count, free: make(finishTimes, count)}
	}
	var replies []reply
	samples := 0.0
	for _, each := range arrivals {
		for len(replies) > 0 && replies[0].at <= each.at {
			told := replies[0]
			replies = replies[1:]
			pools[told.pool].advance(told.at)
			observe(start.Add(time.Duration(told.at*1e9)), told.front, told.pool, pools[told.pool].reported(told.at))
		}
		chosen := choose(start.Add(time.Duration(each.at*1e9)), each.front)
		end := pools[chosen].add(each.at, each.tasks)
		response += end - each.at
		told := reply{at: end, front: each.front, pool: chosen}
		at, _ := slices.BinarySearchFunc(replies, told, func(a, b reply) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		replies = slices.Insert(replies, at, told)
		most, sum := 0.0, 0.0
		for _, pool := range pools {
			pool.advance(each.at)
			most = max(most, pool.load())
			sum += pool.load()
		}
		spread += most - sum/float64(len(pools))
		samples++
	}
	return spread / samples, response / samples
}

func (p *simulatedPool) load() float64 {
	return max(0, p.backlog) / float64(p.slots)
}

// reported returns what a home tells a front.
func (p *simulatedPool) reported(now float64) float64 {
	busy := 0
	for _, at := range p.free {
		if at > now {
			busy++
		}
	}
	return PoolLoad(p.slots, busy, time.Duration(max(0, p.backlog)*1e9))
}

// BenchmarkChoice compares the choice of pools with the even spread on the same
// arrivals: 14 pools, jobs of 1 to 250 heavy-tailed tasks, 80% load, 60 fronts.
func BenchmarkChoice(b *testing.B) {
	for _, sizes := range []struct {
		name        string
		least, most int
	}{{"512To1024Slots", 512, 1024}, {"900To1024Slots", 900, 1024}} {
		slots := make([]int, 14)
		for i := range slots {
			slots[i] = sizes.least + (sizes.most-sizes.least)*i/13
		}
		for _, even := range []bool{true, false} {
			name := map[bool]string{true: "Even", false: "TwoChoices"}[even]
			b.Run(sizes.name+"/"+name, func(b *testing.B) {
				var spread, response float64
				for run := range b.N {
					s, r := measureChoice(uint64(run), slots, even)
					spread += s
					response += r
				}
				b.ReportMetric(1000*spread/float64(b.N), "ms-backlog-spread")
				b.ReportMetric(1000*response/float64(b.N), "ms-response")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func measureChoice(seed uint64, slots []int, even bool) (spread, response float64) {
	const fronts = 60
	random := rand.New(rand.NewPCG(seed, 7))
	total := 0
	homes := make([]string, len(slots))
	for i, count := range slots {
		total += count
		homes[i] = string(rune('a' + i))
	}
	arrivals := skewedArrivals(random, total, 0.8, 30, fronts)
	choices := make([]*PoolChooser, fronts)
	next := make([]int, fronts)
	for i := range choices {
		choices[i] = NewPoolChooser()
		next[i] = i
	}
	choose := func(now time.Time, front int) int {
		if even {
			next[front]++
			return next[front] % len(slots)
		}
		return choices[front].Choose(now, homes, random.IntN)
	}
	observe := func(now time.Time, front, pool int, load float64) {
		choices[front].Observe(now, homes[pool], load)
	}
	return imbalance(arrivals, slots, choose, observe)
}
