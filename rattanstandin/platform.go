// Package rattanstandin holds stand-ins of the platform and of targets for
// tests, measurements and the demo. They serve the published interfaces over
// loopback and have switchable faults.
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

// Defaults of PlatformOptions, in calls per second.
const (
	DefaultWriteLimit = 300
	DefaultReadLimit  = 2000
)

// limitBurst is the part of one second's calls that may arrive at once.
const limitBurst = 0.25

// PlatformOptions configure a platform.
type PlatformOptions struct {
	// Address is the IP address and port to listen on; the default is a free
	// port of the loopback interface.
	Address string
	// WriteLimit and ReadLimit are calls per second; calls beyond are answered
	// with 503. The defaults are DefaultWriteLimit and DefaultReadLimit.
	WriteLimit float64
	ReadLimit  float64
	// InstanceListLag is the time until readers see a change of the instances.
	InstanceListLag rattanjson.Duration
	// AvailabilityZones get an address of the loopback interface each, so that
	// a zone can be partitioned from the platform.
	AvailabilityZones []string
}

// Platform stands in for the platform's key-value service and instance list.
type Platform struct {
	options   PlatformOptions
	listener  *listener
	zones     map[string]*listener
	server    *http.Server
	serving   sync.WaitGroup
	store     *store
	instances instanceList
	counts    callCounts
	writes    *rate.Limiter
	reads     *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// switched is closed and replaced when the faults change.
	switched chan struct{}
}

// NewPlatform returns a platform that listens.
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
		options:  options,
		zones:    map[string]*listener{},
		store:    newStore(),
		writes:   newLimiter(options.WriteLimit),
		reads:    newLimiter(options.ReadLimit),
		switched: make(chan struct{}),
	}
	p.counts.reset(time.Now())
	p.server = &http.Server{Handler: p.handler(), ErrorLog: quietLog, ConnContext: withZone}
	if err := p.listen(); err != nil {
		p.Close()
		return nil, errors.Annotate(err, "platform")
	}
	return p, nil
}

// listen opens the addresses and serves them.
func (p *Platform) listen() error {
	opened, err := listen(p.options.Address)
	if err != nil {
		return errors.Trace(err)
	}
	p.listener = opened
	p.serving.Go(func() { _ = p.server.Serve(opened) })
	for _, zone := range p.options.AvailabilityZones {
		opened, err := listen("127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		opened.zone = zone
		p.zones[zone] = opened
		p.serving.Go(func() { _ = p.server.Serve(opened) })
	}
	return nil
}

// Address returns the IP address and port.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// ChangeInstances changes the instance list.
func (p *Platform) ChangeInstances(change InstanceChange) {
	p.instances.change(time.Now(), change)
}

// Close ends the platform. Its state is lost.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.serving.Wait()
	p.store.close()
}

// Counts returns the calls since the start or the last reset.
func (p *Platform) Counts() Counts { return p.counts.counts(time.Now()) }

// Faults returns the faults that are switched on.
func (p *Platform) Faults() Faults {
	faults, _ := p.currentFaults()
	return faults
}

// ResetCounts sets the counts to 0.
func (p *Platform) ResetCounts() { p.counts.reset(time.Now()) }

// Run serves until the context ends, then closes the platform.
func (p *Platform) Run(ctx context.Context) error {
	defer p.Close()
	<-ctx.Done()
	return nil
}

// SetFaults replaces the faults that are switched on.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	setLimit(p.writes, faults.WriteLimit, p.options.WriteLimit)
	setLimit(p.reads, faults.ReadLimit, p.options.ReadLimit)
	close(p.switched)
	p.switched = make(chan struct{})
}

// SetInstances adds instances, or replaces those of the same name.
func (p *Platform) SetInstances(instances ...rattanplatform.Instance) {
	p.ChangeInstances(InstanceChange{Set: instances})
}

// SilenceConnections makes the open connections go silent for good, and returns
// their number. New connections work.
func (p *Platform) SilenceConnections(silence Silence) int {
	count := p.listener.silence(silence)
	for _, zone := range p.zones {
		count += zone.silence(silence)
	}
	return count
}

// ZoneAddress returns the IP address and port for an availability zone of the
// options, or "".
func (p *Platform) ZoneAddress(zone string) string {
	if listener := p.zones[zone]; listener != nil {
		return listener.Addr().String()
	}
	return ""
}

func (p *Platform) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.switched
}

// outage returns the outage for calls from an availability zone.
func (f *Faults) outage(zone string) Outage {
	if f.Outage == OutageNone && zone != "" && slices.Contains(f.Partitioned, zone) {
		return OutageSilent
	}
	return f.Outage
}

// zoneKey is the key of the context value that holds the availability zone
// whose address a connection was made to.
type zoneKey struct{}

func withZone(ctx context.Context, conn net.Conn) context.Context {
	if accepted, ok := conn.(*silentConn); ok {
		return context.WithValue(ctx, zoneKey{}, accepted.listener.zone)
	}
	return ctx
}

// loses reports whether the answer to one write is lost.
func (f *Faults) loses() bool { return f.LostAnswers > 0 && rand.Float64() < f.LostAnswers }

func burst(limit float64) int { return max(int(limit*limitBurst), 1) }

func newLimiter(limit float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(limit), burst(limit))
}

func setLimit(limiter *rate.Limiter, limit, fallback float64) {
	if limit <= 0 {
		limit = fallback
	}
	limiter.SetBurst(burst(limit))
	limiter.SetLimit(rate.Limit(limit))
}
