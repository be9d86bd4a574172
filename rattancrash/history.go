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

// Proof is what is known of the end of a lost target. A higher value replaces a
// lower one.
type Proof int

const (
	// Silent means that the target did not answer until the leases of its runs
	// had expired. It may have crashed, or may only be out of reach.
	Silent Proof = iota
	// Alive means that the same incarnation has answered again.
	Alive
	// Crashed means that another incarnation has taken the target's place.
	Crashed
)

const (
	// retention is how long a loss is remembered. It covers the time during
	// which a caller may submit the same job again.
	retention = 2 * time.Minute
	// maxLosses bounds the number of losses that are remembered. Beyond it, the
	// oldest are forgotten.
	maxLosses = 20_000
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
	// Age is the time since the loss was recorded.
	Age time.Duration
}

// Losses counts the targets lost under one task.
type Losses struct {
	// Silent is the number of targets that may have crashed, Crashed the number
	// of those that have.
	Silent  int
	Crashed int
}

type lossKey struct {
	task        string
	incarnation Incarnation
}

type record struct {
	lossKey
	proof      Proof
	recordedAt time.Time
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
	// order contains the records in the order in which they were added.
	order []*record
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
func (h *History) Add(task string, incarnation Incarnation, proof Proof, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.add(lossKey{task, incarnation}, proof, now, now)
}

// Answered records that an incarnation of a target has answered: it is alive,
// and the target's other incarnations have crashed.
func (h *History) Answered(incarnation Incarnation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.byTarget[incarnation.Target] {
		if r.incarnation == incarnation {
			h.raise(r, Alive)
		} else {
			h.raise(r, Crashed)
		}
	}
}

// Replaced records that another target answers in the place of the named one.
func (h *History) Replaced(target string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.byTarget[target] {
		h.raise(r, Crashed)
	}
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
		switch r.proof {
		case Silent:
			losses.Silent++
		case Crashed:
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
	return Loss{Task: r.task, Incarnation: r.incarnation, Proof: r.proof, Age: now.Sub(r.recordedAt)}
}

// Merge adds the losses that another instance knows of.
func (h *History) Merge(losses []Loss, now time.Time) {
	if len(losses) == 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, loss := range losses {
		if loss.Proof < Silent || loss.Proof > Crashed {
			// A later version may know more kinds.
			continue
		}
		h.add(lossKey{loss.Task, loss.Incarnation}, loss.Proof, now.Add(-max(0, loss.Age)), now)
	}
}

// add adds a loss or raises the proof of a known one. The caller holds the
// mutex.
func (h *History) add(key lossKey, proof Proof, recordedAt, now time.Time) bool {
	if known, ok := h.records[key]; ok {
		return h.raise(known, proof)
	}
	if now.Sub(recordedAt) > retention {
		return false
	}
	h.forget(now)
	h.sequence++
	r := &record{lossKey: key, proof: proof, recordedAt: recordedAt, sequence: h.sequence}
	h.records[key] = r
	h.order = append(h.order, r)
	h.byTask[key.task] = append(h.byTask[key.task], r)
	h.byTarget[key.incarnation.Target] = append(h.byTarget[key.incarnation.Target], r)
	h.count.Store(int64(len(h.records)))
	return true
}

// raise replaces the proof of a loss by a higher one. The caller holds the
// mutex.
func (h *History) raise(r *record, proof Proof) bool {
	if proof <= r.proof {
		return false
	}
	h.sequence++
	r.proof = proof
	r.sequence = h.sequence
	return true
}

// forget removes the losses that are too old, and the first ones if there are
// too many. The caller holds the mutex.
func (h *History) forget(now time.Time) {
	for len(h.order) > 0 && (len(h.records) >= maxLosses || now.Sub(h.order[0].recordedAt) > retention) {
		h.remove(h.order[0])
		h.order = h.order[1:]
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
