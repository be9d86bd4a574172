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
	// loadInterval is how often loads are exchanged. Quotas follow demand
	// within about three intervals, because a home gets a larger share only
	// after all other homes have accounted for it.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// maxReportAttempts lets a home send a full report at once if the aggregator
	// requests one.
	maxReportAttempts = 2
)

// HomeLoad is the load of one instance, as collected for operators' plans.
type HomeLoad struct {
	Instance         string
	AvailabilityZone string
	// Revision is the revision of the instance's active configuration.
	Revision uint64
	Jobs     int
	Pool     rattanpool.Load
	// Demand is the number of tasks without a result, by caller.
	Demand map[string]int
	// ServiceSlots is the number of slots by service.
	ServiceSlots map[string]int
}

// LoadExchangeConfig configures a LoadExchange. All fields are required.
// Connect sets Home, Membership, Peers and Documents.
type LoadExchangeConfig struct {
	Instance         string
	AvailabilityZone string
	// Incarnation numbers this run of the instance.
	Incarnation uint64
	Home        *Home
	Membership  *Membership
	Peers       PeerCaller
	Documents   Documents
	// LocalLoad returns the load of this instance.
	LocalLoad func(now time.Time) HomeLoad
}

// LoadExchange reports the load of this home to the aggregator of the
// availability zone. While this instance is the aggregator, it exchanges the
// totals of the zone with the aggregators of the other zones. It is safe for
// concurrent use.
type LoadExchange struct {
	config LoadExchangeConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mutex sync.Mutex
	home  *rattanload.Home
	// aggregator is nil while another home is the aggregator.
	aggregator *rattanload.Aggregator
}

// NewLoadExchange returns a load exchange that knows no other home.
func NewLoadExchange(config LoadExchangeConfig) *LoadExchange {
	// The incarnation is the initial sequence number of the reports, so that
	// reports after a restart count as newer than those before it.
	return &LoadExchange{config: config, home: rattanload.NewHome(config.Instance, config.Incarnation)}
}

// Callers returns the callers of the document with the shares of their quotas
// that this home may use.
func (l *LoadExchange) Callers(now time.Time, document *rattanconfig.Document) []rattanpool.Caller {
	return l.callersWithShares(now, document, len(l.config.Membership.Homes(now))+1)
}

// Collect returns the load of this instance, followed by the loads of the other
// instances that answer.
func (l *LoadExchange) Collect(ctx context.Context, now time.Time) []HomeLoad {
	own := l.config.LocalLoad(now)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	others := callMembers[HomeLoad](ctx, l.config.Peers, l.config.Membership.Others(now), methodLoad, nil)
	return append([]HomeLoad{own}, others...)
}

// Connect resolves the services that the load exchange depends on.
func (l *LoadExchange) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceHome, &l.config.Home),
		rattankernel.DependsOn(serviceMembership, &l.config.Membership),
		rattankernel.DependsOn(servicePeers, &l.config.Peers),
		rattankernel.DependsOn(serviceConfiguration, &l.config.Documents),
	)
}

// Handle registers the handlers of requests by other instances.
func (l *LoadExchange) Handle(node *rattanpeer.Node) {
	node.Handle(methodLoad, func(context.Context, string, []byte) ([]byte, error) {
		return json.Marshal(l.config.LocalLoad(time.Now()))
	})
	node.Handle(methodReport, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var report rattanload.Report
		if err := json.Unmarshal(body, &report); err != nil {
			return nil, errors.Trace(err)
		}
		reply, err := l.handleReport(time.Now(), report)
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
		reply, err := l.handleZoneLoad(time.Now(), load)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return json.Marshal(reply)
	})
}

// Lenders returns the homes from which slots of a service can be borrowed, in
// the order in which to ask them.
func (l *LoadExchange) Lenders(now time.Time, service string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.home.Lenders(now, service)
}

// Name returns the name of the service in the kernel.
func (l *LoadExchange) Name() string {
	return serviceLoadExchange
}

// Start starts exchanging loads while this instance is a home.
func (l *LoadExchange) Start(context.Context) error {
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

// Stop stops the exchange.
func (l *LoadExchange) Stop(context.Context) error {
	l.cancel()
	l.loops.Wait()
	return nil
}

// callersWithShares returns the callers of the document that are not retired,
// with the shares of their quotas that this home may use as one of homes.
func (l *LoadExchange) callersWithShares(now time.Time, document *rattanconfig.Document, homes int) []rattanpool.Caller {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	callers := make([]rattanpool.Caller, 0, len(document.Callers))
	for name, caller := range document.Callers {
		if caller.Retired {
			continue
		}
		callerShare := rattanpool.Caller{Name: name, Weight: caller.Weight, Quota: caller.Quota}
		if caller.Quota > 0 {
			callerShare.Quota = l.home.QuotaPart(now, rattanload.HashCaller(name), caller.Quota, homes)
		}
		callers = append(callers, callerShare)
	}
	return callers
}

// exchange reports the load of this home. The aggregator also exchanges the
// totals with the zones that come after this one in the order of names, so that
// each pair of zones exchanges once per interval.
func (l *LoadExchange) exchange(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	aggregators := l.aggregators(now)
	l.updateAggregator(now, aggregators)
	if !l.config.Membership.OwnsPool(now) && l.config.Home.Jobs() == 0 {
		return
	}
	l.reportToAggregator(ctx, now, aggregators[l.config.AvailabilityZone])
	var calls sync.WaitGroup
	for zone, aggregator := range aggregators {
		if zone > l.config.AvailabilityZone {
			calls.Go(func() { l.exchangeZone(ctx, now, zone, aggregator.PeerAddress) })
		}
	}
	calls.Wait()
	now = time.Now()
	l.config.Home.SetCallers(now, l.Callers(now, l.config.Documents.Document()))
}

// reportToAggregator sends the load of this home to the aggregator of its zone.
func (l *LoadExchange) reportToAggregator(ctx context.Context, now time.Time, aggregator rattanmember.Member) {
	load := l.ownLoad(now)
	for range maxReportAttempts {
		l.mutex.Lock()
		report := l.home.MakeReport(now, aggregator.Incarnation.Instance, load)
		l.mutex.Unlock()
		reply, err := l.sendReport(ctx, aggregator, report)
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

func (l *LoadExchange) sendReport(ctx context.Context, aggregator rattanmember.Member, report rattanload.Report) (rattanload.Reply, error) {
	if aggregator.Incarnation.Instance == l.config.Instance {
		return l.handleReport(time.Now(), report)
	}
	return callPeer[rattanload.Reply](ctx, l.config.Peers, aggregator.PeerAddress, methodReport, report)
}

// exchangeZone exchanges loads with the aggregator of another zone.
func (l *LoadExchange) exchangeZone(ctx context.Context, now time.Time, zone, address string) {
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

// zoneLoad returns the load to send to another zone. It returns false if this
// instance is not the aggregator or has not received the reports of all homes.
func (l *LoadExchange) zoneLoad(now time.Time, zone string) (rattanload.ZoneLoad, bool) {
	live := l.liveHomes(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.aggregator == nil {
		return rattanload.ZoneLoad{}, false
	}
	return l.aggregator.MakeZoneLoad(now, zone, live)
}

// handleReport handles the report of a home of this zone.
func (l *LoadExchange) handleReport(now time.Time, report rattanload.Report) (rattanload.Reply, error) {
	l.updateAggregator(now, l.aggregators(now))
	live := l.liveHomes(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.aggregator == nil {
		return rattanload.Reply{}, errors.Errorf("%s is not the aggregator", l.config.Instance)
	}
	return l.aggregator.ApplyReport(now, report, live), nil
}

// handleZoneLoad handles the load of another zone and returns that of this one.
func (l *LoadExchange) handleZoneLoad(now time.Time, load rattanload.ZoneLoad) (rattanload.ZoneLoad, error) {
	l.updateAggregator(now, l.aggregators(now))
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

// updateAggregator starts or ends this instance's role as the aggregator.
func (l *LoadExchange) updateAggregator(now time.Time, aggregators map[string]rattanmember.Member) {
	isAggregator := aggregators[l.config.AvailabilityZone].Incarnation.Instance == l.config.Instance
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !isAggregator:
		l.aggregator = nil
	case l.aggregator == nil:
		l.aggregator = rattanload.NewAggregator(now, l.config.AvailabilityZone, l.home.Term(), rand.Uint32())
	}
}

// aggregators returns the aggregator of each zone, which is the home with the
// lowest claim on a pool. The name decides between equal claims.
func (l *LoadExchange) aggregators(now time.Time) map[string]rattanmember.Member {
	aggregators := map[string]rattanmember.Member{}
	for _, home := range l.homes(now) {
		aggregator, known := aggregators[home.AvailabilityZone]
		earlier := home.Claim < aggregator.Claim || (home.Claim == aggregator.Claim && home.Incarnation.Instance < aggregator.Incarnation.Instance)
		if !known || earlier {
			aggregators[home.AvailabilityZone] = home
		}
	}
	return aggregators
}

// liveHomes returns the homes of this zone and the other zones that have homes.
func (l *LoadExchange) liveHomes(now time.Time) rattanload.Membership {
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

// homes returns all homes, including this instance if it is one.
func (l *LoadExchange) homes(now time.Time) []rattanmember.Member {
	homes := l.config.Membership.Homes(now)
	pool, _, owned := l.config.Membership.Pool(now)
	if owned {
		homes = append(homes, rattanmember.Member{
			Incarnation:      rattanjob.Incarnation{Instance: l.config.Instance, Number: l.config.Incarnation},
			AvailabilityZone: l.config.AvailabilityZone,
			Claim:            pool + 1,
		})
	}
	return homes
}

// ownLoad returns the load to report. It includes only callers with a quota,
// because the demand of the others does not affect other homes.
func (l *LoadExchange) ownLoad(now time.Time) rattanload.Load {
	document := l.config.Documents.Document()
	load := rattanload.Load{Demand: map[rattanload.CallerID]int{}, Idle: l.config.Home.IdleSlots(now)}
	for caller, demand := range l.config.LocalLoad(now).Demand {
		if document.Callers[caller].Quota > 0 {
			load.Demand[rattanload.HashCaller(caller)] += demand
		}
	}
	return load
}
