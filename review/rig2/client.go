package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
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
	status, body, err := i.send(newClient(j.wait), http.MethodPost, j.path(), j.body(), j.wait)
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
	}
	return status
}
