package rattancmd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	siteService = "service"
	siteHost    = "queue.example"
	sitePrefix  = "/queue/"
	// siteResend is how long a caller waits before it sends a job again whose
	// answer is unknown, as the platform's settings state it.
	siteResend = 1300 * time.Millisecond
	siteWait   = 4 * time.Second
	// siteRecovery bounds the time in which service returns after the loss of
	// a home, and after that of all processes.
	siteRecovery = 3 * time.Second
)

// site is a deployment: real processes of the program, and stand-ins of the
// platform in the test's own process.
type site struct {
	*qt.C
	directory string
	store     *rattansite.Store
	watch     *rattansite.InvariantChecker
	targets   []*rattansite.Target
	prefix    string
	mutex     sync.Mutex
	instances []*siteInstance
	version   int
}

type siteInstance struct {
	name    string
	ip      string
	file    string
	command *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}
}

// newSite starts instances and targets in each of the zones.
func newSite(t *testing.T, zones []string, instances, targets int) *site {
	c := qt.New(t)
	store, err := rattansite.NewStore()
	c.Assert(err, qt.IsNil)
	s := &site{
		C: c, directory: t.TempDir(), store: store, watch: rattansite.NewInvariantChecker(),
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
	}
	t.Cleanup(s.close)
	s.putDesired()
	for _, zone := range zones {
		for i := range targets {
			target, err := rattansite.NewTarget(rattansite.TargetConfig{
				ID: fmt.Sprintf("i-%s-%d", zone, i), Service: siteService, Zone: zone, Labels: []string{"a", "r1-1"},
				MilliCPU: 32000, MemoryMB: 4096, Store: store, Checker: s.watch, Heartbeat: 500 * time.Millisecond,
			})
			c.Assert(err, qt.IsNil)
			s.targets = append(s.targets, target)
		}
		for i := range instances {
			s.start(s.add(fmt.Sprintf("front-%s-%d", zone, i+1), zone))
		}
	}
	for _, instance := range s.instances {
		s.waitReady(instance)
	}
	return s
}

func (s *site) close() {
	for _, instance := range s.instances {
		s.kill(instance, syscall.SIGKILL)
	}
	for _, target := range s.targets {
		target.Close()
	}
	s.store.Close()
	for _, violation := range s.watch.Violations() {
		s.Errorf("broken promise: %s", violation)
		s.logRequest(jobPattern.FindString(violation))
	}
	if s.Failed() {
		for _, instance := range s.instances {
			s.Logf("%s: %s", instance.name, lastPart(instance.output.String()))
		}
	}
}

// jobPattern matches the ID of a job.
var jobPattern = regexp.MustCompile("[0-9a-f]{16}")

// logRequest shows what the instances logged of a job, and what they came to
// believe meanwhile.
func (s *site) logRequest(id string) {
	if id == "" {
		return
	}
	for _, instance := range s.instances {
		for line := range strings.Lines(instance.output.String()) {
			if strings.Contains(line, id) || strings.Contains(line, `"home `) || strings.Contains(line, `"target `) {
				s.Logf("%s: %s", instance.name, line)
			}
		}
	}
}

// putDesired writes a desired state with a new version.
func (s *site) putDesired(extra ...string) {
	s.version += 3
	route := func(prefix string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "host": siteHost, "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "service": siteService, "max_attempts": 3, "slack_factor": 1.6,
		}
	}
	routes := []any{route(sitePrefix)}
	for _, prefix := range extra {
		routes = append(routes, route(prefix))
	}
	s.Assert(s.store.Put("op/config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []any{map[string]any{"name": siteService, "rejects_overload": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 20000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}), qt.IsNil)
}

func (s *site) add(name, zone string) *siteInstance {
	ip := fmt.Sprintf("%s%d", s.prefix, 10+len(s.instances))
	instance := &siteInstance{name: name, ip: ip, file: filepath.Join(s.directory, name+".json")}
	var seeds []string
	for _, other := range s.instances {
		seeds = append(seeds, other.ip+":7166")
	}
	settings := map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": "region", "control_mode": "call",
		"listen":     map[string]string{"front": ip + ":7161", "readiness": ip + ":7167", "control": ip + ":7166"},
		"port_range": []int{7720, 7735}, "seeds": seeds,
		"platform": map[string]any{"address": s.store.Address(), "form": "kv"},
		"bounds":   map[string]any{"max_hold_ms": 1000, "grace_s": 6, "retransmit_ms": 1300, "remote_penalty": 1.5},
	}
	data, err := json.Marshal(settings)
	s.Assert(err, qt.IsNil)
	s.Assert(os.WriteFile(instance.file, data, 0o600), qt.IsNil)
	s.instances = append(s.instances, instance)
	return instance
}

// start runs the process of an instance.
func (s *site) start(instance *siteInstance) {
	command := exec.Command(binary, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+instance.file)
	command.Stdout = &instance.output
	command.Stderr = &instance.output
	s.Assert(command.Start(), qt.IsNil)
	ended := make(chan struct{})
	s.mutex.Lock()
	instance.command, instance.ended = command, ended
	s.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// kill sends a signal that ends the instance and waits for its end.
func (s *site) kill(instance *siteInstance, signal syscall.Signal) {
	_ = instance.command.Process.Signal(signal)
	<-instance.ended
}

func (s *site) waitReady(instance *siteInstance) {
	s.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := http.Get("http://" + instance.ip + ":7167" + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			s.Fatalf("%s is not ready", instance.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// homeOf returns the instance that last became the home of a zone.
func (s *site) homeOf(zone string) *siteInstance {
	// Lines reach the output a moment after they are written.
	time.Sleep(300 * time.Millisecond)
	var home *siteInstance
	fence := 0.0
	for _, instance := range s.instances {
		for _, line := range strings.Split(instance.output.String(), "\n") {
			var entry struct {
				Message, Home string
				Fence         float64
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "home changed" || entry.Fence <= fence {
				continue
			}
			if !strings.Contains(entry.Home, "-"+zone+"-") {
				continue
			}
			fence = entry.Fence
			for _, candidate := range s.instances {
				if candidate.name == entry.Home {
					home = candidate
				}
			}
		}
	}
	s.Assert(home, qt.IsNotNil)
	return home
}

// siteAnswer is the answer to one attempt; Status is 0 if none came.
type siteAnswer struct {
	Status int
	Body   string
	Header http.Header
}

func (s *site) send(client *http.Client, instance *siteInstance, id string, body []byte) siteAnswer {
	request, err := http.NewRequest(http.MethodPost, "http://"+instance.ip+":7161"+sitePrefix+id, bytes.NewReader(body))
	if err != nil {
		return siteAnswer{}
	}
	request.Host = siteHost
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(siteWait.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return siteAnswer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return siteAnswer{}
	}
	return siteAnswer{Status: response.StatusCode, Body: string(data), Header: response.Header}
}

// siteLoad sends jobs until it is stopped and counts the answers.
type siteLoad struct {
	site      *site
	stop      chan struct{}
	done      sync.WaitGroup
	succeeded atomic.Int64
	refused   atomic.Int64
	broken    atomic.Int64
	other     atomic.Int64
	// lastGood is the Unix time in nanoseconds of the last success.
	lastGood atomic.Int64
}

func (s *site) load(callers int) *siteLoad {
	l := &siteLoad{site: s, stop: make(chan struct{})}
	for range callers {
		l.done.Go(l.call)
	}
	return l
}

func (l *siteLoad) end() {
	close(l.stop)
	l.done.Wait()
}

func (l *siteLoad) call() {
	client := &http.Client{Timeout: siteWait + time.Second, Transport: &http.Transport{}}
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(rand.IntN(30)) * time.Millisecond):
		}
		l.job(client)
	}
}

// job sends one job, again after an answer that leaves its outcome unknown.
func (l *siteLoad) job(client *http.Client) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	tasks := 1 + rand.IntN(4)
	length := time.Duration(20+rand.IntN(150)) * time.Millisecond
	cpu := 6000 + rand.IntN(8000)
	l.site.watch.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: cpu, Duration: length})
	body := fmt.Appendf(nil, `{"spec":"s","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`, tasks, cpu, length.Milliseconds())
	unknown := false
	for range 3 {
		instance := l.site.instances[rand.IntN(len(l.site.instances))]
		answer := l.site.send(client, instance, id, body)
		switch {
		case answer.Status == http.StatusOK && strings.Contains(answer.Body, "succeeded"):
			l.site.watch.JobSucceeded(id, tasks)
			l.succeeded.Add(1)
			l.lastGood.Store(time.Now().UnixNano())
			return
		case answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests:
			if !unknown {
				l.site.watch.JobRefused(id)
			}
			l.refused.Add(1)
			return
		case answer.Status == 0:
			l.broken.Add(1)
		case answer.Status != http.StatusGatewayTimeout:
			l.other.Add(1)
			return
		}
		unknown = true
		time.Sleep(siteResend)
	}
}

// waitGood returns how long it takes until jobs succeed again.
func (l *siteLoad) waitGood(since time.Time) time.Duration {
	for l.lastGood.Load() < since.UnixNano() {
		if time.Since(since) > startTimeout {
			l.site.Fatalf("no job succeeds any more")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(since)
}

// TestServe guards against answers other than those that the platform's pages
// state, on a calm day.
func TestServe(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a"}, 2, 3)
	client := &http.Client{}
	good := `{"spec":"s","best_effort":true,"steps":[{"count":3,"cpu":4000,"mem_mb":64,"estimate_ms":50}]}`
	tests := map[string]struct {
		id, body string
		status   int
		contains string
	}{
		"complete":        {"00000000000000aa", good, http.StatusOK, `{"state":"succeeded"}`},
		"no ID":           {"xyz", good, http.StatusBadRequest, "hexadecimal"},
		"no JSON":         {"00000000000000ab", "{", http.StatusBadRequest, "error"},
		"no steps":        {"00000000000000ac", `{"best_effort":true}`, http.StatusBadRequest, "steps"},
		"absurd step":     {"00000000000000ad", `{"best_effort":true,"steps":[{"count":1000000000,"cpu":1}]}`, http.StatusBadRequest, "count"},
		"long spec":       {"00000000000000ae", `{"spec":"` + strings.Repeat("x", 4001) + `","best_effort":true,"steps":[{"count":1}]}`, http.StatusBadRequest, "spec"},
		"large body":      {"00000000000000af", strings.Repeat(" ", 30000), http.StatusRequestEntityTooLarge, "large"},
		"stored job":      {"00000000000000b0", `{"steps":[{"count":1,"cpu":1}]}`, http.StatusServiceUnavailable, "stored"},
		"never servable":  {"00000000000000b1", `{"best_effort":true,"steps":[{"count":1,"cpu":900000}]}`, http.StatusServiceUnavailable, "no target"},
		"second complete": {"00000000000000aa", good, http.StatusOK, `{"state":"succeeded"}`},
	}
	s.watch.JobSubmitted("00000000000000aa", rattansite.TaskProfile{MilliCPU: 4000, Duration: 50 * time.Millisecond})
	for name, test := range tests {
		answer := s.send(client, s.instances[rand.IntN(2)], test.id, []byte(test.body))
		s.Check(answer.Status, qt.Equals, test.status, qt.Commentf("%s: %s", name, answer.Body))
		s.Check(answer.Body, qt.Contains, test.contains, qt.Commentf("%s", name))
		if test.status == http.StatusServiceUnavailable {
			s.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("%s", name))
		}
	}
	s.Check(s.watch.Starts(), qt.Equals, 3)
	s.checkGet(sitePrefix, http.StatusOK, `{"pending":0}`)
	s.checkGet(sitePrefix+"00000000000000aa", http.StatusGone, "")
	s.checkGet("/none/", http.StatusNotFound, "")
	s.checkMetrics()
}

// checkMetrics checks that the home has each metric of docs/metrics.md that a
// calm day touches.
func (s *site) checkMetrics() {
	s.Helper()
	response, err := http.Get("http://" + s.homeOf("a").ip + ":7735/metrics")
	s.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	s.Assert(err, qt.IsNil)
	faults := []string{rattanmetric.TargetsSilentTotal, rattanmetric.HomesDeposedTotal}
	for _, row := range rattanmetric.ServeMetrics() {
		if !slices.Contains(faults, row.Name) {
			s.Check(string(page), qt.Contains, row.Name)
		}
	}
}

func (s *site) checkGet(path string, status int, body string) {
	s.Helper()
	for _, instance := range s.instances {
		request, err := http.NewRequest(http.MethodGet, "http://"+instance.ip+":7161"+path, nil)
		s.Assert(err, qt.IsNil)
		request.Host = siteHost
		response, err := http.DefaultClient.Do(request)
		s.Assert(err, qt.IsNil)
		data, err := io.ReadAll(response.Body)
		s.Assert(err, qt.IsNil)
		_ = response.Body.Close()
		s.Check(response.StatusCode, qt.Equals, status, qt.Commentf("%s", path))
		s.Check(string(data), qt.Contains, body)
	}
}

// TestServeDesired guards against a change of the desired state that is not in
// force in time, also while the store serves nobody or has lost its history.
func TestServeDesired(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a"}, 2, 1)
	const inForce = 2 * time.Second
	check := func(prefix string) {
		s.Helper()
		time.Sleep(inForce)
		s.checkGet(prefix, http.StatusOK, "pending")
	}
	s.putDesired("/second/")
	check("/second/")
	s.store.Compact()
	s.putDesired("/third/")
	check("/third/")
	s.store.SetOutage(rattansite.OutageSilent)
	time.Sleep(time.Second)
	s.checkGet("/third/", http.StatusOK, "pending")
	s.putDesired("/fourth/")
	s.store.SetOutage(rattansite.OutageNone)
	check("/fourth/")
}

// TestServeHomeKilled guards against jobs that are lost, doubled or refused
// falsely when the home is killed, also while the store is away.
func TestServeHomeKilled(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]rattansite.Outage{"store up": rattansite.OutageNone, "store away": rattansite.OutageSilent} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, []string{"a"}, 3, 6)
			l := s.load(6)
			l.waitGood(time.Now())
			s.store.SetOutage(outage)
			time.Sleep(time.Second)
			home := s.homeOf("a")
			s.kill(home, syscall.SIGKILL)
			s.Check(l.waitGood(time.Now()) < siteRecovery, qt.IsTrue)
			time.Sleep(time.Second)
			s.start(home)
			time.Sleep(time.Second)
			l.end()
			s.Check(l.other.Load(), qt.Equals, int64(0))
		})
	}
}

// TestServeHomePaused guards against two runs of a task when a paused home
// wakes up beside its successor, and when it wakes up before there is one.
func TestServeHomePaused(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a"}, 3, 6)
	l := s.load(6)
	l.waitGood(time.Now())
	for _, pause := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
		home := s.homeOf("a")
		s.Assert(home.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		time.Sleep(pause)
		s.Assert(home.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
		time.Sleep(time.Second)
		s.Check(l.waitGood(time.Now()) < siteRecovery, qt.IsTrue)
	}
	l.end()
	s.Check(l.other.Load(), qt.Equals, int64(0))
}

// TestServeTermination guards against requests that are cut by a planned stop
// of the home and of another instance.
func TestServeTermination(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a"}, 3, 6)
	stopped := s.homeOf("a")
	// Callers keep to instances that stay, as the ingress sees to it.
	all := s.instances
	s.instances = nil
	for _, instance := range all {
		if instance != stopped {
			s.instances = append(s.instances, instance)
		}
	}
	l := s.load(6)
	l.waitGood(time.Now())
	slow := make(chan siteAnswer, 1)
	s.watch.JobSubmitted("00000000000000cc", rattansite.TaskProfile{MilliCPU: 1000, Duration: 2 * time.Second})
	go func() {
		slow <- s.send(&http.Client{}, stopped, "00000000000000cc", []byte(`{"best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":2000}]}`))
	}()
	time.Sleep(300 * time.Millisecond)
	s.kill(stopped, syscall.SIGTERM)
	answer := <-slow
	s.Check(answer.Body, qt.Equals, `{"state":"succeeded"}`)
	l.end()
	s.instances = all
	s.Check(l.broken.Load(), qt.Equals, int64(0))
	s.Check(l.other.Load(), qt.Equals, int64(0))
}

// TestServeTargetFaults guards against doubled runs and overrun room while
// targets lose answers, carry orders out late, fail, hang, restart under their
// name, fall silent and leave.
func TestServeTargetFaults(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a"}, 2, 6)
	l := s.load(6)
	l.waitGood(time.Now())
	lossy := rattansite.TargetFaults{LostAnswerRate: 0.1, DelayRate: 0.1, Delay: 2 * time.Second}
	for _, target := range s.targets {
		target.SetFaults(lossy)
	}
	time.Sleep(2 * time.Second)
	s.targets[0].Restart()
	s.targets[1].SetFaults(rattansite.TargetFaults{FailAll: true})
	s.targets[2].SetFaults(rattansite.TargetFaults{Hang: true})
	s.targets[3].SetFaults(rattansite.TargetFaults{Silent: true})
	time.Sleep(2 * time.Second)
	s.Assert(s.targets[4].Drain(), qt.IsNil)
	s.targets[0].Restart()
	for _, target := range s.targets[:4] {
		target.SetFaults(rattansite.TargetFaults{})
	}
	time.Sleep(time.Second)
	s.Check(l.waitGood(time.Now()) < siteRecovery, qt.IsTrue)
	l.end()
	s.Check(l.other.Load(), qt.Equals, int64(0))
}

// TestServeAllKilled guards against service that does not return after all
// processes were killed at once, and against runs of before that go on beside
// new ones.
func TestServeAllKilled(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a", "b"}, 2, 4)
	l := s.load(6)
	l.waitGood(time.Now())
	for _, instance := range s.instances {
		_ = instance.command.Process.Kill()
	}
	for _, instance := range s.instances {
		<-instance.ended
	}
	for _, instance := range s.instances {
		s.start(instance)
	}
	s.Check(l.waitGood(time.Now()) < siteRecovery, qt.IsTrue)
	time.Sleep(time.Second)
	l.end()
	s.Check(l.other.Load(), qt.Equals, int64(0))
}

// TestServeOtherZone guards against refusing jobs that another zone has room
// for, and against runs that go on there after their caller's instance was
// killed.
func TestServeOtherZone(t *testing.T) {
	t.Parallel()
	s := newSite(t, []string{"a", "b"}, 2, 4)
	for _, target := range s.targets[:3] {
		s.Assert(target.Drain(), qt.IsNil)
	}
	time.Sleep(2 * time.Second)
	all := s.instances
	s.instances = all[:2]
	l := s.load(4)
	l.waitGood(time.Now())
	time.Sleep(2 * time.Second)
	s.kill(all[0], syscall.SIGKILL)
	time.Sleep(time.Second)
	s.start(all[0])
	time.Sleep(time.Second)
	l.end()
	s.instances = all
	s.Check(l.other.Load(), qt.Equals, int64(0))
	s.Check(l.succeeded.Load() > 5*l.refused.Load(), qt.IsTrue, qt.Commentf("%d succeeded, %d refused", l.succeeded.Load(), l.refused.Load()))
	time.Sleep(300 * time.Millisecond)
	moved := 0
	for _, instance := range all[:2] {
		moved += strings.Count(instance.output.String(), `"Zone":"b"`)
	}
	s.Check(moved > 0, qt.IsTrue)
}
