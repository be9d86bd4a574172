package rattanoverload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattansite"
)

// runVariable is the environment variable that enables the tests of this package
// when it is not empty.
const runVariable = "RATTAN_OVERLOAD"

const (
	instanceCount = 2
	targetCount   = 2
	service       = "service"
	host          = "queue.example"
	prefix        = "/queue/"
	startTimeout  = 20 * time.Second
)

// binary is the path of the program under test, which is built once.
var binary string

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) == "" {
		os.Exit(m.Run())
	}
	directory, err := os.MkdirTemp("", "rattanoverload")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "rattanlever")
	build := exec.Command("go", "build", "-o", binary, "github.com/rattanlever/rattanlever")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// limits are the limits of a machine in its settings file.
type limits struct {
	memoryMB    int
	descriptors int
}

// system consists of two processes of the program in one zone, and of stand-ins
// for the platform and the targets in the test process.
type system struct {
	*qt.C
	limits    limits
	store     *rattansite.Store
	checker   *rattansite.InvariantChecker
	targets   []*rattansite.Target
	instances []*instance
}

// instance is a process of the program.
type instance struct {
	name    string
	ip      string
	command *exec.Cmd
	output  lockedBuffer
	ended   chan struct{}
}

// lockedBuffer is a buffer for the output of a process, which the test reads.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// startSystem starts the processes with the limits and waits until they are ready.
func startSystem(t *testing.T, limits limits) *system {
	if os.Getenv(runVariable) == "" {
		t.Skipf("measures memory of processes and runs apart from other tests: set %s=1 (see .ci/run)", runVariable)
	}
	c := qt.New(t)
	store, err := rattansite.NewStore()
	c.Assert(err, qt.IsNil)
	s := &system{C: c, limits: limits, store: store, checker: rattansite.NewInvariantChecker()}
	t.Cleanup(s.close)
	c.Assert(store.PutDesiredState(rattansite.DesiredState{
		Version: 1, Service: service, Host: host, Prefixes: []string{prefix}, MaxBodyBytes: maxBodyBytes,
	}), qt.IsNil)
	for i := range targetCount {
		target, err := rattansite.NewTarget(rattansite.TargetConfig{
			ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "a", Labels: []string{"a", "r1-1"}, MilliCPU: 32000, MemoryMB: 4096,
			Store: store, Checker: s.checker, Heartbeat: 500 * time.Millisecond,
		})
		c.Assert(err, qt.IsNil)
		s.targets = append(s.targets, target)
	}
	network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	directory := t.TempDir()
	for i := range instanceCount {
		s.startInstance(directory, fmt.Sprintf("front-a-%d", i+1), fmt.Sprintf("%s%d", network, 10+i))
	}
	for _, instance := range s.instances {
		s.waitReady(instance)
	}
	return s
}

func (s *system) startInstance(directory, name, ip string) {
	settings := rattansite.InstanceSettings{Name: name, IP: ip, Zone: "a", MemoryMB: s.limits.memoryMB, MaxDescriptors: s.limits.descriptors}
	for _, other := range s.instances {
		settings.SeedIPs = append(settings.SeedIPs, other.ip)
	}
	var err error
	settings.StoreAddress, err = s.store.Listen()
	s.Assert(err, qt.IsNil)
	data, err := settings.File()
	s.Assert(err, qt.IsNil)
	path := filepath.Join(directory, name+".json")
	s.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	instance := &instance{name: name, ip: ip, command: exec.Command(binary, "serve"), ended: make(chan struct{})}
	instance.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	instance.command.Stdout = &instance.output
	instance.command.Stderr = &instance.output
	s.Assert(instance.command.Start(), qt.IsNil)
	go func() {
		_ = instance.command.Wait()
		close(instance.ended)
	}()
	s.instances = append(s.instances, instance)
}

func (s *system) close() {
	for _, instance := range s.instances {
		_ = instance.command.Process.Signal(syscall.SIGKILL)
		<-instance.ended
	}
	for _, target := range s.targets {
		target.Close()
	}
	s.store.Close()
	for _, violation := range s.checker.Violations() {
		s.Errorf("invariant violated: %s", violation)
	}
	if s.Failed() {
		for _, instance := range s.instances {
			output := instance.output.String()
			s.Logf("%s: %s", instance.name, output[max(0, len(output)-2000):])
		}
	}
}

func (s *system) waitReady(instance *instance) {
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := http.Get("http://" + instance.ip + ":" + rattansite.ReadinessPort + platform.ReadyPath)
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

// home returns the home of the zone according to the log lines.
func (s *system) home() *instance {
	// Log lines reach the output with a delay.
	time.Sleep(300 * time.Millisecond)
	name, latestFence := "", 0.0
	for _, instance := range s.instances {
		for line := range strings.Lines(instance.output.String()) {
			var entry struct {
				Message, Home string
				Fence         float64
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "home changed" && entry.Fence > latestFence {
				name, latestFence = entry.Home, entry.Fence
			}
		}
	}
	for _, instance := range s.instances {
		if instance.name == name {
			return instance
		}
	}
	s.Fatalf("no instance is home")
	return nil
}

// alive reports whether the process has not ended.
func (i *instance) alive() bool {
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}
