// Package rattanmember decides on membership between entry instances: who is
// alive, who owns a pool, and whether a home's epoch is valid or has ended. It
// is pure: the present time is an argument, and messages are values.
package rattanmember

import (
	"cmp"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Status -trimprefix=Status

// Status is what a member believes of another.
type Status int

// The statuses of a member. Only StatusDead is a proof, and it is final for an
// incarnation; a suspect may be alive behind a partition.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusLeaving
	StatusDead
)

// Member is what is known of one instance.
type Member struct {
	Incarnation      rattanjob.Incarnation
	AvailabilityZone string
	// PeerAddress is host:port of the instance's drpc listener.
	PeerAddress string
	Status      Status `json:",omitempty"`
	// Epoch is the current epoch of the member; keys are issued for it. It is
	// zero when the member is not a home.
	Epoch Epoch `json:",omitzero"`
	// Claim is the number of the owned pool plus 1, or 0 for none.
	Claim int `json:",omitempty"`
	// Version rises with each change that the member itself reports.
	Version uint64
}

// Epoch is a period of authority as it is announced to others.
type Epoch struct {
	ID        rattanjob.EpochID
	Witnesses []rattanjob.Incarnation `json:",omitempty"`
	// Age is the time since the epoch started, on the home's clock, when the
	// message was made. Receivers extrapolate from the time of arrival.
	Age time.Duration
}

// Compare orders members by seniority: the earliest start first, then by name.
func (m *Member) Compare(other *Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation.Number, other.Incarnation.Number),
		cmp.Compare(m.Incarnation.Instance, other.Incarnation.Instance),
	)
}

// at returns the member with the age of its epoch advanced by the time since
// the member was learned.
func (m Member) at(elapsed time.Duration) Member {
	if m.Epoch.ID.Number != 0 {
		m.Epoch.Age += elapsed
	}
	return m
}
