package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// timeliness classifies jobs by the remaining value of an answer. Lower values
// are scheduled first.
type timeliness int

const (
	// timelinessOnTime is for jobs that can meet their objective if they start
	// now.
	timelinessOnTime timeliness = iota
	// timelinessLate is for jobs whose answer still has some value.
	timelinessLate
	// timelinessExpired is for jobs whose answer would have no value.
	timelinessExpired
)

// longestReadyTask returns the longest expected run time of the job's ready
// tasks.
func (s *Scheduler) longestReadyTask(j *job) time.Duration {
	longest := time.Duration(0)
	for _, t := range j.ready {
		longest = max(longest, s.estimator.expectedRunTime(j, t.stepIndex))
	}
	return longest
}

// adjustedDeadlines returns Objective and LateUntil of the job's submission,
// corrected by the learned ratio of actual to declared run times. Both depend
// on the declared run time of the critical path; without the correction, a job
// would be penalized for run times longer than declared.
func (s *Scheduler) adjustedDeadlines(j *job) (objective, lateUntil time.Time) {
	submission := &j.submission
	extra := time.Duration(submission.SlackFactor * (s.estimator.ratio(j) - 1) * float64(j.criticalPath))
	return submission.Objective.Add(extra), submission.LateUntil.Add(rattanwork.LateFactor * extra)
}

// timing is when a waiting job must start at the latest.
type timing struct {
	// latestStart is until when the job must start to meet its objective.
	latestStart time.Time
	// expiresAt is from when on the answer has no value.
	expiresAt time.Time
}

// timing returns when the waiting job must start.
func (s *Scheduler) timing(j *job) timing {
	longest := s.longestReadyTask(j)
	objective, lateUntil := s.adjustedDeadlines(j)
	result := timing{latestStart: objective.Add(-longest), expiresAt: lateUntil.Add(-longest)}
	if j.submission.Deadline.Before(result.expiresAt) {
		result.expiresAt = j.submission.Deadline
	}
	return result
}

// classify returns the timeliness of a job that starts now.
func (t timing) classify(now time.Time) timeliness {
	switch {
	case !now.After(t.latestStart):
		return timelinessOnTime
	case now.Before(t.expiresAt):
		return timelinessLate
	default:
		return timelinessExpired
	}
}

// slack returns how long the start of the job may be delayed.
func (t timing) slack(now time.Time) time.Duration {
	return t.latestStart.Sub(now)
}

// expired reports whether the answer of a waiting job would have no value.
func (j *job) expired(now time.Time) bool {
	return j.timing.classify(now) == timelinessExpired
}

// reposition puts a job into the place in its queue that corresponds to its
// ready tasks and to the learned run times, or removes it from the queue if no
// task is ready.
func (s *Scheduler) reposition(j *job) {
	s.dequeue(j)
	if len(j.ready) == 0 || j.outcome != Open {
		return
	}
	if j.sequence == 0 {
		s.lastSequence++
		j.sequence = s.lastSequence
	}
	s.updateEntry(j)
	queue := &s.service(j.submission.Service).queue
	j.class = queue.insert(j.runCount > 0, j.submission.Priority, j.entry)
}

// updateEntry recomputes the place of a job with ready tasks in its queue.
func (s *Scheduler) updateEntry(j *job) {
	j.timing = s.timing(j)
	j.entry = queueEntry{
		expiresAt:  j.timing.expiresAt.UnixNano(),
		key:        queueKey{latestStart: j.timing.latestStart.UnixNano(), sequence: j.sequence},
		demand:     j.readyDemand(),
		backlogSum: backlogSum{work: s.queuedWork(j), milliCPU: j.readyMilliCPU()},
		tasks:      len(j.ready),
		job:        j,
	}
}

// dequeue removes a job from its queue.
func (s *Scheduler) dequeue(j *job) {
	if j.class == nil {
		return
	}
	s.service(j.submission.Service).queue.remove(j.class, j.entry.key)
	j.class = nil
}

// waitingJobs returns the jobs of all queues.
func (s *Scheduler) waitingJobs() []*job {
	var list []*job
	for _, state := range s.services {
		list = state.queue.appendJobs(list)
	}
	return list
}

// refreshEstimates makes the run times learned since the last call apply to
// the waiting jobs. Doing so after each run would cost more with each job that
// waits.
func (s *Scheduler) refreshEstimates(now time.Time) {
	if now.Sub(s.estimatesRefreshedAt) < estimateRefreshInterval {
		return
	}
	s.estimatesRefreshedAt = now
	changed := s.estimator.publish()
	if len(changed) == 0 {
		return
	}
	for _, j := range s.waitingJobs() {
		if changed[ratioKeyOf(j)] {
			s.reposition(j)
		}
	}
}

// estimateRefreshInterval is the interval at which learned run times take
// effect.
const estimateRefreshInterval = 250 * time.Millisecond

// refuseOverloaded refuses jobs that have not started and cannot meet their
// objective because of the work scheduled before them.
func (s *Scheduler) refuseOverloaded(now time.Time) {
	s.refreshTargets(now)
	for _, state := range s.services {
		for _, j := range s.overloaded(state, now) {
			s.refuseForBacklog(j, now)
		}
	}
}

// overloaded returns the waiting jobs of a service that have too much work
// before them.
func (s *Scheduler) overloaded(state *serviceState, now time.Time) []*job {
	if state.queue.jobs == 0 || state.pool.mostlyUnknown() {
		return nil
	}
	if state.expectsEnds() {
		return s.overloadedByEnds(state, now)
	}
	var list []*job
	workAhead := 0.0
	reconciling := s.reconciling(now)
	awaitsListings := s.awaitsListings(now)
	state.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
		class.blocksIn(keys, func(block *jobBlock, whole bool) {
			if whole && !reconciling && block.startsInTime(workAhead, state.pool, now) {
				workAhead += block.work
				return
			}
			for i := range block.entries {
				entry := &block.entries[i]
				if !keys.contains(entry.key) || awaitsListings || (reconciling && entry.job.submission.Resumed) {
					continue
				}
				if entry.job.tooMuchBefore(workAhead, state.pool, now) {
					list = append(list, entry.job)
					continue
				}
				workAhead += entry.work
			}
		})
	})
	return list
}

// startsInTime reports whether even the last job of the block would not wait
// longer than the first one may.
func (b *jobBlock) startsInTime(workAhead float64, pool *targetPool, now time.Time) bool {
	return pool.timeFor(workAhead+b.work) <= max(time.Duration(b.entries[0].key.latestStart-now.UnixNano()), 0)+overloadTolerance
}

// CheckAdmission refuses a job that has just been submitted if it cannot meet
// its objective because of the work scheduled before it. Tick does the same for
// all waiting jobs.
func (s *Scheduler) CheckAdmission(jobID string, now time.Time) {
	j, ok := s.jobs[jobID]
	if !ok {
		return
	}
	state := s.service(j.submission.Service)
	if j.class == nil || state.pool.mostlyUnknown() || s.awaitsReconciliation(j, now) {
		return
	}
	before := state.queue.backlogBefore(j, now.UnixNano())
	if state.awaitsEnds(j) {
		j.expectedWait = state.waitByEnds(state.waitDemand(j), before, now)
	}
	if state.refusesNew(j, before, now) {
		s.refuseForBacklog(j, now)
	}
}

// refusesNew reports whether a job that has just been queued would miss its objective,
// given the work before it.
func (s *serviceState) refusesNew(j *job, before backlogSum, now time.Time) bool {
	if s.expectsEnds() {
		return s.startsTooLate(j, before, s.queue.classBacklog(j, now.UnixNano()), now)
	}
	return j.tooMuchBefore(before.work, s.pool, now)
}

// tooMuchBefore reports whether a job that has not started would miss its
// objective because of the work before it.
func (j *job) tooMuchBefore(work float64, pool *targetPool, now time.Time) bool {
	if j.mayHaveStarted() {
		return false
	}
	return pool.timeFor(work) > max(j.timing.slack(now), 0)+overloadTolerance
}

func (s *Scheduler) refuseForBacklog(j *job, now time.Time) {
	state := s.service(j.submission.Service)
	s.endJob(j, Refused, state.backlogReason(), state.retryAfter(j, now), now)
}

// backlogReason returns the reason for refusing a job that would miss its objective.
func (s *serviceState) backlogReason() string {
	if s.expectsEnds() {
		return ReasonNoRoomInTime
	}
	return reasonTooMuchBefore
}

// Reasons for refusing a job for lack of resources.
const (
	reasonTooMuchBefore = "too much work before it"
	reasonCannotStart   = "cannot start in time"
)

// overloadTolerance is how far the expected wait may exceed a job's slack
// before the job is refused. It allows for errors of the estimate.
const overloadTolerance = 20 * time.Millisecond

// queuedWork returns the sum over the job's ready tasks of expected run time
// times processor demand, in nanoseconds times thousandths of a core.
func (s *Scheduler) queuedWork(j *job) float64 {
	work := 0.0
	for _, t := range j.ready {
		work += float64(s.estimator.expectedRunTime(j, t.stepIndex)) * float64(t.resources().MilliCPU)
	}
	return work
}

// endExpired ends the jobs whose answer would have no value.
func (s *Scheduler) endExpired(now time.Time) {
	var list []*job
	for _, state := range s.services {
		list = state.queue.expired(now, list)
	}
	if now.Sub(s.deadlinesCheckedAt) >= deadlineCheckInterval {
		s.deadlinesCheckedAt = now
		list = append(list, s.pastDeadline(now)...)
	}
	for _, j := range list {
		// A job without a target is refused as soon as the targets have listed their
		// runs, which is a better answer.
		if !j.unhosted || now.After(j.submission.Deadline) {
			s.expireJob(j, now)
		}
	}
}

// deadlineCheckInterval is the interval at which jobs without waiting tasks are
// checked for callers that have left. Usually the caller's instance cancels the
// job first.
const deadlineCheckInterval = 100 * time.Millisecond

// pastDeadline returns the jobs whose caller has already left, and those that
// are held although their answer has no value any more.
func (s *Scheduler) pastDeadline(now time.Time) []*job {
	var list []*job
	for _, j := range s.jobs {
		if now.After(j.submission.Deadline) || s.heldTooLong(j, now) {
			list = append(list, j)
		}
	}
	return list
}

// expireJob ends a job whose answer would have no value. The job is refused if
// it has certainly not started.
func (s *Scheduler) expireJob(j *job, now time.Time) {
	if j.mayHaveStarted() || s.awaitsReconciliation(j, now) {
		s.endJob(j, Expired, "cannot end in time", 0, now)
		return
	}
	s.endJob(j, Refused, reasonCannotStart, s.service(j.submission.Service).retryAfter(j, now), now)
}

// retryAfter returns the suggested retry delay of a job that is refused for lack of
// resources: the time for which the job would wait or, if that is not known, for which
// all waiting work would keep the usable targets busy.
func (s *serviceState) retryAfter(j *job, now time.Time) time.Duration {
	if s.pool.expectedMilliCPU() == 0 {
		return noTargetRetryAfter
	}
	if s.expectsEnds() {
		return max(time.Second, s.waitOfQueued(j, s.queue.backlogBefore(j, now.UnixNano()), now))
	}
	return max(time.Second, s.pool.timeFor(s.queue.work))
}

// describeRoom returns what decides on refusing a job or letting it wait.
func (s *Scheduler) describeRoom(j *job, now time.Time) *Room {
	state := s.service(j.submission.Service)
	room := &Room{
		Slack:           s.timing(j).slack(now),
		FreeMilliCPU:    state.pool.freeMilliCPU,
		LargestMilliCPU: state.pool.maxFree().MilliCPU,
		WaitingTasks:    state.queue.tasks,
	}
	if j.class != nil && state.pool.expectedMilliCPU() > 0 {
		room.ExpectedWait = state.waitOfQueued(j, state.queue.backlogBefore(j, now.UnixNano()), now)
	}
	if s.evacuation != rattanwork.EvacuationActive {
		room.WithheldMilliCPU = s.withheldMilliCPU(j.submission.Service)
	}
	for _, t := range j.ready {
		room.NeedMilliCPU = max(room.NeedMilliCPU, t.resources().MilliCPU)
	}
	for _, zone := range s.remoteZones {
		room.RemoteMilliCPU = max(room.RemoteMilliCPU, zone.FreeMilliCPU)
	}
	return room
}

// withheldMilliCPU returns the free capacity of the targets of a service that take no new
// work although they do not drain. It looks at all targets.
func (s *Scheduler) withheldMilliCPU(service string) int {
	withheld := 0
	for _, target := range s.targets {
		if target.info.Service == service && !target.info.Draining && !target.pooled.usable {
			withheld += max(0, target.free.MilliCPU)
		}
	}
	return withheld
}

// readyMilliCPU returns the total processor demand of the job's ready tasks.
func (j *job) readyMilliCPU() int {
	sum := 0
	for _, t := range j.ready {
		sum += t.resources().MilliCPU
	}
	return sum
}
