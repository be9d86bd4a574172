package rattankernel

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

const errBroken = errors.ConstError("broken")

// recorded is a service that records its calls in the order of all services.
type recorded struct {
	name  string
	calls *[]string
	err   error
}

func (r *recorded) Name() string                { return r.name }
func (r *recorded) Start(context.Context) error { return r.call("start") }
func (r *recorded) Stop(context.Context) error  { return r.call("stop") }
func (r *recorded) Drain(context.Context) error { return r.call("drain") }

func (r *recorded) call(what string) error {
	*r.calls = append(*r.calls, what+" "+r.name)
	return r.err
}

// user is a service that uses another one through an interface.
type user struct {
	NoopLifecycle
	used interface{ Drain(context.Context) error }
}

func (*user) Name() string { return "User" }

func (u *user) Connect(kernel *Kernel) error {
	return kernel.Resolve(DependsOn("Used", &u.used))
}

// Guards against services that run before those they rely on, or longer.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	var calls []string
	kernel := New()
	for _, name := range []string{"A", "B"} {
		c.Assert(kernel.Register(&recorded{name: name, calls: &calls}), qt.IsNil)
	}
	c.Assert(kernel.Start(t.Context()), qt.IsNil)
	c.Assert(kernel.Drain(t.Context()), qt.IsNil)
	c.Assert(kernel.Stop(t.Context()), qt.IsNil)
	c.Assert(calls, qt.DeepEquals, []string{"start A", "start B", "drain B", "drain A", "stop B", "stop A"})
}

// Guards against services that go on after a failed start, and against a
// failure to stop one that keeps the others running.
func TestFailedStart(t *testing.T) {
	c := qt.New(t)
	var calls []string
	kernel := New()
	c.Assert(kernel.Register(&recorded{name: "A", calls: &calls}), qt.IsNil)
	c.Assert(kernel.Register(&recorded{name: "B", calls: &calls, err: errBroken}), qt.IsNil)
	err := kernel.Start(t.Context())
	c.Assert(err, qt.ErrorIs, errBroken)
	c.Assert(err, qt.ErrorMatches, "service B: broken")
	c.Assert(calls, qt.DeepEquals, []string{"start A", "start B", "stop A"})
}

// Guards against a service that is used although it is missing, has another
// type or hides another of its name.
func TestConnect(t *testing.T) {
	for _, test := range []struct {
		name     string
		services []Service
		want     error
	}{
		{"Found", []Service{&user{}, &recorded{name: "Used", calls: new([]string)}}, nil},
		{"Missing", []Service{&user{}, &recorded{name: "Other", calls: new([]string)}}, ErrNoService},
		{"Other type", []Service{&user{}, &passive{name: "Used"}}, ErrWrongType},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kernel := New()
			for _, service := range test.services {
				c.Assert(kernel.Register(service), qt.IsNil)
			}
			c.Assert(kernel.Register(&user{}), qt.ErrorIs, ErrDuplicate)
			err := kernel.Connect()
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				c.Assert(err, qt.ErrorMatches, "service User: .*")
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(test.services[0].(*user).used, qt.Equals, test.services[1])
		})
	}
}

// passive is a service without anything to drain.
type passive struct {
	NoopLifecycle
	name string
}

func (p *passive) Name() string { return p.name }
