package rattantarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

// maxKeptBuffer is the largest buffer in bytes that is kept for reuse.
const maxKeptBuffer = 64 << 10

// dispatchHeader is shared by all dispatches. The empty User-Agent keeps the
// transport from sending its own.
var dispatchHeader = http.Header{"Content-Type": {"application/json"}, "User-Agent": {""}}

// attempt is the state of one exchange. It is reused only when its request was
// written completely, as the transport may otherwise still read from it.
type attempt struct {
	trace   httptrace.ClientTrace
	body    bytes.Buffer
	encoder *json.Encoder
	reader  bytes.Reader
	// closer reads from reader. The transport recognises its type as a reader
	// from memory, and sends the header and the body in one write.
	closer  io.ReadCloser
	answer  bytes.Buffer
	limited io.LimitedReader

	conn atomic.Pointer[conn]
	// writes is the connection's number of writes before this request.
	writes atomic.Uint64
	wrote  atomic.Bool
}

func newAttempt() *attempt {
	a := &attempt{}
	a.encoder = json.NewEncoder(&a.body)
	a.closer = io.NopCloser(&a.reader)
	a.trace.GotConn = a.gotConn
	a.trace.WroteRequest = a.wroteRequest
	return a
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if got, ok := info.Conn.(*conn); ok {
		a.writes.Store(got.count())
		a.conn.Store(got)
	}
}

func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		a.wrote.Store(true)
	}
}

// unwritten makes sure that nothing of the request is written from now on, and
// reports whether nothing was written before.
func (a *attempt) unwritten() bool {
	got := a.conn.Load()
	if got == nil {
		return true
	}
	before := a.writes.Load()
	return got.count() == before && got.seal() == before
}

// Run dispatches a task and returns its result. The error is one of
// ErrNotStarted, ErrFailed and ErrUnresolved. The dispatch is sent at most
// once. When the context ends first, the task may go on at the target.
func (c *Client) Run(ctx context.Context, dispatch Dispatch) (Result, error) {
	c.Counters.Starts.Add(1)
	endpoint := c.endpoint(dispatch.Address)
	endpoint.begin(dispatch.ID)
	var result Result
	var err error
	if dispatch.InspectAfter > 0 {
		result, err = c.runInspected(ctx, endpoint, &dispatch)
	} else {
		result, err = c.send(ctx, endpoint, &dispatch)
	}
	endpoint.end(dispatch.ID, errors.Is(err, ErrUnresolved))
	if err != nil {
		c.countError(err)
		return Result{}, errors.Annotatef(err, "task %s at %s", dispatch.ID, dispatch.Address)
	}
	return result, nil
}

func (c *Client) countError(err error) {
	switch {
	case errors.Is(err, ErrNotStarted):
		c.Counters.NotStarted.Add(1)
	case errors.Is(err, ErrFailed):
		c.Counters.Failed.Add(1)
	default:
		c.Counters.Unresolved.Add(1)
	}
}

// send makes the exchange of one dispatch.
func (c *Client) send(ctx context.Context, endpoint *endpoint, dispatch *Dispatch) (Result, error) {
	a, _ := c.attempts.Get().(*attempt)
	defer c.release(a)
	if err := a.encoder.Encode(dispatch); err != nil {
		return Result{}, typed(err, ErrNotStarted)
	}
	response, err := endpoint.transport.RoundTrip(a.request(ctx, endpoint))
	if err != nil {
		return Result{}, a.lost(err)
	}
	a.limited = io.LimitedReader{R: response.Body, N: c.options.MaxResult + 1}
	_, err = a.answer.ReadFrom(&a.limited)
	response.Body.Close()
	if err != nil {
		return Result{}, typed(err, ErrUnresolved)
	}
	if int64(a.answer.Len()) > c.options.MaxResult {
		return Result{}, typed(errors.Errorf("result of more than %d bytes", c.options.MaxResult), ErrFailed)
	}
	return parse(response.StatusCode, a.answer.Bytes(), dispatch.ID)
}

// request returns the HTTP request. It has no GetBody and its method is not
// idempotent, so that the transport cannot send it a second time.
func (a *attempt) request(ctx context.Context, endpoint *endpoint) *http.Request {
	a.reader.Reset(a.body.Bytes())
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           endpoint.tasks,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        dispatchHeader,
		Body:          a.closer,
		ContentLength: int64(a.body.Len()),
		Host:          endpoint.address,
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &a.trace))
}

// lost returns the error of an exchange without a response.
func (a *attempt) lost(err error) error {
	switch {
	case !a.unwritten():
		return typed(err, ErrUnresolved)
	case a.conn.Load() == nil && !isContext(err):
		return typed(err, ErrNotStarted, ErrUnreachable)
	default:
		return typed(err, ErrNotStarted)
	}
}

func (c *Client) release(a *attempt) {
	if !a.wrote.Load() || a.body.Cap() > maxKeptBuffer || a.answer.Cap() > maxKeptBuffer {
		return
	}
	a.body.Reset()
	a.answer.Reset()
	a.limited.R = nil
	a.conn.Store(nil)
	a.wrote.Store(false)
	c.attempts.Put(a)
}

// parse returns the outcome that a complete response states.
func parse(status int, body []byte, id string) (Result, error) {
	if status == http.StatusOK {
		var result Result
		if err := json.Unmarshal(body, &result); err != nil {
			return Result{}, typed(err, ErrUnresolved)
		}
		if result.ID != id {
			return Result{}, typed(errors.Errorf("response to task %q", result.ID), ErrUnresolved)
		}
		return result, nil
	}
	var rejection ErrorResponse
	if err := json.Unmarshal(body, &rejection); err != nil {
		return Result{}, typed(errors.Errorf("status %d without a statement on the start", status), ErrUnresolved)
	}
	detail := errors.Errorf("status %d: %s", status, rejection.Reason)
	switch {
	case rejection.NotStarted:
		return Result{}, typed(detail, ErrNotStarted, ErrRefused)
	case status == http.StatusInternalServerError && rejection.Stopped:
		return Result{}, typed(detail, ErrFailed, ErrStopped)
	case status == http.StatusInternalServerError:
		return Result{}, typed(detail, ErrFailed)
	default:
		return Result{}, typed(detail, ErrUnresolved)
	}
}

func isContext(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
