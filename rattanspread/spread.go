// Package rattanspread decides how changes of the configuration and of the
// instance list are disseminated to all members: which members read from the
// platform, which peers a member notifies, and when it pulls a change.
package rattanspread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmember"
)

const (
	// Fanout is the number of members that an instance notifies of a change.
	// Each of them notifies as many, so that a change reaches all members in a
	// few round trips, and the number of messages per instance and change does
	// not grow with the number of instances.
	Fanout = 4
	// WatchersPerZone is the number of members of an availability zone that may
	// read from the platform: the one that has run longest does, and the other
	// replaces it when it fails. The others learn of changes from their peers.
	WatchersPerZone = 2
	// SecondWatcherDelay is the age of the instance list at which the second
	// watcher reads from the platform in place of the first.
	SecondWatcherDelay = 2 * time.Second
)

// ChangeNotification notifies a peer that something has changed at the sender.
type ChangeNotification struct {
	// To names the receiver. An instance with another name that now has its
	// address, perhaps one of another system, ignores the notification.
	To string
	// PeerAddress is the sender's address, from which the change is pulled.
	PeerAddress string
	// Payload is the sender's heartbeat payload, encoded as JSON.
	Payload []byte
}

// HeartbeatPayload tells peers in each heartbeat which versions the sender has.
type HeartbeatPayload struct {
	// Revision is the revision of the sender's active configuration.
	Revision         uint64
	AvailabilityZone string
	// ListHash identifies the sender's instance list, and ListAge is the time
	// since the platform returned it.
	ListHash uint64              `json:",omitempty"`
	ListAge  rattanjson.Duration `json:",omitempty"`
}

// NotificationReceivers returns the members that a member of an availability
// zone notifies of a change: Fanout random ones, at most one of them in another
// zone unless its own zone has too few.
func NotificationReceivers(random *rand.Rand, zone string, others []rattanmember.Member) []rattanmember.Member {
	var sameZone, otherZones []rattanmember.Member
	for _, member := range others {
		if member.AvailabilityZone == zone {
			sameZone = append(sameZone, member)
		} else {
			otherZones = append(otherZones, member)
		}
	}
	random.Shuffle(len(sameZone), func(a, b int) { sameZone[a], sameZone[b] = sameZone[b], sameZone[a] })
	random.Shuffle(len(otherZones), func(a, b int) { otherZones[a], otherZones[b] = otherZones[b], otherZones[a] })
	sameZone = sameZone[:min(len(sameZone), Fanout-1)]
	return append(sameZone, otherZones[:min(len(otherZones), Fanout-len(sameZone))]...)
}

// PrecedingWatchers returns the members of self's availability zone that
// precede it in the order in which members read from the platform, at most
// WatchersPerZone of them; their number is the rank of self among the watchers.
// Members that have run longer come first. In a zone with several pools the
// home of the first pool, which aggregates the loads of the zone, comes last:
// if it also read and distributed the list, it would transfer 46 KB/s in a zone
// of 14 pools.
func PrecedingWatchers(self rattanmember.Member, others []rattanmember.Member, pools int) []rattanmember.Member {
	compare := func(a, b rattanmember.Member) int {
		if aLast := pools > 1 && a.Claim == 1; aLast != (pools > 1 && b.Claim == 1) {
			if aLast {
				return 1
			}
			return -1
		}
		return a.Compare(&b)
	}
	var preceding []rattanmember.Member
	for _, member := range others {
		if member.AvailabilityZone == self.AvailabilityZone && member.Status == rattanmember.StatusAlive && compare(member, self) < 0 {
			preceding = append(preceding, member)
		}
	}
	slices.SortFunc(preceding, compare)
	return preceding[:min(len(preceding), WatchersPerZone)]
}

// ReadsFromPlatform reports whether a member reads from the platform for its
// zone, given its rank among the watchers of the zone and the time at which the
// platform returned its instance list. The first watcher always reads. The
// second reads while its list is at least SecondWatcherDelay old, because the
// first then provides no recent list. The number of platform calls therefore
// does not grow with the number of instances.
func ReadsFromPlatform(now time.Time, rank int, listReadAt time.Time) bool {
	return rank == 0 || (rank < WatchersPerZone && now.Sub(listReadAt) >= SecondWatcherDelay)
}
