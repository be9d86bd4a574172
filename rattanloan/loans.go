// Package rattanloan keeps track of the slots that a home lends to homes of
// other pools and borrows from them. It does no I/O and does not read the
// clock: callers pass the current time.
//
// A loan ends when its lease expires, so a lost message cannot leak a slot. The
// borrower stops using a slot before the lender counts on it again, and a
// target refuses tasks beyond its number of slots.
package rattanloan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// Config configures the timing and the limits of loans. Zero values select the
// defaults.
type Config struct {
	// Lease is how long a loan lasts without renewal. Default 2 s.
	Lease time.Duration
	// ExpiryMargin is how long before the end of the lease the borrower stops
	// using the slots. It covers the time that the reply with the grants takes
	// to arrive. Default 500 ms.
	ExpiryMargin time.Duration
	// BorrowDelay is how long tasks must have waited before slots are borrowed.
	// Default 10 ms.
	BorrowDelay time.Duration
	// RetryInterval is the time after which slots of a service are requested
	// again from lenders that had none to lend. Default 500 ms.
	RetryInterval time.Duration
	// ReservedShare is the share of a service's slots that is never lent, so
	// that the lender's own callers are not delayed. Default 0.1.
	ReservedShare float64
}

// Request is a request to borrow slots of a service.
type Request struct {
	Borrower string
	Service  string
	Slots    int
}

// Grant is a loan of slots of one target.
type Grant struct {
	Target  rattanpool.Target
	Address string
	// Slots is at most Target.Slots.
	Slots int
	Lease rattanjson.Duration
}

// FreeTarget is a target of the lender that may have idle slots.
type FreeTarget struct {
	Target  rattanpool.Target
	Address string
	// Idle is the number of slots that the lender does not use itself. Lend
	// subtracts the slots that are already lent.
	Idle int
}

// loan is a grant that is valid until a point in time.
type loan struct {
	grant     Grant
	peer      string
	expiresAt time.Time
}

// loanKey identifies a loan. A peer has at most one loan of each target.
type loanKey struct {
	peer, targetName string
}

// LoanTable holds all loans of one home. It is not safe for concurrent use.
type LoanTable struct {
	config Config
	// lent holds the loans to other homes, borrowed those from other homes by
	// target name.
	lent     map[loanKey]loan
	borrowed map[string]loan
	// waitingSince is the time since which tasks of a service have been waiting
	// continuously.
	waitingSince map[string]time.Time
	// retryAfter is the time before which slots of a service are not requested
	// again.
	retryAfter map[string]time.Time
}

// New returns a LoanTable without loans.
func New(config Config) *LoanTable {
	config.Lease = cmp.Or(config.Lease, 2*time.Second)
	config.ExpiryMargin = cmp.Or(config.ExpiryMargin, 500*time.Millisecond)
	config.BorrowDelay = cmp.Or(config.BorrowDelay, 10*time.Millisecond)
	config.RetryInterval = cmp.Or(config.RetryInterval, 500*time.Millisecond)
	config.ReservedShare = cmp.Or(config.ReservedShare, 0.1)
	return &LoanTable{
		config:       config,
		lent:         map[loanKey]loan{},
		borrowed:     map[string]loan{},
		waitingSince: map[string]time.Time{},
		retryAfter:   map[string]time.Time{},
	}
}

// BorrowedTargets returns the targets with borrowed slots, limited to the
// number of these slots, and the addresses of the targets. Targets whose loan
// is about to expire are Leaving.
func (t *LoanTable) BorrowedTargets(now time.Time) ([]rattanpool.Target, map[string]string) {
	targets := make([]rattanpool.Target, 0, len(t.borrowed))
	addresses := make(map[string]string, len(t.borrowed))
	for name, borrowed := range t.borrowed {
		target := borrowed.grant.Target
		target.Slots = borrowed.grant.Slots
		target.Leaving = !now.Before(borrowed.expiresAt)
		targets = append(targets, target)
		addresses[name] = borrowed.grant.Address
	}
	slices.SortFunc(targets, func(a, b rattanpool.Target) int { return cmp.Compare(a.Name, b.Name) })
	return targets, addresses
}

// AddBorrowed records the grants of a lender. If there are none, SlotsToBorrow
// omits the service for RetryInterval.
func (t *LoanTable) AddBorrowed(now time.Time, lender, service string, grants []Grant) {
	if len(grants) == 0 {
		t.retryAfter[service] = now.Add(t.config.RetryInterval)
		return
	}
	for _, grant := range grants {
		if grant.Slots < 1 || grant.Slots > grant.Target.Slots {
			continue
		}
		expiresAt := now.Add(grant.Lease.Std() - t.config.ExpiryMargin)
		t.borrowed[grant.Target.Name] = loan{grant: grant, peer: lender, expiresAt: expiresAt}
	}
}

// Expire drops the loans whose lease has expired and reports whether the
// targets of the pool have changed. A borrowed target is Leaving for
// ExpiryMargin before it is dropped.
func (t *LoanTable) Expire(now time.Time) (changed bool) {
	before := len(t.lent) + len(t.borrowed)
	maps.DeleteFunc(t.lent, func(_ loanKey, l loan) bool { return !now.Before(l.expiresAt) })
	anyExpired := false
	maps.DeleteFunc(t.borrowed, func(_ string, l loan) bool {
		anyExpired = anyExpired || !now.Before(l.expiresAt)
		return !now.Before(l.expiresAt.Add(t.config.ExpiryMargin))
	})
	return anyExpired || before != len(t.lent)+len(t.borrowed)
}

// Lend grants slots to a borrower, from the targets with the most idle slots
// first. It grants none if any of the lender's own tasks are waiting.
func (t *LoanTable) Lend(now time.Time, request Request, waiting int, targets []FreeTarget) []Grant {
	if waiting > 0 || request.Slots < 1 {
		return nil
	}
	totalSlots, idleSlots := 0, 0
	for i := range targets {
		lent := t.LentSlots(now, targets[i].Target.Name)
		targets[i].Idle = max(0, targets[i].Idle-lent)
		totalSlots += targets[i].Target.Slots
		idleSlots += targets[i].Idle
	}
	available := min(request.Slots, idleSlots-int(float64(totalSlots)*t.config.ReservedShare))
	slices.SortFunc(targets, func(a, b FreeTarget) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Target.Name, b.Target.Name))
	})
	var grants []Grant
	for _, candidate := range targets {
		slots := min(available, candidate.Idle)
		if slots < 1 {
			break
		}
		available -= slots
		grant := Grant{Target: candidate.Target, Address: candidate.Address, Slots: slots, Lease: rattanjson.Duration(t.config.Lease)}
		key := loanKey{peer: request.Borrower, targetName: candidate.Target.Name}
		grant.Slots += t.lent[key].grant.Slots
		grants = append(grants, grant)
		t.lent[key] = loan{grant: grant, peer: request.Borrower, expiresAt: now.Add(t.config.Lease)}
	}
	return grants
}

// LentSlots returns the number of slots of a target that are lent.
func (t *LoanTable) LentSlots(now time.Time, targetName string) int {
	slots := 0
	for key, lent := range t.lent {
		if key.targetName == targetName && now.Before(lent.expiresAt) {
			slots += lent.grant.Slots
		}
	}
	return slots
}

// DropLent drops the loans of the named targets after the borrower has returned
// them.
func (t *LoanTable) DropLent(borrower string, targetNames []string) {
	for _, targetName := range targetNames {
		delete(t.lent, loanKey{peer: borrower, targetName: targetName})
	}
}

// ReturnBorrowed removes the borrowed slots of a service and returns the names
// of their targets by lender, which are needed for the messages to the lenders.
func (t *LoanTable) ReturnBorrowed(service string) map[string][]string {
	returned := map[string][]string{}
	for name, borrowed := range t.borrowed {
		if borrowed.grant.Target.Service == service {
			returned[borrowed.peer] = append(returned[borrowed.peer], name)
			delete(t.borrowed, name)
		}
	}
	return returned
}

// SlotsToBorrow returns the number of slots to borrow by service, for the
// services whose tasks have been waiting continuously for BorrowDelay.
func (t *LoanTable) SlotsToBorrow(now time.Time, waiting map[string]int) map[string]int {
	slotsByService := map[string]int{}
	maps.DeleteFunc(t.waitingSince, func(service string, _ time.Time) bool { return waiting[service] == 0 })
	for service, count := range waiting {
		if count == 0 {
			continue
		}
		since, ok := t.waitingSince[service]
		if !ok {
			t.waitingSince[service] = now
			continue
		}
		if now.Sub(since) >= t.config.BorrowDelay && !now.Before(t.retryAfter[service]) {
			slotsByService[service] = count
		}
	}
	return slotsByService
}
