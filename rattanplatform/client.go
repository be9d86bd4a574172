// Package rattanplatform is the client of the platform's key-value service and
// of its instance list.
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

// Errors of the client. Every error of a call is one of these.
const (
	// ErrConflict says that the key does not have the expected revision, and
	// that nothing was written.
	ErrConflict = errors.ConstError("the key has another revision")
	// ErrNotFound says that there is no such key or lease.
	ErrNotFound = errors.ConstError("not found")
	// ErrUnavailable says that the platform did not serve the call, and that a
	// write had no effect.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrUncertain says that the answer to a write was lost. The write may have
	// taken effect, and may still take effect.
	ErrUncertain = errors.ConstError("the write may have taken effect")
	// ErrTooLarge says that the value is larger than MaxValueSize.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrRejected says that the platform rejects the call as malformed.
	ErrRejected = errors.ConstError("call rejected")
)

// errNotModified says that the ETag of a conditional read still holds.
const errNotModified = errors.ConstError("not modified")

// Defaults of Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultConnections = 8
)

// maxAnswerSize bounds the memory that one answer can take. An instance list
// of 8,700 workers takes about 2 MB.
const maxAnswerSize = 64 << 20

const idleTimeout = 90 * time.Second

// Options configure a client.
type Options struct {
	// Address is the IP address and port of the platform's service.
	Address string
	// Timeout bounds each call; a watch takes its wait in addition. The
	// default is DefaultTimeout.
	Timeout time.Duration
	// Connections bounds the idle connections that are kept. The default is
	// DefaultConnections.
	Connections int
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform. It is safe for concurrent use. It sends a write at
// most once; the transport may send a read again when a kept connection turns
// out to be closed.
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

// Delete deletes a key if it has the revision. It returns ErrNotFound if the
// key does not exist.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	c.Counters.Deletes.Add(1)
	query := condition(ifRevision, NoLease)
	return errors.Annotatef(c.do(ctx, call{method: http.MethodDelete, path: "/v1/kv/" + key, query: query, write: true}, nil), "key %q", key)
}

// Get returns the entry of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	c.Counters.Gets.Add(1)
	var entry Entry
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/kv/" + key}, &entry)
	return entry, errors.Annotatef(err, "key %q", key)
}

// GrantLease returns a new lease that expires after the duration unless it is
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

// Instances returns the instance list or one availability zone's part of it,
// unless the query's ETag still holds. The list lags behind the instances.
func (c *Client) Instances(ctx context.Context, query InstanceQuery) (InstanceReply, error) {
	c.Counters.Instances.Add(1)
	var reply InstanceReply
	read := call{method: http.MethodGet, path: "/v1/instances", query: url.Values{}, ifNoneMatch: query.ETag, etag: &reply.ETag}
	if query.AvailabilityZone != "" {
		read.query.Set("AvailabilityZone", query.AvailabilityZone)
	}
	err := c.do(ctx, read, &reply.Instances)
	if errors.Is(err, errNotModified) {
		return InstanceReply{ETag: query.ETag, NotModified: true}, nil
	}
	return reply, errors.Annotate(err, "instance list")
}

// Put writes a key if it has the revision, and binds it to the lease unless
// that is NoLease. It returns the new revision. An expired lease is
// ErrNotFound.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision, lease int64) (int64, error) {
	if len(value) > MaxValueSize {
		return 0, errors.WithType(errors.Errorf("key %q: %d bytes, want at most %d", key, len(value), MaxValueSize), ErrTooLarge)
	}
	c.Counters.Puts.Add(1)
	var written WriteResult
	err := c.do(ctx, call{
		method: http.MethodPut,
		path:   "/v1/kv/" + key,
		query:  condition(ifRevision, lease),
		body:   value,
		write:  true,
	}, &written)
	return written.Revision, errors.Annotatef(err, "key %q", key)
}

// ReadBack finds out about a Put with a revision as condition that ended with
// ErrUncertain. The value has to be unique to that Put, so it contains the
// writer's request ID. ReadBack returns the revision if the key holds the
// value. It returns ErrConflict if another write came after the condition's
// revision; the Put may have taken effect before that write. It returns
// ErrUncertain if the key still has the condition's revision: then the Put may
// still take effect, and making it again is safe.
func (c *Client) ReadBack(ctx context.Context, key string, value []byte, ifRevision int64) (int64, error) {
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

// RenewLease restarts the time of a lease. An expired lease is ErrNotFound.
func (c *Client) RenewLease(ctx context.Context, id int64) (Lease, error) {
	c.Counters.Leases.Add(1)
	var lease Lease
	err := c.do(ctx, call{method: http.MethodPut, path: "/v1/leases/" + strconv.FormatInt(id, 10), write: true}, &lease)
	return lease, errors.Annotatef(err, "lease %d", id)
}

// Watch returns the changes of keys with the prefix after a revision. It
// returns as soon as there are any, and an empty set of changes after the
// wait. After revision 0 it returns all existing keys.
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

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is the time that the platform may hold the answer back.
	wait  time.Duration
	write bool
	// ifNoneMatch is sent as the header of that name unless it is empty; an
	// answer with status 304 is then errNotModified.
	ifNoneMatch string
	// etag takes the ETag of the answer unless it is nil.
	etag *string
}

func (c *Client) do(ctx context.Context, call call, answer any) error {
	err := c.exchange(ctx, call, answer)
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

func (c *Client) exchange(ctx context.Context, call call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+call.wait)
	defer cancel()
	// A write that never got a connection cannot have taken effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.transport.RoundTrip(c.request(ctx, call))
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The connection may have gone silent, and so may the idle ones.
		c.transport.CloseIdleConnections()
	}
	if err != nil {
		return lost(err, call.write && connected.Load())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return lost(err, call.write)
	}
	if response.StatusCode == http.StatusNotModified && call.ifNoneMatch != "" {
		return errNotModified
	}
	if err := statusError(response.StatusCode, call.write); err != nil {
		if text := failureText(body); text != err.Error() {
			return errors.Annotatef(err, "status %d: %s", response.StatusCode, text)
		}
		return errors.Trace(err)
	}
	if call.etag != nil {
		*call.etag = response.Header.Get("ETag")
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return lost(err, call.write)
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
		// GetBody stays nil, so that the transport cannot send the body again.
		request.Body = io.NopCloser(bytes.NewReader(call.body))
		request.ContentLength = int64(len(call.body))
	}
	return request.WithContext(ctx)
}

func condition(ifRevision, lease int64) url.Values {
	query := url.Values{}
	if ifRevision != AnyRevision {
		query.Set("IfRevision", strconv.FormatInt(ifRevision, 10))
	}
	if lease != NoLease {
		query.Set("Lease", strconv.FormatInt(lease, 10))
	}
	return query
}

// lost returns the error of a call without a usable answer.
func lost(err error, mayHaveWritten bool) error {
	if mayHaveWritten {
		return errors.WithType(err, ErrUncertain)
	}
	return errors.WithType(err, ErrUnavailable)
}

// failureText returns the text in the body of an error response.
func failureText(body []byte) string {
	var failure struct{ Error string }
	if json.Unmarshal(body, &failure) == nil && failure.Error != "" {
		return failure.Error
	}
	return string(bytes.TrimSpace(body[:min(len(body), 200)]))
}

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
