package rattanwork

import (
	"slices"
	"time"
)

// MaxColdLeft bounds how long a target counts as cold after a heartbeat.
const MaxColdLeft = time.Minute

// Target is a worker as described in the inventory.
type Target struct {
	// ID is the target's name; a restarted target may reuse it.
	ID      string
	Service string
	Address string
	Zone    string
	// Draining is set if the target accepts no new work and is about to leave.
	Draining bool
	Capacity Resources `json:"Room"`
	// Labels contains the target's kind and its rack. Rack is the rack alone.
	// Both are empty if the target does not specify them.
	Labels []string
	Rack   string
	// Incarnation identifies the target's incarnation: its start time in Unix
	// milliseconds.
	Incarnation int64 `json:"Born"`
	// ColdLeft is how much longer the target remains slow after its start, as of its
	// last heartbeat, less the time since then where it is used, 0 if it is warm or
	// this is not known.
	ColdLeft time.Duration `json:",omitempty"`
	// Sequence changes with each heartbeat of the target.
	Sequence int64 `json:",omitempty"`
	// HeardAt is when a heartbeat of the target was last read from the inventory,
	// zero while the inventory cannot be followed or shows no heartbeats. One that
	// came while the inventory was not followed counts from the beginning of that
	// time.
	HeardAt time.Time `json:"-"`
	// AwaitedSince is since when the next heartbeat of the target is awaited:
	// HeardAt, but not earlier than the inventory is followed. It is zero while the
	// inventory cannot be followed or shows no heartbeats.
	AwaitedSince time.Time `json:"-"`
}

// HasLabel reports whether the target has the label. The empty label matches
// every target.
func (t *Target) HasLabel(label string) bool {
	return label == "" || slices.Contains(t.Labels, label)
}

// Equal reports whether two descriptions are the same. Rack is not compared
// because Labels contains it, ColdLeft, Sequence and the times of heartbeats because
// they do not describe the target.
func (t *Target) Equal(other *Target) bool {
	return t.ID == other.ID && t.Service == other.Service && t.Address == other.Address && t.Zone == other.Zone &&
		t.Draining == other.Draining && t.Capacity == other.Capacity && t.Incarnation == other.Incarnation && slices.Equal(t.Labels, other.Labels)
}

// InventoryChange contains the targets that have changed since a revision.
type InventoryChange struct {
	// Revision is the store revision up to which changes are included.
	Revision int64
	Updated  []Target
	// Removed contains the IDs of entries that were deleted or have become
	// invalid.
	Removed []string
}

// Inventory is a snapshot of all targets.
type Inventory struct {
	// Revision is the store revision of the snapshot.
	Revision int64
	Targets  []Target
}
