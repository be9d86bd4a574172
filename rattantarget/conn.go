package rattantarget

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errSealed reports a write after the connection's last request was given up.
const errSealed = errors.ConstError("connection is sealed")

// conn counts writes, and can be sealed so that the count is final.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// seal refuses further writes and returns the number of writes that were
// begun before.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// count returns the number of writes that were begun.
func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Write writes to the connection. A write counts as soon as it has begun, as a
// write that fails may have sent a part.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(data)
}
