package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The settings of the deployment in which workers restart.
const (
	blipRounds   = 14
	blipLength   = 100 * time.Millisecond
	blipInterval = 5600 * time.Millisecond
	blipCPU      = 7000
)

// blip plays jobs of one task, whose worker loses power for a moment together with one
// other worker.
func (s *site) blip(client *http.Client, trouble bool) {
	for round := range blipRounds {
		begun := time.Now()
		// Every worker has been used before, as in a deployment in service.
		s.submit(client, s.job(&step{Count: len(s.workers), resources: resources{CPU: blipCPU, Mem: 64}, Estimate: 100, AntiAffinity: 1}, 100*time.Millisecond), round)
		jb := s.job(&step{Count: 1, resources: resources{CPU: blipCPU, Mem: 64}, Estimate: 1500}, 1500*time.Millisecond)
		answered := make(chan struct{})
		go func() {
			s.submit(client, jb, round)
			close(answered)
		}()
		time.Sleep(500*time.Millisecond + rand.N(300*time.Millisecond))
		if trouble {
			s.restartTwo(jb)
		}
		<-answered
		time.Sleep(time.Until(begun.Add(blipInterval)))
	}
}

// restartTwo restarts the worker that runs the job, and the first other one.
func (s *site) restartTwo(jb *job) {
	s.mutex.Lock()
	var list []*worker
	for _, w := range s.workers {
		runs := false
		for _, r := range w.runs {
			runs = runs || r.task.job == jb
		}
		if runs {
			list = append(list, w)
		}
	}
	for _, w := range s.workers {
		if len(list) == 1 && w != list[0] {
			list = append(list, w)
		}
	}
	s.mutex.Unlock()
	for _, w := range list {
		w.crash(true)
		s.say("TROUBLE %s loses power for %v", w.id, blipLength)
	}
	time.Sleep(blipLength)
	for _, w := range list {
		w.back(nil)
		s.say("%s is back, in a new life", w.id)
	}
}

// job returns a job of one step.
func (s *site) job(st *step, duration time.Duration) *job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := fmt.Sprintf("%016x", rand.Uint64())
	jb := &job{id: id, service: "svc0", tasks: map[string]*task{}, body: jobBody{Spec: "spec " + id, BestEffort: true, Steps: []*step{st}}}
	var list []*task
	for k := range st.Count {
		t := &task{job: jb, step: st, index: k, name: fmt.Sprintf("%s.0.0.%d", id, k), duration: duration, runs: map[*run]bool{}, progress: map[string]time.Duration{"": 0}}
		list = append(list, t)
		jb.tasks[t.name] = t
	}
	jb.stepTasks = [][]*task{list}
	s.judge.jobs[id] = jb
	return jb
}

// submit hands a job in and returns when it is answered.
func (s *site) submit(client *http.Client, jb *job, first int) {
	n := len(s.deployment.Instances)
	s.send(client, jb, clientPlan{first: first % n, second: (first + 1) % n, third: (first + 2) % n, cancelAfter: -1, leaveAfter: -1, limit: 8000})
}

func (s *site) say(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.judge.note(format, arguments...)
}
