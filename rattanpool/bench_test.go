package rattanpool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchScheduler returns a scheduler with waiting jobs of 220 callers and
// nearly all slots occupied, so that each finished task frees the next slot.
func benchScheduler(b testing.TB, targets, decisions int) (*Scheduler, []Assignment) {
	b.Helper()
	s := New(Config{})
	var list []Target
	for i := range targets {
		list = append(list, Target{
			Name: fmt.Sprintf("t%05d", i), Rack: fmt.Sprintf("r%04d", i/8), Service: "s",
			Slots: 8, Cores: 60, MemoryMB: 250_000, Accelerators: 2 * (i % 2),
		})
	}
	s.SetTargets(simStart, list)
	random := rand.New(rand.NewPCG(1, 1))
	id := JobID(0)
	for tasks := 0; tasks < 8*targets+2*decisions+20_000; {
		id++
		submitted := Job{
			ID: id, Caller: fmt.Sprintf("c%d", id%220), Kind: fmt.Sprintf("k%d", id%7), Service: "s",
			Tasks: 1 + random.IntN(250), RunTime: time.Millisecond, Deadline: simStart.Add(noDeadline), Idempotent: true,
			CoresPerTask: int(id % 3), AcceleratorsPerTask: int(id % 5 / 4),
		}
		if !s.Admit(simStart, submitted).Admitted {
			b.Fatal("not admitted")
		}
		tasks += submitted.Tasks
	}
	var running []Assignment
	for {
		a, ok := s.Next(simStart)
		if !ok {
			return s, running
		}
		running = append(running, a)
	}
}

// BenchmarkDecision measures finishing a task and choosing the next one.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{50, 500, 8700} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s, running := benchScheduler(b, targets, b.N)
			random := rand.New(rand.NewPCG(2, 2))
			now := simStart
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(5 * time.Microsecond)
				index := random.IntN(len(running))
				s.Finish(now, running[index], Report{Outcome: OutcomeDone, RunTime: time.Millisecond})
				a, ok := s.Next(now)
				if !ok {
					// No waiting task fits the freed slot; it is refilled
					// later.
					running[index] = running[len(running)-1]
					running = running[:len(running)-1]
					continue
				}
				running[index] = a
			}
		})
	}
}

// BenchmarkAdmit measures the refusal of a job while many jobs wait.
func BenchmarkAdmit(b *testing.B) {
	s, _ := benchScheduler(b, 50, 0)
	id := JobID(1 << 40)
	for range 1000 {
		id++
		s.Admit(simStart, Job{ID: id, Caller: "c1", Kind: "k1", Service: "s", Tasks: 10, Deadline: simStart.Add(time.Hour)})
	}
	j := Job{ID: id + 1, Caller: "c1", Kind: "k1", Service: "s", Tasks: 250, Deadline: simStart}
	b.ReportAllocs()
	for b.Loop() {
		if s.Admit(simStart, j).Admitted {
			b.Fatal("admitted")
		}
	}
}

// TestDecisionDoesNotAllocate guards against allocations in Finish and Next,
// which run for every task.
func TestDecisionDoesNotAllocate(t *testing.T) {
	const decisions = 20_000
	s, running := benchScheduler(t, 50, decisions)
	now, index := simStart, 0
	allocations := testing.AllocsPerRun(decisions, func() {
		now = now.Add(5 * time.Microsecond)
		s.Finish(now, running[index], Report{Outcome: OutcomeDone, RunTime: time.Millisecond})
		if a, ok := s.Next(now); ok {
			running[index] = a
			index = (index + 1) % len(running)
			return
		}
		running = append(running[:index], running[index+1:]...)
		index %= len(running)
	})
	if allocations > 0 {
		t.Errorf("%v allocations per decision", allocations)
	}
}
