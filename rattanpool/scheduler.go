package rattanpool

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

const (
	// slackPart is the part of a job's slack that jobs admitted later may use
	// by going before it. At a crest of 3 times capacity the jobs that arrive in
	// a quarter of the slack use up three quarters of it.
	slackPart = 4
	// spareJobs bounds the number of ended jobs whose memory is kept.
	spareJobs = 1024
)

// Scheduler assigns the tasks of admitted jobs to slots of targets. It is not
// safe for concurrent use.
type Scheduler struct {
	// Violations counts violated invariants; it stays 0 in a correct program.
	Violations uint64

	config Config
	// base is the time of the first call; all times are kept relative to it.
	base  time.Time
	clock time.Duration

	targets  map[string]*target
	round    uint64
	services map[string]*service
	callers  map[string]*caller
	kinds    map[kindKey]*kind
	kindIDs  int
	jobs     map[JobID]*job
	spare    []*job
	sequence uint64

	queue fairQueue
	// lanes are the lanes with waiting jobs.
	lanes []*lane
	// backlogWeight is the weight of all callers with waiting tasks.
	backlogWeight float64
	waiting       int
	busy          int
	holds         int
	lapses        lapseHeap
	timers        timerHeap
	retries       retryBudget
	parked        []*task
	overrunsAt    time.Duration
}

// New returns a scheduler without targets, callers and jobs.
func New(config Config) *Scheduler {
	config.setDefaults()
	return &Scheduler{
		config:   config,
		targets:  map[string]*target{},
		services: map[string]*service{},
		callers:  map[string]*caller{},
		kinds:    map[kindKey]*kind{},
		jobs:     map[JobID]*job{},
		retries:  retryBudget{share: config.RetryShare, floor: config.RetryFloor},
	}
}

// SetTargets replaces the list of targets. Tasks on removed targets keep their
// slots accounted until Finish.
func (s *Scheduler) SetTargets(now time.Time, targets []Target) {
	at := s.advance(now)
	s.round++
	for i := range targets {
		s.setTarget(at, &targets[i])
	}
	for _, t := range s.targets {
		if t.round != s.round {
			s.removeTarget(at, t)
		}
	}
}

// SetCallers replaces the list of callers. The jobs of callers that are not
// listed keep running; unlisted callers have weight 1 and no quota.
func (s *Scheduler) SetCallers(now time.Time, callers []Caller) {
	s.advance(now)
	for _, c := range s.callers {
		c.listed = false
	}
	for _, update := range callers {
		c := s.makeCaller(update.Name)
		c.listed = true
		s.reweigh(c, update)
	}
	for _, c := range s.callers {
		if !c.listed {
			s.reweigh(c, Caller{Name: c.Name, Weight: 1})
			s.dropCaller(c)
		}
	}
}

// Admit decides whether the job is accepted. The tasks of an admitted job wait
// until Next returns them.
func (s *Scheduler) Admit(now time.Time, submitted Job) Admission {
	at := s.advance(now)
	if submitted.Tasks < 1 {
		return Admission{Reason: rattanjob.ReasonInvalid, Detail: "a job has at least 1 task"}
	}
	if !s.require(s.jobs[submitted.ID] == nil, "job admitted twice") {
		return Admission{Reason: rattanjob.ReasonInternal, Detail: "a job with this ID is in progress"}
	}
	v := s.services[submitted.Service]
	if v == nil {
		return Admission{
			Reason: rattanjob.ReasonNeverRunnable,
			Detail: fmt.Sprintf("service %q never had a target", submitted.Service),
		}
	}
	p := s.profileFor(at, v, &submitted)
	k := s.kindOf(v, &submitted)
	admission := s.decide(at, &submitted, k, p)
	if admission.Admitted {
		slack := s.room(at, submitted.Deadline) - admission.Expected
		s.enqueue(at, submitted, k, p, max(0, slack))
	}
	return admission
}

// Next returns the next task to start and its target. It returns false when no
// waiting task may start now.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	at := s.advance(now)
	if s.waiting == 0 {
		return Assignment{}, false
	}
	best := s.first(at)
	if best == nil {
		return Assignment{}, false
	}
	first := best.jobs[0]
	chosen, choice := s.place(first)
	return s.assign(at, first, chosen, choice), true
}

// Finish reports how an assignment ended. It returns true when the task will
// be assigned again. The caller of Finish cancels the job when it fails.
func (s *Scheduler) Finish(now time.Time, ended Assignment, report Report) (requeued bool) {
	at := s.advance(now)
	t := s.runningTask(ended)
	if t == nil {
		return false
	}
	j := t.job
	s.stopRunning(t)
	s.learn(at, t, report)
	s.settle(at, t, report)
	if report.Outcome == OutcomeNotStarted && !j.cancelled && at < j.deadline {
		s.requeue(at, t)
		return true
	}
	t.state = taskEnded
	if report.Outcome != OutcomeNotStarted {
		j.ended++
	}
	s.dropIfEnded(j)
	return false
}

// Cancel drops the tasks of a job that are not assigned and returns their
// number. Assigned tasks are ended by Finish.
func (s *Scheduler) Cancel(now time.Time, id JobID) (unstarted int) {
	s.advance(now)
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return 0
	}
	j.cancelled = true
	unstarted = j.waiting() + j.parked
	s.dropWaiting(j)
	s.dropIfEnded(j)
	return unstarted
}

// Expire removes the jobs of which no task was started and that can no longer
// meet their deadline, and returns them.
func (s *Scheduler) Expire(now time.Time) []JobID {
	at := s.advance(now)
	var expired []JobID
	for len(s.lapses) > 0 && s.lapses[0].lapse <= at {
		j := s.lapses[0]
		if lapse := s.lapse(j); lapse > at {
			j.lapse = lapse
			heap.Fix(&s.lapses, 0)
			continue
		}
		expired = append(expired, j.ID)
		s.dropWaiting(j)
		s.dropIfEnded(j)
	}
	return expired
}

// NextWake returns the time until Next should be called again although nothing
// was admitted or finished. It returns false when there is no such time.
func (s *Scheduler) NextWake(now time.Time) (time.Duration, bool) {
	at := s.advance(now)
	if s.waiting+len(s.parked) == 0 {
		return 0, false
	}
	wake, found := time.Duration(0), false
	earliest := func(candidate time.Duration) {
		candidate = max(candidate, time.Millisecond)
		if !found || candidate < wake {
			wake, found = candidate, true
		}
	}
	if len(s.timers) > 0 {
		earliest(s.timers[0].at - at)
	}
	if len(s.parked) > 0 {
		earliest(s.retries.wait(at))
	}
	for _, l := range s.lanes {
		if v := l.profile.service; l.long && l.profile.free > 0 && !s.shortWaiting(v) && s.longBlocked(at, v) {
			earliest(v.shortSeen + s.config.ShortPresence - at)
		}
	}
	return wake, found
}

// Load summarises the pool. Slots of targets that take no new tasks count as
// long as they are held.
func (s *Scheduler) Load(now time.Time) Load {
	s.advance(now)
	load := Load{BusySlots: s.busy, CallerSlots: make(map[string]int, len(s.callers))}
	for _, t := range s.targets {
		if t.inUse() {
			load.Slots += max(t.Slots, t.held)
		} else {
			load.Slots += t.held
		}
	}
	for _, k := range s.kinds {
		load.Backlog += time.Duration(k.waiting) * k.expected()
	}
	for name, c := range s.callers {
		if c.held > 0 {
			load.CallerSlots[name] = c.held
		}
	}
	return load
}

func (s *Scheduler) advance(now time.Time) time.Duration {
	if s.base.IsZero() {
		s.base = now
	}
	s.clock = max(s.clock, s.since(now))
	s.runTimers(s.clock)
	s.unpark(s.clock)
	s.markOverruns(s.clock)
	return s.clock
}

func (s *Scheduler) since(t time.Time) time.Duration {
	return t.Sub(s.base)
}

// first returns the entry whose first job gets the next slot, nil for none.
func (s *Scheduler) first(now time.Duration) *entry {
	var best *entry
	for _, l := range s.lanes {
		p := l.profile
		if p.free == 0 && len(p.service.probes) == 0 {
			continue
		}
		if l.long && s.longBlocked(now, p.service) {
			continue
		}
		s.queue.promote(l)
		head := l.head()
		if head == nil || p.free == 0 && s.probeFor(head.jobs[0]) == nil {
			continue
		}
		if best == nil || head.before(best) {
			best = head
		}
	}
	return best
}

// place chooses the target for a task of the job: one that waits for a probe,
// or the best one with a free slot.
func (s *Scheduler) place(j *job) (*target, Choice) {
	if probed := s.probeFor(j); probed != nil {
		s.dropProbe(probed)
		return probed, ChoiceProbe
	}
	position, class := j.profile.choose(j.racks)
	chosen := j.profile.service.targets[position]
	if chosen.health == healthReinstating {
		return chosen, ChoiceProbe
	}
	return chosen, choiceOf(class)
}

// probeFor returns a target that waits for a probe that the job can be.
func (s *Scheduler) probeFor(j *job) *target {
	if !j.Idempotent {
		return nil
	}
	for _, t := range j.profile.service.probes {
		if !t.Leaving && t.held < t.Slots && t.until <= s.clock && t.fits(j.profile) {
			return t
		}
	}
	return nil
}

func choiceOf(class rankClass) Choice {
	if class == classSuspect {
		return ChoiceSuspect
	}
	switch class % classAccelerated {
	case classFast:
		return ChoiceFast
	case classNormal:
		return ChoiceNormal
	default:
		return ChoiceSlow
	}
}

func (s *Scheduler) assign(now time.Duration, j *job, on *target, choice Choice) Assignment {
	t := j.pick()
	s.require(t.state == taskWaiting, "task assigned again")
	s.forgetLapse(j)
	waited := now - t.since
	t.attempt++
	t.state = taskRunning
	t.since = now
	t.target = on
	t.charge = j.kind.expected()
	t.long = j.kind.long
	j.running++
	j.racks |= rackBit(on.rack)
	s.startRunning(t)
	s.noteWaiting(j, -1)
	s.retries.decay(now)
	s.retries.started()
	s.hold(now, on, j)
	s.queue.charge(j.entry.caller, t.charge)
	s.queue.advance(j.entry.caller, t.charge)
	s.reorder(j)
	s.arrangeAll(j.entry.caller)
	return Assignment{
		Job: j.ID, Task: t.index, Target: on.Name, Attempt: t.attempt,
		Waited: waited, Choice: choice, Long: t.long,
	}
}

// hold accounts for the slot of a started task and checks the bounds.
func (s *Scheduler) hold(now time.Duration, on *target, j *job) {
	c, v := j.entry.caller, j.profile.service
	on.hold(j.profile)
	c.held++
	s.busy++
	if !j.kind.long {
		v.shortSeen, v.hasShort = now, true
	}
	s.require(on.held <= on.Slots, "more tasks than slots")
	s.require(c.Quota == 0 || c.held <= c.Quota, "more slots held than the quota")
	s.require(!j.kind.long || !s.shortPresent(now, v) || v.longHeld <= s.longMost(v), "more long work than its share")
	s.refile(now, on)
}

// release gives a slot back.
func (s *Scheduler) release(now time.Duration, on *target, p *profile, c *caller) {
	on.release(p)
	c.held--
	s.busy--
	s.require(on.held >= 0 && c.held >= 0 && s.busy >= 0, "slot released twice")
	if on.removed && on.held == 0 {
		s.forgetTarget(on)
	} else {
		s.refile(now, on)
	}
	s.arrangeAll(c)
	s.rest(c)
}

// settle gives the slot back and corrects the charge. An unresolved task may
// still hold its slot until its lease has ended.
func (s *Scheduler) settle(now time.Duration, t *task, report Report) {
	c := t.job.entry.caller
	used := report.RunTime
	if report.Outcome == OutcomeNotStarted {
		used = 0
	}
	s.queue.charge(c, used-t.charge)
	if report.Outcome == OutcomeUnresolved {
		s.holds++
		end := max(now, t.job.deadline) + s.config.UnresolvedGrace
		heap.Push(&s.timers, timer{at: end, kind: timerRelease, target: t.target, profile: t.job.profile, caller: c})
		s.refile(now, t.target)
		s.arrangeAll(c)
		return
	}
	s.release(now, t.target, t.job.profile, c)
}

// learn takes the run time and the outcome into account.
func (s *Scheduler) learn(now time.Duration, t *task, report Report) {
	k, on := t.job.kind, t.target
	switch report.Outcome {
	case OutcomeDone:
		on.learnSpeed(k, report.RunTime)
		s.learnRunTime(k, report.RunTime)
		s.succeeded(now, on)
	case OutcomeFailed, OutcomeUnresolved:
		s.failed(now, on, t.job.ID)
	case OutcomeStopped:
		// A run time that was cut off is a lower bound; it teaches something
		// only when it is above the expectation.
		if report.RunTime > k.expected() {
			s.learnRunTime(k, report.RunTime)
		}
		s.reprobe(on)
	case OutcomeNotStarted:
		if report.Unreachable {
			s.refused(now, on, leastUnreachableBackoff, mostUnreachableBackoff)
			s.failed(now, on, t.job.ID)
			return
		}
		s.refused(now, on, leastBusyBackoff, mostBusyBackoff)
		s.reprobe(on)
	}
}

// reprobe lets a target that is being probed wait for another probe, when the
// last one said nothing about it.
func (s *Scheduler) reprobe(t *target) {
	if t.health == healthProbing && !t.removed && !slices.Contains(t.service.probes, t) {
		t.service.probes = append(t.service.probes, t)
	}
}

func (s *Scheduler) learnRunTime(k *kind, runTime time.Duration) {
	k.learn(runTime)
	if long := k.nowLong(s.config.LongTask); long != k.long {
		s.reclassify(k, long)
	}
}

// reclassify moves the waiting jobs of a kind to the lane of its length class.
func (s *Scheduler) reclassify(k *kind, long bool) {
	k.long = long
	for _, j := range s.jobs {
		if j.kind != k {
			continue
		}
		s.unqueue(j)
		j.entry = s.entryOf(j.entry.caller, j.profile.lanes[laneIndex(long)])
		s.queueJob(j)
	}
	for long && k.oldest != nil {
		s.markLong(k.oldest)
	}
}

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
// plus a delay that grows with its expected remaining work up to MaxWait and to
// its slack. Jobs admitted later than MaxWait after it therefore never overtake
// it, and an order by size alone does not break the deadlines of large jobs.
func (s *Scheduler) keyOf(j *job) time.Duration {
	slots := max(1, j.profile.service.slots)
	work := j.kind.expected().Seconds() * float64(j.waiting()) / float64(slots)
	delay := time.Duration(s.config.SizeWeight * work * float64(time.Second))
	return j.admitted + min(delay, s.config.MaxWait, j.slack/slackPart)
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
	k.waiting += count
	s.waiting += count
	switch has := c.backlog > 0; {
	case has && !had:
		s.backlogWeight += c.Weight
	case had && !has:
		s.backlogWeight -= c.Weight
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

// runningTask returns the running task of an assignment, nil if there is none.
func (s *Scheduler) runningTask(ended Assignment) *task {
	j := s.jobs[ended.Job]
	known := j != nil && ended.Task >= 0 && ended.Task < len(j.tasks)
	if !s.require(known, "unknown task finished") {
		return nil
	}
	t := &j.tasks[ended.Task]
	if !s.require(t.state == taskRunning && t.attempt == ended.Attempt, "task finished that does not run") {
		return nil
	}
	return t
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
	if !k.learned() && k.waiting == 0 {
		k.long = k.nowLong(s.config.LongTask)
	}
	return k
}

// profileFor returns the profile of the job's needs and files all targets in a
// new one.
func (s *Scheduler) profileFor(now time.Duration, v *service, submitted *Job) *profile {
	p := v.profileFor(submitted)
	if slices.Contains(v.profiles, p) {
		return p
	}
	if len(v.profiles) >= maxProfiles {
		s.dropProfiles(v)
	}
	v.profiles = append(v.profiles, p)
	for _, t := range v.targets {
		if t != nil {
			p.file(t, t.class(p, now))
		}
	}
	return p
}

// dropProfiles forgets profiles without jobs.
func (s *Scheduler) dropProfiles(v *service) {
	v.profiles = slices.DeleteFunc(v.profiles, func(p *profile) bool { return p.jobs == 0 })
	for _, c := range s.callers {
		c.entries = slices.DeleteFunc(c.entries, func(e *entry) bool {
			return e.lane.profile.service == v && e.lane.profile.jobs == 0
		})
	}
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

func (s *Scheduler) callerOf(name string) *caller {
	return s.callers[name]
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

func (s *Scheduler) setTarget(now time.Duration, update *Target) {
	t := s.targets[update.Name]
	if t == nil {
		s.addTarget(now, update)
		return
	}
	t.round = s.round
	if t.Target == *update && !t.removed {
		return
	}
	s.account(t, -1)
	if t.Service != update.Service || t.Rack != update.Rack {
		s.unlist(t)
		t.service.remove(t)
		t.Target = *update
		t.health = healthGood
		s.serviceOf(update.Service).add(t)
		s.list(t)
	} else if t.removed {
		s.list(t)
	}
	t.Target = *update
	t.service.remember(*update)
	s.account(t, 1)
	s.refile(now, t)
}

func (s *Scheduler) addTarget(now time.Duration, update *Target) {
	t := &target{Target: *update, round: s.round, removed: true}
	s.targets[update.Name] = t
	v := s.serviceOf(update.Service)
	v.add(t)
	v.remember(*update)
	s.list(t)
	s.account(t, 1)
	s.refile(now, t)
}

func (s *Scheduler) serviceOf(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name, racks: map[string]int{}}
		s.services[name] = v
	}
	return v
}

func (s *Scheduler) removeTarget(now time.Duration, t *target) {
	if t.removed {
		return
	}
	s.account(t, -1)
	s.unlist(t)
	s.refile(now, t)
	if t.held == 0 {
		s.forgetTarget(t)
	}
}

// list counts the target in its service.
func (s *Scheduler) list(t *target) {
	t.removed = false
	t.service.count++
}

// unlist takes the target out of the sums of its service.
func (s *Scheduler) unlist(t *target) {
	if t.removed {
		return
	}
	s.clearOutcomes(t)
	if t.health == healthEjected || t.health == healthProbing {
		t.service.ejected--
	}
	t.health = healthGood
	s.dropProbe(t)
	t.removed = true
	t.service.count--
}

func (s *Scheduler) forgetTarget(t *target) {
	t.service.remove(t)
	delete(s.targets, t.Name)
}

// account adds (1) or takes away (-1) the slots of a target in use.
func (s *Scheduler) account(t *target, sign int) {
	if !t.inUse() {
		return
	}
	t.service.slots += sign * t.Slots
	for _, p := range t.service.profiles {
		p.slots += sign * max(0, t.couldFit(p))
	}
	s.queue.burst += float64(sign*t.Slots) * s.config.FairBurst.Seconds()
}

// refile puts a target into the rank of its present state.
func (s *Scheduler) refile(now time.Duration, t *target) {
	if t.service == nil {
		return
	}
	for _, p := range t.service.profiles {
		p.file(t, t.class(p, now))
	}
}
