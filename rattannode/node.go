// Package rattannode assembles one instance of the dispatcher from its settings
// and runs it.
package rattannode

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanlimit"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// peerSilence is the time after which a silent connection to a peer is
	// tested with a ping. The connection is closed after twice that time.
	peerSilence = 250 * time.Millisecond
	// readHeaderTimeout, idleTimeout and maxHeaderBytes limit callers'
	// connections.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Config configures a Node.
type Config struct {
	Settings platform.Settings
	// SettingsPath is the file to read again on SIGHUP; empty means the path
	// from the environment.
	SettingsPath string
	Logger       *logrus.Logger
	Registry     *rattanmetric.Registry
	Clock        func() time.Time
}

// Node is one running instance.
type Node struct {
	config       Config
	settings     atomic.Pointer[platform.Settings]
	journal      *Journal
	kernel       *rattankernel.Kernel
	agent        *rattanzone.Agent
	desiredState *rattanzone.DesiredStateWatcher
	// evacuations is nil if the settings do not state that they are used.
	evacuations   *rattanzone.Evacuations
	callerHandler *rattanfront.Handler
	where         *rattanfront.Where
	store         *platform.Store
	targetClient  *platform.TargetClient
	crashes       *rattancrash.History
	cancellations *rattancancel.Record
	homeService   *rattanhome.Service
	callerServer  *khttp.Server
	intake        *intake
	suspension    suspensionMeter
	shuttingDown  atomic.Bool
	// exitDue receives a value when Run must return, whatever is still being stopped.
	exitDue chan struct{}
	app     *kratos.App
}

// New opens the listeners of an instance and assembles its components.
func New(config Config) (*Node, error) {
	n := &Node{
		config:        config,
		kernel:        rattankernel.New(),
		targetClient:  platform.NewTargetClient(),
		crashes:       rattancrash.NewHistory(config.Clock()),
		cancellations: rattancancel.NewRecord(config.Clock()),
		exitDue:       make(chan struct{}, 1),
	}
	n.settings.Store(&config.Settings)
	n.intake = newIntake(&config)
	n.journal = NewJournal(config.Logger, config.Registry)
	n.store = platform.NewStore(config.Settings.StoreAddress)
	config.Registry.CounterFunc(rattanmetric.StoreCallsTotal, n.store.Calls.Load)
	listener, err := net.Listen("tcp", config.Settings.PeerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "listen.control")
	}
	if err := n.assemble(listener); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) assemble(peerListener net.Listener) error {
	settings := n.config.Settings
	self := rattanwork.Member{
		Name:        settings.Instance,
		Zone:        settings.Zone,
		Address:     settings.PeerAddress,
		Incarnation: n.config.Clock().UnixNano(),
		MilliCPU:    settings.MilliCPU,
	}
	peerNode := rattanpeer.New(rattanpeer.Config{
		Name:            self.Name,
		Listener:        peerListener,
		SilenceTimeout:  peerSilence,
		HandlerPanicked: n.journal.HandlerPanicked,
	})
	if settings.EvacuationDelay > 0 {
		n.evacuations = rattanzone.NewEvacuations(rattanzone.EvacuationsConfig{Journal: n.journal, Suspended: n.suspended, Clock: n.config.Clock})
	}
	n.desiredState = rattanzone.NewDesiredStateWatcher(rattanzone.DesiredStateConfig{
		Source:      &platform.DesiredStateSource{Store: n.store, Evacuations: n.evacuations != nil},
		Parse:       platform.ParseDesiredState,
		Journal:     n.journal,
		Evacuations: n.evacuations,
		Peers:       peerNode,
		Clock:       n.config.Clock,
	})
	cancellationStore := &platform.CancellationStore{Store: n.store}
	n.agent = rattanzone.New(rattanzone.Config{
		Self:               self,
		Seeds:              func() []string { return n.settings.Load().Seeds },
		Peers:              peerNode,
		Directory:          &platform.Directory{Store: n.store},
		DesiredState:       n.desiredState,
		Evacuations:        n.evacuations,
		Inventory:          rattanzone.NewInventory(platform.NewInventorySource(n.store, n.journal)),
		Crashes:            n.crashes,
		CrashStore:         &platform.CrashStore{Store: n.store},
		Cancellations:      n.cancellations,
		SavedCancellations: cancellationStore,
		NewHome:            n.newHome,
		Journal:            n.journal,
		Suspended:          n.suspended,
		Clock:              n.config.Clock,
	})
	n.config.Registry.Gauge(rattanmetric.EvacuatedZones, func() float64 { return float64(len(n.evacuations.Known().Zones)) })
	n.config.Registry.Gauge(rattanmetric.HomeLagSeconds, n.homeLagSeconds)
	n.config.Registry.Gauge(rattanmetric.WithLabels(rattanmetric.SlowTargets, "cause", "Cold"), n.countTargets((*rattanhome.Home).ColdTargets))
	n.config.Registry.Gauge(rattanmetric.RememberedCancellations, func() float64 { return float64(n.cancellations.Len()) })
	n.homeService = rattanhome.NewService(rattanhome.ServiceConfig{
		Name:          self.Name,
		Membership:    n.agent,
		DesiredState:  n.desiredState,
		Cancellations: n.cancellations,
		Saver:         rattancancel.NewSaver(rattancancel.SaverConfig{Store: cancellationStore, Journal: n.journal, Clock: n.config.Clock}),
		Journal:       n.journal,
		Knowledge:     n.agent,
		Clock:         n.config.Clock,
	})
	n.homeService.RegisterHandlers(peerNode)
	peerNode.Wrap(rattanhome.MethodSubmit, func(next rattanpeer.Handler) rattanpeer.Handler {
		return n.intake.limitSubmissions(next, n.homeService.RejectSubmission)
	})
	n.where = rattanfront.NewWhere(rattanfront.WhereConfig{
		Self:         self,
		Homes:        n.agent,
		LocalHome:    n.homeService,
		Peers:        peerNode,
		DesiredState: n.desiredState,
		Clock:        n.config.Clock,
	})
	n.callerHandler = rattanfront.New(rattanfront.Config{
		Self:          self,
		Homes:         n.agent,
		LocalHome:     n.homeService,
		Peers:         peerNode,
		DesiredState:  n.desiredState,
		Cancellations: n.cancellations,
		Bodies:        n.intake.bodies,
		Journal:       n.journal,
		Uptime:        n.agent.Uptime,
		Clock:         n.config.Clock,
	})
	for _, component := range []rattankernel.Service{peerNode, n.desiredState, n.homeService, n.agent} {
		if err := n.kernel.Register(component); err != nil {
			return errors.Trace(err)
		}
	}
	return n.buildApp()
}

func (n *Node) suspended() time.Duration {
	return n.suspension.total(n.config.Clock())
}

func (n *Node) homeLagSeconds() float64 {
	home := n.agent.LocalHome()
	if home == nil {
		return 0
	}
	return home.Load().Lag.Seconds()
}

// countTargets returns a function that counts targets of the local home, 0 if there is
// none.
func (n *Node) countTargets(count func(home *rattanhome.Home) int) func() float64 {
	return func() float64 {
		if home := n.agent.LocalHome(); home != nil {
			return float64(count(home))
		}
		return 0
	}
}

func (n *Node) newHome(fencingToken int64) *rattanhome.Home {
	settings := n.settings.Load()
	var evacuation func(now time.Time) rattanwork.EvacuationStatus
	if n.evacuations != nil {
		evacuation = func(now time.Time) rattanwork.EvacuationStatus { return n.evacuations.Status(settings.Zone, now) }
	}
	return rattanhome.New(rattanhome.Config{
		FencingToken:  fencingToken,
		MaxLease:      settings.MaxLease,
		RemotePenalty: settings.RemotePenalty,
		Crashes:       n.crashes,
		Callers:       n.homeService,
		Cancellations: n.cancellations,
		Targets:       n.targetClient,
		Exchange:      n.agent,
		Observer:      n.journal,
		Evacuation:    evacuation,
		MaxTasks:      n.intake.limits.Tasks,
		MaxRequests:   n.intake.limits.Requests,
		Suspended:     n.suspended,
		Clock:         n.config.Clock,
	})
}

func (n *Node) buildApp() error {
	settings := n.config.Settings
	callerServer, err := newHTTPServer(settings.CallerAddress, n.callerHandler, n.intake.connections, n.intake.limits.Backlog)
	if err != nil {
		return errors.Annotate(err, "listen.front")
	}
	readinessServer, err := newHTTPServer(settings.ReadinessAddress, n.intake.withoutBody(n.serveReady), n.intake.probes(), probeConnections)
	if err != nil {
		return errors.Annotate(err, "listen.readiness")
	}
	metricsServer, err := newHTTPServer(settings.MetricsAddress, n.metricsHandler(), n.intake.probes(), probeConnections)
	if err != nil {
		return errors.Annotate(err, "metrics")
	}
	callerServer.ConnContext = n.intake.contextOf
	n.callerServer = callerServer
	n.app = kratos.New(
		kratos.Name(settings.Instance),
		kratos.Signal(syscall.SIGINT, syscall.SIGTERM),
		kratos.StopTimeout(serverStopTimeout),
		kratos.Server(callerServer, readinessServer, metricsServer),
		kratos.BeforeStart(n.kernel.Start),
		kratos.BeforeStop(n.drain),
		kratos.AfterStop(n.stopKernel),
	)
	return nil
}

// newHTTPServer returns a server that passes all requests to the handler and bounds
// its connections, of which a backlog waits to be accepted. It bypasses the router of
// kratos, which redirects requests whose path is not in clean form.
func newHTTPServer(address string, handler http.Handler, connections *rattanlimit.Connections, backlog int) (*khttp.Server, error) {
	listener, err := rattanlimit.Listen(address, backlog)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := khttp.NewServer(
		khttp.Listener(connections.Listen(listener)),
		khttp.Timeout(0),
		// Without an endpoint, kratos lists the network interfaces, which the
		// machines of the platform do not permit.
		khttp.Endpoint(&url.URL{Scheme: "http", Host: address}),
		khttp.Filter(func(http.Handler) http.Handler { return connections.Handler(handler) }),
	)
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = rattanlimit.WithConnection
	server.ConnState = connections.StateChanged
	return server, nil
}

// Run runs the instance until SIGINT or SIGTERM.
func (n *Node) Run() error {
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	defer stopReloads()
	go n.watchSettings(reloadCtx)
	n.config.Logger.WithFields(logrus.Fields{"Instance": n.config.Settings.Instance, "Zone": n.config.Settings.Zone}).Info("started")
	err := n.runApp()
	n.config.Logger.WithField("Instance", n.config.Settings.Instance).Info("stopped")
	return errors.Trace(err)
}

// runApp runs the application until it has stopped, or until the process must end.
func (n *Node) runApp() error {
	ended := make(chan error, 1)
	go func() { ended <- n.app.Run() }()
	select {
	case err := <-ended:
		return err
	case <-n.exitDue:
		n.config.Logger.Warn("not stopped before the end of the grace period")
		return nil
	}
}

// serveReady answers the readiness probe of the ingress, which sends new
// connections only to ready instances.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) ready() bool {
	if n.shuttingDown.Load() || n.desiredState.State() == nil {
		return false
	}
	_, ok, _ := n.agent.Home(n.config.Settings.Zone)
	return ok
}

// metricsHandler serves the previews of jobs, whose bodies it reads, and the metrics.
func (n *Node) metricsHandler() http.Handler {
	metrics := n.intake.withoutBody(n.serveMetrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == rattanfront.WherePath {
			n.where.ServeHTTP(w, r)
			return
		}
		metrics.ServeHTTP(w, r)
	})
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.config.Registry.Write(w)
	rattanmetric.WriteProcess(w)
}
