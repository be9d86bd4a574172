package rattanzone

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// heartbeatInterval is the interval between heartbeats to the home of the
	// zone.
	heartbeatInterval = 150 * time.Millisecond
	// electionInterval is the interval between election rounds while the zone
	// has no home.
	electionInterval = 50 * time.Millisecond
	// zoneHeartbeatInterval is the interval between heartbeats of a home to all
	// members of its zone.
	zoneHeartbeatInterval = 600 * time.Millisecond
	// remoteHeartbeatInterval is the interval between heartbeats of a home to
	// other zones.
	remoteHeartbeatInterval = 140 * time.Millisecond
	// maxLoadAge is the maximum age of the reported load of another zone's home
	// at which jobs may be redirected there.
	maxLoadAge = 400 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 250 * time.Millisecond
	// silenceTimeout is how long a home may stay silent before it is suspected.
	silenceTimeout = 500 * time.Millisecond
	// maxRemoteClaimAge is the maximum age of a claim of another zone's home at
	// which heartbeats for that zone go to it.
	maxRemoteClaimAge = 1 * time.Second
	// maxAskedAge is the maximum age of the last word of another zone at which an
	// instance without a home asks there for the start requests of the former home.
	maxAskedAge = 3 * time.Second
)

func (a *Agent) heartbeatLoop() {
	// The speed at the start is what later checks are compared with.
	a.speed.check(a.config.Clock())
	for a.ctx.Err() == nil {
		wait := a.tick()
		timer := time.NewTimer(wait)
		select {
		case <-a.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tick sends the heartbeats that are due or runs an election, and returns the
// time until the next call.
func (a *Agent) tick() time.Duration {
	a.stepDownIfDeposed()
	now := a.config.Clock()
	a.noticePause(now)
	a.checkSpeed(now)
	a.sendKeepAlives()
	if localHome := a.LocalHome(); localHome != nil {
		localHome.SetRemoteZones(a.remoteCapacity(now))
		a.sendHomeHeartbeats(now)
		return heartbeatInterval
	}
	claim, ok, _ := a.Home(a.config.Self.Zone)
	if !ok {
		a.runElection(now)
		return electionInterval
	}
	a.checkHome(claim)
	return heartbeatInterval
}

// noticePause makes the local home exchange views with its zone at once after a
// pause: another instance may have become home meanwhile, and the targets that
// follow it may be out of reach.
func (a *Agent) noticePause(now time.Time) {
	suspended := a.Suspended()
	a.config.Evacuations.Tick(now)
	paused := a.config.DesiredState.Tick(now) || suspended-a.lastSuspended > silenceTimeout
	if paused {
		a.lastZoneHeartbeat = time.Time{}
	}
	a.recordTick(paused, now)
	a.lastSuspended = suspended
}

// sendHomeHeartbeats sends the heartbeats of the local home that are due to
// members of its zone and to other zones.
func (a *Agent) sendHomeHeartbeats(now time.Time) {
	if now.Sub(a.lastZoneHeartbeat) >= zoneHeartbeatInterval {
		a.lastZoneHeartbeat = now
		for _, m := range a.zoneMembers() {
			go a.sendHeartbeat(m.Address)
		}
		for _, m := range a.remoteSubmitters(now) {
			go a.sendHeartbeat(m.Address)
		}
		go a.handOverIfMorePowerful()
	}
	if now.Sub(a.lastRemoteHeartbeat) >= remoteHeartbeatInterval {
		a.lastRemoteHeartbeat = now
		a.sendRemoteHeartbeats()
	}
}

// sendRemoteHeartbeats sends a heartbeat to the home of each other zone, or to
// a random member of a zone whose home is unknown.
func (a *Agent) sendRemoteHeartbeats() {
	now := a.config.Clock()
	a.mutex.Lock()
	addresses := map[string]string{}
	for _, m := range a.members {
		if m.Zone == a.config.Self.Zone {
			continue
		}
		if _, ok := addresses[m.Zone]; !ok || rand.IntN(2) == 0 {
			addresses[m.Zone] = m.Address
		}
	}
	for zone, home := range a.homes {
		if zone != a.config.Self.Zone && home.age(now) < maxRemoteClaimAge {
			addresses[zone] = home.claim.Address
		}
	}
	a.mutex.Unlock()
	for _, address := range addresses {
		go a.sendHeartbeat(address)
	}
}

// checkHome sends a heartbeat to the home and suspects it if the connection is
// refused or the home has been silent for longer than silenceTimeout.
func (a *Agent) checkHome(claim Claim) {
	err := a.sendHeartbeat(claim.Address)
	now := a.config.Clock()
	if err == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	home := a.homes[a.config.Self.Zone]
	if home == nil || home.claim.FencingToken != claim.FencingToken || !a.homeMissingSince.IsZero() {
		return
	}
	switch {
	case errors.Is(err, rattanpeer.ErrRefused):
		a.suspectHome(home, "connection refused", now)
	case home.age(now) > silenceTimeout:
		a.suspectHome(home, "silent", now)
	}
}

// suspectHome marks the home of the zone as missing. The caller holds the
// mutex.
func (a *Agent) suspectHome(home *homeRecord, reason string, now time.Time) {
	a.homeMissingSince = now
	a.config.Journal.HomeSuspected(home.claim, reason)
	a.notifyHomeChange()
}

// sendHeartbeat exchanges views with the instance at the address.
func (a *Agent) sendHeartbeat(address string) error {
	ctx, cancel := context.WithTimeout(a.ctx, heartbeatTimeout)
	defer cancel()
	begunAt := a.config.Clock()
	comparisonBegunAt := a.config.Evacuations.BeginComparison()
	body, err := a.config.Peers.Call(ctx, address, methodHeartbeat, mustMarshal(a.viewFor(a.memberAt(address))))
	if err != nil {
		return err
	}
	view, err := decodeView(body)
	if err != nil {
		return errors.Annotate(err, address)
	}
	a.merge(view)
	a.boundTransit(view, begunAt)
	if view.DesiredVersion <= a.config.DesiredState.Version() {
		a.config.DesiredState.Compared(begunAt)
	}
	if view.Evacuations != nil {
		a.config.Evacuations.Compared(comparisonBegunAt)
	}
	return nil
}

// handleHeartbeat merges the sender's view and answers with the local one. If
// the sender suspects the home, this instance checks the home too.
func (a *Agent) handleHeartbeat(_ context.Context, _ string, body []byte) ([]byte, error) {
	view, err := decodeView(body)
	if err != nil {
		return nil, err
	}
	a.merge(view)
	if a.senderSuspectsHome(view) {
		claim, ok, _ := a.Home(a.config.Self.Zone)
		if ok {
			go a.checkHome(claim)
		}
	}
	reply := a.viewFor(view.Sender.Name)
	a.mutex.Lock()
	if kept := a.keptFor(view, a.config.Clock()); len(kept) > 0 {
		reply.KeptStarts = kept
	}
	a.mutex.Unlock()
	return mustMarshal(reply), nil
}

// senderSuspectsHome reports whether the sender of the view is in this zone and
// suspects the home that this instance follows.
func (a *Agent) senderSuspectsHome(view *View) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	home := a.homes[a.config.Self.Zone]
	return a.localHome == nil && home != nil && view.SuspectedToken == home.claim.FencingToken && view.Sender.Zone == a.config.Self.Zone
}

// view returns the state that this instance sends to others.
func (a *Agent) view() View {
	now := a.config.Clock()
	localHome := a.LocalHome()
	view := View{
		Sender:            a.config.Self,
		Uptime:            a.Uptime(now),
		DesiredVersion:    a.config.DesiredState.Version(),
		InventoryRevision: a.config.Inventory.Revision(),
		Evacuations:       a.config.Evacuations.sendable(now),
	}
	if localHome != nil {
		view.KeptTargets = a.config.Inventory.Kept()
		view.OverdueTargets = a.config.Inventory.Overdue(a.config.Self.Zone, now)
		view.OutstandingStarts = localHome.OutstandingStarts()
		a.refreshLocalClaim(localHome.Load(), localHome.FencingToken(), now)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	view.OutstandingStarts = append(view.OutstandingStarts, a.former.of(a.config.Self.Zone, now)...)
	if !a.homeMissingSince.IsZero() {
		// The next home may not have heard the former one.
		view.OutstandingStarts = append(view.OutstandingStarts, a.keptStarts(a.config.Self.Zone, now)...)
	}
	view.OutstandingStarts = view.OutstandingStarts[:min(len(view.OutstandingStarts), maxSentStarts)]
	view.Terminating = a.terminating
	view.Slow = a.slow
	for zone, home := range a.homes {
		if zone == a.config.Self.Zone && !a.homeMissingSince.IsZero() {
			view.SuspectedToken = home.claim.FencingToken
			continue
		}
		claim := home.claim
		claim.Age = home.age(now)
		view.Claims = append(view.Claims, claim)
	}
	return view
}

// merge records what another instance has sent, and fetches the desired state
// and the inventory from it if they are newer there.
func (a *Agent) merge(view *View) {
	now := a.config.Clock()
	a.mutex.Lock()
	a.recordSender(view, now)
	a.mergeCrashes(view, now)
	cancelled := a.mergeCancellations(view, now)
	for _, claim := range view.Claims {
		a.mergeClaim(claim, view.Sender.Name, now)
	}
	learned := a.outstanding.add(view.Sender.Zone, view.OutstandingStarts, now)
	kept := a.outstanding.keep(a.config.Self.Zone, view.KeptStarts, now)
	fromHome, localHome := a.isFromHome(view), a.localHome
	a.mutex.Unlock()
	if view.Evacuations != nil {
		a.config.Evacuations.Merge(*view.Evacuations, view.Sender.Name)
	}
	a.cancelJobs(cancelled)
	if localHome != nil {
		a.journalLearned(view.Sender.Zone, view.Sender.Name, learned)
		a.tellHome(localHome, view.Sender.Zone, view.OutstandingStarts)
		a.journalLearned(a.config.Self.Zone, view.Sender.Name, kept)
		a.tellHome(localHome, a.config.Self.Zone, kept)
	}
	if fromHome {
		a.config.Inventory.RecordOverdue(view.OverdueTargets, now)
	}
	a.config.Inventory.Keep(view.KeptTargets, now)
	a.pullNewer(view)
}

// isFromHome reports whether the sender of the view is the home that this instance
// follows, and not only was it. The caller holds the mutex.
func (a *Agent) isFromHome(view *View) bool {
	home := a.homes[a.config.Self.Zone]
	return a.localHome == nil && home != nil && slices.ContainsFunc(view.Claims, func(claim Claim) bool {
		return claim.Name == view.Sender.Name && claim.FencingToken == home.claim.FencingToken
	})
}

// recordSender records that the sender of the view is alive. The caller holds
// the mutex.
func (a *Agent) recordSender(view *View, now time.Time) {
	name := view.Sender.Name
	if name == a.config.Self.Name {
		return
	}
	m, ok := a.members[name]
	if ok && view.Sender.Incarnation < m.Incarnation {
		// Sent before the instance was restarted.
		return
	}
	if !ok || view.Sender.Incarnation > m.Incarnation {
		m = &member{}
		a.members[name] = m
	}
	m.Member, m.terminating, m.slow = view.Sender, view.Terminating, view.Slow
	m.lastHeard, m.lastListed = now, now
	m.recordAlive(view.Uptime, a.Uptime(now), a.Suspended(), now)
	m.inventoryRevision = view.InventoryRevision
}

// mergeClaim merges a claim that another instance has sent. The caller holds
// the mutex.
func (a *Agent) mergeClaim(claim Claim, sender string, now time.Time) {
	lastHeard := now.Add(-claim.Age)
	direct := sender == claim.Name
	home, ok := a.homes[claim.Zone]
	if ok && claim.FencingToken < home.claim.FencingToken {
		return
	}
	if ok && claim.FencingToken == home.claim.FencingToken {
		a.refreshHome(home, claim, lastHeard, direct, now)
		return
	}
	if claim.Name == a.config.Self.Name || claim.Age > silenceTimeout {
		return
	}
	a.homes[claim.Zone] = &homeRecord{claim: claim, lastHeard: lastHeard}
	if claim.Zone != a.config.Self.Zone {
		return
	}
	a.followHome(claim, "announced by "+sender, now)
}

// refreshHome updates the record of a known home. For the home of this zone,
// only what the home has sent itself counts. The caller holds the mutex.
func (a *Agent) refreshHome(home *homeRecord, claim Claim, lastHeard time.Time, direct bool, now time.Time) {
	ownZone := claim.Zone == a.config.Self.Zone
	if ownZone && !direct {
		return
	}
	if lastHeard.After(home.lastHeard) {
		home.lastHeard = lastHeard
		home.claim.Load = claim.Load
	}
	if ownZone && direct && !a.homeMissingSince.IsZero() && a.localHome == nil && home.age(now) < silenceTimeout {
		a.followHome(claim, "answers again", now)
	}
}

// followHome accepts another instance as the home of this zone and closes the
// local home. The caller holds the mutex.
func (a *Agent) followHome(claim Claim, reason string, now time.Time) {
	a.homeMissingSince = time.Time{}
	a.electionBackoff = 0
	if localHome := a.localHome; localHome != nil {
		a.localHome = nil
		go a.closeHome(localHome, now)
	}
	a.config.Journal.HomeChanged(claim, reason)
	a.notifyHomeChange()
}

// remoteSubmitters returns the instances of other zones that have sent heartbeats
// lately, because their callers may wait for jobs that were redirected here. Homes are
// left out: they get heartbeats more often.
func (a *Agent) remoteSubmitters(now time.Time) []rattanwork.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var members []rattanwork.Member
	for _, m := range a.members {
		home := a.homes[m.Zone]
		if m.Zone != a.config.Self.Zone && now.Sub(m.lastHeard) < zoneHeartbeatInterval && (home == nil || home.claim.Name != m.Name) {
			members = append(members, m.Member)
		}
	}
	return members
}

func (a *Agent) zoneMembers() []rattanwork.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var members []rattanwork.Member
	for _, m := range a.members {
		if m.Zone == a.config.Self.Zone {
			members = append(members, m.Member)
		}
	}
	return members
}
