package rattanoverload

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

// testEvent checks the bounds of testMachine while a crowd sends requests to every
// instance and something happens meanwhile.
func testEvent(t *testing.T, event func(s *system, home *rattanprocess.Instance)) {
	s := startSystem(t, machineDescriptors)
	home := s.Home(zone)
	s.Assert(home, qt.IsNotNil)
	s.testMachine(crowd{callers: eventCallers, newCaller: mixedCaller(), at: s.Instances}, func() { event(s, home) })
}

const (
	// eventCallers is the number of callers, which are spread over all instances.
	eventCallers = 600
	// pauseTime is how long the process of the home is paused, outageTime how long the
	// store is away.
	pauseTime  = 2 * time.Second
	outageTime = 3 * time.Second
	// endTimeout is the time after which a process that has got SIGTERM counts as one
	// that hangs. The grace period of the settings is shorter.
	endTimeout = 30 * time.Second
)

// restart starts the process of an instance that has ended and waits until it is ready.
func (s *system) restart(instance *rattanprocess.Instance) {
	s.Assert(instance.Start(), qt.IsNil)
	s.Check(instance.WaitReady(http.DefaultClient, startTimeout), qt.IsNil)
}

// TestEventNone guards against a crowd at every instance at once.
func TestEventNone(t *testing.T) {
	testEvent(t, func(*system, *rattanprocess.Instance) {})
}

// TestEventTakeover guards against a crowd that goes on while a home is lost and another
// instance takes over.
func TestEventTakeover(t *testing.T) {
	testEvent(t, func(s *system, home *rattanprocess.Instance) {
		home.End(syscall.SIGKILL)
		time.Sleep(overloadTime)
		s.restart(home)
	})
}

// TestEventTermination guards against a process that does not end after SIGTERM while a
// crowd sends requests to it.
func TestEventTermination(t *testing.T) {
	testEvent(t, func(s *system, home *rattanprocess.Instance) {
		s.Check(home.Signal(syscall.SIGTERM), qt.IsNil)
		select {
		case <-home.Ended():
		case <-time.After(endTimeout):
			s.Errorf("%s has not ended %v after SIGTERM", home.Name, endTimeout)
			home.End(syscall.SIGKILL)
		}
		s.restart(home)
	})
}

// TestEventDesiredState guards against a change of the desired state during a crowd.
func TestEventDesiredState(t *testing.T) {
	testEvent(t, func(s *system, _ *rattanprocess.Instance) {
		s.Check(s.Store.PutDesiredState(desiredState(2)), qt.IsNil)
		time.Sleep(overloadTime)
	})
}

// TestEventPause guards against what gathers in sockets while the home is paused.
func TestEventPause(t *testing.T) {
	testEvent(t, func(_ *system, home *rattanprocess.Instance) {
		home.Pause(pauseTime)
		time.Sleep(pauseTime + overloadTime)
	})
}

// TestEventOutage guards against a store that is silent during a crowd.
func TestEventOutage(t *testing.T) {
	testEvent(t, func(s *system, _ *rattanprocess.Instance) {
		s.Store.SetOutage(rattansite.OutageSilent)
		time.Sleep(outageTime)
		s.Store.SetOutage(rattansite.OutageNone)
	})
}
