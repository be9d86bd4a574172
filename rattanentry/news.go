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
	var received rattanspread.ChangeNotification
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, errors.Trace(err)
	}
	if received.To != i.config.Settings.Name {
		return nil, errors.Errorf("%s does not run at %s", received.To, i.config.Settings.Name)
	}
	i.received(received.PeerAddress, received.Payload)
	return nil, nil
}

// spread notifies a few members of a change.
func (i *Instance) spread() {
	payload := i.payload()
	others := i.Membership.Others(time.Now())
	for _, member := range rattanspread.NotificationReceivers(rand.New(processRandom{}), i.config.Settings.AvailabilityZone, others) {
		go func() {
			body, err := json.Marshal(rattanspread.ChangeNotification{To: member.Incarnation.Instance, PeerAddress: i.config.Settings.PeerAddress, Payload: payload})
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
			defer cancel()
			_, _ = i.Node.Call(ctx, member.PeerAddress, methodNews, body)
		}()
	}
}
