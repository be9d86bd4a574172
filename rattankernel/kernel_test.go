package rattankernel

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

const errBroken = errors.ConstError("broken")

// recordingService appends its calls to a list that several services share.
type recordingService struct {
	name  string
	calls *[]string
	err   error
}

func (s *recordingService) Name() string                { return s.name }
func (s *recordingService) Start(context.Context) error { return s.recordCall("start") }
func (s *recordingService) Stop(context.Context) error  { return s.recordCall("stop") }
func (s *recordingService) Drain(context.Context) error { return s.recordCall("drain") }

func (s *recordingService) recordCall(method string) error {
	*s.calls = append(*s.calls, method+" "+s.name)
	return s.err
}

// dependentService uses another service through an interface.
type dependentService struct {
	NoopLifecycle
	dependency interface{ Drain(context.Context) error }
}

func (*dependentService) Name() string { return "User" }

func (s *dependentService) Connect(kernel *Kernel) error {
	return kernel.Resolve(DependsOn("Used", &s.dependency))
}

// TestLifecycleOrder guards against starting a service before the services that
// it depends on, and against stopping it after them.
func TestLifecycleOrder(t *testing.T) {
	c := qt.New(t)
	var calls []string
	kernel := New()
	for _, name := range []string{"A", "B"} {
		c.Assert(kernel.Register(&recordingService{name: name, calls: &calls}), qt.IsNil)
	}
	c.Assert(kernel.Start(t.Context()), qt.IsNil)
	c.Assert(kernel.Drain(t.Context()), qt.IsNil)
	c.Assert(kernel.Stop(t.Context()), qt.IsNil)
	c.Assert(calls, qt.DeepEquals, []string{"start A", "start B", "drain B", "drain A", "stop B", "stop A"})
}

// TestFailedStart guards against services that keep running after another one
// has failed to start.
func TestFailedStart(t *testing.T) {
	c := qt.New(t)
	var calls []string
	kernel := New()
	c.Assert(kernel.Register(&recordingService{name: "A", calls: &calls}), qt.IsNil)
	c.Assert(kernel.Register(&recordingService{name: "B", calls: &calls, err: errBroken}), qt.IsNil)
	err := kernel.Start(t.Context())
	c.Assert(err, qt.ErrorIs, errBroken)
	c.Assert(err, qt.ErrorMatches, "service B: broken")
	c.Assert(calls, qt.DeepEquals, []string{"start A", "start B", "stop A"})
}

// TestConnect guards against accepting a dependency that is missing or has the
// wrong type, and against registering two services under one name.
func TestConnect(t *testing.T) {
	for _, test := range []struct {
		name     string
		services []Service
		want     error
	}{
		{"Found", []Service{&dependentService{}, &recordingService{name: "Used", calls: new([]string)}}, nil},
		{"Missing", []Service{&dependentService{}, &recordingService{name: "Other", calls: new([]string)}}, ErrNoService},
		{"Other type", []Service{&dependentService{}, &plainService{name: "Used"}}, ErrWrongType},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kernel := New()
			for _, service := range test.services {
				c.Assert(kernel.Register(service), qt.IsNil)
			}
			c.Assert(kernel.Register(&dependentService{}), qt.ErrorIs, ErrDuplicate)
			err := kernel.Connect()
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				c.Assert(err, qt.ErrorMatches, "service User: .*")
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(test.services[0].(*dependentService).dependency, qt.Equals, test.services[1])
		})
	}
}

// plainService is a service without a Drain method.
type plainService struct {
	NoopLifecycle
	name string
}

func (s *plainService) Name() string { return s.name }
