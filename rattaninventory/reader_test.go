package rattaninventory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattaninventory"
)

// platform answers queries from a list, with a count of the entries sent.
type platform struct {
	instances []rattaninventory.Instance
	sent      int
}

func (p *platform) answer(query rattaninventory.Query) rattaninventory.Reply {
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
	p.sent += len(part)
	return rattaninventory.Reply{ETag: etag, Instances: part}
}

// reading is a watcher with its platform and its list in use.
type reading struct {
	platform platform
	reader   *rattaninventory.Reader
	inUse    rattaninventory.List
	now      time.Time
	kept     int
}

// newReading returns a watcher that has read 5 racks of 8 targets and 3 entry
// instances in each of two availability zones.
func newReading() *reading {
	r := &reading{reader: rattaninventory.NewReader(), now: start}
	for _, zone := range []string{"buda", "pest"} {
		for i := range 40 {
			r.platform.instances = append(r.platform.instances, rattaninventory.Instance{
				Name: fmt.Sprintf("%s-target-%02d", zone, i), AvailabilityZone: zone,
				Rack: fmt.Sprintf("%s-rack-%d", zone, i/8), Role: rattaninventory.RoleTarget,
			})
		}
		for i := range 3 {
			r.platform.instances = append(r.platform.instances, rattaninventory.Instance{
				Name: fmt.Sprintf("%s-entry-%d", zone, i), AvailabilityZone: zone,
			})
		}
	}
	r.read()
	r.read()
	return r
}

func (r *reading) read() {
	r.now = r.now.Add(time.Second)
	queries := r.reader.Queries(r.now, r.inUse)
	var replies []rattaninventory.Reply
	for _, query := range queries {
		replies = append(replies, r.platform.answer(query))
	}
	r.inUse, r.kept = r.reader.Merge(r.now, r.inUse, queries, replies)
}

func (r *reading) readFor(duration time.Duration) {
	for end := r.now.Add(duration); r.now.Before(end); {
		r.read()
	}
}

func (r *reading) remove(name func(rattaninventory.Instance) bool) []rattaninventory.Instance {
	before := r.platform.instances
	r.platform.instances = slices.DeleteFunc(slices.Clone(before), name)
	return before
}

func (r *reading) targets(zone string) int {
	count := 0
	for _, instance := range r.inUse.Instances {
		if instance.AvailabilityZone == zone && instance.Role == rattaninventory.RoleTarget {
			count++
		}
	}
	return count
}

func everything(rattaninventory.Instance) bool { return true }

func inZone(zone string, role rattaninventory.Role) func(rattaninventory.Instance) bool {
	return func(instance rattaninventory.Instance) bool {
		return instance.AvailabilityZone == zone && instance.Role == role
	}
}

// firstTargets returns a condition for the first targets of buda.
func firstTargets(count int) func(rattaninventory.Instance) bool {
	return func(instance rattaninventory.Instance) bool {
		return inZone("buda", rattaninventory.RoleTarget)(instance) && instance.Name < fmt.Sprintf("buda-target-%02d", count)
	}
}

// TestReadsOnlyChanges guards against a reader that reads more than the part of
// the availability zone in which something changed.
func TestReadsOnlyChanges(t *testing.T) {
	c := qt.New(t)
	r := newReading()
	r.platform.sent = 0
	r.readFor(10 * time.Second)
	c.Check(r.platform.sent, qt.Equals, 0)
	r.platform.instances[3].State = rattaninventory.StateLeaving
	r.readFor(10 * time.Second)
	c.Check(r.platform.sent, qt.Equals, 43)
	c.Check(r.inUse, qt.DeepEquals, rattaninventory.NewList(r.platform.instances))
	// The whole list is read now and then, so that a new zone is found.
	added := rattaninventory.Instance{Name: "csepel-1", AvailabilityZone: "csepel"}
	r.platform.instances = append(r.platform.instances, added)
	r.readFor(rattaninventory.FullReadInterval)
	c.Check(r.inUse, qt.DeepEquals, rattaninventory.NewList(r.platform.instances))
	c.Check(r.platform.sent, qt.Equals, 43+87+1)
}

// TestLosses guards against a home that drops its targets, or takes instances
// for dead, because the platform serves a faulty list, and against a home that
// keeps targets for long that are really gone.
func TestLosses(t *testing.T) {
	for _, test := range []struct {
		name   string
		remove func(rattaninventory.Instance) bool
		// atOnce, beforeLong and late are the targets of buda in use after the
		// next reading, just before LossDuration and after it.
		atOnce, beforeLong, late int
	}{
		{"one target", firstTargets(1), 39, 39, 39},
		{"a rack", firstTargets(8), 32, 32, 32},
		{"30%", firstTargets(12), 28, 28, 28},
		{"two racks", firstTargets(16), 40, 40, 24},
		{"most targets", firstTargets(39), 40, 40, 1},
		{"all targets of the zone", inZone("buda", rattaninventory.RoleTarget), 40, 40, 40},
		{"empty list", everything, 40, 40, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newReading()
			before := r.remove(test.remove)
			r.read()
			c.Check(r.targets("buda"), qt.Equals, test.atOnce)
			c.Check(r.targets("pest"), qt.Equals, 40)
			c.Check(r.kept > 0, qt.Equals, test.atOnce == 40)
			r.readFor(rattaninventory.LossDuration - 2*time.Second)
			c.Check(r.targets("buda"), qt.Equals, test.beforeLong)
			r.readFor(4 * time.Second)
			c.Check(r.targets("buda"), qt.Equals, test.late)
			r.platform.instances = before
			r.read()
			c.Check(r.inUse, qt.DeepEquals, rattaninventory.NewList(before))
			c.Check(r.kept, qt.Equals, 0)
		})
	}
}

// TestLossesAddUp guards against a faulty list that shrinks step by step, each
// step small enough to be believed, and against losses that are held against
// later ones for good.
func TestLossesAddUp(t *testing.T) {
	c := qt.New(t)
	r := newReading()
	for lost := 1; lost < 40; lost++ {
		r.remove(firstTargets(lost))
		r.read()
		c.Assert(r.targets("buda") >= 28, qt.IsTrue, qt.Commentf("%d lost, %d in use", lost, r.targets("buda")))
	}
	r = newReading()
	r.remove(firstTargets(12))
	r.readFor(rattaninventory.LossDuration + 2*time.Second)
	r.remove(firstTargets(20))
	r.read()
	c.Check(r.targets("buda"), qt.Equals, 20)
}

// TestPartOfRack guards against a faulty list that is taken for the loss of a
// rack because all targets of the zone are in one, and against the loss of a
// rack that is held back because its targets disappear one by one.
func TestPartOfRack(t *testing.T) {
	c := qt.New(t)
	r := newReading()
	r.platform.instances = slices.Clone(r.platform.instances)
	for i := range r.platform.instances {
		if i >= 20 {
			r.platform.instances[i].Rack = "large"
		}
	}
	r.read()
	before := r.remove(firstTargets(33))
	r.read()
	c.Check(r.targets("buda"), qt.Equals, 40)
	r.platform.instances = before
	r.read()
	large := func(instance rattaninventory.Instance) bool { return instance.Rack == "large" }
	for lost := 21; lost < 40; lost++ {
		r.remove(func(instance rattaninventory.Instance) bool { return firstTargets(lost)(instance) && large(instance) })
		r.read()
	}
	r.remove(large)
	r.read()
	c.Check(r.targets("buda"), qt.Equals, 20)
}

// TestShortListStillChanges guards against a leaving target that gets new work
// because the list that says so is short as well.
func TestShortListStillChanges(t *testing.T) {
	c := qt.New(t)
	r := newReading()
	r.remove(firstTargets(30))
	r.platform.instances[0].State = rattaninventory.StateLeaving
	leaving := r.platform.instances[0].Name
	r.platform.instances = append(r.platform.instances, rattaninventory.Instance{Name: "new", AvailabilityZone: "buda", Role: rattaninventory.RoleTarget})
	r.read()
	c.Check(r.targets("buda"), qt.Equals, 41)
	index := slices.IndexFunc(r.inUse.Instances, func(instance rattaninventory.Instance) bool { return instance.Name == leaving })
	c.Check(r.inUse.Instances[index].State, qt.Equals, rattaninventory.StateLeaving)
	// A leaving instance may disappear whatever else is missing.
	r.remove(func(instance rattaninventory.Instance) bool { return instance.Name == leaving })
	r.read()
	c.Check(r.targets("buda"), qt.Equals, 40)
}

// TestEntriesAreKept guards against a false proof that entry instances have
// ended: a short list must not make a home of the zone seem dead.
func TestEntriesAreKept(t *testing.T) {
	c := qt.New(t)
	r := newReading()
	r.remove(func(instance rattaninventory.Instance) bool {
		return instance.Name == "pest-entry-0" || instance.Name == "pest-entry-1"
	})
	r.read()
	c.Check(len(r.inUse.Instances), qt.Equals, 86)
	r.readFor(rattaninventory.LossDuration + time.Second)
	c.Check(len(r.inUse.Instances), qt.Equals, 84)
}

// TestStandInReader guards against a stand-in watcher that puts its own old
// parts in use after it took a newer list from a peer, and against one that
// reads a list from a peer again as a whole.
func TestStandInReader(t *testing.T) {
	c := qt.New(t)
	r := newReading()
	r.platform.instances[0].Slots = 16
	r.platform.instances = append(r.platform.instances, rattaninventory.Instance{Name: "csepel-1", AvailabilityZone: "csepel"})
	r.inUse = rattaninventory.NewList(r.platform.instances)
	r.read()
	c.Check(r.inUse, qt.DeepEquals, rattaninventory.NewList(r.platform.instances))
	fresh := rattaninventory.NewReader()
	c.Check(fresh.Queries(start, r.inUse), qt.HasLen, 3)
}
