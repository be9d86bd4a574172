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
	// To is the receiver's incarnation as the sender knows it; its Number is 0
	// for a seed.
	To rattanjob.Incarnation
	// Known is the number of members that the sender knows. A receiver that
	// knows many more replies with more of them, so that a new member learns
	// quickly.
	Known int `json:",omitempty"`
	// Digest is the digest of the sender's view, in random heartbeats only; see
	// viewDigest.
	Digest uint64 `json:",omitempty"`
	// Joining is set while the sender is discovering the members of its
	// availability zone.
	Joining bool `json:",omitempty"`
	// Renewals are the epochs of the sender that the receiver is a witness of.
	Renewals []EpochRenewal `json:"Tenures,omitempty"`
	// Changes are members whose state changed recently.
	Changes []Member `json:",omitempty"`
	// Payload is opaque to this package; it has at most MaxPayload bytes.
	Payload []byte `json:",omitempty"`
}

// EpochRenewal asks a witness to acknowledge an epoch for a further
// TenureDuration.
type EpochRenewal struct {
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

// Vote is a member's answer to whether an epoch has ended. A vote with Ended is
// a promise never to acknowledge the epoch again.
type Vote struct {
	Witness rattanjob.Incarnation
	Epoch   rattanjob.EpochID
	Ended   bool `json:",omitempty"`
	// Proof is set when the voter, which need not be a witness, has a proof
	// that the incarnation of the home has ended.
	Proof Proof `json:",omitempty"`
	// RetryAfter is the time after which the witness may vote that the epoch
	// has ended.
	RetryAfter time.Duration `json:",omitempty"`
}

// Proof is the kind of proof that an incarnation has ended. It makes votes
// unnecessary.
type Proof int

// The proofs of failure.
const (
	ProofNone Proof = iota
	// ProofRefused means that the instance's peer address refuses connections.
	ProofRefused
	// ProofLaterIncarnation means that a later incarnation runs.
	ProofLaterIncarnation
	// ProofInstanceList means that the instance list no longer contains the
	// instance.
	ProofInstanceList
	// ProofReported means that another member has a proof.
	ProofReported
)

// InstanceList is the platform's list of instances.
type InstanceList struct {
	// Revision increases with each change; lists with a lower revision are
	// ignored.
	Revision uint64
	// Instances are all live and leaving entry instances. Only the instance
	// name, the availability zone and the peer address are used.
	Instances []Member
}

// EventKind is the kind of an Event.
type EventKind int

// The events.
const (
	// EventEpochOpened means that keys are to be issued for the epoch.
	EventEpochOpened EventKind = iota
	// EventEpochDraining means that no further keys are to be issued for the
	// epoch; its jobs continue.
	EventEpochDraining
	// EventEpochFenced means that nothing may be started or answered under the
	// epoch from now on.
	EventEpochFenced
	// EventEpochClosed means that a draining epoch was closed after
	// DrainDuration; it is fenced as well.
	EventEpochClosed
	// EventSuperseded means that the other members consider this incarnation
	// dead. The process must restart with a higher incarnation number.
	EventSuperseded
)

// Event is a change that the user of the Table must handle. Events must be
// handled in the order in which they are returned.
type Event struct {
	Kind  EventKind
	Epoch Epoch
	// Start is when the epoch's clock was 0.
	Start time.Time
}
