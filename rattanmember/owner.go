package rattanmember

import (
	"slices"
	"time"
)

const (
	// maxOwners is the number of owners that a new member is told at once, and
	// maxSenior the number of members without a pool.
	maxOwners = 16
	maxSenior = 16
	// joinLimit is the number of JoinDurations after which a member claims a
	// pool without having heard from a majority.
	joinLimit = 5
)

type ownerKey struct {
	availabilityZone string
	pool             int
}

type ownerValue struct {
	member Member
	found  bool
}

// Owner returns the member that owns a pool of an availability zone. A member
// that has claimed the pool keeps it while it is alive, so that pools do not
// move when another owner leaves; a pool that nobody has claimed belongs to the
// most senior members without a claim, in order. When there are more pools than
// members, the rest belongs to all members in turn.
func (t *Table) Owner(now time.Time, availabilityZone string, pool int) (Member, bool) {
	key := ownerKey{availabilityZone: availabilityZone, pool: pool}
	value, cached := t.owners[key]
	if !cached {
		value.member, value.found = t.owner(key)
		t.owners[key] = value
	}
	if !value.found {
		return Member{}, false
	}
	return t.Member(now, value.member.Incarnation.Instance)
}

// appendOwners tells a new member the owners of its availability zone and the
// members that come before it in seniority, so that it does not claim a pool
// before it has learned of them.
func (t *Table) appendOwners(now time.Time, changes []Member, joining Member) []Member {
	for pool := range maxOwners {
		owner, found := t.Owner(now, joining.AvailabilityZone, pool)
		if !found || owner.Claim != pool+1 {
			break
		}
		changes = append(changes, owner)
	}
	senior := t.candidates(joining.AvailabilityZone)
	for _, member := range senior[:min(len(senior), maxSenior)] {
		if member.Compare(&joining) >= 0 {
			break
		}
		if member.Claim == 0 {
			changes = append(changes, member)
		}
	}
	return changes
}

func (t *Table) owner(key ownerKey) (Member, bool) {
	members := t.candidates(key.availabilityZone)
	var unclaimed []Member
	claimed := map[int]bool{}
	for _, member := range members {
		switch {
		case member.Claim == key.pool+1:
			return member, true
		case member.Claim == 0 || claimed[member.Claim]:
			unclaimed = append(unclaimed, member)
		}
		claimed[member.Claim] = true
	}
	rank := 0
	for pool := range key.pool {
		if !claimed[pool+1] {
			rank++
		}
	}
	if rank < len(unclaimed) {
		return unclaimed[rank], true
	}
	if len(members) == 0 {
		return Member{}, false
	}
	return members[(rank-len(unclaimed))%len(members)], true
}

// candidates returns the alive members of an availability zone by seniority.
func (t *Table) candidates(availabilityZone string) []Member {
	var members []Member
	if t.self.AvailabilityZone == availabilityZone && t.self.Status == StatusAlive && !t.superseded {
		members = append(members, t.self)
	}
	for _, known := range t.entries {
		if known.member.AvailabilityZone == availabilityZone && known.member.Status == StatusAlive {
			members = append(members, known.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Compare(&b) })
	return members
}

// claim claims a vacant pool for this member, or gives up a claim that a more
// senior member has too.
func (t *Table) claim(now time.Time) {
	if t.self.Status != StatusAlive {
		return
	}
	if t.self.Claim > 0 {
		owner, found := t.Owner(now, t.self.AvailabilityZone, t.self.Claim-1)
		if t.self.Claim <= t.pools && found && owner.Incarnation == t.self.Incarnation {
			return
		}
		t.setClaim(now, 0)
	}
	if t.joining(now) || t.namesake.PeerAddress != "" {
		return
	}
	if pool, vacant := t.vacantPool(now); vacant {
		t.setClaim(now, pool+1)
	}
}

// vacantPool returns the first pool that this member owns without a claim.
func (t *Table) vacantPool(now time.Time) (int, bool) {
	for pool := range t.pools {
		owner, found := t.Owner(now, t.self.AvailabilityZone, pool)
		if found && owner.Incarnation == t.self.Incarnation {
			return pool, true
		}
	}
	return 0, false
}

// joining reports whether a member with seeds still learns who else is in its
// availability zone. A claim too early opens an epoch that must drain. Once it
// was false it stays false, so that a later change of owner is not delayed.
func (t *Table) joining(now time.Time) bool {
	t.joined = t.joined || !t.hasSeeds() || t.hasJoined(now)
	return !t.joined
}

// hasJoined reports whether this member has heard from a majority of the peers
// of its availability zone that its settings name, and then of no further member
// of the zone for a while, or whether it has waited for long enough. When all
// named peers have answered, a round of heartbeats is enough, because members
// that started earlier have contacted the same peers by then. A member whose
// settings name no peer of its zone waits for JoinDuration only. A pause does
// not count as waiting, because messages that arrived meanwhile are unread.
func (t *Table) hasJoined(now time.Time) bool {
	if now.Sub(later(t.startedAt, t.resumedAt)) >= joinLimit*t.config.JoinDuration {
		return true
	}
	quiet := now.Sub(later(t.joinedAt, t.resumedAt))
	heard, named := t.heardFromNamed()
	switch {
	case named > 0 && heard == named:
		return quiet >= t.config.HeartbeatInterval+t.config.HeartbeatInterval/2
	case 2*heard > named || named == 0:
		return quiet >= t.config.JoinDuration
	}
	return false
}

// hasSeeds reports whether the settings name another member.
func (t *Table) hasSeeds() bool {
	return slices.ContainsFunc(t.config.Seeds, func(seed Member) bool {
		return seed.Incarnation.Instance != t.self.Incarnation.Instance
	})
}

// heardFromNamed returns how many of the seeds of the own availability zone
// have been heard from, and how many there are.
func (t *Table) heardFromNamed() (heard, named int) {
	for _, seed := range t.config.Seeds {
		if !t.ownZone(seed) {
			continue
		}
		named++
		if known := t.entries[seed.Incarnation.Instance]; known != nil && !known.heardAt.IsZero() {
			heard++
		}
	}
	return heard, named
}

// ownZone reports whether another member is in the own availability zone.
func (t *Table) ownZone(other Member) bool {
	return other.AvailabilityZone == t.self.AvailabilityZone && other.Incarnation.Instance != t.self.Incarnation.Instance
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setClaim changes the claim and lets the current epoch drain when it ends.
func (t *Table) setClaim(now time.Time, claim int) {
	t.self.Claim = claim
	t.self.Version++
	clear(t.owners)
	if claim == 0 {
		t.drain(now, t.inPhase(phaseCurrent))
	}
}
