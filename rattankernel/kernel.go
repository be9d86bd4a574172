// Package rattankernel is the micro-kernel of an entry instance: services are
// registered under a name, find each other by name, and are started and
// stopped in order.
package rattankernel

import (
	"context"

	"github.com/juju/errors"
)

// Errors of the kernel.
const (
	ErrNoService = errors.ConstError("no such service")
	ErrDuplicate = errors.ConstError("service is registered twice")
	ErrWrongType = errors.ConstError("service has another type")
)

// Service is a part of an instance with a life of its own.
type Service interface {
	// Name is unique in a kernel and constant.
	Name() string
	// Start returns when the service is usable; it leaves loops running.
	Start(ctx context.Context) error
	// Stop ends the service gracefully until ctx ends.
	Stop(ctx context.Context) error
}

// Drainer is a service that has work in progress to finish before it stops.
type Drainer interface {
	// Drain takes no new work and returns when the work in progress has ended
	// or ctx ends. Other services are usable meanwhile.
	Drain(ctx context.Context) error
}

// Connector is a service that uses other services.
type Connector interface {
	// Connect finds the services that this one uses. It is called once, when all
	// services are registered and none is started.
	Connect(kernel *Kernel) error
}

// Kernel holds the services of one instance. It is safe for concurrent use
// once all services are registered.
type Kernel struct {
	services []Service
	byName   map[string]Service
	started  int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{byName: map[string]Service{}}
}

// Connect lets the services find each other, in the order of registration. The
// error names the service that lacks another one.
func (k *Kernel) Connect() error {
	for _, service := range k.services {
		connector, ok := service.(Connector)
		if !ok {
			continue
		}
		if err := connector.Connect(k); err != nil {
			return errors.Annotatef(err, "service %s", service.Name())
		}
	}
	return nil
}

// Drain drains the started services in reverse order of registration and
// returns the first error.
func (k *Kernel) Drain(ctx context.Context) error {
	var first error
	for i := k.started - 1; i >= 0; i-- {
		drainer, ok := k.services[i].(Drainer)
		if !ok {
			continue
		}
		if err := drainer.Drain(ctx); err != nil && first == nil {
			first = errors.Annotatef(err, "service %s", k.services[i].Name())
		}
	}
	return first
}

// Register adds a service. It returns ErrDuplicate for a name in use.
func (k *Kernel) Register(service Service) error {
	name := service.Name()
	if _, ok := k.byName[name]; ok {
		return errors.WithType(errors.Errorf("service %s", name), ErrDuplicate)
	}
	k.byName[name] = service
	k.services = append(k.services, service)
	return nil
}

// Start starts the services in the order of registration. When one fails, the
// ones started before are stopped and the error names the failed service.
func (k *Kernel) Start(ctx context.Context) error {
	for _, service := range k.services {
		if err := service.Start(ctx); err != nil {
			_ = k.Stop(ctx)
			return errors.Annotatef(err, "service %s", service.Name())
		}
		k.started++
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for ; k.started > 0; k.started-- {
		service := k.services[k.started-1]
		if err := service.Stop(ctx); err != nil && first == nil {
			first = errors.Annotatef(err, "service %s", service.Name())
		}
	}
	return first
}

// Need is a service that another one uses.
type Need func(k *Kernel) error

// DependsOn needs the service with the name and puts it into place, which is a
// pointer to a variable of the service's type or of an interface that it has.
func DependsOn[T any](name string, place *T) Need {
	return func(k *Kernel) error {
		found, err := Find[T](k, name)
		if err != nil {
			return err
		}
		*place = found
		return nil
	}
}

// Resolve meets all needs, or returns the first error.
func (k *Kernel) Resolve(needs ...Need) error {
	for _, need := range needs {
		if err := need(k); err != nil {
			return err
		}
	}
	return nil
}

// NoopLifecycle is embedded in services that only answer requests.
type NoopLifecycle struct{}

// Start does nothing.
func (NoopLifecycle) Start(context.Context) error { return nil }

// Stop does nothing.
func (NoopLifecycle) Stop(context.Context) error { return nil }

// Find returns the service with the name as a T. It returns ErrNoService or
// ErrWrongType.
func Find[T any](k *Kernel, name string) (T, error) {
	var none T
	service, ok := k.byName[name]
	if !ok {
		return none, errors.WithType(errors.Errorf("service %s", name), ErrNoService)
	}
	typed, ok := service.(T)
	if !ok {
		return none, errors.WithType(errors.Errorf("service %s is a %T", name, service), ErrWrongType)
	}
	return typed, nil
}
