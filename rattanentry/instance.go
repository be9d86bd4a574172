package rattanentry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanburn"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattankeys"
	"github.com/rattanlever/rattanlever/rattanledger"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanplan"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanspread"
	"github.com/rattanlever/rattanlever/rattantarget"
	"github.com/rattanlever/rattanlever/rattantrace"
)

// ErrSuperseded says that the other members consider this incarnation dead. The
// instance must be restarted.
const ErrSuperseded = errors.ConstError("incarnation superseded")

// shutdownTimeout bounds a graceful shutdown apart from the drain of jobs. It
// covers the longest wait of a request that was forwarded to another home,
// because a shutdown does not interrupt requests in progress.
const shutdownTimeout = maxWait + 2*forwardMargin

// Config configures an Instance.
type Config struct {
	Settings rattansettings.Settings
	Logger   *logrus.Logger
	// NewScheduler returns the scheduler of the pool; nil means a
	// rattanpool.Scheduler.
	NewScheduler func() Scheduler
	// Runner runs tasks on targets; nil means the HTTP client.
	Runner TaskRunner
	// CallerListener and PeerListener replace the listeners at the addresses in
	// the settings if they are set.
	CallerListener net.Listener
	PeerListener   net.Listener
	// DialPeer opens connections to other instances; nil means plain TCP.
	DialPeer rattanpeer.DialFunc
	// Platform is the platform's client; nil means one for the address in the
	// settings.
	Platform *rattanplatform.Client
}

// Instance is an entry instance: its kernel, its services and its servers.
type Instance struct {
	Metrics       *rattanmetric.Registry
	Configuration *Configuration
	Frontend      *Frontend
	Home          *Home
	Inventory     *Inventory
	// Keyring is nil without TLS.
	Keyring      *Keyring
	LoadExchange *LoadExchange
	Membership   *Membership
	Node         *rattanpeer.Node
	Operations   *Operations
	Plans        *Plans
	Recorder     *JobRecorder
	Borrower     *Borrower
	Platform     *rattanplatform.Client

	config       Config
	kernel       *rattankernel.Kernel
	burnCounters *rattanburn.Counters
	server       *khttp.Server
	app          *kratos.App
	superseded   atomic.Bool
	// stopError is the error because of which the instance stops itself, if
	// any.
	stopError atomic.Pointer[error]
	drained   atomic.Bool
}

// New returns an instance with open listeners. Run starts it.
func New(config Config) (*Instance, error) {
	if err := openListeners(&config); err != nil {
		return nil, err
	}
	settings := config.Settings
	if config.Platform == nil {
		config.Platform = rattanplatform.New(rattanplatform.Options{Address: settings.PlatformAddress})
	}
	if config.Runner == nil {
		config.Runner = rattantarget.New(rattantarget.Options{})
	}
	if config.NewScheduler == nil {
		config.NewScheduler = func() Scheduler { return rattanpool.New(rattanpool.Config{}) }
	}
	instance := &Instance{config: config, Metrics: rattanmetric.New(), kernel: rattankernel.New(), Platform: config.Platform}
	node := rattanpeer.Config{Name: settings.Name, Listener: config.PeerListener, Dial: config.DialPeer}
	if !settings.Keys.Empty() {
		store, err := rattankeys.Open(time.Now(), rattankeys.Options{Keys: settings.Keys})
		if err != nil {
			return nil, errors.Annotate(err, "Keys")
		}
		instance.Keyring = &Keyring{store: store, logger: config.Logger}
		node.Listener = instance.Keyring.peerListener(config.PeerListener)
		node.Dial = instance.Keyring.dialPeer(config.DialPeer)
		node.PeerName = peerName
	}
	instance.Node = rattanpeer.New(node)
	if err := instance.buildServices(); err != nil {
		return nil, err
	}
	return instance, nil
}

// CallerAddress returns the address at which callers and operators are served.
func (i *Instance) CallerAddress() string {
	return i.config.CallerListener.Addr().String()
}

// Kill ends the instance at once, as if its process had died: it closes the
// listeners and connections and finishes nothing that is in progress.
func (i *Instance) Kill() {
	_ = i.server.Close()
	_ = i.config.CallerListener.Close()
	i.Home.kill()
	_ = i.Membership.Stop(context.Background())
	_ = i.Node.Stop(context.Background())
	_ = i.Inventory.Stop(context.Background())
	_ = i.Configuration.Stop(context.Background())
}

// Run serves until ctx ends or the process receives SIGINT or SIGTERM. It then
// shuts down gracefully: it accepts no new work, finishes the active jobs and
// answers their callers.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	removeCallback := context.AfterFunc(ctx, func() { _ = i.app.Stop() })
	defer removeCallback()
	if err := i.app.Run(); err != nil {
		return errors.Annotatef(err, "instance %s", i.config.Settings.Name)
	}
	if stopError := i.stopError.Load(); stopError != nil {
		return errors.Annotatef(*stopError, "instance %s", i.config.Settings.Name)
	}
	if i.superseded.Load() {
		return ErrSuperseded
	}
	return nil
}

// openListeners opens the listeners that config does not provide and sets the
// addresses in the settings to the actual ones.
func openListeners(config *Config) error {
	var err error
	if config.PeerListener == nil {
		if config.PeerListener, err = net.Listen("tcp", config.Settings.PeerAddress); err != nil {
			return errors.Annotate(err, "PeerAddress")
		}
	}
	if config.CallerListener == nil {
		if config.CallerListener, err = net.Listen("tcp", config.Settings.CallerAddress); err != nil {
			return errors.Annotate(err, "CallerAddress")
		}
	}
	config.Settings.PeerAddress = config.PeerListener.Addr().String()
	config.Settings.CallerAddress = config.CallerListener.Addr().String()
	return nil
}

// buildServices creates the services and the server, and connects the services
// through the kernel.
func (i *Instance) buildServices() error {
	settings := i.config.Settings
	initial, err := initialDocument(settings.Document)
	if err != nil {
		return errors.Annotate(err, "Document")
	}
	now := time.Now()
	i.Configuration = NewConfiguration(ConfigurationConfig{
		Platform:    i.Platform,
		Logger:      i.config.Logger,
		Initial:     initial,
		Watches:     func(now time.Time) bool { return i.Inventory.Watches(now) },
		OnInstalled: i.onConfiguration,
	})
	i.Membership = NewMembership(now, MembershipConfig{
		Settings:      settings,
		Incarnation:   uint64(now.UnixMilli()),
		Logger:        i.config.Logger,
		OnEpochOpened: i.onEpochOpened,
		OnEpochFenced: func(now time.Time, epoch rattanjob.EpochID) { i.Home.Fence(now, epoch) },
		EpochEmpty:    func(epoch rattanjob.EpochID) bool { return i.Home.EpochEmpty(epoch) },
		OnSuperseded:  i.supersede,
		OnNameInUse:   i.stopWithError,
		Payload:       i.heartbeatPayload,
		OnPayload:     i.handlePayload,
	})
	i.burnCounters = rattanburn.New()
	i.Recorder = NewJobRecorder(JobRecorderConfig{BurnCounters: i.burnCounters, Tracer: rattantrace.New(rattantrace.Options{})})
	i.Home = NewHome(HomeConfig{
		Scheduler:    i.config.NewScheduler(),
		Ledger:       newLedger(settings.Home),
		Runner:       i.config.Runner,
		Metrics:      i.Metrics,
		DrainTimeout: settings.Home.DrainTimeout.Std(),
	})
	i.Inventory = NewInventory(InventoryConfig{
		Platform:         i.Platform,
		AvailabilityZone: settings.AvailabilityZone,
		PoolSlots:        settings.Home.PoolSlots,
		Logger:           i.config.Logger,
		OnInstalled:      i.Membership.Observe,
		OnChanged:        i.notifyPeers,
	})
	i.Frontend = NewFrontend(FrontendConfig{
		Instance:    settings.Name,
		Incarnation: uint64(now.UnixMilli()),
		Metrics:     i.Metrics,
	})
	i.LoadExchange = NewLoadExchange(LoadExchangeConfig{
		Instance:         settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Incarnation:      uint64(now.UnixMilli()),
		LocalLoad:        i.localLoad,
	})
	i.Borrower = NewBorrower(BorrowerConfig{Instance: settings.Name})
	i.Plans = NewPlans(PlansConfig{Store: i.Platform, CollectStatus: i.collectStatus, Logger: i.config.Logger})
	i.Operations = NewOperations(OperationsConfig{
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Metrics:          i.Metrics,
	})
	i.registerMetrics()
	if err := i.register(); err != nil {
		return err
	}
	i.buildServer()
	return nil
}

// register registers the services in the order of their start and connects
// them. They drain in reverse order: the instance first becomes not ready, then
// gives up its pool, and then finishes its jobs.
func (i *Instance) register() error {
	services := []rattankernel.Service{
		i.Node, i.Recorder, i.Home, i.Membership, i.Configuration, i.Inventory, i.LoadExchange, i.Borrower, i.Frontend, i.Plans, i.Operations,
	}
	if i.Keyring != nil {
		services = append(services, i.Keyring)
	}
	for _, service := range services {
		if err := i.kernel.Register(service); err != nil {
			return errors.Trace(err)
		}
	}
	return i.kernel.Connect()
}

// buildServer registers the handlers of requests from other instances and
// creates the server for callers and operators.
func (i *Instance) buildServer() {
	i.Frontend.Handle(i.Node)
	i.Membership.Handle(i.Node)
	i.Configuration.Handle(i.Node)
	i.Inventory.Handle(i.Node)
	i.Node.Handle(methodNotify, i.handleNotification)
	i.LoadExchange.Handle(i.Node)
	i.Recorder.Handle(i.Node)
	i.Borrower.Handle(i.Node)
	options := []khttp.ServerOption{
		khttp.Listener(i.config.CallerListener),
		khttp.Timeout(0),
		khttp.Filter(i.Operations.closeWhenDraining),
		khttp.NotFoundHandler(unknownRouteHandler(http.StatusNotFound)),
		khttp.MethodNotAllowedHandler(unknownRouteHandler(http.StatusMethodNotAllowed)),
	}
	if i.Keyring != nil {
		options = append(options, khttp.TLSConfig(i.Keyring.callerTLSConfig()))
	}
	i.server = khttp.NewServer(options...)
	i.Frontend.Routes(i.server)
	i.Operations.Routes(i.server)
	i.Plans.Routes(i.server)
	i.Recorder.Routes(i.server)
	i.app = kratos.New(
		kratos.Name(i.config.Settings.Name),
		kratos.Signal(syscall.SIGINT, syscall.SIGTERM),
		kratos.StopTimeout(shutdownTimeout),
		kratos.Server(i.server),
		kratos.BeforeStart(i.kernel.Start),
		kratos.BeforeStop(i.kernel.Drain),
		kratos.AfterStop(i.kernel.Stop),
	)
}

// onConfiguration passes a document that became active to the services.
func (i *Instance) onConfiguration(document *rattanconfig.Document) {
	now := time.Now()
	i.Home.SetCallers(now, i.LoadExchange.Callers(now, document))
	i.burnCounters.SetObjectives(now, *document)
	i.applyDrain(document)
	i.notifyPeers()
	i.Inventory.Apply(now)
}

// onEpochOpened prepares the home for a new epoch: it opens the epoch in the
// ledger and sets the targets of the pool, which may be another pool than
// before.
func (i *Instance) onEpochOpened(now time.Time, epoch rattanjob.EpochID, start time.Time) {
	i.Home.OpenEpoch(now, epoch, start)
	i.Inventory.Apply(now)
}

// applyDrain takes this instance out of use when an operator drains it. An
// instance that is put back into use restarts as a new incarnation.
func (i *Instance) applyDrain(document *rattanconfig.Document) {
	_, drained := document.Drains[i.config.Settings.Name]
	switch {
	case drained && i.drained.CompareAndSwap(false, true):
		i.config.Logger.WithField("Revision", document.Revision).Info("drained by an operator")
		_ = i.Operations.Drain(context.Background())
		go func() { _ = i.Membership.Drain(context.Background()) }()
	case !drained && i.drained.Load():
		i.supersede()
	}
}

// localLoad returns the load of this instance.
func (i *Instance) localLoad(now time.Time) HomeLoad {
	load := i.Home.Load(now)
	load.Instance = i.config.Settings.Name
	load.AvailabilityZone = i.config.Settings.AvailabilityZone
	load.Revision = i.Configuration.Document().Revision
	return load
}

// collectStatus totals the loads of all instances for a plan.
func (i *Instance) collectStatus(ctx context.Context, now time.Time) rattanplan.ClusterStatus {
	status := rattanplan.ClusterStatus{
		ServiceSlots: map[string]int{},
		Targets:      map[string]rattanplan.Target{},
		Instances:    map[string]rattanplan.Instance{},
		Callers:      map[string]rattanplan.Usage{},
	}
	for _, load := range i.LoadExchange.Collect(ctx, now) {
		status.Slots += load.Pool.Slots
		status.BusySlots += load.Pool.BusySlots
		status.Backlog += rattanjson.Duration(load.Pool.Backlog)
		for service, slots := range load.ServiceSlots {
			status.ServiceSlots[service] += slots
		}
		for caller, slots := range load.Pool.CallerSlots {
			usage := status.Callers[caller]
			usage.Slots += slots
			status.Callers[caller] = usage
		}
		status.Instances[load.Instance] = rattanplan.Instance{AvailabilityZone: load.AvailabilityZone, Revision: load.Revision, Jobs: load.Jobs}
	}
	for _, instance := range i.Inventory.Instances() {
		if instance.Role == rattanplatform.RoleTarget {
			status.Targets[instance.Name] = rattanplan.Target{AvailabilityZone: instance.AvailabilityZone, Service: instance.Service, Slots: instance.Slots}
		}
	}
	return status
}

// heartbeatPayload returns the payload of heartbeats and notifications: the
// revision of the configuration and the version of the instance list.
func (i *Instance) heartbeatPayload() []byte {
	payload := rattanspread.HeartbeatPayload{Revision: i.Configuration.Document().Revision, AvailabilityZone: i.config.Settings.AvailabilityZone}
	if hash, readAt := i.Inventory.Version(); !readAt.IsZero() {
		payload.ListHash = hash
		payload.ListAge = rattanjson.Duration(time.Since(readAt))
	}
	encoded, err := json.Marshal(payload)
	if err != nil {
		return nil
	}
	return encoded
}

// handlePayload handles the payload of a peer's heartbeat or notification.
func (i *Instance) handlePayload(address string, payload []byte) {
	var decoded rattanspread.HeartbeatPayload
	if json.Unmarshal(payload, &decoded) != nil {
		return
	}
	i.Configuration.OfferRevision(address, decoded.Revision)
	if decoded.ListHash != 0 && decoded.AvailabilityZone == i.config.Settings.AvailabilityZone {
		i.Inventory.OfferList(address, decoded.ListHash, time.Now().Add(-decoded.ListAge.Std()))
	}
}

// stopWithError stops the instance with an error.
func (i *Instance) stopWithError(err error) {
	if i.stopError.CompareAndSwap(nil, &err) {
		go func() { _ = i.app.Stop() }()
	}
}

// supersede stops the instance because it must restart as a new incarnation.
func (i *Instance) supersede() {
	if i.superseded.CompareAndSwap(false, true) {
		go func() { _ = i.app.Stop() }()
	}
}

// initialDocument reads the initial document from a file. It returns nil if the
// path is empty.
func initialDocument(path string) (*rattanconfig.Document, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	document, err := rattanconfig.Parse(data)
	if err != nil {
		return nil, errors.Annotate(err, path)
	}
	return &document, nil
}

func newLedger(settings rattansettings.Home) *rattanledger.Ledger {
	return rattanledger.New(rattanledger.Config{
		KeyLifetime:     settings.KeyLifetime.Std(),
		Retention:       settings.Retention.Std(),
		AnswerRetention: settings.AnswerRetention.Std(),
		MaxRecords:      settings.MaxRecords,
		MaxAnswerBytes:  settings.MaxAnswerBytes,
	})
}
