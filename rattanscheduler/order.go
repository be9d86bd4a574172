package rattanscheduler

import (
	"cmp"
	"slices"
	"time"
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
	job   *job
	band  band
	slack time.Duration
}

// expectedRest returns the expected run time of the longest waiting task.
func (s *Scheduler) expectedRest(j *job) time.Duration {
	rest := time.Duration(0)
	for _, t := range j.ready {
		rest = max(rest, s.rates.expected(j, t.step))
	}
	return rest
}

func (s *Scheduler) classify(j *job, now time.Time) candidate {
	rest := s.expectedRest(j)
	submission := &j.submission
	finish := now.Add(rest)
	c := candidate{job: j, slack: submission.Objective.Sub(finish)}
	switch {
	case c.slack >= 0:
		c.band = bandOnTime
	case finish.Before(submission.LateUntil) && now.Before(submission.Deadline):
		c.band = bandLate
	default:
		c.band = bandHopeless
	}
	return c
}

// candidates returns the waiting jobs in the order in which they may start:
// on time before late, and the one with the least time to spare first.
func (s *Scheduler) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(s.waiting))
	for _, j := range s.waiting {
		if s.held(j, now) {
			continue
		}
		list = append(list, s.classify(j, now))
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.slack, b.slack))
	})
	return list
}

// held reports whether a job must wait until it is known what an earlier home
// started of it.
func (s *Scheduler) held(j *job, now time.Time) bool {
	if !j.submission.Resumed || now.Sub(s.config.TakenOver) > s.config.MaxLease*leaseMarginPercent/100 {
		return false
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
		for _, t := range j.ready {
			work += float64(s.rates.expected(j, t.step)) * float64(t.need().MilliCPU)
		}
	}
	room := 0
	for _, t := range s.targets {
		if t.usable(now) {
			room += t.info.Room.MilliCPU
		}
	}
	if room == 0 {
		return noTargetRetry
	}
	return max(time.Second, time.Duration(work/float64(room)))
}
