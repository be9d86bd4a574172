package rattanpool

import (
	"container/heap"
	"time"
)

// timerKind tells what happens when a timer expires.
type timerKind uint8

const (
	// timerBackoff ends the back-off of a target after a refusal.
	timerBackoff timerKind = iota
	// timerProbe makes an ejected target eligible for a probe task.
	timerProbe
	// timerRelease frees the slot of an unresolved task.
	timerRelease
	// timerSuspect ends the period for which a target is ranked last.
	timerSuspect
)

// timer is an action that is due at a given time.
type timer struct {
	at     time.Duration
	kind   timerKind
	target *target
	// profile and caller are set for timerRelease only.
	profile *resourceProfile
	caller  *caller
}

// timerHeap orders timers by due time; it implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h timerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *timerHeap) Push(item any)     { *h = append(*h, item.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return removed
}

func (s *Scheduler) runTimers(now time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		s.runTimer(now, heap.Pop(&s.timers).(timer))
	}
}

func (s *Scheduler) runTimer(now time.Duration, due timer) {
	switch due.kind {
	case timerBackoff:
		s.updateRanks(now, due.target)
	case timerSuspect:
		due.target.suspectTimerSet = due.target.suspectUntil > now
		if until := due.target.suspectUntil; until > now {
			heap.Push(&s.timers, timer{at: until, kind: timerSuspect, target: due.target})
		}
		s.updateRanks(now, due.target)
	case timerProbe:
		s.startProbing(now, due.target)
	case timerRelease:
		s.unresolvedSlots--
		s.releaseSlot(now, due.target, due.profile, due.caller)
	}
}
