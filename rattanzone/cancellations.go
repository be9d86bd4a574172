package rattanzone

import (
	"time"

	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// maxSentCancellations bounds the number of cancellations in one heartbeat.
const maxSentCancellations = 500

// CancellationUpdate holds what the sender of a view remembers of cancelled jobs.
type CancellationUpdate struct {
	// Changes holds the changes of the sender's record with sequence numbers after
	// Base, up to which the receiver has merged it as far as the sender knows.
	// Sequence is the sequence number of the last one.
	Changes  []rattancancel.Cancellation `json:",omitempty"`
	Base     int64
	Sequence int64
	// Merged is the sequence number up to which the sender has merged the
	// receiver's record.
	Merged int64
}

// cancellationProgress states how far two instances have merged each other's
// records: merged is the sequence number up to which that of a member has been
// merged here, seen the one up to which the member has merged that of this
// instance.
type cancellationProgress struct {
	merged, seen int64
}

// cancellationUpdate returns the changes of the record that a member has not
// merged yet. The caller holds the mutex.
func (a *Agent) cancellationUpdate(m *member, now time.Time) *CancellationUpdate {
	update := &CancellationUpdate{Base: m.cancellations.seen, Merged: m.cancellations.merged}
	update.Changes, update.Sequence = a.config.Cancellations.Changes(m.cancellations.seen, maxSentCancellations, now)
	return update
}

// mergeCancellations merges the record of the sender of a view, and returns the
// jobs that are newly known to be cancelled. The caller holds the mutex.
func (a *Agent) mergeCancellations(view *View, now time.Time) []string {
	m, ok := a.members[view.Sender.Name]
	update := view.Cancellations
	if !ok || m.Incarnation != view.Sender.Incarnation || update == nil {
		return nil
	}
	// A receiver that has restarted lacks the changes up to the base.
	if update.Base <= m.cancellations.merged {
		m.cancellations.merged = max(m.cancellations.merged, update.Sequence)
	}
	// The sender may have restarted and lost what it had merged.
	m.cancellations.seen = update.Merged
	return a.config.Cancellations.Merge(update.Changes, now)
}

// cancelJobs ends jobs in the local home that were cancelled at another instance.
func (a *Agent) cancelJobs(jobs []string) {
	localHome := a.LocalHome()
	if localHome == nil {
		return
	}
	for _, id := range jobs {
		localHome.CancelLearned(id)
	}
}

// Zones returns this instance's zone and the others of which a home is known.
func (a *Agent) Zones() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	zones := []string{a.config.Self.Zone}
	for zone := range a.homes {
		if zone != a.config.Self.Zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Successor returns the member that would become the home of the zone next.
func (a *Agent) Successor() (rattanwork.Member, bool) {
	members := a.successors()
	if len(members) == 0 {
		return rattanwork.Member{}, false
	}
	return members[0], true
}
