package rattanentry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// inventoryInterval is how often the instance list is read, and
// inventoryTimeout bounds one reading on a connection that may have gone
// silent. A leaving target must get no new work after 3 s, of which the lag of
// the list takes a part.
const (
	inventoryInterval = 500 * time.Millisecond
	inventoryTimeout  = time.Second
)

// InstanceLister is the part of the platform's client that Inventory uses.
type InstanceLister interface {
	Instances(ctx context.Context) ([]rattanplatform.Instance, error)
}

// InventoryConfig configures an Inventory. All fields are required.
type InventoryConfig struct {
	Platform         InstanceLister
	AvailabilityZone string
	Home             *Home
	Documents        Documents
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

// Apply tells the home its targets anew, after a change of the configuration.
func (i *Inventory) Apply(now time.Time) {
	i.mutex.Lock()
	instances := i.instances
	i.mutex.Unlock()
	document := i.config.Documents.Document()
	var targets []rattanpool.Target
	addresses := map[string]string{}
	for _, instance := range instances {
		if instance.Role != rattanplatform.RoleTarget || instance.AvailabilityZone != i.config.AvailabilityZone {
			continue
		}
		targets = append(targets, describeTarget(document, instance))
		addresses[instance.Name] = instance.Address
	}
	i.config.Home.SetTargets(now, targets, addresses)
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
			_ = bound.call(ctx, 0, i.read)
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

func (i *Inventory) read(ctx context.Context) error {
	instances, err := i.config.Platform.Instances(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	i.mutex.Lock()
	i.instances = instances
	i.reached = now
	i.mutex.Unlock()
	i.config.Observed(now, instances)
	i.Apply(now)
	return nil
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
