package rattanzone

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// inventoryInterval is the interval at which a home reads the targets'
	// entries while it cannot wait for changes, and the age at which an
	// inventory is read again for another instance.
	inventoryInterval = 700 * time.Millisecond
	// changeTimeout bounds the wait for changes. A silent connection to the
	// store hides for that long that targets are draining.
	changeTimeout = 1 * time.Second
	// changeInterval is the minimum time between two reads of changes, so that
	// many changes arrive together.
	changeInterval = 600 * time.Millisecond
	// settleTime is how long after the first read the inventory may lack targets
	// whose entries had expired while the store was out of reach for them.
	settleTime = 2 * time.Second
	// missingGrace is how long a target that is missing from the store is kept.
	// Entries expire while the store is unavailable and reappear about two
	// seconds after it is available again.
	missingGrace = 2500 * time.Millisecond
	// heartbeatSilence is the time without a heartbeat of any target after which
	// the inventory tells nothing about heartbeats. It is shorter than the age of
	// a heartbeat from which on the scheduler does not use its target.
	heartbeatSilence = 3 * time.Second
	// maxRemovals bounds the number of removed targets that are remembered.
	maxRemovals = 1000
)

// InventoryReader reads the targets' entries from the store.
type InventoryReader interface {
	Current(ctx context.Context) (rattanwork.Inventory, error)
	// WaitForChange waits for changes after the revision, at most for the
	// timeout.
	WaitForChange(ctx context.Context, revision int64, timeout time.Duration) (rattanwork.InventoryChange, error)
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
	// removed holds the revisions at which targets were removed. It is complete
	// after the revision completeAfter, that of the last reading of everything.
	removed       map[string]int64
	completeAfter int64
	// inUse contains the targets on which the local home has runs.
	inUse map[string]bool
	// followedRevision is the store revision from which to wait for changes, 0
	// if the whole inventory must be read first.
	followedRevision int64
	// followedSince is since when the store's changes have been read without a
	// failure, zero if the last reading failed. followedUntil is when they were
	// last read, or when the local home claimed its zone if that was later, zero
	// before both.
	followedSince time.Time
	followedUntil time.Time
	// heartbeatAt is when a heartbeat of any target was last read. quiet is set if
	// none was read for heartbeatSilence before a failed reading, until one is.
	heartbeatAt time.Time
	quiet       bool
	// overdue is what the earlier home of the zone has told of heartbeats.
	overdue overdueReport
	// settledAt is from when on the inventory contains all targets, zero if it
	// does already.
	settledAt time.Time
}

type inventoryEntry struct {
	target       rattanwork.Target
	missingSince time.Time
	// heardAt is explained at rattanwork.Target.
	heardAt time.Time
	// revision is that of the last change of the target, 0 if the target is known
	// only because a home has runs there. Such a target is not sent to others, so
	// that instances cannot keep it for each other.
	revision int64
}

// inventoryCopy is what an instance sends of its inventory to another one.
type inventoryCopy struct {
	rattanwork.Inventory
	// After is the revision after which Targets and Removed hold the changes, 0
	// if Targets holds the whole inventory.
	After   int64    `json:",omitempty"`
	Removed []string `json:",omitempty"`
	// Kept contains the targets that are missing from the store and on which the
	// sender, a home, has runs.
	Kept []rattanwork.Target `json:",omitempty"`
}

// NewInventory returns an empty inventory.
func NewInventory(reader InventoryReader) *Inventory {
	return &Inventory{reader: reader, refreshRequested: make(chan struct{}, 1), targets: map[string]*inventoryEntry{}, removed: map[string]int64{}}
}

// RequestRefresh asks for an immediate read of the whole inventory for a new home.
// Missing targets are kept for missingGrace from now on, as the earlier home may
// have granted leases there until now.
func (i *Inventory) RequestRefresh(now time.Time) {
	i.mutex.Lock()
	i.followedRevision = 0
	i.followedSince, i.followedUntil = time.Time{}, now
	if now.Sub(i.overdue.receivedAt) > overdueRetention {
		i.overdue = overdueReport{}
	}
	for _, e := range i.targets {
		if !e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
	i.mutex.Unlock()
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
func (i *Inventory) ZoneTargets(zone string, now time.Time) []rattanwork.Target {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var targets []rattanwork.Target
	for _, e := range i.targets {
		if e.target.Zone == zone {
			target := e.target
			target.ColdLeft = max(0, target.ColdLeft-now.Sub(e.heardAt))
			if i.showsHeartbeats(now) {
				target.HeardAt, target.AwaitedSince = e.heardAt, i.awaitedSince(e)
			}
			targets = append(targets, target)
		}
	}
	return targets
}

// showsHeartbeats reports whether heartbeats of targets can be expected: the
// store's changes are read without a failure, and show heartbeats of some targets.
// That of no target says nothing about one. The caller holds the mutex.
func (i *Inventory) showsHeartbeats(now time.Time) bool {
	return !i.quiet && !i.followedSince.IsZero() && now.Sub(later(i.followedSince, i.heartbeatAt)) <= heartbeatSilence
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// age returns the time since the inventory was last read.
func (i *Inventory) age(now time.Time) time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return now.Sub(i.readAt)
}

// copyAfter returns the changes after a revision, or the whole inventory if they
// are not known.
func (i *Inventory) copyAfter(revision int64) inventoryCopy {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if revision < i.completeAfter {
		revision = 0
	}
	result := inventoryCopy{After: revision, Inventory: rattanwork.Inventory{Revision: i.revision}, Kept: i.keptTargets()}
	for _, e := range i.targets {
		if e.revision > revision {
			result.Targets = append(result.Targets, e.target)
		}
	}
	slices.SortFunc(result.Targets, func(a, b rattanwork.Target) int { return strings.Compare(a.ID, b.ID) })
	if revision > 0 {
		for id, removedAt := range i.removed {
			if removedAt > revision {
				result.Removed = append(result.Removed, id)
			}
		}
	}
	return result
}

// merge applies what another instance has sent in answer to a request for the
// changes after the revision of this inventory.
func (i *Inventory) merge(received inventoryCopy, now time.Time) {
	i.Keep(received.Kept, now)
	if received.After == 0 {
		i.update(received.Inventory, now)
		return
	}
	i.mutex.Lock()
	followed := i.followedRevision
	known := i.revision >= received.After
	i.mutex.Unlock()
	if known {
		i.apply(followed, rattanwork.InventoryChange{Revision: received.Revision, Updated: received.Targets, Removed: received.Removed}, now)
	}
}

// refresh reads the whole inventory from the store.
func (i *Inventory) refresh(ctx context.Context, clock func() time.Time) error {
	reading, err := i.reader.Current(ctx)
	if err != nil {
		return err
	}
	now := clock()
	i.mutex.Lock()
	if i.revision == 0 {
		i.settledAt = now.Add(settleTime)
	}
	i.mutex.Unlock()
	i.update(reading, now)
	return nil
}

// settled reports whether the inventory contains all targets. An inventory that
// was first copied from a peer does, because the peer has kept those whose
// entries are missing.
func (i *Inventory) settled(now time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return !now.Before(i.settledAt)
}

// follow brings the inventory up to date: it waits for changes, or reads the
// whole inventory if earlier changes may have been missed.
func (i *Inventory) follow(ctx context.Context, clock func() time.Time) error {
	i.mutex.Lock()
	revision := i.followedRevision
	i.mutex.Unlock()
	if revision == 0 {
		err := i.refresh(ctx, clock)
		i.recordFollowed(err, clock())
		return err
	}
	change, err := i.reader.WaitForChange(ctx, revision, changeTimeout)
	if err == nil {
		i.apply(revision, change, clock())
	}
	i.recordFollowed(err, clock())
	return err
}

// recordFollowed records the result of a reading of the store's changes, after
// they were applied.
func (i *Inventory) recordFollowed(err error, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch {
	case err != nil:
		i.quiet = i.quiet || (!i.followedSince.IsZero() && !i.showsHeartbeats(now))
		if !i.followedSince.IsZero() {
			// Heartbeats may be missed from now on.
			i.overdue = overdueReport{}
		}
		i.followedRevision = 0
		i.followedSince = time.Time{}
		return
	case i.followedSince.IsZero():
		i.followedSince = now
	}
	i.followedUntil = now
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
	i.followedRevision = reading.Revision
	changed := i.put(reading.Targets, reading.Revision, now)
	i.completeAfter = reading.Revision
	seen := make(map[string]bool, len(reading.Targets))
	for _, target := range reading.Targets {
		seen[target.ID] = true
	}
	for id, e := range i.targets {
		if !seen[id] && e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
	clear(i.removed)
	changed = i.removeMissing(reading.Revision, now) || changed
	if changed || i.revision == 0 {
		i.revision = reading.Revision
	}
}

// apply applies the changes since a revision, unless the inventory was read
// anew meanwhile.
func (i *Inventory) apply(since int64, change rattanwork.InventoryChange, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.followedRevision != since {
		return
	}
	i.readAt = now
	i.followedRevision = max(since, change.Revision)
	changed := i.put(change.Updated, change.Revision, now)
	for _, id := range change.Removed {
		if e, ok := i.targets[id]; ok && e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
	changed = i.removeMissing(change.Revision, now) || changed
	if changed {
		i.revision = max(i.revision, change.Revision)
	}
}

// put adds or replaces targets as of a revision and reports whether any has
// changed. The caller holds the mutex.
func (i *Inventory) put(targets []rattanwork.Target, revision int64, now time.Time) bool {
	changed := false
	newHeartbeatAt := now
	if i.followedSince.IsZero() && !i.followedUntil.IsZero() {
		newHeartbeatAt = i.followedUntil
	}
	for _, target := range targets {
		delete(i.removed, target.ID)
		known, ok := i.targets[target.ID]
		heardAt := newHeartbeatAt
		switch {
		case ok && known.target.Sequence == target.Sequence:
			heardAt = known.heardAt
		case ok:
			i.heartbeatAt, i.quiet = now, false
		}
		if ok && known.revision != 0 && known.target.Equal(&target) {
			known.missingSince = time.Time{}
			known.target.Sequence, known.heardAt = target.Sequence, heardAt
			known.target.ColdLeft = target.ColdLeft
			continue
		}
		changed = true
		i.targets[target.ID] = &inventoryEntry{target: target, revision: revision, heardAt: heardAt}
	}
	return changed
}

// recordRemoval records that a target was removed. The caller holds the mutex.
func (i *Inventory) recordRemoval(id string, revision int64) {
	if len(i.removed) == maxRemovals {
		clear(i.removed)
		i.completeAfter = revision
	}
	i.removed[id] = revision
}

// SetInUse replaces the set of targets on which the local home has runs. They
// stay in the inventory, so that a successor of the home asks them for their
// runs.
func (i *Inventory) SetInUse(ids map[string]bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.inUse = ids
}

// Kept returns the targets that are missing from the store and on which the local
// home has runs.
func (i *Inventory) Kept() []rattanwork.Target {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.keptTargets()
}

// keptTargets is Kept for callers that hold the mutex.
func (i *Inventory) keptTargets() []rattanwork.Target {
	var kept []rattanwork.Target
	for id, e := range i.targets {
		if i.inUse[id] && !e.missingSince.IsZero() {
			kept = append(kept, e.target)
		}
	}
	return kept
}

// Keep keeps targets on which another instance has runs for missingGrace from now
// on, although the store lacks them. Those that are not known any more are added
// as draining.
func (i *Inventory) Keep(targets []rattanwork.Target, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, target := range targets {
		e, ok := i.targets[target.ID]
		switch {
		case !ok:
			target.Draining = true
			delete(i.removed, target.ID)
			i.targets[target.ID] = &inventoryEntry{target: target, missingSince: now}
		case !e.missingSince.IsZero():
			e.missingSince = now
		}
	}
}

// removeMissing removes the targets that have been missing for missingGrace, or
// marks them as draining if they are in use, and reports whether any has changed.
// The revision is the latest known one. The caller holds the mutex.
func (i *Inventory) removeMissing(revision int64, now time.Time) bool {
	changed := false
	for id, e := range i.targets {
		if e.missingSince.IsZero() || now.Sub(e.missingSince) <= missingGrace {
			continue
		}
		switch {
		case !i.inUse[id]:
			delete(i.targets, id)
			i.recordRemoval(id, revision)
			changed = true
		case !e.target.Draining:
			e.target.Draining = true
			e.revision = revision
			changed = true
		}
	}
	return changed
}
