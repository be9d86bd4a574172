package rattanhome

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// VersionWait is how long a submission waits for the newer one of two versions of the
// desired state before it is submitted again.
const VersionWait = 200 * time.Millisecond

// DesiredState holds the newest desired state that this instance has received.
// Its version never decreases.
type DesiredState interface {
	// Version returns the version in force, 0 if none is known yet.
	Version() int64
	// Announce records that another instance has a version, which is fetched if it
	// is newer than the one in force.
	Announce(member rattanwork.Member, version int64, now time.Time)
	// Await returns once the version or a newer one is in force, or when ctx ends.
	Await(ctx context.Context, version int64)
}

// VersionConflict is the reply to a submission by another version of the desired
// state than the one in force on the home's instance. The job was not accepted. The
// instance that has the older version fetches the newer one.
type VersionConflict struct {
	// Version is that of the home's instance.
	Version int64
	// MayHaveStarted is set if a task of the job may have started under this home, as
	// far as it remembers.
	MayHaveStarted bool `json:",omitempty"`
	// NeverAccepted is set if no submission of the job from Request.FirstUnsettled on
	// was accepted, and none up to this one will be.
	NeverAccepted bool `json:",omitempty"`
}

// VersionDifference describes a job that was submitted by another version of the
// desired state than the one in force on the home's instance.
type VersionDifference struct {
	JobID     string
	Submitter string
	// Submitted is the version of the submitter, Own that of the home's instance
	// before it waits for that of the submitter.
	Submitted int64
	Own       int64
	// Accepted is set if the home had accepted the job before, MayHaveStarted if a
	// task of the job may have started under this home, as far as it remembers.
	Accepted       bool
	MayHaveStarted bool
	// NeverAccepted is set if that holds for all its unsettled submissions.
	NeverAccepted bool
	// Resumed is set if the submitter says that the job was submitted before.
	Resumed bool
	// HomeToken is the fencing token of the home.
	HomeToken int64
}

// resolveVersion returns a conflict unless the submission is by the version in
// force here, if need be after a wait for that version. A job that the home has
// accepted goes on by the version of its first submission, and one that is redirected
// does not depend on the version here.
func (s *Service) resolveVersion(ctx context.Context, home *Home, request *Request, now time.Time) *VersionConflict {
	own := s.config.DesiredState.Version()
	if request.Version == 0 || request.Version == own {
		return nil
	}
	difference := VersionDifference{
		JobID:     request.Job.ID,
		Submitter: request.Submitter,
		Submitted: request.Version,
		Own:       own,
		Resumed:   request.Resumed,
		HomeToken: home.FencingToken(),
	}
	difference.Accepted, difference.MayHaveStarted = home.jobStatus(request)
	if !difference.Accepted && request.Version > own {
		s.awaitVersion(ctx, request, now)
		own = s.config.DesiredState.Version()
		difference.Accepted, difference.MayHaveStarted = home.jobStatus(request)
	}
	goesOn := difference.Accepted || request.Version == own
	difference.NeverAccepted = !goesOn && s.rejectUnaccepted(home, request)
	if request.Resumed && request.HomeToken == 0 {
		// An instance of the former version takes false for a proof.
		difference.MayHaveStarted = true
	}
	s.config.Journal.VersionsDiffer(difference)
	if goesOn {
		return nil
	}
	return &VersionConflict{Version: own, MayHaveStarted: difference.MayHaveStarted, NeverAccepted: difference.NeverAccepted}
}

// awaitVersion waits until the version of a submission is in force here.
func (s *Service) awaitVersion(ctx context.Context, request *Request, now time.Time) {
	submitter := rattanwork.Member{Name: request.Submitter, Address: s.config.Membership.Address(request.Submitter)}
	if submitter.Address != "" {
		s.config.DesiredState.Announce(submitter, request.Version, now)
	}
	ctx, cancel := context.WithTimeout(ctx, VersionWait)
	defer cancel()
	s.config.DesiredState.Await(ctx, request.Version)
}

// rejectUnaccepted rejects all unsettled submissions of a request's job and reports
// true, if all were addressed to this home and none was accepted.
func (s *Service) rejectUnaccepted(home *Home, request *Request) bool {
	if request.HomeToken != home.FencingToken() {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.acceptances.rejectUnaccepted(request.Submitter, request.Job.ID, request.FirstUnsettled, request.Sequence, s.config.Clock())
}

// jobStatus reports whether the home has accepted or redirected a job and not
// forgotten it, and whether a task of the job may have started under this home. A
// home that is closed refuses the job itself.
func (h *Home) jobStatus(request *Request) (accepted, mayHaveStarted bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	id := request.Job.ID
	cached, ok := h.results[id]
	submission := request.submission(now)
	accepted = h.closed || h.scheduler.HasJob(id) || h.scheduler.Redirects(submission, now) || ok && now.Before(cached.expiresAt)
	return accepted, h.scheduler.MayHaveStarted(submission, now)
}
