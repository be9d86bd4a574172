// Package rattanmember implements the membership protocol between entry
// instances: gossip with heartbeats, failure detection, the election of pool
// owners, and the epochs in which a home has authority over its keys. It does
// no I/O and reads no clock: the current time is an argument, and messages are
// values.
package rattanmember

import (
	"cmp"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Status -trimprefix=Status

// Status is the state of a member as another member sees it.
type Status int

// The statuses of a member. Only StatusDead rests on a proof, and it is final
// for an incarnation; a suspect may be alive behind a partition.
const (
	StatusAlive Status = iota
	// StatusSuspect means that the member did not answer recent heartbeats or a
	// connection attempt.
	StatusSuspect
	// StatusLeaving means that the member has announced that it leaves.
	StatusLeaving
	// StatusDead means that there is a proof that the incarnation has ended.
	StatusDead
)

// Member is the state of one instance that members exchange.
type Member struct {
	Incarnation      rattanjob.Incarnation
	AvailabilityZone string
	// PeerAddress is the host:port of the instance's drpc listener.
	PeerAddress string
	Status      Status `json:",omitempty"`
	// Epoch is the current epoch of the member, for which keys are issued. It
	// is zero when the member is not a home.
	Epoch Epoch `json:",omitzero"`
	// Claim is the number of the owned pool plus 1, or 0 for none.
	Claim int `json:",omitempty"`
	// Version increases with each change that the member itself reports.
	Version uint64
}

// Epoch is a period in which a home has authority over the keys it issues, in
// the form announced to other members.
type Epoch struct {
	ID        rattanjob.EpochID
	Witnesses []rattanjob.Incarnation `json:",omitempty"`
	// Age is the time since the epoch started, on the home's clock, when the
	// message was made. Receivers add the time since its arrival.
	Age time.Duration
}

// Compare orders members by seniority: the earliest start first, then by name.
func (m *Member) Compare(other *Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation.Number, other.Incarnation.Number),
		cmp.Compare(m.Incarnation.Instance, other.Incarnation.Instance),
	)
}

// withEpochAge returns the member with the age of its epoch increased by
// elapsed, the time since the member was received.
func (m Member) withEpochAge(elapsed time.Duration) Member {
	if m.Epoch.ID.Number != 0 {
		m.Epoch.Age += elapsed
	}
	return m
}
