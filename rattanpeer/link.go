package rattanpeer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"

	"github.com/rattanlever/rattanlever/rattanpeerpb"
)

// reply is the outcome of one call.
type reply struct {
	body []byte
	err  error
}

// link is the stream on which this instance sends requests to one peer.
type link struct {
	node    *Node
	address string
	// ready is closed when the link is open or openErr is set.
	ready   chan struct{}
	openErr error
	cancel  context.CancelFunc
	conn    *drpcconn.Conn
	stream  rattanpeerpb.DRPCPeer_LinkClient

	sending sync.Mutex
	// lastReceived is the elapsed time since opened at the last envelope.
	opened       time.Time
	lastReceived atomic.Int64

	mutex       sync.Mutex
	nextID      uint64
	outstanding map[uint64]chan reply
	closeErr    error
}

func newLink(node *Node, address string) *link {
	return &link{
		node:        node,
		address:     address,
		ready:       make(chan struct{}),
		outstanding: map[uint64]chan reply{},
	}
}

// open dials the peer and starts the loops of the link.
func (l *link) open() {
	defer close(l.ready)
	dialCtx, cancelDial := context.WithTimeout(context.Background(), defaultDialTimeout)
	defer cancelDial()
	transport, err := l.node.config.Dial(dialCtx, l.address)
	if err != nil {
		l.openErr = classifyDial(err)
		l.node.forget(l)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.conn = drpcconn.New(transport)
	l.stream, err = rattanpeerpb.NewDRPCPeerClient(l.conn).Link(ctx)
	if err != nil {
		cancel()
		_ = l.conn.Close()
		l.openErr = errors.WithType(err, ErrUnreachable)
		l.node.forget(l)
		return
	}
	l.opened = time.Now()
	go l.receive()
	go l.watch(ctx)
}

// call sends one request and waits for its reply, the end of the link or ctx.
func (l *link) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	replies := make(chan reply, 1)
	l.mutex.Lock()
	if l.closeErr != nil {
		l.mutex.Unlock()
		return nil, l.closeErr
	}
	if len(l.outstanding) == 0 {
		// A link without calls is silent by right; the silence that counts
		// begins with the first call.
		l.lastReceived.Store(int64(time.Since(l.opened)))
	}
	l.nextID++
	id := l.nextID
	l.outstanding[id] = replies
	l.mutex.Unlock()

	if err := l.send(&rattanpeerpb.Envelope{ID: id, Method: method, Body: body, Sender: l.node.config.Name}); err != nil {
		l.close(ErrLinkClosed)
	}
	select {
	case answer := <-replies:
		return answer.body, answer.err
	case <-ctx.Done():
		l.mutex.Lock()
		delete(l.outstanding, id)
		l.mutex.Unlock()
		return nil, errors.WithType(ctx.Err(), ErrLinkClosed)
	}
}

func (l *link) send(envelope *rattanpeerpb.Envelope) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	l.node.Counts.Sent.Add(1)
	l.node.Counts.BytesSent.Add(uint64(len(envelope.Body)))
	return l.stream.Send(envelope)
}

// receive matches replies to calls until the stream ends.
func (l *link) receive() {
	for {
		envelope, err := l.stream.Recv()
		if err != nil {
			l.close(ErrLinkClosed)
			return
		}
		l.node.Counts.Received.Add(1)
		l.lastReceived.Store(int64(time.Since(l.opened)))
		if envelope.Method == methodPing {
			continue
		}
		l.deliver(envelope)
	}
}

func (l *link) deliver(envelope *rattanpeerpb.Envelope) {
	l.mutex.Lock()
	replies, ok := l.outstanding[envelope.ID]
	delete(l.outstanding, envelope.ID)
	l.mutex.Unlock()
	if !ok {
		l.node.Counts.LateReplies.Add(1)
		return
	}
	switch envelope.Error {
	case "":
		replies <- reply{body: envelope.Body}
	case ErrNoMethod.Error():
		replies <- reply{err: ErrNoMethod}
	default:
		replies <- reply{err: errors.WithType(errors.New(envelope.Error), ErrRemote)}
	}
}

// watch pings a silent link that has calls outstanding, and closes it when the
// ping stays unanswered. Connections can go silent for good without an error.
func (l *link) watch(ctx context.Context) {
	ticker := time.NewTicker(l.node.config.SilenceTimeout / 4)
	defer ticker.Stop()
	pinged := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silent := time.Since(l.opened) - time.Duration(l.lastReceived.Load())
		switch {
		case !l.busy() || silent < l.node.config.SilenceTimeout:
			pinged = false
		case silent >= 2*l.node.config.SilenceTimeout:
			l.node.Counts.SilentLinks.Add(1)
			l.close(ErrLinkSilent)
			return
		case !pinged:
			pinged = true
			l.node.Counts.Pings.Add(1)
			go func() { _ = l.send(&rattanpeerpb.Envelope{Method: methodPing, Sender: l.node.config.Name}) }()
		}
	}
}

func (l *link) busy() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.outstanding) > 0
}

// close ends the link and fails its calls with err.
func (l *link) close(err error) {
	<-l.ready
	if l.openErr != nil {
		return
	}
	l.mutex.Lock()
	if l.closeErr != nil {
		l.mutex.Unlock()
		return
	}
	l.closeErr = err
	outstanding := l.outstanding
	l.outstanding = map[uint64]chan reply{}
	l.mutex.Unlock()
	l.node.forget(l)
	l.cancel()
	for _, replies := range outstanding {
		replies <- reply{err: err}
	}
	go func() { _ = l.conn.Close() }()
}
