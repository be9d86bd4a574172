// Package rattanpeer carries requests between entry instances over DRPC. An
// instance sends its requests to a peer on one long-lived stream and receives
// the replies on the same stream. Replies are matched to requests by ID, so a
// slow request does not delay others.
package rattanpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/rattanlever/rattanlever/rattanpeerpb"
)

// Errors of a call. ErrRefused and ErrUnreachable mean that the request was not
// sent; after the other errors the receiver may have processed it.
const (
	// ErrRefused means that no process listens at the address.
	ErrRefused = errors.ConstError("connection refused")
	// ErrUnreachable means that no connection could be opened.
	ErrUnreachable = errors.ConstError("peer unreachable")
	// ErrLinkSilent means that nothing was received on the link, not even the
	// reply to a ping.
	ErrLinkSilent = errors.ConstError("link silent")
	// ErrLinkClosed means that the link was closed or the context ended while
	// the call was pending, or that the node is stopped.
	ErrLinkClosed = errors.ConstError("link closed")
	// ErrRemote means that the handler of the receiver returned an error.
	ErrRemote = errors.ConstError("peer returned an error")
	// ErrNoMethod means that the receiver has no handler for the method.
	ErrNoMethod = errors.ConstError("no such method")
)

const (
	methodPing = "Ping"
	// notificationID is the ID of messages that get no reply. Calls have higher ones.
	notificationID        = 0
	defaultSilenceTimeout = time.Second
	dialTimeout           = 500 * time.Millisecond
	drainTimeout          = 5 * time.Second
	drainInterval         = 2 * time.Millisecond
)

// Handler handles the requests of one method. Its context ends with the link.
// The text of its error is sent to the caller, which receives ErrRemote.
type Handler func(ctx context.Context, sender string, body []byte) ([]byte, error)

// DialFunc opens a connection to the peer address of an instance.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config configures a Node.
type Config struct {
	// Name is the name of this instance; it is sent with each request.
	Name string
	// Listener accepts connections from other instances. Stop closes it.
	Listener net.Listener
	// Dial opens connections; nil means DialTCP.
	Dial DialFunc
	// SilenceTimeout is the time without a received envelope after which a link
	// with pending calls is pinged. The link is closed after twice that time.
	SilenceTimeout time.Duration
	// PeerName returns the authenticated name of the peer on a connection, or
	// false to reject the connection. If PeerName is nil, the sender name in the
	// envelope is trusted.
	PeerName func(net.Conn) (string, bool)
	// HandlerPanicked is called after a handler has panicked, with the stack at
	// that point. It may be nil; the caller of the method gets an error anyway.
	HandlerPanicked func(method string, value any, stack []byte)
}

// Counts holds the traffic counters of a node since its start.
type Counts struct {
	// Sent and Received count the envelopes: requests, replies and pings.
	Sent     atomic.Uint64
	Received atomic.Uint64
	// Pings counts the pings that were sent on silent links.
	Pings atomic.Uint64
	// LateReplies counts the replies that arrived after their call had ended.
	LateReplies atomic.Uint64
	// SilentLinks counts the links that were closed with ErrLinkSilent.
	SilentLinks atomic.Uint64
	// BytesSent counts the bytes of the bodies of sent envelopes.
	BytesSent atomic.Uint64
}

// Node sends requests to other entry instances and handles theirs. It is safe
// for concurrent use, but all handlers must be set before Start.
type Node struct {
	Counts Counts

	config     Config
	handlers   map[string]Handler
	goroutines sync.WaitGroup
	cancel     context.CancelFunc
	// pendingReplies is the number of received requests that have no reply yet.
	pendingReplies atomic.Int64

	mutex  sync.Mutex
	links  map[string]*link
	closed bool
}

// New returns a node. Start must be called before it accepts connections.
func New(config Config) *Node {
	if config.SilenceTimeout == 0 {
		config.SilenceTimeout = defaultSilenceTimeout
	}
	if config.Dial == nil {
		config.Dial = DialTCP
	}
	return &Node{config: config, handlers: map[string]Handler{}, links: map[string]*link{}}
}

// DialTCP opens a plain TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Call sends a request to the instance at address and returns its reply.
func (n *Node) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	peerLink, err := n.getLink(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	reply, err := peerLink.call(ctx, method, body)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s: %s", address, method)
	}
	return reply, nil
}

// Notify sends a message to the instance at address and returns once it is written to
// the connection. The receiver handles it like a request and sends no reply.
func (n *Node) Notify(ctx context.Context, address, method string, body []byte) error {
	peerLink, err := n.getLink(ctx, address)
	if err != nil {
		return errors.Annotatef(err, "peer %s", address)
	}
	return errors.Annotatef(peerLink.notify(method, body), "peer %s: %s", address, method)
}

// Drain waits until all received requests are answered, for at most
// drainTimeout.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for n.pendingReplies.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for pending replies")
		case <-time.After(drainInterval):
		}
	}
	return nil
}

// Handle sets the handler of a method.
func (n *Node) Handle(method string, handler Handler) {
	n.handlers[method] = handler
}

// Wrap replaces the handler of a method by the one that wrap returns for it.
func (n *Node) Wrap(method string, wrap func(Handler) Handler) {
	n.handlers[method] = wrap(n.handlers[method])
}

// Name returns the service name that the kernel uses.
func (n *Node) Name() string {
	return "Links"
}

// Start starts accepting connections from other instances.
func (n *Node) Start(context.Context) error {
	mux := drpcmux.New()
	if err := rattanpeerpb.DRPCRegisterPeer(mux, &server{node: n}); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.goroutines.Go(func() {
		n.acceptLinks(ctx, drpcserver.New(mux))
	})
	return nil
}

// Stop closes the listener and all links. Pending calls fail with
// ErrLinkClosed.
func (n *Node) Stop(context.Context) error {
	n.mutex.Lock()
	n.closed = true
	links := n.links
	n.links = map[string]*link{}
	n.mutex.Unlock()
	for _, peerLink := range links {
		peerLink.close(ErrLinkClosed)
	}
	if n.cancel != nil {
		n.cancel()
	}
	err := n.config.Listener.Close()
	n.goroutines.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

func (n *Node) acceptLinks(ctx context.Context, srv *drpcserver.Server) {
	for {
		conn, err := n.config.Listener.Accept()
		if err != nil {
			return
		}
		n.goroutines.Go(func() {
			n.serveConn(ctx, srv, conn)
		})
	}
}

// peerNameContextKey is the context key of the authenticated name of a peer.
type peerNameContextKey struct{}

// serveConn handles the requests on a connection, unless PeerName rejects it.
func (n *Node) serveConn(ctx context.Context, srv *drpcserver.Server, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if n.config.PeerName != nil {
		name, ok := n.config.PeerName(conn)
		if !ok {
			return
		}
		ctx = context.WithValue(ctx, peerNameContextKey{}, name)
	}
	_ = srv.ServeOne(ctx, conn)
}

// getLink returns the open link to address, or opens one. It returns ErrRefused
// only for a connection attempt that began after this call: an earlier attempt
// may have been refused before the peer began to listen. If the call has joined
// such an attempt, getLink retries once.
func (n *Node) getLink(ctx context.Context, address string) (*link, error) {
	peerLink, initiated, err := n.waitForLink(ctx, address)
	if err == nil || initiated || !errors.Is(err, ErrRefused) {
		return peerLink, err
	}
	peerLink, initiated, err = n.waitForLink(ctx, address)
	if !initiated && errors.Is(err, ErrRefused) {
		return nil, ErrUnreachable
	}
	return peerLink, err
}

// waitForLink waits until the link to address is open, and reports whether this
// call initiated the connection attempt.
func (n *Node) waitForLink(ctx context.Context, address string) (peerLink *link, initiated bool, err error) {
	n.mutex.Lock()
	if n.closed {
		n.mutex.Unlock()
		return nil, false, ErrLinkClosed
	}
	peerLink, ok := n.links[address]
	if !ok {
		peerLink = newLink(n, address)
		n.links[address] = peerLink
		go peerLink.open()
	}
	n.mutex.Unlock()
	select {
	case <-peerLink.openDone:
		return peerLink, !ok, peerLink.openErr
	case <-ctx.Done():
		return nil, !ok, errors.WithType(ctx.Err(), ErrUnreachable)
	}
}

// removeLink removes a link that is closed or could not be opened, so that the
// next call opens a new one.
func (n *Node) removeLink(closedLink *link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.links[closedLink.address] == closedLink {
		delete(n.links, closedLink.address)
	}
}

// classifyDialError adds ErrRefused or ErrUnreachable to the error of a dial.
func classifyDialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithType(err, ErrRefused)
	}
	return errors.WithType(err, ErrUnreachable)
}
