package rattaninventory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattaninventory"
)

// fakePlatform answers queries from a list and counts the instances sent.
type fakePlatform struct {
	instances     []rattaninventory.Instance
	sentInstances int
}

func (p *fakePlatform) answer(query rattaninventory.Query) rattaninventory.Reply {
	var part []rattaninventory.Instance
	for _, instance := range p.instances {
		if query.AvailabilityZone == "" || instance.AvailabilityZone == query.AvailabilityZone {
			part = append(part, instance)
		}
	}
	etag := fmt.Sprintf("%x", rattaninventory.NewList(part).Hash)
	if etag == query.ETag {
		return rattaninventory.Reply{ETag: etag, NotModified: true}
	}
	p.sentInstances += len(part)
	return rattaninventory.Reply{ETag: etag, Instances: part}
}

// testWatcher is a watcher with its platform and its list in use.
type testWatcher struct {
	platform  fakePlatform
	reader    *rattaninventory.Reader
	inUse     rattaninventory.List
	now       time.Time
	keptCount int
}

// newTestWatcher returns a watcher that has read 5 racks of 8 targets and 3
// entry instances in each of two availability zones.
func newTestWatcher() *testWatcher {
	w := &testWatcher{reader: rattaninventory.NewReader(), now: startTime}
	for _, zone := range []string{"buda", "pest"} {
		for i := range 40 {
			w.platform.instances = append(w.platform.instances, rattaninventory.Instance{
				Name: fmt.Sprintf("%s-target-%02d", zone, i), AvailabilityZone: zone,
				Rack: fmt.Sprintf("%s-rack-%d", zone, i/8), Role: rattaninventory.RoleTarget,
			})
		}
		for i := range 3 {
			w.platform.instances = append(w.platform.instances, rattaninventory.Instance{
				Name: fmt.Sprintf("%s-entry-%d", zone, i), AvailabilityZone: zone,
			})
		}
	}
	w.read()
	w.read()
	return w
}

func (w *testWatcher) read() {
	w.now = w.now.Add(time.Second)
	queries := w.reader.Queries(w.now, w.inUse)
	var replies []rattaninventory.Reply
	for _, query := range queries {
		replies = append(replies, w.platform.answer(query))
	}
	w.inUse, w.keptCount = w.reader.Merge(w.now, w.inUse, queries, replies)
}

func (w *testWatcher) readFor(duration time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); {
		w.read()
	}
}

func (w *testWatcher) removeFromPlatform(condition func(rattaninventory.Instance) bool) []rattaninventory.Instance {
	previous := w.platform.instances
	w.platform.instances = slices.DeleteFunc(slices.Clone(previous), condition)
	return previous
}

func (w *testWatcher) countTargets(zone string) int {
	count := 0
	for _, instance := range w.inUse.Instances {
		if instance.AvailabilityZone == zone && instance.Role == rattaninventory.RoleTarget {
			count++
		}
	}
	return count
}

func anyInstance(rattaninventory.Instance) bool { return true }

func inZone(zone string, role rattaninventory.Role) func(rattaninventory.Instance) bool {
	return func(instance rattaninventory.Instance) bool {
		return instance.AvailabilityZone == zone && instance.Role == role
	}
}

// firstTargets returns a condition for the first count targets of buda.
func firstTargets(count int) func(rattaninventory.Instance) bool {
	return func(instance rattaninventory.Instance) bool {
		return inZone("buda", rattaninventory.RoleTarget)(instance) && instance.Name < fmt.Sprintf("buda-target-%02d", count)
	}
}

// TestReadsChangedZonesOnly guards against a reader that reads more than the
// part of the availability zone in which something changed.
func TestReadsChangedZonesOnly(t *testing.T) {
	c := qt.New(t)
	w := newTestWatcher()
	w.platform.sentInstances = 0
	w.readFor(10 * time.Second)
	c.Check(w.platform.sentInstances, qt.Equals, 0)
	w.platform.instances[3].State = rattaninventory.StateLeaving
	w.readFor(10 * time.Second)
	c.Check(w.platform.sentInstances, qt.Equals, 43)
	c.Check(w.inUse, qt.DeepEquals, rattaninventory.NewList(w.platform.instances))
	// The whole list is read at intervals, so that a new zone is discovered.
	added := rattaninventory.Instance{Name: "csepel-1", AvailabilityZone: "csepel"}
	w.platform.instances = append(w.platform.instances, added)
	w.readFor(rattaninventory.FullReadInterval)
	c.Check(w.inUse, qt.DeepEquals, rattaninventory.NewList(w.platform.instances))
	c.Check(w.platform.sentInstances, qt.Equals, 43+87+1)
}

// TestLostInstances guards against a home that drops its targets, or considers
// instances dead, because the platform serves a faulty list, and against a home
// that keeps targets for too long after they are gone.
func TestLostInstances(t *testing.T) {
	for _, test := range []struct {
		name   string
		remove func(rattaninventory.Instance) bool
		// The numbers of targets of buda in use after the next read, just before
		// LossConfirmationTime and after it.
		afterNextRead, beforeConfirmation, afterConfirmation int
	}{
		{"one target", firstTargets(1), 39, 39, 39},
		{"a rack", firstTargets(8), 32, 32, 32},
		{"30%", firstTargets(12), 28, 28, 28},
		{"two racks", firstTargets(16), 40, 40, 24},
		{"most targets", firstTargets(39), 40, 40, 1},
		{"all targets of the zone", inZone("buda", rattaninventory.RoleTarget), 40, 40, 40},
		{"empty list", anyInstance, 40, 40, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newTestWatcher()
			allInstances := w.removeFromPlatform(test.remove)
			w.read()
			c.Check(w.countTargets("buda"), qt.Equals, test.afterNextRead)
			c.Check(w.countTargets("pest"), qt.Equals, 40)
			c.Check(w.keptCount > 0, qt.Equals, test.afterNextRead == 40)
			w.readFor(rattaninventory.LossConfirmationTime - 2*time.Second)
			c.Check(w.countTargets("buda"), qt.Equals, test.beforeConfirmation)
			w.readFor(4 * time.Second)
			c.Check(w.countTargets("buda"), qt.Equals, test.afterConfirmation)
			w.platform.instances = allInstances
			w.read()
			c.Check(w.inUse, qt.DeepEquals, rattaninventory.NewList(allInstances))
			c.Check(w.keptCount, qt.Equals, 0)
		})
	}
}

// TestGradualLosses guards against a faulty list that shrinks in steps, each
// small enough to be plausible, and against losses that are counted together
// with later ones indefinitely.
func TestGradualLosses(t *testing.T) {
	c := qt.New(t)
	w := newTestWatcher()
	for lost := 1; lost < 40; lost++ {
		w.removeFromPlatform(firstTargets(lost))
		w.read()
		c.Assert(w.countTargets("buda") >= 28, qt.IsTrue, qt.Commentf("%d lost, %d in use", lost, w.countTargets("buda")))
	}
	w = newTestWatcher()
	w.removeFromPlatform(firstTargets(12))
	w.readFor(rattaninventory.LossConfirmationTime + 2*time.Second)
	w.removeFromPlatform(firstTargets(20))
	w.read()
	c.Check(w.countTargets("buda"), qt.Equals, 20)
}

// TestPartialRackLoss guards against a faulty list that is mistaken for the
// loss of a rack because all targets of the zone are in one rack, and against
// the loss of a rack that is held back because its targets disappear one by
// one.
func TestPartialRackLoss(t *testing.T) {
	c := qt.New(t)
	w := newTestWatcher()
	w.platform.instances = slices.Clone(w.platform.instances)
	for i := range w.platform.instances {
		if i >= 20 {
			w.platform.instances[i].Rack = "large"
		}
	}
	w.read()
	allInstances := w.removeFromPlatform(firstTargets(33))
	w.read()
	c.Check(w.countTargets("buda"), qt.Equals, 40)
	w.platform.instances = allInstances
	w.read()
	large := func(instance rattaninventory.Instance) bool { return instance.Rack == "large" }
	for lost := 21; lost < 40; lost++ {
		w.removeFromPlatform(func(instance rattaninventory.Instance) bool { return firstTargets(lost)(instance) && large(instance) })
		w.read()
	}
	w.removeFromPlatform(large)
	w.read()
	c.Check(w.countTargets("buda"), qt.Equals, 20)
}

// TestIncompleteListAppliesChanges guards against a leaving target that
// receives new work because the list that marks it as leaving is also
// incomplete.
func TestIncompleteListAppliesChanges(t *testing.T) {
	c := qt.New(t)
	w := newTestWatcher()
	w.removeFromPlatform(firstTargets(30))
	w.platform.instances[0].State = rattaninventory.StateLeaving
	leaving := w.platform.instances[0].Name
	w.platform.instances = append(w.platform.instances, rattaninventory.Instance{Name: "new", AvailabilityZone: "buda", Role: rattaninventory.RoleTarget})
	w.read()
	c.Check(w.countTargets("buda"), qt.Equals, 41)
	index := slices.IndexFunc(w.inUse.Instances, func(instance rattaninventory.Instance) bool { return instance.Name == leaving })
	c.Check(w.inUse.Instances[index].State, qt.Equals, rattaninventory.StateLeaving)
	// A leaving instance may disappear regardless of what else is missing.
	w.removeFromPlatform(func(instance rattaninventory.Instance) bool { return instance.Name == leaving })
	w.read()
	c.Check(w.countTargets("buda"), qt.Equals, 40)
}

// TestLostEntryInstances guards against a false proof that entry instances have
// ended: an incomplete list must not make a home of the zone appear dead.
func TestLostEntryInstances(t *testing.T) {
	c := qt.New(t)
	w := newTestWatcher()
	w.removeFromPlatform(func(instance rattaninventory.Instance) bool {
		return instance.Name == "pest-entry-0" || instance.Name == "pest-entry-1"
	})
	w.read()
	c.Check(len(w.inUse.Instances), qt.Equals, 86)
	w.readFor(rattaninventory.LossConfirmationTime + time.Second)
	c.Check(len(w.inUse.Instances), qt.Equals, 84)
}

// TestSecondWatcher guards against a second watcher that installs its own
// outdated zone lists after it got a newer list from a peer, and against one
// that reads the whole list again after it got it from a peer.
func TestSecondWatcher(t *testing.T) {
	c := qt.New(t)
	w := newTestWatcher()
	w.platform.instances[0].Slots = 16
	w.platform.instances = append(w.platform.instances, rattaninventory.Instance{Name: "csepel-1", AvailabilityZone: "csepel"})
	w.inUse = rattaninventory.NewList(w.platform.instances)
	w.read()
	c.Check(w.inUse, qt.DeepEquals, rattaninventory.NewList(w.platform.instances))
	newReader := rattaninventory.NewReader()
	c.Check(newReader.Queries(startTime, w.inUse), qt.HasLen, 3)
}
