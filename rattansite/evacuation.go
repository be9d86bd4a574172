package rattansite

import "time"

const evacuationPrefix = "op/evacuate/"

// Evacuate writes the operator's request to start nothing more in a zone.
func (s *Store) Evacuate(zone string) {
	s.PutBytes(evacuationPrefix+zone, []byte("{}"))
}

// EndEvacuation withdraws the request.
func (s *Store) EndEvacuation(zone string) {
	s.Remove(evacuationPrefix + zone)
}

// ZoneEvacuated records that the store has acknowledged a request to start nothing
// more in a zone. Each start of a task there is a violation that a target executes
// later than the bound after that, unless it was ordered before and delayed.
func (c *InvariantChecker) ZoneEvacuated(zone string, bound time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noStartsAfter[zone] = time.Now().Add(bound)
}

// EvacuationEnds records that the request is about to be withdrawn.
func (c *InvariantChecker) EvacuationEnds(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.noStartsAfter, zone)
}

// StartsIn returns the number of runs that targets of a zone have started.
func (c *InvariantChecker) StartsIn(zone string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.startsByZone[zone]
}

// LastStartIn returns when a target of a zone has last started a run, zero if none has.
func (c *InvariantChecker) LastStartIn(zone string) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastStartIn[zone]
}

// startedIn records a start in a zone. With late, the target has executed it late.
// The caller holds the mutex.
func (c *InvariantChecker) startedIn(zone, target, task string, late bool) {
	c.startsByZone[zone]++
	c.lastStartIn[zone] = time.Now()
	if limit, ok := c.noStartsAfter[zone]; ok && !late && time.Now().After(limit) {
		c.recordViolation("task %s was started on %s %v after the bound for the evacuation of zone %s", task, target, time.Since(limit), zone)
	}
}
