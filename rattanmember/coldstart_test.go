package rattanmember

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startup is the start of a fleet: members start at different times, some are
// paused, and a member that has not started refuses connections.
type startup struct {
	now         time.Time
	random      *rand.Rand
	nodes       []*startNode
	zones       int
	opened      map[string]int
	delayed     []delayedCall
	unreachable time.Duration
	// cut reports whether messages of one node to another are lost.
	cut func(from, to *startNode) bool
	// bytes counts, if it is set, the JSON sent and received by each node.
	bytes map[string]int
}

type startNode struct {
	config   Config
	table    *Table
	startAt  time.Time
	pausedAt time.Time
	resumeAt time.Time
}

type delayedCall struct {
	at   time.Time
	call func()
}

// startCase describes the start of a fleet. Without seeds of the zone, all
// members name the first two.
type startCase struct {
	size, zones int
	seeds       int
	minDelay    time.Duration
	maxDelay    time.Duration
	pauses      bool
}

func newStartup(seed uint64, given startCase) *startup {
	s := &startup{
		now:         time.UnixMilli(1_000_000),
		random:      rand.New(rand.NewPCG(seed, 3)),
		zones:       given.zones,
		opened:      map[string]int{},
		unreachable: time.Second,
		cut:         func(*startNode, *startNode) bool { return false },
	}
	var seeds []Member
	for i := range max(2, given.seeds*given.zones) {
		seeds = append(seeds, testMember(i, s.zone(i)))
		seeds[i].Incarnation.Number = 0
	}
	for i := range given.size {
		// Processes that are started at once begin within some milliseconds.
		delay := time.Duration(s.random.IntN(50)) * time.Millisecond
		if given.maxDelay > 0 {
			delay = given.minDelay + time.Duration(s.random.Int64N(int64(given.maxDelay-given.minDelay)))
		}
		node := &startNode{startAt: s.now.Add(delay)}
		if given.pauses && s.random.IntN(5) == 0 {
			node.pausedAt = node.startAt.Add(time.Duration(s.random.IntN(3_000)) * time.Millisecond)
			node.resumeAt = node.pausedAt.Add(time.Duration(300+s.random.IntN(2_700)) * time.Millisecond)
		}
		self := testMember(i, s.zone(i))
		self.Incarnation.Number = uint64(node.startAt.UnixMilli())
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		node.config = Config{Self: self, Seeds: slices.Clone(seeds), Pools: 1, Random: random}
		s.nodes = append(s.nodes, node)
	}
	return s
}

func (s *startup) zone(index int) string { return fmt.Sprintf("zone-%d", index%s.zones) }

func (s *startup) paused(n *startNode) bool {
	return !s.now.Before(n.pausedAt) && s.now.Before(n.resumeAt)
}

// tick runs one call of every running member.
func (s *startup) tick() {
	s.now = s.now.Add(50 * time.Millisecond)
	s.delayed = slices.DeleteFunc(s.delayed, func(due delayedCall) bool {
		if s.now.Before(due.at) {
			return false
		}
		due.call()
		return true
	})
	for _, node := range s.nodes {
		if s.now.Before(node.startAt) || s.paused(node) {
			continue
		}
		if node.table == nil {
			node.table = New(s.now, node.config)
		}
		for _, event := range node.table.UpdateEpochs(s.now) {
			if event.Kind == EventEpochOpened {
				s.opened[node.config.Self.AvailabilityZone]++
			}
		}
		for _, out := range node.table.Heartbeats(s.now) {
			s.exchange(node, out)
		}
	}
}

func (s *startup) exchange(sender *startNode, out Outgoing) {
	var index int
	if _, err := fmt.Sscanf(out.To.Incarnation.Instance, "entry-%d", &index); err != nil {
		panic(err)
	}
	receiver, sent := s.nodes[index], s.now
	silent := delayedCall{s.now.Add(s.unreachable), func() {
		if s.cut(sender, receiver) || s.cut(receiver, sender) || s.paused(receiver) {
			sender.table.HandleUnreachable(s.now, out.To.Incarnation, false)
		}
	}}
	switch {
	case receiver.table == nil:
		sender.table.HandleUnreachable(s.now, out.To.Incarnation, true)
	case s.cut(sender, receiver):
		s.delayed = append(s.delayed, silent)
	case s.cut(receiver, sender):
		receiver.table.HandleHeartbeat(s.now, out.Heartbeat)
		s.delayed = append(s.delayed, silent)
	case s.paused(receiver):
		s.delayed = append(s.delayed, delayedCall{receiver.resumeAt, func() {
			reply := receiver.table.HandleHeartbeat(s.now, out.Heartbeat)
			sender.table.HandleAcknowledgement(s.now, sent, reply)
		}})
		s.delayed = append(s.delayed, silent)
	default:
		reply := receiver.table.HandleHeartbeat(s.now, out.Heartbeat)
		sender.table.HandleAcknowledgement(s.now, s.now, reply)
		s.count(sender, receiver, out.Heartbeat)
		s.count(sender, receiver, reply)
	}
}

func (s *startup) count(from, to *startNode, message any) {
	if s.bytes == nil {
		return
	}
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	s.bytes[from.config.Self.Incarnation.Instance] += len(data)
	s.bytes[to.config.Self.Incarnation.Instance] += len(data)
}

// agreed reports whether every member names the same owner with an epoch for
// each zone, and that owner holds the epoch.
func (s *startup) agreed() bool {
	for zone := range s.zones {
		var want Member
		for _, node := range s.nodes {
			if node.table == nil {
				return false
			}
			owner, found := node.table.Owner(s.now, s.zone(zone), 0)
			if !found || owner.Epoch.ID.Number == 0 || owner.Status != StatusAlive {
				return false
			}
			if want.Version != 0 && owner.Incarnation != want.Incarnation {
				return false
			}
			want = owner
		}
		holds := func(n *startNode) bool {
			return n.config.Self.Incarnation == want.Incarnation && n.table.inPhase(phaseCurrent) != nil
		}
		if !slices.ContainsFunc(s.nodes, holds) {
			return false
		}
	}
	return true
}

// run returns the epochs opened in each zone within a minute, the time until
// some member of every zone had an epoch, and the time from which all agreed
// throughout.
func (s *startup) run() (perPool float64, worst int, served, agreed time.Duration) {
	began := s.now
	for s.now.Before(began.Add(time.Minute)) {
		s.tick()
		if len(s.opened) == s.zones && served == 0 {
			served = s.now.Sub(began)
		}
		if !s.agreed() {
			agreed = 0
		} else if agreed == 0 {
			agreed = s.now.Sub(began)
		}
	}
	total := 0
	for _, opened := range s.opened {
		total += opened
		worst = max(worst, opened)
	}
	return float64(total) / float64(s.zones), worst, served, agreed
}

// BenchmarkColdStart measures the epochs that are opened for each pool when all
// members start together, and the time until all name the same owner.
func BenchmarkColdStart(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{3, 1}, {9, 3}, {60, 5}, {300, 5}} {
		for _, kind := range []string{"once", "delayed", "paused"} {
			for _, seeds := range []int{0, 3} {
				b.Run(fmt.Sprintf("members=%d/%s/seeds=%d", size.members, kind, seeds), func(b *testing.B) {
					given := startCase{size: size.members, zones: size.zones, seeds: seeds}
					if kind != "once" {
						given.minDelay, given.maxDelay = 200*time.Millisecond, 2*time.Second
					}
					given.pauses = kind == "paused"
					var sum float64
					var most, runs int
					var slowest, slowestServed time.Duration
					for b.Loop() {
						perPool, worst, served, agreed := newStartup(uint64(runs), given).run()
						runs++
						sum += perPool
						most = max(most, worst)
						slowest = max(slowest, agreed)
						slowestServed = max(slowestServed, served)
					}
					b.ReportMetric(sum/float64(runs), "epochs/pool")
					b.ReportMetric(float64(most), "max-epochs/pool")
					b.ReportMetric(slowestServed.Seconds(), "max-s-to-epochs")
					b.ReportMetric(slowest.Seconds(), "max-s-to-agreement")
				})
			}
		}
	}
}

// TestColdStart guards against a fleet that opens more than one epoch for a pool
// when all members start together, because members claim pools before they know
// each other. A short JoinDuration shows that the check can fail.
func TestColdStart(t *testing.T) {
	for _, test := range []startCase{
		{size: 3, zones: 1, seeds: 3},
		{size: 3, zones: 1, seeds: 3, minDelay: 200 * time.Millisecond, maxDelay: 2 * time.Second},
		{size: 9, zones: 3, seeds: 3, minDelay: 200 * time.Millisecond, maxDelay: 2 * time.Second},
		{size: 60, zones: 5, seeds: 3, minDelay: 200 * time.Millisecond, maxDelay: 2 * time.Second},
		{size: 300, zones: 5, seeds: 3},
	} {
		t.Run(fmt.Sprintf("%d members within %v", test.size, test.maxDelay), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(max(1, 60/test.size)) {
				started := newStartup(seed, test)
				_, worst, served, agreed := started.run()
				qt.Check(t, worst, qt.Equals, 1, qt.Commentf("seed %d", seed))
				qt.Check(t, agreed > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
				qt.Check(t, served < 5*DefaultJoinDuration, qt.IsTrue, qt.Commentf("seed %d: %v", seed, served))
			}
		})
	}
	hasty := newStartup(1, startCase{size: 60, zones: 5, seeds: 3, minDelay: 200 * time.Millisecond, maxDelay: 2 * time.Second})
	for _, node := range hasty.nodes {
		node.config.JoinDuration = time.Millisecond
	}
	_, worst, _, _ := hasty.run()
	qt.Check(t, worst > 1, qt.IsTrue)
}

// TestClaim guards against an instance alone in its zone that waits for peers it
// was not told of, against a claim without a majority of the named peers, and
// against one that counts a pause as waiting.
func TestClaim(t *testing.T) {
	mate, other := testMember(1, "pest"), testMember(2, "buda")
	third := testMember(3, "pest")
	const tick = 50 * time.Millisecond
	for _, test := range []struct {
		name  string
		seeds []Member
		// heard are the members that send a heartbeat at the start.
		heard  []Member
		paused time.Duration
		want   time.Duration
	}{
		{"no seeds", nil, nil, 0, 0},
		{"itself", []Member{testMember(0, "pest")}, nil, 0, 0},
		{"other zone", []Member{other}, nil, 0, DefaultJoinDuration},
		{"silent peer", []Member{mate, other}, []Member{other}, 0, 5 * DefaultJoinDuration},
		{"one of two", []Member{mate, third}, []Member{third}, 0, 5 * DefaultJoinDuration},
		{"all of two", []Member{mate, third}, []Member{mate, third}, 0, 750 * time.Millisecond},
		{"two of three", []Member{mate, third, testMember(4, "pest")}, []Member{mate, third}, 0, DefaultJoinDuration},
		{"pause", []Member{mate}, nil, 8 * time.Second, 8*time.Second + 5*DefaultJoinDuration},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Unix(1_000, 0)
			self := testMember(0, "pest")
			table := New(began, Config{Self: self, Seeds: test.seeds, Pools: 1, Random: rand.New(rand.NewPCG(1, 1))})
			for _, member := range test.heard {
				table.HandleHeartbeat(began, Heartbeat{From: member})
			}
			now := began
			table.UpdateEpochs(now)
			if test.paused > 0 {
				now = now.Add(test.paused)
			}
			for ; table.Self(now).Claim == 0 && now.Sub(began) < time.Minute; now = now.Add(tick) {
				table.Heartbeats(now)
				table.UpdateEpochs(now)
			}
			waited := now.Sub(began)
			qt.Check(t, waited >= test.want && waited <= test.want+2*tick, qt.IsTrue, qt.Commentf("%v", waited))
		})
	}
}

// TestWitnessesAfterLoneStart guards against a home that claimed its pool alone
// and keeps an epoch whose end silence never proves although it has two mates.
func TestWitnessesAfterLoneStart(t *testing.T) {
	now := time.Unix(1_000, 0)
	home := New(now, Config{Self: testMember(0, "pest"), Pools: 1, Random: rand.New(rand.NewPCG(1, 1))})
	home.UpdateEpochs(now)
	var mates []*Table
	for i := range 2 {
		now = now.Add(100 * time.Millisecond)
		mates = append(mates, New(now, Config{Self: testMember(i+1, "pest"), Random: rand.New(rand.NewPCG(1, uint64(i)))}))
		epoch, _ := home.CurrentEpoch(now)
		qt.Assert(t, epoch.Witnesses, qt.HasLen, 0)
		home.HandleHeartbeat(now, Heartbeat{From: mates[i].Self(now)})
		home.UpdateEpochs(now)
	}
	exchange(now, home, mates)
	home.UpdateEpochs(now)
	epoch, _ := home.CurrentEpoch(now)
	qt.Assert(t, epoch.Witnesses, qt.HasLen, 2)
}
