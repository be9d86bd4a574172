package rattanhome

import "time"

// acceptanceRetention is how long the submissions of a job are remembered one by one.
// Nothing unsound follows from a shorter time, but less can be proved.
const acceptanceRetention = 5 * time.Second

// acceptanceRecord contains which submissions this instance has accepted, and which
// it has promised not to accept. It forgets single jobs but knows, for each
// submitter, up to which submission it has forgotten any: nothing is concluded about
// those. The numbers of a submitter's submissions only increase, also over restarts.
type acceptanceRecord struct {
	submitters map[string]*submitterAcceptances
}

// submitterAcceptances contains the submissions of one instance.
type submitterAcceptances struct {
	jobs map[string]acceptance
	// order contains the changes of jobs by time.
	order []acceptanceChange
	// forgotten is the highest number of a submission that was forgotten.
	forgotten int64
}

// acceptance contains what is known of the submissions of one job.
type acceptance struct {
	// accepted is the number of the last submission that was accepted.
	accepted int64
	// rejected is the number up to which no submission will be accepted.
	rejected  int64
	changedAt time.Time
}

type acceptanceChange struct {
	jobID string
	at    time.Time
}

func newAcceptanceRecord() acceptanceRecord {
	return acceptanceRecord{submitters: map[string]*submitterAcceptances{}}
}

// accept records that a submission is accepted. It reports false if that submission
// must not be: it was rejected before, or that may have been forgotten. A sequence of
// 0 stands for a submitter that does not number its submissions.
func (r *acceptanceRecord) accept(submitter, jobID string, sequence int64, now time.Time) bool {
	if sequence == 0 {
		return true
	}
	s := r.of(submitter)
	entry := s.jobs[jobID]
	if sequence <= s.forgotten || sequence <= entry.rejected {
		return false
	}
	entry.accepted = max(entry.accepted, sequence)
	s.set(jobID, entry, now)
	return true
}

// reject records that no submission of the job up to the last one will be accepted.
func (r *acceptanceRecord) reject(submitter, jobID string, last int64, now time.Time) {
	if last == 0 {
		return
	}
	s := r.of(submitter)
	entry := s.jobs[jobID]
	entry.rejected = max(entry.rejected, last)
	s.set(jobID, entry, now)
}

// rejectUnaccepted rejects the submissions of the job from the first to the last one
// and reports true, if certainly none of them was accepted.
func (r *acceptanceRecord) rejectUnaccepted(submitter, jobID string, first, last int64, now time.Time) bool {
	if first == 0 || last == 0 {
		return false
	}
	s := r.of(submitter)
	if first <= s.forgotten || s.jobs[jobID].accepted >= first {
		return false
	}
	r.reject(submitter, jobID, last, now)
	return true
}

func (r *acceptanceRecord) of(submitter string) *submitterAcceptances {
	s, ok := r.submitters[submitter]
	if !ok {
		s = &submitterAcceptances{jobs: map[string]acceptance{}}
		r.submitters[submitter] = s
	}
	return s
}

func (s *submitterAcceptances) set(jobID string, entry acceptance, now time.Time) {
	entry.changedAt = now
	s.jobs[jobID] = entry
	s.order = append(s.order, acceptanceChange{jobID: jobID, at: now})
}

// forget removes the jobs of which nothing was submitted for acceptanceRetention.
func (r *acceptanceRecord) forget(now time.Time) {
	for _, s := range r.submitters {
		expired := 0
		for expired < len(s.order) && now.Sub(s.order[expired].at) > acceptanceRetention {
			s.forgetJob(s.order[expired])
			expired++
		}
		s.order = s.order[expired:]
	}
}

// forgetJob removes a job unless it has changed since.
func (s *submitterAcceptances) forgetJob(change acceptanceChange) {
	entry, ok := s.jobs[change.jobID]
	if !ok || entry.changedAt.After(change.at) {
		return
	}
	s.forgotten = max(s.forgotten, entry.accepted, entry.rejected)
	delete(s.jobs, change.jobID)
}
