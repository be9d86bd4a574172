package rattanlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// errHeaderRefused reports that the budget has no room for a large header.
const errHeaderRefused = errors.ConstError("no room for a large header")

// freeHeaderBytes is the part of a header that connectionBytes includes. Beyond it,
// each byte counts headerCopies times, because the server parses it into strings.
const (
	freeHeaderBytes = 4 << 10
	headerCopies    = 2
)

// writeTimeout bounds the time for which an answer waits for a caller that does not
// read it.
const writeTimeout = 10 * time.Second

const (
	// lingerTime is how long a connection stays open after the answer to a request that
	// was refused unread. If it were closed at once, the caller's unread data would reset
	// it before the caller has read the answer.
	lingerTime = 500 * time.Millisecond
	// answerTime is the part of it for which the connection is kept if others need it.
	answerTime = 100 * time.Millisecond
)

// phase is what a connection is used for at present.
type phase int

const (
	// phaseHeader means that a header is expected or being received.
	phaseHeader phase = iota
	// phaseServing means that a request is served. Its body may be being received.
	phaseServing
	// phaseEnding means that the handler of a request has returned.
	phaseEnding
	// phaseIdle means that the connection waits for the next request.
	phaseIdle
)

// usage describes the use of a connection.
type usage struct {
	phase phase
	// receiving is set while the body of a request is being received.
	receiving bool
	// since is when the phase began, or when the body last advanced.
	since time.Time
}

// rank tells in which order connections make room for a new one: those with the
// highest rank first, among them the one with the earliest since. Those with rank 0
// are kept.
func (u usage) rank(now time.Time) int {
	age := now.Sub(u.since)
	switch {
	case u.phase == phaseEnding && age >= answerTime:
		return 1
	case age < evictAfter:
		return 0
	case u.phase == phaseIdle:
		return 2
	case u.phase == phaseHeader || u.receiving:
		return 3
	default:
		return 0
	}
}

// Connections bounds the connections that a listener accepts. It is safe for
// concurrent use.
type Connections struct {
	limit   int
	budget  *Budget
	journal Journal
	clock   func() time.Time

	mutex sync.Mutex
	open  map[*Connection]struct{}
}

// NewConnections returns a bound of limit connections, whose large headers count
// against the budget. The journal may be nil.
func NewConnections(limit int, budget *Budget, journal Journal, clock func() time.Time) *Connections {
	if journal == nil {
		journal = noJournal{}
	}
	return &Connections{limit: limit, budget: budget, journal: journal, clock: clock, open: map[*Connection]struct{}{}}
}

// Len returns the number of open connections.
func (c *Connections) Len() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// Listen returns a listener that accepts the connections of the other one within
// the bound.
func (c *Connections) Listen(listener net.Listener) net.Listener {
	return &boundedListener{Listener: listener, connections: c}
}

type boundedListener struct {
	net.Listener
	connections *Connections
}

// Accept returns the next connection for which there is room.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if connection, ok := l.connections.admit(accepted); ok {
			return connection, nil
		}
		_ = accepted.Close()
	}
}

// admit counts a connection. If there are too many, one that makes no progress is
// closed, or the new one is rejected.
func (c *Connections) admit(accepted net.Conn) (*Connection, bool) {
	now := c.clock()
	connection := &Connection{Conn: accepted, connections: c, usage: usage{since: now}, header: c.budget.NewShare()}
	c.mutex.Lock()
	var victim *Connection
	if len(c.open) >= c.limit {
		victim = c.leastUseful(now)
		if victim == nil {
			c.mutex.Unlock()
			c.journal.CallerLimited(ConnectionRefused)
			return nil, false
		}
		delete(c.open, victim)
	}
	c.open[connection] = struct{}{}
	c.mutex.Unlock()
	if victim != nil {
		c.journal.CallerLimited(ConnectionEvicted)
		_ = victim.closeNow()
	}
	return connection, true
}

// leastUseful returns the connection to close for a new one, nil if there is none. Of
// many connections it examines some, in the random order of the map.
func (c *Connections) leastUseful(now time.Time) *Connection {
	var victim *Connection
	var victimUsage usage
	examined := 0
	for connection := range c.open {
		if examined++; examined > maxExamined {
			break
		}
		current := connection.currentUsage()
		rank, best := current.rank(now), victimUsage.rank(now)
		if rank == 0 {
			continue
		}
		if victim == nil || rank > best || (rank == best && current.since.Before(victimUsage.since)) {
			victim, victimUsage = connection, current
		}
	}
	return victim
}

func (c *Connections) remove(connection *Connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, connection)
}

// Connection is a counted connection of a caller.
type Connection struct {
	net.Conn
	connections *Connections

	mutex sync.Mutex
	usage usage
	// headerBytes counts the bytes read in phaseHeader, header is what the budget
	// counts for them.
	headerBytes int64
	header      Share
	// lingers is set if Close must let the caller read the answer.
	lingers bool
	closed  bool
}

// WithConnection returns the context for the requests on a connection that was
// accepted by a bounded listener.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	if counted, ok := connection.(*Connection); ok {
		return context.WithValue(ctx, connectionKey{}, counted)
	}
	return ctx
}

// SyscallConn implements syscall.Conn.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("SyscallConn")
	}
	return connection.SyscallConn()
}

// CloseWrite ends the writing side, so that the caller sees the end of an answer before
// the connection closes.
func (c *Connection) CloseWrite() error {
	if connection, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return connection.CloseWrite()
	}
	return nil
}

// Read reads from the connection and counts the bytes of headers.
func (c *Connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.countHeader(int64(n)) {
		c.connections.journal.CallerLimited(HeaderRefused)
		return 0, errHeaderRefused
	}
	return n, err
}

// Write writes to the connection within writeTimeout.
func (c *Connection) Write(buffer []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(c.connections.clock().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// countHeader counts bytes that were read and reports whether there is room for
// them.
func (c *Connection) countHeader(bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch c.usage.phase {
	case phaseServing, phaseEnding:
		return true
	case phaseIdle:
		c.usage = usage{phase: phaseHeader, since: c.connections.clock()}
	}
	c.headerBytes += bytes
	if c.headerBytes <= freeHeaderBytes || c.closed {
		return true
	}
	return c.header.Resize(headerCopies*(c.headerBytes-freeHeaderBytes), false)
}

// Close closes the connection, later if its caller may still have to read the answer. The
// connection counts until then, but takes no goroutine and no buffers of the server.
func (c *Connection) Close() error {
	if !c.beginLinger() {
		return c.closeNow()
	}
	if err := c.CloseWrite(); err != nil {
		return c.closeNow()
	}
	// The connection is lost already if this fails.
	time.AfterFunc(lingerTime, func() { _ = c.closeNow() })
	return nil
}

// linger makes the next Close let the caller read the answer.
func (c *Connection) linger() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingers = true
}

// beginLinger reports whether Close must let the caller read the answer. It reports true
// once.
func (c *Connection) beginLinger() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lingers := c.lingers && !c.closed
	c.lingers = false
	return lingers
}

// closeNow closes the connection and ends its counting.
func (c *Connection) closeNow() error {
	c.connections.remove(c)
	c.mutex.Lock()
	c.closed = true
	c.header.Release()
	c.mutex.Unlock()
	return c.Conn.Close()
}

// progressed records that the body of the request has advanced.
func (c *Connection) progressed(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usage.since = now
}

// beginBody records that the body of the request is being received.
func (c *Connection) beginBody(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usage.receiving, c.usage.since = true, now
}

// endBody records that the body is no longer being received.
func (c *Connection) endBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usage.receiving = false
}

func (c *Connection) currentUsage() usage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.usage
}

func (c *Connection) enter(next phase, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usage = usage{phase: next, since: now}
	if next == phaseIdle {
		c.headerBytes = 0
		c.header.Release()
	}
}

// StateChanged is the ConnState function of the server.
func (c *Connections) StateChanged(connection net.Conn, state http.ConnState) {
	counted, ok := connection.(*Connection)
	if ok && state == http.StateIdle {
		counted.enter(phaseIdle, c.clock())
	}
}

// Handler returns a handler that records which connections serve requests.
func (c *Connections) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if counted := connectionOf(r.Context()); counted != nil {
			counted.enter(phaseServing, c.clock())
			defer func() { counted.enter(phaseEnding, c.clock()) }()
		}
		next.ServeHTTP(w, r)
	})
}
