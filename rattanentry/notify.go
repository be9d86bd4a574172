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
	methodNotify  = "News"
	notifyTimeout = time.Second
)

// globalRandom is a rand.Source that draws from the global generator of
// math/rand/v2, which is safe for concurrent use.
type globalRandom struct{}

func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// handleNotification handles a peer's notification of a change.
func (i *Instance) handleNotification(_ context.Context, _ string, body []byte) ([]byte, error) {
	var notification rattanspread.ChangeNotification
	if err := json.Unmarshal(body, &notification); err != nil {
		return nil, errors.Trace(err)
	}
	if notification.To != i.config.Settings.Name {
		return nil, errors.Errorf("%s does not run at %s", notification.To, i.config.Settings.Name)
	}
	i.handlePayload(notification.PeerAddress, notification.Payload)
	return nil, nil
}

// notifyPeers notifies a few members of a change.
func (i *Instance) notifyPeers() {
	payload := i.heartbeatPayload()
	others := i.Membership.Others(time.Now())
	for _, member := range rattanspread.NotificationReceivers(rand.New(globalRandom{}), i.config.Settings.AvailabilityZone, others) {
		go func() {
			body, err := json.Marshal(rattanspread.ChangeNotification{To: member.Incarnation.Instance, PeerAddress: i.config.Settings.PeerAddress, Payload: payload})
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			_, _ = i.Node.Call(ctx, member.PeerAddress, methodNotify, body)
		}()
	}
}
