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

// Invariants that a fleet reports as violated.
const (
	errValidAfterEnd = errors.ConstError("epoch is valid at its home after it ended")
	errFalseEnd      = errors.ConstError("epoch ended without a majority or a proof")
	errRevived       = errors.ConstError("an ended incarnation is current again")
	errDiverged      = errors.ConstError("no convergence after the heal")
	errTwoCurrent    = errors.ConstError("a home has two current epochs")
	errStranded      = errors.ConstError("the single survivor has no epoch")
)

// faults are errors that a test injects to show that a check can fail.
type faults struct {
	config          func(*Config)
	countsFromReply bool // tenure counts from the reply and not from sending
	sameIncarnation bool // a restart keeps the incarnation number
	pauseRefuses    bool // a paused instance seems to refuse connections
	rates           bool // clock rates differ by far more than 10%
	noChanges       bool // messages carry no changes
	noRoll          bool // the caller stops rolling epochs after the run
	doubleVotes     bool // one vote is counted for two witnesses
	revive          bool // a table forgets that an incarnation has ended
	twoCurrent      bool // a draining epoch becomes current again
	keepCut         bool // partitions do not heal
}

type node struct {
	table       *Table
	incarnation rattanjob.Incarnation
	zone        string
	rate        float64
	up          bool
	hostDown    bool
	delisted    bool
	leaving     bool
	pausedUntil time.Duration
	group       int
	deafTo      *node // no message from this node arrives
	late        bool  // messages to this node are delayed by seconds
}

type message struct {
	from, to  rattanjob.Incarnation
	ready     time.Duration
	sent      time.Time
	heartbeat *Heartbeat
	reply     *Acknowledgement
}

type observation struct {
	observer rattanjob.Incarnation
	instance string
}

// fleet is a small set of tables that exchange messages with delays, losses and
// duplicates, over clocks of different rates.
type fleet struct {
	faults   faults
	random   *rand.Rand
	now      time.Duration
	loss     float64
	nodes    []*node
	bag      []message
	running  map[rattanjob.Incarnation]bool
	opened   []Epoch
	votes    map[rattanjob.EpochID][]Vote
	ended    map[rattanjob.EpochID]bool
	lists    []InstanceList
	observed map[observation]Member
	verdicts int
	// cut holds pairs of zones; messages from the first to the second are lost.
	cut map[[2]string]bool
	// bytes counts, if it is set, the JSON sent and received by each node.
	bytes map[*node]int
}

func newFleet(seed uint64, size, zones int, injected faults) *fleet {
	f := &fleet{
		faults:   injected,
		random:   rand.New(rand.NewPCG(seed, 1)),
		running:  map[rattanjob.Incarnation]bool{},
		votes:    map[rattanjob.EpochID][]Vote{},
		ended:    map[rattanjob.EpochID]bool{},
		observed: map[observation]Member{},
	}
	for i := range size {
		n := &node{zone: fmt.Sprintf("zone-%d", i%zones), rate: 0.955 + 0.09*f.random.Float64()}
		if injected.rates {
			n.rate = 0.4 + 1.2*f.random.Float64()
		}
		n.incarnation = rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(100 + i)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func (f *fleet) local(n *node) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(float64(f.now) * n.rate))
}

func (f *fleet) start(n *node) {
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
	n.table = New(f.local(n), config)
	n.up, n.hostDown, n.leaving, n.pausedUntil = true, false, false, 0
	f.running[n.incarnation] = true
}

func (f *fleet) kill(n *node, hostDown bool) {
	n.up, n.hostDown = false, hostDown
	delete(f.running, n.incarnation)
}

func (f *fleet) active() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return !n.up || f.now < n.pausedUntil })
}

// step lets time pass, calls the nodes and delivers the messages that are due.
func (f *fleet) step(elapsed time.Duration) error {
	f.now += elapsed
	for _, n := range f.active() {
		// Calls that are left out in a row are a pause, which is a fault as well.
		if f.loss > 0 && f.random.IntN(8) == 0 {
			continue
		}
		if !f.faults.noRoll || f.loss > 0 {
			f.roll(n)
		}
		for _, out := range n.table.Heartbeats(f.local(n)) {
			f.send(message{from: n.incarnation, to: out.To.Incarnation, sent: f.local(n), heartbeat: &out.Heartbeat})
		}
	}
	f.deliver()
	return f.check()
}

func (f *fleet) roll(n *node) {
	for _, event := range n.table.UpdateEpochs(f.local(n)) {
		if event.Kind == EventEpochOpened {
			f.opened = append(f.opened, event.Epoch)
		}
	}
}

func (f *fleet) send(m message) {
	// Messages that left before a partition still arrive.
	if to, from := f.node(m.to.Instance), f.node(m.from.Instance); to.group != from.group || to.deafTo == from {
		return
	}
	if to, from := f.node(m.to.Instance), f.node(m.from.Instance); f.cut[[2]string{from.zone, to.zone}] {
		return
	}
	f.count(m)
	if f.faults.noChanges && m.heartbeat != nil {
		m.heartbeat.Changes = nil
	}
	copies := 1
	if f.random.Float64() < f.loss {
		copies = 2 * f.random.IntN(2)
	}
	for range copies {
		delayed := m
		delayed.ready = f.now + time.Duration(1+f.random.IntN(20))*time.Millisecond
		if f.random.Float64() < f.loss || f.node(m.to.Instance).late {
			delayed.ready += time.Duration(f.random.IntN(3_000)) * time.Millisecond
		}
		f.bag = append(f.bag, delayed)
	}
}

func (f *fleet) deliver() {
	var due []message
	f.bag = slices.DeleteFunc(f.bag, func(m message) bool {
		if m.ready > f.now {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b message) int { return cmp.Compare(a.ready, b.ready) })
	for _, m := range due {
		to := f.node(m.to.Instance)
		switch {
		case !to.up:
		case f.now < to.pausedUntil:
			m.ready = to.pausedUntil + time.Duration(f.random.IntN(30))*time.Millisecond
			f.bag = append(f.bag, m)
		case m.heartbeat != nil:
			reply := to.table.HandleHeartbeat(f.local(to), encoded(f, *m.heartbeat))
			f.send(message{from: to.incarnation, to: m.from, sent: m.sent, reply: &reply})
		case to.incarnation == m.to:
			f.acknowledge(to, m)
		}
	}
}

func (f *fleet) acknowledge(to *node, m message) {
	reply := encoded(f, *m.reply)
	if f.faults.noChanges {
		reply.Changes = nil
	}
	sent := m.sent
	if f.faults.countsFromReply {
		sent = f.local(to)
	}
	to.table.HandleAcknowledgement(f.local(to), sent, reply)
}

// encoded sends some messages through their JSON form.
func encoded[T any](f *fleet, sent T) T {
	if f.random.IntN(16) != 0 {
		return sent
	}
	data, err := json.Marshal(sent)
	if err != nil {
		panic(err)
	}
	var decoded T
	if err := json.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

func (f *fleet) node(instance string) *node {
	var index int
	if _, err := fmt.Sscanf(instance, "entry-%d", &index); err != nil {
		panic(err)
	}
	return f.nodes[index]
}

// witnessed returns the epochs that a vote can decide on.
func (f *fleet) witnessed() []Epoch {
	return slices.DeleteFunc(slices.Clone(f.opened), func(epoch Epoch) bool {
		return len(epoch.Witnesses) == 0 || f.ended[epoch.ID] || !f.running[epoch.ID.Home]
	})
}

// collect asks the witnesses of an epoch for votes and decides on all votes so
// far. Votes are promises, so that old ones still count.
func (f *fleet) collect(asking *node, epoch Epoch) error {
	for _, n := range f.active() {
		if f.loss == 0 || f.random.IntN(8) != 0 {
			vote := encoded(f, n.table.Vote(f.local(n), epoch.ID, epoch.Witnesses))
			f.votes[epoch.ID] = append(f.votes[epoch.ID], vote)
		}
	}
	votes := f.votes[epoch.ID]
	if f.faults.doubleVotes && len(epoch.Witnesses) > 0 && slices.ContainsFunc(votes, func(v Vote) bool { return v.Ended }) {
		for _, witness := range epoch.Witnesses {
			votes = append(votes, Vote{Witness: witness, Epoch: epoch.ID, Ended: true})
		}
	}
	if !asking.table.EpochEnded(f.local(asking), epoch.ID, epoch.Witnesses, votes) {
		return nil
	}
	f.ended[epoch.ID] = true
	if !f.running[epoch.ID.Home] {
		return nil
	}
	f.verdicts++
	voters := map[rattanjob.Incarnation]bool{}
	for _, vote := range f.votes[epoch.ID] {
		if vote.Ended && slices.Contains(epoch.Witnesses, vote.Witness) {
			voters[vote.Witness] = true
		}
	}
	if 2*len(voters) <= len(epoch.Witnesses)+1 {
		return errors.WithType(errors.Errorf("%v: %d votes of %d voters", epoch.ID, len(voters), len(epoch.Witnesses)+1), errFalseEnd)
	}
	return nil
}

// check asserts the invariants that hold at every moment.
func (f *fleet) check() error {
	for id := range f.ended {
		home := f.node(id.Home.Instance)
		awake := home.up && f.now >= home.pausedUntil
		if awake && home.incarnation == id.Home && home.table.EpochValid(f.local(home), id) {
			return errors.WithType(errors.Errorf("%v at %v", id, f.now), errValidAfterEnd)
		}
	}
	for _, n := range f.active() {
		if n.table.currentEpochs() > 1 {
			return errors.WithType(errors.Errorf("%v at %v", n.incarnation, f.now), errTwoCurrent)
		}
		for _, member := range n.table.Members(f.local(n)) {
			key := observation{observer: n.incarnation, instance: member.Incarnation.Instance}
			before, known := f.observed[key]
			if f.faults.revive && before.Status == StatusDead {
				member.Status = StatusAlive
			}
			lower := member.Incarnation.Number < before.Incarnation.Number
			risen := member.Incarnation == before.Incarnation && before.Status == StatusDead && member.Status != StatusDead
			if known && (lower || risen) {
				return errors.WithType(errors.Errorf("%v: %v after %v", key, member, before), errRevived)
			}
			f.observed[key] = member
		}
	}
	return nil
}

// isolate delays the messages to a home and then cuts it off, so that
// acknowledgements arrive when its witnesses may vote already.
func (f *fleet) isolate() error {
	epochs := f.witnessed()
	if len(epochs) == 0 {
		return nil
	}
	n := f.node(epochs[len(epochs)-1].ID.Home.Instance)
	n.late = true
	for range 6 {
		if err := f.step(time.Duration(100+f.random.IntN(150)) * time.Millisecond); err != nil {
			return err
		}
	}
	n.group = 1 - n.group
	return nil
}

// unreachable tells a node of a failed connection, as far as the host of the
// other can tell.
func (f *fleet) unreachable(n, other *node) {
	known, found := n.table.Member(f.local(n), other.incarnation.Instance)
	if n == other || !found {
		return
	}
	refused := n.group == other.group && !other.up && !other.hostDown
	if f.faults.pauseRefuses && f.now < other.pausedUntil {
		refused = true
	}
	n.table.HandleUnreachable(f.local(n), known.Incarnation, refused)
}

// list publishes an instance list, or hands out the latest ones.
func (f *fleet) list(n *node) {
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
	n.table.ObserveInstances(f.local(n), list)
}

// heal ends all faults and checks that the fleet converges.
func (f *fleet) heal() error {
	f.mend()
	if err := f.run(40 * time.Second); err != nil {
		return err
	}
	return f.converged()
}

// mend ends all faults.
func (f *fleet) mend() {
	f.loss = 0
	if !f.faults.keepCut {
		f.cut = nil
	}
	for i, n := range f.nodes {
		n.group, n.pausedUntil, n.deafTo, n.late = 0, 0, nil, false
		if n.leaving && n.up {
			f.kill(n, false)
		}
		if last := len(f.nodes) - 1; i == last && len(f.active()) == 0 {
			f.start(n)
		}
	}
	if !f.connected() {
		for _, n := range f.nodes {
			f.list(n)
		}
	}
}

// connected reports whether every running node can be found from every other
// over seeds and known members. Nodes that have never heard of each other and
// whose seeds are all down can only be brought together by the instance list.
func (f *fleet) connected() bool {
	active := f.active()
	group := map[*node]int{}
	for i, n := range active {
		group[n] = i
	}
	for range active {
		for _, n := range active {
			for i, other := range f.nodes {
				_, known := n.table.Member(f.local(n), other.incarnation.Instance)
				if joined := min(group[n], group[other]); other.up && (known || i < 2) {
					group[n], group[other] = joined, joined
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

func (f *fleet) run(duration time.Duration) error {
	for end := f.now + duration; f.now < end; {
		if err := f.step(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) converged() error {
	zones := map[string]int{}
	for _, n := range f.active() {
		zones[n.zone]++
	}
	for _, n := range f.active() {
		for _, other := range f.active() {
			member, found := n.table.Member(f.local(n), other.incarnation.Instance)
			if !found || member.Incarnation != other.incarnation || member.Status != StatusAlive {
				return errors.WithType(errors.Errorf("%v sees %v as %v", n.incarnation, other.incarnation, member), errDiverged)
			}
			owner, found := n.table.Owner(f.local(n), other.zone, 0)
			if !found || !f.running[owner.Incarnation] {
				return errors.WithType(errors.Errorf("%v: owner of %v is %v", n.incarnation, other.zone, owner), errDiverged)
			}
			home := f.node(owner.Incarnation.Instance)
			epoch, open := home.table.CurrentEpoch(f.local(home))
			want := min(4, (zones[other.zone]-1)/2*2)
			if !open || len(epoch.Witnesses) != want || owner.Epoch.ID != epoch.ID {
				return errors.WithType(errors.Errorf("%v: epoch of %v is %v (%v), announced %v, want %d witnesses", n.incarnation, home.incarnation, epoch, open, owner.Epoch.ID, want), errDiverged)
			}
		}
	}
	return nil
}

// strand ends all nodes but one without a trace and checks that it continues.
func (f *fleet) strand(survivor *node) error {
	for _, n := range f.nodes {
		if n != survivor {
			f.kill(n, true)
		}
	}
	// A front closes a silent link after 2 s; each other member may be the owner
	// for as long.
	for range f.nodes {
		if err := f.run(2 * time.Second); err != nil {
			return err
		}
		if owner, found := survivor.table.Owner(f.local(survivor), survivor.zone, 0); found {
			f.unreachable(survivor, f.node(owner.Incarnation.Instance))
		}
	}
	if err := f.run(3 * time.Second); err != nil {
		return err
	}
	epoch, open := survivor.table.CurrentEpoch(f.local(survivor))
	if !open || len(epoch.Witnesses) != 0 || !survivor.table.EpochValid(f.local(survivor), epoch.ID) {
		return errors.WithType(errors.Errorf("%v: %v (%v)", survivor.incarnation, epoch, open), errStranded)
	}
	return nil
}
