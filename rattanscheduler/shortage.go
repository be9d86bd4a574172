package rattanscheduler

import "time"

// notePriority records the priority of a submission to the service.
func (state *serviceState) notePriority(priority int) {
	if state.submitted && priority != state.priority {
		state.queue.mixed = true
	}
	state.submitted, state.priority = true, priority
}

// awaitsEnds reports whether the job waits for the ends of runs. A job for a task of which
// a target has room waits for something else, such as a lease or a listing.
func (state *serviceState) awaitsEnds(j *job) bool {
	return state.expectsEnds() && !j.entry.demand.FitsIn(state.pool.maxFree())
}

// expectedWait returns how long the job is expected to wait, given the work before it:
// for its last task if it waits for the ends of runs.
func (state *serviceState) expectedWait(j *job, before backlogSum, now time.Time) time.Duration {
	if !state.awaitsEnds(j) {
		return state.pool.timeFor(before.work)
	}
	return time.Duration(state.waits[j.waitKey()].factor() * float64(state.waitByEnds(j, before, now)))
}

// waitByEnds returns how long the last task of the job would wait if all capacity that
// runs release were used.
func (state *serviceState) waitByEnds(j *job, before backlogSum, now time.Time) time.Duration {
	before.add(j.entry.work*float64(j.entry.tasks-1)/float64(j.entry.tasks), j.entry.milliCPU)
	return state.releases.wait(before, state.pool.usedMilliCPU(), now)
}

// startsTooLate reports whether a job that has not started would miss its objective
// because its last task is expected to start too late, also with the least share of its
// priority. before is all work before it, inClass that of its class.
func (state *serviceState) startsTooLate(j *job, before, inClass backlogSum, now time.Time) bool {
	if j.mayHaveStarted() {
		return false
	}
	latest := max(j.timing.slack(now), 0) + overloadTolerance
	if state.expectedWait(j, before, now) <= latest {
		return false
	}
	if !state.owed(j.submission.Priority, now) {
		return true
	}
	return state.waitByShare(j, inClass) > latest || state.expectedWait(j, inClass, now) > latest
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
	var current *jobClass
	inClass := backlogSum{}
	state.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
		class.blocksIn(keys, func(block *jobBlock, whole bool) {
			if class != current {
				current, inClass = class, backlogSum{}
			}
			if whole && (class.started || state.blockStartsInTime(block, ahead, factor, now)) {
				ahead.add(block.work, block.milliCPU)
				inClass.add(block.work, block.milliCPU)
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
				ahead.add(entry.work, entry.milliCPU)
				inClass.add(entry.work, entry.milliCPU)
			}
		})
	})
	return list
}

// blockStartsInTime reports whether even the last job of the block would not wait longer
// than the first one may.
func (state *serviceState) blockStartsInTime(block *jobBlock, before backlogSum, factor float64, now time.Time) bool {
	before.add(block.work, block.milliCPU)
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
