package rattaninventory_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattaninventory"
)

var startTime = time.Unix(1_000, 0)

// randomList returns a list of some of six instances, so that lists overlap.
func randomList(t *rapid.T) rattaninventory.List {
	var instances []rattaninventory.Instance
	for i := range 6 {
		if rapid.Bool().Draw(t, "Listed") {
			instances = append(instances, rattaninventory.Instance{
				Name:  fmt.Sprintf("t-%d", i),
				Slots: rapid.IntRange(1, 2).Draw(t, "Slots"),
				State: rattaninventory.State(rapid.IntRange(0, 1).Draw(t, "State")),
			})
		}
	}
	return rattaninventory.NewList(rapid.Permutation(instances).Draw(t, "Order"))
}

// reencode returns the difference after a JSON round trip.
func reencode(difference rattaninventory.Difference) (decoded rattaninventory.Difference, err error) {
	data, err := json.Marshal(difference)
	if err == nil {
		err = json.Unmarshal(data, &decoded)
	}
	return decoded, err
}

// TestDifferencesLeadToList guards against a difference that does not result in
// the sender's list: over any sequence of lists, from any earlier list whether
// it is remembered or not, and when an earlier list returns.
func TestDifferencesLeadToList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := rattaninventory.History{MaxDifferences: rapid.IntRange(1, 4).Draw(t, "Limit")}
		earlier := []rattaninventory.List{{}}
		for i := range rapid.IntRange(1, 8).Draw(t, "Lists") {
			list := randomList(t)
			at := startTime.Add(time.Duration(i) * time.Second)
			sender.Install(at, list, at)
			earlier = append(earlier, list)
			for _, old := range earlier {
				difference, err := reencode(sender.DifferenceSince(old.Hash))
				if err != nil {
					t.Fatal(err)
				}
				got, err := rattaninventory.Apply(old, difference)
				if err != nil {
					t.Fatal(err)
				}
				if !slices.Equal(got.Instances, list.Instances) {
					t.Fatalf("%v, want %v", got, list)
				}
			}
		}
	})
}

// TestForgottenList guards against a wrong difference for a peer whose list the
// sender no longer remembers, and against unbounded memory use.
func TestForgottenList(t *testing.T) {
	c := qt.New(t)
	sender := rattaninventory.History{}
	base := make([]rattaninventory.Instance, 1_000)
	for i := range base {
		base[i] = rattaninventory.Instance{Name: fmt.Sprintf("t-%04d", i)}
	}
	var lists []rattaninventory.List
	for i := range rattaninventory.DefaultMaxDifferences + 2 {
		base[i].Slots = 8
		lists = append(lists, rattaninventory.NewList(base))
		at := startTime.Add(time.Duration(i) * time.Second)
		sender.Install(at, lists[i], at)
	}
	c.Check(sender.DifferenceSince(lists[0].Hash).From, qt.Equals, uint64(0))
	remembered := sender.DifferenceSince(lists[1].Hash)
	c.Check(remembered.From, qt.Equals, lists[1].Hash)
	c.Check(remembered.Changed, qt.HasLen, rattaninventory.DefaultMaxDifferences)
	c.Check(sender.DifferenceSince(12_345).From, qt.Equals, uint64(0))
}

// TestInvalidDifferences guards against a list that no sender has, caused by a
// corrupted difference or by one that applies to another list because replies
// were lost or reordered.
func TestInvalidDifferences(t *testing.T) {
	first := rattaninventory.NewList([]rattaninventory.Instance{{Name: "a"}, {Name: "b", Slots: 8}})
	second := rattaninventory.NewList([]rattaninventory.Instance{{Name: "b", Slots: 8}, {Name: "c", Slots: 8}})
	for _, test := range []struct {
		name   string
		old    rattaninventory.List
		change func(*rattaninventory.Difference)
		want   error
	}{
		{"sound", first, func(*rattaninventory.Difference) {}, nil},
		{"other list in use", second, func(*rattaninventory.Difference) {}, rattaninventory.ErrWrongBase},
		{"no list in use", rattaninventory.List{}, func(*rattaninventory.Difference) {}, rattaninventory.ErrWrongBase},
		{"changed field", first, func(d *rattaninventory.Difference) { d.Changed[0].Slots = 9 }, rattaninventory.ErrCorrupt},
		{"lost removal", first, func(d *rattaninventory.Difference) { d.Removed = nil }, rattaninventory.ErrCorrupt},
		{"removal of another", first, func(d *rattaninventory.Difference) { d.Removed[0] = "b" }, rattaninventory.ErrCorrupt},
		{"duplicate name", first, func(d *rattaninventory.Difference) { d.Changed = append(d.Changed, d.Changed[0]) }, rattaninventory.ErrCorrupt},
		{"other hash", first, func(d *rattaninventory.Difference) { d.To++ }, rattaninventory.ErrCorrupt},
		{"reply without a list", first, func(d *rattaninventory.Difference) { *d = rattaninventory.Difference{} }, rattaninventory.ErrCorrupt},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			difference := rattaninventory.NewDifference(first, second)
			test.change(&difference)
			got, err := rattaninventory.Apply(test.old, difference)
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, second)
		})
	}
}

// TestOlderListIgnored guards against an older list that replaces a newer one:
// from a reply that was delayed or overtaken, from a second watcher that read
// earlier, and from a peer with a wrong clock or age.
func TestOlderListIgnored(t *testing.T) {
	c := qt.New(t)
	first := rattaninventory.NewList([]rattaninventory.Instance{{Name: "a"}})
	second := rattaninventory.NewList([]rattaninventory.Instance{{Name: "b"}})
	at := func(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }
	var history rattaninventory.History
	install := func(now int, list rattaninventory.List, readAt time.Time) bool {
		installed, _ := history.Install(at(now), list, readAt)
		return installed
	}
	c.Check(install(10, second, at(10)), qt.IsTrue)
	c.Check(install(11, first, at(9)), qt.IsFalse, qt.Commentf("the other watcher read earlier"))
	c.Check(install(11, first, at(10)), qt.IsFalse, qt.Commentf("as old as the list in use"))
	// The reply was sent with an age of 1 s, took 3 s, and arrives at 13.
	c.Check(install(13, first, rattaninventory.ReadTimeFromAge(at(10), time.Second)), qt.IsFalse)
	c.Check(history.ShouldPull(at(13), rattaninventory.Version{Hash: first.Hash, ReadAt: at(9)}), qt.IsFalse)
	c.Check(history.ShouldPull(at(13), rattaninventory.Version{Hash: second.Hash, ReadAt: at(12)}), qt.IsFalse)
	c.Check(history.Version().ReadAt, qt.Equals, at(12), qt.Commentf("confirmed by a peer"))
	c.Check(history.ShouldPull(at(13), rattaninventory.Version{Hash: first.Hash, ReadAt: at(13)}), qt.IsTrue)
	// A peer reports a time in the future; the next list that is read must still
	// be installed.
	c.Check(install(14, first, rattaninventory.ReadTimeFromAge(at(14), -time.Hour)), qt.IsTrue)
	c.Check(history.ShouldPull(at(15), rattaninventory.Version{Hash: first.Hash, ReadAt: at(999)}), qt.IsFalse)
	c.Check(install(16, second, at(16)), qt.IsTrue)
}

// TestHashCoversFields guards against two lists with the same hash.
func TestHashCoversFields(t *testing.T) {
	c := qt.New(t)
	seen := map[uint64]string{}
	for _, instance := range []rattaninventory.Instance{
		{},
		{Name: "x"},
		{Address: "x"},
		{PeerAddress: "x"},
		{AvailabilityZone: "x"},
		{Rack: "x"},
		{Service: "x"},
		{Role: rattaninventory.RoleTarget},
		{Slots: 1},
		{Cores: 1},
		{MemoryMB: 1},
		{Accelerators: 1},
		{State: rattaninventory.StateLeaving},
	} {
		hash := rattaninventory.NewList([]rattaninventory.Instance{instance}).Hash
		c.Check(seen[hash], qt.Equals, "", qt.Commentf("%+v", instance))
		seen[hash] = fmt.Sprintf("%+v", instance)
	}
	c.Check(seen, qt.HasLen, 13)
}
