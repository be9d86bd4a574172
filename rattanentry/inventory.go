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

// inventoryInterval is how often the instance list is read. inventoryTimeout
// bounds one read on a connection that may have failed silently. A leaving
// target must get no new work after 3 s, and the lag of the list takes up part
// of that time.
const (
	inventoryInterval = time.Second
	inventoryTimeout  = time.Second
)

const methodPullInstances = "PullInstances"

// InstanceLister is the part of the platform client that Inventory uses.
type InstanceLister interface {
	Instances(ctx context.Context, query rattanplatform.InstanceQuery) (rattanplatform.InstanceReply, error)
}

// Pools reports which pool of the zone this instance owns, and is told how many
// pools the zone has.
type Pools interface {
	Pool(now time.Time) (pool, pools int, owned bool)
	SetPools(pools int)
}

// Watchers lists the members from which the instance list can be pulled. Some
// members, the watchers, read it from the platform on behalf of the others.
type Watchers interface {
	// Others returns the members that may be alive.
	Others(now time.Time) []rattanmember.Member
	// PrecedingWatchers returns the members of this availability zone that
	// precede this instance in the order in which members read from the
	// platform.
	PrecedingWatchers(now time.Time) []rattanmember.Member
}

// InventoryConfig configures an Inventory. All fields are required. Connect
// sets Peers, Watchers, Home, Documents and Pools.
type InventoryConfig struct {
	Platform         InstanceLister
	Peers            PeerCaller
	Watchers         Watchers
	AvailabilityZone string
	Home             *Home
	Documents        Documents
	Pools            Pools
	// Logger receives a warning when instances stay in use that the platform
	// does not list.
	Logger *logrus.Logger
	// PoolSlots is the maximum number of slots of a pool.
	PoolSlots int
	// OnInstalled is called with each list that was installed, even if its
	// instances are the same as before.
	OnInstalled func(now time.Time, instances []rattanplatform.Instance)
	// OnChanged is called after a list with different instances was installed.
	OnChanged func()
}

// Inventory keeps the last known instance list and sets the targets of the
// home. While the platform is down, the last list stays in use. rattaninventory
// decides what is read and pulled and which instances stay in the list.
type Inventory struct {
	config InventoryConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	puller puller[listOffer]

	// reader and keptCount belong to the loop that reads from the platform.
	// keptCount is the number of instances in use that the platform does not
	// list.
	reader    *rattaninventory.Reader
	keptCount int

	mutex   sync.Mutex
	history rattaninventory.History

	// applyMutex serializes calls of Apply and guards the fields below: the
	// targets of the zone in the list with the hash zoneListHash, and the
	// targets of the selected pool.
	applyMutex   sync.Mutex
	zoneListHash uint64
	zoneTargets  []rattanplatform.Instance
	zoneSlots    int
	selection    poolSelection
	poolTargets  []rattanplatform.Instance
}

// poolSelection says which of the pools of its zone an instance owns. The zero
// value means that nothing is selected, as there is at least one pool.
type poolSelection struct {
	pools int
	own   int
	owned bool
}

// listOffer says which list a peer has.
type listOffer struct {
	address string
	version rattaninventory.Version
}

// pullInstancesRequest requests the changes since the list with the hash; 0
// requests the whole list.
type pullInstancesRequest struct {
	Hash uint64
}

// pullInstancesReply is the reply to pullInstancesRequest.
type pullInstancesReply struct {
	// Age is the time since the list was read from the platform.
	Age rattanjson.Duration
	// Difference turns the list that the request names, or an empty one, into the
	// sender's current list. It has no entries if both lists are equal.
	Difference rattaninventory.Difference
}

// NewInventory returns an empty inventory.
func NewInventory(config InventoryConfig) *Inventory {
	inventory := &Inventory{config: config, reader: rattaninventory.NewReader()}
	inventory.puller.pull = func(offer listOffer) { _ = inventory.pull(context.Background(), offer.address) }
	inventory.puller.reconsider = inventory.considerOffer
	return inventory
}

// Apply sets the home's targets again after a change of the configuration, of
// the instance list or of the pool. If the zone has only one pool, an instance
// that does not own it sets its targets too, so that it can take over the pool
// at once.
func (i *Inventory) Apply(now time.Time) {
	// Without the lock, targets of an older list could be set last, and a
	// leaving target among them would get work until the next change.
	i.applyMutex.Lock()
	defer i.applyMutex.Unlock()
	document := i.config.Documents.Document()
	i.selectZoneTargets(i.currentList())
	pools := max(1, (i.zoneSlots+i.config.PoolSlots-1)/i.config.PoolSlots)
	i.config.Pools.SetPools(pools)
	own, _, owned := i.config.Pools.Pool(now)
	i.selectPoolTargets(poolSelection{pools: pools, own: own, owned: owned})
	targets := make([]rattanpool.Target, 0, len(i.poolTargets))
	addresses := make(map[string]string, len(i.poolTargets))
	for _, instance := range i.poolTargets {
		targets = append(targets, poolTarget(document, instance))
		addresses[instance.Name] = instance.Address
	}
	i.config.Home.SetTargets(now, targets, addresses)
}

// Connect resolves the services that the inventory depends on.
func (i *Inventory) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(servicePeers, &i.config.Peers),
		rattankernel.DependsOn(serviceMembership, &i.config.Watchers),
		rattankernel.DependsOn(serviceHome, &i.config.Home),
		rattankernel.DependsOn(serviceConfiguration, &i.config.Documents),
		rattankernel.DependsOn(serviceMembership, &i.config.Pools),
	)
}

// selectZoneTargets finds the targets of the zone in a list, unless they were
// last taken from the same list.
func (i *Inventory) selectZoneTargets(list rattaninventory.List) {
	if list.Hash == i.zoneListHash {
		return
	}
	i.zoneListHash, i.zoneTargets, i.zoneSlots = list.Hash, nil, 0
	i.poolTargets, i.selection = nil, poolSelection{}
	for index := range list.Instances {
		instance := &list.Instances[index]
		if instance.Role == rattanplatform.RoleTarget && instance.AvailabilityZone == i.config.AvailabilityZone {
			i.zoneTargets = append(i.zoneTargets, *instance)
			i.zoneSlots += instance.Slots
		}
	}
}

// selectPoolTargets finds the targets of a pool among those of the zone, unless
// the pool is already selected. Hashing all targets of a zone with 14 pools
// takes 1.5 ms, and a change of the configuration moves none of them.
func (i *Inventory) selectPoolTargets(selection poolSelection) {
	if i.selection == selection {
		return
	}
	i.selection, i.poolTargets = selection, nil
	for _, instance := range i.zoneTargets {
		if selection.pools == 1 || (selection.owned && PoolOf(instance.Name, selection.pools) == selection.own) {
			i.poolTargets = append(i.poolTargets, instance)
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

// Handle registers the handler of pulls by other instances.
func (i *Inventory) Handle(node *rattanpeer.Node) {
	node.Handle(methodPullInstances, i.handlePull)
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

// ListReadAt returns when the current list was read from the platform.
func (i *Inventory) ListReadAt() time.Time {
	_, readAt := i.Version()
	return readAt
}

// Start starts reading the instance list.
func (i *Inventory) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.loops.Go(func() {
		timeout := adaptiveTimeout{min: inventoryTimeout, max: platformTimeout}
		for ctx.Err() == nil {
			err := i.refresh(ctx, &timeout)
			if errors.Is(err, context.DeadlineExceeded) {
				// The connection may have failed silently; a new one may work.
				continue
			}
			sleep(ctx, inventoryInterval)
		}
	})
	return nil
}

// Stop stops reading the instance list.
func (i *Inventory) Stop(context.Context) error {
	i.cancel()
	i.loops.Wait()
	return nil
}

// Watches reports whether this instance reads from the platform for its zone.
func (i *Inventory) Watches(now time.Time) bool {
	return rattanspread.ReadsFromPlatform(now, len(i.config.Watchers.PrecedingWatchers(now)), i.ListReadAt())
}

// OfferList pulls the list of the peer at the address, a member of this zone,
// if it is newer than the current one and differs from it. The list was read
// from the platform at readAt.
func (i *Inventory) OfferList(address string, hash uint64, readAt time.Time) {
	i.considerOffer(listOffer{address: address, version: rattaninventory.Version{Hash: hash, ReadAt: readAt}})
}

// Version returns the hash of the list and when it was read from the platform.
func (i *Inventory) Version() (hash uint64, readAt time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	version := i.history.Version()
	return version.Hash, version.ReadAt
}

// refresh gets the instance list from the platform if this instance has to read
// it. Otherwise it pulls the list from a watcher if this instance needs it
// sooner than heartbeats bring it: if it has no list, or if it is a home that
// is not one of the watchers.
func (i *Inventory) refresh(ctx context.Context, timeout *adaptiveTimeout) error {
	now := time.Now()
	if i.Watches(now) {
		err := timeout.call(ctx, 0, i.readPlatform)
		if err == nil || !i.ListReadAt().IsZero() {
			return err
		}
		return i.pullFromAny(ctx, i.config.Watchers.Others(now))
	}
	watchers := i.config.Watchers.PrecedingWatchers(now)
	_, _, owned := i.config.Pools.Pool(now)
	if i.ListReadAt().IsZero() || (owned && len(watchers) == rattanspread.WatchersPerZone) {
		return i.pullFromAny(ctx, watchers)
	}
	return nil
}

// pullFromAny pulls the list from the first source that returns one.
func (i *Inventory) pullFromAny(ctx context.Context, sources []rattanmember.Member) error {
	err := error(errors.NotFoundf("instance list"))
	for _, source := range sources {
		if err = i.pull(ctx, source.PeerAddress); err == nil {
			return nil
		}
	}
	return err
}

// readPlatform gets the changed parts of the instance list from the platform.
// The list is dated with the time of the request, which is no later than the
// time at which the platform produced it.
func (i *Inventory) readPlatform(ctx context.Context) error {
	requestTime := time.Now()
	current := i.currentList()
	queries := i.reader.Queries(requestTime, current)
	replies, err := i.queryAll(ctx, queries)
	if err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	list, keptCount := i.reader.Merge(now, current, queries, replies)
	if (keptCount > 0) != (i.keptCount > 0) {
		i.config.Logger.WithField("Kept", keptCount).Warn("number of instances in use that the platform does not list")
	}
	i.keptCount = keptCount
	i.install(now, requestTime, list)
	return nil
}

// queryAll sends the queries concurrently, so that a slow platform delays them
// only once, and returns the replies in the order of the queries.
func (i *Inventory) queryAll(ctx context.Context, queries []rattanplatform.InstanceQuery) ([]rattanplatform.InstanceReply, error) {
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

// pull gets the changes of the instance list from a peer. If the difference is
// corrupt, it pulls the whole list.
func (i *Inventory) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout/2)
	defer cancel()
	current := i.currentList()
	err := i.pullSince(ctx, address, current)
	if errors.Is(err, rattaninventory.ErrCorrupt) && current.Hash != 0 {
		err = i.pullSince(ctx, address, rattaninventory.List{})
	}
	return err
}

// pullSince gets the changes since a list from a peer.
func (i *Inventory) pullSince(ctx context.Context, address string, since rattaninventory.List) error {
	requestTime := time.Now()
	reply, err := callPeer[pullInstancesReply](ctx, i.config.Peers, address, methodPullInstances, pullInstancesRequest{Hash: since.Hash})
	if err != nil {
		return err
	}
	list, err := rattaninventory.Apply(since, reply.Difference)
	if err != nil {
		return errors.Annotatef(err, "instance list of %s", address)
	}
	i.install(time.Now(), rattaninventory.ReadTimeFromAge(requestTime, reply.Age.Std()), list)
	return nil
}

// install makes a list the current one unless the current one is at least as
// new.
func (i *Inventory) install(now, readAt time.Time, list rattaninventory.List) {
	i.mutex.Lock()
	installed, changed := i.history.Install(now, list, readAt)
	i.mutex.Unlock()
	if !installed {
		return
	}
	i.config.OnInstalled(now, list.Instances)
	if changed {
		i.Apply(now)
		i.config.OnChanged()
	}
}

// considerOffer pulls the list of a peer if it is newer than the current one
// and differs from it.
func (i *Inventory) considerOffer(offer listOffer) {
	i.mutex.Lock()
	wanted := i.history.ShouldPull(time.Now(), offer.version)
	i.mutex.Unlock()
	if wanted {
		i.puller.offer(offer)
	}
}

func (i *Inventory) currentList() rattaninventory.List {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.history.List()
}

// handlePull answers a pull with the changes that lead to this instance's list.
func (i *Inventory) handlePull(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request pullInstancesRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	i.mutex.Lock()
	version, difference := i.history.Version(), i.history.DifferenceSince(request.Hash)
	i.mutex.Unlock()
	if version.Hash == 0 {
		return nil, errors.NotFoundf("instance list")
	}
	return json.Marshal(pullInstancesReply{Age: rattanjson.Duration(time.Since(version.ReadAt)), Difference: difference})
}

// poolTarget returns the target as the scheduler uses it. A target that an
// operator drains counts as leaving.
func poolTarget(document *rattanconfig.Document, instance rattanplatform.Instance) rattanpool.Target {
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
