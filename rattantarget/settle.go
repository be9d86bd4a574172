package rattantarget

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Bounds of the time between two queries about one task. They double from the
// first to the second.
const (
	minQueryInterval = 50 * time.Millisecond
	maxQueryInterval = 2 * time.Second
)

// Inspect asks a target about a task, on a new connection. The error is
// ErrUnreachable if no connection could be made.
func (c *Client) Inspect(ctx context.Context, address, id string) (Inspection, error) {
	var inspection Inspection
	err := c.query(ctx, http.MethodGet, address, "/v1/tasks/"+url.PathEscape(id), &inspection)
	return inspection, errors.Annotatef(err, "task %s at %s", id, address)
}

// Stop makes a target stop a task and refuse its ID from then on, on a new
// connection. The error is ErrUnreachable if no connection could be made; a
// call that ends with any other error may have had its effect. Stop may be
// called again.
func (c *Client) Stop(ctx context.Context, address, id string) (StopResult, error) {
	var stopping StopResult
	err := c.query(ctx, http.MethodDelete, address, "/v1/tasks/"+url.PathEscape(id), &stopping)
	return stopping, errors.Annotatef(err, "task %s at %s", id, address)
}

// Usage asks a target for its usage, on a new connection.
func (c *Client) Usage(ctx context.Context, address string) (Usage, error) {
	var usage Usage
	err := c.query(ctx, http.MethodGet, address, "/v1/usage", &usage)
	return usage, errors.Annotatef(err, "usage of %s", address)
}

// Settle finds out on new connections how a task ended whose own connection was
// lost or stays silent. It waits while the task runs, and stops a task that the
// target does not know. The error is ErrNotStarted only for tasks that this
// client dispatched, and only if the target's process was running before the
// dispatch. It is ErrUnresolved when the target refuses connections and when
// the context ends.
func (c *Client) ResolveOutcome(ctx context.Context, address, id string) (Result, error) {
	endpoint := c.endpoint(address)
	result, err := c.settle(ctx, endpoint, id)
	if !errors.Is(err, ErrUnresolved) {
		endpoint.end(id, false)
	}
	if err != nil {
		return Result{}, errors.Annotatef(err, "task %s at %s", id, address)
	}
	return result, nil
}

func (c *Client) settle(ctx context.Context, endpoint *endpoint, id string) (Result, error) {
	for interval := minQueryInterval; ; interval = min(2*interval, maxQueryInterval) {
		result, settled, err := c.settleOnce(ctx, endpoint, id)
		if settled {
			return result, err
		}
		select {
		case <-ctx.Done():
			return Result{}, typed(ctx.Err(), ErrUnresolved)
		case <-time.After(interval):
		}
	}
}

// settleOnce asks once and reports whether the outcome is settled.
func (c *Client) settleOnce(ctx context.Context, endpoint *endpoint, id string) (result Result, settled bool, err error) {
	inspection, err := c.Inspect(ctx, endpoint.address, id)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Result{}, true, typed(err, ErrUnresolved)
	case err != nil:
		return Result{}, false, nil
	}
	switch inspection.State {
	case TaskStateWaiting, TaskStateRunning:
		return Result{}, false, nil
	case TaskStateDone:
		if inspection.Failed {
			return Result{}, true, typed(errors.New(inspection.Reason), ErrFailed)
		}
		return Result{ID: id, Payload: inspection.Payload}, true, nil
	case TaskStateStopped:
		return Result{}, true, stopped(endpoint, id, StopResult{Started: inspection.Started, Stopped: true, Uptime: inspection.Uptime})
	}
	stopping, err := c.Stop(ctx, endpoint.address, id)
	if err != nil || (stopping.Started && !stopping.Stopped) {
		return Result{}, false, nil
	}
	return Result{}, true, stopped(endpoint, id, stopping)
}

// stopped returns the outcome of a task that the target has stopped or refuses.
func stopped(endpoint *endpoint, id string, stopping StopResult) error {
	switch {
	case stopping.Started:
		return typed(errors.New("stopped after its start"), ErrFailed, ErrStopped)
	case endpoint.covers(id, stopping.Uptime.Std()):
		return typed(errors.New("stopped before its start"), ErrNotStarted, ErrStopped)
	default:
		return typed(errors.Errorf("target has restarted %v ago", stopping.Uptime), ErrUnresolved)
	}
}

// runInspected sends a dispatch, and settles it on other connections when there
// is no response for some time.
func (c *Client) runInspected(ctx context.Context, endpoint *endpoint, dispatch *Dispatch) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 1)
	timer := time.AfterFunc(dispatch.InspectAfter, func() {
		result, err := c.settle(ctx, endpoint, dispatch.ID)
		if errors.Is(err, ErrUnresolved) {
			// The dispatch's own connection may still get the response.
			return
		}
		outcomes <- outcome{result, err}
		cancel()
	})
	defer timer.Stop()
	result, err := c.send(ctx, endpoint, dispatch)
	if !errors.Is(err, ErrUnresolved) {
		return result, err
	}
	select {
	case settled := <-outcomes:
		c.Counters.Silent.Add(1)
		endpoint.transport.CloseIdleConnections()
		return settled.result, settled.err
	default:
		return result, err
	}
}

// outcome is how a dispatch was settled.
type outcome struct {
	result Result
	err    error
}

func (c *Client) query(ctx context.Context, method, address, path string, answer any) error {
	c.Counters.Queries.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.options.QueryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.queries.RoundTrip(request)
	if err != nil {
		var operation *net.OpError
		if errors.As(err, &operation) && operation.Op == "dial" {
			return typed(err, ErrUnreachable)
		}
		return errors.Trace(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResult))
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, body[:min(len(body), 200)])
	}
	return errors.Annotate(json.Unmarshal(body, answer), "answer")
}
