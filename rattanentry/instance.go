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

// ErrSuperseded says that the others take this incarnation for dead; the
// instance must be started anew.
const ErrSuperseded = errors.ConstError("incarnation superseded")

// stopTimeoutTotal bounds a graceful shutdown beyond the drain of jobs. It
// covers the longest wait of a request that was forwarded to another home: a
// shutdown interrupts no request in progress.
const stopTimeoutTotal = maxWait + 2*forwardMargin

// Config configures an Instance.
type Config struct {
	Settings rattansettings.Settings
	Logger   *logrus.Logger
	// NewScheduler makes the scheduler of the pool; nil means the product's.
	NewScheduler func() Scheduler
	// Runner runs tasks at targets; nil means the HTTP client.
	Runner TaskRunner
	// CallerListener and PeerListener are used if set, in place of listeners
	// at the addresses in the settings.
	CallerListener net.Listener
	PeerListener   net.Listener
	// DialPeer opens connections to other instances; nil means plain TCP.
	DialPeer rattanpeer.DialFunc
	// Platform is the platform's client; nil means one for the address in the
	// settings.
	Platform *rattanplatform.Client
}

// Instance is one entry instance: its kernel and its servers.
type Instance struct {
	Metrics       *rattanmetric.Registry
	Configuration *Configuration
	Front         *Front
	Home          *Home
	Inventory     *Inventory
	// Keyring is nil without TLS.
	Keyring      *Keyring
	LoadExchange *Loads
	Membership   *Members
	Node         *rattanpeer.Node
	Operations   *Operations
	Plans        *Plans
	Records      *Records
	Spill        *Spill
	Platform     *rattanplatform.Client

	config     Config
	kernel     *rattankernel.Kernel
	burn       *rattanburn.Counters
	server     *khttp.Server
	app        *kratos.App
	superseded atomic.Bool
	// failure is why the instance stops itself, if it does.
	failure atomic.Pointer[error]
	drained atomic.Bool
}

// New returns an instance whose listeners are open and that is not yet
// running.
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
		node.Listener = instance.Keyring.peers(config.PeerListener)
		node.Dial = instance.Keyring.dialPeer(config.DialPeer)
		node.PeerName = peerName
	}
	instance.Node = rattanpeer.New(node)
	if err := instance.build(); err != nil {
		return nil, err
	}
	return instance, nil
}

// CallerAddress returns the address for callers and operators.
func (i *Instance) CallerAddress() string {
	return i.config.CallerListener.Addr().String()
}

// Kill ends the instance at once, as the death of its process would: its
// listeners and connections are closed and nothing in progress is finished.
func (i *Instance) Kill() {
	_ = i.server.Close()
	_ = i.config.CallerListener.Close()
	i.Home.abandon()
	_ = i.Membership.Stop(context.Background())
	_ = i.Node.Stop(context.Background())
	_ = i.Inventory.Stop(context.Background())
	_ = i.Configuration.Stop(context.Background())
}

// Run serves until ctx ends or the process gets SIGINT or SIGTERM, and then
// shuts down gracefully: it takes no new
// work, finishes the jobs in progress and answers their callers.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := context.AfterFunc(ctx, func() { _ = i.app.Stop() })
	defer stopped()
	if err := i.app.Run(); err != nil {
		return errors.Annotatef(err, "instance %s", i.config.Settings.Name)
	}
	if failure := i.failure.Load(); failure != nil {
		return errors.Annotatef(*failure, "instance %s", i.config.Settings.Name)
	}
	if i.superseded.Load() {
		return ErrSuperseded
	}
	return nil
}

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

// build makes the services, which find each other through the kernel.
func (i *Instance) build() error {
	settings := i.config.Settings
	initial, err := initialDocument(settings.Document)
	if err != nil {
		return errors.Annotate(err, "Document")
	}
	now := time.Now()
	i.Configuration = NewConfiguration(ConfigurationConfig{
		Platform:  i.Platform,
		Logger:    i.config.Logger,
		Initial:   initial,
		Watches:   func(now time.Time) bool { return i.Inventory.Watches(now) },
		Installed: i.installed,
	})
	i.Membership = NewMembers(now, MembersConfig{
		Settings:    settings,
		Incarnation: uint64(now.UnixMilli()),
		Logger:      i.config.Logger,
		Opened:      i.opened,
		Fenced:      func(now time.Time, epoch rattanjob.EpochID) { i.Home.Fence(now, epoch) },
		Empty:       func(epoch rattanjob.EpochID) bool { return i.Home.EpochEmpty(epoch) },
		Superseded:  i.supersede,
		NameInUse:   i.stopFor,
		Payload:     i.payload,
		Received:    i.received,
	})
	i.burn = rattanburn.New()
	i.Records = NewRecords(RecordsConfig{Burn: i.burn, Tracer: rattantrace.New(rattantrace.Options{})})
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
		Observed:         i.Membership.Observe,
		Changed:          i.spread,
	})
	i.Front = NewFront(FrontConfig{
		Instance:    settings.Name,
		Incarnation: uint64(now.UnixMilli()),
		Metrics:     i.Metrics,
	})
	i.LoadExchange = NewLoads(LoadsConfig{
		Instance:         settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Incarnation:      uint64(now.UnixMilli()),
		Local:            i.load,
	})
	i.Spill = NewSpill(SpillConfig{Instance: settings.Name})
	i.Plans = NewPlans(PlansConfig{Store: i.Platform, Facts: i.facts, Logger: i.config.Logger})
	i.Operations = NewOperations(OperationsConfig{
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Metrics:          i.Metrics,
	})
	i.registerMetrics()
	if err := i.register(); err != nil {
		return err
	}
	i.serve()
	return nil
}

// register registers the services in the order of their start and connects
// them. They drain in the reverse order: the instance first becomes not ready,
// then leaves its pool, then finishes its jobs.
func (i *Instance) register() error {
	services := []rattankernel.Service{
		i.Node, i.Records, i.Home, i.Membership, i.Configuration, i.Inventory, i.LoadExchange, i.Spill, i.Front, i.Plans, i.Operations,
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

// serve adds the handlers of other instances' requests and the routes of
// callers and operators.
func (i *Instance) serve() {
	i.Front.Handle(i.Node)
	i.Membership.Handle(i.Node)
	i.Configuration.Handle(i.Node)
	i.Inventory.Handle(i.Node)
	i.Node.Handle(methodNews, i.handleNews)
	i.LoadExchange.Handle(i.Node)
	i.Records.Handle(i.Node)
	i.Spill.Handle(i.Node)
	options := []khttp.ServerOption{
		khttp.Listener(i.config.CallerListener),
		khttp.Timeout(0),
		khttp.Filter(i.Operations.closing),
		khttp.NotFoundHandler(noRoute(http.StatusNotFound)),
		khttp.MethodNotAllowedHandler(noRoute(http.StatusMethodNotAllowed)),
	}
	if i.Keyring != nil {
		options = append(options, khttp.TLSConfig(i.Keyring.callers()))
	}
	i.server = khttp.NewServer(options...)
	i.Front.Routes(i.server)
	i.Operations.Routes(i.server)
	i.Plans.Routes(i.server)
	i.Records.Routes(i.server)
	i.app = kratos.New(
		kratos.Name(i.config.Settings.Name),
		kratos.Signal(syscall.SIGINT, syscall.SIGTERM),
		kratos.StopTimeout(stopTimeoutTotal),
		kratos.Server(i.server),
		kratos.BeforeStart(i.kernel.Start),
		kratos.BeforeStop(i.kernel.Drain),
		kratos.AfterStop(i.kernel.Stop),
	)
}

// installed tells the services of a document that came into force.
func (i *Instance) installed(document *rattanconfig.Document) {
	now := time.Now()
	i.Home.SetCallers(now, i.LoadExchange.Callers(now, document))
	i.burn.SetObjectives(now, *document)
	i.applyDrain(document)
	i.spread()
	i.Inventory.Apply(now)
}

// opened makes the home ready for a new epoch: its records and the targets of
// the pool, which may be another one than before.
func (i *Instance) opened(now time.Time, epoch rattanjob.EpochID, start time.Time) {
	i.Home.OpenEpoch(now, epoch, start)
	i.Inventory.Apply(now)
}

// applyDrain takes this instance out of use when an operator drains it. An
// instance that is put back into use starts anew as another incarnation.
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

// load describes this instance's load to other homes.
func (i *Instance) load(now time.Time) HomeLoad {
	load := i.Home.Load(now)
	load.Instance = i.config.Settings.Name
	load.AvailabilityZone = i.config.Settings.AvailabilityZone
	load.Revision = i.Configuration.Document().Revision
	return load
}

// facts sums up the loads of all instances for a plan.
func (i *Instance) facts(ctx context.Context, now time.Time) rattanplan.ClusterStatus {
	facts := rattanplan.ClusterStatus{
		ServiceSlots: map[string]int{},
		Targets:      map[string]rattanplan.Target{},
		Instances:    map[string]rattanplan.Instance{},
		Callers:      map[string]rattanplan.Usage{},
	}
	for _, load := range i.LoadExchange.Collect(ctx, now) {
		facts.Slots += load.Pool.Slots
		facts.BusySlots += load.Pool.BusySlots
		facts.Backlog += rattanjson.Duration(load.Pool.Backlog)
		for service, slots := range load.ServiceSlots {
			facts.ServiceSlots[service] += slots
		}
		for caller, slots := range load.Pool.CallerSlots {
			usage := facts.Callers[caller]
			usage.Slots += slots
			facts.Callers[caller] = usage
		}
		facts.Instances[load.Instance] = rattanplan.Instance{AvailabilityZone: load.AvailabilityZone, Revision: load.Revision, Jobs: load.Jobs}
	}
	for _, instance := range i.Inventory.Instances() {
		if instance.Role == rattanplatform.RoleTarget {
			facts.Targets[instance.Name] = rattanplan.Target{AvailabilityZone: instance.AvailabilityZone, Service: instance.Service, Slots: instance.Slots}
		}
	}
	return facts
}

func (i *Instance) payload() []byte {
	news := rattanspread.HeartbeatPayload{Revision: i.Configuration.Document().Revision, AvailabilityZone: i.config.Settings.AvailabilityZone}
	if hash, reached := i.Inventory.Version(); !reached.IsZero() {
		news.ListHash = hash
		news.ListAge = rattanjson.Duration(time.Since(reached))
	}
	payload, err := json.Marshal(news)
	if err != nil {
		return nil
	}
	return payload
}

// received takes in the payload of a peer's heartbeat.
func (i *Instance) received(address string, payload []byte) {
	var news rattanspread.HeartbeatPayload
	if json.Unmarshal(payload, &news) != nil {
		return
	}
	i.Configuration.PeerRevision(address, news.Revision)
	if news.ListHash != 0 && news.AvailabilityZone == i.config.Settings.AvailabilityZone {
		i.Inventory.PeerList(address, news.ListHash, time.Now().Add(-news.ListAge.Std()))
	}
}

// stopFor stops the instance with an error.
func (i *Instance) stopFor(failure error) {
	if i.failure.CompareAndSwap(nil, &failure) {
		go func() { _ = i.app.Stop() }()
	}
}

func (i *Instance) supersede() {
	if i.superseded.CompareAndSwap(false, true) {
		go func() { _ = i.app.Stop() }()
	}
}

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
