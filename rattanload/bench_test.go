package rattanload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partyCosts accumulates the message bytes and the processing time of one
// party.
type partyCosts struct {
	bytes   int
	elapsed time.Duration
}

// transfer encodes a message at one party and decodes it at another.
func transfer[T any](message T, from, to *partyCosts) T {
	began := time.Now()
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	encoded := time.Now()
	var decoded T
	if err := json.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	from.elapsed += encoded.Sub(began)
	to.elapsed += time.Since(encoded)
	from.bytes += len(data)
	to.bytes += len(data)
	return decoded
}

// measure adds the processing time of the work to the costs.
func measure[T any](costs *partyCosts, work func() T) T {
	began := time.Now()
	result := work()
	costs.elapsed += time.Since(began)
	return result
}

// BenchmarkExchange measures the bytes (JSON message bodies sent and received)
// and the processing time per second of a home that is not the aggregator, and
// of the aggregator for the other homes and zones. With changing demand, each
// home has 45 jobs of 30 tasks of random callers out of 220, drawn anew each
// second. Steady demand gives the lowest cost.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ zones, homes int }{{5, 1}, {1, 5}, {1, 14}, {5, 14}} {
		for _, steady := range []bool{false, true} {
			name := fmt.Sprintf("%dZonesOf%dHomes/Changing", size.zones, size.homes)
			if steady {
				name = fmt.Sprintf("%dZonesOf%dHomes/Steady", size.zones, size.homes)
			}
			b.Run(name, func(b *testing.B) { measureExchange(b, size.zones, size.homes, steady) })
		}
	}
}

// measureExchange runs one round of exchanges per second of simulated time.
func measureExchange(b *testing.B, zones, homes int, steady bool) {
	const callers, services, warmUp = 220, 4, 10
	s := newTestSystem(zones, homes)
	random := rand.New(rand.NewPCG(1, 1))
	demand := map[string]map[CallerID]int{}
	var home, aggregator partyCosts
	for second := range b.N + warmUp {
		if second == warmUp {
			home, aggregator = partyCosts{}, partyCosts{}
		}
		s.now = s.now.Add(time.Second)
		for z, zone := range s.zones {
			for h, each := range s.homes[zone] {
				if demand[each.name] == nil || !steady {
					demand[each.name] = map[CallerID]int{}
					for range 45 {
						demand[each.name][HashCaller(fmt.Sprint("caller-", random.IntN(callers)))] += 30
					}
				}
				load := Load{Demand: demand[each.name], Idle: map[string]int{}}
				for service := range services {
					load.Idle[fmt.Sprint("service-", service)] = 10 + random.IntN(60)
				}
				// Only the costs of one home and one aggregator are recorded.
				homeCosts, aggregatorCosts := &partyCosts{}, &partyCosts{}
				if z == 0 {
					aggregatorCosts = &aggregator
				}
				if z == 0 && h == 1 {
					homeCosts = &home
				}
				report := measure(homeCosts, func() Report { return each.MakeReport(s.now, s.aggregatorNames[zone], load) })
				if h > 0 {
					report = transfer(report, homeCosts, aggregatorCosts)
				}
				reply := measure(aggregatorCosts, func() Reply { return s.aggregators[zone].ApplyReport(s.now, report, s.live(zone)) })
				if h > 0 {
					reply = transfer(reply, aggregatorCosts, homeCosts)
				}
				measure(homeCosts, func() bool { return each.ApplyReply(s.now, reply) })
			}
			for _, other := range s.zones[z+1:] {
				first, second := &partyCosts{}, &partyCosts{}
				if z == 0 {
					first = &aggregator
				}
				s.measureZoneExchange(zone, other, first, second)
			}
		}
	}
	seconds := float64(b.N)
	b.ReportMetric(float64(home.bytes)/seconds, "home-B/s")
	b.ReportMetric(float64(home.elapsed.Microseconds())/seconds, "home-us/s")
	b.ReportMetric(float64(aggregator.bytes)/seconds, "aggregator-B/s")
	b.ReportMetric(float64(aggregator.elapsed.Microseconds())/seconds, "aggregator-us/s")
	b.ReportMetric(0, "ns/op")
}

// measureZoneExchange lets two zones exchange their loads.
func (s *testSystem) measureZoneExchange(a, b string, firstCosts, secondCosts *partyCosts) {
	send := func(from, to string, sender, receiver *partyCosts) {
		sent := false
		load := measure(sender, func() ZoneLoad {
			made, ok := s.aggregators[from].MakeZoneLoad(s.now, to, s.live(from))
			sent = ok
			return made
		})
		if sent {
			load = transfer(load, sender, receiver)
			measure(receiver, func() bool {
				s.aggregators[to].ApplyZoneLoad(s.now, load)
				return true
			})
		}
	}
	send(a, b, firstCosts, secondCosts)
	send(b, a, secondCosts, firstCosts)
}
