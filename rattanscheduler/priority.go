package rattanscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// timeliness orders jobs by what an answer is still worth.
type timeliness int

const (
	// timelinessOnTime holds jobs that can meet their objective if they start now.
	timelinessOnTime timeliness = iota
	// timelinessLate holds jobs whose answer is still worth something.
	timelinessLate
	timelinessExpired
)

// candidate is a waiting job with the values that order it.
type candidate struct {
	job        *job
	timeliness timeliness
	// started says that a run of the job was ordered.
	started bool
	slack   time.Duration
}

// compare orders candidates: on time before late, begun before others,
// because a job that stays incomplete wastes what was done of it, then by
// priority, and the one with the least time to spare first.
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

// longestReadyTask returns the expected run time of the longest waiting task.
func (s *Scheduler) longestReadyTask(j *job) time.Duration {
	longest := time.Duration(0)
	for _, t := range j.ready {
		longest = max(longest, s.estimator.expectedRunTime(j, t.stepIndex))
	}
	return longest
}

// adjustedDeadlines returns until when an answer has its whole worth and until when the
// rest. Both grow with the run time of the longest chain, which is declared with
// errors: what was learned of them applies to both alike, so that a longer run
// time does not count against the job.
func (s *Scheduler) adjustedDeadlines(j *job) (objective, lateUntil time.Time) {
	submission := &j.submission
	extra := time.Duration(submission.SlackFactor * (s.estimator.ratio(j) - 1) * float64(j.criticalPath))
	return submission.Objective.Add(extra), submission.LateUntil.Add(rattanwork.LateFactor * extra)
}

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

// awaitsReconciliation reports whether a job must wait until it is known what an earlier home
// started of it.
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

// leaseMarginPercent covers targets whose clock runs 2% slow and the time that
// the last renewal was under way.
const leaseMarginPercent = 115

// refuseOverloaded refuses jobs that have not begun and cannot begin in time
// behind the work that goes before them.
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

// overloadTolerance is how much later than its objective a job may be expected to
// end before it is refused: the estimate of the wait is rough.
const overloadTolerance = 20 * time.Millisecond

// capacity returns the processor room of all usable targets.
func (s *Scheduler) capacity(now time.Time) float64 {
	total := 0
	for _, t := range s.targets {
		if t.usable(now) {
			total += t.info.Room.MilliCPU
		}
	}
	return float64(total)
}

// queuedWork returns the expected run time of a job's waiting tasks times
// their processor need.
func (s *Scheduler) queuedWork(j *job) float64 {
	work := 0.0
	for _, t := range j.ready {
		work += float64(s.estimator.expectedRunTime(j, t.stepIndex)) * float64(t.resources().MilliCPU)
	}
	return work
}

// endExpired ends the jobs whose answer would be worth nothing.
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

// pastDeadline returns the jobs whose caller has left.
func (s *Scheduler) pastDeadline(now time.Time) []*job {
	var list []*job
	for _, j := range s.jobs {
		if now.After(j.submission.Deadline) {
			list = append(list, j)
		}
	}
	return list
}

func (s *Scheduler) expireJob(j *job, now time.Time) {
	if j.mayHaveStarted() {
		s.endJob(j, Expired, "cannot end in time", 0, now)
		return
	}
	s.endJob(j, Refused, "cannot start in time", s.backlog(now), now)
}

// backlog returns how long the waiting work keeps the targets busy.
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
