package rattancmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

const (
	startTimeout = 15 * time.Second
	// maxResolveTime is the required limit: a caller that retries gets a final
	// answer for every job of a killed instance within 3 s.
	maxResolveTime = 3 * time.Second
	// minGoodputRatio is the goodput that is required during an outage of the
	// platform, relative to the goodput before it.
	minGoodputRatio = 0.99
	// faultWindowEnv is the environment variable with the length of the window
	// over which goodput is measured during a fault. The requirement states 10m;
	// windows longer than the default need a longer -timeout.
	faultWindowEnv     = "RATTAN_FAULT_WINDOW"
	defaultFaultWindow = 4 * time.Second
	// maxBaseline limits the time over which goodput is measured before the
	// fault.
	maxBaseline = time.Minute
)

// faultWindow returns the time over which goodput is measured during a fault.
func faultWindow(c *qt.C) time.Duration {
	text := os.Getenv(faultWindowEnv)
	if text == "" {
		return defaultFaultWindow
	}
	window, err := time.ParseDuration(text)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", faultWindowEnv))
	return window
}

// binary is the path of the program under test, which is built once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(rattanprocess.BuildAndRun(&binary, m.Run))
}

// process is a running process of the program.
type process struct {
	name    string
	address string
	// settingsFile is the path of the settings file.
	settingsFile string
	command      *exec.Cmd
	// ended is closed when the process has ended; err is then its exit error.
	ended  chan struct{}
	err    error
	output bytes.Buffer
}

// cluster is a set of entry processes of one availability zone. The platform and
// the targets run in the test process, so that the test can inject faults and
// read the log of task starts.
type cluster struct {
	c         *qt.C
	directory string
	platform  *rattanstandin.Platform
	fleet     *rattanstandin.TargetFleet
	peers     []rattansettings.Peer
	entries   []*process
	// reserved holds two listeners for each process, which reserve its ports for
	// callers and peers until the process starts.
	reserved  []net.Listener
	history   *rattancheck.History
	transport *http.Transport
}

// Ports for processes are allocated round-robin from a range below the ephemeral
// ports of the operating system and below the range of the rattansystem tests,
// which may run at the same time. No other test takes them between their
// reservation and their use.
const (
	minPort   = 10000
	portCount = 2000
)

// lastPortOffset is the offset of the port that was tried last. It starts at a
// random value, so that concurrent test processes rarely try the same ports.
var lastPortOffset atomic.Uint32

func init() {
	lastPortOffset.Store(rand.Uint32N(portCount))
}

// reserveListeners returns listeners on free ports. Each is closed just before
// the process that will listen on its port starts.
func reserveListeners(count int) []net.Listener {
	var listeners []net.Listener
	for len(listeners) < count {
		port := minPort + int(lastPortOffset.Add(1)%portCount)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			listeners = append(listeners, listener)
		}
	}
	return listeners
}

// releaseListener closes a reserved listener and returns its address. It holds
// the fork lock, because a process that a parallel test is forking has a copy of
// the listener until its exec, and that copy accepts connections and keeps the
// port in use.
func releaseListener(listener net.Listener) string {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	_ = listener.Close()
	return listener.Addr().String()
}

// startCluster starts count entry processes and waits until they are ready. It
// also reserves the addresses of spare processes that the test starts later.
func startCluster(c *qt.C, count, spare int) *cluster {
	platform, err := rattanstandin.NewPlatform(rattanstandin.PlatformOptions{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(platform.Close)
	fleet, err := rattanstandin.NewTargetFleet(rattanstandin.TargetFleetOptions{
		Count: 8, AvailabilityZone: "buda", Service: "planner",
		Target: rattanstandin.TargetOptions{Slots: 16, Echo: true},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Close)
	platform.SetInstances(fleet.Instances()...)
	cluster := &cluster{
		c:         c,
		directory: c.Mkdir(),
		platform:  platform,
		fleet:     fleet,
		reserved:  reserveListeners(2 * (count + spare)),
		history:   rattancheck.NewHistory(),
		transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
	c.Cleanup(cluster.transport.CloseIdleConnections)
	c.Cleanup(func() {
		for _, listener := range cluster.reserved {
			_ = listener.Close()
		}
	})
	cluster.putDocument()
	for i := range count + spare {
		cluster.peers = append(cluster.peers, rattansettings.Peer{Name: cluster.entryName(i), AvailabilityZone: "buda", PeerAddress: cluster.reserved[2*i+1].Addr().String()})
	}
	for range count {
		cluster.startEntry()
	}
	for _, entry := range cluster.entries {
		cluster.waitReady(entry)
	}
	cluster.waitSingleHome()
	return cluster
}

// waitSingleHome waits until all instances issue keys for the same home. Right
// after a cold start they may not know each other yet.
func (cl *cluster) waitSingleHome() {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		homes := map[rattanjob.Incarnation]bool{}
		for _, entry := range cl.entries {
			keys, err := cl.client(entry).Keys(context.Background(), 1)
			if err != nil {
				homes[rattanjob.Incarnation{}] = true
				continue
			}
			homes[keys[0].Epoch.Home] = true
		}
		if len(homes) == 1 {
			return
		}
		if time.Now().After(deadline) {
			cl.c.Fatalf("instances issue keys for several homes after %v: %v", startTimeout, homes)
		}
	}
}

// entryName returns a name that is unique among all clusters. Otherwise, an
// instance of another cluster that still contacts the port of a killed process
// could be taken for a later incarnation of an instance of this cluster.
func (cl *cluster) entryName(index int) string {
	_, port, err := net.SplitHostPort(cl.reserved[1].Addr().String())
	cl.c.Assert(err, qt.IsNil)
	return fmt.Sprintf("buda-%s-entry-%d", port, index+1)
}

// putDocument writes the configuration document to the platform.
func (cl *cluster) putDocument() {
	document := rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{"planner": {Description: "planner"}},
		JobKinds: map[string]rattanconfig.JobKind{
			"list": {Service: "planner", MaxTasks: 250, RunTime: rattanjson.Duration(100 * time.Millisecond), Deadline: rattanjson.Duration(20 * time.Second)},
		},
		Callers: map[string]rattanconfig.Caller{"app": {Weight: 1}},
	}
	value, err := json.Marshal(document)
	cl.c.Assert(err, qt.IsNil)
	client := rattanplatform.New(rattanplatform.Options{Address: cl.platform.Address()})
	defer client.Close()
	_, err = client.Put(context.Background(), rattanconfig.PlatformKey, value, rattanplatform.NoRevision, rattanplatform.NoLease)
	cl.c.Assert(err, qt.IsNil)
}

// startEntry starts the next entry process with a generated settings file.
func (cl *cluster) startEntry() *process {
	return cl.startNamed(cl.entryName(len(cl.entries)))
}

// startNamed starts the next entry process under the given name.
func (cl *cluster) startNamed(name string) *process {
	index := len(cl.entries)
	settings := rattansettings.Default()
	settings.Name = name
	settings.AvailabilityZone = "buda"
	settings.CallerAddress = releaseListener(cl.reserved[2*index])
	settings.PeerAddress = releaseListener(cl.reserved[2*index+1])
	settings.PlatformAddress = cl.platform.Address()
	settings.Peers = cl.peers
	data, err := json.Marshal(settings)
	cl.c.Assert(err, qt.IsNil)
	file := filepath.Join(cl.directory, fmt.Sprintf("entry-%d.json", index))
	cl.c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	entry := cl.runEntry(settings.Name, settings.CallerAddress, file)
	cl.entries = append(cl.entries, entry)
	return entry
}

// runEntry starts an entry process with a settings file.
func (cl *cluster) runEntry(name, address, file string) *process {
	entry := cl.run(name, address, "entry", "--config", file)
	entry.settingsFile = file
	return entry
}

// run starts a process of the program and captures its output, which is logged if
// the test fails.
func (cl *cluster) run(name, address string, arguments ...string) *process {
	started := &process{
		name:    name,
		address: address,
		command: exec.Command(binary, arguments...),
		ended:   make(chan struct{}),
	}
	started.command.Stdout = &started.output
	started.command.Stderr = &started.output
	cl.c.Assert(started.command.Start(), qt.IsNil)
	go func() {
		started.err = started.command.Wait()
		close(started.ended)
	}()
	cl.c.Cleanup(func() {
		_ = started.command.Process.Kill()
		<-started.ended
		if cl.c.Failed() {
			cl.c.Logf("%s: %s", started.name, rattanprocess.Tail(started.output.String()))
		}
	})
	return started
}

// health returns the health that the instance reports, and whether it is ready.
func (cl *cluster) health(entry *process) (health rattanentry.Health, ready bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.address+"/ready", nil)
	cl.c.Assert(err, qt.IsNil)
	response, err := cl.transport.RoundTrip(request)
	if err != nil {
		return health, false
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&health)
	return health, err == nil && response.StatusCode == http.StatusOK
}

func (cl *cluster) waitReady(entry *process) {
	deadline := time.Now().Add(startTimeout)
	for {
		if _, ready := cl.health(entry); ready {
			if _, err := cl.client(entry).Keys(context.Background(), 1); err == nil {
				return
			}
		}
		select {
		case <-entry.ended:
			cl.c.Fatalf("%s has ended: %v", entry.name, entry.err)
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			cl.c.Fatalf("%s not ready after %v", entry.name, startTimeout)
		}
	}
}

func (cl *cluster) client(entries ...*process) *rattanclient.Client {
	var addresses []string
	for _, entry := range entries {
		addresses = append(addresses, entry.address)
	}
	return rattanclient.New(rattanclient.Config{Addresses: addresses, Caller: "app", Transport: cl.transport})
}

// home returns the process that is the home of a key, and the other processes.
func (cl *cluster) home(key rattanjob.Key) (home *process, others []*process) {
	for _, entry := range cl.entries {
		if entry.name == key.Epoch.Home.Instance {
			home = entry
		} else {
			others = append(others, entry)
		}
	}
	cl.c.Assert(home, qt.IsNotNil)
	return home, others
}

// keyFrom gets a key from the given process.
func (cl *cluster) keyFrom(entry *process) rattanjob.Key {
	keys, err := cl.client(entry).Keys(context.Background(), 1)
	cl.c.Assert(err, qt.IsNil)
	return keys[0]
}

// keys gets keys from any process and retries while no home is known.
func (cl *cluster) keys(count int) []rattanjob.Key {
	client := cl.client(cl.entries...)
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		keys, err := client.Keys(context.Background(), count)
		if err == nil {
			return keys
		}
		if time.Now().After(deadline) {
			cl.c.Fatalf("no keys after %v: %v", startTimeout, err)
		}
	}
}

// witnessedKeys returns keys of an epoch that has witnesses. Only the votes of
// witnesses prove that an unresponsive home has lost its epoch, and an epoch that
// was opened before any other instance was known has none.
func (cl *cluster) witnessedKeys(count int) []rattanjob.Key {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		keys := cl.keys(count)
		if len(keys[0].Witnesses) > 0 && len(keys[count-1].Witnesses) > 0 && keys[0].Epoch == keys[count-1].Epoch {
			return keys
		}
		if time.Now().After(deadline) {
			cl.c.Fatalf("no epoch with witnesses after %v", startTimeout)
		}
	}
}

// newSubmission makes a submission and records it in the history.
func (cl *cluster) newSubmission(key rattanjob.Key, tasks int, runTime time.Duration) rattanjob.Submission {
	submission := rattanjob.Submission{Key: key, Kind: "list"}
	for i := range tasks {
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d"}`, runTime, key.ID(), i)
		submission.Tasks = append(submission.Tasks, rattanjob.Task{Payload: json.RawMessage(payload), RunTime: rattanjson.Duration(runTime)})
	}
	cl.history.Submitted(submission)
	return submission
}

// submit sends the submission once and records the request.
func (cl *cluster) submit(ctx context.Context, entry *process, submission rattanjob.Submission, wait time.Duration) (rattanjob.Answer, error) {
	sentAt := time.Now()
	answer, err := cl.client(entry).Submit(ctx, submission, wait)
	cl.history.Requested(rattancheck.Request{
		Operation: rattancheck.OperationSubmit, Key: submission.Key, BodyDigest: submission.Digest(), Instance: entry.name,
		SentAt: sentAt, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
	})
	return answer, err
}

// status requests the status of a key once and records the request.
func (cl *cluster) status(ctx context.Context, entry *process, key rattanjob.Key, wait time.Duration) (rattanjob.Answer, error) {
	sentAt := time.Now()
	answer, err := cl.client(entry).Status(ctx, key, wait)
	cl.history.Requested(rattancheck.Request{
		Operation: rattancheck.OperationStatus, Key: key, Instance: entry.name,
		SentAt: sentAt, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
	})
	return answer, err
}

// waitJobsStarted waits until the instance has at least the given number of jobs
// in progress and the targets have started the given number of tasks.
func (cl *cluster) waitJobsStarted(entry *process, jobs int, starts uint64) {
	deadline := time.Now().Add(startTimeout)
	for {
		health, _ := cl.health(entry)
		if health.Jobs >= jobs && cl.fleet.Log().Starts() >= starts {
			return
		}
		if time.Now().After(deadline) {
			cl.c.Fatalf("%s has %d jobs, %d tasks started", entry.name, health.Jobs, cl.fleet.Log().Starts())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkHistory checks the recorded requests and answers against the invariants.
func (cl *cluster) checkHistory() {
	cl.c.Helper()
	violationByInvariant := map[rattancheck.Invariant]rattancheck.Violation{}
	for _, violation := range cl.history.Check(cl.fleet.Log().StartsPerTask()) {
		violationByInvariant[violation.Invariant] = violation
	}
	cl.c.Check(violationByInvariant, qt.HasLen, 0, qt.Commentf("one violation per invariant is shown"))
	cl.c.Check(cl.fleet.Log().DoubleStarts(), qt.Equals, uint64(0))
}

func waitForListener(c *qt.C, address string) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	c.Fatalf("nothing listens on %s", address)
}
