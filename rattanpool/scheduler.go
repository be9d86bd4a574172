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
	if admission.Admitted || admission.Reason == rattanjob.ReasonOverloaded {
		s.noteOffered(at, &submitted, k)
	}
	if admission.Admitted {
		slack := s.room(at, submitted.Deadline) - admission.ExpectedDuration
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
		if head := l.head(); l.long && l.profile.free > 0 && head != nil {
			earliest(s.longWake(at, l.profile.service, head))
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
