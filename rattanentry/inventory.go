package rattanentry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// inventoryInterval is how often the instance list is read, and
// inventoryTimeout bounds one reading on a connection that may have gone
// silent. A leaving target must get no new work after 3 s, of which the lag of
// the list takes a part.
const (
	inventoryInterval = time.Second
	inventoryTimeout  = time.Second
	// standInAfter is the age of the list at which the second watcher reads
	// from the platform in place of the first.
	standInAfter = 2 * time.Second
)

const methodPullInstances = "PullInstances"

// InstanceLister is the part of the platform's client that Inventory uses.
type InstanceLister interface {
	Instances(ctx context.Context) ([]rattanplatform.Instance, error)
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

// InventoryConfig configures an Inventory. All fields are required.
type InventoryConfig struct {
	Platform         InstanceLister
	Peers            PeerCaller
	Watchers         Watchers
	AvailabilityZone string
	Home             *Home
	Documents        Documents
	Pools            Pools
	// PoolSlots is the most slots of a pool.
	PoolSlots int
	// Observed is called with each instance list that the platform gave.
	Observed func(now time.Time, instances []rattanplatform.Instance)
	// Changed is called after a list came in use that differs from the former.
	Changed func()
}

// Inventory keeps the last known instance list and tells the home its
// targets. While the platform is down the last list stays in use.
type Inventory struct {
	config InventoryConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	pulling atomic.Bool

	mutex     sync.Mutex
	instances []rattanplatform.Instance
	// reached is when the platform gave the list, and hash that of its JSON.
	reached time.Time
	hash    uint64
}

// pullInstances asks for the instance list if its hash is another.
type pullInstances struct {
	Hash uint64
}

// instanceList is the reply to a pull.
type instanceList struct {
	// Age is the time since the platform gave the list.
	Age       rattanjson.Duration
	Unchanged bool                      `json:",omitempty"`
	Instances []rattanplatform.Instance `json:",omitempty"`
}

// NewInventory returns an empty inventory.
func NewInventory(config InventoryConfig) *Inventory {
	return &Inventory{config: config}
}

// Apply tells the home the targets of its pool anew, after a change of the
// configuration, of the instance list or of the pool. An instance without a
// pool prepares for the only pool of its zone, so that it can take it over at
// once.
func (i *Inventory) Apply(now time.Time) {
	document := i.config.Documents.Document()
	zone := i.zoneTargets()
	slots := 0
	for _, instance := range zone {
		slots += instance.Slots
	}
	pools := max(1, (slots+i.config.PoolSlots-1)/i.config.PoolSlots)
	i.config.Pools.SetPools(pools)
	own, _, owned := i.config.Pools.Pool(now)
	var targets []rattanpool.Target
	addresses := map[string]string{}
	for _, instance := range zone {
		if pools > 1 && (!owned || PoolOf(instance.Name, pools) != own) {
			continue
		}
		targets = append(targets, describeTarget(document, instance))
		addresses[instance.Name] = instance.Address
	}
	i.config.Home.SetTargets(now, targets, addresses)
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

func (i *Inventory) zoneTargets() []rattanplatform.Instance {
	var targets []rattanplatform.Instance
	for _, instance := range i.Instances() {
		if instance.Role == rattanplatform.RoleTarget && instance.AvailabilityZone == i.config.AvailabilityZone {
			targets = append(targets, instance)
		}
	}
	return targets
}

// Handle serves the list to other instances.
func (i *Inventory) Handle(node *rattanpeer.Node) {
	node.Handle(methodPullInstances, i.serve)
}

// Instances returns the last known instance list.
func (i *Inventory) Instances() []rattanplatform.Instance {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.instances
}

// Name returns the name of the service in the kernel.
func (i *Inventory) Name() string {
	return "Inventory"
}

// Reached returns when the platform last gave the instance list.
func (i *Inventory) Reached() time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.reached
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

// Watches reports whether this instance reads from the platform for its zone:
// the first watcher always, the second while the first has no recent list. The
// calls of the platform thus do not grow with the number of instances.
func (i *Inventory) Watches(now time.Time) bool {
	switch rank := len(i.config.Watchers.Watchers(now)); {
	case rank == 0:
		return true
	case rank < watchersPerZone:
		return now.Sub(i.Reached()) >= standInAfter
	}
	return false
}

// PeerList takes in that a peer of this zone has a list with the hash that the
// platform gave at reached, and pulls a list that is newer and differs.
func (i *Inventory) PeerList(address string, hash uint64, reached time.Time) {
	i.mutex.Lock()
	newer := reached.After(i.reached)
	same := hash == i.hash
	if newer && same {
		i.reached = reached
	}
	i.mutex.Unlock()
	if !newer || same || !i.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.pulling.Store(false)
		_ = i.pull(context.Background(), address)
	}()
}

// Version returns the hash of the list and when the platform gave it.
func (i *Inventory) Version() (hash uint64, reached time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.hash, i.reached
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
	if i.Reached().IsZero() || (home && len(watchers) == watchersPerZone) {
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

// ask gets the instance list from the platform.
func (i *Inventory) ask(ctx context.Context) error {
	instances, err := i.config.Platform.Instances(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	i.install(now, now, instances)
	return nil
}

// pull gets the instance list from a watcher if it has changed.
func (i *Inventory) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout/2)
	defer cancel()
	hash, _ := i.Version()
	reply, err := callPeer[instanceList](ctx, i.config.Peers, address, methodPullInstances, pullInstances{Hash: hash})
	if err != nil {
		return err
	}
	now := time.Now()
	reached := now.Add(-reply.Age.Std())
	if reply.Unchanged {
		reply.Instances = i.Instances()
	}
	i.install(now, reached, reply.Instances)
	return nil
}

// install puts a list in use unless a later one is.
func (i *Inventory) install(now, reached time.Time, instances []rattanplatform.Instance) {
	data, err := json.Marshal(instances)
	if err != nil {
		return
	}
	hash := xxhash.Sum64(data)
	i.mutex.Lock()
	if !reached.After(i.reached) {
		i.mutex.Unlock()
		return
	}
	changed := hash != i.hash
	i.instances = instances
	i.reached = reached
	i.hash = hash
	i.mutex.Unlock()
	i.config.Observed(now, instances)
	if changed {
		i.Apply(now)
		i.config.Changed()
	}
}

// serve answers a pull with this instance's own list.
func (i *Inventory) serve(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request pullInstances
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.reached.IsZero() {
		return nil, errors.NotFoundf("instance list")
	}
	reply := instanceList{Age: rattanjson.Duration(time.Since(i.reached))}
	if request.Hash == i.hash {
		reply.Unchanged = true
	} else {
		reply.Instances = i.instances
	}
	return json.Marshal(reply)
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
