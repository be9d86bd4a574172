package rattanpeer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanpeer"
)

func startNode(c *qt.C, name string, dial rattanpeer.DialFunc) (*rattanpeer.Node, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	node := rattanpeer.New(rattanpeer.Config{
		Name:           name,
		Listener:       listener,
		Dial:           dial,
		SilenceTimeout: 100 * time.Millisecond,
	})
	node.Handle("Echo", func(_ context.Context, sender string, body []byte) ([]byte, error) {
		return append([]byte(sender+":"), body...), nil
	})
	node.Handle("Slow", func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		select {
		case <-time.After(400 * time.Millisecond):
		case <-ctx.Done():
		}
		return body, nil
	})
	node.Handle("Fail", func(context.Context, string, []byte) ([]byte, error) {
		return nil, fmt.Errorf("no luck")
	})
	node.Handle("Panic", func(context.Context, string, []byte) ([]byte, error) {
		var request *struct{ Job string }
		return []byte(request.Job), nil
	})
	node.Handle("NoText", func(context.Context, string, []byte) ([]byte, error) {
		return nil, errors.New("")
	})
	c.Assert(node.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { _ = node.Stop(context.Background()) })
	return node, listener.Addr().String()
}

// TestConcurrentCallsGetOwnReplies guards against delivering a reply to a
// concurrent call other than the one that sent the request.
func TestConcurrentCallsGetOwnReplies(t *testing.T) {
	c := qt.New(t)
	caller, _ := startNode(c, "a", nil)
	_, address := startNode(c, "b", nil)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			body := fmt.Sprint(i)
			got, err := caller.Call(context.Background(), address, "Echo", []byte(body))
			c.Check(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "a:"+body)
		})
	}
	calls.Wait()
}

// TestSlowReplyKeepsLinkOpen guards against closing a link whose peer takes
// longer than the silence timeout to reply, but answers pings.
func TestSlowReplyKeepsLinkOpen(t *testing.T) {
	c := qt.New(t)
	caller, _ := startNode(c, "a", nil)
	_, address := startNode(c, "b", nil)
	got, err := caller.Call(context.Background(), address, "Slow", []byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "x")
	c.Assert(caller.Counts.SilentLinks.Load(), qt.Equals, uint64(0))
}

// TestCallErrors guards against wrong error types for a failed handler, a
// missing method and a stopped receiver.
func TestCallErrors(t *testing.T) {
	c := qt.New(t)
	caller, _ := startNode(c, "a", nil)
	receiver, address := startNode(c, "b", nil)
	_, err := caller.Call(context.Background(), address, "Fail", nil)
	c.Check(err, qt.ErrorIs, rattanpeer.ErrRemote)
	_, err = caller.Call(context.Background(), address, "Missing", nil)
	c.Check(err, qt.ErrorIs, rattanpeer.ErrNoMethod)
	c.Assert(receiver.Stop(context.Background()), qt.IsNil)
	c.Assert(waitUntilRefused(caller, address), qt.IsTrue)
}

// TestNotificationGetsNoReply guards against a reply to a notification that is taken
// for that of a call, also from a peer that knows of none.
func TestNotificationGetsNoReply(t *testing.T) {
	c := qt.New(t)
	caller, _ := startNode(c, "a", nil)
	receiver, address := startNode(c, "b", nil)
	for _, method := range []string{"Echo", "Fail", "Missing"} {
		c.Assert(caller.Notify(context.Background(), address, method, []byte("x")), qt.IsNil)
	}
	got, err := caller.Call(context.Background(), address, "Echo", []byte("y"))
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "a:y")
	c.Check(receiver.Counts.Received.Load(), qt.Equals, uint64(4))
	c.Check(receiver.Counts.Sent.Load(), qt.Equals, uint64(1))
	c.Check(caller.Counts.LateReplies.Load(), qt.Equals, uint64(0))
	c.Assert(receiver.Stop(context.Background()), qt.IsNil)
	c.Assert(waitUntilRefused(caller, address), qt.IsTrue)
	c.Check(caller.Notify(context.Background(), address, "Echo", nil), qt.ErrorIs, rattanpeer.ErrRefused)
}

func waitUntilRefused(caller *rattanpeer.Node, address string) bool {
	for range 50 {
		_, err := caller.Call(context.Background(), address, "Echo", nil)
		if errors.Is(err, rattanpeer.ErrRefused) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// silentConn discards all received data once silent is set, without an error,
// as when a router on the path has lost the state of the connection.
type silentConn struct {
	net.Conn
	silent *sync.Map
}

func (s silentConn) Read(buffer []byte) (int, error) {
	for {
		count, err := s.Conn.Read(buffer)
		if _, ok := s.silent.Load("silent"); !ok || err != nil {
			return count, err
		}
	}
}

// TestSilentLinkIsReplaced guards against calls that wait forever on a
// connection that has stopped carrying data although new connections work.
func TestSilentLinkIsReplaced(t *testing.T) {
	c := qt.New(t)
	var silent sync.Map
	firstDial := true
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil || !firstDial {
			return conn, err
		}
		firstDial = false
		return silentConn{Conn: conn, silent: &silent}, nil
	}
	caller, _ := startNode(c, "a", dial)
	_, address := startNode(c, "b", nil)
	_, err := caller.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.IsNil)
	silent.Store("silent", true)
	_, err = caller.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.ErrorIs, rattanpeer.ErrLinkSilent)
	_, err = caller.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.IsNil)
}

// TestEarlierRefusalIsRetried guards against a false ErrRefused: a connection
// attempt that was refused before the peer began to listen must not fail a call
// that began later and joined the attempt.
func TestEarlierRefusalIsRetried(t *testing.T) {
	c := qt.New(t)
	var dials atomic.Int64
	dialing, refuse := make(chan struct{}), make(chan struct{})
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
		close(dialing)
		<-refuse
		return nil, syscall.ECONNREFUSED
	}
	caller, _ := startNode(c, "a", dial)
	_, address := startNode(c, "b", nil)
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := caller.Call(context.Background(), address, "Echo", nil)
		c.Check(err, qt.ErrorIs, rattanpeer.ErrRefused)
	})
	<-dialing
	secondCallStarted := make(chan struct{})
	calls.Go(func() {
		close(secondCallStarted)
		_, err := caller.Call(context.Background(), address, "Echo", nil)
		c.Check(err, qt.IsNil)
	})
	<-secondCallStarted
	time.Sleep(20 * time.Millisecond)
	close(refuse)
	calls.Wait()
}

// TestEndedCallTellsWhetherItWasSent guards against taking a request for unsent, or for sent, when the context of its call ends.
func TestEndedCallTellsWhetherItWasSent(t *testing.T) {
	c := qt.New(t)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if address == "blocked" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	caller, _ := startNode(c, "a", dial)
	_, address := startNode(c, "b", nil)
	_, err := caller.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.IsNil)
	for address, sent := range map[string]bool{address: true, "blocked": false} {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := caller.Call(ctx, address, "Slow", nil)
		cancel()
		c.Check(errors.Is(err, rattanpeer.ErrLinkClosed), qt.Equals, sent)
		c.Check(errors.Is(err, rattanpeer.ErrUnreachable), qt.Equals, !sent)
		c.Check(errors.Is(err, rattanpeer.ErrRefused), qt.IsFalse)
	}
}

// TestDrainSendsReplies guards against lost replies on shutdown: a node that is
// drained before it stops must answer the requests in progress.
func TestDrainSendsReplies(t *testing.T) {
	c := qt.New(t)
	caller, _ := startNode(c, "a", nil)
	receiver, address := startNode(c, "b", nil)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			got, err := caller.Call(context.Background(), address, "Slow", []byte("x"))
			c.Check(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "x")
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.Assert(receiver.Drain(context.Background()), qt.IsNil)
	c.Assert(receiver.Stop(context.Background()), qt.IsNil)
	calls.Wait()
}

// TestFailingHandlers guards against a handler that ends the process by a panic
// on a malformed request, and against an error without text that arrives as
// success.
func TestFailingHandlers(t *testing.T) {
	c := qt.New(t)
	caller, _ := startNode(c, "a", nil)
	_, address := startNode(c, "b", nil)
	for _, method := range []string{"Panic", "NoText"} {
		_, err := caller.Call(context.Background(), address, method, nil)
		c.Check(err, qt.ErrorIs, rattanpeer.ErrRemote, qt.Commentf("%s", method))
	}
	got, err := caller.Call(context.Background(), address, "Echo", []byte("x"))
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "a:x")
}
