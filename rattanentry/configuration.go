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
	// watchWait is the longest wait of one watch call; each call counts
	// against the platform's rates. A connection can go silent without an
	// error, so the wait and watchMargin bound the time until a change is seen
	// on a new connection; a change must be in force everywhere within 2 s.
	watchWait   = time.Second
	watchMargin = 400 * time.Millisecond
	watchRetry  = 250 * time.Millisecond
	pullTimeout = time.Second
	// platformTimeout is the longest wait for a slow platform.
	platformTimeout = 2 * time.Second
)

// historyLimit is the number of changes that are kept for peers that are
// behind; a peer that is further behind gets the whole document. At 25,000
// changes a day it covers about an hour.
const historyLimit = 1000

// pullConfiguration asks for the changes since a revision.
type pullConfiguration struct {
	Revision uint64
}

// KeyWatcher is the part of the platform's client that Configuration uses.
type KeyWatcher interface {
	Watch(ctx context.Context, prefix string, afterRevision int64, wait time.Duration) (rattanplatform.Changes, error)
}

// ConfigurationConfig configures a Configuration. Connect sets Peers.
type ConfigurationConfig struct {
	Platform KeyWatcher
	Peers    PeerCaller
	Logger   *logrus.Logger
	// Initial is in force until a newer document is known; nil means none.
	Initial *rattanconfig.Document
	// Watches reports whether this instance watches the platform itself; the
	// others learn of changes from heartbeats.
	Watches func(now time.Time) bool
	// Installed is called with each document that comes into force.
	Installed func(document *rattanconfig.Document)
}

// Configuration holds the document in force. Its revision only rises. It is
// safe for concurrent use.
type Configuration struct {
	config  ConfigurationConfig
	current atomic.Pointer[rattanconfig.Document]
	// history holds the last changes for peers that are behind; it is guarded
	// by installing.
	history rattanconfig.History
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	// installing orders installations.
	installing sync.Mutex
	puller     puller[peerRevision]
}

// peerRevision says that the peer at the address has a document of the
// revision.
type peerRevision struct {
	address  string
	revision uint64
}

// NewConfiguration returns a configuration with the initial document in force.
func NewConfiguration(config ConfigurationConfig) *Configuration {
	configuration := &Configuration{config: config, history: rattanconfig.History{Limit: historyLimit}}
	configuration.puller.pull = configuration.pullOffered
	configuration.puller.consider = func(offer peerRevision) { configuration.PeerRevision(offer.address, offer.revision) }
	configuration.current.Store(&rattanconfig.Document{})
	if config.Initial != nil {
		configuration.current.Store(config.Initial)
		configuration.history.Install(*config.Initial)
	}
	return configuration
}

// Connect finds the services that this one uses.
func (c *Configuration) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceLinks, &c.config.Peers),
	)
}

// Document returns the document in force; revision 0 means none.
func (c *Configuration) Document() *rattanconfig.Document {
	return c.current.Load()
}

// Handle serves pulls by other instances.
func (c *Configuration) Handle(node *rattanpeer.Node) {
	node.Handle(methodPullConfiguration, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var request pullConfiguration
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Trace(err)
		}
		c.installing.Lock()
		defer c.installing.Unlock()
		delta, ok := c.history.DeltaSince(request.Revision)
		if !ok {
			return nil, errors.NotFoundf("revision above %d", request.Revision)
		}
		return json.Marshal(delta)
	})
}

// Install puts the document in force if it is valid and newer.
func (c *Configuration) Install(document *rattanconfig.Document) error {
	if err := rattanconfig.Check(*document); err != nil {
		return errors.Annotatef(err, "revision %d", document.Revision)
	}
	c.installing.Lock()
	defer c.installing.Unlock()
	if !c.history.Install(*document) {
		return nil
	}
	c.current.Store(document)
	c.config.Logger.WithField("Revision", document.Revision).Info("configuration in force")
	c.config.Installed(document)
	return nil
}

// Name returns the name of the service in the kernel.
func (c *Configuration) Name() string {
	return serviceConfiguration
}

// PeerRevision takes in that the peer at the address has a document of the
// revision, and pulls the changes when it is newer than the one in force.
func (c *Configuration) PeerRevision(address string, revision uint64) {
	if revision > c.Document().Revision {
		c.puller.offer(peerRevision{address: address, revision: revision})
	}
}

// Start begins to watch the platform.
func (c *Configuration) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.loops.Go(func() { c.watch(ctx) })
	if c.Document().Revision > 0 {
		c.config.Installed(c.Document())
	}
	return nil
}

// Stop ends the watch.
func (c *Configuration) Stop(context.Context) error {
	c.cancel()
	c.loops.Wait()
	return nil
}

func (c *Configuration) pullOffered(offer peerRevision) {
	if err := c.pull(offer.address); err != nil {
		c.config.Logger.WithError(err).Debug("configuration not pulled")
	}
}

// pull gets the changes since the revision in force here from a peer.
func (c *Configuration) pull(address string) error {
	current := c.Document()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	delta, err := callPeer[rattanconfig.Delta](ctx, c.config.Peers, address, methodPullConfiguration, pullConfiguration{Revision: current.Revision})
	if err != nil {
		return err
	}
	document, err := rattanconfig.Apply(*current, delta)
	if err != nil {
		return errors.Trace(err)
	}
	return c.Install(&document)
}

// watch follows the document's key in the platform while this instance is one
// of its zone's watchers.
func (c *Configuration) watch(ctx context.Context) {
	var revision int64
	margin := patience{least: watchMargin, most: platformTimeout}
	for ctx.Err() == nil {
		if !c.config.Watches(time.Now()) {
			sleep(ctx, watchRetry)
			continue
		}
		var changes rattanplatform.Changes
		err := margin.call(ctx, watchWait, func(ctx context.Context) (err error) {
			changes, err = c.config.Platform.Watch(ctx, rattanconfig.PlatformKey, revision, watchWait)
			return err
		})
		if err != nil {
			if !errors.Is(err, context.DeadlineExceeded) {
				sleep(ctx, watchRetry)
			}
			continue
		}
		revision = changes.Revision
		for _, entry := range changes.Entries {
			c.receive(entry)
		}
	}
}

func (c *Configuration) receive(entry rattanplatform.Entry) {
	if entry.Key != rattanconfig.PlatformKey || entry.Deleted {
		return
	}
	document, err := rattanconfig.Parse(entry.Value)
	if err == nil {
		err = c.Install(&document)
	}
	if err != nil {
		c.config.Logger.WithError(err).Error("configuration in the platform is not valid")
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
