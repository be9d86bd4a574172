package rattanmember

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Limits on the contents of messages and on the stored state.
const (
	maxWitnesses   = 4
	maxNameSize    = 64
	maxAddressSize = 128
	// maxMembers and maxRenewals limit the contents of a received message. They
	// do not depend on the configuration, which may differ between instances.
	maxMembers  = 64
	maxRenewals = 64
	// forgetInterval is the minimum time between searches for members and
	// grants to forget.
	forgetInterval = 10 * time.Second
	// maxJoinPeers limits the seeds that a joining member contacts at once.
	maxJoinPeers = 8
)

// memberEntry is the state kept for another member.
type memberEntry struct {
	member Member
	// learnedAt is the time as of which the epoch's age in member is correct.
	learnedAt time.Time
	// lastHeardAt is when the last message from the member itself arrived.
	lastHeardAt time.Time
	// statusChangedAt is when the status last changed.
	statusChangedAt time.Time
	// awaitingSince is when the first unanswered heartbeat was sent.
	awaitingSince time.Time
	// probing is set while the name is in Table.probedNames.
	probing bool
	proof   Proof
	// transmissionsLeft is the number of further messages that carry the
	// change.
	transmissionsLeft int
	// queued is set while the name is in Table.updateQueue or Table.ownerQueue.
	queued bool
	// digest is the memberDigest of member.
	digest uint64
	// listed is set once an instance list has contained the instance.
	listed bool
}

// mergeMessage merges the sender and the changes of a message. It returns false
// when the message is malformed, comes from this instance itself, or comes from
// an incarnation that has ended.
func (t *Table) mergeMessage(now time.Time, from Member, changes []Member, payload []byte) bool {
	if len(payload) > t.config.MaxPayload || len(changes) > maxMembers {
		t.counters.Malformed++
		return false
	}
	for _, change := range changes {
		t.merge(now, t.withoutRemoteSuspicion(from, change))
	}
	if from.Incarnation.Instance == t.self.Incarnation.Instance {
		t.mergeSelf(now, from)
		return false
	}
	t.merge(now, from)
	entry := t.entries[from.Incarnation.Instance]
	if entry == nil || entry.member.Incarnation != from.Incarnation {
		return false
	}
	if entry.member.Status == StatusDead {
		t.counters.MessagesFromDead++
		return false
	}
	entry.lastHeardAt = now
	if entry.member.Version == from.Version {
		entry.member.Epoch = from.Epoch
		entry.learnedAt = now
	}
	return true
}

// withoutRemoteSuspicion returns the reported member. If a member of another
// zone suspects a member of this zone, the status is changed to alive: the
// reporter may be cut off from this zone in one direction only, and if its
// suspicion were accepted, the home would change its witnesses, and the zone
// its owner, again and again. The suspected member is probed instead.
func (t *Table) withoutRemoteSuspicion(from, reported Member) Member {
	if reported.Status != StatusSuspect || !t.inOwnZone(reported) || from.AvailabilityZone == t.self.AvailabilityZone {
		return reported
	}
	entry := t.entries[reported.Incarnation.Instance]
	if entry == nil || entry.member.Incarnation != reported.Incarnation || entry.member.Status != StatusAlive {
		return reported
	}
	t.startProbe(entry)
	reported.Status = StatusAlive
	return reported
}

// merge applies a reported member if it is newer than the known state. A later
// incarnation takes precedence over an earlier one, death over every other
// status of the same incarnation, a higher version over a lower one, and
// suspicion over any other status of the same version.
func (t *Table) merge(now time.Time, reported Member) {
	if !wellFormed(reported) {
		t.counters.Malformed++
		return
	}
	if reported.Incarnation.Instance == t.self.Incarnation.Instance {
		t.mergeSelf(now, reported)
		return
	}
	entry := t.entries[reported.Incarnation.Instance]
	if entry == nil {
		entry = t.addEntry(now, reported)
		t.queueUpdate(entry)
		return
	}
	if !supersedes(reported, entry.member) {
		return
	}
	if reported.Incarnation != entry.member.Incarnation {
		*entry = memberEntry{queued: entry.queued, probing: entry.probing, listed: entry.listed}
	}
	t.setMember(now, entry, reported)
	t.queueUpdate(entry)
}

// supersedes reports whether the reported state takes precedence over the
// current one; see merge.
func supersedes(reported, current Member) bool {
	switch {
	case reported.Incarnation.Number != current.Incarnation.Number:
		return reported.Incarnation.Number > current.Incarnation.Number
	case current.Status == StatusDead:
		return false
	case reported.Status == StatusDead:
		return true
	case reported.Version != current.Version:
		return reported.Version > current.Version
	}
	return reported.Status == StatusSuspect && current.Status != StatusSuspect
}

// mergeSelf refutes a suspicion of this member, and detects that the others
// consider it dead.
func (t *Table) mergeSelf(now time.Time, reported Member) {
	switch {
	case reported.Incarnation.Number < t.self.Incarnation.Number:
		t.detectNameConflict(reported)
	case reported.Incarnation.Number > t.self.Incarnation.Number || reported.Status == StatusDead:
		t.markSuperseded(now)
	case reported.Status == StatusSuspect && reported.Version >= t.self.Version:
		t.self.Version = reported.Version + 1
		t.counters.Refutations++
	}
}

// addEntry adds a member. It inserts the name at a random position among those
// that are still to be contacted in this round.
func (t *Table) addEntry(now time.Time, reported Member) *memberEntry {
	name := reported.Incarnation.Instance
	_, listed := t.list.instances[name]
	entry := &memberEntry{listed: listed}
	t.entries[name] = entry
	t.lastAddedAt = now
	if t.inOwnZone(reported) {
		t.zoneMembersAdded++
		if t.zoneMembersAdded <= t.config.MaxWitnesses || reported.Compare(&t.self) < 0 {
			t.lastRelevantAddedAt = now
		}
	}
	t.setMember(now, entry, reported)
	t.contactOrder = append(t.contactOrder, name)
	if last, swap := len(t.contactOrder)-1, t.nextContact; swap < last {
		swap += t.config.Random.IntN(last - swap + 1)
		t.contactOrder[swap], t.contactOrder[last] = t.contactOrder[last], t.contactOrder[swap]
	}
	return entry
}

// setMember replaces the known state of a member by the reported one.
func (t *Table) setMember(now time.Time, entry *memberEntry, reported Member) {
	if entry.member.Status == StatusSuspect {
		entry.awaitingSince = time.Time{}
	}
	entry.member = reported
	entry.digest = memberDigest(&reported)
	entry.learnedAt = now
	entry.statusChangedAt = now
	if reported.Status == StatusDead {
		entry.proof = ProofReported
		t.counters.Deaths++
	}
	clear(t.ownerCache)
}

func (t *Table) markSuspect(now time.Time, entry *memberEntry) {
	if entry.member.Status == StatusSuspect || entry.member.Status == StatusDead {
		return
	}
	entry.member.Status = StatusSuspect
	entry.statusChangedAt = now
	t.counters.Suspicions++
	clear(t.ownerCache)
	t.queueUpdate(entry)
}

func (t *Table) markDead(now time.Time, entry *memberEntry, proof Proof) {
	entry.member.Status = StatusDead
	entry.member.Epoch.Witnesses = nil
	entry.proof = proof
	entry.statusChangedAt = now
	t.counters.Deaths++
	clear(t.ownerCache)
	t.queueUpdate(entry)
}

// queueUpdate queues a member for the next messages, ahead of those that were
// sent already, so that new changes propagate at once even if many are queued.
// The number of transmissions grows with the logarithm of the number of
// members, so that a change reaches all of them.
func (t *Table) queueUpdate(entry *memberEntry) {
	entry.transmissionsLeft = 3 * bits.Len(uint(len(t.entries)+1))
	if entry.queued {
		return
	}
	entry.queued = true
	queue := t.queueFor(entry)
	*queue = slices.Insert(*queue, 0, entry.member.Incarnation.Instance)
}

// queueFor returns the queue for a member. Owners of pools have a queue that is
// sent first: after all members have started at once, or after a partition,
// hundreds of members are queued, and everyone needs to learn the owners.
func (t *Table) queueFor(entry *memberEntry) *[]string {
	if entry.member.Claim > 0 {
		return &t.ownerQueue
	}
	return &t.updateQueue
}

// dequeue returns the next queued name, owners first, and decrements the count
// of names that the caller may still take from that queue. It returns false
// when both counts are 0.
func (t *Table) dequeue(ownersLeft, updatesLeft *int) (string, bool) {
	queue, left := &t.ownerQueue, ownersLeft
	if *ownersLeft == 0 {
		queue, left = &t.updateQueue, updatesLeft
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
// itself if it is considered suspect, dead or replaced, then recent changes,
// then up to refresh others in turn.
func (t *Table) changesFor(now time.Time, incarnation rattanjob.Incarnation, refresh int) []Member {
	receiver := incarnation.Instance
	limit := t.maxChanges(now, refresh)
	var changes []Member
	add := func(entry *memberEntry) {
		changes = append(changes, entry.member.withEpochAge(now.Sub(entry.learnedAt)))
	}
	if entry := t.entries[receiver]; entry != nil {
		suspectOrDead := entry.member.Status == StatusSuspect || entry.member.Status == StatusDead
		replaced := entry.member.Incarnation.Number > incarnation.Number
		if suspectOrDead || replaced {
			add(entry)
		}
	}
	ownersLeft, updatesLeft := len(t.ownerQueue), len(t.updateQueue)
	if refresh == 0 {
		updatesLeft = 0
	}
	for {
		if len(changes) >= limit {
			break
		}
		name, ok := t.dequeue(&ownersLeft, &updatesLeft)
		if !ok {
			break
		}
		entry := t.entries[name]
		if entry == nil {
			continue
		}
		entry.transmissionsLeft--
		entry.queued = entry.transmissionsLeft > 0
		if entry.queued {
			queue := t.queueFor(entry)
			*queue = append(*queue, name)
		}
		if name != receiver {
			add(entry)
		}
	}
	for range min(refresh, max(0, limit-len(changes)), len(t.contactOrder)) {
		t.refreshIndex = (t.refreshIndex + 1) % len(t.contactOrder)
		if name := t.contactOrder[t.refreshIndex]; name != receiver {
			add(t.entries[name])
		}
	}
	if refresh > 0 {
		t.sendTokens = max(0, t.sendTokens-float64(len(changes)))
	}
	return changes
}

// maxChanges returns how many members a message may carry. Heartbeats to
// witnesses and their replies, which have no refresh, carry few changes and
// only those of owners: a home exchanges about 20 of them per second, and with
// MaxChanges in each it used up to 60 KB/s after a partition. Otherwise a
// member sends at most gossipMembersPerSecond, except just after its own start,
// when all members may be starting. Replies to members that know few others
// carry more.
func (t *Table) maxChanges(now time.Time, refresh int) int {
	if refresh == 0 {
		return min(witnessMessageMembers, t.config.MaxChanges)
	}
	if elapsed := now.Sub(t.tokensRefilledAt); elapsed > 0 {
		t.sendTokens = min(joinMessageMembers, t.sendTokens+gossipMembersPerSecond*elapsed.Seconds())
		t.tokensRefilledAt = now
	}
	starting := now.Sub(t.startedAt) < maxJoinDurations*t.config.JoinDuration
	switch {
	case starting && now.Sub(t.lastAddedAt) < t.config.JoinDuration:
		return max(joinMessageMembers, t.config.MaxChanges)
	case refresh == joinMessageMembers:
		return max(int(t.sendTokens), min(witnessMessageMembers, t.config.MaxChanges))
	}
	return min(t.config.MaxChanges, max(witnessMessageMembers, int(t.sendTokens)))
}

// appendWitnesses appends the witnesses of all epochs of this home.
func (t *Table) appendWitnesses(receivers []Member) []Member {
	for _, epoch := range t.epochs {
		for _, witness := range epoch.witnesses {
			entry := t.entries[witness.Instance]
			if entry != nil && entry.member.Incarnation == witness && entry.member.Status != StatusDead {
				receivers = appendReceiver(receivers, entry.member)
			}
		}
	}
	return receivers
}

// appendProbed appends the members that are being probed.
func (t *Table) appendProbed(receivers []Member) []Member {
	for _, name := range t.probedNames {
		receivers = appendReceiver(receivers, t.entries[name].member)
	}
	return receivers
}

// appendAnnouncementReceivers appends some members of this member's
// availability zone once after a new epoch has opened, because the front ends
// there wait for it. The others learn of it through changes.
func (t *Table) appendAnnouncementReceivers(receivers []Member) []Member {
	if !t.announceEpoch {
		return receivers
	}
	t.announceEpoch = false
	limit := len(receivers) + maxWitnesses
	for _, name := range t.contactOrder {
		entry := t.entries[name]
		sameZone := entry.member.AvailabilityZone == t.self.AvailabilityZone
		if sameZone && entry.member.Status == StatusAlive && len(receivers) < limit {
			receivers = appendReceiver(receivers, entry.member)
		}
	}
	return receivers
}

// nextGossipPeer returns a member or a seed, or a zero Member if there is none.
// Every member is contacted once per shuffled round, which bounds the time to
// detect a failure.
func (t *Table) nextGossipPeer() Member {
	seeds := t.unknownSeeds()
	if choice := t.config.Random.IntN(len(t.contactOrder) + len(seeds) + 1); choice < len(seeds) {
		return seeds[choice]
	}
	if len(t.contactOrder) == 0 {
		return Member{}
	}
	if t.nextContact >= len(t.contactOrder) {
		t.shuffleContacts()
	}
	receiver := t.entries[t.contactOrder[t.nextContact]].member
	t.nextContact++
	// A later incarnation may run at the address of a dead one without knowing
	// any other member.
	if receiver.Status == StatusDead {
		receiver.Incarnation.Number = 0
	}
	return receiver
}

// appendJoinPeers appends the seeds of the availability zone that a joining
// member has not heard from, or any seeds if there are none in its zone. A
// member that is about to claim a pool contacts the others again, because more
// senior members may have reached them since.
func (t *Table) appendJoinPeers(now time.Time, receivers []Member) []Member {
	if t.joined {
		return receivers
	}
	_, zoneSeeds := t.heardZoneSeeds()
	_, wouldClaim := t.vacantPool(now)
	limit := len(receivers) + maxJoinPeers
	for i := range t.config.Seeds {
		seed := t.config.Seeds[(t.nextSeedIndex+i)%len(t.config.Seeds)]
		if len(receivers) >= limit || zoneSeeds > 0 && !t.inOwnZone(seed) || seed.Incarnation.Instance == t.self.Incarnation.Instance {
			continue
		}
		entry := t.entries[seed.Incarnation.Instance]
		switch {
		case entry == nil:
			receivers = appendReceiver(receivers, seed)
		case entry.lastHeardAt.IsZero() || wouldClaim && entry.member.Status == StatusAlive:
			receivers = appendReceiver(receivers, entry.member)
		}
	}
	t.nextSeedIndex = (t.nextSeedIndex + maxJoinPeers) % max(1, len(t.config.Seeds))
	return receivers
}

// unknownSeeds returns the seeds and the listed instances that are not yet
// known as members.
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

// shuffleContacts starts a new round of contacts in random order.
func (t *Table) shuffleContacts() {
	t.nextContact = 0
	for i := len(t.contactOrder) - 1; i > 0; i-- {
		j := t.config.Random.IntN(i + 1)
		t.contactOrder[i], t.contactOrder[j] = t.contactOrder[j], t.contactOrder[i]
	}
}

// startProbe sends heartbeats to a member at every interval until it answers or
// becomes suspect.
func (t *Table) startProbe(entry *memberEntry) {
	if entry.probing || entry.member.Status != StatusAlive {
		return
	}
	entry.probing = true
	t.probedNames = append(t.probedNames, entry.member.Incarnation.Instance)
}

// suspectSilent suspects the members that have not answered two heartbeats and
// stops probing those that have answered.
func (t *Table) suspectSilent(now time.Time) {
	t.probedNames = slices.DeleteFunc(t.probedNames, func(name string) bool {
		entry := t.entries[name]
		if entry == nil {
			return true
		}
		waiting := !entry.awaitingSince.IsZero()
		if waiting && now.Sub(entry.awaitingSince) >= t.suspectAfter() {
			t.markSuspect(now, entry)
		}
		expectsAnswer := waiting || now.Sub(entry.lastHeardAt) >= 2*t.config.HeartbeatInterval
		entry.probing = expectsAnswer && entry.member.Status == StatusAlive
		return !entry.probing
	})
}

// suspectAfter returns how long a heartbeat may stay unanswered before its
// receiver is suspected.
func (t *Table) suspectAfter() time.Duration {
	return 2*t.config.HeartbeatInterval + t.config.HeartbeatInterval/2
}

// detectPause detects that this process itself was paused, and then no longer
// counts the outstanding answers of other members as missing. While joining, a
// shorter pause is enough to restart the wait for further members.
func (t *Table) detectPause(now time.Time) {
	if !t.joined && now.Sub(t.lastHeartbeatsAt) >= t.config.HeartbeatInterval/2 {
		t.lastRelevantAddedAt = now
	}
	if now.Sub(t.lastHeartbeatsAt) < t.config.TenureDuration {
		return
	}
	t.lastHeartbeatsAt = now
	t.resumedAt = now
	t.counters.Pauses++
	for _, entry := range t.entries {
		entry.awaitingSince = time.Time{}
	}
}

// forgetMembers drops members that have been dead or suspect for ForgetAfter.
func (t *Table) forgetMembers(now time.Time) {
	if now.Before(t.nextForgetAt) {
		return
	}
	t.nextForgetAt = now.Add(forgetInterval)
	t.expireGrants(now)
	for name, entry := range t.entries {
		deadOrSuspect := entry.member.Status == StatusDead || entry.member.Status == StatusSuspect
		if !deadOrSuspect || now.Sub(entry.statusChangedAt) < t.config.ForgetAfter {
			continue
		}
		delete(t.entries, name)
		t.contactOrder = removeName(t.contactOrder, name)
		t.probedNames = removeName(t.probedNames, name)
		t.updateQueue = removeName(t.updateQueue, name)
		t.ownerQueue = removeName(t.ownerQueue, name)
	}
}

// appendReceiver appends the receiver unless it is already in the list.
func appendReceiver(receivers []Member, receiver Member) []Member {
	for _, other := range receivers {
		if other.Incarnation.Instance == receiver.Incarnation.Instance {
			return receivers
		}
	}
	return append(receivers, receiver)
}

// wellFormed reports whether a received member is complete and within the
// limits.
func wellFormed(reported Member) bool {
	name := reported.Incarnation.Instance
	switch {
	case name == "" || len(name) > maxNameSize || reported.Incarnation.Number == 0:
		return false
	case len(reported.AvailabilityZone) > maxNameSize || len(reported.PeerAddress) > maxAddressSize:
		return false
	case reported.Status < StatusAlive || reported.Status > StatusDead || reported.Claim < 0:
		return false
	}
	return len(reported.Epoch.Witnesses) <= maxWitnesses
}
