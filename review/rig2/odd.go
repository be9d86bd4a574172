package main

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// oddJobs submits jobs of extreme forms and looks for processes that end, that
// log a panic, or that do not answer afterwards.
func (w *world) oddJobs(length time.Duration) error {
	end := time.Now().Add(length)
	var group sync.WaitGroup
	limit := make(chan struct{}, 60)
	for time.Now().Before(end) {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			var steps []step
			for n := range 1 + rand.IntN(6) {
				pick := func(values ...int) int { return values[rand.IntN(len(values))] }
				s := step{
					Count: pick(1, 1, 2, 5, 20, 100, 250), CPU: pick(0, 1, 500, 4000, 16000, 16001, 1<<40), MemoryMB: pick(0, 1, 64, 65536, 1<<40), EstimateMs: pick(0, 1, 50, 1<<50),
					AntiAffinity: pick(0, 0, 1, 2, 1000), Gang: rand.IntN(3) == 0, SameRack: rand.IntN(3) == 0, Speculative: rand.IntN(3) == 0, SavesProgress: rand.IntN(3) == 0,
					Requirements: []string{"", "", "a", "b", "c", "rack-0-0"}[rand.IntN(6)], work: rand.N(300 * time.Millisecond),
				}
				for e := range n {
					if rand.IntN(2) == 0 {
						s.After = append(s.After, e)
					}
				}
				steps = append(steps, s)
			}
			j := w.newJob("/q/", 1500*time.Millisecond, steps...)
			w.submit(j, w.instances[rand.IntN(len(w.instances))])
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	for _, i := range w.instances {
		if !i.running() || !i.ready() {
			w.mutex.Lock()
			w.violate("FAULT: %s running %t ready %t", i.name, i.running(), i.ready())
			w.mutex.Unlock()
		}
		data, _ := os.ReadFile(i.log)
		if strings.Contains(string(data), "panic") {
			w.mutex.Lock()
			w.violate("FAULT: %s logs a panic", i.name)
			w.mutex.Unlock()
		}
	}
	return nil
}
