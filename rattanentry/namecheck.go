package rattanentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmember"
)

// ErrNameInUse says that an earlier process with the name of this instance
// answers at another address.
const ErrNameInUse = errors.ConstError("instance name in use")

const (
	methodIdentify = "Identify"
	// identifyTimeout bounds the requests to the peers at the start, and each
	// request to another process with the same name.
	identifyTimeout = 300 * time.Millisecond
	// maxIdentifyPeers bounds the number of peers that are asked at the start.
	maxIdentifyPeers = 16
)

// errStarting is the reply of an instance that has not checked its name yet.
const errStarting = errors.ConstError("instance is starting")

// identifyRequest asks an instance for its incarnation and for what it knows
// about another instance.
type identifyRequest struct {
	Instance string
}

// identifyReply is the reply to an identifyRequest.
type identifyReply struct {
	Self rattanjob.Incarnation
	// Known is zero if the replying instance does not know the other instance.
	Known rattanmember.Member `json:",omitzero"`
}

// checkName returns ErrNameInUse if a peer knows an earlier process with this
// instance's name that still answers. It must be called before this incarnation
// is announced, because the announcement alone ends the epochs of the other
// process.
func (m *Membership) checkName(ctx context.Context) error {
	askCtx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	request := identifyRequest{Instance: m.config.Settings.Name}
	asked := map[string]bool{m.config.Settings.PeerAddress: true}
	for _, reply := range callMembers[identifyReply](askCtx, m.config.Peers, m.identifyPeers(), methodIdentify, request) {
		if known := reply.Known; known.PeerAddress != "" && !asked[known.PeerAddress] {
			asked[known.PeerAddress] = true
			if err := m.checkDuplicate(ctx, known); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDuplicate returns ErrNameInUse if an earlier process with this
// instance's name answers at the address of the member. A later process checks
// its name itself, so that only one of the two stops. A process that refuses
// connections has ended. One that does not answer cannot be distinguished from
// one that has ended, and is ignored.
func (m *Membership) checkDuplicate(ctx context.Context, duplicate rattanmember.Member) error {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	name := m.config.Settings.Name
	reply, err := callPeer[identifyReply](ctx, m.config.Peers, duplicate.PeerAddress, methodIdentify, identifyRequest{Instance: name})
	if err != nil || reply.Self.Instance != name || reply.Self.Number >= m.config.Incarnation {
		return nil
	}
	return errors.WithType(errors.Errorf(
		"name in use: incarnation %d of %s still answers at %s; stop it, or give this instance another name",
		reply.Self.Number, name, duplicate.PeerAddress,
	), ErrNameInUse)
}

// checkLateDuplicate checks a process with this instance's name that became
// known after the start.
func (m *Membership) checkLateDuplicate(ctx context.Context, duplicate rattanmember.Member) {
	if err := m.checkDuplicate(ctx, duplicate); err != nil {
		m.config.OnNameInUse(err)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.ResolveNameConflict(duplicate.PeerAddress)
}

// identifyPeers returns the peers to ask, those of this zone first.
func (m *Membership) identifyPeers() []rattanmember.Member {
	var sameZone, otherZones []rattanmember.Member
	for _, peer := range m.config.Settings.Peers {
		member := rattanmember.Member{PeerAddress: peer.PeerAddress}
		switch {
		case peer.Name == m.config.Settings.Name:
		case peer.AvailabilityZone == m.config.Settings.AvailabilityZone:
			sameZone = append(sameZone, member)
		default:
			otherZones = append(otherZones, member)
		}
	}
	peers := append(sameZone, otherZones...)
	return peers[:min(len(peers), maxIdentifyPeers)]
}

func (m *Membership) handleIdentify(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request identifyRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	reply := identifyReply{Self: rattanjob.Incarnation{Instance: m.config.Settings.Name, Number: m.config.Incarnation}}
	m.mutex.Lock()
	known, ok := m.table.Member(time.Now(), request.Instance)
	m.mutex.Unlock()
	// About itself, an instance returns only the incarnation.
	if ok && request.Instance != m.config.Settings.Name {
		reply.Known = known
	}
	return json.Marshal(reply)
}
