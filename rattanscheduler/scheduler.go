// Package rattanscheduler decides when and on which target of an availability
// zone each task starts. A Scheduler is a deterministic state machine without
// I/O: it keeps the state of jobs, runs and targets, gets the current time as
// an argument and returns requests for the targets. The scheduler runs in the
// zone's home, the instance that was elected to manage the targets. It is not
// safe for concurrent use.
package rattanscheduler

import (
	"maps"
	"time"

	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Submission is a job with the scheduling parameters of its route.
type Submission struct {
	Job         *rattanwork.Job
	Service     string
	Priority    int
	MaxAttempts int
	// Objective is the time after which the answer has lost most of its value,
	// LateUntil the time after which it has none, and Deadline the time at
	// which the caller stops waiting. Objective and LateUntil are based on
	// declared run times and are postponed if actual run times turn out longer.
	Objective time.Time
	LateUntil time.Time
	// SlackFactor is the multiple of the critical path that is contained in
	// Objective.
	SlackFactor float64
	Deadline    time.Time
	// Resumed is set if the job was submitted before, so that an earlier home
	// may have started tasks of it.
	Resumed bool
	// EarlierHomes is the number of homes that the job was submitted to before.
	// Each may have lost a target under a task without a record of it.
	EarlierHomes int
	// Redirected is set if another availability zone has redirected the job to this
	// one.
	Redirected bool
	// Redirectable is set if the job may be redirected to another availability
	// zone.
	Redirectable bool
	// Tried contains the zones that have redirected or refused the job. It is not
	// redirected there again.
	Tried []string
}

// StartRequest is the decision to start a run.
type StartRequest struct {
	Target     *rattanwork.Target
	Task       string
	Attempt    int
	Spec       string
	Checkpoint string
}

// StopRequest is the decision to stop a run or to prevent its start.
type StopRequest struct {
	Target  *rattanwork.Target
	Task    string
	Attempt int
}

// Output contains the decisions made since the last call of Take.
type Output struct {
	Starts  []StartRequest
	Stops   []StopRequest
	Results []JobResult
	// Targets lists the changes of targets, Losses the runs lost with targets,
	// StartChanges those of start requests without an answer.
	Targets      []TargetEvent
	Losses       []RunLoss
	StartChanges []StartEvent
}

// Config configures a Scheduler.
type Config struct {
	// MaxLease is the maximum duration of a run's lease on a target.
	MaxLease time.Duration
	// RemotePenalty is the factor by which tasks run slower away from their
	// data. It is added to the placement score of targets that are not on the
	// data's rack.
	RemotePenalty float64
	// TakeoverTime is when this home claimed its zone. Until the leases granted
	// by the earlier home have expired, jobs that it may have started wait for
	// the listings of all targets.
	TakeoverTime time.Time
	// Crashes is the history of lost targets, which outlives the home. If it is
	// nil, the scheduler starts with an empty one.
	Crashes *rattancrash.History
	// Callers bounds the leases of runs. If it is nil, callers wait until their
	// deadlines.
	Callers Callers
}

// Scheduler holds the scheduling state of one home.
type Scheduler struct {
	config  Config
	targets map[string]*target
	jobs    map[string]*job
	// tasks is the number of tasks of all jobs.
	tasks int
	// services contains the waiting jobs and the indexed targets by service.
	services map[string]*serviceState
	// lastSequence is the sequence number of the last job that was queued.
	lastSequence uint64
	// touched contains the targets that have changed since they were indexed,
	// suspended those that are usable again after their suspension.
	touched   []*target
	suspended []*target
	// cold contains the cold targets, coldCheckedAt is when they were last checked for
	// those that have become warm.
	cold          []*target
	coldCheckedAt time.Time
	// orphans contains, by task, the runs of jobs that have not been submitted
	// to this home.
	orphans map[string]*run
	// activeRuns counts, by task, the runs that may be active on some target.
	activeRuns map[string]int
	// unansweredStops contains the runs whose last stop request has not been
	// answered, unanswered those whose start request has not.
	unansweredStops map[*run]struct{}
	unanswered      map[*run]struct{}
	// outstanding contains, by task, the start requests that were given up but may
	// still be carried out.
	outstanding map[string][]outstandingStart
	// outstandingCheckedAt is when the start requests were last checked for those
	// that have expired.
	outstandingCheckedAt time.Time
	// doneTasks contains tasks that completed before their job was submitted to
	// this home, with the time until which to keep them.
	doneTasks map[string]time.Time
	// begunJobs contains the jobs that ended without a result although a task of
	// them may have started, with the time until which to keep them.
	begunJobs map[string]time.Time
	// returningJobs contains the same jobs for as long as a start request of them may
	// be carried out.
	returningJobs map[string]time.Time
	// unansweredJobs contains those of them that had a start request without an answer,
	// with the time until which other zones may remember it.
	unansweredJobs map[string]time.Time
	// unhosted contains the jobs that no known target could run when they were
	// submitted and that an earlier home may have started.
	unhosted []*job
	// redirectedJobs contains the jobs that were redirected, until their callers
	// stop waiting.
	redirectedJobs map[string]redirection
	// crashes is the history of lost targets, crashesReviewed its sequence
	// number when its changes were last applied.
	crashes         *rattancrash.History
	crashesReviewed int64
	estimator       runTimeEstimator
	// estimatesRefreshedAt is when learned run times last took effect.
	estimatesRefreshedAt time.Time
	// deadlinesCheckedAt is when the deadlines of all jobs were last checked.
	deadlinesCheckedAt time.Time
	// remoteZones is the room of other zones less that of jobs redirected since it was
	// reported, remoteZonesKnown is set once there was any; sent contains the jobs that
	// were redirected lately.
	remoteZones      []RemoteZone
	remoteZonesKnown bool
	sent             []sentJob
	// targetsKnown is set once any target of the zone is known, targetsCurrent
	// once all targets are known that an earlier home may have used.
	targetsKnown   bool
	targetsCurrent bool
	// reconcileUntil is until when resumed jobs wait for the listings of all
	// targets.
	reconcileUntil time.Time
	// latestLeaseEnd is the latest end of a lease on any target.
	latestLeaseEnd time.Time
	// held is set while no task may start because this home may have lost its
	// authority, evacuation tells whether tasks may start in the zone.
	held       bool
	evacuation rattanwork.EvacuationStatus
	output     Output
	// startWaiting starts the waiting tasks for which there are resources.
	startWaiting func(now time.Time)
}

// New returns a scheduler without targets.
func New(config Config) *Scheduler {
	s := &Scheduler{
		config:          config,
		targets:         map[string]*target{},
		jobs:            map[string]*job{},
		services:        map[string]*serviceState{},
		orphans:         map[string]*run{},
		activeRuns:      map[string]int{},
		doneTasks:       map[string]time.Time{},
		begunJobs:       map[string]time.Time{},
		returningJobs:   map[string]time.Time{},
		unansweredJobs:  map[string]time.Time{},
		redirectedJobs:  map[string]redirection{},
		estimator:       newRunTimeEstimator(),
		unansweredStops: map[*run]struct{}{},
		unanswered:      map[*run]struct{}{},
		outstanding:     map[string][]outstandingStart{},
		crashes:         config.Crashes,
	}
	if s.crashes == nil {
		s.crashes = rattancrash.NewHistory(config.TakeoverTime)
	}
	s.startWaiting = s.scheduleServices
	s.awaitListings(config.TakeoverTime)
	return s
}

// Take returns the decisions made since the last call.
func (s *Scheduler) Take() Output {
	output := s.output
	s.output = Output{}
	return output
}

// Jobs returns the number of jobs that have not ended.
func (s *Scheduler) Jobs() int {
	return len(s.jobs)
}

// Tasks returns the number of tasks of the jobs that have not ended.
func (s *Scheduler) Tasks() int {
	return s.tasks
}

func (s *Scheduler) addJob(j *job) {
	s.jobs[j.submission.Job.ID] = j
	s.tasks += len(j.tasks)
}

// WaitingTasks returns the number of tasks that are ready but have no target.
func (s *Scheduler) WaitingTasks() int {
	count := 0
	for _, state := range s.services {
		count += state.queue.tasks
	}
	return count
}

// Busy reports whether Tick has decisions to make soon.
func (s *Scheduler) Busy() bool {
	return s.WaitingTasks() > 0 || len(s.unansweredStops) > 0 || len(s.orphans) > 0 ||
		s.evacuation == rattanwork.EvacuationActive && len(s.jobs) > 0
}

// FreeMilliCPU returns the free processor capacity of the usable targets that are
// warm.
func (s *Scheduler) FreeMilliCPU(now time.Time) int {
	s.refreshTargets(now)
	free := 0
	for _, state := range s.services {
		free += state.pool.freeMilliCPU - state.pool.coldFreeMilliCPU
	}
	return free
}

// Submit adds a job unless a job with its ID is already known, and starts its
// tasks as far as there are resources for them. A job that no target could ever
// run is refused at once.
func (s *Scheduler) Submit(submission Submission, now time.Time) {
	if known, ok := s.jobs[submission.Job.ID]; ok {
		known.join(submission)
		return
	}
	if s.redirectAgain(submission, now) {
		return
	}
	j := newJob(submission, now)
	s.addJob(j)
	s.service(submission.Service).notePriority(submission.Priority)
	s.adoptRuns(j)
	if s.evacuation != rattanwork.EvacuationActive && s.refuseUnhostable(j, now) {
		return
	}
	s.advanceJob(j, now)
	if j.class != nil {
		s.schedule(now)
	}
}

// Refuse refuses or redirects a new job instead of submitting it.
func (s *Scheduler) Refuse(submission Submission, reason string, retryAfter time.Duration, now time.Time) {
	j := newJob(submission, now)
	s.addJob(j)
	j.updateReady(s.mayStart)
	s.endJob(j, Refused, reason, retryAfter, now)
}

// Cancel ends a job for which no caller waits any more, and reports whether it
// was known. Runs of an unknown job that an earlier home started are stopped.
func (s *Scheduler) Cancel(jobID string, now time.Time) bool {
	j, ok := s.jobs[jobID]
	if !ok {
		s.cancelOrphans(jobID, now)
		return false
	}
	s.endJob(j, Cancelled, "cancelled", 0, now)
	return true
}

// Tick makes the decisions that depend only on time, and starts waiting tasks.
func (s *Scheduler) Tick(now time.Time) {
	s.crashes.SettleOpen(now)
	s.reviewLosses(now)
	s.stopOrphans(now)
	s.retryStops(now)
	s.removeVanished(now)
	s.expireOutstanding(now)
	s.refreshEstimates(now)
	s.refuseUnhosted(now)
	s.endExpired(now)
	s.endEvacuated(now)
	s.schedule(now)
	s.redirect(now)
	s.refuseOverloaded(now)
	removeExpired(s.doneTasks, now)
	removeExpired(s.begunJobs, now)
	removeExpired(s.returningJobs, now)
	removeExpired(s.unansweredJobs, now)
	s.removeRedirections(now)
}

// removeExpired removes the entries whose time has passed.
func removeExpired(entries map[string]time.Time, now time.Time) {
	maps.DeleteFunc(entries, func(_ string, expiry time.Time) bool { return now.After(expiry) })
}

// noTargetRetryAfter is the suggested retry delay if there is no suitable
// target: targets register within one to two seconds of their start.
const noTargetRetryAfter = 2 * time.Second

// refuseUnhostable refuses a job that has certainly not started and that no target
// could ever run, and reports whether it has.
func (s *Scheduler) refuseUnhostable(j *job, now time.Time) bool {
	j.unhosted = false
	if j.mayHaveStarted() || !s.targetsKnown || s.canEverRun(j) {
		return false
	}
	j.unhosted = s.awaitsReconciliation(j, now)
	if j.unhosted {
		s.unhosted = append(s.unhosted, j)
		return false
	}
	s.endJob(j, Refused, "no target for it", noTargetRetryAfter, now)
	return true
}

// refuseUnhosted refuses the jobs that no target could ever run, once an earlier
// home certainly has not started them.
func (s *Scheduler) refuseUnhosted(now time.Time) {
	jobs := s.unhosted
	s.unhosted = nil
	for _, j := range jobs {
		if j.outcome == Open {
			s.refuseUnhostable(j, now)
		}
	}
}

// canEverRun reports whether the known targets, if idle, could run each step of
// the job.
func (s *Scheduler) canEverRun(j *job) bool {
	for i := range j.submission.Job.Steps {
		step := &j.submission.Job.Steps[i]
		concurrent := 1
		if step.Gang {
			concurrent = step.Count
		}
		if !s.canHostTasks(j, step, concurrent) {
			return false
		}
	}
	return true
}

// canHostTasks reports whether the known targets, if idle, could run that many
// tasks of the step at the same time.
func (s *Scheduler) canHostTasks(j *job, step *rattanwork.Step, count int) bool {
	for _, t := range s.targets {
		if count <= 0 {
			break
		}
		if t.canHost(j, step) {
			count -= t.info.Capacity.FitCount(step.Resources, count)
		}
	}
	return count <= 0
}

// mayStart reports whether a waiting task may start. It must wait while a run
// from an earlier submission of the job may still be active.
func (s *Scheduler) mayStart(t *task) bool {
	return s.activeRuns[t.name] == 0 && !s.awaitsProof(t)
}

// advanceJob recomputes which tasks of a job may start, and ends the job when
// all are done.
func (s *Scheduler) advanceJob(j *job, now time.Time) {
	if j.outcome != Open {
		return
	}
	if s.crashesTargets(j) {
		s.endJob(j, Failed, "targets crashed under a task", 0, now)
		return
	}
	j.updateReady(s.mayStart)
	if j.complete() {
		s.endJob(j, Succeeded, "complete", 0, now)
		return
	}
	s.reposition(j)
	s.endIfEvacuated(j, now)
}

// ending is how a job ends.
type ending struct {
	outcome Outcome
	reason  string
	// retryAfter is set if the job is refused, zone if it is redirected, and
	// mayHaveStarted if it may have started, here or in that zone. moved is set if
	// it has started here.
	retryAfter     time.Duration
	zone           string
	mayHaveStarted bool
	moved          bool
}

// endJob ends a job. Instead of being refused, a job is redirected if that is allowed
// and another zone has room for it.
func (s *Scheduler) endJob(j *job, outcome Outcome, reason string, retryAfter time.Duration, now time.Time) {
	if j.outcome != Open {
		return
	}
	end := ending{outcome: outcome, reason: reason, retryAfter: retryAfter}
	if outcome == Refused {
		end.zone = s.reserveRemoteZone(j, now)
	}
	if end.zone != "" {
		end.outcome = Redirected
	}
	s.finishJob(j, end, now)
}

// finishJob stops the runs of a job and reports the result.
func (s *Scheduler) finishJob(j *job, end ending, now time.Time) {
	var room *Room
	if end.outcome == Refused || end.outcome == Redirected || end.outcome == Expired {
		room = s.describeRoom(j, now)
	}
	id := j.submission.Job.ID
	j.outcome = end.outcome
	delete(s.jobs, id)
	s.tasks -= len(j.tasks)
	if end.outcome == Redirected {
		s.redirectedJobs[id] = redirection{zone: end.zone, until: j.submission.Deadline.Add(s.longestLease()), moved: end.moved, followed: j.joined}
	}
	if (end.outcome == Cancelled || end.outcome == Expired) && j.mayHaveStarted() {
		s.recordBegun(id, now)
		if now.Before(j.unansweredUntil) {
			s.unansweredJobs[id] = j.unansweredUntil
		}
	}
	s.service(j.submission.Service).observeWait(j, now)
	s.dequeue(j)
	j.ready = nil
	for _, t := range j.tasks {
		s.stopRuns(t, now)
	}
	s.output.Results = append(s.output.Results, JobResult{
		JobID:          id,
		Outcome:        end.outcome,
		Zone:           end.zone,
		MayHaveStarted: end.mayHaveStarted,
		RetryAfter:     end.retryAfter,
		Reason:         end.reason,
		Tasks:          len(j.tasks),
		Estimate:       j.criticalPath,
		Runs:           j.runCount,
		Failures:       j.failureCount,
		FirstStart:     j.firstStart,
		Elapsed:        now.Sub(j.submittedAt),
		Room:           room,
		History:        j.historyFor(end.outcome),
	})
}
