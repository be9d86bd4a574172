package rattanzone

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// directoryInterval is the interval at which the directory is read and the
	// entry of this instance is renewed.
	directoryInterval   = 1500 * time.Millisecond
	directoryRetryDelay = 300 * time.Millisecond
	// memberRetention is how long a member is kept after its last heartbeat and
	// its last listing in the directory.
	memberRetention = 20 * time.Second
	pullTimeout     = 400 * time.Millisecond
)

// directoryLoop keeps this instance's entry in the directory and the list of
// members up to date.
func (a *Agent) directoryLoop() {
	lost := false
	for a.ctx.Err() == nil {
		wait := directoryInterval
		if err := a.readDirectory(); err != nil {
			wait = directoryRetryDelay
			if !lost && a.ctx.Err() == nil {
				a.config.Journal.DirectoryLost(err)
			}
			lost = true
		} else if lost {
			lost = false
			a.config.Journal.DirectoryRegained()
		}
		if a.config.Clock().Sub(a.startedAt) < discoveryTime {
			wait = electionInterval
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// readDirectory renews this instance's entry unless it is shutting down, and
// updates the list of members.
func (a *Agent) readDirectory() error {
	begunAt := a.config.Clock()
	if !a.isTerminating() {
		if err := a.config.Directory.Announce(a.ctx, a.config.Self); err != nil {
			return err
		}
	}
	members, err := a.config.Directory.Members(a.ctx, a.config.Self.Name)
	if err != nil {
		return err
	}
	now := a.config.Clock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.directoryRead = true
	a.continuity.directoryReadAt = begunAt
	for _, listed := range members {
		if listed.Name == a.config.Self.Name {
			continue
		}
		known, ok := a.members[listed.Name]
		if !ok || known.Incarnation < listed.Incarnation {
			known = &member{Member: listed}
			a.members[listed.Name] = known
		}
		known.lastListed = now
	}
	for name, m := range a.members {
		if now.Sub(m.lastListed) > memberRetention {
			delete(a.members, name)
		}
	}
	return nil
}

func (a *Agent) isTerminating() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.terminating
}

// pullNewer fetches the desired state and the inventory from the sender of a
// view if they are newer there. A home reads the inventory itself.
func (a *Agent) pullNewer(view *View) {
	a.config.DesiredState.Announce(view.Sender, view.DesiredVersion, a.config.Clock())
	if a.LocalHome() == nil && a.inventoryPullDue(view.InventoryRevision) {
		go a.pullInventory(view.Sender)
	}
}

const (
	// minPullInterval and maxPullInterval bound the random interval between the
	// pulls of an instance that is not a home. It needs the inventory when it
	// becomes a home while the store is away; what it does not know then, such
	// as a capacity that has shrunk, it does not respect. A pull brings only
	// what has changed since the last one.
	minPullInterval = 700 * time.Millisecond
	maxPullInterval = 1300 * time.Millisecond
)

// inventoryPullDue reports whether to pull an inventory of the given revision,
// and if so, schedules the next pull.
func (a *Agent) inventoryPullDue(revision int64) bool {
	known := a.config.Inventory.Revision()
	if revision <= known {
		return false
	}
	now := a.config.Clock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if known != 0 && now.Before(a.nextInventoryPull) {
		return false
	}
	a.nextInventoryPull = now.Add(minPullInterval + rand.N(maxPullInterval-minPullInterval))
	return true
}

// pullInventory fetches the inventory from a peer and reports whether it has
// received one.
func (a *Agent) pullInventory(peer rattanwork.Member) bool {
	ctx, cancel := context.WithTimeout(a.ctx, pullTimeout)
	defer cancel()
	request := inventoryRequest{After: a.config.Inventory.Revision()}
	body, err := a.config.Peers.Call(ctx, peer.Address, methodInventory, mustMarshal(request))
	if err != nil {
		return false
	}
	received, ok := decodeInventory(body)
	if !ok {
		return false
	}
	a.config.Inventory.merge(received, a.config.Clock())
	return true
}

// inventoryRequest asks an instance for its inventory.
type inventoryRequest struct {
	// After is the revision after which changes are requested. With 0, the whole
	// inventory is requested.
	After int64
}

// handleInventory answers with the inventory. An instance that is not a home and
// so does not follow the store reads it first if its inventory is older than
// inventoryInterval.
func (a *Agent) handleInventory(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request inventoryRequest
	// Instances of the former version send no body.
	if len(body) > 0 {
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Annotate(err, "decode inventory request")
		}
	}
	now := a.config.Clock()
	if a.LocalHome() == nil && a.config.Inventory.age(now) > inventoryInterval {
		readCtx, cancel := context.WithTimeout(ctx, pullTimeout/2)
		defer cancel()
		if err := a.config.Inventory.refresh(readCtx, a.config.Clock); err != nil && a.config.Inventory.Revision() == 0 {
			return nil, errors.Trace(err)
		}
	}
	return mustMarshal(a.config.Inventory.copyAfter(request.After)), nil
}

// inventoryLoop keeps the inventory of a home up to date. It reads the store
// or, while the store does not answer, asks other instances.
func (a *Agent) inventoryLoop() {
	for a.ctx.Err() == nil {
		wait := inventoryInterval
		if localHome := a.LocalHome(); localHome != nil {
			wait = a.updateInventory(localHome)
		} else {
			a.config.Inventory.SetInUse(nil)
		}
		select {
		case <-a.ctx.Done():
		case <-a.config.Inventory.refreshRequested:
		case <-time.After(wait):
		}
	}
}

// updateInventory brings the inventory up to date, passes it to the local home
// and returns the time until the next call.
func (a *Agent) updateInventory(localHome *rattanhome.Home) time.Duration {
	inventory := a.config.Inventory
	inventory.SetInUse(localHome.TargetsInUse())
	err := inventory.follow(a.ctx, a.config.Clock)
	if err != nil {
		a.pullInventoryFromPeers()
	}
	now := a.config.Clock()
	localHome.UpdateTargets(inventory.ZoneTargets(a.config.Self.Zone, now), err == nil && inventory.settled(now))
	switch {
	case inventory.Revision() == 0:
		return electionInterval
	case err != nil:
		return inventoryInterval
	default:
		return changeInterval
	}
}

// membersByInventory returns the members, those with the newest inventory first.
func (a *Agent) membersByInventory() []rattanwork.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	list := slices.SortedFunc(maps.Values(a.members), func(x, y *member) int {
		return cmp.Compare(y.inventoryRevision, x.inventoryRevision)
	})
	members := make([]rattanwork.Member, len(list))
	for i, m := range list {
		members[i] = m.Member
	}
	return members
}

// pullInventoryFromPeers asks the members one after the other until one of them
// returns an inventory that is not older than the known one.
func (a *Agent) pullInventoryFromPeers() {
	for _, m := range a.membersByInventory() {
		if a.pullInventory(m) && a.config.Inventory.age(a.config.Clock()) < inventoryInterval {
			return
		}
	}
}
