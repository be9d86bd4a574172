package rattancrash

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testTask = "00000000000000aa.0.0.0"
	// testLimit is the number of losses in one message.
	testLimit = 3
)

var (
	testStart = time.Unix(1_800_000_000, 0)
	first     = Incarnation{Target: "t1", StartMillis: 10}
	second    = Incarnation{Target: "t2", StartMillis: 10}
)

// TestLossIsSettledByTheNextAnswer guards against counting a target as crashed
// that was only silent, and against the reverse.
func TestLossIsSettledByTheNextAnswer(t *testing.T) {
	tests := map[string]struct {
		settle func(h *History)
		want   Losses
	}{
		"no answer":                 {func(*History) {}, Losses{Silent: 1}},
		"same incarnation":          {func(h *History) { h.Answered(first) }, Losses{}},
		"next incarnation":          {func(h *History) { h.Answered(Incarnation{Target: "t1", StartMillis: 20}) }, Losses{Crashed: 1}},
		"other target in its place": {func(h *History) { h.Replaced("t1") }, Losses{Crashed: 1}},
		"another target":            {func(h *History) { h.Answered(second) }, Losses{Silent: 1}},
		"crashed after it answered": {func(h *History) { h.Answered(first); h.Replaced("t1") }, Losses{Crashed: 1}},
		"late answer after a crash": {func(h *History) { h.Replaced("t1"); h.Answered(first) }, Losses{Crashed: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := NewHistory(testStart)
			c.Assert(h.Add(testTask, first, Silent, testStart), qt.IsTrue)
			c.Assert(h.Add(testTask, first, Silent, testStart), qt.IsFalse)
			test.settle(h)
			c.Assert(h.Of(testTask), qt.Equals, test.want)
		})
	}
}

// exchange sends all changes of one history to another, in as many messages as
// needed, and returns their number.
func exchange(from, to *History, seen int64, now time.Time) (messages int, last int64) {
	for {
		losses, last := from.Changes(seen, testLimit, now)
		if len(losses) == 0 {
			return messages, last
		}
		to.Merge(losses, now)
		seen = last
		messages++
	}
}

// TestHistoriesConverge guards against a loss, or what has become known of it,
// that does not reach another instance, and against messages without end.
func TestHistoriesConverge(t *testing.T) {
	c := qt.New(t)
	a, b := NewHistory(testStart), NewHistory(testStart.Add(time.Second))
	for i := range testLimit + 1 {
		a.Add(fmt.Sprint("task", i), first, Silent, testStart)
	}
	b.Add("task0", second, Crashed, testStart)
	messages, seenByB := exchange(a, b, 0, testStart)
	c.Assert(messages, qt.Equals, 2)
	_, seenByA := exchange(b, a, 0, testStart)
	c.Assert(a.Of("task0"), qt.Equals, Losses{Silent: 1, Crashed: 1})
	c.Assert(b.Of("task0"), qt.Equals, Losses{Silent: 1, Crashed: 1})
	a.Answered(first)
	_, seenByB = exchange(a, b, seenByB, testStart)
	c.Assert(b.Of("task0"), qt.Equals, Losses{Crashed: 1})
	_, seenByA = exchange(b, a, seenByA, testStart)
	messages, _ = exchange(a, b, seenByB, testStart)
	c.Assert(messages, qt.Equals, 0)
	messages, _ = exchange(b, a, seenByA, testStart)
	c.Assert(messages, qt.Equals, 0)
}

// TestHistoryIsBounded guards against a history that grows without end, and
// against losses that other instances bring back after they were forgotten.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	h := NewHistory(testStart)
	for i := range maxLosses + 10 {
		h.Add(fmt.Sprint("task", i), Incarnation{Target: fmt.Sprint("t", i)}, Silent, testStart)
	}
	c.Assert(h.count.Load(), qt.Equals, int64(maxLosses))
	c.Assert(h.Of("task0"), qt.Equals, Losses{})
	later := testStart.Add(retention + time.Second)
	h.Merge([]Loss{{Task: testTask, Incarnation: first, Age: retention + time.Second}}, later)
	h.Merge([]Loss{{Task: testTask, Incarnation: first, Proof: Crashed + 1}, {Task: testTask, Incarnation: first, Proof: -1}}, later)
	c.Assert(h.Of(testTask), qt.Equals, Losses{})
	h.Add(testTask, second, Silent, later)
	c.Assert(h.count.Load(), qt.Equals, int64(1))
}
