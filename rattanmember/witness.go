package rattanmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// grant is what a witness remembers of another home's epoch.
type grant struct {
	// updatedAt is when the epoch was last acknowledged or a vote on it was
	// first requested.
	updatedAt time.Time
	// acknowledged is false while only votes on the epoch have been requested.
	acknowledged bool
	// ended is set when this witness has promised never to acknowledge the
	// epoch again.
	ended bool
}

// maxNewEpochTenures is the maximum age, in units of TenureDuration, at which a
// witness first acknowledges an epoch. It allows the witness to forget old
// votes: an epoch that it does not remember is too old to be acknowledged.
const maxNewEpochTenures = 4

// grantRenewals acknowledges the epochs of a home, except for those that this
// witness has voted to end or cannot remember.
func (t *Table) grantRenewals(now time.Time, home rattanjob.Incarnation, renewals []EpochRenewal, reply *Acknowledgement) {
	if len(renewals) > maxRenewals {
		t.counters.Malformed++
		return
	}
	for _, renewal := range renewals {
		if renewal.ID.Home != home {
			t.counters.Malformed++
			continue
		}
		if t.grantRenewal(now, renewal) {
			reply.Granted = append(reply.Granted, renewal.ID)
		} else {
			reply.Ended = append(reply.Ended, renewal.ID)
		}
	}
}

// grantRenewal acknowledges an epoch, if possible, and reports whether it did.
func (t *Table) grantRenewal(now time.Time, renewal EpochRenewal) bool {
	isNew := renewal.Age <= maxNewEpochTenures*t.config.TenureDuration
	existing := t.grants[renewal.ID]
	if existing == nil && isNew {
		existing = t.addGrant(now, renewal.ID)
	}
	if existing == nil || existing.ended || !existing.acknowledged && !isNew {
		return false
	}
	existing.acknowledged = true
	existing.updatedAt = now
	return true
}

// addGrant adds the state for an epoch. It returns nil when MaxGrants epochs
// are remembered already.
func (t *Table) addGrant(now time.Time, id rattanjob.EpochID) *grant {
	if len(t.grants) >= t.config.MaxGrants {
		return nil
	}
	newGrant := &grant{updatedAt: now}
	t.grants[id] = newGrant
	return newGrant
}

// voteEnded reports whether this witness votes that the epoch has ended, and
// otherwise returns the time until it may.
func (t *Table) voteEnded(now time.Time, id rattanjob.EpochID) (bool, time.Duration) {
	existing := t.grants[id]
	if existing == nil {
		existing = t.addGrant(now, id)
	}
	if existing == nil {
		return false, t.config.TenureDuration
	}
	if existing.ended {
		return true, 0
	}
	allowedAt := existing.updatedAt.Add(t.config.TenureDuration + t.config.VerdictMargin)
	// Heartbeats that arrived during a pause of this witness are still unread.
	if unreadUntil := t.resumedAt.Add(t.config.TenureDuration); unreadUntil.After(allowedAt) {
		allowedAt = unreadUntil
	}
	if now.Before(allowedAt) {
		return false, allowedAt.Sub(now)
	}
	existing.ended = true
	t.counters.VotesEnded++
	return true, 0
}

// endedByMajority reports whether a majority of the voters voted that the epoch
// has ended, or a vote contains a proof.
func endedByMajority(id rattanjob.EpochID, witnesses []rattanjob.Incarnation, votes []Vote) bool {
	var ended []rattanjob.Incarnation
	for _, vote := range votes {
		if vote.Epoch != id {
			continue
		}
		if vote.Proof != ProofNone {
			return true
		}
		if vote.Ended && contains(witnesses, vote.Witness) && !contains(ended, vote.Witness) {
			ended = append(ended, vote.Witness)
		}
	}
	return len(ended) >= majority(len(witnesses))
}

// probeSilentHomes probes the silent homes that this member is a witness of,
// and suspects them once it may vote.
func (t *Table) probeSilentHomes(now time.Time) {
	var silentHomes []*memberEntry
	for id, existing := range t.grants {
		silence := now.Sub(existing.updatedAt)
		if silence < 2*t.config.HeartbeatInterval || silence > t.config.ForgetAfter {
			continue
		}
		entry := t.entries[id.Home.Instance]
		if entry == nil || entry.member.Incarnation != id.Home || entry.member.Epoch.ID != id {
			continue
		}
		if now.Sub(entry.lastHeardAt) >= 2*t.config.HeartbeatInterval {
			silentHomes = append(silentHomes, entry)
		}
	}
	// Map iteration order must not decide the order of messages, or a run with
	// the same seed would not be reproducible.
	slices.SortFunc(silentHomes, func(a, b *memberEntry) int {
		return cmp.Compare(a.member.Incarnation.Instance, b.member.Incarnation.Instance)
	})
	for _, entry := range silentHomes {
		t.startProbe(entry)
		mayVote := now.Sub(entry.lastHeardAt) >= t.config.TenureDuration+t.config.VerdictMargin
		if mayVote && !entry.awaitingSince.IsZero() {
			t.markSuspect(now, entry)
		}
	}
}

// expireGrants drops the grants of epochs that are too old to be acknowledged;
// see maxNewEpochTenures.
func (t *Table) expireGrants(now time.Time) {
	for id, existing := range t.grants {
		if now.Sub(existing.updatedAt) >= t.config.ForgetAfter {
			delete(t.grants, id)
		}
	}
}

// instanceList is the latest instance list.
type instanceList struct {
	revision   uint64
	observedAt time.Time
	instances  map[string]Member
	// names holds the keys of instances in the order of the list.
	names []string
	// selfListed is set once a list has contained this member.
	selfListed bool
}

// applyInstanceList marks members as dead that an earlier list contained and
// this one does not.
func (t *Table) applyInstanceList(now time.Time, list InstanceList) {
	t.list = instanceList{
		revision:   list.Revision,
		observedAt: now,
		instances:  make(map[string]Member, len(list.Instances)),
		selfListed: t.list.selfListed,
	}
	for _, listed := range list.Instances {
		listed.Incarnation.Number = 0
		name := listed.Incarnation.Instance
		t.list.instances[name] = listed
		t.list.names = append(t.list.names, name)
		if entry := t.entries[name]; entry != nil {
			entry.listed = true
		}
		if name == t.self.Incarnation.Instance {
			t.detectNameConflict(listed)
			t.list.selfListed = true
		}
	}
	if t.list.selfListed && t.missingFromList(t.self.Incarnation) {
		t.markSuperseded(now)
	}
	for _, name := range t.contactOrder {
		entry := t.entries[name]
		if entry.listed && entry.member.Status != StatusDead && t.missingFromList(entry.member.Incarnation) {
			t.markDead(now, entry, ProofInstanceList)
		}
	}
}

// proofOf returns the proof that this member has that an incarnation has ended,
// or ProofNone.
func (t *Table) proofOf(incarnation rattanjob.Incarnation) Proof {
	if incarnation == t.self.Incarnation {
		return ProofNone
	}
	if incarnation.Instance == t.self.Incarnation.Instance {
		return proofIf(incarnation.Number < t.self.Incarnation.Number, ProofLaterIncarnation)
	}
	entry := t.entries[incarnation.Instance]
	switch {
	case entry == nil:
		return proofIf(t.missingFromList(incarnation), ProofInstanceList)
	case entry.member.Incarnation.Number > incarnation.Number:
		return ProofLaterIncarnation
	case entry.member.Incarnation == incarnation && entry.member.Status == StatusDead:
		return entry.proof
	}
	return ProofNone
}

// missingFromList reports whether an incarnation is not in the instance list
// although it started more than MaxInstanceListLag before the list was read. A
// list that lags may lack the new incarnation of an instance that was replaced.
func (t *Table) missingFromList(incarnation rattanjob.Incarnation) bool {
	if _, listed := t.list.instances[incarnation.Instance]; listed || t.list.revision == 0 {
		return false
	}
	started := time.UnixMilli(int64(incarnation.Number))
	return started.Add(t.config.MaxInstanceListLag).Before(t.list.observedAt)
}

func proofIf(proved bool, proof Proof) Proof {
	if proved {
		return proof
	}
	return ProofNone
}

func removeName(names []string, name string) []string {
	return slices.DeleteFunc(names, func(other string) bool { return other == name })
}
