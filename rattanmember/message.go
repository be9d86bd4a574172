package rattanmember

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Proof -trimprefix=Proof
//go:generate go tool stringer -type=EventKind -trimprefix=Event

// Heartbeat is sent to witnesses and to random members.
type Heartbeat struct {
	From Member
	// To is the incarnation that the sender knows; its Number is 0 for a seed.
	To rattanjob.Incarnation
	// Known is the number of members that the sender knows. A receiver that
	// knows many more sends more of them, so that a new member learns fast.
	Known int `json:",omitempty"`
	// Digest is that of the sender's view, in random heartbeats; see viewDigest.
	Digest uint64 `json:",omitempty"`
	// Joining is set while the sender learns who is in its availability zone.
	Joining bool `json:",omitempty"`
	// Tenures are the epochs of the sender that the receiver is a witness of.
	Tenures []Tenure `json:",omitempty"`
	// Changes are members whose state changed recently.
	Changes []Member `json:",omitempty"`
	// Payload belongs to the layers above; it has at most MaxPayload bytes.
	Payload []byte `json:",omitempty"`
}

// Tenure asks a witness to acknowledge an epoch.
type Tenure struct {
	ID  rattanjob.EpochID
	Age time.Duration
}

// Acknowledgement is the reply to a heartbeat.
type Acknowledgement struct {
	From Member
	// To is the incarnation that sent the heartbeat.
	To rattanjob.Incarnation
	// Granted are the epochs that the witness acknowledges.
	Granted []rattanjob.EpochID `json:",omitempty"`
	// Ended are the epochs that the witness will never acknowledge again.
	Ended   []rattanjob.EpochID `json:",omitempty"`
	Changes []Member            `json:",omitempty"`
	Payload []byte              `json:",omitempty"`
}

// Outgoing is a heartbeat and its receiver.
type Outgoing struct {
	To        Member
	Heartbeat Heartbeat
}

// Vote is what a witness says of an epoch. A vote with Ended is a promise never
// to acknowledge the epoch again.
type Vote struct {
	Witness rattanjob.Incarnation
	Epoch   rattanjob.EpochID
	Ended   bool `json:",omitempty"`
	// Proof is set when the voter, a witness or not, has a proof of failure.
	Proof Proof `json:",omitempty"`
	// RetryAfter is the time after which the witness may vote.
	RetryAfter time.Duration `json:",omitempty"`
}

// Proof is a proof that an incarnation does not run any more. It needs no vote.
type Proof int

// The proofs of failure.
const (
	ProofNone Proof = iota
	// ProofRefused says that the instance's peer address refuses connections.
	ProofRefused
	// ProofLaterIncarnation says that a later incarnation runs.
	ProofLaterIncarnation
	// ProofInstanceList says that the instance list has dropped the instance.
	ProofInstanceList
	// ProofReported says that another member has a proof.
	ProofReported
)

// InstanceList is the platform's list of instances.
type InstanceList struct {
	// Revision rises with each change; earlier lists are ignored.
	Revision uint64
	// Instances are all live and leaving entry instances. Only the instance
	// name, the availability zone and the peer address are read.
	Instances []Member
}

// EventKind says what an Event is about.
type EventKind int

// The events.
const (
	// EventEpochOpened says that keys are to be issued for the epoch.
	EventEpochOpened EventKind = iota
	// EventEpochDraining says that no further keys are to be issued for the
	// epoch; its jobs run on.
	EventEpochDraining
	// EventEpochFenced says that nothing may be started or answered under the
	// epoch any more.
	EventEpochFenced
	// EventEpochClosed says that a draining epoch was closed after its drain
	// time; it is fenced as well.
	EventEpochClosed
	// EventSuperseded says that the others take this incarnation for dead. The
	// process must start again with a higher incarnation number.
	EventSuperseded
)

// Event is a change that the caller of Roll must act on, in order.
type Event struct {
	Kind  EventKind
	Epoch Epoch
	// Start is the zero of the epoch's clock.
	Start time.Time
}
