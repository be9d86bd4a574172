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

// startupCluster simulates the start of a cluster: members start at different
// times, some are paused, and a member that has not started refuses
// connections.
type startupCluster struct {
	now            time.Time
	random         *rand.Rand
	nodes          []*startupNode
	zones          int
	epochsOpened   map[string]int
	delayed        []delayedCall
	connectTimeout time.Duration
	// messagesLost reports whether messages from one node to another are lost.
	messagesLost func(from, to *startupNode) bool
	// bytes counts the JSON bytes sent and received by each node if it is set.
	bytes map[string]int
}

// startupNode is a member of a startupCluster; its table is nil until it has
// started.
type startupNode struct {
	config   Config
	table    *Table
	startAt  time.Time
	pausedAt time.Time
	resumeAt time.Time
}

// delayedCall is a function that is called at a later time.
type delayedCall struct {
	at  time.Time
	run func()
}

// startCase describes the start of a cluster. If seeds is 0, the first two
// members are the seeds of all members.
type startCase struct {
	size, zones int
	seeds       int
	minDelay    time.Duration
	maxDelay    time.Duration
	pauses      bool
}

func newStartupCluster(seed uint64, params startCase) *startupCluster {
	s := &startupCluster{
		now:            time.UnixMilli(1_000_000),
		random:         rand.New(rand.NewPCG(seed, 3)),
		zones:          params.zones,
		epochsOpened:   map[string]int{},
		connectTimeout: time.Second,
		messagesLost:   func(*startupNode, *startupNode) bool { return false },
	}
	var seeds []Member
	for i := range max(2, params.seeds*params.zones) {
		seeds = append(seeds, testMember(i, s.zone(i)))
		seeds[i].Incarnation.Number = 0
	}
	for i := range params.size {
		// Processes started at the same time begin within some milliseconds of
		// each other.
		delay := time.Duration(s.random.IntN(50)) * time.Millisecond
		if params.maxDelay > 0 {
			delay = params.minDelay + time.Duration(s.random.Int64N(int64(params.maxDelay-params.minDelay)))
		}
		node := &startupNode{startAt: s.now.Add(delay)}
		if params.pauses && s.random.IntN(5) == 0 {
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

// zone returns the availability zone of the member with the index.
func (s *startupCluster) zone(index int) string { return fmt.Sprintf("zone-%d", index%s.zones) }

func (s *startupCluster) paused(n *startupNode) bool {
	return !s.now.Before(n.pausedAt) && s.now.Before(n.resumeAt)
}

// tick advances the time and calls every running member once.
func (s *startupCluster) tick() {
	s.now = s.now.Add(50 * time.Millisecond)
	s.delayed = slices.DeleteFunc(s.delayed, func(due delayedCall) bool {
		if s.now.Before(due.at) {
			return false
		}
		due.run()
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
				s.epochsOpened[node.config.Self.AvailabilityZone]++
			}
		}
		for _, out := range node.table.Heartbeats(s.now) {
			s.exchange(node, out)
		}
	}
}

// exchange delivers a heartbeat and its reply, or reports the receiver as
// unreachable.
func (s *startupCluster) exchange(sender *startupNode, out Outgoing) {
	var index int
	if _, err := fmt.Sscanf(out.To.Incarnation.Instance, "entry-%d", &index); err != nil {
		panic(err)
	}
	receiver, sent := s.nodes[index], s.now
	timeout := delayedCall{s.now.Add(s.connectTimeout), func() {
		if s.messagesLost(sender, receiver) || s.messagesLost(receiver, sender) || s.paused(receiver) {
			sender.table.HandleUnreachable(s.now, out.To.Incarnation, false)
		}
	}}
	switch {
	case receiver.table == nil:
		sender.table.HandleUnreachable(s.now, out.To.Incarnation, true)
	case s.messagesLost(sender, receiver):
		s.delayed = append(s.delayed, timeout)
	case s.messagesLost(receiver, sender):
		receiver.table.HandleHeartbeat(s.now, out.Heartbeat)
		s.delayed = append(s.delayed, timeout)
	case s.paused(receiver):
		s.delayed = append(s.delayed, delayedCall{receiver.resumeAt, func() {
			reply := receiver.table.HandleHeartbeat(s.now, out.Heartbeat)
			sender.table.HandleAcknowledgement(s.now, sent, reply)
		}})
		s.delayed = append(s.delayed, timeout)
	default:
		reply := receiver.table.HandleHeartbeat(s.now, out.Heartbeat)
		sender.table.HandleAcknowledgement(s.now, s.now, reply)
		s.countBytes(sender, receiver, out.Heartbeat)
		s.countBytes(sender, receiver, reply)
	}
}

func (s *startupCluster) countBytes(from, to *startupNode, message any) {
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

// ownersAgree reports whether all members know the same owner with an epoch for
// each zone, and that owner has a current epoch.
func (s *startupCluster) ownersAgree() bool {
	for zone := range s.zones {
		var agreedOwner Member
		for _, node := range s.nodes {
			if node.table == nil {
				return false
			}
			owner, found := node.table.Owner(s.now, s.zone(zone), 0)
			if !found || owner.Epoch.ID.Number == 0 || owner.Status != StatusAlive {
				return false
			}
			if agreedOwner.Version != 0 && owner.Incarnation != agreedOwner.Incarnation {
				return false
			}
			agreedOwner = owner
		}
		holds := func(n *startupNode) bool {
			return n.config.Self.Incarnation == agreedOwner.Incarnation && n.table.epochInPhase(phaseCurrent) != nil
		}
		if !slices.ContainsFunc(s.nodes, holds) {
			return false
		}
	}
	return true
}

// run returns the mean and the maximum number of epochs opened per zone within
// a minute, the time until every zone had opened an epoch, and the time from
// which all members agreed on the owners until the end.
func (s *startupCluster) run() (perPool float64, maxPerPool int, timeToEpochs, timeToAgreement time.Duration) {
	startedAt := s.now
	for s.now.Before(startedAt.Add(time.Minute)) {
		s.tick()
		if len(s.epochsOpened) == s.zones && timeToEpochs == 0 {
			timeToEpochs = s.now.Sub(startedAt)
		}
		if !s.ownersAgree() {
			timeToAgreement = 0
		} else if timeToAgreement == 0 {
			timeToAgreement = s.now.Sub(startedAt)
		}
	}
	total := 0
	for _, opened := range s.epochsOpened {
		total += opened
		maxPerPool = max(maxPerPool, opened)
	}
	return float64(total) / float64(s.zones), maxPerPool, timeToEpochs, timeToAgreement
}

// BenchmarkColdStart measures the epochs opened per pool when all members start
// together, and the time until all agree on the owners.
func BenchmarkColdStart(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{3, 1}, {9, 3}, {60, 5}, {300, 5}} {
		for _, kind := range []string{"once", "delayed", "paused"} {
			for _, seeds := range []int{0, 3} {
				b.Run(fmt.Sprintf("members=%d/%s/seeds=%d", size.members, kind, seeds), func(b *testing.B) {
					params := startCase{size: size.members, zones: size.zones, seeds: seeds}
					if kind != "once" {
						params.minDelay, params.maxDelay = 200*time.Millisecond, 2*time.Second
					}
					params.pauses = kind == "paused"
					var sum float64
					var maxEpochs, runs int
					var slowest, slowestServed time.Duration
					for b.Loop() {
						perPool, maxPerPool, timeToEpochs, timeToAgreement := newStartupCluster(uint64(runs), params).run()
						runs++
						sum += perPool
						maxEpochs = max(maxEpochs, maxPerPool)
						slowest = max(slowest, timeToAgreement)
						slowestServed = max(slowestServed, timeToEpochs)
					}
					b.ReportMetric(sum/float64(runs), "epochs/pool")
					b.ReportMetric(float64(maxEpochs), "max-epochs/pool")
					b.ReportMetric(slowestServed.Seconds(), "max-s-to-epochs")
					b.ReportMetric(slowest.Seconds(), "max-s-to-agreement")
				})
			}
		}
	}
}

// TestColdStart guards against a cluster that opens more than one epoch for a
// pool when all members start together, because members claim pools before they
// know each other. A short JoinDuration shows that the check can fail.
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
				cluster := newStartupCluster(seed, test)
				_, maxPerPool, timeToEpochs, timeToAgreement := cluster.run()
				qt.Check(t, maxPerPool, qt.Equals, 1, qt.Commentf("seed %d", seed))
				qt.Check(t, timeToAgreement > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
				qt.Check(t, timeToEpochs < 5*DefaultJoinDuration, qt.IsTrue, qt.Commentf("seed %d: %v", seed, timeToEpochs))
			}
		})
	}
	shortJoin := newStartupCluster(1, startCase{size: 60, zones: 5, seeds: 3, minDelay: 200 * time.Millisecond, maxDelay: 2 * time.Second})
	for _, node := range shortJoin.nodes {
		node.config.JoinDuration = time.Millisecond
	}
	_, maxPerPool, _, _ := shortJoin.run()
	qt.Check(t, maxPerPool > 1, qt.IsTrue)
}

// TestClaim guards against an instance alone in its zone that waits for unknown
// peers, a claim without a majority of the zone's seeds, and a claim that
// counts a pause as waiting.
func TestClaim(t *testing.T) {
	zonePeer, otherZonePeer := testMember(1, "pest"), testMember(2, "buda")
	zonePeer2 := testMember(3, "pest")
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
		{"only itself as seed", []Member{testMember(0, "pest")}, nil, 0, 0},
		{"seed in another zone", []Member{otherZonePeer}, nil, 0, DefaultJoinDuration},
		{"silent zone seed", []Member{zonePeer, otherZonePeer}, []Member{otherZonePeer}, 0, 5 * DefaultJoinDuration},
		{"heard one of two seeds", []Member{zonePeer, zonePeer2}, []Member{zonePeer2}, 0, 5 * DefaultJoinDuration},
		{"heard both seeds", []Member{zonePeer, zonePeer2}, []Member{zonePeer, zonePeer2}, 0, 750 * time.Millisecond},
		{"heard two of three seeds", []Member{zonePeer, zonePeer2, testMember(4, "pest")}, []Member{zonePeer, zonePeer2}, 0, DefaultJoinDuration},
		{"pause while waiting", []Member{zonePeer}, nil, 8 * time.Second, 8*time.Second + 5*DefaultJoinDuration},
	} {
		t.Run(test.name, func(t *testing.T) {
			startedAt := time.Unix(1_000, 0)
			self := testMember(0, "pest")
			table := New(startedAt, Config{Self: self, Seeds: test.seeds, Pools: 1, Random: rand.New(rand.NewPCG(1, 1))})
			for _, member := range test.heard {
				table.HandleHeartbeat(startedAt, Heartbeat{From: member})
			}
			now := startedAt
			table.UpdateEpochs(now)
			if test.paused > 0 {
				now = now.Add(test.paused)
			}
			for ; table.Self(now).Claim == 0 && now.Sub(startedAt) < time.Minute; now = now.Add(tick) {
				table.Heartbeats(now)
				table.UpdateEpochs(now)
			}
			waited := now.Sub(startedAt)
			qt.Check(t, waited >= test.want && waited <= test.want+2*tick, qt.IsTrue, qt.Commentf("%v", waited))
		})
	}
}

// TestWitnessesAfterSingleStart guards against a home that claimed its pool
// while alone and keeps an epoch without witnesses after two peers have joined
// its zone. No vote can end such an epoch when the home falls silent.
func TestWitnessesAfterSingleStart(t *testing.T) {
	now := time.Unix(1_000, 0)
	home := New(now, Config{Self: testMember(0, "pest"), Pools: 1, Random: rand.New(rand.NewPCG(1, 1))})
	home.UpdateEpochs(now)
	var zonePeers []*Table
	for i := range 2 {
		now = now.Add(100 * time.Millisecond)
		zonePeers = append(zonePeers, New(now, Config{Self: testMember(i+1, "pest"), Random: rand.New(rand.NewPCG(1, uint64(i)))}))
		epoch, _ := home.CurrentEpoch(now)
		qt.Assert(t, epoch.Witnesses, qt.HasLen, 0)
		home.HandleHeartbeat(now, Heartbeat{From: zonePeers[i].Self(now)})
		home.UpdateEpochs(now)
	}
	exchangeHeartbeats(now, home, zonePeers)
	home.UpdateEpochs(now)
	epoch, _ := home.CurrentEpoch(now)
	qt.Assert(t, epoch.Witnesses, qt.HasLen, 2)
}
