package rattantarget

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestConnBlockWrites guards against a write after blockWrites returned the
// count from which the client concludes that nothing was sent.
func TestConnBlockWrites(t *testing.T) {
	c := qt.New(t)
	clientEnd, serverEnd := net.Pipe()
	defer serverEnd.Close()
	blocked := &countingConn{Conn: clientEnd}
	c.Assert(blocked.blockWrites(), qt.Equals, uint64(0))
	_, err := blocked.Write([]byte("POST"))
	c.Assert(err, qt.ErrorIs, errWritesBlocked)
	c.Assert(blocked.writeCount(), qt.Equals, uint64(0))
	// A failed write may have sent a part of the data, so it is counted.
	clientEnd.Close()
	failed := &countingConn{Conn: clientEnd}
	_, err = failed.Write([]byte("POST"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(failed.blockWrites(), qt.Equals, uint64(1))
}
