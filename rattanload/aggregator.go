package rattanload

import (
	"math"
	"slices"
	"time"
)

// member is a home that reports to an aggregator.
type member struct {
	sequence uint64
	// acknowledged is the version whose shares the home uses, or a later one.
	acknowledged uint64
	heard        time.Time
	weights      map[CallerID]history
	idle         map[string]int
	// shares and lenders are what was last sent, with the version.
	shares  map[CallerID]sentShare
	lenders map[string]sentLenders
}

type sentShare struct {
	Share
	version uint64
	// at is when Rest was set.
	at time.Time
}

// announced is a sum of weights as other zones were told.
type announced struct {
	value   int
	version uint64
	at      time.Time
}

type sentLenders struct {
	names   []string
	version uint64
	at      time.Time
}

// zone is what an aggregator knows of another availability zone.
type zone struct {
	heard time.Time
	// term and version name the weights.
	term, version uint64
	weights       Values
	lenders       map[string][]Idle
	// held and confirmed are the versions of this aggregator that the zone has
	// and that all its homes use.
	held, confirmed uint64
	// joined says that the zone was heard of again after it had been cut off.
	// Its first confirmation is not waited for: until then it may use the whole
	// quota anyway.
	joined bool
	// installed holds the version of this aggregator since which a version of
	// the zone is counted, for the versions that homes may use.
	installed []installation
}

type installation struct {
	version uint64
	// term and of name the state of the other zone.
	term, of uint64
}

// Aggregator sums up the loads of the homes of one availability zone and
// exchanges the sums with other zones. It is not safe for concurrent use.
type Aggregator struct {
	zone string
	// nonce makes terms unique.
	nonce uint32
	began time.Time
	ready bool
	// term and version name the state. The version rises with each change, the
	// term when the state is built anew.
	term, version uint64
	homes         map[string]*member
	zones         map[string]*zone
	// total holds the sums of the zone's weights, announced what other zones
	// were told of them, and elsewhere the sums of the other zones' weights.
	total     map[CallerID]int
	announced map[CallerID]announced
	elsewhere map[CallerID]int
}

// NewAggregator returns an aggregator that knows no loads. Its term is higher
// than seen, the highest term that the instance knows. The nonce is random.
func NewAggregator(now time.Time, availabilityZone string, seen uint64, nonce uint32) *Aggregator {
	aggregator := &Aggregator{zone: availabilityZone, nonce: nonce}
	aggregator.restart(now, seen)
	return aggregator
}

// ApplyReport takes in the report of a home and returns the reply.
func (a *Aggregator) ApplyReport(now time.Time, report Report, live Membership) Reply {
	if report.Term > a.term {
		a.restart(now, report.Term)
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
		home = a.join(report)
	}
	if now.Sub(home.heard) >= ConnectedWithin && a.ready {
		// What it used before is not known here, or was not waited for.
		home.acknowledged = a.version
	}
	home.sequence = report.Sequence
	home.heard = now
	home.idle = report.Idle
	base := uint64(0)
	if report.Term == a.term {
		base = report.Version
		home.acknowledged = max(home.acknowledged, base)
	}
	a.install(home, report)
	a.ready = a.ready || a.heardAll(now, live)
	if !a.ready {
		return reply
	}
	reply.Ready = true
	reply.Term = a.term
	reply.Version = a.version
	reply.Base = base
	reply.Shares = a.shares(now, report.Instance, home, base)
	reply.Lenders = a.lenders(now, report.Instance, home, base)
	return reply
}

// ApplyZoneLoad takes in the load of another zone.
func (a *Aggregator) ApplyZoneLoad(now time.Time, load ZoneLoad) {
	if load.HeldTerm > a.term {
		a.restart(now, load.HeldTerm)
	}
	from, known := a.zones[load.Zone]
	if load.Zone == a.zone || known && load.Term < from.term {
		return
	}
	if !known {
		from = &zone{weights: Values{}}
		a.zones[load.Zone] = from
	}
	if now.Sub(from.heard) >= ConnectedWithin && a.ready {
		from.joined = true
		from.confirmed = 0
	}
	from.heard = now
	from.held = 0
	if load.HeldTerm == a.term {
		from.held = load.Held
		from.confirmed = max(from.confirmed, load.Confirmed)
	}
	newTerm := load.Term > from.term
	switch {
	case newTerm && load.Base > 0:
		return
	case !newTerm && (load.Version <= from.version || load.Base > from.version):
		return
	}
	a.version++
	if load.Base == 0 {
		a.forgetZone(from)
	}
	for caller, weight := range load.Weights {
		a.elsewhere[caller] += weight - from.weights[caller]
		from.weights[caller] = weight
	}
	from.term = load.Term
	from.version = load.Version
	from.lenders = load.Lenders
	from.installed = append(from.installed, installation{version: a.version, term: load.Term, of: load.Version})
}

// MakeZoneLoad returns the load to send to another zone. It reports false while the
// aggregator has not heard from all homes of its own zone.
func (a *Aggregator) MakeZoneLoad(now time.Time, to string, live Membership) (ZoneLoad, bool) {
	a.expire(now, live)
	if !a.ready && !a.heardHomes(now, live) {
		return ZoneLoad{}, false
	}
	a.announce(now)
	load := ZoneLoad{Zone: a.zone, Term: a.term, Version: a.version, Weights: Values{}, Lenders: a.idle()}
	if other, known := a.zones[to]; known {
		load.Base = other.held
		load.HeldTerm = other.term
		load.Held = other.version
		load.Confirmed = a.confirmed(now, other)
	}
	for caller, told := range a.announced {
		if told.version > load.Base && (load.Base > 0 || told.value > 0) {
			load.Weights[caller] = told.value
		}
	}
	return load, true
}

// announce sets what other zones are told of the sums. It begins a version,
// because the present one may have been sent already.
func (a *Aggregator) announce(now time.Time) {
	a.version++
	for caller, total := range a.total {
		told := a.announced[caller]
		if value := steady(told.value, total, now.Sub(told.at)); value != told.value {
			a.announced[caller] = announced{value: value, version: a.version, at: now}
		}
	}
}

// steady returns the sum to send after one that was sent some time ago. A sum
// that is too high only makes parts smaller, so it is sent with some headroom,
// and small decreases are sent rarely.
func steady(sent, sum int, age time.Duration) int {
	switch {
	case sum > sent && sent > 0:
		return sum + sum/sumHeadroom
	case sum > sent, sum == 0, age >= sumAge, sent-sum > sent/weightFall:
		return sum
	}
	return sent
}

// join adds a home. Shares of former terms count at least the weights that it
// still holds.
func (a *Aggregator) join(report Report) *member {
	home := &member{weights: map[CallerID]history{}, shares: map[CallerID]sentShare{}, lenders: map[string]sentLenders{}}
	for caller, weight := range report.Held {
		a.add(caller, weight)
		home.weights[caller] = history{{value: weight}}
	}
	a.homes[report.Instance] = home
	return home
}

// restart forgets all loads and begins a term after the one given.
func (a *Aggregator) restart(now time.Time, after uint64) {
	a.began = now
	a.ready = false
	a.term = (after>>32+1)<<32 | uint64(a.nonce)
	a.version = 0
	a.homes = map[string]*member{}
	a.zones = map[string]*zone{}
	a.total = map[CallerID]int{}
	a.announced = map[CallerID]announced{}
	a.elsewhere = map[CallerID]int{}
}

// expire drops the homes that have gone and the zones that were silent for
// Lifetime.
func (a *Aggregator) expire(now time.Time, live Membership) {
	for name, home := range a.homes {
		silence := now.Sub(home.heard)
		if silence >= Lifetime || (silence >= goneAfter && !slices.Contains(live.Homes, name)) {
			a.version++
			for caller, weights := range home.weights {
				a.add(caller, -weights.last())
			}
			delete(a.homes, name)
		}
	}
	for name, other := range a.zones {
		if now.Sub(other.heard) >= Lifetime {
			a.version++
			a.forgetZone(other)
			delete(a.zones, name)
		}
	}
}

// install sets the weights of a home to the reported ones.
func (a *Aggregator) install(home *member, report Report) {
	for caller, weight := range report.Weights {
		a.set(home, caller, weight)
	}
	if !report.Full {
		return
	}
	for caller := range home.weights {
		if _, present := report.Weights[caller]; !present {
			a.set(home, caller, 0)
		}
	}
}

func (a *Aggregator) set(home *member, caller CallerID, weight int) {
	weights := home.weights[caller]
	if len(weights) == 0 {
		weights = history{{}}
	}
	a.add(caller, weight-weights.last())
	home.weights[caller] = append(weights, change{version: a.version, value: weight})
}

func (a *Aggregator) add(caller CallerID, weight int) {
	if weight == 0 {
		return
	}
	a.total[caller] += weight
}

func (a *Aggregator) forgetZone(other *zone) {
	for caller, weight := range other.weights {
		a.elsewhere[caller] -= weight
		if a.elsewhere[caller] == 0 {
			delete(a.elsewhere, caller)
		}
	}
	other.weights = Values{}
}

// heardAll reports whether no live home or zone is left to wait for.
func (a *Aggregator) heardAll(now time.Time, live Membership) bool {
	if now.Sub(a.began) >= readyAfter {
		return true
	}
	for _, name := range live.Zones {
		if other, known := a.zones[name]; !known || other.version == 0 {
			return false
		}
	}
	return a.heardHomes(now, live)
}

func (a *Aggregator) heardHomes(now time.Time, live Membership) bool {
	if now.Sub(a.began) >= ConnectedWithin {
		return true
	}
	for _, name := range live.Homes {
		if _, known := a.homes[name]; !known {
			return false
		}
	}
	return true
}

// acknowledged returns the least version that any connected home but the named
// one may use.
func (a *Aggregator) acknowledged(now time.Time, but string) uint64 {
	least := uint64(math.MaxUint64)
	for name, home := range a.homes {
		if name != but && now.Sub(home.heard) < ConnectedWithin {
			least = min(least, home.acknowledged)
		}
	}
	return least
}

// confirmed returns the version of another zone that all homes of this zone
// use.
func (a *Aggregator) confirmed(now time.Time, other *zone) uint64 {
	least := a.acknowledged(now, "")
	for len(other.installed) > 1 && other.installed[1].version <= least {
		other.installed = other.installed[1:]
	}
	if len(other.installed) == 0 || other.installed[0].version > least || other.installed[0].term != other.term {
		return 0
	}
	return other.installed[0].of
}

// shares returns the shares of a home that have changed since the base.
func (a *Aggregator) shares(now time.Time, name string, home *member, base uint64) Shares {
	from := a.acknowledged(now, name)
	for _, other := range a.zones {
		if now.Sub(other.heard) < ConnectedWithin && (!other.joined || other.confirmed > 0) {
			from = min(from, other.confirmed)
		}
	}
	from = min(from, a.version)
	changes := Shares{}
	visit := func(caller CallerID) {
		weights := home.weights[caller].since(from)
		home.weights[caller] = weights
		if len(weights) == 0 {
			delete(home.weights, caller)
		}
		last := home.shares[caller]
		rest := a.total[caller] - weights.last() + a.elsewhere[caller]
		share := Share{Own: weights.least(from), Rest: steady(last.Rest, rest, now.Sub(last.at))}
		if share != last.Share {
			if share.Rest != last.Rest {
				last.at = now
			}
			last.Share = share
			last.version = a.version
			home.shares[caller] = last
		}
		if last.version > base && (base > 0 || share != Share{}) {
			changes[caller] = share
		}
		if share == (Share{}) && last.version <= base {
			delete(home.shares, caller)
		}
	}
	for caller := range home.shares {
		visit(caller)
	}
	for _, callers := range []map[CallerID]int{a.total, a.elsewhere} {
		for caller := range callers {
			if _, visited := home.shares[caller]; !visited {
				visit(caller)
			}
		}
	}
	return changes
}

// lenders returns the lists of lenders that have changed since the base.
func (a *Aggregator) lenders(now time.Time, name string, home *member, base uint64) map[string][]string {
	candidates := map[string][]Lender{}
	for instance, each := range a.homes {
		for service, slots := range each.idle {
			candidates[service] = append(candidates[service], Lender{Instance: instance, AvailabilityZone: a.zone, Idle: slots})
		}
	}
	for availabilityZone, other := range a.zones {
		for service, lenders := range other.lenders {
			for _, each := range lenders {
				candidates[service] = append(candidates[service], Lender{Instance: each.Instance, AvailabilityZone: availabilityZone, Idle: each.Slots})
			}
		}
	}
	for service := range home.lenders {
		candidates[service] = append(candidates[service], Lender{})
	}
	changes := map[string][]string{}
	for service, homes := range candidates {
		names := []string{}
		for _, chosen := range ChooseLenders(name, a.zone, homes) {
			names = append(names, chosen.Instance)
		}
		last, sent := home.lenders[service]
		due := len(last.names) == 0 || now.Sub(last.at) >= lendersAge
		if !sent || due && !slices.Equal(last.names, names) {
			last = sentLenders{names: names, version: a.version, at: now}
			home.lenders[service] = last
		}
		if last.version > base {
			changes[service] = names
		}
	}
	return changes
}

// idle returns the homes of this zone with the most idle slots, by service.
func (a *Aggregator) idle() map[string][]Idle {
	candidates := map[string][]Lender{}
	for instance, each := range a.homes {
		for service, slots := range each.idle {
			candidates[service] = append(candidates[service], Lender{Instance: instance, AvailabilityZone: a.zone, Idle: slots})
		}
	}
	lenders := map[string][]Idle{}
	for service, homes := range candidates {
		for _, chosen := range ChooseLenders("", a.zone, homes) {
			if len(lenders[service]) < zoneLenders {
				lenders[service] = append(lenders[service], Idle{Instance: chosen.Instance, Slots: chosen.Idle})
			}
		}
	}
	return lenders
}
