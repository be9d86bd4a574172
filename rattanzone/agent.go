package rattanzone

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Methods between instances.
const (
	methodBeat      = "Beat"
	methodTakeOver  = "TakeOver"
	methodInventory = "Inventory"
	methodDesired   = "Desired"
)

// Peers carries calls between instances.
type Peers interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	Handle(method string, handler rattanpeer.Handler)
}

// Directory lists the instances of the system.
type Directory interface {
	Announce(ctx context.Context, member rattanwork.Member) error
	Members(ctx context.Context, own string) ([]rattanwork.Member, error)
	Withdraw(ctx context.Context) error
}

// Documents holds the desired state.
type Documents interface {
	Version() int64
	Document() []byte
	Accept(document []byte, source string) error
}

// Journal receives what the agent comes to believe.
type Journal interface {
	HomeChanged(claim Claim, reason string)
	HomeSuspected(claim Claim, reason string)
	DirectoryLost(err error)
	DirectoryBack()
}

// Config configures an Agent.
type Config struct {
	Self rattanwork.Member
	// Seeds returns addresses of possible peers.
	Seeds     func() []string
	Peers     Peers
	Directory Directory
	Desired   Documents
	Inventory *Inventory
	// NewHome makes a home whose orders carry the fencing token.
	NewHome func(fence int64) *rattanhome.Home
	Journal Journal
	Clock   func() time.Time
}

// Agent is an instance's part in the agreement on homes. It is safe for
// concurrent use.
type Agent struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mutex   sync.Mutex
	members map[string]*member
	// homes holds the best known claim for each zone.
	homes map[string]*belief
	// own is the home that this instance is, nil if it is none.
	own *rattanhome.Home
	// vacant is since when the own zone has no home that answers, zero if it
	// has one.
	vacant time.Time
	// barredUntil keeps an instance that was deposed by a home which it cannot
	// reach from competing with it.
	barredUntil time.Time
	barred      time.Duration
	terminating bool
	started     time.Time
	// changed is closed and replaced when the home of the own zone changes.
	changed chan struct{}
	// contacts counts, by address, the jobs that homes of other zones hold.
	contacts map[string]int
	// lastZone and lastOthers are when a home last beat its zone and the others.
	lastZone   time.Time
	lastOthers time.Time
}

type member struct {
	rattanwork.Member
	terminating bool
	// heard is when the member last sent a view.
	heard time.Time
	// listed is when the directory last named the member.
	listed time.Time
}

// New returns an agent and sets its handlers.
func New(config Config) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	now := config.Clock()
	a := &Agent{
		config:   config,
		ctx:      ctx,
		cancel:   cancel,
		members:  map[string]*member{},
		homes:    map[string]*belief{},
		contacts: map[string]int{},
		vacant:   now,
		started:  now,
		changed:  make(chan struct{}),
	}
	config.Peers.Handle(methodBeat, a.onBeat)
	config.Peers.Handle(methodTakeOver, a.onTakeOver)
	config.Peers.Handle(methodInventory, a.onInventory)
	config.Peers.Handle(methodDesired, a.onDesired)
	return a
}

// Name returns the name of the service in the kernel.
func (a *Agent) Name() string {
	return "Zone"
}

// Start begins the loops.
func (a *Agent) Start(context.Context) error {
	a.done.Go(a.beatLoop)
	a.done.Go(a.directoryLoop)
	a.done.Go(a.inventoryLoop)
	return nil
}

// Stop ends the loops and the own home.
func (a *Agent) Stop(ctx context.Context) error {
	a.cancel()
	a.mutex.Lock()
	own := a.own
	a.own = nil
	a.mutex.Unlock()
	if own != nil {
		own.Close()
	}
	err := a.config.Directory.Withdraw(ctx)
	a.done.Wait()
	return errors.Annotate(err, "leave the directory")
}

// Own returns the home that this instance is, or nil.
func (a *Agent) Own() *rattanhome.Home {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.own
}

// Home returns the claim of the home of a zone and a channel that is closed
// when the home of the own zone changes.
func (a *Agent) Home(zone string) (Claim, bool, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.homes[zone]
	if !ok || (zone == a.config.Self.Zone && !a.vacant.IsZero()) {
		return Claim{}, false, a.changed
	}
	return b.claim, true, a.changed
}

// elsewhere returns the room of other zones whose home was heard lately.
func (a *Agent) elsewhere(now time.Time) []rattanscheduler.RemoteZone {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []rattanscheduler.RemoteZone
	for zone, b := range a.homes {
		if zone != a.config.Self.Zone && b.age(now) < loadFresh && b.claim.Load.WaitingTasks == 0 {
			list = append(list, rattanscheduler.RemoteZone{Zone: zone, FreeMilliCPU: b.claim.Load.FreeMilliCPU})
		}
	}
	slices.SortFunc(list, func(x, y rattanscheduler.RemoteZone) int { return strings.Compare(x.Zone, y.Zone) })
	return list
}

// Contact keeps an instance of another zone informed that this one lives until
// the returned function is called.
func (a *Agent) Contact(address string) (release func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.contacts[address]++
	return func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.contacts[address]--
		if a.contacts[address] == 0 {
			delete(a.contacts, address)
		}
	}
}

// beatContacts beats the instances that hold jobs of this one's callers.
func (a *Agent) beatContacts() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for address := range a.contacts {
		go a.beat(address)
	}
}

// LastHeard returns when an instance was last heard of and its incarnation.
func (a *Agent) LastHeard(name string) (time.Time, int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m, ok := a.members[name]
	if !ok {
		return time.Time{}, 0
	}
	return m.heard, m.Incarnation
}

// notify tells waiters that the home changed. The caller holds the mutex.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// The messages hold nothing that JSON cannot express.
		panic(err)
	}
	return data
}
