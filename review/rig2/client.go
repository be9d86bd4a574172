package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// newJob makes a job known to the stand-ins.
func (w *world) newJob(prefix string, wait time.Duration, steps ...step) *job {
	id := fmt.Sprintf("%016x", rand.Uint64())
	j := &job{id: id, spec: "spec of " + id + " \u00e9<&>\"\\", prefix: prefix, steps: steps, wait: wait, started: map[string]bool{}, done: map[string]bool{}}
	for i := range j.steps {
		if j.steps[i].EstimateMs == 0 {
			j.steps[i].EstimateMs = int(j.steps[i].work.Milliseconds())
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[id] = j
	return j
}

func (j *job) body() []byte {
	data, err := json.Marshal(map[string]any{"spec": j.spec, "best_effort": true, "steps": j.steps})
	if err != nil {
		panic(err)
	}
	return data
}

func (j *job) path() string {
	return j.prefix + j.id
}

// newClient returns a client with channels of its own.
func newClient(wait time.Duration) *http.Client {
	return &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
}

// submit sends the job to an instance once, and returns the status and the body,
// 0 for no answer.
func (w *world) submit(j *job, i *instance) (int, string) {
	w.log("submit %s to %s", j.id, i.name)
	channel := j.wait
	if rand.Float64() < w.resets {
		channel = rand.N(min(j.wait, 3*time.Second))
	}
	status, body, err := i.send(newClient(channel), http.MethodPost, j.path(), j.body(), j.wait)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.note("answer %s of %s: %d %s %v", j.id, i.name, status, strings.TrimSpace(body), err)
	w.counts[fmt.Sprintf("status %d", status)]++
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
		j.refused++
	case http.StatusOK:
		j.other++
		if strings.Contains(body, "succeeded") {
			w.checkSucceeded(j)
			w.counts["succeeded"]++
		}
	default:
		j.other++
	}
	return status, body
}

// run submits a job until it has an answer, as a client does: a job without an
// answer is sent again after the retransmission time, to any node of the zone.
func (w *world) run(j *job, zone string) string {
	deadline := time.Now().Add(j.wait)
	for attempt := 0; ; attempt++ {
		if attempt > 0 && w.anyNode {
			zone = w.zones()[rand.IntN(len(w.zones()))]
		}
		i := w.pick(zone)
		begun := time.Now()
		status, body := w.submit(j, i)
		w.mutex.Lock()
		cancelled := !j.cancelAckedAt.IsZero()
		w.mutex.Unlock()
		if (status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout) || time.Now().After(deadline) || cancelled || time.Since(begun) >= j.wait {
			return body
		}
		time.Sleep(retransmitDelay)
	}
}

// pick returns an instance of the zone that is ready, if there is one.
func (w *world) pick(zone string) *instance {
	var list []*instance
	for _, i := range w.instances {
		if i.zone == zone {
			list = append(list, i)
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	if n := slices.IndexFunc(list, func(i *instance) bool { return i.running() }); n >= 0 {
		return list[n]
	}
	return list[0]
}

// cancel cancels a job at an instance and records the acknowledgement.
func (w *world) cancel(j *job, i *instance) int {
	status, body, err := i.send(newClient(4*time.Second), http.MethodDelete, j.path(), nil, 4*time.Second)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.note("cancel %s at %s: %d %s %v", j.id, i.name, status, strings.TrimSpace(body), err)
	w.counts[fmt.Sprintf("cancel %d", status)]++
	if status == http.StatusGone || status/100 == 2 {
		j.cancelAckedAt = time.Now()
		w.counts["cancelled"]++
		time.AfterFunc(cancelTime+2*stopGrace, func() { w.checkCancelled(j) })
	}
	return status
}

// randomJob returns a job of a random form.
func (w *world) randomJob() *job {
	ms := func(low, high int) time.Duration {
		return time.Duration(low+rand.IntN(high-low)) * time.Millisecond
	}
	simple := func(count int, work time.Duration) step {
		return step{Count: count, CPU: 1000 * (1 + rand.IntN(4)), MemoryMB: 256, work: work}
	}
	var steps []step
	switch rand.IntN(8) {
	case 0:
		steps = []step{simple(1+rand.IntN(6), ms(50, 800))}
	case 1:
		steps = []step{simple(1+rand.IntN(3), ms(50, 800)), simple(1+rand.IntN(4), ms(50, 1200)), simple(1, ms(50, 500))}
		steps[1].After, steps[2].After = []int{0}, []int{1}
	case 2:
		s := simple(2+rand.IntN(3), ms(200, 2500))
		s.Gang, s.SameRack = true, rand.IntN(2) == 0
		steps = []step{s}
	case 3:
		s := simple(2+rand.IntN(2), ms(1200, 4000))
		s.Gang, s.SavesProgress = true, true
		steps = []step{simple(1, ms(50, 300)), s}
		steps[1].After = []int{0}
	case 4:
		s := simple(1+rand.IntN(3), ms(100, 900))
		s.Speculative = true
		steps = []step{s}
	case 5:
		s := simple(2+rand.IntN(4), ms(100, 1500))
		s.AntiAffinity = 1
		steps = []step{s}
	case 6:
		s := simple(1+rand.IntN(4), ms(100, 900))
		s.Requirements = []string{"a", "b"}[rand.IntN(2)]
		steps = []step{s, simple(1, ms(50, 200))}
		steps[1].After = []int{0}
	default:
		s := simple(1+rand.IntN(2), ms(2000, 6000))
		s.SavesProgress = true
		steps = []step{s}
	}
	chain := time.Duration(0)
	for _, s := range steps {
		chain += s.work
	}
	return w.newJob("/q/", 3*chain+3*time.Second, steps...)
}

// traffic sends random jobs, a number of them a second, until stop is closed.
func (w *world) traffic(perSecond int, cancelShare float64, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	zones := w.zones()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		zone := zones[rand.IntN(len(zones))]
		group.Go(func() {
			j := w.randomJob()
			if rand.Float64() < cancelShare {
				group.Go(func() {
					time.Sleep(rand.N(1500 * time.Millisecond))
					w.cancel(j, w.pick(zone))
				})
			}
			w.run(j, zone)
		})
	}
}

func (w *world) zones() []string {
	var zones []string
	for _, i := range w.instances {
		if !slices.Contains(zones, i.zone) {
			zones = append(zones, i.zone)
		}
	}
	return zones
}

// checkCancelled checks that no task of a job runs on after its cancelling.
func (w *world) checkCancelled(j *job) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, runs := range w.active {
		for _, r := range runs {
			if r.job == j && time.Since(w.disturbedAt) > 2*contactTime {
				w.violate("UNASKED: %s runs on after the cancelling", r)
			}
		}
	}
}
