// Package rattanscheduler decides which task of which job starts when and on
// which target of one availability zone. It is pure: it keeps the state of the
// jobs, runs and targets, takes the time as an argument and returns orders; it
// knows nothing of connections or clocks. It is not safe for concurrent use.
package rattanscheduler

import (
	"strings"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

//go:generate go tool stringer -type=Outcome,TargetChange,runState -output=enum_string.go

// Outcome tells how a job ended.
type Outcome int

// Outcomes of a job.
const (
	// Open says that the job has not ended.
	Open Outcome = iota
	Succeeded
	// Failed says that a task failed as often as its route allows.
	Failed
	// Refused says that no task of the job has started or ever will.
	Refused
	// Expired says that the job cannot be completed in time any more; tasks of
	// it may have run.
	Expired
	// Cancelled says that nobody waits for the job any more.
	Cancelled
	// Redirected says that no task of the job has started here and that
	// another availability zone has room for it.
	Redirected
)

// Submission is a job with what its route says of it.
type Submission struct {
	Job         *rattanwork.Job
	Service     string
	Priority    int
	MaxAttempts int
	// Objective is when the answer loses most of its worth, LateUntil when it
	// loses the rest, and Deadline when the caller has left. The first two
	// follow from the declared run times; with longer ones they are later.
	Objective time.Time
	LateUntil time.Time
	// Slack is how often the run time of the longest chain goes into Objective.
	Slack    float64
	Deadline time.Time
	// Resumed says that an earlier home may have started tasks of the job.
	Resumed bool
	// MayMove says that the job may be redirected to another availability zone.
	MayMove bool
}

// RemoteZone is the room of another availability zone.
type RemoteZone struct {
	Zone         string
	FreeMilliCPU int
}

// StartOrder is the decision to start a run.
type StartOrder struct {
	Target     *rattanwork.Target
	Task       string
	Attempt    int
	Spec       string
	Checkpoint string
}

// StopOrder is the decision to end a run, or to keep it from starting.
type StopOrder struct {
	Target  *rattanwork.Target
	Task    string
	Attempt int
}

// JobResult reports the end of a job.
type JobResult struct {
	JobID   string
	Outcome Outcome
	// Zone is where a redirected job is to be presented.
	Zone string
	// RetryAfter is when a refused job is likely to be served.
	RetryAfter time.Duration
	// Reason says in a few words what decided the outcome.
	Reason string
	// Tasks is the number of the job's tasks, Estimate the declared run time of
	// its longest chain.
	Tasks    int
	Estimate time.Duration
	// Runs is the number of runs that were ordered, Failures of those that
	// failed.
	Runs     int
	Failures int
	// FirstStart is the wait until the first run was ordered.
	FirstStart time.Duration
	// Elapsed is the time since the submission.
	Elapsed time.Duration
	// History tells of all runs, unless the job went as planned.
	History []RunRecord
}

// RunRecord tells what became of one run of a job. Times are since the job's
// submission.
type RunRecord struct {
	Task           string
	Target         string
	Attempt        int
	RequestedAfter time.Duration
	// Ended is 0 while the run has not ended; How says in a word how it did.
	Ended  time.Duration
	Result string
}

// Output holds the decisions that were taken since the last call of Take.
type Output struct {
	Starts []StartOrder
	Stops  []StopOrder
	Ended  []JobResult
	// Targets tells what changed of targets.
	Targets []TargetEvent
}

// Config configures a Scheduler.
type Config struct {
	// MaxLease is the longest lease of a run on a target.
	MaxLease time.Duration
	// RemotePenalty multiplies the run time of a task away from its data.
	RemotePenalty float64
	// TakenOver is when authority over the targets was claimed. Until the
	// leases of the earlier home have run out, jobs that it may have started
	// wait for the lists of all targets.
	TakenOver time.Time
}

// Scheduler is the state of one home.
type Scheduler struct {
	config  Config
	targets map[string]*target
	jobs    map[string]*job
	// waiting holds the jobs with tasks to start, in order of submission.
	waiting []*job
	// orphans are runs of jobs that no caller has presented, by task.
	orphans map[string]*run
	// present counts, by task, the runs that may be under way on some target.
	present map[string]int
	// ended holds tasks that ended as done without a job, until the time.
	ended map[string]time.Time
	rates rates
	// elsewhere holds the room of other zones, less what was redirected since.
	elsewhere []RemoteZone
	// informed says that targets of the zone are known, current that all of
	// those are which the earlier home may have known.
	informed bool
	current  bool
	output   Output
}

// New returns a scheduler without targets.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:  config,
		targets: map[string]*target{},
		jobs:    map[string]*job{},
		orphans: map[string]*run{},
		present: map[string]int{},
		ended:   map[string]time.Time{},
		rates:   newRates(),
	}
}

// Take returns the decisions since the last call.
func (s *Scheduler) Take() Output {
	output := s.output
	s.output = Output{}
	return output
}

// Jobs returns the number of jobs that have not ended.
func (s *Scheduler) Jobs() int {
	return len(s.jobs)
}

// WaitingTasks returns the number of tasks that wait for a target.
func (s *Scheduler) WaitingTasks() int {
	count := 0
	for _, j := range s.waiting {
		count += len(j.ready)
	}
	return count
}

// FreeMilliCPU returns the processor room that is free on usable targets.
func (s *Scheduler) FreeMilliCPU(now time.Time) int {
	free := 0
	for _, t := range s.targets {
		if t.usable(now) {
			free += max(0, t.free.MilliCPU)
		}
	}
	return free
}

// Submit takes in a job unless one of that ID is known. A job that no target
// can ever run is refused at once.
func (s *Scheduler) Submit(submission Submission, now time.Time) {
	if _, ok := s.jobs[submission.Job.ID]; ok {
		return
	}
	j := newJob(submission, now)
	s.jobs[submission.Job.ID] = j
	s.adopt(j)
	if !j.started() && s.informed && !s.servable(j) {
		s.end(j, Refused, "no target for it", noTargetRetry, now)
		return
	}
	s.advance(j, now)
}

// Cancel ends a job that nobody waits for.
func (s *Scheduler) Cancel(jobID string, now time.Time) bool {
	j, ok := s.jobs[jobID]
	if !ok {
		return false
	}
	s.end(j, Cancelled, "cancelled", 0, now)
	return true
}

// Tick advances everything that depends on time alone and starts what it can.
func (s *Scheduler) Tick(now time.Time) {
	s.stopOrphans(now)
	s.repeatStops(now)
	s.forgetVanished(now)
	s.dropHopeless(now)
	s.schedule(now)
	s.redirect(now)
	s.refuseCrowded(now)
	for name, until := range s.ended {
		if now.After(until) {
			delete(s.ended, name)
		}
	}
}

const (
	// noTargetRetry is how soon a target may be back: targets announce
	// themselves within a second or two of their start.
	noTargetRetry = 2 * time.Second
	// endedRetention bounds how long the end of a run is kept for a caller
	// that presents its job again after a change of the home.
	endedRetention = 5 * time.Second
	// orphanGrace is how long runs of an earlier home may go on before their
	// job must have been presented again.
	orphanGrace = 700 * time.Millisecond
)

// servable reports whether the known targets could run each step when empty.
func (s *Scheduler) servable(j *job) bool {
	for i := range j.submission.Job.Steps {
		step := &j.submission.Job.Steps[i]
		wanted := 1
		if step.Gang {
			wanted = step.Count
		}
		if !s.canHost(j, step, wanted) {
			return false
		}
	}
	return true
}

// canHost reports whether all targets together could run so many tasks of the
// step at the same time when empty.
func (s *Scheduler) canHost(j *job, step *rattanwork.Step, wanted int) bool {
	for _, t := range s.targets {
		if wanted <= 0 {
			break
		}
		if t.canHost(j, step) {
			wanted -= t.info.Capacity.Holds(step.Resources, wanted)
		}
	}
	return wanted <= 0
}

// adopt binds the runs and ends that an earlier home left behind. A job of
// which runs of an earlier submission may still be under way has started: it
// can neither be refused nor go to another zone.
func (s *Scheduler) adopt(j *job) {
	for _, t := range j.tasks {
		if s.present[t.name] > 0 {
			j.wasStarted = true
		}
		if _, ok := s.ended[t.name]; ok {
			delete(s.ended, t.name)
			s.markDone(t)
			j.wasStarted = true
			continue
		}
		if t.state != taskWaiting {
			continue
		}
		r, ok := s.orphans[t.name]
		if !ok || r.state == runStopping {
			continue
		}
		delete(s.orphans, t.name)
		s.bind(r, t)
	}
}

// waitingTask returns the task with the name if its job is known and it has no
// run.
func (s *Scheduler) waitingTask(name string) *task {
	jobID, _, _ := strings.Cut(name, ".")
	j, ok := s.jobs[jobID]
	if !ok {
		return nil
	}
	t := j.task(name)
	if t == nil || t.state != taskWaiting {
		return nil
	}
	return t
}

func (s *Scheduler) bind(r *run, t *task) {
	r.task = t
	t.run = r
	t.state = taskActive
	t.attempt = max(t.attempt, r.attempt)
	t.job.wasStarted = true
	r.need = t.need()
	r.target.orphans--
	r.target.take(r.need)
}

// advance recomputes which tasks of a job may start, and ends it when all are
// done.
func (s *Scheduler) advance(j *job, now time.Time) {
	if j.outcome != Open {
		return
	}
	j.refresh(s.present)
	if j.complete() {
		s.end(j, Succeeded, "complete", 0, now)
		return
	}
	if len(j.ready) > 0 && !j.queued {
		j.queued = true
		s.waiting = append(s.waiting, j)
	}
}

// end ends a job: its runs are stopped, and the caller is told at once.
func (s *Scheduler) end(j *job, outcome Outcome, reason string, retryAfter time.Duration, now time.Time) {
	if j.outcome != Open {
		return
	}
	zone := ""
	if outcome == Refused {
		zone = s.zoneFor(j)
	}
	if zone != "" {
		outcome = Redirected
	}
	j.outcome = outcome
	j.ready = nil
	delete(s.jobs, j.submission.Job.ID)
	s.dequeue(j)
	for _, t := range j.tasks {
		s.stopRuns(t, now)
	}
	s.output.Ended = append(s.output.Ended, JobResult{
		JobID:      j.submission.Job.ID,
		Outcome:    outcome,
		Zone:       zone,
		RetryAfter: retryAfter,
		Reason:     reason,
		Tasks:      len(j.tasks),
		Estimate:   j.chain,
		Runs:       j.runs,
		Failures:   j.failures,
		FirstStart: j.firstStart,
		Elapsed:    now.Sub(j.submitted),
		History:    j.record(outcome),
	})
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	for i, other := range s.waiting {
		if other == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}
