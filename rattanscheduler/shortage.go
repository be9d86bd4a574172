package rattanscheduler

import (
	"math"
	"time"
)

// notePriority records the priority of a submission to the service.
func (state *serviceState) notePriority(priority int) {
	state.queue.mixed = state.mixedWith(priority)
	state.submitted, state.priority = true, priority
}

// mixedWith reports whether the service has jobs of several priorities, given one of the
// priority.
func (state *serviceState) mixedWith(priority int) bool {
	return state.queue.mixed || state.submitted && priority != state.priority
}

// awaitsEnds reports whether the job waits for the ends of runs. A job for a task of which
// a target has room waits for something else, such as a lease or a listing.
func (state *serviceState) awaitsEnds(j *job) bool {
	return state.expectsEnds() && !j.entry.demand.FitsIn(state.pool.maxFree())
}

// waitDemand is what the expected wait of a job depends on besides the work before it.
type waitDemand struct {
	priority int
	// own is the demand of all its tasks, and the work of all but the last one.
	own backlogSum
	// byEnds is set if the job waits for the ends of runs, for a time that is longer by
	// the learned factor than if it got all capacity that they release.
	byEnds bool
	factor float64
}

// waitDemand returns what the expected wait of a queued job depends on.
func (state *serviceState) waitDemand(j *job) waitDemand {
	demand := waitDemand{
		priority: j.submission.Priority,
		own:      backlogSum{j.entry.work * float64(j.entry.tasks-1) / float64(max(1, j.entry.tasks)), j.entry.milliCPU},
		byEnds:   state.awaitsEnds(j),
	}
	if demand.byEnds {
		demand.factor = state.waits[j.waitKey()].factor()
	}
	return demand
}

// expectedWait returns how long a job is expected to wait, given the work before it: for
// its last task if it waits for the ends of runs.
func (state *serviceState) expectedWait(demand waitDemand, before backlogSum, now time.Time) time.Duration {
	if !demand.byEnds {
		return state.pool.timeFor(before.work)
	}
	return time.Duration(demand.factor * float64(state.waitByEnds(demand, before, now)))
}

// waitByEnds returns how long the last task of a job would wait if all capacity that
// runs release were used.
func (state *serviceState) waitByEnds(demand waitDemand, before backlogSum, now time.Time) time.Duration {
	before.add(demand.own)
	return state.releases.wait(before, state.pool.usedMilliCPU(), now)
}

// admissionWait returns how long a job that has not started is expected to wait, also if
// its priority only gets its least share. before is all work before it, inClass that of
// its class. It is the only model of the wait while most ends of runs are known: admission,
// redirects, reports to other zones and suggested retry delays follow it. A wait that is
// not longer than enough may be longer than the least one.
func (state *serviceState) admissionWait(demand waitDemand, before, inClass backlogSum, enough time.Duration, now time.Time) time.Duration {
	wait := state.expectedWait(demand, before, now)
	if wait <= enough || !state.owed(demand.priority, now) {
		return wait
	}
	return min(wait, max(state.waitByShare(demand, inClass), state.expectedWait(demand, inClass, now)))
}

// waitOfQueued returns how long a job with a place in the queue is expected to wait, given
// the work before it.
func (state *serviceState) waitOfQueued(j *job, before backlogSum, now time.Time) time.Duration {
	demand := state.waitDemand(j)
	if !state.expectsEnds() || j.class == nil || j.class.started {
		return state.expectedWait(demand, before, now)
	}
	return state.admissionWait(demand, before, state.queue.classBacklog(j, now.UnixNano()), 0, now)
}

// startsTooLate reports whether a job that has not started would miss its objective
// because its last task is expected to start too late. before is all work before it,
// inClass that of its class.
func (state *serviceState) startsTooLate(j *job, before, inClass backlogSum, now time.Time) bool {
	if j.mayHaveStarted() {
		return false
	}
	latest := max(j.timing.slack(now), 0) + overloadTolerance
	return state.admissionWait(state.waitDemand(j), before, inClass, latest, now) > latest
}

// followEnds makes the expected wait in another zone follow the model of admission control.
// Learned factors and the turnover of runs are those of this zone: those of the other zone
// are not known, and the jobs of a service are alike in all zones.
func (state *serviceState) followEnds(need *zoneNeed) {
	tasks, milliCPU, least := 0, 0, math.MaxInt
	for _, demand := range need.demands {
		tasks += demand.tasks
		milliCPU += demand.tasks * demand.milliCPU
		least = min(least, demand.milliCPU)
	}
	factor := state.waits[waitKeyOf(need.priority, least)].factor()
	need.sizeFactor = factor / state.waits[waitKey{need.priority, allSizes}].factor()
	// The reported wait is that of the first task.
	need.extraWork = factor * float64(milliCPU-milliCPU/max(1, tasks)) * float64(state.releases.turnover())
}

// overloadedByEnds returns the waiting jobs that are expected to start too late because
// of the work before them and of when the present runs end.
func (s *Scheduler) overloadedByEnds(state *serviceState, now time.Time) []*job {
	if s.awaitsListings(now) {
		return nil
	}
	var list []*job
	ahead := backlogSum{}
	reconciling := s.reconciling(now)
	factor := state.largestWaitFactor()
	state.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
		inClass := backlogSum{}
		class.blocksIn(keys, func(block *jobBlock, whole bool) {
			if whole && (class.started || state.blockStartsInTime(block, ahead, factor, now)) {
				ahead.add(block.backlogSum)
				inClass.add(block.backlogSum)
				return
			}
			for i := range block.entries {
				entry := &block.entries[i]
				if !keys.contains(entry.key) {
					continue
				}
				if !(reconciling && entry.job.submission.Resumed) && state.startsTooLate(entry.job, ahead, inClass, now) {
					list = append(list, entry.job)
					continue
				}
				ahead.add(entry.backlogSum)
				inClass.add(entry.backlogSum)
			}
		})
	})
	return list
}

// blockStartsInTime reports whether even the last job of the block would not wait longer
// than the first one may.
func (state *serviceState) blockStartsInTime(block *jobBlock, before backlogSum, factor float64, now time.Time) bool {
	before.add(block.backlogSum)
	used := state.pool.usedMilliCPU()
	latest := float64(max(block.entries[0].key.latestStart-now.UnixNano(), 0)+int64(overloadTolerance)) / factor
	// All present runs end within the time that the schedule covers.
	if rounds := 1 + float64(before.milliCPU)/float64(used); rounds*releaseIntervals*float64(releaseInterval) <= latest {
		return true
	}
	return float64(state.releases.waitUpTo(time.Duration(latest), before, used, now)) <= latest
}

// largestWaitFactor returns the largest learned factor.
func (state *serviceState) largestWaitFactor() float64 {
	largest := 1.0
	for _, ratio := range state.waits {
		largest = max(largest, ratio.factor())
	}
	return largest
}
