package rattanentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanload"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanpool"
)

const (
	methodLoad     = "Load"
	methodReport   = "Report"
	methodZoneLoad = "ZoneLoad"
	// loadInterval is how often loads are exchanged; quotas follow demand
	// within about three times this time, because a larger part waits until
	// all other homes have counted it.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// reportTries lets a home answer a request for a full report at once.
	reportTries = 2
)

// HomeLoad is the load of one instance as operators' plans collect it.
type HomeLoad struct {
	Instance         string
	AvailabilityZone string
	// Revision is the configuration in force at the home.
	Revision uint64
	Jobs     int
	Pool     rattanpool.Load
	// Demand is the number of tasks without a result, by caller.
	Demand map[string]int
	// ServiceSlots is the number of slots by service.
	ServiceSlots map[string]int
}

// LoadsConfig configures Loads. All fields are required. Connect
// sets those of other services.
type LoadsConfig struct {
	Instance         string
	AvailabilityZone string
	// Incarnation is the number of this run of the instance.
	Incarnation uint64
	Home        *Home
	Members     *Members
	Peers       PeerCaller
	Documents   Documents
	// Local describes this instance's own load.
	Local func(now time.Time) HomeLoad
}

// Loads exchanges loads with the aggregator of the availability zone, and with
// those of the other zones while this instance is the aggregator. It is safe for
// concurrent use.
type Loads struct {
	config LoadsConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mutex sync.Mutex
	home  *rattanload.Home
	// aggregator is nil while another home is the aggregator.
	aggregator *rattanload.Aggregator
}

// NewLoads returns an exchange that knows no other home.
func NewLoads(config LoadsConfig) *Loads {
	// Reports of a later incarnation must count as later.
	return &Loads{config: config, home: rattanload.NewHome(config.Instance, config.Incarnation)}
}

// Callers returns the callers of the document with the parts of their quotas
// that this home may use.
func (l *Loads) Callers(now time.Time, document *rattanconfig.Document) []rattanpool.Caller {
	return l.callers(now, document, len(l.config.Members.Homes(now))+1)
}

// Collect asks all other instances for their loads and returns those of the
// ones that answer, this instance's first.
func (l *Loads) Collect(ctx context.Context, now time.Time) []HomeLoad {
	own := l.config.Local(now)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	others := callMembers[HomeLoad](ctx, l.config.Peers, l.config.Members.Others(now), methodLoad, nil)
	return append([]HomeLoad{own}, others...)
}

// Connect finds the services that this one uses.
func (l *Loads) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceHome, &l.config.Home),
		rattankernel.DependsOn(serviceMembers, &l.config.Members),
		rattankernel.DependsOn(serviceLinks, &l.config.Peers),
		rattankernel.DependsOn(serviceConfiguration, &l.config.Documents),
	)
}

// Handle serves the exchange.
func (l *Loads) Handle(node *rattanpeer.Node) {
	node.Handle(methodLoad, func(context.Context, string, []byte) ([]byte, error) {
		return json.Marshal(l.config.Local(time.Now()))
	})
	node.Handle(methodReport, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var report rattanload.Report
		if err := json.Unmarshal(body, &report); err != nil {
			return nil, errors.Trace(err)
		}
		reply, err := l.takeReport(time.Now(), report)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return json.Marshal(reply)
	})
	node.Handle(methodZoneLoad, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var load rattanload.ZoneLoad
		if err := json.Unmarshal(body, &load); err != nil {
			return nil, errors.Trace(err)
		}
		reply, err := l.takeZone(time.Now(), load)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return json.Marshal(reply)
	})
}

// Lenders returns the homes to borrow slots of a service from, in the order in
// which to ask them.
func (l *Loads) Lenders(now time.Time, service string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.home.Lenders(now, service)
}

// Name returns the name of the service in the kernel.
func (l *Loads) Name() string {
	return serviceLoads
}

// Start begins to exchange loads while this instance is a home.
func (l *Loads) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.loops.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, loadInterval)
			l.exchange(ctx, time.Now())
		}
	})
	return nil
}

// Stop ends the exchange.
func (l *Loads) Stop(context.Context) error {
	l.cancel()
	l.loops.Wait()
	return nil
}

func (l *Loads) callers(now time.Time, document *rattanconfig.Document, homes int) []rattanpool.Caller {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	callers := make([]rattanpool.Caller, 0, len(document.Callers))
	for name, caller := range document.Callers {
		if caller.Retired {
			continue
		}
		share := rattanpool.Caller{Name: name, Weight: caller.Weight, Quota: caller.Quota}
		if caller.Quota > 0 {
			share.Quota = l.home.QuotaPart(now, rattanload.HashCaller(name), caller.Quota, homes)
		}
		callers = append(callers, share)
	}
	return callers
}

// exchange reports the load of this home and, as the aggregator, exchanges the
// sums with the zones that come after this one in the order of names; each pair
// of zones then exchanges once an interval.
func (l *Loads) exchange(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	leaders := l.leaders(now)
	l.lead(now, leaders)
	if !l.config.Members.OwnsPool(now) && l.config.Home.Jobs() == 0 {
		return
	}
	l.report(ctx, now, leaders[l.config.AvailabilityZone])
	var calls sync.WaitGroup
	for zone, leader := range leaders {
		if zone > l.config.AvailabilityZone {
			calls.Go(func() { l.exchangeZone(ctx, now, zone, leader.PeerAddress) })
		}
	}
	calls.Wait()
	now = time.Now()
	l.config.Home.SetCallers(now, l.Callers(now, l.config.Documents.Document()))
}

// report sends the load of this home to the aggregator of its zone.
func (l *Loads) report(ctx context.Context, now time.Time, leader rattanmember.Member) {
	load := l.load(now)
	for range reportTries {
		l.mutex.Lock()
		report := l.home.MakeReport(now, leader.Incarnation.Instance, load)
		l.mutex.Unlock()
		reply, err := l.sendReport(ctx, leader, report)
		if err != nil {
			return
		}
		l.mutex.Lock()
		l.home.ApplyReply(time.Now(), reply)
		l.mutex.Unlock()
		if !reply.Resend {
			return
		}
	}
}

func (l *Loads) sendReport(ctx context.Context, leader rattanmember.Member, report rattanload.Report) (rattanload.Reply, error) {
	if leader.Incarnation.Instance == l.config.Instance {
		return l.takeReport(time.Now(), report)
	}
	return callPeer[rattanload.Reply](ctx, l.config.Peers, leader.PeerAddress, methodReport, report)
}

// exchangeZone exchanges loads with the aggregator of another zone.
func (l *Loads) exchangeZone(ctx context.Context, now time.Time, zone, address string) {
	load, ok := l.zoneLoad(now, zone)
	if !ok {
		return
	}
	reply, err := callPeer[rattanload.ZoneLoad](ctx, l.config.Peers, address, methodZoneLoad, load)
	if err != nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.aggregator != nil {
		l.aggregator.ApplyZoneLoad(time.Now(), reply)
	}
}

// zoneLoad returns the load to send to another zone. It reports false while
// this instance is not the aggregator or has not heard from all homes.
func (l *Loads) zoneLoad(now time.Time, zone string) (rattanload.ZoneLoad, bool) {
	live := l.live(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.aggregator == nil {
		return rattanload.ZoneLoad{}, false
	}
	return l.aggregator.MakeZoneLoad(now, zone, live)
}

// takeReport takes in the report of a home of this zone.
func (l *Loads) takeReport(now time.Time, report rattanload.Report) (rattanload.Reply, error) {
	l.lead(now, l.leaders(now))
	live := l.live(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.aggregator == nil {
		return rattanload.Reply{}, errors.Errorf("%s is not the aggregator", l.config.Instance)
	}
	return l.aggregator.ApplyReport(now, report, live), nil
}

// takeZone takes in the load of another zone and returns that of this one.
func (l *Loads) takeZone(now time.Time, load rattanload.ZoneLoad) (rattanload.ZoneLoad, error) {
	l.lead(now, l.leaders(now))
	l.mutex.Lock()
	if l.aggregator != nil {
		l.aggregator.ApplyZoneLoad(now, load)
	}
	l.mutex.Unlock()
	reply, ok := l.zoneLoad(now, load.Zone)
	if !ok {
		return reply, errors.Errorf("%s has no loads of its zone", l.config.Instance)
	}
	return reply, nil
}

// lead takes or gives up the role of the aggregator.
func (l *Loads) lead(now time.Time, leaders map[string]rattanmember.Member) {
	leads := leaders[l.config.AvailabilityZone].Incarnation.Instance == l.config.Instance
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !leads:
		l.aggregator = nil
	case l.aggregator == nil:
		l.aggregator = rattanload.NewAggregator(now, l.config.AvailabilityZone, l.home.Term(), rand.Uint32())
	}
}

// leaders returns the aggregator of each zone: the home with the first pool.
func (l *Loads) leaders(now time.Time) map[string]rattanmember.Member {
	leaders := map[string]rattanmember.Member{}
	for _, home := range l.homes(now) {
		leader, known := leaders[home.AvailabilityZone]
		earlier := home.Claim < leader.Claim || (home.Claim == leader.Claim && home.Incarnation.Instance < leader.Incarnation.Instance)
		if !known || earlier {
			leaders[home.AvailabilityZone] = home
		}
	}
	return leaders
}

// live returns the homes of this zone and the other zones that have homes.
func (l *Loads) live(now time.Time) rattanload.Membership {
	var live rattanload.Membership
	zones := map[string]bool{l.config.AvailabilityZone: true}
	for _, home := range l.homes(now) {
		if home.AvailabilityZone == l.config.AvailabilityZone {
			live.Homes = append(live.Homes, home.Incarnation.Instance)
		}
		if !zones[home.AvailabilityZone] {
			zones[home.AvailabilityZone] = true
			live.Zones = append(live.Zones, home.AvailabilityZone)
		}
	}
	return live
}

// homes returns all homes, this instance included if it is one.
func (l *Loads) homes(now time.Time) []rattanmember.Member {
	homes := l.config.Members.Homes(now)
	pool, _, owned := l.config.Members.Pool(now)
	if owned {
		homes = append(homes, rattanmember.Member{
			Incarnation:      rattanjob.Incarnation{Instance: l.config.Instance, Number: l.config.Incarnation},
			AvailabilityZone: l.config.AvailabilityZone,
			Claim:            pool + 1,
		})
	}
	return homes
}

// load returns the load to report. Only callers with a quota matter to others.
func (l *Loads) load(now time.Time) rattanload.Load {
	document := l.config.Documents.Document()
	load := rattanload.Load{Demand: map[rattanload.CallerID]int{}, Idle: l.config.Home.IdleSlots(now)}
	for caller, demand := range l.config.Local(now).Demand {
		if document.Callers[caller].Quota > 0 {
			load.Demand[rattanload.HashCaller(caller)] += demand
		}
	}
	return load
}
