package rattanscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// band orders jobs by what an answer is still worth.
type band int

const (
	// bandOnTime holds jobs that can meet their objective if they start now.
	bandOnTime band = iota
	// bandLate holds jobs whose answer is still worth something.
	bandLate
	bandHopeless
)

// candidate is a waiting job with the values that order it.
type candidate struct {
	job  *job
	band band
	// begun says that a run of the job was ordered.
	begun bool
	slack time.Duration
}

// compare orders candidates: on time before late, begun before others,
// because a job that stays incomplete wastes what was done of it, then by
// priority, and the one with the least time to spare first.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.band, other.band),
		compareTrueFirst(c.begun, other.begun),
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

// expectedRest returns the expected run time of the longest waiting task.
func (s *Scheduler) expectedRest(j *job) time.Duration {
	rest := time.Duration(0)
	for _, t := range j.ready {
		rest = max(rest, s.rates.expected(j, t.step))
	}
	return rest
}

// times returns until when an answer has its whole worth and until when the
// rest. Both grow with the run time of the longest chain, which is declared with
// errors: what was learned of them applies to both alike, so that a longer run
// time does not count against the job.
func (s *Scheduler) times(j *job) (objective, lateUntil time.Time) {
	submission := &j.submission
	extra := time.Duration(submission.Slack * (s.rates.ratio(j) - 1) * float64(j.chain))
	return submission.Objective.Add(extra), submission.LateUntil.Add(rattanwork.LateFactor * extra)
}

func (s *Scheduler) classify(j *job, now time.Time) candidate {
	rest := s.expectedRest(j)
	finish := now.Add(rest)
	objective, lateUntil := s.times(j)
	c := candidate{job: j, begun: j.runs > 0, slack: objective.Sub(finish)}
	switch {
	case c.slack >= 0:
		c.band = bandOnTime
	case finish.Before(lateUntil) && now.Before(j.submission.Deadline):
		c.band = bandLate
	default:
		c.band = bandHopeless
	}
	return c
}

// candidates returns the waiting jobs in the order in which they may start.
func (s *Scheduler) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(s.waiting))
	for _, j := range s.waiting {
		if s.held(j, now) {
			continue
		}
		list = append(list, s.classify(j, now))
	}
	slices.SortStableFunc(list, candidate.compare)
	return list
}

// held reports whether a job must wait until it is known what an earlier home
// started of it.
func (s *Scheduler) held(j *job, now time.Time) bool {
	if !j.submission.Resumed || now.Sub(s.config.TakenOver) > s.config.MaxLease*leaseMarginPercent/100 {
		return false
	}
	if !s.current {
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

// refuseCrowded refuses jobs that have not begun and cannot begin in time
// behind the work that goes before them.
func (s *Scheduler) refuseCrowded(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	capacity := s.capacity(now)
	if capacity == 0 {
		return
	}
	ahead := 0.0
	for _, c := range s.candidates(now) {
		wait := time.Duration(ahead / capacity)
		if !c.begun && !c.job.started() && wait > max(c.slack, 0)+crowdTolerance {
			s.end(c.job, Refused, "too much work before it", s.backlog(now), now)
			continue
		}
		ahead += s.waitingWork(c.job)
	}
}

// crowdTolerance is how much later than its objective a job may be expected to
// end before it is refused: the estimate of the wait is rough.
const crowdTolerance = 20 * time.Millisecond

// capacity returns the processor room of all usable targets.
func (s *Scheduler) capacity(now time.Time) float64 {
	room := 0
	for _, t := range s.targets {
		if t.usable(now) {
			room += t.info.Capacity.MilliCPU
		}
	}
	return float64(room)
}

// waitingWork returns the expected run time of a job's waiting tasks times
// their processor need.
func (s *Scheduler) waitingWork(j *job) float64 {
	work := 0.0
	for _, t := range j.ready {
		work += float64(s.rates.expected(j, t.step)) * float64(t.need().MilliCPU)
	}
	return work
}

// dropHopeless ends the jobs whose answer would be worth nothing.
func (s *Scheduler) dropHopeless(now time.Time) {
	for _, j := range append([]*job(nil), s.waiting...) {
		if s.classify(j, now).band == bandHopeless {
			s.giveUp(j, now)
		}
	}
	for _, j := range s.overdue(now) {
		s.giveUp(j, now)
	}
}

// overdue returns the jobs whose caller has left.
func (s *Scheduler) overdue(now time.Time) []*job {
	var list []*job
	for _, j := range s.jobs {
		if now.After(j.submission.Deadline) {
			list = append(list, j)
		}
	}
	return list
}

func (s *Scheduler) giveUp(j *job, now time.Time) {
	if j.started() {
		s.end(j, Expired, "cannot end in time", 0, now)
		return
	}
	s.end(j, Refused, "cannot start in time", s.backlog(now), now)
}

// backlog returns how long the waiting work keeps the targets busy.
func (s *Scheduler) backlog(now time.Time) time.Duration {
	work := 0.0
	for _, j := range s.waiting {
		work += s.waitingWork(j)
	}
	capacity := s.capacity(now)
	if capacity == 0 {
		return noTargetRetry
	}
	return max(time.Second, time.Duration(work/capacity))
}
