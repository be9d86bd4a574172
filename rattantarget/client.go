// Package rattantarget is the client of the task interface of targets. It never
// sends a dispatch twice, and says of each one that ended without a result
// whether it is proved that the task was not started.
package rattantarget

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Options.
const (
	DefaultConnections  = 60
	DefaultDialTimeout  = time.Second
	DefaultQueryTimeout = time.Second
	DefaultMaxResult    = 4 << 20
)

// idleTimeout is shorter than the usual idle timeout of servers, so that the
// client rarely writes to a connection that the server is about to close.
const idleTimeout = 45 * time.Second

// Options configure a client. A zero field takes the default of that name.
type Options struct {
	// Connections is the most connections to one target that carry dispatches.
	// Further dispatches wait for a connection until their context ends.
	Connections int
	// DialTimeout bounds the time to connect to a target.
	DialTimeout time.Duration
	// QueryTimeout bounds each of the calls Inspect, Stop and Usage.
	QueryTimeout time.Duration
	// MaxResult is the largest response in bytes that is read.
	MaxResult int64
}

// Counters counts what a client did since its construction.
type Counters struct {
	// Starts counts the calls of Run.
	Starts atomic.Uint64
	// Dials counts the connections that were made for dispatches.
	Dials atomic.Uint64
	// Queries counts the calls of Inspect, Stop and Usage, which are messages
	// that carry no work.
	Queries atomic.Uint64
	// NotStarted, Failed and Unresolved count the errors of Run of that name.
	NotStarted atomic.Uint64
	Failed     atomic.Uint64
	Unresolved atomic.Uint64
	// Silent counts the dispatches that were settled on another connection
	// while their own stayed silent.
	Silent atomic.Uint64
}

// Client dispatches tasks to targets. It is safe for concurrent use.
type Client struct {
	// Counters counts what the client did.
	Counters Counters

	options  Options
	dialer   net.Dialer
	queries  *http.Transport
	attempts sync.Pool

	mu        sync.RWMutex
	endpoints map[string]*endpoint
}

// New returns a client.
func New(options Options) *Client {
	if options.Connections <= 0 {
		options.Connections = DefaultConnections
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.QueryTimeout <= 0 {
		options.QueryTimeout = DefaultQueryTimeout
	}
	if options.MaxResult <= 0 {
		options.MaxResult = DefaultMaxResult
	}
	client := &Client{
		options:   options,
		dialer:    net.Dialer{Timeout: options.DialTimeout},
		endpoints: map[string]*endpoint{},
	}
	client.attempts.New = func() any { return newAttempt() }
	client.queries = &http.Transport{
		DialContext:        client.dialer.DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	return client
}

// Close closes the idle connections to all targets.
func (c *Client) Close() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, endpoint := range c.endpoints {
		endpoint.transport.CloseIdleConnections()
	}
}

// Forget closes the idle connections to a target and drops what the client
// knows about it. It is for targets that have left the instance list.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if endpoint := c.endpoints[address]; endpoint != nil {
		endpoint.transport.CloseIdleConnections()
		delete(c.endpoints, address)
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	established, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.Counters.Dials.Add(1)
	return &conn{Conn: established}, nil
}

func (c *Client) endpoint(address string) *endpoint {
	c.mu.RLock()
	found := c.endpoints[address]
	c.mu.RUnlock()
	if found != nil {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endpoints[address] == nil {
		c.endpoints[address] = c.newEndpoint(address)
	}
	return c.endpoints[address]
}
