package rattanmember

import (
	"slices"
	"time"
)

// maxOwners is the number of owners that a new member is told at once.
const maxOwners = 16

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

// appendOwners tells a new member the owners of its availability zone, so that
// it does not claim a pool before it has learned of them.
func (t *Table) appendOwners(now time.Time, changes []Member, availabilityZone string) []Member {
	for pool := range maxOwners {
		owner, found := t.Owner(now, availabilityZone, pool)
		if !found || owner.Claim != pool+1 {
			break
		}
		changes = append(changes, owner)
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
	slices.SortFunc(members, func(a, b Member) int { return a.compare(&b) })
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
	if t.joining(now) {
		return
	}
	for pool := range t.pools {
		owner, found := t.Owner(now, t.self.AvailabilityZone, pool)
		if found && owner.Incarnation == t.self.Incarnation {
			t.setClaim(now, pool+1)
			return
		}
	}
}

// joining reports whether a member with seeds still learns who else is in its
// availability zone. A claim too early opens an epoch that must drain.
func (t *Table) joining(now time.Time) bool {
	if len(t.config.Seeds) == 0 || now.Sub(t.startedAt) >= 5*t.config.JoinDuration {
		return false
	}
	return now.Sub(t.joinedAt) < t.config.JoinDuration
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
