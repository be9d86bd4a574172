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

// TestPulls guards against a change that many peers send at once, against a
// member that waits for a silent peer while another one has the change, and
// against an old pull that frees the place of a later one.
func TestPulls(t *testing.T) {
	c := qt.New(t)
	var pulls rattanspread.PullQueue[string]
	now := time.Unix(1_000, 0)
	first, begin := pulls.Offer(now, "silent")
	c.Check(begin, qt.IsTrue)
	for _, peer := range []string{"b", "c"} {
		_, begin = pulls.Offer(now, peer)
		c.Check(begin, qt.IsFalse)
	}
	_, found := pulls.Release(now.Add(rattanspread.PullTimeout/2), first, false)
	c.Check(found, qt.IsFalse)
	now = now.Add(rattanspread.PullTimeout)
	next, found := pulls.Release(now, first, false)
	c.Check(found, qt.IsTrue)
	c.Check(next, qt.Equals, "c")
	second, begin := pulls.Offer(now, next)
	c.Check(begin, qt.IsTrue)
	_, _ = pulls.Offer(now, "d")
	_, found = pulls.Release(now.Add(time.Second), first, true)
	c.Check(found, qt.IsFalse)
	next, _ = pulls.Release(now, second, true)
	c.Check(next, qt.Equals, "d")
	_, found = pulls.Release(now, second, true)
	c.Check(found, qt.IsFalse)
}

// TestReceivers guards against a change that stays in one availability zone, and
// against messages that grow with the number of members.
func TestReceivers(t *testing.T) {
	for _, test := range []struct{ zone, other, near, far int }{
		{0, 0, 0, 0}, {2, 6, 2, 2}, {59, 240, 3, 1}, {59, 0, 3, 0}, {0, 2, 0, 2},
	} {
		c := qt.New(t)
		var others []rattanmember.Member
		for i := range test.zone + test.other {
			zone := "own"
			if i >= test.zone {
				zone = "other"
			}
			others = append(others, rattanmember.Member{AvailabilityZone: zone, PeerAddress: fmt.Sprint(i)})
		}
		near, seen := 0, map[string]bool{}
		for _, member := range rattanspread.NotificationReceivers(rand.New(rand.NewPCG(1, 1)), "own", others) {
			seen[member.PeerAddress] = true
			if member.AvailabilityZone == "own" {
				near++
			}
		}
		c.Check([]int{near, len(seen) - near}, qt.DeepEquals, []int{test.near, test.far})
	}
}

// TestWatches guards against calls to the platform that grow with the number of
// instances, and against a zone that nobody reads for.
func TestWatches(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	recent, old := now.Add(-time.Second), now.Add(-rattanspread.StandInAfter)
	c.Check(rattanspread.ReadsFromPlatform(now, 0, recent), qt.IsTrue)
	c.Check(rattanspread.ReadsFromPlatform(now, 1, recent), qt.IsFalse)
	c.Check(rattanspread.ReadsFromPlatform(now, 1, old), qt.IsTrue)
	c.Check(rattanspread.ReadsFromPlatform(now, 2, old), qt.IsFalse)
}

// TestBefore guards against a zone in which nobody or two members read from the
// platform, and against an aggregator of many pools that reads too.
func TestBefore(t *testing.T) {
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
