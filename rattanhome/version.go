package rattanhome

// DesiredState holds the newest desired state that this instance has received.
type DesiredState interface {
	// Version returns the version in force, 0 if none is known yet.
	Version() int64
}

// VersionDifference describes a job that was submitted by another version of the
// desired state than the one in force on the home's instance.
type VersionDifference struct {
	JobID     string
	Submitter string
	// Submitted is the version of the submitter, Own that of the home's instance.
	Submitted int64
	Own       int64
}

// compareVersions records a submission by another version than the one in force.
func (s *Service) compareVersions(request *Request) {
	own := s.config.DesiredState.Version()
	if request.Version == 0 || request.Version == own {
		return
	}
	s.config.Journal.VersionsDiffer(VersionDifference{
		JobID:     request.Job.ID,
		Submitter: request.Submitter,
		Submitted: request.Version,
		Own:       own,
	})
}
