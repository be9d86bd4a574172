package rattanwork

//go:generate go tool stringer -type=EndKind,StartResult -output=run_string.go

// EndKind tells how a run ended.
type EndKind int

// Kinds of ends.
const (
	// EndUnknown is an end of a kind that this version does not know.
	EndUnknown EndKind = iota
	EndDone
	// EndFailed is a failure of the task's or the target's own.
	EndFailed
	EndStopped
	// EndLapsed says that the run's lease expired.
	EndLapsed
	// EndBroken says that another member of the gang ended.
	EndBroken
	// EndAlone says that the other members of the gang did not come.
	EndAlone
)

// StartResult is a target's answer to the order to start a run.
type StartResult int

// Results of a start.
const (
	// StartUnknown says that no answer came: the run may start at any time
	// until it is stopped or its lease has expired.
	StartUnknown StartResult = iota
	StartAccepted
	// StartFenced says that another home has authority over the target.
	StartFenced
	// StartOld says that the target has seen this or a higher attempt.
	StartOld
	// StartLate says that the lease of the order had expired.
	StartLate
	// StartNoRoom says that the target has no room for the run.
	StartNoRoom
	// StartUnhealthy says that the target is overloaded or failing and has
	// done nothing.
	StartUnhealthy
	// StartInvalid says that the target cannot read the order.
	StartInvalid
	// StartWrongLife says that another life of the target was meant.
	StartWrongLife
)

// NotStarted reports whether the result proves that the order started nothing
// and never will.
func (r StartResult) NotStarted() bool {
	return r != StartUnknown && r != StartAccepted
}

// Run is one run of a task that a target lists as running.
type Run struct {
	// Task is the name of the task as text.
	Task    string
	Attempt int
	// Checkpoint is empty if the run has saved nothing.
	Checkpoint string
	// Percent is the progress, 0 to 100.
	Percent int
}

// End is one run that a target lists as ended.
type End struct {
	// Sequence numbers the ends of one life of the target, from 1.
	Sequence   int64
	Task       string
	Attempt    int
	Kind       EndKind
	Checkpoint string
}

// Listing is a target's report of its runs.
type Listing struct {
	Running []Run
	Ended   []End
	// Incarnation is the start of the target's life, 0 if it does not tell.
	Incarnation int64
	// ClockMillis is the time on the target's clock.
	ClockMillis int64
}
