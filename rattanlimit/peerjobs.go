package rattanlimit

// Jobs bounds the bytes that the home holds for jobs of other instances.
type Jobs struct {
	budget  *Budget
	journal Journal
}

// NewJobs returns a bound by the budget. The journal may be nil.
func NewJobs(budget *Budget, journal Journal) *Jobs {
	if journal == nil {
		journal = noJournal{}
	}
	return &Jobs{budget: budget, journal: journal}
}

// Admit counts the bytes of a job until release is called. It reports false if there
// is no room for them. A job that must not be refused, because it may have started,
// is counted beyond the bound.
func (j *Jobs) Admit(bytes int64, mustAccept func() bool) (release func(), ok bool) {
	share := j.budget.NewShare()
	if !share.Resize(bytes, bytes > smallBytes) {
		if !mustAccept() {
			j.journal.CallerLimited(PeerJobRefused)
			return nil, false
		}
		share.force(bytes)
	}
	return share.Release, true
}
