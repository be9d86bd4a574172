package rattanentry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// inventoryInterval is how often the instance list is read; a leaving target
// must get no new work after 3 s.
const inventoryInterval = time.Second

// InstanceLister is the part of the platform's client that Inventory uses.
type InstanceLister interface {
	Instances(ctx context.Context) ([]rattanplatform.Instance, error)
}

// PoolSlots is the most slots of a pool. One queue over this many slots is
// close to an ideal single queue, and one instance can carry their starts.
const PoolSlots = 1024

// Pools tells which pool of its zone this instance owns.
type Pools interface {
	Pool(now time.Time) (pool, pools int, owned bool)
	SetPools(pools int)
}

// InventoryConfig configures an Inventory. All fields are required.
type InventoryConfig struct {
	Platform         InstanceLister
	AvailabilityZone string
	Home             *Home
	Documents        Documents
	Pools            Pools
	// Observed is called with each instance list that the platform gave.
	Observed func(now time.Time, instances []rattanplatform.Instance)
}

// Inventory keeps the last known instance list and tells the home its
// targets. While the platform is down the last list stays in use.
type Inventory struct {
	config InventoryConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mutex     sync.Mutex
	instances []rattanplatform.Instance
	reached   time.Time
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
	pools := max(1, (slots+PoolSlots-1)/PoolSlots)
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
		for ctx.Err() == nil {
			i.read(ctx)
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

func (i *Inventory) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	instances, err := i.config.Platform.Instances(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	i.mutex.Lock()
	i.instances = instances
	i.reached = now
	i.mutex.Unlock()
	i.config.Observed(now, instances)
	i.Apply(now)
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
