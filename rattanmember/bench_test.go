package rattanmember

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// calm is a fleet without faults or delays for measurements. Nine members are in
// three availability zones and larger fleets in five, with one home in each.
type calm struct {
	now    time.Time
	tables []*Table
	byName map[string]*Table
	// count is called for each message if it is set.
	count func(sender, receiver *Table, message any)
}

func newCalm(size int) *calm {
	zones := 5
	if size < 10 {
		zones = 3
	}
	c := &calm{now: time.Unix(1_000, 0), byName: map[string]*Table{}}
	for i := range size {
		self := testMember(i, fmt.Sprintf("zone-%d", i%zones))
		seeds := []Member{testMember(0, "zone-0"), testMember(1, "zone-1")}
		table := New(c.now, Config{Self: self, Seeds: seeds, Pools: 1, Random: rand.New(rand.NewPCG(1, uint64(i)))})
		c.tables = append(c.tables, table)
		c.byName[self.Incarnation.Instance] = table
	}
	return c
}

// second runs ten calls of every member.
func (c *calm) second() {
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		for _, table := range c.tables {
			table.UpdateEpochs(c.now)
			for _, out := range table.Heartbeats(c.now) {
				receiver := c.byName[out.To.Incarnation.Instance]
				reply := receiver.HandleHeartbeat(c.now, out.Heartbeat)
				table.HandleAcknowledgement(c.now, c.now, reply)
				if c.count != nil {
					c.count(table, receiver, out.Heartbeat)
					c.count(receiver, table, reply)
				}
			}
		}
	}
}

// traffic returns the messages, and the bytes that they have as JSON, that a
// member sends and receives in a second: the mean and the maximum.
func (c *calm) traffic(seconds, payload int) (messages, mean, maximum float64, largest int) {
	bytes := map[*Table]int{}
	total, count := 0, 0
	for _, table := range c.tables {
		table.SetPayload(make([]byte, payload))
	}
	c.count = func(sender, receiver *Table, message any) {
		data, err := json.Marshal(message)
		if err != nil {
			panic(err)
		}
		count++
		total += 2 * len(data)
		bytes[sender] += len(data)
		bytes[receiver] += len(data)
		largest = max(largest, len(data))
	}
	for range seconds {
		c.second()
	}
	c.count = nil
	for _, sum := range bytes {
		maximum = max(maximum, float64(sum)/float64(seconds))
	}
	members := float64(len(c.tables) * seconds)
	return float64(count) / members, float64(total) / members, maximum, largest
}

// BenchmarkFleet measures the cost of a member in a calm fleet, and in one where
// one member restarts per second, which is 60 times the churn of the whole
// system at the size of two years.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{9, 30, 100, 300} {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/churn=%v", size, churn), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := newCalm(size)
				for range 60 {
					c.second()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				random := rand.New(rand.NewPCG(2, 2))
				seconds := 0
				for b.Loop() {
					if churn {
						c.restart(random.IntN(size))
					}
					c.second()
					seconds++
				}
				elapsed := b.Elapsed()
				if churn {
					c.restart(random.IntN(size))
				}
				messages, mean, maximum, largest := c.traffic(10, 0)
				_, _, loaded, _ := c.traffic(10, DefaultMaxPayload)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heap-B/member")
				b.ReportMetric(float64(elapsed.Nanoseconds())/float64(seconds*size), "ns/member-s")
				b.ReportMetric(messages, "messages/member-s")
				b.ReportMetric(mean, "B/member-s")
				b.ReportMetric(maximum, "max-B/member-s")
				b.ReportMetric(float64(largest), "largest-B")
				b.ReportMetric(loaded, "max-B/member-s-with-payload")
				runtime.KeepAlive(c)
			})
		}
	}
}

// restart replaces a member by its next incarnation.
func (c *calm) restart(index int) {
	config := c.tables[index].config
	config.Self.Incarnation.Number += 1_000
	table := New(c.now, config)
	c.tables[index] = table
	c.byName[config.Self.Incarnation.Instance] = table
}

// BenchmarkHeartbeat measures one heartbeat of a home with its reply.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			c := newCalm(size)
			for range 60 {
				c.second()
			}
			owner, _ := c.tables[0].Owner(c.now, "zone-0", 0)
			home := c.byName[owner.Incarnation.Instance]
			witness := c.byName[home.epochs[len(home.epochs)-1].witnesses[0].Instance]
			b.ReportAllocs()
			for b.Loop() {
				out := home.heartbeat(c.now, witness.self, 0)
				home.HandleAcknowledgement(c.now, c.now, witness.HandleHeartbeat(c.now, out.Heartbeat))
			}
		})
	}
}

// BenchmarkEpochValid measures the check before every start and every answer.
func BenchmarkEpochValid(b *testing.B) {
	now := time.Unix(1_000, 0)
	home, _, epoch := pair(now, func(*Config) {})
	b.ReportAllocs()
	for b.Loop() {
		if !home.EpochValid(now, epoch.ID) {
			b.Fatal("not valid")
		}
	}
}
