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
	c.Assert(node.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { _ = node.Stop(context.Background()) })
	return node, listener.Addr().String()
}

// Guards against replies that reach the call of another request (I3).
func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	c := qt.New(t)
	a, _ := startNode(c, "a", nil)
	_, address := startNode(c, "b", nil)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			body := fmt.Sprint(i)
			got, err := a.Call(context.Background(), address, "Echo", []byte(body))
			c.Check(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "a:"+body)
		})
	}
	calls.Wait()
}

// Guards against a ping closing a link whose peer is alive but slow to answer.
func TestSlowReplyKeepsTheLink(t *testing.T) {
	c := qt.New(t)
	a, _ := startNode(c, "a", nil)
	_, address := startNode(c, "b", nil)
	got, err := a.Call(context.Background(), address, "Slow", []byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "x")
	c.Assert(a.Counts.SilentLinks.Load(), qt.Equals, uint64(0))
}

func TestErrors(t *testing.T) {
	c := qt.New(t)
	a, _ := startNode(c, "a", nil)
	b, address := startNode(c, "b", nil)
	_, err := a.Call(context.Background(), address, "Fail", nil)
	c.Check(err, qt.ErrorIs, rattanpeer.ErrRemote)
	_, err = a.Call(context.Background(), address, "Missing", nil)
	c.Check(err, qt.ErrorIs, rattanpeer.ErrNoMethod)
	c.Assert(b.Stop(context.Background()), qt.IsNil)
	c.Assert(waitRefused(a, address), qt.IsTrue)
}

func waitRefused(a *rattanpeer.Node, address string) bool {
	for range 50 {
		_, err := a.Call(context.Background(), address, "Echo", nil)
		if errors.Is(err, rattanpeer.ErrRefused) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// silentConn drops everything after it was told to, without an error, as a
// path does whose middle has lost track of the connection.
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

// Guards against calls that wait for ever on a connection that went silent
// while new connections work.
func TestSilentLinkIsReplaced(t *testing.T) {
	c := qt.New(t)
	var silent sync.Map
	first := true
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil || !first {
			return conn, err
		}
		first = false
		return silentConn{Conn: conn, silent: &silent}, nil
	}
	a, _ := startNode(c, "a", dial)
	_, address := startNode(c, "b", nil)
	_, err := a.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.IsNil)
	silent.Store("silent", true)
	_, err = a.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.ErrorIs, rattanpeer.ErrLinkSilent)
	_, err = a.Call(context.Background(), address, "Echo", nil)
	c.Assert(err, qt.IsNil)
}

// Guards against a false proof of failure: a connection that was refused before
// a process began to listen must not count for a call that began later and has
// joined the attempt.
func TestEarlierRefusalIsNoProof(t *testing.T) {
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
	a, _ := startNode(c, "a", dial)
	_, address := startNode(c, "b", nil)
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := a.Call(context.Background(), address, "Echo", nil)
		c.Check(err, qt.ErrorIs, rattanpeer.ErrRefused)
	})
	<-dialing
	joined := make(chan struct{})
	calls.Go(func() {
		close(joined)
		_, err := a.Call(context.Background(), address, "Echo", nil)
		c.Check(err, qt.IsNil)
	})
	<-joined
	time.Sleep(20 * time.Millisecond)
	close(refuse)
	calls.Wait()
}

// Guards I7 on links: a node that stops after its drain has sent the replies
// to the requests in progress.
func TestDrainSendsReplies(t *testing.T) {
	c := qt.New(t)
	a, _ := startNode(c, "a", nil)
	b, address := startNode(c, "b", nil)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			got, err := a.Call(context.Background(), address, "Slow", []byte("x"))
			c.Check(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "x")
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.Assert(b.Drain(context.Background()), qt.IsNil)
	c.Assert(b.Stop(context.Background()), qt.IsNil)
	calls.Wait()
}
