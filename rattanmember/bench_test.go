package rattanmember

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// steadyCluster is a cluster without faults or delays, for measurements. Up to
// nine members are spread over three availability zones and more members over
// five, with one home in each.
type steadyCluster struct {
	now    time.Time
	tables []*Table
	byName map[string]*Table
	// onMessage is called for each message if it is set.
	onMessage func(sender, receiver *Table, message any)
}

func newSteadyCluster(size int) *steadyCluster {
	zones := 5
	if size < 10 {
		zones = 3
	}
	c := &steadyCluster{now: time.Unix(1_000, 0), byName: map[string]*Table{}}
	for i := range size {
		self := testMember(i, fmt.Sprintf("zone-%d", i%zones))
		seeds := []Member{testMember(0, "zone-0"), testMember(1, "zone-1")}
		table := New(c.now, Config{Self: self, Seeds: seeds, Pools: 1, Random: rand.New(rand.NewPCG(1, uint64(i)))})
		c.tables = append(c.tables, table)
		c.byName[self.Incarnation.Instance] = table
	}
	return c
}

// runSecond simulates one second with ten calls of every member.
func (c *steadyCluster) runSecond() {
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		for _, table := range c.tables {
			table.UpdateEpochs(c.now)
			for _, out := range table.Heartbeats(c.now) {
				receiver := c.byName[out.To.Incarnation.Instance]
				reply := receiver.HandleHeartbeat(c.now, out.Heartbeat)
				table.HandleAcknowledgement(c.now, c.now, reply)
				if c.onMessage != nil {
					c.onMessage(table, receiver, out.Heartbeat)
					c.onMessage(receiver, table, reply)
				}
			}
		}
	}
}

// traffic returns the messages per member and second, the mean and the maximum
// of the JSON bytes that a member sends and receives per second, and the size
// of the largest message.
func (c *steadyCluster) traffic(seconds, payload int) (messages, mean, maximum float64, largest int) {
	bytes := map[*Table]int{}
	total, count := 0, 0
	for _, table := range c.tables {
		table.SetPayload(make([]byte, payload))
	}
	c.onMessage = func(sender, receiver *Table, message any) {
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
		c.runSecond()
	}
	c.onMessage = nil
	for _, sum := range bytes {
		maximum = max(maximum, float64(sum)/float64(seconds))
	}
	members := float64(len(c.tables) * seconds)
	return float64(count) / members, float64(total) / members, maximum, largest
}

// BenchmarkCluster measures the cost per member in a steady cluster, and in one
// where one member restarts per second, which is 60 times the churn of the
// whole system at the size expected in two years.
func BenchmarkCluster(b *testing.B) {
	for _, size := range []int{9, 30, 100, 300} {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/churn=%v", size, churn), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := newSteadyCluster(size)
				for range 60 {
					c.runSecond()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				random := rand.New(rand.NewPCG(2, 2))
				seconds := 0
				for b.Loop() {
					if churn {
						c.restart(random.IntN(size))
					}
					c.runSecond()
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
func (c *steadyCluster) restart(index int) {
	config := c.tables[index].config
	config.Self.Incarnation.Number += 1_000
	table := New(c.now, config)
	c.tables[index] = table
	c.byName[config.Self.Incarnation.Instance] = table
}

// BenchmarkHeartbeat measures one heartbeat of a home and its reply.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			c := newSteadyCluster(size)
			for range 60 {
				c.runSecond()
			}
			owner, _ := c.tables[0].Owner(c.now, "zone-0", 0)
			home := c.byName[owner.Incarnation.Instance]
			witness := c.byName[home.epochs[len(home.epochs)-1].witnesses[0].Instance]
			b.ReportAllocs()
			for b.Loop() {
				out := home.newHeartbeat(c.now, witness.self, 0)
				home.HandleAcknowledgement(c.now, c.now, witness.HandleHeartbeat(c.now, out.Heartbeat))
			}
		})
	}
}

// BenchmarkEpochValid measures the check that precedes every start and every
// answer.
func BenchmarkEpochValid(b *testing.B) {
	now := time.Unix(1_000, 0)
	home, _, epoch := homeWithWitnesses(now, func(*Config) {})
	b.ReportAllocs()
	for b.Loop() {
		if !home.EpochValid(now, epoch.ID) {
			b.Fatal("not valid")
		}
	}
}
