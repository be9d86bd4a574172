package rattantarget

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestConnSeal guards against a write after the number of writes was taken as
// the proof that nothing was sent.
func TestConnSeal(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer far.Close()
	sealed := &conn{Conn: near}
	c.Assert(sealed.seal(), qt.Equals, uint64(0))
	_, err := sealed.Write([]byte("POST"))
	c.Assert(err, qt.ErrorIs, errSealed)
	c.Assert(sealed.count(), qt.Equals, uint64(0))
	// A write that fails may have sent a part, so it counts.
	near.Close()
	failed := &conn{Conn: near}
	_, err = failed.Write([]byte("POST"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(failed.seal(), qt.Equals, uint64(1))
}
