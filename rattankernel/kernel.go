// Package rattankernel is the service container of an instance: services are
// registered by name, look up the services that they use, and are started and
// stopped in order.
package rattankernel

import (
	"context"

	"github.com/juju/errors"
)

// Errors of the kernel.
const (
	ErrNoService = errors.ConstError("no such service")
	ErrDuplicate = errors.ConstError("service already registered")
	ErrWrongType = errors.ConstError("service has a different type")
)

// Service is a component of an instance that is started and stopped.
type Service interface {
	// Name returns a constant name that is unique in the kernel.
	Name() string
	// Start returns when the service is usable. Background goroutines keep
	// running until Stop.
	Start(ctx context.Context) error
	// Stop stops the service gracefully, within the lifetime of ctx.
	Stop(ctx context.Context) error
}

// Drainer is a service that finishes its work in progress before it stops.
type Drainer interface {
	// Drain rejects new work and returns when the work in progress has finished
	// or ctx ends. Other services remain usable meanwhile.
	Drain(ctx context.Context) error
}

// Connector is a service that uses other services.
type Connector interface {
	// Connect looks up the services that this one uses. It is called once, after
	// all services are registered and before any is started.
	Connect(kernel *Kernel) error
}

// Kernel holds the services of one instance. It is safe for concurrent use
// once all services are registered.
type Kernel struct {
	services     []Service
	byName       map[string]Service
	startedCount int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{byName: map[string]Service{}}
}

// Connect calls Connect on each service that is a Connector, in the order of
// registration. The error names the service whose dependencies are not met.
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
	var firstErr error
	for i := k.startedCount - 1; i >= 0; i-- {
		drainer, ok := k.services[i].(Drainer)
		if !ok {
			continue
		}
		if err := drainer.Drain(ctx); err != nil && firstErr == nil {
			firstErr = errors.Annotatef(err, "service %s", k.services[i].Name())
		}
	}
	return firstErr
}

// Register adds a service. It returns ErrDuplicate if the name is in use.
func (k *Kernel) Register(service Service) error {
	name := service.Name()
	if _, ok := k.byName[name]; ok {
		return errors.WithType(errors.Errorf("service %s is already registered", name), ErrDuplicate)
	}
	k.byName[name] = service
	k.services = append(k.services, service)
	return nil
}

// Start starts the services in the order of registration. If one fails, the
// services that were started before it are stopped and the error names the
// failed service.
func (k *Kernel) Start(ctx context.Context) error {
	for _, service := range k.services {
		if err := service.Start(ctx); err != nil {
			_ = k.Stop(ctx)
			return errors.Annotatef(err, "service %s", service.Name())
		}
		k.startedCount++
	}
	return nil
}

// Stop stops the started services in reverse order of registration and returns
// the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var firstErr error
	for ; k.startedCount > 0; k.startedCount-- {
		service := k.services[k.startedCount-1]
		if err := service.Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.Annotatef(err, "service %s", service.Name())
		}
	}
	return firstErr
}

// Dependency looks up one service that another service uses.
type Dependency func(k *Kernel) error

// DependsOn returns a dependency on the service with the name. Resolving it
// stores the service in destination, a variable of the service's type or of an
// interface that the service implements.
func DependsOn[T any](name string, destination *T) Dependency {
	return func(k *Kernel) error {
		found, err := Find[T](k, name)
		if err != nil {
			return err
		}
		*destination = found
		return nil
	}
}

// Resolve resolves the dependencies in order and returns the first error.
func (k *Kernel) Resolve(dependencies ...Dependency) error {
	for _, resolve := range dependencies {
		if err := resolve(k); err != nil {
			return err
		}
	}
	return nil
}

// NoopLifecycle provides a Start and a Stop that do nothing. It is embedded in
// services that only respond to calls and have no background goroutines.
type NoopLifecycle struct{}

// Start does nothing.
func (NoopLifecycle) Start(context.Context) error { return nil }

// Stop does nothing.
func (NoopLifecycle) Stop(context.Context) error { return nil }

// Find returns the service with the name as a T. It returns ErrNoService if
// there is none, and ErrWrongType if the service is not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	service, ok := k.byName[name]
	if !ok {
		return zero, errors.WithType(errors.Errorf("service %s is not registered", name), ErrNoService)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, errors.WithType(errors.Errorf("service %s has an unexpected type %T", name, service), ErrWrongType)
	}
	return typed, nil
}
