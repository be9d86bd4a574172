// Package rattantarget is an HTTP client for the task API of targets. It sends
// each dispatch at most once. When a dispatch ends without a result, the error
// states whether the task is known not to have been started.
package rattantarget

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Default values of Options.
const (
	DefaultConnections  = 60
	DefaultDialTimeout  = time.Second
	DefaultQueryTimeout = time.Second
	DefaultMaxResult    = 4 << 20
)

// idleTimeout is shorter than the usual idle timeout of servers, so that the
// client rarely writes to a connection that the server is about to close.
const idleTimeout = 45 * time.Second

// Options configure a client. Fields that are zero are set to their defaults.
type Options struct {
	// Connections is the maximum number of connections for dispatches to one
	// target. Further dispatches wait for a connection until their context ends.
	Connections int
	// DialTimeout limits the time to connect to a target.
	DialTimeout time.Duration
	// QueryTimeout limits each call of Inspect, Stop and Usage.
	QueryTimeout time.Duration
	// MaxResult is the maximum size of a response body in bytes.
	MaxResult int64
}

// Counters are the counters of a client since its creation.
type Counters struct {
	// Runs counts the calls of Run.
	Runs atomic.Uint64
	// Dials counts the connections that were opened for dispatches.
	Dials atomic.Uint64
	// Queries counts the requests of Inspect, Stop and Usage, which dispatch no
	// task.
	Queries atomic.Uint64
	// NotStarted, Failed and Unresolved count the calls of Run that returned
	// ErrNotStarted, ErrFailed and ErrUnresolved.
	NotStarted atomic.Uint64
	Failed     atomic.Uint64
	Unresolved atomic.Uint64
	// ResolvedByInspection counts the dispatches whose own connection returned
	// no response and whose outcome was determined on another connection.
	ResolvedByInspection atomic.Uint64
}

// Client dispatches tasks to targets. It is safe for concurrent use.
type Client struct {
	// Counters are the client's counters.
	Counters Counters

	options        Options
	dialer         net.Dialer
	queryTransport *http.Transport
	exchangePool   sync.Pool

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
	client.exchangePool.New = func() any { return newHTTPExchange() }
	client.queryTransport = &http.Transport{
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

// Forget closes the idle connections to a target and drops the client's state
// for it. It is meant for targets that have left the instance list.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if endpoint := c.endpoints[address]; endpoint != nil {
		endpoint.transport.CloseIdleConnections()
		delete(c.endpoints, address)
	}
}

// dial opens a connection for dispatches.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.Counters.Dials.Add(1)
	return &countingConn{Conn: connection}, nil
}

// endpoint returns the client's state for a target and creates it on first use.
func (c *Client) endpoint(address string) *endpoint {
	c.mu.RLock()
	existing := c.endpoints[address]
	c.mu.RUnlock()
	if existing != nil {
		return existing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endpoints[address] == nil {
		c.endpoints[address] = c.newEndpoint(address)
	}
	return c.endpoints[address]
}
