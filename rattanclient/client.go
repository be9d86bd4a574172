// Package rattanclient is the callers' side of the HTTP interface: it gets
// keys, submits jobs, and asks again through other instances until the answer
// is final.
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
	// ErrNoAnswer says that no instance answered; the job may have run.
	ErrNoAnswer = errors.ConstError("no instance answered")
	// ErrStatus says that an instance answered with something else than an
	// answer.
	ErrStatus = errors.ConstError("unexpected response")
)

const (
	defaultRetry   = 100 * time.Millisecond
	maxConnections = 4096
)

// Config configures a Client.
type Config struct {
	// Addresses are the host:port of entry instances or of a load balancer.
	Addresses []string
	// Caller is sent where there is no TLS.
	Caller string
	// Operator is sent where there is no TLS.
	Operator string
	// Transport replaces the default one; for TLS.
	Transport http.RoundTripper
	// Scheme is http or https; empty means http.
	Scheme string
}

// Client is a caller's connection to the entry instances. It is safe for
// concurrent use.
type Client struct {
	config Config
	http   *http.Client
	next   atomic.Uint64
	// Resubmissions counts requests that were sent again with the same key.
	Resubmissions atomic.Uint64
}

// New returns a client.
func New(config Config) *Client {
	if config.Scheme == "" {
		config.Scheme = "http"
	}
	if config.Transport == nil {
		config.Transport = &http.Transport{MaxIdleConns: maxConnections, MaxIdleConnsPerHost: maxConnections}
	}
	return &Client{config: config, http: &http.Client{Transport: config.Transport}}
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, key rattanjob.Key) (rattanjob.Answer, error) {
	return c.answer(ctx, http.MethodDelete, "/v1/jobs/"+key.String(), nil)
}

// SubmitAndWait submits a job and asks until its answer is final or ctx ends. It sends
// the same key each time, so the job runs at most once. When ctx ends first,
// the answer is the last one, and ErrNoAnswer if there was none.
func (c *Client) SubmitAndWait(ctx context.Context, submission rattanjob.Submission) (rattanjob.Answer, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return rattanjob.Answer{}, errors.Trace(err)
	}
	var last rattanjob.Answer
	lastErr := error(ErrNoAnswer)
	for try := 0; ctx.Err() == nil; try++ {
		if try > 0 {
			c.Resubmissions.Add(1)
		}
		last, lastErr = c.answer(ctx, http.MethodPost, "/v1/jobs?Wait=10s", body)
		if lastErr == nil && last.State.Final() {
			return last, nil
		}
		pause := last.RetryAfter.Std()
		if lastErr != nil || pause == 0 {
			pause = defaultRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return last, lastErr
}

// Get returns the body of a GET request, for operators.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.raw(ctx, http.MethodGet, path, nil)
}

// Keys returns new submission keys. It asks again, also other instances, until
// one issues them or ctx ends.
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
			return nil, errors.WithType(errors.Errorf("no key: %v %.200s", err, data), ErrNoAnswer)
		case <-time.After(defaultRetry):
		}
	}
}

// Post returns the body of the response to a POST request, for operators.
func (c *Client) Post(ctx context.Context, path string, body []byte) ([]byte, error) {
	return c.raw(ctx, http.MethodPost, path, body)
}

// Status asks for the answer of a job, waiting up to wait for a final one.
func (c *Client) Status(ctx context.Context, key rattanjob.Key, wait time.Duration) (rattanjob.Answer, error) {
	return c.answer(ctx, http.MethodGet, "/v1/jobs/"+key.String()+"?Wait="+wait.String(), nil)
}

// Submit sends a submission once.
func (c *Client) Submit(ctx context.Context, submission rattanjob.Submission, wait time.Duration) (rattanjob.Answer, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return rattanjob.Answer{}, errors.Trace(err)
	}
	return c.answer(ctx, http.MethodPost, "/v1/jobs?Wait="+wait.String(), body)
}

// answer sends a request to one instance and decodes its answer.
func (c *Client) answer(ctx context.Context, method, path string, body []byte) (rattanjob.Answer, error) {
	_, data, err := c.send(ctx, method, path, body)
	if err != nil {
		return rattanjob.Answer{}, err
	}
	var answer rattanjob.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, errors.WithType(errors.Errorf("%.200s", data), ErrStatus)
	}
	return answer, nil
}

func parseKeys(status int, data []byte) ([]rattanjob.Key, error) {
	if status != http.StatusOK {
		return nil, statusError("/v1/keys", status, data)
	}
	var reply rattanentry.KeysReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, errors.WithType(err, ErrStatus)
	}
	return reply.Keys, nil
}

func (c *Client) raw(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	status, data, err := c.send(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return data, statusError(path, status, data)
	}
	return data, nil
}

// statusError describes a response other than the wanted one; error bodies of
// instances are Answers.
func statusError(path string, status int, data []byte) error {
	var answer rattanjob.Answer
	if json.Unmarshal(data, &answer) != nil || answer.Detail == "" {
		return errors.WithType(errors.Errorf("%s: status %d: %.200s", path, status, bytes.TrimSpace(data)), ErrStatus)
	}
	return errors.WithType(errors.Errorf("%s: %v, %v: %s", path, answer.State, answer.Reason, oneLine(answer.Detail)), ErrStatus)
}

// oneLine joins lines, such as those of the changes since a stale plan, because
// errors are printed as one line.
func oneLine(text string) string {
	joined := strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
	return strings.ReplaceAll(joined, ":; ", ": ")
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	address := c.config.Addresses[c.next.Add(1)%uint64(len(c.config.Addresses))]
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
	response, err := c.http.Do(request)
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
