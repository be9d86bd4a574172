package rattanlimit

// Jobs counts the bytes that the home holds for jobs of other instances.
type Jobs struct {
	budget  *Budget
	journal Journal
}

// NewJobs returns a count within the budget. The journal may be nil.
func NewJobs(budget *Budget, journal Journal) *Jobs {
	if journal == nil {
		journal = noJournal{}
	}
	return &Jobs{budget: budget, journal: journal}
}

// Admit counts the bytes of a job until release is called, and reports whether there
// is room for them. Without room it counts them beyond the bound: whether a job may be
// refused is up to the home.
func (j *Jobs) Admit(bytes int64) (release func(), hasRoom bool) {
	share := j.budget.NewShare()
	hasRoom = share.Resize(bytes, bytes > smallBytes)
	if !hasRoom {
		j.journal.CallerLimited(PeerJobWithoutRoom)
		share.force(bytes)
	}
	return share.Release, hasRoom
}
