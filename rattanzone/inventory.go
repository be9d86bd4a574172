package rattanzone

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// inventoryInterval is the interval at which a home reads the targets'
	// entries.
	inventoryInterval = 700 * time.Millisecond
	// missingGrace is how long a target that is missing from the store is kept.
	// Entries expire while the store is unavailable and reappear about two
	// seconds after it is available again.
	missingGrace = 2500 * time.Millisecond
)

// InventoryReader reads the targets' entries from the store.
type InventoryReader interface {
	Current(ctx context.Context) (inventory rattanwork.Inventory, invalid int, err error)
}

// Inventory is the list of targets known to an instance. It is safe for
// concurrent use.
type Inventory struct {
	reader           InventoryReader
	refreshRequested chan struct{}

	mutex sync.Mutex
	// revision is the revision of the store at the last change of the targets.
	revision int64
	targets  map[string]*inventoryEntry
	readAt   time.Time
}

type inventoryEntry struct {
	target       rattanwork.Target
	missingSince time.Time
}

// NewInventory returns an empty inventory.
func NewInventory(reader InventoryReader) *Inventory {
	return &Inventory{reader: reader, refreshRequested: make(chan struct{}, 1), targets: map[string]*inventoryEntry{}}
}

// RequestRefresh asks for an immediate read of the store.
func (i *Inventory) RequestRefresh() {
	select {
	case i.refreshRequested <- struct{}{}:
	default:
	}
}

// Revision returns the revision of the last change, 0 before the first read.
func (i *Inventory) Revision() int64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.revision
}

// ZoneTargets returns the targets of a zone.
func (i *Inventory) ZoneTargets(zone string) []rattanwork.Target {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var targets []rattanwork.Target
	for _, e := range i.targets {
		if e.target.Zone == zone {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// age returns the time since the inventory was last read.
func (i *Inventory) age(now time.Time) time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return now.Sub(i.readAt)
}

func (i *Inventory) snapshot() rattanwork.Inventory {
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

// refresh reads the inventory from the store.
func (i *Inventory) refresh(ctx context.Context, clock func() time.Time) error {
	reading, _, err := i.reader.Current(ctx)
	if err != nil {
		return err
	}
	i.update(reading, clock())
	return nil
}

// update applies an inventory that was read from the store or from a peer.
// Targets that are missing from it are kept for missingGrace.
func (i *Inventory) update(reading rattanwork.Inventory, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if reading.Revision < i.revision {
		return
	}
	i.readAt = now
	changed := false
	seen := make(map[string]bool, len(reading.Targets))
	for _, target := range reading.Targets {
		seen[target.ID] = true
		known, ok := i.targets[target.ID]
		if !ok || !known.target.Equal(&target) {
			changed = true
		}
		i.targets[target.ID] = &inventoryEntry{target: target}
	}
	for id, e := range i.targets {
		switch {
		case seen[id]:
		case e.missingSince.IsZero():
			e.missingSince = now
		case now.Sub(e.missingSince) > missingGrace:
			delete(i.targets, id)
			changed = true
		}
	}
	if changed || i.revision == 0 {
		i.revision = reading.Revision
	}
}
