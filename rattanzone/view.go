// Package rattanzone agrees within an availability zone on the instance that
// is the home of the zone's targets, and spreads the desired state, the
// inventory and the load of the homes between instances. Authority itself is
// kept by the targets, which follow the highest fencing token; what is agreed
// here only keeps instances from competing.
package rattanzone

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Claim says that an instance is the home of a zone.
type Claim struct {
	Zone    string
	Name    string
	Address string
	// Fence is the fencing token of the home's orders; of two claims for a
	// zone, the one with the higher token counts.
	Fence int64
	// Age is how long ago the sender heard of the home itself.
	Age  time.Duration
	Load rattanhome.Load
}

// View is what two instances tell each other with each beat.
type View struct {
	Sender rattanwork.Member
	// Claims holds one claim for each zone with a known home.
	Claims []Claim
	// Suspect is the fencing token of a home that does not answer the sender,
	// 0 if there is none.
	Suspect int64
	// Terminating says that the sender shuts down.
	Terminating bool
	// Desired is the version of the sender's desired state, Inventory the
	// revision of its inventory.
	Desired   int64
	Inventory int64
}

// belief is a claim and when the home was last heard of.
type belief struct {
	claim Claim
	heard time.Time
}

func (b *belief) age(now time.Time) time.Duration {
	return now.Sub(b.heard)
}
