package rattanmember

import (
	"slices"
	"time"
)

const (
	// maxOwners is the number of owners sent at once to a joining member, and
	// maxSeniorMembers the number of members without a pool.
	maxOwners        = 16
	maxSeniorMembers = 16
	// maxJoinDurations is the number of JoinDurations after which a member
	// claims a pool without having heard from a majority.
	maxJoinDurations = 5
)

type ownerKey struct {
	availabilityZone string
	pool             int
}

// ownerValue is a cached result of computeOwner.
type ownerValue struct {
	member Member
	found  bool
}

// Owner returns the member that owns a pool of an availability zone. A member
// that has claimed the pool keeps it while it is alive, so that pools do not
// move when another owner leaves. An unclaimed pool belongs to the most senior
// members without a claim, in order. When there are more pools than members,
// the remaining pools are assigned to all members in turn.
func (t *Table) Owner(now time.Time, availabilityZone string, pool int) (Member, bool) {
	key := ownerKey{availabilityZone: availabilityZone, pool: pool}
	value, cached := t.ownerCache[key]
	if !cached {
		value.member, value.found = t.computeOwner(key)
		t.ownerCache[key] = value
	}
	if !value.found {
		return Member{}, false
	}
	return t.Member(now, value.member.Incarnation.Instance)
}

// appendOwners appends the owners of a joining member's availability zone and
// the members senior to it, so that it does not claim a pool before it knows of
// them.
func (t *Table) appendOwners(now time.Time, changes []Member, joiner Member) []Member {
	for pool := range maxOwners {
		owner, found := t.Owner(now, joiner.AvailabilityZone, pool)
		if !found || owner.Claim != pool+1 {
			break
		}
		changes = append(changes, owner)
	}
	senior := t.candidates(joiner.AvailabilityZone)
	for _, member := range senior[:min(len(senior), maxSeniorMembers)] {
		if member.Compare(&joiner) >= 0 {
			break
		}
		if member.Claim == 0 {
			changes = append(changes, member)
		}
	}
	return changes
}

// computeOwner determines the owner of a pool by the rules of Owner.
func (t *Table) computeOwner(key ownerKey) (Member, bool) {
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
	for _, entry := range t.entries {
		if entry.member.AvailabilityZone == availabilityZone && entry.member.Status == StatusAlive {
			members = append(members, entry.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Compare(&b) })
	return members
}

// updateClaim claims a vacant pool for this member, or gives up a claim that a
// more senior member has as well.
func (t *Table) updateClaim(now time.Time) {
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
	if t.isJoining(now) || t.nameConflict.PeerAddress != "" {
		return
	}
	if pool, vacant := t.vacantPool(now); vacant {
		t.setClaim(now, pool+1)
	}
}

// vacantPool returns the first pool that this member owns without having
// claimed it.
func (t *Table) vacantPool(now time.Time) (int, bool) {
	for pool := range t.pools {
		owner, found := t.Owner(now, t.self.AvailabilityZone, pool)
		if found && owner.Incarnation == t.self.Incarnation {
			return pool, true
		}
	}
	return 0, false
}

// isJoining reports whether a member with seeds is still discovering the
// members of its availability zone. A premature claim opens an epoch that then
// has to drain. Once isJoining has returned false it always does, so that a
// later change of owner is not delayed.
func (t *Table) isJoining(now time.Time) bool {
	t.joined = t.joined || !t.hasSeeds() || t.hasJoined(now)
	return !t.joined
}

// hasJoined reports whether this member has heard from a majority of the seeds
// in its availability zone and has discovered no further relevant member of the
// zone for a while, or has waited for the maximum time. When all those seeds
// have answered, one round of heartbeats is enough, because members that
// started earlier have contacted the same seeds by then. A member without a
// seed in its zone waits for JoinDuration only. A pause does not count as
// waiting, because messages that arrived meanwhile are unread.
func (t *Table) hasJoined(now time.Time) bool {
	if now.Sub(latest(t.startedAt, t.resumedAt)) >= maxJoinDurations*t.config.JoinDuration {
		return true
	}
	sinceLastAdded := now.Sub(latest(t.lastRelevantAddedAt, t.resumedAt))
	heard, zoneSeeds := t.heardZoneSeeds()
	switch {
	case zoneSeeds > 0 && heard == zoneSeeds:
		return sinceLastAdded >= t.config.HeartbeatInterval+t.config.HeartbeatInterval/2
	case 2*heard > zoneSeeds || zoneSeeds == 0:
		return sinceLastAdded >= t.config.JoinDuration
	}
	return false
}

// hasSeeds reports whether the seeds contain another member.
func (t *Table) hasSeeds() bool {
	return slices.ContainsFunc(t.config.Seeds, func(seed Member) bool {
		return seed.Incarnation.Instance != t.self.Incarnation.Instance
	})
}

// heardZoneSeeds returns how many seeds of this member's availability zone it
// has heard from, and how many there are.
func (t *Table) heardZoneSeeds() (heard, total int) {
	for _, seed := range t.config.Seeds {
		if !t.inOwnZone(seed) {
			continue
		}
		total++
		if entry := t.entries[seed.Incarnation.Instance]; entry != nil && !entry.lastHeardAt.IsZero() {
			heard++
		}
	}
	return heard, total
}

// inOwnZone reports whether the member is another one in this member's
// availability zone.
func (t *Table) inOwnZone(other Member) bool {
	return other.AvailabilityZone == t.self.AvailabilityZone && other.Incarnation.Instance != t.self.Incarnation.Instance
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setClaim changes the claim and starts to drain the current epoch when the
// claim is given up.
func (t *Table) setClaim(now time.Time, claim int) {
	t.self.Claim = claim
	t.self.Version++
	clear(t.ownerCache)
	if claim == 0 {
		t.startDraining(now, t.epochInPhase(phaseCurrent))
	}
}
