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
	// memberTick is how often due heartbeats are looked for.
	memberTick = 50 * time.Millisecond
	// gossipHeartbeats and joinHeartbeats are the intervals of gossip and of
	// joining in heartbeats: 1 s and 2 s with the default of 500 ms.
	gossipHeartbeats = 2
	joinHeartbeats   = 4
	// heartbeatTimeout bounds the wait for an acknowledgement.
	heartbeatTimeout = time.Second
	voteTimeout      = 300 * time.Millisecond
	// handoverTimeout is the longest time that a leaving home waits for
	// another member to take its pool.
	handoverTimeout = 4 * time.Second
)

// MembersConfig configures Members. All fields are required. Connect
// sets those of other services.
type MembersConfig struct {
	Settings    rattansettings.Settings
	Incarnation uint64
	Peers       PeerCaller
	Logger      *logrus.Logger
	// Opened and Fenced are called when an epoch of this instance begins and
	// ends.
	Opened func(now time.Time, epoch rattanjob.EpochID, start time.Time)
	Fenced func(now time.Time, epoch rattanjob.EpochID)
	// Empty reports whether no record of a job of the epoch is kept.
	Empty func(epoch rattanjob.EpochID) bool
	// Superseded is called when the others take this incarnation for dead.
	Superseded func()
	// NameInUse is called with an ErrNameInUse that was found after the start.
	NameInUse func(error)
	// Payload returns what heartbeats carry for other services.
	Payload func() []byte
	// Received is called with the payload of the peer at the address.
	Received func(address string, payload []byte)
}

// Members keeps the membership and the epochs of this instance. It is safe
// for concurrent use.
type Members struct {
	config MembersConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// announced is set when the name is checked and others may learn of this
	// incarnation.
	announced atomic.Bool

	mutex sync.Mutex
	table *rattanmember.Table
	// pools is the number of pools of the availability zone, at least 1.
	pools int
}

// voteRequest asks a witness about an epoch.
type voteRequest struct {
	Epoch     rattanjob.EpochID
	Witnesses []rattanjob.Incarnation
}

// NewMembers returns a membership that knows only its seeds.
func NewMembers(now time.Time, config MembersConfig) *Members {
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
		GossipInterval:    gossipHeartbeats * settings.Home.HeartbeatInterval.Std(),
		JoinDuration:      joinHeartbeats * settings.Home.HeartbeatInterval.Std(),
		DrainDuration:     settings.Home.KeyLifetime.Std() + rattanjob.MaxDeadline + settings.Home.Retention.Std(),
		Retention:         settings.Home.Retention.Std(),
		TenureDuration:    settings.Home.TenureDuration.Std(),
		VerdictMargin:     settings.Home.VerdictMargin.Std(),
	})
	return &Members{config: config, table: table, pools: 1}
}

// Connect finds the services that this one uses.
func (m *Members) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceLinks, &m.config.Peers),
	)
}

// Drain gives up the pool and waits until another member of the zone has taken
// it, so that keys can be issued throughout. The home still accepts jobs
// meanwhile.
func (m *Members) Drain(ctx context.Context) error {
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
		sleep(ctx, memberTick)
	}
	return nil
}

// Ended asks the witnesses of the key's epoch whether it has ended.
func (m *Members) Ended(ctx context.Context, key rattanjob.Key) bool {
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
	var cast []rattanmember.Vote
	for range key.Witnesses {
		select {
		case vote := <-votes:
			cast = append(cast, vote)
		case <-ctx.Done():
		}
		if m.decided(key, cast) {
			return true
		}
	}
	return m.decided(key, cast)
}

// EpochValid reports whether this instance holds authority over the epoch.
func (m *Members) EpochValid(now time.Time, epoch rattanjob.EpochID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.EpochValid(now, epoch)
}

// Handle serves heartbeats and votes.
func (m *Members) Handle(node *rattanpeer.Node) {
	node.Handle(methodHeartbeat, m.handleHeartbeat)
	node.Handle(methodIdentify, m.handleIdentify)
	node.Handle(methodVote, m.handleVote)
}

// Locate returns the peer address of the instance, and whether the incarnation
// is proved to have ended.
func (m *Members) Locate(incarnation rattanjob.Incarnation) (string, bool) {
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

// Members returns all known members, this one included.
func (m *Members) Members(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append(m.table.Members(now), m.table.Self(now))
}

// Counters returns the present values of the table's counters.
func (m *Members) Counters() rattanmember.Counters {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Counters()
}

// Homes returns the other members that own a pool.
func (m *Members) Homes(now time.Time) []rattanmember.Member {
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
func (m *Members) Name() string {
	return serviceMembers
}

// Observe takes in the platform's instance list.
func (m *Members) Observe(now time.Time, instances []rattanplatform.Instance) {
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
func (m *Members) Owners(now time.Time) []rattanmember.Member {
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
func (m *Members) OwnsPool(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Self(now).Claim > 0
}

// Others returns the other members that may be alive.
func (m *Members) Others(now time.Time) []rattanmember.Member {
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

// Owner returns the home of this instance's availability zone.
func (m *Members) Owner(now time.Time) (rattanmember.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Owner(now, m.config.Settings.AvailabilityZone, 0)
}

// Pool returns the number of the pool that this instance owns and the number
// of pools of its zone.
func (m *Members) Pool(now time.Time) (pool, pools int, owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	claim := m.table.Self(now).Claim
	return claim - 1, m.pools, claim > 0
}

// SetPools sets the number of pools of the availability zone.
func (m *Members) SetPools(pools int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pools = pools
	m.table.SetPools(pools)
}

// Start begins to send heartbeats. It returns ErrNameInUse if another process
// with the name of this instance answers.
func (m *Members) Start(ctx context.Context) error {
	if err := m.checkName(ctx); err != nil {
		return err
	}
	m.announced.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.loops.Go(func() { m.beat(ctx) })
	return nil
}

// Stop ends the heartbeats.
func (m *Members) Stop(context.Context) error {
	m.cancel()
	m.loops.Wait()
	return nil
}

// Unreachable takes in that an incarnation did not answer and returns whether
// it is proved to have ended.
func (m *Members) Unreachable(now time.Time, incarnation rattanjob.Incarnation, refused bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.HandleUnreachable(now, incarnation, refused)
	return m.table.Proof(now, incarnation) != rattanmember.ProofNone
}

// Watchers returns the members of this zone that come before this one in the
// order in which they read from the platform; see rattanspread.Before.
func (m *Members) Watchers(now time.Time) []rattanmember.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return rattanspread.PrecedingWatchers(m.table.Self(now), m.table.Members(now), m.pools)
}

// zoneHasOthers reports whether another member of the zone is alive.
func (m *Members) zoneHasOthers(now time.Time) bool {
	for _, member := range m.Others(now) {
		if member.AvailabilityZone == m.config.Settings.AvailabilityZone && member.Status == rattanmember.StatusAlive && member.Incarnation.Number > 0 {
			return true
		}
	}
	return false
}

func (m *Members) beat(ctx context.Context) {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// The tick itself may be old after a pause; decisions need the
		// present time.
		now := time.Now()
		payload := m.config.Payload()
		m.mutex.Lock()
		events := m.table.UpdateEpochs(now)
		m.table.SetPayload(payload)
		outgoing := m.table.Heartbeats(now)
		namesake, found := m.table.NameConflict()
		m.mutex.Unlock()
		if found {
			go m.checkLateNamesake(ctx, namesake)
		}
		m.act(now, events)
		m.closeDrained(now)
		for _, heartbeat := range outgoing {
			go m.send(ctx, now, heartbeat)
		}
	}
}

// closeDrained closes the draining epochs of which no record is kept. They take
// heartbeats, and places among the epochs that may be open at the same time.
func (m *Members) closeDrained(now time.Time) {
	m.mutex.Lock()
	drained := m.table.DrainedEpochs(now)
	m.mutex.Unlock()
	for _, epoch := range drained {
		if m.config.Empty(epoch) {
			m.mutex.Lock()
			m.table.CloseEpoch(now, epoch)
			m.mutex.Unlock()
		}
	}
}

func (m *Members) act(now time.Time, events []rattanmember.Event) {
	for _, event := range events {
		m.config.Logger.WithFields(logrus.Fields{"Event": event.Kind.String(), "Epoch": event.Epoch.ID.Number}).Info("epoch changed")
		switch event.Kind {
		case rattanmember.EventEpochOpened:
			m.config.Opened(now, event.Epoch.ID, event.Start)
		case rattanmember.EventEpochFenced, rattanmember.EventEpochClosed:
			m.config.Fenced(now, event.Epoch.ID)
		case rattanmember.EventSuperseded:
			m.config.Superseded()
		}
	}
}

func (m *Members) send(ctx context.Context, sent time.Time, outgoing rattanmember.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	body, err := json.Marshal(outgoing.Heartbeat)
	if err != nil {
		return
	}
	reply, err := m.config.Peers.Call(ctx, outgoing.To.PeerAddress, methodHeartbeat, body)
	if err != nil {
		refused := errors.Is(err, rattanpeer.ErrRefused)
		m.Unreachable(time.Now(), outgoing.To.Incarnation, refused)
		return
	}
	var acknowledgement rattanmember.Acknowledgement
	if err := json.Unmarshal(reply, &acknowledgement); err != nil {
		return
	}
	m.mutex.Lock()
	m.table.HandleAcknowledgement(time.Now(), sent, acknowledgement)
	m.mutex.Unlock()
	m.config.Received(outgoing.To.PeerAddress, acknowledgement.Payload)
}

func (m *Members) handleHeartbeat(_ context.Context, _ string, body []byte) ([]byte, error) {
	if !m.announced.Load() {
		return nil, errStarting
	}
	var heartbeat rattanmember.Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, errors.Trace(err)
	}
	// A sender that looks for another instance here may belong to another
	// system that had this address. Its members may have the names of ours.
	if name := heartbeat.To.Instance; name != m.config.Settings.Name {
		return nil, errors.Errorf("%s does not run at %s", name, m.config.Settings.Name)
	}
	m.mutex.Lock()
	acknowledgement := m.table.HandleHeartbeat(time.Now(), heartbeat)
	m.mutex.Unlock()
	m.config.Received(heartbeat.From.PeerAddress, heartbeat.Payload)
	return json.Marshal(acknowledgement)
}

func (m *Members) handleVote(_ context.Context, _ string, body []byte) ([]byte, error) {
	if !m.announced.Load() {
		return nil, errStarting
	}
	var request voteRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(m.vote(request.Epoch, request.Witnesses))
}

func (m *Members) vote(epoch rattanjob.EpochID, witnesses []rattanjob.Incarnation) rattanmember.Vote {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Vote(time.Now(), epoch, witnesses)
}

func (m *Members) decided(key rattanjob.Key, votes []rattanmember.Vote) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.EpochEnded(time.Now(), key.Epoch, key.Witnesses, votes)
}

func (m *Members) askWitness(ctx context.Context, witness rattanjob.Incarnation, key rattanjob.Key, request []byte, votes chan<- rattanmember.Vote) {
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
