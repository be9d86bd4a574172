package rattanlimit

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestListenBoundsBuffers guards against a connection that receives more than
// receivedBytes before anybody accepts it.
func TestListenBoundsBuffers(t *testing.T) {
	c := qt.New(t)
	listener, err := Listen("127.0.0.1:0", 8)
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = dialed.Close() }()
	const writeBuffer = 4 << 10
	c.Assert(dialed.(*net.TCPConn).SetWriteBuffer(writeBuffer), qt.IsNil)
	c.Assert(dialed.SetWriteDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	sent, err := dialed.Write(make([]byte, 1<<20))
	c.Check(err, qt.IsNotNil)
	// The kernel holds up to four times the size of the buffer on the sending side.
	c.Check(sent <= receivedBytes+4*writeBuffer, qt.IsTrue, qt.Commentf("%d bytes", sent))
	c.Check(sent > 0, qt.IsTrue)
}

// TestListenBoundsBacklog guards against connections that wait to be accepted without a
// bound. The kernel completes one more than the backlog.
func TestListenBoundsBacklog(t *testing.T) {
	c := qt.New(t)
	const backlog = 4
	listener, err := Listen("127.0.0.1:0", backlog)
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	opened := 0
	for range backlog + 3 {
		dialed, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			continue
		}
		defer func() { _ = dialed.Close() }()
		opened++
	}
	c.Check(opened, qt.Equals, backlog+1)
}
