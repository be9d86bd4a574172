// Package rattanzone elects, within an availability zone, the instance that is
// the home of the zone: the one that schedules jobs on the zone's targets. It
// also distributes the desired state, the target inventory and the load of each
// home between instances.
//
// The election only keeps instances from competing. Mutual exclusion is
// enforced by the targets, which accept requests only with the highest fencing
// token they have seen.
package rattanzone

import (
	"time"

	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Claim states that an instance is the home of a zone.
type Claim struct {
	Zone string
	// Name and Address are those of the instance.
	Name    string
	Address string
	// FencingToken is sent with each request of the home to a target. Of two
	// claims for a zone, the one with the higher token wins.
	FencingToken int64 `json:"Fence"`
	// Age is the time since the last message of the home that the sender knows
	// of, either directly or from other instances.
	Age  time.Duration
	Load rattanhome.Load
}

// View is the state that two instances exchange in each heartbeat.
type View struct {
	Sender rattanwork.Member
	// Uptime is the time from the start of the sender to the sending of the view,
	// 0 if the sender is of the former version.
	Uptime time.Duration `json:",omitempty"`
	// Claims holds one claim for each zone with a known home.
	Claims []Claim
	// SuspectedToken is the fencing token of a home that does not answer the
	// sender, 0 if there is none.
	SuspectedToken int64 `json:"Suspect"`
	// Terminating reports that the sender is shutting down.
	Terminating bool
	// Slow reports that the sender's machine computes much slower than usual.
	Slow bool
	// DesiredVersion is the version of the sender's desired state,
	// InventoryRevision the revision of its inventory.
	DesiredVersion    int64 `json:"Desired"`
	InventoryRevision int64 `json:"Inventory"`
	// KeptTargets contains the targets that are missing from the store and on
	// which the sender, the home of its zone, has runs. They are sent to members
	// of the zone only, any of which may succeed it.
	KeptTargets []rattanwork.Target `json:",omitempty"`
	// OverdueTargets contains the targets whose heartbeats the sender, the home of
	// its zone, misses, with the time since which it awaits them. It is sent to
	// members of the zone only.
	OverdueTargets map[string]time.Duration `json:",omitempty"`
	// SlowTargets contains the slowest targets, as the sender, the home of its zone,
	// has learned. It is sent to members of the zone only, any of which may succeed
	// it; a home that knows of none sends none, like one of the former version.
	SlowTargets []rattanscheduler.SlowTarget `json:",omitempty"`
	// OutstandingStarts contains start requests of the sender, as the home of its
	// zone or its former home, that may still be carried out. While the zone has no
	// home, it contains those of all homes that the sender has heard of.
	OutstandingStarts []rattanscheduler.OutstandingStart `json:",omitempty"`
	// KeptStarts contains start requests of former homes of the receiver's zone that
	// may still be carried out. It is sent to the home, and in answers to instances
	// that know none.
	KeptStarts []rattanscheduler.OutstandingStart `json:",omitempty"`
	// Crashes holds changes of the sender's crash history with sequence numbers
	// after CrashBase, up to which the receiver has merged it as far as the
	// sender knows. CrashSequence is the sequence number of the last one.
	Crashes       []rattancrash.Loss `json:",omitempty"`
	CrashBase     int64              `json:",omitempty"`
	CrashSequence int64              `json:",omitempty"`
	// CrashesMerged is the sequence number up to which the sender has merged the
	// receiver's crash history.
	CrashesMerged int64 `json:",omitempty"`
	// Cancellations is nil if the receiver is not known to the sender, or if the
	// sender is of the former version.
	Cancellations *CancellationUpdate `json:",omitempty"`
}

// homeRecord is a claim and the time at which its home was last heard from.
type homeRecord struct {
	claim     Claim
	lastHeard time.Time
}

func (h *homeRecord) age(now time.Time) time.Duration {
	return now.Sub(h.lastHeard)
}
