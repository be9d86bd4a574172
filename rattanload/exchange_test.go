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

// testSystem is a system of homes in several zones whose messages may be
// delayed, reordered or lost. Each pair succeeds in an exchange at least every
// 3 s. All messages pass through their JSON encoding.
type testSystem struct {
	now             time.Time
	zones           []string
	homes           map[string][]*testHome
	aggregators     map[string]*Aggregator
	aggregatorNames map[string]string
	// lastExchange is when a pair last completed an exchange without a loss.
	lastExchange map[string]time.Time
	delayed      []func()
	nonce        uint32
	homeCount    int
	loseMessage  func() bool
	delayMessage func() bool
}

// testHome is a home with its demand for slots by testCaller.
type testHome struct {
	*Home
	name   string
	demand int
}

func newTestSystem(zones, homes int) *testSystem {
	system := &testSystem{
		now:             start,
		homes:           map[string][]*testHome{},
		aggregators:     map[string]*Aggregator{},
		aggregatorNames: map[string]string{},
		lastExchange:    map[string]time.Time{},
		loseMessage:     func() bool { return false },
		delayMessage:    func() bool { return false },
	}
	for z := range zones {
		name := fmt.Sprintf("zone-%d", z)
		system.zones = append(system.zones, name)
		for range homes {
			system.addHome(name)
		}
		system.electAggregator(name)
	}
	return system
}

// addHome adds a home to the zone.
func (s *testSystem) addHome(zone string) {
	s.homeCount++
	instance := fmt.Sprintf("%s-%d", zone, s.homeCount)
	s.homes[zone] = append(s.homes[zone], &testHome{Home: NewHome(instance, 0), name: instance})
}

// electAggregator makes the first home of the zone its aggregator.
func (s *testSystem) electAggregator(zone string) {
	s.nonce++
	first := s.homes[zone][0]
	s.aggregatorNames[zone] = first.name
	s.aggregators[zone] = NewAggregator(s.now, zone, first.Term(), s.nonce)
}

func (s *testSystem) live(zone string) Membership {
	var live Membership
	for _, home := range s.homes[zone] {
		live.Homes = append(live.Homes, home.name)
	}
	for _, name := range s.zones {
		if name != zone {
			live.Zones = append(live.Zones, name)
		}
	}
	return live
}

// deliver delivers a request and its reply unless one of them is lost. A
// delayed message is delivered among later ones.
func (s *testSystem) deliver(pair string, request, reply func()) {
	if _, known := s.lastExchange[pair]; !known {
		s.lastExchange[pair] = s.now
	}
	if s.now.Sub(s.lastExchange[pair]) >= 3*time.Second {
		s.lastExchange[pair] = s.now
		request()
		reply()
		return
	}
	if s.loseMessage() {
		return
	}
	s.deliverOrDelay(func() {
		request()
		if !s.loseMessage() {
			s.deliverOrDelay(reply)
		}
	})
}

func (s *testSystem) deliverOrDelay(message func()) {
	if s.delayMessage() {
		s.delayed = append(s.delayed, message)
		return
	}
	message()
}

func (s *testSystem) sendReport(zone string, home *testHome) {
	report := reencode(home.MakeReport(s.now, s.aggregatorNames[zone], Load{Demand: map[CallerID]int{testCaller: home.demand}}))
	aggregator := s.aggregators[zone]
	var reply Reply
	pair := home.name + ">" + s.aggregatorNames[zone]
	s.deliver(pair, func() { reply = aggregator.ApplyReport(s.now, report, s.live(zone)) }, func() {
		home.ApplyReply(s.now, reencode(reply))
		if reply.Resend && s.aggregators[zone] == aggregator {
			// A home resends immediately, so this takes no further interval.
			s.lastExchange[pair] = time.Time{}
			s.sendReport(zone, home)
		}
	})
}

// exchangeZoneLoads sends the load of one zone to another and returns the
// reply.
func (s *testSystem) exchangeZoneLoads(a, b string) {
	first, second := s.aggregators[a], s.aggregators[b]
	sent, ok := first.MakeZoneLoad(s.now, b, s.live(a))
	if !ok {
		return
	}
	sent = reencode(sent)
	var reply ZoneLoad
	replied := false
	s.deliver(s.aggregatorNames[a]+">"+s.aggregatorNames[b], func() {
		second.ApplyZoneLoad(s.now, sent)
		reply, replied = second.MakeZoneLoad(s.now, a, s.live(b))
		reply = reencode(reply)
	}, func() {
		if replied {
			first.ApplyZoneLoad(s.now, reply)
		}
	})
}

// runRound lets all homes and zones exchange once and advances the clock by a
// second.
func (s *testSystem) runRound() {
	for i, zone := range s.zones {
		for _, home := range s.homes[zone] {
			s.sendReport(zone, home)
			s.now = s.now.Add(time.Second / time.Duration(len(s.zones)*len(s.homes[zone])))
		}
		for _, other := range s.zones[i+1:] {
			s.exchangeZoneLoads(zone, other)
		}
	}
}

func (s *testSystem) ready() bool {
	for _, aggregator := range s.aggregators {
		if !aggregator.ready {
			return false
		}
	}
	return true
}

// sumParts returns the sum of the parts of all homes and the number of homes.
func (s *testSystem) sumParts(quota int) (sum, homes int) {
	for _, zone := range s.zones {
		for _, home := range s.homes[zone] {
			sum += home.QuotaPart(s.now, testCaller, quota, 1)
			homes++
		}
	}
	return sum, homes
}

// reencode returns the message as the receiver decodes it.
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

// TestPartsWithinQuota guards against exceeding a quota while all homes and
// zones are connected. With messages that are lost, delayed and reordered,
// aggregators that die and homes that join, the parts of all homes must add up
// to at most the quota plus one slot per home. After the faults have ended, the
// whole quota must be in use again.
func TestPartsWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		s := newTestSystem(zones, rapid.IntRange(2, 4).Draw(t, "homes"))
		quota := rapid.IntRange(1, 2000).Draw(t, "quota")
		loss := rapid.IntRange(0, 50).Draw(t, "loss")
		s.loseMessage = func() bool { return rapid.IntRange(0, 99).Draw(t, "lost") < loss }
		s.delayMessage = func() bool { return rapid.IntRange(0, 3).Draw(t, "delayed") == 0 }
		check := func() {
			if sum, homes := s.sumParts(quota); sum > quota+homes {
				t.Fatalf("parts of %d homes add up to %d, quota %d, at %v", homes, sum, quota, s.now.Sub(start))
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			zone := rapid.SampledFrom(s.zones).Draw(t, "zone")
			home := rapid.SampledFrom(s.homes[zone]).Draw(t, "home")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				home.demand = rapid.SampledFrom([]int{0, 1, 10, 100, 1000}).Draw(t, "demand")
			case 3:
				// A takeover has to end before the next one starts.
				if len(s.homes[zone]) > 1 && s.ready() && rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					s.homes[zone] = s.homes[zone][1:]
					s.electAggregator(zone)
				} else if rapid.IntRange(0, 9).Draw(t, "joins") == 0 {
					s.addHome(zone)
				}
			case 4, 5:
				for len(s.delayed) > 0 {
					i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "message")
					message := s.delayed[i]
					s.delayed = slices.Delete(s.delayed, i, i+1)
					message()
					check()
				}
			default:
				s.runRound()
			}
			check()
		}
		s.loseMessage = func() bool { return false }
		s.delayMessage = s.loseMessage
		for _, zone := range s.zones {
			for _, home := range s.homes[zone] {
				home.demand = 5000
			}
		}
		for range 20 {
			s.runRound()
			check()
		}
		if sum, homes := s.sumParts(quota); sum < quota-homes {
			t.Fatalf("parts of %d homes with equal demand add up to only %d, quota %d", homes, sum, quota)
		}
	})
}

// TestPartitionedZoneHasQuota guards against a partitioned zone that leaves a
// part of the quota unused for good, and against changes of the parts because
// of short partitions. After 30 s, the lifetime of shares, the zone has the
// whole quota to itself, and it shares the quota again within a few exchanges
// after its return.
func TestPartitionedZoneHasQuota(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(2, 2)
	for _, zone := range s.zones {
		for _, home := range s.homes[zone] {
			home.demand = 100
		}
	}
	rounds := func(count int) {
		for range count {
			s.runRound()
		}
	}
	part := func() int { return s.homes["zone-0"][1].QuotaPart(s.now, testCaller, 400, 4) }
	rounds(10)
	c.Assert(part(), qt.Equals, 100)
	allZones := s.zones
	s.zones = s.zones[:1]
	rounds(25)
	c.Assert(part(), qt.Equals, 100)
	rounds(10)
	c.Assert(part(), qt.Equals, 200)
	s.zones = allZones
	rounds(10)
	c.Assert(part(), qt.Equals, 100)
}

// TestTakeoverKeepsParts guards against callers being held up when an
// aggregator dies: the parts of the homes must not shrink while the new
// aggregator collects the loads.
func TestTakeoverKeepsParts(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(2, 3)
	home := s.homes["zone-0"][1]
	home.demand = 100
	for range 10 {
		s.runRound()
	}
	part := func() int { return home.QuotaPart(s.now, testCaller, 400, 6) }
	before := part()
	c.Assert(before > 300, qt.IsTrue)
	s.homes["zone-0"] = s.homes["zone-0"][1:]
	s.electAggregator("zone-0")
	for range 10 {
		s.runRound()
		c.Assert(part() >= before, qt.IsTrue, qt.Commentf("%d before, %d after", before, part()))
	}
}
