package rattanmember

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Default values of a Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultGossipInterval    = time.Second
	DefaultTenureDuration    = 1200 * time.Millisecond
	// DefaultVerdictMargin tolerates clock rates that differ by less than 10%.
	DefaultVerdictMargin = 300 * time.Millisecond
	// DefaultDrainDuration covers the lifetime of a key, the longest deadline
	// and the retention of the record.
	DefaultDrainDuration         = 21 * time.Minute
	DefaultRetention             = 10 * time.Minute
	DefaultJoinDuration          = 2 * time.Second
	DefaultWitnessGrowthInterval = 10 * time.Second
	DefaultForgetAfter           = time.Hour
	DefaultMaxInstanceListLag    = time.Minute
	DefaultMaxWitnesses          = 4
	DefaultMaxChanges            = 8
	// DefaultMaxPayload keeps the traffic of a home with 4 witnesses, which
	// exchanges about 20 messages per second, below 30 KB/s.
	DefaultMaxPayload = 256
	DefaultMaxEpochs  = 16
	DefaultMaxGrants  = 4096
)

const (
	// gossipRefreshMembers is the number of unchanged members in a random
	// heartbeat and its reply. They allow members that missed a change to
	// converge.
	gossipRefreshMembers = 4
	// witnessMessageMembers is the number of members in a heartbeat to a
	// witness and in its reply.
	witnessMessageMembers = 2
	// gossipMembersPerSecond is the number of members that one member sends in
	// random heartbeats and their replies. At about 250 bytes each this is 4
	// KB/s.
	gossipMembersPerSecond = 16
	// joinMessageMembers is the number of members in a message while many are
	// new, and in the reply to a member that knows fewer than nine tenths of
	// the members that the receiver knows.
	joinMessageMembers = 32
)

// Random is the source of random choices, such as *rand.Rand of math/rand/v2.
type Random interface {
	IntN(n int) int
}

// Config holds the identity of a member, its timing and its limits. Zero values
// are replaced by the defaults, except for Self, Seeds, Pools and Random.
type Config struct {
	// Self needs an incarnation, an availability zone and a peer address.
	Self Member
	// Seeds are the instances to contact first. Their incarnation number is 0.
	Seeds []Member
	// Pools is the number of pools in this member's availability zone; see
	// SetPools.
	Pools             int
	Random            Random
	HeartbeatInterval time.Duration
	GossipInterval    time.Duration
	// TenureDuration is how long a witness's acknowledgement of a heartbeat
	// keeps an epoch valid, counted from when the heartbeat was sent.
	TenureDuration time.Duration
	// VerdictMargin is how much longer than TenureDuration a witness waits
	// before it votes that an epoch has ended.
	VerdictMargin time.Duration
	// DrainDuration is the maximum time for which an epoch is kept after a
	// rollover: a key may be submitted at the end of its lifetime, its job may
	// run until the longest deadline, and its record is then kept for
	// Retention.
	DrainDuration time.Duration
	// Retention is the minimum time for which an epoch is kept after a
	// rollover; see DrainedEpochs. Until then the ledger may hold records of
	// the epoch, and can answer for a key that was never submitted that it was
	// not run.
	Retention time.Duration
	// JoinDuration is how long a member with seeds waits without discovering a
	// new member of its availability zone before it claims a pool, once it has
	// heard from a majority of the seeds in its zone. It waits at most 5 times
	// as long in total, and 1.5 HeartbeatIntervals when it has heard from all
	// of them.
	JoinDuration time.Duration
	// WitnessGrowthInterval is the minimum time between rollovers that only add
	// witnesses.
	WitnessGrowthInterval time.Duration
	// ForgetAfter is the time for which a dead or silent member is remembered.
	ForgetAfter time.Duration
	// MaxInstanceListLag is the maximum time until a started instance appears
	// in the instance list.
	MaxInstanceListLag time.Duration
	// MaxWitnesses is at most 4, the number of witnesses that a key can hold.
	MaxWitnesses int
	// MaxChanges limits the members in one message, except just after the start
	// and for a receiver that knows few members, when the limit is 32.
	MaxChanges int
	// MaxPayload limits the bytes of the payload of a message.
	MaxPayload int
	// MaxEpochs limits the epochs of this home that are open at the same time:
	// at the limit, no rollover replaces the current epoch. A home without a
	// current epoch opens one regardless.
	MaxEpochs int
	// MaxGrants limits the epochs of other homes that are remembered.
	MaxGrants int
}

// Counters are totals since the start, except for the last four, which are
// current values.
type Counters struct {
	EpochsOpened uint64
	EpochsFenced uint64
	// EpochsAbandoned counts epochs that never became valid.
	EpochsAbandoned uint64
	VotesEnded      uint64
	Suspicions      uint64
	Refutations     uint64
	Deaths          uint64
	Pauses          uint64
	// MessagesFromDead counts messages from incarnations that are marked dead.
	MessagesFromDead uint64
	// Malformed counts members and payloads in messages that exceed a limit.
	Malformed uint64

	Members int
	Alive   int
	Epochs  int
	Grants  int
}

// Table is one member's view of the other members, and its own epochs. It is
// not safe for concurrent use.
type Table struct {
	config Config
	self   Member
	// superseded is set when the others consider this incarnation dead.
	superseded bool
	startedAt  time.Time
	// lastAddedAt is when a member was last added.
	lastAddedAt time.Time
	// lastRelevantAddedAt is when a member of this availability zone was last
	// added that is more senior or may be needed as a witness.
	lastRelevantAddedAt time.Time
	// zoneMembersAdded counts the members of this availability zone added so
	// far.
	zoneMembersAdded int
	// nameConflict is another process with the name of this instance at another
	// address. returnedConflicts holds the addresses that NameConflict has
	// returned.
	nameConflict      Member
	returnedConflicts map[string]bool
	// joined is set once this member may claim a pool; see isJoining.
	joined  bool
	payload []byte
	pools   int

	entries map[string]*memberEntry
	// contactOrder holds the names of the members in the order in which they
	// are contacted.
	contactOrder []string
	// nextContact is the index in contactOrder of the next member to contact.
	nextContact int
	// updateQueue and ownerQueue hold the names of members whose changes still
	// have to be sent; members with a claim are in ownerQueue.
	updateQueue []string
	ownerQueue  []string
	// sendTokens is a token bucket for the members that may be sent, as of
	// tokensRefilledAt.
	sendTokens       float64
	tokensRefilledAt time.Time
	// refreshIndex is the index in contactOrder of the unchanged member that
	// was last sent as a refresh.
	refreshIndex int
	// nextSeedIndex is the index of the seed that a joining member contacts
	// next.
	nextSeedIndex int
	// probedNames holds the members that are being probed.
	probedNames []string
	// announceEpoch is set when the next heartbeats have to announce a new
	// epoch.
	announceEpoch bool

	epochs            []*homeEpoch
	lastEpochNumber   uint32
	lastEpochOpenedAt time.Time
	grants            map[rattanjob.EpochID]*grant
	list              instanceList
	events            []Event

	// lastHeartbeatsAt is when Heartbeats was last called, or when a pause was
	// detected since.
	lastHeartbeatsAt time.Time
	// resumedAt is when the last pause of this process was detected.
	resumedAt       time.Time
	nextHeartbeatAt time.Time
	nextGossipAt    time.Time
	nextForgetAt    time.Time
	ownerCache      map[ownerKey]ownerValue
	counters        Counters
}

// New returns a table that knows only itself and its seeds.
func New(now time.Time, config Config) *Table {
	config.setDefaults()
	t := &Table{
		config:              config,
		self:                config.Self,
		startedAt:           now,
		lastRelevantAddedAt: now,
		pools:               config.Pools,
		entries:             map[string]*memberEntry{},
		grants:              map[rattanjob.EpochID]*grant{},
		lastHeartbeatsAt:    now,
		resumedAt:           now.Add(-config.TenureDuration),
		nextHeartbeatAt:     now,
		nextGossipAt:        now,
		nextForgetAt:        now.Add(forgetInterval),
		ownerCache:          map[ownerKey]ownerValue{},
		returnedConflicts:   map[string]bool{},
	}
	t.self.Status = StatusAlive
	t.self.Version = 1
	t.self.Claim = 0
	t.self.Epoch = Epoch{}
	return t
}

// Self returns this member as it is announced to others.
func (t *Table) Self(now time.Time) Member {
	self := t.self
	if current := t.epochInPhase(phaseCurrent); current != nil {
		self.Epoch = current.announcement(now)
	}
	return self
}

// Members returns all known members except this one.
func (t *Table) Members(now time.Time) []Member {
	members := make([]Member, 0, len(t.entries))
	for _, entry := range t.entries {
		members = append(members, entry.member.withEpochAge(now.Sub(entry.learnedAt)))
	}
	return members
}

// Member returns a member by the name of its instance.
func (t *Table) Member(now time.Time, instance string) (Member, bool) {
	if instance == t.self.Incarnation.Instance {
		return t.Self(now), true
	}
	entry := t.entries[instance]
	if entry == nil {
		return Member{}, false
	}
	return entry.member.withEpochAge(now.Sub(entry.learnedAt)), true
}

// SetPayload replaces the payload of later messages. A payload of more than
// MaxPayload bytes is counted as malformed and ignored.
func (t *Table) SetPayload(payload []byte) {
	if len(payload) > t.config.MaxPayload {
		t.counters.Malformed++
		return
	}
	t.payload = payload
}

// SetPools sets the number of pools in this member's availability zone. The
// member is a home when it owns one of them.
func (t *Table) SetPools(pools int) {
	t.pools = pools
}

// Counters returns the current counters.
func (t *Table) Counters() Counters {
	counters := t.counters
	counters.Members = len(t.entries)
	counters.Epochs = len(t.epochs)
	counters.Grants = len(t.grants)
	for _, entry := range t.entries {
		if entry.member.Status == StatusAlive {
			counters.Alive++
		}
	}
	return counters
}

// Heartbeats returns the heartbeats that are due. It must be called several
// times per HeartbeatInterval; the caller passes the same now to
// HandleAcknowledgement as the time of sending.
func (t *Table) Heartbeats(now time.Time) []Outgoing {
	t.expireEpochs(now)
	t.lastHeartbeatsAt = now
	t.probeSilentHomes(now)
	t.suspectSilent(now)
	t.forgetMembers(now)
	if t.superseded {
		return nil
	}
	var receivers []Member
	if !now.Before(t.nextHeartbeatAt) {
		t.nextHeartbeatAt = nextDue(now, t.nextHeartbeatAt, t.config.HeartbeatInterval)
		receivers = t.appendWitnesses(receivers)
		receivers = t.appendProbed(receivers)
		receivers = t.appendJoinPeers(now, receivers)
	}
	receivers = t.appendAnnouncementReceivers(receivers)
	// The peer may be a witness as well, especially in a small zone; its
	// heartbeat then carries the changes of a random heartbeat.
	var peer Member
	if !now.Before(t.nextGossipAt) {
		t.nextGossipAt = nextDue(now, t.nextGossipAt, t.config.GossipInterval)
		if peer = t.nextGossipPeer(); peer.Incarnation.Instance != "" {
			receivers = appendReceiver(receivers, peer)
		}
	}
	outgoing := make([]Outgoing, 0, len(receivers))
	for _, receiver := range receivers {
		refresh := 0
		if receiver.Incarnation.Instance == peer.Incarnation.Instance {
			refresh = gossipRefreshMembers
		}
		outgoing = append(outgoing, t.newHeartbeat(now, receiver, refresh))
	}
	return outgoing
}

// HandleHeartbeat processes a heartbeat and returns the reply.
func (t *Table) HandleHeartbeat(now time.Time, heartbeat Heartbeat) Acknowledgement {
	t.expireEpochs(now)
	sender := heartbeat.From.Incarnation
	current := t.mergeMessage(now, heartbeat.From, heartbeat.Changes, heartbeat.Payload)
	reply := Acknowledgement{From: t.Self(now), To: sender, Payload: t.payload}
	if current && heartbeat.To == t.self.Incarnation && !t.superseded {
		t.grantRenewals(now, sender, heartbeat.Renewals, &reply)
	}
	refresh := t.refreshCount(heartbeat)
	reply.Changes = t.changesFor(now, sender, refresh)
	if refresh == joinMessageMembers || heartbeat.Joining {
		reply.Changes = t.appendOwners(now, reply.Changes, heartbeat.From)
	}
	return reply
}

// HandleAcknowledgement processes the reply to a heartbeat. The time sent is
// the one that was passed to Heartbeats.
func (t *Table) HandleAcknowledgement(now, sent time.Time, reply Acknowledgement) {
	t.expireEpochs(now)
	if reply.To != t.self.Incarnation || t.superseded {
		return
	}
	if !t.mergeMessage(now, reply.From, reply.Changes, reply.Payload) {
		return
	}
	t.entries[reply.From.Incarnation.Instance].awaitingSince = time.Time{}
	for _, epoch := range t.epochs {
		epoch.recordAcknowledgement(reply, sent)
	}
}

// HandleUnreachable records that an incarnation did not answer. If refused is
// set, its peer address refused the connection, which proves that it has ended.
// The incarnation must be the one that was known before the connection was
// attempted.
func (t *Table) HandleUnreachable(now time.Time, incarnation rattanjob.Incarnation, refused bool) {
	t.expireEpochs(now)
	entry := t.entries[incarnation.Instance]
	if entry == nil || entry.member.Incarnation != incarnation || entry.member.Status == StatusDead {
		return
	}
	if refused {
		t.markDead(now, entry, ProofRefused)
		return
	}
	t.markSuspect(now, entry)
}

// ObserveInstances processes the platform's instance list.
func (t *Table) ObserveInstances(now time.Time, list InstanceList) {
	t.expireEpochs(now)
	if list.Revision <= t.list.revision {
		return
	}
	t.applyInstanceList(now, list)
}

// EpochValid reports whether this member has authority over the epoch. Once it
// has returned false for an epoch that was open, it always does.
func (t *Table) EpochValid(now time.Time, id rattanjob.EpochID) bool {
	t.expireEpochs(now)
	for _, epoch := range t.epochs {
		if epoch.id == id {
			return epoch.phase != phasePending
		}
	}
	return false
}

// CurrentEpoch returns the epoch for which keys are issued, if this member is a
// home with a valid one.
func (t *Table) CurrentEpoch(now time.Time) (Epoch, bool) {
	t.expireEpochs(now)
	current := t.epochInPhase(phaseCurrent)
	if current == nil {
		return Epoch{}, false
	}
	return current.announcement(now), true
}

// UpdateEpochs claims a pool if needed, opens, rolls over and drains epochs,
// and returns the events since the last call. It must be called at least as
// often as Heartbeats, and preferably after every HandleAcknowledgement. An
// epoch becomes current only here, so that its EventEpochOpened precedes the
// first key.
func (t *Table) UpdateEpochs(now time.Time) []Event {
	t.expireEpochs(now)
	if !t.superseded {
		t.updateClaim(now)
		t.rollOver(now)
	}
	events := t.events
	t.events = nil
	return events
}

// DrainedEpochs returns the epochs that have been draining for Retention. The
// caller closes those of which it has no records left.
func (t *Table) DrainedEpochs(now time.Time) []rattanjob.EpochID {
	t.expireEpochs(now)
	var drained []rattanjob.EpochID
	for _, epoch := range t.epochs {
		if epoch.phase == phaseDraining && now.Sub(epoch.drainingSince) >= t.config.Retention {
			drained = append(drained, epoch.id)
		}
	}
	return drained
}

// CloseEpoch ends a draining epoch without records before DrainDuration is
// over.
func (t *Table) CloseEpoch(now time.Time, id rattanjob.EpochID) {
	t.expireEpochs(now)
	for _, epoch := range t.epochs {
		if epoch.id == id && epoch.phase == phaseDraining {
			t.endEpoch(now, epoch, EventEpochClosed)
			return
		}
	}
}

// Vote returns this member's vote, as a witness, on whether an epoch has ended.
// The witnesses are those in the key.
func (t *Table) Vote(now time.Time, id rattanjob.EpochID, witnesses []rattanjob.Incarnation) Vote {
	t.expireEpochs(now)
	vote := Vote{Witness: t.self.Incarnation, Epoch: id}
	if proof := t.proofOf(id.Home); proof != ProofNone {
		vote.Proof = proof
		return vote
	}
	if t.superseded || !contains(witnesses, t.self.Incarnation) {
		return vote
	}
	vote.Ended, vote.RetryAfter = t.voteEnded(now, id)
	return vote
}

// Proof returns a proof that an incarnation has ended, or ProofNone.
func (t *Table) Proof(now time.Time, incarnation rattanjob.Incarnation) Proof {
	t.expireEpochs(now)
	return t.proofOf(incarnation)
}

// EpochEnded reports whether an epoch has certainly ended: by a proof of this
// member or of a voter, or by the votes of a majority of the epoch's voters,
// which are its home and the witnesses in the key. False means that it is
// unknown.
func (t *Table) EpochEnded(now time.Time, id rattanjob.EpochID, witnesses []rattanjob.Incarnation, votes []Vote) bool {
	t.expireEpochs(now)
	if t.proofOf(id.Home) != ProofNone {
		return true
	}
	return endedByMajority(id, witnesses, votes)
}

// Leave announces that this member leaves. It gives up its pool, and its epochs
// drain.
func (t *Table) Leave(now time.Time) {
	t.expireEpochs(now)
	if t.self.Status == StatusLeaving {
		return
	}
	t.self.Status = StatusLeaving
	t.setClaim(now, 0)
}

// newHeartbeat returns a heartbeat with the given number of unchanged members.
// A receiver that has no unanswered heartbeat is probed until it answers.
func (t *Table) newHeartbeat(now time.Time, receiver Member, refresh int) Outgoing {
	if entry := t.entries[receiver.Incarnation.Instance]; entry != nil && entry.awaitingSince.IsZero() {
		entry.awaitingSince = now
		t.startProbe(entry)
	}
	message := Heartbeat{
		From:    t.Self(now),
		To:      receiver.Incarnation,
		Known:   len(t.entries),
		Joining: !t.joined,
		Payload: t.payload,
		Changes: t.changesFor(now, receiver.Incarnation, refresh),
	}
	if refresh > 0 {
		message.Digest = t.viewDigest()
	}
	for _, epoch := range t.epochs {
		if contains(epoch.witnesses, receiver.Incarnation) {
			message.Renewals = append(message.Renewals, EpochRenewal{ID: epoch.id, Age: now.Sub(epoch.start)})
		}
	}
	return Outgoing{To: receiver, Heartbeat: message}
}

// nextDue returns the next due time. Delays of the calls do not accumulate,
// because two intervals must fit in TenureDuration.
func nextDue(now, due time.Time, interval time.Duration) time.Time {
	if due = due.Add(interval); due.After(now) {
		return due
	}
	return now.Add(interval)
}

func (c *Config) setDefaults() {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.GossipInterval, DefaultGossipInterval)
	setDefault(&c.TenureDuration, DefaultTenureDuration)
	setDefault(&c.VerdictMargin, DefaultVerdictMargin)
	setDefault(&c.DrainDuration, DefaultDrainDuration)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.JoinDuration, DefaultJoinDuration)
	setDefault(&c.WitnessGrowthInterval, DefaultWitnessGrowthInterval)
	setDefault(&c.ForgetAfter, DefaultForgetAfter)
	setDefault(&c.MaxInstanceListLag, DefaultMaxInstanceListLag)
	setDefault(&c.MaxWitnesses, DefaultMaxWitnesses)
	setDefault(&c.MaxChanges, DefaultMaxChanges)
	setDefault(&c.MaxPayload, DefaultMaxPayload)
	setDefault(&c.MaxEpochs, DefaultMaxEpochs)
	setDefault(&c.MaxGrants, DefaultMaxGrants)
	c.MaxWitnesses = min(c.MaxWitnesses, maxWitnesses)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// refreshCount returns the number of unchanged members in the reply.
func (t *Table) refreshCount(heartbeat Heartbeat) int {
	switch {
	case 10*heartbeat.Known < 9*len(t.entries)-10:
		return joinMessageMembers
	case heartbeat.Digest != 0 && heartbeat.Digest != t.viewDigest():
		return t.config.MaxChanges
	case heartbeat.Digest != 0 || len(heartbeat.Renewals) == 0:
		return gossipRefreshMembers
	}
	return 0
}
