package rattanmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// phase is the state of an epoch of this home.
type phase int

const (
	// phasePending lasts until a majority of the voters has acknowledged.
	phasePending phase = iota
	// phaseCurrent is the phase in which keys are issued for the epoch.
	phaseCurrent
	// phaseDraining is the phase in which no further keys are issued for the
	// epoch, but its jobs continue.
	phaseDraining
)

// homeEpoch is an epoch of this home that is not fenced.
type homeEpoch struct {
	id        rattanjob.EpochID
	witnesses []rattanjob.Incarnation
	start     time.Time
	phase     phase
	// lastAcknowledgedSent holds, for each witness, when the latest heartbeat
	// that it acknowledged was sent.
	lastAcknowledgedSent []time.Time
	// endedWitnesses marks the witnesses that will never acknowledge the epoch
	// again.
	endedWitnesses []bool
	drainingSince  time.Time
}

// announcement returns the epoch as it is announced to other members.
func (e *homeEpoch) announcement(now time.Time) Epoch {
	return Epoch{ID: e.id, Witnesses: e.witnesses, Age: now.Sub(e.start)}
}

// recordAcknowledgement records a witness's reply to a heartbeat that was sent
// at the given time.
func (e *homeEpoch) recordAcknowledgement(reply Acknowledgement, sent time.Time) {
	witness := slices.Index(e.witnesses, reply.From.Incarnation)
	if witness < 0 {
		return
	}
	if slices.Contains(reply.Granted, e.id) && sent.After(e.lastAcknowledgedSent[witness]) {
		e.lastAcknowledgedSent[witness] = sent
	}
	if slices.Contains(reply.Ended, e.id) {
		e.endedWitnesses[witness] = true
	}
}

// valid reports whether the home and the witnesses whose acknowledgements have
// not expired form a majority of the voters.
func (e *homeEpoch) valid(now time.Time, tenureDuration time.Duration) bool {
	supporters := 1
	for _, sent := range e.lastAcknowledgedSent {
		if now.Before(sent.Add(tenureDuration)) {
			supporters++
		}
	}
	return supporters >= majority(len(e.witnesses))
}

// majority returns the number of votes that form a majority of a home and its
// witnesses.
func majority(witnesses int) int {
	return (witnesses+1)/2 + 1
}

// expireEpochs fences the epochs whose acknowledgements have expired and closes
// those that have drained long enough. Every exported method that depends on
// epochs calls it first, so that no acknowledgement can revive an epoch.
func (t *Table) expireEpochs(now time.Time) {
	t.detectPause(now)
	for i := 0; i < len(t.epochs); {
		epoch := t.epochs[i]
		switch {
		case epoch.phase == phasePending:
			i++
		case !epoch.valid(now, t.config.TenureDuration):
			t.counters.EpochsFenced++
			t.endEpoch(now, epoch, EventEpochFenced)
		case epoch.phase == phaseDraining && now.Sub(epoch.drainingSince) >= t.config.DrainDuration:
			t.endEpoch(now, epoch, EventEpochClosed)
		default:
			i++
		}
	}
}

// endEpoch removes an epoch permanently and records an event of the given kind.
func (t *Table) endEpoch(now time.Time, ended *homeEpoch, kind EventKind) {
	t.epochs = slices.DeleteFunc(t.epochs, func(epoch *homeEpoch) bool { return epoch == ended })
	t.appendEvent(now, kind, ended)
	if ended.phase == phaseCurrent {
		t.self.Version++
	}
}

func (t *Table) appendEvent(now time.Time, kind EventKind, epoch *homeEpoch) {
	t.events = append(t.events, Event{Kind: kind, Epoch: epoch.announcement(now), Start: epoch.start})
}

func (t *Table) epochInPhase(wanted phase) *homeEpoch {
	for _, epoch := range t.epochs {
		if epoch.phase == wanted {
			return epoch
		}
	}
	return nil
}

// rollOver opens an epoch when there is none, when a witness of the current
// epoch is lost, or when more witnesses are available. When this member has
// claimed no pool, it drains the current epoch instead.
func (t *Table) rollOver(now time.Time) {
	t.promotePending(now)
	current := t.epochInPhase(phaseCurrent)
	if t.self.Claim == 0 {
		t.startDraining(now, current)
		t.abandonEpoch(t.epochInPhase(phasePending))
		return
	}
	if pending := t.epochInPhase(phasePending); pending != nil {
		if now.Sub(pending.start) < t.config.TenureDuration {
			return
		}
		t.counters.EpochsAbandoned++
		t.abandonEpoch(pending)
	}
	witnesses := t.chooseWitnesses(now, current)
	if current != nil && !t.shouldRollOver(now, current, witnesses) {
		return
	}
	t.openEpoch(now, witnesses)
}

// shouldRollOver reports whether an epoch with the given witnesses is to
// replace the current one.
func (t *Table) shouldRollOver(now time.Time, current *homeEpoch, witnesses []rattanjob.Incarnation) bool {
	if len(t.epochs) >= t.config.MaxEpochs || sameIncarnations(current.witnesses, witnesses) {
		return false
	}
	elapsed := now.Sub(t.lastEpochOpenedAt)
	if t.hasLostWitness(current) {
		return elapsed >= t.config.TenureDuration
	}
	// Without witnesses, nobody can vote that the epoch has ended when this
	// home is silent.
	if len(current.witnesses) == 0 {
		return true
	}
	return len(witnesses) > len(current.witnesses) && elapsed >= t.config.WitnessGrowthInterval
}

// hasLostWitness reports whether a witness will not acknowledge the epoch
// again. A lost message is no reason for a rollover.
func (t *Table) hasLostWitness(current *homeEpoch) bool {
	for index, witness := range current.witnesses {
		entry := t.entries[witness.Instance]
		alive := entry != nil && entry.member.Incarnation == witness && entry.member.Status == StatusAlive
		if current.endedWitnesses[index] || !alive {
			return true
		}
	}
	return false
}

// reachable reports whether the incarnation is alive and has answered its
// recent heartbeats.
func (t *Table) reachable(now time.Time, incarnation rattanjob.Incarnation) bool {
	entry := t.entries[incarnation.Instance]
	if entry == nil || entry.member.Incarnation != incarnation || entry.member.Status != StatusAlive {
		return false
	}
	return entry.awaitingSince.IsZero() || now.Sub(entry.awaitingSince) < t.config.HeartbeatInterval
}

// chooseWitnesses returns the witnesses of a new epoch: first the reachable
// ones of the current epoch, then the most senior members that own no pool.
// Those are next in line for the pool, and witnesses are the first to detect
// that a home is silent. The number of witnesses is even, because one more
// would raise the majority without tolerating another failure.
func (t *Table) chooseWitnesses(now time.Time, current *homeEpoch) []rattanjob.Incarnation {
	var candidates []*memberEntry
	for _, entry := range t.entries {
		if entry.member.AvailabilityZone == t.self.AvailabilityZone && t.reachable(now, entry.member.Incarnation) {
			candidates = append(candidates, entry)
		}
	}
	rank := func(entry *memberEntry) int {
		if current == nil {
			return 1
		}
		index := slices.Index(current.witnesses, entry.member.Incarnation)
		if index < 0 || current.endedWitnesses[index] {
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b *memberEntry) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(min(a.member.Claim, 1), min(b.member.Claim, 1)),
			a.member.Compare(&b.member),
		)
	})
	count := min(len(candidates), t.config.MaxWitnesses)
	count -= count % 2
	witnesses := make([]rattanjob.Incarnation, 0, count)
	for _, entry := range candidates[:count] {
		witnesses = append(witnesses, entry.member.Incarnation)
	}
	return witnesses
}

// openEpoch opens a pending epoch and makes heartbeats to its witnesses due at
// once.
func (t *Table) openEpoch(now time.Time, witnesses []rattanjob.Incarnation) {
	t.lastEpochNumber++
	t.lastEpochOpenedAt = now
	t.epochs = append(t.epochs, &homeEpoch{
		id:                   rattanjob.EpochID{Home: t.self.Incarnation, Number: t.lastEpochNumber},
		witnesses:            witnesses,
		start:                now,
		lastAcknowledgedSent: make([]time.Time, len(witnesses)),
		endedWitnesses:       make([]bool, len(witnesses)),
	})
	t.nextHeartbeatAt = now
	t.promotePending(now)
}

// promotePending makes the pending epoch current once a majority supports it.
func (t *Table) promotePending(now time.Time) {
	pending := t.epochInPhase(phasePending)
	if pending == nil || !pending.valid(now, t.config.TenureDuration) {
		return
	}
	t.startDraining(now, t.epochInPhase(phaseCurrent))
	pending.phase = phaseCurrent
	t.announceEpoch = true
	t.self.Version++
	t.counters.EpochsOpened++
	t.appendEvent(now, EventEpochOpened, pending)
}

// startDraining stops issuing keys for the epoch, which may be nil.
func (t *Table) startDraining(now time.Time, epoch *homeEpoch) {
	if epoch == nil {
		return
	}
	epoch.phase = phaseDraining
	epoch.drainingSince = now
	t.self.Version++
	t.appendEvent(now, EventEpochDraining, epoch)
}

// abandonEpoch removes a pending epoch, for which no key was issued.
func (t *Table) abandonEpoch(pending *homeEpoch) {
	t.epochs = slices.DeleteFunc(t.epochs, func(epoch *homeEpoch) bool { return epoch == pending })
}

// markSuperseded fences all epochs because the other members consider this
// incarnation dead.
func (t *Table) markSuperseded(now time.Time) {
	if t.superseded {
		return
	}
	t.superseded = true
	t.abandonEpoch(t.epochInPhase(phasePending))
	for _, epoch := range slices.Clone(t.epochs) {
		t.counters.EpochsFenced++
		t.endEpoch(now, epoch, EventEpochFenced)
	}
	t.events = append(t.events, Event{Kind: EventSuperseded})
}

func contains(set []rattanjob.Incarnation, incarnation rattanjob.Incarnation) bool {
	return slices.Contains(set, incarnation)
}

// sameIncarnations reports whether two sets contain the same incarnations in
// any order.
func sameIncarnations(set, other []rattanjob.Incarnation) bool {
	if len(set) != len(other) {
		return false
	}
	for _, incarnation := range set {
		if !contains(other, incarnation) {
			return false
		}
	}
	return true
}
