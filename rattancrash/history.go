// Package rattancrash records which targets were lost while a task ran on them,
// so that a task that crashes its targets is not started without end. What an
// instance knows outlives its jobs and its homes, and instances exchange it with
// their heartbeats: a task's history is still known after a takeover, in other
// zones, and when the job is submitted again.
package rattancrash

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

//go:generate go tool stringer -type=Proof -output=proof_string.go

// Proof is what is known of the end of a lost target.
type Proof int

const (
	// Silent means that the target did not answer until the lease of the run had
	// expired. It may have crashed, or may only be out of reach.
	Silent Proof = iota
	// Alive means that the same incarnation has answered again. It was no crash,
	// whatever happens to the target later.
	Alive
	// Crashed means that another incarnation has taken the target's place, and
	// that the target went down while the run held its lease.
	Crashed
	// Unproven means that another incarnation has taken the target's place, or
	// that none has answered for long, and that nothing shows that the target
	// went down while the run held its lease.
	Unproven
)

// rank orders what instances know of the same loss: a higher rank replaces a
// lower one.
func (p Proof) rank() int {
	switch p {
	case Unproven:
		return 1
	case Alive:
		return 2
	case Crashed:
		return 3
	default:
		return 0
	}
}

const (
	// retention is how long a loss is remembered. It covers the time during
	// which a caller may submit the same job again.
	retention = 2 * time.Minute
	// maxLosses bounds the number of losses that are remembered. Beyond it, the
	// oldest are forgotten.
	maxLosses = 20_000
	// proofTimeout is how long after the end of the lease a target is expected to
	// answer again, or another incarnation in its place.
	proofTimeout = 4 * time.Second
)

// Incarnation identifies one incarnation of a target.
type Incarnation struct {
	Target string
	// StartMillis is the start of the incarnation in Unix milliseconds, 0 if
	// unknown.
	StartMillis int64
}

// Loss is a target that was lost while a run of a task was active, or may have
// been active, on it.
type Loss struct {
	Task        string
	Incarnation Incarnation
	Proof       Proof
	// Age is the time since the end of the run's lease, or since the target was
	// known to be down if that was earlier.
	Age time.Duration
	// Silence is the time from the target's last answer to the end of the run's
	// lease.
	Silence time.Duration `json:",omitempty"`
	// Refused is set if the target's machine refused connections while the run
	// held its lease: no process of the target was left.
	Refused bool `json:",omitempty"`
	// Unreachable is set if the target had stopped answering before anything showed
	// that it was down. The run may have ended before that.
	Unreachable bool `json:",omitempty"`
	// Unanswered is set if the target never confirmed the run, which may not have
	// begun.
	Unanswered bool `json:",omitempty"`
}

// Losses counts the targets lost under one task.
type Losses struct {
	// Silent is the number of targets that may have crashed and may still answer,
	// Crashed the number of those that have crashed, and Unproven the number of
	// those for which no proof is expected any more, or which restarted for
	// another cause.
	Silent   int
	Crashed  int
	Unproven int
}

type lossKey struct {
	task        string
	incarnation Incarnation
}

type record struct {
	lossKey
	proof Proof
	// endedAt is the end of the run's lease; the fields down to unanswered are
	// explained at Loss.
	endedAt     time.Time
	silence     time.Duration
	refused     bool
	unreachable bool
	unanswered  bool
	// isRestart is set if the record is in the history's list of restarts,
	// otherCause once another cause of the target's restart is known.
	isRestart  bool
	otherCause bool
	// sequence numbers the changes of this history. It is that of the record's
	// last change.
	sequence int64
}

// History holds the losses that an instance knows of. It is safe for concurrent
// use.
type History struct {
	// count is the number of records. Most of the time there are none.
	count atomic.Int64

	mutex    sync.Mutex
	sequence int64
	records  map[lossKey]*record
	byTask   map[string][]*record
	byTarget map[string][]*record
	// order contains the records in the order in which they were added, open
	// those that have been silent.
	order []*record
	open  []*record
	// restarts contains the losses of targets that went down.
	restarts []*record
}

// NewHistory returns an empty history. Its sequence numbers start at the current
// time, so that those of an instance's next incarnation are higher.
func NewHistory(now time.Time) *History {
	return &History{
		sequence: now.UnixMicro(),
		records:  map[lossKey]*record{},
		byTask:   map[string][]*record{},
		byTarget: map[string][]*record{},
	}
}

// Add records the loss of a target under a task. It reports whether the history
// has changed.
func (h *History) Add(loss Loss, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.add(&loss, now)
}

// Answered records that an incarnation of a target has answered. It was no crash
// if it is the one that was lost.
func (h *History) Answered(incarnation Incarnation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.byTarget[incarnation.Target] {
		if r.incarnation == incarnation {
			h.raise(r, Alive)
		} else {
			h.settle(r, incarnation.StartMillis)
		}
	}
}

// Replaced records that another target answers in the place of the named one. Its
// start is not known.
func (h *History) Replaced(target string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.byTarget[target] {
		h.settle(r, 0)
	}
}

// SettleOpen settles the losses for which no proof is expected any more. Those of
// targets that refused connections stay open.
func (h *History) SettleOpen(now time.Time) {
	if h.count.Load() == 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for len(h.open) > 0 && now.Sub(h.open[0].endedAt) > proofTimeout {
		r := h.open[0]
		h.open = h.open[1:]
		if h.records[r.lossKey] == r && !r.refused {
			h.raise(r, Unproven)
		}
	}
}

// settle settles an open loss of a target whose next incarnation started at the
// given Unix millisecond, 0 if unknown. The caller holds the mutex.
func (h *History) settle(r *record, startMillis int64) {
	switch {
	case r.proof != Silent:
	case r.refused || r.heldLeaseAt(time.UnixMilli(startMillis)):
		h.raise(r, Crashed)
	default:
		h.raise(r, Unproven)
	}
}

// heldLeaseAt reports whether the next incarnation of the target, which started at
// the given time by its own clock, started while the run held its lease. A start
// before the last answer of the former incarnation shows that the target's clock
// is wrong, and proves nothing.
func (r *record) heldLeaseAt(start time.Time) bool {
	return !start.Before(r.endedAt.Add(-r.silence)) && !start.After(r.endedAt)
}

// Of returns the losses under a task.
func (h *History) Of(task string) Losses {
	if h.count.Load() == 0 {
		return Losses{}
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var losses Losses
	for _, r := range h.byTask[task] {
		switch {
		case r.proof == Silent:
			losses.Silent++
		case r.proof == Unproven || (r.proof == Crashed && h.hasOtherCause(r)):
			losses.Unproven++
		case r.proof == Crashed:
			losses.Crashed++
		}
	}
	return losses
}

// Sequence returns the sequence number of the last change.
func (h *History) Sequence() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.sequence
}

// Changes returns the losses that have changed after the sequence number, the
// oldest changes first and at most limit, and the sequence number up to which
// they are complete.
func (h *History) Changes(after int64, limit int, now time.Time) (losses []Loss, last int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.sequence <= after {
		return nil, after
	}
	var changed []*record
	for _, r := range h.records {
		if r.sequence > after {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
	last = h.sequence
	if len(changed) > limit {
		changed = changed[:limit]
		last = changed[limit-1].sequence
	}
	for _, r := range changed {
		losses = append(losses, r.loss(now))
	}
	return losses, last
}

// Latest returns the losses that were recorded last, at most limit.
func (h *History) Latest(limit int, now time.Time) []Loss {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var losses []Loss
	for _, r := range h.order[max(0, len(h.order)-limit):] {
		losses = append(losses, r.loss(now))
	}
	return losses
}

// loss returns the record in the form for other instances.
func (r *record) loss(now time.Time) Loss {
	return Loss{
		Task:        r.task,
		Incarnation: r.incarnation,
		Proof:       r.proof,
		Age:         now.Sub(r.endedAt),
		Silence:     r.silence,
		Refused:     r.refused,
		Unreachable: r.unreachable,
		Unanswered:  r.unanswered,
	}
}

// Merge adds the losses that another instance knows of.
func (h *History) Merge(losses []Loss, now time.Time) {
	if len(losses) == 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for i := range losses {
		if losses[i].Proof < Silent || losses[i].Proof > Unproven {
			// A later version may know more kinds.
			continue
		}
		h.add(&losses[i], now)
	}
}

// add adds a loss, or what it tells of a known one. The caller holds the mutex.
func (h *History) add(loss *Loss, now time.Time) bool {
	key := lossKey{loss.Task, loss.Incarnation}
	if known, ok := h.records[key]; ok {
		return h.merge(known, loss)
	}
	endedAt := now.Add(-max(0, loss.Age))
	if now.Sub(endedAt) > retention {
		return false
	}
	h.forget(now)
	h.sequence++
	r := &record{
		lossKey:     key,
		proof:       loss.Proof,
		endedAt:     endedAt,
		silence:     loss.Silence,
		refused:     loss.Refused,
		unreachable: loss.Unreachable,
		unanswered:  loss.Unanswered,
		sequence:    h.sequence,
	}
	h.records[key] = r
	h.listRestart(r)
	h.order = append(h.order, r)
	if r.proof == Silent {
		h.open = append(h.open, r)
	}
	h.byTask[key.task] = append(h.byTask[key.task], r)
	h.byTarget[key.incarnation.Target] = append(h.byTarget[key.incarnation.Target], r)
	h.count.Store(int64(len(h.records)))
	return true
}

// merge adds what a loss tells of a known one, and reports whether that is new.
// The caller holds the mutex.
func (h *History) merge(known *record, loss *Loss) bool {
	changed := h.raise(known, loss.Proof)
	if loss.Refused && !known.refused {
		h.sequence++
		known.refused = true
		known.sequence = h.sequence
		h.listRestart(known)
		changed = true
	}
	return changed
}

// raise replaces the proof of a loss by one of a higher rank. The caller holds the
// mutex.
func (h *History) raise(r *record, proof Proof) bool {
	if proof.rank() <= r.proof.rank() {
		return false
	}
	h.sequence++
	r.proof = proof
	r.sequence = h.sequence
	h.listRestart(r)
	return true
}

// forget removes the losses that are too old, and the first ones if there are
// too many. The caller holds the mutex.
func (h *History) forget(now time.Time) {
	for len(h.order) > 0 && (len(h.records) >= maxLosses || now.Sub(h.order[0].endedAt) > retention) {
		h.remove(h.order[0])
		h.order = h.order[1:]
	}
	for len(h.restarts) > 0 && h.records[h.restarts[0].lossKey] != h.restarts[0] {
		h.restarts = h.restarts[1:]
	}
}

// remove removes a loss. The caller holds the mutex.
func (h *History) remove(r *record) {
	delete(h.records, r.lossKey)
	removeFrom(h.byTask, r.task, r)
	removeFrom(h.byTarget, r.incarnation.Target, r)
	h.count.Store(int64(len(h.records)))
}

// removeFrom removes a record from an index.
func removeFrom(index map[string][]*record, key string, r *record) {
	index[key] = slices.DeleteFunc(index[key], func(other *record) bool { return other == r })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}
