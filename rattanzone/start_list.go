package rattanzone

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// tellTimeout is how long the starts of a home wait until their list is written to
	// the connections.
	tellTimeout = 5 * time.Millisecond
	// remoteListInterval is the least time between two lists to other zones: their
	// bytes have a price. Starts wait only for those that are sent at once.
	remoteListInterval = 20 * time.Millisecond
	// minTold is the least number of instances that are told if there are as many.
	minTold = 2
)

// StartListResult is what became of sending a start list to one instance.
type StartListResult int

//go:generate go tool stringer -linecomment -type=StartListResult -output=enum_string.go

// Results of sending a start list.
const (
	// StartListSent means that the list was written to the connection in time.
	StartListSent StartListResult = iota // sent
	// StartListLate means that its starts did not wait until it was written.
	StartListLate // late
	// StartListFailed means that it could not be written.
	StartListFailed // failed
)

// startListSender sends start lists. While a list is being written to an instance, only
// the newest of the following ones waits.
type startListSender struct {
	mutex sync.Mutex
	// sending contains the addresses to which a list is being written, with the one
	// to be sent next, nil if there is none.
	sending map[string][]byte
}

// begin reports whether the list may be sent now. Otherwise it is kept.
func (s *startListSender) begin(address string, body []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, busy := s.sending[address]; busy {
		s.sending[address] = body
		return false
	}
	if s.sending == nil {
		s.sending = map[string][]byte{}
	}
	s.sending[address] = nil
	return true
}

// end returns the list to send next, nil if there is none.
func (s *startListSender) end(address string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	body := s.sending[address]
	if body == nil {
		delete(s.sending, address)
		return nil
	}
	s.sending[address] = nil
	return body
}

// remoteLists spaces the lists to other zones. While one has to wait, only the newest of
// them does.
type remoteLists struct {
	mutex   sync.Mutex
	sentAt  time.Time
	waiting []byte
}

// offer reports whether a list may be sent now. Otherwise it waits, and schedule is the
// time after which to take it, 0 if another one waits already.
func (r *remoteLists) offer(body []byte, now time.Time) (send bool, schedule time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := r.sentAt.Add(remoteListInterval).Sub(now)
	switch {
	case r.waiting != nil:
		r.waiting = body
		return false, 0
	case wait > 0:
		r.waiting = body
		return false, wait
	default:
		r.sentAt = now
		return true, 0
	}
}

// take returns the list that has waited.
func (r *remoteLists) take(now time.Time) []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	body := r.waiting
	r.waiting, r.sentAt = nil, now
	return body
}

// Tell sends a start list of the local home to the instances that must know of its
// start requests if it is lost. It returns when the list is written to the connections
// of those to which it is sent at once, or after tellTimeout.
func (a *Agent) Tell(list rattanhome.StartList) {
	body := mustMarshal(StartListMessage{Zone: a.config.Self.Zone, List: list})
	now := a.config.Clock()
	addresses, remote := a.toldAddresses(now)
	if send, schedule := a.remoteLists.offer(body, now); send {
		addresses = append(addresses, remote...)
	} else if schedule > 0 {
		time.AfterFunc(schedule, a.tellRemotely)
	}
	written := make(chan struct{}, len(addresses))
	waiting := 0
	for _, address := range addresses {
		if !a.startListSender.begin(address, body) {
			a.config.Journal.StartListTold(StartListLate, 0)
			continue
		}
		waiting++
		go a.sendStartLists(address, body, written)
	}
	if waiting == 0 {
		return
	}
	timeout := time.NewTimer(tellTimeout)
	defer timeout.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case <-written:
		case <-timeout.C:
			return
		}
	}
}

// tellRemotely sends the list that has waited to the other zones.
func (a *Agent) tellRemotely() {
	now := a.config.Clock()
	body := a.remoteLists.take(now)
	_, remote := a.toldAddresses(now)
	for _, address := range remote {
		if a.startListSender.begin(address, body) {
			go a.sendStartLists(address, body, nil)
		}
	}
}

// sendStartLists sends a start list to an instance, and those that have waited for it.
func (a *Agent) sendStartLists(address string, body []byte, written chan<- struct{}) {
	for ; body != nil; body = a.startListSender.end(address) {
		a.sendStartList(address, body)
		select {
		case written <- struct{}{}:
		default:
		}
	}
}

func (a *Agent) sendStartList(address string, body []byte) {
	ctx, cancel := context.WithTimeout(a.ctx, heartbeatTimeout)
	defer cancel()
	begunAt := a.config.Clock()
	err := a.config.Peers.Notify(ctx, address, methodStartList, body)
	switch {
	case err != nil:
		a.config.Journal.StartListTold(StartListFailed, 0)
	case a.config.Clock().Sub(begunAt) > tellTimeout:
		a.config.Journal.StartListTold(StartListLate, len(body))
	default:
		a.config.Journal.StartListTold(StartListSent, len(body))
	}
}

// toldAddresses returns the addresses of the instances that are told of the local
// home's start requests: the member of its zone that would succeed it and the homes of
// the other zones, or more members if these are fewer than minTold.
func (a *Agent) toldAddresses(now time.Time) (members, remote []string) {
	successors := a.successors()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for zone, home := range a.homes {
		if zone != a.config.Self.Zone && home.age(now) < maxRemoteClaimAge {
			remote = append(remote, home.claim.Address)
		}
	}
	count := min(len(successors), max(1, minTold-len(remote)))
	for _, m := range successors[:count] {
		members = append(members, m.Address)
	}
	return members, remote
}

// handleStartList keeps the start list of another home. The requests of a former home
// of this zone bind the local home at once.
func (a *Agent) handleStartList(_ context.Context, sender string, body []byte) ([]byte, error) {
	message, err := decodeStartList(body)
	if err != nil {
		return nil, err
	}
	now := a.config.Clock()
	if !a.startRecord.replace(message, now) {
		return nil, nil
	}
	localHome := a.LocalHome()
	if localHome != nil && message.Zone == a.config.Self.Zone && message.List.FencingToken < localHome.FencingToken() {
		starts := a.startRecord.ofZone(message.Zone, now)
		a.journalLearned(message.Zone, sender, starts)
		localHome.AddOutstandingStarts(starts)
	}
	return nil, nil
}

// RemoteStarts returns the start requests of a job that another zone's home has listed
// and that may still be carried out, with that zone.
func (a *Agent) RemoteStarts(jobID string, now time.Time) (zone string, starts []rattanscheduler.OutstandingStart) {
	return a.startRecord.ofJob(jobID, a.config.Self.Zone, now)
}

// keptStarts returns the start requests of former homes of a zone that may still be
// carried out, those with the most time left first. The caller holds the mutex.
func (a *Agent) keptStarts(zone string, now time.Time) []rattanscheduler.OutstandingStart {
	starts := append(a.startRecord.ofZone(zone, now), a.outstanding.of(zone, now)...)
	slices.SortFunc(starts, func(x, y rattanscheduler.OutstandingStart) int { return cmp.Compare(y.Remaining, x.Remaining) })
	return starts[:min(len(starts), maxReturnedStarts)]
}

// keptFor returns the start requests to name to the sender of a view whose zone has no
// home, as far as the sender knows. The caller holds the mutex.
func (a *Agent) keptFor(view *View, now time.Time) []rattanscheduler.OutstandingStart {
	if slices.ContainsFunc(view.Claims, func(claim Claim) bool { return claim.Zone == view.Sender.Zone }) {
		return nil
	}
	return a.keptStarts(view.Sender.Zone, now)
}

// keptForHome returns the start requests to name to the home of a zone: those that its
// former homes have listed. It may not have reached this instance before it was elected.
// The caller holds the mutex.
func (a *Agent) keptForHome(receiver *member, now time.Time) []rattanscheduler.OutstandingStart {
	home := a.homes[receiver.Zone]
	if home == nil || home.claim.Name != receiver.Name {
		return nil
	}
	starts := a.startRecord.ofFormerHomes(receiver.Zone, home.claim.FencingToken, now)
	return starts[:min(len(starts), maxReturnedStarts)]
}

// remoteHomes returns the addresses at which an instance without a home asks the other
// zones for what they know of the former one: the home of each zone, or some member of
// a zone whose home is unknown.
func (a *Agent) remoteHomes(now time.Time) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	addresses := map[string]rattanwork.Member{}
	for _, m := range a.members {
		if m.Zone != a.config.Self.Zone && now.Sub(m.lastHeard) < maxAskedAge {
			addresses[m.Zone] = m.Member
		}
	}
	var list []string
	for zone, home := range a.homes {
		if zone != a.config.Self.Zone && home.age(now) < maxAskedAge {
			delete(addresses, zone)
			list = append(list, home.claim.Address)
		}
	}
	for _, m := range addresses {
		list = append(list, m.Address)
	}
	return list
}
