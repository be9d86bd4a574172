package rattanentry

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

const (
	methodPullConfiguration = "PullConfiguration"
	// watchWait is the longest wait of one watch call; each call counts against
	// the platform's rate limits. A connection can fail without an error, so
	// watchWait and watchMargin bound the time until a change is seen on a new
	// connection. A change must be active everywhere within 2 s.
	watchWait       = time.Second
	watchMargin     = 400 * time.Millisecond
	watchRetryDelay = 250 * time.Millisecond
	// pullTimeout bounds one pull from a peer.
	pullTimeout = time.Second
	// platformTimeout is the longest wait for a slow platform.
	platformTimeout = 2 * time.Second
)

// historyLimit is the number of changes that are kept for peers that are
// behind; a peer that is further behind gets the whole document. At 25,000
// changes a day it covers about an hour.
const historyLimit = 1000

// pullConfigurationRequest requests the changes since a revision.
type pullConfigurationRequest struct {
	Revision uint64
}

// KeyWatcher is the part of the platform client that Configuration uses.
type KeyWatcher interface {
	Watch(ctx context.Context, prefix string, afterRevision int64, wait time.Duration) (rattanplatform.Changes, error)
}

// ConfigurationConfig configures a Configuration. Connect sets Peers.
type ConfigurationConfig struct {
	Platform KeyWatcher
	Peers    PeerCaller
	Logger   *logrus.Logger
	// Initial is used until a newer document is received; nil means none.
	Initial *rattanconfig.Document
	// Watches reports whether this instance watches the platform itself. Other
	// instances learn of changes from heartbeats.
	Watches func(now time.Time) bool
	// OnInstalled is called with each document that becomes active.
	OnInstalled func(document *rattanconfig.Document)
}

// Configuration holds the active document. The revision never decreases. It is
// safe for concurrent use.
type Configuration struct {
	config  ConfigurationConfig
	current atomic.Pointer[rattanconfig.Document]
	// history holds the last changes for peers that are behind. It is guarded
	// by installMutex.
	history rattanconfig.History
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	// installMutex serializes installations.
	installMutex sync.Mutex
	puller       puller[revisionOffer]
}

// revisionOffer says that a peer has the document of a revision.
type revisionOffer struct {
	address  string
	revision uint64
}

// NewConfiguration returns a configuration whose active document is the initial
// one.
func NewConfiguration(config ConfigurationConfig) *Configuration {
	configuration := &Configuration{config: config, history: rattanconfig.History{Limit: historyLimit}}
	configuration.puller.pull = configuration.pullFrom
	configuration.puller.reconsider = func(offer revisionOffer) { configuration.OfferRevision(offer.address, offer.revision) }
	configuration.current.Store(&rattanconfig.Document{})
	if config.Initial != nil {
		configuration.current.Store(config.Initial)
		configuration.history.Install(*config.Initial)
	}
	return configuration
}

// Connect resolves the services that the configuration depends on.
func (c *Configuration) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(servicePeers, &c.config.Peers),
	)
}

// Document returns the active document. Revision 0 means that there is none.
func (c *Configuration) Document() *rattanconfig.Document {
	return c.current.Load()
}

// Handle registers the handler of pulls by other instances.
func (c *Configuration) Handle(node *rattanpeer.Node) {
	node.Handle(methodPullConfiguration, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var request pullConfigurationRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Trace(err)
		}
		c.installMutex.Lock()
		defer c.installMutex.Unlock()
		delta, ok := c.history.DeltaSince(request.Revision)
		if !ok {
			return nil, errors.NotFoundf("revision above %d", request.Revision)
		}
		return json.Marshal(delta)
	})
}

// Install makes the document the active one if it is valid and newer than the
// current one.
func (c *Configuration) Install(document *rattanconfig.Document) error {
	if err := rattanconfig.Check(*document); err != nil {
		return errors.Annotatef(err, "revision %d", document.Revision)
	}
	c.installMutex.Lock()
	defer c.installMutex.Unlock()
	if !c.history.Install(*document) {
		return nil
	}
	c.current.Store(document)
	c.config.Logger.WithField("Revision", document.Revision).Info("configuration in force")
	c.config.OnInstalled(document)
	return nil
}

// Name returns the name of the service in the kernel.
func (c *Configuration) Name() string {
	return serviceConfiguration
}

// OfferRevision pulls the changes from the peer at the address, which has the
// document of the revision, if the revision is newer than the active one.
func (c *Configuration) OfferRevision(address string, revision uint64) {
	if revision > c.Document().Revision {
		c.puller.offer(revisionOffer{address: address, revision: revision})
	}
}

// Start starts watching the platform.
func (c *Configuration) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.loops.Go(func() { c.watch(ctx) })
	if c.Document().Revision > 0 {
		c.config.OnInstalled(c.Document())
	}
	return nil
}

// Stop stops watching the platform.
func (c *Configuration) Stop(context.Context) error {
	c.cancel()
	c.loops.Wait()
	return nil
}

func (c *Configuration) pullFrom(offer revisionOffer) {
	if err := c.pull(offer.address); err != nil {
		c.config.Logger.WithError(err).Debug("pulling the configuration from a peer failed")
	}
}

// pull gets the changes since the current revision from a peer.
func (c *Configuration) pull(address string) error {
	current := c.Document()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	delta, err := callPeer[rattanconfig.Delta](ctx, c.config.Peers, address, methodPullConfiguration, pullConfigurationRequest{Revision: current.Revision})
	if err != nil {
		return err
	}
	document, err := rattanconfig.Apply(*current, delta)
	if err != nil {
		return errors.Trace(err)
	}
	return c.Install(&document)
}

// watch follows the key of the document in the platform while this instance is
// a watcher of its zone.
func (c *Configuration) watch(ctx context.Context) {
	var revision int64
	timeout := adaptiveTimeout{min: watchMargin, max: platformTimeout}
	for ctx.Err() == nil {
		if !c.config.Watches(time.Now()) {
			sleep(ctx, watchRetryDelay)
			continue
		}
		var changes rattanplatform.Changes
		err := timeout.call(ctx, watchWait, func(ctx context.Context) (err error) {
			changes, err = c.config.Platform.Watch(ctx, rattanconfig.PlatformKey, revision, watchWait)
			return err
		})
		if err != nil {
			if !errors.Is(err, context.DeadlineExceeded) {
				sleep(ctx, watchRetryDelay)
			}
			continue
		}
		revision = changes.Revision
		for _, entry := range changes.Entries {
			c.installEntry(entry)
		}
	}
}

// installEntry installs the document of an entry of the platform.
func (c *Configuration) installEntry(entry rattanplatform.Entry) {
	if entry.Key != rattanconfig.PlatformKey || entry.Deleted {
		return
	}
	document, err := rattanconfig.Parse(entry.Value)
	if err == nil {
		err = c.Install(&document)
	}
	if err != nil {
		c.config.Logger.WithError(err).Error("configuration in the platform is invalid")
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
