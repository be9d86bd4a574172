package rattanentry

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanloan"
)

// Borrow takes in the grants of a lender for tasks that wait.
func (h *Home) Borrow(now time.Time, lender, service string, grants []rattanloan.Grant) {
	h.mutex.Lock()
	h.loans.AddBorrowed(now, lender, service, grants)
	if len(grants) > 0 {
		h.counts.count(eventBorrowed)
		h.applyTargets(now)
	}
	h.mutex.Unlock()
	if len(grants) > 0 {
		h.pump()
	}
}

// IdleLoans returns the services of which no task waits and no borrowed slot
// is in use.
func (h *Home) IdleLoans(now time.Time) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	inUse := map[string]bool{}
	targets, _ := h.loans.BorrowedTargets(now)
	for _, target := range targets {
		used := h.queued[target.Service] > 0 || h.busy[target.Name] > 0
		inUse[target.Service] = inUse[target.Service] || used
	}
	var idle []string
	for service, used := range inUse {
		if !used {
			idle = append(idle, service)
		}
	}
	return idle
}

// IdleSlots returns the number of own slots that are neither in use nor lent, by
// service, without the services of which tasks wait.
func (h *Home) IdleSlots(now time.Time) map[string]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	idle := map[string]int{}
	if h.draining {
		return idle
	}
	for _, target := range h.own {
		free := target.Slots - h.busy[target.Name] - h.loans.LentSlots(now, target.Name)
		if !target.Leaving && free > 0 && h.queued[target.Service] == 0 {
			idle[target.Service] += free
		}
	}
	return idle
}

// Lend grants idle slots to another home.
func (h *Home) Lend(now time.Time, request rattanloan.Request) []rattanloan.Grant {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.draining {
		return nil
	}
	var free []rattanloan.FreeTarget
	for _, target := range h.own {
		if target.Service == request.Service && !target.Leaving {
			free = append(free, rattanloan.FreeTarget{Target: target, Address: h.addresses[target.Name], Idle: target.Slots - h.busy[target.Name]})
		}
	}
	grants := h.loans.Lend(now, request, h.queued[request.Service], free)
	if len(grants) > 0 {
		h.applyTargets(now)
	}
	return grants
}

// Repay takes back the slots of targets that a borrower has returned.
func (h *Home) Repay(now time.Time, borrower string, targets []string) {
	h.mutex.Lock()
	h.loans.DropLent(borrower, targets)
	h.applyTargets(now)
	h.mutex.Unlock()
	h.pump()
}

// ReturnLoans gives up the borrowed slots of a service and returns their
// targets by lender.
func (h *Home) ReturnLoans(now time.Time, service string) map[string][]string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := h.loans.ReturnBorrowed(service)
	h.applyTargets(now)
	return returned
}

// Wanted returns the services to borrow slots of, with their number.
func (h *Home) Wanted(now time.Time) map[string]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.loans.SlotsToBorrow(now, h.queued)
}
