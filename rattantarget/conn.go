package rattantarget

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errWritesBlocked is returned by writes after blockWrites, which is called
// when the connection's last request was given up.
const errWritesBlocked = errors.ConstError("writes to the connection are blocked")

// countingConn counts the writes to a connection. Further writes can be
// blocked, which makes the count final: it then proves whether any part of a
// request that was given up has been or will be sent.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	writes  uint64
	blocked bool
}

// blockWrites makes all further writes fail and returns the number of writes
// that were begun before.
func (c *countingConn) blockWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.writes
}

// writeCount returns the number of writes that were begun.
func (c *countingConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Write writes to the connection. A write is counted when it begins, because a
// failed write may have sent a part of the data.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(data)
}
