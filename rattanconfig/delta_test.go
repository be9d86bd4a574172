package rattanconfig

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// TestChanges guards against a difference that an operator is not shown.
func TestChanges(t *testing.T) {
	c := qt.New(t)
	_, before := example(t, "listaforge")
	after := before.Clone()
	delete(after.Callers, "counter-pest")
	after.Callers["app"] = Caller{Weight: 5, Quota: 300, MaxJobs: 5000}
	after.Drains["t7"] = Drain{Reason: "fan <loud>"}
	c.Assert(Describe(Changes(before, after)), qt.Equals, `Callers.app.Weight: 4 replaced by 5
Callers.counter-pest: removed {"Weight":2,"Quota":0,"MaxJobs":500,"Retired":false}
Drains.t7: added {"Reason":"fan <loud>"}`)
	c.Assert(before.Callers, qt.HasLen, 4)
	c.Assert(Changes(before, before.Clone()), qt.HasLen, 0)
}

// TestApply guards against a document that goes back to an older revision, or
// that is put together from deltas with a gap.
func TestApply(t *testing.T) {
	c := qt.New(t)
	_, first := example(t, "listaforge")
	second := first.Clone()
	second.Revision, second.RequestID = 2, "r2"
	delete(second.Callers, "counter-pest")
	delta := Difference(first, second)

	got, err := Apply(first, delta)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, second)
	_, err = Apply(second, delta)
	c.Assert(errors.Is(err, ErrStale), qt.IsTrue)
	_, err = Apply(Document{}, delta)
	c.Assert(errors.Is(err, ErrGap), qt.IsTrue)
	between := first.Clone()
	between.Revision = 2
	_, err = Apply(between, Delta{From: 1, To: 3})
	c.Assert(errors.Is(err, ErrGap), qt.IsTrue)
	_, err = Apply(first, Delta{From: 1, To: 2, Services: map[string]*Service{"planner": nil}})
	c.Assert(errors.Is(err, ErrDocument), qt.IsTrue)

	c.Assert(Newer(second, first), qt.IsTrue)
	c.Assert(Newer(first, second), qt.IsFalse)
	c.Assert(Newer(first, first), qt.IsFalse)
}

// TestHistory guards against an instance that ends with another document than
// its peer, whichever revision it starts from and however the deltas travel.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := History{Limit: rapid.IntRange(1, 4).Draw(t, "Limit")}
		documents := []Document{{}}
		for revision := 1; revision <= 8; revision++ {
			document := documents[revision-1].Clone()
			document.Revision, document.RequestID = uint64(revision), rapid.StringMatching(`[a-zß-ž<&]{1,4}`).Draw(t, "RequestID")
			document.Callers = changeSome(t, document.Callers, Caller{Weight: float64(revision)})
			document.Drains = changeSome(t, document.Drains, Drain{Reason: document.RequestID})
			documents = append(documents, document)
			history.Install(document)
		}
		from := rapid.IntRange(0, 8).Draw(t, "From")
		delta, ok := history.DeltaSince(uint64(from))
		if ok != (from < 8) {
			t.Fatalf("delta from %d: %v", from, ok)
		}
		if !ok {
			return
		}
		got, err := Apply(documents[from], transfer(t, delta))
		if err != nil {
			t.Fatal(err)
		}
		if changes := Changes(documents[8], got); len(changes) > 0 || got.Revision != 8 || got.RequestID != documents[8].RequestID {
			t.Fatalf("from %d: %s", from, Describe(changes))
		}
		if history.Install(documents[7]) {
			t.Fatal("installed an older document")
		}
	})
}

func changeSome[T any](t *rapid.T, entries map[string]T, entry T) map[string]T {
	if entries == nil {
		entries = map[string]T{}
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "Name")
	if rapid.Bool().Draw(t, "Remove") {
		delete(entries, name)
	} else {
		entries[name] = entry
	}
	return entries
}

// transfer passes a delta through its JSON form.
func transfer(t *rapid.T, delta Delta) Delta {
	data, err := json.Marshal(delta)
	if err != nil {
		t.Fatal(err)
	}
	var received Delta
	if err := rattanjson.DecodeStrict(data, &received); err != nil {
		t.Fatal(err)
	}
	return received
}
