package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	rebornLength   = 200 * time.Millisecond
	rebornInterval = 1700 * time.Millisecond
)

// reborn plays jobs of one task, each of which comes just after the worker that suits it
// best has lost power for a moment and is back as one of another kind.
func (s *site) reborn(client *http.Client, trouble bool) {
	for round, w := range s.workers {
		begun := time.Now()
		time.Sleep(rand.N(400 * time.Millisecond))
		if trouble {
			w.crash(true)
			s.say("TROUBLE %s loses power for %v", w.id, rebornLength)
			time.Sleep(rebornLength)
			w.back(func(w *worker) {
				w.capacity, w.labels[0] = resources{CPU: 4000, Mem: 8192}, "b"
			})
			s.say("%s is back, in a new life of kind b with 4 cores", w.id)
		}
		jb := s.job(&step{Count: 1, resources: resources{CPU: blipCPU, Mem: 64}, Estimate: 200, Requirements: "a"}, 200*time.Millisecond)
		s.submit(client, jb, round)
		time.Sleep(time.Until(begun.Add(rebornInterval)))
	}
}
