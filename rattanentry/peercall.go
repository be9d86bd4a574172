package rattanentry

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanmember"
)

// callPeer sends a request in JSON to the peer at the address and decodes the
// reply. The error is that of the call or of the decoder.
func callPeer[Reply any](ctx context.Context, peers PeerCaller, address, method string, request any) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, errors.Trace(err)
	}
	data, err := peers.Call(ctx, address, method, body)
	if err != nil {
		return reply, errors.Trace(err)
	}
	return reply, errors.Trace(json.Unmarshal(data, &reply))
}

// callMembers sends a request to all members at once and returns the replies of
// those that answer, in no particular order.
func callMembers[Reply any](ctx context.Context, peers PeerCaller, members []rattanmember.Member, method string, request any) []Reply {
	var calls sync.WaitGroup
	var mutex sync.Mutex
	var replies []Reply
	for _, member := range members {
		calls.Go(func() {
			reply, err := callPeer[Reply](ctx, peers, member.PeerAddress, method, request)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			replies = append(replies, reply)
		})
	}
	calls.Wait()
	return replies
}
