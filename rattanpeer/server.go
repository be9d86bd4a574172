package rattanpeer

import (
	"cmp"
	"context"
	"runtime/debug"
	"sync"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpeerpb"
)

// server handles the requests of other instances.
type server struct {
	rattanpeerpb.DRPCPeerUnimplementedServer
	node *Node
}

// Link handles the requests of one stream concurrently until the stream ends.
func (s *server) Link(stream rattanpeerpb.DRPCPeer_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var sendMutex sync.Mutex
	sendReply := func(envelope *rattanpeerpb.Envelope) {
		sendMutex.Lock()
		defer sendMutex.Unlock()
		s.node.Counts.Sent.Add(1)
		s.node.Counts.BytesSent.Add(uint64(len(envelope.Body)))
		_ = stream.Send(envelope)
	}
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return nil
		}
		s.node.Counts.Received.Add(1)
		if name, ok := ctx.Value(peerNameContextKey{}).(string); ok {
			envelope.Sender = name
		}
		if envelope.Method == methodPing {
			sendReply(&rattanpeerpb.Envelope{Method: methodPing})
			continue
		}
		s.node.pendingReplies.Add(1)
		go func() {
			defer s.node.pendingReplies.Add(-1)
			if reply := s.handle(ctx, envelope); envelope.ID != notificationID {
				sendReply(reply)
			}
		}()
	}
}

// handle calls the handler of the request's method and returns the reply.
func (s *server) handle(ctx context.Context, request *rattanpeerpb.Envelope) *rattanpeerpb.Envelope {
	response := &rattanpeerpb.Envelope{ID: request.ID}
	handler, ok := s.node.handlers[request.Method]
	if !ok {
		response.Error = ErrNoMethod.Error()
		return response
	}
	body, err := s.runHandler(ctx, handler, request)
	if err != nil {
		// An empty text would make the reply a success.
		response.Error = cmp.Or(err.Error(), "handler failed")
		return response
	}
	response.Body = body
	return response
}

// runHandler calls a handler. A panic becomes an error, so that one request
// that a handler cannot cope with does not end the process.
func (s *server) runHandler(ctx context.Context, handler Handler, request *rattanpeerpb.Envelope) (body []byte, err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		err = errors.Errorf("handler of %s panicked: %v", request.Method, value)
		if s.node.config.HandlerPanicked != nil {
			s.node.config.HandlerPanicked(request.Method, value, debug.Stack())
		}
	}()
	return handler(ctx, request.Sender, request.Body)
}
