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

// Admission states whether there is room for a job of another instance.
type Admission int

// Admissions of a job.
const (
	// Admitted means that there is room.
	Admitted Admission = iota
	// AdmittedWithoutRoom means that the job is counted beyond the bound: whether it may
	// be refused is up to the home.
	AdmittedWithoutRoom
	// NotAdmitted means that the job is not counted, because too many are beyond the
	// bound. It must not be decoded.
	NotAdmitted
)

// maxOverdraft is how much jobs without room may take, in multiples of the bound.
const maxOverdraft = 1

// Admit counts the bytes of a job until release is called, unless it is not admitted.
func (j *Jobs) Admit(bytes int64) (release func(), admission Admission) {
	share := j.budget.NewShare()
	if share.Resize(bytes, bytes > smallBytes) {
		return share.Release, Admitted
	}
	j.journal.CallerLimited(PeerJobWithoutRoom)
	if !share.overdraw(bytes, maxOverdraft) {
		return share.Release, NotAdmitted
	}
	return share.Release, AdmittedWithoutRoom
}
