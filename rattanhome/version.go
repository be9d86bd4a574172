package rattanhome

// DesiredState holds the newest desired state that this instance has received.
// Its version never decreases.
type DesiredState interface {
	// Version returns the version in force, 0 if none is known yet.
	Version() int64
	// Document returns the encoded state in force.
	Document() []byte
	// Accept puts a newer document into force and records an invalid one.
	Accept(document []byte, source string) error
}

// VersionConflict is the reply to a submission by another version of the desired
// state than the one in force on the home's instance. The job was not accepted.
type VersionConflict struct {
	// Version is that of the home's instance.
	Version int64
	// Document is the encoded desired state of the home's instance if it is the
	// newer one. Otherwise the submitter encloses its own in the next submission.
	Document []byte `json:",omitempty"`
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
	// Submitted is the version of the submitter, Own that of the home's instance.
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
// force here. A job that the home has accepted goes on by the version of its
// first submission, and one that is redirected does not depend on the version here.
func (s *Service) resolveVersion(home *Home, request *Request) *VersionConflict {
	if len(request.Document) > 0 {
		// After an error, the versions still differ.
		_ = s.config.DesiredState.Accept(request.Document, request.Submitter)
	}
	own := s.config.DesiredState.Version()
	if request.Version == 0 || request.Version == own {
		return nil
	}
	accepted, mayHaveStarted := home.jobStatus(request)
	neverAccepted := !accepted && s.rejectUnaccepted(home, request)
	if request.Resumed && request.HomeToken == 0 {
		// An instance of the former version takes false for a proof.
		mayHaveStarted = true
	}
	s.config.Journal.VersionsDiffer(VersionDifference{
		JobID:          request.Job.ID,
		Submitter:      request.Submitter,
		Submitted:      request.Version,
		Own:            own,
		Accepted:       accepted,
		MayHaveStarted: mayHaveStarted,
		NeverAccepted:  neverAccepted,
		Resumed:        request.Resumed,
		HomeToken:      home.FencingToken(),
	})
	if accepted {
		return nil
	}
	conflict := &VersionConflict{Version: own, MayHaveStarted: mayHaveStarted, NeverAccepted: neverAccepted}
	if own > request.Version {
		conflict.Document = s.config.DesiredState.Document()
	}
	return conflict
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
