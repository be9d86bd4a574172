package rattanscheduler

import (
	"cmp"
	"slices"
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

// candidate is a waiting job with its sort keys.
type candidate struct {
	job        *job
	timeliness timeliness
	// started is set if a run of the job was requested.
	started bool
	slack   time.Duration
}

// compare sorts candidates by timeliness. Among equals, started jobs come
// first, because the work done for a job is wasted if it does not complete;
// then the priority decides, and finally the least slack.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.timeliness, other.timeliness),
		compareTrueFirst(c.started, other.started),
		cmp.Compare(c.job.submission.Priority, other.job.submission.Priority),
		cmp.Compare(c.slack, other.slack),
	)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

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

// classify returns the sort keys of a waiting job.
func (s *Scheduler) classify(j *job, now time.Time) candidate {
	remaining := s.longestReadyTask(j)
	finish := now.Add(remaining)
	objective, lateUntil := s.adjustedDeadlines(j)
	c := candidate{job: j, started: j.runCount > 0, slack: objective.Sub(finish)}
	switch {
	case c.slack >= 0:
		c.timeliness = timelinessOnTime
	case finish.Before(lateUntil) && now.Before(j.submission.Deadline):
		c.timeliness = timelinessLate
	default:
		c.timeliness = timelinessExpired
	}
	return c
}

// candidates returns the waiting jobs in the order in which they may start.
func (s *Scheduler) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(s.waiting))
	for _, j := range s.waiting {
		if s.awaitsReconciliation(j, now) {
			continue
		}
		list = append(list, s.classify(j, now))
	}
	slices.SortStableFunc(list, candidate.compare)
	return list
}

// awaitsReconciliation reports whether a resubmitted job must wait until all
// targets have listed the runs that an earlier home may have started.
func (s *Scheduler) awaitsReconciliation(j *job, now time.Time) bool {
	if !j.submission.Resumed || now.Sub(s.config.TakeoverTime) > s.config.MaxLease*leaseMarginPercent/100 {
		return false
	}
	if !s.targetsCurrent {
		return true
	}
	for _, t := range s.targets {
		if !t.reconciled {
			return true
		}
	}
	return false
}

// leaseMarginPercent is the time, in percent of the maximum lease, after which
// all leases granted by the earlier home have certainly expired. It covers
// targets whose clock runs 2% slow and the transmission time of the last
// renewal.
const leaseMarginPercent = 115

// refuseOverloaded refuses jobs that have not started and cannot meet their
// objective because of the work scheduled before them.
func (s *Scheduler) refuseOverloaded(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	capacity := s.capacity(now)
	if capacity == 0 {
		return
	}
	workAhead := 0.0
	for _, c := range s.candidates(now) {
		wait := time.Duration(workAhead / capacity)
		if !c.started && !c.job.mayHaveStarted() && wait > max(c.slack, 0)+overloadTolerance {
			s.endJob(c.job, Refused, "too much work before it", s.backlog(now), now)
			continue
		}
		workAhead += s.queuedWork(c.job)
	}
}

// overloadTolerance is how far the expected wait may exceed a job's slack
// before the job is refused. It allows for errors of the estimate.
const overloadTolerance = 20 * time.Millisecond

// capacity returns the total processor capacity of all usable targets in
// thousandths of a core.
func (s *Scheduler) capacity(now time.Time) float64 {
	total := 0
	for _, t := range s.targets {
		if t.usable(now) {
			total += t.info.Capacity.MilliCPU
		}
	}
	return float64(total)
}

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
	for _, j := range append([]*job(nil), s.waiting...) {
		if s.classify(j, now).timeliness == timelinessExpired {
			s.expireJob(j, now)
		}
	}
	for _, j := range s.pastDeadline(now) {
		s.expireJob(j, now)
	}
}

// pastDeadline returns the jobs whose caller has already left.
func (s *Scheduler) pastDeadline(now time.Time) []*job {
	var list []*job
	for _, j := range s.jobs {
		if now.After(j.submission.Deadline) {
			list = append(list, j)
		}
	}
	return list
}

// expireJob ends a job whose answer would have no value. The job is refused if
// it has certainly not started.
func (s *Scheduler) expireJob(j *job, now time.Time) {
	if j.mayHaveStarted() {
		s.endJob(j, Expired, "cannot end in time", 0, now)
		return
	}
	s.endJob(j, Refused, "cannot start in time", s.backlog(now), now)
}

// backlog returns how long the waiting work would keep all usable targets busy.
func (s *Scheduler) backlog(now time.Time) time.Duration {
	work := 0.0
	for _, j := range s.waiting {
		work += s.queuedWork(j)
	}
	capacity := s.capacity(now)
	if capacity == 0 {
		return noTargetRetryAfter
	}
	return max(time.Second, time.Duration(work/capacity))
}
