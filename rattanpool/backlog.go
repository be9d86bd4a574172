package rattanpool

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// slackDivisor determines the part of a job's slack that jobs admitted
	// later may use by overtaking it. With a divisor of 4, large jobs that have
	// waited for a second or two delay small ones, and the p99 slowdown of
	// single jobs reaches 20.
	slackDivisor = 2
	// maxFreeJobs bounds the number of ended jobs that are kept for reuse.
	maxFreeJobs = 1024
)

// retry queues a task that did not start again, immediately or as soon as the
// retry budget allows it.
func (s *Scheduler) retry(now time.Duration, t *task) {
	j := t.job
	t.stateSince = now
	t.target = nil
	s.addWaiting(j, 1)
	if len(s.pendingRetries) == 0 && s.retries.takeRetry(now) {
		s.queueRetry(t)
	} else {
		t.state = taskAwaitingRetry
		j.pendingRetries++
		s.waiting--
		s.pendingRetries = append(s.pendingRetries, t)
	}
	if j.running == 0 && j.endedTasks == 0 {
		s.scheduleExpiry(j)
	}
}

// releasePendingRetries queues tasks that await a retry, as far as the retry
// budget allows it.
func (s *Scheduler) releasePendingRetries(now time.Duration) {
	for len(s.pendingRetries) > 0 && s.retries.takeRetry(now) {
		t := s.pendingRetries[0]
		s.pendingRetries = slices.Delete(s.pendingRetries, 0, 1)
		t.job.pendingRetries--
		s.waiting++
		s.queueRetry(t)
	}
}

// queueRetry makes a task available for assignment again.
func (s *Scheduler) queueRetry(t *task) {
	t.state = taskWaiting
	t.job.retryTasks = append(t.job.retryTasks, t.index)
	s.insertJob(t.job)
}

// addJob queues an admitted job.
func (s *Scheduler) addJob(now time.Duration, submitted Job, k *kind, p *resourceProfile, slack time.Duration) {
	c := s.getOrCreateCaller(submitted.Caller)
	j := s.newJob()
	j.reset(submitted, now)
	j.kind, j.profile = k, p
	j.slack = slack
	j.deadline = s.since(submitted.Deadline)
	s.sequence++
	j.sequence = s.sequence
	j.callerQueue = s.callerQueueFor(c, p.queues[queueIndex(k.long)])
	s.jobs[j.ID] = j
	c.jobs++
	p.jobs++
	if !k.long {
		p.service.lastShortWork, p.service.seenShortWork = now, true
	}
	if k.long {
		p.service.longArrivals.work += k.expectedRunTime().Seconds() * float64(submitted.Tasks)
	}
	s.fairQueue.activate(c)
	s.addWaiting(j, submitted.Tasks)
	s.insertJob(j)
	s.scheduleExpiry(j)
}

func (s *Scheduler) newJob() *job {
	if last := len(s.freeJobs) - 1; last >= 0 {
		j := s.freeJobs[last]
		s.freeJobs = s.freeJobs[:last]
		return j
	}
	return &job{}
}

// insertJob inserts a job with waiting tasks into its caller queue or updates
// its position there.
func (s *Scheduler) insertJob(j *job) {
	if j.waiting() == 0 || j.cancelled {
		return
	}
	j.sortKey = s.computeSortKey(j)
	cq := j.callerQueue
	if j.index >= 0 {
		heap.Fix(&cq.jobs, j.index)
	} else {
		heap.Push(&cq.jobs, j)
		cq.jobQueue.jobCount++
		if cq.jobQueue.jobCount == 1 {
			s.nonEmptyQueues = append(s.nonEmptyQueues, cq.jobQueue)
		}
	}
	s.fairQueue.reposition(cq)
}

// dequeueJob removes a job from its caller queue.
func (s *Scheduler) dequeueJob(j *job) {
	if j.index < 0 {
		return
	}
	cq := j.callerQueue
	heap.Remove(&cq.jobs, j.index)
	cq.jobQueue.jobCount--
	if cq.jobQueue.jobCount == 0 {
		index := slices.Index(s.nonEmptyQueues, cq.jobQueue)
		s.nonEmptyQueues = slices.Delete(s.nonEmptyQueues, index, index+1)
	}
	s.fairQueue.reposition(cq)
}

// updateJobOrder updates the position of a job after one of its tasks was
// assigned.
func (s *Scheduler) updateJobOrder(j *job) {
	if j.waiting() == 0 {
		s.dequeueJob(j)
		return
	}
	j.sortKey = s.computeSortKey(j)
	heap.Fix(&j.callerQueue.jobs, j.index)
}

// computeSortKey returns the position of a job among the jobs of its caller:
// the admission time plus a delay that grows with the expected remaining work
// and is bounded by the ageing bound and by a part of the slack. A job that is
// admitted later by more than that bound therefore never overtakes it, and
// large jobs do not miss their deadlines as they would in a strict order by
// size. The delay saturates smoothly instead of being clipped, so that large
// jobs are still ordered by size.
func (s *Scheduler) computeSortKey(j *job) time.Duration {
	return j.admitted + min(s.sizeDelay(j.kind, j.profile, j.waiting()), j.slack/slackDivisor)
}

// sizeDelay returns how far a job with the given number of waiting tasks is
// moved behind smaller jobs.
func (s *Scheduler) sizeDelay(k *kind, p *resourceProfile, tasks int) time.Duration {
	work := k.expectedRunTime().Seconds() * float64(tasks) / float64(max(1, p.service.usableSlots))
	maxDelay := s.config.MaxOvertaking
	if k.long {
		maxDelay = s.config.MaxWait
	}
	size := s.config.SizeWeight * work / maxDelay.Seconds()
	return time.Duration(float64(maxDelay) * size / (1 + size))
}

// addWaiting changes the number of waiting tasks of the job's kind and caller.
func (s *Scheduler) addWaiting(j *job, count int) {
	c, k := j.callerQueue.caller, j.kind
	for len(c.waitingByKind) <= k.index {
		c.waitingByKind = append(c.waitingByKind, 0)
	}
	had := c.waitingTasks > 0
	c.waitingByKind[k.index] += count
	c.waitingTasks += count
	j.callerQueue.waiting += count
	k.waiting += count
	s.waiting += count
	switch has := c.waitingTasks > 0; {
	case has && !had:
		s.waitingWeight += c.Weight
	case had && !has:
		s.waitingWeight -= c.Weight
	}
	if s.waiting+len(s.pendingRetries) == 0 {
		s.waitingWeight = 0 // discard rounding errors
	}
	s.checkInvariant(c.waitingByKind[k.index] >= 0 && k.waiting >= 0, "negative number of waiting tasks")
}

// endWaitingTasks ends all tasks of a job that are not running.
func (s *Scheduler) endWaitingTasks(j *job) {
	s.cancelExpiry(j)
	s.dequeueJob(j)
	s.addWaiting(j, -j.waiting()-j.pendingRetries)
	if j.pendingRetries > 0 {
		s.pendingRetries = slices.DeleteFunc(s.pendingRetries, func(t *task) bool { return t.job == j })
		s.waiting += j.pendingRetries
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskRunning {
			j.tasks[i].state = taskEnded
		}
	}
	j.nextUnassigned = len(j.tasks)
	j.retryTasks = j.retryTasks[:0]
	j.pendingRetries = 0
}

// removeIfEnded removes a job that has no tasks left.
func (s *Scheduler) removeIfEnded(j *job) {
	if j.running > 0 || j.waiting() > 0 || j.pendingRetries > 0 {
		return
	}
	s.cancelExpiry(j)
	c := j.callerQueue.caller
	delete(s.jobs, j.ID)
	j.profile.jobs--
	c.jobs--
	s.deactivateIfIdle(c)
	if len(s.freeJobs) < maxFreeJobs {
		s.freeJobs = append(s.freeJobs, j)
	}
	s.checkIdleCounters()
}

// scheduleExpiry adds a job to those that Expire checks.
func (s *Scheduler) scheduleExpiry(j *job) {
	j.expiresAt = s.latestStart(j)
	if j.expiryIndex < 0 {
		heap.Push(&s.expiries, j)
	}
}

func (s *Scheduler) cancelExpiry(j *job) {
	if j.expiryIndex >= 0 {
		heap.Remove(&s.expiries, j.expiryIndex)
	}
}

// latestStart returns the latest time at which the job can start and still meet
// its deadline.
func (s *Scheduler) latestStart(j *job) time.Duration {
	if !j.kind.hasEstimate() {
		return j.deadline
	}
	return j.deadline - j.kind.medianRunTime()
}

// queueIndex returns the index in resourceProfile.queues.
func queueIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// kindFor returns the kind of a submitted job, with the declared run time of
// the job. A new kind is created if needed.
func (s *Scheduler) kindFor(svc *service, submitted *Job) *kind {
	key := kindKey{service: svc.name, name: submitted.Kind}
	k := s.kinds[key]
	if k == nil {
		k = &kind{index: s.kindCount, service: svc}
		s.kindCount++
		s.kinds[key] = k
		svc.kinds = append(svc.kinds, k)
	}
	if submitted.RunTime > 0 {
		k.declaredRunTime = submitted.RunTime
	}
	if long := k.exceedsLongThreshold(s.config.LongTaskThreshold); !k.hasEstimate() && long != k.long {
		s.reclassify(k, long)
	}
	return k
}

// callerQueueFor returns the queue of the caller in a job queue, which is
// created if needed.
func (s *Scheduler) callerQueueFor(c *caller, jq *jobQueue) *callerQueue {
	for _, cq := range c.queues {
		if cq.jobQueue == jq {
			return cq
		}
	}
	cq := &callerQueue{caller: c, jobQueue: jq, index: -1}
	c.queues = append(c.queues, cq)
	return cq
}

// repositionCaller updates the heaps after the start tag or the occupied slots
// of a caller have changed.
func (s *Scheduler) repositionCaller(c *caller) {
	for _, cq := range c.queues {
		s.fairQueue.reposition(cq)
	}
}

func (s *Scheduler) getOrCreateCaller(name string) *caller {
	c := s.callers[name]
	if c == nil {
		c = &caller{Caller: Caller{Name: name, Weight: 1}}
		s.callers[name] = c
	}
	return c
}

// deactivateIfIdle removes a caller without jobs and occupied slots from the
// fair queue.
func (s *Scheduler) deactivateIfIdle(c *caller) {
	if c.jobs > 0 || c.busySlots > 0 {
		return
	}
	s.fairQueue.deactivate(c)
	s.removeIfUnlisted(c)
}

// removeIfUnlisted removes an idle caller that SetCallers did not list.
func (s *Scheduler) removeIfUnlisted(c *caller) {
	if !c.listed && c.jobs == 0 && c.busySlots == 0 {
		delete(s.callers, c.Name)
	}
}

// updateCaller replaces the weight and the quota of a caller.
func (s *Scheduler) updateCaller(c *caller, update Caller) {
	if update.Weight <= 0 {
		update.Weight = 1
	}
	if c.active {
		s.fairQueue.activeWeight += update.Weight - c.Weight
	}
	if c.waitingTasks > 0 {
		s.waitingWeight += update.Weight - c.Weight
	}
	c.Caller = update
	s.repositionCaller(c)
}
