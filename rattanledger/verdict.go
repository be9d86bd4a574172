package rattanledger

//go:generate go tool stringer -type=Verdict -trimprefix=Verdict

// Verdict is the decision on a submission or a look-up.
type Verdict int

// The verdicts of Begin and Lookup.
const (
	// VerdictStart says that the submission is new; the record is Running.
	VerdictStart Verdict = iota
	// VerdictJoin says that the job is running already.
	VerdictJoin
	// VerdictFinal says that the entry's answer is final.
	VerdictFinal
	// VerdictConflict says that the key was used with another body.
	VerdictConflict
	// VerdictExpired says that the key is too old for a first submission and
	// has no record. The answer states whether it may have run.
	VerdictExpired
	// VerdictUnknown says that the key has no record (Lookup only).
	VerdictUnknown
	// VerdictFenced says that the key's epoch has ended here.
	VerdictFenced
	// VerdictForeign says that the key names another home or another caller.
	VerdictForeign
	// VerdictFull says that no further record can be kept; nothing was started.
	VerdictFull
)
