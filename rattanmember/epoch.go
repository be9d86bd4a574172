package rattanmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// phase is where an epoch of this home stands.
type phase int

const (
	// phasePending is the phase before a majority has acknowledged.
	phasePending phase = iota
	phaseCurrent
	phaseDraining
)

// homeEpoch is an epoch of this home that is not fenced.
type homeEpoch struct {
	id        rattanjob.EpochID
	witnesses []rattanjob.Incarnation
	start     time.Time
	phase     phase
	// sent holds the time of sending of the latest acknowledged heartbeat of
	// each witness.
	sent []time.Time
	// ended marks witnesses that will never acknowledge again.
	ended         []bool
	drainingSince time.Time
}

func (e *homeEpoch) announced(now time.Time) Epoch {
	return Epoch{ID: e.id, Witnesses: e.witnesses, Age: now.Sub(e.start)}
}

func (e *homeEpoch) acknowledge(reply Acknowledgement, sent time.Time) {
	index := slices.Index(e.witnesses, reply.From.Incarnation)
	if index < 0 {
		return
	}
	if slices.Contains(reply.Granted, e.id) && sent.After(e.sent[index]) {
		e.sent[index] = sent
	}
	if slices.Contains(reply.Ended, e.id) {
		e.ended[index] = true
	}
}

// valid reports whether the home and the witnesses whose acknowledgements have
// not lapsed are a majority of the voters.
func (e *homeEpoch) valid(now time.Time, tenure time.Duration) bool {
	supporters := 1
	for _, sent := range e.sent {
		if now.Before(sent.Add(tenure)) {
			supporters++
		}
	}
	return supporters >= majority(len(e.witnesses))
}

// majority returns the number of voters that decide, of the home and its
// witnesses.
func majority(witnesses int) int {
	return (witnesses+1)/2 + 1
}

// advance fences the epochs whose validity has lapsed. Every method calls it
// before anything else, so that no acknowledgement can revive an epoch.
func (t *Table) advance(now time.Time) {
	t.noticePause(now)
	for i := 0; i < len(t.epochs); {
		epoch := t.epochs[i]
		switch {
		case epoch.phase == phasePending:
			i++
		case !epoch.valid(now, t.config.TenureDuration):
			t.counters.EpochsFenced++
			t.end(now, epoch, EventEpochFenced)
		case epoch.phase == phaseDraining && now.Sub(epoch.drainingSince) >= t.config.DrainDuration:
			t.end(now, epoch, EventEpochClosed)
		default:
			i++
		}
	}
}

// end removes an epoch for good.
func (t *Table) end(now time.Time, ended *homeEpoch, kind EventKind) {
	t.epochs = slices.DeleteFunc(t.epochs, func(epoch *homeEpoch) bool { return epoch == ended })
	t.emit(now, kind, ended)
	if ended.phase == phaseCurrent {
		t.self.Version++
	}
}

func (t *Table) emit(now time.Time, kind EventKind, epoch *homeEpoch) {
	t.events = append(t.events, Event{Kind: kind, Epoch: epoch.announced(now), Start: epoch.start})
}

func (t *Table) inPhase(wanted phase) *homeEpoch {
	for _, epoch := range t.epochs {
		if epoch.phase == wanted {
			return epoch
		}
	}
	return nil
}

// roll opens an epoch when there is none, when a witness of the current one is
// lost, or when more witnesses can be had.
func (t *Table) roll(now time.Time) {
	t.promote(now)
	current := t.inPhase(phaseCurrent)
	if t.self.Claim == 0 {
		t.drain(now, current)
		t.abandon(t.inPhase(phasePending))
		return
	}
	if pending := t.inPhase(phasePending); pending != nil {
		if now.Sub(pending.start) < t.config.TenureDuration {
			return
		}
		t.counters.EpochsAbandoned++
		t.abandon(pending)
	}
	witnesses := t.chooseWitnesses(now, current)
	if current != nil && !t.worthRolling(now, current, witnesses) {
		return
	}
	t.open(now, witnesses)
}

func (t *Table) worthRolling(now time.Time, current *homeEpoch, witnesses []rattanjob.Incarnation) bool {
	if len(t.epochs) >= t.config.MaxEpochs || sameSet(current.witnesses, witnesses) {
		return false
	}
	elapsed := now.Sub(t.lastOpened)
	if t.lostWitness(current) {
		return elapsed >= t.config.TenureDuration
	}
	// Without a witness, silence of this home never proves that it has ended.
	if len(current.witnesses) == 0 {
		return true
	}
	return len(witnesses) > len(current.witnesses) && elapsed >= t.config.GrowthInterval
}

// lostWitness reports whether a witness will not acknowledge the epoch again. A
// lost message is no reason to roll over.
func (t *Table) lostWitness(current *homeEpoch) bool {
	for index, witness := range current.witnesses {
		known := t.entries[witness.Instance]
		alive := known != nil && known.member.Incarnation == witness && known.member.Status == StatusAlive
		if current.ended[index] || !alive {
			return true
		}
	}
	return false
}

// reachable reports whether a member of the incarnation is alive and has
// answered its last heartbeats.
func (t *Table) reachable(now time.Time, incarnation rattanjob.Incarnation) bool {
	known := t.entries[incarnation.Instance]
	if known == nil || known.member.Incarnation != incarnation || known.member.Status != StatusAlive {
		return false
	}
	return known.awaitingSince.IsZero() || now.Sub(known.awaitingSince) < t.config.HeartbeatInterval
}

// chooseWitnesses returns the witnesses of a new epoch: those of the current one
// that are reachable, then the most senior members that own no pool. These take
// over the pool, and a witness is the first to notice that its home is silent.
// The number of witnesses is even, because one more would raise the majority and
// not the number of failures that it survives.
func (t *Table) chooseWitnesses(now time.Time, current *homeEpoch) []rattanjob.Incarnation {
	var candidates []*entry
	for _, known := range t.entries {
		if known.member.AvailabilityZone == t.self.AvailabilityZone && t.reachable(now, known.member.Incarnation) {
			candidates = append(candidates, known)
		}
	}
	kept := func(known *entry) int {
		if current == nil {
			return 1
		}
		index := slices.Index(current.witnesses, known.member.Incarnation)
		if index < 0 || current.ended[index] {
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(kept(a), kept(b)),
			cmp.Compare(min(a.member.Claim, 1), min(b.member.Claim, 1)),
			a.member.Compare(&b.member),
		)
	})
	count := min(len(candidates), t.config.MaxWitnesses)
	count -= count % 2
	witnesses := make([]rattanjob.Incarnation, 0, count)
	for _, known := range candidates[:count] {
		witnesses = append(witnesses, known.member.Incarnation)
	}
	return witnesses
}

func (t *Table) open(now time.Time, witnesses []rattanjob.Incarnation) {
	t.lastNumber++
	t.lastOpened = now
	t.epochs = append(t.epochs, &homeEpoch{
		id:        rattanjob.EpochID{Home: t.self.Incarnation, Number: t.lastNumber},
		witnesses: witnesses,
		start:     now,
		sent:      make([]time.Time, len(witnesses)),
		ended:     make([]bool, len(witnesses)),
	})
	t.nextHeartbeat = now
	t.promote(now)
}

// promote makes the pending epoch the current one when a majority supports it.
func (t *Table) promote(now time.Time) {
	pending := t.inPhase(phasePending)
	if pending == nil || !pending.valid(now, t.config.TenureDuration) {
		return
	}
	t.drain(now, t.inPhase(phaseCurrent))
	pending.phase = phaseCurrent
	t.announcing = true
	t.self.Version++
	t.counters.EpochsOpened++
	t.emit(now, EventEpochOpened, pending)
}

func (t *Table) drain(now time.Time, epoch *homeEpoch) {
	if epoch == nil {
		return
	}
	epoch.phase = phaseDraining
	epoch.drainingSince = now
	t.self.Version++
	t.emit(now, EventEpochDraining, epoch)
}

func (t *Table) abandon(pending *homeEpoch) {
	t.epochs = slices.DeleteFunc(t.epochs, func(epoch *homeEpoch) bool { return epoch == pending })
}

// supersede fences everything, because the others take this incarnation for
// dead.
func (t *Table) supersede(now time.Time) {
	if t.superseded {
		return
	}
	t.superseded = true
	t.abandon(t.inPhase(phasePending))
	for _, epoch := range slices.Clone(t.epochs) {
		t.counters.EpochsFenced++
		t.end(now, epoch, EventEpochFenced)
	}
	t.events = append(t.events, Event{Kind: EventSuperseded})
}

func contains(set []rattanjob.Incarnation, incarnation rattanjob.Incarnation) bool {
	return slices.Contains(set, incarnation)
}

func sameSet(a, b []rattanjob.Incarnation) bool {
	if len(a) != len(b) {
		return false
	}
	for _, incarnation := range a {
		if !contains(b, incarnation) {
			return false
		}
	}
	return true
}
