package rattanzone

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// beatInterval is how often an instance talks to the home of its zone.
	beatInterval = 150 * time.Millisecond
	// electionInterval is the same while the zone has no home.
	electionInterval = 50 * time.Millisecond
	// zoneInterval is how often a home talks to all members of its zone.
	zoneInterval = 600 * time.Millisecond
	// othersInterval is how often a home talks to the other zones.
	othersInterval = 140 * time.Millisecond
	// loadFresh is how old the load of another zone's home may be for work to
	// be sent there.
	loadFresh = 400 * time.Millisecond
	// beatTimeout bounds one beat.
	beatTimeout = 250 * time.Millisecond
	// silenceLimit is how long a home may be silent before it is suspected.
	silenceLimit = 500 * time.Millisecond
	// otherZoneFresh is how old the claim of another zone's home may be.
	otherZoneFresh = 1 * time.Second
)

func (a *Agent) beatLoop() {
	for a.ctx.Err() == nil {
		wait := a.round()
		timer := time.NewTimer(wait)
		select {
		case <-a.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// round beats whoever is due and returns the time until the next round.
func (a *Agent) round() time.Duration {
	a.checkOwn()
	now := a.config.Clock()
	a.beatContacts()
	if own := a.Own(); own != nil {
		own.SetRemoteZones(a.elsewhere(now))
		a.homeRound(now)
		return beatInterval
	}
	claim, ok, _ := a.Home(a.config.Self.Zone)
	if !ok {
		a.electionRound(now)
		return electionInterval
	}
	a.followerRound(claim)
	return beatInterval
}

// homeRound tells the zone and the other homes of this home.
func (a *Agent) homeRound(now time.Time) {
	if now.Sub(a.lastZone) >= zoneInterval {
		a.lastZone = now
		for _, m := range a.zoneMembers() {
			go a.beat(m.Address)
		}
		go a.yield()
	}
	if now.Sub(a.lastOthers) >= othersInterval {
		a.lastOthers = now
		a.beatOthers()
	}
}

// beatOthers beats the home of each other zone, or any member of a zone whose
// home is unknown.
func (a *Agent) beatOthers() {
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
	for zone, b := range a.homes {
		if zone != a.config.Self.Zone && b.age(now) < otherZoneFresh {
			addresses[zone] = b.claim.Address
		}
	}
	a.mutex.Unlock()
	for _, address := range addresses {
		go a.beat(address)
	}
}

// followerRound beats the home and suspects it if it is gone or silent.
func (a *Agent) followerRound(claim Claim) {
	err := a.beat(claim.Address)
	now := a.config.Clock()
	if err == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b := a.homes[a.config.Self.Zone]
	if b == nil || b.claim.Fence != claim.Fence || !a.vacant.IsZero() {
		return
	}
	switch {
	case errors.Is(err, rattanpeer.ErrRefused):
		a.suspect(b, "connection refused", now)
	case b.age(now) > silenceLimit:
		a.suspect(b, "silent", now)
	}
}

// suspect gives the home up. The caller holds the mutex.
func (a *Agent) suspect(b *belief, reason string, now time.Time) {
	a.vacant = now
	a.config.Journal.HomeSuspected(b.claim, reason)
	a.notify()
}

// beat exchanges views with the instance at the address.
func (a *Agent) beat(address string) error {
	ctx, cancel := context.WithTimeout(a.ctx, beatTimeout)
	defer cancel()
	body, err := a.config.Peers.Call(ctx, address, methodBeat, encode(a.view()))
	if err != nil {
		return err
	}
	var view View
	if err := json.Unmarshal(body, &view); err != nil {
		return errors.Annotatef(err, "view of %s", address)
	}
	a.merge(&view)
	return nil
}

func (a *Agent) onBeat(_ context.Context, _ string, body []byte) ([]byte, error) {
	var view View
	if err := json.Unmarshal(body, &view); err != nil {
		return nil, errors.Annotate(err, "view")
	}
	a.merge(&view)
	if a.suspectedByOther(&view) {
		claim, ok, _ := a.Home(a.config.Self.Zone)
		if ok {
			go a.followerRound(claim)
		}
	}
	return encode(a.view()), nil
}

// suspectedByOther reports whether the sender misses the home that this
// instance follows.
func (a *Agent) suspectedByOther(view *View) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b := a.homes[a.config.Self.Zone]
	return a.own == nil && b != nil && view.Suspect == b.claim.Fence && view.Sender.Zone == a.config.Self.Zone
}

// view returns what this instance tells others.
func (a *Agent) view() View {
	now := a.config.Clock()
	own := a.Own()
	view := View{
		Sender:    a.config.Self,
		Desired:   a.config.Desired.Version(),
		Inventory: a.config.Inventory.Revision(),
	}
	if own != nil {
		a.touchOwn(own.Load(), own.FencingToken(), now)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	view.Terminating = a.terminating
	for zone, b := range a.homes {
		if zone == a.config.Self.Zone && !a.vacant.IsZero() {
			view.Suspect = b.claim.Fence
			continue
		}
		claim := b.claim
		claim.Age = b.age(now)
		view.Claims = append(view.Claims, claim)
	}
	return view
}

func (a *Agent) merge(view *View) {
	now := a.config.Clock()
	a.mutex.Lock()
	a.meet(view, now)
	for _, claim := range view.Claims {
		a.mergeClaim(claim, view.Sender.Name, now)
	}
	a.mutex.Unlock()
	a.catchUp(view)
}

// meet takes in that the sender lives. The caller holds the mutex.
func (a *Agent) meet(view *View, now time.Time) {
	name := view.Sender.Name
	if name == a.config.Self.Name {
		return
	}
	m, ok := a.members[name]
	if !ok || m.Incarnation <= view.Sender.Incarnation {
		m = &member{Member: view.Sender, listed: now}
		a.members[name] = m
	}
	m.terminating = view.Terminating
	m.heard = now
}

// mergeClaim takes in a claim that a member knows of. The caller holds the
// mutex.
func (a *Agent) mergeClaim(claim Claim, sender string, now time.Time) {
	heard := now.Add(-claim.Age)
	direct := sender == claim.Name
	b, ok := a.homes[claim.Zone]
	if ok && claim.Fence < b.claim.Fence {
		return
	}
	if ok && claim.Fence == b.claim.Fence {
		a.refresh(b, claim, heard, direct, now)
		return
	}
	if claim.Name == a.config.Self.Name || claim.Age > silenceLimit {
		return
	}
	a.homes[claim.Zone] = &belief{claim: claim, heard: heard}
	if claim.Zone != a.config.Self.Zone {
		return
	}
	a.follow(claim, "announced by "+sender)
}

// refresh takes in news of a known home. The caller holds the mutex.
func (a *Agent) refresh(b *belief, claim Claim, heard time.Time, direct bool, now time.Time) {
	own := claim.Zone == a.config.Self.Zone
	if own && !direct {
		return
	}
	if heard.After(b.heard) {
		b.heard = heard
		b.claim.Load = claim.Load
	}
	if own && direct && !a.vacant.IsZero() && a.own == nil && b.age(now) < silenceLimit {
		a.follow(claim, "answers again")
	}
}

// follow takes another instance as home. The caller holds the mutex.
func (a *Agent) follow(claim Claim, reason string) {
	a.vacant = time.Time{}
	a.barred = 0
	if own := a.own; own != nil {
		a.own = nil
		go own.Close()
	}
	a.config.Journal.HomeChanged(claim, reason)
	a.notify()
}

func (a *Agent) zoneMembers() []rattanwork.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []rattanwork.Member
	for _, m := range a.members {
		if m.Zone == a.config.Self.Zone {
			list = append(list, m.Member)
		}
	}
	return list
}
