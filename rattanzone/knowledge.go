package rattanzone

import "time"

// InventoryAge returns the time since the inventory was last read, false if it never was.
func (a *Agent) InventoryAge(now time.Time) (time.Duration, bool) {
	age := a.config.Inventory.age(now)
	return age, a.config.Inventory.Revision() > 0
}

// EvacuationsRevision returns the store revision of the set of evacuated zones, 0 if it
// is not known or not used.
func (a *Agent) EvacuationsRevision() int64 {
	return a.config.Evacuations.Known().Revision
}

// HomeAge returns the time since the home of a zone was last heard from, directly or
// through other instances, and whether there is one.
func (a *Agent) HomeAge(zone string, now time.Time) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	home, ok := a.homes[zone]
	if !ok {
		return 0, false
	}
	return max(0, home.age(now)), true
}
