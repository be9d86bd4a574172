package rattanwork

//go:generate go tool stringer -linecomment -type=EndKind,StartResult -output=run_string.go

// EndKind is the way in which a run ended.
type EndKind int

// Ways in which a run can end.
const (
	// EndUnknown is a kind that this version does not know.
	EndUnknown EndKind = iota
	EndDone
	// EndFailed is a failure caused by the task itself or by the target.
	EndFailed
	EndStopped
	// EndLeaseExpired means that the run's lease expired.
	EndLeaseExpired // EndLapsed
	// EndGangEnded means that another task of the gang ended.
	EndGangEnded // EndBroken
	// EndGangIncomplete means that the other tasks of the gang did not start.
	EndGangIncomplete // EndAlone
)

// StartResult is a target's answer to a start request.
type StartResult int

// Results of a start request.
const (
	// StartUnknown means that no answer arrived: the run may start at any time
	// until it is stopped or its lease expires.
	StartUnknown StartResult = iota
	StartAccepted
	// StartFenced means that the target has accepted a higher fencing token,
	// usually from a newer home.
	StartFenced
	// StartStaleAttempt means that the target has already seen this attempt or
	// a higher one.
	StartStaleAttempt // StartOld
	// StartLeaseExpired means that the lease in the request had already
	// expired.
	StartLeaseExpired // StartLate
	// StartNoResources means that the target has too few free resources.
	StartNoResources // StartNoRoom
	// StartUnhealthy means that the target is overloaded or failing and did not
	// start the run.
	StartUnhealthy
	// StartInvalid means that the target could not parse the request.
	StartInvalid
	// StartWrongIncarnation means that the request was meant for another
	// incarnation of the target.
	StartWrongIncarnation // StartWrongLife
)

// StartAnswer is the answer to a start request.
type StartAnswer struct {
	Result StartResult
	// ClockMillis is the time by the target's clock, 0 if unknown.
	ClockMillis int64
}

// NotStarted reports whether the result proves that the request has not started
// a run and will not start one later.
func (r StartResult) NotStarted() bool {
	return r != StartUnknown && r != StartAccepted
}

// Run is a run of a task that a target lists as running.
type Run struct {
	// Task is the text form of the task's TaskName.
	Task    string
	Attempt int
	// Checkpoint is the last saved checkpoint, empty if there is none.
	Checkpoint string
	// Percent is the progress from 0 to 100.
	Percent int
}

// End is a run that a target lists as ended.
type End struct {
	// Sequence numbers the ended runs of one incarnation of the target,
	// starting at 1.
	Sequence   int64
	Task       string
	Attempt    int
	Kind       EndKind
	Checkpoint string
}

// Listing is a target's report of its running and ended runs.
type Listing struct {
	Running []Run
	Ended   []End
	// Incarnation identifies the target's incarnation by its start time in Unix
	// milliseconds, 0 if unknown.
	Incarnation int64
	// ClockMillis is the time by the target's clock.
	ClockMillis int64
	// Prompt is set if the target sent the listing as soon as a run had ended.
	// Otherwise the listed runs may have ended any time since the last listing.
	Prompt bool
}
