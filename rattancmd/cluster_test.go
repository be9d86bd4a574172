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
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

const (
	startTimeout = 15 * time.Second
	// resolveBound is the target value of section 2: every job of a killed
	// instance is resolved within 3 s for a caller that asks again.
	resolveBound = 3 * time.Second
	// goodputBound is the target value for an outage of the platform, relative
	// to the time before.
	goodputBound = 0.99
	// faultWindowVariable is the length of the window over which goodput is
	// measured during a fault, for example 10m, which is the length that the
	// target value states. Windows longer than the default need a longer
	// -timeout.
	faultWindowVariable = "RATTAN_FAULT_WINDOW"
	defaultFaultWindow  = 4 * time.Second
	// maxBaseline bounds the time over which goodput is measured before the
	// fault.
	maxBaseline = time.Minute
)

// faultWindow returns the time over which goodput is measured during a fault.
func faultWindow(c *qt.C) time.Duration {
	text := os.Getenv(faultWindowVariable)
	if text == "" {
		return defaultFaultWindow
	}
	window, err := time.ParseDuration(text)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", faultWindowVariable))
	return window
}

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "rattanlever")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "rattanlever")
	build := exec.Command("go", "build", "-o", binary, "github.com/rattanlever/rattanlever")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one process of the program.
type process struct {
	name    string
	address string
	// file has the settings.
	file    string
	command *exec.Cmd
	// ended is closed when the process has ended; err is its error.
	ended  chan struct{}
	err    error
	output bytes.Buffer
}

// cluster is a set of entry processes of one availability zone. The platform
// and the targets are in the test's own process, where their faults and the
// log of starts are at hand.
type cluster struct {
	c         *qt.C
	directory string
	platform  *rattanstandin.Platform
	fleet     *rattanstandin.TargetFleet
	peers     []rattansettings.Peer
	entries   []*process
	reserved  []net.Listener
	history   *rattancheck.History
	transport *http.Transport
}

// Ports for processes are taken in turn below the range from which the system
// takes ports for outgoing connections and for listeners without a port, and
// below that of rattansystem, whose tests may run at the same time. No other
// test takes them between their reservation and their use.
const (
	leastPort = 10000
	portCount = 2000
)

// lastPort is the offset of the port that was tried last. It starts at random,
// so that test processes at the same time rarely try the same ports.
var lastPort atomic.Uint32

func init() {
	lastPort.Store(rand.Uint32N(portCount))
}

// reserve returns listeners at free ports. They are closed just before the
// process starts that listens there.
func reserve(count int) []net.Listener {
	var listeners []net.Listener
	for len(listeners) < count {
		port := leastPort + int(lastPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			listeners = append(listeners, listener)
		}
	}
	return listeners
}

// release closes a reserved listener and returns its address. The lock keeps
// out processes that a parallel test is just starting: until they run their own
// program they have a copy of the listener, which accepts connections and keeps
// the port in use.
func release(reserved net.Listener) string {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	_ = reserved.Close()
	return reserved.Addr().String()
}

// startCluster starts count entry processes, with addresses for spare more.
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
	made := &cluster{
		c:         c,
		directory: c.Mkdir(),
		platform:  platform,
		fleet:     fleet,
		reserved:  reserve(2 * (count + spare)),
		history:   rattancheck.NewHistory(),
		transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
	c.Cleanup(made.transport.CloseIdleConnections)
	c.Cleanup(func() {
		for _, reserved := range made.reserved {
			_ = reserved.Close()
		}
	})
	made.putDocument()
	for i := range count + spare {
		made.peers = append(made.peers, rattansettings.Peer{Name: made.entryName(i), AvailabilityZone: "buda", PeerAddress: made.reserved[2*i+1].Addr().String()})
	}
	for range count {
		made.startEntry()
	}
	for _, entry := range made.entries {
		made.waitReady(entry)
	}
	made.waitAgreement()
	return made
}

// waitAgreement waits until all instances issue keys for one home. Right after
// a cold start they may not know each other yet.
func (s *cluster) waitAgreement() {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		homes := map[rattanjob.Incarnation]bool{}
		for _, entry := range s.entries {
			keys, err := s.client(entry).Keys(context.Background(), 1)
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
			s.c.Fatalf("instances name several homes after %v: %v", startTimeout, homes)
		}
	}
}

// entryName returns a name that no other cluster has. An instance of another
// cluster that still contacts a port of a killed one could otherwise be taken
// for a later incarnation of an instance here.
func (s *cluster) entryName(number int) string {
	_, port, err := net.SplitHostPort(s.reserved[1].Addr().String())
	s.c.Assert(err, qt.IsNil)
	return fmt.Sprintf("buda-%s-entry-%d", port, number+1)
}

func (s *cluster) putDocument() {
	document := rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{"planner": {Description: "planner"}},
		JobKinds: map[string]rattanconfig.JobKind{
			"list": {Service: "planner", MaxTasks: 250, RunTime: rattanjson.Duration(100 * time.Millisecond), Deadline: rattanjson.Duration(20 * time.Second)},
		},
		Callers: map[string]rattanconfig.Caller{"app": {Weight: 1}},
	}
	value, err := json.Marshal(document)
	s.c.Assert(err, qt.IsNil)
	client := rattanplatform.New(rattanplatform.Options{Address: s.platform.Address()})
	defer client.Close()
	_, err = client.Put(context.Background(), rattanconfig.PlatformKey, value, rattanplatform.NoRevision, rattanplatform.NoLease)
	s.c.Assert(err, qt.IsNil)
}

// startEntry starts the next entry process from a generated settings file.
func (s *cluster) startEntry() *process {
	return s.startNamed(s.entryName(len(s.entries)))
}

// startNamed starts the next entry process with a name of choice.
func (s *cluster) startNamed(name string) *process {
	number := len(s.entries)
	settings := rattansettings.Default()
	settings.Name = name
	settings.AvailabilityZone = "buda"
	settings.CallerAddress = release(s.reserved[2*number])
	settings.PeerAddress = release(s.reserved[2*number+1])
	settings.PlatformAddress = s.platform.Address()
	settings.Peers = s.peers
	data, err := json.Marshal(settings)
	s.c.Assert(err, qt.IsNil)
	file := filepath.Join(s.directory, fmt.Sprintf("entry-%d.json", number))
	s.c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	entry := s.runEntry(settings.Name, settings.CallerAddress, file)
	s.entries = append(s.entries, entry)
	return entry
}

// runEntry starts an entry process with a settings file.
func (s *cluster) runEntry(name, address, file string) *process {
	entry := s.run(name, address, "entry", "--config", file)
	entry.file = file
	return entry
}

// run starts a process of the program and keeps its output.
func (s *cluster) run(name, address string, arguments ...string) *process {
	entry := &process{
		name:    name,
		address: address,
		command: exec.Command(binary, arguments...),
		ended:   make(chan struct{}),
	}
	entry.command.Stdout = &entry.output
	entry.command.Stderr = &entry.output
	s.c.Assert(entry.command.Start(), qt.IsNil)
	go func() {
		entry.err = entry.command.Wait()
		close(entry.ended)
	}()
	s.c.Cleanup(func() {
		_ = entry.command.Process.Kill()
		<-entry.ended
		if s.c.Failed() {
			s.c.Logf("%s: %s", entry.name, lastPart(entry.output.String()))
		}
	})
	return entry
}

func lastPart(text string) string {
	const most = 2000
	return text[max(0, len(text)-most):]
}

// health returns what the instance says of itself, or false.
func (s *cluster) health(entry *process) (health rattanentry.Health, ready bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.address+"/ready", nil)
	s.c.Assert(err, qt.IsNil)
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return health, false
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&health)
	return health, err == nil && response.StatusCode == http.StatusOK
}

func (s *cluster) waitReady(entry *process) {
	deadline := time.Now().Add(startTimeout)
	for {
		if _, ready := s.health(entry); ready {
			if _, err := s.client(entry).Keys(context.Background(), 1); err == nil {
				return
			}
		}
		select {
		case <-entry.ended:
			s.c.Fatalf("%s has ended: %v", entry.name, entry.err)
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			s.c.Fatalf("%s not ready after %v", entry.name, startTimeout)
		}
	}
}

func (s *cluster) client(entries ...*process) *rattanclient.Client {
	var addresses []string
	for _, entry := range entries {
		addresses = append(addresses, entry.address)
	}
	return rattanclient.New(rattanclient.Config{Addresses: addresses, Caller: "app", Transport: s.transport})
}

// home returns the process that a key names, and the others.
func (s *cluster) home(key rattanjob.Key) (home *process, others []*process) {
	for _, entry := range s.entries {
		if entry.name == key.Epoch.Home.Instance {
			home = entry
		} else {
			others = append(others, entry)
		}
	}
	s.c.Assert(home, qt.IsNotNil)
	return home, others
}

// keysOf gets a key from one process.
func (s *cluster) keysOf(entry *process) rattanjob.Key {
	keys, err := s.client(entry).Keys(context.Background(), 1)
	s.c.Assert(err, qt.IsNil)
	return keys[0]
}

// keys gets keys, asking again while no home is known.
func (s *cluster) keys(count int) []rattanjob.Key {
	client := s.client(s.entries...)
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		keys, err := client.Keys(context.Background(), count)
		if err == nil {
			return keys
		}
		if time.Now().After(deadline) {
			s.c.Fatalf("no keys after %v: %v", startTimeout, err)
		}
	}
}

// witnessedKeys returns keys of an epoch with witnesses. Only their votes prove
// that a silent home has lost its epoch; an epoch that was opened before any
// other instance was known has none.
func (s *cluster) witnessedKeys(count int) []rattanjob.Key {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		keys := s.keys(count)
		if len(keys[0].Witnesses) > 0 && len(keys[count-1].Witnesses) > 0 && keys[0].Epoch == keys[count-1].Epoch {
			return keys
		}
		if time.Now().After(deadline) {
			s.c.Fatalf("no epoch with witnesses after %v", startTimeout)
		}
	}
}

func (s *cluster) submission(key rattanjob.Key, tasks int, runTime time.Duration) rattanjob.Submission {
	made := rattanjob.Submission{Key: key, Kind: "list"}
	for i := range tasks {
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d"}`, runTime, key.ID(), i)
		made.Tasks = append(made.Tasks, rattanjob.Task{Payload: json.RawMessage(payload), RunTime: rattanjson.Duration(runTime)})
	}
	s.history.Submitted(made)
	return made
}

// submit sends the submission once and records the request.
func (s *cluster) submit(ctx context.Context, entry *process, sent rattanjob.Submission, wait time.Duration) (rattanjob.Answer, error) {
	asked := time.Now()
	answer, err := s.client(entry).Submit(ctx, sent, wait)
	s.history.Requested(rattancheck.Request{
		Operation: rattancheck.OperationSubmit, Key: sent.Key, BodyDigest: sent.Digest(), Instance: entry.name,
		SentAt: asked, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
	})
	return answer, err
}

// status asks once and records the request.
func (s *cluster) status(ctx context.Context, entry *process, key rattanjob.Key, wait time.Duration) (rattanjob.Answer, error) {
	asked := time.Now()
	answer, err := s.client(entry).Status(ctx, key, wait)
	s.history.Requested(rattancheck.Request{
		Operation: rattancheck.OperationStatus, Key: key, Instance: entry.name,
		SentAt: asked, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
	})
	return answer, err
}

// waitJobs waits until the instance has jobs in progress and their tasks have
// started.
func (s *cluster) waitJobs(entry *process, jobs int, starts uint64) {
	deadline := time.Now().Add(startTimeout)
	for {
		health, _ := s.health(entry)
		if health.Jobs >= jobs && s.fleet.Log().Starts() >= starts {
			return
		}
		if time.Now().After(deadline) {
			s.c.Fatalf("%s has %d jobs, %d tasks started", entry.name, health.Jobs, s.fleet.Log().Starts())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *cluster) checkHistory() {
	s.c.Helper()
	violations := map[rattancheck.Invariant]rattancheck.Violation{}
	for _, violation := range s.history.Check(s.fleet.Log().Counts()) {
		violations[violation.Invariant] = violation
	}
	s.c.Check(violations, qt.HasLen, 0, qt.Commentf("one of each invariant"))
	s.c.Check(s.fleet.Log().DoubleStarts(), qt.Equals, uint64(0))
}

func waitListening(c *qt.C, address string) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	c.Fatalf("nothing listens at %s", address)
}
