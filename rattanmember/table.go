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
	// DefaultVerdictMargin covers clocks whose rates differ by less than 10%.
	DefaultVerdictMargin = 300 * time.Millisecond
	// DefaultDrainDuration covers the lifetime of a key, the longest deadline
	// and the retention of the record.
	DefaultDrainDuration  = 21 * time.Minute
	DefaultRetention      = 10 * time.Minute
	DefaultJoinDuration   = 2 * time.Second
	DefaultGrowthInterval = 10 * time.Second
	DefaultForgetAfter    = time.Hour
	DefaultListLag        = time.Minute
	DefaultMaxWitnesses   = 4
	DefaultMaxChanges     = 8
	// DefaultMaxPayload keeps a home with 4 witnesses, which exchanges about 20
	// messages per second, under 30 KB/s.
	DefaultMaxPayload = 256
	DefaultMaxEpochs  = 16
	DefaultMaxGrants  = 4096
)

const (
	// refreshChanges is the number of unchanged members in a random heartbeat
	// and its reply. They let members converge that missed a change.
	refreshChanges = 4
	// witnessChanges is the number of members in a heartbeat to a witness and in
	// its reply.
	witnessChanges = 2
	// changesPerSecond is the number of members that one member sends in random
	// heartbeats and their replies. At about 250 bytes each they are 4 KB/s.
	changesPerSecond = 16
	// joinChanges is the number of members in a message while many are new, and
	// in the reply to a member that knows fewer than nine tenths of what the
	// receiver knows.
	joinChanges = 32
)

// Random is the source of random choices, such as *rand.Rand of math/rand/v2.
type Random interface {
	IntN(n int) int
}

// Config holds the identity of a member, its timings and its bounds. Zero
// values are replaced by the defaults, except for Self, Seeds, Pools and Random.
type Config struct {
	// Self has an incarnation, an availability zone and a peer address.
	Self Member
	// Seeds are instances to contact first. Their incarnation number is 0.
	Seeds []Member
	// Pools is the number of pools of the own availability zone; see SetPools.
	Pools             int
	Random            Random
	HeartbeatInterval time.Duration
	GossipInterval    time.Duration
	// TenureDuration is the time for which an acknowledgement supports an
	// epoch, from when the heartbeat was sent.
	TenureDuration time.Duration
	// VerdictMargin is the time by which a witness waits longer than
	// TenureDuration before it votes.
	VerdictMargin time.Duration
	// DrainDuration is the longest time after a rollover for which the old epoch
	// is kept: a key may be submitted at the end of its lifetime, run until the
	// longest deadline, and its record is kept for Retention then.
	DrainDuration time.Duration
	// Retention is the shortest time for which it is kept. Until then the ledger
	// may hold a record of it, and can answer for a key that was never submitted
	// that it was not run; see Drained.
	Retention time.Duration
	// JoinDuration is the time without a new member of the availability zone
	// after which a member with seeds claims a pool, once it has heard from a
	// majority of the seeds of its zone. It waits at most 5 times as long, and
	// 1.5 HeartbeatIntervals when it has heard from all of them.
	JoinDuration time.Duration
	// GrowthInterval is the shortest time between rollovers that only gain
	// witnesses.
	GrowthInterval time.Duration
	// ForgetAfter is the time for which a dead or silent member is remembered.
	ForgetAfter time.Duration
	// ListLag is the longest time until a started instance is in the list.
	ListLag time.Duration
	// MaxWitnesses is at most 4, the limit of a key.
	MaxWitnesses int
	// MaxChanges bounds the members in one message, except just after the start
	// and for a receiver that knows few members; then it is 32.
	MaxChanges int
	MaxPayload int
	// MaxEpochs bounds the epochs that are open at the same time through
	// rollovers.
	MaxEpochs int
	// MaxGrants bounds the epochs of other homes that are remembered.
	MaxGrants int
}

// Counters are totals since the start, except for the last four.
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
	// Contradictions counts messages from incarnations that are proved dead.
	Contradictions uint64
	// Malformed counts members and payloads in messages that break a bound.
	Malformed uint64

	Members int
	Alive   int
	Epochs  int
	Grants  int
}

// Table is one member's view of the others, and its own epochs. It is not safe
// for concurrent use.
type Table struct {
	config Config
	self   Member
	// superseded is set when the others take this incarnation for dead.
	superseded bool
	startedAt  time.Time
	// addedAt is when the last member was added.
	addedAt time.Time
	// joinedAt is when the last member of the own availability zone was added
	// that is more senior or that may be needed as a witness.
	joinedAt time.Time
	// zoneMembers counts the members of the own availability zone that were
	// added.
	zoneMembers int
	// namesake is another process of the same instance at another address, and
	// settled the addresses at which none answers.
	namesake Member
	settled  map[string]bool
	// joined is set when this member may claim a pool; see joining.
	joined  bool
	payload []byte
	pools   int

	entries map[string]*entry
	// order holds the names in the order in which they are contacted next.
	order     []string
	nextOrder int
	// changed and urgent hold the names with transmissions left; those of
	// members with a claim are in urgent.
	changed []string
	urgent  []string
	// allowance is the number of members that may be sent at once, as of
	// refilledAt.
	allowance  float64
	refilledAt time.Time
	refresh    int
	// nextSeed is the index of the seed that a joining member contacts next.
	nextSeed int
	// probes holds members that have not answered yet.
	probes []string
	// announcing is set when the next heartbeats announce a new epoch.
	announcing bool

	epochs     []*homeEpoch
	lastNumber uint32
	lastOpened time.Time
	grants     map[rattanjob.EpochID]*grant
	list       instanceList
	events     []Event

	lastTick      time.Time
	resumedAt     time.Time
	nextHeartbeat time.Time
	nextGossip    time.Time
	nextForget    time.Time
	owners        map[ownerKey]ownerValue
	counters      Counters
}

// New returns a table that knows only itself and its seeds.
func New(now time.Time, config Config) *Table {
	config.setDefaults()
	t := &Table{
		config:        config,
		self:          config.Self,
		startedAt:     now,
		joinedAt:      now,
		pools:         config.Pools,
		entries:       map[string]*entry{},
		grants:        map[rattanjob.EpochID]*grant{},
		lastTick:      now,
		resumedAt:     now.Add(-config.TenureDuration),
		nextHeartbeat: now,
		nextGossip:    now,
		nextForget:    now.Add(forgetInterval),
		owners:        map[ownerKey]ownerValue{},
		settled:       map[string]bool{},
	}
	t.self.Status = StatusAlive
	t.self.Version = 1
	t.self.Claim = 0
	t.self.Epoch = Epoch{}
	return t
}

// Self returns the member itself as it is announced to others.
func (t *Table) Self(now time.Time) Member {
	self := t.self
	if current := t.inPhase(phaseCurrent); current != nil {
		self.Epoch = current.announced(now)
	}
	return self
}

// Members returns all known members except for Self.
func (t *Table) Members(now time.Time) []Member {
	members := make([]Member, 0, len(t.entries))
	for _, known := range t.entries {
		members = append(members, known.member.at(now.Sub(known.learnedAt)))
	}
	return members
}

// Member returns a member by the name of its instance.
func (t *Table) Member(now time.Time, instance string) (Member, bool) {
	if instance == t.self.Incarnation.Instance {
		return t.Self(now), true
	}
	known := t.entries[instance]
	if known == nil {
		return Member{}, false
	}
	return known.member.at(now.Sub(known.learnedAt)), true
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

// SetPools sets the number of pools of the own availability zone. The member is
// a home when it owns one of them.
func (t *Table) SetPools(pools int) {
	t.pools = pools
}

// Counters returns the present values of the counters.
func (t *Table) Counters() Counters {
	counters := t.counters
	counters.Members = len(t.entries)
	counters.Epochs = len(t.epochs)
	counters.Grants = len(t.grants)
	for _, known := range t.entries {
		if known.member.Status == StatusAlive {
			counters.Alive++
		}
	}
	return counters
}

// Heartbeats returns the heartbeats that are due. It is called several times
// per HeartbeatInterval; the caller keeps now as the time of sending.
func (t *Table) Heartbeats(now time.Time) []Outgoing {
	t.advance(now)
	t.lastTick = now
	t.watchHomes(now)
	t.suspectSilent(now)
	t.forget(now)
	if t.superseded {
		return nil
	}
	var receivers []Member
	if !now.Before(t.nextHeartbeat) {
		t.nextHeartbeat = next(now, t.nextHeartbeat, t.config.HeartbeatInterval)
		receivers = t.witnesses(receivers)
		receivers = t.probed(receivers)
		receivers = t.joinPeers(now, receivers)
	}
	receivers = t.announced(receivers)
	// The peer may be a witness too, above all in a small zone; its heartbeat
	// then carries the changes that others get.
	var peer Member
	if !now.Before(t.nextGossip) {
		t.nextGossip = next(now, t.nextGossip, t.config.GossipInterval)
		if peer = t.randomPeer(); peer.Incarnation.Instance != "" {
			receivers = appendReceiver(receivers, peer)
		}
	}
	outgoing := make([]Outgoing, 0, len(receivers))
	for _, receiver := range receivers {
		refresh := 0
		if receiver.Incarnation.Instance == peer.Incarnation.Instance {
			refresh = refreshChanges
		}
		outgoing = append(outgoing, t.heartbeat(now, receiver, refresh))
	}
	return outgoing
}

// HandleHeartbeat takes in a heartbeat and returns the reply.
func (t *Table) HandleHeartbeat(now time.Time, heartbeat Heartbeat) Acknowledgement {
	t.advance(now)
	sender := heartbeat.From.Incarnation
	current := t.takeIn(now, heartbeat.From, heartbeat.Changes, heartbeat.Payload)
	reply := Acknowledgement{From: t.Self(now), To: sender, Payload: t.payload}
	if current && heartbeat.To == t.self.Incarnation && !t.superseded {
		t.acknowledge(now, sender, heartbeat.Tenures, &reply)
	}
	refresh := t.refreshFor(heartbeat)
	reply.Changes = t.changesFor(now, sender, refresh)
	if refresh == joinChanges || heartbeat.Joining {
		reply.Changes = t.appendOwners(now, reply.Changes, heartbeat.From)
	}
	return reply
}

// HandleAcknowledgement takes in the reply to a heartbeat that was sent at
// sent, the time that was given to Heartbeats.
func (t *Table) HandleAcknowledgement(now, sent time.Time, reply Acknowledgement) {
	t.advance(now)
	if reply.To != t.self.Incarnation || t.superseded {
		return
	}
	if !t.takeIn(now, reply.From, reply.Changes, reply.Payload) {
		return
	}
	t.entries[reply.From.Incarnation.Instance].awaitingSince = time.Time{}
	for _, epoch := range t.epochs {
		epoch.acknowledge(reply, sent)
	}
}

// HandleUnreachable takes in that an incarnation did not answer. With refused,
// its peer address refused the connection, which proves that it has ended. The
// incarnation must be the one that was known before the connection was tried.
func (t *Table) HandleUnreachable(now time.Time, incarnation rattanjob.Incarnation, refused bool) {
	t.advance(now)
	known := t.entries[incarnation.Instance]
	if known == nil || known.member.Incarnation != incarnation || known.member.Status == StatusDead {
		return
	}
	if refused {
		t.bury(now, known, ProofRefused)
		return
	}
	t.suspect(now, known)
}

// ObserveInstances takes in the platform's instance list.
func (t *Table) ObserveInstances(now time.Time, list InstanceList) {
	t.advance(now)
	if list.Revision <= t.list.revision {
		return
	}
	t.observe(now, list)
}

// EpochValid reports whether this member holds authority over the epoch. Once
// it was false for an epoch that has opened, it stays false.
func (t *Table) EpochValid(now time.Time, id rattanjob.EpochID) bool {
	t.advance(now)
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
	t.advance(now)
	current := t.inPhase(phaseCurrent)
	if current == nil {
		return Epoch{}, false
	}
	return current.announced(now), true
}

// UpdateEpochs opens, rolls over and drains epochs as needed and returns the events
// since the last call. It is called at least as often as Heartbeats, and best
// after every HandleAcknowledgement too. An epoch becomes the current one only
// here, so that its EventEpochOpened is not later than the first key.
func (t *Table) UpdateEpochs(now time.Time) []Event {
	t.advance(now)
	if !t.superseded {
		t.claim(now)
		t.roll(now)
	}
	events := t.events
	t.events = nil
	return events
}

// DrainedEpochs returns the epochs that have been draining for Retention. The caller
// closes those of which it has no record any more.
func (t *Table) DrainedEpochs(now time.Time) []rattanjob.EpochID {
	t.advance(now)
	var drained []rattanjob.EpochID
	for _, epoch := range t.epochs {
		if epoch.phase == phaseDraining && now.Sub(epoch.drainingSince) >= t.config.Retention {
			drained = append(drained, epoch.id)
		}
	}
	return drained
}

// CloseEpoch ends a draining epoch before its drain time, when it has no records.
func (t *Table) CloseEpoch(now time.Time, id rattanjob.EpochID) {
	t.advance(now)
	for _, epoch := range t.epochs {
		if epoch.id == id && epoch.phase == phaseDraining {
			t.end(now, epoch, EventEpochClosed)
			return
		}
	}
}

// Vote asks this member, as a witness, whether an epoch has ended. The
// witnesses are those of the key.
func (t *Table) Vote(now time.Time, id rattanjob.EpochID, witnesses []rattanjob.Incarnation) Vote {
	t.advance(now)
	vote := Vote{Witness: t.self.Incarnation, Epoch: id}
	if proof := t.proof(id.Home); proof != ProofNone {
		vote.Proof = proof
		return vote
	}
	if t.superseded || !contains(witnesses, t.self.Incarnation) {
		return vote
	}
	vote.Ended, vote.RetryAfter = t.vote(now, id)
	return vote
}

// Proof returns a proof that an incarnation has ended, or ProofNone.
func (t *Table) Proof(now time.Time, incarnation rattanjob.Incarnation) Proof {
	t.advance(now)
	return t.proof(incarnation)
}

// EpochEnded reports whether an epoch has certainly ended: by a proof of this member
// or of a voter, or by the votes of a majority of the epoch's voters, which are
// its home and the witnesses of the key. Otherwise nothing is known.
func (t *Table) EpochEnded(now time.Time, id rattanjob.EpochID, witnesses []rattanjob.Incarnation, votes []Vote) bool {
	t.advance(now)
	if t.proof(id.Home) != ProofNone {
		return true
	}
	return verdict(id, witnesses, votes)
}

// Leave announces that this member leaves. It gives up its pool, and its epochs
// drain.
func (t *Table) Leave(now time.Time) {
	t.advance(now)
	if t.self.Status == StatusLeaving {
		return
	}
	t.self.Status = StatusLeaving
	t.setClaim(now, 0)
}

func (t *Table) heartbeat(now time.Time, receiver Member, refresh int) Outgoing {
	if known := t.entries[receiver.Incarnation.Instance]; known != nil && known.awaitingSince.IsZero() {
		known.awaitingSince = now
		t.probe(known)
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
			message.Tenures = append(message.Tenures, Tenure{ID: epoch.id, Age: now.Sub(epoch.start)})
		}
	}
	return Outgoing{To: receiver, Heartbeat: message}
}

// next returns the next due time. It does not add up the delays of the calls,
// because two intervals must fit in a tenure.
func next(now, due time.Time, interval time.Duration) time.Time {
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
	setDefault(&c.GrowthInterval, DefaultGrowthInterval)
	setDefault(&c.ForgetAfter, DefaultForgetAfter)
	setDefault(&c.ListLag, DefaultListLag)
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

// refreshFor returns the number of unchanged members in the reply.
func (t *Table) refreshFor(heartbeat Heartbeat) int {
	switch {
	case 10*heartbeat.Known < 9*len(t.entries)-10:
		return joinChanges
	case heartbeat.Digest != 0 && heartbeat.Digest != t.viewDigest():
		return t.config.MaxChanges
	case heartbeat.Digest != 0 || len(heartbeat.Tenures) == 0:
		return refreshChanges
	}
	return 0
}
