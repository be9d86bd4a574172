package rattanledger

//go:generate go tool stringer -type=Verdict -trimprefix=Verdict

// Verdict is the decision on a submission or a lookup.
type Verdict int

// The verdicts of Begin and Lookup.
const (
	// VerdictStart means that the submission is new; the state of its record is
	// Running.
	VerdictStart Verdict = iota
	// VerdictJoin means that the job is running already.
	VerdictJoin
	// VerdictFinal means that the recorded answer is final.
	VerdictFinal
	// VerdictConflict means that the key was used with another body.
	VerdictConflict
	// VerdictExpired means that the key has no record, and that it is too old
	// for a first submission or its issue time is too far ahead. The answer
	// states whether it may have run.
	VerdictExpired
	// VerdictUnknown means that the key has no record (Lookup only).
	VerdictUnknown
	// VerdictFenced means that the key's epoch has ended here.
	VerdictFenced
	// VerdictForeign means that the key was issued by another home or to
	// another caller.
	VerdictForeign
	// VerdictFull means that no further record can be kept; nothing was
	// started.
	VerdictFull
)
