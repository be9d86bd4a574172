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

// system is a deployment of two instances in one zone.
type system struct {
	*qt.C
	*rattanprocess.Deployment
}

// startSystem starts the processes, whose settings state the number of descriptors,
// and waits until they are ready.
func startSystem(t *testing.T, descriptors int) *system {
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
	c.Assert(deployment.Store.PutDesiredState(rattansite.DesiredState{
		Version: 1, Service: rattanprocess.Service, Host: rattanprocess.Host, Prefixes: []string{rattanprocess.Prefix}, MaxBodyBytes: maxBodyBytes,
	}), qt.IsNil)
	for i := range targetCount {
		_, err := deployment.AddTarget(rattansite.TargetConfig{ID: fmt.Sprintf("i-%d", i), Zone: zone, MilliCPU: 32000, MemoryMB: 4096})
		c.Assert(err, qt.IsNil)
	}
	for i := range instanceCount {
		instance, err := deployment.AddInstance(rattansite.InstanceSettings{
			Name: fmt.Sprintf("front-a-%d", i+1), Zone: zone, MemoryMB: machineMB, MaxDescriptors: descriptors,
		})
		c.Assert(err, qt.IsNil)
		c.Assert(instance.Start(), qt.IsNil)
	}
	for _, instance := range deployment.Instances {
		c.Assert(instance.WaitReady(http.DefaultClient, startTimeout), qt.IsNil)
	}
	return &system{c, deployment}
}
