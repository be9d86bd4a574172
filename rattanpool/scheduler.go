package rattanpool

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Scheduler assigns the tasks of admitted jobs to slots of targets. It is not
// safe for concurrent use.
type Scheduler struct {
	// Violations counts violated invariants. Anything but 0 is a bug.
	Violations uint64

	config Config
	// startTime is the time of the first call. All other times are stored
	// relative to it.
	startTime time.Time
	// clock is the latest time that was passed to a call.
	clock time.Duration

	targets map[string]*target
	// generation is the number of SetTargets calls.
	generation uint64
	services   map[string]*service
	callers    map[string]*caller
	kinds      map[kindKey]*kind
	kindCount  int
	jobs       map[JobID]*job
	freeJobs   []*job
	sequence   uint64

	fairQueue fairQueue
	// nonEmptyQueues are the job queues that have waiting jobs.
	nonEmptyQueues []*jobQueue
	// waitingWeight is the total weight of the callers that have waiting tasks.
	waitingWeight   float64
	waiting         int
	busySlots       int
	unresolvedSlots int
	expiries        expiryHeap
	timers          timerHeap
	retries         retryBudget
	pendingRetries  []*task
	nextSampling    time.Duration
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
		retries:  retryBudget{ratio: config.RetryRatio, minPerSecond: config.MinRetriesPerSecond},
	}
}

// SetTargets replaces the list of targets. Tasks on removed targets occupy
// their slots until Finish is called for them.
func (s *Scheduler) SetTargets(now time.Time, targets []Target) {
	at := s.advance(now)
	s.generation++
	for i := range targets {
		s.addOrUpdateTarget(at, &targets[i])
	}
	for _, t := range s.targets {
		if t.generation != s.generation {
			s.removeTarget(at, t)
		}
	}
}

// SetCallers replaces the list of callers. Callers that are not listed keep
// their jobs and get weight 1 and no quota.
func (s *Scheduler) SetCallers(now time.Time, callers []Caller) {
	s.advance(now)
	for _, c := range s.callers {
		c.listed = false
	}
	for _, update := range callers {
		c := s.getOrCreateCaller(update.Name)
		c.listed = true
		s.updateCaller(c, update)
	}
	for _, c := range s.callers {
		if !c.listed {
			s.updateCaller(c, Caller{Name: c.Name, Weight: 1})
			s.removeIfUnlisted(c)
		}
	}
}

// Admit runs admission control for a job. The tasks of an admitted job wait
// until Next returns them.
func (s *Scheduler) Admit(now time.Time, submitted Job) Admission {
	at := s.advance(now)
	if submitted.Tasks < 1 {
		return Admission{Reason: rattanjob.ReasonInvalid, Detail: "a job has at least 1 task"}
	}
	if !s.checkInvariant(s.jobs[submitted.ID] == nil, "job admitted twice") {
		return Admission{Reason: rattanjob.ReasonInternal, Detail: "a job with this ID is in progress"}
	}
	svc := s.services[submitted.Service]
	if svc == nil {
		return Admission{
			Reason: rattanjob.ReasonNeverRunnable,
			Detail: fmt.Sprintf("service %q never had a target", submitted.Service),
		}
	}
	p := s.profileFor(at, svc, &submitted)
	k := s.kindFor(svc, &submitted)
	admission := s.decideAdmission(at, &submitted, k, p)
	if admission.Admitted || admission.Reason == rattanjob.ReasonOverloaded {
		s.recordOfferedLoad(at, &submitted, k)
	}
	if admission.Admitted {
		slack := s.timeBudget(at, submitted.Deadline) - admission.ExpectedDuration
		s.addJob(at, submitted, k, p, max(0, slack))
	}
	return admission
}

// Next returns the next task to start and its target. It returns false when no
// waiting task can start now.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	at := s.advance(now)
	if s.waiting == 0 {
		return Assignment{}, false
	}
	best := s.nextQueue(at)
	if best == nil {
		return Assignment{}, false
	}
	first := best.jobs[0]
	chosen, choice := s.chooseTarget(first)
	return s.assign(at, first, chosen, choice), true
}

// Finish records how an assignment ended. It returns true when the task will be
// retried. If the job has failed, the caller of Finish has to cancel it.
func (s *Scheduler) Finish(now time.Time, ended Assignment, report Report) (requeued bool) {
	at := s.advance(now)
	t := s.runningTask(ended)
	if t == nil {
		return false
	}
	j := t.job
	s.removeRunning(t)
	s.recordResult(at, t, report)
	s.settleSlot(at, t, report)
	if report.Outcome == OutcomeNotStarted && !j.cancelled && at < j.deadline {
		s.retry(at, t)
		return true
	}
	t.state = taskEnded
	if report.Outcome != OutcomeNotStarted {
		j.endedTasks++
	}
	s.removeIfEnded(j)
	return false
}

// Cancel drops the tasks of a job that are not assigned and returns their
// number. Assigned tasks still have to be ended by Finish.
func (s *Scheduler) Cancel(now time.Time, id JobID) (unstarted int) {
	s.advance(now)
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return 0
	}
	j.cancelled = true
	unstarted = j.waiting() + j.pendingRetries
	s.endWaitingTasks(j)
	s.removeIfEnded(j)
	return unstarted
}

// Expire removes and returns the jobs that have not started any task and can no
// longer meet their deadline.
func (s *Scheduler) Expire(now time.Time) []JobID {
	at := s.advance(now)
	var expired []JobID
	for len(s.expiries) > 0 && s.expiries[0].expiresAt <= at {
		j := s.expiries[0]
		if expiresAt := s.latestStart(j); expiresAt > at {
			j.expiresAt = expiresAt
			heap.Fix(&s.expiries, 0)
			continue
		}
		expired = append(expired, j.ID)
		s.endWaitingTasks(j)
		s.removeIfEnded(j)
	}
	return expired
}

// NextWake returns the delay after which Next has to be called even if nothing
// is admitted or finished. It returns false when no such call is needed.
func (s *Scheduler) NextWake(now time.Time) (time.Duration, bool) {
	at := s.advance(now)
	if s.waiting+len(s.pendingRetries) == 0 {
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
	if len(s.pendingRetries) > 0 {
		earliest(s.retries.timeToNext(at))
	}
	for _, jq := range s.nonEmptyQueues {
		if head := jq.head(); jq.long && jq.profile.freeTargets > 0 && head != nil {
			earliest(s.nextLongCheck(at, jq.profile.service, head))
		}
	}
	return wake, found
}

// Load summarises the pool. Occupied slots count even on targets that take no
// new tasks.
func (s *Scheduler) Load(now time.Time) Load {
	s.advance(now)
	load := Load{BusySlots: s.busySlots, CallerSlots: make(map[string]int, len(s.callers))}
	for _, t := range s.targets {
		if t.inUse() {
			load.Slots += max(t.Slots, t.busySlots)
		} else {
			load.Slots += t.busySlots
		}
	}
	for _, k := range s.kinds {
		load.Backlog += time.Duration(k.waiting) * k.expectedRunTime()
	}
	for name, c := range s.callers {
		if c.busySlots > 0 {
			load.CallerSlots[name] = c.busySlots
		}
	}
	return load
}

// advance moves the clock forward, runs what is due, and returns the current
// time relative to startTime.
func (s *Scheduler) advance(now time.Time) time.Duration {
	if s.startTime.IsZero() {
		s.startTime = now
	}
	s.clock = max(s.clock, s.since(now))
	s.runTimers(s.clock)
	s.releasePendingRetries(s.clock)
	s.runPeriodicUpdates(s.clock)
	return s.clock
}

// since returns t relative to startTime.
func (s *Scheduler) since(t time.Time) time.Duration {
	return t.Sub(s.startTime)
}
