package rattannode

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kratos/kratos/v2"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattankernel"
)

// maxStopTime is far above the bounds of the waits that are tested here, and far below
// the time for which a test without these bounds would run.
const maxStopTime = 10 * time.Second

// TestPlanShutdown guards against a process that is killed at the end of its grace
// period although each of its waits is bounded.
func TestPlanShutdown(t *testing.T) {
	// The bounds that follow the return of Run: that of the last log lines, and the
	// delays of a process that runs for 14.4 ms of each 100 ms.
	const logTime, standstill, standstills = 150 * time.Millisecond, 86 * time.Millisecond, 4
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	for _, grace := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		plan := planShutdown(now, grace)
		comment := qt.Commentf("%s: %v", grace, plan)
		c.Check(plan.ingressRemoved.Before(now), qt.IsFalse, comment)
		c.Check(plan.abort.Before(plan.ingressRemoved), qt.IsFalse, comment)
		c.Check(plan.exit.Before(plan.abort), qt.IsFalse, comment)
		c.Check(plan.exit.Before(now.Add(grace)), qt.IsTrue, comment)
	}
	plan := planShutdown(now, 6*time.Second)
	c.Check(plan.exit.Add(logTime+standstills*standstill).After(now.Add(6*time.Second)), qt.IsFalse)
	c.Check(plan.ingressRemoved.Sub(now), qt.Equals, ingressRemovalTime)
}

// blockedService is a service and a server that never stops.
type blockedService struct{ stopping chan struct{} }

func (blockedService) Name() string                { return "Blocked" }
func (blockedService) Start(context.Context) error { return nil }

func (s blockedService) Stop(context.Context) error {
	close(s.stopping)
	select {}
}

// TestServiceThatDoesNotStop guards against a service that delays the exit of the
// process, because it waits for a connection to another instance.
func TestServiceThatDoesNotStop(t *testing.T) {
	c := qt.New(t)
	node := newBlockedNode()
	service := blockedService{stopping: make(chan struct{})}
	c.Assert(node.kernel.Register(service), qt.IsNil)
	c.Assert(node.kernel.Start(context.Background()), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- node.stopKernel(context.Background()) }()
	<-service.stopping
	c.Check(endsInTime(c, ended), qt.IsNil)
}

// TestRunEndsBeforeGracePeriod guards against an application that has not stopped when
// the grace period ends.
func TestRunEndsBeforeGracePeriod(t *testing.T) {
	c := qt.New(t)
	node := newBlockedNode()
	server := blockedService{stopping: make(chan struct{})}
	node.app = kratos.New(kratos.Server(server))
	ended := make(chan error, 1)
	go func() { ended <- node.runApp() }()
	c.Assert(node.app.Stop(), qt.IsNil)
	<-server.stopping
	node.endRun()
	node.endRun()
	c.Check(endsInTime(c, ended), qt.IsNil)
}

// newBlockedNode returns a node without listeners and services.
func newBlockedNode() *Node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Node{config: Config{Logger: logger, Clock: time.Now}, kernel: rattankernel.New(), exitDue: make(chan struct{}, 1)}
}

func endsInTime(c *qt.C, ended <-chan error) error {
	select {
	case err := <-ended:
		return err
	case <-time.After(maxStopTime):
		c.Fatal("not ended")
		return nil
	}
}
