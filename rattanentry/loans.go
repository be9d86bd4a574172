package rattanentry

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanloan"
)

// Borrow adds the slots that a lender has granted for a service.
func (h *Home) Borrow(now time.Time, lender, service string, grants []rattanloan.Grant) {
	h.mutex.Lock()
	h.loanTable.AddBorrowed(now, lender, service, grants)
	if len(grants) > 0 {
		h.metrics.count(eventBorrowed)
		h.applyTargets(now)
	}
	h.mutex.Unlock()
	if len(grants) > 0 {
		h.assignTasks()
	}
}

// IdleLoans returns the services with borrowed slots that have no queued task
// and no borrowed slot in use.
func (h *Home) IdleLoans(now time.Time) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	usedServices := map[string]bool{}
	targets, _ := h.loanTable.BorrowedTargets(now)
	for _, target := range targets {
		used := h.queuedTasks[target.Service] > 0 || h.busySlots[target.Name] > 0
		usedServices[target.Service] = usedServices[target.Service] || used
	}
	var idle []string
	for service, used := range usedServices {
		if !used {
			idle = append(idle, service)
		}
	}
	return idle
}

// IdleSlots returns the number of own slots that are neither in use nor lent,
// by service. Services with queued tasks are left out.
func (h *Home) IdleSlots(now time.Time) map[string]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	idle := map[string]int{}
	if h.draining {
		return idle
	}
	for _, target := range h.ownTargets {
		free := target.Slots - h.busySlots[target.Name] - h.loanTable.LentSlots(now, target.Name)
		if !target.Leaving && free > 0 && h.queuedTasks[target.Service] == 0 {
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
	for _, target := range h.ownTargets {
		if target.Service == request.Service && !target.Leaving {
			free = append(free, rattanloan.FreeTarget{Target: target, Address: h.targetAddresses[target.Name], Idle: target.Slots - h.busySlots[target.Name]})
		}
	}
	grants := h.loanTable.Lend(now, request, h.queuedTasks[request.Service], free)
	if len(grants) > 0 {
		h.applyTargets(now)
	}
	return grants
}

// AcceptReturn takes back the lent slots of targets that a borrower has
// returned.
func (h *Home) AcceptReturn(now time.Time, borrower string, targets []string) {
	h.mutex.Lock()
	h.loanTable.DropLent(borrower, targets)
	h.applyTargets(now)
	h.mutex.Unlock()
	h.assignTasks()
}

// ReturnLoans gives up the borrowed slots of a service and returns the names of
// their targets by lender.
func (h *Home) ReturnLoans(now time.Time, service string) map[string][]string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := h.loanTable.ReturnBorrowed(service)
	h.applyTargets(now)
	return returned
}

// SlotsToBorrow returns the number of slots to borrow, by service.
func (h *Home) SlotsToBorrow(now time.Time) map[string]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.loanTable.SlotsToBorrow(now, h.queuedTasks)
}
