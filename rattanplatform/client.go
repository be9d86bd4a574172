// Package rattanplatform is an HTTP client for the platform's key-value service
// and instance list.
package rattanplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Errors of the client. Every error of a call to the platform is one of these.
const (
	// ErrConflict means that the key does not have the expected revision and
	// nothing was written.
	ErrConflict = errors.ConstError("the key has another revision")
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrUnavailable means that the platform did not serve the call and a write
	// had no effect.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrUncertain means that the response to a write was lost. The write may
	// have taken effect or may still take effect.
	ErrUncertain = errors.ConstError("the write may have taken effect")
	// ErrTooLarge means that the value is larger than MaxValueSize.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrRejected means that the platform rejected the call as malformed.
	ErrRejected = errors.ConstError("call rejected")
)

// errNotModified means that the ETag of a conditional read is still current.
const errNotModified = errors.ConstError("not modified")

// Default values of Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultConnections = 8
)

// maxResponseSize limits the memory that one response can take. An instance
// list of 8,700 targets takes about 2 MB.
const maxResponseSize = 64 << 20

const idleTimeout = 90 * time.Second

// Options configure a client.
type Options struct {
	// Address is the IP address and port of the platform.
	Address string
	// Timeout limits the duration of each call; for a watch, its wait is added.
	// The default is DefaultTimeout.
	Timeout time.Duration
	// Connections is the maximum number of idle connections. The default is
	// DefaultConnections.
	Connections int
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform. It is safe for concurrent use. It sends a write at
// most once; the transport may send a read again if the platform has closed an
// idle connection.
type Client struct {
	// Counters counts the calls that were made.
	Counters Counters

	options   Options
	transport *http.Transport
}

// New returns a client.
func New(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Connections <= 0 {
		options.Connections = DefaultConnections
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: options.Timeout}).DialContext
	}
	return &Client{
		options: options,
		transport: &http.Transport{
			DialContext:         options.Dial,
			MaxIdleConns:        options.Connections,
			MaxIdleConnsPerHost: options.Connections,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Delete deletes a key if it has the given revision. It returns ErrNotFound if
// the key does not exist.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	c.Counters.Deletes.Add(1)
	query := conditionQuery(ifRevision, NoLease)
	return errors.Annotatef(c.do(ctx, call{method: http.MethodDelete, path: "/v1/kv/" + key, query: query, write: true}, nil), "key %q", key)
}

// Get returns the entry of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	c.Counters.Gets.Add(1)
	var entry Entry
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/kv/" + key}, &entry)
	return entry, errors.Annotatef(err, "key %q", key)
}

// GrantLease creates a lease that expires after the duration unless it is
// renewed.
func (c *Client) GrantLease(ctx context.Context, duration time.Duration) (Lease, error) {
	c.Counters.Leases.Add(1)
	body, err := json.Marshal(Lease{Duration: rattanjson.Duration(duration)})
	if err != nil {
		return Lease{}, errors.Trace(err)
	}
	var lease Lease
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/leases", body: body, write: true}, &lease)
	return lease, errors.Trace(err)
}

// Instances returns the instance list, or the part of it for one availability
// zone, unless the query's ETag is still current. The list lags behind the
// actual instances.
func (c *Client) Instances(ctx context.Context, query InstanceQuery) (InstanceReply, error) {
	c.Counters.Instances.Add(1)
	var reply InstanceReply
	request := call{method: http.MethodGet, path: "/v1/instances", query: url.Values{}, ifNoneMatch: query.ETag, etag: &reply.ETag}
	if query.AvailabilityZone != "" {
		request.query.Set("AvailabilityZone", query.AvailabilityZone)
	}
	var entries []json.RawMessage
	err := c.do(ctx, request, &entries)
	if errors.Is(err, errNotModified) {
		return InstanceReply{ETag: query.ETag, NotModified: true}, nil
	}
	reply.Instances = c.decodeInstances(entries)
	return reply, errors.Annotate(err, "instance list")
}

// decodeInstances decodes the entries of the instance list. An invalid one is left
// out and counted; the others hold.
func (c *Client) decodeInstances(entries []json.RawMessage) []Instance {
	instances := make([]Instance, 0, len(entries))
	for _, entry := range entries {
		var instance Instance
		if json.Unmarshal(entry, &instance) != nil || instance.Check() != nil {
			c.Counters.InvalidInstances.Add(1)
			continue
		}
		instances = append(instances, instance)
	}
	return instances
}

// Put writes a key if it has the given revision, and binds it to the lease
// unless that is NoLease. It returns the new revision, or ErrNotFound if the
// lease has expired.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision, lease int64) (int64, error) {
	if len(value) > MaxValueSize {
		return 0, errors.WithType(errors.Errorf("key %q: %d bytes, want at most %d", key, len(value), MaxValueSize), ErrTooLarge)
	}
	c.Counters.Puts.Add(1)
	var written WriteResult
	err := c.do(ctx, call{
		method: http.MethodPut,
		path:   "/v1/kv/" + key,
		query:  conditionQuery(ifRevision, lease),
		body:   value,
		write:  true,
	}, &written)
	return written.Revision, errors.Annotatef(err, "key %q", key)
}

// VerifyPut determines whether a Put with the condition ifRevision took effect
// after it returned ErrUncertain. The value has to be unique to that Put, for
// example by containing the writer's request ID. VerifyPut returns the key's
// revision if the key holds the value. It returns ErrConflict if another write
// followed ifRevision; the Put may have taken effect before that write. It
// returns ErrUncertain if the key still has ifRevision: the Put may still take
// effect, and it is safe to repeat it.
func (c *Client) VerifyPut(ctx context.Context, key string, value []byte, ifRevision int64) (int64, error) {
	entry, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		entry = Entry{Revision: NoRevision}
	case err != nil:
		return 0, err
	}
	switch {
	case entry.Revision == ifRevision:
		return 0, errors.Annotatef(ErrUncertain, "key %q still has revision %d", key, ifRevision)
	case entry.Revision != NoRevision && bytes.Equal(entry.Value, value):
		return entry.Revision, nil
	default:
		return entry.Revision, errors.Annotatef(ErrConflict, "key %q has revision %d", key, entry.Revision)
	}
}

// RenewLease restarts the duration of a lease. It returns ErrNotFound if the
// lease has expired.
func (c *Client) RenewLease(ctx context.Context, id int64) (Lease, error) {
	c.Counters.Leases.Add(1)
	var lease Lease
	err := c.do(ctx, call{method: http.MethodPut, path: "/v1/leases/" + strconv.FormatInt(id, 10), write: true}, &lease)
	return lease, errors.Annotatef(err, "lease %d", id)
}

// Watch returns the changes of keys with the prefix after a revision. It
// returns as soon as there are any; after the wait it returns an empty set of
// changes. For revision 0 it returns all existing keys.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision int64, wait time.Duration) (Changes, error) {
	c.Counters.Watches.Add(1)
	wait = min(max(wait, 0), MaxWatchWait)
	query := url.Values{
		"AfterRevision": {strconv.FormatInt(afterRevision, 10)},
		"Wait":          {wait.String()},
	}
	var changes Changes
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/watch/" + prefix, query: query, wait: wait}, &changes)
	return changes, errors.Annotatef(err, "prefix %q", prefix)
}

// call describes one HTTP request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is the time for which the platform may delay the response.
	wait  time.Duration
	write bool
	// ifNoneMatch is sent as the header If-None-Match unless it is empty; a
	// response with status 304 then gives errNotModified.
	ifNoneMatch string
	// etag is set to the ETag of the response unless it is nil.
	etag *string
}

// do makes a call and counts its error.
func (c *Client) do(ctx context.Context, call call, result any) error {
	err := c.roundTrip(ctx, call, result)
	switch {
	case errors.Is(err, ErrConflict):
		c.Counters.Conflicts.Add(1)
	case errors.Is(err, ErrUnavailable):
		c.Counters.Unavailable.Add(1)
	case errors.Is(err, ErrUncertain):
		c.Counters.Uncertain.Add(1)
	}
	return err
}

// roundTrip sends the request of a call and decodes the response into result
// unless result is nil.
func (c *Client) roundTrip(ctx context.Context, call call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+call.wait)
	defer cancel()
	// A write without a connection cannot have taken effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.transport.RoundTrip(c.request(ctx, call))
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The connection may be broken without having been closed, and so may
		// the idle ones.
		c.transport.CloseIdleConnections()
	}
	if err != nil {
		return noResponseError(err, call.write && connected.Load())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return noResponseError(err, call.write)
	}
	if response.StatusCode == http.StatusNotModified && call.ifNoneMatch != "" {
		return errNotModified
	}
	if err := statusError(response.StatusCode, call.write); err != nil {
		if message := errorText(body); message != err.Error() {
			return errors.Annotatef(err, "status %d: %s", response.StatusCode, message)
		}
		return errors.Trace(err)
	}
	if call.etag != nil {
		*call.etag = response.Header.Get("ETag")
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return noResponseError(err, call.write)
	}
	return nil
}

func (c *Client) request(ctx context.Context, call call) *http.Request {
	request := &http.Request{
		Method:     call.method,
		URL:        &url.URL{Scheme: "http", Host: c.options.Address, Path: call.path, RawQuery: call.query.Encode()},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{},
		Host:       c.options.Address,
	}
	if call.ifNoneMatch != "" {
		request.Header.Set("If-None-Match", call.ifNoneMatch)
	}
	if len(call.body) > 0 {
		// GetBody is not set, so that the transport cannot send the body again.
		request.Body = io.NopCloser(bytes.NewReader(call.body))
		request.ContentLength = int64(len(call.body))
	}
	return request.WithContext(ctx)
}

// conditionQuery returns the query parameters for the condition and the lease
// of a write.
func conditionQuery(ifRevision, lease int64) url.Values {
	query := url.Values{}
	if ifRevision != AnyRevision {
		query.Set("IfRevision", strconv.FormatInt(ifRevision, 10))
	}
	if lease != NoLease {
		query.Set("Lease", strconv.FormatInt(lease, 10))
	}
	return query
}

// noResponseError returns the error for a call without a usable response.
func noResponseError(err error, mayHaveWritten bool) error {
	if mayHaveWritten {
		return errors.WithType(err, ErrUncertain)
	}
	return errors.WithType(err, ErrUnavailable)
}

// errorText returns the message in the body of an error response.
func errorText(body []byte) string {
	var response struct{ Error string }
	if json.Unmarshal(body, &response) == nil && response.Error != "" {
		return response.Error
	}
	return string(bytes.TrimSpace(body[:min(len(body), 200)]))
}

// statusError returns the error for the status of a response. write says
// whether the call was a write.
func statusError(status int, write bool) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= 500 && write:
		return ErrUncertain
	case status >= 500:
		return ErrUnavailable
	default:
		return ErrRejected
	}
}
