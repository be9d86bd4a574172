package rattanzone

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// evacuationJournal records the changes as text.
type evacuationJournal struct {
	mutex   sync.Mutex
	entries []string
}

func (j *evacuationJournal) EvacuationBegan(evacuation rattanwork.Evacuation, revision int64, source string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries = append(j.entries, fmt.Sprintf("%s since %d at %d from %s", evacuation.Zone, evacuation.Since, revision, source))
}

func (j *evacuationJournal) EvacuationEnded(zone string, revision int64, source string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries = append(j.entries, fmt.Sprintf("%s ended at %d from %s", zone, revision, source))
}

func (j *evacuationJournal) EvacuationsNotKnown(revision int64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries = append(j.entries, fmt.Sprintf("not known after %d", revision))
}

// evacuated returns a set of evacuations that began at the revision.
func evacuated(revision int64, zones ...string) rattanwork.Evacuations {
	set := rattanwork.Evacuations{Revision: revision}
	for _, zone := range zones {
		set.Zones = append(set.Zones, rattanwork.Evacuation{Zone: zone, Since: revision})
	}
	return set
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestNewerEvacuationsWin guards against an older set that brings back an evacuation
// or ends one, and against log lines for sets that change nothing.
func TestNewerEvacuationsWin(t *testing.T) {
	c := qt.New(t)
	journal := &evacuationJournal{}
	e := NewEvacuations(EvacuationsConfig{Journal: journal, Clock: time.Now})
	first := evacuated(5, "a", "b")
	e.Merge(first, "store")
	changed := e.Changed()
	e.Merge(evacuated(4), "old")
	e.Merge(rattanwork.Evacuations{Revision: 6, Zones: first.Zones}, "other")
	c.Check(e.Known(), qt.DeepEquals, rattanwork.Evacuations{Revision: 6, Zones: first.Zones})
	c.Check(isClosed(changed), qt.IsFalse)
	e.Merge(evacuated(5), "late")
	c.Check(e.Known().Revision, qt.Equals, int64(6))
	e.Merge(rattanwork.Evacuations{Revision: 9, Zones: []rattanwork.Evacuation{{Zone: "b", Since: 8}}}, "front-b-1")
	c.Check(isClosed(changed), qt.IsTrue)
	c.Check(journal.entries, qt.DeepEquals, []string{
		"a since 5 at 5 from store", "b since 5 at 5 from store",
		"a ended at 9 from front-b-1", "b ended at 9 from front-b-1", "b since 8 at 9 from front-b-1",
	})
}

// TestEvacuationStatus guards against starts by a set that is not known or that may
// have changed during a pause, and against a zone that waits for an answer for ever.
func TestEvacuationStatus(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	suspended := time.Duration(0)
	newState := func() *Evacuations {
		return NewEvacuations(EvacuationsConfig{
			Journal: &evacuationJournal{}, Suspended: func() time.Duration { return suspended }, Clock: func() time.Time { return now },
		})
	}
	e := newState()
	check := func(zone string, want rattanwork.EvacuationStatus) {
		c.Helper()
		c.Check(e.Status(zone, now), qt.Equals, want)
	}
	check("a", rattanwork.EvacuationUnknown)
	now = now.Add(maxEvacuationsUnknown - 1)
	check("a", rattanwork.EvacuationUnknown)
	now = now.Add(1)
	check("a", rattanwork.EvacuationNone)

	e = newState()
	e.Merge(evacuated(5, "a"), "store")
	check("a", rattanwork.EvacuationActive)
	check("b", rattanwork.EvacuationNone)

	e.Tick(now)
	begunBefore := e.BeginComparison()
	now = now.Add(silenceTimeout + 1)
	check("a", rattanwork.EvacuationActive)
	check("b", rattanwork.EvacuationUnknown)
	c.Check(e.sendable(now), qt.IsNil)
	e.Tick(now)
	check("b", rattanwork.EvacuationUnknown)
	e.Compared(begunBefore)
	check("b", rattanwork.EvacuationUnknown)
	changed := e.Changed()
	e.Compared(e.BeginComparison())
	check("b", rattanwork.EvacuationNone)
	c.Check(e.sendable(now), qt.IsNotNil)
	c.Check(isClosed(changed), qt.IsTrue)

	// The steady clock does not show that the machine was suspended.
	suspended = time.Hour
	check("b", rattanwork.EvacuationUnknown)
	e.Tick(now)
	now = now.Add(maxEvacuationsStale - 1)
	e.Tick(now)
	check("b", rattanwork.EvacuationUnknown)
	now = now.Add(1)
	check("b", rattanwork.EvacuationNone)
	c.Check(e.sendable(now), qt.IsNotNil)
}

// TestUnknownEvacuationsAreRecorded guards against a zone that starts work without the
// set, at the start or after a pause, and does not say so, and against saying so when
// the set became known in time.
func TestUnknownEvacuationsAreRecorded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	journal := &evacuationJournal{}
	e := NewEvacuations(EvacuationsConfig{Journal: journal, Clock: func() time.Time { return now }})
	run := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(100 * time.Millisecond) {
			e.Tick(now)
		}
	}
	run(maxEvacuationsUnknown)
	c.Check(journal.entries, qt.HasLen, 0)
	run(time.Second)
	c.Check(journal.entries, qt.DeepEquals, []string{"not known after 0"})
	e.Merge(evacuated(5), "store")
	for range 2 {
		now = now.Add(time.Second)
		run(maxEvacuationsStale + time.Second)
	}
	c.Check(journal.entries, qt.DeepEquals, []string{"not known after 0", "not known after 5", "not known after 5"})
	now = now.Add(time.Second)
	e.Tick(now)
	e.Compared(e.BeginComparison())
	run(maxEvacuationsStale + time.Second)
	c.Check(journal.entries, qt.HasLen, 3)
}

// scriptedOperator is a store whose answers a test provides one by one.
type scriptedOperator struct {
	answers chan operatorAnswer
	calls   chan string
}

type operatorAnswer struct {
	state rattanwork.OperatorState
	err   error
}

func (s *scriptedOperator) next(ctx context.Context, call string) (rattanwork.OperatorState, error) {
	select {
	case s.calls <- call:
	case <-ctx.Done():
		return rattanwork.OperatorState{}, ctx.Err()
	}
	select {
	case answer := <-s.answers:
		return answer.state, answer.err
	case <-ctx.Done():
		return rattanwork.OperatorState{}, ctx.Err()
	}
}

func (s *scriptedOperator) Current(ctx context.Context) (rattanwork.OperatorState, error) {
	return s.next(ctx, "read")
}

func (s *scriptedOperator) WaitForChange(ctx context.Context, known rattanwork.OperatorState, _ time.Duration) (rattanwork.OperatorState, error) {
	return s.next(ctx, fmt.Sprintf("watch from %d with %v", known.Revision, known.Evacuations.Zones))
}

// TestWatcherKeepsNewerEvacuations guards against a watch that brings back what is
// older than a set of another instance, against changes that are applied to that set
// instead of the one that was read, and against a failure after which changes are
// missed.
func TestWatcherKeepsNewerEvacuations(t *testing.T) {
	c := qt.New(t)
	source := &scriptedOperator{answers: make(chan operatorAnswer), calls: make(chan string)}
	e := NewEvacuations(EvacuationsConfig{Journal: &evacuationJournal{}, Clock: time.Now})
	w := NewDesiredStateWatcher(DesiredStateConfig{Source: source, Parse: parseVersion, Journal: &recordingJournal{}, Evacuations: e, Clock: time.Now})
	start(c, w)
	answer := func(call string, set rattanwork.Evacuations, err error) {
		c.Helper()
		c.Check(<-source.calls, qt.Equals, call)
		source.answers <- operatorAnswer{rattanwork.OperatorState{Revision: set.Revision, Evacuations: set}, err}
	}
	answer("read", evacuated(5, "a"), nil)
	c.Check(<-source.calls, qt.Equals, "watch from 5 with [{a 5}]")
	e.Merge(evacuated(20), "front-b-1")
	source.answers <- operatorAnswer{state: rattanwork.OperatorState{Revision: 15, Evacuations: evacuated(15, "a", "b")}}
	answer("watch from 15 with [{a 15} {b 15}]", evacuated(16, "c"), nil)
	c.Check(<-source.calls, qt.Equals, "watch from 16 with [{c 16}]")
	c.Check(e.Known(), qt.DeepEquals, evacuated(20))
	source.answers <- operatorAnswer{state: rattanwork.OperatorState{Revision: 21, Evacuations: evacuated(21, "d")}}
	answer("watch from 21 with [{d 21}]", rattanwork.Evacuations{}, errors.ConstError("away"))
	c.Check(<-source.calls, qt.Equals, "read")
	c.Check(e.Known(), qt.DeepEquals, evacuated(21, "d"))
	// A store that has lost changes is read again.
	source.answers <- operatorAnswer{state: rattanwork.OperatorState{Revision: 30, Evacuations: evacuated(30)}}
	c.Check(<-source.calls, qt.Equals, "watch from 30 with []")
	e.freshness.tick(time.Now().Add(-time.Minute))
	e.freshness.tick(time.Now().Add(-30 * time.Second))
	c.Check(e.freshness.current(time.Now().Add(-30*time.Second)), qt.IsFalse)
	source.answers <- operatorAnswer{state: rattanwork.OperatorState{Revision: 25, Evacuations: evacuated(25, "e")}}
	c.Check(<-source.calls, qt.Equals, "read")
	c.Check(e.Known(), qt.DeepEquals, evacuated(30))
	c.Check(e.freshness.current(time.Now().Add(-30*time.Second)), qt.IsFalse, qt.Commentf("compared with changes to a set that the store does not have"))
	source.answers <- operatorAnswer{state: rattanwork.OperatorState{Revision: 25, Evacuations: evacuated(25, "e")}}
	c.Check(<-source.calls, qt.Equals, "watch from 25 with [{e 25}]")
	c.Check(e.freshness.current(time.Now().Add(-30*time.Second)), qt.IsTrue)
}

// TestTransferLeavesNoGapInEvacuations guards against a watch that continues after
// the revision of a desired state from another instance, and misses evacuations that
// changed before it.
func TestTransferLeavesNoGapInEvacuations(t *testing.T) {
	tests := map[string]struct {
		known        rattanwork.Evacuations
		behind       bool
		wantRevision int64
		wantSet      rattanwork.Evacuations
	}{
		"set as of the transfer": {known: evacuated(9, "b"), wantRevision: 7, wantSet: evacuated(9, "b")},
		"older set":              {known: evacuated(6, "b"), wantRevision: 6, wantSet: evacuated(6, "b")},
		"no newer set":           {known: evacuated(5, "a"), wantRevision: 5, wantSet: evacuated(5, "a")},
		"store behind":           {known: evacuated(9, "b"), behind: true, wantRevision: 5, wantSet: evacuated(5, "a")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := NewEvacuations(EvacuationsConfig{Journal: &evacuationJournal{}, Clock: time.Now})
			w := NewDesiredStateWatcher(DesiredStateConfig{Evacuations: e, Clock: time.Now})
			w.revision, w.evacuations, w.behind = 5, evacuated(5, "a"), test.behind
			e.Merge(test.known, "other")
			w.continueFrom(7)
			c.Check(w.revision, qt.Equals, test.wantRevision)
			c.Check(w.evacuations, qt.DeepEquals, test.wantSet)
		})
	}
}

// linkedPeers carries the calls of an agent to another one.
type linkedPeers struct {
	noPeers
	other *Agent
}

func (p *linkedPeers) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	if method != methodHeartbeat || p.other == nil {
		return nil, rattanpeer.ErrUnreachable
	}
	return p.other.handleHeartbeat(ctx, "sender", body)
}

// newEvacuationAgent returns an agent whose calls go to another one, if that is not
// nil.
func newEvacuationAgent(name, zone string, evacuations *Evacuations, other *Agent, clock func() time.Time) *Agent {
	return New(Config{
		Self: rattanwork.Member{Name: name, Zone: zone, Address: "127.0.0.1:1"}, Seeds: func() []string { return nil }, Peers: &linkedPeers{other: other}, Journal: quietJournal{},
		DesiredState: NewDesiredStateWatcher(DesiredStateConfig{Clock: clock}), Evacuations: evacuations, Inventory: NewInventory(nil), Clock: clock,
	})
}

// TestHeartbeatCarriesEvacuations guards against an instance that cannot reach the
// store and does not learn the evacuations from another one, in either direction, and
// that does not count this as a comparison after a pause.
func TestHeartbeatCarriesEvacuations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	newState := func() *Evacuations {
		return NewEvacuations(EvacuationsConfig{Journal: &evacuationJournal{}, Clock: clock})
	}
	one, two := newState(), newState()
	answering := newEvacuationAgent("two", "a", two, nil, clock)
	sending := newEvacuationAgent("one", "a", one, answering, clock)
	two.Merge(evacuated(7, "a"), "store")
	c.Assert(sending.sendHeartbeat("two"), qt.IsNil)
	c.Check(one.Status("a", now), qt.Equals, rattanwork.EvacuationActive)
	one.Merge(evacuated(8, "b"), "store")
	c.Assert(sending.sendHeartbeat("two"), qt.IsNil)
	c.Check(two.Known(), qt.DeepEquals, evacuated(8, "b"))

	sending.noticePause(now)
	now = now.Add(2 * silenceTimeout)
	sending.noticePause(now)
	// An instance that was paused as well cannot tell what has changed.
	answering.noticePause(now.Add(-2 * silenceTimeout))
	answering.noticePause(now)
	c.Assert(sending.sendHeartbeat("two"), qt.IsNil)
	c.Check(one.Status("a", now), qt.Equals, rattanwork.EvacuationUnknown)
	two.Compared(two.BeginComparison())
	c.Assert(sending.sendHeartbeat("two"), qt.IsNil)
	c.Check(one.Status("a", now), qt.Equals, rattanwork.EvacuationNone)
}

// TestUnusedEvacuationsAreNotSent guards against another form of the heartbeats of
// instances that do not use evacuations, and against belief in a set that they get.
func TestUnusedEvacuationsAreNotSent(t *testing.T) {
	c := qt.New(t)
	agent := newEvacuationAgent("one", "a", nil, nil, time.Now)
	c.Check(strings.Contains(string(mustMarshal(agent.view())), "Evacuat"), qt.IsFalse)
	reply, err := agent.handleHeartbeat(context.Background(), "other", []byte(`{"Sender":{"Name":"other","Zone":"b"},"Evacuations":{"Revision":5,"Zones":[{"Zone":"a","Since":5}]}}`))
	c.Assert(err, qt.IsNil)
	c.Check(string(reply), qt.Not(qt.Contains), "Evacuat")
	load, err := json.Marshal(rattanhome.Load{})
	c.Assert(err, qt.IsNil)
	c.Check(string(load), qt.Not(qt.Contains), "Evacuat")
}

// TestMalformedEvacuationsAreIgnored guards against belief in a set that no instance
// sends, and against ignoring the rest of its heartbeat.
func TestMalformedEvacuationsAreIgnored(t *testing.T) {
	c := qt.New(t)
	many := make([]string, maxEvacuations+1)
	for i := range many {
		many[i] = fmt.Sprintf("%04d", i)
	}
	sets := map[string]rattanwork.Evacuations{
		"no revision":       {Zones: evacuated(5, "a").Zones},
		"negative revision": {Revision: -5},
		"large revision":    {Revision: math.MaxInt64},
		"zone without name": evacuated(5, ""),
		"zone twice":        evacuated(5, "a", "a"),
		"not sorted":        evacuated(5, "b", "a"),
		"long name":         evacuated(5, strings.Repeat("z", maxZoneLength+1)),
		"too many zones":    evacuated(5, many...),
		"no begin":          {Revision: 5, Zones: []rattanwork.Evacuation{{Zone: "a"}}},
	}
	for name, set := range sets {
		view, err := decodeView(mustMarshal(View{Sender: rattanwork.Member{Name: "other", Zone: "b"}, DesiredVersion: 3, Evacuations: &set}))
		c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
		c.Check(view.Evacuations, qt.IsNil, qt.Commentf("%s", name))
		c.Check(view.DesiredVersion, qt.Equals, int64(3))
	}
	set := evacuated(5, "a", "b")
	view, err := decodeView(mustMarshal(View{Sender: rattanwork.Member{Name: "other", Zone: "b"}, Evacuations: &set}))
	c.Assert(err, qt.IsNil)
	c.Check(*view.Evacuations, qt.DeepEquals, set)
}

// TestEvacuatedZonesGetNoJobs guards against redirecting jobs to a zone that this
// instance or the home of that zone knows to be evacuated.
func TestEvacuatedZonesGetNoJobs(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	e := NewEvacuations(EvacuationsConfig{Journal: &evacuationJournal{}, Clock: clock})
	agent := newEvacuationAgent("self", "a", e, nil, clock)
	claims := []Claim{}
	for _, zone := range []string{"b", "c", "d"} {
		claims = append(claims, Claim{Zone: zone, Name: "front-" + zone, FencingToken: 5, Load: rattanhome.Load{FreeMilliCPU: 1000, Evacuated: zone == "c"}})
	}
	set := evacuated(5, "d")
	agent.merge(&View{Sender: rattanwork.Member{Name: "front-b", Zone: "b"}, Claims: claims, Evacuations: &set})
	c.Check(agent.remoteCapacity(now), qt.DeepEquals, []rattanscheduler.RemoteZone{{Zone: "b", FreeMilliCPU: 1000, ReportedAt: now}})
}

// TestLongZoneNameIsNotSent guards against instances that ignore all evacuations of a
// heartbeat, and so do not learn them without the store, because an operator has written a
// key with a name that no zone has.
func TestLongZoneNameIsNotSent(t *testing.T) {
	c := qt.New(t)
	state := NewEvacuations(EvacuationsConfig{Journal: &evacuationJournal{}, Clock: time.Now})
	state.Merge(evacuated(5, "a", "b"+strings.Repeat("z", maxZoneLength), "c"), storeSource)
	view, err := decodeView(mustMarshal(View{Sender: rattanwork.Member{Name: "other", Zone: "b"}, Evacuations: state.sendable(time.Now())}))
	c.Assert(err, qt.IsNil)
	c.Assert(view.Evacuations, qt.IsNotNil)
	c.Check(*view.Evacuations, qt.DeepEquals, evacuated(5, "a", "c"))
	c.Check(state.Known().Zones, qt.HasLen, 3)
}
