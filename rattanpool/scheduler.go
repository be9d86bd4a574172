package rattanpool

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Scheduler assigns the tasks of admitted jobs to slots of targets. It is not
// safe for concurrent use.
type Scheduler struct {
	// Violations counts violated invariants; it stays 0 in a correct program.
	Violations uint64

	targets map[string]*target
	order   []*target
	jobs    map[JobID]*job
	queue   []*job
}

type target struct {
	Target
	held int
}

type job struct {
	Job
	admitted time.Time
	attempts []int
	waiting  []int
	running  int
	started  bool
}

// New returns a scheduler without targets, callers and jobs.
func New(_ Config) *Scheduler {
	return &Scheduler{targets: map[string]*target{}, jobs: map[JobID]*job{}}
}

// SetTargets replaces the list of targets. Tasks on removed targets keep their
// slots accounted until Finish.
func (s *Scheduler) SetTargets(_ time.Time, targets []Target) {
	s.order = s.order[:0]
	for _, update := range targets {
		known, ok := s.targets[update.Name]
		if !ok {
			known = &target{}
			s.targets[update.Name] = known
		}
		known.Target = update
		s.order = append(s.order, known)
	}
}

// SetCallers replaces the list of callers.
func (s *Scheduler) SetCallers(_ time.Time, _ []Caller) {}

// Admit decides whether the job is accepted. The tasks of an admitted job wait
// until Next returns them.
func (s *Scheduler) Admit(now time.Time, submitted Job) Admission {
	if len(s.order) == 0 {
		return Admission{Reason: rattanjob.ReasonNoTarget, RetryAfter: time.Second}
	}
	admitted := &job{Job: submitted, admitted: now, attempts: make([]int, submitted.Tasks)}
	for task := range submitted.Tasks {
		admitted.waiting = append(admitted.waiting, task)
	}
	s.jobs[submitted.ID] = admitted
	s.queue = append(s.queue, admitted)
	return Admission{Admitted: true, Expected: submitted.RunTime}
}

// Next returns the next task to start and its target. It returns false when no
// waiting task may start now.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	for _, waiting := range s.queue {
		if len(waiting.waiting) == 0 {
			continue
		}
		for _, free := range s.order {
			if free.held < free.Slots && !free.Leaving && free.Service == waiting.Service {
				return s.assign(now, waiting, free), true
			}
		}
	}
	return Assignment{}, false
}

// Finish reports how an assignment ended. It returns true when the task will
// be assigned again.
func (s *Scheduler) Finish(_ time.Time, ended Assignment, report Report) (requeued bool) {
	if on := s.targets[ended.Target]; on != nil {
		on.held--
	}
	of := s.jobs[ended.Job]
	if of == nil {
		return false
	}
	of.running--
	if report.Outcome == OutcomeNotStarted {
		of.waiting = append(of.waiting, ended.Task)
		return true
	}
	of.started = true
	s.drop(of)
	return false
}

// Cancel drops the tasks of a job that are not assigned and returns their
// number. Assigned tasks are ended by Finish.
func (s *Scheduler) Cancel(_ time.Time, id JobID) (unstarted int) {
	cancelled := s.jobs[id]
	if cancelled == nil {
		return 0
	}
	unstarted = len(cancelled.waiting)
	cancelled.waiting = nil
	s.drop(cancelled)
	return unstarted
}

// Expire removes the jobs of which no task was started and that can no longer
// meet their deadline, and returns them.
func (s *Scheduler) Expire(now time.Time) []JobID {
	var expired []JobID
	for id, waiting := range s.jobs {
		if !waiting.started && waiting.running == 0 && now.After(waiting.Deadline) {
			expired = append(expired, id)
			waiting.waiting = nil
			s.drop(waiting)
		}
	}
	return expired
}

// NextWake returns the time until Next should be called again although nothing
// was admitted or finished. It returns false when there is no such time.
func (s *Scheduler) NextWake(_ time.Time) (time.Duration, bool) {
	return 0, false
}

// Load summarises the pool.
func (s *Scheduler) Load(_ time.Time) Load {
	load := Load{CallerSlots: map[string]int{}}
	for _, known := range s.targets {
		load.Slots += known.Slots
		load.BusySlots += known.held
	}
	for _, known := range s.jobs {
		load.CallerSlots[known.Caller] += known.running
	}
	return load
}

func (s *Scheduler) assign(now time.Time, waiting *job, free *target) Assignment {
	task := waiting.waiting[0]
	waiting.waiting = waiting.waiting[1:]
	waiting.attempts[task]++
	waiting.running++
	free.held++
	return Assignment{
		Job: waiting.ID, Task: task, Target: free.Name, Attempt: waiting.attempts[task],
		Waited: now.Sub(waiting.admitted), Choice: ChoiceNormal,
	}
}

func (s *Scheduler) drop(ended *job) {
	if ended.running > 0 || len(ended.waiting) > 0 {
		return
	}
	delete(s.jobs, ended.ID)
	for i, queued := range s.queue {
		if queued == ended {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}
