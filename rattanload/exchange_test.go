package rattanload

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const testCaller = CallerID(7)

// exchange is a system of homes in several zones whose messages are delivered
// late, out of order or never, but each pair exchanges at least every 3 s.
type exchange struct {
	now         time.Time
	zones       []string
	homes       map[string][]*homeUnderTest
	aggregators map[string]*Aggregator
	aggregator  map[string]string
	// exchanged is when a pair last exchanged without a loss.
	exchanged map[string]time.Time
	queue     []func()
	nonce     uint32
	joined    int
	lose      func() bool
	delay     func() bool
}

type homeUnderTest struct {
	*Home
	name   string
	demand int
}

func newExchange(zones, homes int) *exchange {
	made := &exchange{
		now:         start,
		homes:       map[string][]*homeUnderTest{},
		aggregators: map[string]*Aggregator{},
		aggregator:  map[string]string{},
		exchanged:   map[string]time.Time{},
		lose:        func() bool { return false },
		delay:       func() bool { return false },
	}
	for z := range zones {
		name := fmt.Sprintf("zone-%d", z)
		made.zones = append(made.zones, name)
		for range homes {
			made.join(name)
		}
		made.elect(name)
	}
	return made
}

// join adds a home to the zone.
func (e *exchange) join(zone string) {
	e.joined++
	instance := fmt.Sprintf("%s-%d", zone, e.joined)
	e.homes[zone] = append(e.homes[zone], &homeUnderTest{Home: NewHome(instance, 0), name: instance})
}

// elect makes the first home of the zone its aggregator.
func (e *exchange) elect(zone string) {
	e.nonce++
	first := e.homes[zone][0]
	e.aggregator[zone] = first.name
	e.aggregators[zone] = NewAggregator(e.now, zone, first.Term(), e.nonce)
}

func (e *exchange) live(zone string) Membership {
	var live Membership
	for _, home := range e.homes[zone] {
		live.Homes = append(live.Homes, home.name)
	}
	for _, name := range e.zones {
		if name != zone {
			live.Zones = append(live.Zones, name)
		}
	}
	return live
}

// call delivers a request and its reply, each in the real encoding, unless one
// of them is lost; a delayed one is delivered among later messages.
func (e *exchange) call(pair string, request, reply func()) {
	if _, known := e.exchanged[pair]; !known {
		e.exchanged[pair] = e.now
	}
	if e.now.Sub(e.exchanged[pair]) >= 3*time.Second {
		e.exchanged[pair] = e.now
		request()
		reply()
		return
	}
	if e.lose() {
		return
	}
	e.later(func() {
		request()
		if !e.lose() {
			e.later(reply)
		}
	})
}

func (e *exchange) later(message func()) {
	if e.delay() {
		e.queue = append(e.queue, message)
		return
	}
	message()
}

func (e *exchange) report(zone string, home *homeUnderTest) {
	report := reencode(home.MakeReport(e.now, e.aggregator[zone], Load{Demand: map[CallerID]int{testCaller: home.demand}}))
	aggregator := e.aggregators[zone]
	var reply Reply
	pair := home.name + ">" + e.aggregator[zone]
	e.call(pair, func() { reply = aggregator.ApplyReport(e.now, report, e.live(zone)) }, func() {
		home.ApplyReply(e.now, reencode(reply))
		if reply.Resend && e.aggregators[zone] == aggregator {
			// A home answers at once, so this takes no further interval.
			e.exchanged[pair] = time.Time{}
			e.report(zone, home)
		}
	})
}

func (e *exchange) exchange(a, b string) {
	first, second := e.aggregators[a], e.aggregators[b]
	sent, ok := first.MakeZoneLoad(e.now, b, e.live(a))
	if !ok {
		return
	}
	sent = reencode(sent)
	var reply ZoneLoad
	replied := false
	e.call(e.aggregator[a]+">"+e.aggregator[b], func() {
		second.ApplyZoneLoad(e.now, sent)
		reply, replied = second.MakeZoneLoad(e.now, a, e.live(b))
		reply = reencode(reply)
	}, func() {
		if replied {
			first.ApplyZoneLoad(e.now, reply)
		}
	})
}

// round lets all parts exchange once and a second pass.
func (e *exchange) round() {
	for i, zone := range e.zones {
		for _, home := range e.homes[zone] {
			e.report(zone, home)
			e.now = e.now.Add(time.Second / time.Duration(len(e.zones)*len(e.homes[zone])))
		}
		for _, other := range e.zones[i+1:] {
			e.exchange(zone, other)
		}
	}
}

func (e *exchange) ready() bool {
	for _, aggregator := range e.aggregators {
		if !aggregator.ready {
			return false
		}
	}
	return true
}

func (e *exchange) parts(quota int) (sum, homes int) {
	for _, zone := range e.zones {
		for _, home := range e.homes[zone] {
			sum += home.QuotaPart(e.now, testCaller, quota, 1)
			homes++
		}
	}
	return sum, homes
}

func reencode[T any](message T) T {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	var decoded T
	if err := json.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

// Guards against quotas that are exceeded while all parts are connected: with
// messages that are lost, late and reordered, aggregators that die and homes that join, the
// parts of all homes add up to at most the quota and one slot for each home.
// After that the whole quota must be in use again.
func TestPartsWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		e := newExchange(zones, rapid.IntRange(2, 4).Draw(t, "homes"))
		quota := rapid.IntRange(1, 2000).Draw(t, "quota")
		loss := rapid.IntRange(0, 50).Draw(t, "loss")
		e.lose = func() bool { return rapid.IntRange(0, 99).Draw(t, "lost") < loss }
		e.delay = func() bool { return rapid.IntRange(0, 3).Draw(t, "delayed") == 0 }
		check := func() {
			if sum, homes := e.parts(quota); sum > quota+homes {
				t.Fatalf("parts of %d homes add up to %d of %d at %v", homes, sum, quota, e.now.Sub(start))
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			zone := rapid.SampledFrom(e.zones).Draw(t, "zone")
			home := rapid.SampledFrom(e.homes[zone]).Draw(t, "home")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				home.demand = rapid.SampledFrom([]int{0, 1, 10, 100, 1000}).Draw(t, "demand")
			case 3:
				// One takeover ends before the next one begins.
				if len(e.homes[zone]) > 1 && e.ready() && rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					e.homes[zone] = e.homes[zone][1:]
					e.elect(zone)
				} else if rapid.IntRange(0, 9).Draw(t, "joins") == 0 {
					e.join(zone)
				}
			case 4, 5:
				for len(e.queue) > 0 {
					i := rapid.IntRange(0, len(e.queue)-1).Draw(t, "message")
					message := e.queue[i]
					e.queue = slices.Delete(e.queue, i, i+1)
					message()
					check()
				}
			default:
				e.round()
			}
			check()
		}
		e.lose = func() bool { return false }
		e.delay = e.lose
		for _, zone := range e.zones {
			for _, home := range e.homes[zone] {
				home.demand = 5000
			}
		}
		for range 20 {
			e.round()
			check()
		}
		if sum, homes := e.parts(quota); sum < quota-homes {
			t.Fatalf("parts of %d homes with equal demand add up to %d of %d", homes, sum, quota)
		}
	})
}

// Guards 30 s validity: a zone that is cut off has the quota to itself after
// that, and shares it again within a few exchanges when it has returned.
func TestPartitionedZoneHasQuota(t *testing.T) {
	c := qt.New(t)
	e := newExchange(2, 2)
	for _, zone := range e.zones {
		for _, home := range e.homes[zone] {
			home.demand = 100
		}
	}
	rounds := func(count int) {
		for range count {
			e.round()
		}
	}
	part := func() int { return e.homes["zone-0"][1].QuotaPart(e.now, testCaller, 400, 4) }
	rounds(10)
	c.Assert(part(), qt.Equals, 100)
	both := e.zones
	e.zones = e.zones[:1]
	rounds(25)
	c.Assert(part(), qt.Equals, 100)
	rounds(10)
	c.Assert(part(), qt.Equals, 200)
	e.zones = both
	rounds(10)
	c.Assert(part(), qt.Equals, 100)
}

// Guards against a pause of callers when an aggregator dies: the homes' parts
// must not shrink while the new one learns the loads.
func TestTakeoverKeepsParts(t *testing.T) {
	c := qt.New(t)
	e := newExchange(2, 3)
	home := e.homes["zone-0"][1]
	home.demand = 100
	for range 10 {
		e.round()
	}
	part := func() int { return home.QuotaPart(e.now, testCaller, 400, 6) }
	before := part()
	c.Assert(before > 300, qt.IsTrue)
	e.homes["zone-0"] = e.homes["zone-0"][1:]
	e.elect("zone-0")
	for range 10 {
		e.round()
		c.Assert(part() >= before, qt.IsTrue, qt.Commentf("%d before, %d after", before, part()))
	}
}
