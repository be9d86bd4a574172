package rattanstandin

import (
	"net"
	"sync"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Silence -trimprefix=Silence

// Silence selects the directions in which a connection loses data. The
// connection stays open.
type Silence int

// The kinds of silence.
const (
	SilenceNone Silence = iota
	// SilenceBoth loses all further data in both directions.
	SilenceBoth
	// SilenceResponses delivers requests and loses responses.
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

// trackedListener is a listener that keeps track of its open connections.
type trackedListener struct {
	net.Listener

	// zone is the availability zone that uses this address, or "".
	zone string

	mu    sync.Mutex
	conns map[*silenceableConn]struct{}
}

func listen(address string) (*trackedListener, error) {
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &trackedListener{Listener: netListener, conns: map[*silenceableConn]struct{}{}}, nil
}

// Accept accepts a connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silenceableConn{Conn: netConn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// silenceConns sets the silence of all open connections and returns their
// number.
func (l *trackedListener) silenceConns(silence Silence) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.setSilence(silence)
	}
	return len(l.conns)
}

// silenceableConn is a server connection that can be made to lose data.
type silenceableConn struct {
	net.Conn

	listener *trackedListener

	mu      sync.Mutex
	silence Silence
}

// Close closes the connection.
func (c *silenceableConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Read reads from the connection. It discards the data while requests are lost.
func (c *silenceableConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || c.currentSilence() != SilenceBoth {
			return n, err
		}
	}
}

// Write writes to the connection. It discards the data while responses are lost.
func (c *silenceableConn) Write(data []byte) (int, error) {
	if c.currentSilence() != SilenceNone {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *silenceableConn) currentSilence() Silence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence
}

func (c *silenceableConn) setSilence(silence Silence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silence = silence
}
