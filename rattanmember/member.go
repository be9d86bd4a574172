// Package rattanmember decides on membership between entry instances: who is
// alive, who owns a pool, and whether a home's epoch is valid or has ended. It
// is pure: the present time is an argument, and messages are values.
package rattanmember

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

//go:generate go tool stringer -type=Status -trimprefix=Status

// Status is what a member believes of another.
type Status int

// The statuses of a member.
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
	Status      Status
	// Epoch is the current epoch of the member; keys are issued for it.
	Epoch Epoch
	// Version rises with each change that the member itself reports.
	Version uint64
}

// Epoch is a period of authority as it is announced to others.
type Epoch struct {
	ID        rattanjob.EpochID
	Witnesses []rattanjob.Incarnation
	// Age is the time since the epoch started, on the home's clock, when the
	// message was made. Receivers extrapolate from the time of arrival.
	Age time.Duration
}
