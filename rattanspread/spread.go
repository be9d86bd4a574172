// Package rattanspread decides how changes of the configuration and of the
// instance list reach all members: who reads from the platform, whom a member
// notifies, and from whom it pulls.
package rattanspread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmember"
)

const (
	// Fanout is the number of members that an instance notifies of a change at
	// once. Each of them notifies as many, so that a change reaches all members
	// in a few round trips, and the messages of one instance for one change
	// stay the same however many instances there are.
	Fanout = 4
	// WatchersPerZone is the number of members of an availability zone that may
	// read from the platform: the one that has run longest does, the other one
	// stands in for it. The rest learn of changes from other members.
	WatchersPerZone = 2
	// StandInAfter is the age of the instance list at which the second watcher
	// reads from the platform in place of the first.
	StandInAfter = 2 * time.Second
)

// ChangeNotification notifies a peer that something has changed at the sender.
type ChangeNotification struct {
	// To names the receiver. Another instance that has its address now, perhaps
	// one of another system, takes in nothing.
	To string
	// PeerAddress is that of the sender, from which the change is pulled.
	PeerAddress string
	// Payload is that of a heartbeat, a Payload in JSON.
	Payload []byte
}

// HeartbeatPayload says in each heartbeat what the sender has.
type HeartbeatPayload struct {
	// Revision is the configuration in force at the sender.
	Revision         uint64
	AvailabilityZone string
	// ListHash and ListAge tell the sender's instance list and the time since
	// the platform gave it.
	ListHash uint64              `json:",omitempty"`
	ListAge  rattanjson.Duration `json:",omitempty"`
}

// NotificationReceivers returns the members that a member of an availability zone notifies
// of a change: Fanout of the others at random, and at most one of another zone
// unless this zone has too few.
func NotificationReceivers(random *rand.Rand, zone string, others []rattanmember.Member) []rattanmember.Member {
	var near, far []rattanmember.Member
	for _, member := range others {
		if member.AvailabilityZone == zone {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	random.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	random.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	near = near[:min(len(near), Fanout-1)]
	return append(near, far[:min(len(far), Fanout-len(near))]...)
}

// PrecedingWatchers returns the members of self's availability zone that come before it in
// the order in which members read from the platform, at most WatchersPerZone of
// them; their number is the rank of self for Watches. Members that have run
// longer come first. In a zone of several pools the home of the first pool, which
// sums up the loads of the zone, comes last: with the reads and the list as well
// it would move 46 KB/s in a zone of 14 pools.
func PrecedingWatchers(self rattanmember.Member, others []rattanmember.Member, pools int) []rattanmember.Member {
	order := func(a, b rattanmember.Member) int {
		if last := pools > 1 && a.Claim == 1; last != (pools > 1 && b.Claim == 1) {
			if last {
				return 1
			}
			return -1
		}
		return a.Compare(&b)
	}
	var before []rattanmember.Member
	for _, member := range others {
		if member.AvailabilityZone == self.AvailabilityZone && member.Status == rattanmember.StatusAlive && order(member, self) < 0 {
			before = append(before, member)
		}
	}
	slices.SortFunc(before, order)
	return before[:min(len(before), WatchersPerZone)]
}

// ReadsFromPlatform reports whether a member reads from the platform for its zone, by its
// rank among the watchers of the zone and the time at which the platform gave
// its instance list: the first watcher always, the second while the first has
// no recent list. The calls of the platform thus do not grow with the number of
// instances.
func ReadsFromPlatform(now time.Time, rank int, reached time.Time) bool {
	return rank == 0 || (rank < WatchersPerZone && now.Sub(reached) >= StandInAfter)
}
