package rattanzone

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattancrash"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// RPC methods between instances.
const (
	methodHeartbeat        = "Beat"
	methodTakeOver         = "TakeOver"
	methodInventory        = "Inventory"
	methodDesiredStatePart = "DesiredPart"
	methodStartList        = "Starts"
	// methodDesiredState is that of the former version.
	methodDesiredState = "Desired"
)

// Peers sends and receives calls between instances.
type Peers interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	// Notify sends a message without a reply and returns once it is written to the
	// connection.
	Notify(ctx context.Context, address, method string, body []byte) error
	Handle(method string, handler rattanpeer.Handler)
}

// Directory lists the running instances of the system.
type Directory interface {
	Announce(ctx context.Context, member rattanwork.Member) error
	Members(ctx context.Context, ownName string) ([]rattanwork.Member, error)
	Withdraw(ctx context.Context) error
}

// DesiredStateStore holds the newest known desired state.
type DesiredStateStore interface {
	Version() int64
	// Announce records that another instance has a version.
	Announce(member rattanwork.Member, version int64, now time.Time)
	// Tick records that this instance runs, at least every silenceTimeout, and
	// reports whether it was paused before.
	Tick(now time.Time) (paused bool)
	// Compared records that another instance knew no newer version, in an exchange
	// that began at that time.
	Compared(begunAt time.Time)
}

// Journal records changes of the home and of the connection to the directory.
type Journal interface {
	HomeChanged(claim Claim, reason string)
	HomeSuspected(claim Claim, reason string)
	// StartsLearned reports that the local home was told of start requests of a zone,
	// its own or another one, that may still be carried out.
	StartsLearned(zone, source string, starts []rattanscheduler.OutstandingStart)
	// StartListTold reports what became of sending a start list of the local home to
	// another instance, with the bytes that were sent.
	StartListTold(result StartListResult, bytes int)
	// SpeedChanged reports that this machine has become slow or normal. The
	// factor is the time of a fixed computation in multiples of the usual one.
	SpeedChanged(slow bool, factor float64)
	DirectoryLost(err error)
	DirectoryRegained()
	// CrashStoreFailed reports that the crash history could not be loaded or
	// saved. The agent tries again.
	CrashStoreFailed(err error)
	// CancellationsNotLoaded reports that the saved cancellations could not be
	// loaded. The agent tries again.
	CancellationsNotLoaded(err error)
}

// Config configures an Agent.
type Config struct {
	Self rattanwork.Member
	// Seeds returns addresses of possible peers.
	Seeds        func() []string
	Peers        Peers
	Directory    Directory
	DesiredState DesiredStateStore
	// Evacuations is exchanged with the other instances, nil if it is not used.
	Evacuations *Evacuations
	Inventory   *Inventory
	// Crashes is exchanged with the other instances. If it is nil, the agent
	// starts with an empty history.
	Crashes *rattancrash.History
	// CrashStore keeps the crash history while no instance is running.
	CrashStore CrashStore
	// Cancellations is exchanged with the other instances. If it is nil, the agent
	// starts with an empty record.
	Cancellations *rattancancel.Record
	// SavedCancellations holds what outlives the loss of all instances. If it is nil,
	// nothing does.
	SavedCancellations SavedCancellations
	// NewHome creates a home whose requests to targets carry the fencing token.
	NewHome func(fencingToken int64) *rattanhome.Home
	Journal Journal
	// Suspended returns for how long the steady clock of this machine has stood
	// still, 0 if it is nil.
	Suspended func() time.Duration
	Clock     func() time.Time
}

// Agent takes part in the election of homes on behalf of one instance. It is
// safe for concurrent use.
type Agent struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mutex   sync.Mutex
	members map[string]*member
	// homes holds the claim with the highest fencing token for each zone.
	homes map[string]*homeRecord
	// localHome is set while this instance is the home of its zone.
	localHome *rattanhome.Home
	// homeMissingSince is the time since which the home of this zone has not
	// answered, zero while it answers.
	homeMissingSince time.Time
	// electionBackoffUntil keeps this instance out of the election after
	// another home has deposed it, so that it does not compete with a home that
	// it cannot reach.
	electionBackoffUntil time.Time
	electionBackoff      time.Duration
	terminating          bool
	// directoryRead is set once the directory has been read.
	directoryRead bool
	// slow is set while this machine is slow. speed is used by the heartbeat
	// loop alone.
	slow      bool
	speed     *speedMonitor
	startedAt time.Time
	// suspendedAtStart is for how long the steady clock had stood still then,
	// lastSuspended when the heartbeat loop last ran.
	suspendedAtStart time.Duration
	lastSuspended    time.Duration
	// homeChanged is closed and replaced when the home of this zone changes.
	homeChanged chan struct{}
	continuity  continuity
	// cancellationsLoaded is set once the saved cancellations have been loaded.
	cancellationsLoaded bool
	// keepAlives counts, by address of a home in another zone, the jobs of
	// local callers that were redirected there.
	keepAlives map[string]int
	// nextInventoryPull is the earliest time of the next pull of the inventory.
	nextInventoryPull time.Time
	// outstanding is what homes have told of their start requests, former what this
	// instance knows of its own as the former home.
	outstanding outstandingStarts
	former      outstandingStarts
	// startRecord keeps the start lists of other homes, startListSender sends those
	// of the local home.
	startRecord     startRecord
	startListSender startListSender
	remoteLists     remoteLists
	// lastZoneHeartbeat and lastRemoteHeartbeat are the times at which the
	// local home last sent heartbeats to its own zone and to other zones.
	lastZoneHeartbeat   time.Time
	lastRemoteHeartbeat time.Time
}

type member struct {
	rattanwork.Member
	terminating bool
	slow        bool
	// lastHeard is the time at which the member last sent a view.
	lastHeard time.Time
	// aliveAt is the time at which the last view of the member was sent,
	// aliveSuspended for how long the steady clock had stood still when it arrived.
	aliveAt        time.Time
	aliveSuspended time.Duration
	transit        transitMeter
	// lastListed is the time at which the directory last listed the member or
	// the member last sent a view.
	lastListed time.Time
	// inventoryRevision is the revision of the member's inventory.
	inventoryRevision int64
	// crashesMerged is the sequence number up to which the member's crash
	// history has been merged here, crashesSeen the one up to which the member
	// has merged that of this instance.
	crashesMerged int64
	crashesSeen   int64
	cancellations cancellationProgress
}

// New returns an agent and registers its RPC handlers.
func New(config Config) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	now := config.Clock()
	if config.Crashes == nil {
		config.Crashes = rattancrash.NewHistory(now)
	}
	if config.Cancellations == nil {
		config.Cancellations = rattancancel.NewRecord(now)
	}
	a := &Agent{
		config:           config,
		ctx:              ctx,
		cancel:           cancel,
		members:          map[string]*member{},
		homes:            map[string]*homeRecord{},
		keepAlives:       map[string]int{},
		outstanding:      outstandingStarts{},
		former:           outstandingStarts{},
		homeMissingSince: now,
		startedAt:        now,
		speed:            newSpeedMonitor(config.Clock),
		homeChanged:      make(chan struct{}),
	}
	a.suspendedAtStart = a.Suspended()
	a.lastSuspended = a.suspendedAtStart
	config.Peers.Handle(methodHeartbeat, a.handleHeartbeat)
	config.Peers.Handle(methodTakeOver, a.handleTakeOver)
	config.Peers.Handle(methodInventory, a.handleInventory)
	config.Peers.Handle(methodStartList, a.handleStartList)
	return a
}

// Name returns the name of the service in the kernel.
func (a *Agent) Name() string {
	return "Zone"
}

// Start starts the background loops.
func (a *Agent) Start(context.Context) error {
	a.loops.Go(a.heartbeatLoop)
	a.loops.Go(a.directoryLoop)
	a.loops.Go(a.inventoryLoop)
	a.loops.Go(a.crashLoop)
	if a.config.SavedCancellations != nil {
		a.loops.Go(a.cancellationLoop)
	}
	if a.config.Evacuations != nil {
		a.loops.Go(a.evacuationLoop)
	}
	return nil
}

// Stop ends the background loops and closes the local home.
func (a *Agent) Stop(ctx context.Context) error {
	a.cancel()
	a.mutex.Lock()
	localHome := a.localHome
	a.localHome = nil
	a.mutex.Unlock()
	if localHome != nil {
		localHome.Close()
	}
	err := a.config.Directory.Withdraw(ctx)
	a.loops.Wait()
	return errors.Annotate(err, "remove the instance from the directory")
}

// LocalHome returns the local home, or nil if this instance is not the home of
// its zone.
func (a *Agent) LocalHome() *rattanhome.Home {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.localHome
}

// Home returns the claim of a zone's home and a channel that is closed when the
// home of this instance's zone changes.
func (a *Agent) Home(zone string) (Claim, bool, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	home, ok := a.homes[zone]
	if !ok || (zone == a.config.Self.Zone && !a.homeMissingSince.IsZero()) {
		return Claim{}, false, a.homeChanged
	}
	return home.claim, true, a.homeChanged
}

// evacuationLoop tells the local home of changes of the evacuated zones at once.
func (a *Agent) evacuationLoop() {
	for {
		changed := a.config.Evacuations.Changed()
		if localHome := a.LocalHome(); localHome != nil {
			localHome.SetRemoteZones(a.remoteCapacity(a.config.Clock()))
			localHome.EvacuationChanged()
		}
		select {
		case <-a.ctx.Done():
			return
		case <-changed:
		}
	}
}

// remoteCapacity returns the room in the other zones whose home has reported its load
// recently, is not overloaded itself and starts tasks, and of which this instance knows
// no evacuation. If a home of the former version has waiting tasks, its free capacity
// says nothing about its room.
func (a *Agent) remoteCapacity(now time.Time) []rattanscheduler.RemoteZone {
	evacuations := a.config.Evacuations.Known()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var capacities []rattanscheduler.RemoteZone
	for zone, home := range a.homes {
		load, age := &home.claim.Load, home.age(now)
		if zone == a.config.Self.Zone || age >= maxLoadAge || load.Overloaded || load.Evacuated || evacuations.Contains(zone) || (load.Rooms == nil && load.WaitingTasks > 0) {
			continue
		}
		capacities = append(capacities, rattanscheduler.RemoteZone{
			Zone: zone, FreeMilliCPU: load.FreeMilliCPU, Rooms: load.Rooms, ReportedAt: now.Add(-age),
		})
	}
	slices.SortFunc(capacities, func(x, y rattanscheduler.RemoteZone) int { return strings.Compare(x.Zone, y.Zone) })
	return capacities
}

// KeepAlive sends heartbeats to an instance in another zone until the returned
// function is called, so that it does not consider this instance dead.
func (a *Agent) KeepAlive(address string) (release func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.keepAlives[address]++
	return func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.keepAlives[address]--
		if a.keepAlives[address] == 0 {
			delete(a.keepAlives, address)
		}
	}
}

// sendKeepAlives sends a heartbeat to each instance registered with KeepAlive.
func (a *Agent) sendKeepAlives() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for address := range a.keepAlives {
		go a.sendHeartbeat(address)
	}
}

// LastHeard returns the time at which the last heartbeat from an instance was
// sent, and the incarnation of the instance.
func (a *Agent) LastHeard(name string) (time.Time, int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m, ok := a.members[name]
	if !ok {
		return time.Time{}, 0
	}
	return m.aliveAt.Add(m.aliveSuspended - a.Suspended()), m.Incarnation
}

// Address returns the address of an instance, "" if it is not known.
func (a *Agent) Address(name string) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m, ok := a.members[name]
	if !ok {
		return ""
	}
	return m.Address
}

// SentAt returns the time at which an instance sent a message that states its
// uptime. If that is unknown, it returns the present time.
func (a *Agent) SentAt(name string, uptime time.Duration, now time.Time) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m, ok := a.members[name]
	if !ok || uptime == 0 {
		return now
	}
	return now.Add(-m.transit.delay(a.Uptime(now) - uptime))
}

// Uptime returns the time since the start of this instance, also that in which its
// machine was suspended.
func (a *Agent) Uptime(now time.Time) time.Duration {
	return now.Sub(a.startedAt) + a.Suspended() - a.suspendedAtStart
}

// Suspended returns for how long the steady clock of this machine has stood still.
func (a *Agent) Suspended() time.Duration {
	if a.config.Suspended == nil {
		return 0
	}
	return a.config.Suspended()
}

// boundTransit records that another instance sent a view later than the request that
// it answers.
func (a *Agent) boundTransit(view *View, requestedAt time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m, ok := a.members[view.Sender.Name]
	if ok && m.Incarnation == view.Sender.Incarnation && view.Uptime != 0 {
		m.transit.bound(a.Uptime(requestedAt) - view.Uptime)
	}
}

// recordAlive records a view that the member sent at the given uptime and that
// arrived at ownUptime.
func (m *member) recordAlive(uptime, ownUptime, suspended time.Duration, now time.Time) {
	sentAt := now
	if uptime != 0 {
		m.transit.observe(ownUptime - uptime)
		sentAt = now.Add(-m.transit.delay(ownUptime - uptime))
	}
	if sentAt.After(m.aliveAt.Add(m.aliveSuspended - suspended)) {
		m.aliveAt, m.aliveSuspended = sentAt, suspended
	}
}

// notifyHomeChange wakes all waiters for a change of the home. The caller holds
// the mutex.
func (a *Agent) notifyHomeChange() {
	close(a.homeChanged)
	a.homeChanged = make(chan struct{})
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// All message types can be encoded as JSON.
		panic(err)
	}
	return data
}
