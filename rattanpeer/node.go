// Package rattanpeer carries requests between entry instances over drpc. A
// pair of instances keeps one stream in each direction of request; envelopes
// on it are matched by ID, so a slow request holds up no other.
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

// Errors of a call. ErrRefused and ErrUnreachable say that the request was not
// sent; after the others the receiver may have acted on it.
const (
	// ErrRefused says that nothing listens at the address.
	ErrRefused = errors.ConstError("connection refused")
	// ErrUnreachable says that no connection could be opened.
	ErrUnreachable = errors.ConstError("peer unreachable")
	// ErrLinkSilent says that the link carried no answer, not even to a ping.
	ErrLinkSilent = errors.ConstError("link silent")
	// ErrLinkClosed says that the link broke with the call outstanding.
	ErrLinkClosed = errors.ConstError("link closed")
	// ErrRemote says that the receiver's handler returned an error.
	ErrRemote = errors.ConstError("peer returned an error")
	// ErrNoMethod says that the receiver has no handler for the method.
	ErrNoMethod = errors.ConstError("no such method")
)

const (
	methodPing         = "Ping"
	defaultSilence     = time.Second
	defaultDialTimeout = 500 * time.Millisecond
	drainTimeout       = 5 * time.Second
	drainInterval      = 2 * time.Millisecond
)

// Handler serves one method. Its context ends with the link; the error's text
// is sent to the caller, who gets ErrRemote.
type Handler func(ctx context.Context, sender string, body []byte) ([]byte, error)

// DialFunc opens a connection to the peer address of an instance.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config configures a Node.
type Config struct {
	// Name is the name of this instance, sent with each request.
	Name string
	// Listener accepts the links of other instances. Close is called by Stop.
	Listener net.Listener
	// Dial opens connections; nil means plain TCP.
	Dial DialFunc
	// SilenceTimeout is how long a link with calls outstanding may be silent before
	// it is pinged, and how long after the ping before it is closed.
	SilenceTimeout time.Duration
	// PeerName returns the authenticated name of the other end of a
	// connection; nil trusts the name in the envelope.
	PeerName func(net.Conn) (string, bool)
}

// Counts are the numbers of envelopes of a node since its start.
type Counts struct {
	Sent        atomic.Uint64
	Received    atomic.Uint64
	Pings       atomic.Uint64
	LateReplies atomic.Uint64
	SilentLinks atomic.Uint64
	BytesSent   atomic.Uint64
}

// Node is one end of the links between entry instances. It is safe for
// concurrent use; handlers must be set before Start.
type Node struct {
	Counts Counts

	config   Config
	handlers map[string]Handler
	serving  sync.WaitGroup
	cancel   context.CancelFunc
	// replying is the number of requests whose reply is not sent yet.
	replying atomic.Int64

	mutex  sync.Mutex
	links  map[string]*link
	closed bool
}

// New returns a node that is not yet serving.
func New(config Config) *Node {
	if config.SilenceTimeout == 0 {
		config.SilenceTimeout = defaultSilence
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

// Call sends a request to the instance at the address and waits for its reply.
func (n *Node) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	peer, err := n.link(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	reply, err := peer.call(ctx, method, body)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s: %s", address, method)
	}
	return reply, nil
}

// Drain waits until the replies to all requests that arrived before are sent,
// at most drainTimeout.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for n.replying.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "replies in progress")
		case <-time.After(drainInterval):
		}
	}
	return nil
}

// Handle sets the handler of a method.
func (n *Node) Handle(method string, handler Handler) {
	n.handlers[method] = handler
}

// Name returns the name of the service in the kernel.
func (n *Node) Name() string {
	return "Links"
}

// Start begins to accept links.
func (n *Node) Start(context.Context) error {
	mux := drpcmux.New()
	if err := rattanpeerpb.DRPCRegisterPeer(mux, &server{node: n}); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.serving.Go(func() {
		n.accept(ctx, drpcserver.New(mux))
	})
	return nil
}

// Stop closes the listener and all links; outstanding calls fail.
func (n *Node) Stop(context.Context) error {
	n.mutex.Lock()
	n.closed = true
	links := n.links
	n.links = map[string]*link{}
	n.mutex.Unlock()
	for _, peer := range links {
		peer.close(ErrLinkClosed)
	}
	if n.cancel != nil {
		n.cancel()
	}
	err := n.config.Listener.Close()
	n.serving.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

func (n *Node) accept(ctx context.Context, srv *drpcserver.Server) {
	for {
		conn, err := n.config.Listener.Accept()
		if err != nil {
			return
		}
		n.serving.Go(func() {
			n.serve(ctx, srv, conn)
		})
	}
}

type peerNameKey struct{}

func (n *Node) serve(ctx context.Context, srv *drpcserver.Server, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if n.config.PeerName != nil {
		name, ok := n.config.PeerName(conn)
		if !ok {
			return
		}
		ctx = context.WithValue(ctx, peerNameKey{}, name)
	}
	_ = srv.ServeOne(ctx, conn)
}

// link returns the open link to the address, or opens one. A refusal counts
// only if the connection was tried after this call began: an earlier one says
// nothing about a process that has started to listen since.
func (n *Node) link(ctx context.Context, address string) (*link, error) {
	peer, opened, err := n.join(ctx, address)
	if err == nil || opened || !errors.Is(err, ErrRefused) {
		return peer, err
	}
	peer, opened, err = n.join(ctx, address)
	if !opened && errors.Is(err, ErrRefused) {
		return nil, ErrUnreachable
	}
	return peer, err
}

// join waits for the link to the address and reports whether this call has
// opened it.
func (n *Node) join(ctx context.Context, address string) (peer *link, opened bool, err error) {
	n.mutex.Lock()
	if n.closed {
		n.mutex.Unlock()
		return nil, false, ErrLinkClosed
	}
	peer, ok := n.links[address]
	if !ok {
		peer = newLink(n, address)
		n.links[address] = peer
		go peer.open()
	}
	n.mutex.Unlock()
	select {
	case <-peer.ready:
		return peer, !ok, peer.openErr
	case <-ctx.Done():
		return nil, !ok, errors.WithType(ctx.Err(), ErrUnreachable)
	}
}

// forget removes a closed link, so that the next call opens a new one.
func (n *Node) forget(peer *link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.links[peer.address] == peer {
		delete(n.links, peer.address)
	}
}

func classifyDial(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithType(err, ErrRefused)
	}
	return errors.WithType(err, ErrUnreachable)
}
