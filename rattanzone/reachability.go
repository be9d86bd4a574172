package rattanzone

import (
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanhome"
)

const (
	// unreachableTime is how long no instance of a zone is heard until the zone
	// counts as out of reach. Within that time, those that are left elect a home,
	// which sends heartbeats to the other zones.
	unreachableTime = 2 * time.Second
	// maxDirectoryAge is how old the last reading of the directory may be for this
	// instance to count as connected with the platform.
	maxDirectoryAge = 2 * directoryInterval
)

// continuity states how long this instance has run without a pause, and when it last
// reached the directory.
type continuity struct {
	tickedAt        time.Time
	runningSince    time.Time
	directoryReadAt time.Time
}

// covers reports whether this instance has run and listened for unreachableTime, and
// is connected with the platform.
func (c *continuity) covers(now time.Time) bool {
	return !c.tickedAt.IsZero() && now.Sub(c.tickedAt) <= silenceTimeout && now.Sub(c.runningSince) >= unreachableTime && now.Sub(c.directoryReadAt) <= maxDirectoryAge
}

// recordTick records that the heartbeat loop runs.
func (a *Agent) recordTick(paused bool, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if paused || a.continuity.tickedAt.IsZero() {
		a.continuity.runningSince = now
	}
	a.continuity.tickedAt = now
}

// Reachability returns the zones of the instances that were heard, directly or by way
// of others, within unreachableTime. It returns nil if the silence of the others may
// be due to this instance.
func (a *Agent) Reachability(now time.Time) *rattanhome.Reachability {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.continuity.covers(now) {
		return nil
	}
	zones := []string{a.config.Self.Zone}
	for zone, home := range a.homes {
		if home.age(now) < unreachableTime {
			zones = append(zones, zone)
		}
	}
	for _, m := range a.members {
		if now.Sub(m.lastHeard) < unreachableTime {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return &rattanhome.Reachability{Zones: slices.Compact(zones)}
}
