package rattanscheduler

import "time"

//go:generate go tool stringer -linecomment -type=Outcome,TargetChange,StartChange,runState -output=enum_string.go

// Outcome is the final state of a job.
type Outcome int

// Outcomes of a job.
const (
	// Open means that the job has not ended.
	Open Outcome = iota
	Succeeded
	// Failed means that a task failed as often as its route allows.
	Failed
	// Refused means that no task of the job has started or will start.
	Refused
	// Expired means that the job can no longer complete in time; some of its
	// tasks may have run.
	Expired
	// Cancelled means that no caller waits for the job any more.
	Cancelled
	// Redirected means that no task of the job has started here and that
	// another availability zone has free capacity for it.
	Redirected
)

// ReasonNoRoomInTime is the reason of a refusal because the runs that have the room are
// expected to end too late.
const ReasonNoRoomInTime = "no room expected in time"

// JobResult is the result of a job.
type JobResult struct {
	JobID   string
	Outcome Outcome
	// Zone is the zone to which a redirected job must be submitted.
	Zone string
	// MayHaveStarted is set if a redirected job was submitted to that zone before, or if
	// a refused job may have run in an earlier submission.
	MayHaveStarted bool
	// RetryAfter is the expected time until a refused job could be accepted.
	RetryAfter time.Duration
	// Reason is a short explanation of the outcome.
	Reason string
	// Tasks is the number of the job's tasks, Estimate the declared run time of
	// its critical path.
	Tasks    int
	Estimate time.Duration
	// Runs is the number of requested runs, Failures the number of failed ones.
	Runs     int
	Failures int
	// FirstStart is the time from submission to the first requested run.
	FirstStart time.Duration
	// Elapsed is the time from submission to the end of the job.
	Elapsed time.Duration
	// Room is set if the job was refused or redirected, or expired.
	Room *Room
	// History lists all runs. It is empty if the job succeeded with one run per
	// task.
	History []RunRecord
}

// Room is what the scheduler knew of free resources when a job ended for lack
// of them.
type Room struct {
	// ExpectedWait is how long the job is expected to wait for the work before it, Slack how
	// long the start of the job could be delayed.
	ExpectedWait time.Duration
	Slack        time.Duration
	// NeedMilliCPU is the demand of the largest ready task. FreeMilliCPU is the
	// free capacity of the service's targets in this zone, LargestMilliCPU that
	// of the target with the most, RemoteMilliCPU that of the best other zone.
	NeedMilliCPU    int
	FreeMilliCPU    int
	LargestMilliCPU int
	RemoteMilliCPU  int
	// WithheldMilliCPU is the free capacity of the service's targets that take no
	// new work although they do not drain: silent, suspended or outdated ones. It is 0
	// while the zone is evacuated, in which each new job may be refused.
	WithheldMilliCPU int
	// WaitingTasks is the number of tasks that wait for room here.
	WaitingTasks int
}

// RunRecord describes one run of a job. Times are relative to the submission of
// the job.
type RunRecord struct {
	Task           string
	Target         string
	Attempt        int
	RequestedAfter time.Duration `json:"Ordered"`
	// Ended is 0 until the run has ended; Result then describes the end in one
	// word.
	Ended  time.Duration
	Result string `json:"How"`
}
