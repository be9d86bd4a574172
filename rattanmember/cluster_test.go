package rattanmember

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Violated invariants.
const (
	errValidAfterEnd        = errors.ConstError("epoch is valid at its home after it ended")
	errUnprovedEnd          = errors.ConstError("epoch ended without a majority or a proof")
	errRevived              = errors.ConstError("an ended incarnation is current again")
	errDiverged             = errors.ConstError("no convergence after the heal")
	errTwoCurrentEpochs     = errors.ConstError("a home has two current epochs")
	errSurvivorWithoutEpoch = errors.ConstError("the single survivor has no epoch")
)

// faults selects the faults that a test injects to show that a check can fail.
type faults struct {
	config            func(*Config)
	tenureFromReply   bool // an acknowledgement counts from the reply and not from sending
	sameIncarnation   bool // a restart keeps the incarnation number
	refuseWhilePaused bool // a paused instance appears to refuse connections
	clockRates        bool // clock rates differ by far more than 10%
	noChanges         bool // messages carry no changes
	stopRollover      bool // epochs are no longer updated once the faults have ended
	countVoteTwice    bool // one vote is counted for two witnesses
	revive            bool // a table forgets that an incarnation has ended
	twoCurrent        bool // a draining epoch becomes current again
	keepPartition     bool // partitions do not heal
}

type node struct {
	table          *Table
	incarnation    rattanjob.Incarnation
	zone           string
	clockRate      float64
	running        bool
	hostDown       bool
	delisted       bool
	leaving        bool
	pausedUntil    time.Duration
	partitionGroup int
	dropsFrom      *node // no message from this node arrives
	delayMessages  bool  // messages to this node are delayed by seconds
}

type message struct {
	from, to  rattanjob.Incarnation
	deliverAt time.Duration
	sentAt    time.Time
	heartbeat *Heartbeat
	reply     *Acknowledgement
}

type observation struct {
	observer rattanjob.Incarnation
	instance string
}

// testCluster is a small set of tables that exchange messages with delays,
// losses and duplicates, on clocks with different rates.
type testCluster struct {
	faults       faults
	random       *rand.Rand
	now          time.Duration
	loss         float64
	nodes        []*node
	inFlight     []message
	running      map[rattanjob.Incarnation]bool
	opened       []Epoch
	votes        map[rattanjob.EpochID][]Vote
	ended        map[rattanjob.EpochID]bool
	lists        []InstanceList
	lastObserved map[observation]Member
	decisions    int
	// lostPairs holds pairs of zones; messages from the first to the second are
	// lost.
	lostPairs map[[2]string]bool
	// bytes counts the JSON bytes sent and received by each node if it is set.
	bytes map[*node]int
}

func newTestCluster(seed uint64, size, zones int, injectedFaults faults) *testCluster {
	f := &testCluster{
		faults:       injectedFaults,
		random:       rand.New(rand.NewPCG(seed, 1)),
		running:      map[rattanjob.Incarnation]bool{},
		votes:        map[rattanjob.EpochID][]Vote{},
		ended:        map[rattanjob.EpochID]bool{},
		lastObserved: map[observation]Member{},
	}
	for i := range size {
		n := &node{zone: fmt.Sprintf("zone-%d", i%zones), clockRate: 0.955 + 0.09*f.random.Float64()}
		if injectedFaults.clockRates {
			n.clockRate = 0.4 + 1.2*f.random.Float64()
		}
		n.incarnation = rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(100 + i)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func (f *testCluster) localTime(n *node) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(float64(f.now) * n.clockRate))
}

func (f *testCluster) start(n *node) {
	if !f.faults.sameIncarnation {
		n.incarnation.Number += 100
	}
	config := Config{
		Self:   Member{Incarnation: n.incarnation, AvailabilityZone: n.zone, PeerAddress: n.incarnation.Instance},
		Seeds:  []Member{{Incarnation: rattanjob.Incarnation{Instance: "entry-0"}}, {Incarnation: rattanjob.Incarnation{Instance: "entry-1"}}},
		Pools:  1,
		Random: f.random,
	}
	if f.faults.config != nil {
		f.faults.config(&config)
	}
	n.table = New(f.localTime(n), config)
	n.running, n.hostDown, n.leaving, n.pausedUntil = true, false, false, 0
	f.running[n.incarnation] = true
}

func (f *testCluster) kill(n *node, hostDown bool) {
	n.running, n.hostDown = false, hostDown
	delete(f.running, n.incarnation)
}

func (f *testCluster) activeNodes() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return !n.running || f.now < n.pausedUntil })
}

// step advances the time, calls the nodes and delivers the messages that are
// due.
func (f *testCluster) step(elapsed time.Duration) error {
	f.now += elapsed
	for _, n := range f.activeNodes() {
		// Several skipped calls in a row amount to a pause, which is one of the
		// faults.
		if f.loss > 0 && f.random.IntN(8) == 0 {
			continue
		}
		if !f.faults.stopRollover || f.loss > 0 {
			f.rollOver(n)
		}
		for _, out := range n.table.Heartbeats(f.localTime(n)) {
			f.send(message{from: n.incarnation, to: out.To.Incarnation, sentAt: f.localTime(n), heartbeat: &out.Heartbeat})
		}
	}
	f.deliver()
	return f.checkInvariants()
}

func (f *testCluster) rollOver(n *node) {
	for _, event := range n.table.UpdateEpochs(f.localTime(n)) {
		if event.Kind == EventEpochOpened {
			f.opened = append(f.opened, event.Epoch)
		}
	}
}

func (f *testCluster) send(m message) {
	// Messages sent before a partition still arrive.
	if to, from := f.node(m.to.Instance), f.node(m.from.Instance); to.partitionGroup != from.partitionGroup || to.dropsFrom == from {
		return
	}
	if to, from := f.node(m.to.Instance), f.node(m.from.Instance); f.lostPairs[[2]string{from.zone, to.zone}] {
		return
	}
	f.countBytes(m)
	if f.faults.noChanges && m.heartbeat != nil {
		m.heartbeat.Changes = nil
	}
	copies := 1
	if f.random.Float64() < f.loss {
		copies = 2 * f.random.IntN(2)
	}
	for range copies {
		delayed := m
		delayed.deliverAt = f.now + time.Duration(1+f.random.IntN(20))*time.Millisecond
		if f.random.Float64() < f.loss || f.node(m.to.Instance).delayMessages {
			delayed.deliverAt += time.Duration(f.random.IntN(3_000)) * time.Millisecond
		}
		f.inFlight = append(f.inFlight, delayed)
	}
}

func (f *testCluster) deliver() {
	var due []message
	f.inFlight = slices.DeleteFunc(f.inFlight, func(m message) bool {
		if m.deliverAt > f.now {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b message) int { return cmp.Compare(a.deliverAt, b.deliverAt) })
	for _, m := range due {
		to := f.node(m.to.Instance)
		switch {
		case !to.running:
		case f.now < to.pausedUntil:
			m.deliverAt = to.pausedUntil + time.Duration(f.random.IntN(30))*time.Millisecond
			f.inFlight = append(f.inFlight, m)
		case m.heartbeat != nil:
			reply := to.table.HandleHeartbeat(f.localTime(to), maybeReencode(f, *m.heartbeat))
			f.send(message{from: to.incarnation, to: m.from, sentAt: m.sentAt, reply: &reply})
		case to.incarnation == m.to:
			f.deliverReply(to, m)
		}
	}
}

func (f *testCluster) deliverReply(to *node, m message) {
	reply := maybeReencode(f, *m.reply)
	if f.faults.noChanges {
		reply.Changes = nil
	}
	sent := m.sentAt
	if f.faults.tenureFromReply {
		sent = f.localTime(to)
	}
	to.table.HandleAcknowledgement(f.localTime(to), sent, reply)
}

// maybeReencode passes some messages through their JSON encoding.
func maybeReencode[T any](f *testCluster, message T) T {
	if f.random.IntN(16) != 0 {
		return message
	}
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

func (f *testCluster) node(instance string) *node {
	var index int
	if _, err := fmt.Sscanf(instance, "entry-%d", &index); err != nil {
		panic(err)
	}
	return f.nodes[index]
}

// undecidedEpochs returns the epochs of running homes that a vote can still
// decide on.
func (f *testCluster) undecidedEpochs() []Epoch {
	return slices.DeleteFunc(slices.Clone(f.opened), func(epoch Epoch) bool {
		return len(epoch.Witnesses) == 0 || f.ended[epoch.ID] || !f.running[epoch.ID.Home]
	})
}

// collectVotes asks for votes on an epoch and decides on all votes so far. Old
// votes still count, because votes are promises.
func (f *testCluster) collectVotes(requester *node, epoch Epoch) error {
	for _, n := range f.activeNodes() {
		if f.loss == 0 || f.random.IntN(8) != 0 {
			vote := maybeReencode(f, n.table.Vote(f.localTime(n), epoch.ID, epoch.Witnesses))
			f.votes[epoch.ID] = append(f.votes[epoch.ID], vote)
		}
	}
	votes := f.votes[epoch.ID]
	if f.faults.countVoteTwice && len(epoch.Witnesses) > 0 && slices.ContainsFunc(votes, func(v Vote) bool { return v.Ended }) {
		for _, witness := range epoch.Witnesses {
			votes = append(votes, Vote{Witness: witness, Epoch: epoch.ID, Ended: true})
		}
	}
	if !requester.table.EpochEnded(f.localTime(requester), epoch.ID, epoch.Witnesses, votes) {
		return nil
	}
	f.ended[epoch.ID] = true
	if !f.running[epoch.ID.Home] {
		return nil
	}
	f.decisions++
	voters := map[rattanjob.Incarnation]bool{}
	for _, vote := range f.votes[epoch.ID] {
		if vote.Ended && slices.Contains(epoch.Witnesses, vote.Witness) {
			voters[vote.Witness] = true
		}
	}
	if 2*len(voters) <= len(epoch.Witnesses)+1 {
		return errors.WithType(errors.Errorf("%v: %d votes of %d voters", epoch.ID, len(voters), len(epoch.Witnesses)+1), errUnprovedEnd)
	}
	return nil
}

// checkInvariants checks the invariants that hold at every moment.
func (f *testCluster) checkInvariants() error {
	for id := range f.ended {
		home := f.node(id.Home.Instance)
		awake := home.running && f.now >= home.pausedUntil
		if awake && home.incarnation == id.Home && home.table.EpochValid(f.localTime(home), id) {
			return errors.WithType(errors.Errorf("%v at %v", id, f.now), errValidAfterEnd)
		}
	}
	for _, n := range f.activeNodes() {
		if n.table.currentEpochs() > 1 {
			return errors.WithType(errors.Errorf("%v at %v", n.incarnation, f.now), errTwoCurrentEpochs)
		}
		for _, member := range n.table.Members(f.localTime(n)) {
			key := observation{observer: n.incarnation, instance: member.Incarnation.Instance}
			previous, known := f.lastObserved[key]
			if f.faults.revive && previous.Status == StatusDead {
				member.Status = StatusAlive
			}
			lower := member.Incarnation.Number < previous.Incarnation.Number
			revived := member.Incarnation == previous.Incarnation && previous.Status == StatusDead && member.Status != StatusDead
			if known && (lower || revived) {
				return errors.WithType(errors.Errorf("%v: %v after %v", key, member, previous), errRevived)
			}
			f.lastObserved[key] = member
		}
	}
	return nil
}

// isolateHome delays the messages to a home and then partitions it off, so that
// acknowledgements arrive when its witnesses may vote already.
func (f *testCluster) isolateHome() error {
	epochs := f.undecidedEpochs()
	if len(epochs) == 0 {
		return nil
	}
	n := f.node(epochs[len(epochs)-1].ID.Home.Instance)
	n.delayMessages = true
	for range 6 {
		if err := f.step(time.Duration(100+f.random.IntN(150)) * time.Millisecond); err != nil {
			return err
		}
	}
	n.partitionGroup = 1 - n.partitionGroup
	return nil
}

// reportUnreachable reports a failed connection to a node. The connection is
// refused only if the other node's host is up and reachable.
func (f *testCluster) reportUnreachable(n, other *node) {
	known, found := n.table.Member(f.localTime(n), other.incarnation.Instance)
	if n == other || !found {
		return
	}
	refused := n.partitionGroup == other.partitionGroup && !other.running && !other.hostDown
	if f.faults.refuseWhilePaused && f.now < other.pausedUntil {
		refused = true
	}
	n.table.HandleUnreachable(f.localTime(n), known.Incarnation, refused)
}

// updateInstanceList publishes an instance list and passes it, or under faults
// a random earlier one, to a node.
func (f *testCluster) updateInstanceList(n *node) {
	list := InstanceList{Revision: uint64(len(f.lists) + 1)}
	for _, other := range f.nodes {
		if !other.delisted {
			list.Instances = append(list.Instances, Member{Incarnation: other.incarnation, AvailabilityZone: other.zone})
		}
	}
	f.lists = append(f.lists, list)
	if f.loss > 0 {
		list = f.lists[f.random.IntN(len(f.lists))]
	}
	n.table.ObserveInstances(f.localTime(n), list)
}

// healAndCheck ends all faults and checks that the cluster converges.
func (f *testCluster) healAndCheck() error {
	f.clearFaults()
	if err := f.run(40 * time.Second); err != nil {
		return err
	}
	return f.checkConverged()
}

// clearFaults ends all faults.
func (f *testCluster) clearFaults() {
	f.loss = 0
	if !f.faults.keepPartition {
		f.lostPairs = nil
	}
	for i, n := range f.nodes {
		n.partitionGroup, n.pausedUntil, n.dropsFrom, n.delayMessages = 0, 0, nil, false
		if n.leaving && n.running {
			f.kill(n, false)
		}
		if last := len(f.nodes) - 1; i == last && len(f.activeNodes()) == 0 {
			f.start(n)
		}
	}
	if !f.connected() {
		for _, n := range f.nodes {
			f.updateInstanceList(n)
		}
	}
}

// connected reports whether every running node can be found from every other
// through seeds and known members. Nodes that have never heard of each other
// and whose seeds are all down can only find each other through the instance
// list.
func (f *testCluster) connected() bool {
	active := f.activeNodes()
	group := map[*node]int{}
	for i, n := range active {
		group[n] = i
	}
	for range active {
		for _, n := range active {
			for i, other := range f.nodes {
				_, known := n.table.Member(f.localTime(n), other.incarnation.Instance)
				if lowest := min(group[n], group[other]); other.running && (known || i < 2) {
					group[n], group[other] = lowest, lowest
				}
			}
		}
	}
	for _, n := range active {
		if group[n] != 0 {
			return false
		}
	}
	return true
}

func (f *testCluster) run(duration time.Duration) error {
	for end := f.now + duration; f.now < end; {
		if err := f.step(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func (f *testCluster) checkConverged() error {
	zones := map[string]int{}
	for _, n := range f.activeNodes() {
		zones[n.zone]++
	}
	for _, n := range f.activeNodes() {
		for _, other := range f.activeNodes() {
			member, found := n.table.Member(f.localTime(n), other.incarnation.Instance)
			if !found || member.Incarnation != other.incarnation || member.Status != StatusAlive {
				return errors.WithType(errors.Errorf("%v sees %v as %v", n.incarnation, other.incarnation, member), errDiverged)
			}
			owner, found := n.table.Owner(f.localTime(n), other.zone, 0)
			if !found || !f.running[owner.Incarnation] {
				return errors.WithType(errors.Errorf("%v: owner of %v is %v", n.incarnation, other.zone, owner), errDiverged)
			}
			home := f.node(owner.Incarnation.Instance)
			epoch, open := home.table.CurrentEpoch(f.localTime(home))
			want := min(4, (zones[other.zone]-1)/2*2)
			if !open || len(epoch.Witnesses) != want || owner.Epoch.ID != epoch.ID {
				return errors.WithType(errors.Errorf("%v: epoch of %v is %v (%v), announced %v, want %d witnesses", n.incarnation, home.incarnation, epoch, open, owner.Epoch.ID, want), errDiverged)
			}
		}
	}
	return nil
}

// checkSurvivor stops all nodes but one, without refused connections, and
// checks that the remaining one gets a valid epoch.
func (f *testCluster) checkSurvivor(survivor *node) error {
	for _, n := range f.nodes {
		if n != survivor {
			f.kill(n, true)
		}
	}
	// A front end closes a silent link after 2 s; each of the other members may
	// be the owner for as long.
	for range f.nodes {
		if err := f.run(2 * time.Second); err != nil {
			return err
		}
		if owner, found := survivor.table.Owner(f.localTime(survivor), survivor.zone, 0); found {
			f.reportUnreachable(survivor, f.node(owner.Incarnation.Instance))
		}
	}
	if err := f.run(3 * time.Second); err != nil {
		return err
	}
	epoch, open := survivor.table.CurrentEpoch(f.localTime(survivor))
	if !open || len(epoch.Witnesses) != 0 || !survivor.table.EpochValid(f.localTime(survivor), epoch.ID) {
		return errors.WithType(errors.Errorf("%v: %v (%v)", survivor.incarnation, epoch, open), errSurvivorWithoutEpoch)
	}
	return nil
}
