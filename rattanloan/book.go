// Package rattanloan keeps a home's book of slots that it lends to the homes of
// other pools and borrows from them. It is pure: the present time
// is an argument. A loan ends by itself when its lease lapses, so no message
// that is lost can lose a slot for good; a borrower stops using a slot before
// the lender counts on it again, and a target refuses tasks beyond its slots.
package rattanloan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// Config holds the timings and bounds of loans. Zero values take defaults.
type Config struct {
	// Lease is how long a loan lasts without renewal. Default 2 s.
	Lease time.Duration
	// Margin is how long before the end of the lease the borrower stops using
	// the slots; it covers the time of the reply on its way. Default 500 ms.
	Margin time.Duration
	// SpillAfter is how long tasks must wait before slots are borrowed.
	// Default 10 ms.
	SpillAfter time.Duration
	// Pause is the time between requests of a service to lenders that had
	// nothing to lend. Default 500 ms.
	Pause time.Duration
	// Reserve is the share of a service's slots that is never lent, so that
	// the lender's own callers are not delayed. Default 0.1.
	Reserve float64
}

// Request asks for slots of a service.
type Request struct {
	Borrower string
	Service  string
	Slots    int
}

// Grant is the loan of slots of one target.
type Grant struct {
	Target  rattanpool.Target
	Address string
	// Slots is at most Target.Slots.
	Slots int
	Lease rattanjson.Duration
}

// FreeTarget is a target of the lender with slots that are not in use.
type FreeTarget struct {
	Target  rattanpool.Target
	Address string
	// Idle is the number of free slots, without those lent already.
	Idle int
}

// loan is a number of slots of one target until a time.
type loan struct {
	grant Grant
	party string
	until time.Time
}

// loanKey tells loans apart; a party has at most one of a target.
type loanKey struct {
	party, target string
}

// LoanTable holds all loans of one home. It is not safe for concurrent use.
type LoanTable struct {
	config   Config
	lent     map[loanKey]loan
	borrowed map[string]loan
	// waitingSince is when tasks of a service began to wait without a break.
	waitingSince map[string]time.Time
	pausedUntil  map[string]time.Time
}

// New returns an empty book.
func New(config Config) *LoanTable {
	config.Lease = cmp.Or(config.Lease, 2*time.Second)
	config.Margin = cmp.Or(config.Margin, 500*time.Millisecond)
	config.SpillAfter = cmp.Or(config.SpillAfter, 10*time.Millisecond)
	config.Pause = cmp.Or(config.Pause, 500*time.Millisecond)
	config.Reserve = cmp.Or(config.Reserve, 0.1)
	return &LoanTable{
		config:       config,
		lent:         map[loanKey]loan{},
		borrowed:     map[string]loan{},
		waitingSince: map[string]time.Time{},
		pausedUntil:  map[string]time.Time{},
	}
}

// BorrowedTargets returns the targets whose slots are borrowed, with the borrowed
// number of slots, and their addresses. A loan near its end is Leaving.
func (b *LoanTable) BorrowedTargets(now time.Time) ([]rattanpool.Target, map[string]string) {
	targets := make([]rattanpool.Target, 0, len(b.borrowed))
	addresses := make(map[string]string, len(b.borrowed))
	for name, held := range b.borrowed {
		target := held.grant.Target
		target.Slots = held.grant.Slots
		target.Leaving = !now.Before(held.until)
		targets = append(targets, target)
		addresses[name] = held.grant.Address
	}
	slices.SortFunc(targets, func(a, b rattanpool.Target) int { return cmp.Compare(a.Name, b.Name) })
	return targets, addresses
}

// AddBorrowed takes in the grants of a lender. Without any, the service is not
// asked for again during Pause.
func (b *LoanTable) AddBorrowed(now time.Time, lender, service string, grants []Grant) {
	if len(grants) == 0 {
		b.pausedUntil[service] = now.Add(b.config.Pause)
		return
	}
	for _, grant := range grants {
		if grant.Slots < 1 || grant.Slots > grant.Target.Slots {
			continue
		}
		until := now.Add(grant.Lease.Std() - b.config.Margin)
		b.borrowed[grant.Target.Name] = loan{grant: grant, party: lender, until: until}
	}
}

// Expire drops loans whose lease has lapsed and reports whether the targets of
// the pool have changed. A lapsed borrowed target stays Leaving for Margin.
func (b *LoanTable) Expire(now time.Time) (changed bool) {
	before := len(b.lent) + len(b.borrowed)
	maps.DeleteFunc(b.lent, func(_ loanKey, held loan) bool { return !now.Before(held.until) })
	leaving := false
	maps.DeleteFunc(b.borrowed, func(_ string, held loan) bool {
		leaving = leaving || !now.Before(held.until)
		return !now.Before(held.until.Add(b.config.Margin))
	})
	return leaving || before != len(b.lent)+len(b.borrowed)
}

// Lend decides how many slots a borrower gets, and of which targets: those
// with the most idle slots first. It lends nothing while own tasks wait.
func (b *LoanTable) Lend(now time.Time, request Request, waiting int, free []FreeTarget) []Grant {
	if waiting > 0 || request.Slots < 1 {
		return nil
	}
	total, idle := 0, 0
	for i := range free {
		lent := b.LentSlots(now, free[i].Target.Name)
		free[i].Idle = max(0, free[i].Idle-lent)
		total += free[i].Target.Slots
		idle += free[i].Idle
	}
	left := min(request.Slots, idle-int(float64(total)*b.config.Reserve))
	slices.SortFunc(free, func(a, b FreeTarget) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Target.Name, b.Target.Name))
	})
	var grants []Grant
	for _, candidate := range free {
		slots := min(left, candidate.Idle)
		if slots < 1 {
			break
		}
		left -= slots
		grant := Grant{Target: candidate.Target, Address: candidate.Address, Slots: slots, Lease: rattanjson.Duration(b.config.Lease)}
		key := loanKey{party: request.Borrower, target: candidate.Target.Name}
		grant.Slots += b.lent[key].grant.Slots
		grants = append(grants, grant)
		b.lent[key] = loan{grant: grant, party: request.Borrower, until: now.Add(b.config.Lease)}
	}
	return grants
}

// LentSlots returns the number of slots of a target that are lent.
func (b *LoanTable) LentSlots(now time.Time, target string) int {
	slots := 0
	for key, held := range b.lent {
		if key.target == target && now.Before(held.until) {
			slots += held.grant.Slots
		}
	}
	return slots
}

// DropLent drops all loans to a borrower of the named targets.
func (b *LoanTable) DropLent(borrower string, targets []string) {
	for _, target := range targets {
		delete(b.lent, loanKey{party: borrower, target: target})
	}
}

// ReturnBorrowed removes the borrowed slots of a service and returns their targets by
// lender, for the message that repays them.
func (b *LoanTable) ReturnBorrowed(service string) map[string][]string {
	returned := map[string][]string{}
	for name, held := range b.borrowed {
		if held.grant.Target.Service == service {
			returned[held.party] = append(returned[held.party], name)
			delete(b.borrowed, name)
		}
	}
	return returned
}

// SlotsToBorrow returns the services to borrow slots of, with the number of slots:
// those of which tasks have waited for SpillAfter without a break.
func (b *LoanTable) SlotsToBorrow(now time.Time, waiting map[string]int) map[string]int {
	wanted := map[string]int{}
	maps.DeleteFunc(b.waitingSince, func(service string, _ time.Time) bool { return waiting[service] == 0 })
	for service, count := range waiting {
		if count == 0 {
			continue
		}
		since, ok := b.waitingSince[service]
		if !ok {
			b.waitingSince[service] = now
			continue
		}
		if now.Sub(since) >= b.config.SpillAfter && !now.Before(b.pausedUntil[service]) {
			wanted[service] = count
		}
	}
	return wanted
}
