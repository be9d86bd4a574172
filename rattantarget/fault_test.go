package rattantarget_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// TestRunErrors guards against a wrong error of Run, in particular
// ErrNotStarted for a task that may have run, after each way in which a
// dispatch can fail.
func TestRunErrors(t *testing.T) {
	longPayload := json.RawMessage(`{"RunTime":"10s"}`)
	tests := []struct {
		name    string
		prepare func(target *rattanstandin.Target)
		payload json.RawMessage
		lease   time.Duration
		timeout time.Duration
		// during is called while the task runs.
		during     func(client *rattantarget.Client, target *rattanstandin.Target)
		want       []error
		unwanted   []error
		wantStarts uint64
	}{
		{
			name:     "refuses",
			prepare:  func(target *rattanstandin.Target) { target.SetBehaviour(rattanstandin.Behaviour{Refuse: true}) },
			want:     []error{rattantarget.ErrNotStarted, rattantarget.ErrRefused},
			unwanted: []error{rattantarget.ErrUnreachable},
		},
		{
			name:       "fails",
			prepare:    func(target *rattanstandin.Target) { target.SetBehaviour(rattanstandin.Behaviour{FailFast: true}) },
			want:       []error{rattantarget.ErrFailed},
			unwanted:   []error{rattantarget.ErrStopped},
			wantStarts: 1,
		},
		{
			name:    "down",
			prepare: (*rattanstandin.Target).Kill,
			want:    []error{rattantarget.ErrNotStarted, rattantarget.ErrUnreachable},
		},
		{
			name:       "dies during the task",
			payload:    longPayload,
			during:     func(_ *rattantarget.Client, target *rattanstandin.Target) { target.Kill() },
			want:       []error{rattantarget.ErrUnresolved},
			wantStarts: 1,
		},
		{
			name:       "context ends during the task",
			payload:    longPayload,
			timeout:    50 * time.Millisecond,
			want:       []error{rattantarget.ErrUnresolved, context.DeadlineExceeded},
			wantStarts: 1,
		},
		{
			name:     "context ends before the dispatch",
			timeout:  -time.Second,
			want:     []error{rattantarget.ErrNotStarted, context.DeadlineExceeded},
			unwanted: []error{rattantarget.ErrUnreachable},
		},
		{
			name:    "stopped",
			payload: longPayload,
			during: func(client *rattantarget.Client, target *rattanstandin.Target) {
				_, _ = client.Stop(context.Background(), target.Address(), "task")
			},
			want:       []error{rattantarget.ErrFailed, rattantarget.ErrStopped},
			wantStarts: 1,
		},
		{
			name:       "lease ends",
			payload:    longPayload,
			lease:      30 * time.Millisecond,
			want:       []error{rattantarget.ErrFailed, rattantarget.ErrStopped},
			wantStarts: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target := newTarget(t, rattanstandin.TargetOptions{})
			client := newClient(t, rattantarget.Options{})
			if test.prepare != nil {
				test.prepare(target)
			}
			ctx, cancel := context.WithCancel(context.Background())
			if test.timeout != 0 {
				ctx, cancel = context.WithTimeout(context.Background(), test.timeout)
			}
			defer cancel()
			dispatch := rattantarget.Dispatch{Address: target.Address(), ID: "task", Payload: test.payload, Lease: testLease}
			if test.lease > 0 {
				dispatch.Lease = rattanjson.Duration(test.lease)
			}
			if test.during != nil {
				go func() {
					for target.Log().Starts() == 0 {
						time.Sleep(time.Millisecond)
					}
					test.during(client, target)
				}()
			}
			_, err := client.Run(ctx, dispatch)
			for _, want := range test.want {
				c.Check(err, qt.ErrorIs, want)
			}
			for _, unwanted := range append(test.unwanted, otherOutcomes(test.want[0])...) {
				c.Check(err, qt.Not(qt.ErrorIs), unwanted)
			}
			c.Check(target.Log().Starts(), qt.Equals, test.wantStarts)
		})
	}
}

func otherOutcomes(outcome error) []error {
	var others []error
	for _, other := range []error{rattantarget.ErrNotStarted, rattantarget.ErrFailed, rattantarget.ErrUnresolved} {
		if other != outcome {
			others = append(others, other)
		}
	}
	return others
}

// rawTarget responds to dispatches with raw bytes and counts, by ID, the
// dispatches whose body it has read.
type rawTarget struct {
	net.Listener

	mu             sync.Mutex
	dispatchCounts map[string]int
}

func newRawTarget(t *testing.T, serve func(target *rawTarget, conn net.Conn)) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	target := &rawTarget{Listener: listener, dispatchCounts: map[string]int{}}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(target, conn)
		}
	}()
	return target
}

// readDispatch reads and counts one dispatch and returns its ID.
func (r *rawTarget) readDispatch(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return "", err
	}
	var dispatch rattantarget.Dispatch
	err = json.Unmarshal(body, &dispatch)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatchCounts[dispatch.ID]++
	return dispatch.ID, err
}

func (r *rawTarget) dispatchCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dispatchCounts[id]
}

// TestRunUnusableResponse guards against a malformed, truncated or unexpected
// response that Run takes for a result or for proof that the task was not
// started.
func TestRunUnusableResponse(t *testing.T) {
	tests := []struct {
		name, response string
		want           error
	}{
		{"empty body", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", rattantarget.ErrUnresolved},
		{"text body", "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\nbusy", rattantarget.ErrUnresolved},
		{"other status", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\n{}", rattantarget.ErrUnresolved},
		{"other task", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"ID\":\"b\"}", rattantarget.ErrUnresolved},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"ID\":\"a\"", rattantarget.ErrUnresolved},
		{"malformed body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ID\":\"a\"", rattantarget.ErrUnresolved},
		{"not HTTP", "hello\r\n\r\n", rattantarget.ErrUnresolved},
		{"no response", "", rattantarget.ErrUnresolved},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + fmt.Sprintf("%200s", ""), rattantarget.ErrFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRawTarget(t, func(target *rawTarget, conn net.Conn) {
				defer conn.Close()
				_, _ = target.readDispatch(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, test.response)
			})
			client := newClient(t, rattantarget.Options{MaxResult: 100})
			_, err := client.Run(context.Background(), rattantarget.Dispatch{Address: target.Addr().String(), ID: "a", Lease: testLease})
			c.Assert(err, qt.ErrorIs, test.want)
			c.Assert(target.dispatchCount("a"), qt.Equals, 1)
		})
	}
}

// TestRunClosedConnections guards against a dispatch that is sent twice, or
// that is reported as not started although the target has read it. Both can
// come about when the target closes idle connections and contexts end at random
// times.
func TestRunClosedConnections(t *testing.T) {
	c := qt.New(t)
	target := newRawTarget(t, func(target *rawTarget, conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			id, err := target.readDispatch(reader)
			if err != nil || rand.IntN(8) == 0 {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{\"ID\":%q}", len(id)+9, id)
			if rand.IntN(4) == 0 {
				time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
				return
			}
		}
	})
	client := newClient(t, rattantarget.Options{Connections: 4})
	var workers sync.WaitGroup
	var notStarted sync.Map
	for worker := range 8 {
		workers.Go(func() {
			for n := range 500 {
				id := strconv.Itoa(worker) + "-" + strconv.Itoa(n)
				timeout := time.Minute
				if n%2 == 0 {
					timeout = time.Duration(rand.IntN(1000)) * time.Microsecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				_, err := client.Run(ctx, rattantarget.Dispatch{Address: target.Addr().String(), ID: id, Lease: testLease})
				cancel()
				if errors.Is(err, rattantarget.ErrNotStarted) {
					notStarted.Store(id, err)
				}
			}
		})
	}
	workers.Wait()
	notStarted.Range(func(id, err any) bool {
		return c.Check(target.dispatchCount(id.(string)), qt.Equals, 0, qt.Commentf("task %s: %v", id, err))
	})
	target.mu.Lock()
	defer target.mu.Unlock()
	for id, count := range target.dispatchCounts {
		c.Check(count, qt.Equals, 1, qt.Commentf("task %s", id))
	}
	c.Check(client.Counters.Unresolved.Load() > 0, qt.IsTrue)
	t.Logf("of %d dispatches, %d not started, %d unresolved, %d connections",
		client.Counters.Runs.Load(), client.Counters.NotStarted.Load(), client.Counters.Unresolved.Load(), client.Counters.Dials.Load())
}

// TestRunCancelledBeforeWrite guards against a request that is written after it
// was reported as not started. The context ends when the request has got a
// connection and the transport is about to write to it.
func TestRunCancelledBeforeWrite(t *testing.T) {
	c := qt.New(t)
	target := newRawTarget(t, func(target *rawTarget, conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			id, err := target.readDispatch(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{\"ID\":%q}", len(id)+9, id)
		}
	})
	client := newClient(t, rattantarget.Options{})
	var notStarted []string
	for n := range 2000 {
		ctx, cancel := context.WithCancel(context.Background())
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { cancel() },
		})
		id := strconv.Itoa(n)
		_, err := client.Run(ctx, rattantarget.Dispatch{Address: target.Addr().String(), ID: id, Lease: testLease})
		if errors.Is(err, rattantarget.ErrNotStarted) {
			notStarted = append(notStarted, id)
		}
	}
	time.Sleep(100 * time.Millisecond)
	for _, id := range notStarted {
		c.Check(target.dispatchCount(id), qt.Equals, 0, qt.Commentf("task %s", id))
	}
	t.Logf("%d of 2000 not started, %d unresolved", len(notStarted), client.Counters.Unresolved.Load())
}
