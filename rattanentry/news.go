package rattanentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanspread"
)

const (
	methodNews  = "News"
	newsTimeout = time.Second
)

// processRandom is the random source of the process, for rattanspread.
type processRandom struct{}

func (processRandom) Uint64() uint64 { return rand.Uint64() }

// handleNews takes in the news of a peer.
func (i *Instance) handleNews(_ context.Context, _ string, body []byte) ([]byte, error) {
	var received rattanspread.News
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, errors.Trace(err)
	}
	i.received(received.PeerAddress, received.Payload)
	return nil, nil
}

// spread notifies a few members of a change.
func (i *Instance) spread() {
	body, err := json.Marshal(rattanspread.News{PeerAddress: i.config.Settings.PeerAddress, Payload: i.payload()})
	if err != nil {
		return
	}
	others := i.Members.Others(time.Now())
	for _, member := range rattanspread.Receivers(rand.New(processRandom{}), i.config.Settings.AvailabilityZone, others) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
			defer cancel()
			_, _ = i.Node.Call(ctx, member.PeerAddress, methodNews, body)
		}()
	}
}
