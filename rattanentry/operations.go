package rattanentry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanmetric"
)

//go:generate go tool stringer -type=Condition -trimprefix=Condition

// cutOffAfter is how long the platform may be unreachable before the instance
// reports that it is cut off from the platform.
const cutOffAfter = 5 * time.Second

// notReadyDelay is the time that load balancers get to notice that the instance
// is not ready. A request that arrives while the listener closes is lost.
const notReadyDelay = 500 * time.Millisecond

// Condition is the state that an instance reports to the load balancer.
type Condition int

// The conditions of an instance. Serving and CutOff are ready.
const (
	// ConditionStarting means that there is no configuration, no instance list
	// or no home yet. If an instance without a list were ready and became the
	// home during an outage of the platform, it would refuse all jobs.
	ConditionStarting Condition = iota
	ConditionServing
	// ConditionCutOff means that the platform does not answer. Jobs are served
	// with the last known configuration and targets.
	ConditionCutOff
	ConditionDraining
)

// Health is the body of /health and /ready.
type Health struct {
	Condition        string
	Name             string
	AvailabilityZone string
	// Revision is the revision of the instance's active configuration.
	Revision uint64
	// Jobs is the number of active jobs at the instance.
	Jobs int
}

// OperationsConfig configures Operations. All fields are required. Connect sets
// Configuration, Inventory, Directory and Home.
type OperationsConfig struct {
	Name             string
	AvailabilityZone string
	Configuration    *Configuration
	Inventory        *Inventory
	Directory        Directory
	Home             *Home
	Metrics          *rattanmetric.Registry
}

// Operations serves health checks, metrics and the configuration to operators
// and load balancers.
type Operations struct {
	rattankernel.NoopLifecycle

	config   OperationsConfig
	draining atomic.Bool
}

// NewOperations returns the service for operators and load balancers.
func NewOperations(config OperationsConfig) *Operations {
	return &Operations{config: config}
}

// Condition returns the condition of the instance.
func (o *Operations) Condition(now time.Time) Condition {
	owned := len(o.config.Directory.Owners(now)) > 0
	switch {
	case o.draining.Load():
		return ConditionDraining
	case o.config.Configuration.Document().Revision == 0 || o.config.Inventory.ListReadAt().IsZero() || !owned:
		return ConditionStarting
	case now.Sub(o.config.Inventory.ListReadAt()) > cutOffAfter:
		return ConditionCutOff
	}
	return ConditionServing
}

// Connect resolves the services that the operations depend on.
func (o *Operations) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceConfiguration, &o.config.Configuration),
		rattankernel.DependsOn(serviceInventory, &o.config.Inventory),
		rattankernel.DependsOn(serviceMembership, &o.config.Directory),
		rattankernel.DependsOn(serviceHome, &o.config.Home),
	)
}

// Drain makes the instance not ready and waits for notReadyDelay while it still
// serves, so that the load balancer sends no new callers when the listener
// closes.
func (o *Operations) Drain(ctx context.Context) error {
	o.draining.Store(true)
	sleep(ctx, notReadyDelay)
	return nil
}

// Name returns the name of the service in the kernel.
func (o *Operations) Name() string {
	return serviceOperations
}

// Routes adds the routes for operators and load balancers to the server.
func (o *Operations) Routes(server *khttp.Server) {
	route := server.Route("/")
	route.GET("/health", o.health)
	route.GET("/ready", o.ready)
	route.GET("/metrics", o.metrics)
	route.GET("/v1/config", o.document)
}

func (o *Operations) describe(now time.Time) Health {
	return Health{
		Condition:        o.Condition(now).String(),
		Name:             o.config.Name,
		AvailabilityZone: o.config.AvailabilityZone,
		Revision:         o.config.Configuration.Document().Revision,
		Jobs:             o.config.Home.Jobs(),
	}
}

func (o *Operations) health(ctx khttp.Context) error {
	return ctx.JSON(http.StatusOK, o.describe(time.Now()))
}

func (o *Operations) ready(ctx khttp.Context) error {
	now := time.Now()
	switch o.Condition(now) {
	case ConditionServing, ConditionCutOff:
		return ctx.JSON(http.StatusOK, o.describe(now))
	}
	return ctx.JSON(http.StatusServiceUnavailable, o.describe(now))
}

func (o *Operations) metrics(ctx khttp.Context) error {
	ctx.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	ctx.Response().WriteHeader(http.StatusOK)
	o.config.Metrics.Write(ctx.Response())
	rattanmetric.WriteProcess(ctx.Response())
	return nil
}

func (o *Operations) document(ctx khttp.Context) error {
	if _, refusal := operatorName(ctx.Request()); refusal != nil {
		return respond(ctx, *refusal)
	}
	document := o.config.Configuration.Document()
	if document.Revision == 0 {
		return respond(ctx, rattanjob.UnknownAnswer(rattanjob.ReasonNotReady, "no configuration is known yet", retryAfterUnknown))
	}
	return ctx.JSON(http.StatusOK, document)
}
