package rattanentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanspread"
)

const (
	methodHeartbeat = "Heartbeat"
	methodVote      = "Vote"
	// heartbeatCheckInterval is how often the table is checked for due
	// heartbeats.
	heartbeatCheckInterval = 50 * time.Millisecond
	// gossipIntervalHeartbeats and joinDurationHeartbeats are the interval of
	// gossip and the duration of joining in heartbeat intervals: 1 s and 2 s
	// with the default of 500 ms.
	gossipIntervalHeartbeats = 2
	joinDurationHeartbeats   = 4
	// heartbeatTimeout bounds the wait for an acknowledgement.
	heartbeatTimeout = time.Second
	voteTimeout      = 300 * time.Millisecond
	// handoverTimeout is how long a home that leaves waits for another member
	// to take over its pool.
	handoverTimeout = 4 * time.Second
)

// MembershipConfig configures a Membership. All fields are required. Connect
// sets Peers.
type MembershipConfig struct {
	Settings    rattansettings.Settings
	Incarnation uint64
	Peers       PeerCaller
	Logger      *logrus.Logger
	// OnEpochOpened is called when an epoch of this instance begins, and
	// OnEpochFenced when it ends.
	OnEpochOpened func(now time.Time, epoch rattanjob.EpochID, start time.Time)
	OnEpochFenced func(now time.Time, epoch rattanjob.EpochID)
	// EpochEmpty reports whether no record of a job of the epoch is kept.
	EpochEmpty func(epoch rattanjob.EpochID) bool
	// OnSuperseded is called when other members consider this incarnation dead.
	OnSuperseded func()
	// OnNameInUse is called with an ErrNameInUse that occurs after the start.
	OnNameInUse func(error)
	// Payload returns the data that heartbeats carry for other services.
	Payload func() []byte
	// OnPayload is called with the payload of the peer at the address.
	OnPayload func(address string, payload []byte)
}

// Membership tracks the members and the epochs of this instance. It is safe for
// concurrent use.
type Membership struct {
	config MembershipConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// announced is set after the name was checked, when others may learn of
	// this incarnation.
	announced atomic.Bool

	mutex sync.Mutex
	table *rattanmember.Table
	// pools is the number of pools of the availability zone, at least 1.
	pools int
}

// voteRequest asks a witness whether an epoch has ended.
type voteRequest struct {
	Epoch     rattanjob.EpochID
	Witnesses []rattanjob.Incarnation
}

// NewMembership returns a membership that knows only its seeds.
func NewMembership(now time.Time, config MembershipConfig) *Membership {
	settings := config.Settings
	seeds := make([]rattanmember.Member, 0, len(settings.Peers))
	for _, peer := range settings.Peers {
		seeds = append(seeds, rattanmember.Member{
			Incarnation:      rattanjob.Incarnation{Instance: peer.Name},
			AvailabilityZone: peer.AvailabilityZone,
			PeerAddress:      peer.PeerAddress,
		})
	}
	table := rattanmember.New(now, rattanmember.Config{
		Self: rattanmember.Member{
			Incarnation:      rattanjob.Incarnation{Instance: settings.Name, Number: config.Incarnation},
			AvailabilityZone: settings.AvailabilityZone,
			PeerAddress:      settings.PeerAddress,
		},
		Seeds:             seeds,
		Pools:             1,
		Random:            rand.New(rand.NewPCG(config.Incarnation, uint64(len(settings.Name)))),
		HeartbeatInterval: settings.Home.HeartbeatInterval.Std(),
		GossipInterval:    gossipIntervalHeartbeats * settings.Home.HeartbeatInterval.Std(),
		JoinDuration:      joinDurationHeartbeats * settings.Home.HeartbeatInterval.Std(),
		DrainDuration:     settings.Home.KeyLifetime.Std() + rattanjob.MaxDeadline + settings.Home.Retention.Std(),
		Retention:         settings.Home.Retention.Std(),
		TenureDuration:    settings.Home.TenureDuration.Std(),
		VerdictMargin:     settings.Home.VerdictMargin.Std(),
	})
	return &Membership{config: config, table: table, pools: 1}
}

// Connect resolves the services that the membership depends on.
func (m *Membership) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(servicePeers, &m.config.Peers),
	)
}

// Drain gives up the pool and waits until another member of the zone has taken
// it over, so that keys can be issued without interruption. The home still
// accepts jobs in the meantime.
func (m *Membership) Drain(ctx context.Context) error {
	m.mutex.Lock()
	owned := m.table.Self(time.Now()).Claim > 0
	m.table.Leave(time.Now())
	m.mutex.Unlock()
	if !owned {
		return nil
	}
	end := time.Now().Add(handoverTimeout)
	for ctx.Err() == nil && time.Now().Before(end) && m.zoneHasOthers(time.Now()) {
		owner, ok := m.Owner(time.Now())
		if ok && owner.Epoch.ID.Number > 0 && owner.Incarnation.Instance != m.config.Settings.Name {
			// The other members learn of the new owner within a heartbeat.
			sleep(ctx, m.config.Settings.Home.HeartbeatInterval.Std())
			return nil
		}
		sleep(ctx, heartbeatCheckInterval)
	}
	return nil
}

// EpochEnded asks the witnesses of the key's epoch whether it has ended.
func (m *Membership) EpochEnded(ctx context.Context, key rattanjob.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	request, err := json.Marshal(voteRequest{Epoch: key.Epoch, Witnesses: key.Witnesses})
	if err != nil {
		return false
	}
	votes := make(chan rattanmember.Vote, len(key.Witnesses))
	for _, witness := range key.Witnesses {
		go m.askWitness(ctx, witness, key, request, votes)
	}
	var received []rattanmember.Vote
	for range key.Witnesses {
		select {
		case vote := <-votes:
			received = append(received, vote)
		case <-ctx.Done():
		}
		if m.provesEnded(key, received) {
			return true
		}
	}
	return m.provesEnded(key, received)
}

// EpochValid reports whether this instance holds authority over the epoch.
func (m *Membership) EpochValid(now time.Time, epoch rattanjob.EpochID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.EpochValid(now, epoch)
}

// Handle registers the handlers of requests by other instances.
func (m *Membership) Handle(node *rattanpeer.Node) {
	node.Handle(methodHeartbeat, m.handleHeartbeat)
	node.Handle(methodIdentify, m.handleIdentify)
	node.Handle(methodVote, m.handleVote)
}

// Locate returns the peer address of the instance, and whether the incarnation
// is proved to have ended.
func (m *Membership) Locate(incarnation rattanjob.Incarnation) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if m.table.Proof(now, incarnation) != rattanmember.ProofNone {
		return "", true
	}
	member, ok := m.table.Member(now, incarnation.Instance)
	if !ok {
		return "", false
	}
	return member.PeerAddress, false
}

// Members returns all known members, including this one.
func (m *Membership) Members(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append(m.table.Members(now), m.table.Self(now))
}

// Counters returns the current values of the table's counters.
func (m *Membership) Counters() rattanmember.Counters {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Counters()
}

// Homes returns the other members that are alive and own a pool.
func (m *Membership) Homes(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var homes []rattanmember.Member
	for _, member := range m.table.Members(now) {
		if member.Claim > 0 && member.Status == rattanmember.StatusAlive {
			homes = append(homes, member)
		}
	}
	return homes
}

// Name returns the name of the service in the kernel.
func (m *Membership) Name() string {
	return serviceMembership
}

// Observe passes the entry instances in the platform's instance list to the
// table.
func (m *Membership) Observe(now time.Time, instances []rattanplatform.Instance) {
	list := rattanmember.InstanceList{Revision: uint64(now.UnixNano())}
	for _, instance := range instances {
		if instance.Role == rattanplatform.RoleEntry {
			list.Instances = append(list.Instances, rattanmember.Member{
				Incarnation:      rattanjob.Incarnation{Instance: instance.Name},
				AvailabilityZone: instance.AvailabilityZone,
				PeerAddress:      instance.PeerAddress,
			})
		}
	}
	if len(list.Instances) == 0 {
		// A list without any entry instance says nothing about them; some
		// platforms list targets only.
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.ObserveInstances(now, list)
}

// Owners returns the homes of this instance's availability zone that issue
// keys, by pool.
func (m *Membership) Owners(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	owners := make([]rattanmember.Member, 0, m.pools)
	for pool := range m.pools {
		owner, ok := m.table.Owner(now, m.config.Settings.AvailabilityZone, pool)
		if ok && owner.Epoch.ID.Number > 0 {
			owners = append(owners, owner)
		}
	}
	return owners
}

// OwnsPool reports whether this instance is a home.
func (m *Membership) OwnsPool(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Self(now).Claim > 0
}

// Others returns the other members that may be alive.
func (m *Membership) Others(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var others []rattanmember.Member
	for _, member := range m.table.Members(now) {
		if member.Status != rattanmember.StatusDead {
			others = append(others, member)
		}
	}
	return others
}

// Owner returns the home of the first pool of this instance's availability
// zone.
func (m *Membership) Owner(now time.Time) (rattanmember.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Owner(now, m.config.Settings.AvailabilityZone, 0)
}

// Pool returns the number of the pool that this instance owns and the number
// of pools of its zone.
func (m *Membership) Pool(now time.Time) (pool, pools int, owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	claim := m.table.Self(now).Claim
	return claim - 1, m.pools, claim > 0
}

// SetPools sets the number of pools of the availability zone.
func (m *Membership) SetPools(pools int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pools = pools
	m.table.SetPools(pools)
}

// Start checks the name of this instance and starts sending heartbeats. It
// returns ErrNameInUse if an earlier process with the same name answers.
func (m *Membership) Start(ctx context.Context) error {
	if err := m.checkName(ctx); err != nil {
		return err
	}
	m.announced.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.loops.Go(func() { m.heartbeatLoop(ctx) })
	return nil
}

// Stop stops the heartbeats.
func (m *Membership) Stop(context.Context) error {
	m.cancel()
	m.loops.Wait()
	return nil
}

// HandleUnreachable records that an incarnation did not answer and reports
// whether it is proved to have ended.
func (m *Membership) HandleUnreachable(now time.Time, incarnation rattanjob.Incarnation, refused bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.HandleUnreachable(now, incarnation, refused)
	return m.table.Proof(now, incarnation) != rattanmember.ProofNone
}

// PrecedingWatchers returns the members of this zone that precede this one in
// the order in which members read from the platform; see
// rattanspread.PrecedingWatchers.
func (m *Membership) PrecedingWatchers(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return rattanspread.PrecedingWatchers(m.table.Self(now), m.table.Members(now), m.pools)
}

// zoneHasOthers reports whether another member of the zone is alive.
func (m *Membership) zoneHasOthers(now time.Time) bool {
	for _, member := range m.Others(now) {
		if member.AvailabilityZone == m.config.Settings.AvailabilityZone && member.Status == rattanmember.StatusAlive && member.Incarnation.Number > 0 {
			return true
		}
	}
	return false
}

func (m *Membership) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// The time of the tick may be outdated after a pause of the process,
		// but decisions need the current time.
		now := time.Now()
		payload := m.config.Payload()
		m.mutex.Lock()
		events := m.table.UpdateEpochs(now)
		m.table.SetPayload(payload)
		outgoing := m.table.Heartbeats(now)
		duplicate, found := m.table.NameConflict()
		m.mutex.Unlock()
		if found {
			go m.checkLateDuplicate(ctx, duplicate)
		}
		m.handleEvents(now, events)
		m.closeDrained(now)
		for _, heartbeat := range outgoing {
			go m.sendHeartbeat(ctx, now, heartbeat)
		}
	}
}

// closeDrained closes draining epochs without records. Otherwise they would
// cost heartbeats and count against the limit of open epochs.
func (m *Membership) closeDrained(now time.Time) {
	m.mutex.Lock()
	drained := m.table.DrainedEpochs(now)
	m.mutex.Unlock()
	for _, epoch := range drained {
		if m.config.EpochEmpty(epoch) {
			m.mutex.Lock()
			m.table.CloseEpoch(now, epoch)
			m.mutex.Unlock()
		}
	}
}

// handleEvents logs the events of the table and calls the matching callbacks.
func (m *Membership) handleEvents(now time.Time, events []rattanmember.Event) {
	for _, event := range events {
		m.config.Logger.WithFields(logrus.Fields{"Event": event.Kind.String(), "Epoch": event.Epoch.ID.Number}).Info("epoch changed")
		switch event.Kind {
		case rattanmember.EventEpochOpened:
			m.config.OnEpochOpened(now, event.Epoch.ID, event.Start)
		case rattanmember.EventEpochFenced, rattanmember.EventEpochClosed:
			m.config.OnEpochFenced(now, event.Epoch.ID)
		case rattanmember.EventSuperseded:
			m.config.OnSuperseded()
		}
	}
}

// sendHeartbeat sends one heartbeat and handles its acknowledgement.
func (m *Membership) sendHeartbeat(ctx context.Context, sentAt time.Time, outgoing rattanmember.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	body, err := json.Marshal(outgoing.Heartbeat)
	if err != nil {
		return
	}
	reply, err := m.config.Peers.Call(ctx, outgoing.To.PeerAddress, methodHeartbeat, body)
	if err != nil {
		refused := errors.Is(err, rattanpeer.ErrRefused)
		m.HandleUnreachable(time.Now(), outgoing.To.Incarnation, refused)
		return
	}
	var acknowledgement rattanmember.Acknowledgement
	if err := json.Unmarshal(reply, &acknowledgement); err != nil {
		return
	}
	m.mutex.Lock()
	m.table.HandleAcknowledgement(time.Now(), sentAt, acknowledgement)
	m.mutex.Unlock()
	m.config.OnPayload(outgoing.To.PeerAddress, acknowledgement.Payload)
}

func (m *Membership) handleHeartbeat(_ context.Context, _ string, body []byte) ([]byte, error) {
	if !m.announced.Load() {
		return nil, errStarting
	}
	var heartbeat rattanmember.Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, errors.Trace(err)
	}
	// The sender expects another instance at this address. It may belong to
	// another system that used the address before, and whose members may have
	// the same names as members of this one.
	if name := heartbeat.To.Instance; name != m.config.Settings.Name {
		return nil, errors.Errorf("%s does not run at %s", name, m.config.Settings.Name)
	}
	m.mutex.Lock()
	acknowledgement := m.table.HandleHeartbeat(time.Now(), heartbeat)
	m.mutex.Unlock()
	m.config.OnPayload(heartbeat.From.PeerAddress, heartbeat.Payload)
	return json.Marshal(acknowledgement)
}

func (m *Membership) handleVote(_ context.Context, _ string, body []byte) ([]byte, error) {
	if !m.announced.Load() {
		return nil, errStarting
	}
	var request voteRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(m.vote(request.Epoch, request.Witnesses))
}

// vote returns the vote of this instance on whether the epoch has ended.
func (m *Membership) vote(epoch rattanjob.EpochID, witnesses []rattanjob.Incarnation) rattanmember.Vote {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Vote(time.Now(), epoch, witnesses)
}

// provesEnded reports whether the votes prove that the epoch of the key has
// ended.
func (m *Membership) provesEnded(key rattanjob.Key, votes []rattanmember.Vote) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.EpochEnded(time.Now(), key.Epoch, key.Witnesses, votes)
}

// askWitness asks one witness for its vote and sends the vote to votes if the
// witness answers.
func (m *Membership) askWitness(ctx context.Context, witness rattanjob.Incarnation, key rattanjob.Key, request []byte, votes chan<- rattanmember.Vote) {
	if witness.Instance == m.config.Settings.Name {
		votes <- m.vote(key.Epoch, key.Witnesses)
		return
	}
	address, _ := m.Locate(witness)
	if address == "" {
		return
	}
	reply, err := m.config.Peers.Call(ctx, address, methodVote, request)
	if err != nil {
		return
	}
	var vote rattanmember.Vote
	if json.Unmarshal(reply, &vote) == nil {
		votes <- vote
	}
}
