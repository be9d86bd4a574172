package rattanstandin

import (
	"net"
	"sync"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Silence -trimprefix=Silence

// Silence says which direction of a connection goes silent. A silent connection
// stays open.
type Silence int

// The kinds of silence.
const (
	SilenceNone Silence = iota
	// SilenceBoth loses what both ends send from now on.
	SilenceBoth
	// SilenceResponses delivers requests and loses the responses.
	SilenceResponses
	silenceCount
)

// MarshalText returns the name of the silence.
func (s Silence) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a silence.
func (s *Silence) UnmarshalText(text []byte) (err error) {
	*s, err = rattanjson.ParseEnum(text, silenceCount)
	return err
}

// listener keeps track of its open connections.
type listener struct {
	net.Listener

	// zone is the availability zone that the address is for, or "".
	zone string

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

func listen(address string) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, conns: map[*silentConn]struct{}{}}, nil
}

// Accept accepts a connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silentConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// silence changes the open connections and returns their number.
func (l *listener) silence(silence Silence) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.set(silence)
	}
	return len(l.conns)
}

// silentConn is a connection that can lose what is sent on it.
type silentConn struct {
	net.Conn

	listener *listener

	mu      sync.Mutex
	silence Silence
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Read reads from the connection, and discards what it reads in silence.
func (c *silentConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || c.get() != SilenceBoth {
			return n, err
		}
	}
}

// Write writes to the connection, or only pretends to in silence.
func (c *silentConn) Write(data []byte) (int, error) {
	if c.get() != SilenceNone {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *silentConn) get() Silence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence
}

func (c *silentConn) set(silence Silence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silence = silence
}
