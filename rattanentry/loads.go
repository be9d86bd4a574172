package rattanentry

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanload"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanpool"
)

const (
	methodLoad = "Load"
	// loadInterval is how often homes exchange their loads; quotas follow
	// demand within about twice this time.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// loadLifetime is how long a home's load counts after it was received. It
	// outlasts short partitions, so that quotas do not jump with them.
	loadLifetime = 30 * time.Second
)

// HomeLoad is the load of one home as it is sent to others.
type HomeLoad struct {
	Instance         string
	AvailabilityZone string
	// OwnsPool says that the instance is a home; only homes share quotas.
	OwnsPool bool
	// Revision is the configuration in force at the home.
	Revision uint64
	Jobs     int
	Pool     rattanpool.Load
	// Demand is the number of tasks without a result, by caller.
	Demand map[string]int
	// ServiceSlots is the number of slots by service.
	ServiceSlots map[string]int
}

// receivedLoad is a load with the time of its arrival.
type receivedLoad struct {
	load HomeLoad
	at   time.Time
}

// LoadsConfig configures Loads. All fields are required.
type LoadsConfig struct {
	Instance  string
	Home      *Home
	Members   *Members
	Peers     PeerCaller
	Documents Documents
	// Local describes this instance's own load.
	Local func(now time.Time) HomeLoad
}

// Loads exchanges loads between homes and divides quotas by demand. It is safe
// for concurrent use.
type Loads struct {
	config LoadsConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mutex    sync.Mutex
	received map[string]receivedLoad
}

// NewLoads returns an exchange that knows no other home.
func NewLoads(config LoadsConfig) *Loads {
	return &Loads{config: config, received: map[string]receivedLoad{}}
}

// All returns the loads of all known homes, this instance's first.
func (l *Loads) All(now time.Time) []HomeLoad {
	all := []HomeLoad{l.config.Local(now)}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, known := range l.received {
		if now.Sub(known.at) < loadLifetime {
			all = append(all, known.load)
		}
	}
	return all
}

// Collect asks all other instances for their loads and returns those of the
// ones that answer, this instance's first.
func (l *Loads) Collect(ctx context.Context, now time.Time) []HomeLoad {
	own := l.config.Local(now)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	others := callMembers[HomeLoad](ctx, l.config.Peers, l.config.Members.Others(now), methodLoad, own)
	return append([]HomeLoad{own}, others...)
}

// Handle serves the exchange.
func (l *Loads) Handle(node *rattanpeer.Node) {
	node.Handle(methodLoad, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		now := time.Now()
		if err := l.take(now, body); err != nil {
			return nil, errors.Trace(err)
		}
		return json.Marshal(l.config.Local(now))
	})
}

// Lenders returns the homes to borrow slots of a service from, in the order in
// which to ask them.
func (l *Loads) Lenders(now time.Time, service string) []rattanload.Lender {
	all := l.All(now)
	var homes []rattanload.Lender
	for _, load := range all[1:] {
		if load.ServiceSlots[service] > 0 {
			homes = append(homes, rattanload.Lender{Instance: load.Instance, AvailabilityZone: load.AvailabilityZone, Idle: load.Pool.Slots - load.Pool.BusySlots})
		}
	}
	return rattanload.ChooseLenders(all[0].Instance, all[0].AvailabilityZone, homes)
}

// Name returns the name of the service in the kernel.
func (l *Loads) Name() string {
	return "Loads"
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

// exchange sends this home's load to the homes that come after it in the order
// of names; each pair then exchanges once an interval.
func (l *Loads) exchange(ctx context.Context, now time.Time) {
	if !l.config.Members.OwnsPool(now) {
		return
	}
	body, err := json.Marshal(l.config.Local(now))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, home := range l.config.Members.Homes(now) {
		if home.Incarnation.Instance > l.config.Instance {
			calls.Go(func() { l.exchangeWith(ctx, home, body) })
		}
	}
	calls.Wait()
	l.config.Home.SetCallers(now, l.callers(now))
}

func (l *Loads) exchangeWith(ctx context.Context, home rattanmember.Member, body []byte) {
	reply, err := l.config.Peers.Call(ctx, home.PeerAddress, methodLoad, body)
	if err != nil {
		return
	}
	_ = l.take(time.Now(), reply)
}

func (l *Loads) take(now time.Time, body []byte) error {
	var load HomeLoad
	if err := json.Unmarshal(body, &load); err != nil {
		return errors.Trace(err)
	}
	if !load.OwnsPool {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.received[load.Instance] = receivedLoad{load: load, at: now}
	maps.DeleteFunc(l.received, func(_ string, known receivedLoad) bool { return now.Sub(known.at) >= loadLifetime })
	return nil
}

// callers returns the callers of the document with this home's parts of their
// quotas.
func (l *Loads) callers(now time.Time) []rattanpool.Caller {
	return DivideQuotas(l.config.Documents.Document(), l.All(now))
}

// DivideQuotas returns the callers of the document with the part of their
// quotas that the first home may use. A quota is divided in proportion to
// demand; a home without demand keeps a small part, so that a first job need
// not wait for an exchange. The parts add up to at most the quota plus one
// slot for each home.
func DivideQuotas(document *rattanconfig.Document, homes []HomeLoad) []rattanpool.Caller {
	callers := make([]rattanpool.Caller, 0, len(document.Callers))
	for name, caller := range document.Callers {
		if caller.Retired {
			continue
		}
		share := rattanpool.Caller{Name: name, Weight: caller.Weight, Quota: caller.Quota}
		if caller.Quota > 0 {
			share.Quota = divideQuota(caller.Quota, name, homes)
		}
		callers = append(callers, share)
	}
	return callers
}

func divideQuota(quota int, caller string, homes []HomeLoad) int {
	total := 0
	for _, home := range homes {
		total += home.Demand[caller] + 1
	}
	own := homes[0].Demand[caller] + 1
	return max(1, quota*own/total)
}
