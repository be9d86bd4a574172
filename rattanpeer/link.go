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

// callResult is the result of one call.
type callResult struct {
	body []byte
	err  error
}

// link is the stream on which this instance sends requests to one peer.
type link struct {
	node    *Node
	address string
	// openDone is closed when opening has succeeded, or failed with openErr.
	openDone chan struct{}
	openErr  error
	cancel   context.CancelFunc
	conn     *drpcconn.Conn
	stream   rattanpeerpb.DRPCPeer_LinkClient

	// sendMutex serializes sends on the stream.
	sendMutex sync.Mutex
	openedAt  time.Time
	// lastReceived is the time from openedAt to the last received envelope, in
	// nanoseconds. A call on an idle link sets it to the current time.
	lastReceived atomic.Int64

	mutex        sync.Mutex
	nextID       uint64
	pendingCalls map[uint64]chan callResult
	closeErr     error
}

// newLink returns a link that open has yet to connect.
func newLink(node *Node, address string) *link {
	return &link{
		node:         node,
		address:      address,
		openDone:     make(chan struct{}),
		pendingCalls: map[uint64]chan callResult{},
	}
}

// open dials the peer and starts the goroutines of the link.
func (l *link) open() {
	defer close(l.openDone)
	dialCtx, cancelDial := context.WithTimeout(context.Background(), dialTimeout)
	defer cancelDial()
	transport, err := l.node.config.Dial(dialCtx, l.address)
	if err != nil {
		l.openErr = classifyDialError(err)
		l.node.removeLink(l)
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
		l.node.removeLink(l)
		return
	}
	l.openedAt = time.Now()
	go l.receiveReplies()
	go l.detectSilence(ctx)
}

// call sends one request and waits for its reply, until the link is closed or
// ctx ends.
func (l *link) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	resultChannel := make(chan callResult, 1)
	l.mutex.Lock()
	if l.closeErr != nil {
		l.mutex.Unlock()
		return nil, l.closeErr
	}
	if len(l.pendingCalls) == 0 {
		// An idle link receives nothing, so silence is measured from the start
		// of the first pending call.
		l.lastReceived.Store(int64(time.Since(l.openedAt)))
	}
	l.nextID++
	id := l.nextID
	l.pendingCalls[id] = resultChannel
	l.mutex.Unlock()

	if err := l.send(&rattanpeerpb.Envelope{ID: id, Method: method, Body: body, Sender: l.node.config.Name}); err != nil {
		l.close(ErrLinkClosed)
	}
	select {
	case result := <-resultChannel:
		return result.body, result.err
	case <-ctx.Done():
		l.mutex.Lock()
		delete(l.pendingCalls, id)
		l.mutex.Unlock()
		return nil, errors.WithType(ctx.Err(), ErrLinkClosed)
	}
}

// notify sends a message that gets no reply.
func (l *link) notify(method string, body []byte) error {
	err := l.send(&rattanpeerpb.Envelope{ID: notificationID, Method: method, Body: body, Sender: l.node.config.Name})
	if err != nil {
		l.close(ErrLinkClosed)
		return errors.WithType(err, ErrLinkClosed)
	}
	return nil
}

func (l *link) send(envelope *rattanpeerpb.Envelope) error {
	l.sendMutex.Lock()
	defer l.sendMutex.Unlock()
	l.node.Counts.Sent.Add(1)
	l.node.Counts.BytesSent.Add(uint64(len(envelope.Body)))
	return l.stream.Send(envelope)
}

// receiveReplies passes replies to their calls until the stream ends.
func (l *link) receiveReplies() {
	for {
		envelope, err := l.stream.Recv()
		if err != nil {
			l.close(ErrLinkClosed)
			return
		}
		l.node.Counts.Received.Add(1)
		l.lastReceived.Store(int64(time.Since(l.openedAt)))
		// A peer of a former version replies to notifications.
		if envelope.Method == methodPing || envelope.ID == notificationID {
			continue
		}
		l.deliver(envelope)
	}
}

// deliver passes a reply to the call that waits for it.
func (l *link) deliver(envelope *rattanpeerpb.Envelope) {
	l.mutex.Lock()
	resultChannel, ok := l.pendingCalls[envelope.ID]
	delete(l.pendingCalls, envelope.ID)
	l.mutex.Unlock()
	if !ok {
		l.node.Counts.LateReplies.Add(1)
		return
	}
	switch envelope.Error {
	case "":
		resultChannel <- callResult{body: envelope.Body}
	case ErrNoMethod.Error():
		resultChannel <- callResult{err: ErrNoMethod}
	default:
		resultChannel <- callResult{err: errors.WithType(errors.New(envelope.Error), ErrRemote)}
	}
}

// detectSilence pings a silent link that has pending calls, and closes it if
// the ping is not answered. A connection can stop carrying data without an
// error.
func (l *link) detectSilence(ctx context.Context) {
	ticker := time.NewTicker(l.node.config.SilenceTimeout / 4)
	defer ticker.Stop()
	pinged := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silence := time.Since(l.openedAt) - time.Duration(l.lastReceived.Load())
		switch {
		case !l.hasPendingCalls() || silence < l.node.config.SilenceTimeout:
			pinged = false
		case silence >= 2*l.node.config.SilenceTimeout:
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

func (l *link) hasPendingCalls() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pendingCalls) > 0
}

// close closes the link and fails its pending calls with err.
func (l *link) close(err error) {
	<-l.openDone
	if l.openErr != nil {
		return
	}
	l.mutex.Lock()
	if l.closeErr != nil {
		l.mutex.Unlock()
		return
	}
	l.closeErr = err
	failedCalls := l.pendingCalls
	l.pendingCalls = map[uint64]chan callResult{}
	l.mutex.Unlock()
	l.node.removeLink(l)
	l.cancel()
	for _, resultChannel := range failedCalls {
		resultChannel <- callResult{err: err}
	}
	go func() { _ = l.conn.Close() }()
}
