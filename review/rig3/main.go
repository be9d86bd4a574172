// Command rig3 plays a small deployment of the dispatcher under disturbances and judges
// it by what its clients and workers see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	host     = "queue.example"
	resend   = 1300 * time.Millisecond
	services = 2
	// maxAttempts is that of all queues.
	maxAttempts = 3
	recordMode  = 0o644
)

var rng *rand.Rand

// bigCount is the number of tasks of large jobs, 0 for none.
var bigCount int

var scenario string

func chance(p float64) bool { return rng.Float64() < p }

func oneOf[T any](list ...T) T { return list[rng.IntN(len(list))] }

func main() {
	binary := flag.String("binary", "target/rattanlever", "program")
	seed := flag.Uint64("seed", 1, "seed")
	length := flag.Duration("length", 40*time.Second, "length of the traffic")
	rate := flag.Float64("rate", 30, "jobs a second")
	trouble := flag.String("trouble", "all", "disturbances: all, workers, homes or none")
	out := flag.String("out", "", "folder of the record")
	zones := flag.Int("zones", 2, "zones")
	flag.StringVar(&scenario, "scenario", "random", "what is played: random, blip, reborn or spread")
	flag.IntVar(&bigCount, "big", 0, "tasks of large jobs")
	var burst burstSize
	flag.IntVar(&burst.jobs, "jobs", 20, "jobs of a burst")
	flag.IntVar(&burst.tasks, "tasks", 250, "tasks of a job of a burst")
	flag.IntVar(&burst.antiAffinity, "anti-affinity", 1, "tasks of a job of a burst on one worker")
	flag.DurationVar(&burst.duration, "duration", 4*time.Second, "run time of a task of a burst")
	flag.Parse()
	rng = rand.New(rand.NewPCG(*seed, 1))
	os.Exit(play(*binary, *seed, *length, *rate, *trouble, *out, *zones, burst))
}

// Exit codes besides that of a broken rule.
const (
	exitBroken    = 1
	exitCannotRun = 2
)

// cleanUp ends the processes that were started.
var cleanUp = func() {}

func check(err error) {
	if err != nil {
		fmt.Println("cannot run:", err)
		cleanUp()
		os.Exit(exitCannotRun)
	}
}

// endOnSignal ends the processes that were started if the play is ended.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	cleanUp()
	os.Exit(exitCannotRun)
}

func play(binary string, seed uint64, length time.Duration, rate float64, trouble, out string, zones int, burst burstSize) int {
	directory, err := os.MkdirTemp("", "rig3")
	check(err)
	defer func() { _ = os.RemoveAll(directory) }()
	deployment, err := rattanprocess.NewDeployment(binary, directory)
	check(err)
	cleanUp = func() {
		for _, i := range deployment.Instances {
			i.End(syscall.SIGKILL)
		}
	}
	go endOnSignal()
	record, err := os.Create(filepath.Join(out, recordName(seed)))
	check(err)
	s := &site{deployment: deployment, gangs: map[string]*gang{}}
	s.judge = &judge{site: s, begun: time.Now(), log: record, jobs: map[string]*job{}, broken: map[string]int{}, ends: map[string]int{}}
	version := 1
	s.putConfig(version)
	if scenario != "random" {
		zones = 1
		for i := range map[string]int{"blip": 6, "reborn": 16, "spread": spreadWorkers}[scenario] {
			s.workers = append(s.workers, newWorker(s, fmt.Sprintf("w%02d", i), "z0", "svc0", []string{"a", fmt.Sprintf("r1-%d", 1+i/2)}, spreadCapacity()))
		}
	}
	for i := range zones * 6 {
		if scenario != "random" {
			break
		}
		s.workers = append(s.workers, newWorker(s, fmt.Sprintf("w%02d", i), fmt.Sprintf("z%d", i%zones), fmt.Sprintf("svc%d", oneOf(0, 0, 1)), []string{oneOf("a", "b"), fmt.Sprintf("r%d-%d", i%zones, oneOf(1, 2))}, kind()))
	}
	for z := range zones {
		for i := range 3 {
			_, err := deployment.AddInstance(rattansite.InstanceSettings{Name: fmt.Sprintf("front-z%d-%d", z, i), Zone: fmt.Sprintf("z%d", z), CPUShare: 0.4, MemoryMB: 284, MaxDescriptors: 4100})
			check(err)
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for _, i := range deployment.Instances {
		check(i.Start())
	}
	for _, i := range deployment.Instances {
		check(i.WaitReady(client, 10*time.Second))
	}
	time.Sleep(1500 * time.Millisecond)
	s.mutex.Lock()
	s.calmSince = time.Now()
	s.mutex.Unlock()
	stop := time.Now().Add(length)
	if scenario == "blip" {
		s.blip(client, trouble != "none")
		stop = time.Now()
	} else if scenario == "spread" {
		s.spread(client, burst, trouble != "none")
		stop = time.Now()
	} else if scenario == "reborn" {
		s.reborn(client, trouble != "none")
		stop = time.Now()
	} else if trouble != "none" {
		go s.disturb(stop, trouble, zones, &version)
	}
	active := make(chan struct{}, 10000)
	sent := 0
	for time.Now().Before(stop) {
		jb := s.newJob()
		sent++
		active <- struct{}{}
		plan := clientPlan{first: rng.IntN(len(deployment.Instances)), second: rng.IntN(len(deployment.Instances)), third: rng.IntN(len(deployment.Instances)), cancelAfter: -1, leaveAfter: -1, limit: oneOf(1500, 3000, 8000)}
		if chance(.06) {
			plan.cancelAfter = time.Duration(rng.IntN(600)) * time.Millisecond
		} else if chance(.05) {
			plan.leaveAfter = time.Duration(rng.IntN(300)) * time.Millisecond
		}
		go func() {
			s.send(client, jb, plan)
			<-active
		}()
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	for wait := time.Now().Add(14 * time.Second); len(active) > 0 && time.Now().Before(wait); {
		time.Sleep(50 * time.Millisecond)
	}
	s.mutex.Lock()
	s.judge.refused()
	counts := map[int]int{}
	for _, jb := range s.judge.jobs {
		last := 0
		if n := len(jb.statuses); n > 0 {
			last = jb.statuses[n-1]
		}
		counts[last]++
	}
	fmt.Printf("seed %d trouble %s: %d jobs, answers %v, %d runs, ends %v, broken %v\n", seed, trouble, sent, counts, s.judge.runs, s.judge.ends, s.judge.broken)
	for _, n := range s.judge.notes[:min(12, len(s.judge.notes))] {
		fmt.Println("  ", n)
	}
	broken := len(s.judge.broken) > 0
	s.mutex.Unlock()
	for _, i := range deployment.Instances {
		output := i.Output()
		s.say("%s followed %d homes", i.Name, strings.Count(output, "home changed"))
		if strings.Contains(output, "panic: ") || strings.Contains(output, "DATA RACE") {
			fmt.Println("   crash or race in", i.Name)
		}
		if scenario == "random" && broken {
			check(os.WriteFile(filepath.Join(out, fmt.Sprintf("log-%d-%s.txt", seed, i.Name)), []byte(output), recordMode))
		}
		i.End(syscall.SIGKILL)
	}
	deployment.Store.Close()
	if broken {
		return exitBroken
	}
	return 0
}

// spreadCapacity is the capacity of a worker in all but random plays.
func spreadCapacity() resources {
	if scenario == "spread" {
		return resources{CPU: 64000, Mem: 262144}
	}
	return resources{CPU: 8000, Mem: 16384}
}

// recordName is the name of the record: that of a case has no seed.
func recordName(seed uint64) string {
	if scenario == "random" {
		return fmt.Sprintf("record-%d.txt", seed)
	}
	return "record.txt"
}

func kind() resources {
	return oneOf(resources{16000, 32768, 0}, resources{32000, 65536, 2}, resources{8000, 16384, 0}, resources{24000, 16384, 4})
}

func (s *site) putConfig(version int) {
	var routes []any
	for i := range services {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("q%d", i), "host": host, "prefix": fmt.Sprintf("/q%d/", i), "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 60, "priority": i, "service": fmt.Sprintf("svc%d", i), "max_attempts": maxAttempts, "slack_factor": 1.6})
	}
	_ = s.deployment.Store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": "svc0"}, map[string]any{"name": "svc1"}}, "limits": map[string]any{"max_body_bytes": 262144}})
}

func (s *site) newJob() *job {
	id := fmt.Sprintf("%016x", rng.Uint64())
	q := oneOf(0, 0, 0, 1)
	jb := &job{id: id, service: fmt.Sprintf("svc%d", q), tasks: map[string]*task{}}
	jb.body = jobBody{Spec: fmt.Sprintf("spec %s <&>\u2028 \"x\" é", id), BestEffort: true}
	if bigCount > 0 && chance(.01) {
		st := &step{Count: bigCount, Estimate: 5000, AntiAffinity: 1}
		st.resources = resources{CPU: 100, Mem: 16}
		jb.body.Steps = append(jb.body.Steps, st)
	}
	for i := range oneOf(1, 1, 2, 3) {
		if len(jb.body.Steps) > 0 && jb.body.Steps[0].Count == bigCount {
			break
		}
		st := &step{Count: oneOf(1, 1, 2, 3, 4, 6), Estimate: oneOf(40, 100, 200, 500)}
		st.resources = resources{CPU: oneOf(500, 1000, 4000, 7000), Mem: oneOf(64, 512, 4000)}
		if chance(.05) {
			st.GPU = 1
		}
		if chance(.15) {
			st.Requirements = oneOf("a", "b")
		}
		if chance(.15) {
			st.Affinity = fmt.Sprintf("r%d-%d", rng.IntN(2), oneOf(1, 2))
		}
		if chance(.2) {
			st.AntiAffinity = oneOf(1, 2)
		}
		switch {
		case chance(.3):
			st.Gang, st.SameRack = true, chance(.3)
			st.Saves = chance(.5)
		case chance(.3):
			st.Saves = true
		case chance(.2):
			st.Speculative = true
		}
		for d := range i {
			if chance(.6) {
				st.After = append(st.After, d)
			}
		}
		jb.body.Steps = append(jb.body.Steps, st)
	}
	for i, st := range jb.body.Steps {
		base := time.Duration(float64(st.Estimate)*(.6+.8*rng.Float64())) * time.Millisecond
		if st.Count == bigCount {
			base = 150 * time.Millisecond
		}
		if chance(.04) {
			base *= 6
		}
		var list []*task
		for k := range st.Count {
			t := &task{job: jb, step: st, stepNo: i, index: k, name: fmt.Sprintf("%s.0.%d.%d", id, i, k), duration: base, runs: map[*run]bool{}, progress: map[string]time.Duration{"": 0}}
			if chance(.02) {
				t.failRate = .5
			}
			list = append(list, t)
			jb.tasks[t.name] = t
		}
		jb.stepTasks = append(jb.stepTasks, list)
	}
	s.mutex.Lock()
	s.judge.jobs[id] = jb
	s.mutex.Unlock()
	return jb
}

type clientPlan struct {
	first, second, third    int
	cancelAfter, leaveAfter time.Duration
	limit                   int
}

func (s *site) send(client *http.Client, jb *job, plan clientPlan) {
	data, _ := json.Marshal(jb.body)
	path := fmt.Sprintf("/q%s/%s", jb.service[3:], jb.id)
	if plan.cancelAfter >= 0 {
		time.AfterFunc(plan.cancelAfter, func() { s.cancel(client, jb, path, plan) })
	}
	for n, index := range []int{plan.first, plan.second, plan.third} {
		if index < 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(plan.limit)*time.Millisecond+20*time.Millisecond)
		if n == 0 && plan.leaveAfter >= 0 {
			time.AfterFunc(plan.leaveAfter, cancel)
		}
		status, body := s.request(ctx, client, http.MethodPost, index, path, data, plan.limit)
		cancel()
		s.mutex.Lock()
		s.judge.answered(jb, status, body)
		gone := !jb.cancelledAt.IsZero()
		s.mutex.Unlock()
		if status != 0 && status != 502 && status != 504 || gone {
			return
		}
		time.Sleep(resend)
	}
}

func (s *site) cancel(client *http.Client, jb *job, path string, plan clientPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	status, body := s.request(ctx, client, http.MethodDelete, plan.second, path, nil, 4000)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.judge.note("cancel %s %d %s", jb.id, status, body)
	if status == 200 || status == 410 {
		jb.cancelledAt = time.Now()
	}
}

func (s *site) request(ctx context.Context, client *http.Client, method string, index int, path string, data []byte, limit int) (int, string) {
	instance := s.deployment.Instances[index]
	s.mutex.Lock()
	s.judge.note("%s %s to %s", method, path, instance.Name)
	s.mutex.Unlock()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+instance.IP+":"+rattansite.CallerPort+path, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit))
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// disturb plays disturbances until the end.
func (s *site) disturb(stop time.Time, trouble string, zones int, version *int) {
	d := rand.New(rand.NewPCG(rand.Uint64(), 2))
	pick := func(list ...string) string { return list[d.IntN(len(list))] }
	for time.Now().Before(stop.Add(-3 * time.Second)) {
		time.Sleep(time.Duration(200+d.IntN(1500)) * time.Millisecond)
		what := trouble
		if trouble == "all" {
			what = pick("kill", "freeze", "crash", "crash", "dark", "drain", "late", "lost", "store", "config", "silent", "compact", "term")
		}
		if trouble == "workers" {
			what = pick("crash", "dark", "late", "lost", "drain", "crash", "late")
		}
		if trouble == "homes" {
			what = pick("kill", "freeze", "term", "silent")
		}
		s.mutex.Lock()
		s.calmSince = time.Time{}
		s.judge.note("TROUBLE %s", what)
		s.mutex.Unlock()
		s.trouble(what, d, zones, version)
		s.mutex.Lock()
		s.calmSince = time.Now().Add(6 * time.Second)
		s.mutex.Unlock()
	}
}

func (s *site) trouble(what string, d *rand.Rand, zones int, version *int) {
	instance := s.deployment.Instances[d.IntN(len(s.deployment.Instances))]
	if d.IntN(3) > 0 {
		if home := s.deployment.Home(fmt.Sprintf("z%d", d.IntN(zones))); home != nil {
			instance = home
		}
	}
	s.mutex.Lock()
	var w *worker
	for range 20 {
		w = s.workers[d.IntN(len(s.workers))]
		if !w.gone && !w.down && !w.dark {
			break
		}
	}
	s.mutex.Unlock()
	span := func(lo, hi int) time.Duration { return time.Duration(lo+d.IntN(hi-lo)) * time.Millisecond }
	newKind := d.IntN(2) == 0
	kinds := []resources{{16000, 32768, 0}, {8000, 16384, 0}, {24000, 16384, 4}}
	capacity, label := kinds[d.IntN(3)], []string{"a", "b"}[d.IntN(2)]
	change := func(w *worker) {
		if newKind {
			w.capacity, w.labels[0] = capacity, label
		}
	}
	timed := func(length time.Duration, set func(w *worker), reset func(w *worker)) {
		for range 1 + d.IntN(3) {
			x := s.workers[d.IntN(len(s.workers))]
			s.mutex.Lock()
			set(x)
			s.mutex.Unlock()
			time.AfterFunc(length, func() { s.mutex.Lock(); reset(x); s.mutex.Unlock() })
		}
	}
	switch what {
	case "kill":
		instance.End(syscall.SIGKILL)
		time.AfterFunc(span(300, 3000), func() { _ = instance.Start() })
	case "term":
		go func() { instance.End(syscall.SIGTERM); _ = instance.Start() }()
	case "freeze":
		instance.Pause(span(300, 3500))
	case "crash":
		w.crash(false)
		time.AfterFunc(span(50, 3000), func() { w.back(change) })
	case "dark":
		w.crash(true)
		time.AfterFunc(span(100, 4000), func() { w.back(change) })
	case "drain":
		s.mutex.Lock()
		w.draining = true
		s.mutex.Unlock()
		w.writeEntry()
		time.AfterFunc(5*time.Second, func() { w.crash(false); w.back(change) })
	case "late":
		timed(span(1000, 5000), func(w *worker) { w.late = .1 }, func(w *worker) { w.late = 0 })
	case "lost":
		timed(span(1000, 5000), func(w *worker) { w.lost = .1 }, func(w *worker) { w.lost = 0 })
	case "silent":
		var number int64
		var a, b, c, e int64
		_, _ = fmt.Sscanf(instance.IP, "%d.%d.%d.%d", &a, &b, &c, &e)
		number = (c<<8 | e) % 4096
		timed(span(1000, 4000), func(w *worker) { w.silentTo = number }, func(w *worker) { w.silentTo = 0 })
	case "store":
		s.deployment.Store.SetOutage([]rattansite.Outage{rattansite.OutageRefusing, rattansite.OutageSilent, rattansite.OutageLosingResponses}[d.IntN(3)])
		time.AfterFunc(span(500, 4000), func() { s.deployment.Store.SetOutage(rattansite.OutageNone) })
	case "compact":
		s.deployment.Store.Compact()
	case "config":
		*version += 1 + d.IntN(5)
		s.putConfig(*version)
	}
}
