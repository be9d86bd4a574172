package rattanentry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattaninventory"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattanspread"
)

// inventoryInterval is how often the instance list is read, and
// inventoryTimeout bounds one reading on a connection that may have gone
// silent. A leaving target must get no new work after 3 s, of which the lag of
// the list takes a part.
const (
	inventoryInterval = time.Second
	inventoryTimeout  = time.Second
)

const methodPullInstances = "PullInstances"

// InstanceLister is the part of the platform's client that Inventory uses.
type InstanceLister interface {
	Instances(ctx context.Context, query rattanplatform.InstanceQuery) (rattanplatform.InstanceReply, error)
}

// Pools reports which pool of its zone this instance owns.
type Pools interface {
	Pool(now time.Time) (pool, pools int, owned bool)
	SetPools(pools int)
}

// Watchers lists the members that read from the platform for the others.
type Watchers interface {
	// Others returns the members that may be alive.
	Others(now time.Time) []rattanmember.Member
	// Watchers returns those of this availability zone that come before this
	// instance.
	Watchers(now time.Time) []rattanmember.Member
}

// InventoryConfig configures an Inventory. All fields are required. Connect
// sets those of other services.
type InventoryConfig struct {
	Platform         InstanceLister
	Peers            PeerCaller
	Watchers         Watchers
	AvailabilityZone string
	Home             *Home
	Documents        Documents
	Pools            Pools
	// Logger gets a line when instances are kept that the platform does not list.
	Logger *logrus.Logger
	// PoolSlots is the most slots of a pool.
	PoolSlots int
	// Observed is called with each instance list that the platform gave.
	Observed func(now time.Time, instances []rattanplatform.Instance)
	// Changed is called after a list came in use that differs from the former.
	Changed func()
}

// Inventory keeps the last known instance list and tells the home its
// targets. While the platform is down the last list stays in use. What is read,
// believed, pulled and remembered is decided by rattaninventory.
type Inventory struct {
	config InventoryConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	puller puller[peerList]

	// reader and kept belong to the loop that reads from the platform.
	reader *rattaninventory.Reader
	kept   int

	mutex   sync.Mutex
	history rattaninventory.History

	// applying orders calls of Apply and guards the fields below: the targets of
	// the zone in the list with the hash, and those of the pool.
	applying  sync.Mutex
	zoneHash  uint64
	zone      []rattanplatform.Instance
	zoneSlots int
	pooled    ownPool
	pool      []rattanplatform.Instance
}

// ownPool says which of the pools of its zone an instance owns. The zero value
// stands for no selection, as there is at least one pool.
type ownPool struct {
	pools int
	own   int
	owned bool
}

// peerList says which list the peer at the address has.
type peerList struct {
	address string
	version rattaninventory.Version
}

// pullInstances asks for the changes since the list with the hash; 0 asks for
// the whole list.
type pullInstances struct {
	Hash uint64
}

// instanceList is the reply to a pull.
type instanceList struct {
	// Age is the time since the platform gave the list.
	Age rattanjson.Duration
	// Difference leads from the list of the request, or from none, to the list
	// in use at the sender. Both are the same when nothing has changed.
	Difference rattaninventory.Difference
}

// NewInventory returns an empty inventory.
func NewInventory(config InventoryConfig) *Inventory {
	inventory := &Inventory{config: config, reader: rattaninventory.NewReader()}
	inventory.puller.pull = func(offer peerList) { _ = inventory.pull(context.Background(), offer.address) }
	inventory.puller.consider = inventory.consider
	return inventory
}

// Apply tells the home the targets of its pool anew, after a change of the
// configuration, of the instance list or of the pool. An instance without a
// pool prepares for the only pool of its zone, so that it can take it over at
// once.
func (i *Inventory) Apply(now time.Time) {
	// Without the order, targets of an older list could be set last, and a
	// leaving target among them would get work until the next change.
	i.applying.Lock()
	defer i.applying.Unlock()
	document := i.config.Documents.Document()
	i.selectZone(i.list())
	pools := max(1, (i.zoneSlots+i.config.PoolSlots-1)/i.config.PoolSlots)
	i.config.Pools.SetPools(pools)
	own, _, owned := i.config.Pools.Pool(now)
	i.selectPool(ownPool{pools: pools, own: own, owned: owned})
	targets := make([]rattanpool.Target, 0, len(i.pool))
	addresses := make(map[string]string, len(i.pool))
	for _, instance := range i.pool {
		targets = append(targets, describeTarget(document, instance))
		addresses[instance.Name] = instance.Address
	}
	i.config.Home.SetTargets(now, targets, addresses)
}

// Connect finds the services that this one uses.
func (i *Inventory) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceLinks, &i.config.Peers),
		rattankernel.DependsOn(serviceMembers, &i.config.Watchers),
		rattankernel.DependsOn(serviceHome, &i.config.Home),
		rattankernel.DependsOn(serviceConfiguration, &i.config.Documents),
		rattankernel.DependsOn(serviceMembers, &i.config.Pools),
	)
}

// selectZone finds the targets of the zone in a list, unless that is the one
// that they were last found in.
func (i *Inventory) selectZone(list rattaninventory.List) {
	if list.Hash == i.zoneHash {
		return
	}
	i.zoneHash, i.zone, i.zoneSlots = list.Hash, nil, 0
	i.pool, i.pooled = nil, ownPool{}
	for index := range list.Instances {
		instance := &list.Instances[index]
		if instance.Role == rattanplatform.RoleTarget && instance.AvailabilityZone == i.config.AvailabilityZone {
			i.zone = append(i.zone, *instance)
			i.zoneSlots += instance.Slots
		}
	}
}

// selectPool finds the targets of a pool in those of the zone, unless they were
// found before. Hashing all targets of a zone with 14 pools takes 1.5 ms, and a
// change of the configuration moves none.
func (i *Inventory) selectPool(wanted ownPool) {
	if i.pooled == wanted {
		return
	}
	i.pooled, i.pool = wanted, nil
	for _, instance := range i.zone {
		if wanted.pools == 1 || (wanted.owned && PoolOf(instance.Name, wanted.pools) == wanted.own) {
			i.pool = append(i.pool, instance)
		}
	}
}

// PoolOf returns the pool of a target by rendezvous hashing, so that a change
// of the number of pools moves as few targets as possible.
func PoolOf(target string, pools int) int {
	best, bestHash := 0, uint64(0)
	for pool := range pools {
		if hash := xxhash.Sum64String(target + "/" + strconv.Itoa(pool)); hash >= bestHash {
			best, bestHash = pool, hash
		}
	}
	return best
}

// Handle serves the list to other instances.
func (i *Inventory) Handle(node *rattanpeer.Node) {
	node.Handle(methodPullInstances, i.serve)
}

// Instances returns the last known instance list.
func (i *Inventory) Instances() []rattanplatform.Instance {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.history.List().Instances
}

// Name returns the name of the service in the kernel.
func (i *Inventory) Name() string {
	return serviceInventory
}

// Reached returns when the platform last gave the instance list.
func (i *Inventory) Reached() time.Time {
	_, reached := i.Version()
	return reached
}

// Start begins to read the instance list.
func (i *Inventory) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.loops.Go(func() {
		bound := patience{least: inventoryTimeout, most: platformTimeout}
		for ctx.Err() == nil {
			err := i.read(ctx, &bound)
			if errors.Is(err, context.DeadlineExceeded) {
				// The connection may have gone silent; a new one may work.
				continue
			}
			sleep(ctx, inventoryInterval)
		}
	})
	return nil
}

// Stop ends the reading.
func (i *Inventory) Stop(context.Context) error {
	i.cancel()
	i.loops.Wait()
	return nil
}

// Watches reports whether this instance reads from the platform for its zone.
func (i *Inventory) Watches(now time.Time) bool {
	return rattanspread.ReadsFromPlatform(now, len(i.config.Watchers.Watchers(now)), i.Reached())
}

// PeerList takes in that a peer of this zone has a list with the hash that the
// platform gave at reached, and pulls a list that is newer and differs.
func (i *Inventory) PeerList(address string, hash uint64, reached time.Time) {
	i.consider(peerList{address: address, version: rattaninventory.Version{Hash: hash, ReadAt: reached}})
}

// Version returns the hash of the list and when the platform gave it.
func (i *Inventory) Version() (hash uint64, reached time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	version := i.history.Version()
	return version.Hash, version.ReadAt
}

// read gets the instance list from the platform, or from a watcher where this
// instance needs it sooner than heartbeats bring it: without any list, and as
// a home that is not next to a watcher.
func (i *Inventory) read(ctx context.Context, bound *patience) error {
	now := time.Now()
	if i.Watches(now) {
		err := bound.call(ctx, 0, i.ask)
		if err == nil || !i.Reached().IsZero() {
			return err
		}
		return i.pullFrom(ctx, i.config.Watchers.Others(now))
	}
	watchers := i.config.Watchers.Watchers(now)
	_, _, home := i.config.Pools.Pool(now)
	if i.Reached().IsZero() || (home && len(watchers) == rattanspread.WatchersPerZone) {
		return i.pullFrom(ctx, watchers)
	}
	return nil
}

// pullFrom pulls the list from the first source that has one.
func (i *Inventory) pullFrom(ctx context.Context, sources []rattanmember.Member) error {
	err := error(errors.NotFoundf("instance list"))
	for _, source := range sources {
		if err = i.pull(ctx, source.PeerAddress); err == nil {
			return nil
		}
	}
	return err
}

// ask gets the parts of the instance list that have changed from the platform.
// The list counts from the time of asking, which is no later than that at which
// the platform gave it.
func (i *Inventory) ask(ctx context.Context) error {
	sent := time.Now()
	inUse := i.list()
	queries := i.reader.Queries(sent, inUse)
	replies, err := i.askEach(ctx, queries)
	if err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	list, kept := i.reader.Merge(now, inUse, queries, replies)
	if (kept > 0) != (i.kept > 0) {
		i.config.Logger.WithField("Kept", kept).Warn("number of instances in use that the platform does not list")
	}
	i.kept = kept
	i.install(now, sent, list)
	return nil
}

// askEach sends the queries at once, so that a slow platform delays them only
// once, and returns the replies in the order of the queries.
func (i *Inventory) askEach(ctx context.Context, queries []rattanplatform.InstanceQuery) ([]rattanplatform.InstanceReply, error) {
	replies := make([]rattanplatform.InstanceReply, len(queries))
	errs := make([]error, len(queries))
	var calls sync.WaitGroup
	for index, query := range queries {
		calls.Go(func() {
			replies[index], errs[index] = i.config.Platform.Instances(ctx, query)
		})
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return replies, nil
}

// pull gets the changes of the instance list from a peer. A difference that
// does not lead to the list that it promises is followed by a pull of the whole
// list.
func (i *Inventory) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout/2)
	defer cancel()
	inUse := i.list()
	err := i.pullSince(ctx, address, inUse)
	if errors.Is(err, rattaninventory.ErrCorrupt) && inUse.Hash != 0 {
		err = i.pullSince(ctx, address, rattaninventory.List{})
	}
	return err
}

// pullSince gets the changes since a list from a peer.
func (i *Inventory) pullSince(ctx context.Context, address string, since rattaninventory.List) error {
	sent := time.Now()
	reply, err := callPeer[instanceList](ctx, i.config.Peers, address, methodPullInstances, pullInstances{Hash: since.Hash})
	if err != nil {
		return err
	}
	list, err := rattaninventory.Apply(since, reply.Difference)
	if err != nil {
		return errors.Annotatef(err, "instance list of %s", address)
	}
	i.install(time.Now(), rattaninventory.ReadTimeFromAge(sent, reply.Age.Std()), list)
	return nil
}

// install puts a list in use unless one that is as new is.
func (i *Inventory) install(now, reached time.Time, list rattaninventory.List) {
	i.mutex.Lock()
	installed, changed := i.history.Install(now, list, reached)
	i.mutex.Unlock()
	if !installed {
		return
	}
	i.config.Observed(now, list.Instances)
	if changed {
		i.Apply(now)
		i.config.Changed()
	}
}

// consider pulls the list of a peer if it is wanted.
func (i *Inventory) consider(offer peerList) {
	i.mutex.Lock()
	wanted := i.history.ShouldPull(time.Now(), offer.version)
	i.mutex.Unlock()
	if wanted {
		i.puller.offer(offer)
	}
}

func (i *Inventory) list() rattaninventory.List {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.history.List()
}

// serve answers a pull with the changes that lead to this instance's own list.
func (i *Inventory) serve(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request pullInstances
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	i.mutex.Lock()
	version, difference := i.history.Version(), i.history.DifferenceSince(request.Hash)
	i.mutex.Unlock()
	if version.Hash == 0 {
		return nil, errors.NotFoundf("instance list")
	}
	return json.Marshal(instanceList{Age: rattanjson.Duration(time.Since(version.ReadAt)), Difference: difference})
}

func describeTarget(document *rattanconfig.Document, instance rattanplatform.Instance) rattanpool.Target {
	_, drained := document.Drains[instance.Name]
	return rattanpool.Target{
		Name:         instance.Name,
		Rack:         instance.Rack,
		Service:      instance.Service,
		Slots:        instance.Slots,
		Cores:        instance.Cores,
		MemoryMB:     instance.MemoryMB,
		Accelerators: instance.Accelerators,
		Leaving:      drained || instance.State == rattanplatform.StateLeaving,
	}
}
