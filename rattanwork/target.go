package rattanwork

import "slices"

// Target is a worker as it describes itself in the inventory.
type Target struct {
	// ID names the target; a restarted target may have the ID of before.
	ID      string
	Service string
	Address string
	Zone    string
	// Draining says that the target takes no new work and leaves soon.
	Draining bool
	Capacity Resources
	// Labels hold the kind of the target and its rack, Rack the latter alone;
	// empty if the target names none.
	Labels []string
	Rack   string
	// Incarnation is the Unix time in milliseconds at which this life began.
	Incarnation int64
}

// HasLabel reports whether the target has the label; empty is always had.
func (t *Target) HasLabel(label string) bool {
	return label == "" || slices.Contains(t.Labels, label)
}

// Equal reports whether two descriptions say the same.
func (t *Target) Equal(other *Target) bool {
	return t.ID == other.ID && t.Service == other.Service && t.Address == other.Address && t.Zone == other.Zone &&
		t.Draining == other.Draining && t.Capacity == other.Capacity && t.Incarnation == other.Incarnation && slices.Equal(t.Labels, other.Labels)
}

// Inventory is a view of all targets.
type Inventory struct {
	// Revision is the revision of the store at which the view was taken.
	Revision int64
	Targets  []Target
}
