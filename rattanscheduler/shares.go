package rattanscheduler

import (
	"math"
	"time"
)

const (
	// minShare is the part of the capacity that a priority with waiting jobs keeps
	// however much more urgent work there is.
	minShare = 0.05
	// shareWindow is the time over which the work that a priority has started is
	// averaged. It is longer than most tasks, so that a priority whose jobs are large
	// gets its share in whole jobs.
	shareWindow = 4 * time.Second
)

// startedShare averages the work that a priority has started.
type startedShare struct {
	// work is in nanoseconds times thousandths of a core as of updatedAt.
	work      float64
	updatedAt time.Time
}

// add adds the expected work of a run.
func (s *startedShare) add(work float64, now time.Time) {
	s.work = s.at(now) + work
	s.updatedAt = now
}

// at returns the work that still counts at the given time.
func (s *startedShare) at(now time.Time) float64 {
	if s.work == 0 {
		return 0
	}
	return s.work * math.Exp(-float64(now.Sub(s.updatedAt))/float64(shareWindow))
}

// owed reports whether a priority has started less work than its least share.
func (state *serviceState) owed(priority int, now time.Time) bool {
	share, ok := state.shares[priority]
	return !ok || share.at(now) < minShare*float64(state.pool.capacityMilliCPU)*float64(shareWindow)
}

// recordShare adds a run to the work that its priority has started.
func (state *serviceState) recordShare(priority int, work float64, now time.Time) {
	share, ok := state.shares[priority]
	if !ok {
		share = &startedShare{}
		state.shares[priority] = share
	}
	share.add(work, now)
}

// waitByShare returns how long a job waits at most if its priority only gets its least
// share, given the work of its class before it.
func (state *serviceState) waitByShare(demand waitDemand, before backlogSum) time.Duration {
	return time.Duration((before.work + demand.own.work) / (minShare * float64(state.pool.capacityMilliCPU)))
}

// scheduleOwed starts on-time jobs of the priorities that have started less than their
// least share, until they have it.
func (s *Scheduler) scheduleOwed(state *serviceState, pass *placementPass) {
	keys := onTimeKeys(pass.now.UnixNano())
	for _, class := range state.queue.classes {
		if !class.started && len(class.blocks) > 0 {
			s.scheduleClass(class, keys, pass, func() bool { return state.owed(class.priority, pass.now) })
		}
	}
}
