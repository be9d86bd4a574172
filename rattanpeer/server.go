package rattanpeer

import (
	"context"
	"sync"

	"github.com/rattanlever/rattanlever/rattanpeerpb"
)

// server answers the requests that other instances send.
type server struct {
	rattanpeerpb.DRPCPeerUnimplementedServer
	node *Node
}

// Link serves one stream until its end. Requests run concurrently.
func (s *server) Link(stream rattanpeerpb.DRPCPeer_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var sending sync.Mutex
	send := func(envelope *rattanpeerpb.Envelope) {
		sending.Lock()
		defer sending.Unlock()
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
		if name, ok := ctx.Value(peerNameKey{}).(string); ok {
			envelope.Sender = name
		}
		if envelope.Method == methodPing {
			send(&rattanpeerpb.Envelope{Method: methodPing})
			continue
		}
		s.node.replying.Add(1)
		go func() {
			defer s.node.replying.Add(-1)
			send(s.reply(ctx, envelope))
		}()
	}
}

func (s *server) reply(ctx context.Context, request *rattanpeerpb.Envelope) *rattanpeerpb.Envelope {
	answer := &rattanpeerpb.Envelope{ID: request.ID}
	handler, ok := s.node.handlers[request.Method]
	if !ok {
		answer.Error = ErrNoMethod.Error()
		return answer
	}
	body, err := handler(ctx, request.Sender, request.Body)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Body = body
	return answer
}
