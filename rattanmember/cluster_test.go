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
	errDiverged             = errors.ConstError("members do not converge after the faults have ended")
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

// node is a member of a testCluster with the faults that affect it.
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

// message is a heartbeat or a reply in transit.
type message struct {
	from, to  rattanjob.Incarnation
	deliverAt time.Duration
	sentAt    time.Time
	heartbeat *Heartbeat
	reply     *Acknowledgement
}

// observation identifies what one incarnation knows about an instance.
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
	c := &testCluster{
		faults:       injectedFaults,
		random:       rand.New(rand.NewPCG(seed, 1)),
		running:      map[rattanjob.Incarnation]bool{},
		votes:        map[rattanjob.EpochID][]Vote{},
		ended:        map[rattanjob.EpochID]bool{},
		lastObserved: map[observation]Member{},
	}
	for i := range size {
		n := &node{zone: fmt.Sprintf("zone-%d", i%zones), clockRate: 0.955 + 0.09*c.random.Float64()}
		if injectedFaults.clockRates {
			n.clockRate = 0.4 + 1.2*c.random.Float64()
		}
		n.incarnation = rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(100 + i)}
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	return c
}

// localTime returns the time on the node's clock.
func (c *testCluster) localTime(n *node) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(float64(c.now) * n.clockRate))
}

// start starts the next incarnation of a node.
func (c *testCluster) start(n *node) {
	if !c.faults.sameIncarnation {
		n.incarnation.Number += 100
	}
	config := Config{
		Self:   Member{Incarnation: n.incarnation, AvailabilityZone: n.zone, PeerAddress: n.incarnation.Instance},
		Seeds:  []Member{{Incarnation: rattanjob.Incarnation{Instance: "entry-0"}}, {Incarnation: rattanjob.Incarnation{Instance: "entry-1"}}},
		Pools:  1,
		Random: c.random,
	}
	if c.faults.config != nil {
		c.faults.config(&config)
	}
	n.table = New(c.localTime(n), config)
	n.running, n.hostDown, n.leaving, n.pausedUntil = true, false, false, 0
	c.running[n.incarnation] = true
}

// kill stops a node. If the host is down as well, connections to the node are
// not refused.
func (c *testCluster) kill(n *node, hostDown bool) {
	n.running, n.hostDown = false, hostDown
	delete(c.running, n.incarnation)
}

// activeNodes returns the nodes that run and are not paused.
func (c *testCluster) activeNodes() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return !n.running || c.now < n.pausedUntil })
}

// step advances the time, calls the nodes and delivers the messages that are
// due.
func (c *testCluster) step(elapsed time.Duration) error {
	c.now += elapsed
	for _, n := range c.activeNodes() {
		// Several skipped calls in a row amount to a pause, which is one of the
		// faults.
		if c.loss > 0 && c.random.IntN(8) == 0 {
			continue
		}
		if !c.faults.stopRollover || c.loss > 0 {
			c.rollOver(n)
		}
		for _, out := range n.table.Heartbeats(c.localTime(n)) {
			c.send(message{from: n.incarnation, to: out.To.Incarnation, sentAt: c.localTime(n), heartbeat: &out.Heartbeat})
		}
	}
	c.deliver()
	return c.checkInvariants()
}

func (c *testCluster) rollOver(n *node) {
	for _, event := range n.table.UpdateEpochs(c.localTime(n)) {
		if event.Kind == EventEpochOpened {
			c.opened = append(c.opened, event.Epoch)
		}
	}
}

// send puts a message in transit, unless a partition blocks it, and may lose,
// duplicate or delay it.
func (c *testCluster) send(m message) {
	// Messages sent before a partition still arrive.
	if to, from := c.node(m.to.Instance), c.node(m.from.Instance); to.partitionGroup != from.partitionGroup || to.dropsFrom == from {
		return
	}
	if to, from := c.node(m.to.Instance), c.node(m.from.Instance); c.lostPairs[[2]string{from.zone, to.zone}] {
		return
	}
	c.countBytes(m)
	if c.faults.noChanges && m.heartbeat != nil {
		m.heartbeat.Changes = nil
	}
	copies := 1
	if c.random.Float64() < c.loss {
		copies = 2 * c.random.IntN(2)
	}
	for range copies {
		delayed := m
		delayed.deliverAt = c.now + time.Duration(1+c.random.IntN(20))*time.Millisecond
		if c.random.Float64() < c.loss || c.node(m.to.Instance).delayMessages {
			delayed.deliverAt += time.Duration(c.random.IntN(3_000)) * time.Millisecond
		}
		c.inFlight = append(c.inFlight, delayed)
	}
}

// deliver delivers the messages that are due. Messages to a paused node wait
// until it resumes.
func (c *testCluster) deliver() {
	var due []message
	c.inFlight = slices.DeleteFunc(c.inFlight, func(m message) bool {
		if m.deliverAt > c.now {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b message) int { return cmp.Compare(a.deliverAt, b.deliverAt) })
	for _, m := range due {
		to := c.node(m.to.Instance)
		switch {
		case !to.running:
		case c.now < to.pausedUntil:
			m.deliverAt = to.pausedUntil + time.Duration(c.random.IntN(30))*time.Millisecond
			c.inFlight = append(c.inFlight, m)
		case m.heartbeat != nil:
			reply := to.table.HandleHeartbeat(c.localTime(to), maybeReencode(c, *m.heartbeat))
			c.send(message{from: to.incarnation, to: m.from, sentAt: m.sentAt, reply: &reply})
		case to.incarnation == m.to:
			c.deliverReply(to, m)
		}
	}
}

func (c *testCluster) deliverReply(to *node, m message) {
	reply := maybeReencode(c, *m.reply)
	if c.faults.noChanges {
		reply.Changes = nil
	}
	sent := m.sentAt
	if c.faults.tenureFromReply {
		sent = c.localTime(to)
	}
	to.table.HandleAcknowledgement(c.localTime(to), sent, reply)
}

// maybeReencode passes some messages through their JSON encoding.
func maybeReencode[T any](c *testCluster, message T) T {
	if c.random.IntN(16) != 0 {
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

func (c *testCluster) node(instance string) *node {
	var index int
	if _, err := fmt.Sscanf(instance, "entry-%d", &index); err != nil {
		panic(err)
	}
	return c.nodes[index]
}

// undecidedEpochs returns the epochs of running homes that a vote can still
// decide on.
func (c *testCluster) undecidedEpochs() []Epoch {
	return slices.DeleteFunc(slices.Clone(c.opened), func(epoch Epoch) bool {
		return len(epoch.Witnesses) == 0 || c.ended[epoch.ID] || !c.running[epoch.ID.Home]
	})
}

// collectVotes asks for votes on an epoch and decides on all votes so far. Old
// votes still count, because votes are promises.
func (c *testCluster) collectVotes(requester *node, epoch Epoch) error {
	for _, n := range c.activeNodes() {
		if c.loss == 0 || c.random.IntN(8) != 0 {
			vote := maybeReencode(c, n.table.Vote(c.localTime(n), epoch.ID, epoch.Witnesses))
			c.votes[epoch.ID] = append(c.votes[epoch.ID], vote)
		}
	}
	votes := c.votes[epoch.ID]
	if c.faults.countVoteTwice && len(epoch.Witnesses) > 0 && slices.ContainsFunc(votes, func(v Vote) bool { return v.Ended }) {
		for _, witness := range epoch.Witnesses {
			votes = append(votes, Vote{Witness: witness, Epoch: epoch.ID, Ended: true})
		}
	}
	if !requester.table.EpochEnded(c.localTime(requester), epoch.ID, epoch.Witnesses, votes) {
		return nil
	}
	c.ended[epoch.ID] = true
	if !c.running[epoch.ID.Home] {
		return nil
	}
	c.decisions++
	voters := map[rattanjob.Incarnation]bool{}
	for _, vote := range c.votes[epoch.ID] {
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
func (c *testCluster) checkInvariants() error {
	for id := range c.ended {
		home := c.node(id.Home.Instance)
		awake := home.running && c.now >= home.pausedUntil
		if awake && home.incarnation == id.Home && home.table.EpochValid(c.localTime(home), id) {
			return errors.WithType(errors.Errorf("%v at %v", id, c.now), errValidAfterEnd)
		}
	}
	for _, n := range c.activeNodes() {
		if n.table.currentEpochs() > 1 {
			return errors.WithType(errors.Errorf("%v at %v", n.incarnation, c.now), errTwoCurrentEpochs)
		}
		for _, member := range n.table.Members(c.localTime(n)) {
			key := observation{observer: n.incarnation, instance: member.Incarnation.Instance}
			previous, known := c.lastObserved[key]
			if c.faults.revive && previous.Status == StatusDead {
				member.Status = StatusAlive
			}
			lower := member.Incarnation.Number < previous.Incarnation.Number
			revived := member.Incarnation == previous.Incarnation && previous.Status == StatusDead && member.Status != StatusDead
			if known && (lower || revived) {
				return errors.WithType(errors.Errorf("%v: %v after %v", key, member, previous), errRevived)
			}
			c.lastObserved[key] = member
		}
	}
	return nil
}

// isolateHome delays the messages to a home and then partitions it off, so that
// acknowledgements arrive when its witnesses may vote already.
func (c *testCluster) isolateHome() error {
	epochs := c.undecidedEpochs()
	if len(epochs) == 0 {
		return nil
	}
	n := c.node(epochs[len(epochs)-1].ID.Home.Instance)
	n.delayMessages = true
	for range 6 {
		if err := c.step(time.Duration(100+c.random.IntN(150)) * time.Millisecond); err != nil {
			return err
		}
	}
	n.partitionGroup = 1 - n.partitionGroup
	return nil
}

// reportUnreachable reports a failed connection to a node. The connection is
// refused only if the other node's host is up and reachable.
func (c *testCluster) reportUnreachable(n, other *node) {
	known, found := n.table.Member(c.localTime(n), other.incarnation.Instance)
	if n == other || !found {
		return
	}
	refused := n.partitionGroup == other.partitionGroup && !other.running && !other.hostDown
	if c.faults.refuseWhilePaused && c.now < other.pausedUntil {
		refused = true
	}
	n.table.HandleUnreachable(c.localTime(n), known.Incarnation, refused)
}

// updateInstanceList publishes an instance list and passes it, or under faults
// a random earlier one, to a node.
func (c *testCluster) updateInstanceList(n *node) {
	list := InstanceList{Revision: uint64(len(c.lists) + 1)}
	for _, other := range c.nodes {
		if !other.delisted {
			list.Instances = append(list.Instances, Member{Incarnation: other.incarnation, AvailabilityZone: other.zone})
		}
	}
	c.lists = append(c.lists, list)
	if c.loss > 0 {
		list = c.lists[c.random.IntN(len(c.lists))]
	}
	n.table.ObserveInstances(c.localTime(n), list)
}

// healAndCheck ends all faults and checks that the cluster converges.
func (c *testCluster) healAndCheck() error {
	c.clearFaults()
	if err := c.run(40 * time.Second); err != nil {
		return err
	}
	return c.checkConverged()
}

// clearFaults ends all faults.
func (c *testCluster) clearFaults() {
	c.loss = 0
	if !c.faults.keepPartition {
		c.lostPairs = nil
	}
	for i, n := range c.nodes {
		n.partitionGroup, n.pausedUntil, n.dropsFrom, n.delayMessages = 0, 0, nil, false
		if n.leaving && n.running {
			c.kill(n, false)
		}
		if last := len(c.nodes) - 1; i == last && len(c.activeNodes()) == 0 {
			c.start(n)
		}
	}
	if !c.connected() {
		for _, n := range c.nodes {
			c.updateInstanceList(n)
		}
	}
}

// connected reports whether every running node can be found from every other
// through seeds and known members. Nodes that have never heard of each other
// and whose seeds are all down can only find each other through the instance
// list.
func (c *testCluster) connected() bool {
	active := c.activeNodes()
	group := map[*node]int{}
	for i, n := range active {
		group[n] = i
	}
	for range active {
		for _, n := range active {
			for i, other := range c.nodes {
				_, known := n.table.Member(c.localTime(n), other.incarnation.Instance)
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

func (c *testCluster) run(duration time.Duration) error {
	for end := c.now + duration; c.now < end; {
		if err := c.step(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// checkConverged checks that all nodes know each other as alive and agree on
// the owners and their epochs, which have as many witnesses as possible.
func (c *testCluster) checkConverged() error {
	zones := map[string]int{}
	for _, n := range c.activeNodes() {
		zones[n.zone]++
	}
	for _, n := range c.activeNodes() {
		for _, other := range c.activeNodes() {
			member, found := n.table.Member(c.localTime(n), other.incarnation.Instance)
			if !found || member.Incarnation != other.incarnation || member.Status != StatusAlive {
				return errors.WithType(errors.Errorf("%v sees %v as %v", n.incarnation, other.incarnation, member), errDiverged)
			}
			owner, found := n.table.Owner(c.localTime(n), other.zone, 0)
			if !found || !c.running[owner.Incarnation] {
				return errors.WithType(errors.Errorf("%v: owner of %v is %v", n.incarnation, other.zone, owner), errDiverged)
			}
			home := c.node(owner.Incarnation.Instance)
			epoch, open := home.table.CurrentEpoch(c.localTime(home))
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
func (c *testCluster) checkSurvivor(survivor *node) error {
	for _, n := range c.nodes {
		if n != survivor {
			c.kill(n, true)
		}
	}
	// A front end closes a silent link after 2 s; each of the other members may
	// be the owner for as long.
	for range c.nodes {
		if err := c.run(2 * time.Second); err != nil {
			return err
		}
		if owner, found := survivor.table.Owner(c.localTime(survivor), survivor.zone, 0); found {
			c.reportUnreachable(survivor, c.node(owner.Incarnation.Instance))
		}
	}
	if err := c.run(3 * time.Second); err != nil {
		return err
	}
	epoch, open := survivor.table.CurrentEpoch(c.localTime(survivor))
	if !open || len(epoch.Witnesses) != 0 || !survivor.table.EpochValid(c.localTime(survivor), epoch.ID) {
		return errors.WithType(errors.Errorf("%v: %v (%v)", survivor.incarnation, epoch, open), errSurvivorWithoutEpoch)
	}
	return nil
}
