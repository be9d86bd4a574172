package rattanzone

import "time"

const (
	// overdueAge is the age of the last heartbeat of a target from which on a home
	// tells its zone of it. Heartbeats that come in time are read earlier.
	overdueAge = 2 * time.Second
	// overdueRetention is how long what a home has told is valid for a successor.
	overdueRetention = 2 * time.Second
)

// overdueReport is what a home has told of targets whose heartbeats are overdue.
type overdueReport struct {
	// since holds since when the heartbeats of the targets are awaited.
	since map[string]time.Time
	// receivedAt is when the home told it.
	receivedAt time.Time
}

// Overdue returns the targets of a zone whose heartbeats are overdue, with the
// time since which these are awaited.
func (i *Inventory) Overdue(zone string, now time.Time) map[string]time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.showsHeartbeats(now) {
		return nil
	}
	var overdue map[string]time.Duration
	for id, e := range i.targets {
		age := now.Sub(i.awaitedSince(e))
		if e.target.Zone != zone || age <= overdueAge {
			continue
		}
		if overdue == nil {
			overdue = map[string]time.Duration{}
		}
		overdue[id] = age
	}
	return overdue
}

// RecordOverdue keeps what the home of the zone has told of overdue heartbeats, in
// case this instance succeeds it.
func (i *Inventory) RecordOverdue(ages map[string]time.Duration, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.overdue = overdueReport{receivedAt: now}
	if len(ages) == 0 {
		return
	}
	i.overdue.since = make(map[string]time.Time, len(ages))
	for id, age := range ages {
		i.overdue.since[id] = now.Add(-age)
	}
}

// awaitedSince returns since when the next heartbeat of a target is awaited: since
// the last one that was read while the store's changes are followed, or since the
// earlier home has awaited it. The caller holds the mutex.
func (i *Inventory) awaitedSince(e *inventoryEntry) time.Time {
	if e.heardAt.After(i.followedSince) {
		return e.heardAt
	}
	if since, ok := i.overdue.since[e.target.ID]; ok && since.Before(i.followedSince) {
		return since
	}
	return i.followedSince
}
