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

// TestKilledHomeJobsAreResolved guards against jobs of a killed instance that
// stay unresolved for more than 3 s for callers that retry, or that start again.
func TestKilledHomeJobsAreResolved(t *testing.T) {
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
		submission := cluster.newSubmission(key, 2, 10*time.Second)
		jobs.Go(func() {
			// A third of the callers are connected to the home itself.
			entry := home
			if i%3 != 0 {
				entry = others[i%len(others)]
			}
			answer, err := cluster.submit(ctx, entry, submission, 15*time.Second)
			for attempt := i; (err != nil || !answer.State.Final()) && ctx.Err() == nil; attempt++ {
				answer, err = cluster.submit(ctx, others[attempt%len(others)], submission, 15*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
			c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v, %v", answer, err))
			elapsed := time.Now().UnixNano() - killedAt.Load()
			for previous := longest.Load(); elapsed > previous; previous = longest.Load() {
				if longest.CompareAndSwap(previous, elapsed) {
					break
				}
			}
		})
	}
	cluster.waitJobsStarted(home, len(keys), uint64(2*len(keys)))
	killedAt.Store(time.Now().UnixNano())
	c.Assert(home.command.Process.Kill(), qt.IsNil)
	jobs.Wait()
	c.Logf("%d jobs of the killed home resolved after at most %v", len(keys), time.Duration(longest.Load()))
	c.Check(time.Duration(longest.Load()) <= maxResolveTime, qt.IsTrue)

	// Another member becomes the home, and new keys name it.
	var next rattanjob.Answer
	for ctx.Err() == nil && next.State != rattanjob.StateComplete {
		keys, err := cluster.client(others...).Keys(ctx, 1)
		if err == nil {
			next, _ = cluster.client(others...).SubmitAndWait(ctx, cluster.newSubmission(keys[0], 1, 10*time.Millisecond))
			cluster.history.Answered(keys[0], time.Now(), time.Now(), next)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Logf("the next home completed a job %v after the kill", time.Duration(time.Now().UnixNano()-killedAt.Load()))
	cluster.checkHistory()
}

// TestRestartedHomeJobsAreResolved guards against jobs that stay unresolved for
// more than 3 s when their home is killed and restarted at once. The address
// accepts connections again, so only the later incarnation proves that the former
// one has ended.
func TestRestartedHomeJobsAreResolved(t *testing.T) {
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
		submission := cluster.newSubmission(key, 2, 10*time.Second)
		jobs.Go(func() {
			var answer rattanjob.Answer
			for attempt := i; !answer.State.Final() && ctx.Err() == nil; attempt++ {
				// The restarted instance is among those that the caller tries.
				answer, _ = cluster.submit(ctx, cluster.entries[attempt%len(cluster.entries)], submission, 15*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
			c.Check(answer.Reason, qt.Equals, rattanjob.ReasonHomeLost, qt.Commentf("%+v", answer))
			mutex.Lock()
			defer mutex.Unlock()
			longest.Store(max(longest.Load(), time.Now().UnixNano()-restartedAt.Load()))
		})
	}
	cluster.waitJobsStarted(home, len(keys), uint64(2*len(keys)))
	restartedAt.Store(time.Now().UnixNano())
	c.Assert(home.command.Process.Kill(), qt.IsNil)
	<-home.ended
	restarted := cluster.runEntry(home.name, home.address, home.settingsFile)
	jobs.Wait()
	c.Logf("%d jobs of the former incarnation resolved after at most %v", len(keys), time.Duration(longest.Load()))
	c.Check(time.Duration(longest.Load()) <= maxResolveTime, qt.IsTrue)
	cluster.waitReady(restarted)
	answer, err := cluster.submit(ctx, others[0], cluster.newSubmission(cluster.keys(1)[0], 1, 10*time.Millisecond), 10*time.Second)
	c.Check(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	cluster.checkHistory()
}

// TestPausedHomeDoesNotContradictAnswers guards against a home that is paused for
// longer than its tenure and then contradicts earlier answers: after HomeLost,
// callers may only get HomeLost. Callers that retry must get a final answer for
// each job within 3 s of the pause.
func TestPausedHomeDoesNotContradictAnswers(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		pause time.Duration
	}{
		// The home resumes while its witnesses are voting.
		{"short", 1600 * time.Millisecond},
		{"long", 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checkPausedHome(qt.New(t), test.pause)
		})
	}
}

// checkPausedHome pauses the home of 30 jobs while callers request their status
// through all instances, and checks the answers.
func checkPausedHome(c *qt.C, pause time.Duration) {
	cluster := startCluster(c, 3, 0)
	keys := cluster.witnessedKeys(30)
	home, others := cluster.home(keys[0])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan struct{})
	var callers sync.WaitGroup
	var pausedAt, longest atomic.Int64
	var mutex sync.Mutex
	lost := map[rattanjob.Nonce]bool{}
	observe := func(key rattanjob.Key, answer rattanjob.Answer) {
		mutex.Lock()
		defer mutex.Unlock()
		if answer.Reason != rattanjob.ReasonHomeLost || lost[key.Nonce] {
			return
		}
		lost[key.Nonce] = true
		longest.Store(max(longest.Load(), time.Now().UnixNano()-pausedAt.Load()))
	}
	for i, key := range keys {
		// Some jobs would end before the pause, some during it and some after it.
		submission := cluster.newSubmission(key, 2, time.Duration(200+150*i)*time.Millisecond)
		callers.Go(func() { _, _ = cluster.submit(ctx, others[i%len(others)], submission, 0) })
		for _, entry := range cluster.entries {
			callers.Go(func() {
				for {
					requestCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
					answer, err := cluster.status(requestCtx, entry, key, 100*time.Millisecond)
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
	cluster.waitJobsStarted(home, 1, uint64(len(keys)))
	time.Sleep(500 * time.Millisecond)
	pausedAt.Store(time.Now().UnixNano())
	c.Assert(home.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(pause)
	c.Assert(home.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	time.Sleep(1500 * time.Millisecond)
	close(done)
	callers.Wait()
	c.Logf("%d of %d jobs lost, the last after %v; epoch %+v with witnesses %+v", len(lost), len(keys), time.Duration(longest.Load()), keys[0].Epoch, keys[0].Witnesses)
	c.Check(lost, qt.HasLen, len(keys))
	c.Check(time.Duration(longest.Load()) <= maxResolveTime, qt.IsTrue)
	cluster.checkHistory()
}

// TestTerminationFinishesRequests guards against requests in progress that a
// SIGTERM cuts off, at the home or at an instance whose forwarded request takes
// longer than the shutdown of its servers.
func TestTerminationFinishesRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	keys := cluster.keys(31)
	home, others := cluster.home(keys[0])
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var jobs sync.WaitGroup
	submit := func(entry *process, key rattanjob.Key, runTime time.Duration) {
		submission := cluster.newSubmission(key, 3, runTime)
		jobs.Go(func() {
			answer, err := cluster.submit(ctx, entry, submission, 20*time.Second)
			c.Check(err, qt.IsNil, qt.Commentf("through %s", entry.name))
			c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("through %s: %+v", entry.name, answer))
		})
	}
	for i, key := range keys[:30] {
		submit(cluster.entries[i%3], key, time.Duration(2000+50*i)*time.Millisecond)
	}
	submit(others[0], keys[30], 12*time.Second)
	cluster.waitJobsStarted(home, 1, uint64(3*len(keys)))
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

// TestTerminationUnderLoad guards against a shutdown that cuts off requests of
// callers that stop using the instance once it is not ready, as a load balancer
// does.
func TestTerminationUnderLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	home, others := cluster.home(cluster.keys(1)[0])
	terminated := others[0]
	var readyEntries atomic.Pointer[[]*process]
	readyEntries.Store(&cluster.entries)
	done := make(chan struct{})
	var callers sync.WaitGroup
	var complete, refused atomic.Int64
	for i := range 30 {
		callers.Go(func() {
			for attempt := i; ; attempt++ {
				select {
				case <-done:
					return
				default:
				}
				// The entry is chosen for each request, as a load balancer
				// does. On a busy machine, a single choice for both requests
				// could be older, when the second is sent, than the time for
				// which a terminating instance keeps serving after it is no
				// longer ready.
				chooseEntry := func() *process {
					entries := *readyEntries.Load()
					return entries[attempt%len(entries)]
				}
				keys, err := cluster.client(chooseEntry()).Keys(ctx, 1)
				if !c.Check(err, qt.IsNil) {
					return
				}
				answer, err := cluster.submit(ctx, chooseEntry(), cluster.newSubmission(keys[0], 1, 10*time.Millisecond), 5*time.Second)
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
	c.Assert(terminated.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	for ready := true; ready; time.Sleep(20 * time.Millisecond) {
		_, ready = cluster.health(terminated)
	}
	readyEntries.Store(&[]*process{home, others[1]})
	<-terminated.ended
	time.Sleep(200 * time.Millisecond)
	close(done)
	callers.Wait()
	c.Logf("%d jobs complete, %d refused without a start", complete.Load(), refused.Load())
	c.Check(terminated.err, qt.IsNil)
	cluster.checkHistory()
}

// TestStartDuringOutage guards against instances that depend on the platform to
// start. An instance that starts during an outage must get the configuration and
// the targets from its peers, and become the home when all others are killed.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 1)
	cluster.platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageClosed})
	startedAt := time.Now()
	added := cluster.startEntry()
	cluster.waitReady(added)
	health, _ := cluster.health(added)
	c.Check(health.Revision, qt.Equals, uint64(1))
	c.Logf("ready %v after the start", time.Since(startedAt))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	submission := cluster.newSubmission(cluster.keys(1)[0], 4, 10*time.Millisecond)
	answer, err := cluster.submit(ctx, added, submission, 10*time.Second)
	c.Check(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))

	for _, entry := range cluster.entries[:3] {
		c.Assert(entry.command.Process.Kill(), qt.IsNil)
	}
	var last rattanjob.Answer
	for ctx.Err() == nil && last.State != rattanjob.StateComplete {
		keys, err := cluster.client(added).Keys(ctx, 1)
		if err == nil {
			last, _ = cluster.submit(ctx, added, cluster.newSubmission(keys[0], 4, 10*time.Millisecond), 5*time.Second)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(last.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", last))
}

// TestPlatformOutageUnderLoad guards against an outage of the platform that
// reduces goodput to less than 99% of that before.
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
						submission := cluster.newSubmission(keys[0], 4, 30*time.Millisecond)
						sentAt := time.Now()
						answer, err := client.SubmitAndWait(ctx, submission)
						cluster.history.Answered(keys[0], sentAt, time.Now(), answer)
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
			c.Check(during >= minGoodputRatio*before, qt.IsTrue, qt.Commentf("goodput %.4f during the outage, %.4f before it", during, before))
			cluster.checkHistory()
		})
	}
}

// TestNameInUse guards against a second process of the same name that ends the
// epochs of the first one, against a replacement that does not start although the
// former incarnation has ended or is unresponsive, and against two processes that
// replace each other repeatedly.
func TestNameInUse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	cluster.reserved = append(cluster.reserved, reserveListeners(6)...)
	home, _ := cluster.home(cluster.keys(1)[0])
	checkEnded := func(entry *process) {
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
	checkEnded(second)
	c.Check(cluster.entries[0].output.String(), qt.Not(qt.Contains), "Superseded")
	c.Check(cluster.keyFrom(home).Epoch, qt.Equals, before)

	c.Assert(home.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	third := cluster.startNamed(home.name)
	cluster.waitReady(third)
	c.Assert(home.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	checkEnded(home)

	c.Assert(third.command.Process.Kill(), qt.IsNil)
	<-third.ended
	cluster.waitReady(cluster.startNamed(home.name))
}

// TestAllProcesses guards against stand-in commands and callers' commands that do
// not work together as separate processes. A job goes from the command line
// through the entry instance to a target and back.
func TestAllProcesses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	reserved := reserveListeners(3)
	cluster := &cluster{c: c, transport: &http.Transport{}, directory: c.Mkdir()}
	platform := releaseListener(reserved[0])
	cluster.run("platform", platform, "standin", "platform", "--address", platform, "--instance-list-lag", "0s")
	waitForListener(c, platform)
	cluster.run("targets", "", "standin", "target", "--count", strconv.Itoa(2), "--zone", "buda", "--service", "planner", "--platform", platform)
	document := filepath.Join(cluster.directory, "document.json")
	c.Assert(os.WriteFile(document, []byte(`{"Revision":1,"Services":{"planner":{}},"JobKinds":{"list":{"Service":"planner","MaxTasks":10,"RunTime":"10ms","Deadline":"5s"}},"Callers":{"app":{"Weight":1}}}`), 0o600), qt.IsNil)
	settings := rattansettings.Default()
	settings.Name = "buda-entry-1"
	settings.AvailabilityZone = "buda"
	settings.CallerAddress = releaseListener(reserved[1])
	settings.PeerAddress = releaseListener(reserved[2])
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
