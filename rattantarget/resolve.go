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

// Limits of the interval between two queries about one task. The interval
// doubles from the minimum up to the maximum.
const (
	minQueryInterval = 50 * time.Millisecond
	maxQueryInterval = 2 * time.Second
)

// Inspect queries the state of a task at a target, on a new connection. The
// error is ErrUnreachable if no connection could be opened.
func (c *Client) Inspect(ctx context.Context, address, id string) (Inspection, error) {
	var inspection Inspection
	err := c.query(ctx, http.MethodGet, address, "/v1/tasks/"+url.PathEscape(id), &inspection)
	return inspection, errors.Annotatef(err, "task %s at %s", id, address)
}

// Stop requests, on a new connection, that a target stop a task and refuse its
// ID from then on. The error is ErrUnreachable if no connection could be
// opened; after any other error the stop may have taken effect. Stop may be
// called again.
func (c *Client) Stop(ctx context.Context, address, id string) (StopResult, error) {
	var result StopResult
	err := c.query(ctx, http.MethodDelete, address, "/v1/tasks/"+url.PathEscape(id), &result)
	return result, errors.Annotatef(err, "task %s at %s", id, address)
}

// Revoke requests, on a new connection, that a target refuse an ID from then on,
// unless its task has already started. Its errors are those of Stop.
func (c *Client) Revoke(ctx context.Context, address, id string) (StopResult, error) {
	var result StopResult
	err := c.query(ctx, http.MethodDelete, address, "/v1/tasks/"+url.PathEscape(id)+"?"+UnlessStartedQuery, &result)
	return result, errors.Annotatef(err, "task %s at %s", id, address)
}

// UnlessStartedQuery is the query of a stop request that has no effect on a task
// that has started.
const UnlessStartedQuery = "UnlessStarted=true"

// Usage queries the usage of a target, on a new connection.
func (c *Client) Usage(ctx context.Context, address string) (Usage, error) {
	var usage Usage
	err := c.query(ctx, http.MethodGet, address, "/v1/usage", &usage)
	return usage, errors.Annotatef(err, "usage of %s", address)
}

// ResolveOutcome determines the outcome of a task if the connection of its
// dispatch was lost or has not returned a response. It uses new connections,
// waits while the task runs, and revokes a task that the target does not know.
// The error is ErrNotStarted only for tasks that this client dispatched, and
// only if the target's process was running before the dispatch. It is
// ErrUnresolved when the target refuses connections and when the context ends.
func (c *Client) ResolveOutcome(ctx context.Context, address, id string) (Result, error) {
	endpoint := c.endpoint(address)
	result, err := c.resolve(ctx, endpoint, id)
	if !errors.Is(err, ErrUnresolved) {
		endpoint.endDispatch(id, false)
	}
	if err != nil {
		return Result{}, errors.Annotatef(err, "task %s at %s", id, address)
	}
	return result, nil
}

func (c *Client) resolve(ctx context.Context, endpoint *endpoint, id string) (Result, error) {
	for interval := minQueryInterval; ; interval = min(2*interval, maxQueryInterval) {
		result, resolved, err := c.resolveOnce(ctx, endpoint, id)
		if resolved {
			return result, err
		}
		select {
		case <-ctx.Done():
			return Result{}, withTypes(ctx.Err(), ErrUnresolved)
		case <-time.After(interval):
		}
	}
}

// resolveOnce queries the target once and reports whether the outcome is
// determined.
func (c *Client) resolveOnce(ctx context.Context, endpoint *endpoint, id string) (result Result, resolved bool, err error) {
	inspection, err := c.Inspect(ctx, endpoint.address, id)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Result{}, true, withTypes(err, ErrUnresolved)
	case err != nil:
		return Result{}, false, nil
	}
	switch inspection.State {
	case TaskStateWaiting, TaskStateRunning:
		return Result{}, false, nil
	case TaskStateDone:
		if inspection.Failed {
			return Result{}, true, withTypes(errors.New(inspection.Reason), ErrFailed)
		}
		return Result{ID: id, Payload: inspection.Payload}, true, nil
	case TaskStateStopped:
		return Result{}, true, stoppedError(endpoint, id, StopResult{Started: inspection.Started, Stopped: true, Uptime: inspection.Uptime})
	}
	// The dispatch may arrive after the inspection, so its task must not be
	// stopped if it has started meanwhile.
	stop, err := c.Revoke(ctx, endpoint.address, id)
	if err != nil || (stop.Started && !stop.Stopped) {
		return Result{}, false, nil
	}
	return Result{}, true, stoppedError(endpoint, id, stop)
}

// stoppedError returns the error for a task that the target has stopped or
// whose ID it refuses.
func stoppedError(endpoint *endpoint, id string, stop StopResult) error {
	switch {
	case stop.Started:
		return withTypes(errors.New("stopped after its start"), ErrFailed, ErrStopped)
	case endpoint.upSinceDispatch(id, stop.Uptime.Std()):
		return withTypes(errors.New("stopped before its start"), ErrNotStarted, ErrStopped)
	default:
		return withTypes(errors.Errorf("target has restarted %v ago", stop.Uptime), ErrUnresolved)
	}
}

// runWithInspection sends a dispatch. If there is no response within
// InspectAfter, it determines the outcome on other connections.
func (c *Client) runWithInspection(ctx context.Context, endpoint *endpoint, dispatch *Dispatch) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 1)
	timer := time.AfterFunc(dispatch.InspectAfter, func() {
		result, err := c.resolve(ctx, endpoint, dispatch.ID)
		if errors.Is(err, ErrUnresolved) {
			// The response may still arrive on the dispatch's own connection.
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
	case resolved := <-outcomes:
		c.Counters.ResolvedByInspection.Add(1)
		endpoint.transport.CloseIdleConnections()
		return resolved.result, resolved.err
	default:
		return result, err
	}
}

// outcome is the result or the error of a dispatch.
type outcome struct {
	result Result
	err    error
}

// query sends a request without a body on a new connection and decodes the
// response into result.
func (c *Client) query(ctx context.Context, method, address, path string, result any) error {
	c.Counters.Queries.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.options.QueryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.queryTransport.RoundTrip(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return withTypes(err, ErrUnreachable)
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
	return errors.Annotate(json.Unmarshal(body, result), "decode response")
}
