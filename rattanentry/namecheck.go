package rattanentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanmember"
)

// ErrNameInUse says that an earlier process with the name of this instance answers
// at another address.
const ErrNameInUse = errors.ConstError("instance name in use")

const (
	methodIdentify = "Identify"
	// identifyTimeout bounds the question to the peers, and the one to another
	// process of the same name, at the start.
	identifyTimeout = 300 * time.Millisecond
	// maxIdentifyPeers bounds the peers that are asked at the start.
	maxIdentifyPeers = 16
)

// errStarting is the reply of an instance that has not checked its name yet.
const errStarting = errors.ConstError("instance is starting")

// identifyRequest asks an instance who it is and what it knows of an instance.
type identifyRequest struct {
	Instance string
}

// identification is the reply to an identifyRequest.
type identification struct {
	Self rattanjob.Incarnation
	// Known is zero if the instance asked about is not known.
	Known rattanmember.Member `json:",omitzero"`
}

// checkName returns ErrNameInUse if a peer knows an earlier process of this
// instance's name that still answers. It is called before this incarnation is
// announced, because the announcement alone ends the epochs of the other one.
func (m *Members) checkName(ctx context.Context) error {
	asking, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	request := identifyRequest{Instance: m.config.Settings.Name}
	asked := map[string]bool{m.config.Settings.PeerAddress: true}
	for _, reply := range callMembers[identification](asking, m.config.Peers, m.nameWitnesses(), methodIdentify, request) {
		if known := reply.Known; known.PeerAddress != "" && !asked[known.PeerAddress] {
			asked[known.PeerAddress] = true
			if err := m.checkNamesake(ctx, known); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkNamesake returns ErrNameInUse if an earlier process of this instance's
// name answers at the address of the member. A later one checks its name itself,
// so that of two processes only one stops. One that refuses connections or is
// silent has ended or cannot be told from one that has.
func (m *Members) checkNamesake(ctx context.Context, namesake rattanmember.Member) error {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	name := m.config.Settings.Name
	reply, err := callPeer[identification](ctx, m.config.Peers, namesake.PeerAddress, methodIdentify, identifyRequest{Instance: name})
	if err != nil || reply.Self.Instance != name || reply.Self.Number >= m.config.Incarnation {
		return nil
	}
	return errors.WithType(errors.Errorf(
		"name in use: incarnation %d of %s still answers at %s; stop it, or give this instance another name",
		reply.Self.Number, name, namesake.PeerAddress,
	), ErrNameInUse)
}

// checkLateNamesake checks a process of this instance's name that was learned of
// after the start.
func (m *Members) checkLateNamesake(ctx context.Context, namesake rattanmember.Member) {
	if err := m.checkNamesake(ctx, namesake); err != nil {
		m.config.NameInUse(err)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.ResolveNameConflict(namesake.PeerAddress)
}

// nameWitnesses returns the peers to ask, those of the own zone first.
func (m *Members) nameWitnesses() []rattanmember.Member {
	var near, far []rattanmember.Member
	for _, peer := range m.config.Settings.Peers {
		member := rattanmember.Member{PeerAddress: peer.PeerAddress}
		switch {
		case peer.Name == m.config.Settings.Name:
		case peer.AvailabilityZone == m.config.Settings.AvailabilityZone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	peers := append(near, far...)
	return peers[:min(len(peers), maxIdentifyPeers)]
}

func (m *Members) handleIdentify(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request identifyRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	reply := identification{Self: rattanjob.Incarnation{Instance: m.config.Settings.Name, Number: m.config.Incarnation}}
	m.mutex.Lock()
	known, ok := m.table.Member(time.Now(), request.Instance)
	m.mutex.Unlock()
	// Of itself, an instance tells only the incarnation.
	if ok && request.Instance != m.config.Settings.Name {
		reply.Known = known
	}
	return json.Marshal(reply)
}
