package rattanload

import (
	"math"
	"slices"
	"time"
)

// homeState is the state of a home that reports to an aggregator.
type homeState struct {
	sequence uint64
	// acknowledgedVersion is a lower bound of the version of the shares that
	// the home uses. When the home returns after a disconnection, it is set to
	// the current version instead; see ApplyReport.
	acknowledgedVersion uint64
	lastHeard           time.Time
	weights             map[CallerID]valueHistory
	idleSlots           map[string]int
	// sentShares and sentLenders are the values last sent, with their versions.
	sentShares  map[CallerID]sentShare
	sentLenders map[string]lenderList
}

// sentShare is a share as last sent to a home.
type sentShare struct {
	Share
	version uint64
	// restSetAt is when Rest last changed.
	restSetAt time.Time
}

// announcedSum is a sum of weights as last announced to other zones.
type announcedSum struct {
	value       int
	version     uint64
	announcedAt time.Time
}

// lenderList is a list of lenders as last sent to a home.
type lenderList struct {
	names   []string
	version uint64
	sentAt  time.Time
}

// zoneState is the state of another availability zone.
type zoneState struct {
	lastHeard time.Time
	// term and version identify the weights.
	term, version uint64
	weights       CallerValues
	lenders       map[string][]IdleHome
	// heldVersion is the version of this aggregator that the zone has received,
	// and confirmedVersion the one that all its homes use.
	heldVersion, confirmedVersion uint64
	// reconnected reports that the zone has returned after a disconnection. The
	// aggregator does not wait for its first confirmation, because the zone may
	// use the whole quota until then anyway.
	reconnected bool
	// appliedVersions maps versions of this aggregator to the version of the
	// zone that they include, for the versions that homes may still use.
	appliedVersions []appliedVersion
}

// appliedVersion is a version of the aggregator that was created by applying
// the load of another zone.
type appliedVersion struct {
	version uint64
	// zoneTerm and zoneVersion identify the state of the other zone.
	zoneTerm, zoneVersion uint64
}

// Aggregator sums up the loads of the homes of one availability zone and
// exchanges the sums with other zones. It is not safe for concurrent use.
type Aggregator struct {
	zone string
	// nonce makes terms unique.
	nonce     uint32
	termStart time.Time
	ready     bool
	// term and version identify the state. The version rises with each change,
	// the term whenever the state is rebuilt from scratch.
	term, version uint64
	homes         map[string]*homeState
	zones         map[string]*zoneState
	// zoneTotal holds the sums of the weights of this zone, announced the sums
	// last announced to other zones, and otherZonesTotal the sums of the other
	// zones' weights.
	zoneTotal       map[CallerID]int
	announced       map[CallerID]announcedSum
	otherZonesTotal map[CallerID]int
}

// NewAggregator returns an aggregator without any loads. Its term exceeds
// highestTerm, the highest term that the instance knows. The nonce has to be
// random.
func NewAggregator(now time.Time, availabilityZone string, highestTerm uint64, nonce uint32) *Aggregator {
	aggregator := &Aggregator{zone: availabilityZone, nonce: nonce}
	aggregator.startTerm(now, highestTerm)
	return aggregator
}

// ApplyReport applies the report of a home and returns the reply.
func (a *Aggregator) ApplyReport(now time.Time, report Report, live Membership) Reply {
	if report.Term > a.term {
		a.startTerm(now, report.Term)
	}
	a.expire(now, live)
	reply := Reply{Sequence: report.Sequence}
	home, known := a.homes[report.Instance]
	switch {
	case !known && !report.Full:
		reply.Resend = true
		return reply
	case known && report.Sequence <= home.sequence:
		return reply
	}
	a.version++
	if !known {
		home = a.addHome(report)
	}
	if now.Sub(home.lastHeard) >= ConnectedTimeout && a.ready {
		// It is unknown which shares the home used while it was disconnected,
		// or the others no longer waited for its confirmation.
		home.acknowledgedVersion = a.version
	}
	home.sequence = report.Sequence
	home.lastHeard = now
	home.idleSlots = report.Idle
	base := uint64(0)
	if report.Term == a.term {
		base = report.Version
		home.acknowledgedVersion = max(home.acknowledgedVersion, base)
	}
	a.applyWeights(home, report)
	a.ready = a.ready || a.heardFromAll(now, live)
	if !a.ready {
		return reply
	}
	reply.Ready = true
	reply.Term = a.term
	reply.Version = a.version
	reply.BaseVersion = base
	reply.Shares = a.changedShares(now, report.Instance, home, base)
	reply.Lenders = a.changedLenders(now, report.Instance, home, base)
	return reply
}

// ApplyZoneLoad applies the load of another zone.
func (a *Aggregator) ApplyZoneLoad(now time.Time, load ZoneLoad) {
	if load.HeldTerm > a.term {
		a.startTerm(now, load.HeldTerm)
	}
	sender, known := a.zones[load.Zone]
	if load.Zone == a.zone || known && load.Term < sender.term {
		return
	}
	if !known {
		sender = &zoneState{weights: CallerValues{}}
		a.zones[load.Zone] = sender
	}
	if now.Sub(sender.lastHeard) >= ConnectedTimeout && a.ready {
		sender.reconnected = true
		sender.confirmedVersion = 0
	}
	sender.lastHeard = now
	sender.heldVersion = 0
	if load.HeldTerm == a.term {
		sender.heldVersion = load.HeldVersion
		sender.confirmedVersion = max(sender.confirmedVersion, load.ConfirmedVersion)
	}
	newTerm := load.Term > sender.term
	switch {
	case newTerm && load.BaseVersion > 0:
		return
	case !newTerm && (load.Version <= sender.version || load.BaseVersion > sender.version):
		return
	}
	a.version++
	if load.BaseVersion == 0 {
		a.removeZoneWeights(sender)
	}
	for caller, weight := range load.Weights {
		a.otherZonesTotal[caller] += weight - sender.weights[caller]
		sender.weights[caller] = weight
	}
	sender.term = load.Term
	sender.version = load.Version
	sender.lenders = load.Lenders
	sender.appliedVersions = append(sender.appliedVersions, appliedVersion{version: a.version, zoneTerm: load.Term, zoneVersion: load.Version})
}

// MakeZoneLoad returns the load to send to another zone, or false while the
// aggregator has not heard from all homes of its own zone.
func (a *Aggregator) MakeZoneLoad(now time.Time, to string, live Membership) (ZoneLoad, bool) {
	a.expire(now, live)
	if !a.ready && !a.heardFromHomes(now, live) {
		return ZoneLoad{}, false
	}
	a.updateAnnounced(now)
	load := ZoneLoad{Zone: a.zone, Term: a.term, Version: a.version, Weights: CallerValues{}, Lenders: a.topLenders()}
	if other, known := a.zones[to]; known {
		load.BaseVersion = other.heldVersion
		load.HeldTerm = other.term
		load.HeldVersion = other.version
		load.ConfirmedVersion = a.confirmedVersion(now, other)
	}
	for caller, sum := range a.announced {
		if sum.version > load.BaseVersion && (load.BaseVersion > 0 || sum.value > 0) {
			load.Weights[caller] = sum.value
		}
	}
	return load, true
}

// updateAnnounced updates the sums that are announced to other zones. It starts
// a new version because the current one may have been sent already.
func (a *Aggregator) updateAnnounced(now time.Time) {
	a.version++
	for caller, sum := range a.zoneTotal {
		last := a.announced[caller]
		if value := dampSum(last.value, sum, now.Sub(last.announcedAt)); value != last.value {
			a.announced[caller] = announcedSum{value: value, version: a.version, announcedAt: now}
		}
	}
}

// dampSum returns the sum to send, given the sum last sent and its age. A sum
// that is too high only makes the parts smaller, so increases are sent with
// some headroom, and small decreases are sent rarely.
func dampSum(sent, sum int, age time.Duration) int {
	switch {
	case sum > sent && sent > 0:
		return sum + sum/sumHeadroomDivisor
	case sum > sent, sum == 0, age >= maxSumAge, sent-sum > sent/weightFallDivisor:
		return sum
	}
	return sent
}

// addHome adds a home. Its weights start with those that it still uses, because
// the shares that other homes received in earlier terms include at least these.
func (a *Aggregator) addHome(report Report) *homeState {
	home := &homeState{weights: map[CallerID]valueHistory{}, sentShares: map[CallerID]sentShare{}, sentLenders: map[string]lenderList{}}
	for caller, weight := range report.HeldWeights {
		a.addToTotal(caller, weight)
		home.weights[caller] = valueHistory{{value: weight}}
	}
	a.homes[report.Instance] = home
	return home
}

// startTerm discards all loads and starts a term higher than the previous one.
func (a *Aggregator) startTerm(now time.Time, previous uint64) {
	a.termStart = now
	a.ready = false
	a.term = (previous>>32+1)<<32 | uint64(a.nonce)
	a.version = 0
	a.homes = map[string]*homeState{}
	a.zones = map[string]*zoneState{}
	a.zoneTotal = map[CallerID]int{}
	a.announced = map[CallerID]announcedSum{}
	a.otherZonesTotal = map[CallerID]int{}
}

// expire removes the homes that have departed and the zones that were silent
// for StateLifetime.
func (a *Aggregator) expire(now time.Time, live Membership) {
	for name, home := range a.homes {
		silence := now.Sub(home.lastHeard)
		if silence >= StateLifetime || (silence >= departedTimeout && !slices.Contains(live.Homes, name)) {
			a.version++
			for caller, weights := range home.weights {
				a.addToTotal(caller, -weights.current())
			}
			delete(a.homes, name)
		}
	}
	for name, other := range a.zones {
		if now.Sub(other.lastHeard) >= StateLifetime {
			a.version++
			a.removeZoneWeights(other)
			delete(a.zones, name)
		}
	}
}

// applyWeights sets the weights of a home to the reported ones.
func (a *Aggregator) applyWeights(home *homeState, report Report) {
	for caller, weight := range report.Weights {
		a.setWeight(home, caller, weight)
	}
	if !report.Full {
		return
	}
	for caller := range home.weights {
		if _, present := report.Weights[caller]; !present {
			a.setWeight(home, caller, 0)
		}
	}
}

// setWeight sets the weight of a caller at a home as of the current version.
func (a *Aggregator) setWeight(home *homeState, caller CallerID, weight int) {
	weights := home.weights[caller]
	if len(weights) == 0 {
		weights = valueHistory{{}}
	}
	a.addToTotal(caller, weight-weights.current())
	home.weights[caller] = append(weights, versionedValue{version: a.version, value: weight})
}

// addToTotal adds a weight, which may be negative, to the sum of this zone.
func (a *Aggregator) addToTotal(caller CallerID, weight int) {
	if weight == 0 {
		return
	}
	a.zoneTotal[caller] += weight
}

// removeZoneWeights removes the weights of another zone from the sums.
func (a *Aggregator) removeZoneWeights(other *zoneState) {
	for caller, weight := range other.weights {
		a.otherZonesTotal[caller] -= weight
		if a.otherZonesTotal[caller] == 0 {
			delete(a.otherZonesTotal, caller)
		}
	}
	other.weights = CallerValues{}
}

// heardFromAll reports whether all live homes and zones have been heard from,
// or the wait for them has timed out.
func (a *Aggregator) heardFromAll(now time.Time, live Membership) bool {
	if now.Sub(a.termStart) >= readyTimeout {
		return true
	}
	for _, name := range live.Zones {
		if other, known := a.zones[name]; !known || other.version == 0 {
			return false
		}
	}
	return a.heardFromHomes(now, live)
}

// heardFromHomes reports whether all live homes of this zone have been heard
// from, or ConnectedTimeout has passed since the start of the term.
func (a *Aggregator) heardFromHomes(now time.Time, live Membership) bool {
	if now.Sub(a.termStart) >= ConnectedTimeout {
		return true
	}
	for _, name := range live.Homes {
		if _, known := a.homes[name]; !known {
			return false
		}
	}
	return true
}

// minAcknowledged returns the lowest version that any connected home other than
// the excepted one may use.
func (a *Aggregator) minAcknowledged(now time.Time, except string) uint64 {
	minimum := uint64(math.MaxUint64)
	for name, home := range a.homes {
		if name != except && now.Sub(home.lastHeard) < ConnectedTimeout {
			minimum = min(minimum, home.acknowledgedVersion)
		}
	}
	return minimum
}

// confirmedVersion returns the version of another zone that all homes of this
// zone use.
func (a *Aggregator) confirmedVersion(now time.Time, other *zoneState) uint64 {
	acknowledged := a.minAcknowledged(now, "")
	for len(other.appliedVersions) > 1 && other.appliedVersions[1].version <= acknowledged {
		other.appliedVersions = other.appliedVersions[1:]
	}
	if len(other.appliedVersions) == 0 || other.appliedVersions[0].version > acknowledged || other.appliedVersions[0].zoneTerm != other.term {
		return 0
	}
	return other.appliedVersions[0].zoneVersion
}

// changedShares returns the shares of a home that have changed since the base
// version.
func (a *Aggregator) changedShares(now time.Time, name string, home *homeState, base uint64) Shares {
	// inUse is the lowest version that another connected home or zone may use.
	inUse := a.minAcknowledged(now, name)
	for _, other := range a.zones {
		if now.Sub(other.lastHeard) < ConnectedTimeout && (!other.reconnected || other.confirmedVersion > 0) {
			inUse = min(inUse, other.confirmedVersion)
		}
	}
	inUse = min(inUse, a.version)
	changes := Shares{}
	update := func(caller CallerID) {
		weights := home.weights[caller].prune(inUse)
		home.weights[caller] = weights
		if len(weights) == 0 {
			delete(home.weights, caller)
		}
		last := home.sentShares[caller]
		rest := a.zoneTotal[caller] - weights.current() + a.otherZonesTotal[caller]
		share := Share{Own: weights.minSince(inUse), Rest: dampSum(last.Rest, rest, now.Sub(last.restSetAt))}
		if share != last.Share {
			if share.Rest != last.Rest {
				last.restSetAt = now
			}
			last.Share = share
			last.version = a.version
			home.sentShares[caller] = last
		}
		if last.version > base && (base > 0 || share != Share{}) {
			changes[caller] = share
		}
		if share == (Share{}) && last.version <= base {
			delete(home.sentShares, caller)
		}
	}
	for caller := range home.sentShares {
		update(caller)
	}
	for _, callers := range []map[CallerID]int{a.zoneTotal, a.otherZonesTotal} {
		for caller := range callers {
			if _, visited := home.sentShares[caller]; !visited {
				update(caller)
			}
		}
	}
	return changes
}

// changedLenders returns the lists of lenders that have changed since the base
// version.
func (a *Aggregator) changedLenders(now time.Time, name string, home *homeState, base uint64) map[string][]string {
	candidates := map[string][]Lender{}
	for instance, state := range a.homes {
		for service, slots := range state.idleSlots {
			candidates[service] = append(candidates[service], Lender{Instance: instance, AvailabilityZone: a.zone, Idle: slots})
		}
	}
	for availabilityZone, other := range a.zones {
		for service, lenders := range other.lenders {
			for _, lender := range lenders {
				candidates[service] = append(candidates[service], Lender{Instance: lender.Instance, AvailabilityZone: availabilityZone, Idle: lender.Slots})
			}
		}
	}
	for service := range home.sentLenders {
		candidates[service] = append(candidates[service], Lender{})
	}
	changes := map[string][]string{}
	for service, homes := range candidates {
		names := []string{}
		for _, chosen := range ChooseLenders(name, a.zone, homes) {
			names = append(names, chosen.Instance)
		}
		last, sent := home.sentLenders[service]
		due := len(last.names) == 0 || now.Sub(last.sentAt) >= lendersUpdateInterval
		if !sent || due && !slices.Equal(last.names, names) {
			last = lenderList{names: names, version: a.version, sentAt: now}
			home.sentLenders[service] = last
		}
		if last.version > base {
			changes[service] = names
		}
	}
	return changes
}

// topLenders returns the homes of this zone with the most idle slots, by
// service.
func (a *Aggregator) topLenders() map[string][]IdleHome {
	candidates := map[string][]Lender{}
	for instance, state := range a.homes {
		for service, slots := range state.idleSlots {
			candidates[service] = append(candidates[service], Lender{Instance: instance, AvailabilityZone: a.zone, Idle: slots})
		}
	}
	lenders := map[string][]IdleHome{}
	for service, homes := range candidates {
		for _, chosen := range ChooseLenders("", a.zone, homes) {
			if len(lenders[service]) < maxZoneLenders {
				lenders[service] = append(lenders[service], IdleHome{Instance: chosen.Instance, Slots: chosen.Idle})
			}
		}
	}
	return lenders
}
