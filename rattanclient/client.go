// Package rattanclient is the client of the HTTP API: it requests keys, submits
// jobs, and retries on other instances until the answer is final.
package rattanclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
)

// Errors of the client.
const (
	// ErrNoAnswer means that no instance answered; the job may have run.
	ErrNoAnswer = errors.ConstError("no instance answered")
	// ErrUnexpectedResponse means that an instance returned an unexpected
	// status code or a body that could not be decoded.
	ErrUnexpectedResponse = errors.ConstError("unexpected response")
)

const (
	defaultRetryDelay  = 100 * time.Millisecond
	maxIdleConnections = 4096
)

// Config configures a Client.
type Config struct {
	// Addresses lists entry instances or load balancers as host:port. Requests
	// are sent to them in turn.
	Addresses []string
	// Caller is the caller name sent in a header; it is needed only without TLS.
	Caller string
	// Operator is the operator name sent in a header; it is needed only without
	// TLS.
	Operator string
	// Transport replaces the default transport, for example to use TLS.
	Transport http.RoundTripper
	// Scheme is http or https; an empty value means http.
	Scheme string
}

// Client sends the requests of a caller or an operator to the entry instances.
// It is safe for concurrent use.
type Client struct {
	config     Config
	httpClient *http.Client
	// sentRequests selects the next address in round-robin order.
	sentRequests atomic.Uint64
	// Resubmissions counts the submissions that SubmitAndWait sent again with
	// the same key.
	Resubmissions atomic.Uint64
}

// New returns a client.
func New(config Config) *Client {
	if config.Scheme == "" {
		config.Scheme = "http"
	}
	if config.Transport == nil {
		config.Transport = &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
	}
	return &Client{config: config, httpClient: &http.Client{Transport: config.Transport}}
}

// CancelAndWait cancels a job and repeats the cancellation until its answer is
// final or ctx ends, like SubmitAndWait. An answer stays open, for example, while
// the home of the job is too busy to answer the instance in time.
func (c *Client) CancelAndWait(ctx context.Context, key rattanjob.Key) (rattanjob.Answer, error) {
	return c.untilFinal(ctx, func(int) (rattanjob.Answer, error) { return c.Cancel(ctx, key) })
}

// Cancel sends a cancellation once, without retries, and returns the answer of
// the job, which may be open.
func (c *Client) Cancel(ctx context.Context, key rattanjob.Key) (rattanjob.Answer, error) {
	return c.requestAnswer(ctx, http.MethodDelete, "/v1/jobs/"+key.String(), nil)
}

// SubmitAndWait submits a job and resubmits it until its answer is final or ctx
// ends. Each submission has the same key, so the job runs at most once. If ctx
// ends first, SubmitAndWait returns the result of the last submission, or
// ErrNoAnswer if ctx ended before the first one.
func (c *Client) SubmitAndWait(ctx context.Context, submission rattanjob.Submission) (rattanjob.Answer, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return rattanjob.Answer{}, errors.Trace(err)
	}
	return c.untilFinal(ctx, func(attempt int) (rattanjob.Answer, error) {
		if attempt > 0 {
			c.Resubmissions.Add(1)
		}
		return c.requestAnswer(ctx, http.MethodPost, "/v1/jobs?Wait=10s", body)
	})
}

// untilFinal sends a request, given the number of earlier attempts, until its
// answer is final or ctx ends. It waits between attempts as long as the last
// answer says.
func (c *Client) untilFinal(ctx context.Context, send func(attempt int) (rattanjob.Answer, error)) (rattanjob.Answer, error) {
	var lastAnswer rattanjob.Answer
	lastErr := error(ErrNoAnswer)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		lastAnswer, lastErr = send(attempt)
		if lastErr == nil && lastAnswer.State.Final() {
			return lastAnswer, nil
		}
		delay := lastAnswer.RetryAfter.Std()
		if lastErr != nil || delay == 0 {
			delay = defaultRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	return lastAnswer, lastErr
}

// Get returns the response body of a GET request. It is for operators.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.fetch(ctx, http.MethodGet, path, nil)
}

// Keys returns newly issued submission keys. It retries, also on other
// instances, while they are unreachable or unavailable, until ctx ends.
func (c *Client) Keys(ctx context.Context, count int) ([]rattanjob.Key, error) {
	body, err := json.Marshal(rattanentry.KeysRequest{Count: count})
	if err != nil {
		return nil, errors.Trace(err)
	}
	for {
		status, data, err := c.send(ctx, http.MethodPost, "/v1/keys", body)
		if err == nil && status != http.StatusServiceUnavailable {
			return parseKeys(status, data)
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithType(errors.Errorf("no keys issued: %v %.200s", err, data), ErrNoAnswer)
		case <-time.After(defaultRetryDelay):
		}
	}
}

// Post returns the response body of a POST request. It is for operators.
func (c *Client) Post(ctx context.Context, path string, body []byte) ([]byte, error) {
	return c.fetch(ctx, http.MethodPost, path, body)
}

// Status returns the answer of a job. The instance waits up to the given time
// for the answer to become final.
func (c *Client) Status(ctx context.Context, key rattanjob.Key, wait time.Duration) (rattanjob.Answer, error) {
	return c.requestAnswer(ctx, http.MethodGet, "/v1/jobs/"+key.String()+"?Wait="+wait.String(), nil)
}

// Submit sends a submission once, without retries. The instance waits up to the
// given time for the answer to become final.
func (c *Client) Submit(ctx context.Context, submission rattanjob.Submission, wait time.Duration) (rattanjob.Answer, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return rattanjob.Answer{}, errors.Trace(err)
	}
	return c.requestAnswer(ctx, http.MethodPost, "/v1/jobs?Wait="+wait.String(), body)
}

// requestAnswer sends a request to one instance and decodes its answer.
func (c *Client) requestAnswer(ctx context.Context, method, path string, body []byte) (rattanjob.Answer, error) {
	_, data, err := c.send(ctx, method, path, body)
	if err != nil {
		return rattanjob.Answer{}, err
	}
	var answer rattanjob.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, errors.WithType(errors.Errorf("%s %s: response is not an answer: %.200s", method, path, data), ErrUnexpectedResponse)
	}
	return answer, nil
}

func parseKeys(status int, data []byte) ([]rattanjob.Key, error) {
	if status != http.StatusOK {
		return nil, statusError("/v1/keys", status, data)
	}
	var reply rattanentry.KeysReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "/v1/keys: decode response"), ErrUnexpectedResponse)
	}
	return reply.Keys, nil
}

// fetch sends a request to one instance and returns the response body. It
// returns an error for any status code other than 200.
func (c *Client) fetch(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	status, data, err := c.send(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return data, statusError(path, status, data)
	}
	return data, nil
}

// statusError returns the error for a response with an unexpected status code.
// Instances send an Answer as the body of an error response.
func statusError(path string, status int, data []byte) error {
	var answer rattanjob.Answer
	if json.Unmarshal(data, &answer) != nil || answer.Detail == "" {
		return errors.WithType(errors.Errorf("%s: status %d: %.200s", path, status, bytes.TrimSpace(data)), ErrUnexpectedResponse)
	}
	return errors.WithType(errors.Errorf("%s: %v, %v: %s", path, answer.State, answer.Reason, oneLine(answer.Detail)), ErrUnexpectedResponse)
}

// oneLine joins the lines of text, because errors are printed on one line. The
// detail of a conflict, for example, lists the changes since a plan was made.
func oneLine(text string) string {
	joined := strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
	return strings.ReplaceAll(joined, ":; ", ": ")
}

// send sends a request to the next address and returns the status code and the
// body of the response.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	address := c.config.Addresses[c.sentRequests.Add(1)%uint64(len(c.config.Addresses))]
	request, err := http.NewRequestWithContext(ctx, method, c.config.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.Caller != "" {
		request.Header.Set(rattanentry.HeaderCaller, c.config.Caller)
	}
	if c.config.Operator != "" {
		request.Header.Set(rattanentry.HeaderOperator, c.config.Operator)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, nil, errors.WithType(err, ErrNoAnswer)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, errors.WithType(err, ErrNoAnswer)
	}
	return response.StatusCode, data, nil
}
