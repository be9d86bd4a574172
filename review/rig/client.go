package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job. Its tasks work for the time that is also its estimate.
type step struct {
	count int
	cpu   int
	work  time.Duration
	after []int
}

// newJobID returns an ID that no other job has.
func newJobID() string {
	id := strconv.FormatUint(rand.Uint64(), 16)
	return strings.Repeat("0", 16-len(id)) + id
}

// jobBody returns the body of a job that needs no storage.
func jobBody(steps []step) []byte {
	var list []any
	var work []string
	for _, s := range steps {
		entry := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": 64, "estimate_ms": s.work.Milliseconds()}
		if len(s.after) > 0 {
			entry["after"] = s.after
		}
		list = append(list, entry)
		work = append(work, strconv.FormatInt(s.work.Milliseconds(), 10))
	}
	// Numbers and texts can be encoded.
	body, _ := json.Marshal(map[string]any{"spec": strings.Join(work, ","), "steps": list, "best_effort": true})
	return body
}

// answer is the answer to a request. Its status is 0 if there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// send sends a request of a client on a channel of its own.
func (d *deployment) send(ctx context.Context, i *instance, method, job string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.ip+":"+i.front+prefix+job, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now()}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	d.record.line("client sends %s %s to %s, time limit %v", method, job, i.name, limit)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		d.record.line("client has no answer to %s %s: %v", method, job, err)
		return answer{at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	d.record.line("client gets %d %s for %s %s", response.StatusCode, data, method, job)
	return answer{status: response.StatusCode, body: string(data), at: time.Now()}
}

const (
	checkInterval = time.Second
	checkTimeout  = 500 * time.Millisecond
	maxMisses     = 2
)

// ingress is the platform's balancer: it checks each instance once a second and
// sends it no new channels after two misses, until it answers again.
type ingress struct {
	mutex  sync.Mutex
	misses map[*instance]int
	stop   chan struct{}
}

func newIngress(d *deployment) *ingress {
	g := &ingress{misses: map[*instance]int{}, stop: make(chan struct{})}
	for _, i := range d.instances {
		go g.check(d, i)
	}
	return g
}

func (g *ingress) check(d *deployment, i *instance) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
		}
		ready := i.ready()
		g.mutex.Lock()
		if ready {
			g.misses[i] = 0
		} else if g.misses[i]++; g.misses[i] == maxMisses {
			d.record.line("ingress sends no new channels to %s", i.name)
		}
		g.mutex.Unlock()
	}
}

// inRotation reports whether an instance gets new channels.
func (g *ingress) inRotation(i *instance) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.misses[i] < maxMisses
}

func (g *ingress) close() {
	close(g.stop)
}
