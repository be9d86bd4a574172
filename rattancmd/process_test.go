package rattancmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

// Guards the target value for a killed instance: every job that it held is
// resolved within 3 s for a caller that asks again, and none starts again.
func TestKilledHomeIsResolved(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 4, 0)
	keys := cluster.keys(40)
	home, others := cluster.home(keys[0])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var killedAt atomic.Int64
	var longest atomic.Int64
	var jobs sync.WaitGroup
	for i, key := range keys {
		sent := cluster.submission(key, 2, 10*time.Second)
		jobs.Go(func() {
			// A third of the callers is connected to the home itself.
			entry := home
			if i%3 != 0 {
				entry = others[i%len(others)]
			}
			answer, err := cluster.submit(ctx, entry, sent, 15*time.Second)
			for try := i; (err != nil || !answer.State.Final()) && ctx.Err() == nil; try++ {
				answer, err = cluster.submit(ctx, others[try%len(others)], sent, 15*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
			c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v, %v", answer, err))
			took := time.Now().UnixNano() - killedAt.Load()
			for seen := longest.Load(); took > seen; seen = longest.Load() {
				if longest.CompareAndSwap(seen, took) {
					break
				}
			}
		})
	}
	cluster.waitJobs(home, len(keys), uint64(2*len(keys)))
	killedAt.Store(time.Now().UnixNano())
	c.Assert(home.command.Process.Kill(), qt.IsNil)
	jobs.Wait()
	c.Logf("%d jobs of the killed home resolved after at most %v", len(keys), time.Duration(longest.Load()))
	c.Check(time.Duration(longest.Load()) <= resolveBound, qt.IsTrue)

	// The next member serves: new keys name another home.
	var next rattanjob.Answer
	for ctx.Err() == nil && next.State != rattanjob.StateComplete {
		keys, err := cluster.client(others...).Keys(ctx, 1)
		if err == nil {
			next, _ = cluster.client(others...).SubmitAndWait(ctx, cluster.submission(keys[0], 1, 10*time.Millisecond))
			cluster.history.Answered(keys[0], time.Now(), time.Now(), next)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Logf("next home completes a job %v after the death", time.Duration(time.Now().UnixNano()-killedAt.Load()))
	cluster.checkHistory()
}

// Guards the target value for a home that is killed and started again at once:
// its address accepts connections, and the later incarnation proves that the
// former one has ended.
func TestRestartedHomeIsResolved(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	keys := cluster.keys(20)
	home, others := cluster.home(keys[0])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var restartedAt, longest atomic.Int64
	var mutex sync.Mutex
	var jobs sync.WaitGroup
	for i, key := range keys {
		sent := cluster.submission(key, 2, 10*time.Second)
		jobs.Go(func() {
			var answer rattanjob.Answer
			for try := i; !answer.State.Final() && ctx.Err() == nil; try++ {
				// The caller asks the restarted instance too.
				answer, _ = cluster.submit(ctx, cluster.entries[try%len(cluster.entries)], sent, 15*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
			c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v", answer))
			mutex.Lock()
			defer mutex.Unlock()
			longest.Store(max(longest.Load(), time.Now().UnixNano()-restartedAt.Load()))
		})
	}
	cluster.waitJobs(home, len(keys), uint64(2*len(keys)))
	restartedAt.Store(time.Now().UnixNano())
	c.Assert(home.command.Process.Kill(), qt.IsNil)
	<-home.ended
	again := cluster.runEntry(home.name, home.address, home.file)
	jobs.Wait()
	c.Logf("%d jobs of the former incarnation resolved after at most %v", len(keys), time.Duration(longest.Load()))
	c.Check(time.Duration(longest.Load()) <= resolveBound, qt.IsTrue)
	cluster.waitReady(again)
	answer, err := cluster.submit(ctx, others[0], cluster.submission(cluster.keys(1)[0], 1, 10*time.Millisecond), 10*time.Second)
	c.Check(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	cluster.checkHistory()
}

// Guards against a home that is paused for longer than its tenure and then
// contradicts what callers were told: nothing but HomeLost follows HomeLost.
// Each job is resolved within 3 s of the pause for a caller that asks again.
func TestPausedHomeDoesNotContradict(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		pause time.Duration
	}{
		// The home resumes while its witnesses vote.
		{"short", 1600 * time.Millisecond},
		{"long", 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			pauseHome(qt.New(t), test.pause)
		})
	}
}

// pauseHome pauses the home of 30 jobs while callers ask for them through all
// instances, and checks the answers.
func pauseHome(c *qt.C, pause time.Duration) {
	cluster := startCluster(c, 3, 0)
	keys := cluster.witnessedKeys(30)
	home, others := cluster.home(keys[0])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan struct{})
	var callers sync.WaitGroup
	var stoppedAt, longest atomic.Int64
	var mutex sync.Mutex
	lost := map[rattanjob.Nonce]bool{}
	observe := func(key rattanjob.Key, answer rattanjob.Answer) {
		mutex.Lock()
		defer mutex.Unlock()
		if answer.Reason != rattanjob.ReasonHomeLost || lost[key.Nonce] {
			return
		}
		lost[key.Nonce] = true
		longest.Store(max(longest.Load(), time.Now().UnixNano()-stoppedAt.Load()))
	}
	for i, key := range keys {
		// Some jobs end before the pause, some during it and some after it.
		sent := cluster.submission(key, 2, time.Duration(200+150*i)*time.Millisecond)
		callers.Go(func() { _, _ = cluster.submit(ctx, others[i%len(others)], sent, 0) })
		for _, entry := range cluster.entries {
			callers.Go(func() {
				for {
					asking, cancel := context.WithTimeout(ctx, 4*time.Second)
					answer, err := cluster.status(asking, entry, key, 100*time.Millisecond)
					cancel()
					if err == nil {
						observe(key, answer)
					}
					select {
					case <-done:
						return
					case <-time.After(150 * time.Millisecond):
					}
				}
			})
		}
	}
	cluster.waitJobs(home, 1, uint64(len(keys)))
	time.Sleep(500 * time.Millisecond)
	stoppedAt.Store(time.Now().UnixNano())
	c.Assert(home.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(pause)
	c.Assert(home.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	time.Sleep(1500 * time.Millisecond)
	close(done)
	callers.Wait()
	c.Logf("%d of %d jobs lost, the last after %v; epoch %+v with witnesses %+v", len(lost), len(keys), time.Duration(longest.Load()), keys[0].Epoch, keys[0].Witnesses)
	c.Check(lost, qt.HasLen, len(keys))
	c.Check(time.Duration(longest.Load()) <= resolveBound, qt.IsTrue)
	cluster.checkHistory()
}

// Guards I7: SIGTERM cuts no request in progress off, neither at the home nor
// at a front whose forwarded request takes longer than the stop of servers.
func TestTerminationFinishesRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	keys := cluster.keys(31)
	home, others := cluster.home(keys[0])
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var jobs sync.WaitGroup
	ask := func(entry *process, key rattanjob.Key, runTime time.Duration) {
		sent := cluster.submission(key, 3, runTime)
		jobs.Go(func() {
			answer, err := cluster.submit(ctx, entry, sent, 20*time.Second)
			c.Check(err, qt.IsNil, qt.Commentf("through %s", entry.name))
			c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("through %s: %+v", entry.name, answer))
		})
	}
	for i, key := range keys[:30] {
		ask(cluster.entries[i%3], key, time.Duration(2000+50*i)*time.Millisecond)
	}
	ask(others[0], keys[30], 12*time.Second)
	cluster.waitJobs(home, 1, uint64(3*len(keys)))
	for _, terminated := range []*process{others[0], home} {
		c.Assert(terminated.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	jobs.Wait()
	for _, terminated := range []*process{others[0], home} {
		select {
		case <-terminated.ended:
			c.Check(terminated.err, qt.IsNil, qt.Commentf("%s", terminated.name))
		case <-time.After(startTimeout):
			c.Errorf("%s has not ended", terminated.name)
		}
	}
	cluster.checkHistory()
}

// Guards I7 under load: callers that leave an instance when it is not ready, as
// the load balancer makes them, have no request cut off by its shutdown.
func TestTerminationUnderLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	home, others := cluster.home(cluster.keys(1)[0])
	left := others[0]
	var balanced atomic.Pointer[[]*process]
	balanced.Store(&cluster.entries)
	done := make(chan struct{})
	var callers sync.WaitGroup
	var complete, refused atomic.Int64
	for i := range 30 {
		callers.Go(func() {
			for try := i; ; try++ {
				select {
				case <-done:
					return
				default:
				}
				// A load balancer chooses for each request. A choice for both would
				// be older than leavePause on a busy machine.
				choose := func() *process {
					entries := *balanced.Load()
					return entries[try%len(entries)]
				}
				keys, err := cluster.client(choose()).Keys(ctx, 1)
				if !c.Check(err, qt.IsNil) {
					return
				}
				answer, err := cluster.submit(ctx, choose(), cluster.submission(keys[0], 1, 10*time.Millisecond), 5*time.Second)
				c.Check(err, qt.IsNil)
				switch {
				case answer.State == rattanjob.StateComplete:
					complete.Add(1)
				case answer.Execution == rattanjob.ExecutionNotRun:
					refused.Add(1)
				default:
					c.Errorf("%+v", answer)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	c.Assert(left.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	for ready := true; ready; time.Sleep(20 * time.Millisecond) {
		_, ready = cluster.health(left)
	}
	balanced.Store(&[]*process{home, others[1]})
	<-left.ended
	time.Sleep(200 * time.Millisecond)
	close(done)
	callers.Wait()
	c.Logf("%d jobs complete, %d refused without a start", complete.Load(), refused.Load())
	c.Check(left.err, qt.IsNil)
	cluster.checkHistory()
}

// Guards against instances that need the platform to start: one that starts
// during an outage gets the configuration and the targets from its peers, and
// serves as the home when the others have died.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 1)
	cluster.platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageClosed})
	began := time.Now()
	added := cluster.startEntry()
	cluster.waitReady(added)
	health, _ := cluster.health(added)
	c.Check(health.Revision, qt.Equals, uint64(1))
	c.Logf("ready %v after the start", time.Since(began))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	sent := cluster.submission(cluster.keys(1)[0], 4, 10*time.Millisecond)
	answer, err := cluster.submit(ctx, added, sent, 10*time.Second)
	c.Check(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))

	for _, entry := range cluster.entries[:3] {
		c.Assert(entry.command.Process.Kill(), qt.IsNil)
	}
	var last rattanjob.Answer
	for ctx.Err() == nil && last.State != rattanjob.StateComplete {
		keys, err := cluster.client(added).Keys(ctx, 1)
		if err == nil {
			last, _ = cluster.submit(ctx, added, cluster.submission(keys[0], 4, 10*time.Millisecond), 5*time.Second)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(last.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", last))
}

// Guards the target value for an outage of the platform: goodput is at least
// 99% of that before.
func TestPlatformOutageUnderLoad(t *testing.T) {
	for _, outage := range []rattanstandin.Outage{rattanstandin.OutageClosed, rattanstandin.OutageSilent} {
		t.Run(outage.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cluster := startCluster(c, 3, 0)
			const rate = 50
			window := faultWindow(c)
			ctx, cancel := context.WithTimeout(context.Background(), window+maxBaseline+30*time.Second)
			defer cancel()
			goodput := func(window time.Duration) float64 {
				var sent, complete atomic.Int64
				var jobs sync.WaitGroup
				ticker := time.NewTicker(time.Second / rate)
				defer ticker.Stop()
				client := cluster.client(cluster.entries...)
				for end := time.Now().Add(window); time.Now().Before(end); <-ticker.C {
					jobs.Go(func() {
						sent.Add(1)
						keys, err := client.Keys(ctx, 1)
						if err != nil {
							return
						}
						submission := cluster.submission(keys[0], 4, 30*time.Millisecond)
						asked := time.Now()
						answer, err := client.SubmitAndWait(ctx, submission)
						cluster.history.Answered(keys[0], asked, time.Now(), answer)
						if err == nil && answer.State == rattanjob.StateComplete {
							complete.Add(1)
						}
					})
				}
				jobs.Wait()
				c.Logf("%d of %d jobs complete in %v", complete.Load(), sent.Load(), window)
				return float64(complete.Load()) / float64(sent.Load())
			}
			before := goodput(min(window, maxBaseline))
			cluster.platform.SetFaults(rattanstandin.Faults{Outage: outage})
			during := goodput(window)
			cluster.platform.SetFaults(rattanstandin.Faults{})
			c.Check(during >= goodputBound*before, qt.IsTrue, qt.Commentf("goodput %.4f after %.4f", during, before))
			cluster.checkHistory()
		})
	}
}

// Guards against a second process of a name that ends the epochs of the first
// one, against a replacement that does not start although its former incarnation
// has ended or is silent, and against two processes that replace each other
// forever.
func TestNameInUse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	cluster.reserved = append(cluster.reserved, reserve(6)...)
	home, _ := cluster.home(cluster.keys(1)[0])
	ends := func(entry *process) {
		select {
		case <-entry.ended:
			c.Check(entry.err, qt.ErrorMatches, "exit status 1")
			c.Check(entry.output.String(), qt.Contains, "name in use")
		case <-time.After(startTimeout):
			c.Errorf("%s at %s has not ended", entry.name, entry.address)
		}
	}
	before := cluster.keys(1)[0].Epoch
	second := cluster.startNamed(home.name)
	ends(second)
	c.Check(cluster.entries[0].output.String(), qt.Not(qt.Contains), "Superseded")
	c.Check(cluster.keysOf(home).Epoch, qt.Equals, before)

	c.Assert(home.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	third := cluster.startNamed(home.name)
	cluster.waitReady(third)
	c.Assert(home.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	ends(home)

	c.Assert(third.command.Process.Kill(), qt.IsNil)
	<-third.ended
	cluster.waitReady(cluster.startNamed(home.name))
}

// Guards the stand-in commands and the callers' commands as processes: a job
// goes from the command line through the entry instance to a target and back.
func TestAllProcesses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	reserved := reserve(3)
	cluster := &cluster{c: c, transport: &http.Transport{}, directory: c.Mkdir()}
	platform := release(reserved[0])
	cluster.run("platform", platform, "standin", "platform", "--address", platform, "--instance-list-lag", "0s")
	waitListening(c, platform)
	cluster.run("targets", "", "standin", "target", "--count", strconv.Itoa(2), "--zone", "buda", "--service", "planner", "--platform", platform)
	document := filepath.Join(cluster.directory, "document.json")
	c.Assert(os.WriteFile(document, []byte(`{"Revision":1,"Services":{"planner":{}},"JobKinds":{"list":{"Service":"planner","MaxTasks":10,"RunTime":"10ms","Deadline":"5s"}},"Callers":{"app":{"Weight":1}}}`), 0o600), qt.IsNil)
	settings := rattansettings.Default()
	settings.Name = "buda-entry-1"
	settings.AvailabilityZone = "buda"
	settings.CallerAddress = release(reserved[1])
	settings.PeerAddress = release(reserved[2])
	settings.PlatformAddress = platform
	settings.Document = document
	data, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(cluster.directory, "entry.json")
	c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	entry := cluster.run(settings.Name, settings.CallerAddress, "entry", "--config", file)
	cluster.waitReady(entry)
	var output []byte
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		submit := exec.Command(binary, "job", "submit", "--entry", entry.address, "--caller", "app", "-")
		submit.Stdin = bytes.NewReader([]byte(`{"Kind":"list","Tasks":[{"Payload":"a"},{"Payload":"b"}]}`))
		output, err = submit.Output()
		if err == nil {
			break
		}
	}
	c.Assert(err, qt.IsNil)
	var answer rattanjob.Answer
	c.Assert(json.Unmarshal(output, &answer), qt.IsNil, qt.Commentf("%s", output))
	c.Assert(answer.State, qt.Equals, rattanjob.StateComplete)
	c.Assert(answer.Results, qt.HasLen, 2)
}
