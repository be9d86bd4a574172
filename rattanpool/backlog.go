package rattanpool

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// slackPart is the part of a job's slack that jobs admitted later may use
	// by going before it. With 4, large jobs that have waited for a second or two
	// hold up small ones, and the p99 slowdown of single jobs is up to 20.
	slackPart = 2
	// spareJobs bounds the number of ended jobs whose memory is kept.
	spareJobs = 1024
)

// requeue makes a task that did not start wait again, at once or when the
// retry budget allows it.
func (s *Scheduler) requeue(now time.Duration, t *task) {
	j := t.job
	t.since = now
	t.target = nil
	s.noteWaiting(j, 1)
	if len(s.parked) == 0 && s.retries.take(now) {
		s.waitAgain(t)
	} else {
		t.state = taskParked
		j.parked++
		s.waiting--
		s.parked = append(s.parked, t)
	}
	if j.running == 0 && j.ended == 0 {
		s.watchLapse(j)
	}
}

func (s *Scheduler) unpark(now time.Duration) {
	for len(s.parked) > 0 && s.retries.take(now) {
		t := s.parked[0]
		s.parked = slices.Delete(s.parked, 0, 1)
		t.job.parked--
		s.waiting++
		s.waitAgain(t)
	}
}

func (s *Scheduler) waitAgain(t *task) {
	t.state = taskWaiting
	t.job.again = append(t.job.again, t.index)
	s.queueJob(t.job)
}

// enqueue takes in an admitted job.
func (s *Scheduler) enqueue(now time.Duration, submitted Job, k *kind, p *profile, slack time.Duration) {
	c := s.makeCaller(submitted.Caller)
	j := s.newJob()
	j.reset(submitted, now)
	j.kind, j.profile = k, p
	j.slack = slack
	j.deadline = s.since(submitted.Deadline)
	s.sequence++
	j.sequence = s.sequence
	j.entry = s.entryOf(c, p.lanes[laneIndex(k.long)])
	s.jobs[j.ID] = j
	c.jobs++
	p.jobs++
	if !k.long {
		p.service.shortSeen, p.service.hasShort = now, true
	}
	if k.long {
		p.service.longArrivals.work += k.expected().Seconds() * float64(submitted.Tasks)
	}
	s.queue.activate(c)
	s.noteWaiting(j, submitted.Tasks)
	s.queueJob(j)
	s.watchLapse(j)
}

func (s *Scheduler) newJob() *job {
	if last := len(s.spare) - 1; last >= 0 {
		j := s.spare[last]
		s.spare = s.spare[:last]
		return j
	}
	return &job{}
}

// queueJob puts a job with waiting tasks into the order of its caller.
func (s *Scheduler) queueJob(j *job) {
	if j.waiting() == 0 || j.cancelled {
		return
	}
	j.key = s.keyOf(j)
	e := j.entry
	if j.index >= 0 {
		heap.Fix(&e.jobs, j.index)
	} else {
		heap.Push(&e.jobs, j)
		e.lane.jobs++
		if e.lane.jobs == 1 {
			s.lanes = append(s.lanes, e.lane)
		}
	}
	s.queue.arrange(e)
}

// unqueue takes a job out of the order of its caller.
func (s *Scheduler) unqueue(j *job) {
	if j.index < 0 {
		return
	}
	e := j.entry
	heap.Remove(&e.jobs, j.index)
	e.lane.jobs--
	if e.lane.jobs == 0 {
		at := slices.Index(s.lanes, e.lane)
		s.lanes = slices.Delete(s.lanes, at, at+1)
	}
	s.queue.arrange(e)
}

// reorder updates the place of a job one of whose tasks was assigned.
func (s *Scheduler) reorder(j *job) {
	if j.waiting() == 0 {
		s.unqueue(j)
		return
	}
	j.key = s.keyOf(j)
	heap.Fix(&j.entry.jobs, j.index)
}

// keyOf returns the place of a job among the jobs of its caller: its admission
// plus a delay that grows with its expected remaining work and stays below
// the bound of ageing and a part of its slack. Jobs admitted later than the bound
// after it therefore never overtake it, and an order by size alone does not break
// the deadlines of large jobs. The delay levels off instead of being cut off, so that
// large jobs are still ordered by size.
func (s *Scheduler) keyOf(j *job) time.Duration {
	return j.admitted + min(s.sizeDelay(j.kind, j.profile, j.waiting()), j.slack/slackPart)
}

// sizeDelay returns the delay of a job with a number of waiting tasks behind
// smaller jobs.
func (s *Scheduler) sizeDelay(k *kind, p *profile, tasks int) time.Duration {
	work := k.expected().Seconds() * float64(tasks) / float64(max(1, p.service.slots))
	most := s.config.MaxOvertaking
	if k.long {
		most = s.config.MaxWait
	}
	size := s.config.SizeWeight * work / most.Seconds()
	return time.Duration(float64(most) * size / (1 + size))
}

// noteWaiting adds to the number of waiting tasks of the job's kind and caller.
func (s *Scheduler) noteWaiting(j *job, count int) {
	c, k := j.entry.caller, j.kind
	for len(c.waiting) <= k.id {
		c.waiting = append(c.waiting, 0)
	}
	had := c.backlog > 0
	c.waiting[k.id] += count
	c.backlog += count
	j.entry.waiting += count
	k.waiting += count
	s.waiting += count
	switch has := c.backlog > 0; {
	case has && !had:
		s.backlogWeight += c.Weight
	case had && !has:
		s.backlogWeight -= c.Weight
	}
	if s.waiting+len(s.parked) == 0 {
		s.backlogWeight = 0 // drops rounding errors
	}
	s.require(c.waiting[k.id] >= 0 && k.waiting >= 0, "negative number of waiting tasks")
}

// dropWaiting ends the waiting and parked tasks of a job.
func (s *Scheduler) dropWaiting(j *job) {
	s.forgetLapse(j)
	s.unqueue(j)
	s.noteWaiting(j, -j.waiting()-j.parked)
	if j.parked > 0 {
		s.parked = slices.DeleteFunc(s.parked, func(t *task) bool { return t.job == j })
		s.waiting += j.parked
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskRunning {
			j.tasks[i].state = taskEnded
		}
	}
	j.fresh = len(j.tasks)
	j.again = j.again[:0]
	j.parked = 0
}

// dropIfEnded forgets a job that has no task left.
func (s *Scheduler) dropIfEnded(j *job) {
	if j.running > 0 || j.waiting() > 0 || j.parked > 0 {
		return
	}
	s.forgetLapse(j)
	c := j.entry.caller
	delete(s.jobs, j.ID)
	j.profile.jobs--
	c.jobs--
	s.rest(c)
	if len(s.spare) < spareJobs {
		s.spare = append(s.spare, j)
	}
	s.checkEmpty()
}

func (s *Scheduler) watchLapse(j *job) {
	j.lapse = s.lapse(j)
	if j.lapseIndex < 0 {
		heap.Push(&s.lapses, j)
	}
}

func (s *Scheduler) forgetLapse(j *job) {
	if j.lapseIndex >= 0 {
		heap.Remove(&s.lapses, j.lapseIndex)
	}
}

// lapse returns the latest time to start a job that meets its deadline.
func (s *Scheduler) lapse(j *job) time.Duration {
	if !j.kind.learned() {
		return j.deadline
	}
	return j.deadline - j.kind.typical()
}

func laneIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (s *Scheduler) kindOf(v *service, submitted *Job) *kind {
	key := kindKey{service: v.name, kind: submitted.Kind}
	k := s.kinds[key]
	if k == nil {
		k = &kind{id: s.kindIDs, service: v}
		s.kindIDs++
		s.kinds[key] = k
		v.kinds = append(v.kinds, k)
	}
	if submitted.RunTime > 0 {
		k.declared = submitted.RunTime
	}
	if long := k.nowLong(s.config.LongTask); !k.learned() && long != k.long {
		s.reclassify(k, long)
	}
	return k
}

func (s *Scheduler) entryOf(c *caller, l *lane) *entry {
	for _, e := range c.entries {
		if e.lane == l {
			return e
		}
	}
	e := &entry{caller: c, lane: l, index: -1}
	c.entries = append(c.entries, e)
	return e
}

// arrangeAll updates the place of a caller whose tag or quota use changed.
func (s *Scheduler) arrangeAll(c *caller) {
	for _, e := range c.entries {
		s.queue.arrange(e)
	}
}

func (s *Scheduler) makeCaller(name string) *caller {
	c := s.callers[name]
	if c == nil {
		c = &caller{Caller: Caller{Name: name, Weight: 1}}
		s.callers[name] = c
	}
	return c
}

// rest takes a caller without tasks out of the fair queue.
func (s *Scheduler) rest(c *caller) {
	if c.jobs > 0 || c.held > 0 {
		return
	}
	s.queue.deactivate(c)
	s.dropCaller(c)
}

// dropCaller forgets an unlisted caller without tasks.
func (s *Scheduler) dropCaller(c *caller) {
	if !c.listed && c.jobs == 0 && c.held == 0 {
		delete(s.callers, c.Name)
	}
}

func (s *Scheduler) reweigh(c *caller, update Caller) {
	if update.Weight <= 0 {
		update.Weight = 1
	}
	if c.active {
		s.queue.weight += update.Weight - c.Weight
	}
	if c.backlog > 0 {
		s.backlogWeight += update.Weight - c.Weight
	}
	c.Caller = update
	s.arrangeAll(c)
}
