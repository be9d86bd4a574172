package rattanzone

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// inventoryInterval is how often a home reads the targets' entries.
	inventoryInterval = 700 * time.Millisecond
	// missingGrace is how long a target that has vanished from the inventory
	// is kept: entries lapse while the store is away and come back about two
	// seconds after it.
	missingGrace = 2500 * time.Millisecond
)

// InventoryReader reads the targets' entries from the store.
type InventoryReader interface {
	Current(ctx context.Context) (inventory rattanwork.Inventory, invalid int, err error)
}

// Inventory is an instance's view of all targets. It is safe for concurrent
// use.
type Inventory struct {
	reader InventoryReader
	kicked chan struct{}

	mutex sync.Mutex
	// revision is that of the store when the content last changed.
	revision int64
	targets  map[string]*entry
	readAt   time.Time
}

type entry struct {
	target  rattanwork.Target
	missing time.Time
}

// NewInventory returns an empty view.
func NewInventory(reader InventoryReader) *Inventory {
	return &Inventory{reader: reader, kicked: make(chan struct{}, 1), targets: map[string]*entry{}}
}

// Kick asks for a reading at once.
func (i *Inventory) Kick() {
	select {
	case i.kicked <- struct{}{}:
	default:
	}
}

// Revision returns the revision of the last change, 0 if nothing was read.
func (i *Inventory) Revision() int64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.revision
}

// Zone returns the targets of a zone.
func (i *Inventory) Zone(zone string) []rattanwork.Target {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var list []rattanwork.Target
	for _, e := range i.targets {
		if e.target.Zone == zone {
			list = append(list, e.target)
		}
	}
	return list
}

func (i *Inventory) age(now time.Time) time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return now.Sub(i.readAt)
}

func (i *Inventory) copy() rattanwork.Inventory {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	inventory := rattanwork.Inventory{Revision: i.revision}
	for _, e := range i.targets {
		inventory.Targets = append(inventory.Targets, e.target)
	}
	slices.SortFunc(inventory.Targets, func(a, b rattanwork.Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return inventory
}

func (i *Inventory) read(ctx context.Context, clock func() time.Time) error {
	read, _, err := i.reader.Current(ctx)
	if err != nil {
		return err
	}
	i.accept(read, clock())
	return nil
}

// accept takes in a reading. Targets that it lacks are kept for missingGrace.
func (i *Inventory) accept(read rattanwork.Inventory, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if read.Revision < i.revision {
		return
	}
	i.readAt = now
	changed := false
	seen := make(map[string]bool, len(read.Targets))
	for _, target := range read.Targets {
		seen[target.ID] = true
		known, ok := i.targets[target.ID]
		if !ok || !known.target.Equal(&target) {
			changed = true
		}
		i.targets[target.ID] = &entry{target: target}
	}
	for id, e := range i.targets {
		switch {
		case seen[id]:
		case e.missing.IsZero():
			e.missing = now
		case now.Sub(e.missing) > missingGrace:
			delete(i.targets, id)
			changed = true
		}
	}
	if changed || i.revision == 0 {
		i.revision = read.Revision
	}
}
