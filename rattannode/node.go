// Package rattannode assembles one instance of the dispatcher on the users'
// platform and runs it from its settings to its end.
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
	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// rotationTime is how long the ingress may send new connections to an
	// instance that is not ready any more: it probes each second and takes an
	// instance out after two misses.
	rotationTime = 2300 * time.Millisecond
	// stopMargin is kept of the grace for the end of the process.
	stopMargin = 600 * time.Millisecond
	// peerSilence is half the time after which a silent link is closed.
	peerSilence = 250 * time.Millisecond
	// readHeaderTimeout and idleTimeout bound callers' connections.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	drainPoll         = 20 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Settings platform.Settings
	// SettingsPath is read again on SIGHUP; empty means the environment's.
	SettingsPath string
	Logger       *logrus.Logger
	Registry     *rattanmetric.Registry
	Clock        func() time.Time
}

// Node is one instance.
type Node struct {
	config   Config
	settings atomic.Pointer[platform.Settings]
	journal  *Journal
	kernel   *rattankernel.Kernel
	agent    *rattanzone.Agent
	desired  *rattanzone.Desired
	front    *rattanfront.Front
	store    *platform.Store
	runs     *platform.Runs
	callers  *khttp.Server
	// closing says that the instance shuts down.
	closing atomic.Bool
	app     *kratos.App
}

// New opens the listeners of an instance and assembles it.
func New(config Config) (*Node, error) {
	n := &Node{config: config, kernel: rattankernel.New(), runs: platform.NewRuns()}
	n.settings.Store(&config.Settings)
	n.journal = NewJournal(config.Logger, config.Registry)
	n.store = platform.NewStore(config.Settings.Store)
	config.Registry.CounterFunc(rattanmetric.StoreCallsTotal, n.store.Calls.Load)
	peers, err := net.Listen("tcp", config.Settings.Peers)
	if err != nil {
		return nil, errors.Annotate(err, "listen.control")
	}
	if err := n.assemble(peers); err != nil {
		_ = peers.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) assemble(peerListener net.Listener) error {
	settings := n.config.Settings
	self := rattanwork.Member{
		Name:        settings.Instance,
		Zone:        settings.Zone,
		Address:     settings.Peers,
		Incarnation: n.config.Clock().UnixNano(),
		MilliCPU:    settings.Power,
	}
	peers := rattanpeer.New(rattanpeer.Config{Name: self.Name, Listener: peerListener, Silence: peerSilence})
	n.desired = rattanzone.NewDesired(rattanzone.DesiredConfig{
		Feed:    &platform.DesiredFeed{Store: n.store},
		Parse:   platform.ParseDesired,
		Journal: n.journal,
		Clock:   n.config.Clock,
	})
	n.agent = rattanzone.New(rattanzone.Config{
		Self:      self,
		Seeds:     func() []string { return n.settings.Load().Seeds },
		Peers:     peers,
		Directory: &platform.Directory{Store: n.store},
		Desired:   n.desired,
		Inventory: rattanzone.NewInventory(&platform.InventoryFeed{Store: n.store}),
		NewHome:   n.newHome,
		Journal:   n.journal,
		Clock:     n.config.Clock,
	})
	service := rattanhome.NewService(self.Name, n.agent, n.config.Clock)
	service.RegisterHandlers(peers)
	n.front = rattanfront.New(rattanfront.Config{
		Self:    self,
		Homes:   n.agent,
		Local:   service,
		Peers:   peers,
		States:  n.desired,
		Journal: n.journal,
		Clock:   n.config.Clock,
	})
	for _, part := range []rattankernel.Service{peers, n.desired, service, n.agent} {
		if err := n.kernel.Register(part); err != nil {
			return errors.Trace(err)
		}
	}
	return n.buildApp()
}

func (n *Node) newHome(fence int64) *rattanhome.Home {
	settings := n.settings.Load()
	return rattanhome.New(rattanhome.Config{
		FencingToken:  fence,
		MaxLease:      settings.MaxLease,
		RemotePenalty: settings.RemotePenalty,
		Targets:       n.runs,
		Observer:      n.journal,
		Clock:         n.config.Clock,
	})
}

func (n *Node) buildApp() error {
	settings := n.config.Settings
	callers, err := serve(settings.Callers, n.front)
	if err != nil {
		return errors.Annotate(err, "listen.front")
	}
	readiness, err := serve(settings.Readiness, http.HandlerFunc(n.serveReady))
	if err != nil {
		return errors.Annotate(err, "listen.readiness")
	}
	metrics, err := serve(settings.Metrics, http.HandlerFunc(n.serveMetrics))
	if err != nil {
		return errors.Annotate(err, "metrics")
	}
	n.callers = callers
	n.app = kratos.New(
		kratos.Name(settings.Instance),
		kratos.Signal(syscall.SIGINT, syscall.SIGTERM),
		kratos.StopTimeout(settings.Grace),
		kratos.Server(callers, readiness, metrics),
		kratos.BeforeStart(n.kernel.Start),
		kratos.BeforeStop(n.drain),
		kratos.AfterStop(n.kernel.Stop),
	)
	return nil
}

// serve returns a server that passes all requests to the handler, without the
// router of kratos, which redirects paths that it finds unclean.
func serve(address string, handler http.Handler) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Timeout(0),
		// Without an endpoint kratos lists the network interfaces, which the
		// platform's machines do not allow.
		khttp.Endpoint(&url.URL{Scheme: "http", Host: address}),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	return server, nil
}

// Run runs the instance until SIGINT or SIGTERM.
func (n *Node) Run() error {
	reloads, end := context.WithCancel(context.Background())
	defer end()
	go n.followSettings(reloads)
	n.config.Logger.WithFields(logrus.Fields{"Instance": n.config.Settings.Instance, "Zone": n.config.Settings.Zone}).Info("started")
	err := n.app.Run()
	n.config.Logger.WithField("Instance", n.config.Settings.Instance).Info("stopped")
	return errors.Trace(err)
}

// drain takes the instance out of use: another one becomes the home, and the
// ingress stops sending connections, before the listeners are closed.
func (n *Node) drain(ctx context.Context) error {
	began := n.config.Clock()
	limit := began.Add(n.settings.Load().Grace - stopMargin)
	n.closing.Store(true)
	n.front.Close(limit)
	n.config.Logger.WithField("Active", n.front.Active()).Info("stopping")
	n.agent.Resign(ctx)
	n.await(began.Add(rotationTime), func() bool { return false })
	n.callers.SetKeepAlivesEnabled(false)
	n.await(limit, func() bool { return n.front.Active() == 0 })
	n.front.Abandon()
	return nil
}

// await returns when the condition holds or the time has come.
func (n *Node) await(limit time.Time, condition func() bool) {
	for n.config.Clock().Before(limit) && !condition() {
		time.Sleep(drainPoll)
	}
}

// serveReady tells the ingress whether to send new connections here.
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
	if n.closing.Load() || n.desired.State() == nil {
		return false
	}
	_, ok, _ := n.agent.Home(n.config.Settings.Zone)
	return ok
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.config.Registry.Write(w)
	rattanmetric.WriteProcess(w)
}
