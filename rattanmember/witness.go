package rattanmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// grant is what a witness remembers of another home's epoch.
type grant struct {
	// at is when the epoch was last acknowledged or first asked about.
	at time.Time
	// acknowledged is false while the epoch was only asked about.
	acknowledged bool
	// ended is the promise never to acknowledge the epoch again.
	ended bool
}

// youngEpoch is the age up to which a witness starts to acknowledge an epoch,
// in tenures. It lets the witness forget old votes: an epoch that it does not
// remember is too old to be acknowledged.
const youngEpoch = 4

// acknowledge grants the tenures of a home, except for epochs that this witness
// has voted on or that it cannot remember.
func (t *Table) acknowledge(now time.Time, home rattanjob.Incarnation, tenures []Tenure, reply *Acknowledgement) {
	if len(tenures) > maxTenures {
		t.counters.Malformed++
		return
	}
	for _, tenure := range tenures {
		if tenure.ID.Home != home {
			t.counters.Malformed++
			continue
		}
		if t.grantTenure(now, tenure) {
			reply.Granted = append(reply.Granted, tenure.ID)
		} else {
			reply.Ended = append(reply.Ended, tenure.ID)
		}
	}
}

func (t *Table) grantTenure(now time.Time, tenure Tenure) bool {
	young := tenure.Age <= youngEpoch*t.config.TenureDuration
	remembered := t.grants[tenure.ID]
	if remembered == nil && young {
		remembered = t.remember(now, tenure.ID)
	}
	if remembered == nil || remembered.ended || !remembered.acknowledged && !young {
		return false
	}
	remembered.acknowledged = true
	remembered.at = now
	return true
}

// remember returns nil when the limit of remembered epochs is reached.
func (t *Table) remember(now time.Time, id rattanjob.EpochID) *grant {
	if len(t.grants) >= t.config.MaxGrants {
		return nil
	}
	added := &grant{at: now}
	t.grants[id] = added
	return added
}

// vote returns whether this witness votes that the epoch has ended, and
// otherwise the time until it may.
func (t *Table) vote(now time.Time, id rattanjob.EpochID) (bool, time.Duration) {
	remembered := t.grants[id]
	if remembered == nil {
		remembered = t.remember(now, id)
	}
	if remembered == nil {
		return false, t.config.TenureDuration
	}
	if remembered.ended {
		return true, 0
	}
	allowedAt := remembered.at.Add(t.config.TenureDuration + t.config.VerdictMargin)
	// Heartbeats that arrived during a pause of this witness are still unread.
	if unread := t.resumedAt.Add(t.config.TenureDuration); unread.After(allowedAt) {
		allowedAt = unread
	}
	if now.Before(allowedAt) {
		return false, allowedAt.Sub(now)
	}
	remembered.ended = true
	t.counters.VotesEnded++
	return true, 0
}

// verdict reports whether the votes are those of a majority of the voters, or
// contain a proof.
func verdict(id rattanjob.EpochID, witnesses []rattanjob.Incarnation, votes []Vote) bool {
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

// watchHomes probes homes that this member is a witness of and that have become
// silent, and suspects them once it may vote.
func (t *Table) watchHomes(now time.Time) {
	var silent []*entry
	for id, remembered := range t.grants {
		silence := now.Sub(remembered.at)
		if silence < 2*t.config.HeartbeatInterval || silence > t.config.ForgetAfter {
			continue
		}
		known := t.entries[id.Home.Instance]
		if known == nil || known.member.Incarnation != id.Home || known.member.Epoch.ID != id {
			continue
		}
		if now.Sub(known.heardAt) >= 2*t.config.HeartbeatInterval {
			silent = append(silent, known)
		}
	}
	// Map order must not decide the order of messages, or a seed would not
	// repeat a run.
	slices.SortFunc(silent, func(a, b *entry) int {
		return cmp.Compare(a.member.Incarnation.Instance, b.member.Incarnation.Instance)
	})
	for _, known := range silent {
		t.probe(known)
		votes := now.Sub(known.heardAt) >= t.config.TenureDuration+t.config.VerdictMargin
		if votes && !known.awaitingSince.IsZero() {
			t.suspect(now, known)
		}
	}
}

// forgetGrants drops what is too old to matter; see youngEpoch.
func (t *Table) forgetGrants(now time.Time) {
	for id, remembered := range t.grants {
		if now.Sub(remembered.at) >= t.config.ForgetAfter {
			delete(t.grants, id)
		}
	}
}

// instanceList is the latest instance list.
type instanceList struct {
	revision   uint64
	observedAt time.Time
	instances  map[string]Member
	names      []string
	// selfListed is set once a list has contained this member.
	selfListed bool
}

// observe buries members that an earlier list contained and this one does not.
func (t *Table) observe(now time.Time, list InstanceList) {
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
		if known := t.entries[name]; known != nil {
			known.listed = true
		}
		if name == t.self.Incarnation.Instance {
			t.noticeNamesake(listed)
			t.list.selfListed = true
		}
	}
	if t.list.selfListed && t.unlisted(t.self.Incarnation) {
		t.supersede(now)
	}
	for _, name := range t.order {
		known := t.entries[name]
		if known.listed && known.member.Status != StatusDead && t.unlisted(known.member.Incarnation) {
			t.bury(now, known, ProofInstanceList)
		}
	}
}

func (t *Table) proof(incarnation rattanjob.Incarnation) Proof {
	if incarnation == t.self.Incarnation {
		return ProofNone
	}
	if incarnation.Instance == t.self.Incarnation.Instance {
		return proofIf(incarnation.Number < t.self.Incarnation.Number, ProofLaterIncarnation)
	}
	known := t.entries[incarnation.Instance]
	switch {
	case known == nil:
		return proofIf(t.unlisted(incarnation), ProofInstanceList)
	case known.member.Incarnation.Number > incarnation.Number:
		return ProofLaterIncarnation
	case known.member.Incarnation == incarnation && known.member.Status == StatusDead:
		return known.proof
	}
	return ProofNone
}

// unlisted reports whether an incarnation is not in the instance list although
// it started so long ago that it would have to be. A list that lags may miss the
// new incarnation of an instance that was replaced.
func (t *Table) unlisted(incarnation rattanjob.Incarnation) bool {
	if _, listed := t.list.instances[incarnation.Instance]; listed || t.list.revision == 0 {
		return false
	}
	started := time.UnixMilli(int64(incarnation.Number))
	return started.Add(t.config.ListLag).Before(t.list.observedAt)
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
