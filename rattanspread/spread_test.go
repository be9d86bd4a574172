package rattanspread_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanspread"
)

// TestPullQueue guards against a change that many peers send at once, a member
// that waits for a silent peer while another one has the change, and an old
// pull that ends a later one.
func TestPullQueue(t *testing.T) {
	c := qt.New(t)
	var pulls rattanspread.PullQueue[string]
	now := time.Unix(1_000, 0)
	first, start := pulls.Offer(now, "silent")
	c.Check(start, qt.IsTrue)
	for _, peer := range []string{"b", "c"} {
		_, start = pulls.Offer(now, peer)
		c.Check(start, qt.IsFalse)
	}
	_, found := pulls.Release(now.Add(rattanspread.PullTimeout/2), first, false)
	c.Check(found, qt.IsFalse)
	now = now.Add(rattanspread.PullTimeout)
	next, found := pulls.Release(now, first, false)
	c.Check(found, qt.IsTrue)
	c.Check(next, qt.Equals, "c")
	second, start := pulls.Offer(now, next)
	c.Check(start, qt.IsTrue)
	_, _ = pulls.Offer(now, "d")
	_, found = pulls.Release(now.Add(time.Second), first, true)
	c.Check(found, qt.IsFalse)
	next, _ = pulls.Release(now, second, true)
	c.Check(next, qt.Equals, "d")
	_, found = pulls.Release(now, second, true)
	c.Check(found, qt.IsFalse)
}

// TestNotificationReceivers guards against a change that stays within one
// availability zone, and against a number of messages that grows with the
// number of members.
func TestNotificationReceivers(t *testing.T) {
	for _, test := range []struct{ sameZone, otherZones, wantSameZone, wantOtherZones int }{
		{0, 0, 0, 0}, {2, 6, 2, 2}, {59, 240, 3, 1}, {59, 0, 3, 0}, {0, 2, 0, 2},
	} {
		c := qt.New(t)
		var others []rattanmember.Member
		for i := range test.sameZone + test.otherZones {
			zone := "own"
			if i >= test.sameZone {
				zone = "other"
			}
			others = append(others, rattanmember.Member{AvailabilityZone: zone, PeerAddress: fmt.Sprint(i)})
		}
		sameZoneCount, seen := 0, map[string]bool{}
		for _, member := range rattanspread.NotificationReceivers(rand.New(rand.NewPCG(1, 1)), "own", others) {
			seen[member.PeerAddress] = true
			if member.AvailabilityZone == "own" {
				sameZoneCount++
			}
		}
		c.Check([]int{sameZoneCount, len(seen) - sameZoneCount}, qt.DeepEquals, []int{test.wantSameZone, test.wantOtherZones})
	}
}

// TestReadsFromPlatform guards against a number of platform calls that grows
// with the number of instances, and against a zone for which no member reads.
func TestReadsFromPlatform(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	recent, old := now.Add(-time.Second), now.Add(-rattanspread.SecondWatcherDelay)
	c.Check(rattanspread.ReadsFromPlatform(now, 0, recent), qt.IsTrue)
	c.Check(rattanspread.ReadsFromPlatform(now, 1, recent), qt.IsFalse)
	c.Check(rattanspread.ReadsFromPlatform(now, 1, old), qt.IsTrue)
	c.Check(rattanspread.ReadsFromPlatform(now, 2, old), qt.IsFalse)
}

// TestPrecedingWatchers guards against a zone in which no member or two members
// read from the platform, and against a home that both aggregates the loads of
// many pools and reads.
func TestPrecedingWatchers(t *testing.T) {
	zone := []rattanmember.Member{{Claim: 1}, {Claim: 2}, {}, {}}
	for i := range zone {
		zone[i].Incarnation = rattanjob.Incarnation{Instance: fmt.Sprintf("buda-%d", i+1), Number: uint64(i + 1)}
		zone[i].AvailabilityZone = "buda"
		zone[i].Status = rattanmember.StatusAlive
	}
	other := rattanmember.Member{AvailabilityZone: "pest", Status: rattanmember.StatusAlive}
	for _, test := range []struct {
		pools int
		ranks []int
	}{
		{1, []int{0, 1, 2, 2}},
		{2, []int{2, 0, 1, 2}},
	} {
		t.Run(fmt.Sprintf("%d pools", test.pools), func(t *testing.T) {
			c := qt.New(t)
			for i, self := range zone {
				others := append([]rattanmember.Member{other}, slices.Delete(slices.Clone(zone), i, i+1)...)
				c.Check(rattanspread.PrecedingWatchers(self, others, test.pools), qt.HasLen, test.ranks[i], qt.Commentf("%v", self.Incarnation))
			}
		})
	}
}
