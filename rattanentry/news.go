package rattanentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanmember"
)

const (
	methodNews = "News"
	// newsFanout is the number of members that an instance notifies of a change
	// at once. Each of them notifies as many, so that a change reaches all members
	// in a few round trips, and the messages of one instance for one change
	// stay the same however many instances there are.
	newsFanout  = 4
	newsTimeout = time.Second
)

// news notifies a peer that something has changed at the sender.
type news struct {
	// To names the receiver. Another instance that has its address now, perhaps
	// one of another system, takes in nothing.
	To string
	// PeerAddress is that of the sender, from which the change is pulled.
	PeerAddress string
	// Payload is that of a heartbeat.
	Payload []byte
}

// handleNews takes in the news of a peer.
func (i *Instance) handleNews(_ context.Context, _ string, body []byte) ([]byte, error) {
	var received news
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, errors.Trace(err)
	}
	if received.To != i.config.Settings.Name {
		return nil, errors.Errorf("%s does not run at %s", received.To, i.config.Settings.Name)
	}
	i.received(received.PeerAddress, received.Payload)
	return nil, nil
}

// spread notifies a few members of a change, first those of the same zone.
func (i *Instance) spread() {
	payload := i.payload()
	for _, member := range i.newsReceivers(time.Now()) {
		go func() {
			body, err := json.Marshal(news{To: member.Incarnation.Instance, PeerAddress: i.config.Settings.PeerAddress, Payload: payload})
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
			defer cancel()
			_, _ = i.Node.Call(ctx, member.PeerAddress, methodNews, body)
		}()
	}
}

// newsReceivers returns members at random, at most one of another zone unless
// this zone has too few.
func (i *Instance) newsReceivers(now time.Time) []rattanmember.Member {
	var near, far []rattanmember.Member
	for _, member := range i.Members.Others(now) {
		if member.AvailabilityZone == i.config.Settings.AvailabilityZone {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	rand.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	near = near[:min(len(near), newsFanout-1)]
	return append(near, far[:min(len(far), newsFanout-len(near))]...)
}
