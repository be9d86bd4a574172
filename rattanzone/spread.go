package rattanzone

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// directoryInterval is how often the directory is read and the own entry
	// kept.
	directoryInterval = 1500 * time.Millisecond
	directoryRetry    = 300 * time.Millisecond
	// forgetAfter is how long a member that neither answers nor is listed is
	// remembered.
	forgetAfter = 20 * time.Second
	pullTimeout = 400 * time.Millisecond
)

func (a *Agent) directoryLoop() {
	lost := false
	for a.ctx.Err() == nil {
		wait := directoryInterval
		if err := a.readDirectory(); err != nil {
			wait = directoryRetry
			if !lost && a.ctx.Err() == nil {
				a.config.Journal.DirectoryLost(err)
			}
			lost = true
		} else if lost {
			lost = false
			a.config.Journal.DirectoryBack()
		}
		if a.config.Clock().Sub(a.started) < settleTime {
			wait = electionInterval
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (a *Agent) readDirectory() error {
	if !a.leaving() {
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
	for _, listed := range members {
		if listed.Name == a.config.Self.Name {
			continue
		}
		known, ok := a.members[listed.Name]
		if !ok || known.Incarnation < listed.Incarnation {
			known = &member{Member: listed}
			a.members[listed.Name] = known
		}
		known.listed = now
	}
	for name, m := range a.members {
		if now.Sub(m.listed) > forgetAfter {
			delete(a.members, name)
		}
	}
	return nil
}

func (a *Agent) leaving() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.terminating
}

// catchUp fetches what the sender of a view has newer.
func (a *Agent) catchUp(view *View) {
	if view.Desired > a.config.Desired.Version() {
		go a.pullDesired(view.Sender)
	}
	if a.Own() == nil && view.Inventory > a.config.Inventory.Revision() {
		go a.pullInventory(view.Sender)
	}
}

func (a *Agent) pullDesired(from rattanwork.Member) {
	ctx, cancel := context.WithTimeout(a.ctx, pullTimeout)
	defer cancel()
	document, err := a.config.Peers.Call(ctx, from.Address, methodDesired, nil)
	if err != nil || len(document) == 0 {
		return
	}
	_ = a.config.Desired.Accept(document, from.Name)
}

func (a *Agent) pullInventory(from rattanwork.Member) bool {
	ctx, cancel := context.WithTimeout(a.ctx, pullTimeout)
	defer cancel()
	body, err := a.config.Peers.Call(ctx, from.Address, methodInventory, nil)
	if err != nil {
		return false
	}
	var inventory rattanwork.Inventory
	if json.Unmarshal(body, &inventory) != nil || inventory.Revision == 0 {
		return false
	}
	a.config.Inventory.accept(inventory, a.config.Clock())
	return true
}

func (a *Agent) onDesired(context.Context, string, []byte) ([]byte, error) {
	return a.config.Desired.Document(), nil
}

// onInventory answers with the inventory, read anew if it is old.
func (a *Agent) onInventory(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	now := a.config.Clock()
	if a.config.Inventory.age(now) > inventoryInterval {
		readCtx, cancel := context.WithTimeout(ctx, pullTimeout/2)
		defer cancel()
		if err := a.config.Inventory.read(readCtx, a.config.Clock); err != nil && a.config.Inventory.Revision() == 0 {
			return nil, errors.Trace(err)
		}
	}
	return encode(a.config.Inventory.copy()), nil
}

// inventoryLoop keeps the inventory of a home up to date, from the store or,
// while that does not answer, from other instances.
func (a *Agent) inventoryLoop() {
	for a.ctx.Err() == nil {
		own := a.Own()
		if own != nil {
			err := a.config.Inventory.read(a.ctx, a.config.Clock)
			if err != nil {
				a.askForInventory()
			}
			own.UpdateTargets(a.config.Inventory.Zone(a.config.Self.Zone), err == nil)
		}
		wait := inventoryInterval
		if own != nil && a.config.Inventory.Revision() == 0 {
			wait = electionInterval
		}
		select {
		case <-a.ctx.Done():
		case <-a.config.Inventory.kicked:
		case <-time.After(wait):
		}
	}
}

func (a *Agent) askForInventory() {
	a.mutex.Lock()
	var members []rattanwork.Member
	for _, m := range a.members {
		members = append(members, m.Member)
	}
	a.mutex.Unlock()
	for _, m := range members {
		if a.pullInventory(m) && a.config.Inventory.age(a.config.Clock()) < inventoryInterval {
			return
		}
	}
}
