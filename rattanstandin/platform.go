// Package rattanstandin simulates the platform and targets for tests, benchmarks
// and the demo. The simulators serve the published HTTP interfaces and support
// fault injection.
package rattanstandin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

// Default rate limits of PlatformOptions, in calls per second.
const (
	DefaultWriteLimit = 300
	DefaultReadLimit  = 2000
)

// burstFraction is the burst size of a rate limit as a fraction of the calls that
// it allows per second.
const burstFraction = 0.25

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// Address is the IP address and port to listen on; the default is a free
	// port of the loopback interface.
	Address string
	// WriteLimit and ReadLimit are the rate limits in calls per second. Calls
	// that exceed them are answered with status 503. The defaults are
	// DefaultWriteLimit and DefaultReadLimit.
	WriteLimit float64
	ReadLimit  float64
	// InstanceListLag is the delay until a change of the instance list is visible.
	InstanceListLag rattanjson.Duration
	// AvailabilityZones are the zones that get their own address on the loopback
	// interface, so that each can be partitioned from the platform.
	AvailabilityZones []string
}

// Platform simulates the platform's key-value store and instance list.
type Platform struct {
	options         PlatformOptions
	listener        *trackedListener
	zoneListeners   map[string]*trackedListener
	server          *http.Server
	serveGoroutines sync.WaitGroup
	store           *store
	instances       instanceList
	callCounter     callCounter
	writeLimiter    *rate.Limiter
	readLimiter     *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
}

// NewPlatform starts a platform. It listens when NewPlatform returns.
func NewPlatform(options PlatformOptions) (*Platform, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	if options.WriteLimit <= 0 {
		options.WriteLimit = DefaultWriteLimit
	}
	if options.ReadLimit <= 0 {
		options.ReadLimit = DefaultReadLimit
	}
	p := &Platform{
		options:       options,
		zoneListeners: map[string]*trackedListener{},
		store:         newStore(),
		writeLimiter:  newLimiter(options.WriteLimit),
		readLimiter:   newLimiter(options.ReadLimit),
		faultsChanged: make(chan struct{}),
	}
	p.callCounter.reset(time.Now())
	p.server = &http.Server{Handler: p.handler(), ErrorLog: discardLogger, ConnContext: contextWithZone}
	if err := p.listenAndServe(); err != nil {
		p.Close()
		return nil, errors.Annotate(err, "platform")
	}
	return p, nil
}

// listenAndServe opens the main listener and the zone listeners and serves them.
func (p *Platform) listenAndServe() error {
	listener, err := listen(p.options.Address)
	if err != nil {
		return errors.Trace(err)
	}
	p.listener = listener
	p.serveGoroutines.Go(func() { _ = p.server.Serve(listener) })
	for _, zone := range p.options.AvailabilityZones {
		listener, err := listen("127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		listener.zone = zone
		p.zoneListeners[zone] = listener
		p.serveGoroutines.Go(func() { _ = p.server.Serve(listener) })
	}
	return nil
}

// Address returns the IP address and port of the main listener.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// ChangeInstances changes the instance list.
func (p *Platform) ChangeInstances(change InstanceChange) {
	p.instances.apply(time.Now(), change)
}

// Close stops the platform and discards its state.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.serveGoroutines.Wait()
	p.store.close()
}

// Counts returns the call counts since the start or the last reset.
func (p *Platform) Counts() Counts { return p.callCounter.counts(time.Now()) }

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	faults, _ := p.currentFaults()
	return faults
}

// ResetCounts sets the call counts to 0.
func (p *Platform) ResetCounts() { p.callCounter.reset(time.Now()) }

// Run waits until the context ends, then closes the platform.
func (p *Platform) Run(ctx context.Context) error {
	defer p.Close()
	<-ctx.Done()
	return nil
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	setLimit(p.writeLimiter, faults.WriteLimit, p.options.WriteLimit)
	setLimit(p.readLimiter, faults.ReadLimit, p.options.ReadLimit)
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// SetInstances adds instances, or replaces those with the same name.
func (p *Platform) SetInstances(instances ...rattanplatform.Instance) {
	p.ChangeInstances(InstanceChange{Set: instances})
}

// SilenceConnections makes the open connections lose data permanently and returns
// their number. New connections work normally.
func (p *Platform) SilenceConnections(silence Silence) int {
	count := p.listener.silenceConns(silence)
	for _, listener := range p.zoneListeners {
		count += listener.silenceConns(silence)
	}
	return count
}

// ZoneAddress returns the IP address and port for an availability zone, or "" if
// the options do not list it.
func (p *Platform) ZoneAddress(zone string) string {
	if listener := p.zoneListeners[zone]; listener != nil {
		return listener.Addr().String()
	}
	return ""
}

func (p *Platform) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// outageFor returns the outage that applies to calls from an availability zone.
func (f *Faults) outageFor(zone string) Outage {
	if f.Outage == OutageNone && zone != "" && slices.Contains(f.PartitionedZones, zone) {
		return OutageSilent
	}
	return f.Outage
}

// zoneContextKey is the context key of the availability zone whose address a
// connection was made to.
type zoneContextKey struct{}

func contextWithZone(ctx context.Context, conn net.Conn) context.Context {
	if silenceable, ok := conn.(*silenceableConn); ok {
		return context.WithValue(ctx, zoneContextKey{}, silenceable.listener.zone)
	}
	return ctx
}

// losesResponse decides at random whether the response to a write is lost.
func (f *Faults) losesResponse() bool {
	return f.LostResponseRate > 0 && rand.Float64() < f.LostResponseRate
}

func burstSize(limit float64) int { return max(int(limit*burstFraction), 1) }

func newLimiter(limit float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(limit), burstSize(limit))
}

func setLimit(limiter *rate.Limiter, limit, defaultLimit float64) {
	if limit <= 0 {
		limit = defaultLimit
	}
	limiter.SetBurst(burstSize(limit))
	limiter.SetLimit(rate.Limit(limit))
}
