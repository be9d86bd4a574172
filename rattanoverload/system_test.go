package rattanoverload

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

// runVariable is the environment variable that enables the tests of this package
// when it is not empty.
const runVariable = "RATTAN_OVERLOAD"

const (
	instanceCount = 2
	targetCount   = 2
	zone          = "a"
	startTimeout  = 20 * time.Second
)

// binary is the path of the program under test, which is built once.
var binary string

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) == "" {
		os.Exit(m.Run())
	}
	os.Exit(rattanprocess.BuildAndRun(&binary, m.Run))
}

// system is a deployment with two instances and two targets in each zone.
type system struct {
	*qt.C
	*rattanprocess.Deployment
}

// desiredState returns the desired state in a version.
func desiredState(version int) rattansite.DesiredState {
	return rattansite.DesiredState{
		Version: version, Service: rattanprocess.Service, Host: rattanprocess.Host, Prefixes: []string{rattanprocess.Prefix}, MaxBodyBytes: maxBodyBytes,
	}
}

// startSystem starts the processes of one zone; see startZones.
func startSystem(t *testing.T, descriptors int) *system {
	return startZones(t, descriptors, zone)
}

// startZones starts the processes, whose settings state the number of descriptors, and
// waits until they are ready.
func startZones(t *testing.T, descriptors int, zones ...string) *system {
	if os.Getenv(runVariable) == "" {
		t.Skipf("measures memory of processes and runs apart from other tests: set %s=1 (see .ci/run)", runVariable)
	}
	c := qt.New(t)
	deployment, err := rattanprocess.NewDeployment(binary, t.TempDir())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		deployment.Close()
		deployment.Report(c)
	})
	s := &system{c, deployment}
	c.Assert(deployment.Store.PutDesiredState(desiredState(1)), qt.IsNil)
	for _, name := range zones {
		s.addZone(name, descriptors)
	}
	s.awaitReady()
	return s
}

// addZone adds the targets of a zone and starts its instances.
func (s *system) addZone(name string, descriptors int) {
	for i := range targetCount {
		_, err := s.AddTarget(rattansite.TargetConfig{ID: fmt.Sprintf("i-%s-%d", name, i), Zone: name, MilliCPU: 32000, MemoryMB: 4096})
		s.Assert(err, qt.IsNil)
	}
	for i := range instanceCount {
		s.addInstance(fmt.Sprintf("front-%s-%d", name, i+1), name, descriptors)
	}
}

// addInstance starts an instance.
func (s *system) addInstance(name, inZone string, descriptors int) {
	instance, err := s.AddInstance(rattansite.InstanceSettings{Name: name, Zone: inZone, MemoryMB: machineMB, MaxDescriptors: descriptors})
	s.Assert(err, qt.IsNil)
	s.Assert(instance.Start(), qt.IsNil)
}

// awaitReady waits until all instances are ready.
func (s *system) awaitReady() {
	for _, instance := range s.Instances {
		s.Assert(instance.WaitReady(http.DefaultClient, startTimeout), qt.IsNil)
	}
}
