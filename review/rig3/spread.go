package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load of the deployment that gets a burst of large jobs.
const (
	spreadWorkers   = 48
	ordinaryPause   = 33 * time.Millisecond
	beforeBurst     = time.Second
	playLength      = 20 * time.Second
	ordinaryLimit   = 1500
	burstLimit      = 10000
	maxUnservedPart = 0.6
)

// burstSize describes the burst of large jobs.
type burstSize struct {
	jobs, tasks, antiAffinity int
	duration                  time.Duration
}

// ordinary counts the answers to the ordinary jobs that were sent in one second.
type ordinary struct {
	sent, served, refused, failed, unanswered int
}

// spread plays ordinary jobs and a burst of large ones, whose tasks are to run on
// different workers.
func (s *site) spread(client *http.Client, burst burstSize, trouble bool) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	seconds := make([]ordinary, int(playLength/time.Second))
	begun := time.Now()
	sent := false
	for n := 0; time.Since(begun) < playLength-ordinaryPause; n++ {
		if !sent && time.Since(begun) >= beforeBurst && trouble {
			sent = true
			s.say("TROUBLE %d jobs of %d tasks", burst.jobs, burst.tasks)
			for k := range burst.jobs {
				jb := s.job(&step{Count: burst.tasks, resources: resources{CPU: 100, Mem: 16}, Estimate: int(burst.duration.Milliseconds()), AntiAffinity: burst.antiAffinity}, burst.duration)
				go s.send(client, jb, clientPlan{first: k % 3, second: (k + 1) % 3, third: (k + 2) % 3, cancelAfter: -1, leaveAfter: -1, limit: burstLimit})
			}
		}
		second := int(time.Since(begun) / time.Second)
		jb := s.job(&step{Count: 2, resources: resources{CPU: 4000, Mem: 64}, Estimate: 170}, 170*time.Millisecond)
		group.Go(func() {
			status := s.sendOnce(client, jb, n%3, ordinaryLimit)
			mutex.Lock()
			defer mutex.Unlock()
			count := &seconds[second]
			count.sent++
			switch status {
			case http.StatusOK:
				count.served++
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				count.refused++
			case 0:
				count.unanswered++
			default:
				count.failed++
			}
		})
		time.Sleep(ordinaryPause)
	}
	group.Wait()
	var all ordinary
	for i, count := range seconds {
		fmt.Printf("second %2d: %2d sent, %2d served, %2d refused, %2d failed, %2d without an answer\n", i, count.sent, count.served, count.refused, count.failed, count.unanswered)
		s.say("second %d: %+v", i, count)
		all.sent += count.sent
		all.served += count.served
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.judge.note("%d of %d ordinary requests are served", all.served, all.sent)
	if float64(all.sent-all.served) > maxUnservedPart*float64(all.sent) {
		s.judge.violate("Gate", "%d of %d ordinary requests are served", all.served, all.sent)
	}
}

// sendOnce hands a job in once and returns the status of the answer, 0 without one.
func (s *site) sendOnce(client *http.Client, jb *job, first, limit int) int {
	s.send(client, jb, clientPlan{first: first, second: -1, third: -1, cancelAfter: -1, leaveAfter: -1, limit: limit})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return jb.statuses[0]
}
