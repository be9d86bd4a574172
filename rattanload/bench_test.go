package rattanload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// costs sums up what one party sends, receives and computes.
type costs struct {
	bytes int
	took  time.Duration
}

// pass encodes a message at one party and decodes it at another.
func pass[T any](message T, from, to *costs) T {
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
	from.took += encoded.Sub(began)
	to.took += time.Since(encoded)
	from.bytes += len(data)
	to.bytes += len(data)
	return decoded
}

func timed[T any](at *costs, work func() T) T {
	began := time.Now()
	result := work()
	at.took += time.Since(began)
	return result
}

// BenchmarkExchange measures the bytes (sent and received, bodies of messages
// in JSON) and the processor time per second of a home that is not the
// aggregator and of the aggregator's part of another home. The demand of each
// of 220 callers changes each second: at each home 45 jobs of 30 tasks are in
// progress, of callers at random. Steady demand is the least cost.
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

func measureExchange(b *testing.B, zones, homes int, steady bool) {
	const callers, services, warmUp = 220, 4, 10
	e := newExchange(zones, homes)
	random := rand.New(rand.NewPCG(1, 1))
	demand := map[string]map[CallerID]int{}
	var home, aggregator costs
	for second := range b.N + warmUp {
		if second == warmUp {
			home, aggregator = costs{}, costs{}
		}
		e.now = e.now.Add(time.Second)
		for z, zone := range e.zones {
			for h, each := range e.homes[zone] {
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
				// The costs of one home and one aggregator are kept.
				own, its := &costs{}, &costs{}
				if z == 0 {
					its = &aggregator
				}
				if z == 0 && h == 1 {
					own = &home
				}
				report := timed(own, func() Report { return each.MakeReport(e.now, e.aggregator[zone], load) })
				if h > 0 {
					report = pass(report, own, its)
				}
				reply := timed(its, func() Reply { return e.aggregators[zone].ApplyReport(e.now, report, e.live(zone)) })
				if h > 0 {
					reply = pass(reply, its, own)
				}
				timed(own, func() bool { return each.ApplyReply(e.now, reply) })
			}
			for _, other := range e.zones[z+1:] {
				first, second := &costs{}, &costs{}
				if z == 0 {
					first = &aggregator
				}
				e.exchangeTimed(zone, other, first, second)
			}
		}
	}
	seconds := float64(b.N)
	b.ReportMetric(float64(home.bytes)/seconds, "home-B/s")
	b.ReportMetric(float64(home.took.Microseconds())/seconds, "home-us/s")
	b.ReportMetric(float64(aggregator.bytes)/seconds, "aggregator-B/s")
	b.ReportMetric(float64(aggregator.took.Microseconds())/seconds, "aggregator-us/s")
	b.ReportMetric(0, "ns/op")
}

// exchangeTimed lets two zones exchange.
func (e *exchange) exchangeTimed(a, b string, first, second *costs) {
	side := func(from, to string, at, other *costs) {
		sent := false
		load := timed(at, func() ZoneLoad {
			made, ok := e.aggregators[from].MakeZoneLoad(e.now, to, e.live(from))
			sent = ok
			return made
		})
		if sent {
			load = pass(load, at, other)
			timed(other, func() bool {
				e.aggregators[to].ApplyZoneLoad(e.now, load)
				return true
			})
		}
	}
	side(a, b, first, second)
	side(b, a, second, first)
}
