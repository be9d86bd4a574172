package rattanmember

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Bounds of names in messages, and of what is kept.
const (
	maxWitnesses   = 4
	maxNameSize    = 64
	maxAddressSize = 128
	// maxMembers and maxTenures bound what a received message may carry. They
	// do not depend on the configuration, which may differ between instances.
	maxMembers     = 64
	maxTenures     = 64
	forgetInterval = 10 * time.Second
	// maxJoinPeers bounds the seeds that a joining member contacts at once.
	maxJoinPeers = 8
)

// entry is what this table keeps of another member.
type entry struct {
	member Member
	// learnedAt is when the age of the member's epoch was as in member.
	learnedAt time.Time
	// heardAt is when the member itself was last heard from.
	heardAt time.Time
	// changedAt is when the status last changed.
	changedAt time.Time
	// awaitingSince is when the first unanswered heartbeat was sent.
	awaitingSince time.Time
	probed        bool
	proof         Proof
	// transmissions is the number of messages that still carry the change.
	transmissions int
	queued        bool
	// digest is the memberDigest of member.
	digest uint64
	// listed is set once an instance list has contained the instance.
	listed bool
}

// takeIn merges a message's sender and changes. It returns false when the sender
// is an incarnation that has ended.
func (t *Table) takeIn(now time.Time, from Member, changes []Member, payload []byte) bool {
	if len(payload) > t.config.MaxPayload || len(changes) > maxMembers {
		t.counters.Malformed++
		return false
	}
	for _, change := range changes {
		t.merge(now, t.checked(from, change))
	}
	if from.Incarnation.Instance == t.self.Incarnation.Instance {
		t.mergeSelf(now, from)
		return false
	}
	t.merge(now, from)
	known := t.entries[from.Incarnation.Instance]
	if known == nil || known.member.Incarnation != from.Incarnation {
		return false
	}
	if known.member.Status == StatusDead {
		t.counters.Contradictions++
		return false
	}
	known.heardAt = now
	if known.member.Version == from.Version {
		known.member.Epoch = from.Epoch
		known.learnedAt = now
	}
	return true
}

// checked returns what is said of a member, without the suspicion of a member of
// the own availability zone that a member of another zone tells of. That one may
// be cut off from this zone in one direction only; a home that believed it would
// change its witnesses, and its zone the owner, again and again. The suspected
// member is probed instead.
func (t *Table) checked(from, said Member) Member {
	if said.Status != StatusSuspect || !t.ownZone(said) || from.AvailabilityZone == t.self.AvailabilityZone {
		return said
	}
	known := t.entries[said.Incarnation.Instance]
	if known == nil || known.member.Incarnation != said.Incarnation || known.member.Status != StatusAlive {
		return said
	}
	t.probe(known)
	said.Status = StatusAlive
	return said
}

// merge applies what is said of a member, if it is later than what is known. A
// later incarnation wins over an earlier one, death over everything else of the
// same incarnation, a higher version over a lower one, and suspicion over any
// other status of the same version.
func (t *Table) merge(now time.Time, said Member) {
	if !wellFormed(said) {
		t.counters.Malformed++
		return
	}
	if said.Incarnation.Instance == t.self.Incarnation.Instance {
		t.mergeSelf(now, said)
		return
	}
	known := t.entries[said.Incarnation.Instance]
	if known == nil {
		known = t.add(now, said)
		t.spread(known)
		return
	}
	if !supersedes(said, known.member) {
		return
	}
	if said.Incarnation != known.member.Incarnation {
		*known = entry{queued: known.queued, probed: known.probed, listed: known.listed}
	}
	t.set(now, known, said)
	t.spread(known)
}

func supersedes(said, known Member) bool {
	switch {
	case said.Incarnation.Number != known.Incarnation.Number:
		return said.Incarnation.Number > known.Incarnation.Number
	case known.Status == StatusDead:
		return false
	case said.Status == StatusDead:
		return true
	case said.Version != known.Version:
		return said.Version > known.Version
	}
	return said.Status == StatusSuspect && known.Status != StatusSuspect
}

// mergeSelf refutes a suspicion of this member, and notices that the others take
// it for dead.
func (t *Table) mergeSelf(now time.Time, said Member) {
	switch {
	case said.Incarnation.Number < t.self.Incarnation.Number:
		t.noticeNamesake(said)
	case said.Incarnation.Number > t.self.Incarnation.Number || said.Status == StatusDead:
		t.supersede(now)
	case said.Status == StatusSuspect && said.Version >= t.self.Version:
		t.self.Version = said.Version + 1
		t.counters.Refutations++
	}
}

func (t *Table) add(now time.Time, said Member) *entry {
	name := said.Incarnation.Instance
	_, listed := t.list.instances[name]
	known := &entry{listed: listed}
	t.entries[name] = known
	t.addedAt = now
	if t.ownZone(said) {
		t.zoneMembers++
		if t.zoneMembers <= t.config.MaxWitnesses || said.Compare(&t.self) < 0 {
			t.joinedAt = now
		}
	}
	t.set(now, known, said)
	t.order = append(t.order, name)
	if last, at := len(t.order)-1, t.nextOrder; at < last {
		at += t.config.Random.IntN(last - at + 1)
		t.order[at], t.order[last] = t.order[last], t.order[at]
	}
	return known
}

func (t *Table) set(now time.Time, known *entry, said Member) {
	if known.member.Status == StatusSuspect {
		known.awaitingSince = time.Time{}
	}
	known.member = said
	known.digest = memberDigest(&said)
	known.learnedAt = now
	known.changedAt = now
	if said.Status == StatusDead {
		known.proof = ProofReported
		t.counters.Deaths++
	}
	clear(t.owners)
}

func (t *Table) suspect(now time.Time, known *entry) {
	if known.member.Status == StatusSuspect || known.member.Status == StatusDead {
		return
	}
	known.member.Status = StatusSuspect
	known.changedAt = now
	t.counters.Suspicions++
	clear(t.owners)
	t.spread(known)
}

func (t *Table) bury(now time.Time, known *entry, proof Proof) {
	known.member.Status = StatusDead
	known.member.Epoch.Witnesses = nil
	known.proof = proof
	known.changedAt = now
	t.counters.Deaths++
	clear(t.owners)
	t.spread(known)
}

// spread queues a member for the next messages, before those that were sent
// already, so that news passes on at once although many members wait. The number of transmissions
// grows with the logarithm of the fleet, so that a change reaches everyone.
func (t *Table) spread(known *entry) {
	known.transmissions = 3 * bits.Len(uint(len(t.entries)+1))
	if known.queued {
		return
	}
	known.queued = true
	queue := t.queueOf(known)
	*queue = slices.Insert(*queue, 0, known.member.Incarnation.Instance)
}

// queueOf lets owners of pools go before other members. After the start of a
// whole fleet or a partition hundreds of members wait, and everyone must learn
// the owners.
func (t *Table) queueOf(known *entry) *[]string {
	if known.member.Claim > 0 {
		return &t.urgent
	}
	return &t.changed
}

// dequeue returns the next name of a queue of changes, urgent ones first, if
// one of the first count is left.
func (t *Table) dequeue(urgent, changed *int) (string, bool) {
	queue, left := &t.urgent, urgent
	if *urgent == 0 {
		queue, left = &t.changed, changed
	}
	if *left == 0 {
		return "", false
	}
	*left--
	name := (*queue)[0]
	*queue = (*queue)[1:]
	return name, true
}

// changesFor returns at most maxChanges members for a message: the receiver
// itself if it is taken for silent, ended or replaced, then recent changes, then
// up to refresh others in turn.
func (t *Table) changesFor(now time.Time, incarnation rattanjob.Incarnation, refresh int) []Member {
	receiver := incarnation.Instance
	limit := t.maxChanges(now, refresh)
	var changes []Member
	add := func(known *entry) {
		changes = append(changes, known.member.at(now.Sub(known.learnedAt)))
	}
	if known := t.entries[receiver]; known != nil {
		doubted := known.member.Status == StatusSuspect || known.member.Status == StatusDead
		replaced := known.member.Incarnation.Number > incarnation.Number
		if doubted || replaced {
			add(known)
		}
	}
	urgent, changed := len(t.urgent), len(t.changed)
	if refresh == 0 {
		changed = 0
	}
	for {
		if len(changes) >= limit {
			break
		}
		name, left := t.dequeue(&urgent, &changed)
		if !left {
			break
		}
		known := t.entries[name]
		if known == nil {
			continue
		}
		known.transmissions--
		known.queued = known.transmissions > 0
		if known.queued {
			queue := t.queueOf(known)
			*queue = append(*queue, name)
		}
		if name != receiver {
			add(known)
		}
	}
	for range min(refresh, max(0, limit-len(changes)), len(t.order)) {
		t.refresh = (t.refresh + 1) % len(t.order)
		if name := t.order[t.refresh]; name != receiver {
			add(t.entries[name])
		}
	}
	if refresh > 0 {
		t.allowance = max(0, t.allowance-float64(len(changes)))
	}
	return changes
}

// maxChanges returns how many members a message may carry. Heartbeats to
// witnesses and their replies, which have no refresh, carry only few changes and
// only of owners: a home exchanges some 20 of them in a second, and with
// MaxChanges in each it spent up to 60 KB/s after a partition. Otherwise a member
// sends at most changesPerSecond, except just after its own start, which may be
// that of the whole fleet. Replies to members that know few have more.
func (t *Table) maxChanges(now time.Time, refresh int) int {
	if refresh == 0 {
		return min(witnessChanges, t.config.MaxChanges)
	}
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.allowance = min(joinChanges, t.allowance+changesPerSecond*elapsed.Seconds())
		t.refilledAt = now
	}
	started := now.Sub(t.startedAt) < joinLimit*t.config.JoinDuration
	switch {
	case started && now.Sub(t.addedAt) < t.config.JoinDuration:
		return max(joinChanges, t.config.MaxChanges)
	case refresh == joinChanges:
		return max(int(t.allowance), min(witnessChanges, t.config.MaxChanges))
	}
	return min(t.config.MaxChanges, max(witnessChanges, int(t.allowance)))
}

// witnesses appends the witnesses of all epochs of this home.
func (t *Table) witnesses(receivers []Member) []Member {
	for _, epoch := range t.epochs {
		for _, witness := range epoch.witnesses {
			known := t.entries[witness.Instance]
			if known != nil && known.member.Incarnation == witness && known.member.Status != StatusDead {
				receivers = appendReceiver(receivers, known.member)
			}
		}
	}
	return receivers
}

// probed appends the members that have not answered yet.
func (t *Table) probed(receivers []Member) []Member {
	for _, name := range t.probes {
		receivers = appendReceiver(receivers, t.entries[name].member)
	}
	return receivers
}

// announced appends some members of the own availability zone once after a new
// epoch has opened, because fronts there wait for it. The rest learns of it from
// changes.
func (t *Table) announced(receivers []Member) []Member {
	if !t.announcing {
		return receivers
	}
	t.announcing = false
	limit := len(receivers) + maxWitnesses
	for _, name := range t.order {
		known := t.entries[name]
		near := known.member.AvailabilityZone == t.self.AvailabilityZone
		if near && known.member.Status == StatusAlive && len(receivers) < limit {
			receivers = appendReceiver(receivers, known.member)
		}
	}
	return receivers
}

// randomPeer returns one member or seed, or none. Every member has its turn once
// in each shuffled round, which bounds the time until a failure is noticed.
func (t *Table) randomPeer() Member {
	seeds := t.unknownSeeds()
	if choice := t.config.Random.IntN(len(t.order) + len(seeds) + 1); choice < len(seeds) {
		return seeds[choice]
	}
	if len(t.order) == 0 {
		return Member{}
	}
	if t.nextOrder >= len(t.order) {
		t.shuffle()
	}
	receiver := t.entries[t.order[t.nextOrder]].member
	t.nextOrder++
	// A later incarnation may run at the address of one that has ended, without
	// any member left that it knows.
	if receiver.Status == StatusDead {
		receiver.Incarnation.Number = 0
	}
	return receiver
}

// joinPeers appends the seeds of the own availability zone that a joining member
// has not heard from, or any seeds if there are none of its zone. A member that
// would claim a pool asks the others again too, because more senior members may
// have answered them since.
func (t *Table) joinPeers(now time.Time, receivers []Member) []Member {
	if t.joined {
		return receivers
	}
	_, named := t.heardFromNamed()
	_, claims := t.vacantPool(now)
	limit := len(receivers) + maxJoinPeers
	for i := range t.config.Seeds {
		seed := t.config.Seeds[(t.nextSeed+i)%len(t.config.Seeds)]
		if len(receivers) >= limit || named > 0 && !t.ownZone(seed) || seed.Incarnation.Instance == t.self.Incarnation.Instance {
			continue
		}
		known := t.entries[seed.Incarnation.Instance]
		switch {
		case known == nil:
			receivers = appendReceiver(receivers, seed)
		case known.heardAt.IsZero() || claims && known.member.Status == StatusAlive:
			receivers = appendReceiver(receivers, known.member)
		}
	}
	t.nextSeed = (t.nextSeed + maxJoinPeers) % max(1, len(t.config.Seeds))
	return receivers
}

// unknownSeeds returns the seeds and the listed instances that are not known as
// members.
func (t *Table) unknownSeeds() []Member {
	var seeds []Member
	add := func(seed Member) {
		name := seed.Incarnation.Instance
		if name != t.self.Incarnation.Instance && t.entries[name] == nil {
			seed.Incarnation.Number = 0
			seeds = appendReceiver(seeds, seed)
		}
	}
	for _, seed := range t.config.Seeds {
		add(seed)
	}
	for _, name := range t.list.names {
		add(t.list.instances[name])
	}
	return seeds
}

func (t *Table) shuffle() {
	t.nextOrder = 0
	for i := len(t.order) - 1; i > 0; i-- {
		j := t.config.Random.IntN(i + 1)
		t.order[i], t.order[j] = t.order[j], t.order[i]
	}
}

// probe sends heartbeats to a member at every interval until it answers or is
// suspected.
func (t *Table) probe(known *entry) {
	if known.probed || known.member.Status != StatusAlive {
		return
	}
	known.probed = true
	t.probes = append(t.probes, known.member.Incarnation.Instance)
}

// suspectSilent suspects the members that have not answered two heartbeats and
// stops to probe those that have.
func (t *Table) suspectSilent(now time.Time) {
	t.probes = slices.DeleteFunc(t.probes, func(name string) bool {
		known := t.entries[name]
		if known == nil {
			return true
		}
		waiting := !known.awaitingSince.IsZero()
		if waiting && now.Sub(known.awaitingSince) >= t.suspectAfter() {
			t.suspect(now, known)
		}
		sent := waiting || now.Sub(known.heardAt) >= 2*t.config.HeartbeatInterval
		known.probed = sent && known.member.Status == StatusAlive
		return !known.probed
	})
}

func (t *Table) suspectAfter() time.Duration {
	return 2*t.config.HeartbeatInterval + t.config.HeartbeatInterval/2
}

// noticePause forgives missing answers after a pause of this member itself.
func (t *Table) noticePause(now time.Time) {
	if !t.joined && now.Sub(t.lastTick) >= t.config.HeartbeatInterval/2 {
		t.joinedAt = now
	}
	if now.Sub(t.lastTick) < t.config.TenureDuration {
		return
	}
	t.lastTick = now
	t.resumedAt = now
	t.counters.Pauses++
	for _, known := range t.entries {
		known.awaitingSince = time.Time{}
	}
}

// forget drops members that have been dead or silent for ForgetAfter.
func (t *Table) forget(now time.Time) {
	if now.Before(t.nextForget) {
		return
	}
	t.nextForget = now.Add(forgetInterval)
	t.forgetGrants(now)
	for name, known := range t.entries {
		gone := known.member.Status == StatusDead || known.member.Status == StatusSuspect
		if !gone || now.Sub(known.changedAt) < t.config.ForgetAfter {
			continue
		}
		delete(t.entries, name)
		t.order = removeName(t.order, name)
		t.probes = removeName(t.probes, name)
		t.changed = removeName(t.changed, name)
		t.urgent = removeName(t.urgent, name)
	}
}

func appendReceiver(receivers []Member, receiver Member) []Member {
	for _, other := range receivers {
		if other.Incarnation.Instance == receiver.Incarnation.Instance {
			return receivers
		}
	}
	return append(receivers, receiver)
}

func wellFormed(said Member) bool {
	name := said.Incarnation.Instance
	switch {
	case name == "" || len(name) > maxNameSize || said.Incarnation.Number == 0:
		return false
	case len(said.AvailabilityZone) > maxNameSize || len(said.PeerAddress) > maxAddressSize:
		return false
	case said.Status < StatusAlive || said.Status > StatusDead || said.Claim < 0:
		return false
	}
	return len(said.Epoch.Witnesses) <= maxWitnesses
}
