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

// maxPooledBufferSize is the size in bytes of the largest buffer that is kept
// for reuse.
const maxPooledBufferSize = 64 << 10

// dispatchHeader is the header of all dispatches. The empty User-Agent prevents
// the transport from adding its own.
var dispatchHeader = http.Header{"Content-Type": {"application/json"}, "User-Agent": {""}}

// httpExchange is the state of one HTTP request and its response. It is reused
// only if the request was written completely, because otherwise the transport
// may still be reading from it.
type httpExchange struct {
	trace         httptrace.ClientTrace
	requestData   bytes.Buffer
	encoder       *json.Encoder
	requestReader bytes.Reader
	// requestBody reads from requestReader. The transport recognises its type as
	// an in-memory reader and sends the header and the body in one write.
	requestBody    io.ReadCloser
	responseData   bytes.Buffer
	responseReader io.LimitedReader

	conn atomic.Pointer[countingConn]
	// writesBefore is the connection's write count before this request.
	writesBefore   atomic.Uint64
	requestWritten atomic.Bool
}

func newHTTPExchange() *httpExchange {
	exchange := &httpExchange{}
	exchange.encoder = json.NewEncoder(&exchange.requestData)
	exchange.requestBody = io.NopCloser(&exchange.requestReader)
	exchange.trace.GotConn = exchange.gotConn
	exchange.trace.WroteRequest = exchange.wroteRequest
	return exchange
}

func (e *httpExchange) gotConn(info httptrace.GotConnInfo) {
	if connection, ok := info.Conn.(*countingConn); ok {
		e.writesBefore.Store(connection.writeCount())
		e.conn.Store(connection)
	}
}

func (e *httpExchange) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		e.requestWritten.Store(true)
	}
}

// blockIfUnwritten blocks the connection for writes unless a part of the
// request was already written. It returns true if no part of the request was or
// will be written.
func (e *httpExchange) blockIfUnwritten() bool {
	connection := e.conn.Load()
	if connection == nil {
		return true
	}
	before := e.writesBefore.Load()
	return connection.writeCount() == before && connection.blockWrites() == before
}

// Run dispatches a task and returns its result. The error is one of
// ErrNotStarted, ErrFailed and ErrUnresolved. The dispatch is sent at most
// once. If the context ends first, the task may continue at the target.
func (c *Client) Run(ctx context.Context, dispatch Dispatch) (Result, error) {
	c.Counters.Runs.Add(1)
	endpoint := c.endpoint(dispatch.Address)
	endpoint.addDispatch(dispatch.ID)
	var result Result
	var err error
	if dispatch.InspectAfter > 0 {
		result, err = c.runWithInspection(ctx, endpoint, &dispatch)
	} else {
		result, err = c.send(ctx, endpoint, &dispatch)
	}
	endpoint.endDispatch(dispatch.ID, errors.Is(err, ErrUnresolved))
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

// send sends a dispatch and waits for the response.
func (c *Client) send(ctx context.Context, endpoint *endpoint, dispatch *Dispatch) (Result, error) {
	exchange, _ := c.exchangePool.Get().(*httpExchange)
	defer c.releaseExchange(exchange)
	if err := exchange.encoder.Encode(dispatch); err != nil {
		return Result{}, withTypes(err, ErrNotStarted)
	}
	response, err := endpoint.transport.RoundTrip(exchange.request(ctx, endpoint))
	if err != nil {
		return Result{}, exchange.transportError(err)
	}
	exchange.responseReader = io.LimitedReader{R: response.Body, N: c.options.MaxResult + 1}
	_, err = exchange.responseData.ReadFrom(&exchange.responseReader)
	response.Body.Close()
	if err != nil {
		return Result{}, withTypes(err, ErrUnresolved)
	}
	if int64(exchange.responseData.Len()) > c.options.MaxResult {
		return Result{}, withTypes(errors.Errorf("result of more than %d bytes", c.options.MaxResult), ErrFailed)
	}
	return parseResponse(response.StatusCode, exchange.responseData.Bytes(), dispatch.ID)
}

// request returns the HTTP request. The transport cannot send it a second time,
// because the method is not idempotent and GetBody is not set.
func (e *httpExchange) request(ctx context.Context, endpoint *endpoint) *http.Request {
	e.requestReader.Reset(e.requestData.Bytes())
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           endpoint.tasksURL,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        dispatchHeader,
		Body:          e.requestBody,
		ContentLength: int64(e.requestData.Len()),
		Host:          endpoint.address,
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &e.trace))
}

// transportError classifies the error of a request without a response.
func (e *httpExchange) transportError(err error) error {
	switch {
	case !e.blockIfUnwritten():
		return withTypes(err, ErrUnresolved)
	case e.conn.Load() == nil && !isContextError(err):
		return withTypes(err, ErrNotStarted, ErrUnreachable)
	default:
		return withTypes(err, ErrNotStarted)
	}
}

func (c *Client) releaseExchange(exchange *httpExchange) {
	if !exchange.requestWritten.Load() || exchange.requestData.Cap() > maxPooledBufferSize || exchange.responseData.Cap() > maxPooledBufferSize {
		return
	}
	exchange.requestData.Reset()
	exchange.responseData.Reset()
	exchange.responseReader.R = nil
	exchange.conn.Store(nil)
	exchange.requestWritten.Store(false)
	c.exchangePool.Put(exchange)
}

// parseResponse returns the outcome given in a complete response.
func parseResponse(status int, body []byte, id string) (Result, error) {
	if status == http.StatusOK {
		var result Result
		if err := json.Unmarshal(body, &result); err != nil {
			return Result{}, withTypes(err, ErrUnresolved)
		}
		if result.ID != id {
			return Result{}, withTypes(errors.Errorf("response to task %q", result.ID), ErrUnresolved)
		}
		return result, nil
	}
	var errorResponse ErrorResponse
	if err := json.Unmarshal(body, &errorResponse); err != nil {
		return Result{}, withTypes(errors.Errorf("status %d without a statement on the start", status), ErrUnresolved)
	}
	detail := errors.Errorf("status %d: %s", status, errorResponse.Reason)
	switch {
	case errorResponse.NotStarted:
		return Result{}, withTypes(detail, ErrNotStarted, ErrRefused)
	case status == http.StatusInternalServerError && errorResponse.Stopped:
		return Result{}, withTypes(detail, ErrFailed, ErrStopped)
	case status == http.StatusInternalServerError:
		return Result{}, withTypes(detail, ErrFailed)
	default:
		return Result{}, withTypes(detail, ErrUnresolved)
	}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
